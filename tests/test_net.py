"""Framing, ranges, tags, stream headers, and the waits that everything stands on."""

from __future__ import annotations

import contextlib
import errno
import gc
import os
import socket
import time
from collections.abc import Callable
from typing import Any

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.net.admission_throttle import AdmissionThrottle
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import (
    ConnectError,
    ConnectionLostError,
    HttpError,
    PoolExhaustedError,
    RangeNotSatisfiableError,
    TrailingDataError,
)
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import END_OF_MESSAGE, MessageLimits, RequestHead, RequestParser, ResponseHead, ResponseParser
from fawnspool.net.node_headers import (
    AttemptHeader,
    NodeReport,
    object_target,
    parse_attempt_header,
    parse_node_report,
    parse_object_target,
)
from fawnspool.net.ranges import etag_matches, parse_range
from fawnspool.net.server import Server
from fawnspool.net.socket_stream import SocketStream, connect
from fawnspool.net.timer_wheel import current_wheel
from fawnspool.net.wakeup_event import WakeupEvent

REQUESTS = (
    b"PUT /a HTTP/1.1\r\nHost: t\r\nContent-Length: 5\r\n\r\nhello"
    b"PUT /b HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    b"GET /c HTTP/1.1\r\nHost: t\r\nX: 1\r\nX: 2\r\n\r\n"
)


@given(st.lists(st.integers(1, 30), max_size=40))
def test_requests_read_the_same_however_they_are_cut(cuts: list[int]) -> None:
    parser, at, seen = RequestParser(MessageLimits()), 0, []
    for size in [*cuts, len(REQUESTS)]:
        if at < len(REQUESTS):
            parser.feed(REQUESTS[at : at + size])
            at += size
    body = b""
    for event in parser.events:
        if isinstance(event, RequestHead):
            seen.append((event.method, event.target, event.length))
            body = b""
        elif event is END_OF_MESSAGE:
            seen.append(body)
        elif isinstance(event, bytes):
            body += event
    assert seen == [(b"PUT", b"/a", 5), b"hello", (b"PUT", b"/b", None), b"abc", (b"GET", b"/c", 0), b""]


@given(st.binary(min_size=1, max_size=300))
def test_no_bytes_make_the_parsers_raise_anything_else(data: bytes) -> None:
    for parser in (RequestParser(MessageLimits(200, 8)), ResponseParser(MessageLimits(200, 8))):
        try:
            parser.feed(data)
            parser.feed(data)
        except HttpError as bad:
            assert 400 <= bad.status < 600


def test_answers_one_behind_the_other_and_bytes_behind_the_end() -> None:
    parser = ResponseParser(MessageLimits())
    parser.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    head, body, end = parser.events
    assert (
        isinstance(head, ResponseHead)
        and (head.code, head.length, body) == (200, 2, b"ok")
        and end is END_OF_MESSAGE
        and parser.complete
    )
    parser.events.clear()
    parser.expect_response()
    parser.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert parser.complete
    with pytest.raises(TrailingDataError, match="behind"):
        parser.feed(b"HTTP/1.1 200 OK\r\n")
    other = ResponseParser(MessageLimits())
    with pytest.raises(TrailingDataError, match="behind"):
        other.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nx")


@pytest.mark.parametrize(
    ("text", "size", "want"),
    [
        ("bytes=0-4", 10, (0, 5)),
        ("bytes=5-", 10, (5, 5)),
        ("bytes=-3", 10, (7, 3)),
        ("bytes=-30", 10, (0, 10)),
        ("bytes=0-99", 10, (0, 10)),
        ("bytes=5-2", 10, None),
        ("bytes=0-1,3-4", 10, None),
        ("lines=0-1", 10, None),
        ("bytes=-", 10, None),
        ("bytes=a-b", 10, None),
    ],
)
def test_ranges(text: str, size: int, want: tuple[int, int] | None) -> None:
    assert parse_range(text, size) == want


