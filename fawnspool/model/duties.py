"""Duties in simulated time: the heads' own `Acceptor` and `LeaseHolder` on clocks that differ, over a network that
cuts, loses, doubles and delays, with stops, kills and restarts drawn from a seed.

What is checked comes from all heads' state at one true time, which no head can see: two that hold one duty at once, a
token that does not rise. What is measured: datagrams and bytes of each head, and the time until a duty is held again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from fawnspool.leases.acceptor import Acceptor
from fawnspool.leases.actions import AcceptorMemory, LeaseAction, LeaseMember, PersistVotes
from fawnspool.leases.ballot import Ballot
from fawnspool.leases.lease_holder import LeaseAcquired, LeaseHolder, LeaseLost
from fawnspool.leases.messages import FOR_HOLDER, MAX_ENTRIES, LeaseMessage
from fawnspool.leases.settings import LeaseSettings
from fawnspool.model.engine import Engine

_UDP = 28 + 23  # bytes of IP and UDP headers, and of `gateway/peers.py`


@dataclass(frozen=True)
class Net:
    """Seconds and shares. late: of datagrams, by up to `late_by`."""

    delay: float = 0.001
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    late_by: float = 0.0


@dataclass
class Host:
    """One head's machine. rate: of its clock against true time."""

    number: int
    rate: float = 1.0
    life: int = 0
    up: bool = False
    stopped: bool = False
    holder: Any = None
    voter: Any = None
    disk: dict[int, Ballot] = field(default_factory=dict)
    floor: int = -1  # -1: the disk is empty
    full: bool = False  # nothing can be kept, and nothing that follows is said
    inbox: list[tuple[int, LeaseMessage]] = field(default_factory=list)
    wakes: float = float("inf")
    sent: int = 0
    bytes: int = 0


