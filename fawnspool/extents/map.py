"""The extent map: partitions of an immutable table, each with the position up to which it is complete.

Readers keep one `ExtentMap` while the next is built; `ExtentMap.apply` returns a new map that shares what did not
change. The same deltas in any order, with repeats, end in the same map: records are joined by `later`, and positions
covered by a snapshot are remembered (`Partition.snapshot_floors`), so that a late delta can't restore what the snapshot
left out.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache
from typing import NamedTuple

import xxhash
from immutables import Map

from fawnspool.extents.records import (
    LOG_START,
    ExtentRecord,
    ExtentState,
    LogPosition,
    MapDelta,
    check_delta,
    later,
)

RecordKey = tuple[str, str]  # volume, extent
Floors = tuple[LogPosition, ...]  # highest version known for each epoch, in order of the epochs

MAX_EPOCHS = 16  # epochs of the service whose floors are remembered
MAX_PENDING_RANGES = 64  # ranges of versions beyond a gap that are remembered for each partition
_DELETED = ExtentState.DELETED


@lru_cache(maxsize=65536)  # there are few volumes beside extents, and hashing one costs as much as a lookup
def partition_of(volume: str, partition_count: int) -> int:
    """Return the partition of a volume; one partition holds all of a volume, so that one log lists it."""
    return xxhash.xxh3_64_intdigest(volume.encode()) % partition_count


class VersionRange(NamedTuple):
    """Versions with `after` < version <= `up_to`."""

    after: int
    up_to: int


@dataclass(frozen=True, slots=True)
class Partition:
    """Records of one partition, and how far its change log was received.

    Attributes
    ----------
    records
        The latest record of each extent.
    complete_to
        Position up to which no change is missing.
    pending_ranges
        Versions received beyond a gap, of the epoch of `complete_to`.
    snapshot_floors
        For each epoch, the version up to which a snapshot was complete: a record up to there that is not in the table
        was deleted.
    """

    records: Map[RecordKey, ExtentRecord] = field(default_factory=Map)
    complete_to: LogPosition = LOG_START
    pending_ranges: tuple[VersionRange, ...] = ()
    snapshot_floors: Floors = ()

    @property
    def gap(self) -> VersionRange | None:
        """First range of missing versions, or None."""
        if not self.pending_ranges:
            return None
        return VersionRange(self.complete_to.version, self.pending_ranges[0].after)


@dataclass(frozen=True, slots=True)
class ExtentMap:
    """All partitions. Lookups never change it."""

    partitions: tuple[Partition, ...]

    @classmethod
    def empty(cls, partition_count: int) -> ExtentMap:
        """Return a map that has received nothing yet."""
        return cls((Partition(),) * partition_count)

    def find(self, volume: str, extent: str) -> ExtentRecord | None:
        """Return the record of an extent, or None if it is unknown or deleted."""
        partition = self.partitions[partition_of(volume, len(self.partitions))]
        record = partition.records.get((volume, extent))
        if record is None or record.state is _DELETED:
            return None
        return record

    def __len__(self) -> int:
        return sum(len(partition.records) for partition in self.partitions)

    def records(self) -> Iterator[ExtentRecord]:
        """Iterate over all records, tombstones included."""
        for partition in self.partitions:
            yield from partition.records.values()

    def apply(self, delta: MapDelta) -> ExtentMap:
        """Return the map after a delta; the same object if nothing changed.

        Raises
        ------
        DeltaError
            If the delta contradicts itself or this map.
        """
        check_delta(delta, len(self.partitions))
        current = self.partitions[delta.partition]
        changed = _apply_snapshot(current, delta) if delta.is_snapshot else _apply_changes(current, delta)
        if changed is current:
            return self
        return self._with_partition(delta.partition, changed)

    def merge_record(self, record: ExtentRecord) -> ExtentMap:
        """Return the map with a record that did not come by the change log: a node's redirect, or a lookup's answer.

        It is joined like any other, and says nothing about how far the log was received.
        """
        number = partition_of(record.volume, len(self.partitions))
        current = self.partitions[number]
        records = _join(current, (record,))
        if records is current.records:
            return self
        return self._with_partition(number, replace(current, records=records))

    def _with_partition(self, number: int, partition: Partition) -> ExtentMap:
        return ExtentMap((*self.partitions[:number], partition, *self.partitions[number + 1 :]))


def _is_covered(record: ExtentRecord, floors: Floors) -> bool:
    """Did a snapshot with these floors know of the record?"""
    return any(record.stamp.epoch == epoch and record.stamp.version <= version for epoch, version in floors)


def _merge_floors(first: Floors, second: Floors) -> Floors:
    """Return the higher version of each epoch, for the latest epochs."""
    versions = dict(first)
    for epoch, version in second:
        versions[epoch] = max(version, versions.get(epoch, 0))
    return tuple(LogPosition(epoch, version) for epoch, version in sorted(versions.items())[-MAX_EPOCHS:])


def _join(partition: Partition, records: Iterable[ExtentRecord]) -> Map[RecordKey, ExtentRecord]:
    """Return the partition's table joined with records; the same object if nothing changed."""
    table = partition.records
    floors = partition.snapshot_floors
    changed = None
    for record in records:
        key = (record.volume, record.extent)
        current = table.get(key) if changed is None else changed.get(key)
        if current is None and floors and _is_covered(record, floors):
            continue  # a snapshot that knew of it left it out
        winner = later(current, record)
        if winner is not current:
            if changed is None:
                changed = table.mutate()
            changed[key] = winner
    return table if changed is None else changed.finish()


