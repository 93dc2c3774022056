"""What hundreds of gateways ask of one gateway's decisions, by the module alone."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.scheduling.interface import (
    EndpointUpdate,
    Idempotence,
    Outcome,
    PeerMessage,
    RejectRequest,
    Request,
    Result,
    SendPeerMessage,
    UpdateKind,
)
from fawnspool.scheduling.pending_request import Rank
from tests.conftest import GatewayDriver, entry, make_class, make_plan, make_settings

RESERVED = make_plan(reserved_rate=10.0)
PLAIN = make_plan()
MANY = 200


def slow(gateway: GatewayDriver, took: float, times: int = 9) -> None:
    """Answers of one unit at once, then some that waited: the gateway learns that its node is crowded."""
    for wait in [0.01] * 20 + [took] * times:
        ident = gateway.request(50, units=1.0)
        if ident in gateway.sent():
            gateway.now += wait
            gateway.answer(ident)


CROWDS = [(0.05, True, True), (0.45, True, False), (1.5, False, False)]


@pytest.mark.parametrize(("took", "inside", "beyond"), CROWDS)
def test_a_crowded_node_ends_what_is_beyond_a_reserve_first(took: float, inside: bool, beyond: bool) -> None:
    """Surges at size: no gateway's limit held the queues, and all classes of worth were late alike."""
    gateway = GatewayDriver(make_settings(gateway_count=MANY, plans=(RESERVED, PLAIN)))
    slow(gateway, took)
    assert (gateway.request(1, plan_index=0, units=1.0) in gateway.sent()) is inside
    assert (gateway.request(2, plan_index=1, units=1.0) in gateway.sent()) is beyond


def test_few_gateways_leave_it_to_their_limits() -> None:
    gateway = GatewayDriver(make_settings(gateway_count=3, plans=(RESERVED, PLAIN)))
    slow(gateway, 0.45)
    assert gateway.request(2, plan_index=1, units=1.0) in gateway.sent()


def test_a_crowd_is_forgotten_when_its_answers_are_old() -> None:
    gateway = GatewayDriver(make_settings(gateway_count=MANY))
    slow(gateway, 0.9)
    assert gateway.request(1, units=1.0) not in gateway.sent()
    gateway.run(gateway.now + 8)
    assert gateway.request(1, units=1.0) in gateway.sent()


def test_late_client_retries_end_at_once_in_a_crowd_and_are_served_without_one() -> None:
    """Brasov's surge: they took half of all places, as a gateway rarely queued anything itself."""
    gateway = GatewayDriver(make_settings(gateway_count=MANY))
    assert gateway.request(1, timeout_s=2.0, is_client_retry=True) in gateway.sent()
    slow(gateway, 0.3)
    assert isinstance(gateway.final_answers[gateway.request(2, timeout_s=2.0, is_client_retry=True)], RejectRequest)


def test_a_client_with_little_time_is_served_where_that_may_do() -> None:
    gateway = GatewayDriver(make_settings(gateway_count=MANY))
    slow(gateway, 0.02)
    assert gateway.request(1, timeout_s=0.2, units=1.0) in gateway.sent()


def test_a_queued_request_has_its_answer_just_before_its_client_leaves() -> None:
    gateway = GatewayDriver(make_settings())
    while not gateway.node_queue().queue.queued:
        gateway.request(1)
    ident = gateway.request(1, timeout_s=0.1)
    left = gateway.now + 0.1
    gateway.run(left - 0.001)
    assert ident in gateway.final_answers


def test_attempts_time_out_at_their_latency_objective() -> None:
    """Kochi: what was late anyway kept others waiting at slow nodes for its client's whole patience."""
    for gateways in (MANY, 3):
        gateway = GatewayDriver(make_settings(gateway_count=gateways))
        gateway.request(1)
        assert gateway.sends[-1][1].timeout_s == pytest.approx(1.0)


