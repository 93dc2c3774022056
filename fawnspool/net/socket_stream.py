"""Blocking-style sockets for greenlets, with a deadline in every wait (`net/waits.py`), cheap enough for one core."""

from __future__ import annotations

import errno
import fcntl
import socket as std
import struct
import termios
import time

from fawnspool.net.arrival_clock import ArrivalClock
from fawnspool.net.exceptions import StreamClosedError
from fawnspool.net.listener import SO_TIMESTAMPNS
from fawnspool.net.waits import Watch

_STAMP_ROOM = 64
_TIMESPEC = struct.Struct("qq")
_TCP_CLOSE, _TCP_CLOSE_WAIT = 7, 8  # tcp(7), TCP_INFO, its first byte: it was reset; the peer has ended its side
_INT = struct.Struct("i")


_arrivals = ArrivalClock(time.time(), time.monotonic())


def look_at_clocks() -> None:
    """To be called often, also while nothing is read: see `ArrivalClock`."""
    _arrivals.look(time.time(), time.monotonic())


class Wire:
    """One connected socket, used by one greenlet at a time in each direction. Raises OSError when it breaks, and
    TimeoutError past a deadline (monotonic seconds) alone.

    The system reports a break once, to whoever looks first; what comes then reads as a clean end. So it is kept here,
    whichever call met it, and no end that follows is taken for a clean one."""

    __slots__ = ("broken", "closed", "reader", "sock", "writer")

    def __init__(self, sock: std.socket) -> None:
        sock.setblocking(False)
        self.sock, self.closed = sock, False
        self.broken: ConnectionError | None = None
        self.reader: Watch | None = None
        self.writer: Watch | None = None

    def recv(self, size: int, deadline: float, wait_first: bool = False) -> bytes:
        """Some bytes; b"" at the end. wait_first: nothing is expected to be there yet."""
        if wait_first:
            self._readable(deadline)
        while True:
            try:
                return self._read_now(size)
            except BlockingIOError:
                self._readable(deadline)

    def recv_stamped(self, size: int, deadline: float) -> tuple[bytes, float]:
        """Like `recv`, waiting first; and when the bytes reached this host (monotonic seconds), as the kernel stamped
        them: what waits while the process stands still is not as young as it looks."""
        self._readable(deadline)
        while True:
            try:
                return self.recv_now(size)
            except BlockingIOError:
                self._readable(deadline)

    def recv_now(self, size: int) -> tuple[bytes, float]:
        """What lies there, stamped. Raises BlockingIOError where nothing does."""
        try:
            data, extra, _, _ = self.sock.recvmsg(size, _STAMP_ROOM)
        except OSError as bad:
            raise self._noted(bad) from None
        if not data:
            self._check_end()
        for level, kind, raw in extra:
            if level == std.SOL_SOCKET and kind == SO_TIMESTAMPNS and len(raw) >= 16:
                seconds, nanos = _TIMESPEC.unpack_from(raw)
                return data, _arrivals.arrival(seconds + nanos / 1e9, time.time(), time.monotonic())
        return data, time.monotonic()

    def _read_now(self, size: int) -> bytes:
        try:
            data = self.sock.recv(size)
        except OSError as bad:
            raise self._noted(bad) from None
        if not data:
            self._check_end()
        return data

    def _noted(self, bad: OSError) -> OSError:
        """The error to raise. A break is kept, and never looks like a deadline (ETIMEDOUT is one of its forms)."""
        if isinstance(bad, BlockingIOError) or self.closed:
            return bad
        if self.broken is None:
            self.broken = ConnectionResetError(bad.errno, bad.strerror)
        return self.broken

    def _check_end(self) -> None:
        """An end was read. Raises ConnectionError where it is the rest of a break that was reported before, or that
        followed the peer's end."""
        if self.broken is None and self._tcp_state() == _TCP_CLOSE:
            self.broken = ConnectionResetError(errno.ECONNRESET, "reset behind its end")
        if self.broken is not None:
            raise self.broken

    def is_broken(self) -> bool:
        """Has any call met a break, or has this side closed it?"""
        return self.closed or self.broken is not None

    def expire_wait(self) -> None:
        """Whoever waits to read finds its time over now: what lies there is read still, as at any deadline. To be
        called from the loop itself."""
        if self.reader is not None:
            self.reader.late()

    def _readable(self, deadline: float) -> None:
        if self.reader is None:
            self.reader = Watch(self.sock.fileno(), 1)
        try:
            self.reader.wait(deadline)
        except TimeoutError:
            # A process that stood still finds the deadline over and what came before it at one stroke, and the loop
            # rings timers first. What lies there is not late: it is read.
            if self.closed or not self.at_end():
                raise
        if self.closed:
            raise StreamClosedError

    def sendall(self, data: bytes | memoryview, deadline: float) -> int:
        """Hand all of it to the kernel."""
        sent = self._send_now(data)
        if sent == len(data):
            return sent
        view = memoryview(data)[sent:]
        if self.writer is None:
            self.writer = Watch(self.sock.fileno(), 2)
        while view:
            self.writer.wait(deadline)
            if self.closed:
                raise StreamClosedError
            view = view[self._send_now(view) :]
        return len(data)

    def _send_now(self, data: bytes | memoryview) -> int:
        """How much of it the kernel takes at once."""
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as bad:
            raise self._noted(bad) from None

    def peek(self) -> bytes | None:
        """The first unread byte, b"" at the end, None where there is neither yet. Takes nothing out; raises OSError
        where the connection broke."""
        try:
            first = self.sock.recv(1, std.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as bad:
            raise self._noted(bad) from None
        if not first:
            self._check_end()
        return first

    def at_end(self) -> bool:
        """Has the peer closed (or sent what nobody has read)? Does not wait, takes nothing out."""
        try:
            return self.peek() is not None
        except OSError:
            return True

    def peer_left(self) -> bool:
        """Has the peer closed its side? Bytes that wait to be read are no end."""
        try:
            return self.peek() == b""
        except OSError:
            return True

    def unread(self) -> bool:
        """Do bytes of the peer wait to be read?"""
        try:
            return bool(self.peek())
        except OSError:
            return False

    def closed_by_peer(self) -> bool:
        """Has the peer closed, also behind bytes that nobody has read, as far as the system tells?"""
        return self._tcp_state() in (_TCP_CLOSE, _TCP_CLOSE_WAIT)

    def unread_bytes(self) -> int:
        """How many bytes wait to be read; 0 where the system does not tell."""
        return self._count(termios.FIONREAD)

    def unacknowledged(self) -> int:
        """How many bytes of ours the peer's system has not confirmed yet; 0 where this one does not tell."""
        return self._count(termios.TIOCOUTQ)

    def _count(self, what: int) -> int:
        try:
            return int(_INT.unpack(fcntl.ioctl(self.sock.fileno(), what, bytes(_INT.size)))[0])
        except OSError:
            return 0

    def _tcp_state(self) -> int:
        try:
            return int(self.sock.getsockopt(std.IPPROTO_TCP, std.TCP_INFO, 1)[0])
        except OSError:
            return 0

    def shutdown(self, how: int) -> None:
        self.sock.shutdown(how)

    def close(self) -> None:
        """Close; greenlets that wait on it wake with OSError."""
        if self.closed:
            return
        self.closed = True
        for wait in (self.reader, self.writer):
            if wait is not None:
                wait.end()
        self.sock.close()

    def reset(self) -> None:
        """Close with RST, as a dying process or a middlebox would."""
        if not self.closed:
            try:
                self.sock.setsockopt(std.SOL_SOCKET, std.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
            except OSError:
                self.closed = self.closed
            self.close()


def connect(address: tuple[str, int], deadline: float) -> Wire:
    """A new connection. Raises TimeoutError, or OSError where it is refused."""
    sock = std.socket(std.AF_INET, std.SOCK_STREAM)
    sock.setblocking(False)
    wire = Wire(sock)
    try:
        sock.setsockopt(std.IPPROTO_TCP, std.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # one that a signal interrupts goes on all the same
            wire.writer = Watch(sock.fileno(), 2)
            wire.writer.wait(deadline)
            code = sock.getsockopt(std.SOL_SOCKET, std.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, str(code)))
    except BaseException:
        wire.close()
        raise
    return wire
