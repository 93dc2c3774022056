"""Moves between real nodes, under reads and writes: movers that die, two for one extent, nodes that forget."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from click.testing import CliRunner

from fawnspool.cli.main import main
from fawnspool.config.render import render
from fawnspool.extents.migration import Migration, MigrationStep
from fawnspool.extents.records import ExtentKey
from fawnspool.extents.replicas import ReplicaRole
from fawnspool.gateway.map_client import MapClient
from fawnspool.gateway.migrator import Migrator
from fawnspool.net.node_headers import AttemptHeader
from fawnspool.rules.history import read_history
from fawnspool.rules.misdirected import count_misdirected
from fawnspool.telemetry import logs
from tests.e2e.rig import Client, Rig, wait_for

logs.set_up("none")
PLACE = "/v1/volumes/v/objects/"
KEY = ExtentKey("v", "k")


class Killed(BaseException):
    """The migrator's process ends here."""


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path, nodes=3)
    yield made
    made.stop()


def migrator(rig: Rig, until: MigrationStep | None = None) -> Migrator:
    """One that is killed just before a step."""

    def die(step: MigrationStep) -> None:
        if step is until:
            raise Killed

    map_client = MapClient(rig.catalogue.address, 1.0)
    return Migrator(lambda shard: rig.nodes[shard].address, map_client, 1.0, before_step=die)


def soon(seconds: float = 5.0) -> float:
    return time.monotonic() + seconds


def put(rig: Rig, key: str = "k", body: bytes = b"first") -> int:
    """The cell that it came to lie in."""
    assert rig.client().ask("PUT", PLACE + key, body).status in (200, 201)
    found = rig.catalogue.database.find("v", key)
    assert found is not None
    return found[0]


def owners(rig: Rig, key: str = "k") -> list[int]:
    return [
        k
        for k, n in enumerate(rig.nodes)
        if n.replicas.get("v", key).role is ReplicaRole.OWNER and n.store.find("v", key)
    ]


def read(rig: Rig, key: str = "k") -> bytes:
    got: Any = rig.client().ask("GET", PLACE + key)
    assert got.status == 200, (got.status, got.data)
    return bytes(got.data)


def test_an_extent_moves_with_its_bytes_and_its_tag_and_back(rig: Rig) -> None:
    at = put(rig, body=b"x" * 5000)
    tag = rig.nodes[at].store.find("v", "k").etag  # type: ignore[union-attr]
    for to in ((at + 1) % 3, (at + 2) % 3, at):
        assert migrator(rig).migrate(KEY, to, soon()) is MigrationStep.DONE
        assert owners(rig) == [to] and read(rig) == b"x" * 5000
        assert rig.nodes[to].store.find("v", "k").etag == tag  # type: ignore[union-attr]
    assert migrator(rig).migrate(KEY, at, soon()) is MigrationStep.DONE  # it lies there
    assert migrator(rig).migrate(ExtentKey("v", "none"), 1, soon()) is MigrationStep.SUPERSEDED
    assert [n.store.find("v", "k") is not None for n in rig.nodes] == [k == at for k in range(3)]


def test_the_old_node_says_where_it_went_and_the_client_sees_one_answer(rig: Rig) -> None:
    at = put(rig)
    rig.catalogue.database.watchers.clear()  # this head hears of no flip
    assert migrator(rig).migrate(KEY, (at + 1) % 3, soon()) is MigrationStep.DONE
    assert read(rig) == b"first" and rig.head.extent_directory.misdirected_sends == 1
    assert read(rig) == b"first" and rig.head.extent_directory.misdirected_sends == 1  # once told, it knows
    got: Any = rig.client().ask("PUT", PLACE + "k", b"second")
    assert got.status == 200 and read(rig) == b"second" and owners(rig) == [(at + 1) % 3]
    assert rig.catalogue.database.find_record("v", "k").stamp.generation == 1  # type: ignore[union-attr]


