"""The extent map over sockets and on disk: watched, cut off, restored, restarted, damaged."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket

from fawnspool.extents import checkpointing
from fawnspool.extents.map import ExtentMap, Partition
from fawnspool.extents.records import (
    LOG_START,
    NO_SHARD,
    ExtentRecord,
    ExtentState,
    ExtentWrite,
    MapDelta,
    Stamp,
)
from fawnspool.extents.staleness import MigrationObservation, Staleness, StalenessSettings
from fawnspool.gateway import map_store
from fawnspool.gateway.extent_directory import ExtentDirectory
from fawnspool.gateway.map_client import MapClient, MapServiceError
from fawnspool.gateway.map_store import MapCheckpoint, load_map, save_map
from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.frames import FrameWriter
from fawnspool.standins.map_database import MapDatabase
from fawnspool.standins.map_service import MapServer
from fawnspool.telemetry import logs
from tests.e2e.rig import Rig, wait_for

logs.set_up("none")


class Gateways:
    """A map service, and the extent directories of gateways that watch it."""

    def __init__(self, folder: Path, database: MapDatabase | None = None) -> None:
        self.folder = folder
        self.directories = list[ExtentDirectory]()
        self.service = MapServer(("127.0.0.1", 0), database or MapDatabase(partition_count=4))
        self.database = self.service.database

    def directory(self, folder: str = "", settings: StalenessSettings | None = None) -> ExtentDirectory:
        """Start a gateway's directory; one with a folder saves its map there."""
        staleness = Staleness(settings or StalenessSettings(), 1, len(self.directories))
        checkpoint = MapCheckpoint(self.folder / folder, BackgroundWriter(), lambda problem: None) if folder else None
        client = MapClient(self.service.address, 0.3)
        made = ExtentDirectory(client, staleness, logs.get(), checkpoint=checkpoint)
        made.start()
        self.directories.append(made)
        return made

    def replace(self, database: MapDatabase) -> None:
        """Another life of the service at the same address."""
        self.service.stop()
        self.service.database = self.database = database
        self.service.start()

    def close(self) -> None:
        for directory in self.directories:
            directory.stop()
        self.service.stop()


@pytest.fixture
def gateways(tmp_path: Path) -> Iterator[Gateways]:
    made = Gateways(tmp_path)
    yield made
    made.close()


def soon() -> float:
    return time.monotonic() + 2


def cell(directory: ExtentDirectory, key: str) -> int | None:
    found = directory.map.find("v", key)
    return None if found is None else found.shard


def test_all_heads_hear_of_a_change_and_send_without_asking(gateways: Gateways) -> None:
    gateways.database.put("v", "old", 1, 10)
    a, b = gateways.directory(), gateways.directory()
    wait_for(lambda: cell(a, "old") == cell(b, "old") == 1)
    assert a.record_write(ExtentWrite("v", "new", 2, 5), soon())
    wait_for(lambda: cell(b, "new") == 2)
    gateways.database.record_migration("v", "old", 3, 1)
    wait_for(lambda: cell(a, "old") == cell(b, "old") == 3)
    asked = gateways.service.call_count
    assert [b.find("v", k, soon()) for k in ("old", "new") for _ in range(50)] == [(3, 10)] * 50 + [(2, 5)] * 50
    assert gateways.service.call_count == asked and b.cached_answers == 100 and b.stale_for_s() == 0
    a.delete("v", "new", soon())
    assert a.find("v", "new", soon()) is None
    wait_for(lambda: cell(b, "new") is None)
    assert b.list_keys("v", "", "", 10) == ([("old", 10)], False)


def test_what_the_map_does_not_hold_is_asked_for_and_the_first_of_two_stands(gateways: Gateways) -> None:
    a = gateways.directory()
    wait_for(a.is_service_reachable)
    assert a.find("v", "none", soon()) is None and a.lookups == 1
    gateways.database.put("v", "k", 4, 1)
    assert a.find("v", "k", soon()) == (4, 1)
    assert not a.record_write(ExtentWrite("v", "k", 2, 1, is_new=True), soon()) and a.find("v", "k", soon()) == (4, 1)


