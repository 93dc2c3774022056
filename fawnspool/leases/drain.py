"""Decisions of the gateway that drains one partition of the extents.

The partition and the target shard of an extent are computed from its name, so a new holder of the role continues where
the previous holder stopped without any message from it. Each partition uses an equal part of the fleet's rates, and
pauses while its gateway is busy.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

FIRST_BACKOFF_S = 0.2  # after the first failure of an extent; doubled with each further one
MAX_BACKOFF_S = 10.0
MAX_BACKOFF_DOUBLINGS = 10
BURST_S = 1.0  # seconds of each rate that may be used at once; short, so that a start causes no surge
BUSY_WAIT_S = 0.05  # wait of a move while too many requests are in flight on the gateway
MIN_WAIT_S = 0.001  # a shorter wait may be rounded to zero, and the caller would ask again and again without a pause


def partition_of(volume: str, extent: str, partitions: int) -> int:
    """Return the partition of an extent; extents of a large volume are in many, so that many gateways drain it."""
    return xxhash.xxh3_64_intdigest(f"{volume}\0{extent}".encode()) % partitions


def target_shard(volume: str, extent: str, shards: Iterable[int]) -> int | None:
    """Return the shard that an extent moves to, by rendezvous hashing; None if `shards` is empty.

    All gateways choose the same shard, extents are spread evenly, and a shard that is added or removed changes the
    target only of extents that move to it or from it.
    """
    return max(
        shards, key=lambda shard: xxhash.xxh3_64_intdigest(f"{shard}\0{volume}\0{extent}".encode()), default=None
    )


@dataclass
class MoveRateLimiter:
    """Token buckets for the moves and the bytes of one partition.

    Parameters
    ----------
    moves_per_s, bytes_per_s
        Rates of the two buckets.
    max_in_flight
        Number of requests in flight on the gateway at which no move begins.
    """

    moves_per_s: float
    bytes_per_s: float
    max_in_flight: int
    levels: list[float] = field(default_factory=lambda: [1.0, 0.0])
    refilled_at: float | None = None

    def wait_s(self, now: float, size: int, in_flight: int) -> float:
        """Return the seconds until a move of `size` bytes may begin; if 0, the buckets have been charged.

        A move larger than a burst waits for a full bucket and leaves it below zero.
        """
        rates = (self.moves_per_s, self.bytes_per_s)
        depths = tuple(max(1.0, rate * BURST_S) for rate in rates)
        self._refill(now, rates, depths)
        if in_flight >= self.max_in_flight:
            return BUSY_WAIT_S
        needs = (1.0, min(float(size), depths[1]))
        shortage_s = max((need - level) / rate for need, level, rate in zip(needs, self.levels, rates, strict=True))
        if shortage_s > 0:
            return max(shortage_s, MIN_WAIT_S)
        self.levels = [self.levels[0] - 1.0, self.levels[1] - size]
        return 0.0

    def _refill(self, now: float, rates: tuple[float, ...], depths: tuple[float, ...]) -> None:
        if self.refilled_at is None:
            self.levels = [1.0, depths[1]]
        else:
            elapsed_s = now - self.refilled_at
            self.levels = [
                min(depth, level + elapsed_s * rate)
                for depth, level, rate in zip(depths, self.levels, rates, strict=True)
            ]
        self.refilled_at = now


class RetrySchedule:
    """Extents whose move failed, each with the time of its retry; other extents are moved in the meantime.

    Beyond `MAX_EXTENTS`, the oldest entry is dropped: that extent is tried as if it had not failed.
    """

    MAX_EXTENTS = 4096

    def __init__(self) -> None:
        self.failures: dict[tuple[str, str], tuple[int, float]] = {}  # number of failures, time of the retry

    def is_due(self, now: float, extent: tuple[str, str]) -> bool:
        """Return whether the extent may be tried now."""
        _, retry_at = self.failures.get(extent, (0, now))
        return now >= retry_at

    def record_failure(self, now: float, extent: tuple[str, str]) -> None:
        """Back off an extent, longer after each failure."""
        count, _ = self.failures.pop(extent, (0, 0.0))
        while len(self.failures) >= self.MAX_EXTENTS:
            del self.failures[next(iter(self.failures))]
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(count, MAX_BACKOFF_DOUBLINGS))
        self.failures[extent] = (count + 1, now + backoff_s)

    def record_success(self, extent: tuple[str, str]) -> None:
        """Forget an extent's failures."""
        self.failures.pop(extent, None)
