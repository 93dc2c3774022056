"""What gateways do with records that may be stale: costs compared, lookups bounded, no stampede after an outage."""

from __future__ import annotations

import math
from collections import Counter
from heapq import heapify, heappop, heappush

import pytest
from hypothesis import given
from hypothesis import strategies as st

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


def up_to_date(settings: StalenessSettings | None = None, migrations: int = 0, seed: int = 1) -> Staleness:
    """Staleness of a gateway that was notified of everything up to now = 10."""
    staleness = Staleness(settings or StalenessSettings(), 4, seed)
    for at in range(1, 11):
        for shard in range(4):
            staleness.notified(float(at), shard, True, MigrationObservation(migrations, 100, 1.0))
    return staleness


def test_a_record_that_is_known_to_be_current_is_used() -> None:
    staleness = up_to_date(migrations=50)
    assert (
        staleness.choose(10.5, MAP, "v", "x", 2.0) is LookupChoice.USE_RECORD
        and staleness.stale_probability(10.5, 0) == 0.0
    )


def test_the_probability_grows_with_silence_and_with_migrations() -> None:
    staleness = up_to_date(migrations=5)
    chances = [staleness.stale_probability(t, 0) for t in (12.5, 15.0, 30.0, 100.0)]
    assert chances == sorted(chances) and 0 < chances[0] < chances[-1] < 1
    assert up_to_date(migrations=0).stale_probability(100.0, 0) == 0.0
    assert up_to_date(migrations=0).choose(100.0, MAP, "v", "x", 2.0) is LookupChoice.USE_RECORD


def test_it_looks_up_first_if_a_misdirected_send_costs_more_and_there_is_time() -> None:
    settings = StalenessSettings(initial_lookup_s=0.001, initial_misdirection_s=0.05)
    assert up_to_date(settings, migrations=50).choose(40.0, MAP, "v", "x", 2.0) is LookupChoice.LOOK_UP_FIRST
    assert up_to_date(settings, migrations=50).choose(40.0, MAP, "v", "x", 0.03) is not LookupChoice.LOOK_UP_FIRST
    dear_lookups = StalenessSettings(initial_lookup_s=0.5, initial_misdirection_s=0.01)
    assert up_to_date(dear_lookups, migrations=50).choose(40.0, MAP, "v", "x", 5.0) is LookupChoice.LOOK_UP_CONCURRENTLY


def test_costs_are_learned() -> None:
    staleness = up_to_date(StalenessSettings(initial_lookup_s=0.001, initial_misdirection_s=0.05), migrations=50)
    for _ in range(200):
        staleness.lookup_answered("v", "x", 0.2)
    assert staleness.lookup_s == pytest.approx(0.2, abs=0.01)
    assert staleness.choose(40.0, MAP, "v", "x", 2.0) is LookupChoice.LOOK_UP_CONCURRENTLY
    for _ in range(300):
        staleness.record_send(False, 1.5)
    assert (
        staleness.misdirected_fraction > 0.9
        and staleness.choose(41.0, MAP, "v", "y", 9.0) is LookupChoice.LOOK_UP_FIRST
    )
    for _ in range(300):
        staleness.record_send(True)
    assert staleness.misdirected_fraction < 0.01


def test_lookups_are_one_an_extent_at_a_time_and_so_many_a_second() -> None:
    staleness = up_to_date(StalenessSettings(service_calls_per_s=10.0, gateway_count=1), migrations=50)
    asked = [staleness.choose(40.0, MAP, "v", f"x{k}", 2.0) for k in range(50)]
    assert sum(a is not LookupChoice.USE_RECORD for a in asked) == 10 and staleness.lookups_denied == 40
    assert (
        staleness.choose(40.0, MAP, "v", "x0", 2.0) is LookupChoice.USE_RECORD and staleness.lookups_denied == 40
    )  # it is being looked up
    staleness.lookup_answered("v", "x0", 0.1)
    assert staleness.choose(41.2, MAP, "v", "x0", 2.0) is not LookupChoice.USE_RECORD


