"""A live head on loopback: what reaches shelfs, what reaches clients, and what spoilt peers may not do."""

from __future__ import annotations

import contextlib
import http.client
import json
import math
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest

from fawnspool.relay.errors import ConfigError
from fawnspool.scheduling import interface
from fawnspool.standins.platform import Asked, DiscoveryServer
from tests.e2e.relayrig import SETTINGS, RelayRig, headers, text
from tests.e2e.rig import wait_for


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[RelayRig]:
    made = RelayRig(tmp_path)
    yield made
    made.stop()


def told(rig: RelayRig, kind: type[Any]) -> list[Any]:
    """Every event of a kind that the module is told from now on."""
    seen, handle = list[Any](), rig.core.loop.module.handle

    def listen(now: float, event: Any) -> Any:
        seen.extend([event] if isinstance(event, kind) else [])
        return handle(now, event)

    rig.core.loop.module.handle = listen
    return seen


def outcomes(rig: RelayRig) -> list[interface.Outcome]:
    return told(rig, interface.Outcome)


def test_a_large_answer_passes_whole(rig: RelayRig) -> None:
    body = bytes(range(256)) * 1600
    rig.shelfs[0].script = lambda asked: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    got: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (got.status, got.data) == (200, body) and rig.asked() == ["r1"]


def test_a_read_and_a_write_pass_unchanged(rig: RelayRig) -> None:
    seen = outcomes(rig)
    rig.shelfs[1].report = [
        (b"Server-Load", b"rif=7,queue=2,lat_ms=61.5"),
        (b"X-Volume-Use", b"140"),
        (b"X-Served-Elsewhere", b"12"),
    ]
    c = rig.client()
    assert c.ask("GET", "/_health").status == 200
    got: Any = c.ask("GET", "/read/a?b=c", **headers("r1", shard=1))
    assert (got.status, got.data) == (200, b"r1 GET /read/a?b=c")
    got = c.ask("PUT", "/note", b"x" * 60_000, **headers("w1"), Idempotency_Key="k-9")
    assert (got.status, got.data) == (200, b"w1 PUT /note")
    write = rig.shelfs[0].asked[0]
    assert write.body == b"x" * 60_000 and write.headers[b"idempotency-key"] == b"k-9"
    assert 0 < int(write.headers[b"request-timeout-ms"]) <= 1500
    assert (seen[0].result, seen[0].units_by_others, seen[0].volume_usage, seen[0].load_report) == (
        interface.Result.SERVED,
        12,
        1.4,
        (7.0, 61.5),
    )
    assert seen[1].load_report is None and seen[1].volume_usage is None
    assert rig.program.handler.open == {} and not rig.core.pending
    figures = rig.program.count().log_fields()
    assert figures["request served"] == 2 and figures["attempt served"] == 2 and figures["events"] > 4
    assert [node.text().partition(" ")[0] for node in rig.program.nodes()] == ["0:sound", "1:sound"]


BAD = {
    "no id": ("/read", {"Request-Id": ""}),
    "class": ("/nothing", {}),
    "plan": ("/read", {"X-Plan": "gold"}),
    "object": ("/read", {"X-Object": "zz"}),
    "patience": ("/read", {"Request-Timeout-Ms": "-3"}),
    "no number": ("/read", {"Request-Timeout-Ms": "soon"}),
    "io": ("/read", {"X-IO": "volume=1,units=2"}),
    "units": ("/read", {"X-IO": "volume=1,units=9,shard=0,hosts=1"}),
    "shard": ("/read", {"X-IO": "volume=1,units=1,shard=2,hosts=1"}),
    "no key": ("PUT /note", {}),
    "a read of what writes": ("/note", {"Idempotency-Key": "k"}),
    "method": ("POST /read", {}),
}


