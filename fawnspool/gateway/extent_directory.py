"""This gateway's directory of extents: an extent map, kept current by a watch of the map service.

The directory handles records that may be stale as `extents/staleness.py` decides, and applies the reports of the watch,
of calls of the map service and of nodes to the map (`extents/map.py`).
"""

from __future__ import annotations

import contextlib
import math
import time
from collections.abc import Sequence
from typing import Any, NamedTuple

import gevent

from fawnspool.extents.map import ExtentMap, Partition, partition_of
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
from fawnspool.extents.staleness import LookupChoice, MigrationObservation, Staleness
from fawnspool.gateway.map_client import KeyPage, MapClient, MapServiceError, MapSource
from fawnspool.gateway.map_store import MapCheckpoint
from fawnspool.gateway.map_watch import MapWatch
from fawnspool.telemetry.logs import EventLogger

MAX_PARTITIONS = 4096
STALE_HEARTBEATS = 2  # heartbeat intervals without a heartbeat after which the map counts as stale


class PartitionCountError(ValueError):
    """The map service reported an invalid number of partitions."""

    def __init__(self, count: int) -> None:
        super().__init__(f"invalid number of partitions: {count}")


class ExtentLocation(NamedTuple):
    """Shard of an extent, and the extent's size in bytes."""

    shard: int
    size: int


