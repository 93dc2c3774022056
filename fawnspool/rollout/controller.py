"""Drives a rollout: continue, wait or roll back, after each window in which upgraded gateways ran beside the others.

What is compared is one window's mean fraction of worth of the batch's gateways less that of the others, less the same
difference before the batch restarted (gateways serve different volumes). The others are gateways of the old version
while there are any, then those of earlier batches. Both sides' past ends at the restart: if the others' went on, a load
that grows over the day would pass for the version's doing. Calm windows and surges have a confidence sequence each, as
a version can be worse under a surge alone.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from fawnspool.rollout.confidence_sequence import ConfidenceSequence, Estimate, normal_quantile
from fawnspool.rollout.limits import RolloutLimits
from fawnspool.rollout.plan import Batch

USUAL_WINDOWS = 64  # over which a gateway's usual fraction is averaged
MIN_FREEDOM = 8  # degrees of freedom from which the observed deviation counts
MAX_FREEDOM = 4096  # beyond which no more deviation is observed
PAST_PRECISION = 3  # the first batch's past must be known to one over this part of `max_loss`
_SHOWN_GATEWAYS = 8  # in a text
_MIN_OBSERVED = 3  # gateways in a window whose deviation is observed
_MIN_SURGE_WINDOWS_IN_DOUBT = 2


class RolloutVerdict(Enum):
    """What to do after a window; the values are those of reports."""

    CONTINUE = "go on"  # with the next batch
    WAIT = "wait"
    ROLL_BACK = "go back"
    DONE = "done"


_FINAL_VERDICTS = (RolloutVerdict.ROLL_BACK, RolloutVerdict.DONE)


@dataclass(frozen=True)
class Window:
    """What was observed in one window, by gateway.

    Attributes
    ----------
    shares
        Worth earned over due; gateways without a request are left out.
    load
        Load over the usual.
    broken, raised
        A rule that the gateway broke, and the number of events on which its scheduler raised.
    away
        Gateways that were down, or had not changed their version, at some time of the window.
    up
        Seconds that a gateway had been up when the window began, if it ever restarted.
    missing
        Gateways that should have reported and did not.
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
    """A verdict, its reason in a sentence, and the difference that is known, in calm windows and under a surge."""

    verdict: RolloutVerdict
    why: str
    calm: Estimate | None = None
    surge: Estimate | None = None


class _UsualShare(NamedTuple):
    """Mean of a gateway's fractions of worth in calm windows."""

    windows: int = 0
    mean: float = 0.0

    def with_share(self, share: float) -> _UsualShare:
        windows = min(self.windows + 1, USUAL_WINDOWS)  # the more recent past counts
        return _UsualShare(windows, self.mean + (share - self.mean) / windows)


class _Sides(NamedTuple):
    """Gateways that are compared."""

    upgraded: list[int]
    others: list[int]


