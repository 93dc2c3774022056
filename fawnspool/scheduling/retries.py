"""Retry policy: whether a request may be sent or retried at a node, and whether it may be rejected."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from fawnspool.scheduling.interface import DeduplicationScope, Endpoint, Idempotence, Settings
from fawnspool.scheduling.pending_request import Attempt, PendingRequest

# Ticks of the caller's clock by which a retry must precede the end of its deduplication window.
CLOCK_MARGIN_TICKS = 2


class RetryBudget:
    """Limits retries to a ratio of the recent requests, if the settings have a retry budget."""

    def __init__(self, settings: Settings) -> None:
        self._minimum = settings.retry_budget_minimum
        self._ratio = settings.retry_budget_ratio
        self._window_s = settings.retry_budget_window_s
        self._requests_at = deque[float]()
        self._retries_at = deque[float]()

    def record_request(self, now: float) -> None:
        """Count an accepted request."""
        if self._minimum is not None:
            self._forget(self._requests_at, now)
            self._requests_at.append(now)

    def record_retry(self, now: float) -> None:
        """Count a retry."""
        if self._minimum is not None:
            self._retries_at.append(now)

    def allows_retry(self, now: float) -> bool:
        """Return whether one more retry is within the budget."""
        if self._minimum is None:
            return True
        self._forget(self._requests_at, now)
        self._forget(self._retries_at, now)
        return len(self._retries_at) + 1 <= self._minimum + self._ratio * len(self._requests_at)

    def _forget(self, times: deque[float], now: float) -> None:
        while times and times[0] < now - self._window_s:
            times.popleft()


class RetryPolicy:
    """Decides on retries and rejections by idempotence, and enforces the limits on attempts."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.budget = RetryBudget(settings)

    def may_reject(self, pending: PendingRequest) -> bool:
        """Return whether the request may be rejected, which permits its client to repeat it.

        This holds if no attempt may have run, or if a repeat does no harm at any node.
        """
        if not pending.ambiguous_attempts():
            return True
        request_class = pending.request_class
        if request_class.idempotence is Idempotence.WITH_KEY:
            return request_class.deduplication_scope is DeduplicationScope.ALL
        return request_class.idempotence is Idempotence.IDEMPOTENT

    def may_send(self, pending: PendingRequest, node: int, now: float, endpoints: Mapping[int, Endpoint]) -> bool:
        """Return whether a request may be sent to this node now.

        No attempt is sent while an earlier one is open, unless the settings allow hedging (no rule here starts a
        hedged request), nor beyond the limit on attempts or the retry budget. A request that may have run is repeated
        only if that does no harm: if it is idempotent, or if it has a key, within its deduplication window and at nodes
        that drop each other's repeats.
        """
        settings = self._settings
        if pending.has_open_attempt() and not settings.hedging:
            return False
        if len(pending.attempts) >= settings.max_attempts or not self.budget.allows_retry(now):
            return False
        ambiguous = pending.ambiguous_attempts()
        request_class = pending.request_class
        if not ambiguous or request_class.idempotence is Idempotence.IDEMPOTENT:
            return True
        if request_class.idempotence is Idempotence.NON_IDEMPOTENT:
            return False
        if now + self._clock_margin_s() >= ambiguous[0].sent_at + request_class.deduplication_window_s:
            return False
        return _drops_repeats(request_class.deduplication_scope, ambiguous, node, endpoints)

    def write_within_s(self, pending: PendingRequest, now: float) -> float:
        """Return the time within which a retry must be written to fit its deduplication window; 0: no bound."""
        if pending.request_class.idempotence is not Idempotence.WITH_KEY:
            return 0.0
        ambiguous = pending.ambiguous_attempts()
        if not ambiguous:
            return 0.0
        window_s = pending.request_class.deduplication_window_s
        return ambiguous[0].sent_at + window_s - self._clock_margin_s() - now

    def _clock_margin_s(self) -> float:
        return CLOCK_MARGIN_TICKS * self._settings.clock_tick_s


def _drops_repeats(
    scope: DeduplicationScope, ambiguous: list[Attempt], node: int, endpoints: Mapping[int, Endpoint]
) -> bool:
    """Return whether the node drops a repeat of a request that may have run in these attempts."""
    nodes = {attempt.node for attempt in ambiguous}
    if scope is DeduplicationScope.ALL or nodes == {node}:
        return True
    node_endpoints = [endpoints.get(other) for other in (*nodes, node)]
    groups = set[int]()
    for endpoint in node_endpoints:
        if endpoint is None:
            return False
        groups.add(endpoint.zone if scope is DeduplicationScope.ZONE else endpoint.shard)
    return len(groups) == 1
