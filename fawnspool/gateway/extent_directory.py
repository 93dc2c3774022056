"""Where extents lie, as this head knows it: its map, kept up by a watch of the map service.

Carries out what `extents/staleness.py` decides of places that may be old, and what `extents/map.py` makes of what is
told.
"""

from __future__ import annotations

import math
import time
from pathlib import Path
from typing import Any, Protocol

import gevent
import msgspec

from fawnspool.connections.watch_timeouts import WatchTimeouts
from fawnspool.extents.map import ExtentMap, partition_of
from fawnspool.extents.records import DeltaError, ExtentRecord, ExtentState, MapDelta, Stamp
from fawnspool.extents.staleness import LookupChoice, MigrationObservation, Staleness, StalenessSettings
from fawnspool.gateway.map_store import MapFile, read
from fawnspool.gateway.watch_client import WatchClient
from fawnspool.leases.fencing import StaleTokenError
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError
from fawnspool.records.background_writer import BackgroundWriter

SILENT_BEATS = 2.5  # of a watch, in its beats, before it counts as broken
LARGE = 1000  # facts in one delta after which others get their turn
SHARDS_MOST = 4096


class PlacesError(Exception):
    """The map service can't be asked now."""


class Source(Protocol):
    """What knows all places: the service over HTTP, or one in this process."""

    def fact(self, volume: str, key: str) -> ExtentRecord | None: ...

    def note(
        self, volume: str, key: str, cell: int, size: int, new: bool = False, generation: int = -1
    ) -> tuple[ExtentRecord, bool]: ...

    def drop(self, volume: str, key: str) -> ExtentRecord | None: ...

    def list(self, volume: str, prefix: str, after: str, limit: int) -> tuple[list[tuple[str, int]], bool]: ...


class MapClient:
    """Calls of the map service, each within a deadline (monotonic). Raises PlacesError where it is out of reach."""

    def __init__(
        self, address: tuple[str, int], timeout: float, pool: ConnectionPool | None = None, deadline: float = math.inf
    ) -> None:
        self.pool, self.timeout, self.deadline = (
            pool or ConnectionPool(address, PoolOptions(256, timeout, 30.0)),
            timeout,
            deadline,
        )

    def until(self, deadline: float) -> MapClient:
        return MapClient(self.pool.address, self.timeout, self.pool, deadline)

    def _call(self, target: bytes, kind: Any, **asked: Any) -> tuple[int, Any]:
        try:
            status, body = call(
                self.pool,
                b"POST",
                target,
                min(self.deadline, time.monotonic() + self.timeout),
                msgspec.msgpack.encode(asked),
            )
            if status.code == 403:
                refused = msgspec.msgpack.decode(body, type=_Refused)
                raise StaleTokenError(refused.fenced, refused.newest)
            if status.code not in (200, 404, 409):
                raise PlacesError(f"the map service answered {status.code}")
            return status.code, None if status.code == 404 else msgspec.msgpack.decode(body, type=kind)
        except (ConnectError, ConnectionLostError, HttpError, TimeoutError, msgspec.MsgspecError) as bad:
            raise PlacesError(f"the catalogue can't be reached: {bad or type(bad).__name__}") from None

    def fact(self, volume: str, key: str) -> ExtentRecord | None:
        found: ExtentRecord | None = self._call(b"/find", ExtentRecord, volume=volume, key=key)[1]
        return found

    def note(
        self, volume: str, key: str, cell: int, size: int, new: bool = False, generation: int = -1
    ) -> tuple[ExtentRecord, bool]:
        status, stands = self._call(
            b"/put", ExtentRecord, volume=volume, key=key, cell=cell, size=size, new=new, generation=generation
        )
        return stands, status == 200

    def drop(self, volume: str, key: str) -> ExtentRecord | None:
        gone: ExtentRecord | None = self._call(b"/drop", ExtentRecord | None, volume=volume, key=key)[1]
        return gone

    def flip(self, volume: str, key: str, cell: int, generation: int, **stamp: Any) -> ExtentRecord | None:
        """stamp: of a duty, see `leases/fencing.py`. Raises StaleTokenError."""
        holds: ExtentRecord | None = self._call(
            b"/flip", ExtentRecord, volume=volume, key=key, cell=cell, generation=generation, **stamp
        )[1]
        return holds

    def fence(self, note: str, **stamp: Any) -> None:
        """Show a token, and say how the duty fares. Raises StaleTokenError."""
        self._call(b"/fence", dict, note=note, **stamp)

    def wish(self, name: str, value: str | None) -> None:
        self._call(b"/wish", dict, name=name, value=value)

    def wishes(self) -> Wishes:
        """What operators want, and who showed a token last."""
        out: Wishes = self._call(b"/wishes", Wishes)[1]
        return out

    def count(self, cell: int) -> tuple[int, int]:
        """Extents and bytes that lie in a cell."""
        out: tuple[int, int] = self._call(b"/count", tuple[int, int], cell=cell)[1]
        return out

    def list(self, volume: str, prefix: str, after: str, limit: int) -> tuple[list[tuple[str, int]], bool]:
        _, out = self._call(b"/list", _Listed, volume=volume, prefix=prefix, after=after, limit=limit)
        return out.keys, out.more


