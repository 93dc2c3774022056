"""What nodes hold against what the map says, for one shard. Reports, mends nothing. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from fawnspool.leases.drain import shard_of

NAMED_MOST = 5  # examples in a report


@dataclass(frozen=True)
class Report:
    """missing: the map has them at a node that does not hold them; stray: a node holds them and the map has them
    elsewhere, or not at all. Of nodes that did not answer nothing is said."""

    looked_at: int
    missing: tuple[tuple[str, str], ...]
    stray: tuple[tuple[str, str], ...]
    silent: tuple[int, ...]

    def __str__(self) -> str:
        text = f"{self.looked_at} looked at, {len(self.missing)} missing, {len(self.stray)} stray"
        if self.silent:
            text += f", cells {', '.join(map(str, self.silent))} silent"
        named = [f"{v}/{k}" for v, k in (*self.missing, *self.stray)][:NAMED_MOST]
        return text + (f" ({', '.join(named)})" if named else "")


def compare(
    mapped: Mapping[tuple[str, str], int], held: Mapping[int, Iterable[tuple[str, str]] | None], shard: int, shards: int
) -> Report:
    """mapped: extent to cell; held: by cell what its node has, None where it did not answer."""
    mine = {name: cell for name, cell in mapped.items() if shard_of(*name, shards) == shard}
    there = {
        cell: {name for name in names if shard_of(*name, shards) == shard}
        for cell, names in held.items()
        if names is not None
    }
    missing = sorted(name for name, cell in mine.items() if cell in there and name not in there[cell])
    stray = sorted({name for cell, names in there.items() for name in names if mine.get(name) != cell})
    return Report(len(mine), tuple(missing), tuple(stray), tuple(sorted(set(held) - set(there))))
