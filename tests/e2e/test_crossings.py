"""Race conditions of the live gateway on real sockets: bytes, a close or a signal arrive between two steps.

Each test forces its race and doesn't wait for chance: by a socket whose sends do not run the event loop (`plain_sock`),
by a connect that waits for the test (`LateConnect`), by a peer that follows a script, or by stopping the periodic check
for disconnected clients, which would hide the fault.
"""

from __future__ import annotations

import builtins
import contextlib
import itertools
import json
import os
import re
import socket as std
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent.event import Event

from fawnspool.connections.watch_timeouts import WatchTimeouts, watch_timeouts
from fawnspool.gateway.json_splitter import ObjectSplitter
from fawnspool.net import connection_pool
from fawnspool.net import server as net_server
from fawnspool.net.server_options import ServerOptions
from fawnspool.net.socket_stream import SocketStream
from fawnspool.relay.discovery import HEARTBEAT_S
from fawnspool.relay.process import read_config
from fawnspool.scheduling import interface
from fawnspool.standins.platform import DiscoveryServer
from tests.e2e.relayrig import SETTINGS, WATCH_HEAD, RawDiscovery, RelayRig, chunk, headers, plain_sock, request_bytes
from tests.e2e.rig import wait_for
from tests.e2e.test_relay import gateway_process, record_events, record_outcomes

KEYED = {"Idempotency_Key": "k"}


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[RelayRig]:
    relay_rig = RelayRig(tmp_path)
    yield relay_rig
    relay_rig.stop()


