"""The seven rules (BRIEF of the first users), each a function from a story to what broke.

Times are compared with an allowance for scheduling noise: `BASE` and the worst lateness that any process of the run
measured of its own timers, `MOST` in all. A run noisier than that is not judged well, and says so: the
allowance never grows to fit what was seen of the rules themselves.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise

from fawnspool.rules.story import Row, Story

BASE = 0.005  # seconds: what two processes on one idle machine take to hear of each other
MOST = 0.060  # seconds: the most that noise may excuse
ACCEPT = 0.1  # seconds: from a client's sending until its head has accepted; it may ask for a place first
CATCH_UP = 0.1  # seconds: what falls due so soon after a head stood still is due then; it finds all at once


@dataclass(frozen=True)
class Terms:
    """The rules' figures. Seconds and units; a limit of 0 and extra_free None ask nothing."""

    drain_grace: float = 1.0
    fall: float = 2.0
    fall_multiple: float = 2.0
    fall_slack: float = 8.0  # units: for chance
    limits: dict[str, tuple[float, float, float]] = field(default_factory=dict)  # volume: rate, depth, slack
    ordered: frozenset[int] = frozenset()  # classes whose requests of one extent take turns
    settle: float = 0.0
    extra_free: float | None = None
    extra_ratio: float = 0.0
    extra_span: float = 1.0


@dataclass(frozen=True)
class Breach:
    rule: str
    t: float  # since the run's first record
    text: str


@dataclass
class Finding:
    """What a rule looked at and found. nearest: how near the closest came to breaking it, 1.0 is a break."""

    rule: str
    looked_at: int = 0
    breaches: list[Breach] = field(default_factory=list)
    nearest: float = 0.0


@dataclass
class Verdict:
    findings: list[Finding]
    allowance: float
    too_noisy: bool
    wrong_bytes: int

    @property
    def kept(self) -> bool:
        return not self.wrong_bytes and not any(f.breaches for f in self.findings)


class _Judge:
    def __init__(self, rule: str, story: Story) -> None:
        self.out, self.story = Finding(rule), story

    def broke(self, t: float, text: str) -> None:
        self.out.nearest = max(1.0, self.out.nearest)
        self.out.breaches.append(Breach(self.out.rule, t - self.story.first, text))


def judge(story: Story, terms: Terms) -> Verdict:
    """All seven rules."""
    allowance = min(MOST, BASE + story.lag)
    rules: dict[str, Callable[[_Judge, Terms, float], None]] = {
        "answered once": _answered,
        "no effect twice": _twice,
        "drains kept": _drains,
        "cold nodes spared": _cold,
        "order kept": _order,
        "attempts in budget": _budget,
        "limits kept": _limits,
    }
    findings = []
    for name, rule in rules.items():
        one = _Judge(name, story)
        rule(one, terms, allowance)
        findings.append(one.out)
    return Verdict(findings, allowance, story.lag + BASE > MOST, len(story.wrongs))


def _seen(out: Row | None) -> bool:
    """May an attempt that arrived have run, as far as its sender can know?"""
    return out is None or out.get("how") not in ("full", "elsewhere")


def _answered(j: _Judge, terms: Terms, allowance: float) -> None:
    story = j.story
    arrivals: dict[tuple[str, int], list[Row]] = defaultdict(list)
    for row in story.ins:
        arrivals[row["op"], row["head"]].append(row)
    for ask in story.asks:
        op, n, head, t = ask["op"], ask["n"], ask["head"], ask["t"]
        ends = story.gots.get((op, n), [])
        finals = [e for e in ends if e["how"] in ("served", "refused", "failed", "cut")]
        due = story.due(head, t, t + ask["pat"], CATCH_UP) + allowance
        if any(e["how"] in ("unreached", "left") for e in ends):
            continue  # the head never took it, or its client went
        if story.down(head, t, due):
            continue  # what a killed head held stops being its duty
        if len(finals) < 2 and story.moved(head, t + ask["pat"]) != t + ask["pat"]:
            continue  # its client gave up while the head stood still
        j.out.looked_at += 1
        if len(finals) > 1:
            j.broke(finals[1]["t"], f"{op}/{n} at head {head}: {len(finals)} final answers")
        if not finals:
            how = ends[0]["how"] if ends else "nothing"
            j.broke(due, f"{op}/{n} at head {head}: no final answer ({how}) within {ask['pat']:.3f} s")
            continue
        took = finals[0]["t"] - t
        if story.moved(head, t + ask["pat"]) == t + ask["pat"]:
            j.out.nearest = max(j.out.nearest, min(0.999, took / (ask["pat"] + allowance)))
        if finals[0]["t"] > due:
            j.broke(finals[0]["t"], f"{op}/{n} at head {head}: answered after {took:.3f} s of {ask['pat']:.3f}")
        following = [a["t"] for a in story.asks_of(op) if a["t"] > t and a["head"] == head]
        until = min(following, default=float("inf"))
        for row in arrivals.get((op, head), ()):
            if story.moved(head, finals[0]["t"]) + allowance < row["t"] < until:
                j.broke(row["t"], f"{op}/{n}: sent to node {row['node']} after its final answer")
    for row in story.extras:
        j.broke(row["t"], f"{row['op']}/{row['n']} at head {row['head']}: answered twice")


