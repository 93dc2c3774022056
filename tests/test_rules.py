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
from tests.conftest import Head, entry, make_class, make_plan, make_settings

MAYBE = [Result.ERROR, Result.TIMED_OUT, Result.RESET, Result.CANCELLED]
NEVER = [Result.OVERLOADED, Result.CONNECT_FAILED]

# ------------------------------------------------------------- one final answer


def test_held_request_is_answered_before_its_client_gives_up(head: Callable[..., Head]) -> None:
    h = head(nodes=0)
    h.give(EndpointUpdate(UpdateKind.SNAPSHOT, 3, (entry(10, 0, Phase.DRAINING),)))
    ident = h.ask(1, patience=0.9)
    h.run(h.now + 0.9)
    assert isinstance(h.ends[ident], RejectRequest)


def test_request_with_almost_no_time_is_answered_at_once(head: Callable[..., Head]) -> None:
    """Portland incident: a client's last try came with less time than the next look."""
    h = head()
    for _ in range(2):
        h.ask(1)
    ident = h.ask(1, patience=0.01)
    assert ident in h.ends


def test_time_out_at_the_deadline_gets_its_answer(head: Callable[..., Head]) -> None:
    h = head(classes=(make_class(idempotence=Idempotence.NON_IDEMPOTENT),))
    ident = h.ask(1)
    h.run(h.now + 4)
    h.answer(ident, Result.TIMED_OUT, took=4.0)
    assert isinstance(h.ends[ident], FailRequest)


def test_late_repeat_is_refused_at_once_where_others_wait(head: Callable[..., Head]) -> None:
    """Brasov incident of a surge with retries: late repeats took places from what could be in time."""
    h = head().warm()
    while not h.control.node_queues[0].queue.queued:
        h.ask(1)
    assert isinstance(h.ends[h.ask(2, patience=2.0, repeat=True)], RejectRequest)


def test_late_repeat_is_served_by_an_idle_node(head: Callable[..., Head]) -> None:
    h = head().warm()
    assert h.ask(2, patience=2.0, repeat=True) in h.sent()


def test_nothing_goes_out_after_the_client_left(head: Callable[..., Head]) -> None:
    h = head()
    a, b, c = h.ask(1), h.ask(1), h.ask(1)
    h.give(ClientDisconnected(c))
    assert Cancel(a, 0) in h.give(ClientDisconnected(a))
    h.answer(a, Result.CANCELLED, final=True)
    h.answer(b)
    h.run(h.now + 5)
    assert c not in h.sent()
    assert h.tries[a] == 1
    assert not h.ends and not h.control.requests


# --------------------------------------------------------------------- effects


@pytest.mark.parametrize("result", MAYBE)
def test_unsafe_that_may_have_run_fails_and_never_goes_again(head: Callable[..., Head], result: Result) -> None:
    h = head(classes=(make_class(idempotence=Idempotence.NON_IDEMPOTENT),))
    ident = h.ask(1)
    h.answer(ident, result)
    assert isinstance(h.ends[ident], FailRequest)
    assert h.tries[ident] == 1


@pytest.mark.parametrize("result", NEVER)
@pytest.mark.parametrize("effect", list(Idempotence))
def test_what_never_ran_goes_again(head: Callable[..., Head], result: Result, effect: Idempotence) -> None:
    h = head(classes=(make_class(idempotence=effect, deduplication_scope=DeduplicationScope.SHARD),))
    ident = h.ask(1)
    h.answer(ident, result)
    h.run(h.now + 0.5)
    assert h.tries[ident] == 2


def test_keyed_goes_again_to_its_own_cell_within_the_window(head: Callable[..., Head]) -> None:
    h = head(
        classes=(make_class(idempotence=Idempotence.WITH_KEY, deduplication_scope=DeduplicationScope.SHARD),), nodes=3
    )
    ident = h.ask(1, cell=-1)
    h.answer(ident, Result.ERROR)
    nodes = {s.node for _, s in h.sends}
    assert h.tries[ident] == 2 and len(nodes) == 1


