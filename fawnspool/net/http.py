"""HTTP/1.1 framing without I/O: bytes in, events out. The grammar is httptools' (llhttp, strict mode).

Sources: RFC 9110 and 9112. A message whose framing is in doubt raises `HttpError`; the connection it came
on must then be closed, as nobody can tell where the next one begins.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import httptools

from fawnspool.net.exceptions import HttpError, TrailingDataError

REASONS = {
    100: b"Continue",
    200: b"OK",
    201: b"Created",
    204: b"No Content",
    206: b"Partial Content",
    304: b"Not Modified",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    411: b"Length Required",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    414: b"URI Too Long",
    416: b"Range Not Satisfiable",
    417: b"Expectation Failed",
    421: b"Misdirected Request",
    425: b"Too Early",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}
STATUS_LINES = {code: b"HTTP/1.1 %d %s\r\n" % (code, text) for code, text in REASONS.items()}
_OWS = b" \t"  # may stand on both sides of a field's value and is no part of it (RFC 9110, 5.5)
_ONCE = frozenset((b"host", b"content-length", b"transfer-encoding", b"range", b"expect"))


@dataclass(slots=True)
class Limits:
    """Bounds of one message's head: bytes in all, number of header fields."""

    head_bytes: int = 16384
    headers: int = 64


@dataclass(slots=True)
class Head:
    """A request line with its headers (names in lower case)."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    keep_alive: bool
    length: int | None  # of the body, bytes; None: chunked
    expects: bool  # the client waits for 100 (Continue)


@dataclass(slots=True)
class Status:
    """A status line with its headers. length None: chunked, or up to the end of the connection."""

    code: int
    headers: dict[bytes, bytes]
    keep_alive: bool
    length: int | None


END = object()  # a message is whole
Event = Head | Status | bytes | object


@dataclass(slots=True)
class _Gather:
    limits: Limits
    events: deque[Event] = field(default_factory=deque)
    url: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    size: int = 0
    count: int = 0
    in_head: bool = False
    bad: HttpError | None = None

    def on_message_begin(self) -> None:
        self.url, self.headers, self.size, self.count, self.in_head = b"", {}, 0, 0, True

    def on_url(self, part: bytes) -> None:
        self.url += part
        self._grow(len(part), 414)

    def on_header(self, name: bytes, value: bytes) -> None:
        name, value = name.lower(), value.strip(_OWS)  # llhttp drops what stands before a value alone
        self.count += 1
        self._grow(len(name) + len(value), 431)
        if self.count > self.limits.headers:
            raise self._no(431, f"more than {self.limits.headers} header fields")
        if not self.in_head:
            return  # trailers are read and dropped
        if name in self.headers:
            if name in _ONCE:
                raise self._no(400, f"{name.decode()} stands twice")
            value = self.headers[name] + b", " + value
        self.headers[name] = value

    def on_body(self, part: bytes) -> None:
        self.events.append(part)

    def on_message_complete(self) -> None:
        self.events.append(END)

    def _grow(self, count: int, status: int) -> None:
        self.size += count
        if self.size > self.limits.head_bytes:
            raise self._no(status, f"over {self.limits.head_bytes} bytes before the body")

    def _no(self, status: int, text: str) -> HttpError:
        self.bad = HttpError(status, text)
        return self.bad


class RequestParser(_Gather):
    """A connection's requests, one behind the other."""

    __slots__ = ("parser",)

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.parser = httptools.HttpRequestParser(self)

    def on_headers_complete(self) -> None:
        self.in_head = False
        h, version = self.headers, self.parser.get_http_version()
        if version not in ("1.1", "1.0"):
            raise self._no(505, f"HTTP/{version} is not spoken here; use HTTP/1.1")
        if version == "1.1" and b"host" not in h:
            raise self._no(400, "a host header is needed")
        coding = h.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or version == "1.0"):
            raise self._no(501, "the only transfer coding taken is chunked, over HTTP/1.1")
        expect = h.get(b"expect")
        if expect is not None and expect.lower() != b"100-continue":
            raise self._no(417, "the only expectation met is 100-continue")
        length = None if coding is not None else int(h.get(b"content-length", b"0"))
        self.events.append(
            Head(self.parser.get_method(), self.url, h, self.parser.should_keep_alive(), length, expect is not None)
        )

    def feed(self, data: bytes) -> None:
        """Take bytes; what they make stands in `events`. Raises HttpError."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpError(400, "no upgrades and no tunnels here") from None
        except httptools.HttpParserError as bad:
            raise self.bad or HttpError(400, f"not HTTP: {bad}") from None
        if self.in_head and not self.events and len(data) > self.limits.head_bytes:
            raise HttpError(431, f"over {self.limits.head_bytes} bytes before the body")


class ResponseParser(_Gather):
    """A connection's responses. The reader sets `done` back before each."""

    __slots__ = ("done", "parser")

    def __init__(self, limits: Limits) -> None:
        super().__init__(limits)
        self.parser = httptools.HttpResponseParser(self)
        self.done = False

    def on_message_begin(self) -> None:
        if self.done:
            self.bad = TrailingDataError()
            raise self.bad
        _Gather.on_message_begin(self)

    def on_status(self, text: bytes) -> None:
        self._grow(len(text), 502)

    def on_headers_complete(self) -> None:
        self.in_head = False
        code, length = self.parser.get_status_code(), self.headers.get(b"content-length")
        if 100 <= code < 200:
            return
        self.events.append(
            Status(code, self.headers, self.parser.should_keep_alive(), None if length is None else int(length))
        )

    def on_message_complete(self) -> None:
        if self.parser.get_status_code() >= 200:
            self.events.append(END)
            self.done = True

    def feed(self, data: bytes) -> None:
        """Take bytes. Raises HttpError; bytes behind the message's end count as one."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpError(502, "an upgrade was answered") from None
        except httptools.HttpParserError as bad:
            if self.done:
                raise TrailingDataError from None
            raise self.bad or HttpError(502, f"not HTTP: {bad}") from None


def head_bytes(status: int, headers: list[tuple[bytes, bytes]], length: int | None, close: bool) -> bytes:
    """A response's head. length None: chunked (or a status that has no body)."""
    out = [STATUS_LINES[status]]
    out += [b"%s: %s\r\n" % row for row in headers]
    if status not in (204, 304):
        out.append(b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length)
    out.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(out)


def request_bytes(
    method: bytes, target: bytes, host: bytes, headers: list[tuple[bytes, bytes]], length: int | None = 0
) -> bytes:
    """A request's head. length 0: no body; None: chunked."""
    out = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, host)]
    out += [b"%s: %s\r\n" % row for row in headers]
    if length is None:
        out.append(b"Transfer-Encoding: chunked\r\n")
    elif length or method in (b"PUT", b"POST"):
        out.append(b"Content-Length: %d\r\n" % length)
    out.append(b"\r\n")
    return b"".join(out)
