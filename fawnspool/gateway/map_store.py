"""The gateway's extent map on disk: a full map, and a log of the changes received after it.

    map.rec        a HEADER row, then for each partition a PARTITION row and RECORDS rows, and an END row; written
                   to a second file that is then renamed
    map.log.rec    DELTA rows, RECORD rows (from a call or a node's redirect), and COMPLETE rows with the time until
                   which the map was complete

Both are files of frames with checksums (`records/frames.py`); `RowKind` lists the codes of their rows. If the process
is killed while it writes, either the old full map or the new one remains. A log that is older than its map changes
nothing, as the result of merging records does not depend on their order. A background thread does all writing. A disk
error loses the checkpoint but fails no request: the next start then fetches more from the map service.
"""

from __future__ import annotations

import contextlib
import functools
import gc
import os
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from enum import IntEnum
from pathlib import Path
from typing import Any

import msgspec
from immutables import Map

from fawnspool.extents.checkpointing import CheckpointAction, CheckpointPolicy
from fawnspool.extents.map import ExtentMap, Partition, RecordKey, VersionRange
from fawnspool.extents.records import ExtentRecord, ExtentState, LogPosition, MapDelta, Stamp
from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.frames import FrameReader, FrameWriter

MAP_FILE = "map.rec"
LOG_FILE = "map.log.rec"
FORMAT_VERSION = 1
RECORDS_PER_ROW = 1000
RECORD_MEMORY_BYTES = 120  # approximate memory of a record that waits to be written
_STATES = {state.value: state for state in ExtentState}  # faster than the enum's own lookup


class RowKind(IntEnum):
    """Code in the first element of a row; the comments name the elements that follow it."""

    HEADER = 0  # format version, number of partitions, time until which the map was complete
    PARTITION = 1  # number, position, pending ranges, snapshot floors
    RECORDS = 2  # records of the partition, each an array of its fields
    END = 3  # no elements
    DELTA = 4  # a delta
    RECORD = 5  # one record
    COMPLETE = 6  # time until which the map was complete


@dataclass(frozen=True)
class SavedMap:
    """Map that was loaded from disk at a start.

    Attributes
    ----------
    map
        The map, or None if there is no usable one.
    complete_at
        Time until which the map was complete, in seconds since 1970; 0 if unknown.
    problem
        Description of what could not be read; "" if everything was read.
    """

    map: ExtentMap | None = None
    complete_at: float = 0.0
    problem: str = ""


class MapFormatError(ValueError):
    """A file holds no map, or a map in an unsupported format."""

    def __init__(self, path: Path, fault: str) -> None:
        super().__init__(f"{path.name}: {fault}")


def load_map(folder: Path) -> SavedMap:
    """Return the map in a folder; unreadable files are reported in the result and raise nothing."""
    try:
        with _garbage_collection_paused():
            saved = _load_full_map(folder / MAP_FILE)
    except FileNotFoundError:
        return SavedMap()
    except Exception as error:  # a damaged file may hold anything: none of it is used
        return SavedMap(problem=f"{MAP_FILE}: {error}")
    if saved.map is None:
        return saved
    return _replay_log(folder / LOG_FILE, saved.map, saved.complete_at)


