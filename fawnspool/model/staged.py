"""A staged roll-out played on the model: heads restart with another version while the day goes on.

`fawnspool/rollout/` decides; this tells it what each window showed and restarts the heads that it names. A window is
looked at once every request of it has ended, so a verdict comes later than its window by twice the longest deadline.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from fawnspool.days.day import Day
from fawnspool.days.terms import rule_terms
from fawnspool.days.worth import count
from fawnspool.model.params import Params
from fawnspool.model.simulated_gateway import Policy
from fawnspool.model.simulation import BEGIN
from fawnspool.model.world import World
from fawnspool.rollout.controller import RolloutController, RolloutVerdict, Window
from fawnspool.rollout.limits import RolloutLimits
from fawnspool.rollout.plan import GatewayInfo, plan_batches, restart_rounds
from fawnspool.rules.history import read_history
from fawnspool.rules.judge import judge_run

# Rules that a head's own records show; the others need the whole fleet's and are judged at the end.
_OWN = ("answered once", "no effect twice", "drains kept", "order kept")


@dataclass
class Trial:
    """What came of a roll-out. steps: (second of the day, what was done or decided)."""

    verdict: RolloutVerdict = RolloutVerdict.WAIT
    why: str = "the day ended first"
    upgraded: int = 0  # heads that ever ran the new version
    most_at_once: int = 0
    share: float = 1.0
    lost: float = 0.0  # head-seconds of worth, as the decisions saw it
    saw_after: int = 0  # windows until the last verdict
    steps: list[tuple[float, str]] = field(default_factory=list)
    broken: tuple[str, ...] = ()


def facts(world: World) -> list[GatewayInfo]:
    """The fleet as a plan needs it: which volumes each head hears, from the day's operations."""
    of: dict[str, set[int]] = defaultdict(set)
    for op in world.ops:
        of[op.volume].update(op.heads)
    mine: dict[int, list[tuple[str, int]]] = defaultdict(list)
    for volume, heads in sorted(of.items()):
        for h in sorted(heads):
            mine[h].append((volume, len(heads)))
    zones = len(world.zones)
    return [GatewayInfo(k, k % zones, tuple(mine[k])) for k in range(world.day.day.heads)]


def spread_of(day: Day, seed: int, policy: Policy, bound: RolloutLimits, params: Params | None = None) -> float:
    """How much one head's window varies beside the fleet's, as a standard deviation, from a day without a roll-out."""
    world = World(day, seed, policy, params)
    world.run()
    by_head: dict[int, list[float]] = defaultdict(list)
    for k in range(int(day.day.length / bound.window_s)):
        shares = _shares(day, world, k, bound.window_s)
        middle = sum(shares.values()) / max(1, len(shares))
        for h, share in shares.items():
            by_head[h].append(share - middle)
    rows = [np.array(x) for x in by_head.values() if len(x) > 1]
    if not rows:
        raise ValueError(f"{day.title}: too short: no head has two windows of {bound.window_s:g} s with requests")
    return max(0.002, float(np.sqrt(np.mean([np.var(x, ddof=1) for x in rows]))))


def _shares(day: Day, world: World, k: int, window: float) -> dict[int, float]:
    ops = [op for op in world.ended if k * window <= op.at < (k + 1) * window]
    return {h: row.share for h, row in count(day, ops).heads.items() if row.due > 0 and h >= 0}


