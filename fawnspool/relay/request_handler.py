"""Handling of the platform's clients: each request is parsed, checked, passed to the core and answered once.

The path of a request:
client -> this module (parsing, limits) -> `GatewayCore.accept` -> event loop -> node -> this module (final answer).

No malformed request reaches the decision module.
"""

from __future__ import annotations

import math
import re
import time
from dataclasses import dataclass

from fawnspool.connections.idle_timeouts import CLIENT_IDLE_TIMEOUT_S, REQUEST_TIMEOUT_S
from fawnspool.connections.memory_account import MemoryAccount
from fawnspool.connections.request_ids import IdVerdict, RequestIds
from fawnspool.connections.resource_budget import REQUEST_BYTES, SMALL_MESSAGE_BYTES, ResourceBudget
from fawnspool.gateway.answer_reasons import reason_for_client
from fawnspool.gateway.core import GatewayCore
from fawnspool.gateway.request_state import AnswerKind, ClientRequest, RequestBody
from fawnspool.net.body_buffer import BodyBuffer
from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import MessageLimits, RequestHead
from fawnspool.net.memory_gate import MemoryGate
from fawnspool.net.request_memory import RequestMemory
from fawnspool.net.server import Server, ServerCallbacks
from fawnspool.net.server_connection import ServerConnection
from fawnspool.net.server_options import ServerOptions
from fawnspool.relay.node_client import MAX_BODY_BYTES
from fawnspool.scheduling.interface import Idempotence, Request, RequestClass, Settings

HEALTH_TARGET = b"/_health"
MAX_HEAD_BYTES = 8192
MAX_HEAD_FIELDS = 40
MAX_REQUESTS_PER_ITERATION = 16  # requests started in one iteration of the event loop
_MS_PER_S = 1000
_TEXT = (b"Content-Type", b"text/plain")
_FORWARDED_HEADERS = (b"request-id", b"idempotency-key")
_REQUEST_ID = re.compile(rb"[!-~]{1,128}")
_OBJECT = re.compile(rb"[0-9a-fA-F]{1,16}")
_IO = re.compile(rb"volume=([0-9a-fA-F]{1,16}),units=(\d{1,6}),shard=(-1|\d{1,6}),hosts=(\d{1,6})")
_TIMEOUT_MS = re.compile(rb"[1-9]\d{0,8}")


@dataclass(frozen=True)
class RequestIo:
    """The X-IO header: what a request reads or writes."""

    volume: int
    units: int
    shard: int
    gateway_count: int


