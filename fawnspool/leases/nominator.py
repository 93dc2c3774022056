"""Nomination: an acceptor that sees a role vacant asks one gateway to become its candidate.

A gateway becomes a candidate only when it is nominated, so a fleet that reconnects after a partition causes no storm of
vote requests. Acceptors take turns for each role, so that two of them rarely nominate different gateways. Safety does
not depend on nominations, only on promises.
"""

from __future__ import annotations

from collections.abc import Mapping
from heapq import heappop, heappush
from random import Random

from fawnspool.leases.ballot import Ballot, Promise
from fawnspool.leases.candidate import NEVER
from fawnspool.leases.candidate_directory import CandidateDirectory
from fawnspool.leases.messages import BallotEntry
from fawnspool.leases.settings import LeaseSettings

TURNS_PER_LEASE = 16  # each later acceptor waits one turn longer, and nominates only if those before it had no success
RECHECK_SPREAD = (0.8, 1.2)  # of the renewal interval


class Nominator:
    """One acceptor's schedule of checks of each role.

    Parameters
    ----------
    promises
        The acceptor's own promises by role; read, never written.
    """

    def __init__(
        self, settings: LeaseSettings, gateway_id: int, random: Random, promises: Mapping[int, Promise], now: float
    ) -> None:
        self.settings = settings
        self.gateway_id = gateway_id
        self.random = random
        self.promises = promises
        self.directory = CandidateDirectory(settings, random)
        self.nominated: dict[int, int] = {}  # role to the gateway nominated last
        self.held_elsewhere: dict[int, tuple[float, int]] = {}  # by other acceptors' votes: until when, by whom
        self.holders: dict[int, int] = {}  # role to the incarnation that reported holding it
        self.vacant_since: dict[int, float] = {}
        self._checks: list[tuple[float, int]] = []  # a heap; rows that differ from `_next_check` are outdated
        self._next_check: dict[int, float] = {}
        for role in range(len(settings.role_names)):
            self._schedule(role, self._vacant_at(role, now) + self._turn_delay(role, now))

    def next_check_at(self) -> float:
        """Return the time at which `nominate` must be called."""
        return self._checks[0][0] if self._checks else float("inf")

    # ------------------------------------------------------------ observations

    def record_request(self, sender: int, entry: BallotEntry, incarnation: int) -> None:
        """Record that a gateway requests a vote."""
        if self.nominated.get(entry.role) == sender:
            del self.nominated[entry.role]
            self.directory.record_followed(sender)
        if entry.is_held:
            self.holders[entry.role] = incarnation

    def record_grant(self, role: int) -> None:
        """Record that this acceptor gave its vote."""
        self.vacant_since.pop(role, None)

    def record_held_elsewhere(self, now: float, role: int, incarnation: int) -> None:
        """Record that a gateway holds the role by other acceptors' votes, so that none is nominated here."""
        self.held_elsewhere[role] = (now + self.settings.lease_s, incarnation)

    def record_released_elsewhere(self, now: float, role: int, incarnation: int) -> None:
        """Record that an incarnation releases a role that it may have held by other acceptors' votes."""
        held = self.held_elsewhere.get(role)
        if held is None:
            return
        _, holder = held
        if holder == incarnation:
            del self.held_elsewhere[role]
            self._schedule(role, now + self._turn_delay(role, now))

    def record_release(self, now: float, entry: BallotEntry, ballot: Ballot) -> None:
        """Record that this acceptor's vote was released.

        If a holder released it, this acceptor nominates again at once. A candidate releases its votes because another
        gateway holds the role or is a candidate too: an early nomination would only add one more candidate.
        """
        was_held = entry.is_held or self.holders.get(entry.role) == ballot.incarnation
        pause_s = 0.0 if was_held else self.settings.renewal_interval_s
        self._schedule(entry.role, now + self._turn_delay(entry.role, now) + pause_s)

    # ------------------------------------------------------------ time

    def nominate(self, now: float, floor: int) -> dict[int, list[BallotEntry]]:
        """Check the roles that are due; return nominations by gateway."""
        nominations: dict[int, list[BallotEntry]] = {}
        while self._checks and self._checks[0][0] <= now:
            check_at, role = heappop(self._checks)
            if check_at == self._next_check[role]:
                self._schedule(role, self._check(now, role, floor, nominations))
        return nominations

    def _schedule(self, role: int, check_at: float) -> None:
        self._next_check[role] = check_at
        heappush(self._checks, (check_at, role))

    def _vacant_at(self, role: int, now: float) -> float:
        promise = self.promises.get(role)
        return now if promise is None or promise.released else max(now, promise.expires_at)

    def _turn_delay(self, role: int, now: float) -> float:
        """Return how long this acceptor waits for its turn.

        The role determines which acceptor is first; acceptors that are leaving or have fallen silent are skipped.
        """
        acceptors = self.settings.acceptors
        first = role % len(acceptors)
        turns_before = 0
        for acceptor in (*acceptors[first:], *acceptors[:first]):
            if acceptor == self.gateway_id:
                break
            turns_before += self.directory.may_be_present(acceptor, now)
        return turns_before * self.settings.lease_s / TURNS_PER_LEASE

    def _check(self, now: float, role: int, floor: int, nominations: dict[int, list[BallotEntry]]) -> float:
        """Nominate a gateway if the role is vacant; return the time of the next check."""
        promise = self.promises.get(role, Promise())
        if not promise.is_vacant(now):
            self.vacant_since.pop(role, None)
            return promise.expires_at + self._turn_delay(role, now)
        held_until, _ = self.held_elsewhere.get(role, (NEVER, 0))
        if held_until > now:
            self.vacant_since.pop(role, None)
            return held_until + self._turn_delay(role, now)
        self.vacant_since.setdefault(role, now)
        unresponsive_gateway = self.nominated.pop(role, None)
        if unresponsive_gateway is not None:
            self.directory.record_missed(now, unresponsive_gateway)
        candidate = self.directory.choose(now)
        if candidate is not None:
            self.nominated[role] = candidate
            self.directory.record_nomination(candidate)
            nominations.setdefault(candidate, []).append(BallotEntry(role, max(promise.token, floor)))
        return now + self.settings.renewal_interval_s * self.random.uniform(*RECHECK_SPREAD)
