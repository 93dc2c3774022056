"""Tests of the grow-only counter: merges in any order give equal results, restarts subtract nothing, reads give bounds.

The faulty counters below check that the test of merge orders detects faults.
"""

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
def test_merge_result_is_independent_of_order_repetition_and_grouping(
    received_entries: list[CounterEntry], random: Random
) -> None:
    repeated = [*received_entries, *received_entries]
    random.shuffle(repeated)
    first_half = merged(received_entries[: len(received_entries) // 2])
    relayed = (entry for entries in first_half.entries.values() for entry in entries)
    merged_at_once = merged(received_entries).entries
    merged_one_by_one = merged(*([entry] for entry in repeated)).entries
    merged_by_parts = merged(received_entries[len(received_entries) // 2 :], relayed).entries
    assert merged_at_once == merged_one_by_one == merged_by_parts


def count_differing_triples(counter_type: type[GrowOnlyCounter]) -> int:
    """Return how many triples of states merge to results that depend on the order.

    The states cover two gateways with two incarnations and two values each. Each triple is merged in all six orders,
    and once more with its first state repeated.
    """
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
        results = set()
        for order in (*itertools.permutations(triple), (*triple, triple[0])):
            counter = counter_type()
            for state in order:
                counter.merge(state)
            results.add(tuple(sorted(counter.entries.items())))
        differing += len(results) > 1
    return differing


def test_merge_result_is_equal_in_every_order_of_three_states() -> None:
    assert not count_differing_triples(GrowOnlyCounter)


class AddsValues(GrowOnlyCounter):
    """Adds up received values instead of keeping the largest."""

    def merge(self, received: Any) -> bool:
        for entry in received:
            had = sum(known.value for known in self.entries.get(entry.gateway_id, ()))
            self.entries[entry.gateway_id] = (CounterEntry(entry.gateway_id, 1, had + entry.value, 0.0),)
        return True


class LastWins(GrowOnlyCounter):
    """Keeps the last received entry of a gateway."""

    def merge(self, received: Any) -> bool:
        for entry in received:
            self.entries[entry.gateway_id] = (entry,)
        return True


class IgnoresIncarnations(GrowOnlyCounter):
    """Keeps the largest value of a gateway and ignores its incarnations."""

    def merge(self, received: Any) -> bool:
        for entry in received:
            had = self.entries.get(entry.gateway_id)
            if had is None or entry.value > had[0].value:
                self.entries[entry.gateway_id] = (entry,)
        return True


class KeepsFirst(GrowOnlyCounter):
    """Keeps the first received entry of a gateway."""

    def merge(self, received: Any) -> bool:
        for entry in received:
            self.entries.setdefault(entry.gateway_id, (entry,))
        return True


class AddsEarlierIncarnation(GrowOnlyCounter):
    """Adds the known value of an earlier incarnation to a later one when it first receives the later one."""

    def merge(self, received: Any) -> bool:
        for entry in received:
            had = self.entries.get(entry.gateway_id)
            if had is None or (entry.incarnation == had[0].incarnation and entry.value > had[0].value):
                self.entries[entry.gateway_id] = (entry,)
            elif entry.incarnation > had[0].incarnation:
                total = had[0].value + entry.value
                self.entries[entry.gateway_id] = (CounterEntry(entry.gateway_id, entry.incarnation, total, 0.0),)
        return True


class IncrementsUnchanged(GrowOnlyCounter):
    """Raises all values when a merge changes nothing."""

    def merge(self, received: Any) -> bool:
        has_changed_any = super().merge(received)
        if not has_changed_any:
            for gateway_id, entries in self.entries.items():
                self.entries[gateway_id] = tuple(
                    CounterEntry(known.gateway_id, known.incarnation, known.value + 1, known.at) for known in entries
                )
        return has_changed_any


@pytest.mark.parametrize(
    "counter_type", [AddsValues, LastWins, IgnoresIncarnations, KeepsFirst, AddsEarlierIncarnation, IncrementsUnchanged]
)
def test_faulty_merges_are_detected(counter_type: type[GrowOnlyCounter]) -> None:
    assert count_differing_triples(counter_type)


def test_restart_subtracts_nothing_and_tables_stay_bounded() -> None:
    counter = merged(*([CounterEntry(0, incarnation, 10.0, float(incarnation))] for incarnation in range(1, 9)))
    assert len(counter.entries[0]) == INCARNATIONS_PER_GATEWAY
    assert counter.interval(9.0, 1, 5.0, 0.0).at_least == 10.0 * INCARNATIONS_PER_GATEWAY
    counter.merge([CounterEntry(0, 3, 99.0, 9.0)])  # entry of an incarnation that was already dropped
    assert counter.interval(9.0, 1, 5.0, 0.0).at_least == 10.0 * INCARNATIONS_PER_GATEWAY
    counter.merge(CounterEntry(gateway_id, 1, 1.0, float(gateway_id)) for gateway_id in range(1, 500))
    assert len(counter.entries) == MAX_GATEWAYS


def test_count_is_read_as_an_interval() -> None:
    counter = merged([CounterEntry(0, 1, 10.0, 100.0), CounterEntry(1, 1, 5.0, 98.0)])
    interval = counter.interval(100.0, 2, 3.0, 4.0)
    assert (interval.at_least, interval.at_most) == (15.0, 15.0 + 4.0 + 6.0)
    assert (interval.age_s, interval.heard, interval.unheard) == (2.0, 2, 0)
    with_unheard = counter.interval(100.0, 3, 3.0, 4.0)
    assert with_unheard.unheard == 1 and math.isinf(with_unheard.at_most)
