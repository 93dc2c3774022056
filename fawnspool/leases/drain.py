"""What the holder of one shard of a drain does next. No I/O, no clock.

Which extents are its own follows from their names, where they go from a draw that all heads make alike, so a
successor goes on where its predecessor was without being told. How fast: an even part of the fleet's moves and bytes
a second, and nothing while its head has its hands full.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

BACK_OFF_S = 0.2  # after the first failure of an extent, doubled with each
BACK_OFF_MOST_S = 10.0
BURST_S = 1.0  # of the rates that may be used at once: an even flow, so that a start is no surge


def shard_of(volume: str, extent: str, shards: int) -> int:
    """Over extents and not over volumes: one large volume is drained by many."""
    return xxhash.xxh3_64_intdigest(f"{volume}\0{extent}".encode()) % shards


def target(volume: str, extent: str, cells: Iterable[int]) -> int | None:
    """Of the cells that take extents, the one that is first by a draw that goes by the extent's name (rendezvous
    hashing): the same at all heads, evenly spread, and a cell that goes or comes changes only its own part. None:
    there is no cell."""
    return max(cells, key=lambda c: xxhash.xxh3_64_intdigest(f"{c}\0{volume}\0{extent}".encode()), default=None)


@dataclass
class Pace:
    """Two buckets, moves and bytes, of one shard. Rates a second."""

    moves: float
    bytes: float
    busy: int
    level: list[float] = field(default_factory=lambda: [1.0, 0.0])
    at: float | None = None

    def wait(self, now: float, size: int, in_hand: int) -> float:
        """Seconds until a move of so many bytes may begin; 0: now, and it is counted. A move larger than the bytes of a
        burst waits for a full bucket and leaves it under 0."""
        rates = (self.moves, self.bytes)
        depths = tuple(max(1.0, r * BURST_S) for r in rates)
        if self.at is not None:
            self.level = [min(d, v + (now - self.at) * r) for d, v, r in zip(depths, self.level, rates, strict=True)]
        else:
            self.level = [1.0, depths[1]]
        self.at = now
        if in_hand >= self.busy:
            return 0.05
        wants = (1.0, min(float(size), depths[1]))
        short = max((w - v) / r for w, v, r in zip(wants, self.level, rates, strict=True))
        if short > 0:
            return max(short, 0.001)  # rounding must not make it ask for ever
        self.level = [self.level[0] - 1.0, self.level[1] - size]
        return 0.0


class Failures:
    """Extents whose move did not come to its end: each tried again later, the others meanwhile. Bounded: beyond it the
    oldest is tried as if it were new."""

    MOST = 4096

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, float]] = {}

    def due(self, now: float, key: tuple[str, str]) -> bool:
        return now >= self.rows.get(key, (0, now))[1]

    def failed(self, now: float, key: tuple[str, str]) -> None:
        count = self.rows.pop(key, (0, 0.0))[0]
        while len(self.rows) >= self.MOST:
            del self.rows[next(iter(self.rows))]
        self.rows[key] = (count + 1, now + min(BACK_OFF_MOST_S, BACK_OFF_S * 2.0 ** min(count, 10)))

    def done(self, key: tuple[str, str]) -> None:
        self.rows.pop(key, None)
