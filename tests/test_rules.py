"""The seven rules, each by the module alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.scheduling.interface import (
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    EndpointUpdate,
    FailRequest,
    FetchEndpoints,
    Idempotence,
    Outcome,
    PeerMessage,
    Phase,
    RejectRequest,
    Result,
    SendPeerMessage,
    SetWatch,
    Timer,
    UpdateKind,
)
from tests.conftest import GatewayDriver, entry, make_class, make_plan, make_settings

MAYBE = [Result.ERROR, Result.TIMED_OUT, Result.RESET, Result.CANCELLED]
NEVER = [Result.OVERLOADED, Result.CONNECT_FAILED]

# ------------------------------------------------------------- one final answer


def test_queued_request_is_answered_before_its_client_gives_up(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(nodes=0)
    gateway.handle(EndpointUpdate(UpdateKind.SNAPSHOT, 3, (entry(10, 0, Phase.DRAINING),)))
    ident = gateway.request(1, timeout_s=0.9)
    gateway.run(gateway.now + 0.9)
    assert isinstance(gateway.final_answers[ident], RejectRequest)


def test_request_with_almost_no_time_is_answered_at_once(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Portland incident: a client's last try came with less time than the next look."""
    gateway = make_gateway()
    for _ in range(2):
        gateway.request(1)
    ident = gateway.request(1, timeout_s=0.01)
    assert ident in gateway.final_answers


def test_time_out_at_the_deadline_gets_its_answer(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=(make_class(idempotence=Idempotence.NON_IDEMPOTENT),))
    ident = gateway.request(1)
    gateway.run(gateway.now + 4)
    gateway.answer(ident, Result.TIMED_OUT, elapsed_s=4.0)
    assert isinstance(gateway.final_answers[ident], FailRequest)


