"""The day in simulated time: the same seed gives the same records, rules hold, troubles bite, a worse head is worse."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from fawnspool.baselines.passthrough import PassThrough
from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day, TroubleBlock
from fawnspool.days.rule_terms import rule_terms
from fawnspool.days.service_value import value_service
from fawnspool.model.engine import Engine
from fawnspool.model.params import Params
from fawnspool.model.world import World
from fawnspool.rules.history import read_history
from fawnspool.rules.judge import RunVerdict, judge_run
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler

DAYS = Path(__file__).parent.parent / "days"
NAMES = sorted(p.stem for p in DAYS.glob("*.hcl") if p.stem != "bad-day")


def day(name: str) -> Day:
    return load(DAYS / f"{name}.hcl", Day, check_day)


def play(
    d: Day, seed: int = 1, policy: Any = Scheduler, params: Params | None = None
) -> tuple[World, RunVerdict, float]:
    world = World(d, seed, policy, params)
    ended = world.run()
    return world, judge_run(read_history(world.rows), rule_terms(d)), value_service(d, ended).whole.share


def test_calls_run_in_order_of_time_then_of_their_setting() -> None:
    engine, seen = Engine(5.0), list[tuple[float, str]]()
    for when, name in ((7.0, "c"), (6.0, "a"), (6.0, "b"), (1.0, "now")):
        engine.at(when, lambda name=name: seen.append((engine.now, name)))  # type: ignore[misc]
    engine.run(6.5)
    assert seen == [(5.0, "now"), (6.0, "a"), (6.0, "b")] and engine.now == 6.5
    engine.run(9.0)
    assert seen[-1] == (7.0, "c")


@pytest.fixture
def time_limit() -> Iterator[None]:
    """Ends a test that does not end by itself."""

    def end(number: int, frame: Any) -> None:
        message = "the day does not end"
        raise TimeoutError(message)

    former = signal.signal(signal.SIGALRM, end)
    signal.alarm(60)
    yield
    signal.alarm(0)
    signal.signal(signal.SIGALRM, former)


@pytest.mark.usefixtures("time_limit")
def test_a_gateway_that_is_killed_while_it_is_stalled_is_gone() -> None:
    """Guards against a day that never ends: what waited for the stall's end was put off again and again."""
    stall = TroubleBlock(name="stall", kind="head_stall", at=2.0, length=2.0, part=1.0, size=6.0, every=1.0)
    kill = TroubleBlock(name="kill", kind="head_kill", at=4.5, length=1.0, part=1.0, down=1.0)
    bad_day = day("bad-day")
    world, verdict, share = play(replace(bad_day, day=replace(bad_day.day, length=12.0), trouble=(stall, kill)))
    states = [(row["what"], row["t"]) for row in world.rows if row["k"] == "head"]
    killed_at = max(time for what, time in states if what == "killed")
    assert [what for what, time in states if time > killed_at] == ["up"] * bad_day.day.heads
    assert verdict.kept and not world.errors and share > 0.2


def test_the_same_seed_gives_the_same_records() -> None:
    first, second, other = (play(day("crash"), seed)[0].rows for seed in (1, 1, 2))
    assert first == second and first != other


@pytest.mark.parametrize("name", NAMES)
def test_the_module_keeps_every_rule_on_every_short_day(name: str) -> None:
    world, verdict, share = play(day(name))
    assert verdict.kept, [b.text for f in verdict.findings for b in f.breaches]
    assert not world.errors and 0.5 < share <= 1.0
    assert len(world.ended) == len(world.ops)
    looked = {f.rule: f.looked_at for f in verdict.findings}
    assert looked["answered once"] > 300 and looked["limits kept"] > 50


@pytest.mark.parametrize(("name", "kind"), [("preempt", "draining"), ("crash", "gone")])
def test_the_list_tells_of_nodes(name: str, kind: str) -> None:
    world, _, _ = play(day(name))
    assert any(r["k"] == "told" and r["phase"] == kind for r in world.rows)
    ups = [r for r in world.rows if r["k"] == "up" and r["cold"]]
    assert ups and all(
        any(r["k"] == "in" and r["node"] == up["node"] and r["t"] > up["t"] for r in world.rows) for up in ups
    )


def test_a_plain_head_breaks_rules_that_the_module_keeps() -> None:
    d = day("plan-burst")
    d = replace(d, load=replace(d.load, rate=250.0))
    _, plain, plain_share = play(d, policy=PassThrough)
    _, kept, share = play(d)
    broken = {b.rule for f in plain.findings for b in f.breaches}
    assert "limits kept" in broken or "order kept" in broken
    assert kept.kept and share > plain_share


def test_a_module_that_raises_is_told_and_costs_its_request() -> None:
    class Raises(Scheduler):
        def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
            if isinstance(event, interface.Request) and event.id % 50 == 0:
                raise ValueError("no")
            return super().handle(now, event)

    world, verdict, _ = play(day("burst"), policy=Raises)
    assert world.errors and "ValueError: no" in world.errors[0]
    assert verdict.findings[0].breaches == []


def test_slower_nodes_and_dearer_heads_are_worth_less() -> None:
    d = day("burst")
    base = play(d)[2]
    assert play(d, params=Params(unit_scale=1.6))[2] < base - 0.02
    assert play(d, params=Params(head_cost=0.02))[2] < base - 0.02


def test_at_size_heads_and_nodes_grow_with_the_day() -> None:
    d = day("crash")
    d = replace(
        d,
        day=replace(d.day, heads=12, nodes=12, length=4.0),
        load=replace(d.load, rate=200.0),
        volumes=tuple(replace(v, heads=6) for v in d.volumes),
        plan=tuple(replace(p, limit_depth=p.limit_depth * 2) for p in d.plan),
    )
    world, verdict, _ = play(d)
    assert verdict.kept and {r["head"] for r in world.rows if r["k"] == "in"} == set(range(12))
