"""The gateway behind the object API: the core with HCL settings, node list, extent map, peers and traces."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent.pool
import xxhash

from fawnspool.baselines.passthrough import PassThrough
from fawnspool.config.head import HeadConfig
from fawnspool.config.scheduler_settings import scheduler_settings
from fawnspool.extents.staleness import Staleness, StalenessSettings
from fawnspool.gateway.attempts import AttemptOutcome
from fawnspool.gateway.core import GatewayCore
from fawnspool.gateway.endpoint_client import (
    EndpointClient,
    EndpointClientConfig,
    EndpointRecord,
    StaticEndpointClient,
)
from fawnspool.gateway.event_loop import DecisionModule
from fawnspool.gateway.extent_directory import ExtentDirectory
from fawnspool.gateway.gossip_runner import GossipRunner, SchedulerView
from fawnspool.gateway.lease_runner import LeaseRunner
from fawnspool.gateway.leased_work import LeasedWork
from fawnspool.gateway.map_client import MapClient, MapSource
from fawnspool.gateway.map_store import MapCheckpoint
from fawnspool.gateway.node_protocol import FawnspoolNodeProtocol
from fawnspool.gateway.node_status import node_gauges, node_rows
from fawnspool.gateway.observability import Observability
from fawnspool.gateway.peer_channel import FleetPlace
from fawnspool.gateway.peers import PeerSocket
from fawnspool.gateway.periodic_checks import Check
from fawnspool.gateway.process_descriptors import process_descriptor_gate
from fawnspool.gateway.request_state import ClientRequest, NodeAttempt, RequestBody
from fawnspool.gateway.role_context import GatewayView, RoleContext
from fawnspool.gossip.health_evidence import suspected_nodes
from fawnspool.net.connection_pool import PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError
from fawnspool.net.listener import parse_address
from fawnspool.net.node_headers import REPORT_HEADER, parse_node_report
from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.decision_recording import Recorder, RecordingHeader, module_hash
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler
from fawnspool.telemetry import logs
from fawnspool.telemetry.counters import GatewayCounters
from fawnspool.telemetry.metrics import PrometheusExporter, StateSources
from fawnspool.telemetry.traces import Traces

MAX_MAP_AGE_MS = 10**9  # largest Fawn-Map-Age-Ms; also sent if the map was never complete
_WRITING_METHODS = (b"PUT", b"DELETE")
_OK = 200
_MS_PER_S = 1000
_US_PER_S = 1e6
_NO_LIST_SERVICE = ("127.0.0.1", 0)
POLICIES: dict[str, Callable[[interface.Settings, int], Any]] = {"module": Scheduler, "pass": PassThrough}


def make_policy(name: str, settings: interface.Settings, seed: int) -> Any:
    """Create the decision module, or a baseline, from its name in the settings."""
    return POLICIES[name](settings, seed)


def volume_number(name: str) -> int:
    """Return a volume's number, which is the same on every gateway."""
    return xxhash.xxh3_64_intdigest(name.encode())


@dataclass(frozen=True, kw_only=True)
class ObjectRequest:
    """A validated request of the object API.

    Attributes
    ----------
    forwarded_headers
        Client headers that are forwarded to the node.
    exchange
        The HTTP exchange with the client, to which the answer is written.
    arrived_at
        Seconds of the monotonic clock.
    timeout_s
        Seconds from `arrived_at` until the answer must have been sent.
    shard
        Shard that holds the object; -1: a new object, which any node may store.
    """

    volume: str
    class_index: int
    method: bytes
    target: bytes
    forwarded_headers: list[tuple[bytes, bytes]]
    body: RequestBody
    exchange: Any
    arrived_at: float
    timeout_s: float
    units: float
    shard: int
    extent: int
    is_client_retry: bool
    operation_id: str
    idempotency_key: str


