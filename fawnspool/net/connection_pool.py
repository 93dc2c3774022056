"""Connections to a server, kept alive between requests."""

from __future__ import annotations

import errno
import time
from collections import deque
from dataclasses import dataclass

import gevent

from fawnspool.connections.spare_connections import SpareDemand
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.exceptions import (
    ConnectError,
    ConnectionLostError,
    ConnectRefusedError,
    ConnectTimeoutError,
    DeadlineExceededError,
    PoolExhaustedError,
)
from fawnspool.net.http import ResponseHead, format_request_head
from fawnspool.net.socket_stream import connect


@dataclass(frozen=True)
class PoolOptions:
    """Bounds of a pool.

    Attributes
    ----------
    max_connections
        Open at once, in use or idle.
    connect_timeout_s
        For one connect.
    idle_timeout_s
        An idle connection is used no more after so long.
    lenient
        See `ClientConnection`.
    cooldown_s
        A connection rests so long between two requests, so that what comes late of the one is not taken for the
        other's.
    max_with_spares
        Where requests wait for resting connections again and again, others are opened for those that follow, up to so
        many in all.
    """

    max_connections: int
    connect_timeout_s: float
    idle_timeout_s: float
    lenient: bool = False
    cooldown_s: float = 0.0
    max_with_spares: int = 0


class ConnectionPool:
    """Connections to one address. Whoever acquires one gives it back by `release` or `discard`.

    Attributes
    ----------
    idle
        Connections without a request, the one used last at the end.
    open_count
        Connections in use or idle.
    """

    def __init__(self, address: tuple[str, int], options: PoolOptions) -> None:
        self.address = address
        self.options = options
        self.idle: deque[ClientConnection] = deque()
        self.open_count = 0
        self._spare_demand = SpareDemand()
        self._is_opening_spare = False

    def for_address(self, address: tuple[str, int]) -> ConnectionPool:
        """Return an empty pool with the same options for another address."""
        return ConnectionPool(address, self.options)

    def acquire(self, deadline: float) -> ClientConnection:
        """Return an idle connection that is still open, or a new one.

        Parameters
        ----------
        deadline
            Monotonic seconds.

        Raises
        ------
        ConnectError
            Also where all connections are in use.
        """
        while self.idle:
            connection = self._take_idle()
            self._cool_down(connection, deadline)
            if not connection.is_stale() and time.monotonic() - connection.last_used < self.options.idle_timeout_s:
                connection.is_new = False
                return connection
            self.discard(connection)
        return self._open(deadline)

    def _take_idle(self) -> ClientConnection:
        """Take out the connection used last, so that the others may be given up, but for those that cool down."""
        cooled_before = time.monotonic() - self.options.cooldown_s
        for index in range(len(self.idle) - 1, -1, -1):
            if self.idle[index].last_used <= cooled_before:
                connection = self.idle[index]
                del self.idle[index]
                return connection
        return self.idle.pop()

    def _cool_down(self, connection: ClientConnection, deadline: float) -> None:
        """Wait until an idle connection that was taken out has rested long enough."""
        now = time.monotonic()
        rest_s = connection.last_used + self.options.cooldown_s - now
        if rest_s <= 0:
            return
        if self._spare_demand.record_wait(now):
            self._begin_spare()
        try:
            gevent.sleep(min(rest_s, max(0.0, deadline - time.monotonic())))
        except BaseException:
            self.discard(connection)
            raise

    def _begin_spare(self) -> None:
        """Open a connection for requests to come, in the background, where there is a place and none is on its way."""
        if self._is_opening_spare or self.open_count >= self.options.max_with_spares:
            return
        self._is_opening_spare = True
        gevent.spawn(self._open_spare)

    def _open_spare(self) -> None:
        try:
            self.release(self._open(time.monotonic() + self.options.connect_timeout_s))
        except ConnectError:
            pass  # no request waits for it
        finally:
            self._is_opening_spare = False

    def _open(self, deadline: float) -> ClientConnection:
        if self.open_count >= self.options.max_connections:
            text = f"all {self.options.max_connections} connections are in use"
            raise PoolExhaustedError(text)
        self.open_count += 1
        try:
            stream = connect(self.address, min(deadline, time.monotonic() + self.options.connect_timeout_s))
        except BaseException as error:
            self.open_count -= 1
            if isinstance(error, OSError):
                raise _connect_error(error) from None
            raise
        return ClientConnection(stream, self.options.lenient)

    def release(self, connection: ClientConnection) -> None:
        """Give a connection back for the next request."""
        connection.last_used = time.monotonic()
        self.idle.append(connection)
        while self.idle and connection.last_used - self.idle[0].last_used > self.options.idle_timeout_s:
            self.discard(self.idle.popleft())

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection that is not idle."""
        self.open_count -= 1
        connection.close()

    def prune(self) -> None:
        """Close idle connections that lay too long or that the peer closed: nobody may ever acquire them."""
        now = time.monotonic()
        outdated = [
            connection
            for connection in self.idle
            if now - connection.last_used >= self.options.idle_timeout_s or connection.is_stale()
        ]
        for connection in outdated:
            self.idle.remove(connection)
            self.discard(connection)

    def discard_older_than(self, broken: ClientConnection) -> None:
        """A kept connection broke at its next request: those that have lain longer are not to be trusted either."""
        while self.idle and self.idle[0].last_used <= broken.last_used:
            self.discard(self.idle.popleft())

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.discard(self.idle.pop())


def _connect_error(error: OSError) -> ConnectError:
    """Return the error to raise where a connect met `error`."""
    if error.errno in (errno.EMFILE, errno.ENFILE):
        return PoolExhaustedError("no descriptor is left")
    text = str(error) or type(error).__name__
    if isinstance(error, DeadlineExceededError):
        return ConnectTimeoutError(text)
    return ConnectRefusedError(text)


def call(
    pool: ConnectionPool, method: bytes, target: bytes, deadline: float, body: bytes = b""
) -> tuple[ResponseHead, bytes]:
    """Send one request and read its whole response.

    A kept connection that broke is replaced by a new one, so this is for requests that are safe to repeat only.

    Parameters
    ----------
    pool
        Of the server.
    method, target, body
        Of the request.
    deadline
        Monotonic seconds.

    Raises
    ------
    ConnectError, ConnectionLostError, HttpError, TimeoutError
        Where no response came, or none that reads.
    """
    host = b"%s:%d" % (pool.address[0].encode(), pool.address[1])
    request = format_request_head(method, target, host, [], len(body)) + body
    while True:
        connection = pool.acquire(deadline)
        try:
            connection.send(request, deadline)
            head = connection.read_head(deadline)
            data = connection.read_body(deadline)
        except BaseException as error:
            pool.discard(connection)
            if isinstance(error, ConnectionLostError) and not connection.is_new:
                continue
            raise
        if head.keep_alive:
            pool.release(connection)
        else:
            pool.discard(connection)
        return head, data
