"""Go on, wait, or go back: decided after each window in which upgraded heads ran beside the others.

What is compared is one window's mean share of worth of the batch's heads less that of the others, less the same
difference before the batch restarted (heads serve different volumes). The others are heads of the old version while
there are any, then those of earlier batches. Both sides' past ends at the restart: were the others' to go on, a load
that grows over the day would pass for the version's doing. Looking after every window must not raise the odds of a
wrong verdict, so bounds come from a confidence sequence that holds at all times together: the normal mixture of
Robbins (1970), in the form of Howard, Ramdas, McAuliffe and Sekhon (2021), eq. 14, with the variance estimated. Calm
windows and surges have a sequence each, as a version can be worse under a surge alone.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from fawnspool.rollout.plan import Batch, Bound, quantile

_PRIOR = 6  # windows that the expected spread counts for


class Verdict(Enum):
    GO_ON = "go on"
    WAIT = "wait"
    GO_BACK = "go back"
    DONE = "done"


@dataclass(frozen=True)
class Window:
    """One window.

    shares            worth earned over due by head, heads without a request left out
    load              asked over the usual
    broken, raised    by head: a rule it broke, events on which its module raised
    away              heads that were down, or had not changed over, at some time of it
    up                seconds that a head had been up when the window began, if it ever restarted
    missing           heads that should have reported and did not
    """

    shares: Mapping[int, float]
    load: float = 1.0
    broken: Mapping[int, str] = field(default_factory=dict)
    raised: Mapping[int, int] = field(default_factory=dict)
    away: frozenset[int] = frozenset()
    up: Mapping[int, float] = field(default_factory=dict)
    missing: frozenset[int] = frozenset()


@dataclass(frozen=True)
class Decision:
    """verdict, why in a sentence, and what is known: the difference with its bounds, calm and under a surge."""

    verdict: Verdict
    why: str
    calm: tuple[float, float, float] | None = None
    surge: tuple[float, float, float] | None = None


class Sequence:
    """Mean of a sequence with bounds that hold at all times together, at 1 - alpha two-sided."""

    def __init__(self, alpha: float, least: int) -> None:
        self.alpha, self.least = alpha, least
        self.n, self.mean, self.squares = 0, 0.0, 0.0

    def add(self, x: float) -> None:
        self.n += 1
        step = x - self.mean
        self.mean += step / self.n
        self.squares += step * (x - self.mean)

    def bounds(self, usual: float) -> tuple[float, float, float]:
        """(mean, low, high). usual: the standard deviation that was expected, which counts like `_PRIOR` windows; few
        windows that happen to be alike must not make sure."""
        if self.n < 2:
            return self.mean, -math.inf, math.inf
        freedom = _PRIOR + self.n - 1
        # The variance is an estimate: it is taken as large as it may well be (a tenth of its distribution).
        variance = (_PRIOR * usual**2 + self.squares) / (freedom * _low_share(freedom))
        best = max(1, self.least)  # the bounds are tightest at about so many windows
        rho = best / (2 * math.log(1 / self.alpha) + math.log(1 + 2 * math.log(1 / self.alpha)))
        spread = math.sqrt(
            (self.n + rho) / self.n**2 * (math.log((self.n + rho) / rho) - 2 * math.log(self.alpha)) * variance
        )
        return self.mean, self.mean - spread, self.mean + spread


def _low_share(k: int) -> float:
    """The tenth part of chi-square over its mean, at k degrees (Wilson and Hilferty 1931)."""
    return float((1 - 2 / (9 * k) - 1.2816 * math.sqrt(2 / (9 * k))) ** 3)


class Rollout:
    """Drives one roll-out. `begin_batch` gives the heads to restart, `saw` the verdict on a window; a GO_BACK names no
    heads itself: `upgraded` holds them. Nothing in it grows with time."""

    KEEP = 64  # windows over which a head's usual share is averaged

    def __init__(self, batches: list[Batch], bound: Bound, spread: float) -> None:
        bound.check()
        self.batches, self.bound, self.spread = batches, bound, spread
        self.fleet = frozenset(h for b in batches for h in b.heads)
        self.at = -1  # the batch that is being watched
        self.upgraded: set[int] = set()
        self.usual: dict[int, tuple[int, float]] = {}  # of each head: windows seen, mean share in calm ones
        self.base: dict[int, tuple[int, float]] = {}  # the same when the batch restarted
        self.noise, self.freedom = 0.0, 0  # squares and degrees of heads' windows beside the fleet's
        self.waited = self.stable = 0
        self.lost = 0.0  # head-seconds of worth that the version seems to have cost
        self.budget = bound.spend * len(self.fleet) * bound.span
        self.surges = 0
        self.ended: Decision | None = None
        self._fresh()

    def _fresh(self) -> None:
        alpha = (1 - self.bound.level) / 2 / max(1, len(self.batches))
        self.calm = Sequence(alpha, self.bound.windows[0])
        self.surge = Sequence(alpha, self.bound.surge_windows)
        self.waited = 0

    def ready(self) -> bool:
        """Has enough been seen of the old version to begin? The first batch's past must be known to a third of `loss`,
        or no watching afterwards makes up for it; learning risks nothing."""
        heads = len(self.batches[0].heads)
        needed = (3 * quantile((1 + self.bound.level) / 2) * self._noise() / self.bound.loss) ** 2 / heads
        return self.stable >= min(self.KEEP, max(self.bound.windows[0], math.ceil(needed)))

    def _noise(self) -> float:
        """Standard deviation of one head's window beside the fleet's: what was said, or more if more is seen."""
        seen = math.sqrt(self.noise / self.freedom) if self.freedom > 8 else 0.0
        return max(self.spread, seen)

    def begin_batch(self) -> Batch | None:
        """The next batch, which counts as upgraded from now; None after the last or after a GO_BACK."""
        if self.ended is not None or self.at + 1 >= len(self.batches):
            return None
        self.at += 1
        self.upgraded.update(self.batches[self.at].heads)
        self.base = dict(self.usual)
        self._fresh()
        return self.batches[self.at]

    def saw(self, window: Window) -> Decision:
        """What to do after this window. Once it says GO_BACK or DONE it says so for good."""
        if self.ended is not None:
            return self.ended
        young = {h for h, seconds in window.up.items() if seconds < self.bound.learns}
        decision = self._look(replace(window, away=window.away | young))
        if decision.verdict in (Verdict.GO_BACK, Verdict.DONE):
            self.ended = decision
        return decision

    def _look(self, window: Window) -> Decision:
        if self.at < 0:
            self._learn(window)
            self.stable += bool(window.shares)
            return Decision(Verdict.GO_ON if self.ready() else Verdict.WAIT, "learning what is usual")
        if (bad := self._certain(window)) is not None:
            return bad
        self.waited += 1
        new, old = self._sides(window)
        if new and old:
            self._compare(window, new, old)
        self._learn(window)
        calm, surge = self._known(self.calm), self._known(self.surge)
        if self.lost > self.budget:
            return Decision(
                Verdict.GO_BACK,
                f"{self.lost:.0f} head-seconds of worth seem lost, {self.budget:.0f} are the bound",
                calm,
                surge,
            )
        for name, known in (("in calm windows", calm), ("under a surge", surge)):
            if known is not None and known[2] < -self.bound.loss:
                why = f"worse by {-known[0]:.3f} {name}, at least {-known[2]:.3f}"
                return Decision(Verdict.GO_BACK, why, calm, surge)
        return self._proven(calm, surge)

    def _sides(self, window: Window) -> tuple[list[int], list[int]]:
        """The batch's heads and those to hold them against: known from before, and not just restarted."""
        known = [h for h in window.shares if h in self.base and h not in window.away]
        batch = set(self.batches[self.at].heads)
        others = [h for h in known if h not in batch]
        return [h for h in known if h in batch], [h for h in others if h not in self.upgraded] or others

    def _learn(self, window: Window) -> None:
        if window.load >= self.bound.surge_at:
            return
        steps = [
            (x - self.usual[h][1], self.usual[h][0])
            for h, x in window.shares.items()
            if h not in window.away and h in self.usual
        ]
        if len(steps) > 2 and self.freedom < 4096:
            middle = sum(x for x, _ in steps) / len(steps)
            self.noise += sum((x - middle) ** 2 / (1 + 1 / n) for x, n in steps)
            self.freedom += len(steps) - 1
        for h, share in window.shares.items():
            if h not in window.away:
                n, mean = self.usual.get(h, (0, 0.0))
                n = min(n + 1, self.KEEP)  # the more recent past counts
                self.usual[h] = n, mean + (share - mean) / n

    def _certain(self, window: Window) -> Decision | None:
        """Signs that need no counting. A rule broken by an upgraded head while no other head breaks that rule; a module
        that raises; an upgraded head that is silent while all others report."""
        elsewhere = {text.partition(":")[0] for h, text in window.broken.items() if h not in self.upgraded}
        for h, text in sorted(window.broken.items()):
            if h in self.upgraded and text.partition(":")[0] not in elsewhere:
                return Decision(Verdict.GO_BACK, f"head {h} broke a rule: {text}")
        others = sum(n for h, n in window.raised.items() if h not in self.upgraded)
        ours = sum(n for h, n in window.raised.items() if h in self.upgraded)
        if ours and not others:
            worst = max((n, h) for h, n in window.raised.items() if h in self.upgraded)
            return Decision(
                Verdict.GO_BACK, f"the module raised {ours} times on upgraded heads, {worst[0]} on head {worst[1]}"
            )
        silent = sorted(h for h in window.missing if h in self.upgraded and h not in window.away)
        if silent and not any(h not in self.upgraded for h in window.missing):
            return Decision(Verdict.GO_BACK, f"upgraded heads do not report: {', '.join(map(str, silent[:8]))}")
        return None

    def _compare(self, window: Window, new: list[int], old: list[int]) -> None:
        mine = sum(window.shares[h] - self.base[h][1] for h in new) / len(new)
        theirs = sum(window.shares[h] - self.base[h][1] for h in old) / len(old)
        surge = window.load >= self.bound.surge_at
        (self.surge if surge else self.calm).add(mine - theirs)
        self.surges += surge
        self.lost = max(0.0, self.lost + (theirs - mine) * len(new) * self.bound.window)

    def _known(self, s: Sequence) -> tuple[float, float, float] | None:
        """Mean and bounds, widened by what the past itself is unsure of: that part does not shrink with waiting."""
        if not s.n:
            return None
        heads = self.batches[self.at].heads
        spread = self._noise()
        others = max(1, len(self.fleet) - len(heads))
        mean, low, high = s.bounds(spread * math.sqrt(1 / len(heads) + 1 / others))
        past = sum(1 / self.base[h][0] for h in heads if h in self.base) / len(heads) ** 2
        unsure = quantile((1 + self.bound.level) / 2) * spread * math.sqrt(past)
        return mean, low - unsure, high + unsure

    def _proven(self, calm: tuple[float, float, float] | None, surge: tuple[float, float, float] | None) -> Decision:
        batch, bound = self.batches[self.at], self.bound
        last = self.at + 1 == len(self.batches)
        well = calm is not None and self.calm.n >= batch.watch and calm[1] > -bound.loss
        if (
            well
            and surge is not None
            and self.surge.n >= 2
            and surge[1] <= -bound.loss
            and surge[0] < -bound.loss
            and self.waited < bound.windows[1]
        ):
            return Decision(Verdict.WAIT, "well in calm windows, in doubt under a surge", calm, surge)
        after = len(self.upgraded) + (0 if last else len(self.batches[self.at + 1].heads))
        if (
            well
            and not last
            and self.surges < bound.surge_windows
            and after > bound.unseen * len(self.fleet)
            and self.waited < bound.windows[1]
        ):
            return Decision(Verdict.WAIT, "well so far, but no surge was seen under it", calm, surge)
        if well:
            why = f"not worse by {bound.loss:g}: {calm[0]:+.3f}, at least {calm[1]:+.3f}" if calm else ""
            return Decision(Verdict.DONE if last else Verdict.GO_ON, why, calm, surge)
        if self.waited >= bound.windows[1]:
            mean = "nothing was seen" if calm is None else f"{calm[0]:+.3f}, {calm[1]:+.3f} to {calm[2]:+.3f}"
            why = f"not shown to be within {bound.loss:g} after {self.waited} windows ({mean})"
            return Decision(Verdict.GO_BACK, why, calm, surge)
        return Decision(Verdict.WAIT, f"{self.calm.n} of {batch.watch} windows or more", calm, surge)