@contextlib.contextmanager
def _garbage_collection_paused() -> Iterator[None]:
    """Pause the garbage collector, which took longer to visit a million records than it took to read them."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def _load_full_map(path: Path) -> SavedMap:
    reader = FrameReader(path)
    rows = iter(reader)
    header = next(rows, None)
    if header is None or header[0] != RowKind.HEADER:
        raise MapFormatError(path, reader.torn or "the file holds no map")
    if header[1] != FORMAT_VERSION:
        raise MapFormatError(
            path, f"unsupported format version {header[1]}; this program reads version {FORMAT_VERSION}"
        )
    partitions = _PartitionBuilder(int(header[2]))
    complete_at = float(header[3])
    for row in rows:
        if row[0] == RowKind.RECORDS:
            partitions.add_records(row[1])
        elif row[0] == RowKind.END:
            return SavedMap(partitions.finish(), complete_at)
        else:
            partitions.begin(row)
    return SavedMap(problem=f"{path.name}: {reader.torn or 'the END row is missing'}")


class _PartitionRow(msgspec.Struct):
    """Elements of a PARTITION row after the number.

    `told` is the position, `ahead` the pending ranges and `floor` the snapshot floors; these are former names of the
    attributes of `Partition`.
    """

    told: tuple[int, int]
    ahead: tuple[tuple[int, int], ...]
    floor: tuple[tuple[int, int], ...]

    def partition(self, records: Map[RecordKey, ExtentRecord]) -> Partition:
        return Partition(
            records,
            LogPosition(*self.told),
            tuple(VersionRange(*versions) for versions in self.ahead),
            tuple(LogPosition(*position) for position in self.floor),
        )


class _PartitionBuilder:
    """Builds a map from the rows of a full map file."""

    def __init__(self, partition_count: int) -> None:
        self._partitions = [Partition()] * partition_count
        self._number: int | None = None  # partition being read
        self._row: _PartitionRow | None = None
        self._records = Map[RecordKey, ExtentRecord]().mutate()

    def begin(self, row: list[Any]) -> None:
        self._end_partition()
        self._number = int(row[1])
        self._records = Map[RecordKey, ExtentRecord]().mutate()
        self._row = msgspec.convert({"told": row[2], "ahead": row[3], "floor": row[4]}, _PartitionRow)

    def add_records(self, rows: list[Any]) -> None:
        records = self._records
        for volume, extent, shard, generation, epoch, version, state, size in rows:
            stamp = Stamp(generation, epoch, version)
            records[volume, extent] = ExtentRecord(volume, extent, shard, stamp, _STATES[state], size)

    def finish(self) -> ExtentMap:
        self._end_partition()
        return ExtentMap(tuple(self._partitions))

    def _end_partition(self) -> None:
        if self._number is not None and self._row is not None:
            self._partitions[self._number] = self._row.partition(self._records.finish())


def _replay_log(path: Path, extent_map: ExtentMap, complete_at: float) -> SavedMap:
    """Return the map with the log applied; of a damaged log, the readable rows are applied."""
    saved = SavedMap(extent_map, complete_at)
    try:
        reader = FrameReader(path)
        for kind, value in reader:
            saved = _replay_row(saved, kind, value)
    except FileNotFoundError:
        return saved
    except Exception as error:  # a damaged log may hold anything
        return replace(saved, problem=f"{LOG_FILE}: {error}")
    return replace(saved, problem=reader.torn)


def _replay_row(saved: SavedMap, kind: int, value: Any) -> SavedMap:
    if saved.map is None:
        return saved
    if kind == RowKind.DELTA:
        return replace(saved, map=saved.map.apply(msgspec.convert(value, MapDelta)))
    if kind == RowKind.RECORD:
        return replace(saved, map=saved.map.merge_record(msgspec.convert(value, ExtentRecord)))
    if kind == RowKind.COMPLETE:
        return replace(saved, complete_at=max(saved.complete_at, float(value)))
    return saved


def save_map(path: Path, extent_map: ExtentMap, complete_at: float) -> None:
    """Write a full map to a draft file, and rename it to `path`.

    Raises
    ------
    OSError
        If the file can't be written.
    """
    draft = path.with_suffix(".draft")
    writer = FrameWriter(draft)
    try:
        writer.put([RowKind.HEADER, FORMAT_VERSION, len(extent_map.partitions), complete_at])
        for number, partition in enumerate(extent_map.partitions):
            _write_partition(writer, number, partition)
        writer.put([RowKind.END])
        os.fsync(writer.fd)
    finally:
        writer.close()
    draft.replace(path)


def _write_partition(writer: FrameWriter, number: int, partition: Partition) -> None:
    position = (partition.complete_to, partition.pending_ranges, partition.snapshot_floors)
    writer.add([RowKind.PARTITION, number, *position])
    rows = list[Any]()
    for record in partition.records.values():
        rows.append(_record_row(record))
        if len(rows) == RECORDS_PER_ROW:
            writer.put([RowKind.RECORDS, rows])
            rows = []
    writer.put([RowKind.RECORDS, rows])


def _record_row(record: ExtentRecord) -> tuple[Any, ...]:
    stamp = record.stamp
    position = (stamp.generation, stamp.epoch, stamp.version)
    return (record.volume, record.extent, record.shard, *position, record.state.value, record.size)


class MapCheckpoint:
    """Keeps the files up to date with the gateway's map.

    Parameters
    ----------
    folder
        Folder of the files.
    background
        Thread that writes the files.
    report_problem
        Called with the text of a failure.
    """

    def __init__(self, folder: Path, background: BackgroundWriter, report_problem: Callable[[str], None]) -> None:
        self.folder = folder
        self.background = background
        self.report_problem = report_problem
        self.policy = CheckpointPolicy()
        self.problem: str | None = None  # set by the background thread
        self._log_writer: FrameWriter | None = None  # used only by the background thread

    def load(self) -> SavedMap:
        """Return the saved map."""
        return load_map(self.folder)

    def save_change(self, change: MapDelta | ExtentRecord, extent_map: ExtentMap) -> None:
        """Save a change; `extent_map` is the map after it."""
        if isinstance(change, MapDelta):
            self._append([RowKind.DELTA, change], len(change.records), extent_map)
        else:
            self._append([RowKind.RECORD, change], 1, extent_map)

    def mark_complete(self, extent_map: ExtentMap) -> None:
        """Save that the map is complete now, at most once per interval of the checkpoint policy."""
        if self.policy.complete_mark_due(time.monotonic()):
            self._append([RowKind.COMPLETE, time.time()], 1, extent_map)

    def close(self) -> None:
        """Close the files once the pending rows are written."""
        self.background.put(self._close_log)

    def _append(self, row: list[Any], record_count: int, extent_map: ExtentMap) -> None:
        if self.problem is not None:
            self._report(self.problem)
            self.problem = None
        action = self.policy.next_action(time.monotonic(), record_count, len(extent_map))
        if action is CheckpointAction.SKIP:
            return
        if action is CheckpointAction.FULL_MAP:
            # The immutable map shares its memory with the gateway's map, so no size is counted.
            accepted = self.background.put(functools.partial(self._write_full_map, extent_map, time.time()))
        else:
            size = record_count * RECORD_MEMORY_BYTES
            accepted = self.background.put(functools.partial(self._write_row, row), size)
        if not accepted:
            self._report("the disk is too slow")

    def _report(self, problem: str) -> None:
        self.report_problem(problem)
        self.policy.write_failed(time.monotonic())

    # ------------------------------------------------------------ in the background thread

    def _write_full_map(self, extent_map: ExtentMap, complete_at: float) -> None:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            save_map(self.folder / MAP_FILE, extent_map, complete_at)
            self._close_log()
            self._log_writer = FrameWriter(self.folder / LOG_FILE)
        except OSError as error:
            self._write_failed(error)

    def _write_row(self, row: list[Any]) -> None:
        if self._log_writer is None:
            return  # the full map that the log continues could not be written
        try:
            self._log_writer.put(row)
        except OSError as error:
            self._write_failed(error)

    def _write_failed(self, error: OSError) -> None:
        if self._log_writer is not None:
            self._log_writer.buffer.clear()
            self._log_writer.close()
            self._log_writer = None
        self.problem = error.strerror or str(error)

    def _close_log(self) -> None:
        if self._log_writer is not None:
            self._log_writer.close()