def _apply_changes(partition: Partition, delta: MapDelta) -> Partition:
    records = _join(partition, delta.records)
    complete_to, pending = _advance(partition, delta.epoch, VersionRange(delta.after, delta.up_to))
    position_unchanged = (complete_to, pending) == (partition.complete_to, partition.pending_ranges)
    if records is partition.records and position_unchanged:
        return partition
    return Partition(records, complete_to, pending, partition.snapshot_floors)


def _apply_snapshot(partition: Partition, delta: MapDelta) -> Partition:
    covered = _merge_floors(delta.covered_epochs, (LogPosition(delta.epoch, delta.up_to),))
    floors = _merge_floors(partition.snapshot_floors, covered)
    listed = {(record.volume, record.extent) for record in delta.records}
    # Joined under the floors of earlier snapshots only: a later snapshot that left out some of what this one lists
    # still holds, but this one's own floors must not reject what it lists.
    records = _join(partition, delta.records)
    remaining = records.mutate()
    for key, record in records.items():
        if key not in listed and _is_covered(record, covered):
            del remaining[key]
    complete_to, pending = _advance(partition, delta.epoch, VersionRange(0, delta.up_to))
    return Partition(remaining.finish(), complete_to, pending, floors)


def _advance(partition: Partition, epoch: int, received: VersionRange) -> tuple[LogPosition, tuple[VersionRange, ...]]:
    """Return the position up to which nothing is missing, and the ranges beyond a gap, after a range was received.

    A later epoch starts over: until its snapshot or its first change comes, all of it is a gap. Ranges of an earlier
    epoch change nothing.
    """
    if epoch < partition.complete_to.epoch:
        return partition.complete_to, partition.pending_ranges
    complete_to = 0
    pending: tuple[VersionRange, ...] = ()
    if epoch == partition.complete_to.epoch:
        complete_to = partition.complete_to.version
        pending = partition.pending_ranges
    remaining: list[VersionRange] = []
    for versions in sorted({*pending, received}):
        after, up_to = versions
        if after <= complete_to:
            complete_to = max(complete_to, up_to)
        elif remaining and after <= remaining[-1].up_to:
            remaining[-1] = VersionRange(remaining[-1].after, max(remaining[-1].up_to, up_to))
        else:
            remaining.append(versions)
    return LogPosition(epoch, complete_to), tuple(remaining[:MAX_PENDING_RANGES])
