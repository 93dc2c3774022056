"""The extent map: whatever comes late, twice, out of order or from a restored service, all gateways end with one."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fawnspool.extents.change_log import ChangeLogState
from fawnspool.extents.map import ExtentMap, partition_of
from fawnspool.extents.records import (
    DeltaError,
    ExtentRecord,
    ExtentState,
    LogPosition,
    MapDelta,
    Stamp,
    later,
)


def make_record(
    extent: str,
    shard: int,
    generation: int = 0,
    version: int = 1,
    epoch: int = 1,
    volume: str = "v",
    state: ExtentState = ExtentState.ACTIVE,
) -> ExtentRecord:
    return ExtentRecord(volume, extent, shard, Stamp(generation, epoch, version), state)


def make_delta(
    after: int,
    up_to: int,
    *records: ExtentRecord,
    epoch: int = 1,
    is_snapshot: bool = False,
    covered_epochs: tuple[LogPosition, ...] = (),
) -> MapDelta:
    return MapDelta(0, epoch, after, up_to, records, is_snapshot, covered_epochs)


RECORD = ExtentRecord("v", "x", 3, Stamp(1, 2, 5), ExtentState.FENCED, 7)
RECORD_JSON = b'{"volume":"v","extent":"x","cell":3,"stamp":{"generation":1,"epoch":2,"version":5},"state":2,"size":7}'


@pytest.mark.parametrize(
    ("value", "encoded"),
    [
        (RECORD, RECORD_JSON),
        (
            MapDelta(4, 2, 0, 5, (RECORD,), True, (LogPosition(1, 9),)),
            b'{"shard":4,"epoch":2,"after":0,"upto":5,"facts":[' + RECORD_JSON + b'],"whole":true,"covers":[[1,9]]}',
        ),
        (
            ChangeLogState((LogPosition(7, 5), LogPosition(8, 3)), LogPosition(7, 1), 2, 4, 10),
            b'{"lives":[[7,5],[8,3]],"cut":[7,1],"born":2,"logged":4,"extents":10}',
        ),
    ],
)
def test_encoded_forms_keep_the_names_that_the_wire_and_stored_data_have(value: Any, encoded: bytes) -> None:
    assert msgspec.json.encode(value) == encoded
    assert msgspec.json.decode(encoded, type=type(value)) == value
    stored = msgspec.msgpack.encode(value)
    assert stored == msgspec.msgpack.encode(msgspec.json.decode(encoded))
    assert msgspec.msgpack.decode(stored, type=type(value)) == value


class Service:
    """A map service of one partition: each change is a delta, and now and then it sends a snapshot or is restored from
    an older state. An extent's generation never goes back, as nodes would not accept the fence."""

    def __init__(self, random: Random) -> None:
        self.random, self.epoch, self.version = random, 1, 0
        self.table: dict[str, ExtentRecord] = {}
        self.covers: dict[int, int] = {}
        self.generations: dict[str, int] = {}
        self.sent: list[MapDelta] = []

    def change(self) -> None:
        self.version += 1
        extent = f"x{self.random.randrange(6)}"
        had = self.table.get(extent)
        if had is not None and self.random.random() < 0.2:
            made = ExtentRecord(
                "v", extent, -1, Stamp(self.generations[extent], self.epoch, self.version), ExtentState.DELETED
            )
            del self.table[extent]
        else:
            self.generations[extent] = self.generations.get(extent, 0) + 1
            made = make_record(extent, self.random.randrange(9), self.generations[extent], self.version, self.epoch)
            self.table[extent] = made
        self.sent.append(make_delta(self.version - 1, self.version, made, epoch=self.epoch))

    def snapshot(self) -> MapDelta:
        made = make_delta(
            0,
            self.version,
            *self.table.values(),
            epoch=self.epoch,
            is_snapshot=True,
            covered_epochs=tuple(LogPosition(*row) for row in sorted(self.covers.items())),
        )
        self.sent.append(made)
        return made

    def restart(self) -> None:
        self.covers = {**self.covers, self.epoch: self.version}
        self.epoch, self.version = self.epoch + 1, 0


def history(seed: int, steps: int) -> Service:
    random = Random(seed)
    service = Service(random)
    for _ in range(steps):
        what = random.random()
        if what < 0.75:
            service.change()
        elif what < 0.9:
            service.snapshot()
        else:
            service.restart()
            service.snapshot()
    service.snapshot()
    return service


def content(extent_map: ExtentMap) -> dict[str, tuple[int, Stamp]]:
    return {
        record.extent: (record.shard, record.stamp)
        for record in extent_map.records()
        if record.state is not ExtentState.DELETED
    }


@settings(max_examples=300)
@given(st.integers(0, 10**6), st.integers(1, 25), st.randoms(use_true_random=False))
def test_any_order_of_the_same_deltas_ends_in_what_the_service_holds(seed: int, steps: int, random: Random) -> None:
    service = history(seed, steps)
    told = [*service.sent, *random.choices(service.sent, k=5)]
    random.shuffle(told)
    extent_map = ExtentMap.empty(1)
    for d in told:
        extent_map = extent_map.apply(d)
    assert content(extent_map) == {e: (record.shard, record.stamp) for e, record in service.table.items()}
    assert (
        extent_map.partitions[0].complete_to == (service.epoch, service.version)
        and extent_map.partitions[0].gap is None
    )
    again = ExtentMap.empty(1)
    for d in service.sent:
        again = again.apply(d)
    assert content(again) == content(extent_map)


