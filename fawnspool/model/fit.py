"""The model's parameters, estimated from records of real runs, with their uncertainty.

What is looked at is undisturbed: first attempts at warm nodes that were idle, outside every trouble's time. Where too
little of that was seen the fit says so, and `Fit.refuses` names what a prediction would have to guess.

    node      out - in of a read at an idle node = node_cost + units x unit_time x unit_scale
    up        in - ask of an op whose place was known = client_net + 1.5 head_cost + node_net + bytes
    starts    up - killed - the time away that the day names; nodes of one trouble start one after another
    down      got - out                               = node_net + 0.5 head_cost + client_net + bytes
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from itertools import pairwise
from typing import Any

import numpy as np

from fawnspool.days.day import Day
from fawnspool.model import service
from fawnspool.model.params import Params
from fawnspool.model.service import Sample
from fawnspool.rules.history import History, read_history
from fawnspool.rules.observations import Arrival, NodeAnswer

LEAST = 40  # observations under which a part of the fit counts as poor
_GONE = 2.0  # seconds after which an attempt without an answer no longer holds its node
GROUPS = 10  # parts into which observations are dealt, to see how estimates vary


@dataclass(frozen=True)
class Part:
    """One estimate: its value, its standard error, and from how many observations."""

    value: float
    error: float
    seen: int


@dataclass
class Fit:
    """What the records told. classes, kinds and the highest load seen bound what may be predicted."""

    parts: dict[str, Part]
    poor: list[str] = field(default_factory=list)
    classes: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    rate: float = 0.0  # requests a second and node, at most
    runs: int = 0
    by_class: dict[str, Part] = field(default_factory=dict)  # a class's time for a unit over all classes'
    misfit: float = 0.0  # of worth: what the model missed on these runs beyond luck, a standard deviation

    def params(self) -> Params:
        """The estimates themselves."""
        scales = tuple((name, p.value) for name, p in sorted(self.by_class.items()))
        return replace(Params(), class_scale=scales, **{name: p.value for name, p in self.parts.items()})

    def drawn(self, seed: int) -> Params:
        """Parameters drawn within their uncertainty, one purpose's draws apart from another's."""

        def draw(name: str, part: Part) -> float:
            rng = np.random.default_rng([seed, sum(name.encode())])
            return max(0.0, part.value + part.error * float(rng.standard_normal()))

        scales = tuple((name, draw(f"class {name}", p)) for name, p in sorted(self.by_class.items()))
        return replace(Params(), class_scale=scales, **{name: draw(name, p) for name, p in self.parts.items()})

    def refuses(self, day: Day) -> list[str]:
        """What of a day lies outside what was seen; empty: nothing."""
        out = [f"class {c.name} was not seen" for c in day.class_ if c.name not in self.classes]
        out += [f"no trouble of kind {kind} was seen" for kind in day.kinds() if kind not in self.kinds]
        rate = day.load.rate / day.day.nodes
        if rate > self.rate * 1.25:
            out.append(f"{rate:.1f} requests a second and node; {self.rate:.1f} were seen")
        return out + [f"the fit of {name} is poor" for name in self.poor]


def fit(runs: Iterable[tuple[Day, Iterable[Mapping[str, Any]]]]) -> Fit:
    """Estimate from the records of played days."""
    samples: dict[str, list[float]] = defaultdict(list)
    work: list[Sample] = []
    out = Fit({})
    classes: set[str] = set()
    kinds: set[str] = set()
    for day, rows in runs:
        history = read_history(rows)
        out.runs += 1
        classes |= {c.name for c in day.class_}
        kinds |= set(day.kinds())
        out.rate = max(
            out.rate, len({request.operation for request in history.client_requests}) / day.day.length / day.day.nodes
        )
        _services(day, history, out.runs, work)
        _hops(day, history, samples)
        _starts(day, history, samples)
    out.classes, out.kinds = tuple(sorted(classes)), tuple(sorted(kinds))
    _work(work, out)
    _nodes(work, out)
    up, down = _middle(samples["up"]), _middle(samples["down"])
    head = max(5e-5, up.value - down.value)
    spare = max(4e-5, (down.value - head / 2) / 2)
    error = float(np.hypot(up.error, down.error))
    seen = min(up.seen, down.seen)
    out.parts["head_cost"] = Part(head, error, seen)
    out.parts["client_net"] = out.parts["node_net"] = Part(spare, error / 2, seen)
    tail = np.array(samples["down"]) - down.value if samples["down"] else np.array([0.0])
    error = float(np.std(tail) / max(1, len(tail)) ** 0.5)
    out.parts["jitter"] = Part(float(max(1e-5, np.mean(np.abs(tail)) / 2)), error, len(tail))
    if seen < LEAST:
        out.poor.append("network and head")
    for name, value in (("node_start", Params().node_start), ("head_start", Params().head_start)):
        some = samples[name]
        out.parts[name] = (
            Part(float(np.mean(some)), float(np.std(some, ddof=1) / len(some) ** 0.5), len(some))
            if len(some) > 1
            else Part(value, value / 3, len(some))
        )
        if len(some) <= 1 and {"node_start": "crash", "head_start": "head_roll"}[name] in out.kinds:
            out.poor.append(f"{name} (too few restarts)")
    return out


def _calm(day: Day, at: float) -> bool:
    """Is nothing scripted going on at this second of the day?"""
    return not any(x.at - 0.2 <= at <= x.at + x.length + x.down + 2 for x in day.trouble)


def _start(history: History) -> float:
    return min((request.time for request in history.client_requests), default=history.first)


def _starts(day: Day, history: History, samples: dict[str, list[float]]) -> None:
    """How long processes take to come up, beyond the time that a day keeps them away."""
    start = _start(history)
    for x in day.trouble:
        if x.kind == "crash":
            before = start + x.at + x.down
            for node_start in history.node_starts:
                if node_start.is_cold and before < node_start.time < start + x.at + x.down + 5:
                    samples["node_start"].append(node_start.time - before)
                    before = node_start.time
    away = {x.down for x in day.trouble if x.kind in ("head_roll", "head_kill")}
    if len(away) == 1:
        for changes in history.gateway_changes.values():
            for a, b in pairwise(changes):
                if a.what == "killed" and b.what == "up":
                    samples["head_start"].append(max(0.0, b.time - a.time - min(away)))


def _services(day: Day, history: History, run: int, work: list[Sample]) -> None:
    """Reads that found their node idle. A node of one run is another than the same number's in the next."""
    start = _start(history)
    came: dict[int, list[float]] = defaultdict(list)
    for node_start in history.node_starts:
        if node_start.is_cold:
            came[node_start.node].append(node_start.time)
    by_node: dict[int, list[Arrival]] = defaultdict(list)
    for row in history.arrivals:
        by_node[row.node].append(row)
    for node, rows in by_node.items():
        free, wrote, recent = 0.0, 0.0, list[int]()
        starts = sorted(came[node], reverse=True)
        for row in rows:
            if starts and row.time >= starts[-1]:
                free = starts.pop()  # a process that starts has nothing in hand
            out = history.node_answers.get(row.key)
            idle = row.time >= free
            free = max(free, out.time if out is not None else row.time + _GONE)
            if row.is_write:
                wrote = row.time
            fresh = row.extent not in recent
            recent = [*recent[-3:], row.extent]
            if out is None or out.lost or out.status not in (200, 206) or not idle or row.is_write or not fresh:
                continue
            # A write's put-off part may take a core at any later time: only nodes long without one count.
            if row.time - wrote > 0.3:
                work.append(_sample(day, row, out, row.time - start, run, came[node]))


