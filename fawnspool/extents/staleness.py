"""What a head does with a place that may be old, and when it asks the map service. No I/O, no clock, seeded.

Two costs are held against each other, both as times that the client loses: sending to the wrong node (the answer
`moved` and a second way) with the chance that the place is old; and asking first. The chance comes from what was seen:
how often extents moved while the head was told everything, over how long this shard has not been told; and how often
places of late turned out wrong. Asking is bounded for the whole fleet: each head has its part of what the service
bears, and after the service was out of reach heads come back spread over a time that their number sets.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from random import Random

from fawnspool.extents.map import ExtentMap, shard_of

MIN_MEASURED_SPAN_S = 1e-6  # a rate over less than this may overflow; clocks do not resolve it either


class Do(Enum):
    """With a request whose place is known."""

    SEND = "send"  # the place holds, as far as can be told
    ASK_BESIDE = "ask beside"  # send, and ask at the same time
    ASK_FIRST = "ask first"  # a wrong send would cost more than the question


@dataclass(frozen=True)
class Terms:
    """beat: seconds between signs of life of a watch; ask_s: what a question costs, to begin with; peak: calls a second
    that the service bears from all heads; heads: in the fleet; least_s, most_s: pauses after failures."""

    beat: float = 1.0
    ask_s: float = 0.005
    wrong_s: float = 0.02
    peak: float = 200.0
    heads: int = 1
    least_s: float = 0.2
    most_s: float = 10.0
    waiting: int = 1024  # extents asked for at one time, at most
    beside: float = 0.002  # chance of being old from which a question beside is worth its call


@dataclass
class _Shard:
    heard: float = -math.inf  # when its watch last gave a sign
    whole: float = -math.inf  # until when it is known to be told everything
    moves: float = 0.0  # moves a second and extent, smoothed
    tries: int = 0  # calls that failed in a row
    next: float = -math.inf  # no call before
    since: float = -math.inf  # out of reach since
    lives: bool = False  # heard in this life of the head: what it says of moves is of now


class Staleness:
    """Asked for each request (`choose`) and told what came of it. Work per event does not grow with the map."""

    GAIN = 0.05  # smoothing of what is learned
    FOLLOWED = 12  # submissions of one request after an extent that moves, at most
    WAITS = 4  # usual questions' time that one may take
    RATE = 20.0  # seconds over which the rate of moves is averaged

    def __init__(self, terms: Terms, shards: int, seed: int) -> None:
        self.terms, self.random = terms, Random(f"{seed}-stale")
        self.shards = [_Shard() for _ in range(shards)]
        self.wrong = 0.0  # part of sends that went to a wrong node, of late
        self.ask_s, self.wrong_s = terms.ask_s, terms.wrong_s
        self.tokens, self.at = self._burst(), -math.inf
        self.asking: OrderedDict[tuple[str, str], float] = OrderedDict()
        self.refused = 0  # questions that the budget did not allow

    def _rate(self) -> float:
        """Calls a second that this head may make."""
        return self.terms.peak / max(1, self.terms.heads)

    def _burst(self) -> float:
        return max(1.0, self._rate())

    # ------------------------------------------------------------ requests

    def chance(self, now: float, shard: int) -> float:
        """That a place of this shard is old, from 0 to 1."""
        s = self.shards[shard]
        if now - s.heard <= 2 * self.terms.beat and s.whole >= s.heard:
            return 0.0
        behind = now - s.whole if s.whole > -math.inf else math.inf
        if behind == math.inf:
            return 1.0 if s.moves else max(self.wrong, self.terms.beside)
        unsure = 0.0 if s.lives else self.terms.beside  # from disk alone: how often extents move is not known
        return max(1 - math.exp(-s.moves * behind), self.wrong, unsure)

    def choose(self, now: float, m: ExtentMap, volume: str, extent: str, patience: float) -> Do:
        """patience: seconds that the client still waits. A question is never asked first where its answer would come
        too late for the request, nor twice for one extent at a time."""
        shard = shard_of(volume, len(m.shards))
        p = self.chance(now, shard)
        if p <= 0 or (volume, extent) in self.asking:
            return Do.SEND
        first = p * self.wrong_s > self.ask_s and patience > 2 * self.ask_s + self.wrong_s
        if not first and p < self.terms.beside:
            return Do.SEND
        if not self._may(now, shard):
            self.refused += 1
            return Do.SEND
        self.asking[volume, extent] = now
        while len(self.asking) > self.terms.waiting:
            self.asking.popitem(last=False)
        return Do.ASK_FIRST if first else Do.ASK_BESIDE

    def _may(self, now: float, shard: int) -> bool:
        """Does the budget allow a call, and is the service not being let alone?"""
        if now < self.shards[shard].next:
            return False
        if self.at > -math.inf:
            self.tokens = min(self._burst(), self.tokens + (now - self.at) * self._rate())
        self.at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def sent(self, right: bool, cost: float = 0.0) -> None:
        """A send found its extent, or was told `moved` after `cost` seconds."""
        self.wrong += self.GAIN * ((not right) - self.wrong)
        if not right:
            self.wrong_s += self.GAIN * (cost - self.wrong_s)

    # ------------------------------------------------------------ the service

    def told(self, now: float, shard: int, whole: bool, moves: int, extents: int, span: float) -> None:
        """A delta or a sign of life: `whole`, nothing is missing behind it; `moves` of `extents` in `span` seconds.
        A span too short to measure leaves the rate of moves as it was."""
        s = self.shards[shard]
        s.heard, s.tries, s.next, s.since, s.lives = now, 0, -math.inf, -math.inf, True
        if whole:
            s.whole = now
        if span >= MIN_MEASURED_SPAN_S and extents:
            part = min(1.0, span / self.RATE)
            s.moves += part * (moves / extents / span - s.moves)

    def answered(self, now: float, volume: str, extent: str, took: float) -> None:
        """A question was answered after `took` seconds."""
        self.asking.pop((volume, extent), None)
        self.ask_s += self.GAIN * (took - self.ask_s)

    def failed(self, now: float, shard: int, volume: str = "", extent: str = "") -> float:
        """A call failed; seconds until the next may be made. Full jitter: heads that failed together do not come back
        together, and never faster in all than the service bears."""
        self.asking.pop((volume, extent), None)
        s = self.shards[shard]
        s.since = now if s.since == -math.inf else s.since
        s.tries += 1
        most = min(self.terms.most_s, self.terms.least_s * 2.0 ** min(s.tries, 16))
        pause = max(self.terms.least_s, self.terms.heads / self.terms.peak) + self.random.random() * max(
            most, 2 * self.terms.heads / self.terms.peak
        )
        s.next = now + pause
        return pause

    def lost(self, now: float) -> float:
        """The watch of all shards ended: seconds until the next, and until then no question either."""
        pause = self.failed(now, 0)
        for s in self.shards[1:]:
            s.since, s.tries, s.next = self.shards[0].since, self.shards[0].tries, self.shards[0].next
        return pause

    def saved(self, now: float, age: float) -> None:
        """The map comes from disk, and was whole so many seconds ago."""
        for s in self.shards:
            s.whole = now - age

    def follow(self, turn: int, moved: bool, left: float, once: bool) -> float | None:
        """A node did not serve what has moved or is about to open: seconds until the request is submitted again, where
        it said where to (`moved`) or at the same place; None: it ends. Nothing was done for it yet. The first `moved`
        is followed at once; after that longer each time, as an extent that is between two nodes opens soon or late.
        left: seconds that its client still waits. once: it can't go twice, as its body came once or as it keeps an
        order and those behind it could overtake it. Guards against following for ever. Harm: an extent that moves more
        often than this is refused."""
        pause = 0.0 if moved and not turn else self.ask_s * 2.0 ** min(turn, 6) * self.random.uniform(0.5, 1.0)
        return None if once or turn + 1 >= self.FOLLOWED or pause >= left else pause

    def first_within(self, patience: float) -> float:
        """How long a question that goes first may take before the send goes without its answer: a few usual ones, and
        never what the send itself needs."""
        return max(0.0, min(self.WAITS * self.ask_s, patience - self.wrong_s))

    def returns(self, now: float) -> float:
        """The service was out of reach and is back: when this head fetches what it missed, seconds from now, spread so
        that all heads together stay within what the service bears."""
        return float(self.random.random() * self.terms.heads / self.terms.peak)

    def age(self, now: float) -> float:
        """Seconds since every shard was last known whole: what status, metric and answer header say; inf: never."""
        return max((now - s.whole for s in self.shards), default=0.0)
