"""The platform's list of shelfs, as `EndpointUpdate` events. Inside, a shelf is a node and its block a cell."""

from __future__ import annotations

import json
import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from fawnspool.connections.start_times import StartTimes
from fawnspool.connections.watch_timeouts import accepts_older_snapshot, watch_timeouts
from fawnspool.gateway.watch_client import ListLink
from fawnspool.scheduling import interface

PLACE = b"/catalog/members"
HEARTBEAT_S = 2.0  # while nothing changes, a watch says so this often (PROTOCOL, Discovery)
_PHASES = {"active": interface.Phase.READY, "leaving": interface.Phase.DRAINING, "left": interface.Phase.GONE}


@dataclass(frozen=True, slots=True)
class Shelf:
    """What the head keeps of a listed shelf."""

    name: str
    address: tuple[str, int]
    phase: interface.Phase
    cell: int


class Discovery(ListLink):
    """The list as this head has it. Shelfs are numbered here as they appear; a number is never given again."""

    def __init__(
        self,
        address: tuple[str, int],
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        tell: Callable[[Any], None],
        log: Any,
        free_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        times = watch_timeouts(HEARTBEAT_S)
        super().__init__(address, times.call_s, times.silence_s, tell, log, free_descriptor)
        self.zones, self.kinds = zones, kinds
        self.nodes: dict[int, Shelf] = {}
        self.numbers: dict[str, int] = {}
        self.starts = StartTimes()
        self.starts.observe_clocks(time.time(), time.monotonic())
        self.last = 0
        self.older = 0  # lists older than what is held, in a row
        self.confirmed = False  # has the service said anything of the list that is held?

    def fetch(self) -> None:
        """Where lists are pushed, the push is a watch too: without one nothing would come after the first answer."""
        self.watch(True)

    def beat(self) -> None:
        """Nothing has changed since the version that the watch named: a list that was only saved is so confirmed."""
        if not self.confirmed:
            self.confirmed = True
            self.tell(interface.EndpointUpdate(interface.UpdateKind.DELTA, self.version, ()))

    def start(self, known: Mapping[str, Any]) -> None:
        """Give the list that the configuration holds, which may be old."""
        try:
            self._apply(known, interface.UpdateKind.CACHED)
        except ValueError as bad:
            self.log.error("the known list does not read", error=str(bad))
            self.tell(interface.EndpointUpdate(interface.UpdateKind.CACHED, 0, ()))

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on: a watch goes on there, from the version that is held."""
        self.log.info("discovery moves", to=f"{address[0]}:{address[1]}")
        old, watched = self.pool, self.watching is not None
        self.pool = old.for_address(address)
        self.watch(False)  # what the old place still says tells nothing any more
        old.close_idle()
        if watched:
            self.watch(True)

    def call_target(self) -> bytes:
        return PLACE

    def watch_target(self) -> bytes:
        return PLACE + b"?stream=1&index=%d" % self.version

    def take(self, data: bytes) -> None:
        try:
            told = json.loads(data)
        except ValueError as bad:
            raise ValueError(f"not JSON: {bad}") from None
        if not isinstance(told, dict):
            raise ValueError("expected an object")
        whole, version = bool(told.get("whole", True)), _version(told)
        if version < self.version:
            if not whole:
                return  # heard before
            self.older += 1
            if not accepts_older_snapshot(self.older):
                raise ValueError(f"a list of {version}, older than {self.version}")
        self.older = 0
        self._apply(told, interface.UpdateKind.SNAPSHOT if whole else interface.UpdateKind.DELTA)

    def _apply(self, told: Mapping[str, Any], kind: interface.UpdateKind) -> None:
        version, rows = _version(told), told.get("hosts") or []
        if not isinstance(rows, list):
            raise ValueError("hosts: expected a list")
        now = time.monotonic()
        self.starts.observe_clocks(time.time(), now)
        if kind is not interface.UpdateKind.DELTA:
            self.nodes = {}
        entries = []
        for row in rows:
            try:
                entry, shelf = self._read(row, now)
            except (KeyError, TypeError, ValueError, AttributeError) as bad:
                self.log.error("a list entry does not read", entry=str(row)[:200], error=str(bad))
                continue
            entries.append(entry)
            if entry.phase is interface.Phase.GONE:
                self.nodes.pop(entry.node, None)
                self.numbers.pop(shelf.name, None)
                self.starts.forget(shelf.name)
            else:
                self.nodes[entry.node] = shelf
        if kind is not interface.UpdateKind.DELTA:
            self.numbers = {shelf.name: node for node, shelf in self.nodes.items()}
            self.starts.retain(set(self.numbers))
        self.version, self.confirmed = version, kind is not interface.UpdateKind.CACHED
        self.tell(interface.EndpointUpdate(kind, version, tuple(entries)))

    def _read(self, row: Mapping[str, Any], now: float) -> tuple[interface.Endpoint, Shelf]:
        name, state = str(row["host"]), row["health"]
        if state not in _PHASES:
            raise ValueError(f"health: expected one of {', '.join(_PHASES)}, found {state!r}")
        host, _, port = str(row["dial"]).rpartition(":")
        phase, cell, share, born = (
            _PHASES[state],
            int(row["block"]),
            float(row.get("share", 1.0)),
            float(row.get("born_ms", 0)),
        )
        if not math.isfinite(share + born):
            raise ValueError("share and born_ms: expected numbers")
        shelf = Shelf(name, (host, int(port)), phase, cell)
        zone, made = row.get("site"), row.get("class")
        node = self.numbers.get(name)
        if node is None:  # it reads whole, so a number is not given in vain
            self.last += 1
            node = self.numbers[name] = self.last
        return interface.Endpoint(
            node,
            self.zones.index(zone) if zone in self.zones else 0,
            self.kinds.index(made) if made in self.kinds else 0,
            cell,
            phase,
            share,
            self.starts.started_at(name, born / 1000, now),
        ), shelf


def _version(told: Mapping[str, Any]) -> int:
    try:
        return int(told.get("seq", 0))
    except (TypeError, ValueError):
        raise ValueError(f"seq: expected a whole number, found {told.get('seq')!r}") from None
