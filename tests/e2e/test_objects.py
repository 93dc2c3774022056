"""The object API over real sockets: what a client sends, and the bytes that come back."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.e2e.rig import Client, Rig

OBJECT = "/v1/volumes/v/objects/tiles/3/4.png"


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path)
    yield made
    made.stop()


def test_put_and_a_ranged_get(rig: Rig) -> None:
    c = rig.client()
    put = c.ask("PUT", OBJECT, b"0123456789")
    assert put.status == 201 and put.headers["ETag"]
    got = c.ask("GET", OBJECT, Range="bytes=2-5")
    assert (got.status, got.data, got.headers["Content-Range"]) == (206, b"2345", "bytes 2-5/10")
    assert got.headers["ETag"] == put.headers["ETag"]
    assert c.ask("GET", OBJECT, Range="bytes=-3").data == b"789"
    assert c.ask("GET", OBJECT).data == b"0123456789"
    assert c.ask("GET", OBJECT, Range="bytes=10-").status == 416
    assert c.ask("GET", OBJECT, Range="bytes=5-2").data == b"0123456789"  # no range at all: ignored


def test_head_delete_and_list(rig: Rig) -> None:
    c = rig.client()
    for key in ("a/1", "a/2", "b/1"):
        assert c.ask("PUT", f"/v1/volumes/v/objects/{key}", b"x" * 7).status == 201
    head = c.ask("HEAD", "/v1/volumes/v/objects/a/1")
    assert (head.status, head.headers["Content-Length"], head.data) == (200, "7", b"")
    assert (
        c.ask("GET", "/v1/volumes/v/objects?prefix=a/").data
        == b'{"volume": "v", "objects": [{"key": "a/1", "size": 7}, {"key": "a/2", "size": 7}]}'
    )
    first = c.ask("GET", "/v1/volumes/v/objects?limit=2").data
    assert b'"after": "a/2"' in first
    assert b'"b/1"' in c.ask("GET", "/v1/volumes/v/objects?limit=2&after=a/2").data
    assert c.ask("DELETE", "/v1/volumes/v/objects/a/1").status == 204
    assert c.ask("GET", "/v1/volumes/v/objects/a/1").status == 404
    assert c.ask("DELETE", "/v1/volumes/v/objects/a/1").status == 404


def test_preconditions(rig: Rig) -> None:
    c = rig.client()
    etag = c.ask("PUT", OBJECT, b"one", If_None_Match="*").headers["ETag"]
    assert c.ask("PUT", OBJECT, b"two", If_None_Match="*").status == 412
    assert c.ask("PUT", OBJECT, b"two", If_Match='"other"').status == 412
    assert c.ask("GET", OBJECT, If_None_Match=etag).status == 304
    new = c.ask("PUT", OBJECT, b"two", If_Match=etag)
    assert new.status == 200 and new.headers["ETag"] != etag
    assert c.ask("GET", OBJECT).data == b"two"


def test_chunked_body_and_expect(rig: Rig) -> None:
    c = rig.client()
    c.sock.sendall(
        b"PUT %s HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n" % OBJECT.encode()
    )
    assert c.sock.recv(100).startswith(b"HTTP/1.1 100")
    c.sock.sendall(b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
    assert c.answer("PUT").status == 201
    assert c.ask("GET", OBJECT).data == b"abcdefg"


def test_large_body_streams_both_ways(rig: Rig) -> None:
    c, data = rig.client(), bytes(range(256)) * 12_000
    assert c.ask("PUT", OBJECT, data, Fawn_Class="bulk").status == 201
    assert c.ask("GET", OBJECT, Fawn_Class="bulk").data == data
    assert c.ask("GET", OBJECT, Fawn_Class="bulk", Range="bytes=100-2000000").data == data[100:2000001]


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
def test_bad_input_is_told_and_never_reaches_the_module(rig: Rig, raw: bytes, status: int) -> None:
    before = rig.head.metrics.module_events
    c = Client(rig.address)
    c.sock.sendall(raw)
    got = c.answer()
    assert got.status == status
    assert b'"error"' in got.data
    assert rig.head.last_request_id & 0xFFFFF == 0
    timers = rig.head.metrics.module_events - before
    assert not rig.head.pending and timers <= 2  # the module's own timers at most
    if status not in (404, 405, 413) and b"objects/k HTTP/1.1" not in raw[:60] and b"%" not in raw:
        c.sock.settimeout(5)
        if b".." not in raw and b"//" not in raw:
            assert c.sock.recv(1) == b""  # framing in doubt: closed


def test_smuggled_request_is_not_read(rig: Rig) -> None:
    c = Client(rig.address)
    c.sock.sendall(
        b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nContent-Length: 6\r\nTransfer-Encoding: chunked"
        b"\r\n\r\n0\r\n\r\nGET /-/health HTTP/1.1\r\nHost: t\r\n\r\n"
    )
    assert c.answer().status == 400
    c.sock.settimeout(5)
    assert c.sock.recv(100) == b""


def test_slow_sender_is_cut_off(rig: Rig) -> None:
    c = Client(rig.address)
    c.sock.sendall(b"PUT /v1/volumes/v/objects/k HTTP/1.1\r\nHost: t\r\nContent-Length: 100\r\n\r\nabc")
    assert c.answer().status == 408
    c.sock.settimeout(5)
    assert c.sock.recv(1) == b"" and not rig.head.pending
