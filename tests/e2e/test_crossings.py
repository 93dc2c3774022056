"""Narrow moments of the live head, on real sockets: what if bytes, an end or a signal come between two lines?

Each crossing is forced: by a socket whose sends do not let the loop turn (`plain_sock`), by a connect that waits for
the test (`LateConnect`), by a peer that says what the test chooses, or by ending what would hide the fault (the sweep
for clients that left). None is waited for.
"""

from __future__ import annotations

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
from fawnspool.net.socket_stream import SocketStream
from fawnspool.relay.discovery import HEARTBEAT_S
from fawnspool.relay.process import read_config
from fawnspool.scheduling import interface
from fawnspool.standins.platform import DiscoveryServer
from tests.e2e.relayrig import SETTINGS, WATCH, RawDiscovery, RelayRig, chunk, headers, plain_sock, text
from tests.e2e.rig import wait_for
from tests.e2e.test_relay import outcomes, process_of, told

KEYED = {"Idempotency_Key": "k"}


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[RelayRig]:
    made = RelayRig(tmp_path)
    yield made
    made.stop()


class LateConnect:
    """Connections to shelfs come up when the test says so, however long the head would wait; `at_once` of them before
    that."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.go, self.asked, self.at_once, real = Event(), 0, 1 << 30, connection_pool.connect

        def connect(address: tuple[str, int], deadline: float) -> SocketStream:
            self.asked += 1
            if self.asked > self.at_once:
                self.go.wait()
            return real(address, time.monotonic() + 5)

        monkeypatch.setattr(connection_pool, "connect", connect)


@pytest.fixture
def late(monkeypatch: pytest.MonkeyPatch) -> LateConnect:
    return LateConnect(monkeypatch)


def keyed_window(seconds: float) -> list[dict[str, Any]]:
    """The keyed class with so short a window and times so long that nothing else ends its attempts."""
    return [
        c | ({"window": seconds, "aim": 8.0, "deadline": 9.0} if c["name"] == "note" else {})
        for c in SETTINGS["classes"]
    ]


# ------------------------------------------------------------------ repeats


def test_a_repeat_whose_connection_comes_up_behind_the_window_is_not_written(tmp_path: Path, late: LateConnect) -> None:
    """Brink seed 10, zone: a keyed request sent again within its window reached its shelf after it."""
    rig = RelayRig(tmp_path, classes=keyed_window(1.0))
    try:
        seen, shelf = outcomes(rig), rig.shelfs[0]
        shelf.closes_after_script = True
        shelf.script = lambda asked: b""  # a reset-like end behind a request that may have run
        late.asked, late.at_once = 0, 1  # the first has its connection: the second waits
        sock = rig.raw(text("/note", headers("w1", wait="8000") | {"Idempotency-Key": "k"}, "PUT", b"x"))
        wait_for(lambda: rig.asked() == ["w1"] and late.asked == 2)
        gevent.sleep(1.05)  # the window is over, its time is not
        late.go.set()
        assert sock.recv(4096).startswith(b"HTTP/1.1 50")
        assert rig.asked() == ["w1"] and [o.result for o in seen] == [interface.Result.RESET, interface.Result.NOT_SENT]
    finally:
        rig.stop()


def test_a_repeat_inside_its_window_is_written(tmp_path: Path) -> None:
    rig = RelayRig(tmp_path, classes=keyed_window(6.0))
    try:
        shelf = rig.shelfs[0]
        shelf.closes_after_script = True
        shelf.script = lambda asked: b"" if len(shelf.requests) == 1 else None
        got: Any = rig.client().ask("PUT", "/note", b"x", **headers("w1"), **KEYED)
        assert got.status == 200 and rig.asked() == ["w1", "w1"]
    finally:
        rig.stop()


# ------------------------------------------------------------------ clients that leave


def gone(rig: RelayRig) -> None:
    """All that the head had in hand is over."""
    wait_for(lambda: not rig.core.pending and not rig.program.handler.open)


@pytest.mark.parametrize("how", ["close", "reset", "half"])
def test_nothing_is_sent_for_a_client_that_left_while_the_connection_came_up(
    rig: RelayRig, late: LateConnect, how: str
) -> None:
    rig.core.checks.stop()  # the sweep sees it too, a little later
    late.asked, late.at_once = 0, 0
    sock = rig.raw(text("/read", headers("r1")))
    wait_for(lambda: late.asked == 1)
    if how == "half":
        sock.shutdown(std.SHUT_WR)
    else:
        if how == "reset":
            sock.setsockopt(std.SOL_SOCKET, std.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()
    wait_for(lambda: next(iter(rig.core.pending.values())).exchange.client_left())
    late.go.set()
    gone(rig)
    assert rig.asked() == []


def test_nothing_is_sent_again_for_a_client_that_left_between_two_attempts(rig: RelayRig) -> None:
    rig.core.checks.stop()
    shelf, seen = rig.shelfs[0], outcomes(rig)
    shelf.closes_after_script = True
    sock = rig.raw(b"")

    def script(asked: Any) -> bytes:
        sock.close()  # it is gone before its first attempt has ended
        return b""

    shelf.script = script
    sock.sendall(text("/read", headers("r1")))
    wait_for(lambda: len(seen) == 2)
    gone(rig)
    assert rig.asked() == ["r1"] and [o.result for o in seen] == [interface.Result.RESET, interface.Result.NOT_SENT]


@pytest.mark.parametrize("behind", [1, 60_000, 300_000])
def test_an_end_behind_unread_bytes_is_seen(rig: RelayRig, behind: int) -> None:
    """The next request, or noise, lies between the request in hand and the end of its connection."""
    shelf, seen = rig.shelfs[0], outcomes(rig)
    shelf.may_respond.clear()
    sock = plain_sock(rig.listen)
    sock.sendall(text("/read", headers("r1")))
    wait_for(lambda: rig.asked() == ["r1"])
    feeder = gevent.get_hub().threadpool.spawn(sock.sendall, b"x" * behind)
    wait_for(feeder.ready)
    sock.close()
    wait_for(lambda: [o.result for o in seen] == [interface.Result.CANCELLED])
    gone(rig)


def test_a_request_behind_another_is_served_in_its_turn(rig: RelayRig, monkeypatch: pytest.MonkeyPatch) -> None:
    shelf = rig.shelfs[0]
    shelf.may_respond.clear()
    sock = rig.raw(text("/read", headers("r1")))
    wait_for(lambda: rig.asked() == ["r1"])
    looks, real = list[int](), SocketStream.peek
    monkeypatch.setattr(SocketStream, "peek", lambda wire: looks.append(1) or real(wire))
    sock.sendall(text("/read", headers("r2", shard=1)) + text("/read", headers("r3", shard=1))[:50])
    before = len(looks)
    wait_for(lambda: len(looks) >= before + 3)  # the sweep has looked behind the first
    assert rig.program.handler.server.states() == {"in hand": 1}
    shelf.may_respond.set()
    sock.sendall(text("/read", headers("r3", shard=1))[50:])
    got = b""
    while got.count(b"HTTP/1.1 200") < 3 or not got.endswith(b"r3 GET /read"):
        got += sock.recv(4096)
    assert [got.index(b"%s GET /read" % r) for r in (b"r1", b"r2", b"r3")] == sorted(
        got.index(b"%s GET /read" % r) for r in (b"r1", b"r2", b"r3")
    )


def test_two_hundred_that_leave_at_once_are_not_sent_on(tmp_path: Path) -> None:
    """The loop stands still while they leave, so no sweep has seen one of them when the node has room again."""
    rig = RelayRig(tmp_path, sockets=1024)
    try:
        rig.core.checks.stop()
        rig.shelfs[0].may_respond.clear()
        first = rig.raw(text("/read", headers("first", volume="1", obj="1")))
        wait_for(lambda: rig.asked() == ["first"])
        rig.core.loop.module.node_queues[0].concurrency.limit = 1.0
        rig.core.loop.module._shed_load = lambda node_queue: None  # held, however long it takes
        socks = [
            plain_sock(rig.listen, text("/read", headers(f"r{k}", volume=f"{k + 2:x}", obj=f"{k + 2:x}")))
            for k in range(200)
        ]
        wait_for(lambda: rig.core.loop.module.node_queues[0].queue.queued == 200)
        for sock in socks:
            sock.close()
        rig.shelfs[0].may_respond.set()
        assert first.recv(4096).startswith(b"HTTP/1.1 200")
        gone(rig)
        assert rig.asked() == ["first"]
    finally:
        rig.stop()


def test_nothing_is_sent_to_a_node_that_drained_while_the_connection_came_up(rig: RelayRig, late: LateConnect) -> None:
    late.asked, late.at_once = 0, 0
    sock = rig.raw(text("/read", headers("r1", wait="600")))
    wait_for(lambda: late.asked == 1)
    rig.discovery.put(rig.shelfs[0], "s-0", "leaving")
    wait_for(lambda: rig.program.discovery.version == rig.discovery.version)
    late.go.set()
    assert sock.recv(4096).startswith(b"HTTP/1.1 50")
    assert rig.asked() == []


# ------------------------------------------------------------------ closes that cross a request


def rests(rig: RelayRig, ident: str) -> std.socket:
    """A kept connection, resting."""
    before = len(rig.program.handler.server.idle)
    sock = plain_sock(rig.listen, text("/read", headers(ident)))
    wait_for(lambda: len(rig.program.handler.server.idle) == before + 1)
    assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    return sock


def answer(sock: std.socket) -> bytes:
    """What comes until the peer ends the connection."""
    sock.setblocking(False)
    got = b""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        try:
            part = sock.recv(4096)
        except BlockingIOError:
            gevent.sleep(0.005)
            continue
        if not part:
            return got
        got += part
    raise AssertionError("the connection stayed open")


@pytest.mark.parametrize("used", [False, True])
def test_who_has_asked_does_not_make_room(rig: RelayRig, used: bool) -> None:
    """Its bytes lie in the kernel, its greenlet has not run: it looks as if it rested."""
    server = rig.program.handler.server
    if used:
        asks, rests_still = rests(rig, "r0"), rests(rig, "r1")
    else:
        asks = plain_sock(rig.listen)
        wait_for(lambda: len(server.new) == 1)
        rests_still = plain_sock(rig.listen)
        wait_for(lambda: len(server.new) == 2)
    asks.sendall(text("/read", headers("r2")))
    assert server.evict_waiting()  # no turn of the loop between these two lines
    assert answer(rests_still) == b""
    server.draining = True
    assert answer(asks).startswith(b"HTTP/1.1 200") and rig.asked()[-1] == "r2"


def test_nobody_makes_room_where_all_have_asked(rig: RelayRig) -> None:
    server = rig.program.handler.server
    asks = rests(rig, "r0")
    asks.sendall(text("/read", headers("r1")))
    assert not server.evict_waiting()
    server.draining = True
    assert answer(asks).startswith(b"HTTP/1.1 200")


def test_a_request_between_the_choice_to_close_and_the_close_may_be_sent_again(
    rig: RelayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The head has looked and seen nothing; then the bytes come; then it closes. Never sent on, and no answer begun."""
    server = rig.program.handler.server
    sock, real = rests(rig, "r0"), SocketStream.has_unread

    def unread(wire: SocketStream) -> bool:
        seen = real(wire)
        sock.sendall(text("/read", headers("r1")))
        return seen

    monkeypatch.setattr(SocketStream, "has_unread", unread)
    assert server.evict_waiting()
    with contextlib.suppress(ConnectionResetError):
        assert answer(sock) == b""
    monkeypatch.undo()
    assert rig.asked() == ["r0"]
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200 and rig.asked() == ["r0", "r1"]


