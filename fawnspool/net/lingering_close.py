"""Closing a connection without losing the response that was sent last.

If received bytes are unread at the close, the system ends the connection with a reset, which tells the peer that its
bytes were not read. A reset also discards sent bytes that the peer has not received yet, so before the close, the
server waits briefly until the peer has received them.
"""

from __future__ import annotations

import time

import gevent

from fawnspool.net.socket_stream import SocketStream

LINGER_S = 0.2
_LINGER_BYTES = 262_144  # of a request that was answered before it was complete, at most this much is read
_READ_BYTES = 65536
_POLL_S = 0.002


def discard_rest(stream: SocketStream) -> None:
    """Read and drop the rest of a request that was answered early, so that no reset discards the response."""
    stream.end_writing()
    deadline = time.monotonic() + LINGER_S
    remaining_bytes = _LINGER_BYTES
    while remaining_bytes > 0 and (data := stream.recv(_READ_BYTES, deadline)):
        remaining_bytes -= len(data)


def await_acknowledged(stream: SocketStream) -> None:
    """Wait until the peer's system has acknowledged all sent bytes; received bytes stay unread."""
    deadline = time.monotonic() + LINGER_S
    while stream.unacknowledged_bytes() and time.monotonic() < deadline:
        gevent.sleep(_POLL_S)
