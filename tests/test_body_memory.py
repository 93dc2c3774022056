"""Bodies that arrive in small pieces take little more memory than their bytes."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator

import pytest

from fawnspool.net.body_buffer import BodyBuffer, join_pieces
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import MessageLimits, RequestParser, ResponseParser
from fawnspool.net.server import Server
from fawnspool.net.socket_stream import connect

BODY = bytes(range(256)) * 1024
CHUNKED_BODY = b"".join(b"2\r\n%s\r\n" % BODY[at : at + 2] for at in range(0, len(BODY), 2)) + b"0\r\n\r\n"
HEADS = {
    "request": b"PUT / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n",
    "response": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
MEMORY_FACTOR = 4  # of the body's bytes: the buffer, its growth by a part, the result, and what was read last


@contextlib.contextmanager
def peak_memory() -> Iterator[Callable[[], int]]:
    """Yield a function that returns the most bytes allocated since."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@contextlib.contextmanager
def sender(data: bytes) -> Iterator[tuple[str, int]]:
    """Yield the address of a server that sends `data` on its first connection."""
    listener = socket.create_server(("127.0.0.1", 0))

    def send() -> None:
        peer, _ = listener.accept()
        with peer:
            peer.sendall(data)

    thread = threading.Thread(target=send)
    thread.start()
    try:
        yield listener.getsockname()
    finally:
        thread.join()
        listener.close()


@pytest.mark.parametrize("name", HEADS)
def test_what_one_read_brings_of_a_body_is_one_event(name: str) -> None:
    """Guards against a peer that multiplies the memory of its body by sending it in small chunks."""
    parser = RequestParser(MessageLimits()) if name == "request" else ResponseParser(MessageLimits())
    parser.feed(HEADS[name] + CHUNKED_BODY)
    assert len(parser.events) == 3 and parser.events[1] == BODY


def test_response_in_small_chunks_takes_little_more_memory_than_its_bytes() -> None:
    with sender(HEADS["response"] + CHUNKED_BODY) as address, peak_memory() as peak:
        connection = ClientConnection(connect(address, time.monotonic() + 1))
        deadline = time.monotonic() + 20
        assert connection.read_head(deadline).code == 200
        assert connection.read_body(deadline, len(BODY)) == BODY
        assert peak() < MEMORY_FACTOR * len(BODY)
        connection.close()


def test_body_buffer_returns_its_pieces_and_takes_little_more_memory_than_them() -> None:
    pieces = [BODY[at : at + 2] for at in range(0, len(BODY), 2)]
    with peak_memory() as peak:
        assert join_pieces(pieces) == BODY
        assert peak() < MEMORY_FACTOR * len(BODY)
    buffer = BodyBuffer()
    buffer.append(BODY)
    assert len(buffer) == len(BODY) and buffer.take() is BODY and buffer.take() == b""


def test_request_body_in_small_chunks_is_read_whole() -> None:
    received: list[bytes] = []

    def answer(exchange: Exchange) -> None:
        received.append(join_pieces(exchange.body()))
        exchange.respond(200, [], b"")

    server = Server(("127.0.0.1", 0), answer)
    server.start()
    stream = connect(server.address, time.monotonic() + 1)
    stream.sendall(HEADS["request"] + CHUNKED_BODY, time.monotonic() + 20)
    assert stream.recv(100, time.monotonic() + 20).startswith(b"HTTP/1.1 200") and received == [BODY]
    stream.close()
    server.stop()