class LateConnect:
    """Delays all connects to shelfs except the first `undelayed` ones until the test sets `may_connect`.

    The gateway's deadline of the connect is ignored. `started` counts the connects.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.may_connect, self.started, self.undelayed, original = Event(), 0, 1 << 30, connection_pool.connect

        def connect(address: tuple[str, int], deadline: float) -> SocketStream:
            self.started += 1
            if self.started > self.undelayed:
                self.may_connect.wait()
            return original(address, time.monotonic() + 5)

        monkeypatch.setattr(connection_pool, "connect", connect)


@pytest.fixture
def late_connect(monkeypatch: pytest.MonkeyPatch) -> LateConnect:
    return LateConnect(monkeypatch)


def keyed_window(seconds: float) -> list[dict[str, Any]]:
    """Return the classes, where the keyed class has this deduplication window and a deadline that ends no attempt."""
    return [
        request_class | ({"window": seconds, "aim": 8.0, "deadline": 9.0} if request_class["name"] == "note" else {})
        for request_class in SETTINGS["classes"]
    ]


# ------------------------------------------------------------------ retries


def test_retry_is_not_sent_if_its_connection_opens_after_the_window(tmp_path: Path, late_connect: LateConnect) -> None:
    """Guards against a keyed request that is retried within its window but reaches its shelf after it.

    Seen with seed 10 of brink, scope zone.
    """
    rig = RelayRig(tmp_path, classes=keyed_window(1.0))
    try:
        outcomes, shelf = record_outcomes(rig), rig.shelfs[0]
        shelf.closes_after_script = True
        shelf.script = lambda request: b""  # an end without a response to a request that may have run
        late_connect.started, late_connect.undelayed = 0, 1  # only the first attempt gets a connection at once
        sock = rig.raw(request_bytes("/note", headers("w1", wait="8000") | {"Idempotency-Key": "k"}, "PUT", b"x"))
        wait_for(lambda: rig.received_ids() == ["w1"] and late_connect.started == 2)
        gevent.sleep(1.05)  # past the window, before the request's deadline
        late_connect.may_connect.set()
        assert sock.recv(4096).startswith(b"HTTP/1.1 50")
        assert rig.received_ids() == ["w1"] and [o.result for o in outcomes] == [
            interface.Result.RESET,
            interface.Result.NOT_SENT,
        ]
    finally:
        rig.stop()


def test_retry_within_its_window_is_sent(tmp_path: Path) -> None:
    rig = RelayRig(tmp_path, classes=keyed_window(6.0))
    try:
        shelf = rig.shelfs[0]
        shelf.closes_after_script = True
        shelf.script = lambda request: b"" if len(shelf.requests) == 1 else None
        response: Any = rig.client().ask("PUT", "/note", b"x", **headers("w1"), **KEYED)
        assert response.status == 200 and rig.received_ids() == ["w1", "w1"]
    finally:
        rig.stop()


# ------------------------------------------------------------------ clients that disconnect


def wait_until_done(rig: RelayRig) -> None:
    """Wait until the gateway has no open requests."""
    wait_for(lambda: not rig.core.pending and not rig.program.handler.open)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_request_is_not_sent_if_its_client_disconnects_while_the_connection_opens(
    rig: RelayRig, late_connect: LateConnect, how: str
) -> None:
    rig.core.checks.stop()  # the periodic check would detect the disconnect as well, a little later
    late_connect.started, late_connect.undelayed = 0, 0
    sock = rig.raw(request_bytes("/read", headers("r1")))
    wait_for(lambda: late_connect.started == 1)
    if how == "half":
        sock.shutdown(std.SHUT_WR)
    else:
        if how == "reset":
            sock.setsockopt(std.SOL_SOCKET, std.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()
    wait_for(lambda: next(iter(rig.core.pending.values())).exchange.client_has_disconnected())
    late_connect.may_connect.set()
    wait_until_done(rig)
    assert rig.received_ids() == []


def test_request_is_not_retried_if_its_client_disconnects_between_two_attempts(rig: RelayRig) -> None:
    rig.core.checks.stop()
    shelf, outcomes = rig.shelfs[0], record_outcomes(rig)
    shelf.closes_after_script = True
    sock = rig.raw(b"")

    def script(request: Any) -> bytes:
        sock.close()  # disconnects before the first attempt has ended
        return b""

    shelf.script = script
    sock.sendall(request_bytes("/read", headers("r1")))
    wait_for(lambda: len(outcomes) == 2)
    wait_until_done(rig)
    assert rig.received_ids() == ["r1"] and [o.result for o in outcomes] == [
        interface.Result.RESET,
        interface.Result.NOT_SENT,
    ]


@pytest.mark.parametrize("trailing_bytes", [1, 60_000, 300_000])
def test_close_after_unread_bytes_is_detected(rig: RelayRig, trailing_bytes: int) -> None:
    """The next request, or noise, was sent between the request being handled and the close of its connection."""
    shelf, outcomes = rig.shelfs[0], record_outcomes(rig)
    shelf.may_respond.clear()
    sock = plain_sock(rig.listen)
    sock.sendall(request_bytes("/read", headers("r1")))
    wait_for(lambda: rig.received_ids() == ["r1"])
    feeder = gevent.get_hub().threadpool.spawn(sock.sendall, b"x" * trailing_bytes)
    wait_for(feeder.ready)
    sock.close()
    wait_for(lambda: [o.result for o in outcomes] == [interface.Result.CANCELLED])
    wait_until_done(rig)


def test_pipelined_requests_are_served_in_order(rig: RelayRig, monkeypatch: pytest.MonkeyPatch) -> None:
    shelf = rig.shelfs[0]
    shelf.may_respond.clear()
    sock = rig.raw(request_bytes("/read", headers("r1")))
    wait_for(lambda: rig.received_ids() == ["r1"])
    peeks, original = list[int](), SocketStream.peek
    monkeypatch.setattr(SocketStream, "peek", lambda stream: peeks.append(1) or original(stream))
    sock.sendall(request_bytes("/read", headers("r2", shard=1)) + request_bytes("/read", headers("r3", shard=1))[:50])
    before = len(peeks)
    wait_for(lambda: len(peeks) >= before + 3)  # the periodic check has peeked after the first request
    assert rig.program.handler.server.states() == {"in hand": 1}
    shelf.may_respond.set()
    sock.sendall(request_bytes("/read", headers("r3", shard=1))[50:])
    response = b""
    while response.count(b"HTTP/1.1 200") < 3 or not response.endswith(b"r3 GET /read"):
        response += sock.recv(4096)
    assert [response.index(b"%s GET /read" % r) for r in (b"r1", b"r2", b"r3")] == sorted(
        response.index(b"%s GET /read" % r) for r in (b"r1", b"r2", b"r3")
    )


def test_queued_requests_of_two_hundred_disconnected_clients_are_not_sent(tmp_path: Path) -> None:
    """The loop is blocked while they disconnect, so no periodic check has run when the node has capacity again."""
    rig = RelayRig(tmp_path, sockets=1024)
    try:
        rig.core.checks.stop()
        rig.shelfs[0].may_respond.clear()
        first = rig.raw(request_bytes("/read", headers("first", volume="1", obj="1")))
        wait_for(lambda: rig.received_ids() == ["first"])
        rig.core.loop.module.node_queues[0].concurrency.limit = 1.0
        rig.core.loop.module._shed_load = lambda node_queue: None  # keeps the requests queued however long they wait
        socks = [
            plain_sock(rig.listen, request_bytes("/read", headers(f"r{k}", volume=f"{k + 2:x}", obj=f"{k + 2:x}")))
            for k in range(200)
        ]
        wait_for(lambda: rig.core.loop.module.node_queues[0].queue.queued == 200)
        for sock in socks:
            sock.close()
        rig.shelfs[0].may_respond.set()
        assert first.recv(4096).startswith(b"HTTP/1.1 200")
        wait_until_done(rig)
        assert rig.received_ids() == ["first"]
    finally:
        rig.stop()


def test_request_is_not_sent_to_a_node_that_drains_while_the_connection_opens(
    rig: RelayRig, late_connect: LateConnect
) -> None:
    late_connect.started, late_connect.undelayed = 0, 0
    sock = rig.raw(request_bytes("/read", headers("r1", wait="600")))
    wait_for(lambda: late_connect.started == 1)
    rig.discovery.put(rig.shelfs[0], "s-0", "leaving")
    wait_for(lambda: rig.program.discovery.version == rig.discovery.version)
    late_connect.may_connect.set()
    assert sock.recv(4096).startswith(b"HTTP/1.1 50")
    assert rig.received_ids() == []


# ------------------------------------------------------------------ requests that cross a close


def idle_connection(rig: RelayRig, ident: str) -> std.socket:
    """Return an idle connection that has carried a request."""
    before = len(rig.program.handler.server.idle)
    sock = plain_sock(rig.listen, request_bytes("/read", headers(ident)))
    wait_for(lambda: len(rig.program.handler.server.idle) == before + 1)
    assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    return sock


def read_to_close(sock: std.socket) -> bytes:
    """Return the bytes received until the peer closes the connection."""
    sock.setblocking(False)
    response = b""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        try:
            part = sock.recv(4096)
        except BlockingIOError:
            gevent.sleep(0.005)
            continue
        if not part:
            return response
        response += part
    raise AssertionError("the peer did not close the connection within 10 s")


@pytest.mark.parametrize("used", [False, True])
def test_connection_with_an_unread_request_is_not_evicted(rig: RelayRig, used: bool) -> None:
    """The connection still counts as idle: its bytes are in the kernel and its greenlet has not run."""
    server = rig.program.handler.server
    if used:
        requesting, idle = idle_connection(rig, "r0"), idle_connection(rig, "r1")
    else:
        requesting = plain_sock(rig.listen)
        wait_for(lambda: len(server.new) == 1)
        idle = plain_sock(rig.listen)
        wait_for(lambda: len(server.new) == 2)
    requesting.sendall(request_bytes("/read", headers("r2")))
    assert server.evict_waiting()  # the loop does not run between these two lines
    assert read_to_close(idle) == b""
    server.draining = True
    assert read_to_close(requesting).startswith(b"HTTP/1.1 200") and rig.received_ids()[-1] == "r2"


def test_no_connection_is_evicted_if_all_have_unread_requests(rig: RelayRig) -> None:
    server = rig.program.handler.server
    requesting = idle_connection(rig, "r0")
    requesting.sendall(request_bytes("/read", headers("r1")))
    assert not server.evict_waiting()
    server.draining = True
    assert read_to_close(requesting).startswith(b"HTTP/1.1 200")


def test_request_between_the_eviction_decision_and_the_close_may_be_sent_again(
    rig: RelayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bytes arrive after the gateway has found none and before it closes: it neither forwards nor answers them."""
    server = rig.program.handler.server
    sock, original = idle_connection(rig, "r0"), SocketStream.has_unread

    def unread(stream: SocketStream) -> bool:
        has_bytes = original(stream)
        sock.sendall(request_bytes("/read", headers("r1")))
        return has_bytes

    monkeypatch.setattr(SocketStream, "has_unread", unread)
    assert server.evict_waiting()
    with contextlib.suppress(ConnectionResetError):
        assert read_to_close(sock) == b""
    monkeypatch.undo()
    assert rig.received_ids() == ["r0"]
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200 and rig.received_ids() == ["r0", "r1"]


