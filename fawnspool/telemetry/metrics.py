"""A head's figures, in Prometheus' form. Plain sums on the hot path; families are made when they are read.

Labels are bounded: classes, plans and outcomes come from the settings, nodes from the list (those gone longest
are dropped beyond a bound); there is never a label by volume, key or client.
"""
from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterator
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

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

    def family(self, row: list[str], into: HistogramMetricFamily) -> None:
        seen, buckets = 0, list[tuple[str, float]]()
        for edge, count in zip((*map(str, TIMES), "+Inf"), self.counts, strict=True):
            seen += count
            buckets.append((edge, float(seen)))
        into.add_metric(row, buckets, self.total)


class HeadMetrics:
    """Sums of one head; `gauges` is asked for the present state when the page is read."""

    def __init__(self, gauges: Callable[[], dict[str, dict[int, float]]]) -> None:
        self.requests: dict[tuple[str, str, str], int] = {}
        self.attempts: dict[tuple[int, str], int] = {}
        self.head_wait: dict[str, Histogram] = {}
        self.node_time: dict[int, Histogram] = {}
        self.module_seconds, self.module_events, self.module_errors = 0.0, 0, 0
        self.recordings_stopped = 0
        self.bad_requests: dict[int, int] = {}
        self.lag = Histogram()
        self.lag_last = 0.0
        self.bytes_in = self.bytes_out = self.overdue = 0
        self.gauges = gauges
        self.registry = CollectorRegistry()
        self.registry.register(self)

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

    def waited(self, cls: str, seconds: float) -> None:
        """Time from a request's coming to its first send."""
        self.head_wait.setdefault(cls, Histogram()).add(seconds)

    def collect(self) -> Iterator[Any]:
        family: Any = CounterMetricFamily("fawnspool_requests", "Requests answered, by outcome.",
                                          labels=["class", "plan", "outcome"])
        for key, count in sorted(self.requests.items()):
            family.add_metric(list(key), count)
        yield family
        family = CounterMetricFamily("fawnspool_attempts", "Attempts ended, by node and result.",
                                     labels=["node", "result"])
        for (node, result), count in sorted(self.attempts.items()):
            family.add_metric([str(node), result], count)
        yield family
        family = HistogramMetricFamily("fawnspool_head_wait_seconds", "From a request's coming to its first send.",
                                       labels=["class"])
        for cls, histogram in sorted(self.head_wait.items()):
            histogram.family([cls], family)
        yield family
        family = HistogramMetricFamily("fawnspool_node_seconds", "How long attempts took, as the head saw it.",
                                       labels=["node"])
        for node, histogram in sorted(self.node_time.items()):
            histogram.family([str(node)], family)
        yield family
        family = HistogramMetricFamily("fawnspool_loop_lag_seconds", "How late the head's loop ran.", labels=[])
        self.lag.family([], family)
        yield family
        for name, text, value in (
                ("fawnspool_module_seconds", "Time spent in the decision module.", self.module_seconds),
                ("fawnspool_module_events", "Events told to the decision module.", self.module_events),
                ("fawnspool_module_errors", "Events on which the decision module raised.", self.module_errors),
                ("fawnspool_recordings_stopped", "Recordings ended early: the disk was full or too slow.",
                 self.recordings_stopped),
                ("fawnspool_overdue", "Answers given by the head's own deadline, not by the module.", self.overdue),
                ("fawnspool_received_bytes", "Bytes of bodies from clients.", self.bytes_in),
                ("fawnspool_sent_bytes", "Bytes of bodies to clients.", self.bytes_out)):
            yield CounterMetricFamily(name, text, value=value)
        family = CounterMetricFamily("fawnspool_bad_requests", "Requests turned away as malformed.",
                                     labels=["status"])
        for status, count in sorted(self.bad_requests.items()):
            family.add_metric([str(status)], count)
        yield family
        for name, rows in self.gauges().items():
            family = GaugeMetricFamily(f"fawnspool_node_{name}", f"Now, by node: {name}.", labels=["node"])
            for node, value in sorted(rows.items()):
                family.add_metric([str(node)], value)
            yield family

    def page(self) -> bytes:
        """The text that Prometheus reads."""
        return generate_latest(self.registry)
