"""Counters of one gateway, cheap enough to update for every request; `metrics` exports them to Prometheus.

The number of labels is bounded: classes and plans come from the settings, outcomes are a fixed set, and nodes come
from the endpoint list (if there are more than `MAX_NODES`, the counters of those seen first are dropped). No label
depends on a volume, key or client.
"""

from __future__ import annotations

from bisect import bisect_left

BUCKET_BOUNDS_S = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
MAX_NODES = 512


class Histogram:
    """Durations in seconds, counted by bucket; the last bucket has no upper bound."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_S, seconds)] += 1
        self.total += seconds


class GatewayCounters:
    """Totals of a gateway since its start.

    Attributes
    ----------
    requests
        Finished requests by class, plan and outcome.
    attempts
        Ended attempts by node and result.
    endings
        Ended attempts by how they ended (`gateway.attempt_results`).
    reasons
        Requests that were not served, by outcome and reason.
    head_wait
        Times from a request's arrival to its first send, by class.
    node_time
        Durations of attempts, by node.
    bad_requests
        Malformed requests by status.
    lag
        Delays of the gateway's event loop, in seconds.
    worst_lag_s
        The longest of these delays since it was last reset.
    overdue
        Requests that the gateway failed itself, as the decision module had given no answer in time.
    """

    def __init__(self) -> None:
        self.requests: dict[tuple[str, str, str], int] = {}
        self.attempts: dict[tuple[int, str], int] = {}
        self.endings: dict[str, int] = {}
        self.reasons: dict[tuple[str, str], int] = {}
        self.head_wait: dict[str, Histogram] = {}
        self.node_time: dict[int, Histogram] = {}
        self.module_seconds = 0.0
        self.module_events = 0
        self.module_errors = 0
        self.recordings_stopped = 0
        self.bad_requests: dict[int, int] = {}
        self.lag = Histogram()
        self.worst_lag_s = 0.0
        self.bytes_in = 0
        self.bytes_out = 0
        self.overdue = 0

    def note_lag(self, seconds: float) -> None:
        """Count a delay of the event loop."""
        self.lag.add(seconds)
        self.worst_lag_s = max(self.worst_lag_s, seconds)

    def request(self, class_name: str, plan_name: str, outcome: str) -> None:
        """Count a request whose answer was sent."""
        key = (class_name, plan_name, outcome)
        self.requests[key] = self.requests.get(key, 0) + 1

    def count_not_served(self, outcome: str, reason: str) -> None:
        """Count why a request was not served."""
        key = (outcome, reason)
        self.reasons[key] = self.reasons.get(key, 0) + 1

    def bad_request(self, status: int) -> None:
        """Count a malformed request."""
        self.bad_requests[status] = self.bad_requests.get(status, 0) + 1

    def attempt(self, node: int, result: str, elapsed_s: float) -> None:
        """Count an ended attempt and its duration."""
        key = (node, result)
        self.attempts[key] = self.attempts.get(key, 0) + 1
        if node not in self.node_time:
            self._make_room_for_node()
            self.node_time[node] = Histogram()
        self.node_time[node].add(elapsed_s)

    def _make_room_for_node(self) -> None:
        while len(self.node_time) >= MAX_NODES:
            oldest = next(iter(self.node_time))
            del self.node_time[oldest]
            self.attempts = {key: count for key, count in self.attempts.items() if key[0] != oldest}

    def count_attempt_ending(self, ending: str) -> None:
        """Count how an attempt ended."""
        self.endings[ending] = self.endings.get(ending, 0) + 1

    def count_first_send_wait(self, class_name: str, seconds: float) -> None:
        """Count the time from a request's arrival to its first send."""
        self.head_wait.setdefault(class_name, Histogram()).add(seconds)
