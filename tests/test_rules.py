"""The scheduling rules, tested on single schedulers."""

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

MAY_HAVE_RUN = [Result.ERROR, Result.TIMED_OUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.OVERLOADED, Result.CONNECT_FAILED]

# ------------------------------------------------------------- one final answer


def test_queued_request_is_answered_before_its_client_gives_up(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(nodes=0)
    gateway.handle(EndpointUpdate(UpdateKind.SNAPSHOT, 3, (entry(10, 0, Phase.DRAINING),)))
    ident = gateway.request(1, timeout_s=0.9)
    gateway.run(gateway.now + 0.9)
    assert isinstance(gateway.final_answers[ident], RejectRequest)


def test_request_with_almost_no_time_is_answered_at_once(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Guards against a request that expires before the next check, as a client's last try did (Portland)."""
    gateway = make_gateway()
    for _ in range(2):
        gateway.request(1)
    ident = gateway.request(1, timeout_s=0.01)
    assert ident in gateway.final_answers


def test_timeout_at_the_deadline_is_answered(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=(make_class(idempotence=Idempotence.NON_IDEMPOTENT),))
    ident = gateway.request(1)
    gateway.run(gateway.now + 4)
    gateway.answer(ident, Result.TIMED_OUT, elapsed_s=4.0)
    assert isinstance(gateway.final_answers[ident], FailRequest)


def test_late_client_retry_is_rejected_at_once_where_others_wait(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Guards against late client retries that displace requests that can be in time (Brasov surge)."""
    gateway = make_gateway().warm()
    while not gateway.node_queue().queue.queued:
        gateway.request(1)
    assert isinstance(gateway.final_answers[gateway.request(2, timeout_s=2.0, is_client_retry=True)], RejectRequest)


def test_late_client_retry_is_served_by_an_idle_node(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway().warm()
    assert gateway.request(2, timeout_s=2.0, is_client_retry=True) in gateway.sent()


def test_nothing_is_sent_after_the_client_disconnected(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway()
    sent, answered, queued = gateway.request(1), gateway.request(1), gateway.request(1)
    gateway.handle(ClientDisconnected(queued))
    assert Cancel(sent, 0) in gateway.handle(ClientDisconnected(sent))
    gateway.answer(sent, Result.CANCELLED, final=True)
    gateway.answer(answered)
    gateway.run(gateway.now + 5)
    assert queued not in gateway.sent()
    assert gateway.attempts[sent] == 1
    assert not gateway.final_answers and not gateway.scheduler.requests


# ----------------------------------------------------------------- idempotence


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_non_idempotent_request_that_may_have_run_fails_without_a_retry(
    make_gateway: Callable[..., GatewayDriver], result: Result
) -> None:
    gateway = make_gateway(classes=(make_class(idempotence=Idempotence.NON_IDEMPOTENT),))
    ident = gateway.request(1)
    gateway.answer(ident, result)
    assert isinstance(gateway.final_answers[ident], FailRequest)
    assert gateway.attempts[ident] == 1


@pytest.mark.parametrize("result", NEVER_RAN)
@pytest.mark.parametrize("idempotence", list(Idempotence))
def test_request_that_never_ran_is_retried(
    make_gateway: Callable[..., GatewayDriver], result: Result, idempotence: Idempotence
) -> None:
    gateway = make_gateway(classes=(make_class(idempotence=idempotence, deduplication_scope=DeduplicationScope.SHARD),))
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
    nodes = {send.node for _, send in gateway.sends}
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
def test_draining_node_receives_no_requests(make_gateway: Callable[..., GatewayDriver], phase: Phase) -> None:
    gateway = make_gateway(nodes=2)
    in_flight, _ = gateway.request(1), gateway.request(1)
    queued, new_object = gateway.request(1), gateway.request(2, shard=-1)
    gateway.handle(EndpointUpdate(UpdateKind.DELTA, 3, (entry(10, 0, phase),)))
    sends_before = len(gateway.sends)
    gateway.answer(in_flight, Result.ERROR)
    gateway.request(3, shard=-1)
    gateway.run(gateway.now + 0.2)
    assert all(send.node != 10 for _, send in list(gateway.sends)[sends_before:])
    assert new_object in gateway.sent()
    gateway.handle(EndpointUpdate(UpdateKind.DELTA, 4, (entry(20, 0),)))
    assert (queued in gateway.sent()) != (queued in gateway.final_answers)


def test_node_missing_from_a_snapshot_is_gone(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(nodes=2)
    gateway.handle(EndpointUpdate(UpdateKind.SNAPSHOT, 3, (entry(11, 1),)))
    gateway.request(1, shard=0)
    assert not gateway.sends


def test_endpoint_list_is_polled_at_once_and_again_after_a_failure() -> None:
    gateway = GatewayDriver(make_settings(polls_endpoints=True), live=False)
    settings = make_settings(polls_endpoints=True)
    assert SetWatch(True) in GatewayDriver(settings, live=False).scheduler.handle(
        1.0, EndpointUpdate(UpdateKind.CACHED, 1, ())
    )
    actions: list[Any] = []
    gateway.handle(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
    while gateway.timers and gateway.now < 108:
        at, token = gateway.timers.pop(0)
        gateway.now = max(gateway.now, at)
        actions += gateway.handle(Timer(token))
    assert actions.count(SetWatch(True)) == 1


def test_pushed_list_is_fetched_once_by_a_new_gateway() -> None:
    gateway = GatewayDriver(make_settings(), live=False)
    assert FetchEndpoints() in gateway.scheduler.handle(1.0, EndpointUpdate(UpdateKind.CACHED, 1, ()))


# ------------------------------------------------------------------ cold nodes


def units_sent(gateways: list[GatewayDriver], node: int, since: float, until: float, units: float) -> float:
    return sum(units for gateway in gateways for at, send in gateway.sends if send.node == node and since < at <= until)


@given(units=st.sampled_from([1.0, 2.0, 4.0]), count=st.integers(1, 5), rate=st.integers(1, 6))
def test_all_gateways_together_stay_within_a_cold_nodes_budget(units: float, count: int, rate: int) -> None:
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
        assert units_sent(gateways, 10, window - 2, window, units) <= 16.0 * capacity + 1e-6


def test_node_that_refused_connections_is_assumed_cold(make_gateway: Callable[..., GatewayDriver]) -> None:
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
    """Guards against ejecting a node when a tenth of the attempts is reset and the others are answered (Brasov)."""
    gateway = make_gateway()
    for _ in range(20):
        ident = gateway.request(1)
        gateway.answer(ident, Result.RESET)
        gateway.answer(ident)
    assert gateway.node_queue().is_available() and gateway.node_queue().slow_start.started_at is None


def test_only_resets_of_new_connections_are_failures(
    make_gateway: Callable[..., GatewayDriver],
) -> None:
    for reused in (True, False):
        gateway = make_gateway().warm()
        for _ in range(3):
            ident = gateway.request(1, shard=0)
            gateway.answer(ident, Result.RESET, final=True, reused_connection=reused)
        assert gateway.node_queue().is_available() is reused


def test_silent_node_is_ejected_and_recovers(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=(make_class(latency_objective_s=1.0, deadline_s=20.0),))
    ident = gateway.request(1, timeout_s=20.0)
    gateway.run(gateway.now + 2.0)
    assert gateway.node_queue().is_available()  # one unanswered attempt is one failure
    gateway.run(gateway.now + 3.0)
    assert not gateway.node_queue().is_available()
    gateway.answer(ident)
    assert gateway.node_queue().is_available()


# ---------------------------------------------------------------- order by key


def test_requests_of_a_key_run_one_at_a_time_in_order(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=(make_class(ordered=True),), settle_after_ambiguity_s=0.3)
    first, second, other = gateway.request(1, extent=5), gateway.request(2, extent=5), gateway.request(3, extent=6)
    assert gateway.sent() == [first, other]
    gateway.answer(first)
    assert gateway.sent() == [first, other, second]


def test_key_pauses_after_an_ambiguous_end(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(
        classes=(make_class(ordered=True, idempotence=Idempotence.NON_IDEMPOTENT),), settle_after_ambiguity_s=0.3
    )
    first, second = gateway.request(1, extent=5), gateway.request(2, extent=5)
    ended_at = gateway.now
    gateway.answer(first, Result.RESET)
    assert first in gateway.final_answers and second not in gateway.sent()
    gateway.run(ended_at + 0.8)
    assert next(at for at, send in gateway.sends if send.id == second) >= ended_at + 0.3


def test_key_waits_for_the_outcome_of_an_abandoned_attempt(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=(make_class(ordered=True),))
    first, second = gateway.request(1, extent=5), gateway.request(2, extent=5)
    gateway.handle(ClientDisconnected(first))
    gateway.run(gateway.now + 0.3)
    assert second not in gateway.sent()
    gateway.answer(first, Result.SERVED, final=True)
    assert second in gateway.sent()


# ---------------------------------------------------------------- retry budget


@given(st.lists(st.sampled_from([Result.SERVED, Result.ERROR, Result.OVERLOADED, Result.RESET]), max_size=80))
def test_retries_stay_within_the_budget(results: list[Result]) -> None:
    gateway = GatewayDriver(
        make_settings(retry_budget_minimum=2.0, retry_budget_ratio=0.25, retry_budget_window_s=3.0), nodes=2
    )
    requested_at: list[float] = []
    for number, result in enumerate(results):
        requested_at.append(gateway.now)
        gateway.request(number % 3, shard=number % 2)
        for ident in [i for i, pending in gateway.scheduler.requests.items() if pending.has_open_attempt()][:1]:
            gateway.answer(ident, result)
        gateway.run(gateway.now + 0.07)
    seen: set[int] = set()
    retried_at = []
    for at, send in gateway.sends:
        if send.id in seen:
            retried_at.append(at)
        seen.add(send.id)
    for at in retried_at:
        allowed = 2 + 0.25 * sum(at - 3 <= time <= at for time in requested_at)
        assert sum(at - 3 < time <= at for time in retried_at) <= allowed


# ----------------------------------------------------------------- rate limits

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
    tokens, refilled_at, now = 48.0, 100.0, 100.0
    for index, units, pause_s, restart, lost in steps:
        now += pause_s
        for gateway in gateways:
            gateway.run(now)
        if restart == 0:
            gateways[index] = GatewayDriver(settings, nodes=2, now=now)
        gateway = gateways[index]
        sends_before = [len(other.sends) for other in gateways]
        gateway.request(1, shard=index % 2, units=units, gateway_count=3)
        messages = [action for action in gateway.scheduler.actions if isinstance(action, SendPeerMessage)]
        for message in messages if not lost else []:
            for peer_index, peer in enumerate(gateways):
                if peer is not gateway and message.gateway_id in (None, peer_index):
                    for reply in peer.handle(PeerMessage(index, message.body)):
                        if isinstance(reply, SendPeerMessage):
                            gateway.handle(PeerMessage(peer_index, reply.body))
        for other in gateways:
            for node_queue in other.scheduler.node_queues.values():
                for ident, _ in list(node_queue.in_flight):
                    other.answer(ident)
        drawn = 0.0
        for other, count in zip(gateways, sends_before, strict=True):
            first = {send.id for _, send in list(other.sends)[count:]} - {
                send.id for _, send in list(other.sends)[:count]
            }
            drawn += sum(other.units[request_id] for request_id in first)
        tokens = min(48.0, tokens + (now - refilled_at) * 20.0) - drawn
        refilled_at = now
        assert tokens >= -8.0


def test_idle_gateway_lends_its_units() -> None:
    """Guards against rejecting most requests of a volume that uses one gateway, whose even part is small (Portland)."""
    settings = make_settings(plans=(LIMITED,), gateway_count=2, has_peer_messages=True)
    busy, idle = GatewayDriver(settings).warm(), GatewayDriver(settings).warm()
    for gateway in (busy, idle):
        ident = gateway.request(1, units=1.0, gateway_count=2)
        gateway.run(gateway.now + 0.3)
        gateway.answer(ident)
        gateway.run(104.0)
    before = idle.scheduler.rate_limits.limiters[1].tokens
    requests = []
    for _ in range(12):
        busy.request(1, units=4.0, gateway_count=2)
        requests += [action for action in busy.scheduler.actions if isinstance(action, SendPeerMessage)]
    assert requests
    grants = [
        action
        for request in requests
        for action in idle.handle(PeerMessage(0, request.body))
        if isinstance(action, SendPeerMessage)
    ]
    assert grants and idle.scheduler.rate_limits.limiters[1].tokens < before + 20.0
    sends_before = len(busy.sends)
    busy.handle(PeerMessage(1, grants[0].body))
    for node_queue in busy.scheduler.node_queues.values():
        for ident, _ in list(node_queue.in_flight):
            busy.answer(ident)
    assert len(busy.sends) > sends_before


def test_new_gateway_does_not_assume_a_full_bucket() -> None:
    gateway = GatewayDriver(make_settings(plans=(LIMITED,)))
    ident = gateway.request(1, units=8.0)
    assert not gateway.sends
    gateway.run(gateway.now + 0.6)
    assert ident in gateway.sent()


# -------------------------------------------------------------- unusual input

unusual_events = st.one_of(
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


@given(st.lists(st.tuples(unusual_events, st.floats(0, 0.4)), max_size=60), st.sampled_from(list(Idempotence)))
def test_unusual_events_neither_raise_nor_lose_a_request(steps: list[Any], idempotence: Idempotence) -> None:
    gateway = GatewayDriver(
        make_settings(
            classes=(make_class(idempotence=idempotence, deduplication_scope=DeduplicationScope.SHARD),),
            has_peer_messages=True,
            plans=(LIMITED, make_plan(reserved_rate=5.0)),
        ),
        nodes=2,
    )
    expires_at: dict[int, float] = {}
    ended: set[int] = set()
    for event, pause_s in steps:
        if isinstance(event, int):
            expires_at[gateway.request(event, shard=event - 1, plan_index=event % 2)] = gateway.now + 4
        else:
            gateway.handle(event)
            if isinstance(event, ClientDisconnected):
                ended.add(event.id)
            if isinstance(event, Outcome) and event.final:
                ended.add(event.id)
        gateway.run(gateway.now + pause_s)
    gateway.run(gateway.now + 4)
    for ident in expires_at.keys() - ended:
        pending = gateway.scheduler.requests.get(ident)
        assert ident in gateway.final_answers or (pending is not None and pending.has_open_attempt())


def test_retry_is_bounded_by_the_deduplication_window(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Guards against a retry that waits for its connection and reaches the node after the window (Brink)."""
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
    assert gateway.sends[-1][1].write_within_s == 0.0  # a first attempt has no bound
    gateway.run(gateway.now + 0.75)
    gateway.answer(ident, Result.RESET)
    assert gateway.attempts[ident] == 2 and gateway.sends[-1][1].write_within_s == pytest.approx(0.25 - 2 * 0.002)
    gateway.run(gateway.now + 0.1)
    gateway.answer(ident, Result.CONNECT_FAILED)  # this attempt never ran, so the window of the first one still applies
    assert gateway.sends[-1][1].write_within_s == pytest.approx(0.15 - 2 * 0.002)
    gateway.run(gateway.now + 0.147)
    gateway.answer(ident, Result.CONNECT_FAILED)
    assert gateway.attempts[ident] == 3 and ident in gateway.final_answers  # at the end of the window no retry is sent


def test_idempotent_and_never_run_requests_are_retried_without_a_bound(
    make_gateway: Callable[..., GatewayDriver],
) -> None:
    for idempotence, result in (
        (Idempotence.IDEMPOTENT, Result.RESET),
        (Idempotence.WITH_KEY, Result.OVERLOADED),
        (Idempotence.NON_IDEMPOTENT, Result.OVERLOADED),
    ):
        gateway = make_gateway(classes=(make_class(idempotence=idempotence, deduplication_window_s=1.0),))
        ident = gateway.request(1)
        gateway.answer(ident, result)
        assert gateway.attempts[ident] == 2 and gateway.sends[-1][1].write_within_s == 0.0


@pytest.mark.parametrize("poll_interval_s", [0.0, 4.0, 10.0, 600.0])
@pytest.mark.parametrize("objective_s", [0.1, 4.0, 60.0])
def test_failed_poll_is_retried_soon_for_any_settings(poll_interval_s: float, objective_s: float) -> None:
    """A missed update counts as known 6 s after it was available, for any poll interval in the settings."""
    gateway = GatewayDriver(
        make_settings(
            polls_endpoints=True,
            poll_interval_s=poll_interval_s,
            classes=(make_class(latency_objective_s=objective_s, deadline_s=100.0),),
        )
    )
    for _ in range(20):
        failed_at = gateway.now
        gateway.handle(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
        before, actions = len(gateway.timers), list[object]()
        while SetWatch(True) not in actions and gateway.now < failed_at + 10:
            due = min(timer for timer in gateway.timers)
            gateway.timers.remove(due)
            gateway.now = max(gateway.now, due[0])
            actions = gateway.handle(Timer(due[1]))
        assert before and 0.05 < gateway.now - failed_at <= 0.81


@pytest.mark.parametrize("drain_grace_s", [0.25, 1.0, 8.0])
def test_failed_watch_is_reopened_within_the_drain_grace(drain_grace_s: float) -> None:
    """Where updates are pushed, they count as known at once, even without an established watch."""
    gateway = GatewayDriver(make_settings(polls_endpoints=False, drain_grace_s=drain_grace_s))
    for _ in range(20):
        failed_at, actions = gateway.now, list[object]()
        gateway.handle(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
        while FetchEndpoints() not in actions and gateway.now < failed_at + 10:
            due = min(gateway.timers)
            gateway.timers.remove(due)
            gateway.now = max(gateway.now, due[0])
            actions = gateway.handle(Timer(due[1]))
        assert 0.05 < gateway.now - failed_at <= min(0.81, drain_grace_s / 2 + 0.01)