def test_late_client_retry_is_rejected_at_once_where_others_wait(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Brasov incident of a surge with retries: late repeats took places from what could be in time."""
    gateway = make_gateway().warm()
    while not gateway.node_queue().queue.queued:
        gateway.request(1)
    assert isinstance(gateway.final_answers[gateway.request(2, timeout_s=2.0, is_client_retry=True)], RejectRequest)


def test_late_client_retry_is_served_by_an_idle_node(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway().warm()
    assert gateway.request(2, timeout_s=2.0, is_client_retry=True) in gateway.sent()


def test_nothing_goes_out_after_the_client_left(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway()
    a, b, c = gateway.request(1), gateway.request(1), gateway.request(1)
    gateway.handle(ClientDisconnected(c))
    assert Cancel(a, 0) in gateway.handle(ClientDisconnected(a))
    gateway.answer(a, Result.CANCELLED, final=True)
    gateway.answer(b)
    gateway.run(gateway.now + 5)
    assert c not in gateway.sent()
    assert gateway.attempts[a] == 1
    assert not gateway.final_answers and not gateway.scheduler.requests


# --------------------------------------------------------------------- effects


@pytest.mark.parametrize("result", MAYBE)
def test_non_idempotent_that_may_have_run_fails_and_is_never_retried(
    make_gateway: Callable[..., GatewayDriver], result: Result
) -> None:
    gateway = make_gateway(classes=(make_class(idempotence=Idempotence.NON_IDEMPOTENT),))
    ident = gateway.request(1)
    gateway.answer(ident, result)
    assert isinstance(gateway.final_answers[ident], FailRequest)
    assert gateway.attempts[ident] == 1


@pytest.mark.parametrize("result", NEVER)
@pytest.mark.parametrize("effect", list(Idempotence))
def test_what_never_ran_is_retried(
    make_gateway: Callable[..., GatewayDriver], result: Result, effect: Idempotence
) -> None:
    gateway = make_gateway(classes=(make_class(idempotence=effect, deduplication_scope=DeduplicationScope.SHARD),))
    ident = gateway.request(1)
    gateway.answer(ident, result)
    gateway.run(gateway.now + 0.5)
    assert gateway.attempts[ident] == 2


def test_request_with_key_is_retried_at_its_own_shard_within_the_window(
    make_gateway: Callable[..., GatewayDriver],
) -> None:
    gateway = make_gateway(
        classes=(make_class(idempotence=Idempotence.WITH_KEY, deduplication_scope=DeduplicationScope.SHARD),), nodes=3
    )
    ident = gateway.request(1, shard=-1)
    gateway.answer(ident, Result.ERROR)
    nodes = {s.node for _, s in gateway.sends}
    assert gateway.attempts[ident] == 2 and len(nodes) == 1


def test_request_with_key_past_its_window_fails(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(
        classes=(
            make_class(
                idempotence=Idempotence.WITH_KEY,
                deduplication_scope=DeduplicationScope.SHARD,
                deduplication_window_s=0.5,
            ),
        )
    )
    ident = gateway.request(1)
    gateway.run(gateway.now + 0.6)
    gateway.answer(ident, Result.ERROR)
    assert isinstance(gateway.final_answers[ident], FailRequest)


def test_attempts_stay_within_the_limit(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(max_attempts=3)
    ident = gateway.request(1)
    for _ in range(3):
        gateway.answer(ident, Result.ERROR)
    assert gateway.attempts[ident] == 3
    assert ident in gateway.final_answers


# ---------------------------------------------------------------------- drains


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.GONE])
def test_drained_node_gets_nothing_more(make_gateway: Callable[..., GatewayDriver], phase: Phase) -> None:
    gateway = make_gateway(nodes=2)
    a, _ = gateway.request(1), gateway.request(1)
    queued, fresh = gateway.request(1), gateway.request(2, shard=-1)
    gateway.handle(EndpointUpdate(UpdateKind.DELTA, 3, (entry(10, 0, phase),)))
    mark = len(gateway.sends)
    gateway.answer(a, Result.ERROR)
    gateway.request(3, shard=-1)
    gateway.run(gateway.now + 0.2)
    assert all(s.node != 10 for _, s in list(gateway.sends)[mark:])
    assert fresh in gateway.sent()
    gateway.handle(EndpointUpdate(UpdateKind.DELTA, 4, (entry(20, 0),)))
    assert (queued in gateway.sent()) != (queued in gateway.final_answers)


def test_node_missing_from_a_snapshot_is_gone(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(nodes=2)
    gateway.handle(EndpointUpdate(UpdateKind.SNAPSHOT, 3, (entry(11, 1),)))
    gateway.request(1, shard=0)
    assert not gateway.sends


def test_endpoint_list_is_polled_at_once_and_again_after_a_failure() -> None:
    gateway = GatewayDriver(make_settings(polls_endpoints=True), live=False)
    start = make_settings(polls_endpoints=True)
    assert SetWatch(True) in GatewayDriver(start, live=False).scheduler.handle(
        1.0, EndpointUpdate(UpdateKind.CACHED, 1, ())
    )
    seen: list[Any] = []
    gateway.handle(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
    while gateway.timers and gateway.now < 108:
        at, token = gateway.timers.pop(0)
        gateway.now = max(gateway.now, at)
        seen += gateway.handle(Timer(token))
    assert seen.count(SetWatch(True)) == 1


def test_pushed_list_is_fetched_once_by_a_fresh_gateway() -> None:
    gateway = GatewayDriver(make_settings(), live=False)
    assert FetchEndpoints() in gateway.scheduler.handle(1.0, EndpointUpdate(UpdateKind.CACHED, 1, ()))


# ------------------------------------------------------------------ cold nodes


def fed(gateways: list[GatewayDriver], node: int, since: float, until: float, units: float) -> float:
    return sum(units for gateway in gateways for t, s in gateway.sends if s.node == node and since < t <= until)


@given(units=st.sampled_from([1.0, 2.0, 4.0]), count=st.integers(1, 5), rate=st.integers(1, 6))
def test_all_gateways_together_keep_to_a_cold_nodes_budget(units: float, count: int, rate: int) -> None:
    settings = make_settings(gateway_count=count, slow_start_units=16.0)
    gateways = [GatewayDriver(settings, seed=k) for k in range(count)]
    start = 100.0
    for gateway in gateways:
        gateway.handle(EndpointUpdate(UpdateKind.DELTA, 3, (entry(10, 0, started=start),)))
    for step in range(60):
        for gateway in gateways:
            gateway.run(start + step * 0.1)
            for _ in range(rate):
                gateway.request(step % 3, units=units)
            while (
                gateway.sends
                and gateway.sends[-1][1].id in gateway.scheduler.requests
                and gateway.node_queue().in_flight
            ):
                gateway.answer(next(iter(gateway.node_queue().in_flight))[0])
    for end in range(60):
        window = start + end * 0.1
        capacity = 1 + 3 * max(0.0, window - 2 - start) / 10
        assert fed(gateways, 10, window - 2, window, units) <= 16.0 * capacity + 1e-6


def test_node_that_was_away_is_taken_for_cold(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway()
    gateway.request(1)
    for _ in range(3):
        gateway.answer(gateway.sent()[-1], Result.CONNECT_FAILED)
        gateway.run(gateway.now + 1.1)
        if gateway.sent()[-1] in gateway.final_answers:
            gateway.request(1)
    gateway.answer(gateway.sent()[-1])
    assert gateway.node_queue().slow_start.started_at is not None


def test_single_resets_at_a_live_node_do_not_eject_it(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Brasov incident: a tenth of the attempts reset while the others were answered."""
    gateway = make_gateway()
    for _ in range(20):
        ident = gateway.request(1)
        gateway.answer(ident, Result.RESET)
        gateway.answer(ident)
    assert gateway.node_queue().is_available() and gateway.node_queue().slow_start.started_at is None


def test_resets_of_reused_connections_are_no_failures_and_those_of_new_ones_are(
    make_gateway: Callable[..., GatewayDriver],
) -> None:
    for kept in (True, False):
        gateway = make_gateway().warm()
        for _ in range(3):
            ident = gateway.request(1, shard=0)
            gateway.answer(ident, Result.RESET, final=True, reused_connection=kept)
        assert gateway.node_queue().is_available() is kept


def test_silent_node_is_ejected_and_recovers(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=(make_class(latency_objective_s=1.0, deadline_s=20.0),))
    a = gateway.request(1, timeout_s=20.0)
    gateway.run(gateway.now + 2.0)
    assert gateway.node_queue().is_available()  # one unanswered attempt is one failure
    gateway.run(gateway.now + 3.0)
    assert not gateway.node_queue().is_available()
    gateway.answer(a)
    assert gateway.node_queue().is_available()


# ---------------------------------------------------------------- order by key


def test_requests_of_a_key_run_one_at_a_time_in_order(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=(make_class(ordered=True),), settle_after_ambiguity_s=0.3)
    a, b, free = gateway.request(1, extent=5), gateway.request(2, extent=5), gateway.request(3, extent=6)
    assert gateway.sent() == [a, free]
    gateway.answer(a)
    assert gateway.sent() == [a, free, b]


def test_key_pauses_after_an_ambiguous_end(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(
        classes=(make_class(ordered=True, idempotence=Idempotence.NON_IDEMPOTENT),), settle_after_ambiguity_s=0.3
    )
    a, b = gateway.request(1, extent=5), gateway.request(2, extent=5)
    at = gateway.now
    gateway.answer(a, Result.RESET)
    assert a in gateway.final_answers and b not in gateway.sent()
    gateway.run(at + 0.8)
    assert next(t for t, s in gateway.sends if s.id == b) >= at + 0.3


def test_key_waits_for_the_result_of_an_ended_requests_attempt(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=(make_class(ordered=True),))
    a, b = gateway.request(1, extent=5), gateway.request(2, extent=5)
    gateway.handle(ClientDisconnected(a))
    gateway.run(gateway.now + 0.3)
    assert b not in gateway.sent()
    gateway.answer(a, Result.SERVED, final=True)
    assert b in gateway.sent()


# -------------------------------------------------------------- attempt budget


@given(st.lists(st.sampled_from([Result.SERVED, Result.ERROR, Result.OVERLOADED, Result.RESET]), max_size=80))
def test_retries_stay_within_the_budget(results: list[Result]) -> None:
    gateway = GatewayDriver(
        make_settings(retry_budget_minimum=2.0, retry_budget_ratio=0.25, retry_budget_window_s=3.0), nodes=2
    )
    taken: list[float] = []
    for k, result in enumerate(results):
        taken.append(gateway.now)
        gateway.request(k % 3, shard=k % 2)
        for ident in [i for i, pending in gateway.scheduler.requests.items() if pending.has_open_attempt()][:1]:
            gateway.answer(ident, result)
        gateway.run(gateway.now + 0.07)
    seen: set[int] = set()
    extras = []
    for t, s in gateway.sends:
        if s.id in seen:
            extras.append(t)
        seen.add(s.id)
    for t in extras:
        allowed = 2 + 0.25 * sum(t - 3 <= x <= t for x in taken)
        assert sum(t - 3 < x <= t for x in extras) <= allowed


# ---------------------------------------------------------------------- limits

LIMITED = make_plan(rate_limit=20.0, rate_limit_burst=48.0, rate_limit_tolerance=8.0)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from([1.0, 3.0, 8.0]),
            st.floats(0, 0.2),
            st.integers(0, 30),
            st.booleans(),
        ),
        min_size=20,
        max_size=120,
    )
)
def test_rate_limit_holds_over_all_gateways_with_loans_losses_and_restarts(steps: list[Any]) -> None:
    settings = make_settings(plans=(LIMITED,), gateway_count=3, has_peer_messages=True)
    gateways = [GatewayDriver(settings, nodes=2, seed=k) for k in range(3)]
    store, clock, now = 48.0, 100.0, 100.0
    for who, units, pause, restart, lost in steps:
        now += pause
        for gateway in gateways:
            gateway.run(now)
        if restart == 0:
            gateways[who] = GatewayDriver(settings, nodes=2, now=now)
        gateway = gateways[who]
        marks = [len(x.sends) for x in gateways]
        gateway.request(1, shard=who % 2, units=units, gateway_count=3)
        told = [a for a in gateway.scheduler.actions if isinstance(a, SendPeerMessage)]
        for tell in told if not lost else []:
            for k, peer in enumerate(gateways):
                if peer is not gateway and tell.gateway_id in (None, k):
                    for back in peer.handle(PeerMessage(who, tell.body)):
                        if isinstance(back, SendPeerMessage):
                            gateway.handle(PeerMessage(k, back.body))
        for x in gateways:
            for node_queue in x.scheduler.node_queues.values():
                for ident, _ in list(node_queue.in_flight):
                    x.answer(ident)
        drawn = 0.0
        for x, mark in zip(gateways, marks, strict=True):
            first = {s.id for _, s in list(x.sends)[mark:]} - {s.id for _, s in list(x.sends)[:mark]}
            drawn += sum(x.units[i] for i in first)
        store = min(48.0, store + (now - clock) * 20.0) - drawn
        clock = now
        assert store >= -8.0


