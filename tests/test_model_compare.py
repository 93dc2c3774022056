"""Comparisons: intervals cover what they should, versions stand beside each other, equal ones are not told apart."""

from __future__ import annotations

import json
import shutil
import zipfile
from dataclasses import replace
from pathlib import Path

import numpy as np
import pytest
from click.testing import CliRunner

from fawnspool.cli.main import main
from fawnspool.config.schema import load as load_day
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.model.compare import MAIN, Arm, ChangeError, RunFigures, change, compare, play, runner, words
from fawnspool.model.params import Params
from fawnspool.model.stats import holm, looks, paired
from fawnspool.model.versions import VersionError, load
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler
from tests.conftest import make_settings

ROOT = Path(__file__).parent.parent


def short(name: str = "burst", length: float = 3.0) -> Day:
    day = load_day(ROOT / f"days/{name}.hcl", Day, check_day)
    return replace(
        day,
        day=replace(day.day, length=length),
        trouble=tuple(replace(x, at=0.5, length=min(x.length, 2.0)) for x in day.trouble),
    )


def test_intervals_cover_the_true_mean_about_as_often_as_they_say() -> None:
    rng = np.random.default_rng(5)
    covered = told = 0
    for k in range(200):
        sample = rng.normal(0.02, 0.03, 10)
        v = paired(sample, 0.95, k)
        covered += v.low <= 0.02 <= v.high
        told += v.p <= 0.05
    assert 180 <= covered <= 200  # 190 of 200 wanted
    assert told > 60
    skewed = sum(v.low <= 1.0 <= v.high for v in (paired(rng.exponential(1.0, 12), 0.95, k) for k in range(200)))
    assert skewed >= 172


def test_intervals_of_few_or_equal_runs() -> None:
    assert paired(np.array([]), 0.95, 1).p == 1.0
    assert paired(np.array([0.5]), 0.95, 1).high == np.inf
    same = paired(np.zeros(5), 0.95, 1)
    assert (same.low, same.high, same.p) == (0.0, 0.0, 1.0)
    sure = paired(np.full(5, 0.1), 0.95, 1)
    assert sure.p == 0.0 and sure.low == sure.high == pytest.approx(0.1)


def test_many_figures_are_corrected_and_looks_end_at_the_budget() -> None:
    assert holm({"a": 0.001, "b": 0.02, "c": 0.04}, 0.05) == {"a", "b", "c"}
    assert holm({"a": 0.001, "b": 0.03, "c": 0.04}, 0.05) == {"a"}
    assert looks(20) == [8, 12, 16, 20] and looks(5) == [5] and looks(10) == [8, 10]


def test_changes_reach_into_a_day_and_name_what_is_known() -> None:
    day = short()
    assert change(day, "plan.basic.weight=3").plan[0].weight == 3.0
    assert change(day, "load.rate=50").load.rate == 50.0
    assert change(day, "class.journal.ordered=false").class_[-1].ordered is False
    for text, said in (
        ("load.speed=1", "known: rate"),
        ("plan.gold.weight=1", "one of: basic, priority"),
        ("load.rate=fast", "expected float"),
        ("load", "NAME.NAME=VALUE"),
        ("load=1", "is a block"),
    ):
        with pytest.raises(ChangeError, match=said):
            change(day, text)


def test_versions_are_loaded_apart(tmp_path: Path) -> None:
    own, digest = load()
    assert own is not Scheduler and digest == load()[1]
    other, changed = load("", {"MAX_REQUESTS_AT_NODE": 3})
    assert changed != digest
    own_limit = own(make_settings(), 1).max_limit
    assert other(make_settings(), 1).max_limit < own_limit == Scheduler(make_settings(), 1).max_limit
    former, _ = load("", {"BOUND_ALL": 3})  # the constant's name up to build d5787bd
    assert former(make_settings(), 1).max_limit == other(make_settings(), 1).max_limit
    with pytest.raises(VersionError, match=r"has no number NOPE; numbers: .*MAX_REQUESTS_AT_NODE"):
        load("", {"NOPE": 1})
    with pytest.raises(VersionError, match=r"there is no scheduler\.py and no control\.py"):
        load(str(tmp_path))
    (tmp_path / "fawnspool/scheduling").mkdir(parents=True)
    (tmp_path / "fawnspool/scheduling/scheduler.py").write_text("raise ValueError('no')")
    with pytest.raises(VersionError, match="ValueError: no"):
        load(str(tmp_path))


def patched(module: str, right: str, wrong: str) -> str:
    """The text of a module of the decisions with one place changed."""
    text = (ROOT / "fawnspool/scheduling" / module).read_text()
    assert text.count(right) == 1
    return text.replace(right, wrong)