class ExtentDirectory:
    """Finds extents in the map or by calls of the map service. Call `start` before the first `find`.

    Parameters
    ----------
    source
        The map service: a `MapClient`, whose service is also watched, or a service in this process, which is called for
        each request.
    staleness
        Decides when a record counts as stale; created for one partition, like the empty map of the start.
    log
        Logger.
    watching
        If False, no watch is opened, and a known record is used until a node reports otherwise.
    checkpoint
        Saves the map to files; None to keep it in memory only.
    """

    def __init__(
        self,
        source: MapSource,
        staleness: Staleness,
        log: EventLogger,
        *,
        watching: bool = True,
        checkpoint: MapCheckpoint | None = None,
    ) -> None:
        self.source = source
        self.staleness = staleness
        self.log = log
        self.watching = watching
        self.checkpoint = checkpoint
        self.watch = self._create_watch(source) if isinstance(source, MapClient) else None
        self.map = ExtentMap.empty(1)
        self.cached_answers = 0
        self.lookups = 0
        self.misdirected_sends = 0
        self._stopped = False
        self._notified_at: list[float] = [time.monotonic()]  # monotonic time of the last notification, by partition

    def _create_watch(self, client: MapClient) -> MapWatch:
        heartbeat_interval_s = self.staleness.settings.heartbeat_interval_s
        return MapWatch(client.address, client.timeout_s, heartbeat_interval_s, self, self.log)

    def start(self) -> None:
        """Load the saved map, then watch the service."""
        if self.checkpoint is not None:
            self._load(self.checkpoint)
        self.open_watch()

    def _load(self, checkpoint: MapCheckpoint) -> None:
        saved = checkpoint.load()
        if saved.problem:
            self.log.error("saved_map_unreadable", error=saved.problem, used=saved.map is not None)
        if saved.map is None:
            return
        self._reset(len(saved.map.partitions))
        self.map = saved.map
        if saved.complete_at > 0:
            age_s = max(0.0, time.time() - saved.complete_at)
            self.staleness.restored(time.monotonic(), age_s)
        self.log.info("saved_map_loaded", extents=len(self.map), age_s=round(self.age_s(), 1))

    def stop(self) -> None:
        """End the watch and close the files."""
        self._stopped = True
        if self.watch is not None:
            self.watch.stop()
        if self.checkpoint is not None:
            self.checkpoint.close()

    # ------------------------------------------------------------ state

    def age_s(self) -> float:
        """Return the seconds since the map was last known to be complete; infinite if it was never complete."""
        if self.watch is None:
            return 0.0
        return self.staleness.age_s(time.monotonic())

    def stale_for_s(self) -> float:
        """Return the map's age if the watch has missed heartbeats, and 0 if the map is current."""
        age_s = self.age_s()
        return age_s if age_s > STALE_HEARTBEATS * self.staleness.settings.heartbeat_interval_s else 0.0

    def is_service_reachable(self) -> bool:
        """Return whether the map service answers, as far as is known."""
        return self.watch is None or self.watch.reachable

    def status(self) -> dict[str, Any]:
        """Return the figures of the status page and the metrics."""
        age_s = self.age_s()
        return {
            "extents": len(self.map),
            "shards": len(self.map.partitions),
            "reachable": self.is_service_reachable(),
            "age_s": round(age_s, 2) if age_s < math.inf else None,
            "hits": self.cached_answers,
            "asked": self.lookups,
            "wrong_sends": self.misdirected_sends,
            "not_asked": self.staleness.lookups_denied,
        }

    # ------------------------------------------------------------ notifications of the watch

    def open_watch(self) -> None:
        """Watch the service, unless this directory does not watch or was stopped."""
        if self.watch is not None and self.watching and not self._stopped:
            self.watch.watch(True)

    def positions(self) -> Sequence[LogPosition]:
        """Return the log position up to which each partition is complete."""
        return [partition.complete_to for partition in self.map.partitions]

    def watch_began(self, partition_count: int) -> None:
        """Accept the number of partitions; if it changed, start again with an empty map.

        Raises
        ------
        PartitionCountError
            If the number is out of range.
        """
        if not 1 <= partition_count <= MAX_PARTITIONS:
            raise PartitionCountError(partition_count)
        if partition_count == len(self.map.partitions):
            return
        self._reset(partition_count)
        if self.checkpoint is not None:
            self.checkpoint.policy.discard_checkpoint()

    def _reset(self, partition_count: int) -> None:
        self.map = ExtentMap.empty(partition_count)
        self.staleness = self.staleness.restarted(partition_count)
        self._notified_at = [time.monotonic()] * partition_count

    def delta_received(self, delta: MapDelta) -> None:
        """Apply a delta.

        Raises
        ------
        DeltaError
            If the delta contradicts itself or the map.
        """
        now = time.monotonic()
        previous = self.map
        self.map = previous.apply(delta)
        partition = self.map.partitions[delta.partition]
        span_s = now - self._notified_at[delta.partition]
        self._notified_at[delta.partition] = now
        observed = _migrations_in(delta, previous, partition, span_s)
        self.staleness.notified(now, delta.partition, partition.gap is None, observed)
        self._save(delta, previous)

    def heartbeat_received(self) -> None:
        """Record a heartbeat of the watch, which confirms that all received records are still valid."""
        now = time.monotonic()
        for number, partition in enumerate(self.map.partitions):
            self.staleness.notified(now, number, partition.gap is None)
        if self.checkpoint is not None:
            self.checkpoint.mark_complete(self.map)

    def watch_lost(self) -> float:
        """Record that the watch ended; return the seconds until the next watch."""
        return self.staleness.watch_lost(time.monotonic())

    # ------------------------------------------------------------ requests

    def find(self, volume: str, key: str, deadline: float, fresh: bool = False) -> ExtentLocation | None:
        """Return the location of an extent, or None if the extent does not exist.

        Parameters
        ----------
        volume, key
            The extent.
        deadline
            Monotonic time by which the request ends.
        fresh
            Call the map service even if the map has the record.

        Raises
        ------
        MapServiceError
            If a call of the map service is needed and fails.
        """
        record = None if fresh or self.watch is None else self.map.find(volume, key)
        if record is None:  # the map is not to be used, or it may lack a new extent
            return _location(self._look_up(volume, key, deadline))
        now = time.monotonic()
        choice = self._choose_lookup(now, volume, key, deadline)
        if choice is LookupChoice.LOOK_UP_CONCURRENTLY:
            min_backoff_s = self.staleness.settings.min_backoff_s
            gevent.spawn(self._look_up_quietly, volume, key, now + min_backoff_s)
        elif choice is LookupChoice.LOOK_UP_FIRST:
            timeout_s = self.staleness.lookup_timeout_s(deadline - now)
            with contextlib.suppress(MapServiceError):  # without an answer the map's record is used
                return _location(self._look_up(volume, key, now + timeout_s))
        self.cached_answers += 1
        return _location(record)

    def _choose_lookup(self, now: float, volume: str, key: str, deadline: float) -> LookupChoice:
        if not self.watching:
            return LookupChoice.USE_RECORD
        return self.staleness.choose(now, self.map, volume, key, deadline - now)

    def _look_up(self, volume: str, key: str, deadline: float) -> ExtentRecord | None:
        self.lookups += 1
        started_at = time.monotonic()
        partition = partition_of(volume, len(self.map.partitions))
        try:
            record = self._source_until(deadline).find_record(volume, key)
        except MapServiceError:
            self.staleness.lookup_failed(time.monotonic(), partition, volume, key)
            raise
        self.staleness.lookup_answered(volume, key, time.monotonic() - started_at)
        if record is not None:
            self._merge(record)
        return record

    def _look_up_quietly(self, volume: str, key: str, deadline: float) -> None:
        with contextlib.suppress(MapServiceError):
            self._look_up(volume, key, deadline)

    def _source_until(self, deadline: float) -> MapSource:
        if isinstance(self.source, MapClient):
            return self.source.with_deadline(deadline)
        return self.source

    def _merge(self, record: ExtentRecord) -> None:
        """Merge a record from a call or a node; the watch will report it later too."""
        if self.watch is None:
            return
        previous = self.map
        self.map = previous.merge_record(record)
        self._save(record, previous)

    def _save(self, change: MapDelta | ExtentRecord, previous: ExtentMap) -> None:
        if self.map is not previous and self.checkpoint is not None:
            self.checkpoint.save_change(change, self.map)

    def record_send(self, found: bool, lost_s: float) -> None:
        """Record whether a send found its extent, and the seconds lost if it did not."""
        if not found:
            self.misdirected_sends += 1
        self.staleness.record_send(found, lost_s)

    def generation_of(self, volume: str, key: str) -> int:
        """Return the generation of the map's record, or `NO_GENERATION`."""
        record = self.map.find(volume, key)
        return NO_GENERATION if record is None else record.stamp.generation

    def redirected(self, volume: str, key: str, shard: int, generation: int) -> ExtentLocation:
        """Record a node's redirect of a request; return the extent's new location.

        The record made here has epoch and version 0, so the map service's record of that generation will replace it.
        """
        record = self.map.find(volume, key)
        size = 0 if record is None else record.size
        self.misdirected_sends += 1
        self._merge(ExtentRecord(volume, key, shard, Stamp(generation, 0, 0), ExtentState.ACTIVE, size))
        return ExtentLocation(shard, size)

    def record_write(self, write: ExtentWrite, deadline: float) -> bool:
        """Record a write in the map; `deadline` is the monotonic time by which the call ends.

        Returns
        -------
        bool
            False if the extent must be new but another write created it first.

        Raises
        ------
        MapServiceError
            If the call of the map service fails.
        """
        current = self.map.find(write.volume, write.extent)
        is_known = current is not None and (current.shard, current.size) == (write.shard, write.size)
        if is_known and not self.stale_for_s():
            return True
        record, accepted = self._source_until(deadline).record_write(write)
        self._merge(record)
        return accepted

    def delete(self, volume: str, key: str, deadline: float) -> None:
        """Delete an extent from the map; raises MapServiceError."""
        tombstone = self._source_until(deadline).delete(volume, key)
        if tombstone is not None:
            self._merge(tombstone)

    def list_keys(self, volume: str, prefix: str, after: str, limit: int) -> KeyPage:
        """Return the keys of a volume in order; raises MapServiceError."""
        return self.source.list_keys(volume, prefix, after, limit)


def _location(record: ExtentRecord | None) -> ExtentLocation | None:
    return None if record is None else ExtentLocation(record.shard, record.size)


def _migrations_in(
    delta: MapDelta, previous: ExtentMap, partition: Partition, span_s: float
) -> MigrationObservation | None:
    """Return the number of extents that a delta moved to another shard; None for a snapshot, which does not show moves.

    A delete does not count as a move, as it leaves no record that could be stale.
    """
    if delta.is_snapshot:
        return None
    migrations = 0
    for record in delta.records:
        known = previous.find(record.volume, record.extent)
        if known is not None and record.shard not in (known.shard, NO_SHARD):
            migrations += 1
    return MigrationObservation(migrations, len(partition.records), span_s)
