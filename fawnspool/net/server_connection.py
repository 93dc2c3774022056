"""One client's connection to an HTTP/1.1 server, and its requests one by one.

A connection is a small state machine (`connections/states.py`). Its invariant: a request that has been read is
answered once, unless its client has gone; bytes that have not been read stay unread when the connection ends, so that
the system's reset tells the client that it may send them again.
"""

from __future__ import annotations

import contextlib
import math
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import gevent

from fawnspool.connections.states import CloseCause, ConnectionEvent, ConnectionState, next_state, owed_status
from fawnspool.net.admission_throttle import AdmissionThrottle
from fawnspool.net.exceptions import ClientDisconnectedError, HttpError
from fawnspool.net.exchange import JSON_HEADER, Exchange
from fawnspool.net.http import (
    END_OF_MESSAGE,
    MessageEvent,
    RequestHead,
    RequestParser,
    format_error_body,
    format_response_head,
)
from fawnspool.net.lingering_close import await_acknowledged, discard_rest
from fawnspool.net.server_options import ServerOptions
from fawnspool.net.socket_stream import SocketStream

FLOOD_BYTES = 32_768  # unread behind a request being handled, past which an untrusted client counts as gone
_HEAD_READ_BYTES = 65536
_OWED_REASONS = {
    HTTPStatus.REQUEST_TIMEOUT: "the request did not come whole in time",
    HTTPStatus.INTERNAL_SERVER_ERROR: "the request was cut short here",
    HTTPStatus.SERVICE_UNAVAILABLE: "this server ends",
}


class ConnectionOwner(Protocol):
    """What a connection needs of its server.

    Attributes
    ----------
    handler
        Answers an exchange, once.
    idle, new
        Connections that wait for a request and may be evicted: between two, or before their first. Each adds itself
        while it waits, so the one that has waited longest stands first.
    throttle
        Where requests wait for their turn.
    draining
        Every response is its connection's last.
    closing_until
        Nothing is waited for any longer (monotonic seconds).
    reading_ended
        Nothing more is read.
    """

    options: ServerOptions
    handler: Callable[[Exchange], None]
    idle: dict[ServerConnection, None]
    new: dict[ServerConnection, None]
    throttle: AdmissionThrottle | None
    draining: bool
    closing_until: float
    reading_ended: bool

    def is_last_response(self) -> bool:
        """Tell whether a connection must end with its response."""

    def start_deadline(self, head: RequestHead, arrived_at: float) -> float:
        """Return until when a request may wait for its turn."""

    def note_error(self, error: Exception) -> None:
        """A handler raised."""

    def note_rejected(self, error: HttpError) -> None:
        """A request was rejected."""

    def note_end(self, connection: ServerConnection) -> None:
        """A connection has ended."""


