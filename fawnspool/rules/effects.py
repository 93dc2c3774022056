"""The rule "no effect twice": no effect is applied twice, and what is not idempotent is not sent again if it may have
run.
"""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise

from fawnspool.rules.findings import RuleCheck
from fawnspool.rules.history import History
from fawnspool.rules.observations import Arrival, ClientRequest, NodeEffect, RequestEnd
from fawnspool.rules.terms import RuleTerms

IDEMPOTENT = "safe"
NON_IDEMPOTENT = "unsafe"


def check_no_effect_twice(check: RuleCheck, _terms: RuleTerms, _allowance_s: float) -> None:
    """Check effects at nodes, the attempts of non-idempotent operations, and their refusals."""
    _check_effects(check)
    attempts: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in check.history.arrivals:
        if arrival.effect == NON_IDEMPOTENT:
            attempts[arrival.operation].append(arrival)
    _check_further_attempts(check, attempts)
    _check_refusals(check, attempts)


def _check_effects(check: RuleCheck) -> None:
    effects: dict[str, list[NodeEffect]] = defaultdict(list)
    for effect in check.history.node_effects:
        if effect.effect != IDEMPOTENT and not effect.was_dropped:
            effects[effect.operation].append(effect)
    check.add_examined(len(effects))
    for operation, applied in effects.items():
        if len(applied) > 1:
            text = f"{applied[0].effect} {operation}: its effect was applied {len(applied)} times"
            check.add_breach(applied[1].time, text)


def _check_further_attempts(check: RuleCheck, attempts: dict[str, list[Arrival]]) -> None:
    for operation, arrivals in attempts.items():
        for before, after in pairwise(arrivals):
            if check.history.may_have_run(before):
                text = f"unsafe {operation}: sent to node {after.node} though it may have run at {before.node}"
                check.add_breach(after.time, text)


def _check_refusals(check: RuleCheck, attempts: dict[str, list[Arrival]]) -> None:
    for request in check.history.client_requests:
        if request.effect != NON_IDEMPOTENT:
            continue
        for end in check.history.ends_of(request):
            arrivals = attempts.get(request.operation, [])
            if end.how == "refused" and _may_have_run_before(check.history, request, end, arrivals):
                name = f"{request.operation}/{request.number}"
                check.add_breach(end.time, f"unsafe {name}: refused though it may have run")


def _may_have_run_before(history: History, request: ClientRequest, end: RequestEnd, arrivals: list[Arrival]) -> bool:
    return any(
        arrival.gateway == request.gateway
        and request.time <= arrival.time <= end.time
        and history.may_have_run(arrival)
        for arrival in arrivals
    )
