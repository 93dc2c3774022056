"""Leases of many gateways in simulated time: the real `Acceptor` and `LeaseHolder` under faults drawn from a seed.

Clocks differ, the network cuts, loses, repeats and delays, processes pause, die and restart, disks fill up and are
lost. What must not be is checked from all gateways' state at one true time, which no gateway can see: two holders of a
role at once, or a token that does not rise.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from fawnspool.leases.acceptor import Acceptor
from fawnspool.leases.actions import AcceptorMemory, LeaseAction, LeaseMember, PersistVotes
from fawnspool.leases.ballot import Ballot
from fawnspool.leases.lease_holder import LeaseAcquired, LeaseHolder, LeaseLost
from fawnspool.leases.messages import FOR_HOLDER, MAX_ENTRIES, LeaseMessage
from fawnspool.leases.settings import LeaseSettings
from fawnspool.model.engine import Engine

_DATAGRAM_HEADER_BYTES = 28 + 23  # of IP and UDP, and of the peer channel
_MESSAGE_BYTES = 22
_ENTRY_BYTES = 13
_CLOCK_START_S = 1000.0
_MIN_WAKE_DELAY_S = 0.001
_INBOX_LIMIT = 1000  # datagrams that a paused process's socket keeps


@dataclass(frozen=True)
class NetworkConditions:
    """How datagrams travel between gateways: a mean delay, and shares of them that are hit."""

    delay_s: float = 0.001
    lost_share: float = 0.0
    repeated_share: float = 0.0
    late_share: float = 0.0
    late_by_s: float = 0.0  # at most


@dataclass
class Disk:
    """What an acceptor has stored. `full`: nothing more can be, and nothing that follows is sent."""

    votes: dict[int, Ballot] = field(default_factory=dict)
    floor: int | None = None  # None: the disk is empty
    full: bool = False

    def write(self, action: PersistVotes) -> None:
        """Store votes and the floor."""
        self.votes |= {role: Ballot(token, gateway) for role, token, gateway in action.records}
        known = [floor for floor in (self.floor, action.floor, 0 if action.records else None) if floor is not None]
        self.floor = max(known, default=None)

    def erase(self) -> None:
        """Lose all that is stored."""
        self.votes = {}
        self.floor = None

    def memory(self) -> AcceptorMemory | None:
        """Return what a starting acceptor reads; None: the disk is empty."""
        return None if self.floor is None else AcceptorMemory(dict(self.votes), self.floor)


@dataclass
class Host:
    """One gateway's machine. `clock_rate`: of its clock, against true time."""

    number: int
    clock_rate: float = 1.0
    life: int = 0
    up: bool = False
    paused: bool = False
    holder: Any = None
    acceptor: Any = None
    disk: Disk = field(default_factory=Disk)
    inbox: list[tuple[int, LeaseMessage]] = field(default_factory=list)
    wake_at: float = math.inf
    datagrams_sent: int = 0
    bytes_sent: int = 0

    @property
    def running(self) -> bool:
        """Whether its process does anything."""
        return self.up and not self.paused


class Tenure(NamedTuple):
    """Who acquired a role last, in which life of its process, with which token."""

    host: Host
    life: int
    token: int


class Vacancy(NamedTuple):
    """A time in which nobody held a role that had been held."""

    role: int
    cause: str
    seconds: float