def test_keyed_past_its_window_fails(head: Callable[..., Head]) -> None:
    h = head(
        classes=(
            make_class(
                idempotence=Idempotence.WITH_KEY,
                deduplication_scope=DeduplicationScope.SHARD,
                deduplication_window_s=0.5,
            ),
        )
    )
    ident = h.ask(1)
    h.run(h.now + 0.6)
    h.answer(ident, Result.ERROR)
    assert isinstance(h.ends[ident], FailRequest)


def test_tries_stay_within_the_limit(head: Callable[..., Head]) -> None:
    h = head(max_attempts=3)
    ident = h.ask(1)
    for _ in range(3):
        h.answer(ident, Result.ERROR)
    assert h.tries[ident] == 3
    assert ident in h.ends


# ---------------------------------------------------------------------- drains


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.GONE])
def test_drained_node_gets_nothing_more(head: Callable[..., Head], phase: Phase) -> None:
    h = head(nodes=2)
    a, _ = h.ask(1), h.ask(1)
    held, fresh = h.ask(1), h.ask(2, cell=-1)
    h.give(EndpointUpdate(UpdateKind.DELTA, 3, (entry(10, 0, phase),)))
    mark = len(h.sends)
    h.answer(a, Result.ERROR)
    h.ask(3, cell=-1)
    h.run(h.now + 0.2)
    assert all(s.node != 10 for _, s in list(h.sends)[mark:])
    assert fresh in h.sent()
    h.give(EndpointUpdate(UpdateKind.DELTA, 4, (entry(20, 0),)))
    assert (held in h.sent()) != (held in h.ends)


def test_node_missing_from_a_whole_list_is_gone(head: Callable[..., Head]) -> None:
    h = head(nodes=2)
    h.give(EndpointUpdate(UpdateKind.SNAPSHOT, 3, (entry(11, 1),)))
    h.ask(1, cell=0)
    assert not h.sends