def test_a_service_that_is_away_leaves_the_last_good_map_and_says_so(gateways: Gateways) -> None:
    a = gateways.directory(settings=StalenessSettings(heartbeat_interval_s=0.1))
    gateways.database.put("v", "k", 1, 1)
    wait_for(lambda: cell(a, "k") == 1)
    gateways.service.stop()
    wait_for(lambda: not a.is_service_reachable() and a.stale_for_s() > 0.2)
    assert a.find("v", "k", soon()) == (1, 1) and a.status()["reachable"] is False
    with pytest.raises(MapServiceError):
        a.find("v", "other", soon())
    gateways.database.record_migration("v", "k", 2, 1)  # moved while nobody was told
    gateways.service.start()
    wait_for(lambda: cell(a, "k") == 2)
    wait_for(lambda: a.stale_for_s() == 0)


def test_heads_that_lost_the_service_come_back_spread(gateways: Gateways) -> None:
    """40 heads, 20 calls a second borne: their watches come back over two seconds and more, not at once."""
    settings = StalenessSettings(gateway_count=40, service_calls_per_s=20.0)
    made = [gateways.directory(settings=settings) for _ in range(40)]
    wait_for(lambda: all(p.is_service_reachable() for p in made))
    pauses = sorted(p.staleness.watch_lost(time.monotonic()) for p in made)
    assert pauses[0] >= 2.0 and pauses[-1] - pauses[0] > 2.0
    assert max(sum(x <= p < x + 1 for p in pauses) for x in pauses) <= 25


def test_a_restored_service_is_followed_and_its_heads_keep_what_it_never_knew(tmp_path: Path) -> None:
    gateways = Gateways(tmp_path, MapDatabase(tmp_path / "map", 4))
    try:
        a = gateways.directory()
        gateways.database.put("v", "k", 1, 1)
        gateways.database.backup(tmp_path / "hour-ago")
        gateways.database.record_migration("v", "k", 2, 1)
        gateways.database.put("v", "young", 3, 1)
        wait_for(lambda: (cell(a, "k"), cell(a, "young")) == (2, 3))
        gateways.replace(MapDatabase(tmp_path / "hour-ago"))
        gateways.database.put("v", "after", 5, 1)
        wait_for(lambda: cell(a, "after") == 5)
        assert (cell(a, "k"), cell(a, "young")) == (2, 3)  # the move holds: data decide
    finally:
        gateways.close()


def test_another_number_of_shards_is_another_map(gateways: Gateways) -> None:
    a = gateways.directory("disk")
    gateways.database.put("v", "k", 1, 1)
    wait_for(lambda: cell(a, "k") == 1 and load_map(gateways.folder / "disk").map is not None)
    other = MapDatabase(partition_count=7)
    other.put("v", "z", 2, 1)
    gateways.replace(other)
    wait_for(lambda: cell(a, "z") == 2)
    assert cell(a, "k") is None and len(a.map.partitions) == 7
    wait_for(lambda: len(load_map(gateways.folder / "disk").map.partitions) == 7)  # type: ignore[union-attr]


@pytest.mark.parametrize(
    "line",
    [
        b"{}",
        b"[" * 5000,
        b'{"shards": 0}',
        b'{"shards": 1e9}',
        b'{"shards": "4"}',
        b'{"shards": 4}\n{"shard": 9, "epoch": 1, "after": 0, "upto": 1, "facts": []}',
        b'{"shards": 4}\n{"shard": 0, "epoch": 0, "after": 2, "upto": 1, "facts": []}',
    ],
)
def test_a_watch_that_says_what_can_t_be_ends_and_changes_nothing(gateways: Gateways, line: bytes) -> None:
    a = gateways.directory()
    gateways.database.put("v", "k", 1, 1)
    wait_for(lambda: cell(a, "k") == 1)
    gateways.service.stop()
    held, told = a.map, list[bytes]()
    liar = socket.socket()
    liar.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    liar.bind(gateways.service.address)
    liar.listen()
    liar.settimeout(5)
    try:
        sock, _ = liar.accept()
        told.append(sock.recv(4096))
        body = line + b"\n"
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(body), body))
        assert sock.recv(10) == b""  # the head hangs up
        sock.close()
    finally:
        liar.close()
    assert told[0].startswith(b"GET /watch?told=") and a.map is held and not a.is_service_reachable()