def test_a_notification_with_a_gap_does_not_make_the_map_complete() -> None:
    staleness = up_to_date(migrations=50)
    staleness.notified(20.0, 0, False, MigrationObservation(0, 100, 0.0))
    assert staleness.stale_probability(20.1, 0) > 0.5 and staleness.age_s(20.1) == pytest.approx(10.1)
    staleness.notified(20.2, 0, True, MigrationObservation(0, 100, 0.0))
    assert staleness.stale_probability(20.3, 0) == 0.0


def test_while_the_service_fails_it_is_not_asked_and_records_are_used() -> None:
    staleness = up_to_date(StalenessSettings(initial_lookup_s=0.001, initial_misdirection_s=0.05), migrations=50)
    here = partition_of("v", 4)
    pause = staleness.lookup_failed(40.0, here, "", "")
    assert (
        staleness.choose(40.0 + pause * 0.9, MAP, "v", "x", 2.0) is LookupChoice.USE_RECORD
        and staleness.lookups_denied == 1
    )
    assert staleness.choose(40.0 + pause * 1.1, MAP, "v", "x", 2.0) is LookupChoice.LOOK_UP_FIRST
    other = next(f"v{k}" for k in range(99) if partition_of(f"v{k}", 4) != here)
    assert (
        staleness.choose(40.1, MAP, other, "x", 2.0) is LookupChoice.LOOK_UP_FIRST
    )  # that shard'staleness service answers
    assert Staleness(StalenessSettings(), 4, 1).age_s(5.0) == math.inf


def test_backoff_grows_up_to_a_bound_and_ends_with_the_first_answer() -> None:
    staleness = up_to_date()
    pauses = [staleness.lookup_failed(20.0 + k, 0, "", "") for k in range(40)]
    assert max(pauses) <= StalenessSettings().min_backoff_s + StalenessSettings().max_backoff_s and sum(
        pauses[20:]
    ) > 3 * sum(pauses[:3])
    staleness.notified(70.0, 0, True, MigrationObservation(0, 100, 1.0))
    assert staleness.partitions[0].retry_at is None and staleness.partitions[0].failures == 0


def test_190_gateways_do_not_come_back_all_at_once() -> None:
    """The service is away from second 10 to 70. Gateways retry after their backoff; each that gets through fetches what
    it missed after its delay. Calls a second stay within what the service can serve."""
    settings = StalenessSettings(service_calls_per_s=100.0, gateway_count=190)
    gateways = [up_to_date(settings, migrations=1, seed=k) for k in range(190)]
    due = [(10.0, k) for k in range(190)]  # all notice at the same moment
    heapify(due)
    calls: Counter[int] = Counter()
    fetched: list[float] = []
    while due:
        now, k = heappop(due)
        calls[int(now)] += 1
        if now < 70.0:
            heappush(due, (now + gateways[k].lookup_failed(now, 0, "", ""), k))
        else:
            at = now + gateways[k].reconnect_delay_s()
            calls[int(at)] += 1
            fetched.append(at)
    assert len(fetched) == 190 and max(fetched) < 70 + 2 * settings.max_backoff_s
    assert max(n for at, n in calls.items() if at > 10) <= settings.service_calls_per_s
    assert max(n for at, n in calls.items() if at >= 70) <= settings.service_calls_per_s


@given(st.lists(st.tuples(st.sampled_from("tfcsa"), st.floats(0, 5), st.booleans(), st.integers(0, 300)), max_size=80))
def test_whatever_comes_its_tables_are_bounded_and_its_figures_are_sane(
    steps: list[tuple[str, float, bool, int]],
) -> None:
    staleness, now = Staleness(StalenessSettings(max_pending_lookups=8, service_calls_per_s=50.0), 4, 3), 0.0
    for what, pause, yes, n in steps:
        now += pause
        if what == "t":
            staleness.notified(now, n % 4, yes, MigrationObservation(n, 100, pause))
        elif what == "f":
            assert 0 < staleness.lookup_failed(now, n % 4, "v", str(n)) < 60
        elif what == "c":
            assert staleness.choose(now, MAP, f"v{n % 7}", str(n), pause) in LookupChoice
        elif what == "s":
            staleness.record_send(yes, pause)
        else:
            staleness.lookup_answered(f"v{n % 7}", str(n), pause)
        assert (
            len(staleness.pending_lookups) <= 8
            and 0 <= staleness.misdirected_fraction <= 1
            and staleness.budget.tokens >= 0
        )
        assert all(0 <= staleness.stale_probability(now, k) <= 1 for k in range(4))


