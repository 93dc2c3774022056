"""What heads that share agree on. `mark` is a checksum of it that every message carries: a head whose settings differ
is a stranger, as what it says has another meaning."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import cached_property

import xxhash

KEEPERS = 2  # heads that keep who takes part in a volume: one may be down, or cut off
ROWS_A_LOOK = 4  # volumes that a head speaks of at one look, and answers that it gives as a keeper: bounds its
# bytes whatever it has, as each goes to keepers of its own


@dataclass(frozen=True)
class Terms:
    """heads: in the fleet, by number from 0. every: seconds between two looks. fades: seconds after which what was
    heard is no evidence any more. shun: part of the nodes that may be shunned on hearsay, at most. quorum: part of the
    heads that must find a node bad; more than may be wrong at once, or lie."""

    heads: int
    every: float = 0.25
    fades: float = 4.0
    shun: float = 0.25
    quorum: float = 0.25

    @cached_property
    def mark(self) -> int:
        return zlib.crc32(repr((self.heads, self.every, self.fades)).encode())

    def keepers(self, volume: int) -> tuple[int, ...]:
        """Heads that keep who takes part in a volume: a draw by its number that all heads make alike."""
        drawn = xxhash.xxh3_64_intdigest(volume.to_bytes(8, "big"))
        first, step = drawn % self.heads, 1 + (drawn >> 32) % max(1, self.heads - 1)
        return tuple(dict.fromkeys((first + k * step) % self.heads for k in range(KEEPERS)))
