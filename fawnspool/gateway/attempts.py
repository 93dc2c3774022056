"""Carries out one `Send`: connection, request, response; tells how it ended. Chooses nothing."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

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

_STREAMED_STATUSES = (200, 206)
# Endings before any byte of a response: connections that lay idle longer than this one are not trusted either.
_DISTRUST_OLDER = frozenset((AttemptEnding.RESET, AttemptEnding.CLOSED, AttemptEnding.UNWRITTEN_RESET))


@dataclass(slots=True)
class NodeFeedback:
    """What a response tells of its node.

    Attributes
    ----------
    units_by_others
        Units served of the volume for other gateways.
    volume_usage
        The volume's use everywhere, as a fraction of its rate; None: no figure.
    load_report
        The node's load report, in the order of the settings.
    """

    units_by_others: int = 0
    volume_usage: float | None = None
    load_report: tuple[float, ...] = ()


class NodeProtocol(Protocol):
    """How the nodes behind a gateway are spoken to; without I/O.

    Attributes
    ----------
    max_buffered_bytes
        Bytes of a response body that is held whole.
    streams_large
        Whether a larger one is passed on as it comes.
    """

    max_buffered_bytes: int
    streams_large: bool

    def request_head(self, request: ClientRequest, attempt: NodeAttempt) -> bytes:
        """Return the head of the request to the node."""

    def feedback(self, request: ClientRequest, head: ResponseHead) -> NodeFeedback:
        """Return what the response's headers tell. Raises ValueError where that spoils the response."""

    def ending(self, head: ResponseHead) -> AttemptEnding:
        """Return how an attempt ended whose response is complete."""


@dataclass(frozen=True, slots=True)
class AttemptHooks:
    """What an attempt asks and tells its gateway.

    Attributes
    ----------
    protocol
        How its node is spoken to.
    is_withdrawn
        May nothing new be sent to this node any more?
    on_stream_started
        A response too large to hold starts to be passed on.
    """

    protocol: NodeProtocol
    is_withdrawn: Callable[[int], bool]
    on_stream_started: Callable[[ClientRequest, NodeAttempt], None]


@dataclass(slots=True)
class AttemptOutcome:
    """How an attempt ended.

    Attributes
    ----------
    duration_s
        From the decision to send to the end.
    answer
        The node's response where the attempt was answered.
    feedback
        What its headers told; None where none came or it did not read.
    reused_connection
        It used a connection that had carried another request.
    """

    ending: AttemptEnding
    duration_s: float
    answer: NodeAnswer | None = None
    feedback: NodeFeedback | None = None
    reused_connection: bool = False


class _AttemptEndedError(Exception):
    """The attempt is over before it was answered."""

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
        """Connect, send, read the response, and give the connection back."""
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
                if not connection.is_new and ending in _DISTRUST_OLDER:
                    self.pool.discard_older_than(connection)
        finally:
            self.attempt.connection = None
            if connection is not None:
                self._give_back(connection, reusable)
        return AttemptOutcome(
            ending,
            time.monotonic() - self.attempt.started_at,
            self.answer,
            self.feedback,
            reused_connection=connection is not None and not connection.is_new,
        )

    def _give_back(self, connection: ClientConnection, reusable: bool) -> None:
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
            if time.monotonic() >= attempt.write_by:  # its window was too short to tell: no sign against the node
                raise _AttemptEndedError(AttemptEnding.OUT_OF_TIME) from None
            raise _AttemptEndedError(_connect_ending(error)) from None

    def _check_before_send(self) -> None:
        """Check again before sending: what was true before the wait for a connection may be outdated."""
        if self.hooks.is_withdrawn(self.attempt.node):
            raise _AttemptEndedError(AttemptEnding.NODE_DRAINING)
        if self.attempt.cancelled or self.request.state is RequestState.SETTLED:
            raise _AttemptEndedError(AttemptEnding.CANCELLED_UNSENT)
        if time.monotonic() >= self.attempt.write_deadline:
            raise _AttemptEndedError(AttemptEnding.OUT_OF_TIME)
        if self.request.exchange is not None and self.request.exchange.client_left():
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
                connection.send(head + body.start if body.start else head, deadline)
            else:
                self._stream_body(connection, head, deadline)
        except TimeoutError:
            raise self._lost(AttemptEnding.UNWRITTEN_TIMEOUT, unsent=True) from None
        except ConnectionLostError:
            raise self._lost(AttemptEnding.UNWRITTEN_RESET, unsent=True) from None

    def _stream_body(self, connection: ClientConnection, head: bytes, deadline: float) -> None:
        """Send a body of which the rest comes from the client, once."""
        body = self.request.body
        body.spent = True
        chunked = body.length is None
        connection.send(head + (format_chunk(body.start) if chunked else body.start), deadline)
        for piece in self._rest_of_body():
            connection.send(format_chunk(piece) if chunked else piece, deadline)
        if chunked:
            connection.send(LAST_CHUNK, deadline)

    def _rest_of_body(self) -> Iterator[bytes]:
        """Read what is left of the client's body."""
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
            raise self._lost(AttemptEnding.RESPONSE_TIMEOUT) from None
        except ConnectionLostError as error:
            if connection.is_cut_in_head():
                raise self._lost(AttemptEnding.TRUNCATED_RESPONSE) from None
            if isinstance(error, ConnectionClosedError) and not connection.is_new:
                raise self._lost(AttemptEnding.CLOSED) from None
            raise self._lost(AttemptEnding.RESET) from None
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
            # It names more than any response has: nothing of it is read.
            raise _AttemptEndedError(AttemptEnding.WRONG_LENGTH)
        body = self._read_body(connection)
        ending = protocol.ending(head)
        if ending is not AttemptEnding.ANSWERED:
            return ending
        self.answer = NodeAnswer(head.code, head.headers, body)
        if connection.ends_at_close:
            return AttemptEnding.ANSWERED_UNTIL_CLOSE
        return ending

    def _read_body(self, connection: ClientConnection) -> bytes:
        try:
            return connection.read_body(self.attempt.deadline, self.hooks.protocol.max_buffered_bytes)
        except TimeoutError:
            raise self._lost(AttemptEnding.RESPONSE_TIMEOUT) from None
        except ConnectionLostError:
            if connection.ends_at_close:
                raise self._lost(AttemptEnding.BROKEN_WITHOUT_LENGTH) from None
            raise self._lost(AttemptEnding.TRUNCATED_RESPONSE) from None
        except HttpError as error:
            raise _AttemptEndedError(_response_error_ending(error)) from None

    def _stream_response(self, connection: ClientConnection, head: ResponseHead) -> None:
        """Pass a large response on as it comes, as fast as the client takes it."""
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

    def _lost(self, ending: AttemptEnding, unsent: bool = False) -> _AttemptEndedError:
        """Return the end of an attempt whose connection ended: where it was cancelled, that was why."""
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