@pytest.mark.parametrize("framing", ["length", "chunked", "expect"])
def test_space_around_field_values_and_names_in_any_case_are_no_part_of_them(rig: RelayRig, framing: str) -> None:
    """RFC 9110, 5.5. On a brink day of herd one request in four came so, and was turned away as malformed."""
    rows = headers("w1") | {"Idempotency-Key": "k-9"}
    raw = b"PUT /note HTTP/1.1\r\nHOST: \t h \r\n"
    for n, (k, v) in enumerate(rows.items()):
        raw += f"{k.lower() if n % 2 else k.upper()}:{' ' * (n % 3)}{v} \t\r\n".encode()
    raw += {
        "length": b"content-length:  4 \r\n\r\nabcd",
        "expect": b"Expect: 100-continue \r\nContent-Length: 4\t\r\n\r\n",
        "chunked": b"Transfer-Encoding: \tchunked \r\n\r\n0004;x=y\r\nabcd\r\n0\r\n\r\n",
    }[framing]
    sock = rig.raw(raw)
    if framing == "expect":
        assert sock.recv(4096).startswith(b"HTTP/1.1 100")
        sock.sendall(b"abcd")
    assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    asked = rig.shelfs[0].asked[0]
    assert (asked.ident, asked.body, asked.headers[b"idempotency-key"]) == ("w1", b"abcd", b"k-9")


