"""The map: shards of an immutable table, each with how far it has been told.

Readers hold one `ExtentMap` while the next is built; `apply` gives a new one that shares all that did not change. Any
order of the same deltas, repeats among them, ends in the same map: facts are joined by `later`, and what a snapshot
leaves out is remembered by its number (`floor`), so that a late delta can't bring it back.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache

import xxhash
from immutables import Map

from fawnspool.extents.records import Delta, Fact, State, check, later

Key = tuple[str, str]
Floor = tuple[tuple[int, int], ...]  # (epoch, version), by epoch
_GONE = State.GONE
EPOCHS = 16  # lives of the service whose floors are remembered
GAPS = 64  # ranges of versions told ahead of a gap, remembered for each shard


@lru_cache(maxsize=65536)  # volumes are few beside extents, and hashing one costs as much as a look-up
def shard_of(volume: str, shards: int) -> int:
    """A volume lies in one shard, so that its list is told by one log."""
    return xxhash.xxh3_64_intdigest(volume.encode()) % shards


@dataclass(frozen=True, slots=True)
class Shard:
    """told: (epoch, version) up to which nothing is missing; ahead: ranges told beyond a gap, of that epoch; floor: by
    epoch, up to which version a snapshot was whole: what is not in the table and was said up to there is gone."""

    table: Map[Key, Fact] = field(default_factory=Map)
    told: tuple[int, int] = (0, 0)
    ahead: tuple[tuple[int, int], ...] = ()
    floor: Floor = ()

    @property
    def gap(self) -> tuple[int, int] | None:
        """(after, before): versions that are missing, or None."""
        return (self.told[1], self.ahead[0][0]) if self.ahead else None


@dataclass(frozen=True, slots=True)
class ExtentMap:
    """All shards. Lookups never change it."""

    shards: tuple[Shard, ...]

    @classmethod
    def empty(cls, shards: int) -> ExtentMap:
        return cls((Shard(),) * shards)

    def find(self, volume: str, extent: str) -> Fact | None:
        """The fact that holds, or None: not known, or gone."""
        fact = self.shards[shard_of(volume, len(self.shards))].table.get((volume, extent))
        return fact if fact is not None and fact.state is not _GONE else None

    def __len__(self) -> int:
        return sum(len(s.table) for s in self.shards)

    def facts(self) -> Iterator[Fact]:
        for shard in self.shards:
            yield from shard.table.values()

    def apply(self, delta: Delta) -> ExtentMap:
        """The map after it. Raises DeltaError."""
        check(delta, len(self.shards))
        old = self.shards[delta.shard]
        new = _snapshot(old, delta) if delta.whole else _change(old, delta)
        if new is old:
            return self
        return ExtentMap((*self.shards[: delta.shard], new, *self.shards[delta.shard + 1 :]))

    def hint(self, fact: Fact) -> ExtentMap:
        """What a node said of itself (`moved`): joined like any fact, tells nothing of how far a shard was told."""
        at = shard_of(fact.volume, len(self.shards))
        old = self.shards[at]
        table = _join(old, (fact,), old.floor)
        if table is old.table:
            return self
        return ExtentMap((*self.shards[:at], replace(old, table=table), *self.shards[at + 1 :]))


def _under(f: Fact, floor: Floor) -> bool:
    """Did a snapshot know of this saying?"""
    return any(f.stamp.epoch == epoch and f.stamp.version <= version for epoch, version in floor)


def _raise(a: Floor, b: Floor) -> Floor:
    """The higher of both, epoch by epoch; the latest epochs are kept."""
    both = dict(a)
    for epoch, version in b:
        both[epoch] = max(version, both.get(epoch, 0))
    return tuple(sorted(both.items())[-EPOCHS:])


def _join(shard: Shard, facts: Iterable[Fact], floor: Floor) -> Map[Key, Fact]:
    table, changed = shard.table, None
    for f in facts:
        key = (f.volume, f.extent)
        had = table.get(key) if changed is None else changed.get(key)
        if had is None and floor and _under(f, floor):
            continue  # a snapshot that knew of it left it out
        holds = later(had, f)
        if holds is not had:
            if changed is None:
                changed = table.mutate()
            changed[key] = holds
    return table if changed is None else changed.finish()


def _change(shard: Shard, delta: Delta) -> Shard:
    table = _join(shard, delta.facts, shard.floor)
    told, ahead = _progress(shard, delta.epoch, delta.after, delta.upto)
    if table is shard.table and (told, ahead) == (shard.told, shard.ahead):
        return shard
    return Shard(table, told, ahead, shard.floor)


def _progress(shard: Shard, epoch: int, after: int, upto: int) -> tuple[tuple[int, int], tuple[tuple[int, int], ...]]:
    """How far nothing is missing, after a range of versions more. A later epoch begins anew: until its own snapshot or
    its first change all of it is a gap; ranges of an earlier one tell nothing more."""
    if epoch < shard.told[0]:
        return shard.told, shard.ahead
    have, ahead = (shard.told[1], shard.ahead) if epoch == shard.told[0] else (0, ())
    ranges = sorted({*ahead, (after, upto)})
    left: list[tuple[int, int]] = []
    for low, high in ranges:
        if low <= have:
            have = max(have, high)
        elif left and low <= left[-1][1]:
            left[-1] = (left[-1][0], max(left[-1][1], high))
        else:
            left.append((low, high))
    return (epoch, have), tuple(left[:GAPS])


def _snapshot(shard: Shard, delta: Delta) -> Shard:
    said = _raise(delta.covers, ((delta.epoch, delta.upto),))
    floor = _raise(shard.floor, said)
    listed = {(f.volume, f.extent) for f in delta.facts}
    # What it lists was there at its time: a later snapshot that left some of it out still holds, so that one's floor
    # goes before; its own can't shut out what it lists itself.
    table = _join(shard, delta.facts, shard.floor)
    out = table.mutate()
    for key, f in table.items():
        if key not in listed and _under(f, said):
            del out[key]
    told, ahead = _progress(shard, delta.epoch, 0, delta.upto)
    return Shard(out.finish(), told, ahead, floor)