@pytest.mark.parametrize(
    "until",
    [
        MigrationStep.BEGIN_FILLING,
        MigrationStep.COPY,
        MigrationStep.FENCE,
        MigrationStep.CATCH_UP,
        MigrationStep.ACTIVATE,
        MigrationStep.UPDATE_MAP,
        MigrationStep.DISCARD_SOURCE,
    ],
)
def test_a_migrator_that_dies_before_a_step_is_resumed_by_another(rig: Rig, until: MigrationStep) -> None:
    at = put(rig)
    to = (at + 1) % 3
    seen: list[MigrationStep] = []
    dies = migrator(rig, until)
    die = dies.before_step

    def write_late(step: MigrationStep) -> None:
        # A write between the copy and the fence, so that there is something to catch up.
        if step is MigrationStep.FENCE and MigrationStep.FENCE not in seen:
            assert rig.client().ask("PUT", PLACE + "k", b"late").status == 200
        seen.append(step)
        die(step)

    dies.before_step = write_late
    with pytest.raises(Killed):
        dies.migrate(KEY, to, soon())
    assert len(owners(rig)) <= 1
    assert migrator(rig).migrate(KEY, to, soon()) is MigrationStep.DONE
    assert owners(rig) == [to] and read(rig) == (b"late" if MigrationStep.FENCE in seen else b"first")


@pytest.mark.parametrize(
    "until",
    [
        MigrationStep.BEGIN_FILLING,
        MigrationStep.COPY,
        MigrationStep.FENCE,
        MigrationStep.CATCH_UP,
        MigrationStep.ACTIVATE,
    ],
)
def test_a_move_is_undone_as_long_as_the_new_node_has_not_opened(rig: Rig, until: MigrationStep) -> None:
    at = put(rig)
    to = (at + 1) % 3
    dies = migrator(rig, until)
    if until is MigrationStep.CATCH_UP:

        def late(step: MigrationStep) -> None:
            if step is MigrationStep.FENCE:
                assert rig.client().ask("PUT", PLACE + "k", b"late").status == 200
            if step is until:
                raise Killed

        dies.before_step = late
    with pytest.raises(Killed):
        dies.migrate(KEY, to, soon())
    assert migrator(rig).migrate(KEY, to, soon(), undo=True, begun=Migration(at, to, 1)) is MigrationStep.SUPERSEDED
    assert owners(rig) == [at] and read(rig) == (b"late" if until is MigrationStep.CATCH_UP else b"first")
    assert rig.client().ask("PUT", PLACE + "k", b"after").status == 200 and read(rig) == b"after"
    assert migrator(rig).migrate(KEY, to, soon()) is MigrationStep.DONE and read(rig) == b"after"


def test_two_movers_of_one_extent_cannot_both_win(rig: Rig) -> None:
    at = put(rig)
    a, b = (at + 1) % 3, (at + 2) % 3
    jobs = [gevent.spawn(migrator(rig).migrate, KEY, to, soon(3)) for to in (a, b)]
    gevent.joinall(jobs, timeout=10)
    ends = [job.value for job in jobs]
    assert ends.count(MigrationStep.DONE) == 1 and MigrationStep.SUPERSEDED in ends
    assert owners(rig) == [a if ends[0] is MigrationStep.DONE else b] and read(rig) == b"first"