def _twice(j: _Judge, terms: Terms, allowance: float) -> None:
    story = j.story
    effects: dict[str, list[Row]] = defaultdict(list)
    for row in story.dids:
        if row["e"] != "safe" and not row["dropped"]:
            effects[row["op"]].append(row)
    j.out.looked_at += len(effects)
    for op, rows in effects.items():
        if len(rows) > 1:
            j.broke(rows[1]["t"], f"{rows[0]['e']} {op}: its effect was applied {len(rows)} times")
    tries: dict[str, list[Row]] = defaultdict(list)
    for row in story.ins:
        if row["e"] == "unsafe":
            tries[row["op"]].append(row)
    for op, rows in tries.items():
        for before, after in pairwise(rows):
            if _seen(story.outs.get((before["node"], before["head"], before["id"], before["n"]))):
                j.broke(
                    after["t"], f"unsafe {op}: sent to node {after['node']} though it may have run at {before['node']}"
                )
    for ask in story.asks:
        if ask["e"] != "unsafe":
            continue
        for end in story.gots.get((ask["op"], ask["n"]), ()):
            ran = [
                r
                for r in tries.get(ask["op"], ())
                if r["head"] == ask["head"]
                and ask["t"] <= r["t"] <= end["t"]
                and _seen(story.outs.get((r["node"], r["head"], r["id"], r["n"])))
            ]
            if end["how"] == "refused" and ran:
                j.broke(end["t"], f"unsafe {ask['op']}/{ask['n']}: refused though it may have run")


def _drains(j: _Judge, terms: Terms, allowance: float) -> None:
    story = j.story
    told: dict[tuple[int, int], list[tuple[float, str]]] = defaultdict(list)
    for row in story.tolds:
        # A head may act on "ready" from its first byte on; on anything else it need not before the last.
        at = min(row["t"], row.get("began", row["t"])) if row["phase"] == "ready" else row["t"]
        told[row["head"], row["node"]].append((story.moved(row["head"], at), row["phase"]))
    for row in story.ins:
        news = told.get((row["head"], row["node"]))
        if not news or all(phase == "ready" for _, phase in news):
            continue
        j.out.looked_at += 1
        since = None  # since when the head knows that the node takes nothing new
        for t, phase in news:
            if t > row["t"]:
                break
            since = None if phase == "ready" else t if since is None else since
        if since is None or story.down(row["head"], since, row["t"]):
            continue
        late = row["t"] - since
        j.out.nearest = max(j.out.nearest, min(0.999, late / (terms.drain_grace + allowance)))
        if late > terms.drain_grace + allowance:
            j.broke(row["t"], f"head {row['head']} sent to node {row['node']} {late:.3f} s after it was told")


def _cold(j: _Judge, terms: Terms, allowance: float) -> None:
    story = j.story
    for up in story.ups:
        if not up["cold"]:
            continue
        j.out.looked_at += 1
        node, start, end = up["node"], up["t"], up["t"] + up["warm_after"] + terms.fall
        others = [u["t"] for u in story.ups if u["node"] == node and u["t"] > start]
        end = min([end, *others])
        knew: dict[int, float] = {}
        for row in story.tolds:
            if (
                row["node"] == node
                and row["phase"] == "ready"
                and row["age"] >= 0
                and abs(row["t"] - row["age"] - start) < 1.0
            ):
                knew.setdefault(row["head"], row["t"])
        window: deque[Row] = deque()
        inside = 0.0
        for row in (r for r in story.ins if r["node"] == node and start <= r["t"] <= end):
            window.append(row)
            inside += row["units"]
            while window[0]["t"] <= row["t"] - terms.fall:
                inside -= window.popleft()["units"]
            since = max(0.0, row["t"] - terms.fall / 2 - start)
            warm = min(1.0, up["cold_from"] + (1 - up["cold_from"]) * since / up["warm_after"])
            bears = terms.fall_multiple * up["power"] * warm * terms.fall + terms.fall_slack
            knowing = sum(r["units"] for r in window if knew.get(r["head"], float("inf")) <= r["t"])
            if knowing * 3 >= inside * 2:
                j.out.nearest = max(j.out.nearest, min(0.999, inside / bears))
                if inside > bears:
                    j.broke(
                        row["t"],
                        f"node {node}: {inside:.0f} units within {terms.fall:g} s of its cold start "
                        f"{row['t'] - start:.1f} s before; it bears {bears:.0f}",
                    )
                    break


