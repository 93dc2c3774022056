"""What heads do with places that may be old: costs weighed, questions bounded, no stampede when the service is back."""

from __future__ import annotations

import math
from collections import Counter
from heapq import heapify, heappop, heappush

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.extents.checkpointing import MIN_LOG_CAPACITY, RETRY_DELAY_S, CheckpointAction, CheckpointPolicy
from fawnspool.extents.map import ExtentMap, partition_of
from fawnspool.extents.staleness import (
    MAX_LOOKUP_FACTOR,
    MAX_SUBMISSIONS,
    MIGRATION_RATE_WINDOW_S,
    MIN_MEASURED_SPAN_S,
    LookupChoice,
    MigrationObservation,
    Staleness,
    StalenessSettings,
)

MAP = ExtentMap.empty(4)


def knows(terms: StalenessSettings | None = None, moves: int = 0, seed: int = 1) -> Staleness:
    """A head that was told everything up to now = 10."""
    s = Staleness(terms or StalenessSettings(), 4, seed)
    for at in range(1, 11):
        for shard in range(4):
            s.notified(float(at), shard, True, MigrationObservation(moves, 100, 1.0))
    return s


def test_a_place_that_is_known_to_hold_is_used() -> None:
    s = knows(moves=50)
    assert s.choose(10.5, MAP, "v", "x", 2.0) is LookupChoice.USE_RECORD and s.stale_probability(10.5, 0) == 0.0


def test_the_longer_untold_and_the_more_moves_the_more_it_asks() -> None:
    s = knows(moves=5)
    chances = [s.stale_probability(t, 0) for t in (12.5, 15.0, 30.0, 100.0)]
    assert chances == sorted(chances) and 0 < chances[0] < chances[-1] < 1
    assert knows(moves=0).stale_probability(100.0, 0) == 0.0
    assert knows(moves=0).choose(100.0, MAP, "v", "x", 2.0) is LookupChoice.USE_RECORD


def test_it_asks_first_where_a_wrong_send_costs_more_and_there_is_time() -> None:
    terms = StalenessSettings(initial_lookup_s=0.001, initial_misdirection_s=0.05)
    assert knows(terms, moves=50).choose(40.0, MAP, "v", "x", 2.0) is LookupChoice.LOOK_UP_FIRST
    assert knows(terms, moves=50).choose(40.0, MAP, "v", "x", 0.03) is not LookupChoice.LOOK_UP_FIRST
    dear = StalenessSettings(initial_lookup_s=0.5, initial_misdirection_s=0.01)
    assert knows(dear, moves=50).choose(40.0, MAP, "v", "x", 5.0) is LookupChoice.LOOK_UP_CONCURRENTLY


def test_costs_are_learned() -> None:
    s = knows(StalenessSettings(initial_lookup_s=0.001, initial_misdirection_s=0.05), moves=50)
    for _ in range(200):
        s.lookup_answered("v", "x", 0.2)
    assert s.lookup_s == pytest.approx(0.2, abs=0.01)
    assert s.choose(40.0, MAP, "v", "x", 2.0) is LookupChoice.LOOK_UP_CONCURRENTLY
    for _ in range(300):
        s.record_send(False, 1.5)
    assert s.misdirected_fraction > 0.9 and s.choose(41.0, MAP, "v", "y", 9.0) is LookupChoice.LOOK_UP_FIRST
    for _ in range(300):
        s.record_send(True)
    assert s.misdirected_fraction < 0.01


def test_one_question_an_extent_at_a_time_and_so_many_a_second() -> None:
    s = knows(StalenessSettings(service_calls_per_s=10.0, gateway_count=1), moves=50)
    asked = [s.choose(40.0, MAP, "v", f"x{k}", 2.0) for k in range(50)]
    assert sum(a is not LookupChoice.USE_RECORD for a in asked) == 10 and s.lookups_denied == 40
    assert (
        s.choose(40.0, MAP, "v", "x0", 2.0) is LookupChoice.USE_RECORD and s.lookups_denied == 40
    )  # it is asked already
    s.lookup_answered("v", "x0", 0.1)
    assert s.choose(41.2, MAP, "v", "x0", 2.0) is not LookupChoice.USE_RECORD


