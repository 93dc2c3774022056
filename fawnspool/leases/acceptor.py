"""A voter: its seats for all duties, what it knows of the heads, and whom it calls to a duty that nobody holds.

Candidates do not come by themselves: a voter that sees a duty free calls one head that has few. Voters take turns at
that by duty, so two rarely call two heads, and a fleet that comes back after a cut has nothing to storm. Safety does
not rest on any of it: only on the seats (`vote.py`).

What is out is in order: a `Keep` must be on disk before what follows it is said. Where it can't be kept, nothing that
follows is said, and the seat stays promised all the same: that is only more careful. Whoever keeps says so (`kept`);
until then each further yes to the same claim asks for it to be kept again, or it would be said of a vote that a restart
forgets.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from fawnspool.leases import ballot
from fawnspool.leases.ballot import Seat, Verdict
from fawnspool.leases.messages import ENDS, TAKES, Kind, Message, Row, batches
from fawnspool.leases.terms import Terms

SAMPLE = 8  # heads compared before one is called: work a call must not grow with the fleet
MISSED_MOST = 4  # doublings of the time for which a head that did not come is not called again


@dataclass(frozen=True, slots=True)
class Say:
    to: int
    message: Message


@dataclass(frozen=True, slots=True)
class Keep:
    """To be on disk before anything that follows: rows of duty, token, who; floor, where the voter has its memory
    now."""

    rows: tuple[tuple[int, int, int], ...] = ()
    floor: int = -1


Out = Say | Keep


@dataclass(frozen=True)
class Memory:
    """What the disk held. None in its place: nothing, or nothing that reads."""

    rows: Mapping[int, tuple[int, int]]
    floor: int = 0


@dataclass(slots=True)
class _Head:
    """A head as this voter knows it. load: duties that it says it holds, and calls since. missed: calls in a row
    after which it did not come; rest: until then it is not called."""

    heard: float
    load: int = 0
    takes: bool = False
    who: int = 0
    ends: bool = False
    missed: int = 0
    rest: float = float("-inf")


@dataclass(slots=True)
class _Learning:
    """Answers of the other voters, by number: (has it its memory, how high); asked: when last."""

    serial: int = 0
    asked: float = float("-inf")
    said: dict[int, tuple[bool, int]] = field(default_factory=dict)


class Voter:
    """`me`: this head's number. Calls give what is to be kept and said; `due` says when `tick` must be called."""

    def __init__(self, terms: Terms, me: int, who: int, seed: int, now: float, memory: Memory | None) -> None:
        self.terms, self.me, self.who, self.random = terms, me, who, Random(f"{seed}-{who}-voter")
        self.seats: dict[int, Seat] = {}
        self.floor = 0
        self.learning: _Learning | None = None
        self.start, self.silent = now, now
        if memory is None:
            # Votes of its earlier life may stand for a lease yet, and so may a round in which they are counted.
            self.learning, self.silent = _Learning(self.random.getrandbits(31)), now + terms.lease
        else:
            self.floor = memory.floor
            for duty, (token, who_had) in memory.rows.items():
                self.seats[duty] = ballot.reborn(Seat(token, who_had), now, terms.lease)
        self.heads: dict[int, _Head] = {}
        self.order: list[int] = []
        self.takers = 0  # heads that are there and take duties, as of the last count
        self.counted = float("-inf")
        self.called: dict[int, int] = {}  # duty to the head that was called last
        # Held by other voters' votes, as the holder's life says: until when that is believed.
        self.elsewhere: dict[int, tuple[float, int]] = {}
        self.holds: dict[int, int] = {}  # the life that said with its asking that it holds, by duty
        self.free_since: dict[int, float] = {}
        self.strangers = self.grants = self.refusals = 0
        self.disk_failed = False  # set by who keeps: the last `Keep` could not be
        # Votes that are not known to be on disk (duty, token and who), and is what it learned? Before that no vote may
        # be there, or the file would look whole.
        self.unkept: dict[int, tuple[int, int]] = {}
        self.floor_unkept = False
        self.looks: list[tuple[float, int]] = []  # a heap; what is not the duty's `next_look` is passed over
        self.next_look: dict[int, float] = {}
        for duty in range(len(terms.names)):
            self._look_at(duty, self._free_at(duty, now) + self._turn(duty, now))

    @property
    def voting(self) -> bool:
        return self.learning is None

    # ------------------------------------------------------------ what it hears

    def hear(self, now: float, sender: int, m: Message) -> list[Out]:
        if m.mark != self.terms.mark:
            self.strangers += 1
            return []
        if m.kind is Kind.ASK:
            self._there(now, sender, m)
            return self._asked(now, sender, m)
        if m.kind is Kind.HERE:
            self._there(now, sender, m)
        elif m.kind is Kind.FREE:
            self._there(now, sender, m)  # one that gives up its last for good says that it takes no more
            return self._freed(now, m)
        elif m.kind is Kind.FLOOR and sender in self.terms.voters:
            top = max([self.floor, *(s.token for s in self.seats.values())])
            return [self._say(sender, Kind.KNOWN, m, (Row(0, top),), int(self.voting))]
        elif m.kind is Kind.KNOWN and sender in self.terms.voters:
            return self._learned(sender, m)
        return []

    def _say(
        self, to: int, kind: Kind, asked: Message | None = None, rows: tuple[Row, ...] = (), a: int = 0, serial: int = 0
    ) -> Say:
        """An answer bears the asker's own numbers: no other life of that head may take it for its own."""
        if asked is not None:
            return Say(to, Message(kind, self.terms.mark, asked.who, asked.serial, a, 0, rows))
        return Say(to, Message(kind, self.terms.mark, self.who, serial, a, 0, rows))

    def _there(self, now: float, sender: int, m: Message) -> None:
        head = self.heads.get(sender)
        if head is None:
            head = self.heads[sender] = _Head(now)
            self.order.append(sender)
        if m.who != head.who:
            head.who, head.ends = m.who, False
        head.ends |= m.b == ENDS  # what it said before that may come after it
        head.heard, head.load, head.takes = now, m.a, m.b == TAKES and not head.ends

    def _asked(self, now: float, sender: int, m: Message) -> list[Out]:
        rows, keep = [], list[tuple[int, int, int]]()
        for r in m.rows:
            if r.duty >= len(self.terms.names) or r.token < 1:
                continue
            if self.called.get(r.duty) == sender:
                del self.called[r.duty]
                self.heads[sender].missed = 0
            if r.verdict:
                self.holds[r.duty] = m.who
            if not self.voting:
                rows.append(Row(r.duty, 0, Verdict.SILENT, max(0.0, self.silent - now)))
                continue
            old = self.seats.get(r.duty, Seat())
            seat, verdict = ballot.ask(old, now, r.token, m.who, self.floor, self.terms.lease)
            self.seats[r.duty] = seat
            if verdict is Verdict.GRANTED:
                self.grants += 1
                self.free_since.pop(r.duty, None)
                if (seat.token, seat.who) != (old.token, old.who):
                    self.unkept[r.duty] = (seat.token, seat.who)
                if r.duty in self.unkept:
                    keep.append((r.duty, seat.token, seat.who))
            else:
                self.refusals += 1
                if r.verdict and r.token < seat.token:  # it holds by others' votes: nobody is to be called
                    self.elsewhere[r.duty] = (now + self.terms.lease, m.who)
            rows.append(
                Row(r.duty, max(seat.token, self.floor), verdict, max(0.0, seat.until - now) if not seat.freed else 0.0)
            )
        if not rows:
            return []
        told = self._say(sender, Kind.TOLD, m, tuple(rows), self._takers(now))
        return (
            [Keep(tuple(keep), self.floor if self.floor_unkept else -1), told] if keep or self.floor_unkept else [told]
        )

    def kept(self, keep: Keep) -> None:
        """It is on disk."""
        self.floor_unkept &= keep.floor < self.floor
        for duty, token, who in keep.rows:
            if self.unkept.get(duty) == (token, who):
                del self.unkept[duty]

    def _freed(self, now: float, m: Message) -> list[Out]:
        for r in m.rows:
            if self.elsewhere.get(r.duty, (0.0, 0))[1] == m.who:
                del self.elsewhere[r.duty]
                self._look_at(r.duty, now + self._turn(r.duty, now))
            seat = self.seats.get(r.duty)
            if seat is not None and (new := ballot.free(seat, r.token, m.who)) is not seat:
                self.seats[r.duty] = new
                # A holder's is called out at once; where a candidate gave up, as others hold it or came too, that would
                # only bring the next one.
                held = bool(r.verdict) or self.holds.get(r.duty) == m.who
                self._look_at(r.duty, now + self._turn(r.duty, now) + (0.0 if held else self.terms.renew))
        return []

    def _takers(self, now: float) -> int:
        """Counted anew once a renewal: all heads are looked at, so not on every message."""
        if now - self.counted >= self.terms.renew:
            self.counted = now
            self.takers = sum(h.takes and self._fresh(h, now) for h in self.heads.values())
        return self.takers

    def _fresh(self, head: _Head, now: float) -> bool:
        """Two words in a row may be lost."""
        return now - head.heard <= 3 * self.terms.here

    # ------------------------------------------------------------ memory lost

    def _learned(self, sender: int, m: Message) -> list[Out]:
        learning = self.learning
        if learning is None or (m.serial, m.who) != (learning.serial, self.who) or not m.rows:
            return []
        learning.said[sender] = (bool(m.a), m.rows[0].token)
        floor = ballot.learned(learning.said, len(self.terms.voters))
        if floor is None:
            return []
        self.floor, self.learning, self.floor_unkept = floor, None, True
        return [Keep((), floor)]

    # ------------------------------------------------------------ time

    def due(self) -> float:
        if self.learning is not None:
            return max(self.silent, self.learning.asked + self.terms.renew)
        return self.looks[0][0] if self.looks else float("inf")

    def tick(self, now: float) -> list[Out]:
        if self.learning is not None:
            if now < self.silent or now < self.learning.asked + self.terms.renew:
                return []
            self.learning.asked = now
            return [self._say(v, Kind.FLOOR, serial=self.learning.serial) for v in self.terms.voters if v != self.me]
        calls: dict[int, list[Row]] = {}
        while self.looks and self.looks[0][0] <= now:
            at, duty = heappop(self.looks)
            if at == self.next_look[duty]:
                self._look_at(duty, self._look(now, duty, calls))
        return [self._say(head, Kind.CALL, rows=batch) for head, rows in calls.items() for batch in batches(rows)]

    def _look_at(self, duty: int, when: float) -> None:
        self.next_look[duty] = when
        heappush(self.looks, (when, duty))

    def _free_at(self, duty: int, now: float) -> float:
        seat = self.seats.get(duty)
        return now if seat is None or seat.freed else max(now, seat.until)

    def _turn(self, duty: int, now: float) -> float:
        """Voters call in turns: which is the first goes by duty; those that are known to be away are passed over. The
        next only where the first's call came to nothing."""
        voters = self.terms.voters
        first = duty % len(voters)
        before = 0
        for v in (*voters[first:], *voters[:first]):
            if v == self.me:
                break
            head = self.heads.get(v)
            before += head is None or (not head.ends and self._fresh(head, now))
        return before * self.terms.lease / 16

    def _look(self, now: float, duty: int, calls: dict[int, list[Row]]) -> float:
        """Call somebody to it if nobody holds it; when to look again."""
        seat = self.seats.get(duty, Seat())
        if not seat.vacant(now):
            self.free_since.pop(duty, None)
            return seat.until + self._turn(duty, now)
        until, _ = self.elsewhere.get(duty, (float("-inf"), 0))
        if until > now:
            self.free_since.pop(duty, None)
            return until + self._turn(duty, now)
        self.free_since.setdefault(duty, now)
        missed = self.called.pop(duty, None)
        if missed is not None and missed in self.heads:
            head = self.heads[missed]
            head.missed = min(MISSED_MOST, head.missed + 1)
            head.rest = now + self.terms.lease * 2.0 ** (head.missed - 1) / 2
        best = self._least(now)
        if best is not None:
            self.called[duty] = best
            self.heads[best].load += 1
            calls.setdefault(best, []).append(Row(duty, max(seat.token, self.floor)))
        return now + self.terms.renew * self.random.uniform(0.8, 1.2)

    def _least(self, now: float) -> int | None:
        """Of some heads that are there and take duties, the one with the fewest."""
        few = self.order if len(self.order) <= SAMPLE else self.random.sample(self.order, SAMPLE)
        fit = [
            (self.heads[n].load, self.random.random(), n)
            for n in few
            if self.heads[n].takes
            and self._fresh(self.heads[n], now)
            and now >= self.heads[n].rest
            and self.heads[n].load < self.terms.most
        ]
        return min(fit)[2] if fit else None

    # ------------------------------------------------------------ seeing into it

    def unheld(self, now: float) -> dict[int, float]:
        """Duties without a holder as this voter sees it, and for how long, in seconds."""
        return {duty: now - since for duty, since in self.free_since.items()}
