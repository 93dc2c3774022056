"""Paired differences: bootstrap intervals, correction for many figures, and for looking more than once.

Sources: Efron and Tibshirani, An Introduction to the Bootstrap, ch. 12 (bootstrap-t); Holm 1979 for several figures.
Looks share the error evenly (Bonferroni over looks), which is safe and simple.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache

import numpy as np
from numpy.typing import NDArray

DRAWS = 4000
Floats = NDArray[np.float64]


@dataclass(frozen=True)
class Interval:
    """A mean with its interval at `level`; p: the two-sided error at which the interval just touches 0."""

    mean: float
    low: float
    high: float
    level: float
    p: float
    runs: int

    @property
    def half(self) -> float:
        return (self.high - self.low) / 2


def paired(differences: Floats, level: float, seed: int) -> Interval:
    """Bootstrap-t interval of the mean of paired differences, shape (runs,). Under two runs it is unbounded."""
    n = len(differences)
    mean = float(np.mean(differences)) if n else 0.0
    if n < 2:
        return Interval(mean, -float("inf"), float("inf"), level, 1.0, n)
    error = float(np.std(differences, ddof=1)) / np.sqrt(n)
    if error < 1e-12:  # equal in every run: there is nothing to tell, or no doubt
        return Interval(mean, mean, mean, level, 1.0 if abs(mean) < 1e-12 else 0.0, n)
    rng = np.random.default_rng(seed)
    drawn = differences[rng.integers(0, n, (DRAWS, n))]
    errors = np.std(drawn, axis=1, ddof=1) / np.sqrt(n)
    # A resample of few distinct values can have hardly any spread: a floor keeps its t from running away.
    t = np.sort((np.mean(drawn, axis=1) - mean) / np.maximum(errors, error / 4))
    tail = (1 - level) / 2
    usual = student(n - 1)
    far = float(np.quantile(usual, 1 - tail))
    low = mean - max(float(np.quantile(t, 1 - tail)), far) * error
    high = mean - min(float(np.quantile(t, tail)), -far) * error
    side = float(np.mean(t >= mean / error) if mean > 0 else np.mean(t <= mean / error))
    p = min(1.0, 2 * max(side, float(np.mean(usual >= abs(mean) / error)), 1 / DRAWS))
    return Interval(mean, float(low), float(high), level, float(p), n)


@cache
def student(freedom: int) -> Floats:
    """Draws of Student's t, sorted. Of few runs the bootstrap alone tells too much, so the wider of both counts."""
    return np.sort(np.random.default_rng(freedom).standard_t(freedom, 100_000))


def holm(errors: dict[str, float], alpha: float) -> set[str]:
    """Figures whose difference can be told at `alpha` over all of them together."""
    told: set[str] = set()
    ordered = sorted(errors.items(), key=lambda row: (row[1], row[0]))
    for k, (name, p) in enumerate(ordered):
        if p > alpha / (len(ordered) - k):
            break
        told.add(name)
    return told


def looks(runs: int, first: int = 8, step: int = 4) -> list[int]:
    """After how many runs to look, up to the budget."""
    out = list(range(min(first, runs), runs, step))
    return [*out, runs] if not out or out[-1] != runs else out
