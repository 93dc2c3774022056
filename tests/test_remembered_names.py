"""What the gateway remembers of volumes, requests and ids that peers name without an end."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from fawnspool.connections.request_ids import MEMORY_MARGIN_S, IdVerdict, RequestIds
from fawnspool.gateway.event_loop import EventLoop
from fawnspool.gateway.observability import Observability
from fawnspool.scheduling.fair_queue import FairQueue
from fawnspool.scheduling.interface import Result
from fawnspool.scheduling.retries import RetryBudget
from fawnspool.telemetry import logs
from fawnspool.telemetry.counters import GatewayCounters
from tests.conftest import GatewayDriver, make_plan, make_settings

MAX_VOLUMES = 64
KNOWN_VOLUME = 7


def limited_gateway(plan_rate_limit: float = 0.0) -> GatewayDriver:
    plan = make_plan(rate_limit=plan_rate_limit, rate_limit_burst=plan_rate_limit)
    gateway = GatewayDriver(make_settings(plans=(plan,)), nodes=2)
    gateway.scheduler.limit_volumes(MAX_VOLUMES)
    return gateway if plan_rate_limit else gateway.warm()


@pytest.mark.parametrize("rate_limit", [0.0, 0.01])
def test_volumes_that_never_come_again_do_not_push_out_known_ones(rate_limit: float) -> None:
    """Guards against report 241007 (b): ever new names, refused or served, that were all remembered for 30 s."""
    gateway = limited_gateway(rate_limit)
    limiters = gateway.scheduler.rate_limits.limiters
    gateway.request(KNOWN_VOLUME)
    for number in range(2000):
        if number % 40 == 0:
            gateway.request(KNOWN_VOLUME)
        ident = gateway.request(1000 + number, shard=number % 2, timeout_s=0.5)
        gateway.now += 0.001
        if ident in gateway.sent() and ident not in gateway.final_answers:
            gateway.answer(ident, Result.SERVED)
        assert len(limiters) <= MAX_VOLUMES + 2
        assert KNOWN_VOLUME in limiters
    gateway.run(gateway.now + 5)
    queues: list[FairQueue] = [node_queue.queue for node_queue in gateway.scheduler.node_queues.values()]
    assert all(len(queue.volumes) <= MAX_VOLUMES // 3 + len(queue.active) + 1 for queue in queues)


def test_newcomer_with_a_queued_request_is_not_forgotten(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = limited_gateway()
    for _ in range(60):
        gateway.request(KNOWN_VOLUME + 1)
    waiting = gateway.request(KNOWN_VOLUME, timeout_s=4.0)
    queued_units = gateway.scheduler.rate_limits.limiters[KNOWN_VOLUME].queued_units
    for number in range(200):
        gateway.request(1000 + number, shard=1)
    if waiting not in gateway.final_answers and waiting not in gateway.sent():
        assert gateway.scheduler.rate_limits.limiters[KNOWN_VOLUME].queued_units == queued_units


def test_requests_without_a_retry_are_not_all_remembered_for_the_retry_budget() -> None:
    """Guards against a table that only a retry shortened, and that grew with every request."""
    budget = RetryBudget(make_settings(retry_budget_minimum=2.0, retry_budget_ratio=0.1, retry_budget_window_s=1.0))
    for number in range(10_000):
        budget.record_request(number / 100)
    assert len(budget._requests_at) <= 102


def test_timers_of_requests_that_have_ended_are_dropped() -> None:
    """Guards against a timer for each request that was queued, kept until its client's time is over."""
    loop = EventLoop(None, {}, lambda event: None, Observability(GatewayCounters(), logs.get()))  # type: ignore[arg-type]
    loop.is_timer_needed = lambda token: token % 1000 == 0
    for token in range(100_000):
        loop.set_timer(60.0, token)
    assert len(loop.timers) <= 1024 + 100
    assert {token for _, _, token in loop.timers} >= set(range(0, 100_000, 1000))


def test_id_is_known_until_no_attempt_can_run() -> None:
    ids = RequestIds(10)
    assert ids.begin(b"a", 0.0) is IdVerdict.NEW and ids.begin(b"a", 0.0) is IdVerdict.KNOWN
    ids.end(b"a", 3.0, is_answered=False)
    assert ids.begin(b"a", 3.0 + MEMORY_MARGIN_S - 0.01) is IdVerdict.KNOWN
    assert ids.begin(b"a", 3.0 + MEMORY_MARGIN_S) is IdVerdict.NEW
    ids.end(b"a", None, is_answered=False)
    assert ids.begin(b"a", 0.0) is IdVerdict.NEW


def test_full_memory_of_ids_refuses_new_ones_and_forgets_answered_ones_first() -> None:
    ids = RequestIds(3)
    for request_id, is_answered in ((b"left", False), (b"answered", True)):
        assert ids.begin(request_id, 0.0) is IdVerdict.NEW
        ids.end(request_id, 5.0, is_answered)
    assert [ids.begin(request_id, 0.0) for request_id in (b"x", b"y")] == [IdVerdict.NEW, IdVerdict.NEW]
    assert ids.begin(b"z", 0.0) is IdVerdict.NO_ROOM
    assert ids.begin(b"left", 0.0) is IdVerdict.KNOWN
    ids.end(b"x", None, is_answered=True)
    assert ids.begin(b"z", 0.0) is IdVerdict.NEW


@given(st.integers(1, 20), st.lists(st.tuples(st.integers(0, 30), st.booleans()), max_size=80))
def test_memory_of_ids_is_bounded(max_ids: int, requests: list[tuple[int, bool]]) -> None:
    ids = RequestIds(max_ids)
    for now, (number, is_answered) in enumerate(requests):
        request_id = b"%d" % number
        if ids.begin(request_id, now / 10) is IdVerdict.NEW:
            ids.end(request_id, now / 10 + 1, is_answered)
        assert len(ids) <= max_ids


class IdsMachine(RuleBasedStateMachine):
    """An id whose client had no answer is never new before its time is over, whatever else is remembered."""

    def __init__(self) -> None:
        super().__init__()
        self.ids = RequestIds(6)
        self.now = 0.0
        self.in_use: set[bytes] = set()
        self.may_run_until: dict[bytes, float] = {}

    @rule(seconds=st.floats(0, 1))
    def passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(number=st.integers(0, 12))
    def begins(self, number: int) -> None:
        request_id = b"%d" % number
        verdict = self.ids.begin(request_id, self.now)
        if verdict is IdVerdict.NEW:
            assert request_id not in self.in_use and self.may_run_until.get(request_id, 0.0) <= self.now
            self.in_use.add(request_id)

    @rule(number=st.integers(0, 12), span=st.one_of(st.none(), st.floats(0, 3)), is_answered=st.booleans())
    def ends(self, number: int, span: float | None, is_answered: bool) -> None:
        request_id = b"%d" % number
        if request_id not in self.in_use:
            return
        self.in_use.discard(request_id)
        until = None if span is None else self.now + span
        self.ids.end(request_id, until, is_answered)
        self.may_run_until.pop(request_id, None)
        if until is not None and not is_answered:
            self.may_run_until[request_id] = until

    @invariant()
    def is_bounded(self) -> None:
        assert len(self.ids) <= 6


TestIdsMachine = IdsMachine.TestCase
