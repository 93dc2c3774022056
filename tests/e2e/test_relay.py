"""A live gateway on loopback: which requests reach shelfs, what clients receive, and malformed input from peers."""

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

from fawnspool.connections.resource_budget import REQUEST_BYTES
from fawnspool.relay.errors import ConfigError
from fawnspool.scheduling import interface
from fawnspool.standins.platform import DiscoveryServer, ShelfRequest
from tests.e2e.relayrig import SETTINGS, RelayRig, headers, request_bytes
from tests.e2e.rig import wait_for


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[RelayRig]:
    relay_rig = RelayRig(tmp_path)
    yield relay_rig
    relay_rig.stop()


def record_events(rig: RelayRig, kind: type[Any]) -> list[Any]:
    """Return a list to which all later events of this kind to the decision module are appended."""
    events, handle = list[Any](), rig.core.loop.module.handle

    def record(now: float, event: Any) -> Any:
        events.extend([event] if isinstance(event, kind) else [])
        return handle(now, event)

    rig.core.loop.module.handle = record
    return events


def record_outcomes(rig: RelayRig) -> list[interface.Outcome]:
    return record_events(rig, interface.Outcome)


def test_large_response_is_forwarded_completely(rig: RelayRig) -> None:
    body = bytes(range(256)) * 1600
    rig.shelfs[0].script = lambda request: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    response: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (response.status, response.data) == (200, body) and rig.received_ids() == ["r1"]


def test_read_and_write_are_forwarded_unchanged(rig: RelayRig) -> None:
    outcomes = record_outcomes(rig)
    rig.shelfs[1].report = [
        (b"Server-Load", b"rif=7,queue=2,lat_ms=61.5"),
        (b"X-Volume-Use", b"140"),
        (b"X-Served-Elsewhere", b"12"),
    ]
    client = rig.client()
    assert client.ask("GET", "/_health").status == 200
    response: Any = client.ask("GET", "/read/a?b=c", **headers("r1", shard=1))
    assert (response.status, response.data) == (200, b"r1 GET /read/a?b=c")
    response = client.ask("PUT", "/note", b"x" * 60_000, **headers("w1"), Idempotency_Key="k-9")
    assert (response.status, response.data) == (200, b"w1 PUT /note")
    write = rig.shelfs[0].requests[0]
    assert write.body == b"x" * 60_000 and write.headers[b"idempotency-key"] == b"k-9"
    assert 0 < int(write.headers[b"request-timeout-ms"]) <= 1500
    assert (outcomes[0].result, outcomes[0].units_by_others, outcomes[0].volume_usage, outcomes[0].load_report) == (
        interface.Result.SERVED,
        12,
        1.4,
        (7.0, 61.5),
    )
    assert outcomes[1].load_report is None and outcomes[1].volume_usage is None
    assert rig.program.handler.open == {} and not rig.core.pending
    totals = rig.program.count().log_fields()
    assert totals["request served"] == 2 and totals["attempt served"] == 2 and totals["events"] > 4
    assert [node.text().partition(" ")[0] for node in rig.program.nodes()] == ["0:sound", "1:sound"]