class ServerConnection:
    """One client's connection.

    Attributes
    ----------
    number
        In the order in which its server accepted them.
    opened_at
        When it was accepted (monotonic seconds).
    state, cause
        Where it stands, and why it ended (None while it is open).
    exchange
        The request being handled, or the last one.
    has_carried_request
        The head of a request has come on it.
    closing
        No other request is read.
    peer_closed
        The peer has closed its side.
    request_cut
        Its last response was given before the request was complete.
    flooded
        Too much came behind the request being handled.
    """

    __slots__ = (
        "_request_deadline",
        "cause",
        "closing",
        "exchange",
        "flooded",
        "has_carried_request",
        "number",
        "opened_at",
        "parser",
        "peer_closed",
        "request_cut",
        "server",
        "state",
        "stream",
    )

    def __init__(self, server: ConnectionOwner, stream: SocketStream, number: int = 0) -> None:
        self.server = server
        self.stream = stream
        self.number = number
        self.opened_at = time.monotonic()
        self.parser = RequestParser(server.options.limits)
        self.state = ConnectionState.NEW
        self.cause: CloseCause | None = None
        self.exchange: Exchange | None = None
        self.has_carried_request = False
        self.closing = False
        self.peer_closed = False
        self.request_cut = False
        self.flooded = False
        self._request_deadline = math.inf  # by when the request being read must be complete

    # ------------------------------------------------------------ what its exchange asks

    def send(self, data: bytes) -> None:
        """Send all of it. Raises OSError where the connection broke or takes nothing for `read_timeout_s`."""
        self.stream.sendall(data, time.monotonic() + self.server.options.read_timeout_s)

    def next_event(self, read_bytes: int) -> MessageEvent:
        """Return the next event of the request being read.

        Raises
        ------
        ClientDisconnectedError
            Where the client left.
        HttpError
            Where the framing is in doubt.
        TimeoutError
            Where it takes too long.
        """
        events = self.parser.events
        while not events:
            piece_deadline = time.monotonic() + self.server.options.read_timeout_s
            try:
                data = self.stream.recv(read_bytes, self._bounded(self._request_deadline, piece_deadline))
            except TimeoutError:
                raise
            except OSError:
                raise ClientDisconnectedError from None
            if not data:
                raise ClientDisconnectedError
            if time.monotonic() > self._request_deadline:
                raise TimeoutError
            self.parser.feed(data)
        return events.popleft()

    def has_left(self) -> bool:
        """Tell whether the peer has closed. Does not wait, and leaves unread what lies before the end."""
        if self.peer_closed or self.flooded:
            return True
        try:
            first = self.stream.peek()
        except OSError:
            first = b""
        if first is None:
            return False
        self.peer_closed = first == b"" or self.stream.closed_by_peer()
        if not self.peer_closed and self.server.options.untrusted_clients:
            # Past what the buffers hold, no end arrives.
            self.flooded = self.stream.unread_bytes() >= FLOOD_BYTES
        return self.peer_closed or self.flooded

    def must_end(self) -> bool:
        """Tell whether it ends with its present response: not before whatever has been read is answered."""
        return self.server.is_last_response() and not self._more_came()

    def _more_came(self) -> bool:
        """Tell whether another request waits: read already, in part at least, or lying there to be read."""
        if self.parser.events or self.parser.in_head:
            return True
        return not self.server.reading_ended and self.stream.has_unread()

    # ------------------------------------------------------------ its life

    def run(self) -> None:
        """Serve requests one behind the other until the connection ends."""
        try:
            while not self.closing:
                exchange = self._next_request()
                if exchange is None:
                    return
                self._handle(exchange)
            self.note_cause(CloseCause.ANSWERED)
        except ClientDisconnectedError:
            self.note_cause(CloseCause.PEER_CLOSED)
        except TimeoutError:
            self.note_cause(CloseCause.DEADLINE)
        except OSError:
            self.note_cause(CloseCause.RESET)
        except gevent.GreenletExit:
            self.note_cause(CloseCause.KILLED)
            self._send_owed()
        finally:
            self.server.note_end(self)
            self.note_event(ConnectionEvent.ENDED)
            self._close()

    def note_event(self, event: ConnectionEvent) -> None:
        """Go on to the state that follows."""
        self.state = next_state(self.state, event)

    def note_cause(self, cause: CloseCause) -> None:
        """Note why it ends; the first cause counts."""
        if self.cause is None:
            self.cause = cause

    def _next_request(self) -> Exchange | None:
        """Read up to the end of a request's head. None: there is none, and the connection ends."""
        self.exchange = None
        events = self.parser.events
        began: float | None = None  # when the request's first bytes came
        if self.has_carried_request:
            self.note_event(ConnectionEvent.REQUEST_AWAITED)
        if self.parser.in_head or events:  # some of it came with the request before
            self.note_event(ConnectionEvent.REQUEST_BEGAN)
            began = time.monotonic()
        try:
            while not events:
                data, arrived_at = self._read_head_piece(began)
                if not data:
                    self.peer_closed = True
                    self.note_cause(CloseCause.PEER_CLOSED)
                    return None
                if began is None:
                    began = arrived_at
                self.note_event(ConnectionEvent.REQUEST_BEGAN)
                self.parser.feed(data)
        except TimeoutError:
            self.note_cause(CloseCause.SHUTDOWN if self.server.draining else CloseCause.DEADLINE)
            self._send_owed()
            return None
        except HttpError as error:
            self._reject(error)
            return None
        head = events.popleft()
        if not isinstance(head, RequestHead):
            self.note_cause(CloseCause.BAD_MESSAGE)
            return None
        return self._begin_exchange(head, time.monotonic() if began is None else began)

    def _read_head_piece(self, began: float | None) -> tuple[bytes, float]:
        """Return some bytes of a request that began at `began`, None: not yet, and when they arrived."""
        if began is None:
            return self._await_request()
        deadline = self._bounded(began + self.server.options.read_timeout_s)
        return self.stream.recv_stamped(_HEAD_READ_BYTES, deadline)

    def _await_request(self) -> tuple[bytes, float]:
        """Wait for a request to begin; until then the server may evict the connection."""
        options = self.server.options
        if self.has_carried_request:
            waiting = self.server.idle
            timeout_s = options.idle_timeout_s
        else:
            waiting = self.server.new
            timeout_s = options.first_request_timeout_s
        waiting[self] = None
        try:
            return self.stream.recv_stamped(_HEAD_READ_BYTES, self._bounded(time.monotonic() + timeout_s))
        finally:
            waiting.pop(self, None)

    def _begin_exchange(self, head: RequestHead, arrived_at: float) -> Exchange:
        """A request's head has come: it waits for its turn."""
        server = self.server
        events = self.parser.events
        complete = head.length == 0 and bool(events) and events[0] is END_OF_MESSAGE
        if complete:
            events.popleft()
        exchange = self.exchange = Exchange(self, head, arrived_at)
        self.has_carried_request = True
        self._request_deadline = math.inf
        if server.options.untrusted_clients:
            self._request_deadline = arrived_at + server.options.read_timeout_s
        if server.throttle is not None:
            server.throttle.enter(server.start_deadline(head, arrived_at))
        exchange.request_read = complete
        if complete:
            self.note_event(ConnectionEvent.REQUEST_COMPLETE)
        return exchange

    def _bounded(self, *deadlines: float) -> float:
        return min(self.server.closing_until, *deadlines)

    def _handle(self, exchange: Exchange) -> None:
        try:
            self.server.handler(exchange)
        except HttpError as error:
            self._reject(error)
        except TimeoutError:
            ending = self.server.closing_until <= time.monotonic()
            self.note_cause(CloseCause.SHUTDOWN if ending else CloseCause.DEADLINE)
            self._send_owed()
        except ClientDisconnectedError:
            self.note_cause(CloseCause.PEER_CLOSED)
            self.closing = True
        except Exception as error:
            if isinstance(error, OSError) and self.stream.is_broken():
                self.note_cause(CloseCause.RESET)
            else:
                self.server.note_error(error)
                self.note_cause(CloseCause.INTERNAL_ERROR)
            self._send_owed()
        if not exchange.answered and not self.closing:
            exchange.respond(500, [JSON_HEADER], format_error_body("failed", "unanswered"), close=True)
        self.closing |= not exchange.request_read

    # ------------------------------------------------------------ its end

    def _send_owed(self) -> None:
        """The connection ends; a request that was read in part or whole and has no response yet gets one."""
        self.closing = True
        status = owed_status(self.state, self.cause or CloseCause.KILLED)
        if status is not None:
            word = "refused" if status is HTTPStatus.SERVICE_UNAVAILABLE else "failed"
            self._send_error(status, word, _OWED_REASONS[status])

    def _reject(self, error: HttpError) -> None:
        """Answer a message whose framing is in doubt; the connection closes behind it."""
        self.note_cause(CloseCause.BAD_MESSAGE)
        self.closing = True
        self.server.note_rejected(error)
        self._send_error(error.status, "bad-request", error.text)

    def _send_error(self, status: int, word: str, reason: str) -> None:
        exchange = self.exchange
        if exchange is not None:
            if exchange.answered:
                return
            exchange.answered = True
        self.note_event(ConnectionEvent.RESPONSE_BEGAN)
        self.request_cut = exchange is None or not exchange.request_read
        body = format_error_body(word, reason)
        with contextlib.suppress(OSError):
            self.send(format_response_head(status, [JSON_HEADER], len(body), close=True) + body)

    def _close(self) -> None:
        try:
            if not self.stream.closed and not self.peer_closed:
                if self.request_cut:
                    discard_rest(self.stream)
                else:
                    await_acknowledged(self.stream)
        except OSError:
            pass
        finally:
            self.stream.close()