def _sample(day: Day, row: Arrival, out: NodeAnswer, at: float, run: int, came: list[float]) -> Sample:
    last = max((t for t in came if t <= row.time), default=None)
    passed = 1.0 if last is None else min(1.0, (row.time - last) / max(1e-9, day.fleet.warm_after))
    on = [x for x in day.trouble if x.at + 0.2 <= at <= x.at + x.length and x.kind == "pauses"]
    others = any(
        x.kind in ("slow", "neighbour", "ageing") and x.at - 0.2 <= at <= x.at + x.length + 2 for x in day.trouble
    )
    calm = last is None and _calm(day, at)
    return Sample(
        run * 10_000 + row.node,
        day.class_[row.request_class].name,
        row.units * day.fleet.unit_time,
        out.time - row.time,
        1.0 if others else passed,
        day.fleet.cold_from,
        on[0].size / 1000 if len(on) == 1 and not others else 0.0,
        calm,
    )


def _nodes(work: list[Sample], out: Fit) -> None:
    """What service.py estimates. Nodes that came back cold are known by their reads before that."""
    base = out.parts["node_cost"].value
    of = service.kinds(work, base)
    found = {
        "slow_times": service.slow_times(of),
        "cold_scale": service.cold_scale(work, of, base),
        "pause_scale": service.pause_scale(work, of, base),
    }
    for name, e in found.items():
        out.parts[name] = Part(e.value, e.error, e.seen)
    seen = {"cold_scale": {"crash", "unlisted_restart", "ageing", "preempt"}, "pause_scale": {"pauses"}}
    out.poor += [
        f"{name} (too few reads tell it)"
        for name, of_kinds in seen.items()
        if of_kinds & set(out.kinds) and found[name].seen < 8
    ]
    for cls, e in service.class_scale(work, of, base).items():
        out.by_class[cls] = Part(e.value, e.error, e.seen)
        if e.seen < 8:
            out.poor.append(f"class {cls}'s service time (too few reads found an idle node)")


