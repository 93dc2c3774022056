"""Sockets of greenlets: deadlines, closes, and breaks that the system reports once."""

from __future__ import annotations

import errno
import socket
import time
from typing import Any

import gevent
import pytest

from fawnspool.net.socket_stream import SocketStream, connect


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
