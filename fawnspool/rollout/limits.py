"""What a rollout may lose, and how sure it must be."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

_MIN_CONFIDENCE = 0.5
_MIN_WINDOWS = 2


class PlanError(Exception):
    """A fleet or limits with which nothing can be rolled out; the text says what to change."""


class LimitError(PlanError):
    """A limit makes no sense."""

    def __init__(self, option: str, expected: str, found: Any) -> None:
        super().__init__(f"{option}: expected {expected}, found {found!r}")


@dataclass(frozen=True)
class RolloutLimits:
    """Limits of a rollout. Worth is a fraction of what is due, from 0 to 1.

    Attributes
    ----------
    max_loss
        A version that earns less by up to this, gateway for gateway, may still continue.
    max_spend, spend_period_s
        Fraction of the whole fleet's worth over a period that the rollout may lose if the version is bad.
    worst_case_loss
        What a gateway with a bad version loses until that is found.
    confidence
        Probability that a verdict holds.
    window_s
        Length of a window of observation.
    min_windows, max_windows
        Windows for which a batch is watched.
    max_restarting
        Fraction of the fleet that may be away at one time.
    surge_load
        Load over the usual from which a window counts as a surge.
    max_without_surge
        Fraction of the fleet that may run the version before it was seen under a surge.
    min_surge_windows
        Windows of a surge after which the version counts as seen under one.
    settle_s
        Pause after a round of restarts.
    warm_up_s
        After its start a gateway knows too little of its nodes to be compared, which is no sign of its version.
    """

    max_loss: float = 0.02
    max_spend: float = 0.01
    spend_period_s: float = 3600.0
    worst_case_loss: float = 1.0
    confidence: float = 0.95
    window_s: float = 5.0
    min_windows: int = 6
    max_windows: int = 120
    max_restarting: float = 0.1
    surge_load: float = 1.5
    max_without_surge: float = 0.25
    min_surge_windows: int = 4
    settle_s: float = 1.0
    warm_up_s: float = 6.0

    def budget_gateway_s(self, fleet_size: int) -> float:
        """Return the worth that may be lost, in seconds of one gateway's full worth."""
        return self.max_spend * fleet_size * self.spend_period_s

    def max_restarting_of(self, fleet_size: int) -> int:
        """Return how many gateways of a fleet may be away at one time."""
        return max(1, int(self.max_restarting * fleet_size))

    def check(self) -> None:
        """Check that the limits make sense; an error names the limit as the command's option does.

        Raises
        ------
        LimitError
            If one does not.
        """
        self._check_fractions()
        if not _MIN_CONFIDENCE <= self.confidence < 1:
            raise LimitError("level", "0.5 up to under 1", self.confidence)
        for option, seconds in (("span", self.spend_period_s), ("window", self.window_s)):
            if not 0 < seconds < math.inf:
                raise LimitError(option, "seconds over 0", seconds)
        if not _MIN_WINDOWS <= self.min_windows <= self.max_windows:
            windows = (self.min_windows, self.max_windows)
            raise LimitError("windows", "two or more and no fewer at most", windows)
        if self.surge_load <= 1:
            raise LimitError("surge_at", "over 1 (the usual load)", self.surge_load)

    def _check_fractions(self) -> None:
        fractions = {
            "loss": self.max_loss,
            "spend": self.max_spend,
            "worst": self.worst_case_loss,
            "at_once": self.max_restarting,
            "unseen": self.max_without_surge,
        }
        for option, fraction in fractions.items():
            if not 0 < fraction <= 1:
                raise LimitError(option, "over 0 and up to 1", fraction)


# For trials of minutes on the model: fewer and shorter windows, and half the fleet before a surge, as one is scripted.
SHORT_TRIAL = RolloutLimits(
    max_loss=0.05,
    max_spend=0.05,
    spend_period_s=600.0,
    window_s=2.0,
    min_windows=4,
    max_windows=60,
    max_without_surge=0.5,
    min_surge_windows=2,
)
