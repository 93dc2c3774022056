"""Requests sent to a node that an extent had left, by the time since the map service heard of its move
until they came whole. What waited at the node while the extent left it was sent rightly."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

from fawnspool.rules.story import Story

EDGES = (0.005, 0.02, 0.1, 0.5)  # seconds


@dataclass(frozen=True)
class WrongSends:
    """counts: before the flip was told (fenced, under way), then by the edges, and later. not_yet: sent to the new node
    before it had opened. worst: the latest after its flip, seconds."""

    moves: int
    counts: tuple[int, ...]
    not_yet: int
    worst: float


def wrong_sends(story: Story) -> WrongSends:
    flips = {(row["vol"], row["key"], row["gen"]): row["t"] for row in reversed(story.flips)}
    counts, worst, not_yet = [0] * (len(EDGES) + 2), 0.0, 0
    for row in story.elsewheres:
        told = flips.get((row["vol"], row["key"], row["gen"]))
        if row["gen"] < 0:
            not_yet += 1
        elif told is None or row["came"] < told:
            counts[0] += 1
        else:
            worst = max(worst, row["came"] - told)
            counts[1 + bisect_right(EDGES, row["came"] - told)] += 1
    return WrongSends(len(flips), tuple(counts), not_yet, worst)
