"""A client of the platform's discovery service: its list of hosts as `EndpointUpdate` events."""

from __future__ import annotations

import json
import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from fawnspool.connections.start_times import StartTimes
from fawnspool.connections.watch_timeouts import accepts_older_snapshot, watch_timeouts
from fawnspool.gateway.watch_client import PostUpdate, WatchClient
from fawnspool.relay.errors import NotAnObjectError, NotJsonError, OutdatedListError, UnexpectedFieldError
from fawnspool.scheduling import interface
from fawnspool.telemetry.logs import EventLogger

LIST_TARGET = b"/catalog/members"
HEARTBEAT_S = 2.0  # while nothing changes, a watch says so this often (PROTOCOL, Discovery)
_PHASES = {"active": interface.Phase.READY, "leaving": interface.Phase.DRAINING, "left": interface.Phase.GONE}
_MS_PER_S = 1000
_NUMBER_FIELDS = ("share", "born_ms")
_MAX_LOGGED_ENTRY_CHARS = 200


@dataclass(frozen=True)
class EndpointNames:
    """Names in the order of the module's numbers; any other name counts as the first."""

    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DiscoveredNode:
    """What the gateway keeps of a listed node."""

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
        Names; whatever stands in the list.
    started_at
        Seconds of the wall clock; 0: long ago.
    """

    node: DiscoveredNode
    zone: Any
    kind: Any
    size: float
    started_at: float


class DiscoveryClient(WatchClient):
    """The list as this gateway has it.

    Nodes are numbered here as they appear; a number is never given again.
    """

    def __init__(
        self,
        address: tuple[str, int],
        names: EndpointNames,
        post: PostUpdate,
        log: EventLogger,
        free_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__(address, watch_timeouts(HEARTBEAT_S), post, log, free_descriptor)
        self.names = names
        self.nodes: dict[int, DiscoveredNode] = {}
        self.numbers: dict[str, int] = {}
        self.start_times = StartTimes()
        self.start_times.observe_clocks(time.time(), time.monotonic())
        self.last_number = 0
        self.older_lists_in_row = 0
        self.confirmed = False  # the service has said something of the list that is held

    def start(self, known: Mapping[str, Any]) -> None:
        """Post the list of the configuration, which may be old."""
        try:
            self._apply(known, interface.UpdateKind.CACHED)
        except ValueError as error:
            self._start_without_list(error)

    def _start_without_list(self, error: ValueError) -> None:
        self.log.error("known_endpoints_malformed", error=str(error))
        self.post(interface.EndpointUpdate(interface.UpdateKind.CACHED, 0, ()))

    def fetch(self) -> None:
        """Open the watch: where lists are pushed, a single answer would be followed by nothing."""
        self.watch(True)

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address, from the version that is held."""
        host, port = address
        self.log.info("discovery_moved", to=f"{host}:{port}")
        old_pool = self.pool
        was_watching = self.watch_greenlet is not None
        self.pool = old_pool.for_address(address)
        self.watch(False)  # what the old address still says is not heard
        old_pool.close_idle()
        if was_watching:
            self.watch(True)

    # ------------------------------------------------------------ the platform's form

    def poll_target(self) -> bytes:
        """Where the whole list is asked for."""
        return LIST_TARGET

    def watch_target(self) -> bytes:
        """Where a watch of what follows `version` is asked for."""
        return LIST_TARGET + b"?stream=1&index=%d" % self.version

    def on_heartbeat(self) -> None:
        """Confirm a list that was only cached: nothing has changed since the version that the watch named."""
        if not self.confirmed:
            self.confirmed = True
            self.post(interface.EndpointUpdate(interface.UpdateKind.DELTA, self.version, ()))

    def apply(self, data: bytes) -> None:
        """Take a list or a change of it and post it; a change that is older than the list is heard already.

        Raises
        ------
        MalformedUpdateError
            It does not read, or is a whole list that is older than the one held.
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
        rows = message.get("hosts") or []
        if not isinstance(rows, list):
            raise UnexpectedFieldError("hosts", "a list")
        now = time.monotonic()
        self.start_times.observe_clocks(time.time(), now)
        is_delta = kind is interface.UpdateKind.DELTA
        if not is_delta:
            self.nodes = {}
        endpoints = [endpoint for row in rows if (endpoint := self._apply_row(row, now)) is not None]
        if not is_delta:
            self.numbers = {node.name: number for number, node in self.nodes.items()}
            self.start_times.retain(set(self.numbers))
        self.version = version
        self.confirmed = kind is not interface.UpdateKind.CACHED
        self.post(interface.EndpointUpdate(kind, version, tuple(endpoints)))

    def _apply_row(self, row: Any, now: float) -> interface.Endpoint | None:
        """Take an entry; None: it does not read."""
        try:
            host = _read_host(row)
            endpoint = self._endpoint(host, now)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            self._log_malformed(row, error)
            return None
        if endpoint.phase is interface.Phase.GONE:
            self.nodes.pop(endpoint.node, None)
            self.numbers.pop(host.node.name, None)
            self.start_times.forget(host.node.name)
        else:
            self.nodes[endpoint.node] = host.node
        return endpoint

    def _log_malformed(self, row: Any, error: Exception) -> None:
        self.log.error("endpoint_entry_malformed", entry=str(row)[:_MAX_LOGGED_ENTRY_CHARS], error=str(error))

    def _endpoint(self, host: ListedHost, now: float) -> interface.Endpoint:
        zones = self.names.zones
        kinds = self.names.kinds
        return interface.Endpoint(
            node=self._number(host.node.name),
            zone=zones.index(host.zone) if host.zone in zones else 0,
            kind=kinds.index(host.kind) if host.kind in kinds else 0,
            shard=host.node.shard,
            phase=host.node.phase,
            size=host.size,
            started_at=self.start_times.started_at(host.node.name, host.started_at, now),
        )

    def _number(self, name: str) -> int:
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
        raise UnexpectedFieldError("seq", f"a whole number, found {raw!r}") from None


def _read_host(row: Mapping[str, Any]) -> ListedHost:
    """Read an entry; this is where the platform's names become ours.

    Raises
    ------
    KeyError, TypeError, ValueError, AttributeError
        It does not read.
    """
    name = str(row["host"])
    health = row["health"]
    if health not in _PHASES:
        raise UnexpectedFieldError("health", f"one of {', '.join(_PHASES)}, found {health!r}")
    host, _, port = str(row["dial"]).rpartition(":")
    shard = int(row["block"])
    size = float(row.get("share", 1.0))
    started_ms = float(row.get("born_ms", 0))
    if not math.isfinite(size + started_ms):
        raise UnexpectedFieldError(" and ".join(_NUMBER_FIELDS), "numbers")
    return ListedHost(
        node=DiscoveredNode(name, (host, int(port)), _PHASES[health], shard),
        zone=row.get("site"),
        kind=row.get("class"),
        size=size,
        started_at=started_ms / _MS_PER_S,
    )