def test_idle_gateways_lend_their_part() -> None:
    """Portland: one gateway leads a volume, and its even part alone turned most of it away."""
    settings = make_settings(plans=(LIMITED,), gateway_count=2, has_peer_messages=True)
    lead, idle = GatewayDriver(settings).warm(), GatewayDriver(settings).warm()
    for gateway in (lead, idle):
        ident = gateway.request(1, units=1.0, gateway_count=2)
        gateway.run(gateway.now + 0.3)
        gateway.answer(ident)
        gateway.run(104.0)
    before = idle.scheduler.rate_limits.limiters[1].tokens
    asked = []
    for _ in range(12):
        lead.request(1, units=4.0, gateway_count=2)
        asked += [a for a in lead.scheduler.actions if isinstance(a, SendPeerMessage)]
    assert asked
    lent = [a for tell in asked for a in idle.handle(PeerMessage(0, tell.body)) if isinstance(a, SendPeerMessage)]
    assert lent and idle.scheduler.rate_limits.limiters[1].tokens < before + 20.0
    sent = len(lead.sends)
    lead.handle(PeerMessage(1, lent[0].body))
    for node_queue in lead.scheduler.node_queues.values():
        for ident, _ in list(node_queue.in_flight):
            lead.answer(ident)
    assert len(lead.sends) > sent


