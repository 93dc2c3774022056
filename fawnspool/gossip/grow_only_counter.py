"""How much of something the fleet did, from what each head says of itself: a count that only grows, by head and life.

State-based: two states merge to the larger of each row, and of each head the last `LIVES` lives stay. So any order,
doubled or partly lost, gives the same; a head that restarts without memory begins a life and takes nothing away; and
the table does not grow with restarts. What a head did since it was last heard is not known: a count is read as an
interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

LIVES = 2  # of one head: the one that is there and the one before, whose last words may come after it
HEADS_MOST = 64  # heads of one count; beyond it those heard longest ago go, and `at_least` says less


@dataclass(frozen=True, slots=True)
class Mark:
    """One head's word of itself: in which life, how much so far; when it was true, on the clock of whoever has it."""

    head: int
    life: int
    value: float
    at: float


@dataclass(frozen=True, slots=True)
class Interval:
    """Of each head's last lives. at_most: if each went on as fast as it may since it was heard; inf where a head that
    takes part was not heard of. age: of the oldest word in it, seconds, short by what its datagrams were late; heads:
    heard of, others: that take part and were not."""

    at_least: float
    at_most: float
    age: float
    heads: int
    others: int


@dataclass(slots=True)
class Count:
    """marks: by head, its lives from the latest on."""

    marks: dict[int, tuple[Mark, ...]] = field(default_factory=dict)

    def merge(self, news: Iterable[Mark]) -> bool:
        """Did any of it say more than was known?"""
        more = False
        for m in news:
            mine = {x.life: x for x in self.marks.get(m.head, ())}
            had = mine.get(m.life)
            if had is not None and (had.value, had.at) >= (m.value, m.at):
                continue
            mine[m.life] = m  # the larger value; of equal ones the later time
            kept = tuple(sorted(mine.values(), key=lambda x: -x.life)[:LIVES])
            more |= kept != self.marks.get(m.head)
            self.marks[m.head] = kept
        while len(self.marks) > HEADS_MOST:
            del self.marks[min(self.marks, key=lambda h: (self.marks[h][0].at, h))]
        return more

    def read(self, now: float, takers: int, rate: float, burst: float) -> Interval:
        """takers: heads that take part; rate, burst: a second, and at one stroke, that one of them may do at most."""
        least = sum(m.value for lives in self.marks.values() for m in lives)
        ages = [max(0.0, now - lives[0].at) for lives in self.marks.values()]
        others = max(0, takers - len(ages))
        most = float("inf") if others else least + sum(burst + rate * age for age in ages if age > 0)
        return Interval(least, most, max(ages, default=0.0), len(ages), others)
