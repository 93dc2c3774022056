"""Traffic: described from records, drawn again at any size, replayed; recordings torn, twice, of clocks apart."""

from __future__ import annotations

import zlib
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np
import pytest

from fawnspool.config.schema import load
from fawnspool.days.day import Day, TroubleBlock, check
from fawnspool.days.traffic import Op
from fawnspool.model.seen import Asked, Recorded, TrafficError, from_clients, from_modules
from fawnspool.model.traffic import Described, PlanShape, describe, draw, replayed, scaled, stream
from fawnspool.model.world import World
from fawnspool.records.decision_recording import Recorder, RecordingHeader
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler
from tests.conftest import make_settings

ROOT = Path(__file__).parent.parent


def day(length: float = 20.0, rate: float = 120.0, *troubles: TroubleBlock) -> Day:
    one = load(ROOT / "days/lead-moves.hcl", Day, check)
    return replace(
        one, trouble=troubles, day=replace(one.day, heads=4, nodes=6, length=length), load=replace(one.load, rate=rate)
    )


def seen_of(ops: list[Op], one: Day) -> Recorded:
    """Operations as if each had been recorded by its client, which never needed a second try."""
    rows: list[dict[str, Any]] = []
    for op in ops:
        units = max(1, -(-op.size // one.units.bytes))
        rows += [
            {
                "k": "ask",
                "t": op.at,
                "op": op.name,
                "n": 0,
                "head": op.heads[0],
                "vol": op.volume,
                "cls": op.cls,
                "units": units,
                "pat": op.patience,
                "w": op.writes,
            },
            {"k": "in", "t": op.at, "op": op.name, "x": zlib.crc32(op.run.encode()) if op.run else 0},
            {"k": "got", "t": op.at, "op": op.name, "n": 0, "how": "served"},
        ]
    return from_clients(one, rows)


def drawn(d: Described, one: Day, seed: int = 1, **size: Any) -> tuple[Day, list[Op]]:
    wants = {"heads": one.day.heads, "nodes": one.day.nodes, "rate": d.rate, "length": one.day.length} | size
    two = scaled(d, one, **wants)
    return two, draw(d, two, seed)


@pytest.fixture(scope="module")
def described() -> Described:
    one = day(60.0)
    world = World(one, 3, Scheduler)
    return describe(seen_of(world.ops, one))


def test_a_description_drawn_and_described_again_is_the_same(described: Described) -> None:
    one = day(120.0)
    two, ops = drawn(described, one)
    again = describe(seen_of(ops, two))
    assert again.rate == pytest.approx(described.rate, rel=0.06)
    assert again.skew == pytest.approx(described.skew, abs=0.3)
    for name, plan in described.plans.items():
        other = again.plans[name]
        assert other.share == pytest.approx(plan.share, abs=0.05) and other.heads == plan.heads
        for cls, shape in plan.classes.items():
            assert other.classes[cls].share == pytest.approx(shape.share, abs=0.05)
            assert np.mean(other.classes[cls].units) == pytest.approx(np.mean(shape.units), rel=0.15)
            assert np.mean(other.classes[cls].runs) == pytest.approx(np.mean(shape.runs), rel=0.2)
            assert other.classes[cls].patience == pytest.approx(shape.patience)


def test_what_made_the_traffic_is_found_again(described: Described) -> None:
    """The day file's own figures, which the description never sees."""
    one = day()
    assert described.skew == pytest.approx(one.load.skew, abs=0.35)
    assert described.lead_every == pytest.approx(one.load.lead_every, rel=0.6)
    assert described.heads == 4 and set(described.plans) == {"basic", "priority"}
    shares = Counter[str]()
    for plan in described.plans.values():
        for cls, shape in plan.classes.items():
            shares[cls] += plan.share * shape.share  # type: ignore[assignment]
    whole = sum(t.share for t in one.traffic)
    for t in one.traffic:
        assert shares[t.name] == pytest.approx(t.share / whole, abs=0.04)


def test_bursts_are_found_and_drawn_again() -> None:
    rng = np.random.default_rng(4)
    x, rows = 0.0, []
    for second in range(300):
        x = 0.8 * x + 0.6 * rng.standard_normal() * 0.5
        for k in range(int(rng.poisson(40 * np.exp(x)))):
            t, head = second + float(rng.random()), int(rng.integers(2))
            rows.append(Asked(t, head, f"v{k % 7}", "basic", "tile-read", 2.0, False, 1.0, 2))
    rows.sort(key=lambda a: a.t)
    d = describe(Recorded(rows, 2, 4, 300.0))
    assert d.together.sd == pytest.approx(0.5, abs=0.15) and d.together.keeps == pytest.approx(0.8, abs=0.15)
    calm = describe(Recorded([replace(a, t=k * 300 / len(rows)) for k, a in enumerate(rows)], 2, 4, 300.0))
    assert calm.together.sd < 0.05
    two, ops = drawn(d, day(300.0))
    again = describe(seen_of(ops, two))
    assert again.together.sd == pytest.approx(d.together.sd, abs=0.2)


def test_another_size_keeps_the_shape(described: Described) -> None:
    two, ops = drawn(described, day(30.0), heads=40, nodes=30, rate=described.rate * 5)
    assert two.day.heads == 40 and two.day.nodes == 30
    wide = describe(seen_of(ops, two))
    assert wide.rate == pytest.approx(5 * described.rate, rel=0.1)
    for name, plan in described.plans.items():
        assert wide.plans[name].volumes == 5 * plan.volumes  # more volumes, not busier ones
        assert wide.plans[name].share == pytest.approx(plan.share, abs=0.05)
        for cls, shape in plan.classes.items():
            assert np.mean(wide.plans[name].classes[cls].units) == pytest.approx(np.mean(shape.units), rel=0.15)
    assert wide.skew == pytest.approx(described.skew, abs=0.3)
    assert {h for op in ops for h in op.heads} <= set(range(40))


def test_a_change_of_one_purpose_leaves_the_others_draws_alone(described: Described) -> None:
    _, before = drawn(described, day())
    plans = {
        n: replace(p, classes={c: replace(s, units=[9.0] * len(s.units)) for c, s in p.classes.items()})
        for n, p in described.plans.items()
    }
    _, after = drawn(replace(described, plans=plans), day())
    assert [(a.at, a.volume, a.cls, a.heads, a.patience, a.key) for a in before] == [
        (a.at, a.volume, a.cls, a.heads, a.patience, a.key) for a in after
    ]
    assert all(a.size != b.size for a, b in zip(before, after, strict=True) if b.size > 9 * 16384)


def test_streams_differ_by_purpose_and_seed_and_repeat() -> None:
    a, b = stream(1, "x").random(3), stream(1, "x").random(3)
    assert (a == b).all() and (a != stream(1, "y").random(3)).any() and (a != stream(2, "x").random(3)).any()


def test_drawn_traffic_plays_on_the_model_and_keeps_the_rules(described: Described) -> None:
    from fawnspool.days.terms import rule_terms
    from fawnspool.rules.history import read_history
    from fawnspool.rules.judge import judge_run

    two, ops = drawn(described, day(6.0))
    world = World(two, 1, Scheduler, ops=ops)
    served = world.run()
    assert len(served) == len(ops) and sum(s.how == "in time" for s in served) > 0.9 * len(ops)
    assert judge_run(read_history(world.rows), rule_terms(two)).kept


def test_one_volume_is_described_with_a_warning(described: Described) -> None:
    rows = [Asked(k * 0.05, 0, "only", "basic", "tile-read", 2.0, False, 1.0, 1) for k in range(400)]
    d = describe(Recorded(rows, 1, 3, 20.0))
    assert any("only one was seen" in text for text in d.poor)
    assert d.plans["basic"].volumes == 1 and d.plans["basic"].spread == 0.0
    _, ops = drawn(d, day(5.0), rate=d.rate * 2)
    assert {op.volume for op in ops} == {"basic-0", "basic-1"}


def test_too_little_or_what_a_day_does_not_know_is_refused(described: Described) -> None:
    with pytest.raises(TrafficError, match="at least 10"):
        describe(Recorded([Asked(0.0, 0, "v", "p", "c", 1.0, False, 1.0, 1)], 1, 1, 0.0))
    strange = replace(described, plans={"gold": PlanShape(1.0, 1, 0.0, 1)})
    with pytest.raises(TrafficError, match="gold"):
        scaled(strange, day(), 2, 3, 10.0, 5.0)
    with pytest.raises(TrafficError, match="works through 2"):
        scaled(described, day(), 1, 3, 10.0, 5.0)
    with pytest.raises(TrafficError, match="no client's records"):
        from_clients(day(), [])


# ---------------------------------------------------------------- module recordings


def record(
    path: Path,
    me: int,
    requests: list[tuple[float, interface.Request]],
    tells: list[tuple[float, bytes]] = (),  # type: ignore[assignment]
    hears: list[tuple[float, int, bytes]] = (),
) -> Path:  # type: ignore[assignment]
    settings = replace(make_settings(has_peer_messages=True), gateway_id=me)
    recorder = Recorder(path, RecordingHeader("module", settings, 1))
    rows: list[tuple[float, Any, list[Any]]] = [(t, r, []) for t, r in requests]
    rows += [(t, interface.Timer(0), [interface.SendPeerMessage(None, body)]) for t, body in tells]
    rows += [(t, interface.PeerMessage(who, body), []) for t, who, body in hears]
    for t, event, actions in sorted(rows, key=lambda r: r[0]):
        recorder.note(t, event, actions)
    recorder.close()
    return path


def request(
    ident: int, repeat: bool = False, patience: float = 2.0, extent: int = 0, volume: int = 7
) -> interface.Request:
    return interface.Request(ident, 0, 0, extent or ident, patience, volume, 2.0, 1, 2, repeat, False)


def test_clocks_apart_are_set_against_each_other_by_datagrams(tmp_path: Path) -> None:
    """Head 1's clock is 500 s ahead; datagrams take 1 ms there and 2 ms back at the least, more at times."""
    ahead, a_tells, b_tells = 500.0, [], []
    a_hears, b_hears = [], []
    rng = np.random.default_rng(2)
    for k in range(20):
        t, late = 100.0 + k, float(rng.exponential(0.01))
        a_tells.append((t, b"a%d" % k))
        b_hears.append((t + 0.001 + late * (k != 7) + ahead, 0, b"a%d" % k))
        b_tells.append((t + 0.5 + ahead, b"b%d" % k))
        a_hears.append((t + 0.5 + 0.002 + late * (k != 11), 1, b"b%d" % k))
    a = record(tmp_path / "a.mrec", 0, [(100.0 + k, request(k)) for k in range(20)], a_tells, a_hears)
    b = record(tmp_path / "b.mrec", 1, [(100.25 + k + ahead, request(k)) for k in range(20)], b_tells, b_hears)
    seen = from_modules([a, b])
    assert seen.heads == 2 and len(seen.asked) == 40
    assert [x.head for x in seen.asked[:4]] == [0, 1, 0, 1]
    assert seen.asked[1].t == pytest.approx(0.25, abs=0.001)
    assert any(("clock set back by" in n and "499.99" in n) or "500.0" in n for n in seen.notes)
    other = from_modules([a, b], same_clock=True)
    assert other.asked[20].t == pytest.approx(500.25)


def test_clocks_that_cannot_be_set_are_an_error_that_names_the_file(tmp_path: Path) -> None:
    a = record(tmp_path / "a.mrec", 0, [(1.0, request(1))])
    b = record(tmp_path / "b.mrec", 1, [(900.0, request(1))], [(900.0, b"x")] * 9)
    with pytest.raises(TrafficError, match=r"b\.mrec.*--same-clock"):
        from_modules([a, b])


def test_a_body_sent_twice_sets_no_clock(tmp_path: Path) -> None:
    hears = [(10.0 + k, 1, b"same") for k in range(9)]
    a = record(tmp_path / "a.mrec", 0, [(1.0, request(1))], [(10.0 + k, b"same") for k in range(9)], hears)
    b = record(
        tmp_path / "b.mrec",
        1,
        [(1.0, request(1))],
        [(10.0 + k, b"same") for k in range(9)],
        [(10.0 + k, 0, b"same") for k in range(9)],
    )
    with pytest.raises(TrafficError, match="clocks"):
        from_modules([a, b])


def test_recordings_that_overlap_count_once(tmp_path: Path) -> None:
    rows = [(float(k), request(k)) for k in range(30)]
    a = record(tmp_path / "a.mrec", 0, rows[:20])
    b = record(tmp_path / "b.mrec", 0, rows[10:])
    seen = from_modules([a, b])
    assert len(seen.asked) == 30 and any("10 requests stood in two" in n for n in seen.notes)


def test_a_torn_recording_is_read_up_to_the_tear(tmp_path: Path) -> None:
    a = record(tmp_path / "a.mrec", 0, [(float(k), request(k)) for k in range(30)])
    a.write_bytes(a.read_bytes()[:-7])
    seen = from_modules([a])
    assert len(seen.asked) == 29 and any("torn" in n for n in seen.notes)


def test_lives_of_a_head_that_restarted_are_one_traffic(tmp_path: Path) -> None:
    a = record(tmp_path / "a.mrec", 0, [(float(k), request(1 << 20 | k)) for k in range(10)])
    b = record(tmp_path / "a2.mrec", 0, [(20.0 + k, request(2 << 20 | k)) for k in range(10)])
    seen = from_modules([b, a])
    assert len(seen.asked) == 20 and seen.heads == 1 and seen.length == pytest.approx(29.0)


def test_a_surge_that_began_before_the_recording_keeps_its_clients_short_of_time(tmp_path: Path) -> None:
    rows = [(0.1 * k, request(k, repeat=True, patience=0.15)) for k in range(30)]
    rows += [(4.0, request(100, extent=500)), (4.6, request(101, repeat=True, extent=500, patience=1.0))]
    seen = from_modules([record(tmp_path / "a.mrec", 0, rows)])
    assert len(seen.asked) == 31  # the repeat whose first try was seen is the client's own doing
    assert sum(a.late for a in seen.asked) == 30 and {a.patience for a in seen.asked if a.late} == {0.15}
    assert any("30 repeats" in n for n in seen.notes)


def test_recordings_of_other_fleets_or_without_a_request_are_refused(tmp_path: Path) -> None:
    a = record(tmp_path / "a.mrec", 0, [(1.0, request(1))])
    settings = replace(make_settings(), plans=tuple(replace(p, name="other") for p in make_settings().plans))
    Recorder(tmp_path / "b.mrec", RecordingHeader("module", settings, 1)).close()
    with pytest.raises(TrafficError, match="one fleet only"):
        from_modules([a, tmp_path / "b.mrec"])
    with pytest.raises(TrafficError, match="no request"):
        from_modules([record(tmp_path / "c.mrec", 0, [])])
    with pytest.raises(TrafficError, match="no recording"):
        from_modules([])


# ---------------------------------------------------------------- replay


def test_a_replay_asks_what_was_asked() -> None:
    one = day(6.0)
    world = World(one, 5, Scheduler)
    seen = seen_of(world.ops, one)
    two, ops = replayed(seen, one)
    assert len(ops) == len(world.ops) and two.volumes == one.volumes
    start = min(op.at for op in world.ops)
    for a, b in zip(sorted(world.ops, key=lambda o: (o.at, o.name)), ops, strict=True):
        assert (b.volume, b.cls, b.heads[0]) == (a.volume, a.cls, a.heads[0])
        assert (b.writes, b.patience) == (a.writes, a.patience)
        assert b.at == pytest.approx(a.at - start, abs=1e-6)
        assert -(-b.size // one.units.bytes) == max(1, -(-a.size // one.units.bytes))
    assert sum(1 for op in ops if op.run) == sum(1 for op in world.ops if op.run)


def test_a_replayed_surge_of_impatient_clients_is_answered_by_the_rules() -> None:
    """All clients have little time left: each still gets its one answer."""
    from fawnspool.days.terms import rule_terms
    from fawnspool.rules.history import read_history
    from fawnspool.rules.judge import judge_run

    one = day(4.0, 300.0)
    seen = seen_of(World(one, 5, Scheduler).ops, one)
    seen.asked = [replace(a, patience=0.12, late=True) for a in seen.asked]
    two, ops = replayed(seen, one)
    world = World(two, 1, Scheduler, ops=ops)
    served = world.run()
    assert len(served) == len(ops) and judge_run(read_history(world.rows), rule_terms(two)).kept
    assert {s.how for s in served} > {"in time", "refused"}


def test_volumes_by_number_get_names_by_plan(tmp_path: Path) -> None:
    one = day(4.0)
    rows = [
        Asked(
            0.1 * k, k % 3, f"volume-{k % 5:x}", "basic" if k % 5 < 3 else "priority", "tile-read", 2.0, False, 2.0, 2
        )
        for k in range(30)
    ]
    two, ops = replayed(Recorded(rows, 3, 6, 2.9), one)
    assert {op.volume for op in ops} == {"basic-0", "basic-1", "basic-2", "priority-0", "priority-1"}
    assert {n for n, _ in two.volume_names()} == {op.volume for op in ops}
    with pytest.raises(TrafficError, match="gold"):
        replayed(Recorded([replace(rows[0], plan="gold")], 1, 1, 0.0), one)