def test_list_is_asked_for_at_once_and_again_after_a_failure() -> None:
    h = Head(make_settings(polls_endpoints=True), live=False)
    start = make_settings(polls_endpoints=True)
    assert SetWatch(True) in Head(start, live=False).control.handle(1.0, EndpointUpdate(UpdateKind.CACHED, 1, ()))
    seen: list[Any] = []
    h.give(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
    while h.timers and h.now < 108:
        at, token = h.timers.pop(0)
        h.now = max(h.now, at)
        seen += h.give(Timer(token))
    assert seen.count(SetWatch(True)) == 1


def test_pushed_list_is_fetched_once_by_a_fresh_head() -> None:
    h = Head(make_settings(), live=False)
    assert FetchEndpoints() in h.control.handle(1.0, EndpointUpdate(UpdateKind.CACHED, 1, ()))


# ------------------------------------------------------------------ cold nodes


def fed(heads: list[Head], node: int, since: float, until: float, units: float) -> float:
    return sum(units for h in heads for t, s in h.sends if s.node == node and since < t <= until)


@given(units=st.sampled_from([1.0, 2.0, 4.0]), count=st.integers(1, 5), rate=st.integers(1, 6))
def test_all_heads_together_keep_to_a_cold_nodes_budget(units: float, count: int, rate: int) -> None:
    settings = make_settings(gateway_count=count, slow_start_units=16.0)
    heads = [Head(settings, seed=k) for k in range(count)]
    start = 100.0
    for h in heads:
        h.give(EndpointUpdate(UpdateKind.DELTA, 3, (entry(10, 0, started=start),)))
    for step in range(60):
        for h in heads:
            h.run(start + step * 0.1)
            for _ in range(rate):
                h.ask(step % 3, units=units)
            while h.sends and h.sends[-1][1].id in h.control.requests and h.control.node_queues[0].in_flight:
                h.answer(next(iter(h.control.node_queues[0].in_flight))[0])
    for end in range(60):
        window = start + end * 0.1
        capacity = 1 + 3 * max(0.0, window - 2 - start) / 10
        assert fed(heads, 10, window - 2, window, units) <= 16.0 * capacity + 1e-6


def test_node_that_was_away_is_taken_for_cold(head: Callable[..., Head]) -> None:
    h = head()
    h.ask(1)
    for _ in range(3):
        h.answer(h.sent()[-1], Result.CONNECT_FAILED)
        h.run(h.now + 1.1)
        if h.sent()[-1] in h.ends:
            h.ask(1)
    h.answer(h.sent()[-1])
    assert h.control.node_queues[0].slow_start.started_at is not None


def test_single_resets_at_a_live_node_do_not_ban_it(head: Callable[..., Head]) -> None:
    """Brasov incident: a tenth of the attempts reset while the others were answered."""
    h = head()
    for _ in range(20):
        ident = h.ask(1)
        h.answer(ident, Result.RESET)
        h.answer(ident)
    assert h.control.node_queues[0].is_available() and h.control.node_queues[0].slow_start.started_at is None


def test_breaks_of_kept_connections_are_no_signs_and_those_of_new_ones_are(head: Callable[..., Head]) -> None:
    for kept in (True, False):
        h = head().warm()
        for _ in range(3):
            ident = h.ask(1, cell=0)
            h.answer(ident, Result.RESET, final=True, kept=kept)
        assert h.control.node_queues[0].is_available() is kept


def test_silent_node_is_suspected_and_tried_again(head: Callable[..., Head]) -> None:
    h = head(classes=(make_class(latency_objective_s=1.0, deadline_s=20.0),))
    a = h.ask(1, patience=20.0)
    h.run(h.now + 2.0)
    assert h.control.node_queues[0].is_available()  # one unanswered attempt is one sign
    h.run(h.now + 3.0)
    assert not h.control.node_queues[0].is_available()
    h.answer(a)
    assert h.control.node_queues[0].is_available()


# ---------------------------------------------------------------- order by key


def test_requests_of_a_key_run_one_at_a_time_in_order(head: Callable[..., Head]) -> None:
    h = head(classes=(make_class(ordered=True),), settle_after_ambiguity_s=0.3)
    a, b, free = h.ask(1, extent=5), h.ask(2, extent=5), h.ask(3, extent=6)
    assert h.sent() == [a, free]
    h.answer(a)
    assert h.sent() == [a, free, b]


def test_key_rests_after_a_doubtful_end(head: Callable[..., Head]) -> None:
    h = head(classes=(make_class(ordered=True, idempotence=Idempotence.NON_IDEMPOTENT),), settle_after_ambiguity_s=0.3)
    a, b = h.ask(1, extent=5), h.ask(2, extent=5)
    at = h.now
    h.answer(a, Result.RESET)
    assert a in h.ends and b not in h.sent()
    h.run(at + 0.8)
    assert next(t for t, s in h.sends if s.id == b) >= at + 0.3


def test_key_waits_for_the_result_of_an_ended_requests_attempt(head: Callable[..., Head]) -> None:
    h = head(classes=(make_class(ordered=True),))
    a, b = h.ask(1, extent=5), h.ask(2, extent=5)
    h.give(ClientDisconnected(a))
    h.run(h.now + 0.3)
    assert b not in h.sent()
    h.answer(a, Result.SERVED, final=True)
    assert b in h.sent()


# -------------------------------------------------------------- attempt budget


@given(st.lists(st.sampled_from([Result.SERVED, Result.ERROR, Result.OVERLOADED, Result.RESET]), max_size=80))
def test_further_attempts_stay_within_the_budget(results: list[Result]) -> None:
    h = Head(make_settings(retry_budget_minimum=2.0, retry_budget_ratio=0.25, retry_budget_window_s=3.0), nodes=2)
    taken: list[float] = []
    for k, result in enumerate(results):
        taken.append(h.now)
        h.ask(k % 3, cell=k % 2)
        for ident in [i for i, job in h.control.requests.items() if job.has_open_attempt()][:1]:
            h.answer(ident, result)
        h.run(h.now + 0.07)
    seen: set[int] = set()
    extras = []
    for t, s in h.sends:
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
def test_limit_holds_over_all_heads_with_loans_losses_and_restarts(steps: list[Any]) -> None:
    settings = make_settings(plans=(LIMITED,), gateway_count=3, has_peer_messages=True)
    heads = [Head(settings, nodes=2, seed=k) for k in range(3)]
    store, clock, now = 48.0, 100.0, 100.0
    for who, units, pause, restart, lost in steps:
        now += pause
        for h in heads:
            h.run(now)
        if restart == 0:
            heads[who] = Head(settings, nodes=2, now=now)
        h = heads[who]
        marks = [len(x.sends) for x in heads]
        h.ask(1, cell=who % 2, units=units, heads=3)
        told = [a for a in h.control.actions if isinstance(a, SendPeerMessage)]
        for tell in told if not lost else []:
            for k, peer in enumerate(heads):
                if peer is not h and tell.gateway_id in (None, k):
                    for back in peer.give(PeerMessage(who, tell.body)):
                        if isinstance(back, SendPeerMessage):
                            h.give(PeerMessage(k, back.body))
        for x in heads:
            for node_queue in x.control.node_queues.values():
                for ident, _ in list(node_queue.in_flight):
                    x.answer(ident)
        drawn = 0.0
        for x, mark in zip(heads, marks, strict=True):
            first = {s.id for _, s in list(x.sends)[mark:]} - {s.id for _, s in list(x.sends)[:mark]}
            drawn += sum(x.asked[i] for i in first)
        store = min(48.0, store + (now - clock) * 20.0) - drawn
        clock = now
        assert store >= -8.0


def test_idle_heads_lend_their_part() -> None:
    """Portland: one head leads a volume, and its even part alone turned most of it away."""
    settings = make_settings(plans=(LIMITED,), gateway_count=2, has_peer_messages=True)
    lead, idle = Head(settings).warm(), Head(settings).warm()
    for h in (lead, idle):
        ident = h.ask(1, units=1.0, heads=2)
        h.run(h.now + 0.3)
        h.answer(ident)
        h.run(104.0)
    before = idle.control.rate_limits.limiters[1].tokens
    asked = []
    for _ in range(12):
        lead.ask(1, units=4.0, heads=2)
        asked += [a for a in lead.control.actions if isinstance(a, SendPeerMessage)]
    assert asked
    lent = [a for tell in asked for a in idle.give(PeerMessage(0, tell.body)) if isinstance(a, SendPeerMessage)]
    assert lent and idle.control.rate_limits.limiters[1].tokens < before + 20.0
    sent = len(lead.sends)
    lead.give(PeerMessage(1, lent[0].body))
    for node_queue in lead.control.node_queues.values():
        for ident, _ in list(node_queue.in_flight):
            lead.answer(ident)
    assert len(lead.sends) > sent


def test_fresh_head_does_not_assume_a_full_bucket() -> None:
    h = Head(make_settings(plans=(LIMITED,)))
    ident = h.ask(1, units=8.0)
    assert not h.sends
    h.run(h.now + 0.6)
    assert ident in h.sent()


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
def test_nothing_that_is_told_makes_a_head_raise_or_lose_a_request(steps: list[Any], effect: Idempotence) -> None:
    h = Head(
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
            owed[h.ask(event, cell=event - 1, plan=event % 2)] = h.now + 4
        else:
            h.give(event)
            if isinstance(event, ClientDisconnected):
                gone.add(event.id)
            if isinstance(event, Outcome) and event.final:
                gone.add(event.id)
        h.run(h.now + pause)
    h.run(h.now + 4)
    for ident in owed.keys() - gone:
        job = h.control.requests.get(ident)
        assert ident in h.ends or (job is not None and job.has_open_attempt())


def test_a_repeat_says_until_when_its_node_drops_it(head: Callable[..., Head]) -> None:
    """Brink, zone: a repeat that waited for its connection reached its node behind the window."""
    h = head(
        classes=(
            make_class(
                idempotence=Idempotence.WITH_KEY,
                deduplication_scope=DeduplicationScope.SHARD,
                deduplication_window_s=1.0,
            ),
        )
    )
    ident = h.ask(1, patience=4.0)
    assert h.sends[-1][1].write_within_s == 0.0  # a first attempt has no such bound
    h.run(h.now + 0.75)
    h.answer(ident, Result.RESET)
    assert h.tries[ident] == 2 and h.sends[-1][1].write_within_s == pytest.approx(0.25 - 2 * 0.002)
    h.run(h.now + 0.1)
    h.answer(ident, Result.CONNECT_FAILED)  # never ran: the first still counts
    assert h.sends[-1][1].write_within_s == pytest.approx(0.15 - 2 * 0.002)
    h.run(h.now + 0.147)
    h.answer(ident, Result.CONNECT_FAILED)
    assert h.tries[ident] == 3 and ident in h.ends  # at the very end of the window: no more


def test_safe_repeats_and_those_of_what_never_ran_have_no_window(head: Callable[..., Head]) -> None:
    for effect, result in (
        (Idempotence.IDEMPOTENT, Result.RESET),
        (Idempotence.WITH_KEY, Result.OVERLOADED),
        (Idempotence.NON_IDEMPOTENT, Result.OVERLOADED),
    ):
        h = head(classes=(make_class(idempotence=effect, deduplication_window_s=1.0),))
        ident = h.ask(1)
        h.answer(ident, result)
        assert h.tries[ident] == 2 and h.sends[-1][1].write_within_s == 0.0


@pytest.mark.parametrize("within", [0.0, 4.0, 10.0, 600.0])
@pytest.mark.parametrize("aim", [0.1, 4.0, 60.0])
def test_a_failed_call_for_the_list_is_repeated_soon_whatever_the_settings(within: float, aim: float) -> None:
    """What is missed counts as told 6 s after it could be had, however rarely the settings want the list asked for."""
    h = Head(
        make_settings(
            polls_endpoints=True,
            poll_interval_s=within,
            classes=(make_class(latency_objective_s=aim, deadline_s=100.0),),
        )
    )
    for _ in range(20):
        failed = h.now
        h.give(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
        before, acts = len(h.timers), list[object]()
        while SetWatch(True) not in acts and h.now < failed + 10:
            due = min(t for t in h.timers)
            h.timers.remove(due)
            h.now = max(h.now, due[0])
            acts = h.give(Timer(due[1]))
        assert before and 0.05 < h.now - failed <= 0.81


@pytest.mark.parametrize("grace", [0.25, 1.0, 8.0])
def test_where_lists_are_pushed_a_broken_watch_is_opened_inside_the_grace(grace: float) -> None:
    """What the service has counts as told at once there, whether or not a watch stands."""
    h = Head(make_settings(polls_endpoints=False, drain_grace_s=grace))
    for _ in range(20):
        failed, acts = h.now, list[object]()
        h.give(EndpointUpdate(UpdateKind.POLL_FAILED, 0, ()))
        while FetchEndpoints() not in acts and h.now < failed + 10:
            due = min(h.timers)
            h.timers.remove(due)
            h.now = max(h.now, due[0])
            acts = h.give(Timer(due[1]))
        assert 0.05 < h.now - failed <= min(0.81, grace / 2 + 0.01)
