"""What all heads must agree on about duties, and what follows from it.

`mark` is a checksum of it that every message carries: a voter answers nobody whose settings differ, as majorities of
two sets of voters need not meet.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import cached_property

from fawnspool.leases.candidate import span


@dataclass(frozen=True)
class Terms:
    """lease and times in seconds. heads: how many there are, all may hold; kinds: (name, shards); most: duties one head
    may hold; drift: bound on how far a clock's rate is off, as a part."""

    heads: int
    voters: tuple[int, ...]
    lease: float
    drift: float
    kinds: tuple[tuple[str, int], ...]
    most: int = 64

    @cached_property
    def names(self) -> tuple[str, ...]:
        return tuple(f"{kind}/{k}" for kind, shards in self.kinds for k in range(shards))

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def span(self) -> float:
        return span(self.lease, self.drift)

    @property
    def margin(self) -> float:
        """Before the lease's end no step is begun: what a call takes to be written and to arrive."""
        return self.lease / 10

    @property
    def renew(self) -> float:
        """Between two renewals: three may be lost in a row."""
        return self.lease / 4

    @property
    def here(self) -> float:
        """Between two words of a head to each voter that it is there. A voter hears 20 a second at most from all of
        them, so in a large fleet each says it more seldom."""
        return max(self.lease / 2, self.heads / 20)

    @cached_property
    def mark(self) -> int:
        return zlib.crc32(repr((sorted(self.voters), self.heads, self.lease, self.drift, self.kinds)).encode())
