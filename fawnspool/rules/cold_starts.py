"""The rule "cold nodes spared": a node that is warming up gets no more than it bears."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from math import inf

from fawnspool.rules.findings import RuleCheck
from fawnspool.rules.history import History
from fawnspool.rules.observations import Arrival, NodeStart
from fawnspool.rules.terms import RuleTerms

NOTICE_START_TOLERANCE_S = 1.0
# Gateways that do not know of the start yet may send freely; they excuse a window in which a third is theirs.
INFORMED_PART_TIMES = 3
INFORMED_PART_OF = 2


@dataclass(frozen=True)
class _Window:
    """Units that arrived within the window before an arrival, and those of gateways that knew of the start."""

    time: float
    units: float
    informed_units: float


def check_cold_nodes_spared(check: RuleCheck, terms: RuleTerms, _allowance_s: float) -> None:
    """Check the load of each node after its cold starts."""
    for start in check.history.node_starts:
        if start.is_cold:
            check.add_examined()
            _check_start(check, start, terms)


def _check_start(check: RuleCheck, start: NodeStart, terms: RuleTerms) -> None:
    for window in _windows(check.history, start, terms.cold_window_s):
        if window.informed_units * INFORMED_PART_TIMES < window.units * INFORMED_PART_OF:
            continue
        bearable = _bearable_units(start, window.time, terms)
        check.add_closeness(window.units / bearable)
        if window.units > bearable:
            text = (
                f"node {start.node}: {window.units:.0f} units within {terms.cold_window_s:g} s of its cold start "
                f"{window.time - start.time:.1f} s before; it bears {bearable:.0f}"
            )
            check.add_breach(window.time, text)
            return


def _bearable_units(start: NodeStart, time: float, terms: RuleTerms) -> float:
    warming_s = max(0.0, time - terms.cold_window_s / 2 - start.time)
    warmth = min(1.0, start.cold_fraction + (1 - start.cold_fraction) * warming_s / start.warm_after_s)
    return terms.cold_multiple * start.power * warmth * terms.cold_window_s + terms.cold_slack_units


def _windows(history: History, start: NodeStart, window_s: float) -> Iterator[_Window]:
    informed_at = _informed_gateways(history, start)
    recent: deque[Arrival] = deque()
    units = 0.0
    for arrival in _arrivals_while_cold(history, start, window_s):
        recent.append(arrival)
        units += arrival.units
        while recent[0].time <= arrival.time - window_s:
            units -= recent.popleft().units
        informed_units = sum(other.units for other in recent if informed_at.get(other.gateway, inf) <= arrival.time)
        yield _Window(arrival.time, units, informed_units)


def _informed_gateways(history: History, start: NodeStart) -> dict[int, float]:
    """Return when each gateway was first notified of this start."""
    informed_at: dict[int, float] = {}
    for notice in history.endpoint_notices:
        if notice.node != start.node or not notice.is_ready or notice.node_age_s < 0:
            continue
        if abs(notice.time - notice.node_age_s - start.time) < NOTICE_START_TOLERANCE_S:
            informed_at.setdefault(notice.gateway, notice.time)
    return informed_at


def _arrivals_while_cold(history: History, start: NodeStart, window_s: float) -> Iterator[Arrival]:
    later_starts = [other.time for other in history.node_starts if other.node == start.node and other.time > start.time]
    end = min([start.time + start.warm_after_s + window_s, *later_starts])
    for arrival in history.arrivals:
        if arrival.node == start.node and start.time <= arrival.time <= end:
            yield arrival