@pytest.mark.parametrize(("text", "size"), [("bytes=10-", 10), ("bytes=-0", 10), ("bytes=0-", 0), ("bytes=-5", 0)])
def test_ranges_that_can_not_be_met(text: str, size: int) -> None:
    with pytest.raises(RangeNotSatisfiableError):
        parse_range(text, size)


def test_entity_tags() -> None:
    assert etag_matches("*", "a", False) and not etag_matches("*", None, True)
    assert etag_matches('"b", "a"', "a", False) and not etag_matches('"b"', "a", False)
    assert etag_matches('W/"a"', "a", True) and not etag_matches('W/"a"', "a", False)


@given(st.integers(0, 99), st.integers(0, 2**52), st.integers(0, 9), st.integers(0, 2**64 - 1), st.integers(0, 99999))
def test_call_and_told_read_back(head: int, ident: int, attempt: int, extent: int, ms: int) -> None:
    said = AttemptHeader(head, ident, attempt, 1, 3.0, extent, "keyed", "zone", 5.0, ms / 1000, "op-1", "k.2")
    assert parse_attempt_header(said.encode()) == said
    told = NodeReport(attempt, ident % 100 / 4 or None, (1.0, 2.5), True)
    assert parse_node_report(told.encode()) == told
    assert parse_node_report(None) == NodeReport()


@pytest.mark.parametrize("raw", [b"", b"1;2;3", b"a;1;0;0;1;0;safe;cell;0;0;;", b"\xff" * 30])
def test_a_bad_call_is_told(raw: bytes) -> None:
    with pytest.raises(ValueError):  # any kind of it becomes a 400
        parse_attempt_header(raw)


@given(st.text(min_size=1, max_size=40), st.text(min_size=1, max_size=40))
def test_places_read_back(volume: str, key: str) -> None:
    try:
        raw = object_target(volume, key)
    except UnicodeEncodeError:
        return
    assert parse_object_target(raw) == (volume, key, "")


def pair() -> tuple[SocketStream, SocketStream]:
    a, b = socket.socketpair()
    return SocketStream(a), SocketStream(b)


def test_a_wait_ends_at_its_deadline_and_not_before() -> None:
    a, b = pair()
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        a.recv(10, began + 0.05)
    assert time.monotonic() - began >= 0.05
    b.sendall(b"x", time.monotonic() + 1)
    assert a.recv(10, time.monotonic() + 1) == b"x"
    big = bytes(8 << 20)
    with pytest.raises(TimeoutError):
        a.sendall(big, time.monotonic() + 0.05)
    a.close()
    b.close()


def test_closing_wakes_whoever_waits() -> None:
    a, b = pair()
    seen: list[BaseException] = []

    def read() -> None:
        try:
            a.recv(10, time.monotonic() + 10)
        except OSError as bad:
            seen.append(bad)

    job = gevent.spawn(read)
    gevent.sleep(0)
    began = time.monotonic()
    a.close()
    job.join(5)
    assert len(seen) == 1 and not isinstance(seen[0], TimeoutError) and time.monotonic() - began < 5
    b.close()


def test_two_readers_of_one_direction_are_a_mistake() -> None:
    a, b = pair()
    job = gevent.spawn(lambda: a.recv(1, time.monotonic() + 5))
    gevent.sleep(0)
    with pytest.raises(RuntimeError, match="two greenlets"):
        a.recv(1, time.monotonic() + 5)
    b.sendall(b"z", time.monotonic() + 1)
    assert job.get(timeout=5) == b"z"


def test_wakeup_events_are_set_once_and_time_out() -> None:
    event = WakeupEvent()
    assert not event.wait(time.monotonic() + 0.02)
    job = gevent.spawn(event.wait, time.monotonic() + 5)
    gevent.sleep(0)
    event.set()
    event.set()
    assert job.get(timeout=5) and event.wait(None)


