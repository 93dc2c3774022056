"""The map service: which cell holds an extent, told to whoever watches. docs/map-wire.md describes its protocol.

Its state lies in LMDB, three tables: facts (shard, volume, extent), the log of changes (shard, epoch, version), and the
past of each shard. A change is one transaction, so a kill leaves the state before it or after it. It is not forced to
the disk: what a power cut takes is for the scrub, as with a restored backup.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import gevent
import lmdb
import msgspec
from gevent.queue import Empty, Queue
from msgspec.structs import replace

from fawnspool.extents.change_log import CatchUpMethod, ChangeLogState
from fawnspool.extents.map import partition_of
from fawnspool.extents.records import (
    LOG_START,
    NO_SHARD,
    ExtentRecord,
    ExtentState,
    ExtentWrite,
    LogPosition,
    MapDelta,
    Stamp,
)
from fawnspool.leases.fencing import Fence, StaleTokenError
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.records.frames import MAGIC, FrameReader
from fawnspool.standins.service import Service, send_line

SHARDS = 64
LIST_MOST = 1000
BEAT_S = 1.0
QUEUE_MOST = 4096  # deltas that wait for one watch: one that is further behind starts anew
ROOM = 8 << 30  # addresses that LMDB may use; the file grows as it is filled
WISHES_MOST = 1024
_END = b"\xff"


def _fact_key(shard: int, volume: str, extent: str = "") -> bytes:
    return shard.to_bytes(2, "big") + volume.encode() + b"\0" + extent.encode()


def _log_key(shard: int, epoch: int, version: int) -> bytes:
    return shard.to_bytes(2, "big") + epoch.to_bytes(8, "big") + version.to_bytes(8, "big")


class Catalogue:
    """Places by volume and extent. `path`: its file; without one it is kept beside and goes with this object."""

    def __init__(
        self,
        path: str | Path | None = None,
        shards: int = SHARDS,
        clock_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000,
    ) -> None:
        self.beside = tempfile.TemporaryDirectory(prefix="fawnspool-map-") if path is None else None
        where = Path(self.beside.name) / "map.lmdb" if self.beside is not None else Path(str(path))
        where.parent.mkdir(parents=True, exist_ok=True)
        old = _older_form(where)
        self.env = lmdb.open(str(where), subdir=False, map_size=ROOM, max_dbs=5, sync=False, metasync=False)
        self.facts, self.log, self.meta, self.fences, self.wish_rows = (
            self.env.open_db(name) for name in (b"facts", b"log", b"past", b"fences", b"wishes")
        )
        with self.env.begin(write=True) as txn:
            kept = txn.get(b"shards", db=self.meta)
            self.shards = int(kept) if kept else shards  # a file keeps the number that it began with
            txn.put(b"shards", b"%d" % self.shards, db=self.meta)
            self.past = [self._past(txn, k).with_new_epoch(clock_ms()) for k in range(self.shards)]
            for k, past in enumerate(self.past):
                self._keep(txn, k, past)
            self.fence = Fence((row.duty, row.token, row.who) for row in self.holders(txn))
        self.watchers: dict[object, Callable[[MapDelta], None]] = {}
        for volume, key, cell, size in old:
            self.put(volume, key, cell, size)

    def close(self) -> None:
        self.env.close()
        if self.beside is not None:
            self.beside.cleanup()

    def backup(self, path: str | Path) -> None:
        """The state as it is now, to be opened as another catalogue's file."""
        Path(path).parent.mkdir(parents=True, exist_ok=True)
        draft = Path(f"{path}.draft")
        draft.unlink(missing_ok=True)
        self.env.copy(str(draft), compact=True)
        draft.replace(path)

    # ------------------------------------------------------------ tables

    def _past(self, txn: Any, shard: int) -> ChangeLogState:
        raw = txn.get(b"past-%d" % shard, db=self.meta)
        return msgspec.msgpack.decode(raw, type=ChangeLogState) if raw else ChangeLogState()

    def _keep(self, txn: Any, shard: int, past: ChangeLogState) -> None:
        txn.put(b"past-%d" % shard, msgspec.msgpack.encode(past), db=self.meta)
        self.past[shard] = past

    def _fact(self, txn: Any, volume: str, extent: str) -> ExtentRecord | None:
        raw = txn.get(_fact_key(partition_of(volume, self.shards), volume, extent), db=self.facts)
        return msgspec.msgpack.decode(raw, type=ExtentRecord) if raw else None

    def find_record(self, volume: str, extent: str) -> ExtentRecord | None:
        """What holds of an extent; None: there is none."""
        with self.env.begin() as txn:
            found = self._fact(txn, volume, extent)
        return found if found is not None and found.state is not ExtentState.DELETED else None

    def _change(
        self, volume: str, extent: str, choose: Callable[[ExtentRecord | None, Stamp], ExtentRecord | None]
    ) -> ExtentRecord | None:
        """One change in one transaction. `choose(what holds, the next stamp of its generation)` gives the new fact, or
        None: nothing changes. Watchers are told once it stands."""
        shard = partition_of(volume, self.shards)
        with self.env.begin(write=True) as txn:
            had = self._fact(txn, volume, extent)
            past = self.past[shard].with_change()
            generation = had.stamp.generation if had is not None else past.first_generation
            made = choose(had, Stamp(generation, *past.position))
            if made is None:
                return None
            raw = msgspec.msgpack.encode(made)
            txn.put(_fact_key(shard, volume, extent), raw, db=self.facts)
            txn.put(_log_key(shard, *past.position), raw, db=self.log)
            there = (made.state is not ExtentState.DELETED) - (had is not None and had.state is not ExtentState.DELETED)
            self._keep(txn, shard, self._compact(txn, shard, replace(past, extent_count=past.extent_count + there)))
        delta = MapDelta(shard, made.stamp.epoch, made.stamp.version - 1, made.stamp.version, (made,))
        for tell in list(self.watchers.values()):
            tell(delta)
        return made

    def _compact(self, txn: Any, shard: int, past: ChangeLogState) -> ChangeLogState:
        """Drop the oldest changes of a log that is too long, two at the most: the work of a change stays bounded. With
        a tombstone's change goes the tombstone, and new extents begin above its generation."""
        cursor = txn.cursor(db=self.log)
        for _ in range(2):
            if not past.needs_truncation() or not cursor.set_range(_log_key(shard, 0, 0)):
                break
            key, gone = cursor.item()
            gone = msgspec.msgpack.decode(gone, type=ExtentRecord)
            stamp, born = gone.stamp, past.first_generation
            if gone.state is ExtentState.DELETED:
                place = _fact_key(shard, gone.volume, gone.extent)
                if txn.get(place, db=self.facts) == msgspec.msgpack.encode(gone):
                    txn.delete(place, db=self.facts)
                    born = max(born, stamp.generation + 1)
            txn.delete(key, db=self.log)
            past = replace(past, truncated_at=stamp.position, first_generation=born, change_count=past.change_count - 1)
        return past

    # ------------------------------------------------------------ what heads and movers ask

    def find(self, volume: str, key: str) -> tuple[int, int] | None:
        """(cell, size in bytes) or None."""
        found = self.find_record(volume, key)
        return None if found is None else (found.shard, found.size)

    def record_write(self, write: ExtentWrite) -> tuple[ExtentRecord, bool]:
        """A write left the extent there: (what holds now, was it taken?). Of a new one the first place stands. Where a
        move has overtaken the write, the move took it along: only its size is noted."""
        volume, key, cell, size, new, generation = write
        stands: list[ExtentRecord] = []

        def choose(had: ExtentRecord | None, stamp: Stamp) -> ExtentRecord | None:
            there = had if had is not None and had.state is not ExtentState.DELETED else None
            if there is not None and ((new and there.shard != cell) or (there.shard, there.size) == (cell, size)):
                stands.append(there)
                return None
            if there is not None and 0 <= generation < there.stamp.generation:
                return replace(there, stamp=stamp, size=size)
            # A write of a later generation says that a move has come so far, before its mover does.
            stamp = replace(stamp, generation=max(stamp.generation, generation))
            return ExtentRecord(volume, key, cell, stamp, ExtentState.ACTIVE, size)

        made = self._change(volume, key, choose)
        return (made, True) if made is not None else (stands[0], stands[0].shard == cell)

    def put(self, volume: str, key: str, cell: int, size: int, new: bool = False) -> tuple[int, int] | None:
        """None: noted. With `new`, the place that was there before it and stands."""
        stands, taken = self.record_write(ExtentWrite(volume, key, cell, size, new))
        return None if taken else (stands.shard, stands.size)

    def delete(self, volume: str, key: str) -> ExtentRecord | None:
        """The extent is deleted. Its tombstone, or None where there was nothing."""
        return self._change(
            volume,
            key,
            lambda had, stamp: (
                None
                if had is None or had.state is ExtentState.DELETED
                else ExtentRecord(volume, key, NO_SHARD, stamp, ExtentState.DELETED)
            ),
        )

    def flip(self, volume: str, key: str, cell: int, generation: int) -> ExtentRecord | None:
        """A move has reached `generation` at `cell`: what holds then. It holds once, whoever tells it how often; one
        that another move has overtaken changes nothing."""
        self._change(
            volume,
            key,
            lambda had, stamp: (
                None
                if had is None or had.state is ExtentState.DELETED or had.stamp.generation >= generation
                else ExtentRecord(
                    volume, key, cell, Stamp(generation, stamp.epoch, stamp.version), ExtentState.ACTIVE, had.size
                )
            ),
        )
        return self.find_record(volume, key)

    # ------------------------------------------------------------ duties

    def holders(self, txn: Any = None) -> list[Holding]:
        """Who showed a token here last, by duty."""
        if txn is None:
            with self.env.begin() as txn:
                return self.holders(txn)
        return [msgspec.msgpack.decode(raw, type=Holding) for _, raw in txn.cursor(db=self.fences)]

    def pass_fence(self, stamp: Stamped, note: str = "") -> None:
        """A step of a duty: kept before anything is done. Raises StaleTokenError."""
        self.fence.admit(stamp.duty, stamp.token, stamp.who)
        row = Holding(stamp.duty, stamp.token, stamp.who, stamp.head, time.time(), note)
        with self.env.begin(write=True) as txn:
            old = txn.get(stamp.duty.encode(), db=self.fences)
            if not note and old:
                row = msgspec.structs.replace(row, note=msgspec.msgpack.decode(old, type=Holding).note)
            txn.put(stamp.duty.encode(), msgspec.msgpack.encode(row), db=self.fences)

    def wish(self, name: str, value: str | None) -> None:
        """What operators want done, by name; None takes it back. Raises ValueError beyond the bound."""
        with self.env.begin(write=True) as txn:
            if value is None:
                txn.delete(name.encode(), db=self.wish_rows)
            elif txn.stat(self.wish_rows)["entries"] >= WISHES_MOST and not txn.get(name.encode(), db=self.wish_rows):
                raise ValueError(f"over {WISHES_MOST} wishes")
            else:
                txn.put(name.encode(), value.encode(), db=self.wish_rows)

    def wishes(self) -> dict[str, str]:
        with self.env.begin() as txn:
            return {key.decode(): raw.decode() for key, raw in txn.cursor(db=self.wish_rows)}

    def count(self, cell: int) -> tuple[int, int]:
        """(extents, bytes) that lie in a cell. Looks at all there are: for operators, now and then."""
        extents = size = 0
        for _, raw in self._rows(self.facts, b"\0"):
            f = msgspec.msgpack.decode(raw, type=ExtentRecord)
            if f.shard == cell and f.state is not ExtentState.DELETED:
                extents, size = extents + 1, size + f.size
        return extents, size

    # ------------------------------------------------------------ catching up

    def _rows(self, table: Any, first: bytes) -> Iterator[tuple[bytes, bytes]]:
        with self.env.begin() as txn:
            cursor = txn.cursor(db=table)
            if cursor.set_range(first):
                yield from cursor

    def since(self, shard: int, told: LogPosition) -> list[MapDelta]:
        """What brings a head up to now that was told so far: changes by life, or a snapshot, whichever is less."""
        past = self.past[shard]
        rows = list[ExtentRecord]()
        if past.reaches_back_to(told):
            end = shard.to_bytes(2, "big") + _END * 16
            for key, raw in self._rows(self.log, _log_key(shard, told[0], told[1] + 1)):
                if key > end or len(rows) > past.extent_count:
                    break
                rows.append(msgspec.msgpack.decode(raw, type=ExtentRecord))
        if past.catch_up_method(told, len(rows)) is CatchUpMethod.SNAPSHOT:
            prefix = shard.to_bytes(2, "big")
            all_there = []
            for key, raw in self._rows(self.facts, prefix):
                if not key.startswith(prefix):
                    break
                found = msgspec.msgpack.decode(raw, type=ExtentRecord)
                if found.state is not ExtentState.DELETED:
                    all_there.append(found)
            return [
                MapDelta(
                    shard, past.position.epoch, 0, past.position.version, tuple(all_there), True, past.covered_epochs
                )
            ]
        out = []
        for epoch, upto in past.epochs:
            after = told[1] if epoch == told[0] else 0
            if epoch < told[0] or (epoch == told[0] and after == upto and epoch != past.position.epoch):
                continue
            out.append(MapDelta(shard, epoch, min(after, upto), upto, tuple(f for f in rows if f.stamp.epoch == epoch)))
        return out

    def list_keys(self, volume: str, prefix: str, after: str, limit: int) -> tuple[list[tuple[str, int]], bool]:
        """Keys in order with their sizes, and whether there are more."""
        shard, out = partition_of(volume, self.shards), list[tuple[str, int]]()
        first = _fact_key(shard, volume, max(prefix, after))
        for place, raw in self._rows(self.facts, first):
            if not place.startswith(_fact_key(shard, volume, prefix)):
                break
            found = msgspec.msgpack.decode(raw, type=ExtentRecord)
            if found.state is ExtentState.DELETED or (after and found.extent <= after):
                continue
            if len(out) == min(limit, LIST_MOST):
                return out, True
            out.append((found.extent, found.size))
        return out, False