def test_fresh_gateway_does_not_assume_a_full_bucket() -> None:
    gateway = GatewayDriver(make_settings(plans=(LIMITED,)))
    ident = gateway.request(1, units=8.0)
    assert not gateway.sends
    gateway.run(gateway.now + 0.6)
    assert ident in gateway.sent()


# ------------------------------------------------------------------ odd input

odd = st.one_of(
    st.builds(PeerMessage, st.integers(0, 9), st.binary(max_size=20)),
    st.builds(
        Outcome,
        st.integers(0, 40),
        st.integers(0, 3),
        st.sampled_from([10, 11, 99]),
        st.floats(),
        st.sampled_from(list(Result)),
        st.booleans(),
        st.integers(0, 65535),
        st.one_of(st.none(), st.floats()),
        st.none(),
    ),
    st.builds(ClientDisconnected, st.integers(0, 40)),
    st.builds(Timer, st.integers(0, 9)),
    st.builds(
        EndpointUpdate,
        st.sampled_from(list(UpdateKind)),
        st.integers(0, 9),
        st.lists(
            st.builds(entry, st.integers(10, 14), st.integers(0, 2), st.sampled_from(list(Phase)), st.floats()),
            max_size=4,
        ).map(tuple),
    ),
    st.integers(0, 2),
)


