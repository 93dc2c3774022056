"""One head's side of duties: it comes when it is called, asks for votes, holds while a majority stands, gives back.

A head that does not take duties for now (`takes`), or whose loop runs late, gives back what it holds. One token is
used by one claim of one life of a head and never again after it was given back, so a late word about it can't revive
it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from fawnspool.leases.acceptor import Out, Say
from fawnspool.leases.ballot import Verdict
from fawnspool.leases.candidate import Claim
from fawnspool.leases.messages import ENDS, NOT_NOW, TAKES, Kind, Message, Row, batches
from fawnspool.leases.terms import Terms

_SERIALS = 256  # askings remembered; older ones are longer ago than a lease
_LAGS = 2  # late wakings within a lease after which a head is too slow to hold anything


@dataclass(frozen=True, slots=True)
class Took:
    """This head holds the duty from now on; where it did already: under a higher token from now on."""

    duty: int
    token: int


@dataclass(frozen=True, slots=True)
class Lost:
    """It does so no longer: work ends at once. why: a few words for log and metrics."""

    duty: int
    token: int
    why: str


Event = Took | Lost


@dataclass(slots=True)
class _Held:
    claim: Claim
    began: float  # when it came for it
    holding: bool = False
    retry: float = float("inf")  # of a candidate: when it asks again
    no: set[int] = field(default_factory=set)  # of a candidate: voters that gave their vote to somebody for longer
    next: Claim | None = None  # the same claim under a higher token, until a majority has given that
    above: bool = False  # a voter whose vote is free has promised a higher token
    heard: set[int] = field(default_factory=set)  # voters that answered at all


class Holder:
    """`who` must be drawn anew at each start. `events` holds what happened since it was last emptied, in order."""

    def __init__(self, terms: Terms, me: int, who: int, seed: int, now: float) -> None:
        self.terms, self.me, self.who, self.random = terms, me, who, Random(f"{seed}-{who}-holder")
        self.held: dict[int, _Held] = {}
        self.known: dict[int, int] = {}  # the highest token heard of, by duty
        self.asked: dict[int, float] = {}  # serial to when it was sent
        self.serial = self.random.getrandbits(31)
        self.takes, self.ending = True, False
        self.able_at = float("-inf")  # before, it takes nothing: it was of no use
        self.useless = self.deaf = 0
        self.next_here = now + self.random.random() * terms.here / 4
        self.next_renew = now
        self.alive: dict[int, tuple[float, int]] = {}  # voter: (when it said so, heads that take duties)
        self.relieved = now
        self.lags: list[float] = []
        self.freed: list[tuple[float, int, int]] = []  # (when to say again that it is given back, duty, token)
        self.events: list[Event] = []
        self.well: dict[tuple[int, str], float] = {}  # when what a held duty needs was last within reach
        self.strangers = 0

    # ------------------------------------------------------------ what it holds

    def holds(self, now: float, duty: int, token: int) -> float:
        """Seconds for which a step of this duty under this token may still be begun; 0 or less: none may."""
        h = self.held.get(duty)
        if h is None or not h.holding or h.claim.token != token:
            return 0.0
        return self._end(h) - self.terms.margin - now

    def count(self) -> int:
        return sum(h.holding for h in self.held.values())

    def _end(self, h: _Held) -> float:
        return h.claim.end(self.terms.majority, self.terms.span)

    def end(self, duty: int) -> float:
        """When its hold ends if it is not renewed, on the clock of the calls; -inf: it has none."""
        h = self.held.get(duty)
        return self._end(h) if h is not None and h.holding else float("-inf")

    # ------------------------------------------------------------ what it hears

    def hear(self, now: float, sender: int, m: Message) -> list[Out]:
        if m.mark != self.terms.mark or sender not in self.terms.voters:
            self.strangers += 1
            return []
        if m.kind is Kind.CALL:
            return self._called(now, m)
        if m.kind is Kind.TOLD:
            return self._told(now, sender, m)
        return []

    def _willing(self, now: float) -> bool:
        return self.takes and not self.ending and now >= self.able_at and len(self.held) < self.terms.most

    def _called(self, now: float, m: Message) -> list[Out]:
        new = list[Row]()
        for r in m.rows:
            if r.duty >= len(self.terms.names) or r.duty in self.held or not self._willing(now):
                continue
            self.known[r.duty] = max(self.known.get(r.duty, 0), r.token)
            token = self.known[r.duty] + 1
            self.known[r.duty] = token
            self.held[r.duty] = _Held(Claim(token, now), now)
            new.append(Row(r.duty, token))
        return self._ask(now, new)

    def _ask(self, now: float, rows: list[Row], voters: tuple[int, ...] = ()) -> list[Out]:
        out = list[Out]()
        for batch in batches(rows):
            self.serial = (self.serial + 1) & 0xFFFFFFFF
            self.asked[self.serial] = now
            while len(self.asked) > _SERIALS:
                del self.asked[next(iter(self.asked))]
            out += [Say(v, self._message(now, Kind.ASK, batch, self.serial)) for v in voters or self.terms.voters]
        return out

    def _message(self, now: float, kind: Kind, rows: tuple[Row, ...] = (), serial: int = 0) -> Message:
        return Message(
            kind,
            self.terms.mark,
            self.who,
            serial,
            len(self.held),
            ENDS if self.ending else TAKES if self._willing(now) else NOT_NOW,
            rows,
        )

    def _told(self, now: float, voter: int, m: Message) -> list[Out]:
        asked = self.asked.get(m.serial)
        if asked is None or m.who != self.who:
            return []
        self.alive[voter] = (now, m.a)
        back = list[Row]()
        for r in m.rows:
            if r.duty >= len(self.terms.names):
                continue
            self.known[r.duty] = max(self.known.get(r.duty, 0), r.token)
            h = self.held.get(r.duty)
            if h is None or asked < h.began:
                if r.verdict == Verdict.GRANTED and (h is None or r.token != h.claim.token):
                    back.append(Row(r.duty, r.token))  # a vote for a claim that is over: nobody must wait for it
                continue
            h.heard.add(voter)
            if r.verdict == Verdict.GRANTED:
                self._granted(now, voter, asked, r, h)
            elif h.holding:
                h.above |= r.verdict == Verdict.REFUSED and r.token > h.claim.token and not r.wait
            else:
                back += self._refused(now, voter, r, h)
        return self._free(now, back)

    def _granted(self, now: float, voter: int, asked: float, r: Row, h: _Held) -> None:
        if r.token == h.claim.token:
            h.claim = h.claim.granted(voter, asked)
        elif h.next is not None and r.token == h.next.token:
            h.next = h.next.granted(voter, asked)
            # Answers may be read only after a stop: what they gave is over then, and nothing is held under it.
            if h.next.end(self.terms.majority, self.terms.span) > max(self._end(h), now):
                h.claim, h.next, h.above = h.next, None, False
                self.events.append(Took(r.duty, h.claim.token))
        if not h.holding and self._end(h) - self.terms.margin > now:
            self.deaf = 0
            h.holding, h.retry = True, float("inf")
            self.events.append(Took(r.duty, h.claim.token))

    def _refused(self, now: float, voter: int, r: Row, h: _Held) -> list[Row]:
        """Of a candidate: it asks again soon, above what was promised; where a majority has somebody for longer, it
        goes."""
        if r.wait > self.terms.renew:
            h.no.add(voter)
            if len(h.no) > len(self.terms.voters) - self.terms.majority:
                return self._drop(now, r.duty, "")
        if r.token >= h.claim.token:
            h.claim = Claim(self.known[r.duty] + 1, now)
            self.known[r.duty] += 1
        # It may be free sooner than that voter knows: what gives it back is on its way.
        h.retry = min(h.retry, now + min(r.wait + self.terms.lease / 100, self.terms.lease / 20))
        return []

    # ------------------------------------------------------------ giving back

    def _drop(self, now: float, duty: int, why: str) -> list[Row]:
        h = self.held.pop(duty)
        for key in [k for k in self.well if k[0] == duty]:
            del self.well[key]
        if h.holding:
            self.events.append(Lost(duty, h.claim.token, why))
        tokens = [h.claim.token] + ([h.next.token] if h.next is not None else [])
        self.freed += [(now + self.terms.lease / 20, duty, t) for t in tokens]  # said twice, as one may be lost
        return [Row(duty, t, int(h.holding)) for t in tokens]

    def _free(self, now: float, rows: list[Row]) -> list[Out]:
        return [Say(v, self._message(now, Kind.FREE, batch)) for batch in batches(rows) for v in self.terms.voters]

    def release(self, now: float, duty: int, why: str) -> list[Out]:
        """Give one back: the event comes first, work has ended when this is said."""
        return self._free(now, self._drop(now, duty, why)) if duty in self.held else []

    def leave(self, now: float, why: str = "ends") -> list[Out]:
        """Give all back and take no more."""
        self.ending = True
        return self._free(now, [row for duty in list(self.held) for row in self._drop(now, duty, why)])

    def of_no_use(self, now: float, duty: int, why: str) -> list[Out]:
        """What the duty needs is out of this head's reach, for longer than a lease. It takes nothing for a while,
        longer each time: guards duties against a head that holds and does nothing. Harm: where the service itself is
        away all heads rest, and the duty waits up to 8 leases after it is back."""
        if now >= self.able_at:  # several duties that are given back at one stroke count once
            self.useless = min(4, self.useless + 1)
            self.able_at = now + self.terms.lease * 2.0 ** (self.useless - 1)
        return self.release(now, duty, why)

    def reached(self, now: float, duty: int, what: str, well: bool) -> list[Out]:
        """Whether something that the duty needs was within this head's reach just now. Given back after a lease
        without."""
        if well:
            self.useless = 0
            self.well[duty, what] = now
            return []
        if duty not in self.held or now - self.well.setdefault((duty, what), self.held[duty].began) <= self.terms.lease:
            return []
        return self.of_no_use(now, duty, "what it needs is out of reach")

    def last_words(self, now: float) -> list[Out]:
        """Once more what was given back of late: nobody hears this head after it."""
        again = [Row(d, t) for _, d, t in self.freed]
        self.freed = []
        return self._free(now, again)

    def fenced(self, now: float, duty: int, newest: int) -> list[Out]:
        """A place has taken a newer token: this one is over, whatever the clock says."""
        self.known[duty] = max(self.known.get(duty, 0), newest)
        return self.release(now, duty, "fenced")

    def woke(self, now: float, lag: float) -> list[Out]:
        """The head's loop ran so late. Twice within a lease by more than the margin: it can't keep to leases."""
        if lag <= self.terms.margin:
            return []
        self.lags = [t for t in self.lags if now - t < self.terms.lease] + [now]
        if len(self.lags) < _LAGS or not self.held:
            return []
        self.lags = []
        self.able_at = max(self.able_at, now + self.terms.lease)
        return self._free(now, [row for duty in list(self.held) for row in self._drop(now, duty, "its loop lags")])

    # ------------------------------------------------------------ time

    def due(self) -> float:
        times = [self.next_here, *(t for t, _, _ in self.freed)]
        if self.held:
            times += [
                self.next_renew,
                *(
                    min(self._end(h), h.retry) if h.holding else min(h.retry, h.began + self.terms.renew)
                    for h in self.held.values()
                ),
            ]
        return min(times)

    def tick(self, now: float) -> list[Out]:
        out = list[Out]()
        over = [
            d
            for d, h in self.held.items()
            if (h.holding and now >= self._end(h)) or (not h.holding and now >= h.began + self.terms.renew)
        ]
        if any(self.held[d].holding or len(self.held[d].heard) < self.terms.majority for d in over):
            self._deaf(now)
        back = [row for d in over for row in self._drop(now, d, "not renewed")]
        if back:
            out += self._free(now, back)
        elif again := [Row(d, t) for at, d, t in self.freed if at <= now]:
            self.freed = [row for row in self.freed if row[0] > now]
            out += self._free(now, again)
        out += self._relief(now)
        retry = [Row(d, h.claim.token) for d, h in self.held.items() if not h.holding and h.retry <= now]
        for r in retry:
            self.held[r.duty].retry = float("inf")
        out += self._ask(now, retry)
        if now >= self.next_renew:
            self.next_renew = now + self.terms.renew
            out += self._ask(now, [Row(d, self._token(now, d, h), 1) for d, h in self.held.items() if h.holding])
        if now >= self.next_here:
            self.next_here = now + self.terms.here * self.random.uniform(0.8, 1.2)
            out += [Say(v, self._message(now, Kind.HERE)) for v in self.terms.voters]
        return out

    def _token(self, now: float, duty: int, h: _Held) -> int:
        """Which token a renewal asks for: a higher one where a voter can't vote for this one any more, as the loss of
        another voter would end the hold then. Once a lease at most: two that outbid each other must not go on for
        ever."""
        if h.above and h.next is None and now - h.claim.began >= self.terms.lease:
            self.known[duty] = self.known.get(duty, 0) + 1
            h.next = Claim(self.known[duty], now)
        return h.claim.token if h.next is None else h.next.token

    def _deaf(self, now: float) -> None:
        """This head hears no majority: it takes nothing for a while, longer each time, and says so, as it may be
        heard all the same. Guards duties against a head that is called, asks, and hears no answer; meanwhile its
        votes would hold up the others. Harm: after the heal it rests up to 4 leases more."""
        if now < self.able_at:
            return
        self.deaf = min(3, self.deaf + 1)
        self.able_at = now + self.terms.lease * 2.0 ** (self.deaf - 1) / 2
        self.next_here = now

    def _relief(self, now: float) -> list[Out]:
        """Give one back if this head holds more than its part by more than one. Its part follows from what a majority
        of voters says of who is there; one at a time, so that it is seen what that did."""
        fresh = sorted(n for t, n in self.alive.values() if now - t <= self.terms.lease)
        if len(fresh) < self.terms.majority or now - self.relieved < self.terms.lease / 4:
            return []
        there = fresh[len(fresh) // 2]
        mine = [d for d, h in self.held.items() if h.holding]
        if not there or len(mine) <= -(-len(self.terms.names) // there) + 1:
            return []
        self.relieved = now
        return self.release(now, self.random.choice(mine), "relieved")
