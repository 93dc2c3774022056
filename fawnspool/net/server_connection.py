"""One client's connection to an HTTP/1.1 server, which carries one request at a time.

A connection is a small state machine (`connections/states.py`). Its invariant: a request that has been read is
answered once, unless its client has disconnected. Bytes that have not been read stay unread when the connection ends:
the system then resets the connection, which shows the client that these bytes had no effect and may be sent again.
"""

from __future__ import annotations

import contextlib
import math
import time
from http import HTTPStatus

import gevent

from fawnspool.connections.states import CloseCause, ConnectionEvent, ConnectionState, next_state, owed_status
from fawnspool.net.connection_owner import ConnectionOwner
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
from fawnspool.net.memory_gate import MemoryShortError
from fawnspool.net.request_memory import SHORT_READ_BYTES, RequestMemory
from fawnspool.net.socket_stream import SocketStream

# An untrusted client is treated as disconnected when this many bytes after the request being handled are unread.
FLOOD_BYTES = 32_768
_PARSED_AT_ONCE_BYTES = 1024  # so few requests behind the present one are parsed, as a head takes more parsed than not
_MAX_LATE_START_S = 0.2  # a request without time left is throttled as others are, as rejecting it takes work too
_LINE_END = b"\r\n"
_OWED_REASONS = {
    HTTPStatus.REQUEST_TIMEOUT: "the complete request was not received in time",
    HTTPStatus.INTERNAL_SERVER_ERROR: "the server aborted the request",
    HTTPStatus.SERVICE_UNAVAILABLE: "the server is shutting down",
}
_OVERLOAD_REASON = "the server has no memory left for the request"


