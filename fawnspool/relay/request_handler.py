"""The platform's clients: a request read and checked, handed to the core, and answered once.

    client -> this file (parse, bounds) -> Core.take -> the module's loop -> a shelf -> one final answer here

Nothing malformed reaches the module.
"""

from __future__ import annotations

import math
import re
import time

from fawnspool.connections.body_limits import admits_long_body
from fawnspool.connections.descriptor_limits import ConnectionLimits
from fawnspool.connections.idle_timeouts import CLIENT_IDLE_TIMEOUT_S, REQUEST_TIMEOUT_S
from fawnspool.gateway.core import Core
from fawnspool.gateway.request_state import Body, Kind, Pending
from fawnspool.net.exceptions import HttpError
from fawnspool.net.http import MessageLimits, RequestHead
from fawnspool.net.server import Server
from fawnspool.net.server_connection import Exchange, ServerConnection
from fawnspool.net.server_options import ServerCallbacks, ServerOptions
from fawnspool.relay.node_client import BODY_MOST, BODY_USUAL
from fawnspool.scheduling.interface import Idempotence, Request, Settings

HEALTH = b"/_health"
HEAD_BYTES, HEAD_FIELDS = 8192, 40
TURN = 16  # requests begun in one turn of the loop, at most
_TEXT = (b"Content-Type", b"text/plain")
_IDENT = re.compile(rb"[!-~]{1,128}")
_OBJECT = re.compile(rb"[0-9a-fA-F]{1,16}")
_IO = re.compile(rb"volume=([0-9a-fA-F]{1,16}),units=(\d{1,6}),shard=(-1|\d{1,6}),hosts=(\d{1,6})")
_COUNT = re.compile(rb"[1-9]\d{0,8}")


