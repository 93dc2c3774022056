"""Scheduling rules that matter in fleets of hundreds of gateways, tested on single schedulers."""

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


def slow_answers(gateway: GatewayDriver, response_s: float, times: int = 9) -> None:
    """Give fast answers to requests of one unit, then slow ones, so that the gateway finds the node overloaded."""
    for wait_s in [0.01] * 20 + [response_s] * times:
        ident = gateway.request(50, units=1.0)
        if ident in gateway.sent():
            gateway.now += wait_s
            gateway.answer(ident)


OVERLOADS = [(0.05, True, True), (0.45, True, False), (1.5, False, False)]


@pytest.mark.parametrize(("response_s", "within", "beyond"), OVERLOADS)
def test_overloaded_node_rejects_requests_beyond_a_reserve_first(response_s: float, within: bool, beyond: bool) -> None:
    """Guards against requests of all priorities being late when the concurrency limits cannot bound a node's queue.

    Seen in surges at large fleets.
    """
    gateway = GatewayDriver(make_settings(gateway_count=MANY, plans=(RESERVED, PLAIN)))
    slow_answers(gateway, response_s)
    assert (gateway.request(1, plan_index=0, units=1.0) in gateway.sent()) is within
    assert (gateway.request(2, plan_index=1, units=1.0) in gateway.sent()) is beyond


def test_small_fleet_does_not_reject_by_queueing_delay() -> None:
    gateway = GatewayDriver(make_settings(gateway_count=3, plans=(RESERVED, PLAIN)))
    slow_answers(gateway, 0.45)
    assert gateway.request(2, plan_index=1, units=1.0) in gateway.sent()


def test_queueing_delay_estimate_decays_with_age() -> None:
    gateway = GatewayDriver(make_settings(gateway_count=MANY))
    slow_answers(gateway, 0.9)
    assert gateway.request(1, units=1.0) not in gateway.sent()
    gateway.run(gateway.now + 8)
    assert gateway.request(1, units=1.0) in gateway.sent()


def test_late_client_retries_are_rejected_only_by_an_overloaded_node() -> None:
    """Guards against late client retries displacing requests that can be in time.

    In the Brasov surge they took half of all sends, as gateways rarely queue requests in a large fleet.
    """
    gateway = GatewayDriver(make_settings(gateway_count=MANY))
    assert gateway.request(1, timeout_s=2.0, is_client_retry=True) in gateway.sent()
    slow_answers(gateway, 0.3)
    assert isinstance(gateway.final_answers[gateway.request(2, timeout_s=2.0, is_client_retry=True)], RejectRequest)


def test_short_timeout_is_served_if_it_can_be_met() -> None:
    gateway = GatewayDriver(make_settings(gateway_count=MANY))
    slow_answers(gateway, 0.02)
    assert gateway.request(1, timeout_s=0.2, units=1.0) in gateway.sent()


def test_queued_request_is_answered_just_before_its_client_times_out() -> None:
    gateway = GatewayDriver(make_settings())
    while not gateway.node_queue().queue.queued:
        gateway.request(1)
    ident = gateway.request(1, timeout_s=0.1)
    left = gateway.now + 0.1
    gateway.run(left - 0.001)
    assert ident in gateway.final_answers


def test_attempts_time_out_at_their_latency_objective() -> None:
    """Guards against requests that are late delaying others at slow nodes until their clients' timeout (Kochi)."""
    for gateways in (MANY, 3):
        gateway = GatewayDriver(make_settings(gateway_count=gateways))
        gateway.request(1)
        assert gateway.sends[-1][1].timeout_s == pytest.approx(1.0)


def test_consecutive_timeouts_without_an_answer_are_failures() -> None:
    """Guards against endless attempts at a node that accepts requests and does not answer."""
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
    for number in range(30):
        gateway.answer(gateway.request(2 + number, shard=-1, units=1.0))
    assert all(send.node != 10 for _, send in list(gateway.sends)[2:])


def test_even_part_of_a_rate_limit_refills_from_the_gateway_start() -> None:
    """Guards against a part that is empty at a volume's first request, no matter how late (Brasov on a quiet day)."""
    plan = make_plan(rate_limit=20.0, rate_limit_burst=400.0, rate_limit_tolerance=8.0)
    gateway = GatewayDriver(make_settings(plans=(plan,), gateway_count=MANY))
    gateway.run(gateway.now + 10)
    assert gateway.request(1, units=8.0, gateway_count=20) in gateway.sent()
    assert gateway.scheduler.rate_limits.limiters[1].tokens == pytest.approx(2.0)


def test_known_lenders_are_asked_two_at_a_time() -> None:
    """Guards against a broadcast for each shortage of units, which cost a sixtieth of the value served (Portland)."""
    plan = make_plan(rate_limit=20.0, rate_limit_burst=200.0, rate_limit_tolerance=8.0)
    gateway = GatewayDriver(make_settings(plans=(plan,), gateway_count=50, has_peer_messages=True))
    gateway.request(1, units=4.0, gateway_count=20)
    first = [action for action in gateway.scheduler.actions if isinstance(action, SendPeerMessage)]
    assert [message.gateway_id for message in first] == [None]
    for peer in range(5, 15):
        gateway.handle(PeerMessage(peer, b"\x02" + first[0].body[1:9] + b"\x3c\x00\x00\x00" + first[0].body[13:]))
    assert len(gateway.scheduler.rate_limits.limiters[1].lenders) == 10
    gateway.run(gateway.now + 0.2)
    gateway.request(1, units=8.0, gateway_count=20)
    receivers = [message.gateway_id for message in gateway.scheduler.actions if isinstance(message, SendPeerMessage)]
    assert len(receivers) == 2 and None not in receivers


