"""A gateway's Prometheus metrics, built from its counters and its state whenever the metrics page is read."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily, Metric

from fawnspool.telemetry.counters import BUCKET_BOUNDS_S, GatewayCounters, Histogram

Status = dict[str, Any]


@dataclass(frozen=True)
class StateSources:
    """Functions that return a gateway's current state.

    Attributes
    ----------
    node_gauges
        Values by name of the gauge, then by node.
    map_status
        Status of the extent map.
    duty_status, shared_status
        Status of leases and gossip; None: the gateway does not take part in them.
    """

    node_gauges: Callable[[], dict[str, dict[int, float]]]
    map_status: Callable[[], Status]
    duty_status: Callable[[], Status | None] = lambda: None
    shared_status: Callable[[], Status | None] = lambda: None


class PrometheusExporter:
    """Collects the metrics of one gateway."""

    def __init__(self, counters: GatewayCounters, sources: StateSources) -> None:
        self.counters = counters
        self.sources = sources
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def page(self) -> bytes:
        """Return the metrics page in Prometheus' text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics; called by the Prometheus client library."""
        yield from _request_metrics(self.counters)
        yield from _totals(self.counters)
        yield _labelled(
            CounterMetricFamily("fawnspool_bad_requests", "Requests turned away as malformed.", labels=["status"]),
            self.counters.bad_requests,
        )
        yield from _map_metrics(self.sources.map_status())
        duties = self.sources.duty_status()
        if duties is not None:
            yield from _duty_metrics(duties)
        shared = self.sources.shared_status()
        if shared is not None:
            yield from _shared_metrics(shared)
        for name, by_node in self.sources.node_gauges().items():
            yield _labelled(
                GaugeMetricFamily(f"fawnspool_node_{name}", f"Now, by node: {name}.", labels=["node"]), by_node
            )


def _labelled(family: Any, values: Mapping[Any, float]) -> Metric:
    """Add values to a metric family with one label, sorted by the label's values."""
    for label, value in sorted(values.items()):
        family.add_metric([str(label)], value)
    filled: Metric = family
    return filled


def _counters(rows: Iterable[tuple[str, str, float]]) -> Iterator[Metric]:
    for name, text, value in rows:
        yield CounterMetricFamily(name, text, value=value)


def _fill(family: HistogramMetricFamily, labels: list[str], histogram: Histogram) -> None:
    buckets: list[tuple[str, float]] = []
    count_so_far = 0
    for bound, count in zip((*map(str, BUCKET_BOUNDS_S), "+Inf"), histogram.counts, strict=True):
        count_so_far += count
        buckets.append((bound, float(count_so_far)))
    family.add_metric(labels, buckets, histogram.total)


def _request_metrics(counters: GatewayCounters) -> Iterator[Metric]:
    requests = CounterMetricFamily(
        "fawnspool_requests", "Requests answered, by outcome.", labels=["class", "plan", "outcome"]
    )
    for key, count in sorted(counters.requests.items()):
        requests.add_metric(list(key), count)
    yield requests
    attempts = CounterMetricFamily(
        "fawnspool_attempts", "Attempts ended, by node and result.", labels=["node", "result"]
    )
    for (node, result), count in sorted(counters.attempts.items()):
        attempts.add_metric([str(node), result], count)
    yield attempts
    waits = HistogramMetricFamily(
        "fawnspool_head_wait_seconds", "From a request's coming to its first send.", labels=["class"]
    )
    for class_name, histogram in sorted(counters.head_wait.items()):
        _fill(waits, [class_name], histogram)
    yield waits
    durations = HistogramMetricFamily(
        "fawnspool_node_seconds", "How long attempts took, as the head saw it.", labels=["node"]
    )
    for node, histogram in sorted(counters.node_time.items()):
        _fill(durations, [str(node)], histogram)
    yield durations
    lag = HistogramMetricFamily("fawnspool_loop_lag_seconds", "How late the head's loop ran.", labels=[])
    _fill(lag, [], counters.lag)
    yield lag


