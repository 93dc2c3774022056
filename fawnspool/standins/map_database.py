"""The map service's state in LMDB: extent records, the log of changes, and the state of each partition's log.

A change is one transaction, so a kill leaves the state before it or after it. It is not forced to the disk: what a
power cut takes is for the scrub, as with a restored backup.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import lmdb
import msgspec
from msgspec.structs import replace

from fawnspool.extents.change_log import CatchUpMethod, ChangeLogState
from fawnspool.extents.map import partition_of
from fawnspool.extents.records import (
    NO_GENERATION,
    NO_SHARD,
    ExtentRecord,
    ExtentState,
    ExtentWrite,
    LogPosition,
    MapDelta,
    Stamp,
)
from fawnspool.records.frames import MAGIC, FrameReader
from fawnspool.standins.role_records import RoleRecords

DEFAULT_PARTITIONS = 64
MAX_KEYS_LISTED = 1000
_MAX_FILE_BYTES = 8 << 30  # addresses that LMDB may use; the file grows as it is filled
_TABLE_COUNT = 5
_RECORDS_TABLE = b"facts"
_LOG_TABLE = b"log"
_STATES_TABLE = b"past"
_PARTITIONS_KEY = b"shards"
_AFTER_ANY_POSITION = b"\xff" * 16
_MAX_TRUNCATED_PER_CHANGE = 2  # so that the work of a change stays bounded

ChooseRecord = Callable[[ExtentRecord | None, Stamp], ExtentRecord | None]


class MapDatabase:
    """Where extents are, by volume and extent.

    Parameters
    ----------
    path
        The file; None: a temporary one, removed at the end.
    partition_count
        For a new file; an old one keeps the number that it was created with.
    clock_ms
        Wall clock, milliseconds since 1970.

    Attributes
    ----------
    log_states
        State of each partition's log.
    watchers
        Called with each change once it stands.
    roles
        What is kept for leased roles.
    """

    def __init__(
        self,
        path: str | Path | None = None,
        partition_count: int = DEFAULT_PARTITIONS,
        clock_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="fawnspool-map-") if path is None else None
        file = Path(self._temporary.name) / "map.lmdb" if self._temporary is not None else Path(str(path))
        file.parent.mkdir(parents=True, exist_ok=True)
        older_rows = _set_aside_older_file(file)
        self._environment = lmdb.open(
            str(file), subdir=False, map_size=_MAX_FILE_BYTES, max_dbs=_TABLE_COUNT, sync=False, metasync=False
        )
        self._records = self._environment.open_db(_RECORDS_TABLE)
        self._log = self._environment.open_db(_LOG_TABLE)
        self._states = self._environment.open_db(_STATES_TABLE)
        self.roles = RoleRecords(self._environment)
        self._begin_epoch(partition_count, clock_ms)
        self.watchers: dict[object, Callable[[MapDelta], None]] = {}
        for volume, key, shard, size in older_rows:
            self.put(volume, key, shard, size)

    def close(self) -> None:
        """Close the file."""
        self._environment.close()
        if self._temporary is not None:
            self._temporary.cleanup()

    def backup(self, path: str | Path) -> None:
        """Write the state of now into a file that another database can open."""
        path = Path(path)
        path.parent.mkdir(parents=True, exist_ok=True)
        draft = path.with_name(path.name + ".draft")
        draft.unlink(missing_ok=True)
        self._environment.copy(str(draft), compact=True)
        draft.replace(path)

    def find_record(self, volume: str, key: str) -> ExtentRecord | None:
        """Return the record of an extent, or None if there is none."""
        with self._environment.begin() as transaction:
            record = self._read_record(transaction, volume, key)
        return record if _exists(record) else None

    def find(self, volume: str, key: str) -> tuple[int, int] | None:
        """Return (shard, size in bytes) of an extent, or None if there is none."""
        record = self.find_record(volume, key)
        return None if record is None else (record.shard, record.size)

    def record_write(self, write: ExtentWrite) -> tuple[ExtentRecord, bool]:
        """Note a write. Returns the record that holds, and whether the write was accepted.

        Of a new extent the first shard stands. Where a migration has overtaken the write, the migration took it along:
        only its size is noted.
        """
        unchanged: list[ExtentRecord] = []

        def choose(current: ExtentRecord | None, stamp: Stamp) -> ExtentRecord | None:
            existing = current if _exists(current) else None
            if existing is not None:
                is_taken = write.is_new and existing.shard != write.shard
                if is_taken or (existing.shard, existing.size) == (write.shard, write.size):
                    unchanged.append(existing)
                    return None
                if NO_GENERATION < write.generation < existing.stamp.generation:
                    return replace(existing, stamp=stamp, size=write.size)
            # A write of a later generation says that a migration has come so far, before its migrator does.
            stamp = replace(stamp, generation=max(stamp.generation, write.generation))
            return ExtentRecord(write.volume, write.extent, write.shard, stamp, ExtentState.ACTIVE, write.size)

        changed = self._change(write.volume, write.extent, choose)
        if changed is not None:
            return changed, True
        return unchanged[0], unchanged[0].shard == write.shard

    def put(self, volume: str, key: str, shard: int, size: int) -> None:
        """Note where an extent is."""
        self.record_write(ExtentWrite(volume, key, shard, size))

    def delete(self, volume: str, key: str) -> ExtentRecord | None:
        """Delete an extent. Returns its tombstone, or None if there was none."""

        def choose(current: ExtentRecord | None, stamp: Stamp) -> ExtentRecord | None:
            if not _exists(current):
                return None
            return ExtentRecord(volume, key, NO_SHARD, stamp, ExtentState.DELETED)

        return self._change(volume, key, choose)

    def record_migration(self, volume: str, key: str, shard: int, generation: int) -> ExtentRecord | None:
        """Note that a migration has reached a generation at a shard. Returns the record that holds then.

        It counts once, however often it is reported; one that another migration has overtaken changes nothing.
        """

        def choose(current: ExtentRecord | None, stamp: Stamp) -> ExtentRecord | None:
            if current is None or not _exists(current) or current.stamp.generation >= generation:
                return None
            stamp = Stamp(generation, stamp.epoch, stamp.version)
            return ExtentRecord(volume, key, shard, stamp, ExtentState.ACTIVE, current.size)

        self._change(volume, key, choose)
        return self.find_record(volume, key)

    def usage(self, shard: int) -> tuple[int, int]:
        """Return the number of extents in a shard and their bytes. Reads all records: for operators."""
        count = 0
        total_bytes = 0
        for _, record in self._read_from(self._records, b"\0"):
            if record.shard == shard and _exists(record):
                count += 1
                total_bytes += record.size
        return count, total_bytes

    def list_keys(self, volume: str, prefix: str, after: str, limit: int) -> tuple[list[tuple[str, int]], bool]:
        """Return keys in order with their sizes in bytes, and whether there are more."""
        partition = partition_of(volume, self.partition_count)
        listed = list[tuple[str, int]]()
        first = _record_key(partition, volume, max(prefix, after))
        common = _record_key(partition, volume, prefix)
        for key, record in self._read_from(self._records, first):
            if not key.startswith(common):
                break
            if not _exists(record) or (after and record.extent <= after):
                continue
            if len(listed) == min(limit, MAX_KEYS_LISTED):
                return listed, True
            listed.append((record.extent, record.size))
        return listed, False

    def deltas_since(self, partition: int, position: LogPosition) -> list[MapDelta]:
        """Return what brings a gateway up to now: the changes by epoch, or a snapshot, whichever is less."""
        state = self.log_states[partition]
        changes = self._changes_since(partition, position) if state.reaches_back_to(position) else []
        if state.catch_up_method(position, len(changes)) is CatchUpMethod.SNAPSHOT:
            return [self._snapshot(partition)]
        deltas = list[MapDelta]()
        for epoch, up_to in state.epochs:
            after = position.version if epoch == position.epoch else 0
            is_past_end = epoch == position.epoch and after == up_to and epoch != state.position.epoch
            if epoch < position.epoch or is_past_end:
                continue
            records = tuple(record for record in changes if record.stamp.epoch == epoch)
            deltas.append(MapDelta(partition, epoch, min(after, up_to), up_to, records))
        return deltas

    def _begin_epoch(self, partition_count: int, clock_ms: Callable[[], int]) -> None:
        """Begin an epoch of each partition's log, as another incarnation of the service."""
        with self._environment.begin(write=True) as transaction:
            stored_count = transaction.get(_PARTITIONS_KEY, db=self._states)
            self.partition_count = int(stored_count) if stored_count else partition_count
            transaction.put(_PARTITIONS_KEY, b"%d" % self.partition_count, db=self._states)
            self.log_states = [
                self._read_state(transaction, partition).with_new_epoch(clock_ms())
                for partition in range(self.partition_count)
            ]
            for partition, state in enumerate(self.log_states):
                self._keep_state(transaction, partition, state)

    def _read_state(self, transaction: Any, partition: int) -> ChangeLogState:
        raw = transaction.get(_state_key(partition), db=self._states)
        return msgspec.msgpack.decode(raw, type=ChangeLogState) if raw else ChangeLogState()

    def _keep_state(self, transaction: Any, partition: int, state: ChangeLogState) -> None:
        transaction.put(_state_key(partition), msgspec.msgpack.encode(state), db=self._states)
        self.log_states[partition] = state

    def _read_record(self, transaction: Any, volume: str, key: str) -> ExtentRecord | None:
        record_key = _record_key(partition_of(volume, self.partition_count), volume, key)
        raw = transaction.get(record_key, db=self._records)
        return msgspec.msgpack.decode(raw, type=ExtentRecord) if raw else None

    def _change(self, volume: str, key: str, choose: ChooseRecord) -> ExtentRecord | None:
        """Make one change in one transaction, then tell the watchers.

        Parameters
        ----------
        volume, key
            Of the extent.
        choose
            Returns the new record, of the current one and the next stamp of its generation; None: nothing changes.
        """
        partition = partition_of(volume, self.partition_count)
        with self._environment.begin(write=True) as transaction:
            current = self._read_record(transaction, volume, key)
            state = self.log_states[partition].with_change()
            generation = current.stamp.generation if current is not None else state.first_generation
            changed = choose(current, Stamp(generation, *state.position))
            if changed is None:
                return None
            raw = msgspec.msgpack.encode(changed)
            transaction.put(_record_key(partition, volume, key), raw, db=self._records)
            transaction.put(_log_key(partition, state.position), raw, db=self._log)
            extent_count = state.extent_count + int(_exists(changed)) - int(_exists(current))
            state = replace(state, extent_count=extent_count)
            self._keep_state(transaction, partition, self._truncate(transaction, partition, state))
        stamp = changed.stamp
        delta = MapDelta(partition, stamp.epoch, stamp.version - 1, stamp.version, (changed,))
        for tell in list(self.watchers.values()):
            tell(delta)
        return changed

    def _truncate(self, transaction: Any, partition: int, state: ChangeLogState) -> ChangeLogState:
        """Drop the oldest changes of a log that is too long.

        With a tombstone's change goes the tombstone, and new extents begin above its generation.
        """
        cursor = transaction.cursor(db=self._log)
        for _ in range(_MAX_TRUNCATED_PER_CHANGE):
            if not state.needs_truncation() or not cursor.set_range(_log_key(partition, LogPosition(0, 0))):
                break
            key, raw = cursor.item()
            oldest = msgspec.msgpack.decode(raw, type=ExtentRecord)
            first_generation = state.first_generation
            if not _exists(oldest) and self._drop_tombstone(transaction, partition, oldest):
                first_generation = max(first_generation, oldest.stamp.generation + 1)
            transaction.delete(key, db=self._log)
            state = replace(
                state,
                truncated_at=oldest.stamp.position,
                first_generation=first_generation,
                change_count=state.change_count - 1,
            )
        return state

    def _drop_tombstone(self, transaction: Any, partition: int, tombstone: ExtentRecord) -> bool:
        """Drop a tombstone. Was it still the extent's record?"""
        key = _record_key(partition, tombstone.volume, tombstone.extent)
        if transaction.get(key, db=self._records) != msgspec.msgpack.encode(tombstone):
            return False
        transaction.delete(key, db=self._records)
        return True

    def _changes_since(self, partition: int, position: LogPosition) -> list[ExtentRecord]:
        """Return the changes after a position; of more than there are extents, only so many as show that."""
        changes = list[ExtentRecord]()
        end = _partition_prefix(partition) + _AFTER_ANY_POSITION
        first = _log_key(partition, LogPosition(position.epoch, position.version + 1))
        for key, record in self._read_from(self._log, first):
            if key > end or len(changes) > self.log_states[partition].extent_count:
                break
            changes.append(record)
        return changes

    def _snapshot(self, partition: int) -> MapDelta:
        state = self.log_states[partition]
        prefix = _partition_prefix(partition)
        records = list[ExtentRecord]()
        for key, record in self._read_from(self._records, prefix):
            if not key.startswith(prefix):
                break
            if _exists(record):
                records.append(record)
        epoch, version = state.position
        return MapDelta(
            partition, epoch, 0, version, tuple(records), is_snapshot=True, covered_epochs=state.covered_epochs
        )

    def _read_from(self, table: Any, first: bytes) -> Iterator[tuple[bytes, ExtentRecord]]:
        """Yield the rows of a table from a key on."""
        with self._environment.begin() as transaction:
            cursor = transaction.cursor(db=table)
            if cursor.set_range(first):
                for key, raw in cursor:
                    yield key, msgspec.msgpack.decode(raw, type=ExtentRecord)


