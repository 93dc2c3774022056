"""Traffic as it was recorded: one form for what clients wrote of themselves and what heads' modules were told.

Recordings may be torn (read up to the tear), overlap (a request counts once), begin in the middle of a surge (a repeat
whose first try lies before the recording stands for a client with little time left), hold several lives of a head, and
come from machines whose clocks differ: those are aligned by the datagrams that heads sent each other.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from fawnspool.days.day import Day
from fawnspool.records.decision_recording import open_recording
from fawnspool.records.event_codec import decode_action, decode_event
from fawnspool.scheduling import interface

_AGAIN = 10.0  # seconds within which a repeat's first try is looked for
_RUN = 1.0  # seconds between two requests of one run, at most


class TrafficError(Exception):
    """Records from which traffic can't be told; the text names the file or what is missing."""


@dataclass(frozen=True, slots=True)
class Asked:
    """One operation's first try. t: seconds since the earliest; patience: seconds; run: 0 where it stands alone."""

    t: float
    head: int
    volume: str
    plan: str
    cls: str
    units: float
    writes: bool
    patience: float
    heads: int
    run: int = 0
    late: bool = False  # really a repeat: its first try lies before the recording


@dataclass
class Recorded:
    """What was recorded. tries: (class, how the try ended, how many before it, pause before the next or -1: none)."""

    asked: list[Asked]
    heads: int
    nodes: int = 0
    length: float = 0.0
    tries: list[tuple[str, str, int, float]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)


def from_clients(day: Day, rows: Iterable[Mapping[str, Any]]) -> Recorded:
    """From the records of a played day. Raises TrafficError where no client wrote anything."""
    asks: list[Mapping[str, Any]] = []
    gots: dict[tuple[str, int], str] = {}
    ended: dict[tuple[str, int], float] = {}
    extents: dict[str, int] = {}
    for row in rows:
        if row["k"] == "ask":
            asks.append(row)
        elif row["k"] == "got":
            gots[row["op"], row["n"]], ended[row["op"], row["n"]] = row["how"], row["t"]
        elif row["k"] == "in":
            extents.setdefault(row["op"], row["x"])
    if not asks:
        raise TrafficError(f"{day.title}: no client's records (kind ask): is the folder whole?")
    asks.sort(key=lambda r: (r["t"], r["op"]))
    plan_of = dict(day.volume_names())
    first: dict[str, Mapping[str, Any]] = {}
    out = Recorded([], day.day.heads, day.day.nodes)
    start = asks[0]["t"]
    for row in asks:
        op, n = row["op"], row["n"]
        if n and (op, n - 1) in gots:
            pause = max(0.0, row["t"] - ended[op, n - 1])
            out.tries.append((day.class_[row["cls"]].name, gots[op, n - 1], n - 1, pause))
        if op in first:
            continue
        first[op] = row
        block = plan_of[row["vol"]]
        out.asked.append(
            Asked(
                row["t"] - start,
                row["head"],
                row["vol"],
                block.name,
                day.class_[row["cls"]].name,
                float(row["units"]),
                bool(row["w"]),
                row["pat"],
                block.heads,
                extents.get(op, 0),
                n > 0,
            )
        )
    again = {(r["op"], r["n"] - 1) for r in asks if r["n"]}
    for key, how in gots.items():
        if how not in ("served", "left") and key not in again and key[0] in first:
            out.tries.append((day.class_[first[key[0]]["cls"]].name, how, key[1], -1.0))
    return _finish(out)


@dataclass
class _Life:
    """One recording of a head's module."""

    path: Path
    head: int
    settings: interface.Settings
    requests: list[tuple[float, interface.Request]] = field(default_factory=list)
    told: list[tuple[float, bytes]] = field(default_factory=list)
    heard: list[tuple[float, int, bytes]] = field(default_factory=list)
    nodes: set[int] = field(default_factory=set)
    torn: str = ""


def _life(path: Path) -> _Life:
    opened = open_recording(path)
    life = _Life(path, opened.header.settings.gateway_id, opened.header.settings)
    for now, event, actions, _ in opened.frames:
        told = decode_event(event)
        if isinstance(told, interface.Request):
            life.requests.append((now, told))
        elif isinstance(told, interface.PeerMessage):
            life.heard.append((now, told.sender, told.body))
        elif isinstance(told, interface.EndpointUpdate):
            life.nodes.update(e.node for e in told.entries)
        for row in actions:
            action = decode_action(row)
            if isinstance(action, interface.SendPeerMessage):
                life.told.append((now, action.body))
    life.torn = opened.reader.torn
    return life


def offset(a: _Life, b: _Life) -> tuple[float, float] | None:
    """(what to take from b's clock to get a's, how unsure that is), from datagrams both ways; None: too few.

    As network time does it: the least of the differences each way holds the least delay, and half their sum is what
    the clocks differ by if the least delay is the same both ways; half their spread bounds the error."""
    there = _least(a.told, [(t, body) for t, sender, body in b.heard if sender == a.head])
    back = _least(b.told, [(t, body) for t, sender, body in a.heard if sender == b.head])
    if there is None or back is None:
        return None
    return (there - back) / 2, abs(there + back) / 2


