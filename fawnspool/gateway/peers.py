"""Datagrams between gateways.

A lost datagram is not sent again. A duplicate is dropped, as its content must count only once.

    datagram = b"FP1", u32 sender, u64 incarnation, u64 number, body (256 bytes at most)

A body goes to the subscriber of its leading byte or, if there is none, to the decision module.
"""

from __future__ import annotations

import itertools
import socket as std_socket
import struct
import time
from collections.abc import Callable

import gevent
from gevent import socket

from fawnspool.connections.incarnations import IncarnationFilter
from fawnspool.scheduling import interface
from fawnspool.telemetry import logs

MAX_BODY_BYTES = 256
SOCKET_RETRY_S = 0.05  # pause after a socket error other than a refused datagram
_MAGIC = b"FP1"
_HEADER = struct.Struct(">3sIQQ")
_DATAGRAMS_PER_TURN = 16  # received without a pause before other greenlets run
_RECEIVE_BYTES = 2048  # more than any valid datagram, so that a longer one is not read as a valid one

MessageHandler = Callable[[int, bytes], None]
"""Called with the sender's number and the body."""


class PeerSocket:
    """This gateway's datagram socket, bound to `listen` when the object is created.

    Parameters
    ----------
    addresses
        Addresses of all gateways, by number.
    post
        Called with each message for the decision module.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        gateway_id: int,
        addresses: dict[int, tuple[str, int]],
        post: Callable[[interface.PeerMessage], None],
    ) -> None:
        self.gateway_id = gateway_id
        self.addresses = addresses
        self.post = post
        self.log = logs.get(head=gateway_id)
        self.incarnation = time.time_ns()
        self.last_number = 0
        self.seen: dict[int, IncarnationFilter] = {}
        self.subscribers: dict[int, MessageHandler] = {}
        self.sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_DGRAM)
        self.sock.bind(listen)
        self.address: tuple[str, int] = self.sock.getsockname()
        self.greenlet = gevent.spawn(self._receive_all)

    def subscribe(self, leading_byte: int, handler: MessageHandler) -> None:
        """Pass bodies that begin with this byte to `handler`, and not to the decision module."""
        self.subscribers[leading_byte] = handler

    def send(self, gateway_id: int | None, body: bytes) -> None:
        """Send a body to one gateway by number, or to all others (None)."""
        self.last_number += 1
        header = _HEADER.pack(_MAGIC, self.gateway_id, self.incarnation, self.last_number)
        datagram = header + body[:MAX_BODY_BYTES]
        for recipient, address in self.addresses.items():
            if recipient != self.gateway_id and gateway_id in (None, recipient):
                try:
                    self.sock.sendto(datagram, address)
                except OSError:
                    continue  # the peer is down, and the datagram is lost

    def stop(self) -> None:
        """Stop receiving and close the socket."""
        self.greenlet.kill()
        self.sock.close()

    def _receive_all(self) -> None:
        for number in itertools.count(1):
            if number % _DATAGRAMS_PER_TURN == 0:
                gevent.sleep(0)  # a datagram that has arrived is read without a wait
            try:
                datagram, _ = self.sock.recvfrom(_RECEIVE_BYTES)
            except ConnectionError:
                continue  # an earlier datagram was refused: its recipient was not listening
            except OSError:
                self.log.error("peer_socket_failed", exc_info=True)
                gevent.sleep(SOCKET_RETRY_S)
                continue
            try:
                self._receive(datagram)
            except Exception:  # an error in one datagram must not end the loop
                self.log.error("peer_datagram_failed", exc_info=True)

    def _receive(self, datagram: bytes) -> None:
        if not _HEADER.size <= len(datagram) <= _HEADER.size + MAX_BODY_BYTES:
            return
        magic, sender, incarnation, number = _HEADER.unpack_from(datagram)
        if magic != _MAGIC or sender not in self.addresses or sender == self.gateway_id:
            return
        if not self.seen.setdefault(sender, IncarnationFilter()).accept(incarnation, number, time.monotonic()):
            return
        body = datagram[_HEADER.size :]
        handler = self.subscribers.get(body[0]) if body else None
        if handler is not None:
            handler(sender, body)
        else:
            self.post(interface.PeerMessage(sender, body))