class Gateway(GatewayCore):
    """One gateway of the fleet: `start` it before the first `submit`.

    Parameters
    ----------
    source
        The extent map, if it is held in this process; None: the map service is used.
    records
        A fixed node list; None: the list service is used.
    """

    endpoints: EndpointClient

    def __init__(
        self, config: HeadConfig, *, source: MapSource | None = None, records: list[EndpointRecord] | None = None
    ) -> None:
        settings = scheduler_settings(config)
        self.config = config
        self.plan_indexes = {plan.name: index for index, plan in enumerate(config.plan)}
        self.volumes = {volume.name: volume for volume in config.volume}
        self.volume_numbers = {volume.name: volume_number(volume.name) for volume in config.volume}
        self.file_writer = BackgroundWriter()
        self.started_at = time.monotonic()
        counters = GatewayCounters()
        state = StateSources(
            lambda: node_gauges(self.loop.module),
            lambda: self.extent_directory.status(),
            self.duty_status,
            self.shared_status,
        )
        self.exporter = PrometheusExporter(counters, state)
        module = make_policy(config.head.policy, settings, config.head.seed)
        super().__init__(
            settings,
            module,
            FawnspoolNodeProtocol(config.head.number, settings, config.clients.replay_bytes),
            PoolOptions(config.nodes.connections, config.nodes.connect_timeout, config.nodes.idle_close),
            Observability(
                counters,
                logs.get(head=config.head.number),
                self._make_recorder(settings, module),
                self._make_traces(),
            ),
        )
        self.limit_descriptors(process_descriptor_gate(settings.shard_count))
        self.endpoints = self._make_endpoints(records)
        self.endpoints.wait_until_handled = self.loop.wait_until_handled
        self.extent_directory = self._make_extent_directory(source)
        self.probes = gevent.pool.Group()
        self.peers: PeerSocket | None = None
        self.leases: LeaseRunner | None = None
        self.gossip: GossipRunner | None = None

    def _make_recorder(self, settings: interface.Settings, module: DecisionModule) -> Recorder | None:
        head = self.config.head
        if not head.record:
            return None
        header = RecordingHeader(head.policy, settings, head.seed, module_hash(module))
        return Recorder(head.record, header, self.file_writer)

    def _make_traces(self) -> Traces | None:
        head = self.config.head
        if not head.trace:
            return None
        return Traces(head.trace, head.trace_share, f"head-{head.number}", self.file_writer)

    def _make_endpoints(self, records: list[EndpointRecord] | None) -> EndpointClient:
        config = EndpointClientConfig(
            address=parse_address(self.config.list.address) if records is None else _NO_LIST_SERVICE,
            gateway_id=self.config.head.number,
            zones=self.config.nodes.zones,
            kinds=self.config.nodes.kinds,
            pushes=self.config.list.mode == "push",
            call_timeout_s=self.config.list.call_timeout,
            cache=Path(self.config.head.data) / "list.json",
        )
        if records is not None:
            return StaticEndpointClient(config, records, self.loop.post, self.log, self.file_writer)
        return EndpointClient(config, self.loop.post, self.log, self.file_writer, self.pools.descriptors)

    def _make_extent_directory(self, source: MapSource | None) -> ExtentDirectory:
        head = self.config.head
        service = self.config.catalogue
        if source is not None:
            settings = StalenessSettings(gateway_count=head.heads)
            return ExtentDirectory(source, Staleness(settings, 1, head.seed), self.log)
        settings = StalenessSettings(gateway_count=head.heads, service_calls_per_s=service.peak)
        return ExtentDirectory(
            MapClient(parse_address(service.address), service.call_timeout),
            Staleness(settings, 1, head.seed),
            self.log,
            watching=service.watch,
            checkpoint=MapCheckpoint(Path(head.data), self.file_writer, self._log_unsaved_map),
        )

    def _log_unsaved_map(self, problem: str) -> None:
        """Log that the saved map is out of date, so that a restart fetches more from the map service."""
        self.log.error("map_save_failed", error=problem)

    # ------------------------------------------------------------ start and end

    def start(self) -> None:
        """Start the gateway, and its leases and gossip where these are configured."""
        head = self.config.head
        if self.config.peer and head.peer_listen:
            peer_addresses = {int(peer.name): parse_address(peer.address) for peer in self.config.peer}
            self.peers = PeerSocket(parse_address(head.peer_listen), head.number, peer_addresses, self.loop.post)
        super().start()
        self.endpoints.start()
        self.extent_directory.start()
        if self.config.duties is not None and self.peers is not None:
            self._start_leases(self.peers)
        if self.config.shared is not None and self.peers is not None:
            self._start_gossip(self.peers)

    def _start_leases(self, peers: PeerSocket) -> None:
        config = self.config
        assert config.duties is not None
        view = GatewayView(nodes=lambda: self.endpoints.nodes, requests_in_flight=lambda: len(self.pending))
        map_client = MapClient(parse_address(config.catalogue.address), config.catalogue.call_timeout)
        self.leases = LeaseRunner(config.duties, self._place_in_fleet(), Path(config.head.data), peers, self.log)
        self.leases.start(LeasedWork(RoleContext(self.extent_directory, map_client, view, self.log)))

    def _start_gossip(self, peers: PeerSocket) -> None:
        assert self.config.shared is not None
        view = SchedulerView(
            volume_names={number: name for name, number in self.volume_numbers.items()},
            listed_count=lambda: len(self.endpoints.nodes),
            suspects=lambda: suspected_nodes(self.loop.module),
            notify=self.loop.post,
        )
        self.gossip = GossipRunner(self.config.shared, self._place_in_fleet(), peers, view, self.log)
        self.gossip.start()

    def _place_in_fleet(self) -> FleetPlace:
        head = self.config.head
        return FleetPlace(head.number, head.heads, head.seed)

    def hand_over(self) -> None:
        """Hand over this gateway's leases to other gateways at once: the first step of a shutdown."""
        if self.leases is not None:
            self.leases.hand_over()

    def stop(self) -> None:
        """Stop everything that `start` started, and finish the file writes that are still queued."""
        if self.leases is not None:
            self.leases.stop()
        if self.gossip is not None:
            self.gossip.stop()
        self.probes.kill(block=False)
        self.endpoints.stop()
        self.extent_directory.stop()
        if self.peers is not None:
            self.peers.stop()
        super().stop()
        if self.traces is not None:
            self.traces.close()
        if not self.file_writer.close():
            self.log.error(
                "records_not_written", reason="the disk is too slow", unwritten_bytes=self.file_writer.pending_bytes
            )

    def _periodic_checks(self) -> Iterable[Check]:
        return (*super()._periodic_checks(), self._check_file_writer)

    def _check_file_writer(self) -> None:
        if error := self.file_writer.take_error():
            self.log.error("file_write_failed", error=error, remedy="check the disks of `head.trace` and `head.data`")

    # ------------------------------------------------------------ requests

    def submit(self, request: ObjectRequest) -> ClientRequest:
        """Accept a request; `done` of the returned object is set when the one final answer is given."""
        volume = self.volumes[request.volume]
        pending = ClientRequest(
            request=self._module_request(request),
            method=request.method,
            target=request.target,
            forwarded_headers=request.forwarded_headers,
            body=request.body,
            exchange=request.exchange,
            operation_id=request.operation_id,
            idempotency_key=request.idempotency_key,
            arrived_at=request.arrived_at,
            deadline=request.arrived_at + request.timeout_s,
            class_name=self.config.class_[request.class_index].name,
            plan_name=volume.plan,
        )
        if age_s := self.extent_directory.stale_for_s():  # reports that the object's location may be outdated
            pending.answer_headers = [(b"Fawn-Map-Age-Ms", b"%d" % min(age_s * _MS_PER_S, MAX_MAP_AGE_MS))]
        if self.traces is not None:
            pending.span = self.traces.begin(
                request.arrived_at,
                volume=request.volume,
                cls=pending.class_name,
                plan=volume.plan,
                units=request.units,
                method=request.method.decode(),
                op=request.operation_id,
            )
        self.accept(pending)
        if self.gossip is not None:
            plan = self.config.plan[pending.request.plan_index]
            self.gossip.record_request(pending.request.volume, volume.heads, plan, request.units)
        return pending

    def _module_request(self, request: ObjectRequest) -> interface.Request:
        volume = self.volumes[request.volume]
        return interface.Request(
            id=self.next_request_id(),
            class_index=request.class_index,
            plan_index=self.plan_indexes[volume.plan],
            extent=request.extent,
            timeout_s=request.timeout_s,
            volume=self.volume_numbers[request.volume],
            units=request.units,
            shard=request.shard,
            gateway_count=volume.heads,
            is_client_retry=request.is_client_retry,
            writes=request.method in _WRITING_METHODS,
        )

    def _attempt_ended(
        self, pending: ClientRequest, attempt: NodeAttempt, outcome: AttemptOutcome
    ) -> interface.Outcome:
        event = super()._attempt_ended(pending, attempt, outcome)
        if self.gossip is not None:
            self.gossip.record_outcome(event, pending.request.volume, pending.request.units)
        return event

    # ------------------------------------------------------------ actions

    def _probe(self, action: interface.Probe) -> None:
        self.probes.spawn(self._run_probe, action.node)

    def _run_probe(self, node: int) -> None:
        started_at = time.monotonic()
        load: tuple[float, ...] | None = None
        result = interface.Result.CONNECT_FAILED
        listed = self.endpoints.nodes.get(node)
        if listed is not None:
            try:
                result, load = self._probe_address(listed.address, started_at)
            except ConnectError:
                result = interface.Result.CONNECT_FAILED
            except TimeoutError:
                result = interface.Result.TIMED_OUT
            except (ConnectionLostError, HttpError, ValueError):
                result = interface.Result.RESET
        self.loop.post(interface.Probed(node, result, time.monotonic() - started_at, load))

    def _probe_address(
        self, node_address: tuple[str, int], started_at: float
    ) -> tuple[interface.Result, tuple[float, ...] | None]:
        deadline = started_at + self.config.nodes.connect_timeout
        head, _ = call(self.pools.get(node_address), b"GET", b"/-/probe", deadline)
        load = parse_node_report(head.headers.get(REPORT_HEADER)).load or None
        result = interface.Result.SERVED if head.code == _OK else interface.Result.ERROR
        return result, load

    def _send_peer_message(self, action: interface.SendPeerMessage) -> None:
        if self.peers is not None:
            self.peers.send(action.gateway_id, action.body)

    # ------------------------------------------------------------ state for operators

    def duty_status(self) -> dict[str, Any] | None:
        """Return the state of the leases; None if this gateway does not take part in leasing."""
        return None if self.leases is None else self.leases.status()

    def shared_status(self) -> dict[str, Any] | None:
        """Return the state of gossip; None if this gateway does not take part in it."""
        return None if self.gossip is None else self.gossip.status()

    def status(self) -> dict[str, Any]:
        """Return the status page: the state of the gateway and its view of each node."""
        now = time.monotonic()
        counters = self.metrics
        last_message_at = self.endpoints.last_message_at
        return {
            "head": self.config.head.number,
            "policy": self.config.head.policy,
            "up_s": round(now - self.started_at, 1),
            "list": {
                "version": self.endpoints.version,
                "reachable": self.endpoints.reachable,
                "heard_s": None if last_message_at is None else round(now - last_message_at, 2),
            },
            "in_hand": len(self.pending),
            "module": {
                "events": counters.module_events,
                "errors": counters.module_errors,
                "us_per_event": round(counters.module_seconds / max(1, counters.module_events) * _US_PER_S, 1),
            },
            "map": self.extent_directory.status(),
            "duties": self.duty_status(),
            "shared": self.shared_status(),
            "nodes": node_rows(self.endpoints.nodes, self.loop.module),
        }