def _totals(counters: GatewayCounters) -> Iterator[Metric]:
    yield from _counters(
        (
            ("fawnspool_module_seconds", "Time spent in the decision module.", counters.module_seconds),
            ("fawnspool_module_events", "Events told to the decision module.", counters.module_events),
            ("fawnspool_module_errors", "Events on which the decision module raised.", counters.module_errors),
            (
                "fawnspool_recordings_stopped",
                "Recordings ended early: the disk was full or too slow.",
                counters.recordings_stopped,
            ),
            ("fawnspool_overdue", "Answers given by the head's own deadline, not by the module.", counters.overdue),
            ("fawnspool_received_bytes", "Bytes of bodies from clients.", counters.bytes_in),
            ("fawnspool_sent_bytes", "Bytes of bodies to clients.", counters.bytes_out),
        )
    )


def _map_metrics(status: Status) -> Iterator[Metric]:
    yield GaugeMetricFamily(
        "fawnspool_map_age_seconds",
        "Since the extent map was last known whole; NaN: never.",
        value=math.nan if status["age_s"] is None else status["age_s"],
    )
    yield GaugeMetricFamily("fawnspool_map_extents", "Extents in the map.", value=status["extents"])
    yield from _counters(
        (
            ("fawnspool_map_wrong_sends", "Reads sent to a node that no longer held them.", status["wrong_sends"]),
            ("fawnspool_map_asked", "Questions to the map service.", status["asked"]),
            ("fawnspool_map_not_asked", "Questions that the service's budget did not allow.", status["not_asked"]),
        )
    )


def _duty_metrics(status: Status) -> Iterator[Metric]:
    """Yield the metrics of leases.

    The number of labels is bounded: the settings list the leased roles (duties), and there are few causes of a loss.
    """
    held = GaugeMetricFamily("fawnspool_duty_held", "The token under which this head holds a duty.", labels=["duty"])
    for name, row in status["held"].items():
        held.add_metric([name], row["token"])
    yield held
    yield _labelled(
        CounterMetricFamily("fawnspool_duty_lost", "Duties given up, by cause.", labels=["why"]), status["lost"]
    )
    yield from _counters(
        (
            ("fawnspool_duty_taken", "Duties taken.", status["took"]),
            ("fawnspool_duty_fenced", "Steps refused by a fence: a newer holder had been there.", status["fenced"]),
            ("fawnspool_duty_unread", "Datagrams about duties that did not read.", status["unread"]),
            ("fawnspool_duty_strangers", "Datagrams of heads whose duty settings differ.", status["strangers"]),
        )
    )
    if status["voter"] is not None:
        yield from _voter_metrics(status["voter"])


def _voter_metrics(status: Status) -> Iterator[Metric]:
    votes = status["votes"] and not status["disk_failed"]
    yield GaugeMetricFamily("fawnspool_duty_votes", "1 while this voter gives votes.", value=float(votes))
    unheld = GaugeMetricFamily(
        "fawnspool_duty_unheld_seconds", "For how long nobody has held a duty, as this voter sees it.", labels=["duty"]
    )
    for name, seconds in status["unheld_s"].items():
        unheld.add_metric([name], seconds)
    yield unheld


def _shared_metrics(status: Status) -> Iterator[Metric]:
    for name, text, value in (
        ("fawnspool_shared_alone", "1 while this head hears no other.", float(status["alone"])),
        ("fawnspool_shared_heads", "Heads that are heard, with this one.", status["heads"]),
        (
            "fawnspool_shared_volumes",
            "Volumes with a limit that this head serves with others.",
            status["volumes_in_all"],
        ),
        ("fawnspool_shared_shunned", "Nodes shunned on others' evidence.", len(status["shunned"])),
    ):
        yield GaugeMetricFamily(name, text, value=value)
    yield from _counters(
        (
            ("fawnspool_shared_said", "Datagrams sent about what heads share.", status["said"]),
            ("fawnspool_shared_unread", "Datagrams about it that did not read.", status["unread"]),
            ("fawnspool_shared_strangers", "Datagrams of heads whose settings differ.", status["strangers"]),
            ("fawnspool_shared_turned", "Times the module was told to shun a node.", status["told_shunned"]),
            ("fawnspool_shared_mended", "Times it was told that one is well again.", status["told_mended"]),
        )
    )
