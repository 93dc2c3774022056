"""How shelfs are spoken to: one request's head, and what an answer of theirs means. No I/O, no choices."""

from __future__ import annotations

import math
import time

from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.gateway.attempts import NodeFeedback
from fawnspool.gateway.request_state import Attempt, Pending
from fawnspool.net.http import ResponseHead, format_request_head
from fawnspool.scheduling.interface import Settings

BODY_USUAL = 65536  # bytes of a body (PROTOCOL)
BODY_MOST = 1 << 20  # good ones of 112 KB from clients and 400 KB from shelfs were seen all the same
_NOT_STARTED = b"not-started"


class ShelfSpeech:
    """An answer's report that does not read tells nothing; the answer itself stays good."""

    streams_large = False
    max_buffered_bytes = BODY_MOST

    def __init__(self, settings: Settings) -> None:
        self.fields = settings.load_report_fields

    def request_head(self, pending: Pending, attempt: Attempt) -> bytes:
        left = max(1, round((attempt.deadline - time.monotonic()) * 1000))
        return format_request_head(
            pending.method,
            pending.target,
            b"shelf",
            [*pending.forward, (b"Request-Timeout-Ms", b"%d" % left)],
            pending.body.length,
        )

    def feedback(self, pending: Pending, head: ResponseHead) -> NodeFeedback:
        h = head.headers
        used, others = _figure(h.get(b"x-volume-use")), _figure(h.get(b"x-served-elsewhere"))
        return NodeFeedback(int(others or 0), None if used is None else used / 100, self._load(h.get(b"server-load")))

    def _load(self, raw: bytes | None) -> tuple[float, ...]:
        """The report's values in the order of the settings; () where one is missing or does not read."""
        if raw is None or not self.fields:
            return ()
        pairs = dict(part.strip().partition(b"=")[::2] for part in raw.split(b","))
        values = [_figure(pairs.get(name.encode())) for name in self.fields]
        return () if None in values else tuple(v for v in values if v is not None)

    def ending(self, head: ResponseHead) -> AttemptEnding:
        if head.code == 200:
            return AttemptEnding.ANSWERED
        if head.code in (503, 504) and head.headers.get(_NOT_STARTED) == b"1":
            return AttemptEnding.REJECTED
        return AttemptEnding.NODE_ERROR  # 500, and whatever else can't be read as "never ran"


def _figure(raw: bytes | None) -> float | None:
    """A number of 0 or more, or None."""
    try:
        value = float(raw) if raw is not None else math.nan
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None
