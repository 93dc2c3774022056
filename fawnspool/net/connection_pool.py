"""A pool of connections to one server, kept alive between requests."""

from __future__ import annotations

import errno
import time
from collections import deque
from dataclasses import dataclass

import gevent

from fawnspool.connections.descriptor_account import DescriptorUse
from fawnspool.connections.spare_connections import SpareDemand
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.net.exceptions import (
    ConnectError,
    ConnectionLostError,
    ConnectRefusedError,
    ConnectTimeoutError,
    DeadlineExceededError,
    NoDescriptorError,
    PoolExhaustedError,
)
from fawnspool.net.http import ResponseHead, format_request_head
from fawnspool.net.socket_stream import SocketStream, connect

_MAX_EVICTIONS = 4  # connections closed for one that the system has no descriptor for
_DEFAULT_MAX_BODY_BYTES = 64 << 20


@dataclass(frozen=True)
class PoolOptions:
    """Limits and timeouts of a pool.

    Attributes
    ----------
    max_connections
        Largest number of connections that may be open at once, in use or idle.
    connect_timeout_s
        Timeout of one connection attempt.
    idle_timeout_s
        A connection that was idle for this long is not reused.
    lenient
        See `ClientConnection`.
    cooldown_s
        Minimum time between two requests on one connection, so that late bytes of one response are not taken for the
        next response.
    max_with_spares
        If requests repeatedly wait for the cooldown of a connection, the pool opens spare connections for later
        requests, as long as fewer than this many connections are open, spare or not.
    max_body_bytes
        Largest response body that `call` reads; None: no limit.
    use
        What the connections' descriptors are used for.
    """

    max_connections: int
    connect_timeout_s: float
    idle_timeout_s: float
    lenient: bool = False
    cooldown_s: float = 0.0
    max_with_spares: int = 0
    max_body_bytes: int | None = _DEFAULT_MAX_BODY_BYTES
    use: DescriptorUse = DescriptorUse.NODE


