"""The map service's change log: who gets changes and who a snapshot, and what a gateway makes of either."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fawnspool.extents.change_log import MIN_LOG_CAPACITY, CatchUpMethod, ChangeLogState
from fawnspool.extents.map import ExtentMap
from fawnspool.extents.records import LOG_START, ExtentState, ExtentWrite, LogPosition
from fawnspool.standins.map_database import MapDatabase


def content(extent_map: ExtentMap) -> dict[str, int]:
    return {record.extent: record.shard for record in extent_map.records() if record.state is not ExtentState.DELETED}


def held(database: MapDatabase) -> dict[str, int]:
    return {
        record.extent: record.shard
        for k in range(database.partition_count)
        for d in database.deltas_since(k, LOG_START)
        if d.is_snapshot
        for record in d.records
    } or {key: database.find("v", key)[0] for key, _ in database.list_keys("v", "", "", 1000)[0]}  # type: ignore[index]


def catch_up(extent_map: ExtentMap, database: MapDatabase) -> tuple[ExtentMap, int]:
    """Return the map after all that it lacks, and how many records that took."""
    said = [
        d
        for k in range(database.partition_count)
        for d in database.deltas_since(k, extent_map.partitions[k].complete_to)
    ]
    for delta in said:
        extent_map = extent_map.apply(delta)
    assert all(s.gap is None for s in extent_map.partitions)
    return extent_map, sum(len(d.records) for d in said)


def test_a_gateway_gets_what_it_lacks_and_no_more() -> None:
    database = MapDatabase(partition_count=1)
    for k in range(50):
        database.put("v", f"x{k}", k % 3, 1)
    extent_map, count = catch_up(ExtentMap.empty(1), database)
    assert count == 50 and content(extent_map) == held(database)
    database.put("v", "x7", 9, 1)
    database.delete("v", "x8")
    extent_map, count = catch_up(extent_map, database)
    assert count == 2 and content(extent_map)["x7"] == 9 and "x8" not in content(extent_map)
    assert catch_up(extent_map, database)[1] == 0
    for n in range(60):  # more changes than there are extents: a snapshot is less
        database.put("v", "x1", n, n)
    extent_map, count = catch_up(extent_map, database)
    assert count == 49 and content(extent_map) == held(database)
    database.close()


def test_the_log_stays_bounded_and_what_was_truncated_comes_as_a_snapshot() -> None:
    database = MapDatabase(partition_count=1)
    database.put("v", "kept", 1, 1)
    behind, _ = catch_up(ExtentMap.empty(1), database)
    database.delete("v", "kept")
    for n in range(MIN_LOG_CAPACITY + 50):
        database.put("v", "x", n, n)
    assert database.log_states[0].change_count <= MIN_LOG_CAPACITY and database.log_states[0].truncated_at > (0, 0)
    assert database.deltas_since(0, behind.partitions[0].complete_to)[0].is_snapshot
    extent_map, _ = catch_up(behind, database)
    assert content(extent_map) == {
        "x": MIN_LOG_CAPACITY + 49
    }  # the tombstone is gone from the log, and `kept` from the map
    database.close()


def test_an_extent_that_comes_again_is_later_than_its_dropped_tombstone() -> None:
    database = MapDatabase(partition_count=1)
    database.put("v", "a", 1, 1)
    database.record_migration("v", "a", 2, 5)
    database.delete("v", "a")
    old, _ = catch_up(ExtentMap.empty(1), database)  # holds the tombstone, at generation 5
    for n in range(MIN_LOG_CAPACITY + 50):
        database.put("v", "x", n, n)
    database.put("v", "a", 3, 1)
    record = database.find_record("v", "a")
    assert record is not None and record.stamp.generation == 6
    for delta in database.deltas_since(0, LOG_START):
        old = old.apply(delta)
    assert content(old)["a"] == 3
    database.close()


def test_a_migration_is_recorded_once_and_a_superseded_one_changes_nothing() -> None:
    database = MapDatabase(partition_count=1)
    database.put("v", "a", 1, 7)
    for _ in range(3):
        holds = database.record_migration("v", "a", 2, 1)
        assert holds is not None and (holds.shard, holds.stamp.generation, holds.size) == (2, 1, 7)
    assert database.log_states[0].position.version == 2  # told three times, noted once
    assert (database.record_migration("v", "a", 4, 3) or holds).shard == 4
    assert (database.record_migration("v", "a", 3, 2) or holds).shard == 4  # the second of two moves told first
    assert database.record_migration("v", "none", 1, 1) is None
    database.close()


def test_a_write_that_a_migration_has_overtaken_does_not_restore_the_old_shard() -> None:
    database = MapDatabase(partition_count=1)
    database.put("v", "a", 1, 7)
    database.record_migration("v", "a", 2, 1)
    record, accepted = database.record_write(
        ExtentWrite("v", "a", 1, 9, generation=0)
    )  # acknowledged by the old node before its fence
    assert accepted and (record.shard, record.size, record.stamp.generation) == (2, 9, 1)
    record, _ = database.record_write(ExtentWrite("v", "a", 2, 11, generation=1))
    assert (record.shard, record.size) == (2, 11)
    record, _ = database.record_write(
        ExtentWrite("v", "a", 0, 12, generation=2)
    )  # sent on by the old node, before its flip is told
    assert (record.shard, record.stamp.generation) == (0, 2) and database.record_migration("v", "a", 0, 2) == record
    database.close()


def test_a_service_restored_from_a_backup_deletes_only_what_it_knew(tmp_path: Path) -> None:
    clock = [1000]
    database = MapDatabase(tmp_path / "map", 1, lambda: clock[0])
    for k in range(4):
        database.put("v", f"x{k}", 0, 1)
    database.delete("v", "x3")
    early, _ = catch_up(ExtentMap.empty(1), database)
    database.backup(tmp_path / "old")
    database.put("v", "later", 5, 1)
    database.record_migration("v", "x0", 7, 1)
    database.delete("v", "x1")
    late, _ = catch_up(early, database)
    database.close()
    clock[0] = 2000
    restored = MapDatabase(tmp_path / "old", 1, lambda: clock[0])
    restored.delete("v", "x2")
    restored.put("v", "x1", 3, 1)
    late, _ = catch_up(late, restored)
    early, few = catch_up(early, restored)
    assert few == 2  # the backup knew all that this head had been told
    assert content(early) == {"x0": 0, "x1": 3}
    # x0 has moved, as its data say; `later` may be somewhere, and a scrub will ask; x2 is gone by the new life's word
    assert content(late) == {"x0": 7, "x1": 3, "later": 5}
    restored.close()


def test_each_epoch_is_above_those_before_even_if_the_clock_was_set_back() -> None:
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
def test_the_catch_up_method(told: tuple[int, int], behind: int, way: CatchUpMethod) -> None:
    assert (
        ChangeLogState((LogPosition(7, 5), LogPosition(8, 3)), LOG_START, 0, 8, 10).catch_up_method(
            LogPosition(*told), behind
        )
        is way
    )


def test_changes_are_not_enough_for_a_position_before_the_truncation() -> None:
    past = ChangeLogState((LogPosition(7, 5), LogPosition(8, 3)), LogPosition(7, 4), 0, 4, 10)
    assert [past.catch_up_method(LogPosition(*told), 4) for told in ((0, 0), (7, 3), (7, 4), (8, 0))] == [
        CatchUpMethod.SNAPSHOT,
        CatchUpMethod.SNAPSHOT,
        CatchUpMethod.CHANGES,
        CatchUpMethod.CHANGES,
    ]


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**6))
def test_gateways_that_catch_up_at_any_time_end_with_the_services_map(seed: int) -> None:
    """Changes, migrations, deletions, restarts and truncations in any order; gateways catch up now and then."""
    random, database = Random(seed), MapDatabase(partition_count=2)
    database.partition_count = 2
    gateways = [ExtentMap.empty(2) for _ in range(3)]
    for _ in range(random.randrange(5, 60)):
        what, key = random.random(), f"x{random.randrange(6)}"
        if what < 0.4:
            database.put(random.choice("vw"), key, random.randrange(9), random.randrange(3))
        elif what < 0.55:
            database.delete("v", key)
        elif what < 0.7:
            now = database.find_record("v", key)
            database.record_migration(
                "v", key, random.randrange(9), (now.stamp.generation if now else 0) + random.randrange(3)
            )
        elif what < 0.8:
            database.log_states = [p.with_new_epoch(0) for p in database.log_states]
        else:
            at = random.randrange(3)
            gateways[at], _ = catch_up(gateways[at], database)
    for extent_map in gateways:
        extent_map, _ = catch_up(extent_map, database)
        for volume in "vw":
            said = {k: database.find(volume, k) for k, _ in database.list_keys(volume, "", "", 100)[0]}
            mine = {
                record.extent: (record.shard, record.size)
                for record in extent_map.records()
                if record.volume == volume and record.state is not ExtentState.DELETED
            }
            assert mine == said
    database.close()
