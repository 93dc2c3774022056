"""Tests of the object API over real sockets: the requests that a client sends, and the responses that it receives.

They guard against wrong answers to valid requests, and against malformed input that reaches the decision module or is
parsed as a second request.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.e2e.rig import Client, Rig

OBJECT = "/v1/volumes/v/objects/tiles/3/4.png"


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    built_rig = Rig(tmp_path)
    yield built_rig
    built_rig.stop()


def test_get_returns_the_stored_object_and_its_byte_ranges(rig: Rig) -> None:
    client = rig.client()
    put = client.ask("PUT", OBJECT, b"0123456789")
    assert put.status == 201 and put.headers["ETag"]
    part = client.ask("GET", OBJECT, Range="bytes=2-5")
    assert (part.status, part.data, part.headers["Content-Range"]) == (206, b"2345", "bytes 2-5/10")
    assert part.headers["ETag"] == put.headers["ETag"]
    assert client.ask("GET", OBJECT, Range="bytes=-3").data == b"789"
    assert client.ask("GET", OBJECT).data == b"0123456789"
    assert client.ask("GET", OBJECT, Range="bytes=10-").status == 416
    assert client.ask("GET", OBJECT, Range="bytes=5-2").data == b"0123456789"  # an invalid range is ignored


def test_head_list_and_delete_of_stored_objects(rig: Rig) -> None:
    client = rig.client()
    for key in ("a/1", "a/2", "b/1"):
        assert client.ask("PUT", f"/v1/volumes/v/objects/{key}", b"x" * 7).status == 201
    head = client.ask("HEAD", "/v1/volumes/v/objects/a/1")
    assert (head.status, head.headers["Content-Length"], head.data) == (200, "7", b"")
    assert (
        client.ask("GET", "/v1/volumes/v/objects?prefix=a/").data
        == b'{"volume": "v", "objects": [{"key": "a/1", "size": 7}, {"key": "a/2", "size": 7}]}'
    )
    first = client.ask("GET", "/v1/volumes/v/objects?limit=2").data
    assert b'"after": "a/2"' in first
    assert b'"b/1"' in client.ask("GET", "/v1/volumes/v/objects?limit=2&after=a/2").data
    assert client.ask("DELETE", "/v1/volumes/v/objects/a/1").status == 204
    assert client.ask("GET", "/v1/volumes/v/objects/a/1").status == 404
    assert client.ask("DELETE", "/v1/volumes/v/objects/a/1").status == 404


def test_failed_preconditions_leave_the_object_unchanged(rig: Rig) -> None:
    client = rig.client()
    etag = client.ask("PUT", OBJECT, b"one", If_None_Match="*").headers["ETag"]
    assert client.ask("PUT", OBJECT, b"two", If_None_Match="*").status == 412
    assert client.ask("PUT", OBJECT, b"two", If_Match='"other"').status == 412
    assert client.ask("GET", OBJECT, If_None_Match=etag).status == 304
    replaced = client.ask("PUT", OBJECT, b"two", If_Match=etag)
    assert replaced.status == 200 and replaced.headers["ETag"] != etag
    assert client.ask("GET", OBJECT).data == b"two"


def test_chunked_body_is_stored_after_100_continue(rig: Rig) -> None:
    client = rig.client()
    client.sock.sendall(
        b"PUT %s HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n" % OBJECT.encode()
    )
    assert client.sock.recv(100).startswith(b"HTTP/1.1 100")
    client.sock.sendall(b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
    assert client.answer("PUT").status == 201
    assert client.ask("GET", OBJECT).data == b"abcdefg"


def test_large_body_is_streamed_in_both_directions(rig: Rig) -> None:
    client, data = rig.client(), bytes(range(256)) * 12_000
    assert client.ask("PUT", OBJECT, data, Fawn_Class="bulk").status == 201
    assert client.ask("GET", OBJECT, Fawn_Class="bulk").data == data
    assert client.ask("GET", OBJECT, Fawn_Class="bulk", Range="bytes=100-2000000").data == data[100:2000001]


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: t\r\n\r\n", 404),
        (b"GET /v1/volumes/nope/objects/k HTTP/1.1\r\nHost: t\r\n\r\n", 404),
        (b"PATCH /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\n\r\n", 405),
        (b"GET /v1/volumes/v/objects/../x HTTP/1.1\r\nHost: t\r\n\r\n", 400),
        (b"GET /v1/volumes/v/objects/a%2F..%2Fb HTTP/1.1\r\nHost: t\r\n\r\n", 400),
        (b"GET /v1/volumes/v/objects/a//b HTTP/1.1\r\nHost: t\r\n\r\n", 400),
        (b"GET /v1/volumes/v/objects/a%00b HTTP/1.1\r\nHost: t\r\n\r\n", 400),
        (b"GET /v1/volumes/v/objects/%ff HTTP/1.1\r\nHost: t\r\n\r\n", 400),
        (b"GET /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nFawn-Class: nope\r\n\r\n", 400),
        (b"GET /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nFawn-Patience-Ms: -1\r\n\r\n", 400),
        (b"GET /v1/volumes/v/objects/k HTTP/1.1\r\n\r\n", 400),
        (b"GET /v1/volumes/v/objects/k HTTP/2.0\r\nHost: t\r\n\r\n", 505),
        (b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nContent-Length: -1\r\n\r\n", 400),
        (b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (
            b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\n"
            b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501),
        (b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400),
        (b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nContent-Length: 99999999999\r\n\r\n", 413),
        (b"GET /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nExpect: magic\r\n\r\n", 417),
        (b"GET /" + b"a" * 40_000 + b" HTTP/1.1\r\nHost: t\r\n\r\n", 414),
        (b"GET / HTTP/1.1\r\nHost: t\r\n" + b"X: y\r\n" * 100 + b"\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: t\r\nX: " + b"y" * 40_000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\nHost: t\r\nHost: u\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: t\r\nA: b\n c\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
    ],
)
def test_bad_input_is_answered_with_an_error_and_never_reaches_the_module(rig: Rig, raw: bytes, status: int) -> None:
    events_before = rig.head.metrics.module_events
    client = Client(rig.address)
    client.sock.sendall(raw)
    response = client.answer()
    assert response.status == status
    assert b'"error"' in response.data
    assert rig.head.last_request_id & 0xFFFFF == 0
    new_events = rig.head.metrics.module_events - events_before
    assert not rig.head.pending and new_events <= 2  # none but the module's own timers
    if status not in (404, 405, 413) and b"objects/k HTTP/1.1" not in raw[:60] and b"%" not in raw:
        client.sock.settimeout(5)
        if b".." not in raw and b"//" not in raw:
            assert client.sock.recv(1) == b""  # closed, as the framing of further requests is uncertain


def test_request_smuggled_behind_conflicting_lengths_is_not_read(rig: Rig) -> None:
    client = Client(rig.address)
    client.sock.sendall(
        b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nContent-Length: 6\r\nTransfer-Encoding: chunked"
        b"\r\n\r\n0\r\n\r\nGET /-/health HTTP/1.1\r\nHost: t\r\n\r\n"
    )
    assert client.answer().status == 400
    client.sock.settimeout(5)
    assert client.sock.recv(100) == b""


def test_slow_sender_gets_408_and_is_disconnected(rig: Rig) -> None:
    client = Client(rig.address)
    client.sock.sendall(b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nContent-Length: 100\r\n\r\nabc")
    assert client.answer().status == 408
    client.sock.settimeout(5)
    assert client.sock.recv(1) == b"" and not rig.head.pending


class ScarceListener:
    """A listener whose accepts fail for want of a descriptor while `is_scarce` says so."""

    def __init__(self, sock: Any, is_scarce: Callable[[], bool]) -> None:
        self.sock, self.is_scarce = sock, is_scarce

    def accept(self) -> Any:
        if self.is_scarce():
            raise OSError(errno.EMFILE, "Too many open files")
        return self.sock.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


def test_idle_connections_to_nodes_give_way_to_clients_of_the_object_api(tmp_path: Path) -> None:
    """Guards against clients that get no answer while idle connections to nodes hold all descriptors of `serve`."""
    rig = Rig(tmp_path)
    try:
        first = rig.client()
        assert first.ask("PUT", "/v1/volumes/v/objects/k", b"x").status in (200, 201)
        account = rig.head.pools.descriptors.account
        assert account.idle_nodes
        rig.api.server.sock = ScarceListener(rig.api.server.sock, lambda: bool(account.idle_nodes))
        rig.client()  # accepted by the call in progress
        assert rig.client().ask("GET", "/v1/volumes/v/objects/k").data == b"x"
    finally:
        rig.stop()
