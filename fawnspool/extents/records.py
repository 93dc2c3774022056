"""Extent records, the deltas that carry them, and which of two records of an extent wins.

A record names the shard that holds an extent at a generation. The generation counts the extent's migrations and is
stored with its data: a node accepts a fence only for a higher generation than its own, so two migrators can't both
reach the same one. Records travel in deltas of one partition of the map. The map service numbers them by epoch (one for
each of its incarnations; a service restored from a backup has a new epoch and lower versions) and by version (one for
each change within an epoch).

The attributes' former names remain the field names of the encoded forms (watch, calls, log file, LMDB): each attribute
that differs states its encoded name.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

import msgspec

NO_SHARD = -1  # shard of a deleted extent, as stored and sent
NO_GENERATION = -1  # of data that took part in no migration; below any generation


class ExtentKey(NamedTuple):
    """Name of an extent."""

    volume: str
    extent: str


class LogPosition(NamedTuple):
    """A point in the change log of one partition."""

    epoch: int
    version: int


LOG_START = LogPosition(0, 0)


class ExtentState(IntEnum):
    """State of an extent at its shard."""

    ACTIVE = 0  # reads and writes go there
    MIGRATING = 1  # as ACTIVE, while another shard is being filled
    FENCED = 2  # its old node answers `moved`; the new one takes over
    DELETED = 3  # a tombstone, kept until a snapshot leaves it out


class Stamp(msgspec.Struct, frozen=True, order=True):
    """Version stamp of a record. Stamps are compared field by field, and records by their stamps.

    Attributes
    ----------
    generation
        How often the extent had migrated. It comes first because it is stored with the data: a restored service may
        not know of a migration that the nodes know of, and must not override them.
    epoch
        Incarnation of the service that made the record. The later one has seen more, or an operator told it so.
    version
        Change within the epoch.
    """

    generation: int
    epoch: int
    version: int

    @property
    def position(self) -> LogPosition:
        """Position of the record in its partition's change log."""
        return LogPosition(self.epoch, self.version)


class ExtentRecord(msgspec.Struct, frozen=True):
    """Which shard holds an extent.

    Attributes
    ----------
    volume, extent
        Name of the volume, and of the extent within it.
    shard
        Number of the shard, `NO_SHARD` for a tombstone.
    stamp
        Version stamp of the record.
    state
        State of the extent at its shard.
    size
        Bytes, from which the cost of a read is estimated.
    """

    volume: str
    extent: str
    shard: int = msgspec.field(name="cell")
    stamp: Stamp
    state: ExtentState = ExtentState.ACTIVE
    size: int = 0


class ExtentWrite(NamedTuple):
    """A write that left an extent at a shard.

    Attributes
    ----------
    volume, extent, shard, size
        The extent, where it is, and its size in bytes.
    is_new
        The extent must not exist at another shard.
    generation
        Generation of the record by which the write was sent, `NO_GENERATION` if there was none.
    """

    volume: str
    extent: str
    shard: int
    size: int
    is_new: bool = False
    generation: int = NO_GENERATION


def later(current: ExtentRecord | None, candidate: ExtentRecord) -> ExtentRecord:
    """Return the record that wins.

    Two records with one stamp should be the same. If they differ all the same (a service that used a number twice), the
    greater content wins, so that every gateway ends with the same record.
    """
    if current is None or current.stamp < candidate.stamp:
        return candidate
    if candidate.stamp < current.stamp:
        return current
    return max(current, candidate, key=lambda record: (record.state, record.shard, record.size))


class MapDelta(msgspec.Struct, frozen=True):
    """Changes of one partition within one epoch, or a snapshot of it.

    Attributes
    ----------
    partition
        Number of the partition.
    epoch
        Epoch of the changes.
    after, up_to
        The delta holds the changes with `after` < version <= `up_to`.
    records
        The changed records; of a snapshot, all records at version `up_to`.
    is_snapshot
        True if extents that are not listed do not exist, as far as the service knew them.
    covered_epochs
        Of a snapshot: up to which version this incarnation of the service knows each earlier epoch. A restored service
        knows its predecessor's epoch only up to the backup, so what a snapshot leaves out is deleted only if the
        service knew of it.
    """

    partition: int = msgspec.field(name="shard")
    epoch: int
    after: int
    up_to: int = msgspec.field(name="upto")
    records: tuple[ExtentRecord, ...] = msgspec.field(name="facts")
    is_snapshot: bool = msgspec.field(name="whole", default=False)
    covered_epochs: tuple[LogPosition, ...] = msgspec.field(name="covers", default=())


class DeltaError(Exception):
    """A delta contradicts itself or the map; the text names the partition and the fault."""


def check_delta(delta: MapDelta, partition_count: int) -> None:
    """Check that the numbers of a delta are consistent; one that fails must not be applied, not even in part.

    Raises
    ------
    DeltaError
        If they are not.
    """
    _check_versions(delta, partition_count)
    _check_covered_epochs(delta)
    for record in delta.records:
        _check_record(delta, record)


def _check_versions(delta: MapDelta, partition_count: int) -> None:
    if not 0 <= delta.partition < partition_count:
        raise _error(delta, f"there are {partition_count} shards")
    if delta.epoch < 1 or delta.after < 0 or delta.up_to < delta.after:
        raise _error(delta, "epochs begin at 1, versions at 0 and do not fall")
    if delta.is_snapshot and delta.after:
        raise _error(delta, "a snapshot begins at 0")


def _check_covered_epochs(delta: MapDelta) -> None:
    if not delta.covered_epochs:
        return
    all_earlier = all(0 < epoch < delta.epoch for epoch, _ in delta.covered_epochs)
    if not delta.is_snapshot or not all_earlier:
        raise _error(delta, "only a snapshot covers earlier epochs, and only earlier ones")


def _check_record(delta: MapDelta, record: ExtentRecord) -> None:
    stamp = record.stamp
    if (stamp.epoch, stamp.version) > (delta.epoch, delta.up_to):
        raise _error(delta, f"holds a later fact of {record.volume}/{record.extent}: {stamp}")
    if record.shard < 0 and record.state is not ExtentState.DELETED:
        raise _error(delta, f"{record.volume}/{record.extent} lies nowhere")


def _error(delta: MapDelta, fault: str) -> DeltaError:
    versions = f"versions {delta.after} to {delta.up_to}"
    return DeltaError(f"delta of shard {delta.partition}, epoch {delta.epoch}, {versions}: {fault}")
