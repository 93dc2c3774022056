"""Counts that only grow: they merge alike in any order, outlive restarts, and are read as an interval."""

from __future__ import annotations

import itertools
import math
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.gossip.grow_only_counter import (
    INCARNATIONS_PER_GATEWAY,
    MAX_GATEWAYS,
    CounterEntry,
    GrowOnlyCounter,
)

SMALL = st.integers(0, 5).map(float)
ENTRIES = st.builds(CounterEntry, st.integers(0, 3), st.integers(1, 4), SMALL, SMALL)


def merged(*states: Any) -> GrowOnlyCounter:
    counter = GrowOnlyCounter()
    for state in states:
        counter.merge(state)
    return counter


@given(st.lists(ENTRIES, max_size=12), st.randoms(use_true_random=False))
def test_counts_merge_alike_in_any_order_doubled_and_by_parts(found: list[CounterEntry], random: Random) -> None:
    doubled = [*found, *found]
    random.shuffle(doubled)
    first_half = merged(found[: len(found) // 2])
    relayed = (entry for entries in first_half.entries.values() for entry in entries)
    at_once = merged(found).entries
    one_by_one = merged(*([entry] for entry in doubled)).entries
    by_parts = merged(found[len(found) // 2 :], relayed).entries
    assert at_once == one_by_one == by_parts


def count_differing_triples(kind: type[GrowOnlyCounter]) -> int:
    """Of all states of two gateways with two incarnations and two values each, taken three at a time in all six orders
    and once with one of them doubled: triples that do not end alike."""
    rows = [
        CounterEntry(gateway_id, incarnation, value, 0.0)
        for gateway_id in (0, 1)
        for incarnation in (1, 2)
        for value in (1.0, 2.0)
    ]
    states = [state for size in (0, 1, 2) for state in itertools.combinations(rows, size)]
    assert len(states) == 37 and math.comb(37, 3) == 7770
    differing = 0
    for triple in itertools.combinations(states, 3):
        ends = set()
        for order in (*itertools.permutations(triple), (*triple, triple[0])):
            counter = kind()
            for state in order:
                counter.merge(state)
            ends.add(tuple(sorted(counter.entries.items())))
        differing += len(ends) > 1
    return differing


def test_counts_merge_alike_in_every_order_of_three_states() -> None:
    assert not count_differing_triples(GrowOnlyCounter)


class Adds(GrowOnlyCounter):
    def merge(self, news: Any) -> bool:
        for entry in news:
            had = sum(known.value for known in self.entries.get(entry.gateway_id, ()))
            self.entries[entry.gateway_id] = (CounterEntry(entry.gateway_id, 1, had + entry.value, 0.0),)
        return True


class LastWins(GrowOnlyCounter):
    def merge(self, news: Any) -> bool:
        for entry in news:
            self.entries[entry.gateway_id] = (entry,)
        return True


class ForgetsIncarnations(GrowOnlyCounter):
    """A later incarnation wins only where it says more."""

    def merge(self, news: Any) -> bool:
        for entry in news:
            had = self.entries.get(entry.gateway_id)
            if had is None or entry.value > had[0].value:
                self.entries[entry.gateway_id] = (entry,)
        return True


class KeepsFirst(GrowOnlyCounter):
    def merge(self, news: Any) -> bool:
        for entry in news:
            self.entries.setdefault(entry.gateway_id, (entry,))
        return True


class FoldsLate(GrowOnlyCounter):
    """What is known of an earlier incarnation is added to the later one when that is first heard."""

    def merge(self, news: Any) -> bool:
        for entry in news:
            had = self.entries.get(entry.gateway_id)
            if had is None or (entry.incarnation == had[0].incarnation and entry.value > had[0].value):
                self.entries[entry.gateway_id] = (entry,)
            elif entry.incarnation > had[0].incarnation:
                total = had[0].value + entry.value
                self.entries[entry.gateway_id] = (CounterEntry(entry.gateway_id, entry.incarnation, total, 0.0),)
        return True


class SumsEqual(GrowOnlyCounter):
    def merge(self, news: Any) -> bool:
        said_more = super().merge(news)
        if not said_more:
            for gateway_id, entries in self.entries.items():
                self.entries[gateway_id] = tuple(
                    CounterEntry(known.gateway_id, known.incarnation, known.value + 1, known.at) for known in entries
                )
        return said_more


@pytest.mark.parametrize("kind", [Adds, LastWins, ForgetsIncarnations, KeepsFirst, FoldsLate, SumsEqual])
def test_mistakes_in_merging_are_found(kind: type[GrowOnlyCounter]) -> None:
    assert count_differing_triples(kind)


def test_a_restart_takes_nothing_away_and_tables_do_not_grow() -> None:
    counter = merged(*([CounterEntry(0, incarnation, 10.0, float(incarnation))] for incarnation in range(1, 9)))
    assert len(counter.entries[0]) == INCARNATIONS_PER_GATEWAY
    assert counter.interval(9.0, 1, 5.0, 0.0).at_least == 10.0 * INCARNATIONS_PER_GATEWAY
    counter.merge([CounterEntry(0, 3, 99.0, 9.0)])  # of an incarnation that was dropped long ago
    assert counter.interval(9.0, 1, 5.0, 0.0).at_least == 10.0 * INCARNATIONS_PER_GATEWAY
    counter.merge(CounterEntry(gateway_id, 1, 1.0, float(gateway_id)) for gateway_id in range(1, 500))
    assert len(counter.entries) == MAX_GATEWAYS


def test_a_count_is_read_as_an_interval() -> None:
    counter = merged([CounterEntry(0, 1, 10.0, 100.0), CounterEntry(1, 1, 5.0, 98.0)])
    interval = counter.interval(100.0, 2, 3.0, 4.0)
    assert (interval.at_least, interval.at_most) == (15.0, 15.0 + 4.0 + 6.0)
    assert (interval.age_s, interval.heard, interval.unheard) == (2.0, 2, 0)
    with_unheard = counter.interval(100.0, 3, 3.0, 4.0)
    assert with_unheard.unheard == 1 and math.isinf(with_unheard.at_most)