def test_time_outs_with_no_answer_between_are_failures() -> None:
    """Incidents with nodes that take work and do not answer: every attempt went out anew."""
    gateway = GatewayDriver(make_settings(gateway_count=MANY))
    for _ in range(3):
        ident = gateway.request(1)
        gateway.run(gateway.now + 1.0)
        gateway.answer(ident, Result.TIMED_OUT, elapsed_s=1.0)
        gateway.run(gateway.now + 6.0)
    assert not gateway.node_queue().is_available()


def test_new_objects_avoid_a_node_with_one_failure() -> None:
    gateway = GatewayDriver(make_settings(gateway_count=MANY), nodes=3)
    ident = gateway.request(1, shard=0)
    gateway.answer(ident, Result.CONNECT_FAILED)
    for k in range(30):
        gateway.answer(gateway.request(2 + k, shard=-1, units=1.0))
    assert all(s.node != 10 for _, s in list(gateway.sends)[2:])


def test_an_even_part_of_a_limit_fills_from_the_gateways_start() -> None:
    """Brasov's quiet day: parts were empty at a volume's first request, however late that came."""
    plan = make_plan(rate_limit=20.0, rate_limit_burst=400.0, rate_limit_tolerance=8.0)
    gateway = GatewayDriver(make_settings(plans=(plan,), gateway_count=MANY))
    gateway.run(gateway.now + 10)
    assert gateway.request(1, units=8.0, gateway_count=20) in gateway.sent()
    assert gateway.scheduler.rate_limits.limiters[1].tokens == pytest.approx(2.0)


def test_known_lenders_are_asked_two_at_a_time() -> None:
    """Portland: asking every gateway for every lack cost a sixtieth of the worth."""
    plan = make_plan(rate_limit=20.0, rate_limit_burst=200.0, rate_limit_tolerance=8.0)
    gateway = GatewayDriver(make_settings(plans=(plan,), gateway_count=50, has_peer_messages=True))
    gateway.request(1, units=4.0, gateway_count=20)
    first = [a for a in gateway.scheduler.actions if isinstance(a, SendPeerMessage)]
    assert [t.gateway_id for t in first] == [None]
    for peer in range(5, 15):
        gateway.handle(PeerMessage(peer, b"\x02" + first[0].body[1:9] + b"\x3c\x00\x00\x00" + first[0].body[13:]))
    assert len(gateway.scheduler.rate_limits.limiters[1].lenders) == 10
    gateway.run(gateway.now + 0.2)
    gateway.request(1, units=8.0, gateway_count=20)
    told = [t.gateway_id for t in gateway.scheduler.actions if isinstance(t, SendPeerMessage)]
    assert len(told) == 2 and None not in told


@pytest.mark.parametrize("gateways", [2, 20, 60])
def test_all_gateways_together_spare_a_cold_node_and_still_use_it(gateways: int) -> None:
    """Waves of preempt: an even part was under one request, so the new node got nothing until warm."""
    settings = make_settings(gateway_count=gateways)
    fleet = [GatewayDriver(settings, seed=k) for k in range(gateways)]
    power, start = 40.0, 115.0
    for step in range(150):  # before: together as much as the old node could do
        for k, gateway in enumerate(fleet):
            gateway.run(100.0 + step * 0.1)
            if step % gateways == k % gateways or gateways < 10:
                gateway.answer(gateway.request(k, units=2.0 if gateways >= 10 else power / 10 / gateways))
    for gateway in fleet:
        gateway.run(start)
        gateway.handle(EndpointUpdate(UpdateKind.DELTA, 3, (entry(10, 0, started=start),)))
    waiting: deque[tuple[GatewayDriver, int]] = deque()
    sent: list[tuple[float, float]] = []
    able, seen = 0.0, [len(gateway.sends) for gateway in fleet]
    for step in range(100):
        now = start + step * 0.1
        able = min(8.0, able + power * 0.1 * (0.25 + 0.75 * step / 100))
        for gateway in fleet:
            gateway.run(now)
            gateway.request(step % 5, units=2.0)
        while waiting and able >= 2.0:
            able -= 2.0
            gateway, ident = waiting.popleft()
            gateway.answer(ident)
        for k, gateway in enumerate(fleet):
            for t, s in list(gateway.sends)[seen[k] :]:
                sent.append((t, gateway.units[s.id]))
                waiting.append((gateway, s.id))
            seen[k] = len(gateway.sends)
    for k in range(100):
        begin = start + k * 0.1
        capacity = power * (0.25 + 0.75 * k / 100)
        assert sum(u for t, u in sent if begin <= t < begin + 2) <= 2 * capacity * 2
    assert sum(u for _, u in sent) > (0.5 if gateways > 2 else 0.05) * power


