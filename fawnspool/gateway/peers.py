"""Datagrams between heads. Lost ones are lost; one that comes twice is dropped, as what they carry must count once.

    datagram = b"FP1", u32 sender, u64 life, u64 number, body (256 bytes at most)

A body is the module's, or that of whoever has claimed its leading byte (`claim`).
"""

from __future__ import annotations

import socket as std
import struct
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from fawnspool.connections.incarnations import IncarnationFilter
from fawnspool.scheduling import interface

_HEAD = struct.Struct(">3sIQQ")
BODY_MOST = 256


class Peers:
    """This head's end of the datagrams."""

    def __init__(
        self, listen: tuple[str, int], me: int, addresses: dict[int, tuple[str, int]], tell: Callable[[Any], None]
    ) -> None:
        self.me, self.addresses, self.tell = me, addresses, tell
        self.life, self.number = time.time_ns(), 0
        self.seen: dict[int, IncarnationFilter] = {}
        self.claimed: dict[int, Callable[[int, bytes], None]] = {}
        self.sock = socket.socket(std.AF_INET, std.SOCK_DGRAM)
        self.sock.bind(listen)
        self.address: tuple[str, int] = self.sock.getsockname()
        self.greenlet = gevent.spawn(self._hear)

    def claim(self, leading: int, hear: Callable[[int, bytes], None]) -> None:
        """Bodies that begin with this byte go to `hear(sender, body)`; the module never sees them."""
        self.claimed[leading] = hear

    def send(self, head: int | None, body: bytes) -> None:
        """To one head, or to every other (None)."""
        self.number += 1
        data = _HEAD.pack(b"FP1", self.me, self.life, self.number) + body[:BODY_MOST]
        for number, address in self.addresses.items():
            if number != self.me and head in (None, number):
                try:
                    self.sock.sendto(data, address)
                except OSError:
                    continue  # a peer that is down: the datagram is lost

    def _hear(self) -> None:
        while True:
            try:
                data, _ = self.sock.recvfrom(2048)
            except ConnectionError:
                continue  # an earlier datagram found nobody listening
            if len(data) < _HEAD.size or len(data) > _HEAD.size + BODY_MOST:
                continue
            magic, sender, life, number = _HEAD.unpack_from(data)
            if magic != b"FP1" or sender not in self.addresses or sender == self.me:
                continue
            if self.seen.setdefault(sender, IncarnationFilter()).accept(life, number, time.monotonic()):
                body = data[_HEAD.size :]
                hear = self.claimed.get(body[0]) if body else None
                if hear is not None:
                    hear(sender, body)
                else:
                    self.tell(interface.PeerMessage(sender, body))

    def stop(self) -> None:
        self.greenlet.kill()
        self.sock.close()
