"""Carries out moves: looks at both nodes and the map, takes the step that `extents/migration.py` finds, looks again.

It keeps nothing that it needs: one that was killed is resumed by calling `move` again, here or elsewhere.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import gevent
import msgspec

from fawnspool.extents.migration import (
    Migration,
    MigrationStep,
    ReplicaReport,
    next_step,
    poll_pause_s,
    required_notice,
)
from fawnspool.extents.records import ExtentRecord
from fawnspool.extents.replicas import ReplicaRole
from fawnspool.gateway.extent_directory import MapClient, PlacesError
from fawnspool.leases.fencing import StaleTokenError
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError

_BAD = (ConnectError, ConnectionLostError, HttpError, TimeoutError, msgspec.MsgspecError, PlacesError)


class _Refused(msgspec.Struct):
    fenced: str
    newest: int


class _Told(msgspec.Struct):
    role: str
    generation: int
    position: int
    to: int
    fence: int
    kept: bool


class Mover:
    """`where(cell)`: the address of the node that serves a cell, None: there is none now. taken(step): called before
    each step, for whoever wants to see or to stop it. stamp(): the duty, token, who and head that each step bears; it
    raises where the duty is not held any more. left(): seconds that a call may take at most."""

    def __init__(
        self,
        where: Callable[[int], tuple[str, int] | None],
        places: MapClient,
        timeout: float = 2.0,
        taken: Callable[[MigrationStep], None] = lambda step: None,
        stamp: Callable[[], dict[str, Any]] = dict,
        left: Callable[[], float] = lambda: float("inf"),
    ) -> None:
        self.where, self.places, self.timeout, self.taken = where, places, timeout, taken
        self.stamp, self.left = stamp, left
        self.pools: dict[tuple[str, int], ConnectionPool] = {}

    def move(
        self, volume: str, extent: str, to: int, deadline: float, undo: bool = False, last: Migration | None = None
    ) -> MigrationStep:
        """Bring the extent to a cell, or give that up where that is still safe: DONE, LOST (another move has won, or
        there is nothing to move), or WAIT where the deadline (monotonic) came first. last: a move that was begun."""
        move, looks = last, 0
        while time.monotonic() < deadline:
            step = MigrationStep.WAIT
            try:
                if move is None:
                    fact = self.places.fact(volume, extent)
                    if fact is None:
                        return MigrationStep.SUPERSEDED
                    if fact.shard == to:
                        if self._serves(volume, extent, fact):
                            return MigrationStep.DONE
                        raise ConnectError("its node is away or unsure")
                    move = Migration(fact.shard, to, fact.stamp.generation + 1)
                step = self._once(move, volume, extent, undo)
            except _BAD:
                pass  # a node or the service is away: look again
            if step in (MigrationStep.DONE, MigrationStep.SUPERSEDED):
                return step
            if step is MigrationStep.WAIT:
                gevent.sleep(max(0.0, min(poll_pause_s(looks), deadline - time.monotonic())))
            looks = looks + 1 if step is MigrationStep.WAIT else 0
        return MigrationStep.WAIT

    def _serves(self, volume: str, extent: str, fact: ExtentRecord) -> bool:
        """Does the node serve what the map says lies there? One that is unsure is told."""
        seen = self.look(fact.shard, volume, extent)
        if seen is not None and seen.role is ReplicaRole.UNCONFIRMED:
            return self._step(fact.shard, volume, extent, "confirm", fact.stamp.generation, mine=True)
        return seen is not None and seen.role is ReplicaRole.OWNER

    def _once(self, move: Migration, volume: str, extent: str, undo: bool) -> MigrationStep:
        fact = self.places.fact(volume, extent)
        mapped = move.generation if fact is None else fact.stamp.generation  # deleted: nobody needs the flip
        source, dest = self.look(move.source, volume, extent), self.look(move.target, volume, extent)
        if fact is not None and (tell := required_notice(move, source, dest, mapped, fact.shard)) is not None:
            self._step(tell.shard, volume, extent, tell.command.value, tell.generation, mine=tell.is_owner)
            return MigrationStep.COPY
        step = next_step(move, source, dest, mapped, undo)
        if fact is None and step is MigrationStep.SUPERSEDED:
            return step
        self.taken(step)
        self._take(step, move, volume, extent, source)
        return step

    def _take(
        self, step: MigrationStep, move: Migration, volume: str, extent: str, source: ReplicaReport | None
    ) -> None:
        g = move.generation
        if step is MigrationStep.BEGIN_FILLING:
            self._step(move.target, volume, extent, "fill", g)
        elif step in (MigrationStep.COPY, MigrationStep.CATCH_UP):
            self._copy(move, volume, extent)
        elif step is MigrationStep.FENCE:
            self._step(move.source, volume, extent, "close", g, to=move.target)
        elif step is MigrationStep.ACTIVATE:
            assert source is not None
            self._step(move.target, volume, extent, "open", g, fence=source.fence_position)
        elif step is MigrationStep.UPDATE_MAP:
            self._flip(volume, extent, move.target, g)
        elif step is MigrationStep.DISCARD_SOURCE:
            self._step(move.source, volume, extent, "forget", g)
        elif step is MigrationStep.CANCEL:
            self._step(move.target, volume, extent, "cancel", g)
        elif step is MigrationStep.REACTIVATE and self._step(move.source, volume, extent, "reopen", g):
            self._flip(volume, extent, move.source, g + 1)

    def _flip(self, volume: str, extent: str, cell: int, generation: int) -> None:
        stamp = self.stamp()
        self.places.until(time.monotonic() + self.left()).flip(volume, extent, cell, generation, **stamp)

    def raise_fence(self, cell: int) -> bool:
        """Show the token to a cell's node. Raises StaleTokenError."""
        try:
            return self._call(cell, b"POST", "/-/fence", "", "", effect=True)[0] == 200
        except _BAD:
            return False

    # ------------------------------------------------------------ nodes

    def _call(
        self,
        cell: int,
        method: bytes,
        place: str,
        volume: str,
        extent: str,
        body: bytes = b"",
        effect: bool = False,
        **more: int,
    ) -> tuple[int, bytes]:
        where = self.where(cell)
        if where is None:
            raise ConnectError(f"cell {cell} has no node")
        pool = self.pools.setdefault(where, ConnectionPool(where, PoolOptions(8, self.timeout, 10.0)))
        stamp = self.stamp() if effect else {}  # after every wait, and just before the step leaves
        target = f"{place}?{urlencode({'volume': volume, 'key': extent, **more, **stamp})}".encode()
        status, data = call(pool, method, target, time.monotonic() + min(self.timeout, self.left()), body)
        if status.code == 403:
            told = msgspec.json.decode(data, type=_Refused)
            raise StaleTokenError(told.fenced, told.newest)
        return status.code, data

    def look(self, cell: int, volume: str, extent: str) -> ReplicaReport | None:
        """The node's side of the extent; None: it does not answer."""
        try:
            code, data = self._call(cell, b"GET", "/-/extent", volume, extent)
            if code != 200:
                return None
            t = msgspec.json.decode(data, type=_Told)
            return ReplicaReport(ReplicaRole(t.role), t.generation, t.position, t.to, t.fence, t.kept)
        except (*_BAD, ValueError):
            return None

    def _step(self, cell: int, volume: str, extent: str, step: str, generation: int, **more: int) -> bool:
        asked = msgspec.json.encode({"step": step, "generation": generation, **more})
        return self._call(cell, b"POST", "/-/extent", volume, extent, asked, effect=True)[0] == 200

    def _copy(self, move: Migration, volume: str, extent: str) -> None:
        code, data = self._call(move.source, b"GET", "/-/extent/data", volume, extent)
        if code == 200:
            self._call(
                move.target, b"PUT", "/-/extent/data", volume, extent, data, effect=True, generation=move.generation
            )