MALFORMED_REQUESTS = {
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
def test_accepts_whitespace_around_field_values_and_names_in_any_case(rig: RelayRig, framing: str) -> None:
    """RFC 9110, 5.5. On a brink day of herd, one request in four was of this form and was rejected as malformed."""
    rows = headers("w1") | {"Idempotency-Key": "k-9"}
    raw = b"PUT /note HTTP/1.1\r\nHOST: \t h \r\n"
    for index, (name, value) in enumerate(rows.items()):
        raw += f"{name.lower() if index % 2 else name.upper()}:{' ' * (index % 3)}{value} \t\r\n".encode()
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
    request = rig.shelfs[0].requests[0]
    assert (request.ident, request.body, request.headers[b"idempotency-key"]) == ("w1", b"abcd", b"k-9")


@pytest.mark.parametrize("chunked", [False, True])
def test_long_bodies_are_forwarded_while_memory_for_them_remains(tmp_path: Path, chunked: bool) -> None:
    rig = RelayRig(tmp_path)
    rig.program.resource_limits.check()  # divides the memory for the list of the rig
    memory = rig.program.handler.request_memory.account
    memory.total_bytes = 360_000
    try:
        rig.shelfs[0].may_respond.clear()

        def send_request(ident: str, size: int) -> Any:
            rows = headers(ident) | {"Idempotency-Key": "k"}
            if not chunked:
                return rig.raw(request_bytes("/note", rows, "PUT", b"x" * size))
            pieces = (b"%x\r\n%s\r\n" % (40_000, b"x" * 40_000)) * (size // 40_000)
            return rig.raw(
                request_bytes("/note", rows | {"Transfer-Encoding": "chunked"}, "PUT") + pieces + b"0\r\n\r\n"
            )

        first = send_request("w1", 120_000)
        wait_for(lambda: rig.received_ids() == ["w1"])
        assert 120_000 <= memory.used_bytes <= 120_000 + 3 * REQUEST_BYTES
        assert send_request("w2", 200_000).recv(4096).startswith(b"HTTP/1.1 503")  # no memory beside the first
        usual = send_request("w3", 40_000)
        wait_for(lambda: rig.received_ids() == ["w1", "w3"])
        rig.shelfs[0].may_respond.set()
        assert first.recv(4096).startswith(b"HTTP/1.1 200") and usual.recv(4096).startswith(b"HTTP/1.1 200")
        wait_for(lambda: memory.used_bytes == 0 and not memory.held)
        assert send_request("w4", 200_000).recv(4096).startswith(b"HTTP/1.1 200")
        assert [len(a.body) for a in rig.shelfs[0].requests] == [120_000, 40_000, 200_000]
    finally:
        rig.stop()


@pytest.mark.parametrize("case", MALFORMED_REQUESTS)
def test_malformed_request_is_rejected_and_not_forwarded(rig: RelayRig, case: str) -> None:
    target, change = MALFORMED_REQUESTS[case]
    requests = record_events(rig, interface.Request)
    method, _, target = target.rpartition(" ")
    response = rig.client().ask(method or "GET", target, **headers("r1") | change)
    assert 400 <= response.status < 500
    assert rig.received_ids() == [] and requests == []
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200


INVALID_FRAMING = {
    "two framings": request_bytes("/read", headers("r1") | {"Content-Length": "4", "Transfer-Encoding": "chunked"})
    + b"0\r\n",
    "two lengths": request_bytes("/read", headers("r1") | {"Content-Length": "4", "content-length": "5"}) + b"abcd",
    "negative": request_bytes("/read", headers("r1") | {"Content-Length": "-4"}),
    "huge": request_bytes("/read", headers("r1") | {"Content-Length": str(60 << 20)}) + b"x" * 100_000,
    "chunks over 1 MiB": request_bytes("/read", headers("r1") | {"Transfer-Encoding": "chunked"})
    + (b"ffff\r\n" + b"x" * 65535 + b"\r\n") * 16
    + b"ff\r\n"
    + b"x" * 255
    + b"\r\n",
    "noise": b"\x00\xff\x13 nothing\r\n\r\n",
    "endless head": b"GET /read HTTP/1.1\r\nHost: h\r\n" + b"X-A: " + b"a" * 20_000,
    "many fields": b"GET /read HTTP/1.1\r\n" + b"X-A: 1\r\n" * 200,
}


@pytest.mark.parametrize("case", INVALID_FRAMING)
def test_invalid_framing_gets_an_error_or_a_close_at_once(rig: RelayRig, case: str) -> None:
    began, sock = time.monotonic(), rig.raw(INVALID_FRAMING[case])
    try:
        first = sock.recv(4096)
    except ConnectionError:
        first = b""
    assert first == b"" or first.split(b" ")[1][:1] == b"4"
    assert time.monotonic() - began < 2.0 and rig.received_ids() == []


def test_rejects_a_request_whose_id_is_already_open(rig: RelayRig) -> None:
    rig.shelfs[0].may_respond.clear()
    first = rig.raw(request_bytes("/read", headers("r1")))
    wait_for(lambda: rig.received_ids() == ["r1"])
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 409
    rig.shelfs[0].may_respond.set()
    assert b"r1 GET /read" in first.recv(4096)
    assert rig.received_ids() == ["r1"]


def test_silent_connections_and_partial_requests_are_closed_in_time(rig: RelayRig) -> None:
    began = time.monotonic()
    silent, half = rig.raw(b""), rig.raw(request_bytes("/read", headers("r1"))[:40])
    slow = rig.raw(request_bytes("/note", headers("w1") | {"Idempotency-Key": "k", "Content-Length": "100"}, "PUT"))

    def send_slowly() -> None:
        while True:
            gevent.sleep(0.05)
            slow.send(b"x")

    feeder = gevent.spawn(send_slowly)
    assert silent.recv(10) == b"" and half.recv(12).startswith(b"HTTP/1.1 4")
    assert slow.recv(12).startswith(b"HTTP/1.1 4")
    feeder.kill()
    assert time.monotonic() - began < 3.0 and rig.received_ids() == []


def test_full_gateway_evicts_the_connection_that_waited_longest(tmp_path: Path) -> None:
    rig = RelayRig(tmp_path, sockets=64)
    try:
        max_connections = rig.program.handler.server.options.max_connections
        used = rig.client()
        assert used.ask("GET", "/read", **headers("r0")).status == 200
        silent = [rig.raw(b"") for _ in range(max_connections + 5)]
        wait_for(lambda: len(rig.program.handler.server.connections) == max_connections)
        assert silent[0].recv(1) == b""
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
        assert (
            used.ask("GET", "/read", **headers("r2")).status == 200
        )  # connections without any request are evicted first
    finally:
        rig.stop()


def test_flood_of_new_connections_does_not_evict_one_that_has_carried_a_request(tmp_path: Path) -> None:
    """Guards against new connections that are all too young to be evicted, so that resting ones make room for them."""
    rig = RelayRig(tmp_path, sockets=64)
    try:
        used = rig.client()
        assert used.ask("GET", "/read", **headers("r0")).status == 200
        gevent.sleep(0.2)
        silent = [rig.raw(b"") for _ in range(rig.program.handler.server.options.max_connections + 5)]
        assert silent[0].recv(1) == b""
        assert used.ask("GET", "/read", **headers("r1")).status == 200
    finally:
        rig.stop()


def test_new_connection_is_not_evicted_before_its_client_can_send(tmp_path: Path) -> None:
    """Guards against a request that crosses two evictions: slow requests held all other places and were not ended."""
    rig = RelayRig(tmp_path, sockets=64)
    try:
        server = rig.program.handler.server
        half = request_bytes("/read", headers("h"))[:40]
        slow = [rig.raw(half) for _ in range(server.options.max_connections - 1)]
        wait_for(lambda: server.states().get("reading") == len(slow))
        sound = rig.client()
        wait_for(lambda: server.new)
        others = [rig.raw(half) for _ in range(3)]
        gevent.sleep(0.03)
        assert sound.ask("GET", "/read", **headers("r1")).status == 200
        assert rig.client().ask("GET", "/read", **headers("r2")).status == 200
        assert len(others) == 3
    finally:
        rig.stop()


def test_responses_end_their_connections_while_the_server_is_crowded(tmp_path: Path) -> None:
    """Otherwise clients that keep their connections after one request would leave no connections for others."""
    rig = RelayRig(tmp_path, sockets=64)
    try:
        crowd = rig.program.handler.server.options.crowded_from
        for number in range(3 * crowd):
            client = rig.client()  # never closes its connection
            assert client.ask("GET", "/read", **headers(f"r{number}")).status == 200
            assert len(rig.program.handler.server.connections) <= crowd + 1
        assert client.sock.recv(1) == b""
        rig.program.handler.server.options.crowded_from = None
        client = rig.client()
        for number in range(2):
            assert client.ask("GET", "/read", **headers(f"k{number}")).status == 200
    finally:
        rig.stop()


MALFORMED_RESPONSES = {
    "noise": b"\x7f\x00garbage garbage\r\n\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * 5000,
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    "3 GB": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"z" * 300_000,
    "chunks without end": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"ffff\r\n"
    + b"z" * 65535
    + (b"\r\nffff\r\n" + b"z" * 65535) * 20,
}


@pytest.mark.parametrize("case", MALFORMED_RESPONSES)
def test_malformed_response_is_not_forwarded(rig: RelayRig, case: str) -> None:
    outcomes = record_outcomes(rig)
    rig.shelfs[0].script = lambda request: MALFORMED_RESPONSES[case] if len(rig.shelfs[0].requests) == 1 else None
    began = time.monotonic()
    response: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (response.status, response.data) == (200, b"r1 GET /read")  # the second attempt
    assert [o.result for o in outcomes] == [interface.Result.RESET, interface.Result.SERVED]
    assert time.monotonic() - began < 1.0


def plain_response(request: ShelfRequest, extra_headers: bytes = b"") -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\n"
        + extra_headers
        + b"Content-Length: %d\r\n\r\n" % len(request.plain_body())
        + request.plain_body()
    )


def test_truncated_response_is_not_forwarded(rig: RelayRig) -> None:
    outcomes, shelf = record_outcomes(rig), rig.shelfs[0]
    shelf.closes_after_script = True
    shelf.script = lambda request: plain_response(request)[:-3] if len(shelf.requests) == 1 else None
    response: Any = rig.client().ask("GET", "/read", **headers("r1"))
    assert (response.status, response.data) == (200, b"r1 GET /read")
    assert [o.result for o in outcomes] == [interface.Result.RESET, interface.Result.SERVED]


def test_attempts_at_a_shelf_that_is_down_fail_to_connect(rig: RelayRig) -> None:
    outcomes = record_outcomes(rig)
    rig.shelfs[0].server.stop()
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 503
    assert outcomes and {(o.result, o.reused_connection) for o in outcomes} == {
        (interface.Result.CONNECT_FAILED, False)
    }


def test_exhausted_pool_counts_as_no_failure_of_the_shelf(rig: RelayRig) -> None:
    outcomes = record_outcomes(rig)
    pool = rig.core.pools.get(rig.shelfs[0].server.address)
    pool.options = replace(pool.options, max_connections=0)
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 503
    assert outcomes and {o.result for o in outcomes} == {interface.Result.NOT_SENT}
    assert rig.core.loop.module.node_queues[0].health.failures == 0


def test_disconnect_of_the_client_cancels_its_attempt(rig: RelayRig) -> None:
    outcomes, shelf = record_outcomes(rig), rig.shelfs[0]
    shelf.may_respond.clear()
    sock = rig.raw(request_bytes("/read", headers("r1")))
    wait_for(lambda: rig.received_ids() == ["r1"])
    sock.close()
    wait_for(lambda: [o.result for o in outcomes] == [interface.Result.CANCELLED])
    wait_for(lambda: not rig.core.pending and not rig.program.handler.open)
    assert all(
        conn.stream.peer_has_closed() for conn in shelf.server.connections
    )  # the closed connection cancels the request at the shelf


VALID_RESPONSES = {
    "noise": lambda a: plain_response(a) + b"\x00noise",
    "twice": lambda a: plain_response(a) + plain_response(a),
    "early": lambda a: (
        b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + plain_response(a)
    ),
    "report": lambda a: plain_response(
        a, b"Server-Load: rif=many,lat_ms=\r\nX-Volume-Use: lots\r\nX-Served-Elsewhere: -4\r\n"
    ),
}


@pytest.mark.parametrize("case", VALID_RESPONSES)
def test_surplus_bytes_and_malformed_reports_do_not_invalidate_a_response(rig: RelayRig, case: str) -> None:
    rig.shelfs[0].script = VALID_RESPONSES[case]
    client = rig.client()
    for number in range(3):
        response: Any = client.ask("GET", "/read", **headers(f"r{number}"))
        assert (response.status, response.data) == (200, b"r%d GET /read" % number)
    assert rig.received_ids() == ["r0", "r1", "r2"]  # one attempt each


def test_rejected_request_is_answered_at_once_with_retry_after(rig: RelayRig) -> None:
    began = time.monotonic()
    response = rig.client().ask("GET", "/read", **headers("r1", plan="tight", units=8))
    assert response.status == 503 and 0 < float(response.headers["Retry-After"]) <= 0.5
    assert time.monotonic() - began < 0.3 and rig.received_ids() == []
    assert [
        why for why in rig.program.count().log_fields() if why.startswith("refused: turned away before any attempt")
    ]


def test_request_that_crosses_the_close_of_an_idle_connection_is_not_accepted(rig: RelayRig) -> None:
    client = rig.client()
    assert client.ask("GET", "/read", **headers("r1")).status == 200
    server = rig.program.handler.server
    wait_for(lambda: server.idle)
    next(iter(server.idle)).stream.close()
    with pytest.raises((ConnectionError, http.client.HTTPException)):
        client.ask("GET", "/read", **headers("r2"))
    assert rig.client().ask("GET", "/read", **headers("r2")).status == 200 and rig.received_ids() == ["r1", "r2"]


def test_state_of_removed_hosts_is_dropped(rig: RelayRig) -> None:
    first, discovery, module = rig.discovery.snapshot(), rig.program.discovery, rig.core.loop.module
    host_entry = first["hosts"][0]
    for number in range(2000):
        rows = [host_entry | {"host": f"new-{number}"}, host_entry | {"host": f"new-{number - 1}", "health": "left"}]
        discovery.apply(json.dumps({"seq": first["seq"] + number + 1, "whole": False, "hosts": rows}).encode())
    wait_for(lambda: not rig.core.loop.inbox)
    assert len(discovery.nodes) <= 4 and len(discovery.numbers) <= 4 and len(module.endpoints.nodes) <= 4
    assert len(module.node_queues) == 2


@contextlib.contextmanager
def gateway_process(
    rig: RelayRig,
    descriptors: int = 1024,
    start: tuple[str, ...] = ("-m", "fawnspool.relay"),
    up: Callable[[], Any] | None = None,
    log: Path | None = None,
) -> Iterator[subprocess.Popen[bytes]]:
    """Run the real process in place of the rig's own program, with a limit on file descriptors.

    `up` returns whether the process has started; by default it has once it has called discovery. `log` is the file for
    the process' log.
    """
    rig.program.stop()
    before = len(rig.discovery.targets)
    process = subprocess.Popen(
        [sys.executable, *start],
        cwd=Path(__file__).parents[2],
        stderr=subprocess.DEVNULL if log is None else log.open("wb"),
        env={"RELAY_CONFIG": str(rig.path), "PATH": "/usr/bin:/bin"},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors)),
    )
    try:
        wait_for(up or (lambda: len(rig.discovery.targets) > before), 30)
        yield process
    finally:
        process.kill()
        process.wait()
        for shelf in rig.shelfs:
            shelf.may_respond.set()
            shelf.server.stop()
        rig.discovery.server.stop()


