"""Client connections and their pool: reuse and release, and broken connections, which must not end a response."""

from __future__ import annotations

import contextlib
import gc
import os
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import gevent
import pytest

from fawnspool.connections.spare_connections import WAITS_TO_RECUR
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import (
    ConnectError,
    ConnectionLostError,
    HttpError,
    PoolExhaustedError,
)
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import format_chunk
from fawnspool.net.server import Server
from fawnspool.net.socket_stream import SocketStream


def test_pool_reuses_connections_replaces_broken_ones_and_keeps_its_limit() -> None:
    server = Server(("127.0.0.1", 0), lambda exchange: exchange.respond(200, [], b"hi"))
    server.start()
    pool = ConnectionPool(server.address, PoolOptions(2, 0.5, 10.0))
    for _ in range(3):
        assert call(pool, b"GET", b"/", time.monotonic() + 2)[1] == b"hi"
    assert pool.open_count == 1
    server.reset_all()
    gevent.sleep(0.01)
    assert call(pool, b"GET", b"/", time.monotonic() + 2)[1] == b"hi" and pool.open_count == 1
    first, second = pool.acquire(time.monotonic() + 1), pool.acquire(time.monotonic() + 1)
    with pytest.raises(PoolExhaustedError, match="in use"):
        pool.acquire(time.monotonic() + 1)
    pool.release(first)
    pool.release(second)
    pool.close_idle()
    assert pool.open_count == 0
    server.stop()
    with pytest.raises(ConnectError):
        pool.acquire(time.monotonic() + 1)
    assert pool.open_count == 0


def test_truncated_response_raises_connection_lost() -> None:
    def send_half(exchange: Exchange) -> None:
        exchange.begin(200, [], 100)
        exchange.write(b"x" * 50, time.monotonic() + 1)
        exchange.finish(False)

    server = Server(("127.0.0.1", 0), send_half)
    server.start()
    with pytest.raises(ConnectionLostError):
        call(ConnectionPool(server.address, PoolOptions(1, 1.0, 1.0)), b"GET", b"/", time.monotonic() + 2)
    server.stop()


def test_closed_connections_free_their_descriptors() -> None:
    server = Server(("127.0.0.1", 0), lambda exchange: exchange.respond(200, [], b"", close=True))
    server.start()

    def call_once() -> None:
        pool = ConnectionPool(server.address, PoolOptions(1, 1.0, 1.0))
        call(pool, b"GET", b"/", time.monotonic() + 2)

    call_once()
    gc.collect()
    descriptors_before = len(os.listdir("/proc/self/fd"))
    for _ in range(50):
        call_once()
    gevent.sleep(0.05)
    assert len(os.listdir("/proc/self/fd")) <= descriptors_before + 3 and not server.connections
    server.stop()


def connection_with(received: bytes, lenient: bool) -> tuple[ClientConnection, socket.socket]:
    """Return a connection whose peer has sent `received`, and the peer's socket."""
    listener = socket.create_server(("127.0.0.1", 0))
    connection = ConnectionPool(listener.getsockname(), PoolOptions(1, 1.0, 5.0, lenient=lenient)).acquire(
        time.monotonic() + 1
    )
    peer, _ = listener.accept()
    listener.close()
    peer.sendall(received)
    return connection, peer


@pytest.mark.parametrize("lenient", [False, True])
def test_close_ends_a_response_without_length_only_if_the_pool_is_lenient(lenient: bool) -> None:
    """RFC 9112, 6.3. Our own nodes always send a length, so from them such an end means that the node died."""
    connection, peer = connection_with(b"HTTP/1.1 200 OK\r\n\r\nall of it", lenient)
    peer.close()
    assert connection.read_head(time.monotonic() + 1).length is None
    if lenient:
        assert connection.read_body(time.monotonic() + 1) == b"all of it" and connection.has_trailing_data
    else:
        with pytest.raises(ConnectionLostError):
            connection.read_body(time.monotonic() + 1)
    connection.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    sock.close()


