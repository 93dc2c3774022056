"""Which heads take the new version when: batches that grow only as fast as what may be lost allows.

Before the first batch nothing is known of the new version, so the worst is assumed of it: every request of its heads is
lost (`worst`). After each batch that was let through, what may still be lost a head and second is the bound that was
proven for it, so the next batch may be larger. Sizes thus follow from the bound, not from a fixed ladder.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random


class PlanError(Exception):
    """A fleet or a bound with which nothing can be rolled out; the text says what to change."""


@dataclass(frozen=True)
class HeadFact:
    """What is known of a head. volumes: those it serves, with how many heads each has in all."""

    number: int
    zone: int = 0
    volumes: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class Bound:
    """What may be lost, and how sure one must be. Worth is a share, 0..1; times are seconds.

    loss      a version that earns less by up to this, head for head, may still go on
    spend     of the whole fleet's worth over `span`: all that the roll-out may lose if the version is bad
    worst     what a head of a bad version loses until it is found out
    windows   least and most windows that a batch is watched
    at_once   heads that may be away at one time, as a share of the fleet
    surge_at  load over the usual from which a window counts as a surge
    unseen    of the fleet that may run the version before a surge was seen under it
    settle    seconds after a round of restarts before the next
    learns    seconds for which a head that started knows too little of its nodes to be held against others, which is
              no sign of its version
    """

    loss: float = 0.02
    spend: float = 0.01
    span: float = 3600.0
    worst: float = 1.0
    level: float = 0.95
    window: float = 5.0
    windows: tuple[int, int] = (6, 120)
    at_once: float = 0.1
    surge_at: float = 1.5
    unseen: float = 0.25
    surge_windows: int = 4
    settle: float = 1.0
    learns: float = 6.0

    def away(self, fleet: int) -> int:
        """Heads of so many that may be away at one time."""
        return max(1, int(self.at_once * fleet))

    def check(self) -> None:
        """Raises PlanError for a bound that makes no sense, naming the field."""
        for name in ("loss", "spend", "worst", "at_once", "unseen"):
            value = getattr(self, name)
            if not 0 < value <= 1:
                raise PlanError(f"{name}: expected over 0 and up to 1, found {value!r}")
        if not 0.5 <= self.level < 1:
            raise PlanError(f"level: expected 0.5 up to under 1, found {self.level!r}")
        for name in ("span", "window"):
            if not 0 < getattr(self, name) < math.inf:
                raise PlanError(f"{name}: expected seconds over 0, found {getattr(self, name)!r}")
        least, most = self.windows
        if not 2 <= least <= most:
            raise PlanError(f"windows: expected two or more and no fewer at most, found {self.windows!r}")
        if self.surge_at <= 1:
            raise PlanError(f"surge_at: expected over 1 (the usual load), found {self.surge_at!r}")


# For trials of minutes on the model: fewer and shorter windows, half the fleet before a surge, as one is soon scripted.
SHORT = Bound(loss=0.05, spend=0.05, span=600.0, window=2.0, windows=(4, 60), unseen=0.5, surge_windows=2)


@dataclass(frozen=True)
class Batch:
    """heads: in the order in which they restart; rounds: those away at the same time; watch: windows, at least."""

    heads: tuple[int, ...]
    rounds: tuple[tuple[int, ...], ...]
    watch: int
    risk: float  # worth lost at the most, in head-seconds, if the version is bad


def windows_needed(bound: Bound, spread: float, heads: int) -> int:
    """Windows until a difference of `loss` shows, if one window of one head varies by `spread` (standard deviation).

    The usual sample size of a one-sided test at `level` with equal power, doubled as two groups differ."""
    z = 2 * quantile(bound.level)
    needed = 2 * (z * spread / bound.loss) ** 2 / max(1, heads)
    return min(bound.windows[1], max(bound.windows[0], math.ceil(needed)))


def quantile(level: float) -> float:
    """Of the normal distribution, by bisection of its error function."""
    low, high = 0.0, 10.0
    for _ in range(60):
        mid = (low + high) / 2
        low, high = (mid, high) if 0.5 * (1 + math.erf(mid / math.sqrt(2))) < level else (low, mid)
    return (low + high) / 2


def plan(fleet: Sequence[HeadFact], bound: Bound, spread: float, seed: int) -> list[Batch]:
    """Batches over the whole fleet. `spread`: how much the difference of one head's window varies.

    Raises PlanError where not even one head may be risked, or a volume would lose its last head."""
    bound.check()
    if len({h.number for h in fleet}) != len(fleet):
        raise PlanError("a head's number stands in the fleet twice")
    if len(fleet) < 2:
        raise PlanError(f"{len(fleet)} heads: a roll-out needs two or more, or there is nothing to compare with")
    if not 0 < spread < math.inf:
        raise PlanError(f"spread: expected over 0, found {spread!r}")
    budget = bound.spend * len(fleet) * bound.span  # head-seconds of full worth
    away = bound.away(len(fleet))
    order = _order(fleet, seed)
    out: list[Batch] = []
    done, proven = 0, bound.worst
    while done < len(order):
        size = _size(bound, spread, budget, proven, done, len(order))
        if size < 1:
            watch = windows_needed(bound, spread, 1)
            raise PlanError(
                f"one head watched for {watch * bound.window:g} s risks {watch * bound.window * proven:g} "
                f"head-seconds and only half of {budget:.1f} may be lost on a batch: raise spend or "
                "loss, or shorten the window"
            )
        heads = order[done : done + size]
        watch = windows_needed(bound, spread, size)
        risk = size * watch * bound.window * proven
        out.append(Batch(tuple(h.number for h in heads), rounds(heads, away), watch, risk))
        budget -= risk if proven == bound.worst else 0.0
        done += size
        proven = bound.loss  # what the verdict on this batch has shown, or there is no next one
    return out


def _size(bound: Bound, spread: float, budget: float, proven: float, done: int, fleet: int) -> int:
    """The most heads whose watch risks no more than the budget; never so many that none is left to compare with
    before the last batch, nor over the share that may run unproven under a surge."""
    most = fleet - done
    if most > 1:
        most = max(1, min(most, (fleet + 1) // 2))
    if done < bound.unseen * fleet:
        most = min(most, max(1, int(bound.unseen * fleet) - done))
    if proven < bound.worst:
        return max(1, min(most, max(2 * done, 1)))  # at most thrice as many in all as have been shown to be well
    # A larger batch is watched for a shorter time, so its risk grows only once the watch is as short as it may be.
    best = 0
    for size in range(1, most + 1):
        if size * windows_needed(bound, spread, size) * bound.window * proven <= budget / 2:
            best = size
    return best


def _order(fleet: Sequence[HeadFact], seed: int) -> list[HeadFact]:
    """Heads so that every run of them is spread over zones and over volumes: next is always the head whose zone and
    volumes have had the fewest so far; the seed breaks ties."""
    random = Random(f"{seed}-order")
    left = sorted(fleet, key=lambda h: h.number)
    random.shuffle(left)
    zones: dict[int, int] = defaultdict(int)
    volumes: dict[str, int] = defaultdict(int)
    sizes: dict[int, int] = defaultdict(int)
    for h in left:
        sizes[h.zone] += 1
    out: list[HeadFact] = []
    while left:
        at = min(
            range(len(left)),
            key=lambda k: (
                zones[left[k].zone] / sizes[left[k].zone],
                max((volumes[v] / n for v, n in left[k].volumes), default=0.0),
            ),
        )
        head = left.pop(at)
        zones[head.zone] += 1
        for name, _ in head.volumes:
            volumes[name] += 1
        out.append(head)
    return out


def rounds(heads: Iterable[HeadFact], away: int) -> tuple[tuple[int, ...], ...]:
    """Deal heads into rounds of at most `away`, such that no round holds every head of a volume that has several."""
    out: list[list[HeadFact]] = []
    for head in heads:
        for some in out:
            if len(some) < away and not _empties(some, head):
                some.append(head)
                break
        else:
            out.append([head])
    return tuple(tuple(h.number for h in some) for some in out)


def _empties(some: Sequence[HeadFact], head: HeadFact) -> bool:
    for name, of in head.volumes:
        if of > 1 and 1 + sum(any(v == name for v, _ in h.volumes) for h in some) >= of:
            return True
    return False
