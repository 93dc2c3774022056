"""One request to an HTTP/1.1 server and its response."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from fawnspool.connections.resource_budget import SMALL_MESSAGE_BYTES
from fawnspool.connections.states import CloseCause, ConnectionEvent
from fawnspool.net.exceptions import AnsweredTwiceError
from fawnspool.net.http import (
    BODILESS_STATUSES,
    CONTINUE,
    END_OF_MESSAGE,
    MessageEvent,
    RequestHead,
    RequestParser,
    format_error_body,
    format_response_head,
)
from fawnspool.net.request_memory import RequestMemory
from fawnspool.net.socket_stream import SocketStream

JSON_HEADER = (b"Content-Type", b"application/json")
_BODY_READ_BYTES = 262_144
_CHUNKED_READ_BYTES = 16_384  # the framing of chunks is parsed byte by byte; memory is taken for so many at a time


class ExchangeConnection(Protocol):
    """What an exchange needs from its connection.

    Attributes
    ----------
    closing
        No further request is read on the connection; it closes after the current exchange.
    request_cut
        The last response was sent before its request was completely read.
    flooded
        The client sent too many bytes after the request being handled.
    memory
        What the request takes of the server's memory for requests.
    """

    stream: SocketStream
    parser: RequestParser
    closing: bool
    request_cut: bool
    flooded: bool
    memory: RequestMemory

    def request_deadline(self) -> float:
        """Return the time by which the request being read must be complete (monotonic seconds)."""

    def send(self, data: bytes) -> None:
        """Send all of `data`. Raises OSError."""

    def next_event(self, read_bytes: int) -> MessageEvent:
        """Return the next event of the request being read."""

    def has_disconnected(self) -> bool:
        """Return whether the peer has closed the connection or sent too many bytes."""

    def must_end(self) -> bool:
        """Return whether the connection ends with its current response."""

    def note_event(self, event: ConnectionEvent) -> None:
        """Change to the connection's next state."""

    def note_cause(self, cause: CloseCause) -> None:
        """Record why the connection ends."""


class Exchange:
    """One request and its response.

    Attributes
    ----------
    head
        The request's head.
    arrived_at
        When the request's first bytes reached this host (monotonic seconds).
    answered
        The response has begun or was sent, or no response is needed because the client has disconnected.
    request_read
        The request has been read to its end.
    body_bytes
        Number of bytes of the body that were read.
    """

    __slots__ = ("answered", "arrived_at", "body_bytes", "connection", "head", "request_read")

    def __init__(self, connection: ExchangeConnection, head: RequestHead, arrived_at: float) -> None:
        self.connection = connection
        self.head = head
        self.arrived_at = arrived_at
        self.answered = False
        self.request_read = False
        self.body_bytes = 0

    def body(self) -> Iterator[bytes]:
        """Yield the rest of the body piece by piece; a slow reader slows down the client (backpressure).

        Raises
        ------
        ClientDisconnectedError
            The client disconnected.
        HttpError
            The framing is invalid.
        MemoryShortError
            There is no memory for the body.
        TimeoutError
            A piece did not arrive in time.
        """
        connection = self.connection
        deadline = connection.request_deadline()
        chunked = self.head.length is None
        read_bytes = _CHUNKED_READ_BYTES if chunked else _BODY_READ_BYTES
        connection.memory.hold_body(_CHUNKED_READ_BYTES if chunked else self.head.length or 0, deadline)
        if self.head.expects_continue and not self.answered and not self.body_bytes:
            self.head.expects_continue = False
            connection.send(CONTINUE)
        while not self.request_read:
            if chunked:
                connection.memory.hold_body(self.body_bytes + _CHUNKED_READ_BYTES, deadline)
            event = connection.next_event(read_bytes)
            if event is END_OF_MESSAGE:
                self.request_read = True
                connection.note_event(ConnectionEvent.REQUEST_COMPLETE)
                return
            assert isinstance(event, bytes)
            self.body_bytes += len(event)
            yield event

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"", close: bool = False) -> None:
        """Send the whole response. A client that has disconnected is no error.

        Parameters
        ----------
        status, headers, body
            Parts of the response; the body is not sent in response to HEAD.
        close
            Close the connection after the response, even if it could be kept open.
        """
        bodiless = self.head.method == b"HEAD" or status in BODILESS_STATUSES
        self._send_response(status, headers, len(body), b"" if bodiless else body, close)

    def respond_to_head(self, status: int, headers: list[tuple[bytes, bytes]], length: int) -> None:
        """Send the response to HEAD, with the body length that GET would have."""
        self._send_response(status, headers, length, b"", close=False)

    def _send_response(
        self, status: int, headers: list[tuple[bytes, bytes]], length: int, body: bytes, close: bool
    ) -> None:
        last = self._begin_response() or close
        self.connection.closing |= last
        head = format_response_head(status, headers, length, last)
        try:
            if len(body) <= SMALL_MESSAGE_BYTES:
                self.connection.send(head + body)
            else:  # not copied to join it with the head
                self.connection.send(head)
                self.connection.send(body)
        except OSError:
            self.connection.closing = True

    def begin(self, status: int, headers: list[tuple[bytes, bytes]], length: int | None) -> None:
        """Send a response's head; `write` sends the body and `finish` ends it. Raises OSError as `write` does."""
        last = self._begin_response()
        self.connection.closing |= last
        self.connection.send(format_response_head(status, headers, length, last))

    def write(self, piece: bytes | memoryview, deadline: float) -> None:
        """Send a piece of the body. Raises OSError if the client has disconnected or does not read by `deadline`."""
        self.connection.stream.sendall(piece, deadline)

    def finish(self, complete: bool) -> None:
        """End the response that was begun; if it is not complete, the connection is closed."""
        self.connection.closing |= not complete

    def abandon(self) -> None:
        """End the exchange without a response, as to a disconnected client; one that sent too many bytes gets a 400."""
        if self.connection.flooded:
            self.connection.note_cause(CloseCause.BAD_MESSAGE)
            body = format_error_body("bad-request", "too many bytes after a request that is being handled")
            self.respond(400, [JSON_HEADER], body, close=True)
            return
        self.connection.note_cause(CloseCause.PEER_CLOSED)
        self.answered = True
        self.connection.closing = True

    def client_has_disconnected(self) -> bool:
        """Return whether the client closed its connection before it got the response.

        Once the request has been read, the close is also detected behind further bytes that the client sent; these
        bytes are left unread.
        """
        connection = self.connection
        if connection.stream.closed:
            return True
        if self.request_read:
            return connection.has_disconnected()
        return connection.stream.peer_has_closed()

    def _begin_response(self) -> bool:
        """Mark the exchange as answered and return whether this response is the connection's last."""
        if self.answered:
            raise AnsweredTwiceError
        self.answered = True
        complete = self.request_read or self._is_fully_received()
        self.connection.note_event(ConnectionEvent.RESPONSE_BEGAN)
        self.connection.request_cut = not complete
        return not complete or not self.head.keep_alive or self.connection.must_end()

    def _is_fully_received(self) -> bool:
        """Return whether the whole request has been received, so that the connection may be kept open.

        Reads the end of a request without a body if it is already parsed.
        """
        if self.head.length == 0:
            events = self.connection.parser.events
            if events and events[0] is END_OF_MESSAGE:
                events.popleft()
                self.request_read = True
        return self.request_read