WILD = st.sampled_from([0.0, -1.0, 1.0, 7.5, 1e9, math.nan, math.inf])


@given(
    gateways=st.sampled_from([1, 3, 260]),
    steps=st.lists(
        st.tuples(st.integers(0, 400), st.integers(-1, 60), st.integers(0, 500), WILD, st.sampled_from(list(Result))),
        max_size=60,
    ),
)
def test_no_nonsense_makes_a_gateway_raise(gateways: int, steps: list[tuple[int, int, int, float, Result]]) -> None:
    """Nonsense from meters, reports, lists and peers, volumes by the hundred, gateway counts that change."""
    settings = make_settings(
        gateway_count=gateways,
        has_peer_messages=True,
        plans=(RESERVED, make_plan(rate_limit=9.0, rate_limit_burst=99.0)),
        classes=(make_class(), make_class(idempotence=Idempotence.NON_IDEMPOTENT)),
    )
    gateway = GatewayDriver(settings, nodes=40)
    for k, (volume, shard, count, wild, result) in enumerate(steps):
        gateway.handle(EndpointUpdate(UpdateKind.DELTA, 3 + k, (entry(500 + shard, abs(shard), started=wild),)))
        patience, repeat = 0.5 + volume / 100, k % 2 == 0
        gateway.handle(
            Request(10_000 + k, k % 2, volume % 2, k % 3, patience, volume, 1.0, shard, count, repeat, False)
        )
        gateway.handle(
            PeerMessage(count, bytes([1 + k % 2]) + volume.to_bytes(8, "big") + b"\x7f\xc0\x00\x00" + bytes(4))
        )
        for ident, pending in list(gateway.scheduler.requests.items())[:2]:
            for n, attempt in enumerate(pending.attempts):
                if attempt.is_open:
                    gateway.handle(Outcome(ident, n, attempt.node, wild, result, False, count, wild, (wild,)))
        gateway.run(gateway.now + 0.05)
    gateway.run(gateway.now + 60)
    assert not [pending for pending in gateway.scheduler.requests.values() if not pending.has_open_attempt()]
    assert len(gateway.scheduler.rate_limits.limiters) <= 500


def test_a_checks_work_follows_what_is_queued_or_in_flight(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(nodes=40, gateway_count=MANY)
    ident = gateway.request(1, shard=7)
    assert list(gateway.scheduler.busy) == [7]
    gateway.answer(ident)
    gateway.run(gateway.now + 1)
    assert not gateway.scheduler.busy


def test_all_gateways_parts_of_a_reserve_make_one_reserve() -> None:
    """Kochi's quiet day: each gateway took a whole burst for its volume's, what was beyond crowded it out."""
    plan = make_plan(reserved_rate=10.0)
    fleet = [GatewayDriver(make_settings(gateway_count=MANY, plans=(plan,)), seed=k) for k in range(20)]
    inside = 0.0
    for gateway in fleet:
        for _ in range(10):
            ident = gateway.request(1, units=1.0, gateway_count=20)
            inside += gateway.scheduler.requests[ident].rank is Rank.WITHIN_RESERVE
    assert inside <= 10.0 + 8.0 + len(fleet)  # a second of it, a largest request, and what parts round up