class RolloutController:
    """Drives one rollout: `begin_batch` returns the gateways to restart, `observe` the verdict on a window.

    After a ROLL_BACK `upgraded` holds the gateways to restore. Its state does not grow with time.

    Parameters
    ----------
    batches
        As `plan_batches` gives them.
    limits
        What may be lost.
    deviation
        Expected standard deviation of one gateway's window beside the fleet's.
    """

    def __init__(self, batches: list[Batch], limits: RolloutLimits, deviation: float) -> None:
        limits.check()
        self.batches = batches
        self.limits = limits
        self.fleet = frozenset(number for batch in batches for number in batch.gateways)
        self.batch_index: int | None = None  # of the batch that is being watched
        self.upgraded: set[int] = set()
        self.usual: dict[int, _UsualShare] = {}
        self.baseline: dict[int, _UsualShare] = {}  # `usual` when the batch restarted
        self.lost_gateway_s = 0.0  # worth that the version seems to have cost
        self.budget_gateway_s = limits.budget_gateway_s(len(self.fleet))
        self.ended: Decision | None = None
        self._expected_deviation = deviation
        self._observed_squares = 0.0
        self._observed_freedom = 0
        self._calm_windows_before = 0
        self._surge_windows = 0
        self._start_watch()

    def _start_watch(self) -> None:
        alpha = (1 - self.limits.confidence) / 2 / max(1, len(self.batches))
        self.calm = ConfidenceSequence(alpha, self.limits.min_windows)
        self.surge = ConfidenceSequence(alpha, self.limits.min_surge_windows)
        self._watched_windows = 0

    @property
    def _batch(self) -> Batch | None:
        return None if self.batch_index is None else self.batches[self.batch_index]

    def started_gateways(self) -> list[int]:
        """Return the gateways of the batches that were begun."""
        if self.batch_index is None:
            return []
        return [number for batch in self.batches[: self.batch_index + 1] for number in batch.gateways]

    def is_ready(self) -> bool:
        """Has enough been observed of the old version to begin?

        The first batch's past must be known well, or no watching afterwards makes up for it; learning risks nothing.
        """
        size = len(self.batches[0].gateways)
        z = normal_quantile((1 + self.limits.confidence) / 2)
        needed = (PAST_PRECISION * z * self._deviation() / self.limits.max_loss) ** 2 / size
        return self._calm_windows_before >= min(USUAL_WINDOWS, max(self.limits.min_windows, math.ceil(needed)))

    def _deviation(self) -> float:
        """Return the standard deviation of one gateway's window: what was expected, or more if more is observed."""
        observed = 0.0
        if self._observed_freedom > MIN_FREEDOM:
            observed = math.sqrt(self._observed_squares / self._observed_freedom)
        return max(self._expected_deviation, observed)

    def begin_batch(self) -> Batch | None:
        """Return the next batch, which counts as upgraded from now; None after the last or after a ROLL_BACK."""
        next_index = 0 if self.batch_index is None else self.batch_index + 1
        if self.ended is not None or next_index >= len(self.batches):
            return None
        self.batch_index = next_index
        batch = self.batches[next_index]
        self.upgraded.update(batch.gateways)
        self.baseline = dict(self.usual)
        self._start_watch()
        return batch

    def observe(self, window: Window) -> Decision:
        """Return what to do after a window; a ROLL_BACK or DONE stands for good."""
        if self.ended is not None:
            return self.ended
        warming_up = {number for number, seconds in window.up.items() if seconds < self.limits.warm_up_s}
        decision = self._decide(replace(window, away=window.away | warming_up))
        if decision.verdict in _FINAL_VERDICTS:
            self.ended = decision
        return decision

    def _decide(self, window: Window) -> Decision:
        batch = self._batch
        if batch is None:
            return self._learn_before_start(window)
        failure = self._evident_failure(window)
        if failure is not None:
            return Decision(RolloutVerdict.ROLL_BACK, failure)
        self._watched_windows += 1
        sides = self._sides(window, batch)
        if sides.upgraded and sides.others:
            self._compare(window, sides)
        self._learn(window)
        calm = self._estimate(self.calm, batch)
        surge = self._estimate(self.surge, batch)
        loss = self._loss(calm, surge)
        if loss is not None:
            return Decision(RolloutVerdict.ROLL_BACK, loss, calm, surge)
        return self._verdict(batch, calm, surge)

    # ------------------------------------------------------------ what is usual

    def _learn_before_start(self, window: Window) -> Decision:
        self._learn(window)
        if window.shares:
            self._calm_windows_before += 1
        verdict = RolloutVerdict.CONTINUE if self.is_ready() else RolloutVerdict.WAIT
        return Decision(verdict, "learning what is usual")

    def _learn(self, window: Window) -> None:
        """Learn each gateway's usual fraction and the deviation between gateways, in calm windows alone."""
        if window.load >= self.limits.surge_load:
            return
        present = {number: share for number, share in window.shares.items() if number not in window.away}
        self._observe_deviation(present)
        for number, share in present.items():
            self.usual[number] = self.usual.get(number, _UsualShare()).with_share(share)

    def _observe_deviation(self, shares: Mapping[int, float]) -> None:
        known = [(share - self.usual[number].mean, number) for number, share in shares.items() if number in self.usual]
        if len(known) < _MIN_OBSERVED or self._observed_freedom >= MAX_FREEDOM:
            return
        middle = sum(step for step, _ in known) / len(known)
        self._observed_squares += sum(
            (step - middle) ** 2 / (1 + 1 / self.usual[number].windows) for step, number in known
        )
        self._observed_freedom += len(known) - 1

    # ------------------------------------------------------------ signs that need no counting

    def _evident_failure(self, window: Window) -> str | None:
        """Return what an upgraded gateway does that no other does, or None."""
        return self._broken_rule(window) or self._raised(window) or self._silence(window)

    def _broken_rule(self, window: Window) -> str | None:
        broken_elsewhere = {
            text.partition(":")[0] for number, text in window.broken.items() if number not in self.upgraded
        }
        for number, text in sorted(window.broken.items()):
            if number in self.upgraded and text.partition(":")[0] not in broken_elsewhere:
                return f"head {number} broke a rule: {text}"
        return None

    def _raised(self, window: Window) -> str | None:
        by_others = sum(count for number, count in window.raised.items() if number not in self.upgraded)
        by_upgraded = {number: count for number, count in window.raised.items() if number in self.upgraded}
        total = sum(by_upgraded.values())
        if not total or by_others:
            return None
        most, worst = max((count, number) for number, count in by_upgraded.items())
        return f"the module raised {total} times on upgraded heads, {most} on head {worst}"

    def _silence(self, window: Window) -> str | None:
        silent = sorted(number for number in window.missing if number in self.upgraded and number not in window.away)
        if not silent or any(number not in self.upgraded for number in window.missing):
            return None
        return f"upgraded heads do not report: {', '.join(map(str, silent[:_SHOWN_GATEWAYS]))}"

    # ------------------------------------------------------------ comparison

    def _sides(self, window: Window, batch: Batch) -> _Sides:
        """Return the batch's gateways and those to compare with: known from before, and not just restarted."""
        known = [number for number in window.shares if number in self.baseline and number not in window.away]
        in_batch = set(batch.gateways)
        upgraded = [number for number in known if number in in_batch]
        others = [number for number in known if number not in in_batch]
        of_old_version = [number for number in others if number not in self.upgraded]
        return _Sides(upgraded, of_old_version or others)

    def _compare(self, window: Window, sides: _Sides) -> None:
        upgraded = self._mean_change(window, sides.upgraded)
        others = self._mean_change(window, sides.others)
        if window.load >= self.limits.surge_load:
            self.surge.add(upgraded - others)
            self._surge_windows += 1
        else:
            self.calm.add(upgraded - others)
        lost = (others - upgraded) * len(sides.upgraded) * self.limits.window_s
        self.lost_gateway_s = max(0.0, self.lost_gateway_s + lost)

    def _mean_change(self, window: Window, numbers: list[int]) -> float:
        return sum(window.shares[number] - self.baseline[number].mean for number in numbers) / len(numbers)

    def _estimate(self, sequence: ConfidenceSequence, batch: Batch) -> Estimate | None:
        """Return a difference with its bounds, widened by the past's own uncertainty, which no waiting reduces."""
        if not sequence.count:
            return None
        size = len(batch.gateways)
        deviation = self._deviation()
        others = max(1, len(self.fleet) - size)
        mean, low, high = sequence.estimate(deviation * math.sqrt(1 / size + 1 / others))
        known = [number for number in batch.gateways if number in self.baseline]
        past = sum(1 / self.baseline[number].windows for number in known) / size**2
        uncertainty = normal_quantile((1 + self.limits.confidence) / 2) * deviation * math.sqrt(past)
        return Estimate(mean, low - uncertainty, high + uncertainty)

    # ------------------------------------------------------------ verdict

    def _loss(self, calm: Estimate | None, surge: Estimate | None) -> str | None:
        """Return by what the version is shown to be worse, or None."""
        if self.lost_gateway_s > self.budget_gateway_s:
            return (
                f"{self.lost_gateway_s:.0f} head-seconds of worth seem lost, {self.budget_gateway_s:.0f} are the bound"
            )
        for name, estimate in (("in calm windows", calm), ("under a surge", surge)):
            if estimate is not None and estimate.high < -self.limits.max_loss:
                return f"worse by {-estimate.mean:.3f} {name}, at least {-estimate.high:.3f}"
        return None

    def _verdict(self, batch: Batch, calm: Estimate | None, surge: Estimate | None) -> Decision:
        """Return the verdict on a version that is not shown to be worse."""
        may_wait = self._watched_windows < self.limits.max_windows
        if calm is None or self.calm.count < batch.min_windows or calm.low <= -self.limits.max_loss:
            return self._unproven(batch, calm, surge, may_wait)
        if may_wait and self._is_in_doubt_under_surge(surge):
            why = "well in calm windows, in doubt under a surge"
            return Decision(RolloutVerdict.WAIT, why, calm, surge)
        if may_wait and self._needs_surge():
            return Decision(RolloutVerdict.WAIT, "well so far, but no surge was seen under it", calm, surge)
        why = f"not worse by {self.limits.max_loss:g}: {calm.mean:+.3f}, at least {calm.low:+.3f}"
        verdict = RolloutVerdict.DONE if self._next_batch() is None else RolloutVerdict.CONTINUE
        return Decision(verdict, why, calm, surge)

    def _unproven(self, batch: Batch, calm: Estimate | None, surge: Estimate | None, may_wait: bool) -> Decision:
        if may_wait:
            why = f"{self.calm.count} of {batch.min_windows} windows or more"
            return Decision(RolloutVerdict.WAIT, why, calm, surge)
        seen = "nothing was seen" if calm is None else f"{calm.mean:+.3f}, {calm.low:+.3f} to {calm.high:+.3f}"
        why = f"not shown to be within {self.limits.max_loss:g} after {self._watched_windows} windows ({seen})"
        return Decision(RolloutVerdict.ROLL_BACK, why, calm, surge)

    def _is_in_doubt_under_surge(self, surge: Estimate | None) -> bool:
        if surge is None or self.surge.count < _MIN_SURGE_WINDOWS_IN_DOUBT:
            return False
        return surge.low <= -self.limits.max_loss and surge.mean < -self.limits.max_loss

    def _needs_surge(self) -> bool:
        """Would the next batch bring the version to more gateways than may run it before it was seen under a surge?"""
        next_batch = self._next_batch()
        if next_batch is None or self._surge_windows >= self.limits.min_surge_windows:
            return False
        upgraded = len(self.upgraded) + len(next_batch.gateways)
        return upgraded > self.limits.max_without_surge * len(self.fleet)

    def _next_batch(self) -> Batch | None:
        if self.batch_index is None or self.batch_index + 1 >= len(self.batches):
            return None
        return self.batches[self.batch_index + 1]