@pytest.mark.parametrize("used", [False, True])
def test_a_request_that_comes_as_the_idle_time_ends_is_served(rig: RelayRig, used: bool) -> None:
    """The loop stands still over the end of the time, and finds both at one stroke."""
    server = rig.program.handler.server
    server.options.idle_timeout_s = server.options.first_request_timeout_s = 0.3
    sock = rests(rig, "r0") if used else plain_sock(rig.listen)
    wait_for(lambda: server.idle or server.new)
    sock.sendall(text("/read", headers("r1")))
    time.sleep(0.5)
    server.draining = True
    assert answer(sock).startswith(b"HTTP/1.1 200") and rig.asked()[-1] == "r1"


@pytest.mark.parametrize("used", [False, True])
def test_a_request_that_came_before_the_end_of_its_connection_is_served(rig: RelayRig, used: bool) -> None:
    server = rig.program.handler.server
    sock = rests(rig, "r0") if used else plain_sock(rig.listen)
    wait_for(lambda: server.idle or server.new)
    sock.sendall(text("/read", headers("r1")))
    server.drain(time.monotonic() + 5)
    assert answer(sock).startswith(b"HTTP/1.1 200")
    assert rig.asked()[-1] == "r1"


def test_half_a_request_at_the_end_of_idle_connections_gets_its_time(rig: RelayRig) -> None:
    server, whole = rig.program.handler.server, text("/read", headers("r1"))
    sock = rests(rig, "r0")
    sock.sendall(whole[:30])
    server.drain(time.monotonic() + 5)
    gevent.sleep(0)
    sock.sendall(whole[30:])
    assert answer(sock).startswith(b"HTTP/1.1 200")


