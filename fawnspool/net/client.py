"""Connections to a server, kept alive and pooled: connect, send, read, each within a deadline."""

from __future__ import annotations

import errno
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import gevent

from fawnspool.net.exceptions import (
    ConnectError,
    ConnectionBrokenError,
    ConnectionClosedError,
    ConnectionLostError,
    ConnectRefusedError,
    ConnectTimeoutError,
    DeadlineExceededError,
    HttpError,
    PoolExhaustedError,
    StreamClosedError,
)
from fawnspool.net.http import END, Limits, ResponseParser, Status, request_bytes
from fawnspool.net.socket_stream import Wire, connect

READ = 262_144
_LIMITS = Limits(head_bytes=32768, headers=64)


def _lost(error: OSError, where: str, request_written: bool = True) -> ConnectionLostError:
    """Return the error to raise where a connection's stream met `error`."""
    if isinstance(error, StreamClosedError):
        return ConnectionClosedError(f"{where}: {error}", request_written)
    return ConnectionBrokenError(f"{where}: {error}", request_written)


def _connect_error(error: OSError) -> ConnectError:
    """Return the error to raise where a connect met `error`."""
    if error.errno in (errno.EMFILE, errno.ENFILE):
        return PoolExhaustedError("no descriptor is left")
    text = str(error) or type(error).__name__
    if isinstance(error, DeadlineExceededError):
        return ConnectTimeoutError(text)
    return ConnectRefusedError(text)


