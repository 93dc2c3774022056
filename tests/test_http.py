"""Parsing of HTTP/1.1 messages: framing, size limits, and trailing bytes after a response."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.net.exceptions import (
    HttpError,
    TrailingDataError,
)
from fawnspool.net.http import (
    END_OF_MESSAGE,
    MessageEvent,
    MessageLimits,
    RequestHead,
    RequestParser,
    ResponseHead,
    ResponseParser,
)

REQUESTS = (
    b"PUT /a HTTP/1.1\r\nHost: t\r\nContent-Length: 5\r\n\r\nhello"
    b"PUT /b HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    b"GET /c HTTP/1.1\r\nHost: t\r\nX: 1\r\nX: 2\r\n\r\n"
)


@given(st.lists(st.integers(1, 30), max_size=40))
def test_requests_parse_the_same_for_any_split_into_pieces(piece_sizes: list[int]) -> None:
    parser, position, parsed = RequestParser(MessageLimits()), 0, []
    for size in [*piece_sizes, len(REQUESTS)]:
        if position < len(REQUESTS):
            parser.feed(REQUESTS[position : position + size])
            position += size
    body = b""
    for event in parser.events:
        if isinstance(event, RequestHead):
            parsed.append((event.method, event.target, event.length))
            body = b""
        elif event is END_OF_MESSAGE:
            parsed.append(body)
        elif isinstance(event, bytes):
            body += event
    assert parsed == [(b"PUT", b"/a", 5), b"hello", (b"PUT", b"/b", None), b"abc", (b"GET", b"/c", 0), b""]


@given(st.binary(min_size=1, max_size=300))
def test_parsers_raise_only_http_errors_for_any_bytes(data: bytes) -> None:
    for parser in (RequestParser(MessageLimits(200, 8)), ResponseParser(MessageLimits(200, 8))):
        try:
            parser.feed(data)
            parser.feed(data)
        except HttpError as error:
            assert 400 <= error.status < 600


def test_parses_consecutive_responses_and_rejects_bytes_after_the_end() -> None:
    parser = ResponseParser(MessageLimits())
    parser.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    head, body, end = parser.events
    assert (
        isinstance(head, ResponseHead)
        and (head.code, head.length, body) == (200, 2, b"ok")
        and end is END_OF_MESSAGE
        and parser.complete
    )
    parser.events.clear()
    parser.expect_response()
    parser.feed(b"HTTP/1.1 204 No Content\r\n\r\n")
    assert parser.complete
    with pytest.raises(TrailingDataError, match="after the end"):
        parser.feed(b"HTTP/1.1 200 OK\r\n")
    second_parser = ResponseParser(MessageLimits())
    with pytest.raises(TrailingDataError, match="after the end"):
        second_parser.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nx")


def test_whitespace_around_response_field_values_is_stripped() -> None:
    parser = ResponseParser(MessageLimits())
    parser.feed(b"HTTP/1.1 503 No\r\nNot-Started:\t1 \t\r\nServer-Load:  rif=1,lat_ms=2 \r\nContent-Length: 0 \r\n\r\n")
    head = parser.events[0]
    assert isinstance(head, ResponseHead) and head.headers[b"not-started"] == b"1" and head.length == 0
    assert head.headers[b"server-load"] == b"rif=1,lat_ms=2" and parser.complete


LIMITS = MessageLimits(head_bytes=2048, headers=8)
PARSERS: dict[str, Callable[[], RequestParser | ResponseParser]] = {
    "request": lambda: RequestParser(LIMITS),
    "response": lambda: ResponseParser(LIMITS),
}
# The beginning of a message, and what then comes again and again.
ENDLESS_HEADS = {
    "value": ("request", b"GET / HTTP/1.1\r\nHost: t\r\nX: ", b"x"),
    "name": ("request", b"GET / HTTP/1.1\r\nHost: t\r\n", b"x"),
    "white space": ("request", b"GET / HTTP/1.1\r\nHost: t\r\nX:", b" "),
    "target": ("request", b"GET /", b"x"),
    "empty lines before the request": ("request", b"", b"\r\n"),
    "value of a response": ("response", b"HTTP/1.1 200 OK\r\nServer-Load: ", b"x"),
    "name of a response": ("response", b"HTTP/1.1 200 OK\r\n", b"x"),
    "white space of a response": ("response", b"HTTP/1.1 200 OK\r\nX:", b" "),
    "reason phrase": ("response", b"HTTP/1.1 200 ", b"x"),
    "head of an interim response": ("response", b"HTTP/1.1 103 Early Hints\r\nLink: ", b"x"),
}


def bytes_until_rejected(parser: RequestParser | ResponseParser, start: bytes, repeated: bytes, piece: int) -> int:
    """Return how many bytes the parser accepts, up to fifty times its limit."""
    fed_bytes = len(start)
    if start:
        parser.feed(start)
    data = repeated * (piece // len(repeated) or 1)
    while fed_bytes < 50 * LIMITS.head_bytes:
        try:
            parser.feed(data)
        except HttpError as error:
            assert 400 <= error.status < 600
            return fed_bytes
        fed_bytes += len(data)
    return fed_bytes


@pytest.mark.parametrize("piece", [1, 1000, 2048, 65536])
@pytest.mark.parametrize("case", ENDLESS_HEADS)
def test_head_without_end_is_rejected_soon_after_its_limit(case: str, piece: int) -> None:
    """Guards against a peer that decides how much memory its head takes: an incomplete field was not counted."""
    name, start, repeated = ENDLESS_HEADS[case]
    assert bytes_until_rejected(PARSERS[name](), start, repeated, piece) <= 2 * LIMITS.head_bytes


@pytest.mark.parametrize("piece", [1, 7, 2048, 65536])
@pytest.mark.parametrize(("name", "start"), [("request", b"GET / HTTP/1.1\r\n"), ("response", b"HTTP/1.1 200 OK\r\n")])
def test_head_up_to_its_limits_is_accepted_in_pieces_of_any_size(name: str, start: bytes, piece: int) -> None:
    fields = [b"Host: t", *(b"f%d: %s" % (number, b"v" * 288) for number in range(6)), b"content-length: 0"]
    used_bytes = sum(len(field) - 2 for field in fields) + 2  # with the target or the reason phrase
    fields[1] += b"v" * (LIMITS.head_bytes - used_bytes)
    message = start + b"\r\n".join(fields) + b"\r\n\r\n"
    parser = PARSERS[name]()
    for position in range(0, len(message), piece):
        parser.feed(message[position : position + piece])
    head, end = parser.events
    assert isinstance(head, RequestHead | ResponseHead) and len(head.headers) == LIMITS.headers
    assert end is END_OF_MESSAGE


def test_interim_responses_without_end_are_rejected() -> None:
    """Guards against a node that makes the process parse heads until the deadline: each was complete, none final."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
    assert bytes_until_rejected(ResponseParser(LIMITS), b"", interim, len(interim)) <= 100 * len(interim)