def test_process_runs_with_a_small_limit_on_descriptors(tmp_path: Path) -> None:
    rig = RelayRig(tmp_path, sockets=64)
    with gateway_process(rig, 64) as process:
        silent = [rig.raw(b"") for _ in range(200)]
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
        assert len(list(Path(f"/proc/{process.pid}/fd").iterdir())) <= 64 and process.poll() is None
        assert all(sock.recv(1) == b"" for sock in silent)  # each was closed by its timeout or evicted


# Runs the program with an audit hook that ends it at the first call that the platform's filter would reject.
AUDITED_PROGRAM = """
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


def test_program_makes_no_call_that_the_platform_rejects(tmp_path: Path) -> None:
    """It starts no program, does not fork, and uses only TCP and UDP sockets over IPv4."""
    rig = RelayRig(tmp_path)
    with gateway_process(rig, start=("-c", AUDITED_PROGRAM)) as process:
        assert rig.client().ask("GET", "/_health").status == 200
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
        assert rig.client().ask("PUT", "/note", b"x", **headers("w1"), Idempotency_Key="k").status == 200
        assert not Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: process.poll() is not None, 10)
        assert process.returncode == 0


def test_process_handles_its_signals(tmp_path: Path) -> None:
    """The real process serves, switches discovery on SIGHUP, and on SIGTERM answers all requests and exits."""
    rig = RelayRig(tmp_path, classes=[c | {"aim": 8.0, "deadline": 9.0} for c in SETTINGS["classes"]])
    other = DiscoveryServer()
    other.hosts, other.version = dict(rig.discovery.hosts), rig.discovery.version
    with gateway_process(rig) as process:
        assert rig.client().ask("GET", "/_health").status == 200
        rig.shelfs[0].may_respond.clear()
        sock = rig.raw(request_bytes("/read", headers("r1", wait="8000")))
        wait_for(lambda: rig.received_ids() == ["r1"])
        rig.write(other)
        process.send_signal(signal.SIGHUP)
        wait_for(lambda: other.watchers)
        process.send_signal(signal.SIGTERM)
        assert rig.client().ask("GET", "/read", **headers("r2", shard=1)).status == 200
        rig.shelfs[0].may_respond.set()
        assert sock.recv(4096).startswith(b"HTTP/1.1 200")
        wait_for(lambda: process.poll() is not None, 10)
        assert process.returncode == 0
    other.server.stop()


def test_rejection_by_a_shelf_is_overload_and_other_statuses_are_errors(rig: RelayRig) -> None:
    outcomes = record_outcomes(rig)
    answers = [
        b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    ]
    rig.shelfs[0].script = lambda request: answers.pop(0) if answers else None
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
    assert [o.result for o in outcomes] == [
        interface.Result.OVERLOADED,
        interface.Result.ERROR,
        interface.Result.ERROR,
        interface.Result.SERVED,
    ]


def test_break_of_a_reused_connection_discards_the_older_ones(rig: RelayRig) -> None:
    shelf, outcomes = rig.shelfs[0], record_outcomes(rig)
    rig.core.loop.module.node_queues[0].concurrency.limit = 8.0
    shelf.may_respond.clear()
    socks = [
        rig.raw(request_bytes("/read", headers(f"a{k}", volume=f"{k + 1:016x}", obj=f"{k + 1:x}"))) for k in range(4)
    ]
    wait_for(lambda: len(shelf.requests) == 4)
    shelf.may_respond.set()
    assert all(s.recv(4096).startswith(b"HTTP/1.1 200") for s in socks)
    pool = rig.core.pools.by_address[shelf.server.address]
    wait_for(lambda: len(pool.idle) == 4)
    shelf.resets_reused = True
    outcomes.clear()
    assert rig.client().ask("GET", "/read", **headers("b")).status == 200
    assert [(o.result, o.reused_connection) for o in outcomes] == [
        (interface.Result.RESET, True),
        (interface.Result.SERVED, False),
    ]
    assert pool.open_count == 1


def test_draining_shelf_gets_no_new_requests(rig: RelayRig) -> None:
    rig.discovery.put(rig.shelfs[0], "s-0", "leaving")
    wait_for(lambda: rig.program.discovery.version == rig.discovery.version)
    assert rig.client().ask("GET", "/read", **headers("r1", wait="300")).status in (502, 503, 504)
    assert rig.client().ask("GET", "/read", **headers("r2", shard=-1)).status == 200
    assert [a.ident for a in rig.shelfs[1].requests] == ["r2"] and rig.shelfs[0].requests == []


def test_connections_to_shelfs_that_left_or_closed_are_discarded(rig: RelayRig) -> None:
    for shard in range(2):
        assert rig.client().ask("GET", "/read", **headers(f"r{shard}", shard=shard)).status == 200
    wait_for(lambda: sum(p.open_count for p in rig.core.pools.by_address.values()) == 2)
    rig.discovery.change(rig.discovery.hosts["s-0"] | {"health": "left"})
    wait_for(lambda: rig.shelfs[0].server.address not in rig.core.pools.by_address)
    wait_for(lambda: not rig.shelfs[0].server.connections)  # the shelf's side is closed as well
    pool = rig.core.pools.by_address[rig.shelfs[1].server.address]
    rig.shelfs[1].server.reset_all()
    wait_for(lambda: pool.open_count == 0)
    assert rig.client().ask("GET", "/read", **headers("r2", shard=1)).status == 200
    wait_for(lambda: len(pool.idle) == 1)
    pool.options = replace(pool.options, idle_timeout_s=0.1)  # shorter than the shelf's idle timeout of a minute
    wait_for(lambda: pool.open_count == 0 and not rig.shelfs[1].server.connections)
    assert rig.client().ask("GET", "/read", **headers("r3", shard=1)).status == 200


def test_failed_discovery_is_retried_and_a_new_address_is_used(rig: RelayRig) -> None:
    lists = record_events(rig, interface.EndpointUpdate)
    rig.discovery.is_down = True
    for queue in list(rig.discovery.watchers):
        queue.put(rig.discovery.snapshot())
    wait_for(lambda: interface.UpdateKind.POLL_FAILED in [event.kind for event in lists])
    rig.discovery.is_down = False
    wait_for(lambda: rig.discovery.watchers)
    other = DiscoveryServer()
    other.hosts, other.version = dict(rig.discovery.hosts), rig.discovery.version
    rig.write(other)
    rig.program.reload()
    wait_for(lambda: other.watchers)
    wait_for(lambda: not rig.discovery.watchers)
    other.put(rig.shelfs[0], "s-0", "left")
    wait_for(lambda: rig.program.discovery.version == other.version)
    assert len(rig.program.discovery.nodes) == 1
    rig.path.write_text("{")
    rig.program.reload()  # a malformed file changes nothing
    assert rig.program.config.discovery == other.server.address
    other.server.stop()


@pytest.mark.parametrize("line", [b"not JSON", b"[" * 200_000, b'{"seq": 9, "hosts": 7}', b'{"seq": "x"}', b"[]"])
def test_malformed_line_of_a_watch_fails_the_watch(rig: RelayRig, line: bytes) -> None:
    before = len(rig.discovery.targets)
    for queue in list(rig.discovery.watchers):
        queue.put(line)
    wait_for(lambda: len(rig.discovery.targets) > before)  # the decision module got the failure and polls again
    assert rig.client().ask("GET", "/read", **headers("r1")).status == 200


def test_malformed_entries_are_skipped_and_get_no_number(rig: RelayRig) -> None:
    host_entry, discovery = rig.discovery.hosts["s-0"], rig.program.discovery
    numbers = dict(discovery.numbers)
    for change in ({"dial": "nowhere"}, {"health": "odd"}, {"block": "x"}, {"born_ms": "soon"}):
        rig.discovery.change(host_entry | {"host": f"bad-{len(change)}-{next(iter(change))}"} | change)
    wait_for(lambda: discovery.version == rig.discovery.version)
    assert discovery.numbers == numbers and len(discovery.nodes) == 2


def test_second_sigterm_does_not_extend_the_time_and_sighup_changes_only_discovery(rig: RelayRig) -> None:
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


def test_gateway_that_shuts_down_keeps_serving_and_answers_all_requests(rig: RelayRig) -> None:
    """Kept connections are used while they are open; all requests are answered before the platform may kill it."""
    kept = rig.client()
    assert kept.ask("GET", "/read", **headers("r0", shard=1)).status == 200
    rig.shelfs[0].may_respond.clear()
    early = rig.raw(request_bytes("/read", headers("r1", wait="2000")))
    wait_for(lambda: "r1" in rig.received_ids())
    began = time.monotonic()
    ending = gevent.spawn(rig.program.drain)
    wait_for(lambda: rig.program.handler.last_answer_by < math.inf)
    assert (
        rig.client().ask("GET", "/read", **headers("r2", shard=1)).status == 200
    )  # a new connection is still accepted
    last, served = 0.0, 0
    while not ending.ready():
        try:
            served += kept.ask("GET", "/read", **headers(f"k{served}", shard=1)).status == 200
        except (ConnectionError, http.client.HTTPException):
            break  # closed between two requests
        last = time.monotonic() - began
    assert served > 100 and last > 1.9  # the gateway may be killed after 2.7 s, as its longest deadline is 2 s
    response = early.recv(4096)
    assert response.startswith(b"HTTP/1.1 50")  # the shelf never answered, but the gateway did
    ending.join(timeout=5)
    assert rig.program.ended.is_set() and time.monotonic() - began < 2.7


def test_settings_error_names_the_missing_key(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=r"guarantees\.fall"):
        RelayRig(tmp_path, guarantees={k: v for k, v in SETTINGS["guarantees"].items() if k != "fall"})
