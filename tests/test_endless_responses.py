"""A node that sends without an end: its response ends with an error in time, and other greenlets go on."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Iterator

import gevent
import pytest

from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.exceptions import HttpError
from fawnspool.net.socket_stream import connect

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# The beginning of a response, and what then comes again and again.
ENDLESS_RESPONSES = {
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "small chunks": (CHUNKED, b"2\r\nab\r\n"),
    "trailer": (CHUNKED + b"0\r\nX: ", b"x"),
    "body until the close": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
}
DEADLINE_S = 0.6
LONGEST_PAUSE_S = DEADLINE_S / 2  # of other greenlets; without turns it lasts as long as the response
STOPS_AFTER_S = 3 * DEADLINE_S  # the node goes on so long unless its connection ends


@contextlib.contextmanager
def endless_response(start: bytes, repeated: bytes) -> Iterator[ClientConnection]:
    """Yield a connection whose peer sends a response without an end, as fast as it can, from another thread."""
    listener = socket.create_server(("127.0.0.1", 0))
    stops_at = time.monotonic() + STOPS_AFTER_S

    def send() -> None:
        peer, _ = listener.accept()
        with contextlib.suppress(OSError), peer:
            peer.sendall(start)
            data = repeated * (65_536 // len(repeated))
            while time.monotonic() < stops_at:
                peer.sendall(data)

    sender = threading.Thread(target=send)
    sender.start()
    connection = ClientConnection(connect(listener.getsockname(), time.monotonic() + 1), lenient=True)
    try:
        yield connection
    finally:
        connection.close()
        sender.join()
        listener.close()


@pytest.mark.parametrize("case", ENDLESS_RESPONSES)
def test_endless_response_ends_in_time_and_lets_other_greenlets_run(case: str) -> None:
    """Guards against a response that keeps the process from all its other work until the node stops."""
    pauses_s = [0.0]

    def watch_pauses() -> None:
        while True:
            before = time.monotonic()
            gevent.sleep(0.001)
            pauses_s.append(time.monotonic() - before)

    watcher = gevent.spawn(watch_pauses)
    with endless_response(*ENDLESS_RESPONSES[case]) as connection:
        began = time.monotonic()
        with pytest.raises((TimeoutError, HttpError)):
            connection.read_head(began + DEADLINE_S)
            while connection.read_piece(began + DEADLINE_S) is not None:
                pass
        assert time.monotonic() - began < 2 * DEADLINE_S
    watcher.kill()
    assert max(pauses_s) < LONGEST_PAUSE_S