class Staged:
    """One roll-out over one day. down: how long a head is away before its process starts."""

    def __init__(
        self,
        day: Day,
        seed: int,
        old: Policy,
        new: Policy,
        bound: RolloutLimits,
        spread: float,
        *,
        params: Params | None = None,
        down: float = 0.5,
    ) -> None:
        self.day, self.bound, self.old, self.new = day, bound, old, new
        self.world = World(day, seed, old, params)
        self.facts = {f.number: f for f in facts(self.world)}
        self.rollout = RolloutController(plan_batches(list(self.facts.values()), bound, spread, seed), bound, spread)
        self.down = down + self.world.params.head_start
        self.restarts: list[tuple[float, int]] = []  # when a head went away
        self.usual: list[float] = []
        self.raised: dict[int, int] = {}
        self.looked = 0
        self.out = Trial()

    def play(self) -> Trial:
        w = self.world
        late = 2 * max(c.deadline for c in self.day.class_)
        for k in range(int(self.day.day.length / self.bound.window_s)):
            w.engine.at(BEGIN + (k + 1) * self.bound.window_s + late, self._window, k)
        ended = w.run()
        self.out.share = count(self.day, ended).whole.share
        verdict = judge_run(read_history(w.rows), rule_terms(self.day))
        self.out.broken = tuple(f"{f.rule}: {f.breaches[0].text}" for f in verdict.findings if f.breaches)
        self.out.lost = self.rollout.lost_gateway_s
        return self.out

    def _say(self, text: str) -> None:
        self.out.steps.append((self.world.engine.now - BEGIN, text))

    def _window(self, k: int) -> None:
        decision = self.rollout.observe(self._seen(k))
        if self.out.verdict in (RolloutVerdict.ROLL_BACK, RolloutVerdict.DONE):
            return
        self.out.verdict, self.out.why, self.out.saw_after = decision.verdict, decision.why, k + 1
        if decision.verdict is RolloutVerdict.WAIT:
            return
        self._say(f"{decision.verdict.value}: {decision.why}")
        if decision.verdict is RolloutVerdict.CONTINUE:
            batch = self.rollout.begin_batch()
            if batch is not None:
                self._move(batch.rounds, False)
        elif decision.verdict is RolloutVerdict.ROLL_BACK:
            some = [self.facts[h] for h in sorted(self.rollout.upgraded)]
            self._move(restart_rounds(some, self.bound.max_restarting_of(len(self.facts))), True)

    def _move(self, some: Sequence[Sequence[int]], back: bool) -> None:
        w, policy = self.world, self.old if back else self.new
        self._say(f"{'back' if back else 'forth'}: heads {', '.join(str(h) for r in some for h in r)}")
        if not back:
            self.out.upgraded = len(self.rollout.upgraded)
        for n, heads in enumerate(some):
            self.out.most_at_once = max(self.out.most_at_once, len(heads))
            w.engine.after(n * (self.down + self.bound.settle_s), self._round, tuple(heads), policy)

    def _round(self, heads: tuple[int, ...], policy: Policy) -> None:
        w = self.world
        for h in heads:
            w.policies[h] = policy
            self.restarts.append((w.engine.now - BEGIN, h))
        w.restart_gateways(list(heads), self.down)

    def _seen(self, k: int) -> Window:
        w, length = self.world, self.bound.window_s
        start, end = k * length, (k + 1) * length
        asked = float(sum(op.size for op in w.ops if start <= op.at < end))
        if self.rollout.batch_index is None:
            self.usual.append(asked)
        usual = float(np.median(self.usual)) or 1.0
        raised = {h: n - self.raised.get(h, 0) for h, n in w.errors_by_gateway.items() if n > self.raised.get(h, 0)}
        self.raised = dict(w.errors_by_gateway)
        back = {h: at + self.down for at, h in self.restarts}  # the latest of each
        # A window whose requests began before its heads had changed still shows the old version.
        away = frozenset(h for h in self.rollout.started_gateways() if back.get(h, end) > start)
        up = {h: start - at for h, at in back.items()}
        return Window(_shares(self.day, w, k, length), asked / usual, self._broken(start, end), raised, away, up)

    def _broken(self, start: float, end: float) -> dict[int, str]:
        """Rules broken in requests of a window, by head: each side's records judged alone."""
        w = self.world
        ops = {op.name for op in w.ops if start <= op.at < end}
        rows = w.rows[self.looked :]
        self.looked = _first(w.rows, self.looked, BEGIN + start - 1.0)
        by_head: dict[int, list[Mapping[str, Any]]] = defaultdict(list)
        common = [r for r in w.rows if r["k"] in ("up", "told", "head", "stall")]
        for r in rows:
            if r.get("op") in ops and "head" in r:
                by_head[r["head"]].append(r)
        out = {}
        for h, mine in by_head.items():
            if self.rollout.batch_index is None:
                break  # nothing to lay at the new version's door yet
            found = judge_run(read_history([*common, *mine]), rule_terms(self.day))
            for f in found.findings:
                if f.rule in _OWN and f.breaches:
                    out[h] = f"{f.rule}: {f.breaches[0].text}"
                    break
        return out


def _first(rows: Sequence[Mapping[str, Any]], at: int, t: float) -> int:
    while at < len(rows) and rows[at]["t"] < t:
        at += 1
    return at


def show(trial: Trial) -> list[str]:
    """The steps in lines for people."""
    return [f"{t:8.1f} s  {text}" for t, text in trial.steps]