def _exists(record: ExtentRecord | None) -> bool:
    return record is not None and record.state is not ExtentState.DELETED


def _partition_prefix(partition: int) -> bytes:
    return partition.to_bytes(2, "big")


def _record_key(partition: int, volume: str, key: str) -> bytes:
    return _partition_prefix(partition) + volume.encode() + b"\0" + key.encode()


def _log_key(partition: int, position: LogPosition) -> bytes:
    epoch, version = position
    return _partition_prefix(partition) + epoch.to_bytes(8, "big") + version.to_bytes(8, "big")


def _state_key(partition: int) -> bytes:
    return b"past-%d" % partition


def _set_aside_older_file(path: Path) -> list[tuple[str, str, int, int]]:
    """Return (volume, key, shard, size) from a file of the form before LMDB, which is kept under another name."""
    try:
        with path.open("rb") as file:
            if file.read(len(MAGIC)) != MAGIC:
                return []
    except OSError:
        return []
    extents = dict[tuple[str, str], tuple[int, int]]()
    for volume, key, shard, size in FrameReader(path):
        if shard < 0:
            extents.pop((volume, key), None)
        else:
            extents[volume, key] = (shard, size)
    path.rename(path.with_name(path.name + ".before-lmdb"))
    return [(*name, *extent) for name, extent in extents.items()]
