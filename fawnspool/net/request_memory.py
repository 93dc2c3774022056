"""What one connection's request takes of the memory for requests, from its first byte to its answer."""

from __future__ import annotations

from gevent.hub import get_hub

from fawnspool.connections.resource_budget import PARSED_HEAD_FACTOR, REQUEST_BYTES, SMALL_MESSAGE_BYTES
from fawnspool.net.memory_gate import MemoryGate, MemoryShortError
from fawnspool.net.socket_stream import SocketStream

READ_AHEAD_BYTES = 65_536  # read at once of requests that were sent one behind the other, if there is memory for it
SHORT_READ_BYTES = SMALL_MESSAGE_BYTES  # otherwise


class RequestMemory:
    """The memory of the present request of one connection; without a gate there is no limit.

    Parameters
    ----------
    stream
        The connection's stream, whose wait ends when the request is shed.

    Attributes
    ----------
    is_shed
        The request is to be refused, as its memory is needed for others.
    """

    __slots__ = ("_gate", "_head_bytes", "_stream", "is_shed")

    def __init__(self, gate: MemoryGate[RequestMemory] | None, stream: SocketStream) -> None:
        self._gate = gate
        self._stream = stream
        self._head_bytes = 0
        self.is_shed = False

    def begin(self, deadline: float) -> int:
        """Take memory for a request whose first bytes have arrived, and return how many bytes to read at once.

        Raises
        ------
        MemoryShortError
            There is none by the deadline (monotonic seconds).
        """
        self.is_shed = False
        gate = self._gate
        if gate is None or gate.try_hold(self, REQUEST_BYTES + READ_AHEAD_BYTES):
            return READ_AHEAD_BYTES
        gate.hold(self, REQUEST_BYTES, deadline)
        return SHORT_READ_BYTES

    def note_read(self, unparsed_bytes: int) -> None:
        """Give back what was taken for more bytes than came."""
        if self._gate is not None:
            self._gate.shrink(self, _with_excess(REQUEST_BYTES, unparsed_bytes))

    def begin_next(self, unparsed_bytes: int) -> None:
        """Note that the next request begins with bytes that were read before."""
        self.is_shed = False
        self._head_bytes = 0
        if self._gate is not None:
            self._gate.begin_next(self, _with_excess(REQUEST_BYTES, unparsed_bytes))

    def hold_head(self, head_bytes: int, deadline: float) -> None:
        """Take memory for a head of up to so many bytes. Raises MemoryShortError as `begin` does."""
        if self._gate is not None and not self._head_bytes:
            self._head_bytes = PARSED_HEAD_FACTOR * head_bytes
            self._gate.hold(self, REQUEST_BYTES + self._head_bytes, deadline)

    def hold_body(self, body_bytes: int, deadline: float) -> None:
        """Take memory for so many bytes of a body. Raises MemoryShortError as `begin` does."""
        if self._gate is not None:
            self._gate.hold(self, _with_excess(REQUEST_BYTES + self._head_bytes, body_bytes), deadline)

    def complete(self) -> None:
        """Note that the request was read completely."""
        if self._gate is not None:
            self._gate.complete(self)

    def release(self) -> None:
        """Give back all memory, as the request has ended and no other one has begun."""
        self._head_bytes = 0
        if self._gate is not None:
            self._gate.release(self)

    def shed(self) -> None:
        """Refuse the request, if it is still being read."""
        self.is_shed = True
        get_hub().loop.run_callback(self._stream.expire_wait)

    def check_not_shed(self) -> None:
        """Raise MemoryShortError if the request is to be refused."""
        if self.is_shed:
            raise MemoryShortError


def _with_excess(base_bytes: int, message_bytes: int) -> int:
    return base_bytes + max(0, message_bytes - SMALL_MESSAGE_BYTES)
