"""Two arms on the same days: paired runs with common random numbers, looked at until something can be told.

An arm is a version of the policy and changes of the day's settings. Run k of both arms plays the same day with the
same seed: arrivals, sizes, faults and network draws are the same, so their difference is the arms' own. Rules come
first: a broken one is reported with the run that shows it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any, NoReturn

import numpy as np

from fawnspool.days.day import Day
from fawnspool.days.terms import rule_terms
from fawnspool.days.traffic import Op
from fawnspool.days.worth import count
from fawnspool.model.params import Params
from fawnspool.model.seen import Recorded
from fawnspool.model.stats import Interval, holm, looks, paired
from fawnspool.model.traffic import Described, draw, replayed
from fawnspool.model.versions import load
from fawnspool.model.world import World
from fawnspool.rules.history import read_history
from fawnspool.rules.judge import judge_run

MAIN = "worth"
Traffic = Described | Recorded | None  # drawn from a description, replayed, or (None) the day's own script


class ChangeError(Exception):
    """A change that does not fit the day; the text names what is known there."""


@dataclass(frozen=True)
class Arm:
    """What is compared. changes: such as "plan.basic.weight=2"; constants: of the policy's module."""

    name: str
    version: str = ""
    changes: tuple[str, ...] = ()
    constants: tuple[tuple[str, float], ...] = ()
    seed_shift: int = 0  # of the heads' own random numbers: two equal arms that still differ
    luck: int = 0  # another draw of all that the day and its seed do not say


@dataclass(frozen=True)
class RunFigures:
    """One arm's run. figures: shares of worth by name; broken: what broke, if anything."""

    figures: dict[str, float]
    broken: tuple[str, ...] = ()
    errors: int = 0


def change(day: Day, text: str) -> Day:
    """The day with one setting changed. Raises ChangeError."""
    path, _, value = text.partition("=")
    parts = path.split(".")
    if not value:
        _no(text, "expected NAME.NAME=VALUE")
    changed: Day = _change(day, parts, value, text)
    return changed


def _no(text: str, why: str) -> NoReturn:
    raise ChangeError(f"{text}: {why}")


def _change(node: Any, parts: list[str], value: str, text: str) -> Any:
    names = {f.name.rstrip("_"): f.name for f in dataclasses.fields(node)}
    if parts[0] not in names:
        _no(text, f"{parts[0]!r} is not known there; known: {', '.join(names)}")
    name = names[parts[0]]
    now = getattr(node, name)
    if isinstance(now, tuple) and now and dataclasses.is_dataclass(now[0]):
        labels = [getattr(x, "name", "") for x in now]
        if len(parts) < 3 or parts[1] not in labels:
            _no(text, f"{parts[0]} is one of: {', '.join(labels)}")
        at = labels.index(parts[1])
        return dataclasses.replace(
            node, **{name: (*now[:at], _change(now[at], parts[2:], value, text), *now[at + 1 :])}
        )
    if dataclasses.is_dataclass(now):
        if len(parts) < 2:
            _no(text, f"{parts[0]} is a block")
        return dataclasses.replace(node, **{name: _change(now, parts[1:], value, text)})
    if len(parts) > 1:
        _no(text, f"{parts[0]} is a plain setting")
    try:
        new: Any = {"true": True, "false": False}[value] if isinstance(now, bool) else type(now)(value)
    except (ValueError, KeyError):
        _no(text, f"expected {type(now).__name__}, found {value!r}")
    return dataclasses.replace(node, **{name: new})


def asked(traffic: Traffic, day: Day, seed: int) -> tuple[Day, list[Op] | None]:
    """The day and what is asked on it; None: its own script."""
    if isinstance(traffic, Recorded):
        return replayed(traffic, day)
    return day, draw(traffic, day, seed) if traffic is not None else None


