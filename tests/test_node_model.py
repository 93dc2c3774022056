"""How a node behaves, by calls alone."""

from __future__ import annotations

import math
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from fawnspool.model.node import NodeBehaviour, NodeTraits, Work


def node(started: float = -math.inf, **traits: float | int | str | bool) -> NodeBehaviour:
    return NodeBehaviour(
        NodeTraits(**({"cores": 2, "unit_time": 0.1, "spread": 0.0} | traits)),  # type: ignore[arg-type]
        Random(1),
        started,
    )


def test_cores_work_and_the_rest_waits_in_order() -> None:
    n = node()
    for k in range(4):
        assert n.arrive(0.0, Work(k, 1.0 + k))
    assert n.load("queue") == 2 and n.load("inflight") == 4 and n.load("util") == 1.0
    assert math.isclose(n.due(), 0.1)
    assert [(w.ident, round(w.ends, 3)) for w in n.step(1.0)] == [(0, 0.1), (1, 0.2), (2, 0.4), (3, 0.6)]


def test_a_full_room_turns_away() -> None:
    n = node(room=1)
    assert [n.arrive(0.0, Work(k, 1.0)) for k in range(4)] == [True, True, True, False]


def test_cold_is_slower_and_warms_evenly() -> None:
    n = node(started=0.0, cold_from=0.25, warm_after=10.0)
    assert n.warmth(0.0) == 0.25 and n.warmth(5.0) == 0.625 and n.warmth(20.0) == 1.0
    n.arrive(0.0, Work(1, 1.0))
    assert math.isclose(n.due(), 0.4)


def test_what_presses_on_it_slows_what_starts() -> None:
    n = node()
    n.pace.slow, n.pace.taken = 2.0, 0.5
    n.arrive(0.0, Work(1, 1.0))
    assert math.isclose(n.due(), 0.4)


def test_a_pause_pushes_back_what_runs_and_what_starts() -> None:
    n = node(cores=1)
    n.arrive(0.0, Work(1, 1.0))
    n.arrive(0.0, Work(2, 1.0))
    n.pause(0.05, 1.0)
    n.pause(0.10, 0.2)  # within the first: nothing more
    assert [(w.ident, round(w.ends, 3)) for w in n.step(3.0)] == [(1, 1.1), (2, 1.2)]


def test_runs_save_work_at_first_attempts_only() -> None:
    n = node(cores=1, seek_saved=0.5, remembers=2)
    ends = []
    for work in (
        Work(1, 1.0, extent=7),
        Work(2, 1.0, extent=7),
        Work(3, 1.0, extent=7, first=False),
        Work(4, 1.0, extent=8),
        Work(5, 1.0, extent=9),
        Work(6, 1.0, extent=7),
    ):
        n.arrive(0.0, work)
    before = 0.0
    for w in n.step(9.0):
        ends.append(round(w.ends - before, 3))
        before = w.ends
    assert ends == [0.1, 0.05, 0.1, 0.1, 0.1, 0.1]  # 7 was forgotten behind 8 and 9


def test_deferred_writes_are_done_in_one_go() -> None:
    n = node(cores=1, deferred=0.5, flush_every=1.0)
    n.arrive(0.0, Work(1, 2.0, writes=True))
    assert math.isclose(n.step(0.5)[0].ends, 0.1) and math.isclose(n.deferred_units, 1.0)
    n.arrive(1.2, Work(2, 1.0))
    assert math.isclose(n.step(2.0)[0].ends, 1.4)  # behind the put-off half


def test_expired_and_cancelled_work() -> None:
    n = node(cores=1)
    n.arrive(0.0, Work(1, 1.0))
    n.arrive(0.0, Work(2, 1.0, until=0.05))
    n.arrive(0.0, Work(3, 1.0))
    assert [w.ident for w in n.expired(0.06)] == [2]
    assert n.cancel(0.07, 1) and math.isclose(n.due(), 0.17) and not n.cancel(0.07, 99)
    stubborn = node(cores=1, cancels="queued")
    stubborn.arrive(0.0, Work(1, 1.0))
    stubborn.arrive(0.0, Work(2, 1.0))
    assert stubborn.cancel(0.0, 2) and not stubborn.cancel(0.0, 1)


