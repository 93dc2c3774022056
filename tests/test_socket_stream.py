"""Socket streams for greenlets: deadlines, closes, and broken connections, which the system reports only once."""

from __future__ import annotations

import errno
import socket
import time
from typing import Any

import gevent
import pytest

from fawnspool.net.socket_stream import SocketStream, connect


def stream_pair() -> tuple[SocketStream, SocketStream]:
    first, second = socket.socketpair()
    return SocketStream(first), SocketStream(second)


def test_wait_ends_at_its_deadline_and_not_before() -> None:
    stream, peer = stream_pair()
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        stream.recv(10, began + 0.05)
    assert time.monotonic() - began >= 0.05
    peer.sendall(b"x", time.monotonic() + 1)
    assert stream.recv(10, time.monotonic() + 1) == b"x"
    large_data = bytes(8 << 20)
    with pytest.raises(TimeoutError):
        stream.sendall(large_data, time.monotonic() + 0.05)
    stream.close()
    peer.close()


def test_close_wakes_a_waiting_greenlet() -> None:
    stream, peer = stream_pair()
    errors: list[BaseException] = []

    def read() -> None:
        try:
            stream.recv(10, time.monotonic() + 10)
        except OSError as error:
            errors.append(error)

    reader = gevent.spawn(read)
    gevent.sleep(0)
    began = time.monotonic()
    stream.close()
    reader.join(5)
    assert len(errors) == 1 and not isinstance(errors[0], TimeoutError) and time.monotonic() - began < 5
    peer.close()


def test_second_reader_of_a_stream_is_rejected() -> None:
    stream, peer = stream_pair()
    reader = gevent.spawn(lambda: stream.recv(1, time.monotonic() + 5))
    gevent.sleep(0)
    with pytest.raises(RuntimeError, match="two greenlets"):
        stream.recv(1, time.monotonic() + 5)
    peer.sendall(b"z", time.monotonic() + 1)
    assert reader.get(timeout=5) == b"z"


def test_connect_times_out_if_the_peer_does_not_respond() -> None:
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    backlog_fillers = [socket.socket() for _ in range(4)]
    for sock in backlog_fillers:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        connect(listener.getsockname(), began + 0.1)
    assert 0.1 <= time.monotonic() - began < 2
    for sock in [*backlog_fillers, listener]:
        sock.close()


def test_bytes_before_the_deadline_are_read_after_the_process_was_stopped_past_it() -> None:
    """Otherwise a gateway that is stopped and resumed takes a watch that has sent a message for a silent one."""
    sock, peer_sock = socket.socketpair()
    stream = SocketStream(sock)

    def send_and_block() -> None:
        peer_sock.send(b"told")
        time.sleep(0.06)  # blocks the event loop, as a SIGSTOP does

    for wait_first in (True, False):
        gevent.spawn(send_and_block)
        assert stream.recv(10, time.monotonic() + 0.02, wait_first) == b"told"
    gevent.spawn(send_and_block)
    assert stream.recv_stamped(10, time.monotonic() + 0.02)[0] == b"told"
    with pytest.raises(TimeoutError):  # without bytes, the wait still times out
        stream.recv(10, time.monotonic() + 0.02, True)
    stream.close()
    peer_sock.close()


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE])
def test_broken_connection_raises_neither_a_timeout_nor_a_clean_end(code: int) -> None:
    sock, peer_sock = socket.socketpair()

    class FailingSocket:
        failed = False

        def recv(self, size: int, flags: int = 0) -> bytes:
            if not self.failed:
                self.failed = True
                raise OSError(code, "broken")
            return b""

        def __getattr__(self, name: str) -> Any:
            return getattr(sock, name)

    stream = SocketStream(FailingSocket())  # type: ignore[arg-type]
    for _ in range(3):
        with pytest.raises(ConnectionError) as raised:
            stream.recv(10, time.monotonic() + 1)
        assert raised.value.errno == code
    stream.close()
    peer_sock.close()
