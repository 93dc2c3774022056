"""Records of a run, sorted by what they tell. All times are of one machine's monotonic clock, in seconds.

Who writes what (each a dict with its kind under "k" and its time under "t"):

    client  ask   op n head vol cls units pat e w    a try has left: n its number, pat its patience, e its effect
    client  got   op n head how s                    its end: how is served, refused, failed, cut (it broke off),
                                                     closed (no answer at all), unreached, none (patience ran out), left
                                                     (the client itself went, by its script)
    client  extra op n head                          bytes behind the final answer: a second one
    client  wrong op n head                          bytes that are not what was stored
    node    up    node cold power cold_from warm_after
    node    in    node head id n op vol cls units x e w m    an attempt has wholly arrived
    node    did   node head id n op e dropped        its effect was applied, or dropped as a repeat
    node    out   node head id n op s lost how       its answer left (s 503 with how "full": turned away unseen)
    node    fell  node                               it was pushed over
    list    told  head node phase age [began]        the list has told a head; age: of the node, -1 long ago;
                                                     began: when the first byte may have left, t: when the last had
    drill   head  head what                          what is up, killed, or ended
    drill   stall head until                         the head stands still from t to `until`
    place   effect  node duty token who head what vol key    a step of a mover was taken (node -1: the map service)
    place   fenced  node duty token who head what newest     one was refused as of an older holder
    head    duty    head who what duty token end             took, until (renewed), lost; end: of its lease
    drill   fault   head what until duties                   killed, stopped, cut, ...; what the head held then
    drill   drained left missing twice                       where extents lay at the end
    drill   ill     nodes                                    a trouble of nodes hits these
    drill   dgram   a b what lead body size                  a datagram from head a to b passed, was lost or cut
    any     lag   who s                              how late a timer of this process rang
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

Row = Mapping[str, Any]


@dataclass
class Story:
    """A run's records, each kind in order of time."""

    asks: list[Row] = field(default_factory=list)
    gots: dict[tuple[str, int], list[Row]] = field(default_factory=lambda: defaultdict(list))
    extras: list[Row] = field(default_factory=list)
    wrongs: list[Row] = field(default_factory=list)
    ups: list[Row] = field(default_factory=list)
    ins: list[Row] = field(default_factory=list)
    dids: list[Row] = field(default_factory=list)
    outs: dict[tuple[int, int, int, int], Row] = field(default_factory=dict)  # by node, head, id, attempt
    effects: list[Row] = field(default_factory=list)  # steps of movers that a place took, with their token
    fenced: list[Row] = field(default_factory=list)  # steps that a place refused as of an older holder
    duties: list[Row] = field(default_factory=list)  # heads: took, until, lost
    faults: list[Row] = field(default_factory=list)  # what the drill did to heads, and to whose links
    drains: list[Row] = field(default_factory=list)  # what lay where at the end
    fells: list[Row] = field(default_factory=list)
    flips: list[Row] = field(default_factory=list)  # the map service heard that an extent has moved
    elsewheres: list[Row] = field(default_factory=list)  # a node did not serve what it was sent
    tolds: list[Row] = field(default_factory=list)
    ill: set[int] = field(default_factory=set)  # nodes that a trouble hit
    dgrams: list[Row] = field(default_factory=list)  # datagrams between heads, and what became of them
    lives: dict[int, list[Row]] = field(default_factory=lambda: defaultdict(list))
    stalls: dict[int, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    lag: float = 0.0
    first: float = 0.0
    last: float = 0.0

    by_op: dict[str, list[Row]] = field(default_factory=lambda: defaultdict(list))

    def asks_of(self, op: str) -> list[Row]:
        """All tries of one operation."""
        return self.by_op.get(op, [])

    def moved(self, head: int, t: float) -> float:
        """When the head can act on what comes at t: the end of a stall that covers it, else t itself."""
        for start, end in self.stalls.get(head, ()):
            if start - 0.001 <= t <= end:
                return end
        return t

    def due(self, head: int, start: float, end: float, catch_up: float) -> float:
        """When an answer to what was asked at `start` is due, its client waiting until `end`."""
        for began, moved in self.stalls.get(head, ()):
            if began <= end and start <= moved and end < moved + catch_up:
                return moved + catch_up
        return end

    def down(self, head: int, start: float, end: float) -> bool:
        """Was the head killed, or not up, at some time between start and end?"""
        up = False
        for row in self.lives.get(head, ()):
            if row["t"] <= start:
                up = row["what"] == "up"
            elif row["t"] <= end and row["what"] != "up":
                return True
        return not up and head in self.lives


def read(rows: Iterable[Row]) -> Story:
    """Sort records. Unknown kinds are passed over."""
    story = Story()
    ordered = sorted(rows, key=lambda row: float(row["t"]))
    for row in ordered:
        match row["k"]:
            case "ask":
                story.asks.append(row)
                story.by_op[row["op"]].append(row)
            case "got":
                story.gots[row["op"], row["n"]].append(row)
            case "extra":
                story.extras.append(row)
            case "wrong":
                story.wrongs.append(row)
            case "up":
                story.ups.append(row)
            case "in":
                story.ins.append(row)
            case "did":
                story.dids.append(row)
            case "out":
                story.outs[row["node"], row["head"], row["id"], row["n"]] = row
            case "fell":
                story.fells.append(row)
            case "flip":
                story.flips.append(row)
            case "elsewhere":
                story.elsewheres.append(row)
            case "effect":
                story.effects.append(row)
            case "fenced":
                story.fenced.append(row)
            case "duty":
                story.duties.append(row)
            case "fault":
                story.faults.append(row)
            case "drained":
                story.drains.append(row)
            case "ill":
                story.ill |= set(row["nodes"])
            case "dgram":
                story.dgrams.append(row)
            case "told":
                story.tolds.append(row)
            case "head":
                story.lives[row["head"]].append(row)
            case "stall":
                story.stalls[row["head"]].append((row["t"], row["until"]))
            case "lag":
                story.lag = max(story.lag, row["s"])
            case _:
                pass
    if ordered:
        story.first, story.last = ordered[0]["t"], ordered[-1]["t"]
    return story
