"""How nodes serve, estimated from records: by class, by node kind, cold, and standing still.

All from reads that found their node idle, so that what they took is their own service:

    slow_times    a slow node's time for a unit over a fast one's
    class_scale   a class's time for a unit over all classes'
    cold_scale    the part of its power with which a node really starts, over the part that the day names
    pause_scale   how long a pause really is, over the length that the day names
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

Floats = NDArray[np.float64]
FAST = 1.5  # a node whose reads take over so many times the fastest nodes' is a slow one
EARLY = 0.7  # of the ramp: behind it a node is so nearly warm that the ramp's start hardly shows
PAUSE = 0.25  # of a named pause: what a read takes beyond its service to count as held up by one


@dataclass(frozen=True, slots=True)
class Sample:
    """named: seconds of work as the day names it; cold: part of the ramp that had passed, 1.0: warm; start: the part of
    its power from which the day lets it begin; pause: length of pauses that were on, 0: none; calm: nothing was."""

    node: int
    cls: str
    named: float
    took: float
    cold: float = 1.0
    start: float = 1.0
    pause: float = 0.0
    calm: bool = True


@dataclass(frozen=True, slots=True)
class Estimate:
    value: float
    error: float
    seen: int


def kinds(samples: Sequence[Sample], base: float) -> dict[int, float]:
    """Each node's time for a named second of work, from its calm warm reads; nodes with under three are left out."""
    rows: dict[int, list[float]] = defaultdict(list)
    for s in samples:
        if s.calm and s.cold >= 1:
            rows[s.node].append(max(1e-6, s.took - base) / s.named)
    return {node: float(np.median(x)) for node, x in rows.items() if len(x) >= 3}


def fast_nodes(of: dict[int, float]) -> set[int]:
    """The nodes of the faster kind; all, where they are alike."""
    least = min(of.values(), default=0.0)
    return {node for node, x in of.items() if x <= FAST * least}


def slow_times(of: dict[int, float]) -> Estimate:
    """How many times as long slow nodes take."""
    fast = fast_nodes(of)
    slow = [x for node, x in of.items() if node not in fast]
    if not slow or not fast:
        return Estimate(2.0, 0.2, 0)
    usual = float(np.median([of[n] for n in fast]))
    return _mean([x / usual for x in slow])


def class_scale(samples: Sequence[Sample], of: dict[int, float], base: float) -> dict[str, Estimate]:
    """Each class's time for a unit, over what its nodes take for all classes."""
    rows: dict[str, list[float]] = defaultdict(list)
    for s in samples:
        if s.calm and s.cold >= 1 and s.node in of:
            rows[s.cls].append((s.took - base) / s.named / of[s.node])
    return {cls: _middle(x) for cls, x in sorted(rows.items())}


def cold_scale(samples: Sequence[Sample], of: dict[int, float], base: float) -> Estimate:
    """From reads on the ramp: power there is start + (1 - start) x part of the ramp passed, so each tells a start."""
    out = []
    for s in samples:
        if s.cold < EARLY and s.node in of and s.took > base:
            power = min(1.0, of[s.node] * s.named / (s.took - base))
            out.append((power - s.cold) / (1 - s.cold) / s.start)
    return _middle(out) if out else Estimate(1.0, 0.1, 0)


def pause_scale(samples: Sequence[Sample], of: dict[int, float], base: float) -> Estimate:
    """From reads that pauses held up. One that was being served is held for the whole pause, one that came within it
    for the rest of it, so the longest tell the length: the 95th of a hundred is taken, as the last may have met two."""
    over = np.array(
        [
            (s.took - base - of[s.node] * s.named) / s.pause
            for s in samples
            if s.pause and s.node in of and s.took - base - of[s.node] * s.named > PAUSE * s.pause
        ]
    )
    if len(over) < 2:
        return Estimate(1.0, 0.1, len(over))
    return Estimate(float(np.quantile(over, 0.95)), _error(over, lambda x: float(np.quantile(x, 0.95))), len(over))


def _mean(values: list[float]) -> Estimate:
    x = np.array(values)
    return Estimate(float(x.mean()), float(x.std(ddof=1) / len(x) ** 0.5) if len(x) > 1 else 0.2, len(x))


def _middle(values: list[float]) -> Estimate:
    x = np.array(values)
    return Estimate(float(np.median(x)), _error(x, lambda v: float(np.median(v))) if len(x) > 1 else 0.2, len(x))


def _error(x: Floats, of: Callable[[Floats], float]) -> float:
    """By resampling."""
    rng = np.random.default_rng(3)
    return float(np.std([of(x[rng.integers(0, len(x), len(x))]) for _ in range(40)]))