class SimulatedLeases:
    """Gateways that hold leases, all up from the start.

    Parameters
    ----------
    clock_rates
        Of the first gateways' clocks against true time; the others' are right.

    Attributes
    ----------
    violations : list of str
        What must not be.
    vacancies : list of Vacancy
        Those that have ended.
    acquired_count : int
        How often a role was acquired.
    cut_links : set
        (sender, recipient) whose datagrams are lost.
    """

    def __init__(
        self, settings: LeaseSettings, seed: int, network: NetworkConditions, clock_rates: Iterable[float] = ()
    ) -> None:
        self.settings = settings
        self.seed = seed
        self.network = network
        self.engine = Engine()
        self.hosts = [Host(number) for number in range(settings.gateway_count)]
        for host, rate in zip(self.hosts, clock_rates, strict=False):
            host.clock_rate = rate
        self.cut_links: set[tuple[int, int]] = set()
        self.violations: list[str] = []
        self.vacancies: list[Vacancy] = []
        self.acquired_count = 0
        self._random = Random(f"{seed}-duties")
        self._tenures: dict[int, Tenure] = {}
        self._vacant_since: dict[int, tuple[float, str]] = {}
        for host in self.hosts:
            self.start(host)

    def run(self, seconds: float) -> None:
        """Let true time pass."""
        self.engine.run(self.engine.now + seconds)

    def clock(self, host: Host) -> float:
        """Return what the host's clock shows."""
        return _CLOCK_START_S + self.engine.now * host.clock_rate

    def held(self) -> dict[int, int]:
        """Return the gateway that holds each role that is held now."""
        holders = dict[int, int]()
        for host in self.hosts:
            if host.running:
                now = self.clock(host)
                holders |= {role: host.number for role in host.holder.claims if host.holder.expires_at(role) > now}
        return holders

    # Faults.

    def start(self, host: Host) -> None:
        """Start a process, with what its disk has."""
        host.life += 1
        incarnation = self._random.getrandbits(63) + 1
        now = self.clock(host)
        host.up = True
        host.paused = False
        host.inbox = []
        host.wake_at = math.inf
        member = LeaseMember(host.number, incarnation, self.seed)
        host.holder = LeaseHolder(self.settings, member, now)
        is_acceptor = host.number in self.settings.acceptors
        host.acceptor = Acceptor(self.settings, member, now, host.disk.memory()) if is_acceptor else None
        self._wake(host, host.life)

    def kill(self, host: Host, cause: str = "killed") -> None:
        """End a process at once."""
        self.mark_vacant(host, cause)
        host.up = False

    def pause(self, host: Host, cause: str = "stopped") -> None:
        """Let a process stand still; its socket keeps what comes."""
        self.mark_vacant(host, cause)
        host.paused = True

    def resume(self, host: Host) -> None:
        """Let a paused process go on."""
        if not host.up or not host.paused:
            return
        host.paused = False
        inbox = host.inbox
        host.inbox = []
        for sender, message in inbox:
            self._receive(host, sender, message)
        self._wake(host, host.life)

    def terminate(self, host: Host) -> None:
        """End a process as SIGTERM does: it gives its roles back."""
        self._carry_out(host, host.holder.leave(self.clock(host)))
        self._take_events(host)
        host.up = False

    def mark_vacant(self, host: Host, cause: str) -> None:
        """Count what the host holds as vacant from now on, for `vacancies`."""
        if not host.running:
            return
        for role, tenure in self._tenures.items():
            if tenure.host is host and tenure.life == host.life and role not in self._vacant_since:
                self._vacant_since[role] = (self.engine.now, cause)

    def partition(self, numbers: set[int], *, one_way: bool = False) -> None:
        """Cut gateways off from the others: both ways, or so that they are heard and do not hear."""
        others = [host.number for host in self.hosts if host.number not in numbers]
        for number in numbers:
            self.cut_links |= {(other, number) for other in others}
            if not one_way:
                self.cut_links |= {(number, other) for other in others}

    # The processes.

    def _wake(self, host: Host, life: int) -> None:
        if not host.running or life != host.life:
            return
        now = self.clock(host)
        host.wake_at = math.inf
        self._carry_out(host, host.holder.tick(now))
        if host.acceptor is not None:
            self._carry_out(host, host.acceptor.tick(now))
        self._take_events(host)
        self._schedule_wake(host)

    def _schedule_wake(self, host: Host) -> None:
        due = host.holder.next_deadline()
        if host.acceptor is not None:
            due = min(due, host.acceptor.next_deadline())
        wake_at = max(self.engine.now + _MIN_WAKE_DELAY_S, (due - _CLOCK_START_S) / host.clock_rate)
        if wake_at < host.wake_at:
            host.wake_at = wake_at
            self.engine.at(wake_at, self._wake_as_scheduled, host, host.life, wake_at)

    def _wake_as_scheduled(self, host: Host, life: int, wake_at: float) -> None:
        if host.wake_at == wake_at:
            self._wake(host, life)

    def _carry_out(self, host: Host, actions: list[LeaseAction]) -> None:
        for action in actions:
            if not isinstance(action, PersistVotes):
                self._send(host, action.recipient, action.message)
                continue
            if host.disk.full:
                return
            host.disk.write(action)
            host.acceptor.confirm_persisted(action)

    def _receive(self, host: Host, sender: int, message: LeaseMessage) -> None:
        now = self.clock(host)
        if message.type in FOR_HOLDER:
            self._carry_out(host, host.holder.receive(now, sender, message))
        elif host.acceptor is not None:
            self._carry_out(host, host.acceptor.receive(now, sender, message))
        self._take_events(host)
        self._schedule_wake(host)

    # The network.

    def _send(self, host: Host, recipient: int, message: LeaseMessage) -> None:
        if recipient == host.number:
            self.engine.after(0.0, self._arrive, host, host.number, message)
            return
        host.datagrams_sent += 1
        entries = min(MAX_ENTRIES, len(message.entries))
        host.bytes_sent += _DATAGRAM_HEADER_BYTES + _MESSAGE_BYTES + _ENTRY_BYTES * entries
        network = self.network
        if (host.number, recipient) in self.cut_links or self._random.random() < network.lost_share:
            return
        copies = 2 if self._random.random() < network.repeated_share else 1
        for _ in range(copies):
            delay_s = network.delay_s * self._random.uniform(0.5, 1.5)
            if self._random.random() < network.late_share:
                delay_s += self._random.random() * network.late_by_s
            self.engine.after(delay_s, self._arrive, self.hosts[recipient], host.number, message)

    def _arrive(self, host: Host, sender: int, message: LeaseMessage) -> None:
        if host.running:
            self._receive(host, sender, message)
        elif host.up and len(host.inbox) < _INBOX_LIMIT:
            host.inbox.append((sender, message))

    # Checks.

    def _take_events(self, host: Host) -> None:
        events = host.holder.events
        host.holder.events = []
        for event in events:
            if isinstance(event, LeaseAcquired):
                self._check_acquired(host, event)
            elif isinstance(event, LeaseLost):
                self._note_lost(host, event)

    def _note_lost(self, host: Host, event: LeaseLost) -> None:
        tenure = self._tenures.get(event.role)
        if tenure is None or tenure.host is not host or tenure.token != event.token:
            return
        self._vacant_since.setdefault(event.role, (self.engine.now, event.reason))

    def _check_acquired(self, host: Host, event: LeaseAcquired) -> None:
        self.acquired_count += 1
        before = self._tenures.get(event.role)
        if before is not None:
            if before.host is not host and self._still_holds(before, event.role):
                self._add_violation(event.role, f"{host.number} and {before.host.number} hold it")
            if event.token <= before.token:
                self._add_violation(event.role, f"token {event.token} after {before.token}")
            if event.role in self._vacant_since:
                since, cause = self._vacant_since.pop(event.role)
                self.vacancies.append(Vacancy(event.role, cause, self.engine.now - since))
        self._tenures[event.role] = Tenure(host, host.life, event.token)

    def _still_holds(self, tenure: Tenure, role: int) -> bool:
        host = tenure.host
        return host.up and host.life == tenure.life and host.holder.expires_at(role) > self.clock(host)

    def _add_violation(self, role: int, text: str) -> None:
        self.violations.append(f"{self.engine.now:.3f}: role {role}: {text}")
