"""Tests which ending an attempt gets for each error or response on its connection.

With a wrong ending, the scheduler would retry a request that may have run, or count a failure against a sound node.
Endings are chosen by the type and errno of an error, not by its text.
"""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable
from typing import Any

import gevent
import pytest

from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.gateway.attempts import AttemptHooks, NodeFeedback, run_attempt
from fawnspool.gateway.request_state import ClientRequest, NodeAttempt, RequestBody
from fawnspool.net import connection_pool
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions
from fawnspool.net.exceptions import ConnectRefusedError, DeadlineExceededError
from fawnspool.net.http import ResponseHead, format_request_head
from fawnspool.scheduling.interface import Request


class PlainProtocol:
    """A node protocol of requests without a body, in which only status 200 is an answer."""

    max_buffered_bytes = 1000
    streams_large = False

    def request_head(self, pending: ClientRequest, attempt: NodeAttempt) -> bytes:
        return format_request_head(b"GET", b"/", b"node", [])

    def feedback(self, pending: ClientRequest, head: ResponseHead) -> NodeFeedback:
        if b"spoilt" in head.headers:
            raise ValueError
        return NodeFeedback()

    def ending(self, head: ResponseHead) -> AttemptEnding:
        return AttemptEnding.ANSWERED if head.code == 200 else AttemptEnding.NODE_ERROR


def pending_request() -> ClientRequest:
    request = Request(1, 0, 0, 1, 5.0, 1, 1.0, 0, 1, False, False)
    now = time.monotonic()
    return ClientRequest(request, b"GET", b"/", [], RequestBody(b"", 0), None, "op", "", now, now + 5, "read", "plan")


def make_attempt(timeout_s: float = 5.0) -> NodeAttempt:
    now = time.monotonic()
    return NodeAttempt(0, 0, now, now + timeout_s)


def attempt_ending(pool: ConnectionPool, attempt: NodeAttempt) -> AttemptEnding:
    hooks = AttemptHooks(PlainProtocol(), lambda node: False, lambda pending, attempt: None)
    return run_attempt(pending_request(), attempt, pool, hooks).ending


# ------------------------------------------------------------------ no connection

CONNECT_ERRORS = [
    (DeadlineExceededError(), AttemptEnding.CONNECT_TIMEOUT),
    (OSError(errno.ECONNREFUSED, "ECONNREFUSED"), AttemptEnding.CONNECT_REFUSED),
    (
        OSError(errno.ETIMEDOUT, "ETIMEDOUT"),
        AttemptEnding.CONNECT_REFUSED,
    ),  # the system timed out before the attempt's deadline
    (OSError(errno.EHOSTUNREACH, "EHOSTUNREACH"), AttemptEnding.CONNECT_REFUSED),
    (OSError(errno.EMFILE, "Too many open files"), AttemptEnding.POOL_EXHAUSTED),
    (OSError(errno.ENFILE, "Too many open files in system"), AttemptEnding.POOL_EXHAUSTED),
]


@pytest.mark.parametrize(("error", "ending"), CONNECT_ERRORS, ids=lambda value: str(value))
def test_connect_error_determines_the_ending_and_nothing_is_sent(
    monkeypatch: pytest.MonkeyPatch, error: OSError, ending: AttemptEnding
) -> None:
    def connect(address: tuple[str, int], deadline: float) -> Any:
        raise error

    monkeypatch.setattr(connection_pool, "connect", connect)
    pool = ConnectionPool(("127.0.0.1", 1), PoolOptions(2, 0.5, 10.0))
    attempt = make_attempt()
    assert attempt_ending(pool, attempt) is ending and not attempt.sent and pool.open_count == 0


@pytest.mark.parametrize(("error", "ending"), CONNECT_ERRORS, ids=lambda value: str(value))
@pytest.mark.parametrize("cancelled", [True, False])
def test_connect_error_after_cancellation_or_write_deadline_is_not_blamed_on_the_node(
    monkeypatch: pytest.MonkeyPatch, error: OSError, ending: AttemptEnding, cancelled: bool
) -> None:
    attempt = make_attempt()

    def connect(address: tuple[str, int], deadline: float) -> Any:
        if cancelled:
            attempt.cancelled = True
        else:
            attempt.write_by = time.monotonic()
        raise error

    monkeypatch.setattr(connection_pool, "connect", connect)
    expected = AttemptEnding.CANCELLED_UNSENT if cancelled else AttemptEnding.OUT_OF_TIME
    assert attempt_ending(ConnectionPool(("127.0.0.1", 1), PoolOptions(2, 0.5, 10.0)), attempt) is expected


