"""The next step of a move, from what the two nodes and the map say. No I/O, no clock.

A mover keeps nothing that it needs: each step is found from the copies as they are, so one that died is resumed by any
other, and a step that was taken but whose answer was lost is taken again without harm.
"""
from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fawnspool.extents.copies import Role


class Step(Enum):
    FILL = "fill"
    COPY = "copy"
    FENCE = "fence"
    CATCH_UP = "catch up"       # what came between the last copy and the fence
    OPEN = "open"
    FLIP = "flip"               # tell the map service
    FORGET = "forget"
    DONE = "done"
    LOST = "lost"               # another move has won, or this one can't be: drop what was filled
    CANCEL = "cancel"           # undo, first half: the new node must never open
    REOPEN = "reopen"           # undo, second half
    WAIT = "wait"               # a node does not answer, or is unsure


@dataclass(frozen=True)
class Seen:
    """A copy as its node told it; None in place of it: the node does not answer."""

    role: Role
    generation: int
    position: int = 0
    to: int = -1
    fence: int = -1
    kept: bool = True           # its data are still there


@dataclass(frozen=True)
class Move:
    """Of an extent at generation - 1 from cell `source` to cell `to`."""

    source: int
    to: int
    generation: int


CLOSE = 8               # writes that may be missing when the source is fenced: what comes over while nobody is served


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
        return Step.LOST if dest.generation >= move.generation or dest.role is Role.OWNER else \
            Step.WAIT if dest.role is Role.UNSURE else Step.FILL
    return Step.FENCE if source.position - dest.position <= CLOSE else Step.COPY
