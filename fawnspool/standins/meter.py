"""The volume meter: nodes report what they served and learn each volume's use everywhere, a period late.

Datagrams of msgpack, both ways: a node sends {volume: units since its last datagram} and receives
{volume: units a second in the last finished period}. A lost one loses a period's part, nothing more.
"""

from __future__ import annotations

import socket as socket_options
import time

import gevent
import msgspec
from gevent import socket

_MAX_DATAGRAM_BYTES = 60_000


class MeterServer:
    """Adds up the use of volumes over all nodes.

    Parameters
    ----------
    address
        Where it receives.
    period_s
        Length of a period.
    """

    def __init__(self, address: tuple[str, int], period_s: float) -> None:
        self._period_s = period_s
        self._socket = socket.socket(socket_options.AF_INET, socket_options.SOCK_DGRAM)
        self._socket.bind(address)
        self.address: tuple[str, int] = self._socket.getsockname()
        self._units_this_period: dict[str, float] = {}
        self._last_units_per_s: dict[str, float] = {}
        self._period_ends_at = time.monotonic() + period_s
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End it."""
        self._greenlet.kill()
        self._socket.close()

    def _run(self) -> None:
        while True:
            data, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            now = time.monotonic()
            if now >= self._period_ends_at:
                self._end_period(now)
            try:
                served = msgspec.msgpack.decode(data, type=dict[str, float])
            except msgspec.DecodeError:
                continue
            _add(self._units_this_period, served)
            self._socket.sendto(msgspec.msgpack.encode(self._last_units_per_s), sender)

    def _end_period(self, now: float) -> None:
        self._last_units_per_s = {volume: units / self._period_s for volume, units in self._units_this_period.items()}
        self._units_this_period = {}
        self._period_ends_at = now + self._period_s


class MeterClient:
    """A node's side of the meter.

    Parameters
    ----------
    address
        Of the meter.
    interval_s
        Between two reports.
    """

    def __init__(self, address: tuple[str, int], interval_s: float) -> None:
        self._address = address
        self._interval_s = interval_s
        self._units_served: dict[str, float] = {}
        self._units_per_s: dict[str, float] = {}
        self._socket = socket.socket(socket_options.AF_INET, socket_options.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._greenlets = [gevent.spawn(self._send), gevent.spawn(self._receive)]

    def add_served(self, volume: str, units: float) -> None:
        """Count units that the node has served of a volume."""
        _add(self._units_served, {volume: units})

    def units_per_s(self, volume: str) -> float | None:
        """Return a volume's use everywhere; None: there is no figure."""
        return self._units_per_s.get(volume)

    def stop(self) -> None:
        """End it."""
        gevent.killall(self._greenlets)
        self._socket.close()

    def _send(self) -> None:
        while True:
            gevent.sleep(self._interval_s)
            served = self._units_served
            self._units_served = {}
            try:
                self._socket.sendto(msgspec.msgpack.encode(served), self._address)
            except OSError:
                continue  # the meter is gone: this part of the sum is lost

    def _receive(self) -> None:
        while True:
            try:
                data, _ = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
                self._units_per_s = msgspec.msgpack.decode(data, type=dict[str, float])
            except (OSError, msgspec.DecodeError):
                gevent.sleep(self._interval_s)


def _add(sums: dict[str, float], units_by_volume: dict[str, float]) -> None:
    for volume, units in units_by_volume.items():
        sums[volume] = sums.get(volume, 0.0) + units
