"""The work of duties: draining cells, comparing inventories. `duties/drain.py` and `compare.py` choose; this asks and
carries out.

All a successor needs is with the map and the nodes: which cells are to be drained, what still lies there, how far a
move has come. Before its first step a holder shows its token to the map service, and to each node before a step there.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent
import msgspec

from fawnspool.extents.migration import MigrationStep
from fawnspool.extents.records import ExtentRecord
from fawnspool.extents.replicas import ReplicaRole
from fawnspool.gateway.extent_directory import MapClient, Places, PlacesError, Wishes
from fawnspool.gateway.lease_runner import Duties, Hold
from fawnspool.gateway.migrator import Mover
from fawnspool.leases.drain import Failures, Pace, shard_of, target
from fawnspool.leases.inventory import compare
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError
from fawnspool.scheduling import interface

ASK_EVERY = 1.0  # seconds between two looks at what operators want, of all duties of one head together
SLICE = 2000  # facts looked at before others get their turn
DRAIN, PAUSE, RELEASE = "drain/", "pause/", "release/"


class Works:
    """Of one head. in_hand(): requests that it has; nodes(): its list by node number."""

    def __init__(
        self,
        places: Places,
        client: MapClient,
        nodes: Callable[[], dict[int, Any]],
        in_hand: Callable[[], int],
        log: Any,
        timeout: float,
    ) -> None:
        self.places, self.client, self.nodes, self.in_hand, self.log = places, client, nodes, in_hand, log
        self.timeout = timeout
        self.by_kind: dict[str, Callable[[Hold], None]] = {"drain": self.drain, "compare": self.compare}
        self.wanted: Wishes | None = None  # None: the map service does not say

    # ------------------------------------------------------------ what both need

    def poll(self, duties: Duties) -> None:
        """Ask what operators want, once for all duties of this head, while it holds any. Beside the work, so that a
        head that is cut off from the map service knows it however long its work waits."""
        lease = duties.config.lease
        every = min(ASK_EVERY, lease / 2)
        while True:
            if not duties.holds:
                self.wanted = None
                gevent.sleep(every / 8)
                continue
            try:
                self.wanted = self.client.until(time.monotonic() + lease / 4).wishes()
            except PlacesError:
                self.wanted = None
            for hold in list(duties.holds.values()):
                duties.reached(hold.duty, "the map service", self.wanted is not None)
                until = self.wanted.wishes.get(RELEASE + hold.name) if self.wanted is not None else None
                if until is not None and hold.token <= int(until):
                    duties.release(hold.name)
            gevent.sleep(every if self.wanted is not None else every / 8)

    def _wishes(self, hold: Hold) -> dict[str, str] | None:
        hold.check()
        return None if self.wanted is None else self.wanted.wishes

    def _paused(self, hold: Hold, wishes: dict[str, str]) -> bool:
        return PAUSE + hold.name in wishes or PAUSE + hold.kind.name in wishes

    def _show(self, hold: Hold, note: str) -> bool:
        """Show the token to the map service. Raises Fenced, LeaseOver."""
        stamp = hold.stamp()
        try:
            self.client.until(time.monotonic() + hold.left()).fence(note, **stamp)
        except PlacesError:
            hold.reached("the map service", False)
            hold.check()
            return False
        hold.reached("the map service", True)
        return True

    def _cells(self) -> dict[int, tuple[str, int]]:
        """Addresses by cell of the nodes that take work."""
        return {known.cell: known.address for known in self.nodes().values() if known.phase is not interface.Phase.GONE}

    # ------------------------------------------------------------ draining

    def drain(self, hold: Hold) -> None:
        _Drain(self, hold).run()

    # ------------------------------------------------------------ comparing

    def compare(self, hold: Hold) -> None:
        while not self._show(hold, ""):
            hold.sleep(0.2)
        while True:
            wishes = self._wishes(hold)
            if wishes is not None and not self._paused(hold, wishes):
                held = {cell: self._held(hold, where) for cell, where in self._cells().items()}
                report = compare(
                    {(f.volume, f.extent): f.shard for f in self._facts(hold)}, held, hold.shard, hold.kind.shards
                )
                self.log.info("inventories compared", duty=hold.name, report=str(report))
                self._show(hold, str(report))
            until = time.monotonic() + hold.kind.every
            while time.monotonic() < until:
                hold.sleep(ASK_EVERY)
                self._wishes(hold)

    def _facts(self, hold: Hold) -> list[ExtentRecord]:
        """Of this shard, as the head's map has them; others get their turn meanwhile."""
        out = []
        for k, f in enumerate(self.places.map.records()):
            if k % SLICE == SLICE - 1:
                gevent.sleep(0)
                hold.check()
            if f.shard >= 0 and shard_of(f.volume, f.extent, hold.kind.shards) == hold.shard:
                out.append(f)
        return out

    def _held(self, hold: Hold, where: tuple[str, int]) -> list[tuple[str, str]] | None:
        try:
            status, body = call(
                ConnectionPool(where, PoolOptions(1, self.timeout, 0.0)),
                b"GET",
                b"/-/objects",
                time.monotonic() + min(self.timeout, hold.left()),
            )
            if status.code != 200:
                return None
            return [(row[0], row[1]) for row in msgspec.json.decode(body, type=list[tuple[str, str, int, str]])]
        except (ConnectError, ConnectionLostError, HttpError, TimeoutError, msgspec.MsgspecError):
            return None
        finally:
            hold.check()