class RequestHandler:
    """Serves the platform's clients on `listen`.

    Parameters
    ----------
    budget
        What connections and requests may use.
    descriptors
        Gives the clients' connections their descriptors.
    """

    def __init__(
        self,
        core: GatewayCore,
        settings: Settings,
        listen: tuple[str, int],
        budget: ResourceBudget,
        descriptors: DescriptorGate,
    ) -> None:
        self.core = core
        self.settings = settings
        account = MemoryAccount[RequestMemory](budget.requests, REQUEST_BYTES + SMALL_MESSAGE_BYTES)
        self.request_memory = MemoryGate(account, RequestMemory.shed)
        self.request_ids = RequestIds(budget.request_ids)
        self.class_indexes = {
            request_class.name.encode(): index for index, request_class in enumerate(settings.classes)
        }
        self.plan_indexes = {plan.name.encode(): index for index, plan in enumerate(settings.plans)}
        self.open: dict[bytes, ClientRequest] = {}  # by the client's request id, which no two open requests may share
        self.last_answer_by = math.inf  # deadline of all answers (monotonic seconds); infinite until the shutdown
        self.server = Server(
            listen,
            self.handle,
            ServerOptions(
                MessageLimits(MAX_HEAD_BYTES, MAX_HEAD_FIELDS),
                idle_timeout_s=CLIENT_IDLE_TIMEOUT_S,
                first_request_timeout_s=REQUEST_TIMEOUT_S,
                read_timeout_s=REQUEST_TIMEOUT_S,
                max_connections=budget.connections,
                max_starts_per_iteration=MAX_REQUESTS_PER_ITERATION,
                untrusted_clients=True,
                crowded_from=budget.crowded_from,
                request_memory=self.request_memory,
                retry_after_s=settings.max_retry_after_s if settings.sends_retry_after else 0.0,
                descriptors=descriptors,
            ),
            ServerCallbacks(
                on_error=self._on_error,
                on_rejected=self._on_rejected,
                on_unanswered=self._on_unanswered,
                start_deadline=_start_deadline,
            ),
        )

    def start(self) -> None:
        """Start to accept connections."""
        self.server.start()

    def fail_open_requests(self) -> None:
        """Answer all open requests as failed, because the process is about to exit."""
        for pending in list(self.open.values()):
            self.core.abandon(pending, AnswerKind.FAILED)

    def _on_error(self, error: Exception) -> None:
        self.core.log.error("request_handler_raised", error=str(error), exc_info=error)

    def _on_rejected(self, error: HttpError) -> None:
        self.core.metrics.bad_request(error.status)

    def _on_unanswered(self, connection: ServerConnection) -> None:
        """Log that a connection ended without a response to a request that was read."""
        request_id = b""
        if connection.exchange is not None:
            request_id = connection.exchange.head.headers.get(b"request-id", b"")
        self.core.log.error(
            "request_left_unanswered",
            id=request_id.decode("ascii", "replace"),
            connection=connection.number,
            connection_age_s=round(time.monotonic() - connection.opened_at, 4),
            state=connection.state.value,
            cause=connection.cause.value if connection.cause is not None else "",
        )

    # ------------------------------------------------------------ one request

    def handle(self, exchange: Exchange) -> None:
        """Answer one request, once.

        Raises
        ------
        HttpError
            The request is rejected.
        """
        head = exchange.head
        if head.target == HEALTH_TARGET:
            exchange.respond(200, [_TEXT], b"ok\n")
            return
        if head.length is not None and head.length > MAX_BODY_BYTES:
            raise _body_too_long()
        self._serve(exchange)

    def _serve(self, exchange: Exchange) -> None:
        request = self._read_request(exchange)
        request_id = exchange.head.headers[b"request-id"]
        body = self._read_body(exchange)
        if request_id in self.open:
            raise HttpError(409, "another request with this Request-Id is open")
        runs_once = self.settings.classes[request.class_index].idempotence is not Idempotence.IDEMPOTENT
        if runs_once:
            self._check_id(request_id)
        margin_s = min(self.settings.answer_slack_s, request.timeout_s / 4)
        pending = self._make_client_request(exchange, request, body, margin_s)
        self.open[request_id] = pending
        try:
            self.core.accept(pending)
            self.core.wait_for_answer(pending, grace_s=margin_s / 2, streaming_s=0.0)
        finally:
            del self.open[request_id]
            if runs_once:
                is_answered = pending.answer_kind is not AnswerKind.CLIENT_LEFT
                self.request_ids.end(request_id, pending.may_run_until(), is_answered)
        try:
            self._finish(pending, exchange)
        finally:
            self.core.release_answer(pending)

    def _check_id(self, request_id: bytes) -> None:
        """Raise HttpError if a request that must not run twice can't be sent, by its id."""
        verdict = self.request_ids.begin(request_id, time.monotonic())
        if verdict is IdVerdict.KNOWN:
            raise HttpError(409, "an earlier request with this Request-Id may have run")
        if verdict is IdVerdict.NO_ROOM:
            raise HttpError(503, "too many requests that must not run twice")

    def _make_client_request(self, exchange: Exchange, request: Request, body: bytes, margin_s: float) -> ClientRequest:
        head = exchange.head
        deadline = exchange.arrived_at + request.timeout_s - margin_s
        return ClientRequest(
            request=request,
            method=head.method,
            target=head.target,
            forwarded_headers=[(name, head.headers[name]) for name in _FORWARDED_HEADERS if name in head.headers],
            body=RequestBody(body, len(body)),
            exchange=exchange,
            operation_id=head.headers[b"request-id"].decode(),
            idempotency_key="",
            arrived_at=exchange.arrived_at,
            deadline=min(deadline, self.last_answer_by),
            class_name=self.settings.classes[request.class_index].name,
            plan_name=self.settings.plans[request.plan_index].name,
        )

    def _read_request(self, exchange: Exchange) -> Request:
        """Convert a request's head to the decision module's `Request`. Raises HttpError if the head is malformed."""
        head = exchange.head
        headers = head.headers
        if not _REQUEST_ID.fullmatch(headers.get(b"request-id", b"")):
            raise HttpError(
                400, "Request-Id is missing or malformed; expected 1 to 128 printable ASCII characters, no spaces"
            )
        class_index = self._read_class(head)
        plan_index = self.plan_indexes.get(headers.get(b"x-plan", b""))
        if plan_index is None:
            raise HttpError(400, "X-Plan is missing or names no configured plan")
        extent = headers.get(b"x-object", b"")
        if not _OBJECT.fullmatch(extent):
            raise HttpError(400, "X-Object is missing or malformed; expected 1 to 16 hex digits")
        request_io = self._read_io(head)
        timeout_s = self._read_timeout(head, self.settings.classes[class_index])
        return Request(
            id=self.core.next_request_id(),
            class_index=class_index,
            plan_index=plan_index,
            extent=int(extent, 16),
            timeout_s=timeout_s,
            volume=request_io.volume,
            units=float(request_io.units),
            shard=request_io.shard,
            gateway_count=request_io.gateway_count,
            is_client_retry=headers.get(b"client-retry") == b"1",
            writes=head.method == b"PUT",
        )

    def _read_class(self, head: RequestHead) -> int:
        """Return the index of the request class, which is the first part of the path."""
        path = head.target.partition(b"?")[0]
        parts = path.split(b"/")
        class_index = self.class_indexes.get(parts[1] if len(parts) > 1 else b"")
        if class_index is None:
            raise HttpError(404, "the first part of the path names no request class")
        is_read = head.method == b"GET"
        if head.method not in (b"GET", b"PUT") or (is_read and self.settings.classes[class_index].writes):
            raise HttpError(405, "method does not fit the request class; reads use GET and writes use PUT")
        return class_index

    def _read_io(self, head: RequestHead) -> RequestIo:
        match = _IO.fullmatch(head.headers.get(b"x-io", b"").replace(b" ", b""))
        if match is None:
            raise HttpError(400, "X-IO is missing or malformed; expected volume=HEX,units=N,shard=N,hosts=N")
        request_io = RequestIo(
            volume=int(match[1], 16), units=int(match[2]), shard=int(match[3]), gateway_count=int(match[4])
        )
        is_in_range = (
            1 <= request_io.units <= self.settings.largest_units
            and request_io.shard < self.settings.shard_count
            and request_io.gateway_count >= 1
        )
        if not is_in_range:
            raise HttpError(400, "X-IO: units, shard or hosts is out of range")
        return request_io

    def _read_timeout(self, head: RequestHead, request_class: RequestClass) -> float:
        """Return the client's timeout in seconds, at most the deadline of the class.

        Raises HttpError if the timeout is malformed, or if the class requires an idempotency key and there is none.
        """
        raw = head.headers.get(b"request-timeout-ms", b"")
        if not _TIMEOUT_MS.fullmatch(raw):
            raise HttpError(400, "Request-Timeout-Ms must be an integer above 0, in milliseconds")
        if request_class.idempotence is Idempotence.WITH_KEY and b"idempotency-key" not in head.headers:
            raise HttpError(400, "this request class requires an Idempotency-Key header")
        return min(int(raw) / _MS_PER_S, request_class.deadline_s)

    def _read_body(self, exchange: Exchange) -> bytes:
        body = BodyBuffer()
        for piece in exchange.body():
            body.append(piece)
            if exchange.body_bytes > MAX_BODY_BYTES:
                raise _body_too_long()
        return body.take()

    def _finish(self, pending: ClientRequest, exchange: Exchange) -> None:
        """Count the request and send its final answer."""
        kind = pending.answer_kind or AnswerKind.FAILED
        self.core.count_finished(pending, kind.value)
        if kind is AnswerKind.CLIENT_LEFT:
            exchange.abandon()
        elif kind is AnswerKind.SERVED and pending.answer is not None:
            exchange.respond(200, [], pending.answer.body)
        elif kind is AnswerKind.REJECTED:
            headers = [_TEXT]
            if pending.retry_after_s > 0:
                headers.append((b"Retry-After", b"%.3f" % pending.retry_after_s))
            exchange.respond(503, headers, b"refused: " + reason_for_client(pending).encode() + b"\n")
        else:
            is_late = time.monotonic() >= pending.deadline
            reason = reason_for_client(pending).encode()
            exchange.respond(504 if is_late else 502, [_TEXT], b"failed: " + reason + b"\n")


def _body_too_long() -> HttpError:
    return HttpError(413, f"request body is longer than {MAX_BODY_BYTES} bytes")


def _start_deadline(head: RequestHead, arrived_at: float) -> float:
    """Return the time until which a request may wait for the throttle, from its timeout header if well-formed."""
    raw = head.headers.get(b"request-timeout-ms", b"")
    return arrived_at + (int(raw) / _MS_PER_S if _TIMEOUT_MS.fullmatch(raw) else REQUEST_TIMEOUT_S)
