"""Writes the final answers to clients of the object API."""

from __future__ import annotations

import json
from typing import Any

from fawnspool.gateway.answer_reasons import reason_for_client
from fawnspool.gateway.gateway import Gateway
from fawnspool.gateway.request_state import AnswerKind, ClientRequest, NodeAnswer
from fawnspool.net.exchange import Exchange

JSON = (b"Content-Type", b"application/json")
PROMETHEUS_TEXT = (b"Content-Type", b"text/plain; version=0.0.4")
_BINARY = (b"Content-Type", b"application/octet-stream")
_ACCEPT_RANGES = (b"Accept-Ranges", b"bytes")
_FORWARDED_HEADERS = ((b"etag", b"ETag"), (b"content-range", b"Content-Range"))
_NODE_ERROR_CODES = {404: "no-such-object", 412: "precondition", 416: "range"}
_FIRST_ERROR_STATUS = 400
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

HeaderList = list[tuple[bytes, bytes]]


def respond_json(exchange: Exchange, status: int, value: Any, headers: HeaderList | None = None) -> None:
    """Answer with a JSON value."""
    exchange.respond(status, [JSON, *(headers or [])], json.dumps(value).encode())


def respond_error(exchange: Exchange, status: int, code: str, reason: str) -> None:
    """Answer with an error, unless the exchange has been answered already."""
    if exchange.answered:
        return
    retry_after = [(b"Retry-After", b"1")] if status == _UNAVAILABLE else []
    respond_json(exchange, status, {"error": code, "reason": reason}, retry_after)


class AnswerWriter:
    """Writes the final answers to the requests of one gateway."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway

    def finish(self, pending: ClientRequest) -> None:
        """Count the request and write its final answer, unless it was streamed or the client has disconnected."""
        exchange: Exchange = pending.exchange
        kind = pending.answer_kind or AnswerKind.FAILED
        self.gateway.count_finished(pending, kind.value)
        if exchange.answered:
            self._count_streamed(pending.answer)
        elif kind is AnswerKind.CLIENT_LEFT:
            exchange.abandon()
        elif kind is AnswerKind.SERVED and pending.answer is not None:
            self._write_served(pending, pending.answer)
        elif kind is AnswerKind.REJECTED:
            self._write_rejected(pending)
        else:
            self._write_failed(pending)

    def _count_streamed(self, answer: NodeAnswer | None) -> None:
        if answer is not None and answer.streamed_bytes is not None:
            self.gateway.metrics.bytes_out += answer.streamed_bytes

    def _write_rejected(self, pending: ClientRequest) -> None:
        wait_s = pending.retry_after_s
        headers = _common_headers(pending)
        if wait_s > 0:
            headers.append((b"Retry-After", b"%d" % max(1, round(wait_s))))
            headers.append((b"Fawn-Retry-After-Ms", b"%d" % (wait_s * 1000)))
        error_body = {
            "error": "refused",
            "reason": reason_for_client(pending),
            "may_have_run": False,
            "request": pending.operation_id,
        }
        respond_json(pending.exchange, _UNAVAILABLE, error_body, headers)

    def _write_failed(self, pending: ClientRequest) -> None:
        reason = reason_for_client(pending)
        error_body = {
            "error": "failed",
            "reason": reason,
            "may_have_run": len(pending.attempts) > 0,
            "request": pending.operation_id,
        }
        status = _GATEWAY_TIMEOUT if "no answer" in reason else _BAD_GATEWAY
        respond_json(pending.exchange, status, error_body, _common_headers(pending))

    def _write_served(self, pending: ClientRequest, answer: NodeAnswer) -> None:
        exchange: Exchange = pending.exchange
        headers = _common_headers(pending)
        for name, written_name in _FORWARDED_HEADERS:
            if name in answer.headers:
                headers.append((written_name, answer.headers[name]))
        if answer.status >= _FIRST_ERROR_STATUS:
            code = _NODE_ERROR_CODES.get(answer.status, "refused-by-node")
            respond_json(exchange, answer.status, {"error": code, "request": pending.operation_id}, headers)
            return
        method = exchange.head.method
        if method in (b"HEAD", b"GET"):
            headers += [_BINARY, _ACCEPT_RANGES]
        if method == b"HEAD":
            size = int(answer.headers.get(b"fawn-size", b"0"))
            exchange.respond_to_head(answer.status, headers, size)
            return
        if method == b"GET":
            self.gateway.metrics.bytes_out += len(answer.body)
        exchange.respond(answer.status, headers, answer.body)


def _common_headers(pending: ClientRequest) -> HeaderList:
    return [(b"Fawn-Request-Id", pending.operation_id.encode()), *pending.answer_headers]