def test_a_gap_is_not_a_sign_of_life_that_tells_everything() -> None:
    s = knows(moves=50)
    s.notified(20.0, 0, False, MigrationObservation(0, 100, 0.0))
    assert s.stale_probability(20.1, 0) > 0.5 and s.age_s(20.1) == pytest.approx(10.1)
    s.notified(20.2, 0, True, MigrationObservation(0, 100, 0.0))
    assert s.stale_probability(20.3, 0) == 0.0


def test_out_of_reach_it_lets_the_service_alone_and_sends_on_what_it_has() -> None:
    s = knows(StalenessSettings(initial_lookup_s=0.001, initial_misdirection_s=0.05), moves=50)
    here = partition_of("v", 4)
    pause = s.lookup_failed(40.0, here, "", "")
    assert s.choose(40.0 + pause * 0.9, MAP, "v", "x", 2.0) is LookupChoice.USE_RECORD and s.lookups_denied == 1
    assert s.choose(40.0 + pause * 1.1, MAP, "v", "x", 2.0) is LookupChoice.LOOK_UP_FIRST
    other = next(f"v{k}" for k in range(99) if partition_of(f"v{k}", 4) != here)
    assert s.choose(40.1, MAP, other, "x", 2.0) is LookupChoice.LOOK_UP_FIRST  # that shard's service answers
    assert Staleness(StalenessSettings(), 4, 1).age_s(5.0) == math.inf


def test_pauses_grow_up_to_a_bound_and_end_with_the_first_answer() -> None:
    s = knows()
    pauses = [s.lookup_failed(20.0 + k, 0, "", "") for k in range(40)]
    assert max(pauses) <= StalenessSettings().min_backoff_s + StalenessSettings().max_backoff_s and sum(
        pauses[20:]
    ) > 3 * sum(pauses[:3])
    s.notified(70.0, 0, True, MigrationObservation(0, 100, 1.0))
    assert s.partitions[0].retry_at is None and s.partitions[0].failures == 0


def test_190_heads_do_not_come_back_all_at_once() -> None:
    """The service is away from second 10 to 70. Heads try again as their pauses say; the first that gets through finds
    it back and fetches after its spread. Calls a second stay near what the service was said to bear."""
    terms = StalenessSettings(service_calls_per_s=100.0, gateway_count=190)
    heads = [knows(terms, moves=1, seed=k) for k in range(190)]
    due = [(10.0, k) for k in range(190)]  # all notice at the same moment
    heapify(due)
    calls: Counter[int] = Counter()
    fetched: list[float] = []
    while due:
        now, k = heappop(due)
        calls[int(now)] += 1
        if now < 70.0:
            heappush(due, (now + heads[k].lookup_failed(now, 0, "", ""), k))
        else:
            at = now + heads[k].reconnect_delay_s()
            calls[int(at)] += 1
            fetched.append(at)
    assert len(fetched) == 190 and max(fetched) < 70 + 2 * terms.max_backoff_s
    assert max(n for at, n in calls.items() if at > 10) <= terms.service_calls_per_s
    assert max(n for at, n in calls.items() if at >= 70) <= terms.service_calls_per_s


@given(st.lists(st.tuples(st.sampled_from("tfcsa"), st.floats(0, 5), st.booleans(), st.integers(0, 300)), max_size=80))
def test_whatever_comes_its_tables_are_bounded_and_its_figures_are_sane(
    steps: list[tuple[str, float, bool, int]],
) -> None:
    s, now = Staleness(StalenessSettings(max_pending_lookups=8, service_calls_per_s=50.0), 4, 3), 0.0
    for what, pause, yes, n in steps:
        now += pause
        if what == "t":
            s.notified(now, n % 4, yes, MigrationObservation(n, 100, pause))
        elif what == "f":
            assert 0 < s.lookup_failed(now, n % 4, "v", str(n)) < 60
        elif what == "c":
            assert s.choose(now, MAP, f"v{n % 7}", str(n), pause) in LookupChoice
        elif what == "s":
            s.record_send(yes, pause)
        else:
            s.lookup_answered(f"v{n % 7}", str(n), pause)
        assert len(s.pending_lookups) <= 8 and 0 <= s.misdirected_fraction <= 1 and s.budget.tokens >= 0
        assert all(0 <= s.stale_probability(now, k) <= 1 for k in range(4))


