"""Predictions of real runs, written before them, and how they held.

A prediction is for one day and one seed: what clients ask and who is hit by what are known, so what is left to chance
is delays, nodes' own luck and the heads' random numbers (`luck`), what the fit is unsure of, and what the model misses
of the real heads on the runs it was fitted on (`misfit`). The interval holds all three.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec
import numpy as np

from fawnspool.days.day import Day
from fawnspool.model.compare import MAIN, Arm, Job, Runner
from fawnspool.model.fit import Fit
from fawnspool.model.params import Params
from fawnspool.model.stats import student


@dataclass(frozen=True)
class Predicted:
    """Of one day and seed. low, high: the interval at `level`; luck, misfit: its two parts as standard deviations."""

    day: str
    day_hash: str
    seed: int
    mean: float
    low: float
    high: float
    luck: float
    misfit: float
    level: float
    runs: int
    broken: tuple[str, ...] = ()


@dataclass
class Prediction:
    """A file of predictions. made: seconds since the epoch when it was written; fit: hash of the fit used."""

    made: float
    fit: str
    rows: list[Predicted] = field(default_factory=list)


def text_hash(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()[:16]


def fit_hash(fit: Fit | None) -> str:
    return text_hash(msgspec.json.encode(fit)) if fit is not None else "none"


def predict(
    name: str, day: Day, day_hash: str, seed: int, fit: Fit | None, runs: int, run: Runner, level: float = 0.95
) -> Predicted:
    """Play the day `runs` times with other luck and other draws of the fit's parameters."""
    jobs: list[Job] = [
        (day, Arm("predicted", luck=k + 1), seed, _params(fit, seed * 1000 + k), None) for k in range(runs)
    ]
    came = list(run(jobs))
    shares = np.array([r.figures[MAIN] for r in came])
    luck = float(shares.std(ddof=1)) if runs > 1 else 0.0
    missed = fit.misfit if fit is not None else 0.0
    far = float(np.quantile(student(max(1, runs - 1)), (1 + level) / 2))
    half = far * float(np.sqrt(luck**2 * (1 + 1 / runs) + missed**2))
    mean = float(shares.mean())
    return Predicted(
        name,
        day_hash,
        seed,
        mean,
        max(0.0, mean - half),
        min(1.0, mean + half),
        luck,
        missed,
        level,
        runs,
        tuple(dict.fromkeys(b for r in came for b in r.broken)),
    )


def _params(fit: Fit | None, seed: int) -> Params:
    return Params() if fit is None else fit.drawn(seed)


def misfit(pairs: Iterable[tuple[float, float, float, int]]) -> float:
    """What lies between measured and predicted beyond luck: (measured, mean, luck, runs) of each run. A standard
    deviation; luck counts for the run itself and for the mean's own error."""
    rows = [(x - m) ** 2 - s**2 * (1 + 1 / n) for x, m, s, n in pairs]
    return float(np.sqrt(max(0.0, float(np.mean(rows))))) if rows else 0.0


@dataclass(frozen=True)
class Held:
    """A prediction beside what was measured."""

    row: Predicted
    measured: float
    kept: bool

    @property
    def inside(self) -> bool:
        return self.row.low <= self.measured <= self.row.high


def hold(rows: Sequence[Predicted], measured: dict[tuple[str, int], tuple[float, bool]]) -> list[Held]:
    """Predictions beside measured runs, by hash of the day's text and seed; those not measured are left out."""
    return [Held(r, *measured[r.day_hash, r.seed]) for r in rows if (r.day_hash, r.seed) in measured]
