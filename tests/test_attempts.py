"""How an attempt ends, by what its connection met: a typed error decides, never its text."""

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
    """Requests without a body; a status of 200 is an answer."""

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


def one_attempt(seconds: float = 5.0) -> NodeAttempt:
    now = time.monotonic()
    return NodeAttempt(0, 0, now, now + seconds)


def run(pool: ConnectionPool, attempt: NodeAttempt) -> AttemptEnding:
    hooks = AttemptHooks(PlainProtocol(), lambda node: False, lambda pending, attempt: None)
    return run_attempt(pending_request(), attempt, pool, hooks).ending


# ------------------------------------------------------------------ no connection

CONNECT_ERRORS = [
    (DeadlineExceededError(), AttemptEnding.CONNECT_TIMEOUT),
    (OSError(errno.ECONNREFUSED, "ECONNREFUSED"), AttemptEnding.CONNECT_REFUSED),
    (
        OSError(errno.ETIMEDOUT, "ETIMEDOUT"),
        AttemptEnding.CONNECT_REFUSED,
    ),  # the system gave up, our deadline had not come
    (OSError(errno.EHOSTUNREACH, "EHOSTUNREACH"), AttemptEnding.CONNECT_REFUSED),
    (OSError(errno.EMFILE, "Too many open files"), AttemptEnding.POOL_EXHAUSTED),
    (OSError(errno.ENFILE, "Too many open files in system"), AttemptEnding.POOL_EXHAUSTED),
]


@pytest.mark.parametrize(("error", "ending"), CONNECT_ERRORS, ids=lambda value: str(value))
def test_an_attempt_without_a_connection_ends_by_the_error_met(
    monkeypatch: pytest.MonkeyPatch, error: OSError, ending: AttemptEnding
) -> None:
    def connect(address: tuple[str, int], deadline: float) -> Any:
        raise error

    monkeypatch.setattr(connection_pool, "connect", connect)
    pool = ConnectionPool(("127.0.0.1", 1), PoolOptions(2, 0.5, 10.0))
    attempt = one_attempt()
    assert run(pool, attempt) is ending and not attempt.sent and pool.open_count == 0


@pytest.mark.parametrize(("error", "ending"), CONNECT_ERRORS, ids=lambda value: str(value))
@pytest.mark.parametrize("cancelled", [True, False])
def test_no_connection_error_counts_against_a_node_once_the_attempt_is_over(
    monkeypatch: pytest.MonkeyPatch, error: OSError, ending: AttemptEnding, cancelled: bool
) -> None:
    attempt = one_attempt()

    def connect(address: tuple[str, int], deadline: float) -> Any:
        if cancelled:
            attempt.cancelled = True
        else:
            attempt.write_by = time.monotonic()
        raise error

    monkeypatch.setattr(connection_pool, "connect", connect)
    want = AttemptEnding.CANCELLED_UNSENT if cancelled else AttemptEnding.OUT_OF_TIME
    assert run(ConnectionPool(("127.0.0.1", 1), PoolOptions(2, 0.5, 10.0)), attempt) is want


def test_a_pool_without_a_place_ends_an_attempt_unsent() -> None:
    assert (
        run(ConnectionPool(("127.0.0.1", 1), PoolOptions(0, 0.5, 10.0)), one_attempt()) is AttemptEnding.POOL_EXHAUSTED
    )


def test_a_connect_that_nobody_answers_ends_an_attempt_by_its_timeout() -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fill = [socket.socket() for _ in range(4)]
    for sock in fill:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    assert (
        run(ConnectionPool(listener.getsockname(), PoolOptions(1, 0.1, 5.0)), one_attempt())
        is AttemptEnding.CONNECT_TIMEOUT
    )
    for sock in [*fill, listener]:
        sock.close()


def test_a_port_where_nobody_listens_refuses_an_attempt() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    assert run(ConnectionPool(address, PoolOptions(1, 0.5, 5.0)), one_attempt()) is AttemptEnding.CONNECT_REFUSED
    with pytest.raises(ConnectRefusedError):
        ConnectionPool(address, PoolOptions(1, 0.5, 5.0)).acquire(time.monotonic() + 1)


# ------------------------------------------------------------------ a connection that ends under its request


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


def call_off(peer: socket.socket, connection: ClientConnection, attempt: NodeAttempt) -> None:
    attempt.cancelled = True
    connection.close()


