"""The next step of a move, from what the two nodes and the map say. No I/O, no clock.

A mover keeps nothing that it needs: each step is found from the copies as they are, so one that died is resumed by any
other, and a step that was taken but whose answer was lost is taken again without harm.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fawnspool.extents.replicas import CLOSE, Role


class Step(Enum):
    FILL = "fill"
    COPY = "copy"
    FENCE = "fence"
    CATCH_UP = "catch up"  # what came between the last copy and the fence
    OPEN = "open"
    FLIP = "flip"  # tell the map service
    FORGET = "forget"
    DONE = "done"
    LOST = "lost"  # another move has won, or this one can't be: drop what was filled
    CANCEL = "cancel"  # undo, first half: the new node must never open
    REOPEN = "reopen"  # undo, second half
    WAIT = "wait"  # a node does not answer, or is unsure


@dataclass(frozen=True)
class Seen:
    """A copy as its node told it; None in place of it: the node does not answer."""

    role: Role
    generation: int
    position: int = 0
    to: int = -1
    fence: int = -1
    kept: bool = True  # its data are still there


@dataclass(frozen=True)
class Move:
    """Of an extent at generation - 1 from cell `source` to cell `to`."""

    source: int
    to: int
    generation: int


@dataclass(frozen=True)
class Tell:
    """What a node must be told before any step: `own` (it holds the extent and took part in no move yet) or `confirm`
    (it is unsure), at which generation, and whether it is the one that serves."""

    cell: int
    step: str
    generation: int
    mine: bool = False


def tell_first(move: Move, source: Seen | None, dest: Seen | None, mapped: int, cell: int) -> Tell | None:
    """mapped, cell: what the map says of the extent. An unsure new node whose data are of the move's own generation had
    opened, as the source's fence names it: it serves, whatever the map has not been told yet."""
    if (
        source is not None
        and source.role is Role.OWNER
        and source.generation < 0
        and (mapped, cell) == (move.generation - 1, move.source)
    ):
        return Tell(move.source, "own", mapped)
    if source is not None and source.role is Role.UNSURE:
        return Tell(move.source, "confirm", mapped, cell == move.source)
    if dest is not None and dest.role is Role.UNSURE:
        opened = (
            dest.generation == move.generation
            and source is not None
            and source.role is Role.FENCED
            and (source.generation, source.to) == (move.generation, move.to)
        )
        return Tell(move.to, "confirm", move.generation if opened else mapped, opened or cell == move.to)
    return None


def pause(looks: int) -> float:
    """Seconds until a mover looks again, after so many looks in a row without a step to take."""
    return min(0.5, 0.005 * 2.0 ** min(looks, 8))


def next_step(move: Move, source: Seen | None, dest: Seen | None, mapped: int, undo: bool = False) -> Step:
    """mapped: the generation that the map service has for the extent. undo: give the move up if that is still safe."""
    if dest is not None and dest.role is Role.OWNER and dest.generation == move.generation:
        # It serves: from here on only forward.
        if mapped < move.generation:
            return Step.FLIP
        if source is None:
            return Step.WAIT
        won = source.role is Role.FENCED and source.generation == move.generation
        return Step.FORGET if won and source.kept else Step.DONE
    if source is None or dest is None:
        return Step.WAIT
    if mapped >= move.generation or source.generation > move.generation:
        return Step.LOST
    if source.role is Role.FENCED:
        if source.to != move.to or source.generation != move.generation:
            return Step.LOST
        if undo or dest.role is Role.CANCELLED or dest.generation > move.generation:
            return Step.REOPEN if dest.role is Role.CANCELLED and dest.generation >= move.generation else Step.CANCEL
        if dest.role is not Role.FILLING or dest.generation != move.generation:
            # It forgot what it had taken in; all is still at the source.
            return Step.WAIT if dest.role is Role.UNSURE else Step.FILL
        return Step.OPEN if dest.position >= source.fence else Step.CATCH_UP
    if source.role is not Role.OWNER or source.generation != move.generation - 1:
        return Step.WAIT if source.role is Role.UNSURE else Step.LOST
    if undo:
        return Step.LOST
    if dest.role is not Role.FILLING or dest.generation != move.generation:
        return (
            Step.LOST
            if dest.generation >= move.generation or dest.role is Role.OWNER
            else Step.WAIT
            if dest.role is Role.UNSURE
            else Step.FILL
        )
    return Step.FENCE if source.position - dest.position <= CLOSE else Step.COPY
