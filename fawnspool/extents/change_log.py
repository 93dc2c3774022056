"""What a map service keeps of a shard's past, and how it brings a head up to date. No I/O, no clock.

Each life of the service is an epoch, and versions count its changes of a shard. The service remembers its last lives
and how far it knows each, and a log of changes behind a cut. A head says how far it was told; it gets the changes
since, or all there is where the log does not reach or would be more.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from fawnspool.extents.map import EPOCHS

LOG_LEAST = 1024  # changes that a shard's log may hold however small the shard is


class Way(Enum):
    """How a head catches up."""

    CHANGES = "changes"
    SNAPSHOT = "snapshot"


@dataclass(frozen=True, slots=True)
class Past:
    """Of one shard. lives: epoch to the last version that is known of it; cut: the log holds what came behind it;
    born: new extents begin at this generation, which is over that of any tombstone that was dropped: heads that still
    hold one must take the new extent for the later."""

    lives: tuple[tuple[int, int], ...] = ()
    cut: tuple[int, int] = (0, 0)
    born: int = 0
    logged: int = 0  # changes in the log
    extents: int = 0  # that are there

    @property
    def epoch(self) -> int:
        return self.lives[-1][0]

    @property
    def version(self) -> int:
        return self.lives[-1][1]

    @property
    def covers(self) -> tuple[tuple[int, int], ...]:
        """What a snapshot of now says of earlier lives."""
        return self.lives[:-1]

    def begin(self, clock_ms: int) -> Past:
        """Another life. Its number is the wall clock's, so that one that begins from an old backup does not take the
        number of a life that the backup never knew; where the clock stands back, one above the last that is known.
        Harm: a clock set back and a backup together could give one number twice."""
        last = self.lives[-1][0] if self.lives else 0
        lives = tuple(row for row in self.lives if row[1])  # one without a change of this shard said nothing
        return replace(self, lives=(*lives, (max(last + 1, clock_ms), 0))[-EPOCHS:])

    def change(self) -> Past:
        """One change more."""
        return replace(self, lives=(*self.lives[:-1], (self.epoch, self.version + 1)), logged=self.logged + 1)

    def reaches(self, told: tuple[int, int]) -> bool:
        """Are all changes behind `told` in the log, and does this service know that life as far?"""
        if told < self.cut:
            return False
        return told == (0, 0) or told[1] == 0 or any(told[0] == e and told[1] <= v for e, v in self.lives)

    def way(self, told: tuple[int, int], behind: int) -> Way:
        """behind: changes in the log since `told`. Whichever is less; a head that has nothing gets no tombstones."""
        return Way.CHANGES if self.reaches(told) and behind <= self.extents else Way.SNAPSHOT

    def too_long(self) -> bool:
        """Is the log longer than it may be? A head further behind than all there is takes a snapshot anyway."""
        return self.logged > max(LOG_LEAST, 2 * self.extents)
