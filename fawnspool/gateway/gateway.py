"""The object API's head, put together: the core, its settings in HCL, the list, the extent map, peers and traces.

`submit` takes a request for the client's side and returns its `Pending`; its `done` is set with the one final
answer.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import gevent
import xxhash

from fawnspool.baselines.passthrough import PassThrough
from fawnspool.config.head import HeadConfig
from fawnspool.config.scheduler_settings import scheduler_settings
from fawnspool.extents.staleness import Staleness, StalenessSettings
from fawnspool.gateway.attempts import AttemptOutcome
from fawnspool.gateway.core import Core
from fawnspool.gateway.endpoint_client import FixedList, ListClient, Row
from fawnspool.gateway.extent_directory import ExtentDirectory
from fawnspool.gateway.gossip_runner import Sharing
from fawnspool.gateway.lease_runner import LeaseRunner
from fawnspool.gateway.leased_work import LeasedWork
from fawnspool.gateway.map_client import MapClient, MapSource
from fawnspool.gateway.map_store import MapCheckpoint
from fawnspool.gateway.node_protocol import NodeSpeech
from fawnspool.gateway.peer_channel import FleetPlace
from fawnspool.gateway.peers import Peers
from fawnspool.gateway.request_state import Attempt, Body, Pending
from fawnspool.gateway.role_context import GatewayView, RoleContext
from fawnspool.gossip.health_evidence import doubts
from fawnspool.net.connection_pool import PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError
from fawnspool.net.listener import parse_address
from fawnspool.net.node_headers import REPORT_HEADER, parse_node_report
from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.decision_recording import Recorder, RecordingHeader, module_hash
from fawnspool.scheduling import interface
from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.scheduler import Scheduler
from fawnspool.telemetry import logs
from fawnspool.telemetry.metrics import HeadMetrics
from fawnspool.telemetry.traces import Traces

AGE_MOST_MS = 10**9  # also where the map was never whole
POLICIES: dict[str, Callable[[interface.Settings, int], Any]] = {"module": Scheduler, "pass": PassThrough}


def _node_state(node_queue: NodeQueue) -> str:
    """Return what the scheduler makes of a node, in the words of the status page."""
    if not node_queue.is_available():
        return "trials only"
    return "sound" if node_queue.slow_start.started_at is None else "may be cold"


def make_policy(name: str, settings: interface.Settings, seed: int) -> Any:
    """The decision module, or a baseline, by its name in the settings."""
    return POLICIES[name](settings, seed)


def volume_number(name: str) -> int:
    """A volume's number, the same at every head."""
    return xxhash.xxh3_64_intdigest(name.encode())


