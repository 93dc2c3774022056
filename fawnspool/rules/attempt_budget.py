"""The rule "attempts in budget": a gateway's further attempts stay within its retry budget."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from fawnspool.rules.findings import RuleCheck
from fawnspool.rules.terms import RuleTerms

_MIN_DIVISOR = 1e-9


def check_attempts_in_budget(check: RuleCheck, terms: RuleTerms, allowance_s: float) -> None:
    """Check the further attempts of each gateway within each window."""
    if terms.retry_minimum is None:
        return
    requests: dict[int, list[float]] = defaultdict(list)
    for request in check.history.client_requests:
        requests[request.gateway].append(request.time)
    retries: dict[int, list[float]] = defaultdict(list)
    for arrival in check.history.arrivals:
        if arrival.key.attempt > 0:
            retries[arrival.gateway].append(arrival.time)
    for gateway, times in retries.items():
        for index, time in enumerate(times):
            check.add_examined()
            start = time - terms.retry_window_s
            used = index + 1 - bisect_left(times, start + allowance_s)
            taken = _count_between(requests[gateway], start - allowance_s, time + allowance_s)
            allowed = terms.retry_minimum + terms.retry_ratio * taken
            check.add_closeness(used / max(allowed, _MIN_DIVISOR))
            if used > allowed:
                text = f"{used} further attempts within {terms.retry_window_s:g} s, {allowed:.1f} allowed"
                check.add_breach(time, f"head {gateway}: {text}")


def _count_between(times: list[float], start: float, end: float) -> int:
    return bisect_left(times, end) - bisect_left(times, start)