class Duties:
    """`heads` hosts from the start. `wrong` holds what must not be, `gaps` rows of (duty, why it was lost, seconds)."""

    def __init__(self, terms: LeaseSettings, seed: int, net: Net, rates: Iterable[float] = ()) -> None:
        self.terms, self.seed, self.net = terms, seed, net
        self.random, self.engine = Random(f"{seed}-duties"), Engine()
        self.hosts = [Host(n) for n in range(terms.gateway_count)]
        for host, rate in zip(self.hosts, rates, strict=False):
            host.rate = rate
        self.cut: set[tuple[int, int]] = set()  # (from, to)
        self.owner: dict[int, tuple[Host, int, int]] = {}  # duty: who took it last, in which life, which token
        self.lost: dict[int, tuple[float, str]] = {}
        self.wrong: list[str] = []
        self.gaps: list[tuple[int, str, float]] = []
        self.took = 0
        for host in self.hosts:
            self.start(host)

    # ------------------------------------------------------------ hosts

    def clock(self, host: Host) -> float:
        return 1000.0 + self.engine.now * host.rate

    def start(self, host: Host) -> None:
        """A new life, with what its disk has."""
        host.life += 1
        who = self.random.getrandbits(63) + 1
        now = self.clock(host)
        host.up, host.stopped, host.inbox, host.wakes = True, False, [], float("inf")
        member = LeaseMember(host.number, who, self.seed)
        host.holder = LeaseHolder(self.terms, member, now)
        memory = AcceptorMemory(dict(host.disk), host.floor) if host.floor >= 0 else None
        host.voter = Acceptor(self.terms, member, now, memory) if host.number in self.terms.acceptors else None
        self._wake(host, host.life)

    def kill(self, host: Host, why: str = "killed") -> None:
        self.loses(host, why)
        host.up = False

    def wipe(self, host: Host) -> None:
        """Its disk is empty at its next start."""
        host.disk, host.floor = {}, -1

    def stop(self, host: Host, why: str = "stopped") -> None:
        self.loses(host, why)
        host.stopped = True

    def go_on(self, host: Host) -> None:
        if host.up and host.stopped:
            host.stopped = False
            inbox, host.inbox = host.inbox, []
            for sender, m in inbox:
                self._hear(host, sender, m)
            self._wake(host, host.life)

    def end(self, host: Host) -> None:
        """SIGTERM."""
        self._out(host, host.holder.leave(self.clock(host)))
        self._happened(host)
        host.up = False

    def loses(self, host: Host, why: str) -> None:
        """From now on it counts as not holding what it held, for `gaps`."""
        if host.up and not host.stopped:
            for duty, (owner, life, _) in self.owner.items():
                if owner is host and life == host.life and duty not in self.lost:
                    self.lost[duty] = (self.engine.now, why)

    def split(self, some: set[int], one_way: bool = False) -> None:
        """Cut `some` off from the others: both ways, or so that they are heard and do not hear."""
        rest = [h.number for h in self.hosts if h.number not in some]
        for a in some:
            self.cut |= {(b, a) for b in rest}
            if not one_way:
                self.cut |= {(a, b) for b in rest}

    # ------------------------------------------------------------ carrying out

    def _wake(self, host: Host, life: int) -> None:
        if not host.up or host.stopped or life != host.life:
            return
        now = self.clock(host)
        host.wakes = float("inf")
        self._out(host, host.holder.tick(now))
        if host.voter is not None:
            self._out(host, host.voter.tick(now))
        self._happened(host)
        self._again(host)

    def _again(self, host: Host) -> None:
        due = min(host.holder.next_deadline(), host.voter.next_deadline() if host.voter is not None else float("inf"))
        at = max(self.engine.now + 0.001, (due - 1000.0) / host.rate)
        if at < host.wakes:
            host.wakes = at
            self.engine.at(at, self._wake_at, host, host.life, at)

    def _wake_at(self, host: Host, life: int, at: float) -> None:
        if host.wakes == at:
            self._wake(host, life)

    def _out(self, host: Host, out: list[LeaseAction]) -> None:
        for o in out:
            if isinstance(o, PersistVotes):
                if host.full:
                    return
                host.disk |= {role: Ballot(token, who) for role, token, who in o.records}
                host.floor = max(host.floor, -1 if o.floor is None else o.floor, 0 if o.records else -1)
                host.voter.confirm_persisted(o)
            else:
                self._send(host, o.recipient, o.message)

    def _send(self, host: Host, to: int, m: LeaseMessage) -> None:
        if to != host.number:
            host.sent += 1
            host.bytes += _UDP + 22 + 13 * min(MAX_ENTRIES, len(m.entries))
            if (host.number, to) in self.cut or self.random.random() < self.net.loss:
                return
        n = self.net
        for _ in range(2 if to != host.number and self.random.random() < n.twice else 1):
            delay = n.delay * self.random.uniform(0.5, 1.5) if to != host.number else 0.0
            if to != host.number and self.random.random() < n.late:
                delay += self.random.random() * n.late_by
            self.engine.after(delay, self._arrive, self.hosts[to], host.number, m)

    def _arrive(self, host: Host, sender: int, m: LeaseMessage) -> None:
        if not host.up:
            return
        if host.stopped:
            if len(host.inbox) < 1000:
                host.inbox.append((sender, m))
            return
        self._hear(host, sender, m)

    def _hear(self, host: Host, sender: int, m: LeaseMessage) -> None:
        now = self.clock(host)
        self._out(
            host,
            host.holder.receive(now, sender, m)
            if m.type in FOR_HOLDER
            else host.voter.receive(now, sender, m)
            if host.voter is not None
            else [],
        )
        self._happened(host)
        self._again(host)

    def _happened(self, host: Host) -> None:
        events, host.holder.events = host.holder.events, []
        for e in events:
            if isinstance(e, LeaseAcquired):
                self._took(host, e)
            elif (
                isinstance(e, LeaseLost)
                and (mine := self.owner.get(e.role)) is not None
                and mine[0] is host
                and mine[2] == e.token
                and e.role not in self.lost
            ):
                self.lost[e.role] = (self.engine.now, e.reason)

    def _took(self, host: Host, e: LeaseAcquired) -> None:
        self.took += 1
        had = self.owner.get(e.role)
        if had is not None:
            other, life, token = had
            if (
                other is not host
                and other.life == life
                and other.up
                and other.holder.expires_at(e.role) > self.clock(other)
            ):
                self.wrong.append(f"{self.engine.now:.3f}: duty {e.role}: {host.number} and {other.number} hold it")
            if e.token <= token:
                self.wrong.append(f"{self.engine.now:.3f}: duty {e.role}: token {e.token} after {token}")
            if e.role in self.lost:
                since, why = self.lost.pop(e.role)
                self.gaps.append((e.role, why, self.engine.now - since))
        self.owner[e.role] = (host, host.life, e.token)

    # ------------------------------------------------------------ seeing into it

    def held(self) -> dict[int, int]:
        """Duty to the head that holds it now."""
        out = dict[int, int]()
        for host in self.hosts:
            if host.up and not host.stopped:
                now = self.clock(host)
                out |= {d: host.number for d in host.holder.claims if host.holder.expires_at(d) > now}
        return out

    def run(self, seconds: float) -> None:
        self.engine.run(self.engine.now + seconds)