def test_reads_and_writes_go_on_through_many_moves_and_nothing_acknowledged_is_lost(rig: Rig) -> None:
    at, last, done = put(rig, body=b"0"), 0, False
    answers: list[int] = []
    read_back: list[tuple[int, int]] = []

    def write() -> None:
        nonlocal last
        c = Client(rig.address)
        while not done:
            got = c.ask("PUT", PLACE + "k", b"%d" % (last + 1))
            answers.append(got.status)
            if got.status == 200:
                last += 1
            gevent.sleep(0.002)

    def look() -> None:
        c = Client(rig.address)
        while not done:
            before = last
            got: Any = c.ask("GET", PLACE + "k")
            answers.append(got.status)
            if got.status == 200:
                read_back.append((before, int(got.data)))
            gevent.sleep(0.002)

    jobs = [gevent.spawn(write), gevent.spawn(look), gevent.spawn(look)]
    for n in range(1, 31):
        assert migrator(rig).migrate(KEY, (at + n) % 3, soon()) is MigrationStep.DONE
        gevent.sleep(0.02)
    done = True
    gevent.joinall(jobs, timeout=10, raise_error=True)
    assert set(answers) <= {200, 503} and answers.count(200) > 200 and answers.count(503) < len(answers) / 20
    assert all(value >= before for before, value in read_back)  # no read from before a write that was acknowledged
    assert int(read(rig)) >= last and owners(rig) == [(at + 30) % 3]


def test_a_deletion_during_a_move_holds(rig: Rig) -> None:
    at = put(rig)
    to = (at + 1) % 3
    with pytest.raises(Killed):
        migrator(rig, MigrationStep.FENCE).migrate(KEY, to, soon())
    assert rig.client().ask("DELETE", PLACE + "k").status == 204
    assert rig.client().ask("GET", PLACE + "k").status == 404
    migrator(rig).migrate(KEY, to, soon(1), begun=Migration(at, to, 1))
    assert rig.client().ask("GET", PLACE + "k").status == 404 and owners(rig) == []
    assert rig.client().ask("PUT", PLACE + "k", b"again").status == 201 and read(rig) == b"again"


def test_a_repeat_that_lands_after_the_flip_is_done_once(rig: Rig) -> None:
    rig.client().ask("PUT", PLACE + "k", b"first")
    at = rig.catalogue.database.find("v", "k")[0]  # type: ignore[index]
    key = {"Fawn-Class": "keyed", "Idempotency-Key": "once"}
    got: Any = rig.client().ask("PUT", PLACE + "k", b"second", **key)
    tag = got.getheader("ETag")
    assert got.status == 200
    assert migrator(rig).migrate(KEY, (at + 1) % 3, soon()) is MigrationStep.DONE
    assert rig.client().ask("PUT", PLACE + "k", b"third").status == 200
    got = rig.client().ask("PUT", PLACE + "k", b"second", **key)  # its client never saw the first answer
    assert got.status == 200 and got.getheader("ETag") == tag and read(rig) == b"third"


def test_a_node_keeps_its_fences_over_a_restart_and_without_them_serves_nothing_unasked(rig: Rig) -> None:
    at = put(rig)
    to = (at + 1) % 3
    with pytest.raises(Killed):
        migrator(rig, MigrationStep.ACTIVATE).migrate(KEY, to, soon())  # fenced, and its data are still there
    rig.nodes[at].stop()
    rig.nodes[at] = rig.make_node(at, port=rig.nodes[at].address[1])
    assert rig.nodes[at].replicas.get("v", "k").role is ReplicaRole.FENCED
    rig.nodes[at].stop()
    (rig.tmp / f"n{at}" / "moves.rec").unlink()
    rig.nodes[at] = rig.make_node(at, port=rig.nodes[at].address[1])
    got: Any = rig.client().ask("GET", PLACE + "k", **{"Fawn-Patience-Ms": "300"})
    assert got.status == 503 and json.loads(got.data)["error"] == "moving"  # it does not know whether it serves
    assert migrator(rig).migrate(KEY, to, soon()) is MigrationStep.DONE
    assert owners(rig) == [to] and read(rig) == b"first"


def forgets(rig: Rig, k: int) -> None:
    """The node comes back without its rows."""
    rig.nodes[k].stop()
    (rig.tmp / f"n{k}" / "moves.rec").unlink()
    rig.nodes[k] = rig.make_node(k, port=rig.nodes[k].address[1])


