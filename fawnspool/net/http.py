"""HTTP/1.1 framing without I/O: bytes in, events out. The grammar is httptools' (llhttp, strict mode).

Sources: RFC 9110 and 9112. A message with invalid framing raises `HttpError`; its connection must then be closed, as
the start of the next message is unknown.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any, Final

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
BODILESS_STATUSES = frozenset((204, 304))
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
_STATUS_LINES = {code: b"HTTP/1.1 %d %s\r\n" % (code, text) for code, text in REASONS.items()}
_MAX_INTERIM_RESPONSES = 64  # informational responses before a final one; sound servers send a few
_FIRST_FINAL_STATUS = 200  # a response with a lower status is informational; another head follows it
_OPTIONAL_WHITESPACE = b" \t"  # may surround a field's value and is not part of it (RFC 9110, 5.5)
_SINGLE_HEADERS = frozenset((b"host", b"content-length", b"transfer-encoding", b"range", b"expect"))
_FIELD_OVERHEAD_BYTES = 4  # colon, space and line end of a header field
_START_LINE_OVERHEAD_BYTES = 64  # what a start line has beside its target or reason phrase, and the empty line


@dataclass(slots=True)
class MessageLimits:
    """Limits on the size of a message before its body.

    Attributes
    ----------
    head_bytes
        Total length of the target or reason phrase and of all names and values of header fields.
    headers
        Number of header fields.
    """

    head_bytes: int = 16384
    headers: int = 64

    def unfinished_bytes(self) -> int:
        """Return how many bytes may arrive without completing a part of a message: any head within the limits fits."""
        return self.head_bytes + self.headers * _FIELD_OVERHEAD_BYTES + _START_LINE_OVERHEAD_BYTES


@dataclass(slots=True)
class RequestHead:
    """A request line with its headers (names in lower case)."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    keep_alive: bool
    length: int | None  # of the body in bytes; None: the body is chunked
    expects_continue: bool  # the client waits for 100 (Continue)


@dataclass(slots=True)
class ResponseHead:
    """A status line with its headers (names in lower case)."""

    code: int
    headers: dict[bytes, bytes]
    keep_alive: bool
    length: int | None  # of the body in bytes; None: chunked, or ended by the close of the connection


class EndOfMessage:
    """Event: the message is complete."""


END_OF_MESSAGE: Final = EndOfMessage()
MessageEvent = RequestHead | ResponseHead | bytes | EndOfMessage


