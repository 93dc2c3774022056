"""Carries out moves: looks at both nodes and the map, takes the step that `extents/moves.py` finds, looks again.

It keeps nothing that it needs: one that was killed is resumed by calling `move` again, here or elsewhere.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import gevent
import msgspec

from fawnspool.extents.migration import Move, Seen, Step, next_step, pause, tell_first
from fawnspool.extents.records import Fact
from fawnspool.extents.replicas import Role
from fawnspool.gateway.extent_directory import MapClient, PlacesError
from fawnspool.leases.fencing import StaleTokenError
from fawnspool.net.client import ConnectFailed, ConnectionBroken, Pool, call
from fawnspool.net.http import BadMessage

_BAD = (ConnectFailed, ConnectionBroken, BadMessage, TimeoutError, msgspec.MsgspecError, PlacesError)


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
        taken: Callable[[Step], None] = lambda step: None,
        stamp: Callable[[], dict[str, Any]] = dict,
        left: Callable[[], float] = lambda: float("inf"),
    ) -> None:
        self.where, self.places, self.timeout, self.taken = where, places, timeout, taken
        self.stamp, self.left = stamp, left
        self.pools: dict[tuple[str, int], Pool] = {}

    def move(
        self, volume: str, extent: str, to: int, deadline: float, undo: bool = False, last: Move | None = None
    ) -> Step:
        """Bring the extent to a cell, or give that up where that is still safe: DONE, LOST (another move has won, or
        there is nothing to move), or WAIT where the deadline (monotonic) came first. last: a move that was begun."""
        move, looks = last, 0
        while time.monotonic() < deadline:
            step = Step.WAIT
            try:
                if move is None:
                    fact = self.places.fact(volume, extent)
                    if fact is None:
                        return Step.LOST
                    if fact.cell == to:
                        if self._serves(volume, extent, fact):
                            return Step.DONE
                        raise ConnectFailed("its node is away or unsure")
                    move = Move(fact.cell, to, fact.stamp.generation + 1)
                step = self._once(move, volume, extent, undo)
            except _BAD:
                pass  # a node or the service is away: look again
            if step in (Step.DONE, Step.LOST):
                return step
            if step is Step.WAIT:
                gevent.sleep(max(0.0, min(pause(looks), deadline - time.monotonic())))
            looks = looks + 1 if step is Step.WAIT else 0
        return Step.WAIT

    def _serves(self, volume: str, extent: str, fact: Fact) -> bool:
        """Does the node serve what the map says lies there? One that is unsure is told."""
        seen = self.look(fact.cell, volume, extent)
        if seen is not None and seen.role is Role.UNSURE:
            return self._step(fact.cell, volume, extent, "confirm", fact.stamp.generation, mine=True)
        return seen is not None and seen.role is Role.OWNER

    def _once(self, move: Move, volume: str, extent: str, undo: bool) -> Step:
        fact = self.places.fact(volume, extent)
        mapped = move.generation if fact is None else fact.stamp.generation  # deleted: nobody needs the flip
        source, dest = self.look(move.source, volume, extent), self.look(move.to, volume, extent)
        if fact is not None and (tell := tell_first(move, source, dest, mapped, fact.cell)) is not None:
            self._step(tell.cell, volume, extent, tell.step, tell.generation, mine=tell.mine)
            return Step.COPY
        step = next_step(move, source, dest, mapped, undo)
        if fact is None and step is Step.LOST:
            return step
        self.taken(step)
        self._take(step, move, volume, extent, source)
        return step

    def _take(self, step: Step, move: Move, volume: str, extent: str, source: Seen | None) -> None:
        g = move.generation
        if step is Step.FILL:
            self._step(move.to, volume, extent, "fill", g)
        elif step in (Step.COPY, Step.CATCH_UP):
            self._copy(move, volume, extent)
        elif step is Step.FENCE:
            self._step(move.source, volume, extent, "close", g, to=move.to)
        elif step is Step.OPEN:
            assert source is not None
            self._step(move.to, volume, extent, "open", g, fence=source.fence)
        elif step is Step.FLIP:
            self._flip(volume, extent, move.to, g)
        elif step is Step.FORGET:
            self._step(move.source, volume, extent, "forget", g)
        elif step is Step.CANCEL:
            self._step(move.to, volume, extent, "cancel", g)
        elif step is Step.REOPEN and self._step(move.source, volume, extent, "reopen", g):
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
            raise ConnectFailed(f"cell {cell} has no node")
        pool = self.pools.setdefault(where, Pool(where, 8, self.timeout, 10.0))
        stamp = self.stamp() if effect else {}  # after every wait, and just before the step leaves
        target = f"{place}?{urlencode({'volume': volume, 'key': extent, **more, **stamp})}".encode()
        status, data = call(pool, method, target, time.monotonic() + min(self.timeout, self.left()), body)
        if status.code == 403:
            told = msgspec.json.decode(data, type=_Refused)
            raise StaleTokenError(told.fenced, told.newest)
        return status.code, data

    def look(self, cell: int, volume: str, extent: str) -> Seen | None:
        """The node's side of the extent; None: it does not answer."""
        try:
            code, data = self._call(cell, b"GET", "/-/extent", volume, extent)
            if code != 200:
                return None
            t = msgspec.json.decode(data, type=_Told)
            return Seen(Role(t.role), t.generation, t.position, t.to, t.fence, t.kept)
        except (*_BAD, ValueError):
            return None

    def _step(self, cell: int, volume: str, extent: str, step: str, generation: int, **more: int) -> bool:
        asked = msgspec.json.encode({"step": step, "generation": generation, **more})
        return self._call(cell, b"POST", "/-/extent", volume, extent, asked, effect=True)[0] == 200

    def _copy(self, move: Move, volume: str, extent: str) -> None:
        code, data = self._call(move.source, b"GET", "/-/extent/data", volume, extent)
        if code == 200:
            self._call(move.to, b"PUT", "/-/extent/data", volume, extent, data, effect=True, generation=move.generation)
