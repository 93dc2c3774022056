"""One connection to a server: send a request, read its response, each within a deadline."""

from __future__ import annotations

import time
from collections.abc import Callable

from fawnspool.net.body_buffer import BodyBuffer
from fawnspool.net.exceptions import (
    ConnectionBrokenError,
    ConnectionClosedError,
    ConnectionLostError,
    HttpError,
    StreamClosedError,
)
from fawnspool.net.http import END_OF_MESSAGE, MessageEvent, MessageLimits, ResponseHead, ResponseParser
from fawnspool.net.socket_stream import SocketStream

_READ_BYTES = 65_536
_FRAMED_READ_BYTES = 32_768  # where bytes are parsed one by one: heads, and bodies without a Content-Length
_LIMITS = MessageLimits(head_bytes=32768, headers=64)


class ClientConnection:
    """One connection; carries one request at a time.

    Attributes
    ----------
    is_new
        The pool opened the connection for its current request, rather than reusing it.
    last_used
        When the connection's last request ended (monotonic seconds).
    lenient
        If true, bytes after a complete response do not invalidate the response; they only make the connection unusable
        for another request (`has_trailing_data`). If false, they raise TrailingDataError.
        If true, a response without a length is complete once the server closes the connection (RFC 9112, 6.3), but not
        if the connection breaks (`SocketStream` remembers an error that any of its calls reported). If false, such a
        response is never complete.
    ends_at_close
        The current response ends when the peer closes the connection.
    has_trailing_data
        Bytes arrived after a response, so the connection carries no further request.
    """

    __slots__ = (
        "_parser",
        "_read_bytes",
        "ends_at_close",
        "has_trailing_data",
        "is_new",
        "last_used",
        "lenient",
        "stream",
    )

    def __init__(self, stream: SocketStream, lenient: bool = False) -> None:
        self.stream = stream
        self.is_new = True
        self.last_used = time.monotonic()
        self.lenient = lenient
        self.has_trailing_data = False
        self.ends_at_close = False
        self._parser = ResponseParser(_LIMITS)
        self._read_bytes = _FRAMED_READ_BYTES

    def send(self, data: bytes, deadline: float) -> None:
        """Pass all of `data` to the kernel.

        Raises
        ------
        TimeoutError
            The deadline (monotonic seconds) passed first.
        ConnectionLostError
            The connection ended first; `request_written` is False.
        """
        try:
            self.stream.sendall(data, deadline)
        except TimeoutError:
            raise
        except OSError as error:
            raise _lost(error, "while sending", request_written=False) from None

    def read_head(self, deadline: float) -> ResponseHead:
        """Read and return the response's head. Raises TimeoutError, ConnectionLostError, HttpError."""
        self._parser.expect_response()
        self.ends_at_close = False
        self._read_bytes = _FRAMED_READ_BYTES
        head = self._next_event(deadline)
        if not isinstance(head, ResponseHead):
            raise HttpError(502, "expected a status line")
        if head.length is not None:
            self._read_bytes = _READ_BYTES
        self.ends_at_close = self.lenient and head.length is None and b"transfer-encoding" not in head.headers
        return head

    def read_piece(self, deadline: float) -> bytes | None:
        """Read the next piece of the body; None at its end. Raises the errors of `read_head`."""
        event = self._next_event(deadline)
        if event is END_OF_MESSAGE:
            return None
        assert isinstance(event, bytes)
        return event

    def read_body(
        self, deadline: float, max_bytes: int | None = None, reserve: Callable[[int], None] | None = None
    ) -> bytes:
        """Read the whole body. Raises the errors of `read_head`, and HttpError if there are more than `max_bytes`.

        Parameters
        ----------
        deadline
            Monotonic seconds.
        max_bytes
            Largest body; None: no limit.
        reserve
            Called with the number of bytes of the body so far before more are kept; may wait or raise.
        """
        body = BodyBuffer()
        while (piece := self.read_piece(deadline)) is not None:
            body.append(piece)
            if max_bytes is not None and len(body) > max_bytes:
                raise HttpError(502, f"response body is longer than {max_bytes} bytes")
            if reserve is not None:
                reserve(len(body))
        return body.take()

    def _next_event(self, deadline: float) -> MessageEvent:
        events = self._parser.events
        wait_first = not self._parser.in_head
        while not events:
            try:
                data = self.stream.recv(self._read_bytes, deadline, wait_first)
            except TimeoutError:
                raise
            except OSError as error:
                raise _lost(error, "while reading") from None
            if data:
                self._feed(data)
            else:
                self._end_of_stream()
            wait_first = False
        return events.popleft()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
        except HttpError:
            if not (self.lenient and self._parser.complete and self._parser.events):
                raise
            self.has_trailing_data = True

    def _end_of_stream(self) -> None:
        """Handle the peer's close, which ends the response or truncates it."""
        if not self.ends_at_close or self._parser.in_head:
            raise ConnectionClosedError
        self._parser.complete = True
        self.has_trailing_data = True  # the peer has closed the connection, so it cannot be reused
        self._parser.events.append(END_OF_MESSAGE)

    def is_cut_in_head(self) -> bool:
        """Return whether a response has begun and its head is not complete."""
        return self._parser.in_head

    def is_reusable_after(self, head: ResponseHead) -> bool:
        """Return whether the connection may carry another request once this response has been read."""
        return head.keep_alive and self._parser.complete and not self.has_trailing_data

    def is_stale(self) -> bool:
        """Return whether the peer closed the idle connection or sent unrequested bytes on it."""
        return self.stream.at_end()

    def close(self) -> None:
        """Close the connection; a greenlet that waits on it gets ConnectionClosedError."""
        self.stream.close()
        self._parser.close()


def _lost(error: OSError, where: str, request_written: bool = True) -> ConnectionLostError:
    """Return the error to raise when the connection's stream raised `error`."""
    if isinstance(error, StreamClosedError):
        return ConnectionClosedError(f"{where}: {error}", request_written)
    return ConnectionBrokenError(f"{where}: {error}", request_written)