@pytest.mark.parametrize("gateways", [2, 20, 60])
def test_all_gateways_together_use_a_cold_node_without_overloading_it(gateways: int) -> None:
    """Guards against an even share below one request, as a new node then received none until warm (preempt waves)."""
    settings = make_settings(gateway_count=gateways)
    fleet = [GatewayDriver(settings, seed=k) for k in range(gateways)]
    power, start = 40.0, 115.0
    for step in range(150):  # beforehand all gateways together use the old node's full capacity
        for index, gateway in enumerate(fleet):
            gateway.run(100.0 + step * 0.1)
            if step % gateways == index % gateways or gateways < 10:
                gateway.answer(gateway.request(index, units=2.0 if gateways >= 10 else power / 10 / gateways))
    for gateway in fleet:
        gateway.run(start)
        gateway.handle(EndpointUpdate(UpdateKind.DELTA, 3, (entry(10, 0, started=start),)))
    waiting: deque[tuple[GatewayDriver, int]] = deque()
    sent: list[tuple[float, float]] = []
    spare_units, handled_sends = 0.0, [len(gateway.sends) for gateway in fleet]
    for step in range(100):
        now = start + step * 0.1
        spare_units = min(8.0, spare_units + power * 0.1 * (0.25 + 0.75 * step / 100))
        for gateway in fleet:
            gateway.run(now)
            gateway.request(step % 5, units=2.0)
        while waiting and spare_units >= 2.0:
            spare_units -= 2.0
            gateway, ident = waiting.popleft()
            gateway.answer(ident)
        for index, gateway in enumerate(fleet):
            for at, send in list(gateway.sends)[handled_sends[index] :]:
                sent.append((at, gateway.units[send.id]))
                waiting.append((gateway, send.id))
            handled_sends[index] = len(gateway.sends)
    for window in range(100):
        begin = start + window * 0.1
        capacity = power * (0.25 + 0.75 * window / 100)
        assert sum(units for at, units in sent if begin <= at < begin + 2) <= 2 * capacity * 2
    assert sum(units for _, units in sent) > (0.5 if gateways > 2 else 0.05) * power


ODD_NUMBERS = st.sampled_from([0.0, -1.0, 1.0, 7.5, 1e9, math.nan, math.inf])


@given(
    gateways=st.sampled_from([1, 3, 260]),
    steps=st.lists(
        st.tuples(
            st.integers(0, 400), st.integers(-1, 60), st.integers(0, 500), ODD_NUMBERS, st.sampled_from(list(Result))
        ),
        max_size=60,
    ),
)
def test_invalid_values_never_raise(gateways: int, steps: list[tuple[int, int, int, float, Result]]) -> None:
    """Invalid values from meters, reports, lists and peers; hundreds of volumes; changing gateway counts."""
    settings = make_settings(
        gateway_count=gateways,
        has_peer_messages=True,
        plans=(RESERVED, make_plan(rate_limit=9.0, rate_limit_burst=99.0)),
        classes=(make_class(), make_class(idempotence=Idempotence.NON_IDEMPOTENT)),
    )
    gateway = GatewayDriver(settings, nodes=40)
    for number, (volume, shard, gateway_count, odd_number, result) in enumerate(steps):
        gateway.handle(
            EndpointUpdate(UpdateKind.DELTA, 3 + number, (entry(500 + shard, abs(shard), started=odd_number),))
        )
        timeout_s, is_retry = 0.5 + volume / 100, number % 2 == 0
        gateway.handle(
            Request(
                10_000 + number,
                number % 2,
                volume % 2,
                number % 3,
                timeout_s,
                volume,
                1.0,
                shard,
                gateway_count,
                is_retry,
                False,
            )
        )
        gateway.handle(
            PeerMessage(
                gateway_count, bytes([1 + number % 2]) + volume.to_bytes(8, "big") + b"\x7f\xc0\x00\x00" + bytes(4)
            )
        )
        for ident, pending in list(gateway.scheduler.requests.items())[:2]:
            for attempt_number, attempt in enumerate(pending.attempts):
                if attempt.is_open:
                    gateway.handle(
                        Outcome(
                            ident,
                            attempt_number,
                            attempt.node,
                            odd_number,
                            result,
                            False,
                            gateway_count,
                            odd_number,
                            (odd_number,),
                        )
                    )
        gateway.run(gateway.now + 0.05)
    gateway.run(gateway.now + 60)
    assert not [pending for pending in gateway.scheduler.requests.values() if not pending.has_open_attempt()]
    assert len(gateway.scheduler.rate_limits.limiters) <= 500


def test_periodic_check_visits_only_busy_queues(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(nodes=40, gateway_count=MANY)
    ident = gateway.request(1, shard=7)
    assert list(gateway.scheduler.busy) == [7]
    gateway.answer(ident)
    gateway.run(gateway.now + 1)
    assert not gateway.scheduler.busy


def test_parts_of_a_reserve_add_up_to_one_reserve() -> None:
    """Guards against each gateway granting the whole burst of a reserve, which displaced other requests (Kochi)."""
    plan = make_plan(reserved_rate=10.0)
    fleet = [GatewayDriver(make_settings(gateway_count=MANY, plans=(plan,)), seed=k) for k in range(20)]
    within = 0.0
    for gateway in fleet:
        for _ in range(10):
            ident = gateway.request(1, units=1.0, gateway_count=20)
            within += gateway.scheduler.requests[ident].rank is Rank.WITHIN_RESERVE
    assert within <= 10.0 + 8.0 + len(
        fleet
    )  # one second of the reserve, the largest request, and rounding of the parts
