"""A head's figures, in Prometheus' form. Families are made from the plain sums when they are read."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily

from fawnspool.telemetry.sums import TIMES, Histogram, Sums


def _fill(histogram: Histogram, row: list[str], into: HistogramMetricFamily) -> None:
    seen, buckets = 0, list[tuple[str, float]]()
    for edge, count in zip((*map(str, TIMES), "+Inf"), histogram.counts, strict=True):
        seen += count
        buckets.append((edge, float(seen)))
    into.add_metric(row, buckets, histogram.total)


def _duties(d: dict[str, Any]) -> Iterator[Any]:
    """Labels: names of duties, which the settings bound, and the few causes there are."""
    family: Any = GaugeMetricFamily(
        "fawnspool_duty_held", "The token under which this head holds a duty.", labels=["duty"]
    )
    for name, row in d["held"].items():
        family.add_metric([name], row["token"])
    yield family
    family = CounterMetricFamily("fawnspool_duty_lost", "Duties given up, by cause.", labels=["why"])
    for why, count in sorted(d["lost"].items()):
        family.add_metric([why], count)
    yield family
    for name, text, value in (
        ("fawnspool_duty_taken", "Duties taken.", d["took"]),
        ("fawnspool_duty_fenced", "Steps refused by a fence: a newer holder had been there.", d["fenced"]),
        ("fawnspool_duty_unread", "Datagrams about duties that did not read.", d["unread"]),
        ("fawnspool_duty_strangers", "Datagrams of heads whose duty settings differ.", d["strangers"]),
    ):
        yield CounterMetricFamily(name, text, value=value)
    if d["voter"] is None:
        return
    yield GaugeMetricFamily(
        "fawnspool_duty_votes",
        "1 while this voter gives votes.",
        value=float(d["voter"]["votes"] and not d["voter"]["disk_failed"]),
    )
    family = GaugeMetricFamily(
        "fawnspool_duty_unheld_seconds", "For how long nobody has held a duty, as this voter sees it.", labels=["duty"]
    )
    for name, seconds in d["voter"]["unheld_s"].items():
        family.add_metric([name], seconds)
    yield family


def _shared(s: dict[str, Any]) -> Iterator[Any]:
    yield GaugeMetricFamily("fawnspool_shared_alone", "1 while this head hears no other.", value=float(s["alone"]))
    yield GaugeMetricFamily("fawnspool_shared_heads", "Heads that are heard, with this one.", value=s["heads"])
    yield GaugeMetricFamily(
        "fawnspool_shared_volumes", "Volumes with a limit that this head serves with others.", value=s["volumes_in_all"]
    )
    yield GaugeMetricFamily("fawnspool_shared_shunned", "Nodes shunned on others' evidence.", value=len(s["shunned"]))
    for name, text, value in (
        ("fawnspool_shared_said", "Datagrams sent about what heads share.", s["said"]),
        ("fawnspool_shared_unread", "Datagrams about it that did not read.", s["unread"]),
        ("fawnspool_shared_strangers", "Datagrams of heads whose settings differ.", s["strangers"]),
        ("fawnspool_shared_turned", "Times the module was told to shun a node.", s["told_shunned"]),
        ("fawnspool_shared_mended", "Times it was told that one is well again.", s["told_mended"]),
    ):
        yield CounterMetricFamily(name, text, value=value)


class HeadMetrics(Sums):
    """Sums of one head; `gauges` is asked for the present state when the page is read."""

    def __init__(
        self,
        gauges: Callable[[], dict[str, dict[int, float]]],
        places: Callable[[], dict[str, Any]],
        duties: Callable[[], dict[str, Any] | None] = lambda: None,
        shared: Callable[[], dict[str, Any] | None] = lambda: None,
    ) -> None:
        super().__init__()
        self.gauges, self.places, self.duties, self.shared = gauges, places, duties, shared
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def collect(self) -> Iterator[Any]:
        family: Any = CounterMetricFamily(
            "fawnspool_requests", "Requests answered, by outcome.", labels=["class", "plan", "outcome"]
        )
        for key, count in sorted(self.requests.items()):
            family.add_metric(list(key), count)
        yield family
        family = CounterMetricFamily(
            "fawnspool_attempts", "Attempts ended, by node and result.", labels=["node", "result"]
        )
        for (node, result), count in sorted(self.attempts.items()):
            family.add_metric([str(node), result], count)
        yield family
        family = HistogramMetricFamily(
            "fawnspool_head_wait_seconds", "From a request's coming to its first send.", labels=["class"]
        )
        for cls, histogram in sorted(self.head_wait.items()):
            _fill(histogram, [cls], family)
        yield family
        family = HistogramMetricFamily(
            "fawnspool_node_seconds", "How long attempts took, as the head saw it.", labels=["node"]
        )
        for node, histogram in sorted(self.node_time.items()):
            _fill(histogram, [str(node)], family)
        yield family
        family = HistogramMetricFamily("fawnspool_loop_lag_seconds", "How late the head's loop ran.", labels=[])
        _fill(self.lag, [], family)
        yield family
        for name, text, value in (
            ("fawnspool_module_seconds", "Time spent in the decision module.", self.module_seconds),
            ("fawnspool_module_events", "Events told to the decision module.", self.module_events),
            ("fawnspool_module_errors", "Events on which the decision module raised.", self.module_errors),
            (
                "fawnspool_recordings_stopped",
                "Recordings ended early: the disk was full or too slow.",
                self.recordings_stopped,
            ),
            ("fawnspool_overdue", "Answers given by the head's own deadline, not by the module.", self.overdue),
            ("fawnspool_received_bytes", "Bytes of bodies from clients.", self.bytes_in),
            ("fawnspool_sent_bytes", "Bytes of bodies to clients.", self.bytes_out),
        ):
            yield CounterMetricFamily(name, text, value=value)
        family = CounterMetricFamily("fawnspool_bad_requests", "Requests turned away as malformed.", labels=["status"])
        for status, count in sorted(self.bad_requests.items()):
            family.add_metric([str(status)], count)
        yield family
        places = self.places()
        yield GaugeMetricFamily(
            "fawnspool_map_age_seconds",
            "Since the extent map was last known whole; NaN: never.",
            value=math.nan if places["age_s"] is None else places["age_s"],
        )
        yield GaugeMetricFamily("fawnspool_map_extents", "Extents in the map.", value=places["extents"])
        for name, text, value in (
            ("fawnspool_map_wrong_sends", "Reads sent to a node that no longer held them.", places["wrong_sends"]),
            ("fawnspool_map_asked", "Questions to the map service.", places["asked"]),
            ("fawnspool_map_not_asked", "Questions that the service's budget did not allow.", places["not_asked"]),
        ):
            yield CounterMetricFamily(name, text, value=value)
        if (duties := self.duties()) is not None:
            yield from _duties(duties)
        if (shared := self.shared()) is not None:
            yield from _shared(shared)
        for name, rows in self.gauges().items():
            family = GaugeMetricFamily(f"fawnspool_node_{name}", f"Now, by node: {name}.", labels=["node"])
            for node, value in sorted(rows.items()):
                family.add_metric([str(node)], value)
            yield family

    def page(self) -> bytes:
        """The text that Prometheus reads."""
        return generate_latest(self.registry)