@pytest.mark.parametrize("span_s", [5e-324, 1e-310, 1e-7])
def test_a_span_too_short_to_measure_leaves_the_rate_of_moves_as_it_was(span_s: float) -> None:
    s = Staleness(StalenessSettings(), 4, 3)
    s.notified(span_s, 1, True, MigrationObservation(1, 100, span_s))
    s.notified(1.0, 1, False, MigrationObservation(1, 100, 1.0))
    assert s.partitions[1].migration_rate == pytest.approx(0.05 * 0.01)  # the second span alone counts
    assert all(0 <= s.stale_probability(1.0, shard) <= 1 for shard in range(4))


def test_the_shortest_measured_span_counts() -> None:
    s = Staleness(StalenessSettings(), 4, 3)
    s.notified(1.0, 1, True, MigrationObservation(1, 100, MIN_MEASURED_SPAN_S))
    assert s.partitions[1].migration_rate == pytest.approx(0.01 / MIGRATION_RATE_WINDOW_S)


def test_while_the_watch_is_lost_no_shard_is_asked_about_until_its_pause_is_over() -> None:
    s = knows(moves=50)
    pause = s.watch_lost(20.0)
    for volume in "abcdefgh":
        assert s.stale_probability(20.0, partition_of(volume, 4)) > 0
        assert s.choose(20.0 + pause * 0.99, MAP, volume, "x", 2.0) is LookupChoice.USE_RECORD
    assert s.lookups_denied == 8
    assert {s.choose(20.0 + pause * 1.01 + k, MAP, volume, "x", 2.0) for k, volume in enumerate("abcdefgh")} == {
        LookupChoice.LOOK_UP_FIRST
    }


def test_a_map_from_disk_is_doubted_until_the_service_has_been_heard() -> None:
    s = Staleness(StalenessSettings(), 4, 1)
    s.restored(100.0, 60.0)
    assert s.age_s(100.0) == 60.0 and s.stale_probability(100.0, 0) == s.settings.min_lookup_probability
    assert s.choose(100.0, MAP, "v", "x", 2.0) is LookupChoice.LOOK_UP_CONCURRENTLY
    for shard in range(4):
        s.notified(101.0, shard, True, MigrationObservation(0, 100, 0.0))
    assert s.stale_probability(101.0, 0) == 0.0 and s.age_s(101.0) == 0.0


def test_a_question_that_goes_first_leaves_the_send_its_time() -> None:
    s = knows()
    assert s.lookup_timeout_s(10.0) == MAX_LOOKUP_FACTOR * s.lookup_s
    assert s.lookup_timeout_s(s.misdirection_s + 0.001) == pytest.approx(0.001) and s.lookup_timeout_s(0.0) == 0.0


def test_a_moved_extent_is_followed_at_once_then_slower_and_not_for_ever() -> None:
    s = knows()
    assert s.redirect_pause_s(0, True, 1.0, False) == 0.0
    pauses = [s.redirect_pause_s(turn, turn % 2 == 0, 10.0, False) for turn in range(1, MAX_SUBMISSIONS - 1)]
    assert all(p is not None and p > 0 for p in pauses) and (pauses[-1] or 0) > (pauses[0] or 0)
    assert s.redirect_pause_s(MAX_SUBMISSIONS - 1, True, 10.0, False) is None
    assert s.redirect_pause_s(0, True, 10.0, True) is None  # its body came once, or it keeps an order
    assert s.redirect_pause_s(0, False, 0.0001, False) is None and s.redirect_pause_s(0, True, 0.0, False) is None


def test_the_map_goes_to_disk_whole_at_first_when_the_log_is_long_and_after_a_failure() -> None:
    k = CheckpointPolicy()
    assert [k.next_action(1.0, 1, 5) for _ in range(2)] == [CheckpointAction.FULL_MAP, CheckpointAction.APPEND]
    assert (
        k.next_action(2.0, MIN_LOG_CAPACITY, 5) is CheckpointAction.FULL_MAP
        and k.next_action(2.0, 1, 5) is CheckpointAction.APPEND
    )
    assert (
        k.next_action(3.0, MIN_LOG_CAPACITY, 3 * MIN_LOG_CAPACITY) is CheckpointAction.APPEND
    )  # a large map is written more seldom
    k.write_failed(10.0)
    assert (
        k.next_action(10.0 + RETRY_DELAY_S / 2, 1, 5) is CheckpointAction.SKIP
        and k.next_action(10.0 + RETRY_DELAY_S, 1, 5) is CheckpointAction.FULL_MAP
    )
    assert k.complete_mark_due(100.0) and not k.complete_mark_due(100.1)