def _work(samples: list[Sample], out: Fit) -> None:
    """node_cost and unit_scale. Nodes are fast or half as fast, and which is not told to a fit: the fast ones' line is
    the lower edge, so the median of what lies within half again of the least time a unit counts."""
    work = [(s.named, s.took) for s in samples if s.calm and s.cold >= 1]
    if len(work) < LEAST:
        out.poor.append("work of nodes")
    if len(work) < 4:
        out.parts["unit_scale"], out.parts["node_cost"] = Part(1.0, 0.1, len(work)), Part(Params().node_cost, 0.001, 0)
        return
    named, took = np.array([w for w, _ in work]), np.array([t for _, t in work])
    least = float(np.quantile(took / named, 0.1))
    fast = took / named < 1.6 * least
    named, took = named[fast], took[fast]
    rng = np.random.default_rng(1)
    lines = []
    for k in range(GROUPS + 1):
        pick = np.arange(len(named)) if not k else rng.integers(0, len(named), len(named))
        slope, base = (
            np.polyfit(named[pick], took[pick], 1)
            if np.ptp(named[pick]) > 0
            else (float(np.mean(took[pick] / named[pick])), 0.0)
        )
        lines.append((float(slope), float(base)))
    spread = np.std(np.array(lines[1:]), axis=0)
    out.parts["unit_scale"] = Part(lines[0][0], float(spread[0]), len(named))
    out.parts["node_cost"] = Part(max(0.0, lines[0][1]), float(spread[1]), len(named))


def _hops(day: Day, history: History, samples: dict[str, list[float]]) -> None:
    """Small requests sent at once: from the client's sending to the node, and from the node's answer to the client."""
    start = _start(history)
    first: dict[tuple[str, int], Arrival] = {}
    for row in history.arrivals:
        if row.key.attempt == 0:
            first.setdefault((row.operation, row.gateway), row)
    known: set[tuple[int, int]] = set()
    for ask in history.client_requests:
        arrived = first.get((ask.operation, ask.gateway))
        ends = history.ends_of(ask)
        if arrived is None or ask.number or len(ends) != 1 or ends[0].how != "served" or ask.is_write:
            continue
        place = (ask.gateway, arrived.extent)
        seen, out = place in known, history.node_answers.get(arrived.key)
        known.add(place)
        if out is None or not _calm(day, ask.time - start):
            continue
        if seen and arrived.time - ask.time < 0.02:  # longer: it was held, which is the module's doing
            samples["up"].append(arrived.time - ask.time)
        samples["down"].append(ends[0].time - out.time)


def _middle(values: list[float]) -> Part:
    """The median, and its error from resampling."""
    if not values:
        return Part(0.001, 0.001, 0)
    array = np.array(values)
    rng = np.random.default_rng(2)
    medians = [float(np.median(array[rng.integers(0, len(array), len(array))])) for _ in range(GROUPS * 4)]
    return Part(float(np.median(array)), float(np.std(medians)), len(values))