def _order(j: _Judge, terms: Terms, allowance: float) -> None:
    """Heads number requests in the order in which they accept them, and nodes write the numbers down; as a head might
    lie, clients' own times are held against them too, more loosely."""
    story = j.story
    turns: dict[tuple[int, int], list[Row]] = defaultdict(list)
    for row in story.ins:
        if row["cls"] in terms.ordered and row["x"]:
            turns[row["head"], row["x"]].append(row)
    asked: dict[tuple[str, int], list[float]] = defaultdict(list)
    for ask in story.asks:
        asked[ask["op"], ask["head"]].append(ask["t"])
    for (head, extent), rows in turns.items():
        free, current = 0.0, None  # from when on another request may go
        newest, last = 0.0, 0
        for row in rows:
            j.out.looked_at += 1
            if current is not None and row["id"] != current and row["t"] + allowance < free:
                j.broke(
                    row["t"],
                    f"head {head}, extent {extent:x}: request {row['id']} went out while {current} "
                    "had an attempt that was not over",
                )
            # Its client's last try before it: an earlier one that was refused has lost its place.
            times = asked[row["op"], head]
            n = bisect_left(times, row["t"] + allowance)
            came = story.moved(head, times[n - 1] if n else 0.0)
            if row["n"] == 0 and (row["id"] < last or came + ACCEPT + allowance < newest):
                j.broke(row["t"], f"head {head}, extent {extent:x}: {row['op']} went out behind a later request")
            newest, last = max(newest, came), max(last, row["id"])
            out = story.outs.get((row["node"], row["head"], row["id"], row["n"]))
            doubt = out is None or out["s"] == 0 or out.get("lost")  # its sender can't be sure of its end
            end = row["t"] + terms.settle if out is None or doubt else out["t"]
            free, current = (max(free, end) if row["id"] == current else end), row["id"]


def _budget(j: _Judge, terms: Terms, allowance: float) -> None:
    if terms.extra_free is None:
        return
    story = j.story
    taken: dict[int, list[float]] = defaultdict(list)
    for ask in story.asks:
        taken[ask["head"]].append(ask["t"])
    extras: dict[int, list[float]] = defaultdict(list)
    for row in story.ins:
        if row["n"] > 0:
            extras[row["head"]].append(row["t"])
    for head, times in extras.items():
        for k, t in enumerate(times):
            j.out.looked_at += 1
            start = t - terms.extra_span
            used = k + 1 - bisect_left(times, start + allowance)
            asks = taken[head]
            may = terms.extra_free + terms.extra_ratio * (
                bisect_left(asks, t + allowance) - bisect_left(asks, start - allowance)
            )
            j.out.nearest = max(j.out.nearest, min(0.999, used / max(may, 1e-9)))
            if used > may:
                j.broke(t, f"head {head}: {used} further attempts within {terms.extra_span:g} s, {may:.1f} allowed")


def _limits(j: _Judge, terms: Terms, allowance: float) -> None:
    levels: dict[str, tuple[float, float]] = {}
    seen: set[tuple[int, int]] = set()
    for row in j.story.ins:
        limit = terms.limits.get(row["vol"])
        if limit is None or (row["head"], row["id"]) in seen:
            continue
        seen.add((row["head"], row["id"]))
        j.out.looked_at += 1
        rate, depth, slack = limit
        level, at = levels.get(row["vol"], (depth, row["t"]))
        level = min(depth, level + (row["t"] - at) * rate) - row["units"]
        levels[row["vol"]] = (level, row["t"])
        bears = slack + rate * allowance  # arrivals may bunch by as much as the noise
        j.out.nearest = max(j.out.nearest, min(0.999, (depth - level) / (depth + bears)))
        if level < -bears:
            j.broke(row["t"], f"volume {row['vol']}: {-level:.1f} units beyond its limit, {bears:.1f} allowed")
