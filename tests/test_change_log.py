"""The map service's past: who gets changes and who a snapshot, and what a head makes of either."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fawnspool.extents.change_log import MIN_LOG_CAPACITY, CatchUpMethod, ChangeLogState
from fawnspool.extents.map import ExtentMap
from fawnspool.extents.records import LOG_START, ExtentState, ExtentWrite, LogPosition
from fawnspool.standins.catalogue import Catalogue


def content(m: ExtentMap) -> dict[str, int]:
    return {f.extent: f.shard for f in m.records() if f.state is not ExtentState.DELETED}


def held(c: Catalogue) -> dict[str, int]:
    return {
        f.extent: f.shard for k in range(c.shards) for d in c.since(k, LOG_START) if d.is_snapshot for f in d.records
    } or {key: c.find("v", key)[0] for key, _ in c.list_keys("v", "", "", 1000)[0]}  # type: ignore[index]


def catch_up(m: ExtentMap, c: Catalogue) -> tuple[ExtentMap, int]:
    """The map after all that the service says it lacks, and how many facts that took."""
    said = [d for k in range(c.shards) for d in c.since(k, m.partitions[k].complete_to)]
    for delta in said:
        m = m.apply(delta)
    assert all(s.gap is None for s in m.partitions)
    return m, sum(len(d.records) for d in said)


def test_a_head_gets_what_it_lacks_and_no_more() -> None:
    c = Catalogue(shards=1)
    for k in range(50):
        c.put("v", f"x{k}", k % 3, 1)
    m, count = catch_up(ExtentMap.empty(1), c)
    assert count == 50 and content(m) == held(c)
    c.put("v", "x7", 9, 1)
    c.delete("v", "x8")
    m, count = catch_up(m, c)
    assert count == 2 and content(m)["x7"] == 9 and "x8" not in content(m)
    assert catch_up(m, c)[1] == 0
    for n in range(60):  # more changes than there are extents: a snapshot is less
        c.put("v", "x1", n, n)
    m, count = catch_up(m, c)
    assert count == 49 and content(m) == held(c)
    c.close()


def test_the_log_stays_bounded_and_what_it_lost_comes_as_a_snapshot() -> None:
    c = Catalogue(shards=1)
    c.put("v", "kept", 1, 1)
    behind, _ = catch_up(ExtentMap.empty(1), c)
    c.delete("v", "kept")
    for n in range(MIN_LOG_CAPACITY + 50):
        c.put("v", "x", n, n)
    assert c.past[0].change_count <= MIN_LOG_CAPACITY and c.past[0].truncated_at > (0, 0)
    assert c.since(0, behind.partitions[0].complete_to)[0].is_snapshot
    m, _ = catch_up(behind, c)
    assert content(m) == {"x": MIN_LOG_CAPACITY + 49}  # the tombstone is gone from the log, and `kept` from the map
    c.close()


def test_an_extent_that_comes_again_is_later_than_its_dropped_tombstone() -> None:
    c = Catalogue(shards=1)
    c.put("v", "a", 1, 1)
    c.flip("v", "a", 2, 5)
    c.delete("v", "a")
    old, _ = catch_up(ExtentMap.empty(1), c)  # holds the tombstone, at generation 5
    for n in range(MIN_LOG_CAPACITY + 50):
        c.put("v", "x", n, n)
    c.put("v", "a", 3, 1)
    fact = c.find_record("v", "a")
    assert fact is not None and fact.stamp.generation == 6
    for delta in c.since(0, LOG_START):
        old = old.apply(delta)
    assert content(old)["a"] == 3
    c.close()


def test_a_flip_holds_once_and_an_overtaken_one_changes_nothing() -> None:
    c = Catalogue(shards=1)
    c.put("v", "a", 1, 7)
    for _ in range(3):
        holds = c.flip("v", "a", 2, 1)
        assert holds is not None and (holds.shard, holds.stamp.generation, holds.size) == (2, 1, 7)
    assert c.past[0].position.version == 2  # told three times, noted once
    assert (c.flip("v", "a", 4, 3) or holds).shard == 4
    assert (c.flip("v", "a", 3, 2) or holds).shard == 4  # the second of two moves told first
    assert c.flip("v", "none", 1, 1) is None
    c.close()


def test_a_write_that_a_move_has_overtaken_does_not_bring_the_old_place_back() -> None:
    c = Catalogue(shards=1)
    c.put("v", "a", 1, 7)
    c.flip("v", "a", 2, 1)
    fact, taken = c.record_write(
        ExtentWrite("v", "a", 1, 9, generation=0)
    )  # acknowledged by the old node before its fence
    assert taken and (fact.shard, fact.size, fact.stamp.generation) == (2, 9, 1)
    fact, _ = c.record_write(ExtentWrite("v", "a", 2, 11, generation=1))
    assert (fact.shard, fact.size) == (2, 11)
    fact, _ = c.record_write(
        ExtentWrite("v", "a", 0, 12, generation=2)
    )  # sent on by the old node, before its flip is told
    assert (fact.shard, fact.stamp.generation) == (0, 2) and c.flip("v", "a", 0, 2) == fact
    c.close()


def test_a_service_restored_from_a_backup_takes_back_only_what_it_knew(tmp_path: Path) -> None:
    clock = [1000]
    c = Catalogue(tmp_path / "map", 1, lambda: clock[0])
    for k in range(4):
        c.put("v", f"x{k}", 0, 1)
    c.delete("v", "x3")
    early, _ = catch_up(ExtentMap.empty(1), c)
    c.backup(tmp_path / "old")
    c.put("v", "later", 5, 1)
    c.flip("v", "x0", 7, 1)
    c.delete("v", "x1")
    late, _ = catch_up(early, c)
    c.close()
    clock[0] = 2000
    r = Catalogue(tmp_path / "old", 1, lambda: clock[0])
    r.delete("v", "x2")
    r.put("v", "x1", 3, 1)
    late, _ = catch_up(late, r)
    early, few = catch_up(early, r)
    assert few == 2  # the backup knew all that this head had been told
    assert content(early) == {"x0": 0, "x1": 3}
    # x0 has moved, as its data say; `later` may be somewhere, and a scrub will ask; x2 is gone by the new life's word
    assert content(late) == {"x0": 7, "x1": 3, "later": 5}
    r.close()


def test_each_life_has_a_number_above_those_before_also_where_the_clock_stands_back() -> None:
    past = ChangeLogState().with_new_epoch(500).with_change().with_new_epoch(400)
    assert [e for e, _ in past.epochs] == [500, 501]
    assert past.with_new_epoch(600).epochs == ((500, 1), (600, 0))  # a life without a change of the shard said nothing
    for n in range(40):
        past = past.with_change().with_new_epoch(1000 + n)
    assert (
        len(past.epochs) <= 16
        and not past.reaches_back_to(LogPosition(500, 1))
        and past.reaches_back_to(LogPosition(0, 0))
    )


@pytest.mark.parametrize(
    ("told", "behind", "way"),
    [
        ((0, 0), 3, CatchUpMethod.CHANGES),
        ((7, 2), 3, CatchUpMethod.CHANGES),
        ((7, 5), 0, CatchUpMethod.CHANGES),
        ((7, 6), 0, CatchUpMethod.SNAPSHOT),
        ((6, 1), 0, CatchUpMethod.SNAPSHOT),
        ((7, 2), 11, CatchUpMethod.SNAPSHOT),
        ((9, 0), 0, CatchUpMethod.CHANGES),
    ],
)
def test_way(told: tuple[int, int], behind: int, way: CatchUpMethod) -> None:
    assert (
        ChangeLogState((LogPosition(7, 5), LogPosition(8, 3)), LOG_START, 0, 8, 10).catch_up_method(
            LogPosition(*told), behind
        )
        is way
    )


def test_changes_are_not_enough_for_who_stands_before_the_logs_cut() -> None:
    past = ChangeLogState((LogPosition(7, 5), LogPosition(8, 3)), LogPosition(7, 4), 0, 4, 10)
    assert [past.catch_up_method(LogPosition(*told), 4) for told in ((0, 0), (7, 3), (7, 4), (8, 0))] == [
        CatchUpMethod.SNAPSHOT,
        CatchUpMethod.SNAPSHOT,
        CatchUpMethod.CHANGES,
        CatchUpMethod.CHANGES,
    ]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_heads_that_come_by_whenever_they_like_end_with_the_services_map(seed: int) -> None:
    """Changes, moves, deletions, restarts and a log cut short, in any order; heads catch up now and then."""
    random, c = Random(seed), Catalogue(shards=2)
    c.shards = 2
    heads = [ExtentMap.empty(2) for _ in range(3)]
    for _ in range(random.randrange(5, 60)):
        what, key = random.random(), f"x{random.randrange(6)}"
        if what < 0.4:
            c.put(random.choice("vw"), key, random.randrange(9), random.randrange(3))
        elif what < 0.55:
            c.delete("v", key)
        elif what < 0.7:
            now = c.find_record("v", key)
            c.flip("v", key, random.randrange(9), (now.stamp.generation if now else 0) + random.randrange(3))
        elif what < 0.8:
            c.past = [p.with_new_epoch(0) for p in c.past]
        else:
            at = random.randrange(3)
            heads[at], _ = catch_up(heads[at], c)
    for m in heads:
        m, _ = catch_up(m, c)
        for volume in "vw":
            said = {k: c.find(volume, k) for k, _ in c.list_keys(volume, "", "", 100)[0]}
            mine = {
                f.extent: (f.shard, f.size)
                for f in m.records()
                if f.volume == volume and f.state is not ExtentState.DELETED
            }
            assert mine == said
    c.close()
