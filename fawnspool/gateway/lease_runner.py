"""Carries duties out: passes datagrams and time to `duties/voter.py` and `duties/holder.py`, keeps votes, runs the
work of what this head holds in greenlets of its own. It chooses nothing.

One greenlet owns both objects; datagrams come to it through a queue. Votes are kept by a second one, in the hub's
threads, so that a slow disk holds up neither requests nor this head's own renewals; what follows a vote is said once
it is kept.
"""

from __future__ import annotations

import os
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event
from gevent.queue import Queue

from fawnspool.config.head import DutiesBlock, DutyBlock
from fawnspool.gateway.acceptor_log import VoteFile
from fawnspool.gateway.peers import Peers
from fawnspool.leases.acceptor import Keep, Out, Say, Voter
from fawnspool.leases.fencing import Fenced
from fawnspool.leases.lease_holder import Holder, Took
from fawnspool.leases.messages import FOR_HOLDER, LEADING, Message, Unread, pack, unpack
from fawnspool.leases.terms import Terms
from fawnspool.records.frames import Writer

_INBOX = 4096  # datagrams that wait for their turn, at most
_LAST_WORDS = 0.02  # seconds between the two sayings that all is given back


class LeaseOver(Exception):
    """The duty is not held any more, or its lease ends too soon for a step to be begun."""


def terms_of(config: DutiesBlock, heads: int) -> Terms:
    """What all heads agree on. Numbers are passed on as written."""
    kinds = tuple((d.name, d.shards) for d in config.duty)
    return Terms(heads, tuple(config.voters), config.lease, config.drift, kinds, config.most)


@dataclass
class Hold:
    """What the work of one duty sees of its hold. Everything here looks at the clock anew."""

    duties: Duties
    duty: int
    name: str
    kind: DutyBlock
    shard: int
    token: int
    work: Any = None

    def left(self) -> float:
        """Seconds for which a step may still take; 0 or less: none may be begun."""
        d = self.duties
        return d.holder.holds(d.clock(), self.duty, self.token) / d.rate

    def check(self) -> None:
        """Raises LeaseOver."""
        if self.left() <= 0:
            raise LeaseOver(self.name)

    def stamp(self) -> dict[str, Any]:
        """What a step bears. Raises LeaseOver."""
        self.check()
        return {"duty": self.name, "token": self.token, "who": self.duties.holder.who, "head": self.duties.me}

    def reached(self, what: str, well: bool) -> None:
        """Was something that the duty needs within reach just now?"""
        self.duties.reached(self.duty, what, well)

    def sleep(self, seconds: float) -> None:
        """Raises LeaseOver where it ends meanwhile."""
        gevent.sleep(max(0.0, min(seconds, self.left())))
        self.check()


