"""The wall clock may be set by any amount at any moment: arrivals and starts are told on the monotonic clock."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.connections.start_times import MAX_OFFSETS, StartTimes
from fawnspool.net.arrival_clock import ArrivalClock

WALL = 1.7e9
LOOKS_S = 0.05
STEPS = [5.0, -5.0, 3600.0, -3600.0, 0.5, -0.5]


def looked_at(until: float) -> ArrivalClock:
    """A clock that was looked at up to `until`, as a head does."""
    clock, now = ArrivalClock(WALL, 0.0), 0.0
    while now < until:
        clock.observe(WALL + now, now)
        now += LOOKS_S
    return clock


def test_a_stamp_tells_how_long_bytes_lay_unread() -> None:
    assert looked_at(100.0).arrival(WALL + 99.85, WALL + 100.0, 100.0) == pytest.approx(99.85, abs=1e-6)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("held_up", [0.0, 0.15])
def test_a_clock_that_is_set_makes_no_fresh_request_old_and_no_old_one_much_younger(
    step: float, held_up: float
) -> None:
    """Set between arrival and reading, after a long quiet time, whether or not the process stands still meanwhile."""
    for came in (300.0, 300.02):
        now = 300.03 + held_up
        got = looked_at(300.0).arrival(WALL + came, WALL + now + step, now)
        assert now - got <= held_up + 0.03 + LOOKS_S and got <= now
        assert got - came <= held_up + 0.03 + LOOKS_S


@pytest.mark.parametrize("step", STEPS)
def test_stamps_behind_a_step_are_right_again(step: float) -> None:
    clock = looked_at(10.0)
    clock.observe(WALL + step + 10.0, 10.0)
    for k in range(1, 100):
        now = 10.0 + 0.01 * k
        assert clock.arrival(WALL + step + now - 0.004, WALL + step + now, now) == pytest.approx(now - 0.004, abs=1e-5)


@given(st.lists(st.tuples(st.floats(0.0, 0.2), st.sampled_from([0.0, *STEPS])), min_size=1, max_size=40))
def test_no_stamp_tells_the_future_or_more_than_the_wait_since_the_last_look(
    reads: list[tuple[float, float]],
) -> None:
    clock, now, wall = ArrivalClock(WALL, 0.0), 0.0, WALL
    for wait, step in reads:
        before = now
        stamp = wall + wait / 2
        now, wall = now + wait, wall + wait + step
        got = clock.arrival(stamp, wall, now)
        assert before - 1e-5 <= got <= now + 1e-5


def test_a_start_is_told_on_the_monotonic_clock_and_once() -> None:
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
@pytest.mark.parametrize("whose", ["this host's", "everyone's"])
def test_no_cold_node_is_taken_for_a_warm_one_where_the_clock_was_set(step: float, whose: str) -> None:
    """It started 2 s ago. Its start may be named in the new time or in the old one."""
    starts = StartTimes()
    starts.observe_clocks(WALL, 100.0)
    starts.observe_clocks(WALL + 50 + step, 150.0)
    named = WALL + 58.0 + (step if whose == "everyone's" else 0.0)
    starts.observe_clocks(WALL + 60 + step, 160.0)
    got = starts.started_at("a", named, 160.0)
    assert 158.0 - 1e-3 <= got <= 160.0


@given(st.lists(st.floats(-1e5, 1e5), max_size=30))
def test_what_is_remembered_is_bounded(offsets: list[float]) -> None:
    starts = StartTimes()
    for k, offset in enumerate(offsets):
        starts.observe_clocks(WALL + offset, 1.0)
        starts.started_at(f"n{k}", WALL + 1, 1.0)
        starts.retain({f"n{k}"})
    assert len(starts._offsets) <= MAX_OFFSETS and len(starts._known) <= 1