@dataclass(slots=True)
class _MessageParser:
    """Base of both parsers: collects a message's head from httptools' callbacks, checks limits and reports errors.

    Attributes
    ----------
    events
        Parsed events that the caller has not removed yet.
    in_head
        A message has begun, but its head is not complete yet.
    """

    limits: MessageLimits
    events: deque[MessageEvent] = field(default_factory=deque)
    in_head: bool = False
    _grammar: Any = None  # httptools' parser
    _error_status: int = 400  # status of the HttpError for bytes that httptools rejects
    _target: bytes = b""
    _headers: dict[bytes, bytes] = field(default_factory=dict)
    _head_bytes: int = 0
    _header_count: int = 0
    _unfinished_bytes: int = 0  # fed since the last complete part (head, piece of a body, message)
    _body: list[bytes] = field(default_factory=list)  # pieces of a body that are not in the events yet
    _rejection: tuple[int, str] | None = None  # status and text of the error that a callback raised

    def feed(self, data: bytes) -> None:
        """Parse bytes and append the resulting events to `events`.

        The bytes are parsed in slices, so that a part without an end is rejected before more of it is kept. What they
        bring of a body is one event, however small its chunks are.

        Raises
        ------
        HttpError
            The message is rejected.
        """
        slice_bytes = self.limits.head_bytes
        if len(data) <= slice_bytes:
            self._feed_slice(data)
        else:
            view = memoryview(data)
            for start in range(0, len(view), slice_bytes):
                self._feed_slice(view[start : start + slice_bytes])
        if self._body:
            self._flush_body()

    def _feed_slice(self, data: bytes | memoryview) -> None:
        self._unfinished_bytes += len(data)  # the callbacks reset it when a part is complete
        try:
            self._grammar.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise self._upgrade_error() from None
        except httptools.HttpParserError as error:
            raise self._grammar_error(error) from None
        if self._unfinished_bytes > self.limits.unfinished_bytes():
            raise self._unfinished_error()

    def close(self) -> None:
        """Release the grammar, and with it the bytes that it holds; the parser must not be fed any more.

        The grammar refers to the parser's callbacks, so otherwise both would wait for the cycle collector.
        """
        self._grammar = None

    def _unfinished_error(self) -> HttpError:
        part = "message head" if self.in_head else "part of a message"
        status = 431 if self.in_head else self._error_status
        return HttpError(status, f"{part} is longer than {self.limits.unfinished_bytes()} bytes")

    def _upgrade_error(self) -> HttpError:
        raise NotImplementedError

    def _grammar_error(self, error: Exception) -> HttpError:
        if self._rejection is not None:
            return HttpError(*self._rejection)
        return HttpError(self._error_status, f"malformed HTTP message: {error}")

    def _rejected(self, status: int, text: str) -> HttpError:
        """Return the error that a callback must raise, and note it for `feed`, as httptools raises one of its own.

        The error itself is not kept, as its traceback refers to the parser and the bytes that it was fed.
        """
        self._rejection = (status, text)
        return HttpError(status, text)

    def _count_head_bytes(self, count: int, status: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self.limits.head_bytes:
            raise self._rejected(status, f"message head is longer than {self.limits.head_bytes} bytes")

    # ------------------------------------------------------------ httptools' callbacks

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self._target = b""
        self._headers = {}
        self._head_bytes = 0
        self._header_count = 0
        self.in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; a trailer is only counted."""
        name = name.lower()
        value = value.strip(_OPTIONAL_WHITESPACE)  # llhttp strips only leading whitespace
        self._header_count += 1
        self._count_head_bytes(len(name) + len(value), 431)
        if self._header_count > self.limits.headers:
            raise self._rejected(431, f"more than {self.limits.headers} header fields")
        if not self.in_head:
            return  # trailers are dropped
        if name in self._headers:
            if name in _SINGLE_HEADERS:
                raise self._rejected(400, f"{name.decode()} header field occurs more than once")
            value = self._headers[name] + b", " + value
        self._headers[name] = value

    def on_body(self, piece: bytes) -> None:
        """Keep a piece of the body for the next event."""
        self._unfinished_bytes = 0
        self._body.append(piece)

    def _flush_body(self) -> None:
        pieces = self._body
        self.events.append(pieces[0] if len(pieces) == 1 else b"".join(pieces))
        pieces.clear()

    def on_message_complete(self) -> None:
        """Append the end of the message to the events."""
        self._unfinished_bytes = 0
        if self._body:
            self._flush_body()
        self.events.append(END_OF_MESSAGE)


class RequestParser(_MessageParser):
    """Parses the consecutive requests of a connection."""

    __slots__ = ()

    def __init__(self, limits: MessageLimits) -> None:
        super().__init__(limits)
        self._grammar = httptools.HttpRequestParser(self)

    def on_url(self, piece: bytes) -> None:
        """Append a piece of the request target."""
        self._target += piece
        self._count_head_bytes(len(piece), 414)

    def on_headers_complete(self) -> None:
        """Check the complete head of the request and append it to the events."""
        self.in_head = False
        self._unfinished_bytes = 0
        headers = self._headers
        version = self._grammar.get_http_version()
        if version not in ("1.1", "1.0"):
            raise self._rejected(505, f"HTTP/{version} is not supported; use HTTP/1.1")
        if version == "1.1" and b"host" not in headers:
            raise self._rejected(400, "Host header is missing")
        coding = headers.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or version == "1.0"):
            raise self._rejected(501, "the only supported transfer coding is chunked, over HTTP/1.1")
        expectation = headers.get(b"expect")
        if expectation is not None and expectation.lower() != b"100-continue":
            raise self._rejected(417, "the only supported expectation is 100-continue")
        self.events.append(
            RequestHead(
                method=self._grammar.get_method(),
                target=self._target,
                headers=headers,
                keep_alive=self._grammar.should_keep_alive(),
                length=None if coding is not None else int(headers.get(b"content-length", b"0")),
                expects_continue=expectation is not None,
            )
        )

    def _upgrade_error(self) -> HttpError:
        return HttpError(400, "protocol upgrades and CONNECT are not supported")


class ResponseParser(_MessageParser):
    """Parses the responses of a connection; the caller calls `expect_response` before each of them."""

    __slots__ = ("_interim_responses", "complete")

    def __init__(self, limits: MessageLimits) -> None:
        super().__init__(limits, _error_status=502)
        self._interim_responses = 0  # since the last final response
        self._grammar = httptools.HttpResponseParser(self)
        self.complete = False  # whether the current response is complete

    def expect_response(self) -> None:
        """Treat the following bytes as a new response rather than as trailing data of the last one."""
        self.complete = False

    def on_message_begin(self) -> None:
        """Reset the state for a new response, or raise if none is expected."""
        if self.complete:
            raise TrailingDataError
        super().on_message_begin()

    def on_status(self, text: bytes) -> None:
        """Count the bytes of the reason phrase."""
        self._count_head_bytes(len(text), 502)

    def on_headers_complete(self) -> None:
        """Append the complete head of a final response to the events."""
        self.in_head = False
        self._unfinished_bytes = 0
        code = self._grammar.get_status_code()
        if 100 <= code < _FIRST_FINAL_STATUS:
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                raise self._rejected(502, f"more than {_MAX_INTERIM_RESPONSES} informational responses")
            return
        self._interim_responses = 0
        length = self._headers.get(b"content-length")
        self.events.append(
            ResponseHead(
                code=code,
                headers=self._headers,
                keep_alive=self._grammar.should_keep_alive(),
                length=None if length is None else int(length),
            )
        )

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is informational."""
        if self._grammar.get_status_code() >= _FIRST_FINAL_STATUS:
            super().on_message_complete()
            self.complete = True

    def _upgrade_error(self) -> HttpError:
        return HttpError(502, "server responded with a protocol upgrade")

    def _grammar_error(self, error: Exception) -> HttpError:
        if self.complete:
            return TrailingDataError()
        return super()._grammar_error(error)


def format_response_head(status: int, headers: list[tuple[bytes, bytes]], length: int | None, close: bool) -> bytes:
    """Return a response's head as bytes.

    Parameters
    ----------
    status
        One of `REASONS`.
    headers
        Headers other than those for framing.
    length
        Length of the body in bytes; None: the body is chunked, or the status allows no body.
    close
        The connection is closed after the response.
    """
    parts = [_STATUS_LINES[status]]
    parts += [b"%s: %s\r\n" % row for row in headers]
    if status not in BODILESS_STATUSES:
        parts.append(_framing_header(length))
    parts.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(parts)


def format_request_head(
    method: bytes, target: bytes, host: bytes, headers: list[tuple[bytes, bytes]], length: int | None = 0
) -> bytes:
    """Return a request's head as bytes.

    Parameters
    ----------
    method, target, host
        Parts of the request.
    headers
        Headers other than Host and those for framing.
    length
        Length of the body in bytes; 0: there is no body; None: the body is chunked.
    """
    parts = [b"%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, host)]
    parts += [b"%s: %s\r\n" % row for row in headers]
    if length is None or length > 0 or method in (b"PUT", b"POST"):
        parts.append(_framing_header(length))
    parts.append(b"\r\n")
    return b"".join(parts)


def _framing_header(length: int | None) -> bytes:
    if length is None:
        return b"Transfer-Encoding: chunked\r\n"
    return b"Content-Length: %d\r\n" % length


def format_chunk(piece: bytes) -> bytes:
    """Return a chunk of a chunked body; b"" for an empty piece, as an empty chunk would end the body."""
    if not piece:
        return b""
    return b"%x\r\n%s\r\n" % (len(piece), piece)


def format_error_body(error_code: str, reason: str) -> bytes:
    """Return the JSON body of an error response.

    Parameters
    ----------
    error_code
        One word that names the error, for programs.
    reason
        Human-readable reason.
    """
    text = reason.replace("\\", "/").replace('"', "'").encode("ascii", "replace")
    return b'{"error":"%s","reason":"%s"}' % (error_code.encode(), text)