@pytest.mark.parametrize("chunked", [False, True])
def test_long_bodies_pass_whole_while_there_is_room_for_them(tmp_path: Path, chunked: bool) -> None:
    rig = RelayRig(tmp_path)
    memory = rig.program.handler.long_bodies
    memory.total_bytes = 8 * 250_000
    try:
        rig.shelfs[0].hold.clear()

        def ask(ident: str, size: int) -> Any:
            rows = headers(ident) | {"Idempotency-Key": "k"}
            if not chunked:
                return rig.raw(text("/note", rows, "PUT", b"x" * size))
            pieces = (b"%x\r\n%s\r\n" % (40_000, b"x" * 40_000)) * (size // 40_000)
            return rig.raw(text("/note", rows | {"Transfer-Encoding": "chunked"}, "PUT") + pieces + b"0\r\n\r\n")

        first = ask("w1", 120_000)
        wait_for(lambda: rig.asked() == ["w1"])
        assert memory.used_bytes == 120_000
        assert ask("w2", 200_000).recv(4096).startswith(b"HTTP/1.1 503")  # not beside the first
        usual = ask("w3", 40_000)
        wait_for(lambda: rig.asked() == ["w1", "w3"])
        rig.shelfs[0].hold.set()
        assert first.recv(4096).startswith(b"HTTP/1.1 200") and usual.recv(4096).startswith(b"HTTP/1.1 200")
        wait_for(lambda: memory.used_bytes == 0 and not memory.by_exchange)
        assert ask("w4", 200_000).recv(4096).startswith(b"HTTP/1.1 200")
        assert [len(a.body) for a in rig.shelfs[0].asked] == [120_000, 40_000, 200_000]
    finally:
        rig.stop()


@pytest.mark.parametrize("case", BAD)
def test_what_does_not_read_is_answered_and_goes_no_further(rig: RelayRig, case: str) -> None:
    target, change = BAD[case]
    requests = told(rig, interface.Request)
    method, _, target = target.rpartition(" ")
    got = rig.client().ask(method or "GET", target, **headers("r1") | change)
    assert 400 <= got.status < 500
    assert rig.asked() == [] and requests == []
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200


RAW = {
    "two framings": text("/read", headers("r1") | {"Content-Length": "4", "Transfer-Encoding": "chunked"}) + b"0\r\n",
    "two lengths": text("/read", headers("r1") | {"Content-Length": "4", "content-length": "5"}) + b"abcd",
    "negative": text("/read", headers("r1") | {"Content-Length": "-4"}),
    "huge": text("/read", headers("r1") | {"Content-Length": str(60 << 20)}) + b"x" * 100_000,
    "chunks over 1 MiB": text("/read", headers("r1") | {"Transfer-Encoding": "chunked"})
    + (b"ffff\r\n" + b"x" * 65535 + b"\r\n") * 16
    + b"ff\r\n"
    + b"x" * 255
    + b"\r\n",
    "noise": b"\x00\xff\x13 nothing\r\n\r\n",
    "endless head": b"GET /read HTTP/1.1\r\nHost: h\r\n" + b"X-A: " + b"a" * 20_000,
    "many fields": b"GET /read HTTP/1.1\r\n" + b"X-A: 1\r\n" * 200,
}


@pytest.mark.parametrize("case", RAW)
def test_framing_in_doubt_gets_an_error_or_a_close_at_once(rig: RelayRig, case: str) -> None:
    began, sock = time.monotonic(), rig.raw(RAW[case])
    try:
        first = sock.recv(4096)
    except ConnectionError:
        first = b""
    assert first == b"" or first.split(b" ")[1][:1] == b"4"
    assert time.monotonic() - began < 2.0 and rig.asked() == []


def test_an_open_id_is_not_taken_twice(rig: RelayRig) -> None:
    rig.shelfs[0].hold.clear()
    first = rig.raw(text("/read", headers("r1")))
    wait_for(lambda: rig.asked() == ["r1"])
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 409
    rig.shelfs[0].hold.set()
    assert b"r1 GET /read" in first.recv(4096)
    assert rig.asked() == ["r1"]


def test_quiet_connections_and_half_requests_are_closed_in_time(rig: RelayRig) -> None:
    began = time.monotonic()
    quiet, half = rig.raw(b""), rig.raw(text("/read", headers("r1"))[:40])
    drip = rig.raw(text("/note", headers("w1") | {"Idempotency-Key": "k", "Content-Length": "100"}, "PUT"))

    def drips() -> None:
        while True:
            gevent.sleep(0.05)
            drip.send(b"x")

    feeder = gevent.spawn(drips)
    assert quiet.recv(10) == b"" and half.recv(12).startswith(b"HTTP/1.1 4")
    assert drip.recv(12).startswith(b"HTTP/1.1 4")
    feeder.kill()
    assert time.monotonic() - began < 3.0 and rig.asked() == []


def test_a_full_head_closes_who_waits_longest_without_a_request(tmp_path: Path) -> None:
    rig = RelayRig(tmp_path, sockets=64)
    try:
        most = rig.program.handler.server.options.max_connections
        used = rig.client()
        assert used.ask("GET", "/read", **headers("r0")).status == 200
        quiet = [rig.raw(b"") for _ in range(most + 5)]
        wait_for(lambda: len(rig.program.handler.server.connections) == most)
        assert quiet[0].recv(1) == b""
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
        assert used.ask("GET", "/read", **headers("r2")).status == 200  # it asked before: the quiet ones go first
    finally:
        rig.stop()


def test_answers_end_their_connections_while_it_is_crowded(tmp_path: Path) -> None:
    """Clients that ask once and stay would leave the others no connection to ask on."""
    rig = RelayRig(tmp_path, sockets=64)
    try:
        crowd = rig.program.handler.server.options.crowded_from
        for k in range(3 * crowd):
            c = rig.client()  # it never closes
            assert c.ask("GET", "/read", **headers(f"r{k}")).status == 200
            assert len(rig.program.handler.server.connections) <= crowd + 1
        assert c.sock.recv(1) == b""
        rig.program.handler.server.options.crowded_from = None
        c = rig.client()
        for k in range(2):
            assert c.ask("GET", "/read", **headers(f"k{k}")).status == 200
    finally:
        rig.stop()


SPOILT = {
    "noise": b"\x7f\x00garbage garbage\r\n\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 5000,
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "3 GB": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"z" * 300_000,
    "chunks without end": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"ffff\r\n"
    + b"z" * 65535
    + (b"\r\nffff\r\n" + b"z" * 65535) * 20,
}


@pytest.mark.parametrize("case", SPOILT)
def test_a_spoilt_answer_is_never_passed_on(rig: RelayRig, case: str) -> None:
    seen = outcomes(rig)
    rig.shelfs[0].script = lambda asked: SPOILT[case] if len(rig.shelfs[0].asked) == 1 else None
    began = time.monotonic()
    got: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (got.status, got.data) == (200, b"r1 GET /read")  # the second try
    assert [o.result for o in seen] == [interface.Result.RESET, interface.Result.SERVED]
    assert time.monotonic() - began < 1.0


def plain(asked: Asked, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + more + b"Content-Length: %d\r\n\r\n" % len(asked.made()) + asked.made()


def test_an_answer_cut_short_is_never_passed_on(rig: RelayRig) -> None:
    seen, shelf = outcomes(rig), rig.shelfs[0]
    shelf.ends = True
    shelf.script = lambda asked: plain(asked)[:-3] if len(shelf.asked) == 1 else None
    got: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (got.status, got.data) == (200, b"r1 GET /read")
    assert [o.result for o in seen] == [interface.Result.RESET, interface.Result.SERVED]


def test_a_shelf_that_is_down_was_never_reached(rig: RelayRig) -> None:
    seen = outcomes(rig)
    rig.shelfs[0].server.stop()
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 503
    assert seen and {(o.result, o.reused_connection) for o in seen} == {(interface.Result.CONNECT_FAILED, False)}


def test_a_head_without_a_place_left_holds_nothing_against_the_shelf(rig: RelayRig) -> None:
    seen = outcomes(rig)
    pool = rig.core.pools.get(rig.shelfs[0].server.address)
    pool.options = replace(pool.options, max_connections=0)
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 503
    assert seen and {o.result for o in seen} == {interface.Result.NOT_SENT}
    assert rig.core.loop.module.node_queues[0].health.failures == 0


def test_a_client_that_leaves_ends_its_attempt(rig: RelayRig) -> None:
    seen, shelf = outcomes(rig), rig.shelfs[0]
    shelf.hold.clear()
    sock = rig.raw(text("/read", headers("r1")))
    wait_for(lambda: rig.asked() == ["r1"])
    sock.close()
    wait_for(lambda: [o.result for o in seen] == [interface.Result.CANCELLED])
    wait_for(lambda: not rig.core.pending and not rig.program.handler.open)
    assert all(
        conn.stream.peer_left() for conn in shelf.server.connections
    )  # its shelf is told by the end of the connection


SURPLUS = {
    "noise": lambda a: plain(a) + b"\x00noise",
    "twice": lambda a: plain(a) + plain(a),
    "early": lambda a: b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + plain(a),
    "report": lambda a: plain(a, b"Server-Load: rif=many,lat_ms=\r\nX-Volume-Use: lots\r\nX-Served-Elsewhere: -4\r\n"),
}


@pytest.mark.parametrize("case", SURPLUS)
def test_what_comes_beside_a_good_answer_does_not_spoil_it(rig: RelayRig, case: str) -> None:
    rig.shelfs[0].script = SURPLUS[case]
    c = rig.client()
    for k in range(3):
        got: Any = c.ask("GET", "/read", **headers(f"r{k}"))
        assert (got.status, got.data) == (200, b"r%d GET /read" % k)
    assert rig.asked() == ["r0", "r1", "r2"]  # one attempt each


def test_given_up_is_answered_at_once_and_says_when_to_come_back(rig: RelayRig) -> None:
    began = time.monotonic()
    got = rig.client().ask("GET", "/read", **headers("r1", plan="tight", units=8))
    assert got.status == 503 and 0 < float(got.headers["Retry-After"]) <= 0.5
    assert time.monotonic() - began < 0.3 and rig.asked() == []
    assert [
        why for why in rig.program.count().log_fields() if why.startswith("refused: turned away before any attempt")
    ]


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_taken(rig: RelayRig) -> None:
    c = rig.client()
    assert c.ask("GET", "/read", **headers("r1")).status == 200
    server = rig.program.handler.server
    wait_for(lambda: server.idle)
    next(iter(server.idle)).stream.close()
    with pytest.raises((ConnectionError, http.client.HTTPException)):
        c.ask("GET", "/read", **headers("r2"))
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200 and rig.asked() == ["r1", "r2"]


def test_ever_new_ids_leave_nothing_behind(rig: RelayRig) -> None:
    first, discovery, module = rig.discovery.whole(), rig.program.discovery, rig.core.loop.module
    row = first["hosts"][0]
    for k in range(2000):
        rows = [row | {"host": f"new-{k}"}, row | {"host": f"new-{k - 1}", "health": "left"}]
        discovery.apply(json.dumps({"seq": first["seq"] + k + 1, "whole": False, "hosts": rows}).encode())
    wait_for(lambda: not rig.core.loop.inbox)
    assert len(discovery.nodes) <= 4 and len(discovery.numbers) <= 4 and len(module.endpoints.nodes) <= 4
    assert len(module.node_queues) == 2


@contextlib.contextmanager
def process_of(
    rig: RelayRig,
    descriptors: int = 1024,
    start: tuple[str, ...] = ("-m", "fawnspool.relay"),
    up: Callable[[], Any] | None = None,
    log: Path | None = None,
) -> Iterator[subprocess.Popen[bytes]]:
    """The real process in the place of the rig's own program, held to so many descriptors. up: is it there? Without:
    when it asked discovery. log: where its log goes."""
    rig.program.stop()
    before = len(rig.discovery.calls)
    process = subprocess.Popen(
        [sys.executable, *start],
        cwd=Path(__file__).parents[2],
        stderr=subprocess.DEVNULL if log is None else log.open("wb"),
        env={"RELAY_CONFIG": str(rig.path), "PATH": "/usr/bin:/bin"},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
    )
    try:
        wait_for(up or (lambda: len(rig.discovery.calls) > before), 30)
        yield process
    finally:
        process.kill()
        process.wait()
        for shelf in rig.shelfs:
            shelf.hold.set()
            shelf.server.stop()
        rig.discovery.server.stop()


def test_the_process_lives_under_a_small_limit_of_descriptors(tmp_path: Path) -> None:
    rig = RelayRig(tmp_path, sockets=64)
    with process_of(rig, 64) as process:
        quiet = [rig.raw(b"") for _ in range(200)]
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
        assert len(list(Path(f"/proc/{process.pid}/fd").iterdir())) <= 64 and process.poll() is None
        assert all(sock.recv(1) == b"" for sock in quiet)  # closed, each in its time


# The program under a hook that ends it at the first call that the platform's filter would refuse.
WATCHED = """
import os, socket, sys
def hook(name, args):
    bad = name in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system", "subprocess.Popen") \\
        or name == "socket.__new__" and args[1] not in (-1, socket.AF_INET)     # -1: around one that is there
    if bad:
        os._exit(77)
for name in ("splice", "sendfile"):
    setattr(os, name, lambda *a, **k: os._exit(77))
sys.addaudithook(hook)
from fawnspool.relay.process import main
sys.exit(main(os.environ))
"""


def test_the_program_calls_nothing_that_the_platform_refuses(tmp_path: Path) -> None:
    """No other program, no fork, no socket but TCP and UDP over IPv4, and one thread is enough."""
    rig = RelayRig(tmp_path)
    with process_of(rig, start=("-c", WATCHED)) as process:
        assert rig.client().ask("GET", "/_health").status == 200
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
        assert rig.client().ask("PUT", "/note", b"x", **headers("w1"), Idempotency_Key="k").status == 200
        assert not Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: process.poll() is not None, 10)
        assert process.returncode == 0


def test_the_program_itself_heeds_its_signals(tmp_path: Path) -> None:
    """The real process: it serves, follows discovery on SIGHUP, answers all and ends on SIGTERM."""
    rig = RelayRig(tmp_path, classes=[c | {"aim": 8.0, "deadline": 9.0} for c in SETTINGS["classes"]])
    other = DiscoveryServer()
    other.rows, other.seq = dict(rig.discovery.rows), rig.discovery.seq
    with process_of(rig) as process:
        assert rig.client().ask("GET", "/_health").status == 200
        rig.shelfs[0].hold.clear()
        sock = rig.raw(text("/read", headers("r1", wait="8000")))
        wait_for(lambda: rig.asked() == ["r1"])
        rig.write(other)
        process.send_signal(signal.SIGHUP)
        wait_for(lambda: other.watchers)
        process.send_signal(signal.SIGTERM)
        assert rig.client().ask("GET", "/read", **headers("r2", shard=1)).status == 200
        rig.shelfs[0].hold.set()
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        wait_for(lambda: process.poll() is not None, 10)
        assert process.returncode == 0
    other.server.stop()


def test_a_turned_away_attempt_never_ran_and_an_error_may_have(rig: RelayRig) -> None:
    seen = outcomes(rig)
    answers = [
        b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    ]
    rig.shelfs[0].script = lambda asked: answers.pop(0) if answers else None
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
    assert [o.result for o in seen] == [
        interface.Result.OVERLOADED,
        interface.Result.ERROR,
        interface.Result.ERROR,
        interface.Result.SERVED,
    ]


def test_one_break_of_a_kept_connection_is_enough_to_distrust_the_older_ones(rig: RelayRig) -> None:
    shelf, seen = rig.shelfs[0], outcomes(rig)
    rig.core.loop.module.node_queues[0].concurrency.limit = 8.0
    shelf.hold.clear()
    socks = [rig.raw(text("/read", headers(f"a{k}", volume=f"{k + 1:016x}", obj=f"{k + 1:x}"))) for k in range(4)]
    wait_for(lambda: len(shelf.asked) == 4)
    shelf.hold.set()
    assert all(s.recv(4096).startswith(b"HTTP/1.1 200") for s in socks)
    pool = rig.core.pools.by_address[shelf.server.address]
    wait_for(lambda: len(pool.idle) == 4)
    shelf.cuts_kept = True
    seen.clear()
    assert rig.client().ask("GET", "/read", **headers("b")).status == 200
    assert [(o.result, o.reused_connection) for o in seen] == [
        (interface.Result.RESET, True),
        (interface.Result.SERVED, False),
    ]
    assert pool.open_count == 1


def test_a_leaving_shelf_gets_nothing_new(rig: RelayRig) -> None:
    rig.discovery.put(rig.shelfs[0], "s-0", "leaving")
    wait_for(lambda: rig.program.discovery.version == rig.discovery.seq)
    assert rig.client().ask("GET", "/read", **headers("r1", wait="300")).status in (502, 503, 504)
    assert rig.client().ask("GET", "/read", **headers("r2", shard=-1)).status == 200
    assert [a.ident for a in rig.shelfs[1].asked] == ["r2"] and rig.shelfs[0].asked == []


def test_connections_to_shelfs_that_left_or_closed_are_given_back(rig: RelayRig) -> None:
    for k in range(2):
        assert rig.client().ask("GET", "/read", **headers(f"r{k}", shard=k)).status == 200
    wait_for(lambda: sum(p.open_count for p in rig.core.pools.by_address.values()) == 2)
    rig.discovery.change(rig.discovery.rows["s-0"] | {"health": "left"})
    wait_for(lambda: rig.shelfs[0].server.address not in rig.core.pools.by_address)
    wait_for(lambda: not rig.shelfs[0].server.connections)  # seen from the other end
    pool = rig.core.pools.by_address[rig.shelfs[1].server.address]
    rig.shelfs[1].server.reset_all()
    wait_for(lambda: pool.open_count == 0)
    assert rig.client().ask("GET", "/read", **headers("r2", shard=1)).status == 200
    wait_for(lambda: len(pool.idle) == 1)
    pool.options = replace(pool.options, idle_timeout_s=0.1)  # before the shelf would: it keeps them for a minute
    wait_for(lambda: pool.open_count == 0 and not rig.shelfs[1].server.connections)
    assert rig.client().ask("GET", "/read", **headers("r3", shard=1)).status == 200


def test_discovery_that_fails_is_asked_again_and_one_that_moves_is_followed(rig: RelayRig) -> None:
    lists = told(rig, interface.EndpointUpdate)
    rig.discovery.down = True
    for queue in list(rig.discovery.watchers):
        queue.put(rig.discovery.whole())
    wait_for(lambda: interface.UpdateKind.POLL_FAILED in [event.kind for event in lists])
    rig.discovery.down = False
    wait_for(lambda: rig.discovery.watchers)
    other = DiscoveryServer()
    other.rows, other.seq = dict(rig.discovery.rows), rig.discovery.seq
    rig.write(other)
    rig.program.reload()
    wait_for(lambda: other.watchers)
    wait_for(lambda: not rig.discovery.watchers)
    other.put(rig.shelfs[0], "s-0", "left")
    wait_for(lambda: rig.program.discovery.version == other.seq)
    assert len(rig.program.discovery.nodes) == 1
    rig.path.write_text("{")
    rig.program.reload()  # a file that does not read changes nothing
    assert rig.program.config.discovery == other.server.address
    other.server.stop()


@pytest.mark.parametrize("line", [b"not JSON", b"[" * 200_000, b'{"seq": 9, "hosts": 7}', b'{"seq": "x"}', b"[]"])
def test_a_line_of_a_watch_that_does_not_read_is_a_failed_watch(rig: RelayRig, line: bytes) -> None:
    before = len(rig.discovery.calls)
    for queue in list(rig.discovery.watchers):
        queue.put(line)
    wait_for(lambda: len(rig.discovery.calls) > before)  # the module was told, and asks again
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200


def test_entries_that_do_not_read_are_left_out_and_leave_no_number(rig: RelayRig) -> None:
    row, discovery = rig.discovery.rows["s-0"], rig.program.discovery
    numbers = dict(discovery.numbers)
    for change in ({"dial": "nowhere"}, {"health": "odd"}, {"block": "x"}, {"born_ms": "soon"}):
        rig.discovery.change(row | {"host": f"bad-{len(change)}-{next(iter(change))}"} | change)
    wait_for(lambda: discovery.version == rig.discovery.seq)
    assert discovery.numbers == numbers and len(discovery.nodes) == 2


def test_a_second_sigterm_gives_no_more_time_and_sighup_changes_discovery_alone(rig: RelayRig) -> None:
    ending = gevent.spawn(rig.program.drain)
    wait_for(lambda: rig.program.handler.last_answer_by < math.inf)
    until = rig.program.handler.last_answer_by
    rig.settings = rig.settings | {"classes": [c | {"deadline": 9.0} for c in SETTINGS["classes"]]}
    rig.write(rig.discovery)
    rig.program.reload()
    again = gevent.spawn(rig.program.drain)
    gevent.joinall([ending, again], timeout=10)
    assert ending.ready() and again.ready() and rig.program.handler.last_answer_by == until
    assert rig.program.config.settings.classes[0].deadline_s == 2.0


def test_a_head_that_is_told_to_end_serves_on_and_answers_all(rig: RelayRig) -> None:
    """Kept connections are used as long as they stay open; all is answered before the platform may kill the head."""
    kept = rig.client()
    assert kept.ask("GET", "/read", **headers("r0", shard=1)).status == 200
    rig.shelfs[0].hold.clear()
    early = rig.raw(text("/read", headers("r1", wait="2000")))
    wait_for(lambda: "r1" in rig.asked())
    began = time.monotonic()
    ending = gevent.spawn(rig.program.drain)
    wait_for(lambda: rig.program.handler.last_answer_by < math.inf)
    assert rig.client().ask("GET", "/read", **headers("r2", shard=1)).status == 200  # a new connection still comes
    last, served = 0.0, 0
    while not ending.ready():
        try:
            served += kept.ask("GET", "/read", **headers(f"k{served}", shard=1)).status == 200
        except (ConnectionError, http.client.HTTPException):
            break  # closed between two requests
        last = time.monotonic() - began
    assert served > 100 and last > 1.9  # of 2.7 s until it may be killed (its longest deadline is 2 s)
    got = early.recv(4096)
    assert got.startswith(b"HTTP/1.1 50")  # its shelf never answered, but the head did
    ending.join(timeout=5)
    assert rig.program.ended.is_set() and time.monotonic() - began < 2.7


def test_settings_name_what_is_missing(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=r"guarantees\.fall"):
        RelayRig(tmp_path, guarantees={k: v for k, v in SETTINGS["guarantees"].items() if k != "fall"})