@pytest.mark.parametrize("noted", [False, True])
@pytest.mark.parametrize("who", ["source", "dest", "both"])
def test_nodes_that_forget_while_the_new_one_serves_lose_no_write_and_never_both_serve(
    rig: Rig, who: str, noted: bool
) -> None:
    """noted: the write's head could tell the map service of it."""
    at = put(rig)
    to = (at + 1) % 3
    with pytest.raises(Killed):
        migrator(rig, MigrationStep.UPDATE_MAP).migrate(KEY, to, soon())  # open, and the map does not know yet
    if noted:
        assert rig.client().ask("PUT", PLACE + "k", b"at the new one").status == 200
    else:
        call = AttemptHeader(0, 1, 0, 1, 1.0, 7, "safe", "all", 1.0, 1.0, "op", "").encode().decode()
        assert Client(rig.nodes[to].address).ask("PUT", "/o/v/k", b"at the new one", Fawn_Call=call).status == 200
    for k in {"source": [at], "dest": [to], "both": [at, to]}[who]:
        forgets(rig, k)
    assert len(owners(rig)) <= 1 and rig.nodes[at].replicas.get("v", "k").role is ReplicaRole.FENCED
    assert migrator(rig).migrate(KEY, to, soon()) is MigrationStep.DONE
    assert owners(rig) == [to] and read(rig) == b"at the new one"


def test_a_node_that_forgot_takes_no_write_of_what_may_lie_elsewhere(rig: Rig) -> None:
    at = put(rig)
    rig.catalogue.database.watchers.clear()
    assert migrator(rig).migrate(KEY, (at + 1) % 3, soon()) is MigrationStep.DONE
    forgets(rig, at)  # its data are gone, and the fence is forgotten
    got: Any = rig.client().ask("PUT", PLACE + "k", b"lost?", **{"Fawn-Patience-Ms": "300"})
    assert got.status == 503 and rig.nodes[at].store.find("v", "k") is None
    assert rig.nodes[at].replicas.get("v", "k").role is ReplicaRole.UNCONFIRMED


def test_an_older_copy_that_comes_late_changes_nothing(rig: Rig) -> None:
    at = put(rig)
    with pytest.raises(Killed):
        migrator(rig, MigrationStep.FENCE).migrate(KEY, (at + 1) % 3, soon())
    source, dest = Client(rig.nodes[at].address), rig.nodes[(at + 1) % 3]
    old: Any = source.ask("GET", "/-/extent/data?volume=v&key=k")
    assert rig.client().ask("PUT", PLACE + "k", b"late").status == 200
    new: Any = source.ask("GET", "/-/extent/data?volume=v&key=k")
    for data in (new.data, old.data):
        assert Client(dest.address).ask("PUT", "/-/extent/data?volume=v&key=k&generation=1", data).status == 200
    assert b"".join(dest.store.read("v", "k", 0, 100)) == b"late"


def test_all_extents_of_a_node_move_at_once(rig: Rig) -> None:
    keys = [f"t{n}" for n in range(60)]
    for key in keys:
        put(rig, key, key.encode())
    cells = {key: rig.catalogue.database.find("v", key)[0] for key in keys}  # type: ignore[index]
    drained = max(range(3), key=list(cells.values()).count)
    mine = [key for key in keys if cells[key] == drained]
    m = migrator(rig)
    jobs = [gevent.spawn(m.migrate, ExtentKey("v", key), (drained + 1) % 3, soon(20)) for key in mine]
    gevent.joinall(jobs, timeout=30)
    assert mine and all(job.value is MigrationStep.DONE for job in jobs)
    assert not [key for key in mine if rig.nodes[drained].store.find("v", key)]
    assert all(read(rig, key) == key.encode() for key in keys)
    wait_for(lambda: all(rig.head.extent_directory.map.find("v", key).shard != drained for key in mine))  # type: ignore[union-attr]
    wrong = rig.head.extent_directory.misdirected_sends
    assert all(read(rig, key) == key.encode() for key in keys) and rig.head.extent_directory.misdirected_sends == wrong