def play(day: Day, arm: Arm, seed: int, params: Params, traffic: Traffic = None) -> RunFigures:
    """One run of one arm; with `traffic` clients ask what is drawn from it, or was recorded, instead of the
    day's own script."""
    for text in arm.changes:
        day = change(day, text)
    policy, _ = load(arm.version, dict(arm.constants))

    def shifted(settings: Any, number: int) -> Any:
        return policy(settings, number + 1_000_003 * (arm.seed_shift + 7919 * arm.luck))

    day, ops = asked(traffic, day, seed)
    world = World(day, seed, shifted, params, ops, luck=arm.luck)
    service = count(day, world.run())
    verdict = judge_run(read_history(world.rows), rule_terms(day))
    figures = {
        MAIN: service.whole.share,
        "worst 5 s": min((r.share for r in service.windows.values() if r.due), default=1.0),
    }
    figures |= {f"plan {name}": row.share for name, row in sorted(service.plans.items())}
    classes: dict[str, list[float]] = {}
    for (name, _), row in service.rows.items():
        both = classes.setdefault(name, [0.0, 0.0])
        both[0] += row.earned
        both[1] += row.due
    figures |= {f"class {name}": e / d if d else 1.0 for name, (e, d) in sorted(classes.items())}
    return RunFigures(
        figures, tuple(f"{f.rule}: {f.breaches[0].text}" for f in verdict.findings if f.breaches), len(world.errors)
    )


@dataclass
class DayComparison:
    """What came of one day."""

    day: str
    runs: int = 0
    seeds: list[int] = field(default_factory=list)
    a: list[RunFigures] = field(default_factory=list)
    b: list[RunFigures] = field(default_factory=list)
    intervals: dict[str, Interval] = field(default_factory=dict)
    told: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    why: str = ""


Job = tuple[Day, Arm, int, Params, Traffic]
Runner = Callable[[Iterable[Job]], Iterator[RunFigures]]


def _one(job: Job) -> RunFigures:
    return play(*job)


def runner(workers: int) -> Runner:
    """Runs jobs over processes; results come in the order of the jobs, so any number of workers gives the same."""
    if workers <= 1:
        return lambda jobs: map(_one, jobs)

    def spread(jobs: Iterable[Job]) -> Iterator[RunFigures]:
        with ProcessPoolExecutor(workers) as pool:
            yield from pool.map(_one, list(jobs))

    return spread


def compare(
    name: str,
    day: Day,
    a: Arm,
    b: Arm,
    runs: int,
    run: Runner,
    *,
    narrow: float = 0.005,
    level: float = 0.95,
    first_seed: int = 1,
    params: Callable[[int], Params] = lambda seed: Params(),
    traffic: Traffic = None,
) -> DayComparison:
    """Paired runs of `day` until the difference of worth can be told, its interval is narrower than `narrow` either
    way, or `runs` are spent. params(seed): the model's parameters of that run, the same for both arms."""
    out = DayComparison(name)
    at = looks(runs)
    alpha = (1 - level) / len(at)
    for upto in at:
        seeds = range(first_seed + out.runs, first_seed + upto)
        jobs: list[Job] = [(day, arm, seed, params(seed), traffic) for seed in seeds for arm in (a, b)]
        results = list(run(jobs))
        out.seeds += seeds
        out.a += results[::2]
        out.b += results[1::2]
        out.runs = upto
        out.broken = [
            f"{arm.name}, seed {seed}: {text}"
            for arm, rows in ((a, out.a), (b, out.b))
            for seed, row in zip(out.seeds, rows, strict=True)
            for text in row.broken
        ]
        out.intervals = {
            figure: paired(
                np.array([y.figures[figure] - x.figures[figure] for x, y in zip(out.a, out.b, strict=True)]),
                1 - alpha,
                7,
            )
            for figure in out.a[0].figures
        }
        rest = {f: v.p for f, v in out.intervals.items() if f != MAIN}
        out.told = holm(rest, alpha) | ({MAIN} if out.intervals[MAIN].p <= alpha else set())
        if MAIN in out.told:
            out.why = "a difference can be told"
            break
        if out.intervals[MAIN].half <= narrow:
            out.why = f"the interval is within {narrow:g} either way"
            break
    out.why = out.why or f"{runs} runs are spent"
    return out


def words(c: DayComparison, a: Arm, b: Arm) -> str:
    """The answer in a sentence."""
    v = c.intervals[MAIN]
    if MAIN not in c.told:
        return f"{c.day}: no difference that can be told ({v.mean:+.4f}, {v.low:+.4f} to {v.high:+.4f}, {c.runs} runs)"
    better = b.name if v.mean > 0 else a.name
    return f"{c.day}: {better} is better by {abs(v.mean):.4f} ({v.low:+.4f} to {v.high:+.4f}, {c.runs} runs)"