@pytest.mark.parametrize(
    ("deadline_s", "ending"), [(-0.1, AttemptEnding.OUT_OF_TIME), (5.0, AttemptEnding.CONNECT_TIMEOUT)]
)
def test_connect_that_the_client_left_no_time_for_is_not_blamed_on_the_node(
    monkeypatch: pytest.MonkeyPatch, deadline_s: float, ending: AttemptEnding
) -> None:
    """Guards against nodes that are ejected, and taken for restarted, by requests with a millisecond left."""
    attempt = make_attempt()

    def connect(address: tuple[str, int], deadline: float) -> Any:
        attempt.deadline = time.monotonic() + deadline_s
        raise DeadlineExceededError

    monkeypatch.setattr(connection_pool, "connect", connect)
    assert attempt_ending(ConnectionPool(("127.0.0.1", 1), PoolOptions(2, 0.5, 10.0)), attempt) is ending


def test_full_pool_ends_an_attempt_as_pool_exhausted() -> None:
    assert (
        attempt_ending(ConnectionPool(("127.0.0.1", 1), PoolOptions(0, 0.5, 10.0)), make_attempt())
        is AttemptEnding.POOL_EXHAUSTED
    )


def test_unanswered_connect_ends_an_attempt_after_the_connect_timeout() -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    backlog_sockets = [socket.socket() for _ in range(4)]
    for sock in backlog_sockets:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    assert (
        attempt_ending(ConnectionPool(listener.getsockname(), PoolOptions(1, 0.1, 5.0)), make_attempt())
        is AttemptEnding.CONNECT_TIMEOUT
    )
    for sock in [*backlog_sockets, listener]:
        sock.close()


def test_port_without_listener_ends_an_attempt_as_connect_refused() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    assert (
        attempt_ending(ConnectionPool(address, PoolOptions(1, 0.5, 5.0)), make_attempt())
        is AttemptEnding.CONNECT_REFUSED
    )
    with pytest.raises(ConnectRefusedError):
        ConnectionPool(address, PoolOptions(1, 0.5, 5.0)).acquire(time.monotonic() + 1)


# ------------------------------------------------------------------ responses and connections that end during a request


def close(peer: socket.socket, connection: ClientConnection, attempt: NodeAttempt) -> None:
    peer.recv(4096)
    peer.close()


def reset(peer: socket.socket, connection: ClientConnection, attempt: NodeAttempt) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    peer.close()


def wait(peer: socket.socket, connection: ClientConnection, attempt: NodeAttempt) -> None:
    return


def close_own_end(peer: socket.socket, connection: ClientConnection, attempt: NodeAttempt) -> None:
    connection.close()


def cancel(peer: socket.socket, connection: ClientConnection, attempt: NodeAttempt) -> None:
    attempt.cancelled = True
    connection.close()