@pytest.mark.parametrize("used", [False, True])
def test_request_that_arrives_at_the_idle_timeout_is_served(rig: RelayRig, used: bool) -> None:
    """The loop is blocked past the timeout, and then finds both the request and the timeout."""
    server = rig.program.handler.server
    server.options.idle_timeout_s = server.options.first_request_timeout_s = 0.3
    sock = idle_connection(rig, "r0") if used else plain_sock(rig.listen)
    wait_for(lambda: server.idle or server.new)
    sock.sendall(request_bytes("/read", headers("r1")))
    time.sleep(0.5)
    server.draining = True
    assert read_to_close(sock).startswith(b"HTTP/1.1 200") and rig.received_ids()[-1] == "r1"


@pytest.mark.parametrize("used", [False, True])
def test_request_that_arrives_before_the_drain_is_served(rig: RelayRig, used: bool) -> None:
    server = rig.program.handler.server
    sock = idle_connection(rig, "r0") if used else plain_sock(rig.listen)
    wait_for(lambda: server.idle or server.new)
    sock.sendall(request_bytes("/read", headers("r1")))
    server.drain(time.monotonic() + 5)
    assert read_to_close(sock).startswith(b"HTTP/1.1 200")
    assert rig.received_ids()[-1] == "r1"


def test_partial_request_at_the_drain_may_be_completed(rig: RelayRig) -> None:
    server, request = rig.program.handler.server, request_bytes("/read", headers("r1"))
    sock = idle_connection(rig, "r0")
    sock.sendall(request[:30])
    server.drain(time.monotonic() + 5)
    gevent.sleep(0)
    sock.sendall(request[30:])
    assert read_to_close(sock).startswith(b"HTTP/1.1 200")


def test_pipelined_request_before_the_last_response_is_answered(rig: RelayRig) -> None:
    """It is served whether or not it was read with the first one, and only the last response ends the connection."""
    rig.program.handler.server.draining = True
    sock = plain_sock(rig.listen, request_bytes("/read", headers("r1")) + request_bytes("/read", headers("r2")))
    response = read_to_close(sock)
    assert response.count(b"HTTP/1.1 200") == 2 and response.count(b"Connection: close") == 1
    assert response.index(b"r1 GET /read") < response.index(b"Connection: close") < response.index(b"r2 GET /read")
    wait_for(lambda: not rig.program.handler.server.connections)
    assert rig.received_ids() == ["r1", "r2"]


def test_request_after_the_last_response_is_not_read(rig: RelayRig) -> None:
    """The response has announced the close, and the system's reset shows the client that its request was not read."""
    rig.program.handler.server.draining = True
    sock = plain_sock(rig.listen, request_bytes("/read", headers("r1")))
    assert b"Connection: close" in read_to_close(sock)
    sock.setblocking(True)
    sock.sendall(request_bytes("/read", headers("r2")))
    gevent.sleep(0.02)
    with pytest.raises((BrokenPipeError, ConnectionResetError)):
        sock.sendall(b"x")
    assert rig.received_ids() == ["r1"]


def test_connection_to_a_full_server_is_served_later_and_not_closed(tmp_path: Path) -> None:
    rig = RelayRig(tmp_path, sockets=64)
    try:
        server, shelf = rig.program.handler.server, rig.shelfs[0]
        shelf.may_respond.clear()
        rig.core.loop.module._shed_load = lambda node_queue: None
        busy = [
            plain_sock(rig.listen, request_bytes("/read", headers(f"b{k}", volume=f"{k + 1:x}")))
            for k in range(server.options.max_connections)
        ]
        wait_for(lambda: len(rig.program.handler.open) == server.options.max_connections)
        waiting = plain_sock(rig.listen, request_bytes("/read", headers("late", shard=1)))
        gevent.sleep(0.05)
        assert "late" not in rig.received_ids()
        waiting.setblocking(False)
        with pytest.raises(BlockingIOError):  # neither closed nor reset
            waiting.recv(1)
        busy[0].close()
        assert read_to_close(waiting).startswith(b"HTTP/1.1 200")
    finally:
        rig.stop()