class ServerConnection:
    """One client's connection.

    Attributes
    ----------
    number
        Sequence number, in the order in which the server accepted its connections.
    opened_at
        When the connection was accepted (monotonic seconds).
    state, cause
        State of the connection, and why it ends (None while no reason is known).
    exchange
        The request being handled, or the last one; None while the next request is awaited.
    has_carried_request
        The head of at least one request has been received.
    closing
        No further request is read; the connection closes after the current exchange.
    peer_closed
        The peer has closed its side.
    request_cut
        The last response was sent before its request was completely read.
    flooded
        The client sent too many bytes after the request being handled.
    memory
        What its present request takes of the server's memory for requests.
    """

    __slots__ = (
        "_request_deadline",
        "_started_in",
        "_unparsed",
        "cause",
        "closing",
        "exchange",
        "flooded",
        "has_carried_request",
        "memory",
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
        self.memory = RequestMemory(server.options.request_memory, stream)
        self._unparsed = b""  # bytes read together with the present request, which follow what is parsed
        self._request_deadline = math.inf  # the request being read must be complete by then
        self._started_in: int | None = None  # the loop's iteration in which the last request was started

    # ------------------------------------------------------------ called by the exchange

    def send(self, data: bytes) -> None:
        """Send all of `data`. Raises OSError if the connection broke or the peer reads nothing for `read_timeout_s`."""
        self.stream.sendall(data, time.monotonic() + self.server.options.read_timeout_s)

    def request_deadline(self) -> float:
        """Return the time by which the request being read must be complete (monotonic seconds)."""
        return self._bounded(self._request_deadline)

    def next_event(self, read_bytes: int) -> MessageEvent:
        """Return the next event of the request being read.

        Raises
        ------
        ClientDisconnectedError
            The client disconnected.
        HttpError
            The framing is invalid.
        MemoryShortError
            The memory that the request takes is needed for others.
        TimeoutError
            The event did not arrive in time.
        """
        events = self.parser.events
        if events:
            return events.popleft()
        event_deadline = time.monotonic() + self.server.options.read_timeout_s
        while not events:
            if self._unparsed:
                self._parse(self._rest_of_body_bytes())
                continue
            try:
                data = self.stream.recv(read_bytes, self._bounded(self._request_deadline, event_deadline))
            except TimeoutError:
                self.memory.check_not_shed()
                raise
            except OSError:
                raise ClientDisconnectedError from None
            self.memory.check_not_shed()
            if not data:
                raise ClientDisconnectedError
            if time.monotonic() > self._request_deadline:
                raise TimeoutError
            self.parser.feed(data)
        return events.popleft()

    def _parse(self, slice_bytes: int = _PARSED_AT_ONCE_BYTES) -> None:
        """Parse the bytes that were read before, slice by slice up to the next event. Raises HttpError."""
        unparsed, position = self._unparsed, 0
        while position < len(unparsed) and not self.parser.events:
            self.parser.feed(unparsed[position : position + slice_bytes])
            position += slice_bytes
        self._unparsed = unparsed[position:]

    def _rest_of_body_bytes(self) -> int:
        """Return how many bytes to parse at once of the request being read: the rest of its body, if that is known."""
        exchange = self.exchange
        if exchange is None or exchange.head.length is None:
            return _PARSED_AT_ONCE_BYTES
        return max(_PARSED_AT_ONCE_BYTES, exchange.head.length - exchange.body_bytes)

    def has_disconnected(self) -> bool:
        """Return whether the peer has closed the connection or sent too many bytes, without waiting or reading any."""
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
            # Once the receive buffer is full, the peer's close can no longer be detected, so a peer that has sent this
            # much is treated as if it had closed.
            self.flooded = self.stream.unread_bytes() >= FLOOD_BYTES
        return self.peer_closed or self.flooded

    def must_end(self) -> bool:
        """Return whether the connection ends with its current response; False if a further request has arrived."""
        return self.server.is_last_response() and not self._has_more_input()

    def _has_more_input(self) -> bool:
        """Return whether at least a part of another request has been received, whether or not it has been read."""
        if self._has_begun_request():
            return True
        return not self.server.reading_ended and self.stream.has_unread()

    def _has_begun_request(self) -> bool:
        """Return whether a part of another request was read together with the present one."""
        return bool(self.parser.events) or self.parser.in_head or bool(self._unparsed.strip(_LINE_END))

    # ------------------------------------------------------------ serving requests

    def run(self) -> None:
        """Serve requests one after the other until the connection ends."""
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
            self._send_owed_response()
        finally:
            self.memory.release()
            self.server.note_end(self)
            self.note_event(ConnectionEvent.ENDED)
            self._close()
            self.exchange = None  # the exchange refers to the connection

    def note_event(self, event: ConnectionEvent) -> None:
        """Change to the next state."""
        if event is ConnectionEvent.REQUEST_COMPLETE:
            self.memory.complete()
        self.state = next_state(self.state, event)

    def note_cause(self, cause: CloseCause) -> None:
        """Record why the connection ends; only the first cause is kept."""
        if self.cause is None:
            self.cause = cause

    def _next_request(self) -> Exchange | None:
        """Read the next request's head and begin its exchange. None: there is no request and the connection ends."""
        self.exchange = None
        try:
            began_at = self._read_head()
        except MemoryShortError:
            self._refuse_for_memory()
            return None
        except TimeoutError:
            self.note_cause(CloseCause.SHUTDOWN if self.server.draining else CloseCause.DEADLINE)
            self._send_owed_response()
            return None
        except HttpError as error:
            self._reject(error)
            return None
        if began_at is None:
            self.peer_closed = True
            self.note_cause(CloseCause.PEER_CLOSED)
            return None
        head = self.parser.events.popleft()
        if not isinstance(head, RequestHead):
            self.note_cause(CloseCause.BAD_MESSAGE)
            return None
        return self._begin_exchange(head, began_at)

    def _read_head(self) -> float | None:
        """Read until the next request's head is complete, and return when it began; None: the client closed first."""
        began_at: float | None = None
        if self.has_carried_request:
            self.note_event(ConnectionEvent.REQUEST_AWAITED)
        if self._has_begun_request():
            self.note_event(ConnectionEvent.REQUEST_BEGAN)
            self.memory.begin_next(len(self._unparsed))
            began_at = time.monotonic()
        else:
            self.memory.release()
            self._unparsed = b""  # line ends, which may come before a request
        self._parse()
        while not self.parser.events:
            data, arrived_at = self._read_head_piece(began_at)
            if not data:
                return None
            if began_at is None:
                began_at = arrived_at
            self.note_event(ConnectionEvent.REQUEST_BEGAN)
            self._unparsed = data
            self._parse()
        return time.monotonic() if began_at is None else began_at

    def _read_head_piece(self, began_at: float | None) -> tuple[bytes, float]:
        """Return bytes of a request's head and when they arrived.

        Parameters
        ----------
        began_at
            When the request began; None: it has not begun yet.
        """
        if began_at is None:
            return self._await_request()
        options = self.server.options
        deadline = self._bounded(began_at + options.read_timeout_s)
        self.memory.hold_head(options.limits.unfinished_bytes(), deadline)
        try:
            return self.stream.recv_stamped(SHORT_READ_BYTES, deadline)
        finally:
            self.memory.check_not_shed()  # also ahead of the end of a wait that shedding has ended

    def _await_request(self) -> tuple[bytes, float]:
        """Wait for a request to begin; until then the server may evict the connection. Raises MemoryShortError."""
        options = self.server.options
        if self.has_carried_request:
            waiting = self.server.idle
            timeout_s = options.idle_timeout_s
        else:
            waiting = self.server.new
            timeout_s = options.first_request_timeout_s
        since = time.monotonic()
        deadline = self._bounded(since + timeout_s)
        while True:
            waiting[self] = since
            try:
                self.stream.await_readable(deadline)
            finally:
                waiting.pop(self, None)
            try:
                return self._read_first_piece()
            except BlockingIOError:
                self.memory.release()

    def _read_first_piece(self) -> tuple[bytes, float]:
        """Read the first bytes of a request, or the end of the stream, once there is memory for them."""
        deadline = self._bounded(time.monotonic() + self.server.options.read_timeout_s)
        read_bytes = self.memory.begin(deadline)
        piece = self.stream.recv_stamped_now(read_bytes)
        self.memory.note_read(len(piece[0]))
        return piece

    def _begin_exchange(self, head: RequestHead, arrived_at: float) -> Exchange:
        """Create the exchange of a request whose head is complete, and wait for the throttle."""
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
            deadline = server.start_deadline(head, arrived_at) + _MAX_LATE_START_S
            self._started_in = server.throttle.enter(deadline, self._started_in)
        exchange.request_read = complete
        if complete:
            self.note_event(ConnectionEvent.REQUEST_COMPLETE)
        return exchange

    def _bounded(self, *deadlines: float) -> float:
        return min(self.server.shutdown_deadline, *deadlines)

    def _handle(self, exchange: Exchange) -> None:
        try:
            self.server.handler(exchange)
        except HttpError as error:
            self._reject(error)
        except MemoryShortError:
            self._refuse_for_memory()
        except TimeoutError:
            is_shutdown = self.server.shutdown_deadline <= time.monotonic()
            self.note_cause(CloseCause.SHUTDOWN if is_shutdown else CloseCause.DEADLINE)
            self._send_owed_response()
        except ClientDisconnectedError:
            self.note_cause(CloseCause.PEER_CLOSED)
            self.closing = True
        except Exception as error:
            if isinstance(error, OSError) and self.stream.is_broken():
                self.note_cause(CloseCause.RESET)
            else:
                self.server.note_error(error)
                self.note_cause(CloseCause.INTERNAL_ERROR)
            self._send_owed_response()
        if not exchange.answered and not self.closing:
            exchange.respond(500, [JSON_HEADER], format_error_body("failed", "unanswered"), close=True)
        self.closing |= not exchange.request_read

    # ------------------------------------------------------------ closing

    def _send_owed_response(self) -> None:
        """Mark the connection as closing, and send the error response, if any, that `owed_status` requires."""
        self.closing = True
        status = owed_status(self.state, self.cause or CloseCause.KILLED)
        if status is not None:
            error_code = "refused" if status is HTTPStatus.SERVICE_UNAVAILABLE else "failed"
            self._send_error(status, error_code, _OWED_REASONS[status])

    def _reject(self, error: HttpError) -> None:
        """Answer a message that is rejected, and mark the connection as closing."""
        self.note_cause(CloseCause.BAD_MESSAGE)
        self.closing = True
        self.server.note_rejected(error)
        self._send_error(error.status, "bad-request", error.text)

    def _refuse_for_memory(self) -> None:
        """Refuse a request that was not read completely, and mark the connection as closing."""
        if self.state in (ConnectionState.NEW, ConnectionState.IDLE):
            self.note_event(ConnectionEvent.REQUEST_BEGAN)
        self.note_cause(CloseCause.OVERLOAD)
        self.closing = True
        self.memory.release()
        status = owed_status(self.state, CloseCause.OVERLOAD)
        if status is not None:
            self.server.note_rejected(HttpError(status, _OVERLOAD_REASON))
            self._send_error(status, "refused", _OVERLOAD_REASON)

    def _send_error(self, status: int, error_code: str, reason: str) -> None:
        exchange = self.exchange
        if exchange is not None:
            if exchange.answered:
                return
            exchange.answered = True
        self.note_event(ConnectionEvent.RESPONSE_BEGAN)
        self.request_cut = exchange is None or not exchange.request_read
        body = format_error_body(error_code, reason)
        headers = [JSON_HEADER]
        retry_after_s = self.server.options.retry_after_s
        if status == HTTPStatus.SERVICE_UNAVAILABLE and retry_after_s:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        with contextlib.suppress(OSError):
            self.send(format_response_head(status, headers, len(body), close=True) + body)

    def _close(self) -> None:
        try:
            if not self.stream.closed and not self.peer_closed:
                if self.request_cut and self.cause is not CloseCause.OVERLOAD:
                    discard_rest(self.stream)
                else:
                    await_acknowledged(self.stream)
        except OSError:
            pass
        finally:
            self.stream.close()
            self.parser.close()
