"""Carries out one `Send` action: takes a connection, sends the request, reads the response, reports the outcome."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from fawnspool.connections.resource_budget import SMALL_MESSAGE_BYTES
from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.gateway.request_state import ClientRequest, NodeAnswer, NodeAttempt, RequestState
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.connection_pool import ConnectionPool
from fawnspool.net.exceptions import (
    ClientDisconnectedError,
    ConnectError,
    ConnectionClosedError,
    ConnectionLostError,
    ConnectTimeoutError,
    HttpError,
    PoolExhaustedError,
    TrailingDataError,
)
from fawnspool.net.http import LAST_CHUNK, ResponseHead, format_chunk
from fawnspool.net.memory_gate import MemoryGate, MemoryShortError

_STREAMED_STATUSES = (200, 206)
# Endings before any byte of a response arrived. After one on a reused connection, connections that were
# idle for longer than it are no longer trusted and are discarded as well.
_DISCARD_OLDER_CONNECTIONS = frozenset((AttemptEnding.RESET, AttemptEnding.CLOSED, AttemptEnding.UNWRITTEN_RESET))


@dataclass(slots=True)
class NodeFeedback:
    """What a response reports about its node.

    Attributes
    ----------
    units_by_others
        Units of the volume that the node served for other gateways.
    volume_usage
        The volume's use across all gateways, as a fraction of its rate; None: not known.
    load_report
        The node's load report, in the order of the settings' `load_report_fields`.
    """

    units_by_others: int = 0
    volume_usage: float | None = None
    load_report: tuple[float, ...] = ()


class NodeProtocol(Protocol):
    """The format of requests to nodes and of their responses; does no I/O.

    Attributes
    ----------
    max_buffered_bytes
        Largest response body, in bytes, that is held in memory.
    streams_large
        Whether a larger response body is streamed to the client as it arrives.
    """

    max_buffered_bytes: int
    streams_large: bool

    def request_head(self, request: ClientRequest, attempt: NodeAttempt) -> bytes:
        """Return the head of the request to the node."""

    def feedback(self, request: ClientRequest, head: ResponseHead) -> NodeFeedback:
        """Return what the response's headers report; raise ValueError if they make the response invalid."""

    def ending(self, head: ResponseHead) -> AttemptEnding:
        """Return how an attempt with a complete response ended."""


@dataclass(frozen=True, slots=True)
class AttemptHooks:
    """What an attempt uses of its gateway: the nodes' protocol and two callbacks.

    Attributes
    ----------
    protocol
        The format of requests and responses.
    is_withdrawn
        Returns whether new requests may no longer be sent to a node.
    on_stream_started
        Called when a response too large to hold in memory starts to be streamed to the client.
    answer_memory
        Memory for answers; None: it is not limited.
    """

    protocol: NodeProtocol
    is_withdrawn: Callable[[int], bool]
    on_stream_started: Callable[[ClientRequest, NodeAttempt], None]
    answer_memory: MemoryGate[NodeAttempt] | None = None


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended.

    Attributes
    ----------
    duration_s
        Seconds from the decision to send to the end.
    answer
        The node's response; None if the attempt was not answered.
    feedback
        What the response's headers report; None if no headers arrived or they were malformed.
    reused_connection
        The attempt used a connection that had carried another request.
    """

    ending: AttemptEnding
    duration_s: float
    answer: NodeAnswer | None = None
    feedback: NodeFeedback | None = None
    reused_connection: bool = False


class _AttemptEndedError(Exception):
    """The attempt ended before it was answered."""

    def __init__(self, ending: AttemptEnding) -> None:
        super().__init__(ending.value)
        self.ending = ending


def run_attempt(
    request: ClientRequest, attempt: NodeAttempt, pool: ConnectionPool, hooks: AttemptHooks
) -> AttemptOutcome:
    """Run an attempt to its end, on a connection of its node's pool."""
    return _AttemptRun(request, attempt, pool, hooks).run()


