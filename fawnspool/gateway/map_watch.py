"""The gateway's watch of the map service, which sends a line for each delta and an empty line as a heartbeat."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import gevent
import msgspec

from fawnspool.connections.watch_timeouts import WatchTimeouts
from fawnspool.extents.records import DeltaError, LogPosition, MapDelta
from fawnspool.gateway.watch_client import MalformedUpdateError, WatchClient
from fawnspool.telemetry.logs import EventLogger

SILENT_HEARTBEATS = 2.5  # heartbeat intervals without a line after which the watch counts as broken
MAX_LINE_BYTES = 64 << 20  # a snapshot of one partition is one line
LARGE_DELTA_RECORDS = 1000  # after a delta with so many records, other greenlets may run


class MapWatchListener(Protocol):
    """Receiver of a watch's notifications."""

    def positions(self) -> Sequence[LogPosition]:
        """Return the log position up to which each partition is complete."""

    def watch_began(self, partition_count: int) -> None:
        """Accept the service's number of partitions; raises ValueError if the number is out of range."""

    def delta_received(self, delta: MapDelta) -> None:
        """Apply a delta; raises DeltaError if it contradicts itself or the map."""

    def heartbeat_received(self) -> None:
        """Record a heartbeat, which confirms that all received records are still valid."""

    def watch_lost(self) -> float:
        """Record that the watch ended; return the seconds until the next watch."""

    def open_watch(self) -> None:
        """Open the next watch."""


class _Greeting(msgspec.Struct):
    """First line of a watch."""

    shards: int


class MapWatch(WatchClient):
    """Watches the map service.

    Parameters
    ----------
    address
        Host and port.
    timeout_s
        Seconds within which a watch must begin.
    heartbeat_interval_s
        Seconds between the service's heartbeats.
    listener
        Receiver of the watch's notifications.
    log
        Logger.
    """

    max_object_bytes = MAX_LINE_BYTES

    def __init__(
        self,
        address: tuple[str, int],
        timeout_s: float,
        heartbeat_interval_s: float,
        listener: MapWatchListener,
        log: EventLogger,
    ) -> None:
        timeouts = WatchTimeouts(silence_s=SILENT_HEARTBEATS * heartbeat_interval_s, call_s=timeout_s)
        super().__init__(address, timeouts, lambda event: None, log)
        self.listener = listener
        self._greeted = False

    def watch_target(self) -> bytes:
        """Return the request target of a watch that continues where the last one ended."""
        self._greeted = False
        positions = ",".join(f"{epoch}.{version}" for epoch, version in self.listener.positions())
        return b"/watch?told=" + positions.encode()

    def on_heartbeat(self) -> None:
        """Pass a heartbeat to the listener."""
        self.listener.heartbeat_received()

    def apply(self, data: bytes) -> None:
        """Handle one line of the watch.

        Raises
        ------
        MalformedUpdateError
            If the line can't be decoded, or contradicts the map. The watch then ends.
        """
        try:
            self._apply(data)
        except (msgspec.MsgspecError, DeltaError) as error:
            raise MalformedUpdateError(str(error)) from None

    def _apply(self, data: bytes) -> None:
        if not self._greeted:
            self._greeted = True
            self.listener.watch_began(msgspec.json.decode(data, type=_Greeting).shards)
            return
        delta = msgspec.json.decode(data, type=MapDelta)
        self.listener.delta_received(delta)
        if len(delta.records) >= LARGE_DELTA_RECORDS:
            gevent.sleep(0)

    def _failed(self, error: Exception) -> None:
        self.reachable = False
        self.log.warning("map_service_unreachable", error=str(error) or type(error).__name__)
        gevent.spawn_later(self.listener.watch_lost(), self.listener.open_watch)
