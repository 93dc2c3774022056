"""Rules of connection management: descriptor limits, eviction, shutdown order, watch timeouts and states."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.connections.config_reload import retry_delay_s
from fawnspool.connections.descriptor_limits import RESERVED_DESCRIPTORS, divide_descriptors, is_crowded
from fawnspool.connections.eviction import WaitingKind, kind_to_evict
from fawnspool.connections.incarnations import MAX_INCARNATIONS, IncarnationFilter
from fawnspool.connections.shutdown import shutdown_schedule
from fawnspool.connections.states import (
    CloseCause,
    ConnectionEvent,
    ConnectionState,
    IllegalTransitionError,
    next_state,
    owed_status,
)
from fawnspool.connections.watch_timeouts import accepts_older_snapshot, reopens_at_once, watch_timeouts


@given(st.integers(128, 4096), st.integers(1, 3200))
def test_connection_limits_fit_the_descriptors_and_leave_clients_a_third(descriptors: int, shards: int) -> None:
    limits = divide_descriptors(descriptors, shards)
    assert limits.shares.clients + limits.shares.nodes + RESERVED_DESCRIPTORS <= descriptors
    assert limits.clients + limits.per_node + RESERVED_DESCRIPTORS <= descriptors and limits.per_node >= 4
    assert limits.max_with_spares_per_node * shards <= limits.shares.nodes and limits.clients >= limits.shares.clients
    assert limits.clients >= descriptors // 3 or descriptors < 3 * RESERVED_DESCRIPTORS + 64
    assert limits.crowded_from < descriptors / 3 and limits.crowded_from <= limits.clients


@given(st.integers(0, 1000), st.integers(0, 1000))
def test_the_more_numerous_kind_is_evicted_and_never_an_empty_one(idle: int, new: int) -> None:
    kind = kind_to_evict(idle, new)
    assert (kind is None) == (idle == new == 0)
    if kind is not None:
        assert {WaitingKind.IDLE: idle, WaitingKind.NEW: new}[kind] == max(idle, new)


def test_a_server_is_crowded_from_its_limit_on_and_never_without_one() -> None:
    assert [is_crowded(count, 64) for count in (0, 63, 64, 200)] == [False, False, True, True]
    assert not is_crowded(1000, None)


@given(st.floats(0, 1e6), st.floats(0, 2), st.floats(0, 10))
def test_shutdown_times_are_ordered_and_precede_the_kill(
    signalled_at: float, new_connections_s: float, killed_after_s: float
) -> None:
    schedule = shutdown_schedule(signalled_at, new_connections_s, killed_after_s)
    assert signalled_at <= schedule.refuse_at <= schedule.close_idle_at <= schedule.answered_by
    assert schedule.answered_by <= schedule.exit_by <= signalled_at + killed_after_s
    assert schedule.unused_from >= signalled_at


def test_configuration_reads_are_retried_for_a_limited_time() -> None:
    delays = [retry_delay_s(failed) for failed in range(1, 20)]
    assert delays[0] and delays[-1] is None and 0.5 < sum(delay for delay in delays if delay) < 2.0


@pytest.mark.parametrize("heartbeat_s", [0.1, 0.4, 5.0])
def test_silence_and_call_timeouts_fit_into_three_heartbeats(heartbeat_s: float) -> None:
    timeouts = watch_timeouts(heartbeat_s)
    assert heartbeat_s < timeouts.silence_s and heartbeat_s < timeouts.call_s
    assert timeouts.silence_s + timeouts.call_s <= 3 * heartbeat_s * (1 + 1e-9)


@pytest.mark.parametrize("established", [False, True])
@pytest.mark.parametrize("timed_out", [False, True])
def test_only_an_established_watch_that_fell_silent_reopens_at_once(established: bool, timed_out: bool) -> None:
    assert reopens_at_once(established, timed_out) == (established and timed_out)


def test_an_older_snapshot_is_accepted_the_third_time_in_a_row() -> None:
    assert [accepts_older_snapshot(count) for count in (1, 2, 3, 4)] == [False, False, True, True]


def test_filter_remembers_a_bounded_number_of_incarnations() -> None:
    datagrams = IncarnationFilter()
    assert all(datagrams.accept(incarnation, 1, 0.0) for incarnation in range(100))
    assert len(datagrams._windows) == MAX_INCARNATIONS


@given(st.permutations(range(40)))
def test_each_datagram_of_an_incarnation_is_accepted_once_in_any_order(order: list[int]) -> None:
    datagrams = IncarnationFilter()
    assert all(datagrams.accept(7, sequence, 1.0) for sequence in order)
    assert not any(datagrams.accept(7, sequence, 1.0) for sequence in order)


@pytest.mark.parametrize(
    ("state", "cause", "status"),
    [
        (ConnectionState.READING, CloseCause.DEADLINE, 408),
        (ConnectionState.READING, CloseCause.SHUTDOWN, 503),
        (ConnectionState.READING, CloseCause.INTERNAL_ERROR, 500),
        (ConnectionState.READING, CloseCause.PEER_CLOSED, None),
        (ConnectionState.HANDLING, CloseCause.DEADLINE, 408),
        (ConnectionState.HANDLING, CloseCause.SHUTDOWN, 500),
        (ConnectionState.HANDLING, CloseCause.KILLED, 500),
        (ConnectionState.HANDLING, CloseCause.RESET, None),
        (ConnectionState.IDLE, CloseCause.SHUTDOWN, None),
        (ConnectionState.ANSWERING, CloseCause.DEADLINE, None),
    ],
)
def test_status_owed_at_the_end_of_a_connection(state: ConnectionState, cause: CloseCause, status: int | None) -> None:
    assert owed_status(state, cause) == status


REUSED_CONNECTION = [
    (ConnectionEvent.REQUEST_BEGAN, ConnectionState.READING),
    (ConnectionEvent.REQUEST_COMPLETE, ConnectionState.HANDLING),
    (ConnectionEvent.RESPONSE_BEGAN, ConnectionState.ANSWERING),
    (ConnectionEvent.REQUEST_AWAITED, ConnectionState.IDLE),
    (ConnectionEvent.REQUEST_BEGAN, ConnectionState.READING),
    (ConnectionEvent.REQUEST_BEGAN, ConnectionState.READING),
    (ConnectionEvent.RESPONSE_BEGAN, ConnectionState.ANSWERING),  # before the request was complete
    (ConnectionEvent.ENDED, ConnectionState.CLOSING),
]


def test_state_transitions_of_a_reused_connection() -> None:
    state = ConnectionState.NEW
    for event, following in REUSED_CONNECTION:
        state = next_state(state, event)
        assert state is following


@pytest.mark.parametrize("state", ConnectionState)
def test_a_connection_may_end_in_any_state(state: ConnectionState) -> None:
    assert next_state(state, ConnectionEvent.ENDED) is ConnectionState.CLOSING


@pytest.mark.parametrize("state", ConnectionState)
@pytest.mark.parametrize("event", ConnectionEvent)
def test_no_transition_leads_to_new_or_out_of_closing(state: ConnectionState, event: ConnectionEvent) -> None:
    try:
        following = next_state(state, event)
    except IllegalTransitionError:
        return
    assert following is not ConnectionState.NEW
    assert state is not ConnectionState.CLOSING or following is ConnectionState.CLOSING


@pytest.mark.parametrize(
    ("state", "event"),
    [
        (ConnectionState.NEW, ConnectionEvent.RESPONSE_BEGAN),
        (ConnectionState.IDLE, ConnectionEvent.RESPONSE_BEGAN),
        (ConnectionState.IDLE, ConnectionEvent.REQUEST_COMPLETE),
        (ConnectionState.READING, ConnectionEvent.REQUEST_AWAITED),
        (ConnectionState.ANSWERING, ConnectionEvent.RESPONSE_BEGAN),
    ],
)
def test_impossible_event_raises(state: ConnectionState, event: ConnectionEvent) -> None:
    with pytest.raises(IllegalTransitionError, match=r"^event not possible: .* in state "):
        next_state(state, event)