class Duties:
    """`works`: by kind, what is done while a duty of it is held; it returns or raises LeaseOver, Fenced. `beside`
    runs all the while."""

    def __init__(
        self,
        config: DutiesBlock,
        me: int,
        heads: int,
        seed: int,
        folder: Path,
        peers: Peers,
        works: dict[str, Callable[[Hold], None]],
        beside: Callable[[Duties], None],
        log: Any,
    ) -> None:
        self.config, self.me, self.peers, self.works, self.log = config, me, peers, works, log
        self.beside = beside
        self.terms = terms_of(config, heads)
        self.rate = config.clock_rate
        self.who = int.from_bytes(os.urandom(8), "big") >> 1 or 1
        self.started = time.monotonic()
        now = self.clock()
        self.holder = Holder(self.terms, me, self.who, seed, now)
        self.voter: Voter | None = None
        self.file: VoteFile | None = None
        if me in self.terms.voters:
            self.file = VoteFile(folder, self.terms, config.sync)
            if self.file.memory is None:
                log.warning("this voter has no memory: it gives no vote until it has learned", why=self.file.why)
            self.voter = Voter(self.terms, me, self.who, seed, now, self.file.memory)
        self.record = Writer(config.record, keep=True) if config.record else None
        self.holds: dict[int, Hold] = {}
        self.inbox: deque[tuple[int, Message]] = deque(maxlen=_INBOX)
        self.flag = Event()
        self.to_keep: Queue[list[Out]] = Queue()
        self.greenlets: list[Any] = []
        self.counts: Counter[str] = Counter()  # for metrics: took, fenced, unread, unkept
        self.lost: Counter[str] = Counter()  # by why
        self.kinds = [(block, k) for block in config.duty for k in range(block.shards)]

    def clock(self) -> float:
        """This head's clock: only differences count. In a drill it may run at another rate."""
        return time.monotonic() * self.rate

    def start(self) -> None:
        self.peers.claim(LEADING, self.hear)
        self.greenlets = [gevent.spawn(self._run), gevent.spawn(self._keep), gevent.spawn(self.beside, self)]

    def hand_over(self) -> None:
        """Stop all work, then give everything back: once this returns another head may have it."""
        if self.holder.ending:
            return
        gevent.killall([h.work for h in self.holds.values() if h.work is not None], timeout=_LAST_WORDS)
        for _ in range(2):
            now = self.clock()
            out = self.holder.leave(now) if not self.holder.ending else self.holder.last_words(now)
            self._say(out)
            self._happened()
            gevent.sleep(_LAST_WORDS)

    def stop(self) -> None:
        self.hand_over()
        gevent.killall(self.greenlets)
        if self.file is not None:
            self.file.close()
        if self.record is not None:
            self.record.close()

    # ------------------------------------------------------------ datagrams

    def hear(self, sender: int, body: bytes) -> None:
        try:
            message = unpack(body)
        except Unread as bad:
            self.counts["unread"] += 1
            self.log.debug("a datagram about duties does not read", sender=sender, why=str(bad))
            return
        self.inbox.append((sender, message))
        self.flag.set()

    def _say(self, out: list[Out]) -> None:
        for o in out:
            assert isinstance(o, Say)
            if o.to == self.me:
                self.inbox.append((self.me, o.message))
                self.flag.set()
            else:
                self.peers.send(o.to, pack(o.message))

    def _keep(self) -> None:
        pool = gevent.get_hub().threadpool
        while True:
            out = self.to_keep.get()
            assert self.voter is not None
            try:
                for o in out:
                    if isinstance(o, Keep):
                        assert self.file is not None
                        pool.apply(self.file.keep, (o,))
                        self.voter.kept(o)
                    else:
                        self._say([o])
                self._disk(False, "")
            except OSError as bad:  # what was to follow is not said: the vote was not given
                self._disk(True, str(bad))

    def _disk(self, failed: bool, why: str) -> None:
        assert self.voter is not None
        if failed != self.voter.disk_failed:
            self.voter.disk_failed = failed
            if failed:
                self.log.error("votes can't be kept, so none are given: make room in head.data", error=why)
            else:
                self.log.info("votes can be kept again")
        self.counts["unkept"] += failed

    # ------------------------------------------------------------ time

    def _run(self) -> None:
        """Everything that decides, in order. Never yields between a look at the clock and what follows from it."""
        holder, voter = self.holder, self.voter
        while True:
            due = min(holder.due(), voter.due() if voter is not None else float("inf"))
            wait = (due - self.clock()) / self.rate
            rung = not self.flag.wait(max(0.0, wait))
            self.flag.clear()
            now = self.clock()
            if rung:
                self._say(holder.woke(now, now - due))
            while self.inbox:
                sender, m = self.inbox.popleft()
                if m.kind in FOR_HOLDER:
                    self._say(holder.hear(now, sender, m))
                elif voter is not None and (out := voter.hear(now, sender, m)):
                    self.to_keep.put(out)
            self._say(holder.tick(now))
            if voter is not None and (out := voter.tick(now)):
                self.to_keep.put(out)
            self._happened()
            self._note_ends()

    def _happened(self) -> None:
        events, self.holder.events = self.holder.events, []
        for e in events:
            name = self.terms.names[e.duty]
            hold = self.holds.get(e.duty)
            if isinstance(e, Took):
                self._note("took", name, e.token, self.holder.end(e.duty))
                if hold is not None:
                    hold.token = e.token
                    self.log.info("duty held under a higher token", duty=name, token=e.token)
                    continue
                self.counts["took"] += 1
                self.log.info("duty taken", duty=name, token=e.token)
                block, shard = self.kinds[e.duty]
                hold = self.holds[e.duty] = Hold(self, e.duty, name, block, shard, e.token)
                hold.work = gevent.spawn(self._work, hold)
            else:
                self.lost[e.why] += 1
                self._note("lost", name, e.token, self.clock(), e.why)
                self.log.info("duty given up", duty=name, token=e.token, why=e.why)
                if hold is not None:
                    del self.holds[e.duty]
                    if hold.work is not gevent.getcurrent():
                        hold.work.kill(block=False)

    def _work(self, hold: Hold) -> None:
        why = ""
        try:
            self.works[hold.kind.name](hold)
        except LeaseOver:
            why = "not renewed"
        except Fenced as bad:
            self.counts["fenced"] += 1
            self.log.warning(
                "a step was refused: a newer holder has been there", duty=hold.name, token=hold.token, newest=bad.newest
            )
            if self.holds.get(hold.duty) is hold:
                self._say(self.holder.fenced(self.clock(), hold.duty, bad.newest))
                self._happened()
            return
        except Exception as bad:
            self.log.error("the work of a duty raised", duty=hold.name, exc_info=True)
            why = f"its work raised {type(bad).__name__}"
        if self.holds.get(hold.duty) is hold:
            now = self.clock()
            self._say(
                self.holder.of_no_use(now, hold.duty, why)
                if why.startswith("its")
                else self.holder.release(now, hold.duty, why or "its work is over")
            )
            self._happened()

    def reached(self, duty: int, what: str, well: bool) -> None:
        self._say(self.holder.reached(self.clock(), duty, what, well))
        self._happened()

    def release(self, name: str, why: str = "released by hand") -> None:
        duty = self.terms.names.index(name)
        self._say(self.holder.release(self.clock(), duty, why))
        self._happened()

    # ------------------------------------------------------------ seeing into it

    def _note(self, what: str, duty: str, token: int, end: float, why: str = "") -> None:
        """For a drill: times on this machine's clock."""
        if self.record is not None:
            self.record.put(
                {
                    "k": "duty",
                    "t": time.monotonic(),
                    "head": self.me,
                    "who": self.who,
                    "what": what,
                    "duty": duty,
                    "token": token,
                    "end": end / self.rate,
                    "why": why,
                }
            )

    def _note_ends(self) -> None:
        if self.record is None:
            return
        for hold in self.holds.values():
            end = self.holder.end(hold.duty)
            if end > getattr(hold, "noted", 0.0):
                hold.noted = end  # type: ignore[attr-defined]
                self._note("until", hold.name, hold.token, end)

    def status(self) -> dict[str, Any]:
        """What this head holds and, as a voter, what nobody holds as far as it knows."""
        now = self.clock()
        out: dict[str, Any] = {
            "held": {h.name: {"token": h.token, "left_s": round(h.left(), 2)} for h in self.holds.values()},
            "takes": self.holder.takes and not self.holder.ending and now >= self.holder.able_at,
            "took": self.counts["took"],
            "lost": dict(self.lost),
            "fenced": self.counts["fenced"],
            "unread": self.counts["unread"],
            "strangers": self.holder.strangers + (self.voter.strangers if self.voter is not None else 0),
            "voter": None,
        }
        if self.voter is not None:
            unheld = {self.terms.names[d]: round(t / self.rate, 1) for d, t in sorted(self.voter.unheld(now).items())}
            out["voter"] = {"votes": self.voter.voting, "disk_failed": self.voter.disk_failed, "unheld_s": unheld}
        return out