def test_a_version_with_another_interface_is_told_in_its_own_terms(tmp_path: Path) -> None:
    package = tmp_path / "fawnspool/scheduling"
    shutil.copytree(ROOT / "fawnspool/scheduling", package)
    line = "    is_client_retry: bool  # the client's second try, where marked\n"
    terms = Path(interface.__file__).read_text()
    assert line in terms
    terms = terms.replace(line, "")
    spent = "max(0.0, request_class.deadline_s - request.timeout_s) if request.is_client_retry else 0.0"
    (package / "interface.py").write_text(terms)
    (package / "admission.py").write_text(patched("admission.py", spent, "0.0"))
    wheel = tmp_path / "old.whl"
    with zipfile.ZipFile(wheel, "w") as file:
        for module in package.glob("*.py"):
            file.write(module, f"fawnspool/scheduling/{module.name}")
    old = play(short(), Arm("old", str(tmp_path)), 1, Params())
    assert not old.errors and old.figures[MAIN] > 0.5
    assert play(short(), Arm("wheel", str(wheel)), 1, Params()) == old


def test_the_same_figures_for_any_number_of_workers() -> None:
    jobs = [(short(), Arm("a"), seed, Params()) for seed in (1, 2)]
    assert list(runner(1)(jobs)) == list(runner(2)(jobs))


def fake(worse: float, noise: float) -> object:
    """A runner whose arm B is worse by so much, with the noise of a day in both and some of its own."""

    def run(jobs: object) -> list[RunFigures]:
        out = []
        for _, arm, seed, *_ in jobs:  # type: ignore[attr-defined]
            shared = np.random.default_rng(seed).normal(0.8, 0.05)
            own = np.random.default_rng((seed, arm.name == "B")).normal(0.0, noise)
            out.append(RunFigures({MAIN: shared + own - worse * (arm.name == "B"), "plan x": shared}))
        return out

    return run


def test_power_and_false_alarms_of_the_whole_procedure() -> None:
    day, a, b = short(), Arm("A"), Arm("B")
    found = sum(
        MAIN in compare("d", day, a, b, 20, fake(0.03, 0.01), first_seed=1 + 1000 * k).told  # type: ignore[arg-type]
        for k in range(20)
    )
    alarms = sum(
        MAIN in compare("d", day, a, b, 20, fake(0.0, 0.01), first_seed=1 + 1000 * k).told  # type: ignore[arg-type]
        for k in range(100)
    )
    assert found >= 18 and alarms <= 5


def test_two_equal_versions_are_not_told_apart_and_a_worse_one_is() -> None:
    day = short(length=2.0)
    same = compare("burst", day, Arm("A"), Arm("B"), 4, runner(1))
    assert (
        same.told == set()
        and same.intervals[MAIN].mean == 0.0
        and "no difference that can be told" in words(same, Arm("A"), Arm("B"))
    )
    assert same.why == "the interval is within 0.005 either way"


def test_a_broken_rule_comes_first_with_the_run_that_shows_it(tmp_path: Path) -> None:
    limited = "self._limiter(pending).tokens < pending.request.units"
    (tmp_path / "scheduler.py").write_text(patched("scheduler.py", limited, "False"))
    day = short("plan-burst")
    day = replace(
        day,
        load=replace(day.load, rate=200.0),
        class_=tuple(replace(c, aim=c.aim * 2) for c in day.class_),
        volumes=tuple(replace(v, count=2) for v in day.volumes),
    )
    worse = compare("plan-burst", day, Arm("A"), Arm("B", str(tmp_path / "scheduler.py")), 2, runner(1))
    assert worse.broken and all(text.startswith("B, seed") and "limits kept" in text for text in worse.broken)


def test_the_command_line_compares_and_keeps_its_results(tmp_path: Path) -> None:
    out = tmp_path / "r.json"
    got = CliRunner().invoke(
        main,
        [
            "model",
            "compare",
            "--days",
            "lead-moves",
            "--runs",
            "2",
            "--folder",
            str(ROOT / "days"),
            "--set-b",
            "fleet.unit_time=0.04",
            "--out",
            str(out),
            "--json",
        ],
    )
    assert got.exit_code == 0, got.output
    said = json.loads(got.output)[0]
    assert said["figures"][MAIN]["b"] < said["figures"][MAIN]["a"]
    assert json.loads(out.read_text())["days"][0]["day"] == "lead-moves"
    got = CliRunner().invoke(
        main, ["model", "run", "lead-moves", "--days", str(ROOT / "days"), "--set", "load.speed=1"]
    )
    assert got.exit_code == 2 and "known: rate" in got.output
