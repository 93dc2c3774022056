"""One voter's seat for one duty: whom it has given its vote, and until when. Pure functions, so that the same code is
walked by the model checker, played in simulated time and run by heads.

What is kept on disk before a vote is said: token and who. What is not: until when. So a voter that comes back takes
every vote that it remembers for given just now (`reborn`); one that comes back without its memory says nothing until
no vote that it may have given can be in force, and then learns from the other voters how high tokens have come
(`voter.py`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import IntEnum


class Verdict(IntEnum):
    GRANTED = 0
    REFUSED = 1  # another holds it, or the token is not above what was promised
    SILENT = 2  # this voter gives no votes yet


@dataclass(frozen=True, slots=True)
class Seat:
    """token: the highest that this voter has promised, 0: none; who: to which life of which head; until: on the voter's
    own clock, nobody else gets its vote before; freed: that life gave it back and may not have this token again."""

    token: int = 0
    who: int = 0
    until: float = 0.0
    freed: bool = False

    def vacant(self, now: float) -> bool:
        return self.freed or now >= self.until


def ask(seat: Seat, now: float, token: int, who: int, floor: int, lease: float) -> tuple[Seat, Verdict]:
    """A vote is asked for, a first one or again. floor: tokens up to it may have been promised before this voter lost
    its memory. Whoever has the vote may ask for it under a higher token: one holder stays one holder, and a voter
    that promised a higher one to a claim that came to nothing can vote for it again."""
    if (token, who) == (seat.token, seat.who):
        if seat.freed:
            return seat, Verdict.REFUSED
        return replace(seat, until=now + lease), Verdict.GRANTED
    if token > max(seat.token, floor) and (seat.vacant(now) or who == seat.who):
        return Seat(token, who, now + lease), Verdict.GRANTED
    return seat, Verdict.REFUSED


def free(seat: Seat, token: int, who: int) -> Seat:
    """Given back. Only by whom it was given to, and for that very token: a late word frees nothing newer."""
    return replace(seat, freed=True) if (token, who) == (seat.token, seat.who) else seat


def reborn(seat: Seat, now: float, lease: float) -> Seat:
    """After a restart with its memory: the vote may have been given, or renewed, a moment before the end. What was
    given back is not on disk, so that counts as given, too."""
    return replace(seat, until=now + lease, freed=False) if seat.token else seat


def learned(said: Mapping[int, tuple[bool, int]], voters: int) -> int | None:
    """How high tokens may have come, for a voter without its memory; None: too few of the others have said. said: by
    voter (has it its memory, the highest token that it promised).

    A token that counted was promised by a majority; beside this voter that is one less than a majority of the others,
    so a majority of the others that have their memory holds one of them. If all others have said, that holds for as
    long as no majority has lost its memory, and it lets the first start of all through. Asked only when this voter
    has been silent for a lease: a round in which its forgotten vote counted is over, and nothing higher can come of it.
    """
    known = [token for has, token in said.values() if has]
    if len(known) < voters // 2 + 1 and len(said) < voters - 1:
        return None
    return max([0, *known])
