"""Roll-outs on the model with real modules: equal, raising, repeating, worse, worse only under a surge."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from benchmarks.staged import Raises, Refuses, Twice
from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day, TroubleBlock
from fawnspool.model.staged import Staged, Trial, facts, show, spread_of
from fawnspool.model.world import World
from fawnspool.rollout.controller import RolloutVerdict
from fawnspool.rollout.limits import RolloutLimits
from fawnspool.scheduling.scheduler import Scheduler

ROOT = Path(__file__).parent.parent
BOUND = RolloutLimits(
    max_loss=0.1,
    max_spend=0.05,
    window_s=2.0,
    min_windows=4,
    max_windows=20,
    max_without_surge=0.5,
    min_surge_windows=2,
)
SPREAD = 0.043  # of this day's heads, as test_the_spread_is_near_what_the_tests_use sees


def day(length: float = 40.0, *troubles: TroubleBlock) -> Day:
    one = load(ROOT / "days/lead-moves.hcl", Day, check_day)
    return replace(
        one, trouble=troubles, day=replace(one.day, heads=6, nodes=6, length=length), load=replace(one.load, rate=80)
    )


class Worse(Refuses):
    part = 0.66


class WorseInSurge(Refuses):
    part, surge = 0.66, 30


def trial(new: Any, one: Day | None = None, seed: int = 2, bound: RolloutLimits = BOUND) -> Trial:
    return Staged(one or day(), seed, Scheduler, new, bound, SPREAD).play()


def test_the_spread_is_near_what_the_tests_use() -> None:
    assert 0.5 * SPREAD < spread_of(day(), 1, Scheduler, BOUND) < 2 * SPREAD


def test_facts_name_each_heads_volumes() -> None:
    world = World(day(4.0), 1, Scheduler)
    of = facts(world)
    assert [f.number for f in of] == list(range(6))
    for f in of:
        for volume, heads in f.volumes:
            assert heads == 2 and sum(any(v == volume for v, _ in x.volumes) for x in of) == 2


def test_a_version_that_raises_is_back_after_its_first_window() -> None:
    came = trial(Raises)
    assert came.verdict is RolloutVerdict.ROLL_BACK and "raised" in came.why
    assert came.upgraded <= 3 and any("back: heads" in line for line in show(came))


def test_a_version_that_breaks_a_rule_is_back_though_it_serves_well() -> None:
    came = trial(Twice)
    assert came.verdict is RolloutVerdict.ROLL_BACK and "broke a rule" in came.why and came.upgraded <= 3
    assert came.broken


def test_a_version_that_is_worse_is_back_before_all_have_it() -> None:
    came = trial(Worse, day(60.0))
    assert came.verdict is RolloutVerdict.ROLL_BACK and came.upgraded <= 3 and came.broken == ()
    assert "worse" in came.why or "lost" in came.why or "not shown" in came.why


def test_an_equal_version_goes_on_past_the_first_batch() -> None:
    came = trial(Scheduler, day(80.0))
    assert came.verdict is not RolloutVerdict.ROLL_BACK and came.upgraded == 6 and came.broken == ()
    assert came.most_at_once == 1 and came.share > 0.9


def test_a_version_worse_only_under_a_surge_is_found_when_one_comes() -> None:
    surge = TroubleBlock("surge", "burst", 30.0, 24.0, size=2.5)
    came = trial(WorseInSurge, day(70.0, surge))
    assert came.verdict is RolloutVerdict.ROLL_BACK and came.upgraded <= 3, came


def test_the_same_seed_plays_the_same_trial() -> None:
    assert trial(Raises) == trial(Raises)


def test_a_day_too_short_for_a_spread_says_so() -> None:
    with pytest.raises(ValueError, match="too short"):
        spread_of(day(1.0), 1, Scheduler, BOUND)
