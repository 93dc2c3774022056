"""The head's last good map on disk: a whole one, and behind it what was told since.

    map.rec        [0, form, shards, time], then for each shard [1, shard, told, ahead, floor] and rows [2, facts], each
                   fact a tuple, and [3] at the end; written beside and renamed
    map.log.rec    rows [4, delta], [5, fact that a call or a node told], [6, time]: until when the map was whole

Both are frames with checksums (`records/frames.py`). A kill leaves the old whole map or the new one; a log that is
older than its map changes nothing, as facts are joined whatever order they come in. All writing is done behind the
loop's back. A disk that takes nothing costs the file, never a request: the next start asks the service for more.
"""

from __future__ import annotations

import contextlib
import functools
import gc
import os
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from immutables import Map

from fawnspool.extents.checkpointing import CheckpointAction, CheckpointPolicy
from fawnspool.extents.map import ExtentMap, Partition, RecordKey, VersionRange
from fawnspool.extents.records import ExtentRecord, ExtentState, LogPosition, MapDelta, Stamp
from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.frames import Reader, Writer

FORM = 1
PIECE = 1000  # facts in one frame
_FACT_BYTES = 120  # of a fact in the queue, roughly
_STATES = {s.value: s for s in ExtentState}


@dataclass(frozen=True)
class Saved:
    """What a start found. whole_at: Unix time until which the map was whole, 0: unknown; why: what did not read."""

    map: ExtentMap | None = None
    whole_at: float = 0.0
    why: str = ""


def read(folder: Path) -> Saved:
    """The last good map below `folder`; never raises for what lies there."""
    found, at, why = None, 0.0, ""
    try:
        with _uncollected():
            found, at, why = _whole(folder / "map.rec")
    except FileNotFoundError:
        return Saved()
    except Exception as bad:  # a file of another make: nothing of it is used
        return Saved(why=f"map.rec: {bad}")
    if found is None:
        return Saved(why=why)
    try:
        reader = Reader(folder / "map.log.rec")
        for kind, value in reader:
            if kind == 4:
                found = found.apply(msgspec.convert(value, MapDelta))
            elif kind == 5:
                found = found.merge_record(msgspec.convert(value, ExtentRecord))
            elif kind == 6:
                at = max(at, float(value))
        why = reader.torn
    except FileNotFoundError:
        pass
    except Exception as bad:  # whatever a damaged log holds: what was read up to there stands
        why = f"map.log.rec: {bad}"
    return Saved(found, at, why)


@contextlib.contextmanager
def _uncollected() -> Iterator[None]:
    """Without the collector: all that is read stays, and looking through a million facts again and again took longer
    than reading them."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


def _whole(path: Path) -> tuple[ExtentMap | None, float, str]:
    reader = Reader(path)
    rows = iter(reader)
    head = next(rows, None)
    if head is None or head[0] != 0:
        raise ValueError(f"{path.name}: {reader.torn or 'holds no map'}")
    if head[1] != FORM:
        raise ValueError(f"{path.name}: of form {head[1]}, this program reads {FORM}")
    shards, at = [Partition()] * int(head[2]), float(head[3])
    here, table, state = -1, Map[RecordKey, ExtentRecord]().mutate(), Partition()
    for row in rows:
        if row[0] == 2:
            for volume, extent, cell, generation, epoch, version, how, size in row[1]:
                table[volume, extent] = ExtentRecord(
                    volume, extent, cell, Stamp(generation, epoch, version), _STATES[how], size
                )
            continue
        if here >= 0:
            shards[here] = Partition(table.finish(), state.complete_to, state.pending_ranges, state.snapshot_floors)
        if row[0] == 3:
            return ExtentMap(tuple(shards)), at, ""
        here, table, state = (
            int(row[1]),
            Map[RecordKey, ExtentRecord]().mutate(),
            msgspec.convert({"told": row[2], "ahead": row[3], "floor": row[4]}, _State).shard(),
        )
    return None, 0.0, f"{path.name}: {reader.torn or 'its end is missing'}"


class _State(msgspec.Struct):
    told: tuple[int, int]
    ahead: tuple[tuple[int, int], ...]
    floor: tuple[tuple[int, int], ...]

    def shard(self) -> Partition:
        return Partition(
            complete_to=LogPosition(*self.told),
            pending_ranges=tuple(VersionRange(*row) for row in self.ahead),
            snapshot_floors=tuple(LogPosition(*row) for row in self.floor),
        )


def write(path: Path, m: ExtentMap, whole_at: float) -> None:
    """The whole map, beside and renamed. Raises OSError."""
    draft = path.with_suffix(".draft")
    writer = Writer(draft)
    try:
        writer.put([0, FORM, len(m.partitions), whole_at])
        for number, shard in enumerate(m.partitions):
            writer.add([1, number, shard.complete_to, shard.pending_ranges, shard.snapshot_floors])
            piece = list[Any]()
            for f in shard.records.values():
                s = f.stamp
                piece.append((f.volume, f.extent, f.shard, s.generation, s.epoch, s.version, f.state.value, f.size))
                if len(piece) == PIECE:
                    writer.put([2, piece])
                    piece = []
            writer.put([2, piece])
        writer.put([3])
        os.fsync(writer.fd)
    finally:
        writer.close()
    os.replace(draft, path)


class MapFile:
    """Keeps the file up to what the head holds. `log(text)`: what went wrong."""

    def __init__(self, folder: Path, behind: BackgroundWriter, log: Callable[[str], None]) -> None:
        self.folder, self.behind, self.log = folder, behind, log
        self.keep = CheckpointPolicy()
        self.writer: Writer | None = None
        self.problem = ""  # set by the thread

    def told(self, value: MapDelta | ExtentRecord, m: ExtentMap) -> None:
        """`m` is the map with it."""
        count = len(value.records) if isinstance(value, MapDelta) else 1
        self._append([4 if isinstance(value, MapDelta) else 5, value], count, m)

    def whole(self, m: ExtentMap) -> None:
        """The map is whole now; noted now and then."""
        if self.keep.complete_mark_due(time.monotonic()):
            self._append([6, time.time()], 1, m)

    def _append(self, row: list[Any], count: int, m: ExtentMap) -> None:
        if self.problem:
            self.log(self.problem)
            self.problem = ""
            self.keep.write_failed(time.monotonic())
        what = self.keep.next_action(time.monotonic(), count, len(m))
        if what is CheckpointAction.SKIP:
            return
        if what is CheckpointAction.FULL_MAP:
            work, size = functools.partial(self._write_whole, m, time.time()), 0  # it shares the map's memory
        else:
            work, size = functools.partial(self._write_row, row), count * _FACT_BYTES
        if not self.behind.put(work, size):
            self.log("the disk is too slow")
            self.keep.write_failed(time.monotonic())

    # ------------------------------------------------------------ in the thread

    def _write_whole(self, m: ExtentMap, at: float) -> None:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            write(self.folder / "map.rec", m, at)
            if self.writer is not None:
                self.writer.close()
            self.writer = Writer(self.folder / "map.log.rec")
        except OSError as bad:
            self._failed(bad)

    def _write_row(self, row: list[Any]) -> None:
        if self.writer is None:
            return  # the whole map that goes before could not be written
        try:
            self.writer.put(row)
        except OSError as bad:
            self._failed(bad)

    def _failed(self, bad: OSError) -> None:
        if self.writer is not None:
            self.writer.buffer.clear()
            self.writer.close()
            self.writer = None
        self.problem = bad.strerror or str(bad)

    def close(self) -> None:
        """After what was handed over before."""
        self.behind.put(lambda: self.writer.close() if self.writer is not None else None)
