"""Traffic by description: fitted to records, drawn again at any size.

What is fitted, and how it scales when heads, nodes or the rate change:

    rate      groups (a run counts once) a second; a rate asked for scales the number of volumes, not each one's rate
    bursts    a log-Gaussian Cox process (Moller, Syversveen, Waagepetersen 1998): the log rate wanders as an AR(1) in
              steps of a second, once for all together and once for each volume; kept
    volumes   how much volumes of a plan differ (log-normal), each plan's share; kept
    leads     how unevenly a volume uses its heads, and how long its busiest head stays that; kept, as long as the
              fleet has as many heads as a volume uses
    classes   share, writes, units, length of runs, patience, by plan; kept
    repeats   pauses and how often, from clients' records; kept

Each purpose draws from a numpy generator of its own, and each volume from one of its own, so that a change of one thing
(a class's sizes, one more volume) leaves the other draws as they were.
"""

from __future__ import annotations

import math
import zlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

import numpy as np
from numpy.typing import NDArray

from fawnspool.days.day import Day
from fawnspool.days.traffic import Operation
from fawnspool.model.seen import Asked, Recorded, TrafficError

LEAST = 40  # observations under which an estimate counts as poor
POINTS = 21  # of each distribution that is kept as quantiles
LAGS = (1.0, 2.0, 3.0, 4.0, 6.0)
Floats = NDArray[np.float64]


@dataclass
class ClassShape:
    """share: of a plan's groups; units, runs and patience (over the class's deadline): quantiles, evenly spaced."""

    share: float
    writes: bool
    units: list[float]
    runs: list[float]
    patience: list[float]
    seen: int = 0


@dataclass
class PlanShape:
    """share: of all groups; volumes: seen; spread: of the log of a volume's rate; heads: that a volume uses."""

    share: float
    volumes: int
    spread: float
    heads: int
    classes: dict[str, ClassShape] = field(default_factory=dict)


@dataclass
class Wander:
    """A log rate's AR(1): standard deviation, and correlation from one second to the next."""

    sd: float = 0.0
    keeps: float = 0.0


@dataclass
class Described:
    """The description. poor: what too little was seen of, in words."""

    rate: float
    length: float
    heads: int
    nodes: int
    plans: dict[str, PlanShape]
    together: Wander
    alone: Wander
    skew: float
    lead_every: float
    retries: int = 1
    backoff: float = 0.1
    poor: list[str] = field(default_factory=list)


def describe(seen: Recorded) -> Described:
    """Fit a description. Raises TrafficError for too short a recording."""
    if seen.length < 3 or len(seen.asked) < 10:
        raise TrafficError(f"{len(seen.asked)} requests in {seen.length:.1f} s: at least 10 in 3 s are needed")
    groups = _groups(seen.asked)
    poor: list[str] = []
    by_volume: dict[str, list[Asked]] = defaultdict(list)
    for first, _ in groups:
        by_volume[first.volume].append(first)
    if len(by_volume) == 1:
        poor.append("volumes: only one was seen, so how they differ can't be told; all are drawn alike")
    counts = _counts([a.t for a, _ in groups], seen.length)
    if len(counts) < LEAST:
        poor.append(f"bursts: {len(counts)} seconds were seen, {LEAST} are wanted")
    together = _wander(counts[None, :])
    rows = np.array([_counts([a.t for a in rows], seen.length) for rows in by_volume.values()])
    both = _wander(rows)
    # What a volume wanders beside all together is its own: variances of the logs add up.
    own = max(0.0, both.sd**2 - together.sd**2)
    alone = Wander(math.sqrt(own), both.keeps if own > 0 else 0.0)
    skew, lead = _leads(by_volume, poor)
    out = Described(
        len(groups) / seen.length, seen.length, seen.heads, seen.nodes, {}, together, alone, skew, lead, poor=poor
    )
    for plan in sorted({a.plan for a, _ in groups}):
        out.plans[plan] = _plan(plan, [g for g in groups if g[0].plan == plan], len(groups), seen.length, poor)
    _repeats(seen, out)
    return out


def _groups(asked: list[Asked]) -> list[tuple[Asked, list[Asked]]]:
    """(first request, all) of each run; a request alone is a run of one."""
    runs: dict[int, list[Asked]] = defaultdict(list)
    out: list[tuple[Asked, list[Asked]]] = []
    for a in asked:
        if a.run and runs[a.run]:
            runs[a.run].append(a)
        else:
            rows = runs[a.run] if a.run else []
            rows.append(a)
            out.append((a, rows))
    return out