LENGTH_2 = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
CASES: dict[str, tuple[bytes, Callable[..., None], AttemptEnding, AttemptEnding]] = {
    # name: (bytes of the response, what then happens, ending on a new connection, ending on a reused one)
    "closed without a response": (b"", close, AttemptEnding.RESET, AttemptEnding.CLOSED),
    "reset without a response": (b"", reset, AttemptEnding.RESET, AttemptEnding.RESET),
    "closed by the gateway": (b"", close_own_end, AttemptEnding.RESET, AttemptEnding.CLOSED),
    "cancelled": (b"", cancel, AttemptEnding.CANCELLED, AttemptEnding.CANCELLED),
    "no response": (b"", wait, AttemptEnding.RESPONSE_TIMEOUT, AttemptEnding.RESPONSE_TIMEOUT),
    "closed in the head": (
        b"HTTP/1.1 200 OK\r\nX",
        close,
        AttemptEnding.TRUNCATED_RESPONSE,
        AttemptEnding.TRUNCATED_RESPONSE,
    ),
    "reset in the head": (
        b"HTTP/1.1 200 OK\r\nX",
        reset,
        AttemptEnding.TRUNCATED_RESPONSE,
        AttemptEnding.TRUNCATED_RESPONSE,
    ),
    "not HTTP": (b"what?\r\n\r\n", wait, AttemptEnding.MALFORMED_RESPONSE, AttemptEnding.MALFORMED_RESPONSE),
    "an upgrade": (
        b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "two different lengths": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "malformed feedback header": (
        b"HTTP/1.1 200 OK\r\nSpoilt: 1\r\nContent-Length: 2\r\n\r\nok",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "closed in the body": (LENGTH_2 + b"o", close, AttemptEnding.TRUNCATED_RESPONSE, AttemptEnding.TRUNCATED_RESPONSE),
    "reset in the body": (LENGTH_2 + b"o", reset, AttemptEnding.TRUNCATED_RESPONSE, AttemptEnding.TRUNCATED_RESPONSE),
    "cancelled in the body": (LENGTH_2 + b"o", cancel, AttemptEnding.CANCELLED, AttemptEnding.CANCELLED),
    "body without an end": (LENGTH_2 + b"o", wait, AttemptEnding.RESPONSE_TIMEOUT, AttemptEnding.RESPONSE_TIMEOUT),
    "bytes after the end of the body": (
        LENGTH_2 + b"okmore",
        wait,
        AttemptEnding.WRONG_LENGTH,
        AttemptEnding.WRONG_LENGTH,
    ),
    "a second response": (LENGTH_2 + b"ok" + LENGTH_2, wait, AttemptEnding.WRONG_LENGTH, AttemptEnding.WRONG_LENGTH),
    "malformed chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "length over the limit": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
        wait,
        AttemptEnding.WRONG_LENGTH,
        AttemptEnding.WRONG_LENGTH,
    ),
    "chunked body over the limit": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + b"x" * 1001 + b"\r\n",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "an answer": (LENGTH_2 + b"ok", wait, AttemptEnding.ANSWERED, AttemptEnding.ANSWERED),
    "an error": (
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        wait,
        AttemptEnding.NODE_ERROR,
        AttemptEnding.NODE_ERROR,
    ),
}
LENIENT_CASES: dict[str, tuple[bytes, Callable[..., None], AttemptEnding]] = {
    "closed after a response without a length": (NO_LENGTH + b"all", close, AttemptEnding.ANSWERED_UNTIL_CLOSE),
    "reset in a response without a length": (NO_LENGTH + b"half", reset, AttemptEnding.BROKEN_WITHOUT_LENGTH),
    "closed by the gateway": (NO_LENGTH + b"half", close_own_end, AttemptEnding.BROKEN_WITHOUT_LENGTH),
    "bytes after the end of the body": (LENGTH_2 + b"okmore", wait, AttemptEnding.ANSWERED),
}


def ending_after(response: bytes, then: Callable[..., None], reused: bool, lenient: bool = False) -> AttemptEnding:
    """Return the ending of an attempt whose node sends `response` to the request, after which `then` is called."""
    listener = socket.create_server(("127.0.0.1", 0))
    pool = ConnectionPool(listener.getsockname(), PoolOptions(1, 1.0, 5.0, lenient=lenient))
    if reused:
        pool.release(pool.acquire(time.monotonic() + 1))
    attempt = make_attempt(0.3)
    greenlet = gevent.spawn(attempt_ending, pool, attempt)
    while not attempt.sent:
        gevent.sleep(0.001)
    gevent.sleep(0.005)
    peer, _ = listener.accept()
    if response:
        peer.sendall(response)
        gevent.sleep(0.02)
    if attempt.connection is not None:
        then(peer, attempt.connection, attempt)
    ending: AttemptEnding = greenlet.get(timeout=5)
    for sock in (peer, listener):
        sock.close()
    return ending


@pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("case", CASES)
def test_response_and_connection_end_determine_the_ending(case: str, reused: bool) -> None:
    response, then, ending_when_new, ending_when_reused = CASES[case]
    assert ending_after(response, then, reused) is (ending_when_reused if reused else ending_when_new)


@pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])
@pytest.mark.parametrize("case", LENIENT_CASES)
def test_lenient_pool_accepts_a_response_that_ends_at_the_close(case: str, reused: bool) -> None:
    response, then, ending = LENIENT_CASES[case]
    assert ending_after(response, then, reused, lenient=True) is ending
