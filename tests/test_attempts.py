"""How an attempt ends, by what its connection met: a typed error decides, never its text."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable
from typing import Any

import gevent
import pytest

from fawnspool.gateway.attempt_results import Ending
from fawnspool.gateway.attempts import Heard, carry_out
from fawnspool.gateway.request_state import Attempt, Body, Pending
from fawnspool.net import client as net_client
from fawnspool.net.client import Link, Pool
from fawnspool.net.exceptions import ConnectRefusedError, DeadlineExceededError
from fawnspool.net.http import Status, request_bytes
from fawnspool.scheduling.interface import Request


class PlainProtocol:
    """Requests without a body; a status of 200 is an answer."""

    hold_most = 1000
    streams = False

    def head(self, pending: Pending, attempt: Attempt) -> bytes:
        return request_bytes(b"GET", b"/", b"node", [])

    def told(self, pending: Pending, status: Status) -> Heard:
        if b"spoilt" in status.headers:
            raise ValueError
        return Heard()

    def ending(self, status: Status) -> Ending:
        return Ending.ANSWERED if status.code == 200 else Ending.NODE_ERROR


def pending_request() -> Pending:
    request = Request(1, 0, 0, 1, 5.0, 1, 1.0, 0, 1, False, False)
    now = time.monotonic()
    return Pending(request, b"GET", b"/", [], Body(b"", 0), None, "op", "", now, now + 5, "read", "plan")


def one_attempt(seconds: float = 5.0) -> Attempt:
    now = time.monotonic()
    return Attempt(0, 0, now, now + seconds)


def run(pool: Pool, attempt: Attempt) -> Ending:
    return carry_out(
        pending_request(), attempt, pool, PlainProtocol(), lambda node: False, lambda pending, attempt: None
    ).ending


# ------------------------------------------------------------------ no connection

CONNECT_ERRORS = [
    (DeadlineExceededError(), Ending.CONNECT_TIMEOUT),
    (OSError(errno.ECONNREFUSED, "ECONNREFUSED"), Ending.REFUSED),
    (OSError(errno.ETIMEDOUT, "ETIMEDOUT"), Ending.REFUSED),  # the system gave up, our deadline had not come
    (OSError(errno.EHOSTUNREACH, "EHOSTUNREACH"), Ending.REFUSED),
    (OSError(errno.EMFILE, "Too many open files"), Ending.NO_PLACE),
    (OSError(errno.ENFILE, "Too many open files in system"), Ending.NO_PLACE),
]


@pytest.mark.parametrize(("error", "ending"), CONNECT_ERRORS, ids=lambda value: str(value))
def test_an_attempt_without_a_connection_ends_by_the_error_met(
    monkeypatch: pytest.MonkeyPatch, error: OSError, ending: Ending
) -> None:
    def connect(address: tuple[str, int], deadline: float) -> Any:
        raise error

    monkeypatch.setattr(net_client, "connect", connect)
    pool = Pool(("127.0.0.1", 1), 2, 0.5, 10.0)
    attempt = one_attempt()
    assert run(pool, attempt) is ending and not attempt.sent and pool.open == 0


@pytest.mark.parametrize(("error", "ending"), CONNECT_ERRORS, ids=lambda value: str(value))
@pytest.mark.parametrize("called_off", [True, False])
def test_no_connection_error_counts_against_a_node_once_the_attempt_is_over(
    monkeypatch: pytest.MonkeyPatch, error: OSError, ending: Ending, called_off: bool
) -> None:
    attempt = one_attempt()

    def connect(address: tuple[str, int], deadline: float) -> Any:
        if called_off:
            attempt.called_off = True
        else:
            attempt.written_by = time.monotonic()
        raise error

    monkeypatch.setattr(net_client, "connect", connect)
    want = Ending.CALLED_OFF_UNSENT if called_off else Ending.OUT_OF_TIME
    assert run(Pool(("127.0.0.1", 1), 2, 0.5, 10.0), attempt) is want


def test_a_pool_without_a_place_ends_an_attempt_unsent() -> None:
    assert run(Pool(("127.0.0.1", 1), 0, 0.5, 10.0), one_attempt()) is Ending.NO_PLACE


def test_a_connect_that_nobody_answers_ends_an_attempt_by_its_timeout() -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fill = [socket.socket() for _ in range(4)]
    for sock in fill:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    assert run(Pool(listener.getsockname(), 1, 0.1, 5.0), one_attempt()) is Ending.CONNECT_TIMEOUT
    for sock in [*fill, listener]:
        sock.close()


def test_a_port_where_nobody_listens_refuses_an_attempt() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
    assert run(Pool(address, 1, 0.5, 5.0), one_attempt()) is Ending.REFUSED
    with pytest.raises(ConnectRefusedError):
        Pool(address, 1, 0.5, 5.0).take(time.monotonic() + 1)


# ------------------------------------------------------------------ a connection that ends under its request


def close(peer: socket.socket, link: Link, attempt: Attempt) -> None:
    peer.recv(4096)
    peer.close()


def reset(peer: socket.socket, link: Link, attempt: Attempt) -> None:
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    peer.close()


def wait(peer: socket.socket, link: Link, attempt: Attempt) -> None:
    return


def close_own_end(peer: socket.socket, link: Link, attempt: Attempt) -> None:
    link.close()


def call_off(peer: socket.socket, link: Link, attempt: Attempt) -> None:
    attempt.called_off = True
    link.close()


LENGTH_2 = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
CASES: dict[str, tuple[bytes, Callable[..., None], Ending, Ending]] = {
    # name: (what the node says, what comes then, ending on a new connection, ending on a kept one)
    "closed under the request": (b"", close, Ending.RESET, Ending.CLOSED),
    "reset under the request": (b"", reset, Ending.RESET, Ending.RESET),
    "closed on this side": (b"", close_own_end, Ending.RESET, Ending.CLOSED),
    "called off": (b"", call_off, Ending.CALLED_OFF, Ending.CALLED_OFF),
    "no answer": (b"", wait, Ending.NO_ANSWER, Ending.NO_ANSWER),
    "closed in the head": (b"HTTP/1.1 200 OK\r\nX", close, Ending.HALF_ANSWER, Ending.HALF_ANSWER),
    "reset in the head": (b"HTTP/1.1 200 OK\r\nX", reset, Ending.HALF_ANSWER, Ending.HALF_ANSWER),
    "no HTTP": (b"what?\r\n\r\n", wait, Ending.MALFORMED, Ending.MALFORMED),
    "an upgrade": (
        b"HTTP/1.1 101 S\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        wait,
        Ending.MALFORMED,
        Ending.MALFORMED,
    ),
    "a length twice": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
        wait,
        Ending.MALFORMED,
        Ending.MALFORMED,
    ),
    "bytes that do not read": (
        b"HTTP/1.1 200 OK\r\nSpoilt: 1\r\nContent-Length: 2\r\n\r\nok",
        wait,
        Ending.MALFORMED,
        Ending.MALFORMED,
    ),
    "closed in the body": (LENGTH_2 + b"o", close, Ending.HALF_ANSWER, Ending.HALF_ANSWER),
    "reset in the body": (LENGTH_2 + b"o", reset, Ending.HALF_ANSWER, Ending.HALF_ANSWER),
    "called off in the body": (LENGTH_2 + b"o", call_off, Ending.CALLED_OFF, Ending.CALLED_OFF),
    "no end of the body": (LENGTH_2 + b"o", wait, Ending.NO_ANSWER, Ending.NO_ANSWER),
    "bytes behind the end": (LENGTH_2 + b"okmore", wait, Ending.WRONG_LENGTH, Ending.WRONG_LENGTH),
    "a second answer": (LENGTH_2 + b"ok" + LENGTH_2, wait, Ending.WRONG_LENGTH, Ending.WRONG_LENGTH),
    "a chunk that does not read": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        wait,
        Ending.MALFORMED,
        Ending.MALFORMED,
    ),
    "a length over the bound": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n",
        wait,
        Ending.WRONG_LENGTH,
        Ending.WRONG_LENGTH,
    ),
    "a body over the bound": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + b"x" * 1001 + b"\r\n",
        wait,
        Ending.MALFORMED,
        Ending.MALFORMED,
    ),
    "an answer": (LENGTH_2 + b"ok", wait, Ending.ANSWERED, Ending.ANSWERED),
    "an error": (
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        wait,
        Ending.NODE_ERROR,
        Ending.NODE_ERROR,
    ),
}
LENIENT_CASES: dict[str, tuple[bytes, Callable[..., None], Ending]] = {
    "closed behind an answer without a length": (NO_LENGTH + b"all", close, Ending.ANSWERED_TO_CLOSE),
    "reset in an answer without a length": (NO_LENGTH + b"half", reset, Ending.CUT_WITHOUT_LENGTH),
    "closed on this side": (NO_LENGTH + b"half", close_own_end, Ending.CUT_WITHOUT_LENGTH),
    "bytes behind the end": (LENGTH_2 + b"okmore", wait, Ending.ANSWERED),
}


def ending_against(said: bytes, then: Callable[..., None], kept: bool, lenient: bool = False) -> Ending:
    """The ending of an attempt whose node says `said` once the request has come."""
    listener = socket.create_server(("127.0.0.1", 0))
    pool = Pool(listener.getsockname(), 1, 1.0, 5.0, lenient=lenient)
    if kept:
        pool.give(pool.take(time.monotonic() + 1))
    attempt = one_attempt(0.3)
    job = gevent.spawn(run, pool, attempt)
    while not attempt.sent:
        gevent.sleep(0.001)
    gevent.sleep(0.005)
    peer, _ = listener.accept()
    if said:
        peer.sendall(said)
        gevent.sleep(0.02)
    if attempt.link is not None:
        then(peer, attempt.link, attempt)
    got: Ending = job.get(timeout=5)
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
