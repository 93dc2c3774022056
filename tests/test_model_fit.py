"""The fit gets back what a world was made with, and refuses what it has not seen."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import numpy as np
import pytest

from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.model.fit import Fit, fit
from fawnspool.model.params import Params
from fawnspool.model.service import Sample, cold_scale, fast_nodes, kinds, pause_scale, slow_times
from fawnspool.model.world import World
from fawnspool.scheduling.scheduler import Scheduler

DAYS = Path(__file__).parent.parent / "days"
TRUTH = Params(
    client_net=0.0006, node_net=0.0006, jitter=0.0002, head_cost=0.001, node_cost=0.002, unit_scale=1.25, byte_cost=0.0
)


def quiet(length: float = 8.0) -> Day:
    day = load(DAYS / "lead-moves.hcl", Day, check_day)
    return replace(day, day=replace(day.day, length=length), load=replace(day.load, rate=40.0))


def runs(seeds: range, params: Params = TRUTH) -> list[tuple[Day, list[Mapping[str, Any]]]]:
    out: list[tuple[Day, list[Mapping[str, Any]]]] = []
    for seed in seeds:
        world = World(quiet(), seed, Scheduler, params)
        world.run()
        out.append((world.day, list(world.rows)))
    return out


def test_a_fit_gets_back_what_a_world_was_made_with() -> None:
    got = fit(runs(range(1, 7)))
    assert got.poor == [] and got.runs == 6
    assert got.parts["unit_scale"].value == pytest.approx(TRUTH.unit_scale, rel=0.08)
    assert got.parts["node_cost"].value == pytest.approx(TRUTH.node_cost, abs=0.003)
    assert got.parts["head_cost"].value == pytest.approx(TRUTH.head_cost, rel=0.5)
    assert got.parts["node_net"].value == pytest.approx(TRUTH.node_net, rel=0.5)
    assert 0 < got.parts["unit_scale"].error < 0.1


def test_drawn_parameters_vary_within_their_error_and_not_with_another_part() -> None:
    got = fit(runs(range(1, 4)))
    first = [got.drawn(seed) for seed in range(50)]
    assert got.drawn(3) == first[3]
    spread = [p.unit_scale for p in first]
    assert max(spread) - min(spread) > got.parts["unit_scale"].error
    changed = replace(got, parts=got.parts | {"node_cost": replace(got.parts["node_cost"], error=0.5)})
    assert [changed.drawn(s).unit_scale for s in range(50)] == spread


def test_little_seen_is_poor_and_what_was_not_seen_is_refused() -> None:
    got = fit(runs(range(1, 2)))
    assert fit([]).poor == ["work of nodes", "network and head"]
    day = quiet()
    assert [t for t in got.refuses(day) if "fit of" not in t] == []
    other = load(DAYS / "crash.hcl", Day, check_day)
    assert any("no trouble of kind crash" in t for t in got.refuses(other))
    assert any("requests a second and node" in t for t in got.refuses(replace(day, load=replace(day.load, rate=400.0))))
    renamed = replace(day, class_=(replace(day.class_[0], name="unheard"), *day.class_[1:]))
    assert any("class unheard was not seen" in t for t in got.refuses(renamed))


def test_recordings_of_one_volume_and_of_a_restarted_head_still_fit() -> None:
    rows = [r for r in runs(range(1, 4))[0][1] if r.get("vol", "basic-0") == "basic-0"]
    one = fit([(quiet(), rows)])
    assert one.parts["unit_scale"].value > 0.5 and isinstance(one, Fit)
    day = load(DAYS / "head-kill.hcl", Day, check_day)
    world = World(day, 1, Scheduler, TRUTH)
    world.run()
    assert fit([(day, world.rows)]).parts["unit_scale"].value == pytest.approx(TRUTH.unit_scale, rel=0.25)


@pytest.mark.parametrize(("name", "part", "truth"), [("crash", "node_start", 0.9), ("head-kill", "head_start", 0.8)])
def test_how_long_processes_take_to_start_is_found_again(name: str, part: str, truth: float) -> None:
    """Days that kill, played with starts that take long; the fit is told only when who was up."""
    day = load(DAYS / f"{name}.hcl", Day, check_day)
    played: list[tuple[Day, list[Mapping[str, Any]]]] = []
    for seed in (1, 2):
        world = World(day, seed, Scheduler, replace(TRUTH, **{part: truth}))
        world.run()
        played.append((day, list(world.rows)))
    got = fit(played).parts[part]
    assert got.value == pytest.approx(truth, abs=0.05) and got.seen >= 1


def test_what_nodes_do_by_kind_class_cold_and_paused_is_found_again() -> None:
    """A world whose slow nodes are slower, whose cold nodes weaker, whose pauses longer and one of whose classes dearer
    than its day says."""
    truth = replace(TRUTH, slow_times=2.6, cold_scale=0.6, pause_scale=1.4, class_scale=(("area-export", 1.3),))
    played: list[tuple[Day, list[Mapping[str, Any]]]] = []
    for name, seeds in (("lead-moves", range(1, 5)), ("crash", range(1, 5)), ("pauses", range(1, 7))):
        for seed in seeds:
            day = load(DAYS / f"{name}.hcl", Day, check_day)
            day = replace(
                day,
                day=replace(day.day, length=14.0),
                load=replace(day.load, rate=30.0),
                trouble=tuple(replace(x, at=6.0) for x in day.trouble),
            )
            world = World(day, seed, Scheduler, truth)
            world.run()
            played.append((day, list(world.rows)))
    got = fit(played)
    assert got.parts["slow_times"].value == pytest.approx(2.6, rel=0.1)
    assert got.parts["cold_scale"].value == pytest.approx(0.6, abs=0.12)
    pause = got.parts["pause_scale"]  # few reads meet a pause, so it is told with a wide error
    assert abs(pause.value - 1.4) < 2 * pause.error < 0.7 and pause.seen >= 8
    assert got.by_class["area-export"].value / got.by_class["tile-read"].value == pytest.approx(1.3, rel=0.12)
    assert got.by_class["journal"].value == pytest.approx(1.0, abs=0.06)
    assert dict(got.params().class_scale).keys() == got.by_class.keys()
    assert all(p.error > 0 for p in (*got.parts.values(), *got.by_class.values()))


def test_pauses_and_ramps_are_told_by_many_reads_and_not_by_few() -> None:
    rng = np.random.default_rng(1)
    calm = [Sample(n, "a", 0.02, 0.001 + 0.02 * (2.5 if n == 3 else 1.0)) for n in range(4) for _ in range(5)]
    of = kinds(calm, 0.001)
    assert slow_times(of).value == pytest.approx(2.5) and fast_nodes(of) == {0, 1, 2}
    held = [
        Sample(0, "a", 0.02, 0.021 + 0.42 * (1.0 if k % 2 else float(rng.random())), pause=0.3, calm=False)
        for k in range(200)
    ]
    told = pause_scale([*calm, *held], of, 0.001)
    assert told.value == pytest.approx(1.4, rel=0.05) and told.error < 0.05
    assert pause_scale(calm, of, 0.001).seen == 0 and pause_scale(calm, of, 0.001).value == 1.0
    ramp = [
        Sample(1, "a", 0.02, 0.001 + 0.02 / (0.18 + 0.82 * x), cold=x, start=0.3, calm=False)
        for x in (0.1, 0.2, 0.3, 0.5, 0.65)
    ]
    assert cold_scale([*calm, *ramp], of, 0.001).value == pytest.approx(0.6)
    assert cold_scale(calm, of, 0.001).seen == 0
    assert kinds(calm[:2], 0.001) == {}
