"""Socket streams for greenlets: deadlines, closes, and broken connections, which the system reports only once."""

from __future__ import annotations

import errno
import socket
import time
from collections.abc import Callable
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


class EndlessSocket:
    """A socket on which a peer sends faster than its bytes are read, in pieces of one size."""

    def __init__(self, piece_bytes: int) -> None:
        self._sock, self._peer = socket.socketpair()
        self._peer.send(b"x")  # stays unread, so the socket is always readable
        self._piece = b"x" * piece_bytes

    def recv(self, size: int, flags: int = 0) -> bytes:
        return self._piece[:size]

    def recvmsg(self, size: int, ancillary_bytes: int = 0) -> tuple[bytes, list[Any], int, None]:
        return self._piece[:size], [], 0, None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


READS: dict[str, Callable[[SocketStream, int, float], Any]] = {
    "recv": SocketStream.recv,
    "recv_stamped": SocketStream.recv_stamped,
}


@pytest.mark.parametrize("piece_bytes", [1, 1000, 262_144])
def test_reads_without_a_pause_let_other_greenlets_run(piece_bytes: int) -> None:
    """Guards against a peer that keeps the process from all else for as long as it sends."""
    stream = SocketStream(EndlessSocket(piece_bytes))  # type: ignore[arg-type]
    reads_by_turn = [0]

    def take_turns() -> None:
        while True:
            reads_by_turn.append(0)
            gevent.sleep(0)

    other = gevent.spawn(take_turns)
    for _ in range(400):
        stream.recv(262_144, time.monotonic() + 5)
        reads_by_turn[-1] += 1
    other.kill()
    most_reads = max(reads_by_turn)
    assert most_reads <= 16 and most_reads * piece_bytes <= max(2 * 65_536, piece_bytes)
    stream.close()


@pytest.mark.parametrize("read", READS)
@pytest.mark.parametrize("piece_bytes", [1, 1000, 262_144])
def test_deadline_ends_reads_although_bytes_keep_arriving(read: str, piece_bytes: int) -> None:
    """Guards against a peer that sets aside the deadline of a message by never pausing."""
    stream = SocketStream(EndlessSocket(piece_bytes))  # type: ignore[arg-type]
    began = time.monotonic()
    with pytest.raises(TimeoutError):
        while time.monotonic() < began + 3:
            READS[read](stream, 262_144, began + 0.05)
    assert time.monotonic() - began < 1
    stream.close()


def test_long_message_before_the_deadline_is_read_after_the_process_was_stopped_past_it() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    stream = connect(listener.getsockname(), time.monotonic() + 1)
    peer, _ = listener.accept()
    peer.setblocking(False)
    deadline = time.monotonic() + 0.05
    sent_bytes = peer.send(bytes(1 << 20))
    time.sleep(0.1)  # blocks the event loop, as a SIGSTOP does
    received_bytes = 0
    while received_bytes < sent_bytes:
        received_bytes += len(stream.recv(262_144, deadline))
    with pytest.raises(TimeoutError):
        stream.recv(262_144, deadline)
    for sock in (peer, listener, stream):
        sock.close()