def _counts(times: list[float], length: float) -> Floats:
    return np.bincount(np.array(times, dtype=int), minlength=int(length) + 1)[: max(1, int(length))].astype(float)


def _wander(rows: Floats) -> Wander:
    """From counts a second, shape (series, seconds). For a Poisson count of a log-normal rate of mean m:
    var = m + m^2 (exp(sd^2) - 1), and the covariance one second on is m^2 (exp(sd^2 keeps) - 1)."""
    if rows.shape[1] < 4:
        return Wander()
    means = rows.mean(axis=1)
    square = float(np.sum(means**2))
    if square <= 0:
        return Wander()
    over = float(np.sum(rows.var(axis=1, ddof=1) - means)) / square
    if over <= 0:
        return Wander()
    middle = rows - means[:, None]
    after = float(np.sum(np.mean(middle[:, 1:] * middle[:, :-1], axis=1))) / square
    sd2 = math.log1p(over)
    keeps = math.log1p(max(0.0, after)) / sd2
    return Wander(math.sqrt(sd2), min(0.98, keeps))


def _leads(by_volume: dict[str, list[Asked]], poor: list[str]) -> tuple[float, float]:
    """(skew, seconds a lead lasts) from how often two requests of a volume, some seconds apart, take the same head."""
    same: dict[float, list[float]] = {lag: [] for lag in (0.0, *LAGS)}
    heads = 0
    for rows in by_volume.values():
        if rows[0].heads < 2:
            continue
        heads = max(heads, rows[0].heads)
        times, at = np.array([a.t for a in rows]), np.array([a.head for a in rows])
        for lag in same:
            low, high = (0.0, 0.5) if not lag else (lag - 0.5, lag + 0.5)
            starts = np.searchsorted(times, times + low, side="right" if not lag else "left")
            ends = np.searchsorted(times, times + high, side="left")
            for k in range(len(rows)):
                same[lag] += (at[starts[k] : ends[k]] == at[k]).tolist()
    if heads < 2:
        return 0.0, 1e9
    if min(len(v) for v in same.values()) < LEAST:
        poor.append("leads: too few requests of one volume close together")
        return 1.0, 8.0
    now = float(np.mean(same[0.0]))
    skew = _skew(now, heads)
    base = now - 1 / heads
    if base < 0.02:
        return skew, 1e9  # all heads alike: there is no lead that could move
    # A lead that is drawn anew every E seconds is still the same after `lag` with chance 1 - lag / E.
    parts = np.array([(float(np.mean(same[lag])) - 1 / heads) / base for lag in LAGS])
    fall = float(np.sum((1 - parts) * np.array(LAGS)) / np.sum(np.array(LAGS) ** 2))
    return skew, min(1e9, 1 / fall) if fall > 1e-4 else 1e9


def _skew(same: float, heads: int) -> float:
    """s for which requests drawn with weights (1 + k)^-s meet in the same head with chance `same`."""
    low, high = 0.0, 8.0
    for _ in range(50):
        mid = (low + high) / 2
        p = np.arange(1, heads + 1) ** -mid
        p = p / p.sum()
        low, high = (mid, high) if float(np.sum(p**2)) < same else (low, mid)
    return (low + high) / 2


def _plan(name: str, groups: list[tuple[Asked, list[Asked]]], all_: int, length: float, poor: list[str]) -> PlanShape:
    volumes = Counter(first.volume for first, _ in groups)
    counts = np.array(list(volumes.values()), dtype=float)
    mean = float(counts.mean())
    over = (float(counts.var(ddof=1)) - mean) / mean**2 if len(counts) > 1 else 0.0
    heads = Counter(first.heads for first, _ in groups).most_common(1)[0][0]
    out = PlanShape(len(groups) / all_, len(volumes), math.sqrt(math.log1p(max(0.0, over))), heads)
    for cls in sorted({first.cls for first, _ in groups}):
        rows = [g for g in groups if g[0].cls == cls]
        alls = [a for _, some in rows for a in some]
        if len(alls) < LEAST:
            poor.append(f"plan {name}, class {cls}: {len(alls)} requests were seen, {LEAST} are wanted")
        out.classes[cls] = ClassShape(
            len(rows) / len(groups),
            alls[0].writes,
            _points([a.units for a in alls]),
            _points([float(len(some)) for _, some in rows]),
            _points([a.patience for a in alls]),
            len(alls),
        )
    return out


def _points(values: list[float]) -> list[float]:
    return [float(x) for x in np.quantile(np.array(values), np.linspace(0, 1, POINTS), method="inverted_cdf")]


