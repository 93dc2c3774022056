"""The head's side of a list service: a watch that stands and single calls, for any form of the list.

One failure, one event: when to ask again is not settled here.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import gevent

from fawnspool.connections.watch_timeouts import reopens_at_once
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectionClosedError, PoolExhaustedError
from fawnspool.net.http import format_request_head
from fawnspool.scheduling import interface

LINE_MOST = 4 << 20  # bytes of one object on a watch
_EVICTIONS = 4  # connections closed for one of ours, at most
_T = TypeVar("_T")
_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class ObjectSplitter:
    """Bytes in, whole JSON objects out (b"" for an empty line between them). An object ends with the line that closes
    its last brace: it may stand on one line or, indented, on several. Raises ValueError past `most` bytes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.rest, self.parts = list[bytes](), list[bytes]()  # of a line, of an object that is not whole
        self.tail = self.size = self.depth = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        *lines, last = data.split(b"\n")
        for line in lines:
            line, self.rest, self.tail = b"".join((*self.rest, line)), [], 0
            if self.depth == 0 and not line.strip():
                yield b""
                continue
            bare = _STRING.sub(b"", line)
            self.depth += bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")
            self.parts.append(line)
            self.size += len(line)
            if self.depth <= 0:
                whole, self.parts, self.size, self.depth = b"\n".join(self.parts), [], 0, 0
                yield whole
        self.rest.append(last)
        self.tail += len(last)
        if self.size + self.tail > self.most:
            raise ValueError(f"an object of over {self.most} bytes")


class ListLink:
    """Calls and watches of one service. `timeout`: seconds in which a call must have its answer and a watch its head,
    connection included; `silence`: seconds without a whole line after which a watch counts as broken."""

    version = 0
    line_most = LINE_MOST

    def __init__(
        self,
        address: tuple[str, int],
        timeout: float,
        silence: float,
        tell: Callable[[Any], None],
        log: Any,
        free_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        self.timeout, self.silence, self.tell, self.log = timeout, silence, tell, log
        self.free_descriptor = free_descriptor  # closes a connection that can be spared
        self.pool = ConnectionPool(address, PoolOptions(4, timeout, 60.0))
        self.heard = 0.0  # when the service last said anything
        self.reachable = False
        self.watching: Any = None
        self.calls: set[Any] = set()

    # ------------------------------------------------------------ what a form of the list gives

    def call_target(self) -> bytes:
        """Where the whole list is asked for."""
        raise NotImplementedError

    def watch_target(self) -> bytes:
        """Where a watch of what follows `version` is asked for."""
        raise NotImplementedError

    def take(self, data: bytes) -> None:
        """What was told, the answer to a call or a line of a watch. Raises ValueError where it does not read."""
        raise NotImplementedError

    def beat(self) -> None:
        """The watch stands and has nothing to tell."""

    # ------------------------------------------------------------ what the module asks for

    def stop(self) -> None:
        self.watch(False)
        self.end_calls()

    def end_calls(self) -> None:
        """Calls under way tell nothing any more."""
        gevent.killall(list(self.calls), block=False)

    def watch(self, on: bool) -> None:
        if self.watching is not None and (not on or self.watching.dead):
            self.watching.kill(block=False)
            self.watching = None
        if on and self.watching is None:
            self.watching = gevent.spawn(self._watch)

    def fetch(self) -> None:
        """One call for the whole list."""
        greenlet = gevent.spawn(self._fetch)
        self.calls.add(greenlet)
        greenlet.link(self.calls.discard)

    # ------------------------------------------------------------ the service

    def _fetch(self) -> None:
        version = self.version
        try:
            status, body = self._with_descriptor(
                lambda: call(self.pool, b"GET", self.call_target(), time.monotonic() + self.timeout)
            )
            if status.code != 200:
                raise ValueError(f"answered {status.code}")
            if self.version != version:
                self.log.info("an answer that a watch overtook is dropped")
                return
            self._heard(body)
        except Exception as bad:  # whatever it is: the module has to know, or it never asks again
            self._failed(bad)

    def _watch(self) -> None:
        """A watch that falls silent is opened anew at once, as what it missed counts as told soon; for any other
        failure the module chooses when."""
        me = gevent.getcurrent()
        while True:
            pool, link = self.pool, None  # a move changes the pool
            try:
                link, began = self._open_watch(pool)
                self._follow(link, began)
            except Exception as bad:
                if self.watching is me and reopens_at_once(link is not None, isinstance(bad, TimeoutError)):
                    self.log.warning("a watch fell silent and is opened anew")
                    continue
                if self.watching is me:
                    self.watching = None
                    self._failed(bad)
                return
            finally:
                if link is not None:
                    pool.discard(link)

    def _open_watch(self, pool: ConnectionPool) -> tuple[ClientConnection, float]:
        """A watch whose answer has begun, and when it did."""
        until = time.monotonic() + self.timeout
        link = self._with_descriptor(lambda: pool.acquire(until))
        try:
            link.send(format_request_head(b"GET", self.watch_target(), b"list", []), until)
            status = link.read_head(until)
            if status.code != 200:
                raise ValueError(f"answered {status.code}")
        except BaseException:
            pool.discard(link)
            raise
        return link, time.monotonic()

    def _follow(self, link: ClientConnection, last: float) -> None:
        """Take in what a watch tells, until it ends. Only what is whole shows that it lives: an empty line, or an
        object to its last brace, on one line or on several."""
        lines = ObjectSplitter(self.line_most)
        while True:
            piece = link.read_piece(last + self.silence)
            if piece is None:
                raise ConnectionClosedError("the watch ended")
            for whole in lines.feed(piece):
                last = time.monotonic()
                if whole:
                    self._heard(whole)
                else:
                    self.heard = last
                    self.beat()

    def _with_descriptor(self, work: Callable[[], _T]) -> _T:
        """Work that needs a descriptor: where none is left, a connection that can be spared is closed for it."""
        for _ in range(_EVICTIONS):
            try:
                return work()
            except PoolExhaustedError:
                if not self.free_descriptor():
                    raise
        return work()

    def _heard(self, data: bytes) -> None:
        self.heard, self.reachable = time.monotonic(), True
        self.take(data)

    def _failed(self, bad: Exception) -> None:
        self.reachable = False
        self.log.warning("node list out of reach", error=str(bad) or type(bad).__name__)
        self.tell(interface.EndpointUpdate(interface.UpdateKind.POLL_FAILED, self.version, ()))