def send_fails(stream: SocketStream) -> None:
    with contextlib.suppress(OSError):
        stream.sendall(b"x", time.monotonic() + 1)


CALLS_AFTER_RESET: dict[str, Callable[[SocketStream], Any]] = {
    "none": lambda stream: None,
    "at_end": SocketStream.at_end,
    "peer_has_closed": SocketStream.peer_has_closed,
    "has_unread": SocketStream.has_unread,
    "closed_by_peer": SocketStream.closed_by_peer,
    "a write": send_fails,
}


@pytest.mark.parametrize("call_name", CALLS_AFTER_RESET)
@pytest.mark.parametrize("lenient", [False, True])
def test_reset_never_ends_a_response_whichever_call_meets_it_first(lenient: bool, call_name: str) -> None:
    """Guards against a truncated response without a length that is accepted as complete.

    Linux reports a reset once; later reads look like a clean end. A check of the socket, as after every wait that timed
    out, once consumed the reset.
    """
    connection, peer = connection_with(b"HTTP/1.1 200 OK\r\n\r\nhalf", lenient)
    assert connection.read_head(time.monotonic() + 1).length is None
    assert connection.read_piece(time.monotonic() + 1) == b"half"
    reset(peer)
    time.sleep(0.02)
    CALLS_AFTER_RESET[call_name](connection.stream)
    for _ in range(3):
        with pytest.raises(ConnectionLostError):
            connection.read_piece(time.monotonic() + 1)
    assert connection.stream.is_broken()
    connection.close()


@pytest.mark.parametrize("call_name", CALLS_AFTER_RESET)
def test_reset_after_unread_bytes_does_not_end_a_response(call_name: str) -> None:
    connection, peer = connection_with(b"HTTP/1.1 200 OK\r\n\r\nhalf", True)
    reset(peer)
    time.sleep(0.02)
    CALLS_AFTER_RESET[call_name](connection.stream)
    connection.read_head(time.monotonic() + 1)
    with pytest.raises(ConnectionLostError):
        connection.read_body(time.monotonic() + 1)
    connection.close()


def test_reset_at_the_deadline_does_not_end_a_response() -> None:
    """The process is blocked past the reset and the deadline: the wait ends first, and then the socket is checked."""
    connection, peer = connection_with(b"HTTP/1.1 200 OK\r\n\r\nhalf", True)
    deadline = time.monotonic() + 0.1
    connection.read_head(deadline)
    assert connection.read_piece(deadline) == b"half"
    stall = gevent.spawn(lambda: (reset(peer), time.sleep(0.15)))
    with pytest.raises(ConnectionLostError):
        connection.read_piece(deadline)
    stall.join()
    connection.close()


@pytest.mark.parametrize("has_length", [False, True])
def test_call_rejects_a_body_longer_than_the_pool_allows(has_length: bool) -> None:
    """Guards against a service whose answer, an endpoint list for example, fills the memory until the deadline."""
    sent_bytes = [0]

    def answer(exchange: Exchange) -> None:
        exchange.begin(200, [], 1 << 40 if has_length else None)
        piece = b"x" * 65_536
        with contextlib.suppress(OSError):
            while sent_bytes[0] < 64 << 20:
                exchange.write(piece if has_length else format_chunk(piece), time.monotonic() + 1)
                sent_bytes[0] += len(piece)
        exchange.finish(False)

    server = Server(("127.0.0.1", 0), answer)
    server.start()
    pool = ConnectionPool(server.address, PoolOptions(1, 1.0, 5.0, max_body_bytes=1 << 20))
    with pytest.raises(HttpError, match="longer than 1048576 bytes"):
        call(pool, b"GET", b"/", time.monotonic() + 5)
    assert sent_bytes[0] < 32 << 20 and pool.open_count == 0
    server.stop()


