"""Datagrams of one peer: each counts once, over restarts and clocks that are set back."""

from __future__ import annotations

from fawnspool.connections.incarnations import TAKEOVER_SILENCE_S, IncarnationFilter


def test_numbers_seen_are_told_apart_by_life_and_window() -> None:
    seen = IncarnationFilter()
    assert [seen.accept(5, n, 0.0) for n in (1, 2, 2, 4, 3, 3, 2000, 900, 2000)] == [
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
    assert seen.accept(6, 1, 0.0) and not seen.accept(5, 3000, 0.0)


def test_a_head_whose_clock_was_set_back_is_heard_again_and_nothing_counts_twice() -> None:
    seen = IncarnationFilter()
    assert seen.accept(100, 1, 0.0) and seen.accept(100, 2, 1.0)
    assert not seen.accept(40, 1, 1.0 + TAKEOVER_SILENCE_S / 2)  # an earlier life's, late
    assert seen.accept(40, 1, 1.0 + TAKEOVER_SILENCE_S) and not seen.accept(40, 1, 1.1 + TAKEOVER_SILENCE_S)
    assert not seen.accept(100, 3, 1.2 + TAKEOVER_SILENCE_S)  # of the life before, late
    assert seen.accept(40, 2, 1.3 + TAKEOVER_SILENCE_S)
    assert seen.accept(41, 1, 1.3 + TAKEOVER_SILENCE_S)  # restarted once more: at once
    assert not seen.accept(100, 2, 9.0 + 2 * TAKEOVER_SILENCE_S)  # heard before
    for life in range(200, 210):
        assert seen.accept(life, 1, 30.0)
    assert len(seen._windows) <= 4


def test_a_number_far_ahead_costs_nothing() -> None:
    seen = IncarnationFilter()
    assert seen.accept(1, 1, 0.0) and seen.accept(1, 2**64 - 1, 0.0) and not seen.accept(1, 1, 0.0)
