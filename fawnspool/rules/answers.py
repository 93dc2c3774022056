"""The rule "answered once": each request that a gateway took gets one final answer, in time."""

from __future__ import annotations

from collections import defaultdict
from math import inf

from fawnspool.rules.findings import RuleCheck
from fawnspool.rules.history import History
from fawnspool.rules.observations import Arrival, ClientRequest, RequestEnd
from fawnspool.rules.terms import RuleTerms

CATCH_UP_S = 0.1  # what falls due so soon after a stall is due then: the gateway finds all of it at once
FINAL_ENDS = ("served", "refused", "failed", "cut")
NEVER_TAKEN_ENDS = ("unreached", "left")


def check_answered_once(check: RuleCheck, _terms: RuleTerms, allowance_s: float) -> None:
    """Check that each request has one final answer in time, and is not sent to nodes after it."""
    arrivals: dict[tuple[str, int], list[Arrival]] = defaultdict(list)
    for arrival in check.history.arrivals:
        arrivals[arrival.operation, arrival.gateway].append(arrival)
    for request in check.history.client_requests:
        _check_request(check, request, arrivals.get((request.operation, request.gateway), []), allowance_s)
    for extra in check.history.extra_answers:
        check.add_breach(extra.time, f"{extra.operation}/{extra.number} at head {extra.gateway}: answered twice")


def _check_request(check: RuleCheck, request: ClientRequest, arrivals: list[Arrival], allowance_s: float) -> None:
    history = check.history
    ends = history.ends_of(request)
    finals = [end for end in ends if end.how in FINAL_ENDS]
    deadline = request.time + request.patience_s
    due = history.answer_due(request.gateway, request.time, deadline, CATCH_UP_S) + allowance_s
    is_stalled = history.resumed_at(request.gateway, deadline) != deadline
    if any(end.how in NEVER_TAKEN_ENDS for end in ends):
        return
    if history.was_down(request.gateway, request.time, due):
        return  # a killed gateway no longer owes what it held
    if is_stalled and len(finals) < 2:
        return  # its client gave up during the stall; a second answer is a breach all the same
    check.add_examined()
    name = f"{request.operation}/{request.number}"
    if len(finals) > 1:
        check.add_breach(finals[1].time, f"{name} at head {request.gateway}: {len(finals)} final answers")
    if not finals:
        how = ends[0].how if ends else "nothing"
        text = f"{name} at head {request.gateway}: no final answer ({how}) within {request.patience_s:.3f} s"
        check.add_breach(due, text)
        return
    took_s = finals[0].time - request.time
    if not is_stalled:
        check.add_closeness(took_s / (request.patience_s + allowance_s))
    if finals[0].time > due:
        text = f"{name} at head {request.gateway}: answered after {took_s:.3f} s of {request.patience_s:.3f}"
        check.add_breach(finals[0].time, text)
    _check_sends_after_answer(check, request, finals[0], arrivals, allowance_s)


def _check_sends_after_answer(
    check: RuleCheck, request: ClientRequest, answer: RequestEnd, arrivals: list[Arrival], allowance_s: float
) -> None:
    answered = check.history.resumed_at(request.gateway, answer.time) + allowance_s
    next_request = _next_request_time(check.history, request)
    for arrival in arrivals:
        if answered < arrival.time < next_request:
            text = f"{request.operation}/{request.number}: sent to node {arrival.node} after its final answer"
            check.add_breach(arrival.time, text)


def _next_request_time(history: History, request: ClientRequest) -> float:
    later = (
        other.time
        for other in history.requests_of(request.operation)
        if other.time > request.time and other.gateway == request.gateway
    )
    return min(later, default=inf)
