"""Shared limits, judged from sockets: how much was refused that the fleet as a whole might have let through, and how
near volumes came to their limits. Whether a limit was passed is one of the seven rules (`judge.py`). No I/O, no clock.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from heapq import merge
from itertools import pairwise

from fawnspool.rules.judge import Breach, Finding, Terms
from fawnspool.rules.story import Row, Story


@dataclass
class SharedFinding:
    """Of volumes with a limit. refused: answers; within: of these, as many as one head that saw all would have had room
    for in the limit, each counted as served from then on. datagrams, bytes: between heads, about shared budgets, a
    second and head, as the links noted them (sent, whether or not they passed)."""

    asked: int = 0
    refused: int = 0
    within: int = 0
    datagrams: float = 0.0
    bytes: float = 0.0
    used: Finding = field(default_factory=lambda: Finding("well nodes used"))

    @property
    def share(self) -> float:
        """Of what was asked, refused within the limit."""
        return self.within / self.asked if self.asked else 0.0


CHANCE = 25.0  # requests that a node would have had in a gap: chance alone leaves one out in e^25
LEADING = 0xB5  # of gossip (gossip/messages.py)
OVERHEAD = 28  # bytes of IP and UDP headers


def judge_shared(story: Story, terms: Terms, heads: int) -> SharedFinding:
    out = SharedFinding()
    _used(story, out.used)
    asks: dict[tuple[str, int], Row] = {}
    for ask in story.asks:
        if ask["vol"] in terms.limits:
            asks[ask["op"], ask["n"]] = ask
            out.asked += 1
    ends = sorted(
        (end for key in asks for end in story.gots.get(key, ()) if end["how"] == "refused"),
        key=lambda row: float(row["t"]),
    )
    # From when on room may be saved: an earlier life may have used all of it until then, so no head may count on more.
    begun = min((row["t"] for rows in story.lives.values() for row in rows), default=story.first)
    levels: dict[str, tuple[float, float]] = {}
    seen: set[tuple[int, int]] = set()
    for row in merge(story.ins, ends, key=lambda row: float(row["t"])):
        refused = row["k"] == "got"
        volume = asks[row["op"], row["n"]]["vol"] if refused else row["vol"]
        limit = terms.limits.get(volume)
        if limit is None or (not refused and (row["head"], row["id"]) in seen):
            continue
        rate, depth, _ = limit
        level, at = levels.get(volume, (0.0, begun))
        level = min(depth, level + (row["t"] - at) * rate)
        units = asks[row["op"], row["n"]]["units"] if refused else row["units"]
        if refused:
            out.refused += 1
            out.within += level >= units
        else:
            seen.add((row["head"], row["id"]))
        if not refused or level >= units:
            level -= units
        levels[volume] = (level, row["t"])
    said = [row for row in story.dgrams if row.get("lead") == LEADING]
    span = max(1e-9, story.last - story.first) * max(1, heads)
    out.datagrams, out.bytes = len(said) / span, sum(row["size"] + OVERHEAD for row in said) / span
    return out


def _used(story: Story, out: Finding) -> None:
    """A node that no trouble hit gets its requests all day: a gap in which it would have had so many is no chance,
    heads turned from it. The time in which heads stand still is left out of a gap."""
    asks = [row["t"] for row in story.asks]
    if not asks:
        return
    still = sum(max(0.0, end - start) for spans in story.stalls.values() for start, end in spans)
    came: dict[int, list[float]] = defaultdict(list)
    for row in story.ins:
        came[row["node"]].append(row["t"])
    for up in story.ups:
        node = up["node"]
        if node in story.ill:
            continue
        times = [asks[0], *came[node], asks[-1]]
        usual = len(came[node]) / max(1e-9, asks[-1] - asks[0])
        gap, since = max((b - a, a) for a, b in pairwise(times))
        out.looked_at += 1
        out.nearest = max(out.nearest, min(0.999, gap * usual / CHANCE))
        if (gap - still) * usual > CHANCE or (not came[node] and asks[-1] - asks[0] > 5.0):
            out.nearest = 1.0
            out.breaches.append(
                Breach(
                    out.rule,
                    since - story.first,
                    f"node {node} was well and got nothing for {gap:.1f} s, {usual:.1f} requests a second otherwise",
                )
            )