LENGTH_2 = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
CASES: dict[str, tuple[bytes, Callable[..., None], AttemptEnding, AttemptEnding]] = {
    # name: (what the node says, what comes then, ending on a new connection, ending on a kept one)
    "closed under the request": (b"", close, AttemptEnding.RESET, AttemptEnding.CLOSED),
    "reset under the request": (b"", reset, AttemptEnding.RESET, AttemptEnding.RESET),
    "closed on this side": (b"", close_own_end, AttemptEnding.RESET, AttemptEnding.CLOSED),
    "called off": (b"", call_off, AttemptEnding.CANCELLED, AttemptEnding.CANCELLED),
    "no answer": (b"", wait, AttemptEnding.RESPONSE_TIMEOUT, AttemptEnding.RESPONSE_TIMEOUT),
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
    "no HTTP": (b"what?\r\n\r\n", wait, AttemptEnding.MALFORMED_RESPONSE, AttemptEnding.MALFORMED_RESPONSE),
    "an upgrade": (
        b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "a length twice": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "bytes that do not read": (
        b"HTTP/1.1 200 OK\r\nSpoilt: 1\r\nContent-Length: 2\r\n\r\nok",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "closed in the body": (LENGTH_2 + b"o", close, AttemptEnding.TRUNCATED_RESPONSE, AttemptEnding.TRUNCATED_RESPONSE),
    "reset in the body": (LENGTH_2 + b"o", reset, AttemptEnding.TRUNCATED_RESPONSE, AttemptEnding.TRUNCATED_RESPONSE),
    "called off in the body": (LENGTH_2 + b"o", call_off, AttemptEnding.CANCELLED, AttemptEnding.CANCELLED),
    "no end of the body": (LENGTH_2 + b"o", wait, AttemptEnding.RESPONSE_TIMEOUT, AttemptEnding.RESPONSE_TIMEOUT),
    "bytes behind the end": (LENGTH_2 + b"okmore", wait, AttemptEnding.WRONG_LENGTH, AttemptEnding.WRONG_LENGTH),
    "a second answer": (LENGTH_2 + b"ok" + LENGTH_2, wait, AttemptEnding.WRONG_LENGTH, AttemptEnding.WRONG_LENGTH),
    "a chunk that does not read": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        wait,
        AttemptEnding.MALFORMED_RESPONSE,
        AttemptEnding.MALFORMED_RESPONSE,
    ),
    "a length over the bound": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
        wait,
        AttemptEnding.WRONG_LENGTH,
        AttemptEnding.WRONG_LENGTH,
    ),
    "a body over the bound": (
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
    "closed behind an answer without a length": (NO_LENGTH + b"all", close, AttemptEnding.ANSWERED_UNTIL_CLOSE),
    "reset in an answer without a length": (NO_LENGTH + b"half", reset, AttemptEnding.BROKEN_WITHOUT_LENGTH),
    "closed on this side": (NO_LENGTH + b"half", close_own_end, AttemptEnding.BROKEN_WITHOUT_LENGTH),
    "bytes behind the end": (LENGTH_2 + b"okmore", wait, AttemptEnding.ANSWERED),
}


def ending_against(said: bytes, then: Callable[..., None], kept: bool, lenient: bool = False) -> AttemptEnding:
    """The ending of an attempt whose node says `said` once the request has come."""
    listener = socket.create_server(("127.0.0.1", 0))
    pool = ConnectionPool(listener.getsockname(), PoolOptions(1, 1.0, 5.0, lenient=lenient))
    if kept:
        pool.release(pool.acquire(time.monotonic() + 1))
    attempt = one_attempt(0.3)
    job = gevent.spawn(run, pool, attempt)
    while not attempt.sent:
        gevent.sleep(0.001)
    gevent.sleep(0.005)
    peer, _ = listener.accept()
    if said:
        peer.sendall(said)
        gevent.sleep(0.02)
    if attempt.connection is not None:
        then(peer, attempt.connection, attempt)
    got: AttemptEnding = job.get(timeout=5)
    for sock in (peer, listener):
        sock.close()
    return got


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("case", CASES)
def test_an_attempt_ends_by_what_its_connection_met(case: str, kept: bool) -> None:
    said, then, on_new, on_kept = CASES[case]
    assert ending_against(said, then, kept) is (on_kept if kept else on_new)


@pytest.mark.parametrize("kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("case", LENIENT_CASES)
def test_a_lenient_pool_takes_an_answer_that_its_close_ends(case: str, kept: bool) -> None:
    said, then, ending = LENIENT_CASES[case]
    assert ending_against(said, then, kept, lenient=True) is ending
