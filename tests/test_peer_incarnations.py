"""Datagrams of one peer: each counts once, over restarts and clocks that are set back."""

from __future__ import annotations

from fawnspool.connections.incarnations import QUIET, Seen


def test_numbers_seen_are_told_apart_by_life_and_window() -> None:
    seen = Seen()
    assert [seen.first(5, n, 0.0) for n in (1, 2, 2, 4, 3, 3, 2000, 900, 2000)] == [
        True,
        True,
        False,
        True,
        True,
        False,
        True,
        False,
        False,
    ]
    assert seen.first(6, 1, 0.0) and not seen.first(5, 3000, 0.0)


def test_a_head_whose_clock_was_set_back_is_heard_again_and_nothing_counts_twice() -> None:
    seen = Seen()
    assert seen.first(100, 1, 0.0) and seen.first(100, 2, 1.0)
    assert not seen.first(40, 1, 1.0 + QUIET / 2)  # an earlier life's, late
    assert seen.first(40, 1, 1.0 + QUIET) and not seen.first(40, 1, 1.1 + QUIET)
    assert not seen.first(100, 3, 1.2 + QUIET)  # of the life before, late
    assert seen.first(40, 2, 1.3 + QUIET)
    assert seen.first(41, 1, 1.3 + QUIET)  # restarted once more: at once
    assert not seen.first(100, 2, 9.0 + 2 * QUIET)  # heard before
    for life in range(200, 210):
        assert seen.first(life, 1, 30.0)
    assert len(seen.lives) <= 4


def test_a_number_far_ahead_costs_nothing() -> None:
    seen = Seen()
    assert seen.first(1, 1, 0.0) and seen.first(1, 2**64 - 1, 0.0) and not seen.first(1, 1, 0.0)
