"""What clients ask on a day: drawn ahead from the day and a seed, the same whatever answers them.

Each purpose draws from a generator of its own, so that a change of one leaves the others' draws alone. Times are
seconds from the day's start.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from fawnspool.days.day import Day, TroubleBlock, VolumesBlock


@dataclass(frozen=True)
class Op:
    """One thing that a client wants, over all its tries. pick: a draw in 0..1 with which a read finds its object."""

    name: str
    at: float
    volume: str
    cls: int
    writes: bool
    key: str  # of a write, or of a read of an object held from the start; "": a fresh one
    size: int
    pick: float
    part: tuple[float, float] | None  # of the object: where a ranged read begins and how much it takes
    run: str  # requests of one run share it; "": none
    patience: float  # of its first try, seconds
    heads: tuple[int, ...]  # in the order in which it tries them
    leaves: float  # seconds after which its client goes; inf: never


def held_objects(day: Day, seed: int) -> Iterator[tuple[str, str, int, int]]:
    """(volume, key, size in bytes, cell) of what volumes hold from the start."""
    random = Random(f"{seed}-held")
    sizes = [t.size for t in day.traffic if not t.writes] or [65536]
    for volume, block in day.volume_names():
        cells = random.sample(range(day.day.nodes), block.nodes)
        for k in range(day.load.objects):
            size = max(64, int(random.choice(sizes) * random.uniform(0.3, 1.7)))
            yield volume, f"held/{k}", min(size, day.units.bytes * day.units.largest), cells[k % len(cells)]


def on(trouble: TroubleBlock, t: float) -> bool:
    return trouble.at <= t < trouble.at + trouble.length


def make(day: Day, seed: int) -> list[Op]:
    """All operations of the day, in order of time."""
    arrivals, picks, leads = Random(f"{seed}-arrivals"), Random(f"{seed}-picks"), Random(f"{seed}-leads")
    volumes = day.volume_names()
    plans = {p.name: p for p in day.plan}
    usual = {name: plans[block.name].rate * picks.uniform(0.6, 1.4) for name, block in volumes}
    heads = {name: tuple(leads.sample(range(day.day.heads), block.heads)) for name, block in volumes}
    hot = {
        t.name: set(Random(f"{seed}-{t.name}").sample([n for n, _ in volumes], max(1, round(t.part * len(volumes)))))
        for t in day.trouble
        if t.kind == "hot_volumes"
    }
    out: list[Op] = []
    t, number = 0.0, 0
    top = _peak(day)
    mean_run = sum(x.share * (1 + x.run) / 2 for x in day.traffic) / sum(x.share for x in day.traffic)
    while True:
        t += arrivals.expovariate(day.load.rate * top / mean_run)
        if t >= day.day.length:
            return out
        weights = [usual[name] * _boost(day, name, block, t, hot) for name, block in volumes]
        if arrivals.random() * top > sum(weights) / sum(usual.values()) * _burst(day, t):
            continue  # thinned: the rate of this moment
        volume = picks.choices(volumes, weights)[0][0]
        stream = picks.choices(day.traffic, [x.share for x in day.traffic])[0]
        cls = [c.name for c in day.class_].index(stream.name)
        order = _order(day, volume, heads[volume], t, leads, seed)
        deadline = day.class_[cls].deadline
        aim = day.class_[cls].aim
        patience, leaves = deadline, math.inf
        for x in day.trouble:
            if x.kind == "impatient" and on(x, t) and picks.random() < x.part:
                patience = max(0.05, aim * x.size)
            if x.kind == "leavers" and on(x, t) and picks.random() < x.part:
                leaves = picks.uniform(0.01, aim)
        scan = any(x.kind == "scan" and on(x, t) and picks.random() < x.part for x in day.trouble)
        run = picks.randint(1, stream.run)
        run_name = f"r{number}" if run > 1 and not scan else ""
        fresh = not stream.writes and not scan and picks.random() < stream.fresh
        held = f"held/{picks.randrange(day.load.objects)}"
        for k in range(run):
            number += 1
            name = f"s{seed}o{number}"
            size = max(64, min(int(stream.size * picks.uniform(0.3, 1.7)), day.units.bytes * day.units.largest))
            part = (picks.random() * 0.5, picks.uniform(0.1, 0.5)) if picks.random() < stream.ranged else None
            key = (
                f"new/{name}"
                if stream.writes
                else ""
                if fresh
                else held
                if not scan
                else f"held/{picks.randrange(day.load.objects)}"
            )
            out.append(
                Op(
                    name,
                    t + 0.004 * k,
                    volume,
                    cls,
                    stream.writes,
                    key,
                    size,
                    picks.random(),
                    None if stream.writes else part,
                    run_name,
                    patience,
                    order,
                    leaves,
                )
            )
    return out


def _burst(day: Day, t: float) -> float:
    factor = 1.0
    for x in day.trouble:
        if x.kind == "burst" and on(x, t):
            factor *= x.size
    return factor


def _boost(day: Day, name: str, block: VolumesBlock, t: float, hot: dict[str, set[str]]) -> float:
    factor = 1.0
    for x in day.trouble:
        if on(x, t) and (
            (x.kind == "plan_burst" and x.plan == block.name) or (x.kind == "hot_volumes" and name in hot[x.name])
        ):
            factor *= x.size
    return factor


def _peak(day: Day) -> float:
    """A bound of the rate's factor over the whole day."""
    factor = 1.0
    for x in day.trouble:
        if x.kind in ("burst", "plan_burst", "hot_volumes"):
            factor *= max(1.0, x.size)
    return factor


def _order(day: Day, volume: str, heads: tuple[int, ...], t: float, random: Random, seed: int) -> tuple[int, ...]:
    """The heads of a volume as this client tries them: drawn with a lead that moves."""
    turn = int((t + 2 * Random(f"{seed}-{volume}-turn").random() * day.load.lead_every) / day.load.lead_every)
    for x in day.trouble:
        if x.kind == "lead_moves" and t >= x.at and Random(f"{seed}-{volume}-{x.name}").random() < x.part:
            turn += 1
    lead = Random(f"{seed}-{volume}-{turn}").randrange(len(heads))
    weights = [(1 + (k - lead) % len(heads)) ** -day.load.skew for k in range(len(heads))]
    first = random.choices(range(len(heads)), weights)[0]
    return heads[first:] + heads[:first]
