"""The gateway's watch of the map service: a line for each delta, an empty line for a heartbeat."""

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
LARGE_DELTA_RECORDS = 1000  # after a delta of so many, other greenlets get their turn


class MapWatchListener(Protocol):
    """What a watch notifies."""

    def positions(self) -> Sequence[LogPosition]:
        """Return up to where each partition is complete."""

    def watch_began(self, partition_count: int) -> None:
        """Note the number of the service's partitions; raises ValueError for an impossible one."""

    def delta_received(self, delta: MapDelta) -> None:
        """Apply a delta; raises DeltaError if it can't be."""

    def heartbeat_received(self) -> None:
        """Note that all that was received still holds."""

    def watch_lost(self) -> float:
        """Note that the watch ended; return the seconds until the next."""

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
        In which a watch must begin.
    heartbeat_interval_s
        Seconds between the service's heartbeats.
    listener
        Is notified of what comes.
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
        """Return the target of a watch that continues where the last one ended."""
        self._greeted = False
        positions = ",".join(f"{epoch}.{version}" for epoch, version in self.listener.positions())
        return b"/watch?told=" + positions.encode()

    def on_heartbeat(self) -> None:
        """Note a heartbeat."""
        self.listener.heartbeat_received()

    def apply(self, data: bytes) -> None:
        """Take one line.

        Raises
        ------
        MalformedUpdateError
            If it can't be read, or contradicts the map: the watch then ends.
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