def test_server_accepts_connections_after_an_unknown_accept_error(rig: RelayRig) -> None:
    server = rig.program.handler.server
    original, failed = server.sock, []

    class FailingListener:
        def accept(self) -> Any:
            if not failed:
                failed.append(1)
                raise OSError(os.EX_PROTOCOL, "odd")
            return original.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(original, name)

    server.sock = FailingListener()
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200  # ends the accept call in progress
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200 and failed


def test_server_accepts_connections_after_a_failure_to_set_one_up(
    rig: RelayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    failed = list[int]()

    def failing_stream(sock: std.socket) -> SocketStream:
        if not failed:
            failed.append(1)
            sock.close()
            raise OSError(os.EX_PROTOCOL, "odd")
        return SocketStream(sock)

    monkeypatch.setattr(net_server, "SocketStream", failing_stream)
    sock = plain_sock(rig.listen)
    wait_for(lambda: failed)
    sock.close()
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200


def test_an_exception_ends_neither_the_event_loop_nor_the_periodic_checks(
    rig: RelayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    failed, prune = list[int](), rig.core.pools.prune

    def failing_prune() -> None:
        if not failed:
            failed.append(1)
            raise KeyError("odd")
        prune()

    monkeypatch.setattr(rig.core.pools, "prune", failing_prune)
    rig.core.loop.post(lambda: failed[99])
    wait_for(lambda: failed)
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
    rig.shelfs[0].may_respond.clear()
    sock = rig.raw(request_bytes("/read", headers("r2")))
    wait_for(lambda: rig.received_ids() == ["r1", "r2"])
    sock.close()
    wait_until_done(rig)  # only the periodic check detects this disconnect


# ------------------------------------------------------------------ start and shutdown


@pytest.mark.parametrize("hangs", ["before its answer", "in its answer"])
def test_each_request_gets_one_complete_response_at_shutdown(
    rig: RelayRig, late_connect: LateConnect, hangs: str
) -> None:
    """SIGTERM arrives while requests are queued, connecting, in flight, partly answered, partly read and not begun."""
    shelf, server = rig.shelfs[0], rig.program.handler.server
    kept = idle_connection(rig, "k0")
    if hangs == "before its answer":
        shelf.may_respond.clear()
    else:
        shelf.script = lambda request: b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"
    rig.core.loop.module._shed_load = lambda node_queue: None
    rig.core.loop.module.node_queues[0].concurrency.limit = 1.0
    rows = {"out": headers("out", volume="1", wait="1900"), "held": headers("held", volume="2", wait="1900")}
    socks = {"out": rig.raw(request_bytes("/read", rows["out"]))}
    wait_for(lambda: "out" in rig.received_ids())
    socks["held"] = rig.raw(request_bytes("/read", rows["held"]))
    wait_for(lambda: rig.core.loop.module.node_queues[0].queue.queued == 1)
    late_connect.started, late_connect.undelayed = 0, 0
    socks["connecting"] = rig.raw(request_bytes("/read", headers("connecting", shard=1, volume="3", wait="1900")))
    wait_for(lambda: late_connect.started == 1)
    partial_request = request_bytes("/read", headers("half", shard=1, volume="4"))
    socks["half"] = rig.raw(partial_request[:60])
    silent = rig.raw(b"")
    wait_for(lambda: len(server.new) == 1)
    ending = gevent.spawn(rig.program.drain)
    again = gevent.spawn(rig.program.drain)  # a second signal
    rig.program.reload()  # and a new configuration
    wait_for(lambda: rig.program.handler.last_answer_by < float("inf"))
    socks["half"].sendall(partial_request[60:])
    ending.join(timeout=10)
    again.join(timeout=10)
    assert rig.program.ended.is_set()
    for name, sock in socks.items():
        response = b""
        while part := sock.recv(4096):
            response += part
        assert response.count(b"HTTP/1.1 ") == 1 and response[9:12] in (b"502", b"503", b"504"), name
    assert silent.recv(1) == b"" and read_to_close(kept) == b""
    late_connect.may_connect.set()
    gevent.sleep(0.05)
    assert "connecting" not in rig.received_ids() and rig.received_ids().count("out") == 1


def test_start_does_not_wait_for_discovery_or_clients(tmp_path: Path) -> None:
    """Discovery is down and many idle clients connect: health checks and requests are served from the saved list."""
    rig = RelayRig(tmp_path, sockets=128)
    rig.discovery.is_down = True
    with gateway_process(rig, 128):
        flood = [plain_sock(rig.listen) for _ in range(200)]
        assert rig.client().ask("GET", "/_health").status == 200
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200 and flood


def test_sighup_while_the_program_loads_is_handled(tmp_path: Path) -> None:
    """Without a handler, an early SIGHUP ends the process; if ignored, it would leave the old configuration in use."""
    rig = RelayRig(tmp_path)
    other = DiscoveryServer()
    other.hosts, other.version = dict(rig.discovery.hosts), rig.discovery.version
    start = (
        "import os, runpy, signal, sys, fawnspool.relay.config as c\n"
        "real = c.load\n"
        "def load(path, environ):\n"
        "    got = real(path, environ)\n"
        "    if not hit:\n"
        "        hit.append(1); os.replace(path + '.next', path); os.kill(os.getpid(), signal.SIGHUP)\n"
        "    return got\n"
        "hit = []; c.load = load\n"
        "runpy.run_module('fawnspool.relay', run_name='__main__')\n"
    )
    old = rig.path.read_bytes()
    rig.write(other)
    rig.path.rename(str(rig.path) + ".next")
    rig.path.write_bytes(old)
    with gateway_process(rig, start=("-c", start), up=lambda: other.watchers) as process:
        assert process.poll() is None
    other.server.stop()


# ------------------------------------------------------------------ discovery


def host_entry(rig: RelayRig, health: str = "active", host: str = "s-0") -> dict[str, Any]:
    return rig.discovery.hosts[host] | {"health": health}


def list_line(seq: int, *rows: dict[str, Any], is_snapshot: bool = False, indent: int | None = None) -> bytes:
    return chunk(json.dumps({"seq": seq, "whole": is_snapshot, "hosts": rows}, indent=indent).encode() + b"\n")


@contextlib.contextmanager
def raw_discovery(
    rig: RelayRig, script: Callable[[int, Any, str], None], silence: float = 0.3
) -> Iterator[RawDiscovery]:
    """Move the gateway to a discovery service that runs `script`, and shorten its timeout for silent watches."""
    raw = RawDiscovery(script)
    rig.program.discovery.timeouts = WatchTimeouts(silence, silence)
    host, port = raw.address.split(":")
    rig.program.discovery.move((host, int(port)))
    try:
        yield raw
    finally:
        raw.stop()


def is_draining(rig: RelayRig) -> bool:
    known = [s for s in rig.program.discovery.nodes.values() if s.name == "s-0"]
    return bool(known) and known[0].phase is interface.Phase.DRAINING


SILENT_WATCHES = {
    "after its head": [WATCH_HEAD],
    "after a line": [WATCH_HEAD, chunk(b"\n")],
    "in a line": [WATCH_HEAD, chunk(b"\n"), chunk(b'{"seq": 99, "who')],
    "in an indented object": [WATCH_HEAD, chunk(b'{\n "seq": 99,\n')],
}


@pytest.mark.parametrize("case", SILENT_WATCHES)
def test_silent_watch_is_reopened_at_once(rig: RelayRig, case: str) -> None:
    """The gateway must know a change 6 s after its watch fell silent, which leaves no time for a pause."""
    lists, times, seq = record_events(rig, interface.EndpointUpdate), list[float](), rig.discovery.version

    def script(number: int, sock: Any, target: str) -> None:
        times.append(time.monotonic())
        if number < 2:  # the first two watches fall silent
            for part in SILENT_WATCHES[case]:
                sock.sendall(part)
            return
        sock.sendall(WATCH_HEAD + list_line(seq + 1, host_entry(rig, "leaving")))

    with raw_discovery(rig, script):
        wait_for(lambda: is_draining(rig))
    assert all(b - a > 0.25 for a, b in itertools.pairwise(times))
    assert interface.UpdateKind.POLL_FAILED not in [event.kind for event in lists]


def test_drain_is_received_after_silent_reset_and_refused_watches(rig: RelayRig) -> None:
    seq, times = rig.discovery.version, list[float]()

    def script(number: int, sock: Any, target: str) -> None:
        times.append(time.monotonic())
        if number in (0, 3):
            return sock.sendall(WATCH_HEAD + chunk(b"\n"))  # then silent
        if number == 1:
            sock.sendall(WATCH_HEAD)
            sock.setsockopt(std.SOL_SOCKET, std.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            return sock.close()  # resets the connection after the response's head
        if number == 2:
            return sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        sock.sendall(WATCH_HEAD + list_line(seq + 1, host_entry(rig, "leaving")))

    with raw_discovery(rig, script) as raw:
        wait_for(lambda: is_draining(rig), 6)
        assert len(raw.targets) == 5 and times[-1] - times[0] < 6.0
    before = len(rig.shelfs[0].requests)
    assert rig.client().ask("GET", "/read", **headers("r1", wait="300")).status in (502, 503, 504)
    assert len(rig.shelfs[0].requests) == before


def test_bytes_without_a_complete_line_do_not_keep_a_watch_alive(rig: RelayRig) -> None:
    seq = rig.discovery.version

    def script(number: int, sock: Any, target: str) -> None:
        if number:
            return sock.sendall(WATCH_HEAD + list_line(seq + 1, host_entry(rig, "leaving")))
        sock.sendall(WATCH_HEAD)
        for _ in range(200):
            sock.sendall(chunk(b" "))
            gevent.sleep(0.05)

    with raw_discovery(rig, script) as raw:
        wait_for(lambda: is_draining(rig))
        assert len(raw.targets) == 2


def test_watch_timeouts_leave_time_for_a_new_call() -> None:
    """A change must be known 6 s after a watch fell silent; its last heartbeat may be as late as that moment."""
    times = watch_timeouts(HEARTBEAT_S)
    assert times.silence_s > HEARTBEAT_S and times.silence_s + times.call_s <= 6.0


def test_json_object_may_span_several_lines(rig: RelayRig) -> None:
    seq = rig.discovery.version
    entry = host_entry(rig, "leaving") | {"note": 'a "brace" { [ and a back\\slash'}
    response = (
        WATCH_HEAD
        + list_line(seq + 1, entry, indent=2)
        + chunk(b"\n")
        + list_line(seq + 2, host_entry(rig, "leaving", "s-1"), indent=1)
    )
    with raw_discovery(rig, lambda number, sock, target: sock.sendall(response)):
        wait_for(lambda: rig.program.discovery.version == seq + 2)
        assert is_draining(rig)


def test_splitter_yields_complete_objects_for_any_split_into_pieces() -> None:
    stream_bytes = b'\n{"a": [1,\n 2]}\n\n{"b": "}\\""}\n[\n\n]\nx\n{'
    expected = [b"", b'{"a": [1,\n 2]}', b"", b'{"b": "}\\""}', b"[\n\n]", b"x"]
    for size in (1, 2, 3, 7, 100):
        splitter = ObjectSplitter(1000)
        assert [
            w for k in range(0, len(stream_bytes), size) for w in splitter.feed(stream_bytes[k : k + size])
        ] == expected
    with pytest.raises(ValueError, match="over 1000 bytes"):
        for _ in range(300):
            list(splitter.feed(b"[1,2\n"))


def test_older_snapshot_after_a_newer_delta_is_rejected(rig: RelayRig) -> None:
    seq, before = rig.discovery.version, rig.discovery.snapshot()["hosts"]

    def script(number: int, sock: Any, target: str) -> None:
        if number == 0:
            return sock.sendall(
                WATCH_HEAD + list_line(seq + 1, host_entry(rig, "leaving")) + list_line(seq, *before, is_snapshot=True)
            )
        sock.sendall(WATCH_HEAD + list_line(seq + 2, host_entry(rig, "leaving", "s-1")))

    with raw_discovery(rig, script, 1.0) as raw:
        wait_for(lambda: rig.program.discovery.version == seq + 2)
        assert is_draining(rig) and len(raw.targets) == 2 and f"index={seq + 1}" in raw.targets[1]


def test_snapshots_of_a_service_that_restarted_its_versions_are_finally_accepted(rig: RelayRig) -> None:
    rows = rig.discovery.snapshot()["hosts"]
    with raw_discovery(
        rig, lambda number, sock, target: sock.sendall(WATCH_HEAD + list_line(1, *rows, is_snapshot=True)), 1.0
    ):
        wait_for(lambda: rig.program.discovery.version == 1)


def test_heartbeat_of_a_watch_confirms_the_saved_list(rig: RelayRig) -> None:
    lists, kinds = (
        record_events(rig, interface.EndpointUpdate),
        [interface.UpdateKind.CACHED, interface.UpdateKind.DELTA],
    )
    with raw_discovery(rig, lambda number, sock, target: sock.sendall(WATCH_HEAD + chunk(b"\n"))):
        rig.program.discovery.start(rig.discovery.snapshot())
        wait_for(lambda: [event.kind for event in lists] == kinds)
        assert lists[1].entries == () and not rig.core.loop.module.endpoints.is_cached


def test_last_of_two_consecutive_reloads_takes_effect(rig: RelayRig) -> None:
    first, last = DiscoveryServer(), DiscoveryServer()
    first.hosts = last.hosts = dict(rig.discovery.hosts)
    first.version = last.version = rig.discovery.version
    for other in (first, last):
        rig.write(other)
        gevent.spawn(rig.program.reload)
        gevent.sleep(0)
    wait_for(lambda: last.watchers and not first.watchers and not rig.discovery.watchers)
    assert rig.program.discovery.pool.address == rig.program.config.discovery == last.server.address
    wait_for(lambda: rig.program.discovery.pool.open_count == 1)
    for other in (first, last):
        other.server.stop()


def test_pushed_list_is_watched(tmp_path: Path) -> None:
    """The protocol's push is a watch: a single call would never report a drain."""
    rig = RelayRig(tmp_path, discovery="push")
    try:
        rig.discovery.put(rig.shelfs[0], "s-0", "leaving")
        wait_for(lambda: is_draining(rig))
        rig.discovery.is_down = True
        for queue in list(rig.discovery.watchers):
            queue.put(None)
        wait_for(lambda: not rig.discovery.watchers)
        rig.discovery.is_down = False
        wait_for(lambda: rig.discovery.watchers)
    finally:
        rig.stop()


def test_idle_clients_do_not_prevent_the_connection_to_discovery(tmp_path: Path) -> None:
    """While discovery is down, clients use all descriptors except the few that the gateway needs itself."""
    rig = RelayRig(tmp_path, sockets=64)
    rig.discovery.is_down = True
    with gateway_process(rig, 64) as process:
        kept = [rig.raw(request_bytes("/read", headers(f"k{k}", shard=k % 2))) for k in range(80)]
        assert kept[0].recv(4096).startswith(b"HTTP/1.1 ")
        quiet = [rig.raw(b"") for _ in range(80)]
        rig.discovery.put(rig.shelfs[0], "s-0", "leaving")
        rig.discovery.is_down = False
        wait_for(lambda: rig.discovery.watchers, 6)
        assert rig.client().ask("GET", "/read", **headers("r2", shard=1)).status == 200
        gevent.sleep(0.05)
        before = len(rig.shelfs[0].requests)
        assert rig.client().ask("GET", "/read", **headers("r1", wait="300")).status in (502, 503, 504)
        assert len(rig.shelfs[0].requests) == before and process.poll() is None and quiet


def no_descriptor(monkeypatch: pytest.MonkeyPatch, target: Any, name: str, times: int) -> list[int]:
    """Make the first `times` calls of `target.name` fail for want of a file descriptor; return a list of them."""
    original, failed = getattr(target, name), list[int]()

    def fails(*args: Any, **kw: Any) -> Any:
        if len(failed) < times:
            failed.append(1)
            raise OSError(24, "Too many open files")
        return original(*args, **kw)

    monkeypatch.setattr(target, name, fails)
    return failed


def test_watch_without_a_descriptor_frees_one(rig: RelayRig, monkeypatch: pytest.MonkeyPatch) -> None:
    spare = [idle_connection(rig, f"r{k}") for k in range(3)]
    lists, failed = (
        record_events(rig, interface.EndpointUpdate),
        no_descriptor(monkeypatch, connection_pool, "connect", 2),
    )
    host, port = rig.discovery.address.split(":")
    rig.program.discovery.move((host, int(port)))
    wait_for(lambda: rig.discovery.watchers and len(failed) == 2)
    assert [read_to_close(s) for s in spare[:2]] == [b"", b""]  # the two that were idle for longest
    assert interface.UpdateKind.POLL_FAILED not in [event.kind for event in lists]


def test_reload_without_a_descriptor_frees_one(rig: RelayRig, monkeypatch: pytest.MonkeyPatch) -> None:
    other = DiscoveryServer()
    other.hosts, other.version = dict(rig.discovery.hosts), rig.discovery.version
    rig.write(other)
    idle_connection(rig, "r0")
    failed = no_descriptor(monkeypatch, builtins, "open", 1)
    rig.program.reload()
    wait_for(lambda: other.watchers)
    assert failed
    other.server.stop()


# ------------------------------------------------------------------ the wall clock


@pytest.mark.parametrize("step", [5.0, -5.0, 3600.0, -3600.0])
def test_setting_the_wall_clock_does_not_change_a_requests_deadline(
    rig: RelayRig, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    """The clock is set between a request's arrival and its reading: its age and its remaining time stay right."""
    sock, original = idle_connection(rig, "r0"), time.time
    sock.sendall(request_bytes("/read", headers("r1", wait="1500")))
    monkeypatch.setattr(time, "time", lambda: original() + step)
    rig.program.handler.server.draining = True
    assert read_to_close(sock).startswith(b"HTTP/1.1 200")
    left = [int(a.headers[b"request-timeout-ms"]) for a in rig.shelfs[0].requests if a.ident == "r1"]
    assert len(left) == 1 and 300 < left[0] <= 1000 * SETTINGS["classes"][0]["aim"]
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200


# ------------------------------------------------------------------ responses of shelfs


def test_late_second_response_is_not_taken_for_the_next_requests_response(rig: RelayRig) -> None:
    shelf = rig.shelfs[0]

    def twice(request: Any) -> bytes:
        raw_response = (
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(request.plain_body()) + request.plain_body()
        )
        conn = next(c for c in shelf.server.connections if c not in shelf.server.idle)
        gevent.sleep(0.03)  # longer than the delay of the previous request's second response
        gevent.spawn_later(0.008, conn.send, raw_response)
        return raw_response

    shelf.script = twice
    client = rig.client()
    for number in range(6):
        response: Any = client.ask("GET", "/read", **headers(f"r{number}"))
        assert (response.status, response.data) == (200, b"r%d GET /read" % number)


def answer_without_length(rig: RelayRig, end: Callable[[Any, Any], None]) -> None:
    """Make shelf 0 answer its first request without a length; `end(connection, request)` sends the body."""
    shelf = rig.shelfs[0]

    def script(request: Any) -> bytes | None:
        if len(shelf.requests) > 1:
            return None
        conn = next(c for c in shelf.server.connections if c not in shelf.server.idle)
        conn.send(b"HTTP/1.1 200 OK\r\n\r\n")
        end(conn, request)
        conn.closing = True
        return b""

    shelf.script = script


@pytest.mark.parametrize("pieces", [1, 5])
@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_response_without_length_that_ends_by_close_is_forwarded(rig: RelayRig, method: str, pieces: int) -> None:
    """RFC 9112, 6.3. Incident: such complete responses were discarded, so reads ran twice and writes failed."""
    outcomes, body = record_outcomes(rig), bytes(range(256)) * 40 * pieces

    def end(conn: Any, request: Any) -> None:
        for index in range(pieces):
            conn.send(body[index * 10_240 : (index + 1) * 10_240])
            gevent.sleep(0.005)

    answer_without_length(rig, end)
    client = rig.client()
    response: Any = (
        client.ask("GET", "/read", **headers("r1"))
        if method == "GET"
        else client.ask("PUT", "/note", b"x", **headers("r1"), **KEYED)
    )
    assert (response.status, response.data) == (200, body) and rig.received_ids() == ["r1"]
    assert [o.result for o in outcomes] == [interface.Result.SERVED]


@pytest.mark.parametrize("how", ["at once", "later", "as its time ends"])
def test_response_without_length_that_is_reset_is_not_forwarded(rig: RelayRig, how: str) -> None:
    """A reset must not end a response. In the last case the process is blocked past the reset and the deadline."""
    outcomes = record_outcomes(rig)
    aim = SETTINGS["classes"][0]["aim"]

    def end(conn: Any, request: Any) -> None:
        conn.send(b"half of it")
        gevent.sleep({"at once": 0.0, "later": 0.02, "as its time ends": aim * 0.8}[how])
        conn.stream.reset()
        if how == "as its time ends":
            time.sleep(aim * 0.4)

    answer_without_length(rig, end)
    response: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (response.status, response.data) == (200, b"r1 GET /read")
    assert [o.result for o in outcomes] == [interface.Result.RESET, interface.Result.SERVED]


@pytest.mark.parametrize(
    "said",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nw1 PUT",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nw1 PUT\r\n",
    ],
    ids=["length", "head", "chunked"],
)
def test_close_does_not_end_a_response_with_framing(rig: RelayRig, said: bytes) -> None:
    shelf, outcomes = rig.shelfs[0], record_outcomes(rig)
    shelf.closes_after_script = True
    shelf.script = lambda request: said if len(shelf.requests) == 1 else None
    response: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (response.status, response.data) == (200, b"r1 GET /read")
    assert [o.result for o in outcomes] == [interface.Result.RESET, interface.Result.SERVED]


def test_endless_response_affects_only_its_own_attempt(rig: RelayRig) -> None:
    shelf = rig.shelfs[0]

    def script(request: Any) -> bytes | None:
        if request.ident != "r1":
            return None
        conn = next(c for c in shelf.server.connections if c not in shelf.server.idle)
        with contextlib.suppress(OSError):
            conn.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(200):
                conn.send(b"1\r\nx\r\n")
                gevent.sleep(0.01)
        conn.closing = True
        return b""

    shelf.script = script
    began = time.monotonic()
    first = rig.raw(request_bytes("/read", headers("r1", wait="600", volume="1")))
    assert rig.client().ask("GET", "/read", **headers("r2", volume="2")).status == 200
    assert first.recv(4096).startswith(b"HTTP/1.1 50") and time.monotonic() - began < 3.0


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot"])
def test_connection_that_opens_after_the_deadline_carries_no_request(
    tmp_path: Path, late_connect: LateConnect, effect: str
) -> None:
    """The connection is closed unused. The request never ran, so it may be rejected whatever its idempotence."""
    rig = RelayRig(tmp_path, classes=[c | {"repeat": effect} for c in SETTINGS["classes"]])
    try:
        late_connect.started, late_connect.undelayed = 0, 0
        sock = rig.raw(request_bytes("/note", headers("w1", wait="200") | {"Idempotency-Key": "k"}, "PUT", b"x"))
        assert sock.recv(4096).startswith(b"HTTP/1.1 50")
        late_connect.may_connect.set()
        wait_until_done(rig)
        assert rig.received_ids() == []
    finally:
        rig.stop()


# ------------------------------------------------------------------ bad configurations


INVALID_CONFIGURATIONS = {
    "no classes": ({"classes": []}, "classes: expected at least one entry"),
    "no plans": ({"grades": []}, "grades: expected at least one entry"),
    "an aim of 0": ({"classes": [SETTINGS["classes"][0] | {"aim": 0}]}, r"classes\.0\.aim: expected a number above 0"),
    "no weight": ({"grades": [SETTINGS["grades"][0] | {"shares": 0}]}, r"grades\.0\.shares"),
    "an odd effect": ({"classes": [SETTINGS["classes"][0] | {"repeat": "often"}]}, "repeat is unknown: 'often'"),
    "nobody": ({"siblings": 0}, "siblings: expected a number above 0"),
}


@pytest.mark.parametrize("case", INVALID_CONFIGURATIONS)
def test_invalid_configuration_ends_the_start_with_an_error_message(tmp_path: Path, case: str) -> None:
    change, message = INVALID_CONFIGURATIONS[case]
    path = tmp_path / "config.json"
    path.write_text(
        json.dumps({"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": SETTINGS | change})
    )
    done = subprocess.run(
        [sys.executable, "-m", "fawnspool.relay"],
        cwd=Path(__file__).parents[2],
        timeout=30,
        env={"RELAY_CONFIG": str(path), "PATH": "/usr/bin:/bin"},
        capture_output=True,
        text=True,
    )
    assert done.returncode == 2 and re.search(message, done.stderr) and "config.json" in done.stderr
    assert "Traceback" not in done.stderr


@pytest.mark.parametrize("file_state", ["half", "none"])
def test_reload_waits_until_the_configuration_is_complete(rig: RelayRig, file_state: str) -> None:
    """The signal arrives between two writes, or between the removal of the old file and the creation of the new one."""
    other = DiscoveryServer()
    other.hosts, other.version = dict(rig.discovery.hosts), rig.discovery.version
    rig.write(other)
    content = rig.path.read_text()
    if file_state == "half":
        rig.path.write_text(content[: len(content) // 2])
    else:
        rig.path.unlink()
    reader = gevent.spawn(rig.program.reload)
    gevent.sleep(0)  # runs its first read
    assert not reader.dead and rig.discovery.watchers
    rig.path.write_text(content)
    wait_for(lambda: other.watchers and not rig.discovery.watchers)
    other.server.stop()


def test_start_waits_until_the_configuration_is_complete(rig: RelayRig) -> None:
    content = rig.path.read_text()
    rig.path.write_text(content[:100])
    reader = gevent.spawn(read_config, str(rig.path), {})
    gevent.sleep(0)
    assert not reader.dead
    rig.path.write_text(content)
    assert reader.get(timeout=5).discovery == rig.discovery.server.address


def test_invalid_configuration_on_sighup_is_rejected_and_the_old_one_stays(rig: RelayRig) -> None:
    rig.settings = rig.settings | {"classes": []}
    rig.write(DiscoveryServer())
    rig.program.reload()
    assert rig.program.config.discovery == rig.discovery.server.address
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200


def test_listener_that_closes_while_its_acceptor_lets_others_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an acceptor that ends with an error in the log, as a shutdown closed its listener meanwhile."""
    server = net_server.Server(("127.0.0.1", 0), lambda exchange: None, ServerOptions(untrusted_clients=True))
    server.start()
    clients = [plain_sock(server.address) for _ in range(net_server._ACCEPTS_PER_ITERATION)]
    acceptor = server._acceptor
    monkeypatch.setattr(gevent, "sleep", lambda seconds: server.close_listener())
    acceptor.join(1)
    monkeypatch.undo()
    assert acceptor.dead and clients
    assert acceptor.exception is None
    server.stop()
