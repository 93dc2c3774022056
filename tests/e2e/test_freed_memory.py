"""What a connection held is freed when it ends, whatever ended it, and does not wait for the cycle collector."""

from __future__ import annotations

import contextlib
import gc
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from tests.e2e.relayrig import RelayRig
from tests.e2e.rig import wait_for
from tests.e2e.test_relay import headers, request_bytes

CONNECTIONS = 12
LONG_VALUE = b"x" * 60_000
NODE_RESPONSES = {
    "head without end": b"HTTP/1.1 200 OK\r\nX: " + LONG_VALUE,
    "noise": b"\x00\xff\x13 nothing\r\n\r\n",
    "many fields": b"HTTP/1.1 200 OK\r\n" + b"X: 1\r\n" * 200,
    "bytes after the end": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + LONG_VALUE,
    "cut": b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + LONG_VALUE,
}
CLIENT_INPUT = {
    "request": request_bytes("/read", headers("r%d")),
    "request without a class": request_bytes("/nothing", headers("r%d")),
    "head without end": b"GET /read HTTP/1.1\r\nHost: h\r\nX-A: " + LONG_VALUE,
    "noise": b"\x00\xff\x13 nothing\r\n\r\n",
    "no host": b"GET /read HTTP/1.1\r\n\r\n",
    "half a head": b"GET /read HTTP/1.1\r\nHost",
    "half a body": request_bytes("/note", headers("r%d") | {"Content-Length": "60001"}) + LONG_VALUE,
    "bad chunk": request_bytes("/note", headers("r%d") | {"Transfer-Encoding": "chunked"}) + b"zz\r\n",
}


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[RelayRig]:
    rig = RelayRig(tmp_path)
    yield rig
    rig.stop()


def unreachable_after(rig: RelayRig, work: Callable[[int], None]) -> int:
    """Return how many objects only the cycle collector frees after some connections."""
    work(0)
    wait_for(lambda: not rig.program.handler.server.connections)
    gevent.sleep(0.1)
    gc.collect()
    gc.disable()
    try:
        for number in range(1, CONNECTIONS + 1):
            work(number)
        wait_for(lambda: not rig.program.handler.server.connections)
        gevent.sleep(0.1)
        return gc.collect()
    finally:
        gc.enable()


def send_and_close(rig: RelayRig, data: bytes, number: int) -> None:
    sock: Any = rig.raw(data.replace(b"r%d", b"r%d" % number))
    sock.settimeout(0.3)
    with contextlib.suppress(OSError):
        sock.recv(4096)
    sock.close()


@pytest.mark.parametrize("case", CLIENT_INPUT)
def test_ended_client_connection_leaves_nothing_to_the_cycle_collector(rig: RelayRig, case: str) -> None:
    """Guards against clients that fill the memory by connecting again and again: each left what it had sent last."""
    assert unreachable_after(rig, lambda number: send_and_close(rig, CLIENT_INPUT[case], number)) < CONNECTIONS


def test_evicted_connection_leaves_nothing_to_the_cycle_collector(rig: RelayRig) -> None:
    """Guards against a crowd that is evicted again and again: each connection left its parser and socket."""

    def connect_and_evict(number: int) -> None:
        sock: Any = rig.raw(b"")
        wait_for(lambda: rig.program.handler.server.new)
        assert rig.program.free_descriptor()
        sock.close()

    assert unreachable_after(rig, connect_and_evict) < CONNECTIONS


@pytest.mark.parametrize("case", NODE_RESPONSES)
def test_discarded_node_connection_leaves_nothing_to_the_cycle_collector(rig: RelayRig, case: str) -> None:
    """Guards against the same for the connections to nodes, which a spoilt response ends."""
    for shelf in rig.shelfs:
        shelf.script = lambda request: NODE_RESPONSES[case]
    data = request_bytes("/read", headers("r%d", wait="300"))
    assert unreachable_after(rig, lambda number: send_and_close(rig, data, number)) < CONNECTIONS
