"""Duties, judged from what places saw: no step under an older token after a newer one, no two holders at once, every
move done once, all that was to be drained drained. How long hand-overs took, by cause. No I/O, no clock.

A head's own records (took, until, lost) are asked for one thing alone, whether two say that they hold; all else is
the nodes' and the map service's.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from fawnspool.rules.judge import Breach, Finding
from fawnspool.rules.story import Row, Story

Broke = Callable[[float, str], None]
FLIGHT = 0.06  # seconds that a step may be on its way (judge.MOST), beside the margin of a lease


@dataclass
class DutyFinding:
    """gaps: from a fault that hit a holder until the next one showed its token, seconds, by the fault. without_cause:
    hand-overs with no fault before them."""

    finding: Finding = field(default_factory=lambda: Finding("duties kept"))
    gaps: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    fenced: int = 0
    handed_over: int = 0
    without_cause: int = 0
    relieved: int = 0  # passed on as the holder had more than its part, or by hand
    moved: int = 0
    left: int = 0


def judge_duties(story: Story, lease: float, drained: bool) -> DutyFinding:
    """drained: was a drain to be complete at the end?"""
    out = DutyFinding()
    f = out.finding

    def broke(t: float, text: str) -> None:
        f.nearest = 1.0
        f.breaches.append(Breach(f.rule, t - story.first, text))

    out.fenced = len(story.fenced)
    first = _places(story, broke)
    f.looked_at = len(story.effects) + len(story.fenced)
    _late(story, first, lease, broke)
    _intervals(story.duties, broke)
    _rising(story, broke)
    _moves(story, out, broke)
    _hand_overs(story, first, lease, out)
    for row in story.drains:
        out.left += row["left"]
        if row["missing"] or row["twice"]:
            broke(
                row["t"],
                f"at the end {row['missing']} extents were nowhere and {row['twice']} in two places: "
                f"{row.get('named', '')}",
            )
        if drained and row["left"]:
            broke(row["t"], f"{row['left']} extents still lie in a drained cell")
    return out


def _places(story: Story, broke: Broke) -> dict[str, dict[int, float]]:
    """What each place took, in order; gives for each duty when each token was first seen anywhere."""
    newest: dict[tuple[int, str], int] = {}
    lives: dict[tuple[str, int], tuple[int, int]] = {}
    first: dict[str, dict[int, float]] = defaultdict(dict)
    for row in story.effects:
        place, duty, token = row["node"], row["duty"], row["token"]
        if not duty:
            broke(row["t"], f"place {place} took {row['what']} of {row['vol']}/{row['key']} without a token")
            continue
        if token < newest.get((place, duty), 0):
            broke(
                row["t"], f"place {place} took {row['what']} of {duty} under token {token} after {newest[place, duty]}"
            )
        newest[place, duty] = max(token, newest.get((place, duty), 0))
        life = lives.setdefault((duty, token), (row["who"], row["head"]))
        if life[0] != row["who"]:
            broke(row["t"], f"{duty}: token {token} is borne by head {life[1]} and another life, of head {row['head']}")
        first[duty].setdefault(token, row["t"])
    return first


def _late(story: Story, first: dict[str, dict[int, float]], lease: float, broke: Broke) -> None:
    """A step under an older token, refused, or taken by a place that the newer holder has not touched. It may be so
    late only where its head was stopped, or its calls were held back, since its lease: else its head heeds no lease."""
    for row in (*story.effects, *story.fenced):
        newer = [t for token, t in first.get(row["duty"], {}).items() if token > row["token"]]
        if not newer or row["t"] <= min(newer) + FLIGHT + lease / 10:
            continue
        if not any(
            x["head"] == row["head"]
            and x["what"] in ("stopped", "held back")
            and x["t"] <= row["t"]
            and x["until"] >= min(newer) - 2 * lease
            for x in story.faults
        ):
            did = "acted" if row["k"] == "effect" else "tried to act"
            broke(
                row["t"],
                f"{row['duty']}: head {row['head']} {did} at {row['node']}, token {row['token']}, "
                f"{row['t'] - min(newer):.3f} s after a newer holder had",
            )


def _rising(story: Story, broke: Broke) -> None:
    """A token that voters gave although it, or a higher one, had been borne by another life before: they forgot."""
    used: dict[str, list[Row]] = defaultdict(list)
    for row in story.effects:
        if row["duty"]:
            used[row["duty"]].append(row)
    for row in story.duties:
        if row["what"] == "took":
            higher = [
                e
                for e in used[row["duty"]]
                if e["t"] < row["t"] and e["who"] != row["who"] and e["token"] >= row["token"]
            ]
            if higher:
                broke(
                    row["t"],
                    f"{row['duty']}: head {row['head']} was given token {row['token']}, head "
                    f"{higher[0]['head']} had borne {higher[0]['token']}",
                )


def _intervals(rows: Iterable[Row], broke: Broke) -> None:
    """Two that say they hold one duty."""
    spans: dict[str, list[list[float]]] = defaultdict(list)
    open_: dict[tuple[str, int], list[float]] = {}
    for row in rows:
        key = (row["duty"], row["who"])
        if row["what"] == "took" and key not in open_:
            open_[key] = [row["t"], row["end"], row["head"]]
            spans[row["duty"]].append(open_[key])
        elif row["what"] in ("took", "until") and key in open_:
            open_[key][1] = max(open_[key][1], row["end"])
        elif row["what"] == "lost" and key in open_:
            span = open_.pop(key)
            span[1] = min(span[1], row["t"])
    for duty, found in spans.items():
        found.sort()
        last = found[0]
        for span in found[1:]:
            if span[0] < last[1] and span[2] != last[2]:
                broke(span[0], f"{duty}: heads {last[2]:.0f} and {span[2]:.0f} hold it for {last[1] - span[0]:.3f} s")
            last = max(last, span, key=lambda s: s[1])


def _moves(story: Story, out: DutyFinding, broke: Broke) -> None:
    """Each extent leaves a drained cell once: two moves of one generation, or a second move of one extent, are work
    done twice."""
    flips: dict[tuple[str, str], dict[int, int]] = defaultdict(dict)
    for row in story.effects:
        if row["what"] != "flip":
            continue
        was = flips[row["vol"], row["key"]].setdefault(row["gen"], row["cell"])
        if was != row["cell"]:
            broke(row["t"], f"{row['vol']}/{row['key']}: generation {row['gen']} is in {was} and {row['cell']}")
    out.moved = len(flips)
    for name, gens in flips.items():
        if len(gens) > 1:
            broke(story.last, f"{'/'.join(name)} moved {len(gens)} times")


def _hand_overs(story: Story, first: dict[str, dict[int, float]], lease: float, out: DutyFinding) -> None:
    """A duty's next token after a fault that hit its holder; of faults one upon the other the first that hit it
    counts."""
    relieved: dict[str, list[float]] = defaultdict(list)
    for row in story.duties:
        if row["what"] == "lost" and row["why"] in ("relieved", "released by hand"):
            relieved[row["duty"]].append(row["t"])
    who = {(row["duty"], row["token"]): row["who"] for row in reversed(story.effects)}
    for duty, tokens in first.items():
        # One life under a higher token is no hand-over.
        rows = sorted(tokens.items(), key=lambda row: row[1])
        order = rows[:1] + [new for old, new in pairwise(rows) if who[duty, old[0]] != who[duty, new[0]]]
        hits = [x for x in story.faults if duty in x.get("duties", ())]
        for (_, before), (_, t) in pairwise(order):
            out.handed_over += 1
            causes = [x for x in hits if before <= x["t"] <= t]
            if not causes and any(before <= t0 <= t for t0 in relieved.get(duty, ())):
                out.relieved += 1
                continue
            if causes:
                out.gaps[causes[0]["what"]].append(t - causes[0]["t"])
            elif not any(x["t"] - lease <= t <= x.get("until", x["t"]) + 3 * lease for x in story.faults):
                out.without_cause += 1
