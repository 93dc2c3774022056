"""The volume meter: nodes tell what they served, and are told each volume's use everywhere, a period late.

Datagrams of msgpack, both ways: a node sends {volume: units since its last datagram} and gets back
{volume: units a second in the last finished period}. Lost ones lose a period's part, nothing more.
"""

from __future__ import annotations

import socket as std
import time
from typing import Any

import gevent
import msgspec
from gevent import socket

_MOST = 60_000  # bytes of one datagram


class MeterServer:
    """Adds up over all nodes by period."""

    def __init__(self, address: tuple[str, int], period: float) -> None:
        self.period, self.late = period, 0.0
        self.sock = socket.socket(std.AF_INET, std.SOCK_DGRAM)
        self.sock.bind(address)
        self.address: tuple[str, int] = self.sock.getsockname()
        self.now_sums: dict[str, float] = {}
        self.last: dict[str, float] = {}
        self.turn = time.monotonic() + period
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            data, sender = self.sock.recvfrom(_MOST)
            now = time.monotonic()
            if now >= self.turn:
                self.last = {v: u / self.period for v, u in self.now_sums.items()}
                self.now_sums = {}
                self.turn = now + self.period
            try:
                told = msgspec.msgpack.decode(data, type=dict[str, float])
            except msgspec.DecodeError:
                continue
            for volume, units in told.items():
                self.now_sums[volume] = self.now_sums.get(volume, 0.0) + units
            self.sock.sendto(msgspec.msgpack.encode(self.last), sender)

    def stop(self) -> None:
        self.greenlet.kill()
        self.sock.close()


class MeterClient:
    """A node's side: `served` adds up, `use` tells what was last heard."""

    def __init__(self, address: tuple[str, int], every: float) -> None:
        self.address, self.every = address, every
        self.sums: dict[str, float] = {}
        self.heard: dict[str, float] = {}
        self.sock = socket.socket(std.AF_INET, std.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.greenlets: list[Any] = [gevent.spawn(self._send), gevent.spawn(self._hear)]

    def served(self, volume: str, units: float) -> None:
        self.sums[volume] = self.sums.get(volume, 0.0) + units

    def use(self, volume: str) -> float | None:
        return self.heard.get(volume)

    def _send(self) -> None:
        while True:
            gevent.sleep(self.every)
            sums, self.sums = self.sums, {}
            try:
                self.sock.sendto(msgspec.msgpack.encode(sums), self.address)
            except OSError:
                continue  # the meter is gone: this part of the sum is lost

    def _hear(self) -> None:
        while True:
            try:
                data, _ = self.sock.recvfrom(_MOST)
                self.heard = msgspec.msgpack.decode(data, type=dict[str, float])
            except (OSError, msgspec.DecodeError):
                gevent.sleep(self.every)

    def stop(self) -> None:
        gevent.killall(self.greenlets)
        self.sock.close()