def test_the_timer_wheel_drops_ticks_that_it_no_longer_needs() -> None:
    wheel = current_wheel()
    before = len(wheel.heap)
    for k in range(5000):
        event = WakeupEvent()
        wheel.remove(wheel.add(time.monotonic() + 30 + k * 0.004, event), event)
    assert len(wheel.heap) < before + 600


def test_a_throttle_lets_few_pass_each_turn_in_order() -> None:
    throttle, passed = AdmissionThrottle(3), list[int]()
    turns: list[int] = []

    def one(k: int) -> None:
        throttle.enter()
        passed.append(k)

    jobs = [gevent.spawn(one, k) for k in range(10)]
    while len(passed) < 10:
        before = len(passed)
        gevent.sleep(0)
        turns.append(len(passed) - before)
        gevent.sleep(0.001)
    gevent.joinall(jobs)
    assert passed == list(range(10))
    throttle.close()


def test_pools_reuse_connections_replace_dead_ones_and_keep_their_bound() -> None:
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


def test_a_connect_that_nobody_answers_times_out() -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fill = [socket.socket() for _ in range(4)]
    for sock in fill:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        connect(listener.getsockname(), began + 0.1)
    assert 0.1 <= time.monotonic() - began < 2
    for sock in [*fill, listener]:
        sock.close()


def test_a_server_that_breaks_in_the_middle_is_broken() -> None:
    def half(exchange: Exchange) -> None:
        exchange.begin(200, [], 100)
        exchange.write(b"x" * 50, time.monotonic() + 1)
        exchange.finish(False)

    server = Server(("127.0.0.1", 0), half)
    server.start()
    with pytest.raises(ConnectionLostError):
        call(ConnectionPool(server.address, PoolOptions(1, 1.0, 1.0)), b"GET", b"/", time.monotonic() + 2)
    server.stop()


def test_connections_and_their_descriptors_are_given_back() -> None:
    server = Server(("127.0.0.1", 0), lambda exchange: exchange.respond(200, [], b"", close=True))
    server.start()

    def one() -> None:
        pool = ConnectionPool(server.address, PoolOptions(1, 1.0, 1.0))
        call(pool, b"GET", b"/", time.monotonic() + 2)

    one()
    gc.collect()
    before = len(os.listdir("/proc/self/fd"))
    for _ in range(50):
        one()
    gevent.sleep(0.05)
    assert len(os.listdir("/proc/self/fd")) <= before + 3 and not server.connections
    server.stop()


def test_what_came_before_a_deadline_is_read_though_the_process_stood_still_past_it() -> None:
    """Else a head that is stopped and resumed takes a watch that has told it something for a silent one."""
    ours, theirs = socket.socketpair()
    stream = SocketStream(ours)

    def stand_still() -> None:
        theirs.send(b"told")
        time.sleep(0.06)  # nothing of this thread's loop runs: what a SIGSTOP does

    for wait_first in (True, False):
        gevent.spawn(stand_still)
        assert stream.recv(10, time.monotonic() + 0.02, wait_first) == b"told"
    gevent.spawn(stand_still)
    assert stream.recv_stamped(10, time.monotonic() + 0.02)[0] == b"told"
    with pytest.raises(TimeoutError):  # and silence stays silence
        stream.recv(10, time.monotonic() + 0.02, True)
    stream.close()
    theirs.close()


def connection_to(said: bytes, lenient: bool) -> tuple[ClientConnection, socket.socket]:
    """A connection whose peer has said this, and the peer."""
    listener = socket.create_server(("127.0.0.1", 0))
    connection = ConnectionPool(listener.getsockname(), PoolOptions(1, 1.0, 5.0, lenient=lenient)).acquire(
        time.monotonic() + 1
    )
    peer, _ = listener.accept()
    listener.close()
    peer.sendall(said)
    return connection, peer