@pytest.fixture
def echo_server() -> Iterator[Server]:
    server = Server(("127.0.0.1", 0), lambda exchange: exchange.respond(200, [], b"hi"))
    server.start()
    yield server
    server.stop()


def test_connection_is_reused_only_after_its_cooldown(echo_server: Server) -> None:
    pool = ConnectionPool(echo_server.address, PoolOptions(2, 0.5, 10.0, cooldown_s=0.05))
    first = pool.acquire(time.monotonic() + 1)
    pool.release(first)
    began = time.monotonic()
    assert pool.acquire(began + 1) is first and time.monotonic() - began >= 0.045
    pool.release(first)
    began = time.monotonic()
    assert pool.acquire(began) is first and time.monotonic() - began < 0.045  # the deadline limits the wait


def use_once(pool: ConnectionPool) -> float:
    """Acquire and release a connection; return for how many seconds the acquire waited."""
    began = time.monotonic()
    connection = pool.acquire(began + 1)
    waited_s = time.monotonic() - began
    pool.release(connection)
    gevent.sleep(0.001)  # lets a spare connection open
    return waited_s


def test_recurring_waits_for_the_cooldown_open_spare_connections(echo_server: Server) -> None:
    """Guards against consecutive requests that each wait for the only kept connection while the pool has room."""
    pool = ConnectionPool(echo_server.address, PoolOptions(100, 0.5, 10.0, cooldown_s=0.02, max_with_spares=50))
    for _ in range(200):
        use_once(pool)
    assert sum(use_once(pool) for _ in range(200)) < 200 * 0.02 / 10
    assert pool.open_count <= 50


def test_few_waits_open_no_spare_connection_and_spares_are_limited(echo_server: Server) -> None:
    """Guards against spares for requests that collided by chance, and against spares that fill the pool."""
    pool = ConnectionPool(echo_server.address, PoolOptions(4, 0.5, 10.0, cooldown_s=0.02, max_with_spares=2))
    for _ in range(WAITS_TO_RECUR):  # all but the first wait
        use_once(pool)
    assert pool.open_count == 1
    for _ in range(20):
        use_once(pool)
    assert pool.open_count == 2


def test_failure_to_open_a_spare_connection_affects_no_request(echo_server: Server) -> None:
    pool = ConnectionPool(echo_server.address, PoolOptions(4, 0.5, 10.0, cooldown_s=0.02, max_with_spares=2))
    use_once(pool)
    address, pool.address = pool.address, ("127.0.0.1", 1)
    for _ in range(WAITS_TO_RECUR):
        use_once(pool)
    gevent.sleep(0.02)
    assert pool.open_count == 1
    pool.address = address
    use_once(pool)
    assert pool.open_count == 1  # the kept connection had cooled down
    use_once(pool)
    assert pool.open_count == 2


def test_acquire_prefers_the_last_used_connection_and_a_break_discards_older_ones(echo_server: Server) -> None:
    pool = ConnectionPool(echo_server.address, PoolOptions(3, 0.5, 10.0))
    oldest, middle, latest = (pool.acquire(time.monotonic() + 1) for _ in range(3))
    for connection in (oldest, middle, latest):
        pool.release(connection)
    assert pool.acquire(time.monotonic() + 1) is latest and not latest.is_new
    pool.discard_older_than(latest)
    assert not pool.idle and oldest.stream.closed and middle.stream.closed and pool.open_count == 1


def test_prune_closes_connections_that_expired_or_were_closed_by_the_peer(echo_server: Server) -> None:
    pool = ConnectionPool(echo_server.address, PoolOptions(2, 0.5, 0.05))
    closed, outdated = pool.acquire(time.monotonic() + 1), pool.acquire(time.monotonic() + 1)
    pool.release(closed)
    echo_server.reset_all()
    gevent.sleep(0.01)
    pool.prune()
    assert not pool.idle and pool.open_count == 1
    pool.release(outdated)
    time.sleep(0.06)
    pool.prune()
    assert not pool.idle and pool.open_count == 0
