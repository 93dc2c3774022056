"""The platform's protocol to its nodes, without I/O: formats requests and interprets responses."""

from __future__ import annotations

import math
import time

from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.gateway.attempts import NodeFeedback
from fawnspool.gateway.request_state import ClientRequest, NodeAttempt
from fawnspool.net.http import ResponseHead, format_request_head
from fawnspool.scheduling.interface import Settings

USUAL_BODY_BYTES = 65536  # the size of bodies that the platform's document PROTOCOL states
# Larger than the usual size: despite PROTOCOL, valid bodies of 112 KB from clients and of 400 KB from nodes were seen.
MAX_BODY_BYTES = 1 << 20
_NOT_STARTED = b"not-started"
_OK = 200
_NEVER_RUN_STATUSES = (503, 504)
_MS_PER_S = 1000
_PERCENT = 100


class RelayNodeProtocol:
    """The request and response format of the platform's nodes.

    A malformed load report is ignored; the response that carried it remains valid.
    """

    streams_large = False
    max_buffered_bytes = MAX_BODY_BYTES

    def __init__(self, settings: Settings) -> None:
        self.load_report_fields = settings.load_report_fields

    def request_head(self, pending: ClientRequest, attempt: NodeAttempt) -> bytes:
        """Return the head of the request to the node."""
        remaining_ms = max(1, round((attempt.deadline - time.monotonic()) * _MS_PER_S))
        headers = [*pending.forwarded_headers, (b"Request-Timeout-Ms", b"%d" % remaining_ms)]
        return format_request_head(pending.method, pending.target, b"shelf", headers, pending.body.length)

    def feedback(self, pending: ClientRequest, head: ResponseHead) -> NodeFeedback:
        """Return what the response's headers report about the node."""
        headers = head.headers
        volume_use_percent = _number(headers.get(b"x-volume-use"))
        units_by_others = _number(headers.get(b"x-served-elsewhere"))
        return NodeFeedback(
            int(units_by_others or 0),
            None if volume_use_percent is None else volume_use_percent / _PERCENT,
            self._load_report(headers.get(b"server-load")),
        )

    def _load_report(self, raw: bytes | None) -> tuple[float, ...]:
        """Return the load report's values in the order of the settings; () if one is missing or malformed."""
        if raw is None or not self.load_report_fields:
            return ()
        pairs = dict(part.strip().partition(b"=")[::2] for part in raw.split(b","))
        values = [_number(pairs.get(field.encode())) for field in self.load_report_fields]
        if None in values:
            return ()
        return tuple(value for value in values if value is not None)

    def ending(self, head: ResponseHead) -> AttemptEnding:
        """Return how an attempt ended whose response is complete."""
        if head.code == _OK:
            return AttemptEnding.ANSWERED
        if head.code in _NEVER_RUN_STATUSES and head.headers.get(_NOT_STARTED) == b"1":
            return AttemptEnding.REJECTED
        return AttemptEnding.NODE_ERROR  # also for any response that does not state that the request never ran


def _number(raw: bytes | None) -> float | None:
    """Parse a finite number of 0 or more; None: it is missing or malformed."""
    if raw is None:
        return None
    try:
        value = float(raw)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None