def test_a_second_request_that_came_before_the_last_answer_is_answered_too(rig: RelayRig) -> None:
    """Read with the first or not, it is served, and the answer that ends the connection is the last one's."""
    rig.program.handler.server.draining = True
    sock = plain_sock(rig.listen, text("/read", headers("r1")) + text("/read", headers("r2")))
    got = answer(sock)
    assert got.count(b"HTTP/1.1 200") == 2 and got.count(b"Connection: close") == 1
    assert got.index(b"r1 GET /read") < got.index(b"Connection: close") < got.index(b"r2 GET /read")
    wait_for(lambda: not rig.program.handler.server.connections)
    assert rig.asked() == ["r1", "r2"]


def test_a_second_request_behind_the_last_answer_is_not_read(rig: RelayRig) -> None:
    """Its client has been told that the connection ends, and that nobody read what it sent all the same."""
    rig.program.handler.server.draining = True
    sock = plain_sock(rig.listen, text("/read", headers("r1")))
    assert b"Connection: close" in answer(sock)
    sock.setblocking(True)
    sock.sendall(text("/read", headers("r2")))
    gevent.sleep(0.02)
    with pytest.raises((BrokenPipeError, ConnectionResetError)):
        sock.sendall(b"x")
    assert rig.asked() == ["r1"]


