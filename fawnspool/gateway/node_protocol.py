"""The project's own wire to its nodes (docs/node-wire.md), as the attempts speak it. No I/O, no choices."""

from __future__ import annotations

import time

from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.gateway.attempts import NodeFeedback
from fawnspool.gateway.request_state import Attempt, Pending
from fawnspool.net.http import ResponseHead, format_request_head
from fawnspool.net.node_headers import ATTEMPT_HEADER, REPORT_HEADER, AttemptHeader, parse_node_report
from fawnspool.scheduling.interface import Settings

_FINAL = frozenset((200, 201, 204, 206, 304, 404, 412, 416, 421, 425))  # of a request that the node understood


class NodeSpeech:
    """Speaks for head `number`; answers of over `max_buffered_bytes` bytes are passed on as they come."""

    streams_large = True

    def __init__(self, number: int, settings: Settings, max_buffered_bytes: int) -> None:
        self.number, self.settings, self.max_buffered_bytes = number, settings, max_buffered_bytes

    def request_head(self, pending: Pending, attempt: Attempt) -> bytes:
        req = pending.req
        cls = self.settings.classes[req.class_index]
        call = AttemptHeader(
            self.number,
            req.id,
            attempt.number,
            req.class_index,
            req.units,
            req.extent,
            cls.idempotence.value,
            cls.deduplication_scope.value,
            cls.deduplication_window_s,
            max(0.0, attempt.deadline - time.monotonic()),
            pending.op,
            pending.idem,
        )
        return format_request_head(
            pending.method,
            pending.target,
            b"node",
            [(ATTEMPT_HEADER, call.encode()), *pending.forward],
            pending.body.length,
        )

    def feedback(self, pending: Pending, head: ResponseHead) -> NodeFeedback:
        report = parse_node_report(head.headers.get(REPORT_HEADER))
        used = None
        if report.volume_units_per_s is not None:
            rate = self.settings.plans[pending.req.plan_index].rate
            used = report.volume_units_per_s / rate if rate > 0 else None
        return NodeFeedback(report.served_elsewhere, used, report.load)

    def ending(self, head: ResponseHead) -> AttemptEnding:
        if head.code == 503 and parse_node_report(head.headers.get(REPORT_HEADER)).overloaded:
            return AttemptEnding.REJECTED
        return AttemptEnding.ANSWERED if head.code in _FINAL else AttemptEnding.NODE_ERROR