def test_a_body_that_came_once_is_refused_clearly_where_its_extent_has_moved(tmp_path: Path) -> None:
    rig = Rig(tmp_path, nodes=2, clients="replay_bytes = 1024")
    try:
        at = put(rig)
        rig.catalogue.database.watchers.clear()
        assert migrator(rig).migrate(KEY, 1 - at, soon()) is MigrationStep.DONE
        got: Any = rig.client().ask("PUT", PLACE + "k", b"y" * 50_000)
        assert got.status == 503 and json.loads(got.data)["error"] == "moving" and got.getheader("Retry-After")
        assert rig.client().ask("PUT", PLACE + "k", b"y" * 50_000).status == 200
        assert read(rig) == b"y" * 50_000
    finally:
        rig.stop()


@pytest.mark.parametrize(
    ("method", "place", "body"),
    [
        ("GET", "/-/extent", b""),
        ("GET", "/-/extent?volume=v", b""),
        ("POST", "/-/extent?volume=v&key=k", b"{}"),
        ("POST", "/-/extent?volume=v&key=k", b'{"step":"jump","generation":1}'),
        ("POST", "/-/extent?volume=v&key=k", b'{"step":"fill","generation":"1"}'),
        ("POST", "/-/extent?volume=v&key=k", b'{"step":"fill","generation":1,"more":1}'),
        ("PUT", "/-/extent/data?volume=v&key=k&generation=1", b"\0\0"),
        ("PUT", "/-/extent/data?volume=v&key=k&generation=1", b"\0\0\0\x05hello"),
        ("PUT", "/-/extent/data?volume=v&key=k&generation=x", b"\0\0\0\0"),
    ],
)
def test_a_malformed_call_of_a_migrator_changes_nothing(rig: Rig, method: str, place: str, body: bytes) -> None:
    at = put(rig)
    assert Client(rig.nodes[at].address).ask(method, place, body).status == 400
    assert rig.nodes[at].replicas.rows == {} and read(rig) == b"first"


def test_a_read_that_is_running_and_a_write_that_comes_slowly_outlive_a_move(rig: Rig) -> None:
    rig.api.server.options.read_timeout_s = 60.0  # the writer rests while 46 MB move: as long as a busy machine needs
    body = bytes(range(256)) * 180_000  # 46 MB: more than the sockets between hold
    at = put(rig, body=body)
    reader = Client(rig.address)
    reader.sock.sendall(f"GET {PLACE}k HTTP/1.1\r\nHost: t\r\nRange: bytes=100-\r\n\r\n".encode())
    wait_for(lambda: "answering" in rig.nodes[at].server.states())
    writer = Client(rig.address)
    writer.sock.sendall(f"PUT {PLACE}k HTTP/1.1\r\nHost: t\r\nContent-Length: 6\r\n\r\nsec".encode())
    gevent.sleep(0.05)
    assert migrator(rig).migrate(KEY, (at + 1) % 3, soon()) is MigrationStep.DONE
    assert (
        rig.nodes[at].store.find("v", "k") is None and "answering" in rig.nodes[at].server.states()
    )  # still being read
    got: Any = reader.answer()
    assert got.status == 206 and got.data == body[100:]
    writer.sock.sendall(b"ond")
    assert writer.answer("PUT").status == 200 and read(rig) == b"second" and owners(rig) == [(at + 1) % 3]


def test_a_request_that_keeps_an_order_is_not_sent_on_behind_later_ones(rig: Rig) -> None:
    at = put(rig)
    rig.catalogue.database.watchers.clear()
    assert migrator(rig).migrate(KEY, (at + 1) % 3, soon()) is MigrationStep.DONE
    got: Any = rig.client().ask("PUT", PLACE + "k", b"second", **{"Fawn-Class": "ordered"})
    assert got.status == 503 and json.loads(got.data)["error"] == "moving"
    assert rig.client().ask("PUT", PLACE + "k", b"second", **{"Fawn-Class": "ordered"}).status == 200
    assert read(rig) == b"second" and len(rig.seen((at + 1) % 3, "did")) == 1