def test_who_comes_while_all_places_are_taken_is_heard_later_and_not_closed(tmp_path: Path) -> None:
    rig = RelayRig(tmp_path, sockets=64)
    try:
        server, shelf = rig.program.handler.server, rig.shelfs[0]
        shelf.may_respond.clear()
        rig.core.loop.module._shed_load = lambda node_queue: None
        busy = [
            plain_sock(rig.listen, text("/read", headers(f"b{k}", volume=f"{k + 1:x}")))
            for k in range(server.options.max_connections)
        ]
        wait_for(lambda: len(rig.program.handler.open) == server.options.max_connections)
        late_one = plain_sock(rig.listen, text("/read", headers("late", shard=1)))
        gevent.sleep(0.05)
        assert "late" not in rig.asked()
        late_one.setblocking(False)
        with pytest.raises(BlockingIOError):  # neither closed nor reset
            late_one.recv(1)
        busy[0].close()
        assert answer(late_one).startswith(b"HTTP/1.1 200")
    finally:
        rig.stop()


def test_an_accept_that_fails_in_an_unknown_way_is_not_the_last(rig: RelayRig) -> None:
    server = rig.program.handler.server
    real, failed = server.sock, []

    class Odd:
        def accept(self) -> Any:
            if not failed:
                failed.append(1)
                raise OSError(os.EX_PROTOCOL, "odd")
            return real.accept()

        def __getattr__(self, name: str) -> Any:
            return getattr(real, name)

    server.sock = Odd()
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200  # ends the accept that stood
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200 and failed