def _least(told: Sequence[tuple[float, bytes]], heard: Sequence[tuple[float, bytes]]) -> float | None:
    """The least of heard - told over bodies that were sent once only (a body sent twice could match wrongly)."""
    sent: dict[bytes, float | None] = {}
    for t, body in told:
        sent[body] = None if body in sent else t
    found = [t - s for t, body in heard if (s := sent.get(body)) is not None]
    return min(found) if len(found) >= 3 else None


def from_modules(paths: Sequence[str | Path], same_clock: bool = False) -> Recorded:
    """From heads' module recordings. same_clock: all were made on one machine since its last boot.

    Raises TrafficError, RecordingError."""
    if not paths:
        raise TrafficError("no recording was given")
    lives = [_life(Path(p)) for p in paths]
    settings = lives[0].settings
    notes = [f"{life.path.name}: torn at {life.torn}; read up to there" for life in lives if life.torn]
    for life in lives[1:]:
        if [p.name for p in life.settings.plans] != [p.name for p in settings.plans] or [
            c.name for c in life.settings.classes
        ] != [c.name for c in settings.classes]:
            raise TrafficError(f"{life.path}: other plans or classes than {lives[0].path}: records of one fleet only")
    shifts = [0.0] * len(lives) if same_clock else _shifts(lives, notes)
    seen: set[tuple[int, int]] = set()
    rows: list[tuple[float, int, interface.Request]] = []
    twice = 0
    for life, shift in zip(lives, shifts, strict=True):
        for t, req in life.requests:
            if (life.head, req.id) in seen:
                twice += 1
                continue
            seen.add((life.head, req.id))
            rows.append((t - shift, life.head, req))
    if not rows:
        raise TrafficError(f"{lives[0].path}: holds no request")
    if twice:
        notes.append(f"{twice} requests stood in two recordings and count once")
    rows.sort(key=lambda r: (r[0], r[1], r[2].id))
    nodes = set[int]().union(*(life.nodes for life in lives))
    out = Recorded([], len({life.head for life in lives}), len(nodes), notes=notes)
    firsts: dict[tuple[int, int, int, float], list[float]] = defaultdict(list)
    start, orphans = rows[0][0], 0
    for t, head, req in rows:
        key = (req.volume, req.class_index, req.extent, req.units)
        late = False
        if req.is_client_retry:
            before = firsts[key]
            while before and t - before[0] > _AGAIN:
                before.pop(0)
            if before:
                before.pop(0)  # its first try was seen: the model's own clients will try again
                continue
            late, orphans = True, orphans + 1
        else:
            firsts[key].append(t)
        cls, plan = settings.classes[req.class_index], settings.plans[req.plan_index]
        out.asked.append(
            Asked(
                t - start,
                head,
                f"volume-{req.volume:x}",
                plan.name,
                cls.name,
                req.units,
                req.writes,
                req.timeout_s,
                max(1, req.gateway_count),
                req.extent,
                late,
            )
        )
    if orphans:
        notes.append(f"{orphans} repeats without a first try count as clients with little time left")
    return _finish(out)


def _shifts(lives: Sequence[_Life], notes: list[str]) -> list[float]:
    """What to take from each recording's clock to get the first one's. Lives of one head share a clock if one
    machine's; others are chained by datagrams, the surest link first."""
    shifts: dict[int, float] = {0: 0.0}
    while len(shifts) < len(lives):
        best: tuple[float, int, float] | None = None
        for k in shifts:
            for n, life in enumerate(lives):
                if n in shifts:
                    continue
                if life.head == lives[k].head:
                    found: tuple[float, float] | None = (0.0, 0.0)
                else:
                    found = offset(lives[k], life)
                if found is not None and (best is None or found[1] < best[0]):
                    best = (found[1], n, shifts[k] + found[0])
        if best is None:
            lost = [str(life.path) for n, life in enumerate(lives) if n not in shifts]
            raise TrafficError(
                f"the clocks of {', '.join(lost)} can't be set against the others': no datagrams both "
                "ways were recorded. If one machine wrote them all, say so (--same-clock)"
            )
        error, n, shift = best
        shifts[n] = shift
        if abs(shift) > 0.01:
            notes.append(f"{lives[n].path.name}: clock set back by {shift:.3f} s, sure to {error * 1000:.1f} ms")
    return [shifts[n] for n in range(len(lives))]


def _finish(out: Recorded) -> Recorded:
    """Runs: requests of one extent and volume, one after another."""
    last: dict[tuple[str, int], tuple[float, int]] = {}
    size: dict[int, int] = defaultdict(int)
    rows, runs = [], 0
    for a in sorted(out.asked, key=lambda a: a.t):
        before = last.get((a.volume, a.run)) if a.run else None
        if before is not None and a.t - before[0] <= _RUN:
            run = before[1]
        else:
            runs += 1
            run = runs
        last[a.volume, a.run] = (a.t, run)
        size[run] += 1
        rows.append(replace(a, run=run))
    out.asked = [a if size[a.run] > 1 else replace(a, run=0) for a in rows]
    out.length = rows[-1].t - rows[0].t if rows else 0.0
    return out