@pytest.mark.parametrize("span_s", [5e-324, 1e-310, 1e-7])
def test_a_span_too_short_to_measure_leaves_the_rate_of_migrations_as_it_was(span_s: float) -> None:
    staleness = Staleness(StalenessSettings(), 4, 3)
    staleness.notified(span_s, 1, True, MigrationObservation(1, 100, span_s))
    staleness.notified(1.0, 1, False, MigrationObservation(1, 100, 1.0))
    assert staleness.partitions[1].migration_rate == pytest.approx(0.05 * 0.01)  # the second span alone counts
    assert all(0 <= staleness.stale_probability(1.0, shard) <= 1 for shard in range(4))


def test_the_shortest_measured_span_counts() -> None:
    staleness = Staleness(StalenessSettings(), 4, 3)
    staleness.notified(1.0, 1, True, MigrationObservation(1, 100, MIN_MEASURED_SPAN_S))
    assert staleness.partitions[1].migration_rate == pytest.approx(0.01 / MIGRATION_RATE_WINDOW_S)


def test_while_the_watch_is_lost_nothing_is_looked_up_until_its_backoff_is_over() -> None:
    staleness = up_to_date(migrations=50)
    pause = staleness.watch_lost(20.0)
    for volume in "abcdefgh":
        assert staleness.stale_probability(20.0, partition_of(volume, 4)) > 0
        assert staleness.choose(20.0 + pause * 0.99, MAP, volume, "x", 2.0) is LookupChoice.USE_RECORD
    assert staleness.lookups_denied == 8
    assert {
        staleness.choose(20.0 + pause * 1.01 + k, MAP, volume, "x", 2.0) for k, volume in enumerate("abcdefgh")
    } == {LookupChoice.LOOK_UP_FIRST}


def test_a_map_from_disk_is_doubted_until_the_service_has_notified() -> None:
    staleness = Staleness(StalenessSettings(), 4, 1)
    staleness.restored(100.0, 60.0)
    assert (
        staleness.age_s(100.0) == 60.0
        and staleness.stale_probability(100.0, 0) == staleness.settings.min_lookup_probability
    )
    assert staleness.choose(100.0, MAP, "v", "x", 2.0) is LookupChoice.LOOK_UP_CONCURRENTLY
    for shard in range(4):
        staleness.notified(101.0, shard, True, MigrationObservation(0, 100, 0.0))
    assert staleness.stale_probability(101.0, 0) == 0.0 and staleness.age_s(101.0) == 0.0


def test_a_lookup_that_goes_first_leaves_the_send_its_time() -> None:
    staleness = up_to_date()
    assert staleness.lookup_timeout_s(10.0) == MAX_LOOKUP_FACTOR * staleness.lookup_s
    assert (
        staleness.lookup_timeout_s(staleness.misdirection_s + 0.001) == pytest.approx(0.001)
        and staleness.lookup_timeout_s(0.0) == 0.0
    )


def test_a_redirect_is_followed_at_once_then_slower_and_not_for_ever() -> None:
    staleness = up_to_date()
    assert staleness.redirect_pause_s(0, True, 1.0, False) == 0.0
    pauses = [staleness.redirect_pause_s(turn, turn % 2 == 0, 10.0, False) for turn in range(1, MAX_SUBMISSIONS - 1)]
    assert all(p is not None and p > 0 for p in pauses) and (pauses[-1] or 0) > (pauses[0] or 0)
    assert staleness.redirect_pause_s(MAX_SUBMISSIONS - 1, True, 10.0, False) is None
    assert staleness.redirect_pause_s(0, True, 10.0, True) is None  # its body came once, or it keeps an order
    assert (
        staleness.redirect_pause_s(0, False, 0.0001, False) is None
        and staleness.redirect_pause_s(0, True, 0.0, False) is None
    )
