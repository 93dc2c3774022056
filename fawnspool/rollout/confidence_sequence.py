"""Bounds on a mean that hold at all times together, and the normal distribution's quantiles.

Looking after every window must not raise the odds of a wrong verdict, so the bounds come from a confidence sequence:
the normal mixture of Robbins (1970), in the form of Howard, Ramdas, McAuliffe and Sekhon (2021), eq. 14, with the
variance estimated.
"""

from __future__ import annotations

import math
from typing import NamedTuple

PRIOR_WINDOWS = 6  # windows that the expected deviation counts for
_BISECTIONS = 60
_MAX_QUANTILE = 10.0
_TENTH_QUANTILE = 1.2816  # of the normal distribution


class Estimate(NamedTuple):
    """A mean with its bounds."""

    mean: float
    low: float
    high: float


class ConfidenceSequence:
    """Mean of a sequence with bounds that hold at all times together.

    Parameters
    ----------
    alpha
        Probability, two-sided, that the bounds are ever wrong.
    best_count
        Number of values at about which the bounds are to be tightest.

    Attributes
    ----------
    count
        Values so far.
    """

    def __init__(self, alpha: float, best_count: int) -> None:
        self.alpha = alpha
        self.best_count = best_count
        self.count = 0
        self.mean = 0.0
        self._squares = 0.0  # of the deviations from the mean

    def add(self, value: float) -> None:
        """Add a value."""
        self.count += 1
        step = value - self.mean
        self.mean += step / self.count
        self._squares += step * (value - self.mean)

    def estimate(self, expected_deviation: float) -> Estimate:
        """Return the mean and its bounds; they are infinite for fewer than two values.

        Parameters
        ----------
        expected_deviation
            Standard deviation that was expected. It counts like `PRIOR_WINDOWS` values, so that few values that happen
            to be alike do not make sure.
        """
        if self.count < 2:
            return Estimate(self.mean, -math.inf, math.inf)
        half_width = self._half_width(self._variance(expected_deviation))
        return Estimate(self.mean, self.mean - half_width, self.mean + half_width)

    def _variance(self, expected_deviation: float) -> float:
        """Return the variance, as large as it may well be: at the lower tenth of its estimate's distribution."""
        freedom = PRIOR_WINDOWS + self.count - 1
        return (PRIOR_WINDOWS * expected_deviation**2 + self._squares) / (freedom * _chi_square_tenth(freedom))

    def _half_width(self, variance: float) -> float:
        best_count = max(1, self.best_count)
        rho = best_count / (2 * math.log(1 / self.alpha) + math.log(1 + 2 * math.log(1 / self.alpha)))
        return math.sqrt(
            (self.count + rho)
            / self.count**2
            * (math.log((self.count + rho) / rho) - 2 * math.log(self.alpha))
            * variance
        )


def _chi_square_tenth(freedom: int) -> float:
    """Return the lower tenth of the chi-square distribution over its mean (Wilson and Hilferty 1931)."""
    return float((1 - 2 / (9 * freedom) - _TENTH_QUANTILE * math.sqrt(2 / (9 * freedom))) ** 3)


def normal_quantile(probability: float) -> float:
    """Return a quantile of the normal distribution, for a probability of a half or more."""
    low = 0.0
    high = _MAX_QUANTILE
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        if 0.5 * (1 + math.erf(middle / math.sqrt(2))) < probability:
            low = middle
        else:
            high = middle
    return (low + high) / 2