class Front:
    """Serves the platform's clients on `listen`."""

    def __init__(
        self, core: Core, settings: Settings, listen: tuple[str, int], limits: ConnectionLimits, memory: int
    ) -> None:
        """memory: bytes that the head may use in all."""
        self.core, self.settings, self.memory = core, settings, memory
        self.long = dict[Exchange, int]()  # bytes of bodies over the usual size in hand
        self.held = 0  # their sum
        self.classes = {c.name.encode(): k for k, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): k for k, p in enumerate(settings.plans)}
        self.open: dict[bytes, Pending] = {}  # by the client's id: one that is open is not taken twice
        self.until = math.inf  # all answers have left by then (monotonic)
        self.server = Server(
            listen,
            self.handle,
            ServerOptions(
                MessageLimits(HEAD_BYTES, HEAD_FIELDS),
                idle_timeout_s=CLIENT_IDLE_TIMEOUT_S,
                first_request_timeout_s=REQUEST_TIMEOUT_S,
                read_timeout_s=REQUEST_TIMEOUT_S,
                max_connections=limits.clients,
                max_starts_per_turn=TURN,
                untrusted_clients=True,
                crowded_from=limits.crowded_from,
            ),
            ServerCallbacks(
                on_error=self._error,
                on_rejected=self._bad,
                on_unanswered=self._unanswered,
                start_deadline=self._due,
            ),
        )

    def start(self) -> None:
        self.server.start()

    def end_all(self) -> None:
        """The program ends: whatever is still open is answered now."""
        for pending in list(self.open.values()):
            self.core.give_up(pending, Kind.FAILED)

    def _error(self, bad: Exception) -> None:
        self.core.log.error("the front raised", error=str(bad), exc_info=bad)

    def _bad(self, bad: HttpError) -> None:
        counts = self.core.metrics.bad_requests
        counts[bad.status] = counts.get(bad.status, 0) + 1

    def _unanswered(self, conn: ServerConnection) -> None:
        """A request was read and its connection ends without an answer."""
        head = conn.exchange.head if conn.exchange is not None else None
        ident = b"" if head is None else head.headers.get(b"request-id", b"")
        self.core.log.error(
            "request left unanswered",
            id=ident.decode("ascii", "replace"),
            connection=conn.number,
            connection_age_s=round(time.monotonic() - conn.opened_at, 4),
            state=conn.state.value,
            cause=conn.cause.value if conn.cause is not None else "",
        )

    def _due(self, head: RequestHead, came: float) -> float:
        """Until when a request is worth a turn: roughly, as nothing of it has been checked yet."""
        raw = head.headers.get(b"request-timeout-ms", b"")
        return came + (int(raw) / 1000 if _COUNT.fullmatch(raw) else REQUEST_TIMEOUT_S)

    # ------------------------------------------------------------ one request

    def handle(self, exchange: Exchange) -> None:
        """One request, answered once. Raises HttpError for what can't be taken."""
        head = exchange.head
        if head.target == HEALTH:
            return exchange.respond(200, [_TEXT], b"ok\n")
        if head.length is not None and head.length > BODY_MOST:
            raise HttpError(413, f"a body has {BODY_MOST} bytes at most")
        try:
            self._hold(exchange, head.length or 0)
            self._request(exchange)
        finally:
            self.held -= self.long.pop(exchange, 0)

    def _hold(self, exchange: Exchange, size: int) -> None:
        """Room for a body of `size` bytes, if that is over the usual. Raises HttpError."""
        more = size - self.long.get(exchange, 0)
        if size > BODY_USUAL and more > 0:
            if not admits_long_body(more, self.held, self.memory):
                raise HttpError(503, "too many long bodies at once")
            self.long[exchange] = size
            self.held += more

    def _request(self, exchange: Exchange) -> None:
        head = exchange.head
        req, patience = self._read(exchange)
        h = head.headers
        ident = h[b"request-id"]
        forward: list[tuple[bytes, bytes]] = [(n, h[n]) for n in (b"request-id", b"idempotency-key") if n in h]
        body = self._body(exchange)
        if ident in self.open:
            raise HttpError(409, "a request of this id is open")
        cls, plan = self.settings.classes[req.class_index], self.settings.plans[req.plan_index]
        margin = min(self.settings.answer_slack_s, patience / 4)
        pending = Pending(
            req,
            head.method,
            head.target,
            forward,
            Body(body, len(body)),
            exchange,
            ident.decode(),
            "",
            exchange.arrived_at,
            exchange.arrived_at + patience - margin,
            cls.name,
            plan.name,
        )
        pending.deadline = min(pending.deadline, self.until)
        self.open[ident] = pending
        try:
            self.core.take(pending)
            self.core.wait(pending, margin / 2, 0.0)
        finally:
            del self.open[ident]
        self._finish(pending, exchange)

    def _read(self, exchange: Exchange) -> tuple[Request, float]:
        """The request for the module, and how long its client waits, seconds. Raises HttpError."""
        head, h = exchange.head, exchange.head.headers
        if not _IDENT.fullmatch(h.get(b"request-id", b"")):
            raise HttpError(400, "Request-Id is missing or does not read")
        name = head.target.partition(b"?")[0].split(b"/")[1:2]
        cls = self.classes.get(name[0] if name else b"")
        if cls is None:
            raise HttpError(404, "the first part of the path names no request class")
        if head.method not in (b"GET", b"PUT") or (head.method == b"GET" and self.settings.classes[cls].writes):
            raise HttpError(405, "a read is a GET, a write a PUT")
        plan = self.plans.get(h.get(b"x-plan", b""))
        if plan is None:
            raise HttpError(400, "X-Plan names no plan")
        extent, io = h.get(b"x-object", b""), _IO.fullmatch(h.get(b"x-io", b"").replace(b" ", b""))
        if not _OBJECT.fullmatch(extent):
            raise HttpError(400, "X-Object has up to 16 hex digits")
        if io is None:
            raise HttpError(400, "X-IO does not read: volume=HEX,units=N,shard=N,hosts=N")
        units, cell, heads = int(io[2]), int(io[3]), int(io[4])
        if not 1 <= units <= self.settings.largest_units or cell >= self.settings.shard_count or heads < 1:
            raise HttpError(400, "X-IO: units, shard or hosts out of range")
        wait = h.get(b"request-timeout-ms", b"")
        if not _COUNT.fullmatch(wait):
            raise HttpError(400, "Request-Timeout-Ms is a whole number of milliseconds above 0")
        spec = self.settings.classes[cls]
        if spec.idempotence is Idempotence.WITH_KEY and b"idempotency-key" not in h:
            raise HttpError(400, "this class needs an Idempotency-Key")
        patience = min(int(wait) / 1000, spec.deadline_s)
        return Request(
            self.core.next_id(),
            cls,
            plan,
            int(extent, 16),
            patience,
            int(io[1], 16),
            float(units),
            cell,
            heads,
            h.get(b"client-retry") == b"1",
            head.method == b"PUT",
        ), patience

    def _body(self, exchange: Exchange) -> bytes:
        parts = []
        for piece in exchange.body():
            parts.append(piece)
            if exchange.body_bytes > BODY_MOST:
                raise HttpError(413, f"a body has {BODY_MOST} bytes at most")
            self._hold(exchange, exchange.body_bytes)
        return b"".join(parts)

    def _finish(self, pending: Pending, exchange: Exchange) -> None:
        kind, core = pending.kind, self.core
        core.finished(pending, "failed" if kind is None else kind.value)
        if kind is Kind.LEFT:
            exchange.abandon()
        elif kind is Kind.SERVED and pending.answer is not None:
            exchange.respond(200, [], pending.answer.body)
        elif kind is Kind.REFUSED:
            wait = pending.retry_after
            more = [(b"Retry-After", b"%.3f" % wait)] if wait > 0 else []
            exchange.respond(503, [_TEXT, *more], b"refused: " + core.reason(pending).encode() + b"\n")
        else:
            late = time.monotonic() >= pending.deadline
            exchange.respond(504 if late else 502, [_TEXT], b"failed: " + core.reason(pending).encode() + b"\n")