class Link:
    """One connection; carries one request at a time. lenient: bytes behind a whole answer leave it whole and only
    spoil the connection (`surplus`), else they raise HttpError; and an answer that names no length is whole where its
    sender closes the connection (RFC 9112, 6.3), never where it breaks (`Wire` keeps a break that any look met), else
    it is never whole."""

    __slots__ = ("fresh", "lenient", "parser", "surplus", "until_close", "used", "wire")

    def __init__(self, wire: Wire, lenient: bool = False) -> None:
        self.wire, self.fresh, self.used = wire, True, time.monotonic()
        self.lenient, self.surplus = lenient, False
        self.until_close = False  # the close of the connection ends the present answer
        self.parser = ResponseParser(_LIMITS)

    def send(self, data: bytes, deadline: float) -> None:
        """Raises TimeoutError past the deadline; ConnectionLostError (`request_written` False) where the connection
        broke before the kernel had taken all of `data`."""
        try:
            self.wire.sendall(data, deadline)
        except TimeoutError:
            raise
        except OSError as bad:
            raise _lost(bad, "while sending", request_written=False) from None

    def begin_answer(self, deadline: float) -> Status:
        """Read up to the answer's headers. Raises TimeoutError, ConnectionLostError, HttpError."""
        self.parser.done = self.until_close = False
        head = self._event(deadline)
        if not isinstance(head, Status):
            raise HttpError(502, "no status line came")
        self.until_close = self.lenient and head.length is None and b"transfer-encoding" not in head.headers
        return head

    def _event(self, deadline: float) -> Any:
        events, wait_first = self.parser.events, not self.parser.in_head
        while not events:
            try:
                data = self.wire.recv(READ, deadline, wait_first)
            except TimeoutError:
                raise
            except OSError as bad:
                raise _lost(bad, "while reading") from None
            if not data and self.until_close and not self.parser.in_head:
                self.parser.done = self.surplus = True  # whole, and the connection's last
                return END
            if not data:
                raise ConnectionClosedError("closed before the answer was whole")
            try:
                self.parser.feed(data)
            except HttpError:
                if not (self.lenient and self.parser.done and events):
                    raise
                self.surplus = True
            wait_first = False
        return events.popleft()

    def piece(self, deadline: float) -> bytes | None:
        """The next piece of the body; None at its end."""
        event = self._event(deadline)
        return None if event is END else event

    def body(self, deadline: float, most: int | None = None) -> bytes:
        """The whole body. Raises HttpError as soon as it is known to be over `most` bytes."""
        parts, size = [], 0
        while (part := self.piece(deadline)) is not None:
            size += len(part)
            if most is not None and size > most:
                raise HttpError(502, f"a body of over {most} bytes")
            parts.append(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def stale(self) -> bool:
        """Has the peer closed it (or sent what nobody asked for) while it lay idle?"""
        return self.wire.at_end()

    def close(self) -> None:
        self.wire.close()


class Pool:
    """Links to one address: at most `most` open at once, idle ones kept for `idle_close` seconds. cooldown: seconds for
    which a link rests between two requests, so that what comes late of the one is not taken for the other's."""

    def __init__(
        self,
        address: tuple[str, int],
        most: int,
        connect_timeout: float,
        idle_close: float,
        on_open: Callable[[], None] | None = None,
        lenient: bool = False,
        cooldown: float = 0.0,
    ) -> None:
        self.address, self.most, self.lenient, self.cooldown = address, most, lenient, cooldown
        self.connect_timeout, self.idle_close = connect_timeout, idle_close
        self.idle: deque[Link] = deque()
        self.open = 0
        self.on_open = on_open

    def at(self, address: tuple[str, int]) -> Pool:
        """An empty pool of the same bounds for another address."""
        return Pool(
            address, self.most, self.connect_timeout, self.idle_close, self.on_open, self.lenient, self.cooldown
        )

    def take(self, deadline: float) -> Link:
        """An idle link that is still whole, or a new one. Raises ConnectError (also where all are in use)."""
        while self.idle:
            # The one used last, as the others may then be given back, but for those that still cool down.
            cool = time.monotonic() - self.cooldown
            at = next((k for k in range(len(self.idle) - 1, -1, -1) if self.idle[k].used <= cool), -1)
            link = self.idle[at]
            del self.idle[at]
            rest = link.used - cool
            if rest > 0:
                try:
                    gevent.sleep(min(rest, max(0.0, deadline - time.monotonic())))
                except BaseException:
                    self.drop(link)
                    raise
            if not link.stale() and time.monotonic() - link.used < self.idle_close:
                link.fresh = False
                return link
            self.drop(link)
        if self.open >= self.most:
            raise PoolExhaustedError(f"all {self.most} connections are in use")
        self.open += 1
        try:
            wire = connect(self.address, min(deadline, time.monotonic() + self.connect_timeout))
        except BaseException as bad:
            self.open -= 1
            if isinstance(bad, OSError):
                raise _connect_error(bad) from None
            raise
        if self.on_open is not None:
            self.on_open()
        return Link(wire, self.lenient)

    def give(self, link: Link) -> None:
        """Back to the idle ones, for the next request."""
        link.used = time.monotonic()
        self.idle.append(link)
        while self.idle and link.used - self.idle[0].used > self.idle_close:
            self.drop(self.idle.popleft())

    def drop(self, link: Link) -> None:
        self.open -= 1
        link.close()

    def prune(self) -> None:
        """Drop idle links that have lain too long or that the other side has closed: nobody may ever take them."""
        now = time.monotonic()
        for link in [x for x in self.idle if now - x.used >= self.idle_close or x.stale()]:
            self.idle.remove(link)
            self.drop(link)

    def drop_older(self, broken: Link) -> None:
        """A kept link broke at its next request: those that have lain longer are not to be trusted either."""
        while self.idle and self.idle[0].used <= broken.used:
            self.drop(self.idle.popleft())

    def close_idle(self) -> None:
        while self.idle:
            self.drop(self.idle.pop())


def call(
    pool: Pool,
    method: bytes,
    target: bytes,
    deadline: float,
    body: bytes = b"",
    headers: list[tuple[bytes, bytes]] | None = None,
) -> tuple[Status, bytes]:
    """One request and its whole answer. Raises ConnectError, ConnectionLostError, HttpError, TimeoutError.

    A kept connection that broke is replaced once by a new one: for calls that are safe to repeat only."""
    host = b"%s:%d" % (pool.address[0].encode(), pool.address[1])
    while True:
        link = pool.take(deadline)
        try:
            link.send(request_bytes(method, target, host, headers or [], len(body)) + body, deadline)
            status = link.begin_answer(deadline)
            data = link.body(deadline)
        except BaseException as bad:
            pool.drop(link)
            if isinstance(bad, ConnectionLostError) and not link.fresh:
                continue
            raise
        if status.keep_alive:
            pool.give(link)
        else:
            pool.drop(link)
        return status, data