def joined(body: list[MessageEvent]) -> bytes:
    return b"".join(piece for piece in body if isinstance(piece, bytes))


CHUNKED_HEADS = {
    "request": b"PUT / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n",
    "response": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
ENDLESS_PARTS = {
    "chunk extension": (b"1;", b"x"),
    "chunk size": (b"", b"0"),
    "value of a trailer": (b"0\r\nX: ", b"x"),
    "name of a trailer": (b"0\r\n", b"x"),
    "trailers": (b"0\r\n", b"X: 1\r\n"),
}


@pytest.mark.parametrize("name", CHUNKED_HEADS)
@pytest.mark.parametrize("case", ENDLESS_PARTS)
@pytest.mark.parametrize("piece", [1, 1000, 65536])
def test_chunk_line_or_trailer_without_end_is_rejected_soon_after_the_limit(name: str, case: str, piece: int) -> None:
    """Guards against the same as an endless head, behind the head: one trailer took a gateway over its memory."""
    start, repeated = ENDLESS_PARTS[case]
    fed_bytes = bytes_until_rejected(PARSERS[name](), CHUNKED_HEADS[name] + start, repeated, piece)
    assert fed_bytes <= 2 * LIMITS.head_bytes


@pytest.mark.parametrize("piece", [1, 7, 65536])
def test_response_with_interim_ones_ahead_small_chunks_and_trailers_is_accepted(piece: int) -> None:
    interim = b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n" * 8
    chunks = b"2;name=value\r\nab\r\n" * 5000 + b"0\r\nX-Sum: 1\r\nX-Time: 2\r\n\r\n"
    message = interim + CHUNKED_HEADS["response"] + chunks
    parser = ResponseParser(LIMITS)
    for _ in range(20):  # on one connection
        parser.expect_response()
        for position in range(0, len(message), piece):
            parser.feed(message[position : position + piece])
        head, *body, end = parser.events
        assert isinstance(head, ResponseHead) and joined(body) == b"ab" * 5000 and end is END_OF_MESSAGE
        parser.events.clear()


@pytest.mark.parametrize("piece", [1, 7, 65536])
def test_request_with_small_chunks_and_trailers_is_accepted(piece: int) -> None:
    message = CHUNKED_HEADS["request"] + b"2;name=value\r\nab\r\n" * 5000 + b"0\r\nX-Sum: 1\r\nX-Time: 2\r\n\r\n"
    parser = RequestParser(LIMITS)
    for _ in range(20):
        for position in range(0, len(message), piece):
            parser.feed(message[position : position + piece])
        head, *body, end = parser.events
        assert isinstance(head, RequestHead) and joined(body) == b"ab" * 5000 and end is END_OF_MESSAGE
        parser.events.clear()