def test_a_connection_that_fails_as_it_is_set_up_is_not_the_last(
    rig: RelayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    failed = list[int]()

    def odd(sock: std.socket) -> SocketStream:
        if not failed:
            failed.append(1)
            sock.close()
            raise OSError(os.EX_PROTOCOL, "odd")
        return SocketStream(sock)

    monkeypatch.setattr(net_server, "SocketStream", odd)
    sock = plain_sock(rig.listen)
    wait_for(lambda: failed)
    sock.close()
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200


def test_no_single_fault_ends_the_modules_loop_or_the_sweep(rig: RelayRig, monkeypatch: pytest.MonkeyPatch) -> None:
    failed, prune = list[int](), rig.core.pools.prune

    def odd() -> None:
        if not failed:
            failed.append(1)
            raise KeyError("odd")
        prune()

    monkeypatch.setattr(rig.core.pools, "prune", odd)
    rig.core.loop.post(lambda: failed[99])
    wait_for(lambda: failed)
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
    rig.shelfs[0].may_respond.clear()
    sock = rig.raw(text("/read", headers("r2")))
    wait_for(lambda: rig.asked() == ["r1", "r2"])
    sock.close()
    gone(rig)  # seen by the sweep alone


# ------------------------------------------------------------------ the end


@pytest.mark.parametrize("hangs", ["before its answer", "in its answer"])
def test_each_request_has_one_whole_answer_when_the_head_ends(rig: RelayRig, late: LateConnect, hangs: str) -> None:
    """Held, being connected, out, answered in part, not yet whole, not yet begun: SIGTERM comes upon each at once."""
    shelf, server = rig.shelfs[0], rig.program.handler.server
    kept = rests(rig, "k0")
    if hangs == "before its answer":
        shelf.may_respond.clear()
    else:
        shelf.script = lambda asked: b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf of it"
    rig.core.loop.module._shed_load = lambda node_queue: None
    rig.core.loop.module.node_queues[0].concurrency.limit = 1.0
    rows = {"out": headers("out", volume="1", wait="1900"), "held": headers("held", volume="2", wait="1900")}
    socks = {"out": rig.raw(text("/read", rows["out"]))}
    wait_for(lambda: "out" in rig.asked())
    socks["held"] = rig.raw(text("/read", rows["held"]))
    wait_for(lambda: rig.core.loop.module.node_queues[0].queue.queued == 1)
    late.asked, late.at_once = 0, 0
    socks["connecting"] = rig.raw(text("/read", headers("connecting", shard=1, volume="3", wait="1900")))
    wait_for(lambda: late.asked == 1)
    whole = text("/read", headers("half", shard=1, volume="4"))
    socks["half"] = rig.raw(whole[:60])
    silent = rig.raw(b"")
    wait_for(lambda: len(server.new) == 1)
    ending = gevent.spawn(rig.program.drain)
    again = gevent.spawn(rig.program.drain)  # a second signal
    rig.program.reload()  # and a new configuration
    wait_for(lambda: rig.program.handler.last_answer_by < float("inf"))
    socks["half"].sendall(whole[60:])
    ending.join(timeout=10)
    again.join(timeout=10)
    assert rig.program.ended.is_set()
    for name, sock in socks.items():
        got = b""
        while part := sock.recv(4096):
            got += part
        assert got.count(b"HTTP/1.1 ") == 1 and got[9:12] in (b"502", b"503", b"504"), name
    assert silent.recv(1) == b"" and answer(kept) == b""
    late.go.set()
    gevent.sleep(0.05)
    assert "connecting" not in rig.asked() and rig.asked().count("out") == 1


def test_a_start_waits_for_nobody(tmp_path: Path) -> None:
    """Discovery is down, and idle clients come in a flood: health is answered and the saved list is served from."""
    rig = RelayRig(tmp_path, sockets=128)
    rig.discovery.is_down = True
    with process_of(rig, 128):
        flood = [plain_sock(rig.listen) for _ in range(200)]
        assert rig.client().ask("GET", "/_health").status == 200
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200 and flood


def test_a_signal_while_the_program_loads_is_heard(tmp_path: Path) -> None:
    """SIGHUP before any handler of ours stands ends a process; one that is only ignored would be missed."""
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
    with process_of(rig, start=("-c", start), up=lambda: other.watchers) as process:
        assert process.poll() is None
    other.server.stop()


# ------------------------------------------------------------------ the list


def row(rig: RelayRig, health: str = "active", host: str = "s-0") -> dict[str, Any]:
    return rig.discovery.hosts[host] | {"health": health}


def line(seq: int, *rows: dict[str, Any], whole: bool = False, indent: int | None = None) -> bytes:
    return chunk(json.dumps({"seq": seq, "whole": whole, "hosts": rows}, indent=indent).encode() + b"\n")


@contextlib.contextmanager
def raw_discovery(
    rig: RelayRig, script: Callable[[int, Any, str], None], silence: float = 0.3
) -> Iterator[RawDiscovery]:
    """The head follows discovery to one that plays `script`, and takes a shorter silence for the end of a watch."""
    raw = RawDiscovery(script)
    rig.program.discovery.timeouts = WatchTimeouts(silence, silence)
    host, port = raw.address.split(":")
    rig.program.discovery.move((host, int(port)))
    try:
        yield raw
    finally:
        raw.stop()


def drained(rig: RelayRig) -> bool:
    known = [s for s in rig.program.discovery.nodes.values() if s.name == "s-0"]
    return bool(known) and known[0].phase is interface.Phase.DRAINING


SILENT = {
    "after its head": [WATCH],
    "after a line": [WATCH, chunk(b"\n")],
    "in a line": [WATCH, chunk(b"\n"), chunk(b'{"seq": 99, "who')],
    "in an indented object": [WATCH, chunk(b'{\n "seq": 99,\n')],
}


@pytest.mark.parametrize("case", SILENT)
def test_a_watch_that_falls_silent_is_opened_anew_at_once(rig: RelayRig, case: str) -> None:
    """What it misses counts as told 6 s after it fell silent: there is no time for a pause before the next."""
    lists, when, seq = told(rig, interface.EndpointUpdate), list[float](), rig.discovery.version

    def script(number: int, sock: Any, target: str) -> None:
        when.append(time.monotonic())
        if number < 2:  # twice
            for part in SILENT[case]:
                sock.sendall(part)
            return
        sock.sendall(WATCH + line(seq + 1, row(rig, "leaving")))

    with raw_discovery(rig, script):
        wait_for(lambda: drained(rig))
    assert all(b - a > 0.25 for a, b in itertools.pairwise(when))
    assert interface.UpdateKind.POLL_FAILED not in [event.kind for event in lists]


def test_a_drain_is_heard_though_watches_fall_silent_are_reset_and_refused_before(rig: RelayRig) -> None:
    seq, when = rig.discovery.version, list[float]()

    def script(number: int, sock: Any, target: str) -> None:
        when.append(time.monotonic())
        if number in (0, 3):
            return sock.sendall(WATCH + chunk(b"\n"))  # then silent
        if number == 1:
            sock.sendall(WATCH)
            sock.setsockopt(std.SOL_SOCKET, std.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            return sock.close()  # a reset behind the head
        if number == 2:
            return sock.sendall(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        sock.sendall(WATCH + line(seq + 1, row(rig, "leaving")))

    with raw_discovery(rig, script) as raw:
        wait_for(lambda: drained(rig), 6)
        assert len(raw.asked) == 5 and when[-1] - when[0] < 6.0
    before = len(rig.shelfs[0].requests)
    assert rig.client().ask("GET", "/read", **headers("r1", wait="300")).status in (502, 503, 504)
    assert len(rig.shelfs[0].requests) == before


def test_bytes_without_a_whole_line_keep_no_watch_alive(rig: RelayRig) -> None:
    seq = rig.discovery.version

    def script(number: int, sock: Any, target: str) -> None:
        if number:
            return sock.sendall(WATCH + line(seq + 1, row(rig, "leaving")))
        sock.sendall(WATCH)
        for _ in range(200):
            sock.sendall(chunk(b" "))
            gevent.sleep(0.05)

    with raw_discovery(rig, script) as raw:
        wait_for(lambda: drained(rig))
        assert len(raw.asked) == 2


def test_the_silence_of_the_platform_leaves_time_for_calls() -> None:
    """6 s from when a watch fell silent: its last beat may be as old then as nothing, so the whole silence counts."""
    times = watch_timeouts(HEARTBEAT_S)
    assert times.silence_s > HEARTBEAT_S and times.silence_s + times.call_s <= 6.0


def test_an_object_may_stand_on_several_lines(rig: RelayRig) -> None:
    seq = rig.discovery.version
    odd = row(rig, "leaving") | {"note": 'a "brace" { [ and a back\\slash'}
    bytes_of = WATCH + line(seq + 1, odd, indent=2) + chunk(b"\n") + line(seq + 2, row(rig, "leaving", "s-1"), indent=1)
    with raw_discovery(rig, lambda number, sock, target: sock.sendall(bytes_of)):
        wait_for(lambda: rig.program.discovery.version == seq + 2)
        assert drained(rig)


def test_objects_come_whole_however_they_are_cut() -> None:
    text_of = b'\n{"a": [1,\n 2]}\n\n{"b": "}\\""}\n[\n\n]\nx\n{'
    want = [b"", b'{"a": [1,\n 2]}', b"", b'{"b": "}\\""}', b"[\n\n]", b"x"]
    for size in (1, 2, 3, 7, 100):
        made = ObjectSplitter(1000)
        assert [w for k in range(0, len(text_of), size) for w in made.feed(text_of[k : k + size])] == want
    with pytest.raises(ValueError, match="over 1000 bytes"):
        for _ in range(300):
            list(made.feed(b"[1,2\n"))


def test_an_older_whole_list_behind_a_newer_change_brings_no_node_back(rig: RelayRig) -> None:
    seq, before = rig.discovery.version, rig.discovery.snapshot()["hosts"]

    def script(number: int, sock: Any, target: str) -> None:
        if number == 0:
            return sock.sendall(WATCH + line(seq + 1, row(rig, "leaving")) + line(seq, *before, whole=True))
        sock.sendall(WATCH + line(seq + 2, row(rig, "leaving", "s-1")))

    with raw_discovery(rig, script, 1.0) as raw:
        wait_for(lambda: rig.program.discovery.version == seq + 2)
        assert drained(rig) and len(raw.asked) == 2 and f"index={seq + 1}" in raw.asked[1]


def test_a_service_that_counts_anew_is_believed_in_the_end(rig: RelayRig) -> None:
    rows = rig.discovery.snapshot()["hosts"]
    with raw_discovery(rig, lambda number, sock, target: sock.sendall(WATCH + line(1, *rows, whole=True)), 1.0):
        wait_for(lambda: rig.program.discovery.version == 1)


def test_a_watch_with_nothing_to_tell_confirms_the_saved_list(rig: RelayRig) -> None:
    lists, kinds = told(rig, interface.EndpointUpdate), [interface.UpdateKind.CACHED, interface.UpdateKind.DELTA]
    with raw_discovery(rig, lambda number, sock, target: sock.sendall(WATCH + chunk(b"\n"))):
        rig.program.discovery.start(rig.discovery.snapshot())
        wait_for(lambda: [event.kind for event in lists] == kinds)
        assert lists[1].entries == () and not rig.core.loop.module.endpoints.is_cached


def test_two_new_configurations_one_behind_the_other_end_at_the_last(rig: RelayRig) -> None:
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


def test_a_pushed_list_is_watched(tmp_path: Path) -> None:
    """The protocol's push is a watch: one call alone would never tell of a drain."""
    rig = RelayRig(tmp_path, discovery="push")
    try:
        rig.discovery.put(rig.shelfs[0], "s-0", "leaving")
        wait_for(lambda: drained(rig))
        rig.discovery.is_down = True
        for queue in list(rig.discovery.watchers):
            queue.put(None)
        wait_for(lambda: not rig.discovery.watchers)
        rig.discovery.is_down = False
        wait_for(lambda: rig.discovery.watchers)
    finally:
        rig.stop()


def test_idle_clients_do_not_keep_the_head_from_the_list(tmp_path: Path) -> None:
    """Every descriptor but the head's own few is a client's while discovery is down."""
    rig = RelayRig(tmp_path, sockets=64)
    rig.discovery.is_down = True
    with process_of(rig, 64) as process:
        kept = [rig.raw(text("/read", headers(f"k{k}", shard=k % 2))) for k in range(80)]
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
    """So many calls of `target.name` find no descriptor left."""
    real, failed = getattr(target, name), list[int]()

    def fails(*args: Any, **kw: Any) -> Any:
        if len(failed) < times:
            failed.append(1)
            raise OSError(24, "Too many open files")
        return real(*args, **kw)

    monkeypatch.setattr(target, name, fails)
    return failed


def test_a_watch_that_finds_no_descriptor_has_one_freed(rig: RelayRig, monkeypatch: pytest.MonkeyPatch) -> None:
    spare = [rests(rig, f"r{k}") for k in range(3)]
    lists, failed = told(rig, interface.EndpointUpdate), no_descriptor(monkeypatch, connection_pool, "connect", 2)
    host, port = rig.discovery.address.split(":")
    rig.program.discovery.move((host, int(port)))
    wait_for(lambda: rig.discovery.watchers and len(failed) == 2)
    assert [answer(s) for s in spare[:2]] == [b"", b""]  # the two that had rested longest
    assert interface.UpdateKind.POLL_FAILED not in [event.kind for event in lists]


def test_a_new_configuration_that_finds_no_descriptor_has_one_freed(
    rig: RelayRig, monkeypatch: pytest.MonkeyPatch
) -> None:
    other = DiscoveryServer()
    other.hosts, other.version = dict(rig.discovery.hosts), rig.discovery.version
    rig.write(other)
    rests(rig, "r0")
    failed = no_descriptor(monkeypatch, Path, "read_text", 1)
    rig.program.reload()
    wait_for(lambda: other.watchers)
    assert failed
    other.server.stop()


# ------------------------------------------------------------------ the wall clock


@pytest.mark.parametrize("step", [5.0, -5.0, 3600.0, -3600.0])
def test_a_wall_clock_that_is_set_costs_no_request_its_time(
    rig: RelayRig, monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    """Set between a request's arrival and its reading: it is as old as it is, and its shelf is told what is left."""
    sock, real = rests(rig, "r0"), time.time
    sock.sendall(text("/read", headers("r1", wait="1500")))
    monkeypatch.setattr(time, "time", lambda: real() + step)
    rig.program.handler.server.draining = True
    assert answer(sock).startswith(b"HTTP/1.1 200")
    left = [int(a.headers[b"request-timeout-ms"]) for a in rig.shelfs[0].requests if a.ident == "r1"]
    assert len(left) == 1 and 300 < left[0] <= 1000 * SETTINGS["classes"][0]["aim"]
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200


# ------------------------------------------------------------------ answers


def test_a_second_answer_some_milliseconds_late_is_not_the_next_requests(rig: RelayRig) -> None:
    shelf = rig.shelfs[0]

    def twice(asked: Any) -> bytes:
        raw = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(asked.plain_body()) + asked.plain_body()
        conn = next(c for c in shelf.server.connections if c not in shelf.server.idle)
        gevent.sleep(0.03)  # longer than the second answer of the one before is late
        gevent.spawn_later(0.008, conn.send, raw)
        return raw

    shelf.script = twice
    c = rig.client()
    for k in range(6):
        got: Any = c.ask("GET", "/read", **headers(f"r{k}"))
        assert (got.status, got.data) == (200, b"r%d GET /read" % k)


def without_length(rig: RelayRig, end: Callable[[Any, Any], None]) -> None:
    """Shelf 0 answers its first request without a length; `end(connection, request)` says how it goes on."""
    shelf = rig.shelfs[0]

    def script(asked: Any) -> bytes | None:
        if len(shelf.requests) > 1:
            return None
        conn = next(c for c in shelf.server.connections if c not in shelf.server.idle)
        conn.send(b"HTTP/1.1 200 OK\r\n\r\n")
        end(conn, asked)
        conn.closing = True
        return b""

    shelf.script = script


@pytest.mark.parametrize("pieces", [1, 5])
@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_an_answer_without_a_length_that_a_close_ends_is_passed_on(rig: RelayRig, method: str, pieces: int) -> None:
    """RFC 9112, 6.3. Incident: such answers came whole and were thrown away, so reads ran twice and writes failed."""
    seen, body = outcomes(rig), bytes(range(256)) * 40 * pieces

    def end(conn: Any, asked: Any) -> None:
        for k in range(pieces):
            conn.send(body[k * 10_240 : (k + 1) * 10_240])
            gevent.sleep(0.005)

    without_length(rig, end)
    c = rig.client()
    got: Any = (
        c.ask("GET", "/read", **headers("r1"))
        if method == "GET"
        else c.ask("PUT", "/note", b"x", **headers("r1"), **KEYED)
    )
    assert (got.status, got.data) == (200, body) and rig.asked() == ["r1"]
    assert [o.result for o in seen] == [interface.Result.SERVED]


@pytest.mark.parametrize("how", ["at once", "later", "as its time ends"])
def test_an_answer_without_a_length_that_is_reset_is_not_passed_on(rig: RelayRig, how: str) -> None:
    """A reset is no end. As the time ends: the process stands still over both, and looks at the socket first."""
    seen = outcomes(rig)
    aim = SETTINGS["classes"][0]["aim"]

    def end(conn: Any, asked: Any) -> None:
        conn.send(b"half of it")
        gevent.sleep({"at once": 0.0, "later": 0.02, "as its time ends": aim * 0.8}[how])
        conn.stream.reset()
        if how == "as its time ends":
            time.sleep(aim * 0.4)

    without_length(rig, end)
    got: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (got.status, got.data) == (200, b"r1 GET /read")
    assert [o.result for o in seen] == [interface.Result.RESET, interface.Result.SERVED]


@pytest.mark.parametrize(
    "said",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nw1 PUT",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nw1 PUT\r\n",
    ],
    ids=["length", "head", "chunked"],
)
def test_a_close_ends_no_answer_that_says_where_it_ends(rig: RelayRig, said: bytes) -> None:
    shelf, seen = rig.shelfs[0], outcomes(rig)
    shelf.closes_after_script = True
    shelf.script = lambda asked: said if len(shelf.requests) == 1 else None
    got: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (got.status, got.data) == (200, b"r1 GET /read")
    assert [o.result for o in seen] == [interface.Result.RESET, interface.Result.SERVED]


def test_an_answer_that_never_ends_costs_its_attempt_alone(rig: RelayRig) -> None:
    shelf = rig.shelfs[0]

    def script(asked: Any) -> bytes | None:
        if asked.ident != "r1":
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
    first = rig.raw(text("/read", headers("r1", wait="600", volume="1")))
    assert rig.client().ask("GET", "/read", **headers("r2", volume="2")).status == 200
    assert first.recv(4096).startswith(b"HTTP/1.1 50") and time.monotonic() - began < 3.0


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot"])
def test_a_connection_that_comes_up_as_it_is_given_up_carries_nothing(
    tmp_path: Path, late: LateConnect, effect: str
) -> None:
    """Late for its request's time: it is closed unused. Nothing has run, so a refusal is allowed for each effect."""
    rig = RelayRig(tmp_path, classes=[c | {"repeat": effect} for c in SETTINGS["classes"]])
    try:
        late.asked, late.at_once = 0, 0
        sock = rig.raw(text("/note", headers("w1", wait="200") | {"Idempotency-Key": "k"}, "PUT", b"x"))
        assert sock.recv(4096).startswith(b"HTTP/1.1 50")
        late.go.set()
        gone(rig)
        assert rig.asked() == []
    finally:
        rig.stop()


# ------------------------------------------------------------------ bad configurations


BAD = {
    "no classes": ({"classes": []}, "classes: expected at least one entry"),
    "no plans": ({"grades": []}, "grades: expected at least one entry"),
    "an aim of 0": ({"classes": [SETTINGS["classes"][0] | {"aim": 0}]}, r"classes\.0\.aim: expected a number above 0"),
    "no weight": ({"grades": [SETTINGS["grades"][0] | {"shares": 0}]}, r"grades\.0\.shares"),
    "an odd effect": ({"classes": [SETTINGS["classes"][0] | {"repeat": "often"}]}, "repeat is unknown: 'often'"),
    "nobody": ({"siblings": 0}, "siblings: expected a number above 0"),
}


@pytest.mark.parametrize("case", BAD)
def test_a_bad_configuration_ends_the_start_in_words(tmp_path: Path, case: str) -> None:
    change, said = BAD[case]
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
    assert done.returncode == 2 and re.search(said, done.stderr) and "config.json" in done.stderr
    assert "Traceback" not in done.stderr


@pytest.mark.parametrize("there", ["half", "none"])
def test_a_new_configuration_that_is_just_written_is_taken_when_it_is_whole(rig: RelayRig, there: str) -> None:
    """The signal comes between two writes, or between taking the old file away and putting the new one there."""
    other = DiscoveryServer()
    other.hosts, other.version = dict(rig.discovery.hosts), rig.discovery.version
    rig.write(other)
    whole = rig.path.read_text()
    if there == "half":
        rig.path.write_text(whole[: len(whole) // 2])
    else:
        rig.path.unlink()
    reader = gevent.spawn(rig.program.reload)
    gevent.sleep(0)  # it has read once
    assert not reader.dead and rig.discovery.watchers
    rig.path.write_text(whole)
    wait_for(lambda: other.watchers and not rig.discovery.watchers)
    other.server.stop()


def test_a_start_on_a_configuration_that_is_just_written_waits_for_the_rest(rig: RelayRig) -> None:
    whole = rig.path.read_text()
    rig.path.write_text(whole[:100])
    reader = gevent.spawn(read_config, str(rig.path), {})
    gevent.sleep(0)
    assert not reader.dead
    rig.path.write_text(whole)
    assert reader.get(timeout=5).discovery == rig.discovery.server.address


def test_a_bad_one_on_sighup_is_refused_and_the_old_goes_on(rig: RelayRig) -> None:
    rig.settings = rig.settings | {"classes": []}
    rig.write(DiscoveryServer())
    rig.program.reload()
    assert rig.program.config.discovery == rig.discovery.server.address
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