class _Drain:
    """One hold of one shard."""

    def __init__(self, works: Works, hold: Hold) -> None:
        self.works, self.hold, self.kind = works, hold, hold.kind
        self.pace = Pace(self.kind.moves / self.kind.shards, self.kind.bytes / self.kind.shards, self.kind.busy)
        self.failures = Failures()
        self.shown: set[tuple[str, int]] = set()  # nodes that have seen this holder's token
        self.moved = 0
        self.said = float("-inf")
        self.mover = Mover(
            lambda cell: works._cells().get(cell),
            works.client,
            works.timeout,
            taken=lambda step: hold.check(),
            stamp=hold.stamp,
            left=lambda: max(0.0, hold.left()),
        )

    def run(self) -> None:
        hold, works = self.hold, self.works
        while not works._show(hold, ""):
            hold.sleep(0.2)
        while True:
            wishes = works._wishes(hold)
            cells = {int(name[len(DRAIN) :]) for name in wishes or () if name.startswith(DRAIN)}
            if wishes is None or not cells or works._paused(hold, wishes):
                hold.sleep(ASK_EVERY / 8)
                continue
            left = [f for f in works._facts(hold) if f.shard in cells]
            self._say(len(left))
            began = self.moved
            for f in left:
                wishes = works._wishes(hold)
                if wishes is None or works._paused(hold, wishes) or f"{DRAIN}{f.shard}" not in wishes:
                    break
                self._move(f, cells)
            if self.moved == began:
                hold.sleep(ASK_EVERY / 4)

    def _say(self, left: int) -> None:
        now = time.monotonic()
        if now - self.said >= ASK_EVERY:
            self.said = now
            self.works._show(self.hold, f"{self.moved} moved, {left} left")

    def _ready(self, cell: int) -> bool:
        """Has the cell's node taken this token? Shown once a node. Raises Fenced."""
        where = self.works._cells().get(cell)
        if where is None:
            return False
        if where not in self.shown and self.mover.raise_fence(cell):
            self.shown.add(where)
        self.hold.check()
        return where in self.shown

    def _move(self, f: ExtentRecord, drained: set[int]) -> None:
        hold, key = self.hold, (f.volume, f.extent)
        if not self.failures.due(time.monotonic(), key):
            return
        fresh = self.works.places.map.find(*key)  # a move, or a delete, may have come meanwhile
        if fresh is None or fresh.shard != f.shard:
            return
        while (wait := self.pace.wait(time.monotonic(), fresh.size, self.works.in_hand())) > 0:
            hold.sleep(wait)
        to = self._where(f, drained)
        ready = [self._ready(cell) for cell in (f.shard, to) if cell is not None]
        hold.reached("any node", any(ready))  # one that is away is its own affair; all of them is this head's
        hold.check()
        if to is None or not all(ready):
            return self.failures.failed(time.monotonic(), key)
        end = self.mover.move(f.volume, f.extent, to, time.monotonic() + min(hold.left(), 2 * self.works.timeout))
        hold.check()
        if end is MigrationStep.DONE:
            self.moved += 1
            self.failures.done(key)
            hold.reached("any node", True)
        else:
            if self.mover.look(f.shard, *key) is None and self.mover.look(to, *key) is None:
                hold.reached("any node", False)
                hold.check()
            self.failures.failed(time.monotonic(), key)

    def _where(self, f: ExtentRecord, drained: set[int]) -> int | None:
        """To which cell: a predecessor's choice where it has fenced the extent for it, else the draw's."""
        seen = self.mover.look(f.shard, f.volume, f.extent)
        if (
            seen is not None
            and seen.role is ReplicaRole.FENCED
            and seen.successor >= 0
            and seen.generation == f.stamp.generation + 1
        ):
            return seen.successor
        takes = {known.cell for known in self.works.nodes().values() if known.phase is interface.Phase.READY}
        return target(f.volume, f.extent, takes - drained)
