"""One head's side of all that heads share: who takes part in which volume, and what is thought of nodes.

Nothing here is needed for safety. Without any news a head uses its even part of each limit, and its own evidence; what
it hears only says whom to ask for more (`takers.py`), and which nodes others found bad (`judgements.py`).
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from fawnspool.gossip.health_evidence import Judge, shows
from fawnspool.gossip.messages import Kind, Message, Verdict
from fawnspool.gossip.terms import Terms
from fawnspool.gossip.volume_participants import Say, Table
from fawnspool.scheduling.interface import GossipedHealth, Outcome, VolumeParticipants

Out = Say | VolumeParticipants | GossipedHealth
ALONE_LOOKS = 20  # looks without a word from any other head, after one was asked, that make a head say so


class Sharer:
    """`life` rises with each start. Calls give what is to be told to the module and said to other heads, in order."""

    def __init__(self, terms: Terms, me: int, life: int, seed: int, now: float) -> None:
        self.terms, self.me, self.random = terms, me, Random(f"{seed}-{me}-sharer")
        self.table, self.judge = Table(terms, me, life, seed), Judge(terms, me, seed)
        self.next = now + terms.every * self.random.random()
        self.start, self.heard, self.said = now, float("-inf"), float("-inf")
        self.strangers = 0

    def hear(self, now: float, sender: int, m: Message) -> list[Out]:
        if m.mark != self.terms.mark or not 0 <= sender < self.terms.heads or sender == self.me:
            self.strangers += 1
            return []
        self.heard = now
        if m.kind is Kind.SAYS:
            return [*self.judge.hear(now, sender, m)]
        self.judge.heard[sender] = now
        return [*self.table.hear(now, sender, m)]

    def outcome(self, now: float, event: Outcome) -> list[Out]:
        """What an attempt at a node showed this head itself."""
        found = shows(event)
        if found is None:
            return []
        return [
            *(self.judge.well(now, event.node) if found is Verdict.WELL else self.judge.bad(now, event.node, found))
        ]

    def due(self) -> float:
        return self.next

    def look(self, now: float, listed: int, doubts: Iterable[tuple[int, int]]) -> list[Out]:
        """Once `every`; listed: nodes that there are; doubts: nodes, and bad signs in a row that the module has."""
        if now < self.next:
            return []
        for node, signs in doubts:
            self.judge.doubts(now, node, signs)
        self.next = now + self.terms.every * self.random.uniform(0.8, 1.2)
        self.judge.listed = listed
        out = [*self.table.look(now), *self.judge.look(now)]
        if any(isinstance(o, Say) for o in out):
            self.said = now
        return out

    def alone(self, now: float) -> bool:
        """Has it spoken of late, and heard nothing of any other head for a while?"""
        return now - max(self.heard, self.start) > ALONE_LOOKS * self.terms.every and self.said > self.heard