def _repeats(seen: Recorded, out: Described) -> None:
    """Tries that were refused tell whether and how long after clients try again (others may not, by their class)."""
    pauses = [p for _, how, _, p in seen.tries if how in ("refused", "unreached") and p >= 0]
    if len(pauses) >= 10:
        out.backoff = max(0.001, float(np.median(pauses)))
        out.retries = max(n for _, _, n, p in seen.tries if p >= 0) + 1
    elif seen.tries and not pauses:
        out.retries = 0
    else:
        out.poor.append("repeats: too few were seen")


def scaled(d: Described, day: Day, heads: int, nodes: int, rate: float, length: float) -> Day:
    """The day with the description's volumes at another size. Rates of single volumes stay; their number goes with
    `rate`. Raises TrafficError where the day lacks a plan or class, or the fleet has too few heads for a volume."""
    plans, classes = {p.name for p in day.plan}, {c.name for c in day.class_}
    need = {c for p in d.plans.values() for c in p.classes}
    if missing := sorted(set(d.plans) - plans) + sorted(need - classes):
        raise TrafficError(f"{day.title}: has no plan or class {', '.join(missing)}, which the traffic asks for")
    widest = max(p.heads for p in d.plans.values())
    if heads < widest:
        raise TrafficError(f"{heads} heads: a volume works through {widest}")
    blocks = []
    by_name = {b.name: b for b in day.volumes}
    for name, shape in d.plans.items():
        block = by_name.get(name, day.volumes[0])
        blocks.append(
            replace(
                block,
                name=name,
                count=max(1, round(shape.volumes * rate / d.rate)),
                heads=shape.heads,
                nodes=min(block.nodes, nodes),
            )
        )
    return replace(
        day,
        day=replace(day.day, heads=heads, nodes=nodes, length=length),
        volumes=tuple(blocks),
        load=replace(
            day.load,
            rate=rate,
            retries=min(5, d.retries),
            backoff=round(d.backoff, 6),
            skew=d.skew,
            lead_every=round(min(d.lead_every, 1e6), 6),
        ),
    )


def stream(seed: int, *purpose: str | int) -> np.random.Generator:
    """A generator for one purpose: the same seed and purpose give the same draws, whatever else is drawn."""
    return np.random.default_rng([seed, *(zlib.crc32(str(p).encode()) for p in purpose)])


def _walk(w: Wander, seconds: int, rng: np.random.Generator) -> Floats:
    """Factors of the rate, a second each, of mean 1."""
    noise = rng.standard_normal(seconds)
    x = np.empty(seconds)
    last = float(noise[0])
    for k in range(seconds):
        last = last if not k else w.keeps * last + math.sqrt(1 - w.keeps**2) * float(noise[k])
        x[k] = last
    factors: Floats = np.exp(w.sd * x - w.sd**2 / 2)
    return factors


def draw(d: Described, day: Day, seed: int) -> list[Operation]:
    """Operations of a day made by `scaled`, in order of time. The day's own traffic troubles (a burst, leads that move)
    are not in it: what bursts the records held are in the description."""
    seconds = max(1, math.ceil(day.day.length))
    together = _walk(d.together, seconds, stream(seed, "together"))
    rates = _rates(d, day, seed)
    total = sum(rates.values())
    out: list[Operation] = []
    for name, block in day.volume_names():
        shape = d.plans[block.name]
        factor = together * _walk(d.alone, seconds, stream(seed, "alone", name))
        mean = day.load.rate * rates[name] / total * factor
        counts = stream(seed, "arrivals", name).poisson(mean)
        place = stream(seed, "times", name)
        times = np.sort(np.concatenate([k + place.random(n) for k, n in enumerate(counts)]))
        out += _volume(day, seed, name, shape, d, times[times < day.day.length])
    return sorted(out, key=lambda op: (op.at, op.name))


def _rates(d: Described, day: Day, seed: int) -> dict[str, float]:
    """Each volume's part of the groups."""
    out: dict[str, float] = {}
    for block in day.volumes:
        shape = d.plans[block.name]
        names = [f"{block.name}-{k}" for k in range(block.count)]
        raw = {n: math.exp(shape.spread * float(stream(seed, "rates", n).standard_normal())) for n in names}
        whole = sum(raw.values())
        out |= {n: shape.share * x / whole for n, x in raw.items()}
    return out


def _pick(points: list[float], at: Floats) -> Floats:
    """Draws from quantiles, which are kept as values that were seen."""
    index = np.minimum((at * (len(points) - 1)).round().astype(int), len(points) - 1)
    values: Floats = np.array(points)[index]
    return values