class _AttemptRun:
    """One attempt while it runs."""

    def __init__(self, request: ClientRequest, attempt: NodeAttempt, pool: ConnectionPool, hooks: AttemptHooks) -> None:
        self.request = request
        self.attempt = attempt
        self.pool = pool
        self.hooks = hooks
        self.feedback: NodeFeedback | None = None
        self.answer: NodeAnswer | None = None

    def run(self) -> AttemptOutcome:
        """Connect, send, read the response, and return the connection to its pool."""
        connection: ClientConnection | None = None
        reusable = False
        try:
            connection = self._connect()
            self._check_before_send()
            self.attempt.connection = connection
            self._send_request(connection)
            head = self._read_head(connection)
            self.feedback = self._read_feedback(head)
            ending = self._read_response(connection, head)
            reusable = connection.is_reusable_after(head)
        except _AttemptEndedError as ended:
            ending = ended.ending
            if connection is not None:
                reusable = not self.attempt.sent
                if not connection.is_new and ending in _DISCARD_OLDER_CONNECTIONS:
                    self.pool.discard_older_than(connection)
        finally:
            self.attempt.connection = None
            if connection is not None:
                self._release_or_discard(connection, reusable)
        return AttemptOutcome(
            ending,
            time.monotonic() - self.attempt.started_at,
            self.answer,
            self.feedback,
            reused_connection=connection is not None and not connection.is_new,
        )

    def _release_or_discard(self, connection: ClientConnection, reusable: bool) -> None:
        if reusable and not self.attempt.cancelled:
            self.pool.release(connection)
        else:
            self.pool.discard(connection)

    # ------------------------------------------------------------ before anything is sent

    def _connect(self) -> ClientConnection:
        attempt = self.attempt
        try:
            return self.pool.acquire(attempt.write_deadline)
        except ConnectError as error:
            if attempt.cancelled:
                raise _AttemptEndedError(AttemptEnding.CANCELLED_UNSENT) from None
            if self._had_too_little_time(error):  # not the node's failure
                raise _AttemptEndedError(AttemptEnding.OUT_OF_TIME) from None
            raise _AttemptEndedError(_connect_ending(error)) from None

    def _had_too_little_time(self, error: ConnectError) -> bool:
        """Return whether the attempt's own time, rather than the node, ended the wait for a connection."""
        now = time.monotonic()
        if now >= self.attempt.write_by:
            return True
        if not isinstance(error, ConnectTimeoutError) or now < self.attempt.deadline:
            return False
        return now - self.attempt.started_at < self.pool.options.connect_timeout_s / 2

    def _check_before_send(self) -> None:
        """Check again whether to send, because the state may have changed during the wait for a connection."""
        if self.hooks.is_withdrawn(self.attempt.node):
            raise _AttemptEndedError(AttemptEnding.NODE_DRAINING)
        if self.attempt.cancelled or self.request.state is RequestState.SETTLED:
            raise _AttemptEndedError(AttemptEnding.CANCELLED_UNSENT)
        if time.monotonic() >= self.attempt.write_deadline:
            raise _AttemptEndedError(AttemptEnding.OUT_OF_TIME)
        if self.request.exchange is not None and self.request.exchange.client_has_disconnected():
            raise _AttemptEndedError(AttemptEnding.CLIENT_LEFT_UNSENT)

    # ------------------------------------------------------------ the request

    def _send_request(self, connection: ClientConnection) -> None:
        body = self.request.body
        if body.spent:
            raise _AttemptEndedError(AttemptEnding.BODY_CONSUMED)
        head = self.hooks.protocol.request_head(self.request, self.attempt)
        deadline = self.attempt.write_deadline
        self.attempt.sent = True
        try:
            if body.rest is None:
                self._send_whole(connection, head, body.start, deadline)
            else:
                self._stream_body(connection, head, deadline)
        except TimeoutError:
            raise self._connection_lost(AttemptEnding.UNWRITTEN_TIMEOUT, unsent=True) from None
        except ConnectionLostError:
            raise self._connection_lost(AttemptEnding.UNWRITTEN_RESET, unsent=True) from None

    def _send_whole(self, connection: ClientConnection, head: bytes, body: bytes, deadline: float) -> None:
        """Send a request whose body is complete; a long one is not copied to join it with the head."""
        if len(body) <= SMALL_MESSAGE_BYTES:
            connection.send(head + body, deadline)
            return
        connection.send(head, deadline)
        connection.send(body, deadline)

    def _stream_body(self, connection: ClientConnection, head: bytes, deadline: float) -> None:
        """Send a body while its rest is read from the client, which is possible only once."""
        body = self.request.body
        body.spent = True
        chunked = body.length is None
        connection.send(head + (format_chunk(body.start) if chunked else body.start), deadline)
        for piece in self._rest_of_body():
            connection.send(format_chunk(piece) if chunked else piece, deadline)
        if chunked:
            connection.send(LAST_CHUNK, deadline)

    def _rest_of_body(self) -> Iterator[bytes]:
        """Yield the rest of the body as it is read from the client."""
        body = self.request.body
        assert body.rest is not None
        while True:
            try:
                piece = next(body.rest, None)
            except (ClientDisconnectedError, HttpError, TimeoutError, OSError) as error:
                body.error = error
                raise _AttemptEndedError(AttemptEnding.BODY_INCOMPLETE) from None
            if piece is None:
                return
            yield piece

    # ------------------------------------------------------------ the response

    def _read_head(self, connection: ClientConnection) -> ResponseHead:
        try:
            return connection.read_head(self.attempt.deadline)
        except TimeoutError:
            raise self._connection_lost(AttemptEnding.RESPONSE_TIMEOUT) from None
        except ConnectionLostError as error:
            if connection.is_cut_in_head():
                raise self._connection_lost(AttemptEnding.TRUNCATED_RESPONSE) from None
            if isinstance(error, ConnectionClosedError) and not connection.is_new:
                raise self._connection_lost(AttemptEnding.CLOSED) from None
            raise self._connection_lost(AttemptEnding.RESET) from None
        except HttpError as error:
            raise _AttemptEndedError(_response_error_ending(error)) from None

    def _read_feedback(self, head: ResponseHead) -> NodeFeedback:
        try:
            return self.hooks.protocol.feedback(self.request, head)
        except ValueError:
            raise _AttemptEndedError(AttemptEnding.MALFORMED_RESPONSE) from None

    def _read_response(self, connection: ClientConnection, head: ResponseHead) -> AttemptEnding:
        protocol = self.hooks.protocol
        large = head.length is None or head.length > protocol.max_buffered_bytes
        if protocol.streams_large and large and head.code in _STREAMED_STATUSES:
            self._stream_response(connection, head)
            return AttemptEnding.ANSWERED
        if large and head.length is not None:
            # The Content-Length exceeds the largest valid response, so the body is not read.
            raise _AttemptEndedError(AttemptEnding.WRONG_LENGTH)
        body = self._read_body(connection, head)
        ending = protocol.ending(head)
        if ending is not AttemptEnding.ANSWERED:
            return ending
        self.answer = NodeAnswer(head.code, head.headers, body)
        if connection.ends_at_close:
            return AttemptEnding.ANSWERED_UNTIL_CLOSE
        return ending

    def _read_body(self, connection: ClientConnection, head: ResponseHead) -> bytes:
        reserve = self._hold_answer if self.hooks.answer_memory is not None else None
        try:
            if reserve is not None and head.length is not None:
                reserve(head.length)
            body = connection.read_body(self.attempt.deadline, self.hooks.protocol.max_buffered_bytes, reserve)
        except MemoryShortError:
            raise _AttemptEndedError(AttemptEnding.NO_MEMORY) from None
        except TimeoutError:
            raise self._connection_lost(AttemptEnding.RESPONSE_TIMEOUT) from None
        except ConnectionLostError:
            if connection.ends_at_close:
                raise self._connection_lost(AttemptEnding.BROKEN_WITHOUT_LENGTH) from None
            raise self._connection_lost(AttemptEnding.TRUNCATED_RESPONSE) from None
        except HttpError as error:
            raise _AttemptEndedError(_response_error_ending(error)) from None
        if self.hooks.answer_memory is not None:
            self.hooks.answer_memory.complete(self.attempt)
        return body

    def _hold_answer(self, size: int) -> None:
        """Take memory for so many bytes of the answer, unless they are few. Raises MemoryShortError."""
        if size > SMALL_MESSAGE_BYTES and self.hooks.answer_memory is not None:
            self.hooks.answer_memory.hold(self.attempt, size, self.attempt.deadline)

    def _stream_response(self, connection: ClientConnection, head: ResponseHead) -> None:
        """Stream a large response to the client as it arrives, as fast as the client reads it."""
        request = self.request
        if not request.start_streaming():
            raise _AttemptEndedError(AttemptEnding.CANCELLED)
        self.hooks.on_stream_started(request, self.attempt)
        exchange = request.exchange
        chunked = head.length is None
        sent = 0
        try:
            exchange.begin(head.code, _streamed_headers(request, head), head.length)
            while (piece := self._read_streamed_piece(connection)) is not None:
                exchange.write(format_chunk(piece) if chunked else piece, request.deadline)
                sent += len(piece)
            if chunked:
                exchange.write(LAST_CHUNK, request.deadline)
        except OSError:
            exchange.finish(False)
            raise _AttemptEndedError(AttemptEnding.CLIENT_LEFT_STREAMING) from None
        exchange.finish(True)
        self.answer = NodeAnswer(head.code, head.headers, streamed_bytes=sent)

    def _read_streamed_piece(self, connection: ClientConnection) -> bytes | None:
        try:
            return connection.read_piece(self.request.deadline)
        except (TimeoutError, ConnectionLostError, HttpError):
            self.request.exchange.finish(False)
            raise _AttemptEndedError(AttemptEnding.TRUNCATED_RESPONSE) from None

    def _connection_lost(self, ending: AttemptEnding, unsent: bool = False) -> _AttemptEndedError:
        """Return the error for a lost connection: a cancellation instead of `ending` if that is what closed it."""
        if self.attempt.is_shed:
            return _AttemptEndedError(AttemptEnding.NO_MEMORY)
        if not self.attempt.cancelled:
            return _AttemptEndedError(ending)
        if unsent:
            return _AttemptEndedError(AttemptEnding.CANCELLED_UNSENT)
        return _AttemptEndedError(AttemptEnding.CANCELLED)


def _connect_ending(error: ConnectError) -> AttemptEnding:
    if isinstance(error, PoolExhaustedError):
        return AttemptEnding.POOL_EXHAUSTED
    if isinstance(error, ConnectTimeoutError):
        return AttemptEnding.CONNECT_TIMEOUT
    return AttemptEnding.CONNECT_REFUSED


def _response_error_ending(error: HttpError) -> AttemptEnding:
    if isinstance(error, TrailingDataError):
        return AttemptEnding.WRONG_LENGTH
    return AttemptEnding.MALFORMED_RESPONSE


def _streamed_headers(request: ClientRequest, head: ResponseHead) -> list[tuple[bytes, bytes]]:
    headers = []
    if b"etag" in head.headers:
        headers.append((b"ETag", head.headers[b"etag"]))
    if b"content-range" in head.headers:
        headers.append((b"Content-Range", head.headers[b"content-range"]))
    return [
        *headers,
        (b"Accept-Ranges", b"bytes"),
        (b"Fawn-Request-Id", request.operation_id.encode()),
        *request.answer_headers,
    ]