class _Listed(msgspec.Struct):
    keys: list[tuple[str, int]]
    more: bool


class _Refused(msgspec.Struct):
    fenced: str
    newest: int


class Held(msgspec.Struct):
    """Who showed a duty's token at the map service last, and when by its wall clock."""

    duty: str
    token: int
    head: int
    at: float
    note: str = ""


class Wishes(msgspec.Struct):
    wishes: dict[str, str]
    holders: list[Held]


class _Shards(msgspec.Struct):
    shards: int


class _MapLink(WatchClient):
    """The watch; what it says goes to `Places`."""

    max_object_bytes = 64 << 20  # a snapshot of one shard is one line

    def __init__(self, address: tuple[str, int], timeout: float, beat: float, places: Places, log: Any) -> None:
        timeouts = WatchTimeouts(silence_s=SILENT_BEATS * beat, call_s=timeout)
        super().__init__(address, timeouts, lambda event: None, log)
        self.places = places
        self.first = True

    def watch_target(self) -> bytes:
        self.first = True
        told = ",".join(f"{e}.{v}" for e, v in (s.complete_to for s in self.places.map.partitions))
        return b"/watch?told=" + told.encode()

    def on_heartbeat(self) -> None:
        self.places.beaten()

    def apply(self, data: bytes) -> None:
        try:
            if self.first:
                self.first = False
                return self.places.begins(msgspec.json.decode(data, type=_Shards).shards)
            delta = msgspec.json.decode(data, type=MapDelta)
            self.places.told(delta)
        except (msgspec.MsgspecError, DeltaError) as bad:
            raise ValueError(str(bad)) from None
        if len(delta.records) >= LARGE:
            gevent.sleep(0)

    def _failed(self, bad: Exception) -> None:
        self.reachable = False
        self.log.warning("map service out of reach: the last good map holds", error=str(bad) or type(bad).__name__)
        gevent.spawn_later(self.places.lost(), self.places.watch)


