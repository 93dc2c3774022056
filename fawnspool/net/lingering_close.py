"""Closing a connection without losing what was sent last.

Bytes that nobody has read make a close a reset, which tells their sender that nobody has. A reset also takes bytes of
ours with it that are still under way, so a close waits a little for these.
"""

from __future__ import annotations

import time

import gevent

from fawnspool.net.socket_stream import SocketStream

LINGER_S = 0.2
_LINGER_BYTES = 262_144  # of a request that was answered before it was complete
_READ_BYTES = 65536
_POLL_S = 0.002


def discard_rest(stream: SocketStream) -> None:
    """Read and drop the rest of a request that has its response, so that no reset takes the response."""
    stream.end_writing()
    deadline = time.monotonic() + LINGER_S
    left = _LINGER_BYTES
    while left > 0 and (data := stream.recv(_READ_BYTES, deadline)):
        left -= len(data)


def await_acknowledged(stream: SocketStream) -> None:
    """Wait until the peer's system has all bytes, and read nothing."""
    deadline = time.monotonic() + LINGER_S
    while stream.unacknowledged_bytes() and time.monotonic() < deadline:
        gevent.sleep(_POLL_S)