@pytest.mark.parametrize("lenient", [False, True])
def test_a_close_ends_an_answer_without_a_length_where_the_pool_is_lenient(lenient: bool) -> None:
    """RFC 9112, 6.3. Our own nodes always name a length, so there an end in the middle is a node that died."""
    connection, peer = connection_to(b"HTTP/1.1 200 OK\r\n\r\nall of it", lenient)
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


LOOKS: dict[str, Callable[[SocketStream], Any]] = {
    "none": lambda stream: None,
    "at_end": SocketStream.at_end,
    "peer_left": SocketStream.peer_left,
    "has_unread": SocketStream.has_unread,
    "closed_by_peer": SocketStream.closed_by_peer,
    "a write": send_fails,
}


@pytest.mark.parametrize("look", LOOKS)
@pytest.mark.parametrize("lenient", [False, True])
def test_a_reset_ends_no_answer_whoever_met_it_first(lenient: bool, look: str) -> None:
    """Linux reports a break once; behind it the connection reads as one that ended. A look at the socket, as behind
    every wait that timed out, took a reset away, and a cut answer without a length would have passed for whole."""
    connection, peer = connection_to(b"HTTP/1.1 200 OK\r\n\r\nhalf", lenient)
    assert connection.read_head(time.monotonic() + 1).length is None
    assert connection.read_piece(time.monotonic() + 1) == b"half"
    reset(peer)
    time.sleep(0.02)
    LOOKS[look](connection.stream)
    for _ in range(3):
        with pytest.raises(ConnectionLostError):
            connection.read_piece(time.monotonic() + 1)
    assert connection.stream.is_broken()
    connection.close()


@pytest.mark.parametrize("look", LOOKS)
def test_a_reset_behind_unread_bytes_ends_no_answer(look: str) -> None:
    connection, peer = connection_to(b"HTTP/1.1 200 OK\r\n\r\nhalf", True)
    reset(peer)
    time.sleep(0.02)
    LOOKS[look](connection.stream)
    connection.read_head(time.monotonic() + 1)
    with pytest.raises(ConnectionLostError):
        connection.read_body(time.monotonic() + 1)
    connection.close()


def test_a_reset_as_the_wait_ends_ends_no_answer() -> None:
    """The process stands still over the reset and the deadline: the wait ends first, then the socket is looked at."""
    connection, peer = connection_to(b"HTTP/1.1 200 OK\r\n\r\nhalf", True)
    deadline = time.monotonic() + 0.1
    connection.read_head(deadline)
    assert connection.read_piece(deadline) == b"half"
    stall = gevent.spawn(lambda: (reset(peer), time.sleep(0.15)))
    with pytest.raises(ConnectionLostError):
        connection.read_piece(deadline)
    stall.join()
    connection.close()


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE])
def test_a_break_of_any_kind_is_no_deadline_and_no_end(code: int) -> None:
    ours, theirs = socket.socketpair()

    class Failing:
        failed = False

        def recv(self, size: int, flags: int = 0) -> bytes:
            if not self.failed:
                self.failed = True
                raise OSError(code, "broken")
            return b""

        def __getattr__(self, name: str) -> Any:
            return getattr(ours, name)

    stream = SocketStream(Failing())  # type: ignore[arg-type]
    for _ in range(3):
        with pytest.raises(ConnectionError) as met:
            stream.recv(10, time.monotonic() + 1)
        assert met.value.errno == code
    stream.close()
    theirs.close()


def test_space_around_an_answers_field_values_is_no_part_of_them() -> None:
    parser = ResponseParser(MessageLimits())
    parser.feed(b"HTTP/1.1 503 No\r\nNot-Started:\t1 \t\r\nServer-Load:  rif=1,lat_ms=2 \r\nContent-Length: 0 \r\n\r\n")
    status = parser.events[0]
    assert isinstance(status, ResponseHead) and status.headers[b"not-started"] == b"1" and status.length == 0
    assert status.headers[b"server-load"] == b"rif=1,lat_ms=2" and parser.complete
