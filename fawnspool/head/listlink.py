"""The head's side of a list service: a watch that stands and single calls, for any form of the list.

One failure, one event: when to ask again is not settled here.
"""
from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent

from fawnspool import interface as i
from fawnspool.net.client import Broken, Link, NotReached, Pool, call
from fawnspool.net.http import BadMessage, request_bytes

LINE_MOST = 4 << 20     # bytes of one line of a watch
# RecursionError: JSON of endless depth. What is caught here is told to the module, which asks again.
_BAD = (NotReached, Broken, BadMessage, TimeoutError, ValueError, RecursionError)


class ListLink:
    """Calls and watches of one service. `silence`: seconds without a byte after which a watch counts as broken."""

    version = 0
    line_most = LINE_MOST

    def __init__(self, address: tuple[str, int], timeout: float, silence: float, tell: Callable[[Any], None],
                 log: Any) -> None:
        self.timeout, self.silence, self.tell, self.log = timeout, silence, tell, log
        self.pool = Pool(address, 4, timeout, 60.0)
        self.heard = 0.0                # when the service last said anything
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
        gevent.killall(list(self.calls))

    def watch(self, on: bool) -> None:
        if self.watching is not None and (not on or self.watching.dead):
            self.watching.kill()
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
        try:
            status, body = call(self.pool, b"GET", self.call_target(), time.monotonic() + self.timeout)
            if status.code != 200:
                raise ValueError(f"answered {status.code}")
            self._heard(body)
        except _BAD as bad:
            self._failed(bad)

    def _watch(self) -> None:
        link: Link | None = None
        try:
            link = self.pool.take(time.monotonic() + self.timeout)
            link.send(request_bytes(b"GET", self.watch_target(), b"list", []), time.monotonic() + self.timeout)
            status = link.begin_answer(time.monotonic() + self.timeout)
            if status.code != 200:
                raise ValueError(f"answered {status.code}")
            rest, size = list[bytes](), 0       # of a line that is not whole: joined once, as it may be long
            while True:
                piece = link.piece(time.monotonic() + self.silence)
                if piece is None:
                    raise Broken("the watch ended")
                *lines, last = piece.split(b"\n")
                if lines:
                    lines[0], rest, size = b"".join((*rest, lines[0])), [], 0
                rest.append(last)
                size += len(last)
                if size > self.line_most:
                    raise ValueError(f"a line of over {self.line_most} bytes")
                for line in lines:
                    self.heard = time.monotonic()
                    if line.strip():
                        self._heard(line)
                    else:
                        self.beat()
        except _BAD as bad:
            self.watching = None
            self._failed(bad)
        finally:
            if link is not None:
                self.pool.drop(link)

    def _heard(self, data: bytes) -> None:
        self.heard, self.reachable = time.monotonic(), True
        self.take(data)

    def _failed(self, bad: Exception) -> None:
        self.reachable = False
        self.log.warning("node list out of reach", error=str(bad) or type(bad).__name__)
        self.tell(i.NodeList(i.ListKind.FAILED, self.version, ()))
