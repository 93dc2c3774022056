"""Datagrams of one peer are accepted once, across restarts and clocks that are set back."""

from __future__ import annotations

from fawnspool.connections.incarnations import TAKEOVER_SILENCE_S, IncarnationFilter


def test_repeats_are_detected_per_incarnation_and_window() -> None:
    datagrams = IncarnationFilter()
    assert [datagrams.accept(5, sequence, 0.0) for sequence in (1, 2, 2, 4, 3, 3, 2000, 900, 2000)] == [
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
    assert datagrams.accept(6, 1, 0.0) and not datagrams.accept(5, 3000, 0.0)


def test_gateway_with_a_clock_set_back_is_accepted_again_without_repeats() -> None:
    datagrams = IncarnationFilter()
    assert datagrams.accept(100, 1, 0.0) and datagrams.accept(100, 2, 1.0)
    assert not datagrams.accept(40, 1, 1.0 + TAKEOVER_SILENCE_S / 2)  # a late datagram of an earlier incarnation
    assert datagrams.accept(40, 1, 1.0 + TAKEOVER_SILENCE_S) and not datagrams.accept(40, 1, 1.1 + TAKEOVER_SILENCE_S)
    assert not datagrams.accept(100, 3, 1.2 + TAKEOVER_SILENCE_S)  # a late datagram of the previous incarnation
    assert datagrams.accept(40, 2, 1.3 + TAKEOVER_SILENCE_S)
    assert datagrams.accept(41, 1, 1.3 + TAKEOVER_SILENCE_S)  # a restart with a higher number is accepted at once
    assert not datagrams.accept(100, 2, 9.0 + 2 * TAKEOVER_SILENCE_S)  # accepted before
    for incarnation in range(200, 210):
        assert datagrams.accept(incarnation, 1, 30.0)
    assert len(datagrams._windows) <= 4


def test_large_step_of_the_sequence_number_is_cheap() -> None:
    datagrams = IncarnationFilter()
    assert datagrams.accept(1, 1, 0.0) and datagrams.accept(1, 2**64 - 1, 0.0) and not datagrams.accept(1, 1, 0.0)
