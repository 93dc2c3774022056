"""The list, the catalogue, the meter, peers and repeats: late, wrong, restarted, gone."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from fawnspool.extents.records import ExtentWrite
from fawnspool.gateway.endpoint_client import EndpointClient, EndpointClientConfig
from fawnspool.gateway.greenlet_pool import GreenletPool
from fawnspool.gateway.map_client import MapClient, MapServiceError
from fawnspool.gateway.peers import PeerSocket
from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.frames import FrameWriter
from fawnspool.scheduling import interface
from fawnspool.standins.deduplication import IdempotencyKeys, PriorClaim
from fawnspool.standins.map_database import MapDatabase
from fawnspool.standins.map_service import MapServer
from fawnspool.standins.meter import MeterClient, MeterServer
from fawnspool.standins.nodelist import NodeListEntry, NodeListServer
from fawnspool.telemetry import logs
from tests.e2e.rig import wait_for

logs.set_up("none")


def entry(node: int, phase: str = "ready", started: float = -1.0) -> NodeListEntry:
    return NodeListEntry(node, f"127.0.0.1:{7000 + node}", "zone-a", node, phase, started_at=started)


class Hearer:
    """A list client and what it told."""

    def __init__(self, server: NodeListServer, tmp: Path, pushes: bool) -> None:
        self.events: list[interface.EndpointUpdate] = []
        config = EndpointClientConfig(
            address=server.address,
            gateway_id=0,
            zones=("zone-a",),
            kinds=("node",),
            pushes=pushes,
            call_timeout_s=0.5,
            cache=tmp / "list.json",
        )
        self.client = EndpointClient(config, self.events.append, logs.get(), BackgroundWriter())

    def kinds(self) -> list[interface.UpdateKind]:
        return [e.kind for e in self.events]


@pytest.fixture
def service() -> Iterator[NodeListServer]:
    server = NodeListServer(("127.0.0.1", 0), [entry(1), entry(2)])
    yield server
    server.stop()


def test_a_pushing_list_tells_changes_and_survives_its_loss(service: NodeListServer, tmp_path: Path) -> None:
    h = Hearer(service, tmp_path, True)
    h.client.start()
    wait_for(lambda: h.kinds() == [interface.UpdateKind.CACHED, interface.UpdateKind.SNAPSHOT])
    assert h.events[0].entries == () and len(h.events[1].entries) == 2
    began = time.monotonic()
    service.change(entry(3, started=began))
    wait_for(lambda: len(h.events) == 3)
    assert h.events[2].kind is interface.UpdateKind.DELTA
    assert abs(h.events[2].entries[0].started_at - began) < 0.5 and 3 in h.client.nodes
    service.change(entry(2, "gone"))
    wait_for(lambda: 2 not in h.client.nodes)
    service.stop()
    wait_for(lambda: h.kinds()[-1] is interface.UpdateKind.POLL_FAILED)
    assert not h.client.reachable and set(h.client.nodes) == {1, 3}  # the list it has stands
    before = len(h.events)
    h.client.fetch()
    wait_for(lambda: len(h.events) == before + 1)  # one failure, one event
    service.change(entry(4))
    service.start()
    h.client.fetch()
    wait_for(lambda: h.kinds()[-1] is interface.UpdateKind.SNAPSHOT)
    assert set(h.client.nodes) == {1, 3, 4}
    h.client.stop()


def test_a_list_that_must_be_asked(service: NodeListServer, tmp_path: Path) -> None:
    h = Hearer(service, tmp_path, False)
    h.client.start()
    gevent.sleep(0.05)
    assert h.kinds() == [interface.UpdateKind.CACHED]
    h.client.fetch()
    wait_for(lambda: h.kinds()[-1] is interface.UpdateKind.SNAPSHOT)
    h.client.watch(True)
    wait_for(lambda: len(h.events) == 3 and h.events[-1].kind is interface.UpdateKind.DELTA)  # nothing new: no entries
    service.change(entry(5))
    wait_for(lambda: 5 in h.client.nodes)
    h.client.watch(False)
    gevent.sleep(0.02)
    service.change(entry(6))
    gevent.sleep(0.1)
    assert 6 not in h.client.nodes
    h.client.stop()


def test_the_last_list_is_kept_on_disk_and_a_torn_one_is_told(service: NodeListServer, tmp_path: Path) -> None:
    h = Hearer(service, tmp_path, True)
    h.client.start()
    wait_for(lambda: len(h.events) == 2)
    h.client.stop()
    service.stop()
    again = Hearer(service, tmp_path, False)
    again.client.start()
    assert again.kinds() == [interface.UpdateKind.CACHED] and {e.node for e in again.events[0].entries} == {1, 2}
    (tmp_path / "list.json").write_bytes(b'{"version": 3, "entr')
    torn = Hearer(service, tmp_path, False)
    torn.client.start()
    assert torn.events[0].entries == ()


def test_a_late_list_is_late(service: NodeListServer, tmp_path: Path) -> None:
    h = Hearer(service, tmp_path, True)
    h.client.start()
    wait_for(lambda: len(h.events) == 2)
    service.delay_s = 0.2
    began = time.monotonic()
    service.change(entry(9))
    wait_for(lambda: 9 in h.client.nodes)
    assert time.monotonic() - began >= 0.2
    h.client.stop()


def test_the_catalogue_keeps_places_over_a_restart(tmp_path: Path) -> None:
    path = tmp_path / "places.lmdb"
    server = MapServer(("127.0.0.1", 0), MapDatabase(path))
    client = MapClient(server.address, 0.5)
    assert client.find_record("v", "a") is None
    stands, taken = client.record_write(ExtentWrite("v", "a", 3, 100))
    assert taken and (stands.shard, stands.size) == (3, 100) and client.record_write(ExtentWrite("v", "b/1", 1, 5))[1]
    stands, taken = client.record_write(ExtentWrite("v", "a", 4, 100, is_new=True))
    assert not taken and (stands.shard, stands.size) == (3, 100)  # another came first, and stands
    assert client.record_write(ExtentWrite("v", "a", 4, 200))[1]
    assert client.delete("v", "b/1") is not None and client.delete("v", "b/1") is None
    assert client.list_keys("v", "", "", 10) == ([("a", 200)], False)
    with pytest.raises(MapServiceError, match="can't be reached"):
        client.with_deadline(time.monotonic() - 1).find_record("v", "a")
    server.stop()
    with pytest.raises(MapServiceError, match="can't be reached"):
        client.find_record("v", "a")
    server.database.close()
    again = MapDatabase(path)
    assert again.find("v", "a") == (4, 200) and again.find("v", "b/1") is None
    again.close()


def test_a_catalogue_of_the_form_before_is_taken_over(tmp_path: Path) -> None:
    path = tmp_path / "places.rec"
    writer = FrameWriter(path)
    for row in (["v", "a", 3, 100], ["v", "b", 1, 5], ["v", "a", 4, 200], ["v", "b", -1, 0]):
        writer.put(row)
    writer.close()
    made = MapDatabase(path)
    assert made.find("v", "a") == (4, 200) and made.find("v", "b") is None
    assert (tmp_path / "places.rec.before-lmdb").exists()
    made.close()


def test_the_meter_adds_up_over_nodes() -> None:
    server = MeterServer(("127.0.0.1", 0), 0.2)
    a, b = MeterClient(server.address, 0.05), MeterClient(server.address, 0.05)
    for _ in range(3):
        a.add_served("v", 4.0)
        b.add_served("v", 6.0)
    assert a.units_per_s("v") is None
    wait_for(lambda: (a.units_per_s("v") or 0) > 0 and (b.units_per_s("v") or 0) > 0)
    assert a.units_per_s("v") == pytest.approx(30 / 0.2, rel=0.01)
    for one in (a, b, server):
        one.stop()  # type: ignore[attr-defined]


def test_datagrams_count_once_and_strangers_do_not_count() -> None:
    heard: list[Any] = []
    b = PeerSocket(("127.0.0.1", 0), 1, {0: ("127.0.0.1", 1)}, heard.append)
    a = PeerSocket(("127.0.0.1", 0), 0, {1: b.address, 2: ("127.0.0.1", 1)}, heard.append)
    a.send(None, b"hello")
    a.send(1, b"again")
    wait_for(lambda: len(heard) == 2)
    assert heard == [interface.PeerMessage(0, b"hello"), interface.PeerMessage(0, b"again")]
    sent = a.sock.sendto
    a.sock.sendto(b"nonsense", b.address)
    a.sock.sendto(b"FP1" + (7).to_bytes(4, "big") + bytes(16) + b"stranger", b.address)
    a.last_number -= 1
    a.send(1, b"twice")  # the same number: a datagram that came twice
    a.send(1, b"new")
    wait_for(lambda: len(heard) == 3)
    assert heard[2].body == b"new" and sent
    a.stop()
    b.stop()


def test_idle_greenlets_are_kept_within_a_bound_and_end_with_their_pool() -> None:
    pool = GreenletPool(2)
    done: list[int] = []

    def work(k: int) -> None:
        gevent.sleep(0.001)
        done.append(k)

    for k in range(6):
        pool.submit(work, k)
    wait_for(lambda: len(done) == 6)
    wait_for(lambda: len(pool.idle) == 2)
    pool.submit(work, 7)
    wait_for(lambda: done[-1] == 7 and len(pool.idle) == 2)
    pool.submit(work, 8)
    pool.stop()
    wait_for(lambda: done[-1] == 8 and not pool.idle)


def test_repeats_are_dropped_for_their_window_by_all_of_a_group(tmp_path: Path) -> None:
    one, other = IdempotencyKeys(tmp_path), IdempotencyKeys(tmp_path)
    assert one.claim("k", 10) is None and other.claim("k", 10) == PriorClaim(etag=None)
    one.complete("k", "etag")
    assert other.claim("k", 10) == PriorClaim("etag") and one.claim("k", 10) == PriorClaim("etag")
    assert other.claim("k", -1) is None  # its window is over
    one.release("k")
    assert other.claim("k", 10) is None
