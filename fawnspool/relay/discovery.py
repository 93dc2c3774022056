"""A client of the platform's discovery service, which converts its list of hosts to `EndpointUpdate` events."""

from __future__ import annotations

import json
import math
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from fawnspool.connections.resource_budget import DECODED_LIST_FACTOR, HOST_BYTES
from fawnspool.connections.start_times import StartTimes
from fawnspool.connections.watch_timeouts import accepts_older_snapshot, watch_timeouts
from fawnspool.gateway.watch_client import PostUpdate, WatchClient
from fawnspool.net.connection_pool import ConnectionPool
from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.relay.errors import NotAnObjectError, NotJsonError, OutdatedListError, UnexpectedFieldError
from fawnspool.scheduling import interface
from fawnspool.telemetry.logs import EventLogger

LIST_TARGET = b"/catalog/members"
# Interval of a watch's heartbeats while nothing changes (the platform's document PROTOCOL, section Discovery).
HEARTBEAT_S = 2.0
_PHASES = {"active": interface.Phase.READY, "leaving": interface.Phase.DRAINING, "left": interface.Phase.GONE}
_MS_PER_S = 1000
_NUMBER_FIELDS = ("share", "born_ms")
_MAX_LOGGED_ENTRY_CHARS = 200
_MAX_LOGGED_ENTRIES = 8  # malformed entries of one message that are logged one by one
MAX_HOSTS = 16_384  # known hosts and a message's entries together, five times the platform's largest fleet


@dataclass(frozen=True)
class EndpointNames:
    """Names of zones and node kinds; the decision module's number of a name is its index, or 0 if it is unknown."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DiscoveredNode:
    """What the gateway keeps of a node in the endpoint list."""

    name: str
    address: tuple[str, int]
    phase: interface.Phase
    shard: int


@dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry of the platform's list.

    Attributes
    ----------
    zone, kind
        Names as the list gives them, which may be unknown or of any JSON type.
    started_at
        Wall-clock time in seconds at which the host started; 0: long ago.
    """

    node: DiscoveredNode
    zone: Any
    kind: Any
    size: float
    started_at: float