@settings(max_examples=200)
@given(st.integers(0, 10**6), st.integers(2, 25), st.randoms(use_true_random=False))
def test_a_gap_is_known_until_it_is_filled(seed: int, steps: int, random: Random) -> None:
    service = Service(Random(seed))
    for _ in range(steps):
        service.change()
    lost = random.choice(service.sent)
    rest = [d for d in service.sent if d is not lost]
    random.shuffle(rest)
    extent_map = ExtentMap.empty(1)
    for d in rest:
        extent_map = extent_map.apply(d)
    if lost.up_to == service.version:
        assert extent_map.partitions[0].complete_to == (1, lost.after)
    else:
        assert extent_map.partitions[0].gap == (lost.after, lost.up_to)
    extent_map = extent_map.apply(lost)
    assert extent_map.partitions[0].gap is None and extent_map.partitions[0].complete_to == (1, service.version)


def test_records_are_ordered_by_generation_then_epoch_then_version() -> None:
    rows = [
        make_record("x", 1, 0, 9, 9),
        make_record("x", 2, 1, 1, 1),
        make_record("x", 3, 1, 5, 1),
        make_record("x", 4, 1, 2, 2),
    ]
    for k, low in enumerate(rows):
        for high in rows[k + 1 :]:
            assert later(low, high) is high and later(high, low) is high
    assert later(None, rows[0]) is rows[0]
    a, b = make_record("x", 1), make_record("x", 2)
    assert later(a, b) == later(b, a)


def test_a_restored_service_does_not_undo_a_migration_that_nodes_know_of() -> None:
    """Its backup is older than the migration: its record of the extent has the lower generation."""
    extent_map = (
        ExtentMap.empty(1)
        .apply(make_delta(0, 1, make_record("x", 1)))
        .apply(make_delta(1, 2, make_record("x", 2, 1, 2)))
    )
    old = make_record("x", 1)
    extent_map = extent_map.apply(make_delta(0, 0, old, epoch=2, is_snapshot=True, covered_epochs=(LogPosition(1, 1),)))
    found = extent_map.find("v", "x")
    assert found is not None and found.shard == 2


def test_what_a_restored_service_never_knew_stays_until_it_is_reported() -> None:
    extent_map = (
        ExtentMap.empty(1)
        .apply(make_delta(0, 1, make_record("a", 1)))
        .apply(make_delta(1, 2, make_record("new", 3, 0, 2)))
    )
    restored = make_delta(0, 0, epoch=2, is_snapshot=True, covered_epochs=(LogPosition(1, 1),))
    extent_map = extent_map.apply(restored)
    assert extent_map.find("v", "a") is None  # known to the backup, and gone since
    assert extent_map.find("v", "new") is not None  # made after the backup: the service lost it, not the data


def test_a_deleted_extent_is_not_brought_back_by_a_late_delta() -> None:
    first = make_delta(0, 1, make_record("x", 1))
    extent_map = ExtentMap.empty(1).apply(make_delta(0, 5, is_snapshot=True)).apply(first)
    assert extent_map.find("v", "x") is None and len(extent_map) == 0


def test_what_changed_nothing_is_the_same_map_and_the_rest_is_shared() -> None:
    extent_map = ExtentMap.empty(8)
    volumes = [f"v{k}" for k in range(40)]
    for k, v in enumerate(volumes):
        shard = partition_of(v, 8)
        have = extent_map.partitions[shard].complete_to[1]
        extent_map = extent_map.apply(MapDelta(shard, 1, have, have + 1, (make_record("x", k, 0, have + 1, volume=v),)))
    again = extent_map.apply(MapDelta(partition_of("v0", 8), 1, 0, 1, (make_record("x", 0, 0, 1, volume="v0"),)))
    assert again is extent_map
    at = partition_of("v3", 8)
    have = extent_map.partitions[at].complete_to[1]
    other = extent_map.apply(MapDelta(at, 1, have, have + 1, (make_record("x", 99, 1, have + 1, volume="v3"),)))
    assert [a is b for a, b in zip(extent_map.partitions, other.partitions, strict=True)].count(False) == 1
    old, new = extent_map.find("v3", "x"), other.find("v3", "x")
    assert old is not None and new is not None and (old.shard, new.shard) == (3, 99)


def test_a_record_of_a_node_is_joined_and_says_nothing_of_the_log() -> None:
    extent_map = ExtentMap.empty(1).apply(make_delta(0, 1, make_record("x", 1)))
    told = extent_map.merge_record(make_record("x", 5, 3))
    found = told.find("v", "x")
    assert found is not None and found.shard == 5 and told.partitions[0].complete_to == (1, 1)
    assert told.merge_record(make_record("x", 4, 2)) is told


@pytest.mark.parametrize(
    ("bad", "why"),
    [
        (MapDelta(3, 1, 0, 1, ()), "there are 1 shards"),
        (make_delta(2, 1), "do not fall"),
        (make_delta(1, 2, is_snapshot=True), "begins at 0"),
        (make_delta(0, 1, make_record("x", 1, 0, 5)), "later fact"),
        (make_delta(0, 1, make_record("x", -1)), "lies nowhere"),
        (make_delta(0, 1, covered_epochs=(LogPosition(1, 1),)), "covers"),
    ],
)
def test_a_delta_that_contradicts_itself_is_not_applied(bad: MapDelta, why: str) -> None:
    with pytest.raises(DeltaError, match=why):
        ExtentMap.empty(1).apply(bad)
