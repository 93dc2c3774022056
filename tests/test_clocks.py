"""Conversion of arrival and start times to the monotonic clock, when the wall clock may be set at any time."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.connections.start_times import MAX_OFFSETS, StartTimes
from fawnspool.net.arrival_clock import ArrivalClock

WALL = 1.7e9
OBSERVATION_INTERVAL_S = 0.05
STEPS = [5.0, -5.0, 3600.0, -3600.0, 0.5, -0.5]


def observed_clock(until: float) -> ArrivalClock:
    """Return a clock that was observed regularly up to `until`, as the server does."""
    clock, now = ArrivalClock(WALL, 0.0), 0.0
    while now < until:
        clock.observe(WALL + now, now)
        now += OBSERVATION_INTERVAL_S
    return clock


def test_timestamp_gives_the_arrival_of_unread_bytes() -> None:
    assert observed_clock(100.0).arrival(WALL + 99.85, WALL + 100.0, 100.0) == pytest.approx(99.85, abs=1e-6)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("stall_s", [0.0, 0.15])
def test_clock_step_bounds_the_error_of_a_requests_age(step: float, stall_s: float) -> None:
    """The clock is set between a request's arrival and its reading, after a long idle time; the process may stall."""
    for arrived_at in (300.0, 300.02):
        now = 300.03 + stall_s
        arrival = observed_clock(300.0).arrival(WALL + arrived_at, WALL + now + step, now)
        assert now - arrival <= stall_s + 0.03 + OBSERVATION_INTERVAL_S and arrival <= now
        assert arrival - arrived_at <= stall_s + 0.03 + OBSERVATION_INTERVAL_S


@pytest.mark.parametrize("step", STEPS)
def test_timestamps_after_an_observed_step_are_exact(step: float) -> None:
    clock = observed_clock(10.0)
    clock.observe(WALL + step + 10.0, 10.0)
    for number in range(1, 100):
        now = 10.0 + 0.01 * number
        assert clock.arrival(WALL + step + now - 0.004, WALL + step + now, now) == pytest.approx(now - 0.004, abs=1e-5)


@given(st.lists(st.tuples(st.floats(0.0, 0.2), st.sampled_from([0.0, *STEPS])), min_size=1, max_size=40))
def test_arrival_lies_between_the_last_observation_and_now(
    reads: list[tuple[float, float]],
) -> None:
    clock, now, wall = ArrivalClock(WALL, 0.0), 0.0, WALL
    for wait_s, step in reads:
        before = now
        stamp = wall + wait_s / 2
        now, wall = now + wait_s, wall + wait_s + step
        arrival = clock.arrival(stamp, wall, now)
        assert before - 1e-5 <= arrival <= now + 1e-5


def test_start_is_converted_once_to_the_monotonic_clock() -> None:
    starts = StartTimes()
    starts.observe_clocks(WALL, 100.0)
    assert starts.started_at("a", 0, 100.0) == 0.0
    assert starts.started_at("a", WALL - 3.0, 100.0) == pytest.approx(97.0)
    starts.observe_clocks(WALL + 10 + 3600, 110.0)
    assert starts.started_at("a", WALL - 3.0, 110.0) == pytest.approx(97.0)
    starts.retain(set())
    starts.observe_clocks(WALL + 20, 120.0)
    assert starts.started_at("a", WALL + 18.0, 120.0) == pytest.approx(118.0)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("clock", ["this host's", "every host's"])
def test_clock_step_never_makes_a_node_start_look_earlier(step: float, clock: str) -> None:
    """The node started 2 s ago; the list reports its start by the clock before or after the step."""
    starts = StartTimes()
    starts.observe_clocks(WALL, 100.0)
    starts.observe_clocks(WALL + 50 + step, 150.0)
    reported = WALL + 58.0 + (step if clock == "every host's" else 0.0)
    starts.observe_clocks(WALL + 60 + step, 160.0)
    started_at = starts.started_at("a", reported, 160.0)
    assert 158.0 - 1e-3 <= started_at <= 160.0


@given(st.lists(st.floats(-1e5, 1e5), max_size=30))
def test_remembered_offsets_and_starts_are_bounded(offsets: list[float]) -> None:
    starts = StartTimes()
    for number, offset in enumerate(offsets):
        starts.observe_clocks(WALL + offset, 1.0)
        starts.started_at(f"n{number}", WALL + 1, 1.0)
        starts.retain({f"n{number}"})
    assert len(starts._offsets) <= MAX_OFFSETS and len(starts._known) <= 1
