"""A connected socket for greenlets: blocking calls, a deadline for each wait, and little CPU time per call."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import socket
import struct
import termios
import time

from fawnspool.net.arrival_clock import ArrivalClock
from fawnspool.net.exceptions import DeadlineExceededError, StreamClosedError
from fawnspool.net.listener import SO_TIMESTAMPNS
from fawnspool.net.readiness import READABLE, WRITABLE, ReadinessWaiter

_ANCILLARY_BYTES = 64
_TIMESPEC = struct.Struct("qq")
_INT = struct.Struct("i")
_LINGER = struct.Struct("ii")
_RESET_ON_CLOSE = _LINGER.pack(1, 0)  # socket(7), SO_LINGER: on, for 0 s
_TCP_CLOSE = 7  # tcp(7), first byte of TCP_INFO: the connection was reset
_TCP_CLOSE_WAIT = 8  # the peer has closed its side
_NANOSECONDS = 1e9
_TURN_BYTES = 65_536  # read so much without a wait, and other greenlets get their turn
_LEAST_READ_COST_BYTES = 4096  # a read counts as at least so much, as small pieces cost as much time
_MAX_LATE_TURNS = 16  # past a deadline, enough for bytes that arrived before it while the process was stopped

_arrival_clock = ArrivalClock(time.time(), time.monotonic())


def observe_clocks() -> None:
    """Update the arrival clock; must be called often, also while nothing is read (see `ArrivalClock`)."""
    _arrival_clock.observe(time.time(), time.monotonic())


class SocketStream:
    """One connected socket, used by at most one greenlet at a time in each direction.

    Its methods raise OSError if the connection breaks, and TimeoutError only at a deadline (monotonic seconds).

    The system reports only once that a connection broke, to the next call on the socket; later reads return no bytes,
    as at a clean end. So the stream remembers the error, whichever call got it, and never reports a clean end after it.

    A peer that sends without a pause neither keeps other greenlets from running nor outlasts a deadline: after
    `_TURN_BYTES`, a read first returns to the event loop, and only `_MAX_LATE_TURNS` reads may follow a deadline.
    """

    __slots__ = ("_broken_by", "_late_turns", "_reader", "_sock", "_turn_bytes", "_writer", "closed")

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self._sock = sock
        self.closed = False  # whether this side has closed the stream
        self._broken_by: tuple[int | None, str | None] | None = None  # the error's code and text
        self._reader: ReadinessWaiter | None = None
        self._writer: ReadinessWaiter | None = None
        self._turn_bytes = 0  # read since the last wait
        self._late_turns = 0  # waits that ended after their deadline, since one that did not

    # ------------------------------------------------------------ reading

    def recv(self, size: int, deadline: float, wait_first: bool = False) -> bytes:
        """Read some bytes, waiting for them if none have arrived or if the turn is over.

        Parameters
        ----------
        size
            Most bytes to read.
        deadline
            Monotonic seconds.
        wait_first
            Wait before the first read, as no bytes are expected to have arrived yet.

        Returns
        -------
        bytes
            b"" at the end of the stream.
        """
        if wait_first or self._turn_bytes >= _TURN_BYTES:
            self._wait_readable(deadline)
        while True:
            try:
                return self._recv_now(size)
            except BlockingIOError:
                self._wait_readable(deadline)

    def recv_stamped(self, size: int, deadline: float) -> tuple[bytes, float]:
        """Wait, then read as `recv` does; also return when the bytes reached this host (monotonic seconds).

        The time is the kernel's timestamp, so that it is also right for bytes that arrived while the process was
        stopped or busy.
        """
        self.await_readable(deadline)
        while True:
            try:
                return self.recv_stamped_now(size)
            except BlockingIOError:
                self._wait_readable(deadline)

    def await_readable(self, deadline: float) -> None:
        """Return to the event loop until bytes or the end of the stream can be read."""
        self._wait_readable(deadline)

    def recv_stamped_now(self, size: int) -> tuple[bytes, float]:
        """Read bytes that have arrived, with their arrival time. Raises BlockingIOError if there are none."""
        try:
            data, ancillary, _, _ = self._sock.recvmsg(size, _ANCILLARY_BYTES)
        except OSError as error:
            raise self._recorded(error) from None
        if not data:
            self._check_clean_end()
        for level, kind, raw in ancillary:
            if level == socket.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(raw) >= _TIMESPEC.size:
                seconds, nanoseconds = _TIMESPEC.unpack_from(raw)
                stamp = seconds + nanoseconds / _NANOSECONDS
                return data, _arrival_clock.arrival(stamp, time.time(), time.monotonic())
        return data, time.monotonic()

    def _recv_now(self, size: int) -> bytes:
        try:
            data = self._sock.recv(size)
        except OSError as error:
            raise self._recorded(error) from None
        if not data:
            self._check_clean_end()
        self._turn_bytes += max(len(data), _LEAST_READ_COST_BYTES)
        return data

    def _wait_readable(self, deadline: float) -> None:
        """Return to the event loop until the socket is readable; this begins a new turn."""
        if self._reader is None:
            self._reader = ReadinessWaiter(self._sock.fileno(), READABLE)
        self._turn_bytes = 0
        try:
            self._reader.wait(deadline)
        except TimeoutError:
            if not self._may_read_late():
                raise
        else:
            if self.closed:
                raise StreamClosedError
            if time.monotonic() <= deadline:
                self._late_turns = 0
            elif not self._may_read_late():
                raise DeadlineExceededError

    def _may_read_late(self) -> bool:
        """Return whether bytes are read although the deadline has passed.

        When a stopped process continues, the event loop may find both an expired deadline and bytes that arrived
        before it. These bytes are not late. As later ones can't be told from them, the number of such reads is limited.
        """
        self._late_turns += 1
        return self._late_turns <= _MAX_LATE_TURNS and not self.closed and self.at_end()

    def expire_wait(self) -> None:
        """End the wait to read as if its deadline had passed; bytes that have arrived are still read.

        Must be called from the event loop's own greenlet.
        """
        if self._reader is not None:
            self._reader.expire()

    # ------------------------------------------------------------ writing

    def sendall(self, data: bytes | memoryview, deadline: float) -> None:
        """Pass all of `data` to the kernel by `deadline` (monotonic seconds)."""
        sent_bytes = self._send_now(data)
        if sent_bytes == len(data):
            return
        rest = memoryview(data)[sent_bytes:]
        if self._writer is None:
            self._writer = ReadinessWaiter(self._sock.fileno(), WRITABLE)
        while rest:
            self._writer.wait(deadline)
            if self.closed:
                raise StreamClosedError
            rest = rest[self._send_now(rest) :]

    def _send_now(self, data: bytes | memoryview) -> int:
        """Send without waiting; return how many bytes the kernel accepted."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._recorded(error) from None

    # ------------------------------------------------------------ broken connections

    def _recorded(self, error: OSError) -> OSError:
        """Return the error to raise, and remember it if the connection broke.

        A broken connection always raises ConnectionResetError: an ETIMEDOUT would be a TimeoutError, and so look like
        a deadline. Each call raises an error of its own, as the traceback of a kept one would refer to the stream.
        """
        if isinstance(error, BlockingIOError) or self.closed:
            return error
        if self._broken_by is None:
            self._broken_by = (error.errno, error.strerror)
        return ConnectionResetError(*self._broken_by)

    def _check_clean_end(self) -> None:
        """Raise ConnectionError if the connection broke, before or after the end of the stream that was just read."""
        if self._broken_by is None and self._tcp_state() == _TCP_CLOSE:
            self._broken_by = (errno.ECONNRESET, "connection was reset after its end")
        if self._broken_by is not None:
            raise ConnectionResetError(*self._broken_by)

    def is_broken(self) -> bool:
        """Return whether any call found the connection broken, or this side has closed it."""
        return self.closed or self._broken_by is not None

    # ------------------------------------------------------------ checks that neither wait nor consume bytes

    def peek(self) -> bytes | None:
        """Return the first unread byte, b"" at the end of the stream, or None if nothing has arrived.

        Raises
        ------
        OSError
            The connection broke.
        """
        try:
            first_byte = self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as error:
            raise self._recorded(error) from None
        if not first_byte:
            self._check_clean_end()
        return first_byte

    def at_end(self) -> bool:
        """Return whether a read would not wait: the connection has ended, or received bytes are unread."""
        try:
            return self.peek() is not None
        except OSError:
            return True

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed its side; False while bytes before the close are unread."""
        try:
            return self.peek() == b""
        except OSError:
            return True

    def has_unread(self) -> bool:
        """Return whether received bytes wait to be read."""
        try:
            return bool(self.peek())
        except OSError:
            return False

    def closed_by_peer(self) -> bool:
        """Return whether, according to the system, the peer has closed its side, even if bytes before it are unread."""
        return self._tcp_state() in (_TCP_CLOSE, _TCP_CLOSE_WAIT)

    def unread_bytes(self) -> int:
        """Return how many received bytes are unread; 0 if the system does not report it."""
        return self._queued_bytes(termios.FIONREAD)

    def unacknowledged_bytes(self) -> int:
        """Return how many sent bytes the peer's system has not acknowledged; 0 if the system does not report it."""
        return self._queued_bytes(termios.TIOCOUTQ)

    def _queued_bytes(self, request: int) -> int:
        try:
            return int(_INT.unpack(fcntl.ioctl(self._sock.fileno(), request, bytes(_INT.size)))[0])
        except OSError:
            return 0

    def _tcp_state(self) -> int:
        try:
            return int(self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0])
        except OSError:
            return 0

    # ------------------------------------------------------------ closing

    def end_writing(self) -> None:
        """Close this side for writing, which the peer reads as the end of the stream."""
        self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the stream; greenlets that wait on it get StreamClosedError."""
        if self.closed:
            return
        self.closed = True
        for waiter in (self._reader, self._writer):
            if waiter is not None:
                waiter.close()
        self._sock.close()

    def reset(self) -> None:
        """Close with RST, as a dying process or a middlebox would."""
        if self.closed:
            return
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    # ------------------------------------------------------------ connecting

    def finish_connect(self, deadline: float) -> int:
        """Wait until the connect in progress has ended; return its error code, 0 for success."""
        self._writer = ReadinessWaiter(self._sock.fileno(), WRITABLE)
        self._writer.wait(deadline)
        return self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def connect(address: tuple[str, int], deadline: float) -> SocketStream:
    """Open a connection by `deadline` (monotonic seconds).

    Raises
    ------
    DeadlineExceededError
        The deadline passed first.
    OSError
        The connection was refused or the address is unreachable.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    stream = SocketStream(sock)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # a connect interrupted by a signal (EINTR) continues too
            code = stream.finish_connect(deadline)
    except BaseException:
        stream.close()
        raise
    if code:
        stream.close()
        raise OSError(code, errno.errorcode.get(code, str(code)))
    return stream
