"""The extent map: whatever comes late, twice, out of order or from a restored service, all heads end with one map."""

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


def fact(
    extent: str,
    cell: int,
    generation: int = 0,
    version: int = 1,
    epoch: int = 1,
    volume: str = "v",
    state: ExtentState = ExtentState.ACTIVE,
) -> ExtentRecord:
    return ExtentRecord(volume, extent, cell, Stamp(generation, epoch, version), state)


def delta(
    after: int,
    upto: int,
    *facts: ExtentRecord,
    epoch: int = 1,
    whole: bool = False,
    covers: tuple[LogPosition, ...] = (),
) -> MapDelta:
    return MapDelta(0, epoch, after, upto, facts, whole, covers)


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
    """A map service of one shard as a history: each change a delta, now and then a snapshot, now and then restored
    from an older state. What it says of an extent never goes back in generation, as nodes would not take the fence."""

    def __init__(self, random: Random) -> None:
        self.random, self.epoch, self.version = random, 1, 0
        self.table: dict[str, ExtentRecord] = {}
        self.covers: dict[int, int] = {}
        self.generations: dict[str, int] = {}
        self.said: list[MapDelta] = []

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
            made = fact(extent, self.random.randrange(9), self.generations[extent], self.version, self.epoch)
            self.table[extent] = made
        self.said.append(delta(self.version - 1, self.version, made, epoch=self.epoch))

    def snapshot(self) -> MapDelta:
        made = delta(
            0,
            self.version,
            *self.table.values(),
            epoch=self.epoch,
            whole=True,
            covers=tuple(LogPosition(*row) for row in sorted(self.covers.items())),
        )
        self.said.append(made)
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


def content(m: ExtentMap) -> dict[str, tuple[int, Stamp]]:
    return {f.extent: (f.shard, f.stamp) for f in m.records() if f.state is not ExtentState.DELETED}


@settings(max_examples=300)
@given(st.integers(0, 10**6), st.integers(1, 25), st.randoms(use_true_random=False))
def test_any_order_of_the_same_deltas_ends_in_what_the_service_holds(seed: int, steps: int, random: Random) -> None:
    service = history(seed, steps)
    told = [*service.said, *random.choices(service.said, k=5)]
    random.shuffle(told)
    m = ExtentMap.empty(1)
    for d in told:
        m = m.apply(d)
    assert content(m) == {e: (f.shard, f.stamp) for e, f in service.table.items()}
    assert m.partitions[0].complete_to == (service.epoch, service.version) and m.partitions[0].gap is None
    again = ExtentMap.empty(1)
    for d in service.said:
        again = again.apply(d)
    assert content(again) == content(m)


@settings(max_examples=200)
@given(st.integers(0, 10**6), st.integers(2, 25), st.randoms(use_true_random=False))
def test_a_gap_is_known_until_it_is_filled(seed: int, steps: int, random: Random) -> None:
    service = Service(Random(seed))
    for _ in range(steps):
        service.change()
    lost = random.choice(service.said)
    rest = [d for d in service.said if d is not lost]
    random.shuffle(rest)
    m = ExtentMap.empty(1)
    for d in rest:
        m = m.apply(d)
    if lost.up_to == service.version:
        assert m.partitions[0].complete_to == (1, lost.after)
    else:
        assert m.partitions[0].gap == (lost.after, lost.up_to)
    m = m.apply(lost)
    assert m.partitions[0].gap is None and m.partitions[0].complete_to == (1, service.version)


def test_the_order_of_facts_is_generation_then_epoch_then_version() -> None:
    rows = [fact("x", 1, 0, 9, 9), fact("x", 2, 1, 1, 1), fact("x", 3, 1, 5, 1), fact("x", 4, 1, 2, 2)]
    for k, low in enumerate(rows):
        for high in rows[k + 1 :]:
            assert later(low, high) is high and later(high, low) is high
    assert later(None, rows[0]) is rows[0]
    a, b = fact("x", 1), fact("x", 2)
    assert later(a, b) == later(b, a)


def test_a_restored_service_does_not_undo_a_move_that_nodes_know_of() -> None:
    """Its backup is older than the move; what it says of the extent has the lower generation."""
    m = ExtentMap.empty(1).apply(delta(0, 1, fact("x", 1))).apply(delta(1, 2, fact("x", 2, 1, 2)))
    old = fact("x", 1)
    m = m.apply(delta(0, 0, old, epoch=2, whole=True, covers=(LogPosition(1, 1),)))
    found = m.find("v", "x")
    assert found is not None and found.shard == 2


def test_what_a_restored_service_never_knew_stays_until_it_is_told_of() -> None:
    m = ExtentMap.empty(1).apply(delta(0, 1, fact("a", 1))).apply(delta(1, 2, fact("new", 3, 0, 2)))
    restored = delta(0, 0, epoch=2, whole=True, covers=(LogPosition(1, 1),))
    m = m.apply(restored)
    assert m.find("v", "a") is None  # known to the backup, and gone since
    assert m.find("v", "new") is not None  # made after the backup: the service lost it, not the data


def test_a_deleted_extent_is_not_brought_back_by_a_late_delta() -> None:
    first = delta(0, 1, fact("x", 1))
    m = ExtentMap.empty(1).apply(delta(0, 5, whole=True)).apply(first)
    assert m.find("v", "x") is None and len(m) == 0


def test_what_changed_nothing_is_the_same_map_and_the_rest_is_shared() -> None:
    m = ExtentMap.empty(8)
    volumes = [f"v{k}" for k in range(40)]
    for k, v in enumerate(volumes):
        shard = partition_of(v, 8)
        have = m.partitions[shard].complete_to[1]
        m = m.apply(MapDelta(shard, 1, have, have + 1, (fact("x", k, 0, have + 1, volume=v),)))
    again = m.apply(MapDelta(partition_of("v0", 8), 1, 0, 1, (fact("x", 0, 0, 1, volume="v0"),)))
    assert again is m
    at = partition_of("v3", 8)
    have = m.partitions[at].complete_to[1]
    other = m.apply(MapDelta(at, 1, have, have + 1, (fact("x", 99, 1, have + 1, volume="v3"),)))
    assert [a is b for a, b in zip(m.partitions, other.partitions, strict=True)].count(False) == 1
    old, new = m.find("v3", "x"), other.find("v3", "x")
    assert old is not None and new is not None and (old.shard, new.shard) == (3, 99)


def test_a_hint_of_a_node_is_joined_and_says_nothing_of_the_log() -> None:
    m = ExtentMap.empty(1).apply(delta(0, 1, fact("x", 1)))
    told = m.merge_record(fact("x", 5, 3))
    found = told.find("v", "x")
    assert found is not None and found.shard == 5 and told.partitions[0].complete_to == (1, 1)
    assert told.merge_record(fact("x", 4, 2)) is told


@pytest.mark.parametrize(
    ("bad", "why"),
    [
        (MapDelta(3, 1, 0, 1, ()), "there are 1 shards"),
        (delta(2, 1), "do not fall"),
        (delta(1, 2, whole=True), "begins at 0"),
        (delta(0, 1, fact("x", 1, 0, 5)), "later fact"),
        (delta(0, 1, fact("x", -1)), "lies nowhere"),
        (delta(0, 1, covers=(LogPosition(1, 1),)), "covers"),
    ],
)
def test_a_delta_that_contradicts_itself_is_not_applied(bad: MapDelta, why: str) -> None:
    with pytest.raises(DeltaError, match=why):
        ExtentMap.empty(1).apply(bad)
