"""Decisions of the work of leased roles: draining shards and comparing inventories."""

from __future__ import annotations

from collections import Counter

import pytest

from fawnspool.leases.drain import FIRST_BACKOFF_S, MoveRateLimiter, RetrySchedule, partition_of, target_shard
from fawnspool.leases.inventory import compare_inventories


def test_target_shards_do_not_depend_on_order_and_losing_a_shard_moves_only_its_extents() -> None:
    extents = [("v", f"k{n}") for n in range(600)]
    targets = {extent: target_shard(*extent, (1, 2, 3, 4)) for extent in extents}
    targets_without_shard_3 = {extent: target_shard(*extent, (4, 2, 1)) for extent in extents}
    assert all(targets_without_shard_3[extent] == targets[extent] for extent in extents if targets[extent] != 3)
    assert min(Counter(targets.values()).values()) > 100
    assert target_shard("v", "k", ()) is None
    assert len({partition_of("v", f"k{n}", 8) for n in range(100)}) == 8


@pytest.mark.parametrize(
    "moves_per_s, size, expected_per_s",
    [(10.0, 1, 10.0), (1000.0, 1 << 20, 4.0)],
    ids=["bounded by moves", "bounded by bytes"],
)
def test_the_limiter_keeps_both_rates(moves_per_s: float, size: int, expected_per_s: float) -> None:
    limiter = MoveRateLimiter(moves_per_s, float(4 << 20), 5)
    now = 0.0
    move_count = 0
    while now < 20.0:
        wait_s = limiter.wait_s(now, size, in_flight=0)
        move_count += not wait_s
        now += wait_s or 0.0
    assert expected_per_s * 20 - 1 <= move_count <= expected_per_s * 21 + 1


def test_the_limiter_waits_while_the_gateway_is_busy() -> None:
    assert MoveRateLimiter(10.0, 1.0, 5).wait_s(0.0, 1, in_flight=5) > 0


def test_a_move_larger_than_a_burst_delays_the_next_move() -> None:
    limiter = MoveRateLimiter(10.0, 100.0, 5)
    assert limiter.wait_s(0.0, 1000, in_flight=0) == 0.0
    assert limiter.wait_s(0.1, 1, in_flight=0) > 8.0


def test_retry_delay_grows_with_each_failure_and_the_schedule_is_bounded() -> None:
    retries = RetrySchedule()
    extent = ("v", "a")
    retries.record_failure(0.0, extent)
    assert not retries.is_due(FIRST_BACKOFF_S / 2, extent) and retries.is_due(FIRST_BACKOFF_S, extent)
    assert FIRST_BACKOFF_S == 0.2
    assert retries.is_due(0.0, ("v", "b"))
    retries.record_failure(1.0, extent)
    assert not retries.is_due(1.3, extent)
    for number in range(retries.MAX_EXTENTS + 5):
        retries.record_failure(0.0, ("v", str(number)))
    assert len(retries.failures) == retries.MAX_EXTENTS


MAPPED = {("v", "a"): 0, ("v", "b"): 0, ("v", "c"): 1, ("v", "d"): 2}
STORED = {0: [("v", "a"), ("v", "c")], 1: [("v", "c"), ("v", "x")], 2: None}


def test_a_comparison_reports_missing_and_stray_extents_except_on_unreachable_nodes() -> None:
    report = compare_inventories(MAPPED, STORED, 0, 1)
    assert report.missing == (("v", "b"),)
    assert report.stray == (("v", "c"), ("v", "x"))
    assert report.unreachable == (2,)
    assert "4 looked at, 1 missing, 2 stray, cells 2 silent" in str(report)


def test_comparisons_of_all_partitions_cover_each_extent_once() -> None:
    reports = [compare_inventories(MAPPED, STORED, partition, 3) for partition in range(3)]
    assert sum(report.compared for report in reports) == 4
    assert sum(len(report.stray) for report in reports) == 2