class DiscoveryClient(WatchClient):
    """Keeps this gateway's copy of the endpoint list up to date.

    Nodes are numbered in the order in which they appear; a number is never reused.
    """

    def __init__(
        self,
        address: tuple[str, int],
        names: EndpointNames,
        post: PostUpdate,
        log: EventLogger,
        descriptors: DescriptorGate | None = None,
    ) -> None:
        super().__init__(address, watch_timeouts(HEARTBEAT_S), post, log, descriptors)
        self.names = names
        self.nodes: dict[int, DiscoveredNode] = {}
        self.numbers: dict[str, int] = {}
        self.start_times = StartTimes()
        self.start_times.observe_clocks(time.time(), time.monotonic())
        self.last_number = 0
        self.older_lists_in_row = 0
        self.malformed_entries = 0  # of the last message
        self.max_hosts = MAX_HOSTS
        self.confirmed = False  # whether the service has sent or confirmed the current list

    def limit_memory(self, list_bytes: int) -> None:
        """Limit the memory that the list takes, decoded and as it is kept; called before `start`."""
        self.max_hosts = min(MAX_HOSTS, list_bytes // HOST_BYTES)
        self.max_object_bytes = min(self.max_object_bytes, list_bytes // DECODED_LIST_FACTOR)
        options = replace(self.pool.options, max_body_bytes=self.max_object_bytes)
        self.pool = ConnectionPool(self.pool.address, options, self.pool.descriptors)

    def start(self, known: Mapping[str, Any]) -> None:
        """Post the endpoint list of the configuration, which may be outdated."""
        try:
            self._apply(known, interface.UpdateKind.CACHED)
        except ValueError as error:
            self._start_without_list(error)

    def _start_without_list(self, error: ValueError) -> None:
        self.log.error("known_endpoints_malformed", error=str(error))
        self.post(interface.EndpointUpdate(interface.UpdateKind.CACHED, 0, ()))

    def fetch(self) -> None:
        """Open the watch, on which the service pushes updates; a single response would bring no later ones."""
        self.watch(True)

    def move(self, address: tuple[str, int]) -> None:
        """Switch to another address, and continue from the current version of the list."""
        host, port = address
        self.log.info("discovery_moved", to=f"{host}:{port}")
        old_pool = self.pool
        was_watching = self.watch_greenlet is not None
        self.pool = old_pool.for_address(address)
        self.watch(False)  # ignore further messages from the old address
        old_pool.close_idle()
        if was_watching:
            self.watch(True)

    # ------------------------------------------------------------ the platform's format

    def poll_target(self) -> bytes:
        """Return the request target of the whole list."""
        return LIST_TARGET

    def watch_target(self) -> bytes:
        """Return the request target of a watch of the changes after `version`."""
        return LIST_TARGET + b"?stream=1&index=%d" % self.version

    def on_heartbeat(self) -> None:
        """Confirm a cached list: a heartbeat means no change since the version at which the watch began."""
        if not self.confirmed:
            self.confirmed = True
            self.post(interface.EndpointUpdate(interface.UpdateKind.DELTA, self.version, ()))

    def apply(self, data: bytes) -> None:
        """Apply a snapshot or a delta and post it; a delta that is older than the list is ignored.

        Raises
        ------
        MalformedUpdateError
            The message is malformed, or it is a snapshot that is older than the current list.
        """
        message = _decode(data)
        is_snapshot = bool(message.get("whole", True))
        version = _version(message)
        if version < self.version:
            if not is_snapshot:
                return
            self.older_lists_in_row += 1
            if not accepts_older_snapshot(self.older_lists_in_row):
                raise OutdatedListError(version, self.version)
        self.older_lists_in_row = 0
        self._apply(message, interface.UpdateKind.SNAPSHOT if is_snapshot else interface.UpdateKind.DELTA)

    def _apply(self, message: Mapping[str, Any], kind: interface.UpdateKind) -> None:
        version = _version(message)
        raw_entries = message.get("hosts") or []
        if not isinstance(raw_entries, list):
            raise UnexpectedFieldError("hosts", "a list")
        is_delta = kind is interface.UpdateKind.DELTA
        known = len(self.nodes) if is_delta else 0
        if known + len(raw_entries) > self.max_hosts:
            raise UnexpectedFieldError("hosts", f"at most {self.max_hosts} with the {known} known ones")
        now = time.monotonic()
        self.start_times.observe_clocks(time.time(), now)
        if not is_delta:
            self.nodes = {}
        self.malformed_entries = 0
        endpoints = [
            endpoint for raw_entry in raw_entries if (endpoint := self._apply_entry(raw_entry, now)) is not None
        ]
        if self.malformed_entries > _MAX_LOGGED_ENTRIES:
            self.log.error("endpoint_entries_malformed", entries=self.malformed_entries, version=version)
        if not is_delta:
            self.numbers = {node.name: number for number, node in self.nodes.items()}
            self.start_times.retain(set(self.numbers))
        self.version = version
        self.confirmed = kind is not interface.UpdateKind.CACHED
        self.post(interface.EndpointUpdate(kind, version, tuple(endpoints)))

    def _apply_entry(self, raw_entry: Any, now: float) -> interface.Endpoint | None:
        """Apply an entry of the list; None: it is malformed and was logged."""
        try:
            host = _read_host(raw_entry)
            endpoint = self._endpoint(host, now)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self._log_malformed(raw_entry, error)
            return None
        if endpoint.phase is interface.Phase.GONE:
            self.nodes.pop(endpoint.node, None)
            self.numbers.pop(host.node.name, None)
            self.start_times.forget(host.node.name)
        else:
            self.nodes[endpoint.node] = host.node
        return endpoint

    def _log_malformed(self, raw_entry: Any, error: Exception) -> None:
        self.malformed_entries += 1
        if self.malformed_entries > _MAX_LOGGED_ENTRIES:
            return
        self.log.error("endpoint_entry_malformed", entry=str(raw_entry)[:_MAX_LOGGED_ENTRY_CHARS], error=str(error))

    def _endpoint(self, host: ListedHost, now: float) -> interface.Endpoint:
        zones = self.names.zones
        kinds = self.names.kinds
        return interface.Endpoint(
            node=self._number_of(host.node.name),
            zone=zones.index(host.zone) if host.zone in zones else 0,
            kind=kinds.index(host.kind) if host.kind in kinds else 0,
            shard=host.node.shard,
            phase=host.node.phase,
            size=host.size,
            started_at=self.start_times.started_at(host.node.name, host.started_at, now),
        )

    def _number_of(self, name: str) -> int:
        number = self.numbers.get(name)
        if number is None:
            self.last_number += 1
            number = self.numbers[name] = self.last_number
        return number


def _decode(data: bytes) -> Mapping[str, Any]:
    try:
        message = json.loads(data)
    except ValueError as error:
        raise NotJsonError(error) from None
    if not isinstance(message, dict):
        raise NotAnObjectError
    return message


def _version(message: Mapping[str, Any]) -> int:
    raw = message.get("seq", 0)
    try:
        return int(raw)
    except (TypeError, ValueError):
        raise UnexpectedFieldError("seq", f"an integer, found {raw!r}") from None


def _read_host(raw_entry: Mapping[str, Any]) -> ListedHost:
    """Parse an entry, and translate the platform's names to this project's names.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        The entry is malformed.
    """
    name = str(raw_entry["host"])
    health = raw_entry["health"]
    if health not in _PHASES:
        raise UnexpectedFieldError("health", f"one of {', '.join(_PHASES)}, found {health!r}")
    host, _, port = str(raw_entry["dial"]).rpartition(":")
    shard = int(raw_entry["block"])
    size = float(raw_entry.get("share", 1.0))
    started_ms = float(raw_entry.get("born_ms", 0))
    if not math.isfinite(size + started_ms):
        raise UnexpectedFieldError(" and ".join(_NUMBER_FIELDS), "finite numbers")
    return ListedHost(
        node=DiscoveredNode(name, (host, int(port)), _PHASES[health], shard),
        zone=raw_entry.get("site"),
        kind=raw_entry.get("class"),
        size=size,
        started_at=started_ms / _MS_PER_S,
    )