@pytest.mark.parametrize("query", ["told=1.1", "told=a.b,1.1,1.1,1.1", "told=-1.0,0.0,0.0,0.0", "", "other=1"])
def test_a_watch_that_does_not_read_harms_nobody(gateways: Gateways, query: str) -> None:
    gateways.database.put("v", "k", 1, 1)
    sock = socket.create_connection(gateways.service.address, timeout=5)
    sock.sendall(f"GET /watch?{query} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
    assert sock.recv(20).startswith((b"HTTP/1.1 400", b"HTTP/1.1 200"))
    sock.close()
    a = gateways.directory()
    wait_for(lambda: cell(a, "k") == 1)


# ---------------------------------------------------------------- on disk


def test_a_restarted_head_serves_from_its_file_and_says_how_old_it_is(gateways: Gateways) -> None:
    a = gateways.directory("disk")
    for k in range(30):
        gateways.database.put("v", f"x{k}", k % 4, 1)
    wait_for(lambda: len(a.map) == 30)
    a.stop()
    assert a.checkpoint is not None and a.checkpoint.background.close()
    gateways.service.stop()
    b = gateways.directory("disk")  # the service is away as it starts
    assert [b.find("v", f"x{k}", soon()) for k in range(30)] == [(k % 4, 1) for k in range(30)]
    assert 0 <= b.age_s() < 30 and b.status()["age_s"] is not None
    gateways.database.record_migration("v", "x1", 9, 1)
    gateways.service.start()
    before = gateways.service.call_count
    wait_for(lambda: cell(b, "x1") == 9)
    assert gateways.service.call_count > before and b.map.partitions[0].gap is None


def saved(folder: Path, count: int = 2500, more: int = 5) -> ExtentMap:
    """A map file of `count` extents and a log of `more`."""
    c, m = MapDatabase(partition_count=4), ExtentMap.empty(4)
    for k in range(count):
        c.put(f"v{k % 3}", f"x{k}", k % 5, k)
    for k in range(4):
        for delta in c.deltas_since(k, LOG_START):
            m = m.apply(delta)
    folder.mkdir(parents=True)
    save_map(folder / "map.rec", m, time.time() - 60)
    writer = FrameWriter(folder / "map.log.rec")
    for k in range(more):
        c.put("v0", f"y{k}", 1, 1)
        for shard in range(4):
            for delta in c.deltas_since(shard, m.partitions[shard].complete_to):
                m = m.apply(delta)
                writer.put([4, delta])
    writer.put([6, time.time() - 7])
    writer.close()
    c.close()
    return m


def position(partition: Partition) -> tuple[Any, ...]:
    return partition.complete_to, partition.pending_ranges, partition.snapshot_floors


def same(a: ExtentMap | None, b: ExtentMap) -> bool:
    def table(m: ExtentMap) -> dict[tuple[str, str], Any]:
        return {(f.volume, f.extent): f for f in m.records()}

    return (
        a is not None
        and table(a) == table(b)
        and [position(s) for s in a.partitions] == [position(s) for s in b.partitions]
    )


def test_a_file_gives_back_what_was_saved(tmp_path: Path) -> None:
    m = saved(tmp_path / "d")
    found = load_map(tmp_path / "d")
    assert same(found.map, m) and found.problem == "" and 6 < time.time() - found.complete_at < 20
    assert load_map(tmp_path / "none") == map_store.SavedMap()


def test_a_torn_log_is_read_up_to_its_tear_at_every_byte(tmp_path: Path) -> None:
    m = saved(tmp_path / "d", 20, 3)
    log = tmp_path / "d" / "map.log.rec"
    data, sizes = log.read_bytes(), set[int]()
    for cut in range(8, len(data)):
        log.write_bytes(data[:cut])
        found = load_map(tmp_path / "d")
        assert found.map is not None and 20 <= len(found.map) <= len(m)
        sizes.add(len(found.map))
    assert sizes == {20, 21, 22, 23}


@pytest.mark.parametrize("damage", ["end", "byte", "form", "magic", "empty"])
def test_a_whole_map_that_is_damaged_is_not_used_and_said(tmp_path: Path, damage: str) -> None:
    saved(tmp_path / "d")
    path = tmp_path / "d" / "map.rec"
    data = path.read_bytes()
    if damage == "form":
        writer = FrameWriter(path)
        writer.put([0, 99, 4, 0.0])
        writer.close()
    else:
        path.write_bytes(
            {
                "end": data[:-9],
                "byte": data[:5000] + bytes([data[5000] ^ 1]) + data[5001:],
                "magic": b"FAWNREC9" + data[8:],
                "empty": b"",
            }[damage]
        )
    found = load_map(tmp_path / "d")
    assert found.map is None and "map.rec" in found.problem


def test_a_disk_that_takes_nothing_costs_the_file_and_is_tried_again(
    gateways: Gateways, monkeypatch: pytest.MonkeyPatch
) -> None:
    a = gateways.directory("disk")
    problems: list[str] = []
    assert a.checkpoint is not None
    a.checkpoint.report_problem = problems.append
    monkeypatch.setattr(checkpointing, "RETRY_DELAY_S", 0.05)
    real = map_store.save_map

    def full(path: Path, m: Any, at: float) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(map_store, "save_map", full)
    a.checkpoint.policy.discard_checkpoint()
    gateways.database.put("v", "a", 1, 1)
    wait_for(lambda: cell(a, "a") == 1 and a.checkpoint is not None and a.checkpoint.problem)
    gateways.database.put("v", "b", 2, 1)
    wait_for(lambda: problems == ["No space left on device"])
    assert a.find("v", "b", soon()) == (2, 1)
    monkeypatch.setattr(map_store, "save_map", real)
    time.sleep(0.1)
    gateways.database.put("v", "c", 3, 1)
    wait_for(lambda: same(load_map(gateways.folder / "disk").map, a.map))


def test_the_log_does_not_outgrow_the_map(gateways: Gateways, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(checkpointing, "MIN_LOG_CAPACITY", 50)
    a = gateways.directory("disk")
    wait_for(a.is_service_reachable)
    for n in range(400):
        gateways.database.put("v", "x", n, n)
        gevent.sleep(0.001)
    wait_for(lambda: cell(a, "x") == 399)
    wait_for(lambda: same(load_map(gateways.folder / "disk").map, a.map))
    assert (gateways.folder / "disk" / "map.log.rec").stat().st_size < 60 * 200


def test_what_a_call_told_is_saved_too(gateways: Gateways) -> None:
    a = gateways.directory("disk")
    wait_for(a.is_service_reachable)
    gateways.database.watchers.clear()  # the watch says nothing more
    assert a.record_write(ExtentWrite("v", "k", 2, 5), soon()) and a.record_write(ExtentWrite("v", "l", 3, 5), soon())
    wait_for(lambda: same(load_map(gateways.folder / "disk").map, a.map))
    assert len(a.map) == 2


def test_a_service_that_is_killed_has_every_change_that_it_answered(tmp_path: Path) -> None:
    """The real process, killed in the middle of changes; its successor is another life, and a head follows."""

    def start(port: int) -> tuple[subprocess.Popen[str], int]:
        made = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "fawnspool.cli",
                "standin",
                "catalogue",
                "--listen",
                f"127.0.0.1:{port}",
                "--data",
                str(tmp_path / "map.lmdb"),
            ],
            cwd=Path(__file__).parents[2],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert made.stdout is not None
        return made, int(made.stdout.readline().rpartition(":")[2])

    process, port = start(0)
    map_client = MapClient(("127.0.0.1", port), 2.0)
    directory = ExtentDirectory(map_client, Staleness(StalenessSettings(), 1, 1), logs.get())
    try:
        directory.start()
        wait_for(directory.is_service_reachable)
        for k in range(200):
            assert directory.record_write(ExtentWrite("v", f"x{k}", k % 7, k), soon())
        gevent.spawn_later(0.05, process.kill)
        done = 200
        with pytest.raises(MapServiceError):
            for k in range(200, 100_000):
                directory.record_write(ExtentWrite("v", f"x{k}", k % 7, k), soon())
                done += 1
        process.wait()
        process, _ = start(port)
        again = MapClient(("127.0.0.1", port), 2.0)
        for k in range(done):
            fact = again.find_record("v", f"x{k}")
            assert fact is not None and fact.shard == k % 7
        wait_for(directory.is_service_reachable)
        assert again.record_migration("v", "x0", 9, 1) is not None
        wait_for(lambda: cell(directory, "x0") == 9)
    finally:
        directory.stop()
        process.kill()
        process.communicate()


# ---------------------------------------------------------------- in the running head


def test_the_head_tells_how_old_its_map_is_and_finds_what_has_moved(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    try:
        c = rig.client()
        assert c.ask("PUT", "/v1/volumes/v/objects/k", b"bytes").status == 201
        got: Any = c.ask("GET", "/v1/volumes/v/objects/k")
        assert got.data == b"bytes" and got.getheader("Fawn-Map-Age-Ms") is None
        place = rig.catalogue.database.find("v", "k")
        assert place is not None
        here, there = place[0], 1 - place[0]
        store = rig.nodes[there].store  # its bytes lie at the other node; the watch is cut off
        draft = store.draft()
        draft.add(b"bytes")
        store.commit(draft, "v", "k")
        rig.nodes[here].store.delete("v", "k")
        rig.catalogue.database.watchers.clear()
        rig.catalogue.database.record_migration("v", "k", there, 1)
        got = c.ask("GET", "/v1/volumes/v/objects/k")
        assert (got.status, got.data) == (200, b"bytes") and rig.head.extent_directory.misdirected_sends == 1
        got = c.ask("GET", "/v1/volumes/v/objects/k")  # once it was told, no send goes wrong
        assert got.data == b"bytes" and rig.head.extent_directory.misdirected_sends == 1
        rig.catalogue.stop()
        wait_for(lambda: rig.head.extent_directory.stale_for_s() > 0, 10)
        got = c.ask("GET", "/v1/volumes/v/objects/k")
        assert got.data == b"bytes" and int(got.getheader("Fawn-Map-Age-Ms")) > 1000
        status = rig.head.status()["map"]
        assert status["extents"] == 1 and not status["reachable"] and status["wrong_sends"] == 1
        page = rig.head.exporter.page().decode()
        assert "fawnspool_map_wrong_sends_total 1.0" in page and "fawnspool_map_age_seconds " in page
    finally:
        rig.stop()


@pytest.fixture
def observed(monkeypatch: pytest.MonkeyPatch) -> list[MigrationObservation]:
    """What directories tell of migrations."""
    seen = list[MigrationObservation]()
    notified = Staleness.notified

    def note(self: Staleness, now: float, partition: int, complete: bool, observed: Any = None) -> None:
        seen.extend([observed] if observed is not None else [])
        notified(self, now, partition, complete, observed)

    monkeypatch.setattr(Staleness, "notified", note)
    return seen


def small_directory() -> ExtentDirectory:
    """One of a single partition that holds two extents."""
    directory = ExtentDirectory(MapClient(("127.0.0.1", 1), 0.1), Staleness(StalenessSettings(), 1, 1), logs.get())
    directory.watch_began(1)
    records = tuple(ExtentRecord("v", key, 3, Stamp(1, 1, version)) for version, key in enumerate("ab", 1))
    directory.delta_received(MapDelta(0, 1, 0, 2, records, is_snapshot=True))
    return directory


def test_a_delete_is_no_migration(observed: list[MigrationObservation]) -> None:
    """Guards against questions to the map service that grow with deletes, which leave no record to be stale."""
    directory = small_directory()
    tombstone = ExtentRecord("v", "a", NO_SHARD, Stamp(2, 1, 3), ExtentState.DELETED)
    moved = ExtentRecord("v", "b", 4, Stamp(2, 1, 4))
    directory.delta_received(MapDelta(0, 1, 2, 3, (tombstone,)))
    directory.delta_received(MapDelta(0, 1, 3, 4, (moved,)))
    assert [seen.migrations for seen in observed] == [0, 1]


def test_the_first_span_of_a_map_of_one_partition_begins_with_the_directory(
    observed: list[MigrationObservation],
) -> None:
    """Guards against a first span that is the machine's uptime: its migrations count as next to none."""
    began = time.monotonic()
    directory = ExtentDirectory(MapClient(("127.0.0.1", 1), 0.1), Staleness(StalenessSettings(), 1, 1), logs.get())
    directory.watch_began(1)
    directory.delta_received(MapDelta(0, 1, 0, 1, (ExtentRecord("v", "a", 3, Stamp(1, 1, 1)),)))
    assert len(observed) == 1 and observed[0].span_s <= time.monotonic() - began