@given(st.lists(st.tuples(odd, st.floats(0, 0.4)), max_size=60), st.sampled_from(list(Idempotence)))
def test_no_event_makes_a_gateway_raise_or_lose_a_request(steps: list[Any], effect: Idempotence) -> None:
    gateway = GatewayDriver(
        make_settings(
            classes=(make_class(idempotence=effect, deduplication_scope=DeduplicationScope.SHARD),),
            has_peer_messages=True,
            plans=(LIMITED, make_plan(reserved_rate=5.0)),
        ),
        nodes=2,
    )
    owed: dict[int, float] = {}
    gone: set[int] = set()
    for event, pause in steps:
        if isinstance(event, int):
            owed[gateway.request(event, shard=event - 1, plan_index=event % 2)] = gateway.now + 4
        else:
            gateway.handle(event)
            if isinstance(event, ClientDisconnected):
                gone.add(event.id)
            if isinstance(event, Outcome) and event.final:
                gone.add(event.id)
        gateway.run(gateway.now + pause)
    gateway.run(gateway.now + 4)
    for ident in owed.keys() - gone:
        pending = gateway.scheduler.requests.get(ident)
        assert ident in gateway.final_answers or (pending is not None and pending.has_open_attempt())


def test_a_retry_says_until_when_its_node_drops_it(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Brink, zone: a repeat that waited for its connection reached its node behind the window."""
    gateway = make_gateway(
        classes=(
            make_class(
                idempotence=Idempotence.WITH_KEY,
                deduplication_scope=DeduplicationScope.SHARD,
                deduplication_window_s=1.0,
            ),
        )
    )
    ident = gateway.request(1, timeout_s=4.0)
    assert gateway.sends[-1][1].write_within_s == 0.0  # a first attempt has no such bound
    gateway.run(gateway.now + 0.75)
    gateway.answer(ident, Result.RESET)
    assert gateway.attempts[ident] == 2 and gateway.sends[-1][1].write_within_s == pytest.approx(0.25 - 2 * 0.002)
    gateway.run(gateway.now + 0.1)
    gateway.answer(ident, Result.CONNECT_FAILED)  # never ran: the first still counts
    assert gateway.sends[-1][1].write_within_s == pytest.approx(0.15 - 2 * 0.002)
    gateway.run(gateway.now + 0.147)
    gateway.answer(ident, Result.CONNECT_FAILED)
    assert gateway.attempts[ident] == 3 and ident in gateway.final_answers  # at the very end of the window: no more


def test_idempotent_retries_and_those_of_what_never_ran_have_no_window(
    make_gateway: Callable[..., GatewayDriver],
) -> None:
    for effect, result in (
        (Idempotence.IDEMPOTENT, Result.RESET),
        (Idempotence.WITH_KEY, Result.OVERLOADED),
        (Idempotence.NON_IDEMPOTENT, Result.OVERLOADED),
    ):
        gateway = make_gateway(classes=(make_class(idempotence=effect, deduplication_window_s=1.0),))
        ident = gateway.request(1)
        gateway.answer(ident, result)
        assert gateway.attempts[ident] == 2 and gateway.sends[-1][1].write_within_s == 0.0


@pytest.mark.parametrize("within", [0.0, 4.0, 10.0, 600.0])
@pytest.mark.parametrize("objective_s", [0.1, 4.0, 60.0])
def test_a_failed_poll_is_repeated_soon_whatever_the_settings(within: float, objective_s: float) -> None:
    """What is missed counts as told 6 s after it could be had, however rarely the settings want the list asked for."""
    gateway = GatewayDriver(
        make_settings(
            polls_endpoints=True,
            poll_interval_s=within,
            classes=(make_class(latency_objective_s=objective_s, deadline_s=100.0),),
        )
    )
    for _ in range(20):
        failed = gateway.now
        gateway.handle(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
        before, acts = len(gateway.timers), list[object]()
        while SetWatch(True) not in acts and gateway.now < failed + 10:
            due = min(t for t in gateway.timers)
            gateway.timers.remove(due)
            gateway.now = max(gateway.now, due[0])
            acts = gateway.handle(Timer(due[1]))
        assert before and 0.05 < gateway.now - failed <= 0.81


@pytest.mark.parametrize("grace", [0.25, 1.0, 8.0])
def test_where_lists_are_pushed_a_broken_watch_is_opened_inside_the_grace(grace: float) -> None:
    """What the service has counts as told at once there, whether or not a watch stands."""
    gateway = GatewayDriver(make_settings(polls_endpoints=False, drain_grace_s=grace))
    for _ in range(20):
        failed, acts = gateway.now, list[object]()
        gateway.handle(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
        while FetchEndpoints() not in acts and gateway.now < failed + 10:
            due = min(gateway.timers)
            gateway.timers.remove(due)
            gateway.now = max(gateway.now, due[0])
            acts = gateway.handle(Timer(due[1]))
        assert 0.05 < gateway.now - failed <= min(0.81, grace / 2 + 0.01)