class Stamped(msgspec.Struct, frozen=True):
    """Under which token of which duty a step is asked for, by which life of which head."""

    duty: str
    token: int
    who: int
    head: int = -1


class Holding(msgspec.Struct, frozen=True):
    """Who showed a token here last. at: this service's wall clock, for people; note: what the holder says of its
    work."""

    duty: str
    token: int
    who: int
    head: int
    at: float
    note: str = ""


def _older_form(path: Path) -> list[tuple[str, str, int, int]]:
    """What a file of the form before LMDB holds; it is kept under another name."""
    try:
        with path.open("rb") as file:
            if file.read(len(MAGIC)) != MAGIC:
                return []
    except OSError:
        return []
    places = dict[tuple[str, str], tuple[int, int]]()
    for volume, key, cell, size in FrameReader(path):
        if cell < 0:
            places.pop((volume, key), None)
        else:
            places[volume, key] = (cell, size)
    path.rename(path.with_name(path.name + ".before-lmdb"))
    return [(*name, *place) for name, place in places.items()]


class CatalogueServer(Service):
    """The map service over HTTP."""

    def __init__(
        self, address: tuple[str, int], catalogue: Catalogue, note: Callable[..., None] = lambda kind, **more: None
    ) -> None:
        """note(kind, ...): told of each step of a duty, done or refused."""
        self.catalogue, self.calls, self.note = catalogue, 0, note
        super().__init__(address)

    def _drop_watchers(self) -> None:
        self.catalogue.watchers.clear()

    def _handle(self, exchange: Exchange) -> None:
        self.calls += 1
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        if path == "/watch":
            return self._watch(exchange, query)
        try:
            asked = msgspec.msgpack.decode(b"".join(exchange.body()))
            status, out = self._fenced(path, asked)
        except (KeyError, TypeError, ValueError, msgspec.DecodeError, lmdb.BadValsizeError) as bad:
            raise HttpError(400, f"the call does not read: {bad}") from None
        exchange.respond(status, [], msgspec.msgpack.encode(out))

    def _fenced(self, path: str, a: dict[str, Any]) -> tuple[int, Any]:
        """What bears a token passes the fence first."""
        if path not in ("/flip", "/fence"):
            return self._do(path, a)
        told = {
            "what": path[1:],
            "vol": a.get("volume"),
            "key": a.get("key"),
            "gen": a.get("generation", -1),
            "cell": a.get("cell", -1),
        }
        if "duty" not in a:
            self.note("effect", node=-1, duty="", token=-1, who=0, head=-1, **told)
            return self._do(path, a)
        stamp = msgspec.convert(a, type=Stamped)
        told |= {"duty": stamp.duty, "token": stamp.token, "who": stamp.who, "head": stamp.head}
        try:
            self.catalogue.pass_fence(stamp, str(a.get("note", "")))
        except StaleTokenError as bad:
            self.note("fenced", node=-1, newest=bad.newest, **told)
            return 403, {"fenced": bad.role, "newest": bad.newest}
        self.note("effect", node=-1, **told)
        return self._do(path, a)

    def _do(self, path: str, a: dict[str, Any]) -> tuple[int, Any]:
        c = self.catalogue
        if path == "/fence":
            return 200, {}
        if path == "/wish":
            c.wish(a["name"], a["value"])
            return 200, {}
        if path == "/wishes":
            return 200, {"wishes": c.wishes(), "holders": c.holders()}
        if path == "/count":
            return 200, c.count(a["cell"])
        if path == "/find":
            found = c.find_record(a["volume"], a["key"])
            return (200, found) if found is not None else (404, {})
        if path == "/put":
            stands, taken = c.record_write(
                ExtentWrite(a["volume"], a["key"], a["cell"], a["size"], a["new"], a.get("generation", -1))
            )
            return 200 if taken else 409, stands
        if path == "/drop":
            return 200, c.delete(a["volume"], a["key"])
        if path == "/flip":
            holds = c.flip(a["volume"], a["key"], a["cell"], a["generation"])
            return (200, holds) if holds is not None else (404, {})
        if path == "/list":
            keys, more = c.list_keys(a["volume"], a["prefix"], a["after"], a["limit"])
            return 200, {"keys": keys, "more": more}
        return 404, {}

    def _watch(self, exchange: Exchange, query: str) -> None:
        """All that the head was not told, then each change as it comes. Where it can't keep up, the watch ends."""
        c = self.catalogue
        told = read_told(parse_qs(query).get("told", [""])[0], c.shards)
        queue: Queue[MapDelta] = Queue()
        key = object()
        c.watchers[key] = queue.put
        try:
            exchange.begin(200, [], None)
            send_line(exchange, msgspec.json.encode({"shards": c.shards}))
            for shard in range(c.shards):
                for delta in c.since(shard, told[shard]):
                    send_line(exchange, msgspec.json.encode(delta))
                gevent.sleep(0)  # a whole map must not hold up who asks for one place
            while queue.qsize() <= QUEUE_MOST:
                try:
                    send_line(exchange, msgspec.json.encode(queue.get(timeout=BEAT_S)))
                except Empty:
                    send_line(exchange)
            exchange.finish(False)
        finally:
            c.watchers.pop(key, None)


def read_told(text: str, shards: int) -> list[LogPosition]:
    """How far a head was told, `epoch.version` a shard; nothing where it knows another number of shards."""
    parts = text.split(",") if text else []
    if len(parts) != shards:
        return [LOG_START] * shards
    out = []
    for part in parts:
        epoch, _, version = part.partition(".")
        with suppress(ValueError):
            out.append(LogPosition(int(epoch), int(version)))
    if len(out) != shards or min(min(row) for row in out) < 0:
        raise HttpError(400, "told: expected epoch.version for each shard")
    return out
