"""Decisions on connections: whatever the limits, sums fit, floods drive out their own kind, ends come in order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from fawnspool.connections.decide import (
    LONG_PART,
    OWN_FILES,
    Kind,
    crowded,
    ending,
    makes_room,
    places,
    reads_again,
    takes_long,
)


@given(st.integers(128, 4096), st.integers(1, 20))
def test_places_fit_the_limit_and_leave_clients_their_third(descriptors: int, cells: int) -> None:
    p = places(descriptors, cells)
    assert p.clients + p.node * cells + OWN_FILES <= descriptors or p.node == 4
    assert p.clients >= descriptors // 3 or descriptors < 3 * OWN_FILES + 64
    assert p.crowd < descriptors / 3 and p.crowd <= p.clients


@given(st.integers(0, 1000), st.integers(0, 1000))
def test_the_more_numerous_kind_makes_room_and_never_an_empty_one(kept: int, silent: int) -> None:
    kind = makes_room(kept, silent)
    assert (kind is None) == (kept == silent == 0)
    if kind is not None:
        assert {Kind.KEPT: kept, Kind.SILENT: silent}[kind] == max(kept, silent)


def test_a_crowd_begins_at_its_figure_and_nowhere_without_one() -> None:
    assert [crowded(n, 64) for n in (0, 63, 64, 200)] == [False, False, True, True]
    assert not crowded(1000, 0)


@given(st.floats(0, 1e6), st.floats(0, 2), st.floats(0, 10))
def test_an_end_comes_in_order_and_before_the_kill(told: float, new_for: float, killed_after: float) -> None:
    e = ending(told, new_for, killed_after)
    assert told <= e.refuse <= e.close <= e.answered <= e.gone <= told + killed_after
    assert e.unused >= told


@given(st.lists(st.integers(1, 1 << 20), max_size=200), st.integers(16 << 20, 1 << 30))
def test_long_bodies_never_hold_more_than_their_part(sizes: list[int], memory: int) -> None:
    held = 0
    for size in sizes:
        held += size * takes_long(size, held, memory)
    assert held <= memory // LONG_PART and takes_long(1 << 20, 0, memory)


def test_a_configuration_is_read_again_for_a_while_only() -> None:
    pauses = [reads_again(k) for k in range(1, 20)]
    assert pauses[0] and pauses[-1] is None and 0.5 < sum(p for p in pauses if p) < 2.0
