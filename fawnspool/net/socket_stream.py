"""A connected socket for greenlets: blocking-style calls, each wait with a deadline, cheap enough for one core."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import socket as std
import struct
import termios
import time

from fawnspool.net.arrival_clock import ArrivalClock
from fawnspool.net.exceptions import StreamClosedError
from fawnspool.net.listener import SO_TIMESTAMPNS
from fawnspool.net.readiness import READABLE, WRITABLE, ReadinessWaiter

_ANCILLARY_BYTES = 64
_TIMESPEC = struct.Struct("qq")
_INT = struct.Struct("i")
_LINGER = struct.Struct("ii")
_RESET_ON_CLOSE = _LINGER.pack(1, 0)  # socket(7), SO_LINGER: on, for 0 s
_TCP_CLOSE = 7  # tcp(7), first byte of TCP_INFO: the connection was reset
_TCP_CLOSE_WAIT = 8  # the peer has ended its side
_NANOSECONDS = 1e9

_arrival_clock = ArrivalClock(time.time(), time.monotonic())


def observe_clocks() -> None:
    """Let the arrival clock see both clocks. To be called often, also while nothing is read: see `ArrivalClock`."""
    _arrival_clock.observe(time.time(), time.monotonic())


class SocketStream:
    """One connected socket, used by one greenlet at a time in each direction.

    Its calls raise OSError where the socket breaks, and TimeoutError past a deadline (monotonic seconds) alone.

    The system reports a break once, to whoever looks first; what comes then reads as a clean end. So it is kept here,
    whichever call met it, and no end that follows is taken for a clean one.
    """

    __slots__ = ("_broken_by", "_reader", "_sock", "_writer", "closed")

    def __init__(self, sock: std.socket) -> None:
        sock.setblocking(False)
        self._sock = sock
        self.closed = False  # on this side
        self._broken_by: ConnectionError | None = None
        self._reader: ReadinessWaiter | None = None
        self._writer: ReadinessWaiter | None = None

    # ------------------------------------------------------------ reading

    def recv(self, size: int, deadline: float, wait_first: bool = False) -> bytes:
        """Read some bytes.

        Parameters
        ----------
        size
            Bytes at most.
        deadline
            Monotonic seconds.
        wait_first
            Nothing is expected to be there yet, so a try before the wait would be in vain.

        Returns
        -------
        bytes
            b"" at the end.
        """
        if wait_first:
            self._wait_readable(deadline)
        while True:
            try:
                return self._recv_now(size)
            except BlockingIOError:
                self._wait_readable(deadline)

    def recv_stamped(self, size: int, deadline: float) -> tuple[bytes, float]:
        """Wait, then read like `recv`, and tell when the bytes reached this host (monotonic seconds).

        The kernel's stamp counts: what waits while the process stands still is not as young as it looks.
        """
        self._wait_readable(deadline)
        while True:
            try:
                return self.recv_stamped_now(size)
            except BlockingIOError:
                self._wait_readable(deadline)

    def recv_stamped_now(self, size: int) -> tuple[bytes, float]:
        """Read what lies there, with its stamp. Raises BlockingIOError where nothing does."""
        try:
            data, ancillary, _, _ = self._sock.recvmsg(size, _ANCILLARY_BYTES)
        except OSError as error:
            raise self._noted(error) from None
        if not data:
            self._check_end()
        for level, kind, raw in ancillary:
            if level == std.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(raw) >= _TIMESPEC.size:
                seconds, nanoseconds = _TIMESPEC.unpack_from(raw)
                stamp = seconds + nanoseconds / _NANOSECONDS
                return data, _arrival_clock.arrival(stamp, time.time(), time.monotonic())
        return data, time.monotonic()

    def _recv_now(self, size: int) -> bytes:
        try:
            data = self._sock.recv(size)
        except OSError as error:
            raise self._noted(error) from None
        if not data:
            self._check_end()
        return data

    def _wait_readable(self, deadline: float) -> None:
        if self._reader is None:
            self._reader = ReadinessWaiter(self._sock.fileno(), READABLE)
        try:
            self._reader.wait(deadline)
        except TimeoutError:
            # A process that stood still finds the deadline over and what came before it at one stroke, and the loop
            # runs timers first. What lies there is not late: it is read.
            if self.closed or not self.at_end():
                raise
        if self.closed:
            raise StreamClosedError

    def expire_wait(self) -> None:
        """End the wait to read as if its deadline had come: what lies there is read still.

        To be called from the event loop itself.
        """
        if self._reader is not None:
            self._reader.expire()

    # ------------------------------------------------------------ writing

    def sendall(self, data: bytes | memoryview, deadline: float) -> None:
        """Hand all of it to the kernel until `deadline` (monotonic seconds)."""
        sent = self._send_now(data)
        if sent == len(data):
            return
        rest = memoryview(data)[sent:]
        if self._writer is None:
            self._writer = ReadinessWaiter(self._sock.fileno(), WRITABLE)
        while rest:
            self._writer.wait(deadline)
            if self.closed:
                raise StreamClosedError
            rest = rest[self._send_now(rest) :]

    def _send_now(self, data: bytes | memoryview) -> int:
        """Return how much of it the kernel takes at once."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise self._noted(error) from None

    # ------------------------------------------------------------ breaks and ends

    def _noted(self, error: OSError) -> OSError:
        """Return the error to raise. A break is kept, and never looks like a deadline, as an ETIMEDOUT would."""
        if isinstance(error, BlockingIOError) or self.closed:
            return error
        if self._broken_by is None:
            self._broken_by = ConnectionResetError(error.errno, error.strerror)
        return self._broken_by

    def _check_end(self) -> None:
        """Raise ConnectionError where the end that was read follows a break, one reported before or behind that end."""
        if self._broken_by is None and self._tcp_state() == _TCP_CLOSE:
            self._broken_by = ConnectionResetError(errno.ECONNRESET, "reset behind its end")
        if self._broken_by is not None:
            raise self._broken_by

    def is_broken(self) -> bool:
        """Tell whether any call met a break, or this side has closed it."""
        return self.closed or self._broken_by is not None

    # ------------------------------------------------------------ looks that neither wait nor take anything out

    def peek(self) -> bytes | None:
        """Return the first unread byte, b"" at the end, None where there is neither yet.

        Raises
        ------
        OSError
            Where the connection broke.
        """
        try:
            first = self._sock.recv(1, std.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as error:
            raise self._noted(error) from None
        if not first:
            self._check_end()
        return first

    def at_end(self) -> bool:
        """Tell whether the peer has closed, or sent what nobody has read."""
        try:
            return self.peek() is not None
        except OSError:
            return True

    def peer_left(self) -> bool:
        """Tell whether the peer has closed its side; bytes that wait to be read are no end."""
        try:
            return self.peek() == b""
        except OSError:
            return True

    def has_unread(self) -> bool:
        """Tell whether bytes of the peer wait to be read."""
        try:
            return bool(self.peek())
        except OSError:
            return False

    def closed_by_peer(self) -> bool:
        """Tell whether the peer has closed, also behind bytes that nobody has read, as far as the system knows."""
        return self._tcp_state() in (_TCP_CLOSE, _TCP_CLOSE_WAIT)

    def unread_bytes(self) -> int:
        """Return how many bytes wait to be read; 0 where the system does not tell."""
        return self._queued_bytes(termios.FIONREAD)

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes of ours the peer's system has not confirmed; 0 where this one does not tell."""
        return self._queued_bytes(termios.TIOCOUTQ)

    def _queued_bytes(self, request: int) -> int:
        try:
            return int(_INT.unpack(fcntl.ioctl(self._sock.fileno(), request, bytes(_INT.size)))[0])
        except OSError:
            return 0

    def _tcp_state(self) -> int:
        try:
            return int(self._sock.getsockopt(std.IPPROTO_TCP, std.TCP_INFO, 1)[0])
        except OSError:
            return 0

    # ------------------------------------------------------------ its end

    def end_writing(self) -> None:
        """Tell the peer that nothing more comes."""
        self._sock.shutdown(std.SHUT_WR)

    def close(self) -> None:
        """Close; greenlets that wait on it wake with StreamClosedError."""
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
            self._sock.setsockopt(std.SOL_SOCKET, std.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    # ------------------------------------------------------------ its beginning

    def finish_connect(self, deadline: float) -> int:
        """Wait until a connect under way has ended; return its error code, 0 for none."""
        self._writer = ReadinessWaiter(self._sock.fileno(), WRITABLE)
        self._writer.wait(deadline)
        return self._sock.getsockopt(std.SOL_SOCKET, std.SO_ERROR)


def connect(address: tuple[str, int], deadline: float) -> SocketStream:
    """Open a connection until `deadline` (monotonic seconds).

    Raises
    ------
    DeadlineExceededError
        Past the deadline.
    OSError
        Where it is refused or out of reach.
    """
    sock = std.socket(std.AF_INET, std.SOCK_STREAM)
    sock.setblocking(False)
    stream = SocketStream(sock)
    try:
        sock.setsockopt(std.IPPROTO_TCP, std.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # one that a signal interrupts goes on all the same
            code = stream.finish_connect(deadline)
    except BaseException:
        stream.close()
        raise
    if code:
        stream.close()
        raise OSError(code, errno.errorcode.get(code, str(code)))
    return stream
