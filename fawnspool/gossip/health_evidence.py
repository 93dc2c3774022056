"""What the fleet thinks of nodes: evidence that heads have of their own, passed on, weighed, and left to fade.

A head says what it found itself, and passes on what others found, each with whose it is and how old. A node is shunned
on hearsay only where

    two heads at least, and `Terms.quorum` of all that there are by the settings (not of those that are heard: in a
    large fleet these are few, and whoever says the most is among them), found it bad lately and say nothing better,
    with signs enough also without the one that says the most,
    more of them than found it well after their first finding,
    this head has no later good answer of its own, or one of just now, and
    no more than `Terms.shun` of the nodes are shunned already.

So one head that is wrong, or lies, turns nobody, nor does a group that is cut off from a node which the others reach.
A node that mends is found out by turns: each that shuns it draws its turn so that the fleet makes a few tries a second
together, and two good answers of different heads end the shunning everywhere.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random
from typing import Any

from fawnspool.gossip.messages import Kind, Message, SaysRow, Verdict, rows_of
from fawnspool.gossip.terms import Terms
from fawnspool.gossip.volume_participants import Say
from fawnspool.scheduling.interface import GossipedHealth, Outcome, Result

SIGNS_BAD = 3  # in a row with no good answer between, as one head alone asks for; of the others of several one
# less: a head that says much counts as one sign, or it and a single lost answer would turn all
FRESH_LOOKS = 2  # own good answers so young go before what is heard, even if that is a little younger
FANOUT = 2  # heads told at a look, drawn: news reaches a fleet of n within about log2(n) looks
SAID_MOST = 15  # pieces of evidence in a datagram: with FANOUT and Terms.every this bounds what a head sends
TOLD = 2  # looks at which one piece is passed on: with one, a fifth of a fleet would not hear of it
NODES_MOST = 1024
ORIGINS_MOST = 256  # heads whose evidence is kept of one node, the latest: well over any quorum, or none is reached
MENDED = 2  # heads that found a shunned node well: one answer may be a lie, or chance
ASKED = 3  # heads that try at once where one found a shunned node well
TRIES_S = 2.0  # of the whole fleet a second at a node that is shunned
HEARD_S = 10.0  # seconds for which a head counts as there since it was last heard


Out = Say | GossipedHealth
_SHOWS = {
    Result.SERVED: Verdict.WELL,
    Result.OVERLOADED: Verdict.WELL,
    Result.TIMED_OUT: Verdict.SILENT,
    Result.CONNECT_FAILED: Verdict.SHUT,
    Result.RESET: Verdict.SILENT,
}


def shows(event: Outcome) -> Verdict | None:
    """What an attempt's end shows of its node. None: nothing. Errors show a node that answers; a kept connection that
    broke may have been cut on its way."""
    return None if event.result is Result.RESET and event.reused_connection else _SHOWS.get(event.result)


@dataclass(frozen=True, slots=True)
class _Found:
    verdict: Verdict
    signs: int
    at: float  # on this head's clock


@dataclass(slots=True)
class _Node:
    """signs: own bad ones since the last good answer; well: when that came."""

    signs: int = 0
    well: float = float("-inf")
    found: dict[int, _Found] = field(default_factory=dict)  # by whose it is
    shunned: float | None = None  # since when, on hearsay


def doubts(module: Any) -> list[tuple[int, int]]:
    """Return the nodes at which a scheduler has work now, and failures in a row; a baseline keeps none."""
    report = getattr(module, "consecutive_failures", None)
    if report is not None:
        failures: list[tuple[int, int]] = report()
        return failures
    # Former versions, loaded for a comparison (fawnspool/model/versions.py).
    return [(lane.node, lane.failed) for lane in getattr(module, "busy", {}).values() if lane.failed and lane.node]


class Judge:
    """Of one head."""

    def __init__(self, terms: Terms, me: int, seed: int) -> None:
        self.terms, self.me, self.random = terms, me, Random(f"{seed}-{me}-judge")
        self.nodes: OrderedDict[int, _Node] = OrderedDict()
        self.listed = 0
        self.heard: dict[int, float] = {}  # heads, when
        self.fresh: OrderedDict[tuple[int, int], int] = OrderedDict()  # (node, whose): tellings left; latest last

    def _node(self, node: int) -> _Node:
        found = self.nodes.get(node)
        if found is None:
            found = self.nodes[node] = _Node()
            while len(self.nodes) > NODES_MOST:
                self.nodes.popitem(last=False)
        self.nodes.move_to_end(node)
        return found

    # ------------------------------------------------------------ own evidence

    def well(self, now: float, node: int) -> list[Out]:
        """A good answer came of it."""
        n = self._node(node)
        n.signs, n.well = 0, now
        mine = n.found.get(self.me)
        # Others are told only where there is something to set right: that all is well is no news.
        if (mine is not None and mine.verdict is not Verdict.WELL) or (
            self._bad(now, n) and (mine is None or now - mine.at >= self.terms.every)
        ):
            self._found(now, node, n, self.me, _Found(Verdict.WELL, 1, now))
        return self._end(now, node, n) if n.shunned is not None else []

    def bad(self, now: float, node: int, verdict: Verdict) -> list[Out]:
        """A sign against it: no connection, no answer."""
        n = self._node(node)
        self._signs(now, node, n, n.signs + 1, verdict)
        return [self._shun(now, node, n)] if n.shunned is not None else []

    def doubts(self, now: float, node: int, signs: int) -> None:
        """So many bad signs in a row as the module has counted, silence under way among them."""
        n = self._node(node)
        if signs > n.signs:
            mine = n.found.get(self.me)
            self._signs(now, node, n, signs, mine.verdict if mine is not None and mine.verdict else Verdict.SILENT)

    def _signs(self, now: float, node: int, n: _Node, signs: int, verdict: Verdict) -> None:
        n.signs, mine = signs, n.found.get(self.me)
        if (
            mine is None or mine.verdict is Verdict.WELL or signs <= SIGNS_BAD or now - mine.at >= 4 * self.terms.every
        ):  # what all know already need not be said so often
            self._found(now, node, n, self.me, _Found(verdict, signs, now))

    def _found(self, now: float, node: int, n: _Node, whose: int, what: _Found) -> None:
        n.found[whose] = what
        while len(n.found) > ORIGINS_MOST:
            del n.found[min(n.found, key=lambda k: n.found[k].at)]
        self.fresh[node, whose] = TOLD
        self.fresh.move_to_end((node, whose))
        while len(self.fresh) > NODES_MOST:
            self.fresh.popitem(last=False)

    # ------------------------------------------------------------ hearsay

    def hear(self, now: float, sender: int, m: Message) -> list[Out]:
        self.heard[sender] = now
        out = list[Out]()
        for r in m.rows:
            if (
                not isinstance(r, SaysRow)
                or r.head == self.me
                or r.head >= self.terms.heads
                or r.age >= self.terms.fades
            ):
                continue
            n = self._node(r.node)
            news = _Found(Verdict(r.verdict), r.signs, now - r.age)
            had = n.found.get(r.head)
            if had is not None and news.at <= had.at + 0.02:  # heard before, by another way
                continue
            self._found(now, r.node, n, r.head, news)
            if news.verdict is not Verdict.WELL and n.well > news.at - self.terms.every and not n.signs:
                self.well_known(now, r.node, n)
            out += self._weigh(now, r.node, n)
        return out

    def well_known(self, now: float, node: int, n: _Node) -> None:
        """Own good answers contradict what was heard: say so."""
        mine = n.found.get(self.me)
        if mine is None or mine.verdict is not Verdict.WELL or mine.at < n.well - self.terms.every:
            self._found(now, node, n, self.me, _Found(Verdict.WELL, 1, n.well))

    def there(self, now: float) -> int:
        """Heads that are heard, with this one."""
        return 1 + sum(now - t <= HEARD_S for t in self.heard.values())

    def _bad(self, now: float, n: _Node) -> list[_Found]:
        """What was found against it lately."""
        return [f for f in n.found.values() if f.verdict is not Verdict.WELL and now - f.at < self.terms.fades]

    def _good(self, now: float, n: _Node, after: float) -> int:
        return sum(
            f.verdict is Verdict.WELL and f.at >= after and now - f.at < self.terms.fades for f in n.found.values()
        )

    def _weigh(self, now: float, node: int, n: _Node) -> list[Out]:
        if n.shunned is not None:
            good = self._good(now, n, n.shunned)
            if good >= MENDED:
                return self._end(now, node, n)
            # One found it well: a few try it now, and do not wait for their turns.
            few = good and self.random.random() < ASKED / self.terms.heads
            return [self._shun(now, node, n, 0.0)] if few else []
        bad = self._bad(now, n)
        needs = max(2, math.ceil(self.terms.quorum * self.terms.heads))
        signs = [f.signs for f in bad]
        if len(bad) < needs or sum(signs) - max(signs) < SIGNS_BAD - 1:  # without the one that says the most
            return []
        since = min(f.at for f in bad)
        mine = not n.signs and (n.well > since or now - n.well < FRESH_LOOKS * self.terms.every)
        if mine or len(bad) <= self._good(now, n, since):
            return []
        if len(self.shunned()) + 1 > self.terms.shun * max(self.listed, 1):
            return []
        n.shunned = now
        return [self._shun(now, node, n)]

    def _shun(self, now: float, node: int, n: _Node, pause: float | None = None) -> GossipedHealth:
        shut = any(f.verdict is Verdict.SHUT for f in self._bad(now, n))
        return GossipedHealth(node, False, self._turn(now) if pause is None else pause, shut)

    def shunned(self) -> list[int]:
        return [node for node, n in self.nodes.items() if n.shunned is not None]

    def _turn(self, now: float) -> float:
        """Seconds until this head's turn: drawn, so that all that there are make TRIES_S a second together."""
        return self.random.uniform(0.0, 2.0) * self.terms.heads / TRIES_S

    def _end(self, now: float, node: int, n: _Node) -> list[Out]:
        n.shunned = None
        n.found = {k: f for k, f in n.found.items() if f.verdict is Verdict.WELL}
        return [GossipedHealth(node, True)]

    # ------------------------------------------------------------ time

    def look(self, now: float) -> list[Out]:
        """Pass on what is new, the latest first, to a few drawn heads."""
        out = list[Out]()
        size = min(SAID_MOST, rows_of(Kind.SAYS))
        rows = list[SaysRow]()
        again = dict[tuple[int, int], int]()
        while self.fresh and len(rows) < size:
            (node, whose), left = self.fresh.popitem()
            if left > 1:
                again[node, whose] = left - 1
            n = self.nodes.get(node)
            f = n.found.get(whose) if n is not None else None
            if f is not None and now - f.at < self.terms.fades:
                rows.append(SaysRow(node, whose, int(f.verdict), f.signs, now - f.at))
        self.fresh |= again
        if rows:
            others = self.random.sample(range(self.terms.heads - 1), min(FANOUT, self.terms.heads - 1))
            out += [Say(h + (h >= self.me), Message(Kind.SAYS, self.terms.mark, tuple(rows))) for h in others]
        for node in self.shunned():
            n = self.nodes[node]
            if not self._bad(now, n) and n.shunned is not None and now - n.shunned > self.terms.fades:
                out += self._end(now, node, n)  # nobody holds anything against it any more: own trials alone
        return out

    def status(self, now: float) -> dict[int, dict[str, object]]:
        """Nodes that anything is held against, with the evidence."""
        rows = dict[int, dict[str, object]]()
        for node, n in self.nodes.items():
            if n.found or n.shunned is not None:
                rows[node] = {
                    "shunned": n.shunned is not None,
                    "own_signs": n.signs,
                    "evidence": [
                        {"head": h, "found": f.verdict.name.lower(), "signs": f.signs, "age_s": round(now - f.at, 2)}
                        for h, f in sorted(n.found.items())
                    ],
                }
        return rows