class Head(Core):
    """One head of a host. `start` before `submit`; `stop` ends all."""

    def __init__(self, config: HeadConfig, *, source: MapSource | None = None, rows: list[Row] | None = None) -> None:
        h, c = config.head, config
        self.config, settings = config, scheduler_settings(config)
        self.classes = {k.name: n for n, k in enumerate(c.class_)}
        self.plans = {p.name: n for n, p in enumerate(c.plan)}
        self.volumes = {v.name: v for v in c.volume}
        self.numbers = {v.name: volume_number(v.name) for v in c.volume}
        self.rates = {v.name: c.plan[self.plans[v.plan]].rate for v in c.volume}
        self.behind = BackgroundWriter()
        self.started = time.monotonic()
        module = make_policy(h.policy, settings, h.seed)
        recording = RecordingHeader(h.policy, settings, h.seed, module_hash(module))
        recorder = Recorder(h.record, recording, self.behind) if h.record else None
        traces = Traces(h.trace, h.trace_share, f"head-{h.number}", self.behind) if h.trace else None
        self.figures = HeadMetrics(self.gauges, lambda: self.places.status(), self.duty_status, self.shared_status)
        super().__init__(
            settings,
            module,
            NodeSpeech(h.number, settings, c.clients.replay_bytes),
            PoolOptions(c.nodes.connections, c.nodes.connect_timeout, c.nodes.idle_close),
            self.figures,
            logs.get(head=h.number),
            recorder=recorder,
            traces=traces,
        )
        self.list: ListClient
        if rows is not None:
            self.list = FixedList(rows, config.nodes.zones, config.nodes.kinds, self.loop.tell, self.log, self.behind)
        else:
            self.list = ListClient(
                parse_address(config.list.address),
                h.number,
                config.nodes.zones,
                config.nodes.kinds,
                config.list.mode == "push",
                config.list.call_timeout,
                Path(h.data) / "list.json",
                self.loop.tell,
                self.log,
                self.behind,
            )
        self.places = self._extent_directory(config, source)
        self.peers: Peers | None = None
        self.leases: LeaseRunner | None = None
        self.sharing: Sharing | None = None

    def _extent_directory(self, config: HeadConfig, source: MapSource | None) -> ExtentDirectory:
        service = config.catalogue
        if source is not None:
            settings = StalenessSettings(gateway_count=config.head.heads)
            return ExtentDirectory(source, Staleness(settings, 1, config.head.seed), self.log)
        settings = StalenessSettings(gateway_count=config.head.heads, service_calls_per_s=service.peak)
        return ExtentDirectory(
            MapClient(parse_address(service.address), service.call_timeout),
            Staleness(settings, 1, config.head.seed),
            self.log,
            watching=service.watch,
            checkpoint=MapCheckpoint(Path(config.head.data), self.behind, self._map_not_saved),
        )

    def _map_not_saved(self, problem: str) -> None:
        """The map's file lags: a restart will ask the map service for more."""
        self.log.error("map_save_failed", error=problem)

    def start(self) -> None:
        h = self.config.head
        if self.config.peer and h.peer_listen:
            self.peers = Peers(
                parse_address(h.peer_listen),
                h.number,
                {int(p.name): parse_address(p.address) for p in self.config.peer},
                self.loop.tell,
            )
        super().start()
        self.list.start()
        self.places.start()
        if self.config.duties is not None and self.peers is not None:
            self._start_leases(self.peers)
        if self.config.shared is not None and self.peers is not None:
            self.sharing = Sharing(
                self.config.shared,
                h.number,
                h.heads,
                h.seed,
                self.peers,
                {n: name for name, n in self.numbers.items()},
                lambda: len(self.list.nodes),
                lambda: doubts(self.loop.module),
                self.loop.tell,
                self.log,
            )
            self.sharing.start()

    def _start_leases(self, peers: Peers) -> None:
        c, k = self.config, self.config.catalogue
        assert c.duties is not None
        place = FleetPlace(c.head.number, c.head.heads, c.head.seed)
        view = GatewayView(nodes=lambda: self.list.nodes, requests_in_flight=lambda: len(self.pending))
        map_client = MapClient(parse_address(k.address), k.call_timeout)
        self.leases = LeaseRunner(c.duties, place, Path(c.head.data), peers, self.log)
        self.leases.start(LeasedWork(RoleContext(self.places, map_client, view, self.log)))

    def hand_over(self) -> None:
        """What this head holds goes to others at once: the first thing of an end."""
        if self.leases is not None:
            self.leases.hand_over()

    def duty_status(self) -> dict[str, Any] | None:
        """None: this head takes no part in duties."""
        return None if self.leases is None else self.leases.status()

    def shared_status(self) -> dict[str, Any] | None:
        """None: this head shares nothing."""
        return None if self.sharing is None else self.sharing.status()

    def stop(self) -> None:
        if self.leases is not None:
            self.leases.stop()
        if self.sharing is not None:
            self.sharing.stop()
        self.list.stop()
        self.places.stop()
        if self.peers is not None:
            self.peers.stop()
        super().stop()
        if self.traces is not None:
            self.traces.close()
        if not self.behind.close():
            self.log.error("not all records are written: the disk is too slow", bytes=self.behind.pending_bytes)

    def _now_and_then(self) -> None:
        if error := self.behind.take_error():
            self.log.error("file work failed: see `head.trace` and `head.data`", error=error)

    # ------------------------------------------------------------ the client's side

    def submit(
        self,
        *,
        volume: str,
        cls: int,
        method: bytes,
        target: bytes,
        forward: list[tuple[bytes, bytes]],
        body: Body,
        exchange: Any,
        patience: float,
        came: float,
        units: float,
        cell: int,
        extent: int,
        repeat: bool,
        op: str,
        idem: str,
    ) -> Pending:
        """Take a request. `patience`: seconds from `came` until its answer must have left at the latest."""
        block = self.volumes[volume]
        req = interface.Request(
            self.next_id(),
            cls,
            self.plans[block.plan],
            extent,
            patience,
            self.numbers[volume],
            units,
            cell,
            block.heads,
            repeat,
            method in (b"PUT", b"DELETE"),
        )
        pending = Pending(
            req,
            method,
            target,
            forward,
            body,
            exchange,
            op,
            idem,
            came,
            came + patience,
            self.config.class_[cls].name,
            block.plan,
        )
        if age := self.places.stale_for_s():  # the place may be old: the client is told
            pending.said = [(b"Fawn-Map-Age-Ms", b"%d" % min(age * 1000, AGE_MOST_MS))]
        if self.traces is not None:
            pending.span = self.traces.begin(
                came, volume=volume, cls=pending.cls, plan=block.plan, units=units, method=method.decode(), op=op
            )
        self.take(pending)
        if self.sharing is not None:
            self.sharing.request(req.volume, block.heads, self.config.plan[req.plan_index], units)
        return pending

    # ------------------------------------------------------------ actions

    def _probe(self, action: interface.Probe) -> None:
        gevent.spawn(self._run_probe, action.node)

    def _run_probe(self, node: int) -> None:
        began, known, load = time.monotonic(), self.list.nodes.get(node), None
        result = interface.Result.CONNECT_FAILED
        if known is not None:
            try:
                status, _ = call(
                    self.pool(known.address), b"GET", b"/-/probe", began + self.config.nodes.connect_timeout
                )
                load = parse_node_report(status.headers.get(REPORT_HEADER)).load or None
                result = interface.Result.SERVED if status.code == 200 else interface.Result.ERROR
            except ConnectError:
                result = interface.Result.CONNECT_FAILED
            except TimeoutError:
                result = interface.Result.TIMED_OUT
            except (ConnectionLostError, HttpError, ValueError):
                result = interface.Result.RESET
        self.loop.tell(interface.Probed(node, result, time.monotonic() - began, load))

    def _ended(self, pending: Pending, attempt: Attempt, outcome: AttemptOutcome) -> interface.Outcome:
        event = super()._ended(pending, attempt, outcome)
        if self.sharing is not None:
            self.sharing.outcome(event, pending.req.volume, pending.req.units)
        return event

    def _tell_peer(self, action: interface.SendPeerMessage) -> None:
        if self.peers is not None:
            self.peers.send(action.gateway_id, action.body)

    # ------------------------------------------------------------ seeing into it

    def status(self) -> dict[str, Any]:
        """What the head thinks of each node, and how it fares itself."""
        now = time.monotonic()
        node_queues = {
            node_queue.node: node_queue
            for node_queue in getattr(self.loop.module, "node_queues", {}).values()
            if node_queue.node is not None
        }
        nodes = []
        for ident, known in sorted(self.list.nodes.items()):
            row: dict[str, Any] = {
                "node": ident,
                "address": f"{known.address[0]}:{known.address[1]}",
                "zone": known.zone,
                "cell": known.cell,
                "listed": known.phase.value,
            }
            if (node_queue := node_queues.get(ident)) is not None:
                row |= {
                    "state": _node_state(node_queue),
                    "bound": round(node_queue.concurrency.limit, 2),
                    "held": node_queue.queue.queued,
                    "out": len(node_queue.in_flight),
                    "response_ms": round(node_queue.response_times.mean_s * 1000, 2),
                    "wait_ms": round(node_queue.response_times.wait_s * 1000, 2),
                    "bad_signs": node_queue.health.failures,
                    "heard_s": round(now - node_queue.health.last_answer_at, 2),
                }
            nodes.append(row)
        m = self.metrics
        return {
            "head": self.config.head.number,
            "policy": self.config.head.policy,
            "up_s": round(now - self.started, 1),
            "list": {
                "version": self.list.version,
                "reachable": self.list.reachable,
                "heard_s": round(now - self.list.heard, 2) if self.list.heard else None,
            },
            "in_hand": len(self.pending),
            "module": {
                "events": m.module_events,
                "errors": m.module_errors,
                "us_per_event": round(m.module_seconds / max(1, m.module_events) * 1e6, 1),
            },
            "map": self.places.status(),
            "duties": self.duty_status(),
            "shared": self.shared_status(),
            "nodes": nodes,
        }