def _volume(day: Day, seed: int, name: str, shape: PlanShape, d: Described, times: Floats) -> list[Operation]:
    n = len(times)
    names = list(shape.classes)
    shares = np.array([shape.classes[c].share for c in names])
    which = stream(seed, "classes", name).choice(len(names), n, p=shares / shares.sum())
    run_at, order = stream(seed, "runs", name).random(n), _orders(day, seed, name, shape, d, times)
    parts, keys = stream(seed, "sizes", name), stream(seed, "keys", name)
    patient = stream(seed, "patience", name)
    classes = [c.name for c in day.class_]
    out: list[Operation] = []
    for k in range(n):
        cls = names[which[k]]
        c = shape.classes[cls]
        run = int(_pick(c.runs, run_at[k : k + 1])[0])
        held = f"held/{int(keys.integers(day.load.objects))}"
        for m in range(run):
            units = float(_pick(c.units, parts.random(1))[0])
            size = max(64, int((units - float(parts.random()) * 0.999) * day.units.bytes))
            ident = f"s{seed}{name}g{k}m{m}"
            out.append(
                Operation(
                    ident,
                    float(times[k]) + 0.004 * m,
                    name,
                    classes.index(cls),
                    c.writes,
                    f"new/{ident}" if c.writes else held,
                    size,
                    float(keys.random()),
                    None,
                    f"r{name}{k}" if run > 1 else "",
                    max(0.02, float(_pick(c.patience, patient.random(1))[0])),
                    order[k],
                    math.inf,
                )
            )
    return out


def _orders(day: Day, seed: int, name: str, shape: PlanShape, d: Described, times: Floats) -> list[tuple[int, ...]]:
    """For each group the heads in the order in which its client tries them."""
    mine = tuple(int(h) for h in stream(seed, "heads", name).choice(day.day.heads, shape.heads, replace=False))
    if shape.heads == 1:
        return [mine] * len(times)
    turns, draws = stream(seed, "leads", name), stream(seed, "asks", name)
    phase = float(turns.random())
    leads = turns.integers(shape.heads, size=2 + int(day.day.length / d.lead_every))
    weights = np.arange(1, shape.heads + 1) ** -d.skew
    places = draws.choice(shape.heads, len(times), p=weights / weights.sum())
    out = []
    for t, place in zip(times, places, strict=True):
        lead = int(leads[int(float(t) / d.lead_every + phase)])
        first = (lead + int(place)) % shape.heads
        out.append(mine[first:] + mine[:first])
    return out


def replayed(seen: Recorded, day: Day) -> tuple[Day, list[Operation]]:
    """The recorded requests themselves as operations, and the day with volumes to match. Volumes take the day's own
    names where they are known there, else names by plan in order of first use. Raises TrafficError."""
    plans, classes = {p.name for p in day.plan}, [c.name for c in day.class_]
    known = dict(day.volume_names())
    counts: Counter[str] = Counter()
    names: dict[str, str] = {}
    using: dict[str, list[int]] = defaultdict(list)
    for a in seen.asked:
        if a.plan not in plans or a.cls not in classes:
            raise TrafficError(f"{day.title}: has no plan {a.plan} or no class {a.cls}, which was recorded")
        if a.volume not in names:
            names[a.volume] = a.volume if a.volume in known else f"{a.plan}-{counts[a.plan]}"
            counts[a.plan] += 1
        if a.head not in using[a.volume]:
            using[a.volume].append(a.head)
    heads = max(day.day.heads, max(a.head for a in seen.asked) + 1)
    if not set(names) <= set(known):
        by_name = {b.name: b for b in day.volumes}
        wide = {a.plan: a.heads for a in seen.asked}
        blocks = tuple(
            replace(by_name.get(p, day.volumes[0]), name=p, count=n, heads=min(heads, wide[p]))
            for p, n in sorted(counts.items())
        )
        day = replace(day, volumes=blocks)
    day = replace(day, day=replace(day.day, heads=heads, length=max(1.0, math.ceil(seen.length + 0.001))))
    rng = stream(1, "replay")
    out = []
    for k, a in enumerate(seen.asked):
        volume = names[a.volume]
        size = max(64, int((a.units - 0.5) * day.units.bytes))
        held = f"held/{int(rng.integers(day.load.objects))}"
        others = tuple(h for h in using[a.volume] if h != a.head)
        out.append(
            Operation(
                f"p{k}",
                a.t,
                volume,
                classes.index(a.cls),
                a.writes,
                f"new/p{k}" if a.writes else held,
                size,
                float(rng.random()),
                None,
                f"r{a.run}" if a.run else "",
                a.patience,
                (a.head, *others),
                math.inf,
            )
        )
    return day, out
