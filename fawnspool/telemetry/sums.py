"""Plain sums of one head's work, cheap enough for every request; `metrics` turns them into Prometheus' form.

Labels are bounded: classes, plans and outcomes come from the settings, nodes from the list (those gone longest
are dropped beyond a bound); there is never a label by volume, key or client.
"""

from __future__ import annotations

from bisect import bisect_left

TIMES = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
NODES_MOST = 512


class Histogram:
    """Counts by bucket, in seconds."""

    __slots__ = ("counts", "total")

    def __init__(self) -> None:
        self.counts, self.total = [0] * (len(TIMES) + 1), 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect_left(TIMES, seconds)] += 1
        self.total += seconds


class Sums:
    """What a head counts of itself."""

    def __init__(self) -> None:
        self.requests: dict[tuple[str, str, str], int] = {}
        self.attempts: dict[tuple[int, str], int] = {}
        self.endings: dict[str, int] = {}  # attempts by how they ended, in the words of `head.endings`
        self.reasons: dict[tuple[str, str], int] = {}  # why a request was not served: outcome, reason
        self.head_wait: dict[str, Histogram] = {}
        self.node_time: dict[int, Histogram] = {}
        self.module_seconds, self.module_events, self.module_errors = 0.0, 0, 0
        self.recordings_stopped = 0
        self.bad_requests: dict[int, int] = {}
        self.lag = Histogram()
        self.lag_last = 0.0
        self.bytes_in = self.bytes_out = self.overdue = 0

    def request(self, cls: str, plan: str, outcome: str) -> None:
        key = (cls, plan, outcome)
        self.requests[key] = self.requests.get(key, 0) + 1

    def attempt(self, node: int, result: str, took: float) -> None:
        key = (node, result)
        self.attempts[key] = self.attempts.get(key, 0) + 1
        if node not in self.node_time:
            while len(self.node_time) >= NODES_MOST:
                old = next(iter(self.node_time))
                del self.node_time[old]
                self.attempts = {k: v for k, v in self.attempts.items() if k[0] != old}
            self.node_time[node] = Histogram()
        self.node_time[node].add(took)

    def ended(self, ending: str) -> None:
        self.endings[ending] = self.endings.get(ending, 0) + 1

    def waited(self, cls: str, seconds: float) -> None:
        """Time from a request's coming to its first send."""
        self.head_wait.setdefault(cls, Histogram()).add(seconds)
