"""Fawnspool's protocol between a gateway and its nodes (docs/node-wire.md); does no I/O."""

from __future__ import annotations

import time

from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.gateway.attempts import NodeFeedback
from fawnspool.gateway.request_state import ClientRequest, NodeAttempt
from fawnspool.net.http import ResponseHead, format_request_head
from fawnspool.net.node_headers import ATTEMPT_HEADER, REPORT_HEADER, AttemptHeader, parse_node_report
from fawnspool.scheduling.interface import Settings

_ANSWERED_STATUSES = frozenset((200, 201, 204, 206, 304, 404, 412, 416, 421, 425))
_UNAVAILABLE = 503


class FawnspoolNodeProtocol:
    """Formats requests to nodes and interprets the headers of their responses.

    Parameters
    ----------
    max_buffered_bytes
        Size of a response body, in bytes, above which the body is streamed to the client.
    """

    streams_large = True

    def __init__(self, gateway_id: int, settings: Settings, max_buffered_bytes: int) -> None:
        self.gateway_id = gateway_id
        self.settings = settings
        self.max_buffered_bytes = max_buffered_bytes

    def request_head(self, pending: ClientRequest, attempt: NodeAttempt) -> bytes:
        """Return the head of the request to the node."""
        request = pending.request
        request_class = self.settings.classes[request.class_index]
        attempt_header = AttemptHeader(
            self.gateway_id,
            request.id,
            attempt.number,
            request.class_index,
            request.units,
            request.extent,
            request_class.idempotence.value,
            request_class.deduplication_scope.value,
            request_class.deduplication_window_s,
            max(0.0, attempt.deadline - time.monotonic()),
            pending.operation_id,
            pending.idempotency_key,
        )
        headers = [(ATTEMPT_HEADER, attempt_header.encode()), *pending.forwarded_headers]
        return format_request_head(pending.method, pending.target, b"node", headers, pending.body.length)

    def feedback(self, pending: ClientRequest, head: ResponseHead) -> NodeFeedback:
        """Return what the response's headers report about the node.

        Raises
        ------
        ValueError
            The headers are malformed, which makes the response invalid.
        """
        report = parse_node_report(head.headers.get(REPORT_HEADER))
        volume_usage = self._volume_usage(pending, report.volume_units_per_s)
        return NodeFeedback(report.served_elsewhere, volume_usage, report.load)

    def _volume_usage(self, pending: ClientRequest, units_per_s: float | None) -> float | None:
        """Return the volume's use as a fraction of its rate; None: not known."""
        rate = self.settings.plans[pending.request.plan_index].rate
        if units_per_s is None or rate <= 0:
            return None
        return units_per_s / rate

    def ending(self, head: ResponseHead) -> AttemptEnding:
        """Return how an attempt with a complete response ended."""
        if head.code == _UNAVAILABLE and parse_node_report(head.headers.get(REPORT_HEADER)).overloaded:
            return AttemptEnding.REJECTED
        return AttemptEnding.ANSWERED if head.code in _ANSWERED_STATUSES else AttemptEnding.NODE_ERROR