class Places:
    """`address` None: the service is in this process and asked each time. `start` before the first `find`."""

    def __init__(
        self,
        source: Any,
        terms: StalenessSettings,
        seed: int,
        log: Any,
        *,
        address: tuple[str, int] | None = None,
        timeout: float = 0.5,
        folder: Path | None = None,
        behind: BackgroundWriter | None = None,
        follow: bool = True,
    ) -> None:
        self.follow = follow  # False: no watch, and what is known is sent to until a node says otherwise
        self.source, self.terms, self.seed, self.log = source, terms, seed, log
        self.map = ExtentMap.empty(1)
        self.stale = Staleness(terms, 1, seed)
        self.link = _MapLink(address, timeout, terms.heartbeat_interval_s, self, log) if address is not None else None
        self.file = MapFile(folder, behind, self._unsaved) if folder is not None and behind is not None else None
        self.folder = folder
        self.hits = self.asked = self.wrong = 0
        self.stopped = False
        self.last: list[float] = [0.0]  # when a shard was last told something (monotonic)

    def start(self) -> None:
        """Take the saved map, then watch."""
        if self.folder is not None and self.file is not None:
            saved = read(self.folder)
            if saved.why:
                self.log.error("the saved map does not read", error=saved.why, used=saved.map is not None)
            if saved.map is not None:
                self._shards(len(saved.map.partitions))
                self.map = saved.map
                if saved.whole_at > 0:
                    self.stale.restored(time.monotonic(), max(0.0, time.time() - saved.whole_at))
                self.log.info("saved map", extents=len(self.map), age_s=round(self.age(), 1))
        self.watch()

    def stop(self) -> None:
        self.stopped = True
        if self.link is not None:
            self.link.stop()
        if self.file is not None:
            self.file.close()

    def watch(self) -> None:
        if self.link is not None and self.follow and not self.stopped:
            self.link.watch(True)

    def age(self) -> float:
        """Seconds since the map was last known whole; inf: never."""
        return 0.0 if self.link is None else self.stale.age_s(time.monotonic())

    def reachable(self) -> bool:
        return self.link is None or self.link.reachable

    def behind_by(self) -> float:
        """The age where it is worth telling: the watch has missed its beats. 0: the map is up to date."""
        age = self.age()
        return age if age > 2 * self.terms.heartbeat_interval_s else 0.0

    # ------------------------------------------------------------ what the watch says

    def _shards(self, count: int) -> None:
        self.map, self.stale = ExtentMap.empty(count), Staleness(self.terms, count, self.seed)
        self.last = [time.monotonic()] * count

    def begins(self, count: int) -> None:
        if not 1 <= count <= SHARDS_MOST:
            raise ValueError(f"a map of {count} shards")
        if count != len(self.map.partitions):  # another map: of the one held nothing can be joined
            self._shards(count)
            if self.file is not None:
                self.file.keep.discard_checkpoint()

    def told(self, delta: MapDelta) -> None:
        old, now = self.map, time.monotonic()
        self.map = old.apply(delta)
        moves = (
            sum(had.shard != f.shard for f in delta.records if (had := old.find(f.volume, f.extent)) is not None)
            if not delta.is_snapshot
            else 0
        )
        shard = self.map.partitions[delta.partition]
        span, self.last[delta.partition] = now - self.last[delta.partition], now
        self.stale.notified(
            now,
            delta.partition,
            shard.gap is None,
            MigrationObservation(moves, len(shard.records), 0.0 if delta.is_snapshot else span),
        )
        if self.map is not old and self.file is not None:
            self.file.told(delta, self.map)

    def beaten(self) -> None:
        """The watch stands and has nothing to tell: what was told holds."""
        now = time.monotonic()
        for number, shard in enumerate(self.map.partitions):
            self.stale.notified(now, number, shard.gap is None)
        if self.file is not None:
            self.file.whole(self.map)

    def lost(self) -> float:
        """The watch ended: seconds until the next."""
        return self.stale.watch_lost(time.monotonic())

    def _unsaved(self, why: str) -> None:
        self.log.error("the map can't be saved: a restart will ask the service for more", error=why)

    # ------------------------------------------------------------ requests

    def find(self, volume: str, key: str, deadline: float, fresh: bool = False) -> tuple[int, int] | None:
        """(cell, size in bytes), or None: there is no such object. Raises PlacesError."""
        found = None if fresh or self.link is None else self.map.find(volume, key)
        if found is None:  # not known here: it may have come into being a moment ago
            found = self._ask(volume, key, deadline)
            return None if found is None else (found.shard, found.size)
        now = time.monotonic()
        do = self.stale.choose(now, self.map, volume, key, deadline - now) if self.follow else LookupChoice.USE_RECORD
        if do is LookupChoice.LOOK_UP_CONCURRENTLY:
            gevent.spawn(self._ask_quietly, volume, key, now + self.stale.settings.min_backoff_s)
        elif do is LookupChoice.LOOK_UP_FIRST:
            came, answer = self._ask_quietly(volume, key, now + self.stale.lookup_timeout_s(deadline - now))
            if came:
                return None if answer is None else (answer.shard, answer.size)
        self.hits += 1
        return found.shard, found.size

    def _ask(self, volume: str, key: str, deadline: float) -> ExtentRecord | None:
        self.asked += 1
        began, shard = time.monotonic(), partition_of(volume, len(self.map.partitions))
        try:
            found: ExtentRecord | None = self._until(deadline).fact(volume, key)
        except PlacesError:
            self.stale.lookup_failed(time.monotonic(), shard, volume, key)
            raise
        now = time.monotonic()
        self.stale.lookup_answered(volume, key, now - began)
        if found is not None:
            self._hint(found)
        return found

    def _ask_quietly(self, volume: str, key: str, deadline: float) -> tuple[bool, ExtentRecord | None]:
        """Did an answer come, and which; if not, the last good map holds."""
        try:
            return True, self._ask(volume, key, deadline)
        except PlacesError:
            return False, None

    def _until(self, deadline: float) -> Source:
        source: Source = self.source if self.link is None else self.source.until(deadline)
        return source

    def _hint(self, fact: ExtentRecord) -> None:
        """What a call told, joined like any fact: the watch will say it too."""
        if self.link is None:
            return
        old, self.map = self.map, self.map.merge_record(fact)
        if self.map is not old and self.file is not None:
            self.file.told(fact, self.map)

    def sent(self, right: bool, cost: float) -> None:
        """A send found its extent, or not, after `cost` seconds."""
        self.wrong += not right
        self.stale.record_send(right, cost)

    def generation(self, volume: str, key: str) -> int:
        """Of the place that the map has; -1: none."""
        found = self.map.find(volume, key)
        return -1 if found is None else found.stamp.generation

    def moved(self, volume: str, key: str, cell: int, generation: int) -> tuple[int, int]:
        """A node said where the extent went: (cell, size). The service's own word on that generation will be later."""
        had = self.map.find(volume, key)
        self.wrong += 1
        size = 0 if had is None else had.size
        self._hint(ExtentRecord(volume, key, cell, Stamp(generation, 0, 0), ExtentState.ACTIVE, size))
        return cell, size

    def note(
        self, volume: str, key: str, cell: int, size: int, new: bool, deadline: float, generation: int = -1
    ) -> bool:
        """A write left the object there, sent to the place of that generation; False: with `new`, another one came
        first. Raises PlacesError."""
        had = self.map.find(volume, key)
        if had is not None and (had.shard, had.size) == (cell, size) and not self.behind_by():
            return True
        stands, taken = self._until(deadline).note(volume, key, cell, size, new, generation)
        self._hint(stands)
        return taken

    def drop(self, volume: str, key: str, deadline: float) -> None:
        """Raises PlacesError."""
        gone = self._until(deadline).drop(volume, key)
        if gone is not None:
            self._hint(gone)

    def list(self, volume: str, prefix: str, after: str, limit: int) -> tuple[list[tuple[str, int]], bool]:
        return self.source.list(volume, prefix, after, limit)  # type: ignore[no-any-return]

    def status(self) -> dict[str, Any]:
        age = self.age()
        return {
            "extents": len(self.map),
            "shards": len(self.map.partitions),
            "reachable": self.reachable(),
            "age_s": round(age, 2) if age < math.inf else None,
            "hits": self.hits,
            "asked": self.asked,
            "wrong_sends": self.wrong,
            "not_asked": self.stale.lookups_denied,
        }