def test_a_head_that_does_not_watch_learns_by_a_miss(tmp_path: Path) -> None:
    rig = Rig(tmp_path, nodes=2, catalogue="watch = false")
    try:
        at = put(rig)
        assert read(rig) == b"first" and not rig.catalogue.database.watchers
        assert migrator(rig).migrate(KEY, 1 - at, soon()) is MigrationStep.DONE
        for _ in range(3):
            assert read(rig) == b"first" and rig.head.extent_directory.misdirected_sends == 1
    finally:
        rig.stop()


def test_wrong_sends_are_counted_from_their_own_flip() -> None:
    def row(kind: str, t: float, gen: int, **more: Any) -> dict[str, Any]:
        late = 0.3 * (kind == "elsewhere")  # it waited at the node
        return {"k": kind, "t": t + late, "came": t, "vol": "v", "key": "k", "gen": gen, "head": 0, **more}

    found = count_misdirected(
        read_history(
            [
                row("elsewhere", 0.9, 1),
                row("flip", 1.0, 1),
                row("elsewhere", 1.003, 1),
                row("elsewhere", 1.05, 1),
                row("elsewhere", 4.9, 2),
                row("flip", 5.0, 2),
                row("elsewhere", 5.7, 2),
                row("elsewhere", 6.0, -1),
            ]
        )
    )
    assert (found.migrations, found.counts, found.not_yet) == (2, (2, 1, 0, 1, 0, 1), 1)
    assert found.worst_delay_s == pytest.approx(0.7)


def test_bytes_that_were_spoilt_on_the_way_are_not_taken(rig: Rig) -> None:
    at = put(rig)
    with pytest.raises(Killed):
        migrator(rig, MigrationStep.COPY).migrate(KEY, (at + 1) % 3, soon())
    source, dest = Client(rig.nodes[at].address), Client(rig.nodes[(at + 1) % 3].address)
    got: Any = source.ask("GET", "/-/extent/data?volume=v&key=k")
    bad = bytearray(got.data)
    bad[-1] ^= 1
    assert dest.ask("PUT", "/-/extent/data?volume=v&key=k&generation=1", bytes(bad)).status == 400
    assert rig.nodes[(at + 1) % 3].store.find("v", "k") is None


def test_the_commands_show_and_move_an_extent(rig: Rig, tmp_path: Path) -> None:
    at = put(rig)
    to = (at + 1) % 3
    path = tmp_path / "head.hcl"
    path.write_text(render(rig.config))

    def run(*words: str) -> tuple[int, str]:
        got = CliRunner().invoke(main, ["extents", words[0], str(path), *words[1:]])
        return got.exit_code, got.output

    code, out = run("move", "v", "k", "--to", str(to))
    assert (code, out) == (0, f"v/k lies in cell {to}\n") and owners(rig) == [to]
    code, out = run("show", "v", "k", "--json")
    told = json.loads(out)
    assert code == 0 and (told["cell"], told["generation"], told["size"]) == (to, 1, 5)
    assert {row["cell"]: row["role"] for row in told["nodes"]} == {at: "fenced", to: "owner", (at + 2) % 3: "absent"}
    assert "fenced" in run("show", "v", "k")[1]
    code, out = run("move", "v", "k", "--to", "9")
    assert code == 2 and "cells with one: 0, 1, 2" in out
    assert run("move", "nowhere", "k", "--to", "0")[0] == 2 and run("show", "v", "none")[0] == 1
    rig.nodes[at].stop()
    code, out = run("move", "v", "k", "--to", str(at), "--within", "0.3")
    assert code == 3 and "goes on from there" in out and read(rig) == b"first"
    rig.catalogue.stop()
    assert run("show", "v", "k")[0] == 3
    rig.list.stop()
    assert run("show", "v", "k")[0] == 3