def test_too_much_while_cold_brings_it_down_and_the_promised_units_never_do() -> None:
    n = node(started=0.0, cold_from=0.25, warm_after=10.0, fall=2.0, fall_multiple=2.0, fall_slack=0.0)
    bears = 2.0 * n.power(0.0) * 2.0
    for k in range(int(bears)):
        n.arrive(0.001 * k, Work(k, 1.0))
    assert not n.fallen
    for k in range(12):
        n.arrive(0.1, Work(100 + k, 1.0))
    assert n.fallen
    warm = node()
    for k in range(500):
        warm.arrive(0.0, Work(k, 8.0))
    assert not warm.fallen


STEPS = st.lists(st.tuples(st.floats(0, 0.2), st.integers(1, 8), st.booleans()), min_size=1, max_size=60)


@given(STEPS, st.integers(1, 4))
def test_every_work_ends_once_in_order_on_its_cores(steps: list[tuple[float, int, bool]], cores: int) -> None:
    n = NodeBehaviour(NodeTraits(cores=cores, unit_time=0.02, room=30, deferred=0.3, seek_saved=0.5), Random(3), 0.0)
    now, taken, ended = 0.0, [], []
    for k, (pause, units, writes) in enumerate(steps):
        now += pause
        ended += [w.ident for w in n.step(now)]
        if n.arrive(now, Work(k, float(units), writes, extent=units)):
            taken.append(k)
        assert len(n.running) <= cores + 1  # the put-off work of writes may stand beside them
        assert len(n.waiting) <= 30
    last = -1.0
    for w in n.step(math.inf):
        assert w.ends >= last
        last = w.ends
        ended.append(w.ident)
    assert sorted(ended) == taken


def test_what_ends_unseen_between_two_steps_is_told_by_the_next() -> None:
    """An arrival moves the node's time on; what ended until then was once forgotten, and never answered."""
    n = node(cores=1)
    assert n.arrive(0.0, Work(1, 1.0))
    late = n.due() + 0.001
    assert n.arrive(late, Work(2, 1.0))
    assert n.due() == -math.inf
    assert [w.ident for w in n.step(late)] == [1] and n.step(late) == [] and n.due() > late


def test_what_ends_unseen_is_told_though_the_arrival_is_turned_away() -> None:
    n = node(cores=1, room=1)
    for k in (1, 2):
        assert n.arrive(0.0, Work(k, 1.0))
    first = n.due()
    n.arrive(first + 0.0001, Work(3, 1.0))
    assert not n.arrive(first + 0.0002, Work(4, 1.0))
    assert [w.ident for w in n.step(first + 0.0003)] == [1]


def test_what_is_dropped_as_it_moves_up_is_told_as_dropped() -> None:
    n = node(cores=1, drops_expired=True)
    n.arrive(0.0, Work(1, 1.0))
    n.arrive(0.0, Work(2, 1.0, until=0.0001))
    end = n.due()
    assert [w.ident for w in n.step(end)] == [1]
    assert [w.ident for w in n.expired(end)] == [2] and n.expired(end) == []


@given(
    st.lists(st.tuples(st.floats(0, 0.05), st.booleans(), st.floats(0.02, 2.0)), min_size=1, max_size=60), st.booleans()
)
def test_every_work_ends_once(rows: list[tuple[float, bool, float]], drops: bool) -> None:
    n, now, told, taken = node(cores=2, room=4, drops_expired=drops, deferred=0.3), 0.0, [], []
    for k, (pause, steps, left) in enumerate(rows):
        now += pause
        if n.arrive(now, Work(k + 1, 1.0 + k % 3, writes=k % 2 == 0, until=now + left)):
            taken.append(k + 1)
        if steps:
            told += [w.ident for w in (*n.step(now), *n.expired(now))]
    for _ in range(400):
        now = max(now, min(n.due(), now + 1.0))
        told += [w.ident for w in (*n.step(now), *n.expired(now))]
    assert sorted(told) == taken
