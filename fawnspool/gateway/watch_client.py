"""A client of a list service: one standing watch and single polls, for any form of the list.

Each failure is one `EndpointUpdate` event: when to ask again is not decided here.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

import gevent

from fawnspool.connections.watch_timeouts import WatchTimeouts, reopens_at_once
from fawnspool.gateway.json_splitter import ObjectSplitter
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectionClosedError, PoolExhaustedError
from fawnspool.net.http import format_request_head
from fawnspool.scheduling import interface
from fawnspool.telemetry.logs import EventLogger

DEFAULT_MAX_OBJECT_BYTES = 4 << 20
_MAX_CONNECTIONS = 4
_IDLE_TIMEOUT_S = 60.0
_MAX_EVICTIONS = 4  # connections closed for one of ours
_OK = 200
_Result = TypeVar("_Result")

PostUpdate = Callable[[interface.EndpointUpdate], None]


class MalformedUpdateError(ValueError):
    """What the service sent does not read, or contradicts what it sent before."""


class UnexpectedStatusError(Exception):
    """The service answered with an error."""

    def __init__(self, status: int) -> None:
        super().__init__(f"answered {status}")
        self.status = status


class WatchEndedError(ConnectionClosedError):
    """The service ended a watch."""

    def __init__(self) -> None:
        super().__init__("the watch ended")


class WatchClient:
    """Polls and watches one service; subclasses know the form of its list.

    Parameters
    ----------
    post
        Takes the events for the decision module.
    free_descriptor
        Closes a connection that can be spared; False: there is none.
    """

    version = 0
    max_object_bytes = DEFAULT_MAX_OBJECT_BYTES

    def __init__(
        self,
        address: tuple[str, int],
        timeouts: WatchTimeouts,
        post: PostUpdate,
        log: EventLogger,
        free_descriptor: Callable[[], bool] = lambda: False,
    ) -> None:
        self.timeouts = timeouts
        self.post = post
        self.log = log
        self.free_descriptor = free_descriptor
        self.pool = ConnectionPool(address, PoolOptions(_MAX_CONNECTIONS, timeouts.call_s, _IDLE_TIMEOUT_S))
        self.last_message_at: float | None = None  # monotonic
        self.reachable = False
        self.watch_greenlet: gevent.Greenlet | None = None
        self.poll_greenlets: set[gevent.Greenlet] = set()

    # ------------------------------------------------------------ the form of the list

    def poll_target(self) -> bytes:
        """Where the whole list is asked for."""
        raise NotImplementedError

    def watch_target(self) -> bytes:
        """Where a watch of what follows `version` is asked for."""
        raise NotImplementedError

    def apply(self, data: bytes) -> None:
        """Take the answer to a poll, or an object of a watch.

        Raises
        ------
        MalformedUpdateError
            It does not read; the watch ends with it.
        """
        raise NotImplementedError

    def on_heartbeat(self) -> None:
        """Take note that the watch stands and has no news."""

    # ------------------------------------------------------------ what the module asks for

    def stop(self) -> None:
        """End the watch and all polls."""
        self.watch(False)
        self.cancel_polls()

    def cancel_polls(self) -> None:
        """End the polls under way; their answers are not heard."""
        gevent.killall(list(self.poll_greenlets), block=False)

    def watch(self, on: bool) -> None:
        """Open a watch where none stands, or end the one that does."""
        if self.watch_greenlet is not None and (not on or self.watch_greenlet.dead):
            self.watch_greenlet.kill(block=False)
            self.watch_greenlet = None
        if on and self.watch_greenlet is None:
            self.watch_greenlet = gevent.spawn(self._watch)

    def fetch(self) -> None:
        """Ask for the whole list once."""
        greenlet = gevent.spawn(self._poll)
        self.poll_greenlets.add(greenlet)
        greenlet.link(self.poll_greenlets.discard)

    # ------------------------------------------------------------ the service

    def _poll(self) -> None:
        try:
            self._apply_poll()
        except Exception as error:  # whatever it is: the module has to know, or it never asks again
            self._failed(error)

    def _apply_poll(self) -> None:
        version = self.version
        status, body = self._with_descriptor(
            lambda: call(self.pool, b"GET", self.poll_target(), time.monotonic() + self.timeouts.call_s)
        )
        if status.code != _OK:
            raise UnexpectedStatusError(status.code)
        if self.version != version:
            self.log.info("endpoint_poll_overtaken_by_watch")
            return
        self._on_message(body)

    def _watch(self) -> None:
        """Reopen a watch that falls silent at once, for what it missed has to be heard soon.

        After any other failure the module chooses when.
        """
        this_greenlet = gevent.getcurrent()
        while True:
            pool = self.pool  # a move changes it
            connection: ClientConnection | None = None
            try:
                connection = self._open_watch(pool)
                self._follow(connection)
            except Exception as error:
                if self.watch_greenlet is not this_greenlet:
                    return
                if reopens_at_once(connection is not None, isinstance(error, TimeoutError)):
                    self.log.warning("endpoint_watch_silent")
                    continue
                self.watch_greenlet = None
                self._failed(error)
                return
            finally:
                if connection is not None:
                    pool.discard(connection)

    def _open_watch(self, pool: ConnectionPool) -> ClientConnection:
        """Return a connection on which the answer to the watch has begun."""
        deadline = time.monotonic() + self.timeouts.call_s
        connection = self._with_descriptor(lambda: pool.acquire(deadline))
        try:
            self._begin_watch(connection, deadline)
        except BaseException:
            pool.discard(connection)
            raise
        return connection

    def _begin_watch(self, connection: ClientConnection, deadline: float) -> None:
        connection.send(format_request_head(b"GET", self.watch_target(), b"list", []), deadline)
        status = connection.read_head(deadline)
        if status.code != _OK:
            raise UnexpectedStatusError(status.code)

    def _follow(self, connection: ClientConnection) -> None:
        """Take in what a watch tells, until it ends.

        Only what is complete shows that it lives: an empty line, or an object to its last brace.
        """
        last_complete = time.monotonic()
        splitter = ObjectSplitter(self.max_object_bytes)
        while True:
            data = connection.read_piece(last_complete + self.timeouts.silence_s)
            if data is None:
                raise WatchEndedError
            for complete in splitter.feed(data):
                last_complete = time.monotonic()
                if complete:
                    self._on_message(complete)
                else:
                    self.last_message_at = last_complete
                    self.on_heartbeat()

    def _with_descriptor(self, work: Callable[[], _Result]) -> _Result:
        """Do work that needs a descriptor; where none is left, spare connections are closed for it."""
        for _ in range(_MAX_EVICTIONS):
            try:
                return work()
            except PoolExhaustedError:
                if not self.free_descriptor():
                    raise
        return work()

    def _on_message(self, data: bytes) -> None:
        self.last_message_at = time.monotonic()
        self.reachable = True
        self.apply(data)

    def _failed(self, error: Exception) -> None:
        self.reachable = False
        self.log.warning("endpoint_service_unreachable", error=str(error) or type(error).__name__)
        self.post(interface.EndpointUpdate(interface.UpdateKind.POLL_FAILED, self.version, ()))