class ConnectionPool:
    """Connections to one address; each acquired connection must be returned with `release` or `discard`.

    Parameters
    ----------
    descriptors
        Gives the connections their descriptors; None: without a limit.

    Attributes
    ----------
    idle
        Connections without a request, the most recently used one last.
    open_count
        Number of connections in use or idle.
    """

    def __init__(
        self, address: tuple[str, int], options: PoolOptions, descriptors: DescriptorGate | None = None
    ) -> None:
        self.address = address
        self.options = options
        self.descriptors = descriptors or DescriptorGate()
        self.idle: deque[ClientConnection] = deque()
        self.open_count = 0
        self._spare_demand = SpareDemand()
        self._is_opening_spare = False

    def for_address(self, address: tuple[str, int]) -> ConnectionPool:
        """Return an empty pool with the same options for another address."""
        return ConnectionPool(address, self.options, self.descriptors)

    def acquire(self, deadline: float) -> ClientConnection:
        """Return an idle connection that is still open, or a new one.

        Parameters
        ----------
        deadline
            Monotonic seconds.

        Raises
        ------
        ConnectError
            No connection could be opened, all `max_connections` are in use, or no descriptor could be had.
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
        """Remove and return an idle connection: the most recently used of those whose cooldown has passed.

        If the cooldown of none has passed, it is the most recently used one. The least recently used ones are left, so
        that surplus connections reach the idle timeout.
        """
        cooled_before = time.monotonic() - self.options.cooldown_s
        for index in range(len(self.idle) - 1, -1, -1):
            if self.idle[index].last_used <= cooled_before:
                connection = self.idle[index]
                del self.idle[index]
                self.descriptors.account.end_idle(connection)
                return connection
        connection = self.idle.pop()
        self.descriptors.account.end_idle(connection)
        return connection

    def _cool_down(self, connection: ClientConnection, deadline: float) -> None:
        """Wait until the cooldown of a connection taken from `idle` has passed, at most until the deadline."""
        now = time.monotonic()
        remaining_s = connection.last_used + self.options.cooldown_s - now
        if remaining_s <= 0:
            return
        if self._spare_demand.record_wait(now):
            self._begin_spare()
        try:
            gevent.sleep(min(remaining_s, max(0.0, deadline - time.monotonic())))
        except BaseException:
            self.discard(connection)
            raise

    def _begin_spare(self) -> None:
        """Open a spare connection in the background, unless one is being opened or a limit on spares is reached."""
        if self._is_opening_spare or self.open_count >= self.options.max_with_spares:
            return
        self._is_opening_spare = True
        gevent.spawn(self._open_spare)

    def _open_spare(self) -> None:
        try:
            if self.descriptors.account.may_open_spare():
                self.release(self._open(time.monotonic() + self.options.connect_timeout_s))
        except ConnectError:
            pass  # no request waits for the spare connection
        finally:
            self._is_opening_spare = False

    def _open(self, deadline: float) -> ClientConnection:
        if self.open_count >= self.options.max_connections:
            text = f"all {self.options.max_connections} connections of the pool are in use"
            raise PoolExhaustedError(text)
        self.open_count += 1
        try:
            stream = self._connect(deadline)
        except BaseException as error:
            self.open_count -= 1
            if isinstance(error, OSError):
                raise _connect_error(error) from None
            raise
        return ClientConnection(stream, self.options.lenient)

    def _connect(self, deadline: float) -> SocketStream:
        """Take a descriptor and connect. A wait for a descriptor leaves the server its whole time to accept."""
        timeout_s = self.options.connect_timeout_s
        use = self.options.use
        self.descriptors.take(use, min(time.monotonic() + timeout_s, deadline - timeout_s))
        try:
            return self._connect_making_room(min(deadline, time.monotonic() + timeout_s))
        except BaseException:
            self.descriptors.give_back(use)
            raise

    def _connect_making_room(self, deadline: float) -> SocketStream:
        """Connect; if the system has no descriptor left, let other connections give way and connect again."""
        for _ in range(_MAX_EVICTIONS):
            try:
                return connect(self.address, deadline)
            except OSError as error:
                if not is_out_of_descriptors(error) or not self.descriptors.make_room(self.options.use):
                    raise
        return connect(self.address, deadline)

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool for the next request, and discard idle ones past the idle timeout."""
        connection.last_used = time.monotonic()
        self.idle.append(connection)
        while self.idle and connection.last_used - self.idle[0].last_used > self.options.idle_timeout_s:
            self.close_oldest_idle()
        if self.options.use is DescriptorUse.NODE:
            self.descriptors.begin_idle(connection, self)

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection that is not in `idle`."""
        self.open_count -= 1
        connection.close()
        self.descriptors.give_back(self.options.use)

    def close_oldest_idle(self) -> None:
        """Close the idle connection that was used least recently."""
        self._discard_idle(self.idle.popleft())

    def _discard_idle(self, connection: ClientConnection) -> None:
        """Close a connection that was just removed from `idle`."""
        self.descriptors.account.end_idle(connection)
        self.discard(connection)

    def prune(self) -> None:
        """Close idle connections that are past the idle timeout or were closed by the peer.

        `acquire` may never reach them, as it takes the most recently used connections first.
        """
        now = time.monotonic()
        unusable = [
            connection
            for connection in self.idle
            if now - connection.last_used >= self.options.idle_timeout_s or connection.is_stale()
        ]
        for connection in unusable:
            self.idle.remove(connection)
            self._discard_idle(connection)

    def discard_older_than(self, broken: ClientConnection) -> None:
        """Discard the idle connections last used no later than `broken`, a reused one: they are not trusted either."""
        while self.idle and self.idle[0].last_used <= broken.last_used:
            self.close_oldest_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            self.close_oldest_idle()


def is_out_of_descriptors(error: OSError) -> bool:
    """Return whether the process or the system has no file descriptor left."""
    return error.errno in (errno.EMFILE, errno.ENFILE)


def _connect_error(error: OSError) -> ConnectError:
    """Return the error to raise when connecting failed with `error`."""
    if is_out_of_descriptors(error):
        return NoDescriptorError()
    text = str(error) or type(error).__name__
    if isinstance(error, DeadlineExceededError):
        return ConnectTimeoutError(text)
    return ConnectRefusedError(text)


def call(
    pool: ConnectionPool, method: bytes, target: bytes, deadline: float, body: bytes = b""
) -> tuple[ResponseHead, bytes]:
    """Send one request and read its whole response.

    If a reused connection breaks, the request is sent again on another one, so `call` is only for idempotent requests.

    Parameters
    ----------
    pool
        Pool of connections to the server.
    method, target, body
        Parts of the request.
    deadline
        Monotonic seconds.

    Raises
    ------
    ConnectError, ConnectionLostError, HttpError, TimeoutError
        There was no response, or a malformed one.
    """
    host = b"%s:%d" % (pool.address[0].encode(), pool.address[1])
    request = format_request_head(method, target, host, [], len(body)) + body
    while True:
        connection = pool.acquire(deadline)
        try:
            connection.send(request, deadline)
            head = connection.read_head(deadline)
            data = connection.read_body(deadline, pool.options.max_body_bytes)
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
