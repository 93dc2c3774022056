"""One gateway as candidate and lease holder: it follows nominations, requests votes, renews and releases roles.

A gateway that shuts down, or whose event loop runs late repeatedly, releases all its roles. One that can't do a role's
work releases that role and accepts none for a while. A token is used by one claim of one incarnation, and never again
once released, so that a late message can't revive the claim.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fawnspool.leases.actions import LeaseAction, LeaseMember, SendLeaseMessage
from fawnspool.leases.backoff import CandidacyBackoff
from fawnspool.leases.ballot import BallotVerdict
from fawnspool.leases.candidate import NEVER, Proposal
from fawnspool.leases.messages import (
    MAX_TOKEN,
    Availability,
    BallotEntry,
    LeaseMessage,
    LeaseMessageType,
    split_into_batches,
)
from fawnspool.leases.role_claim import FOREVER, RoleClaim
from fawnspool.leases.settings import LeaseSettings

SERIAL_BITS = 31
MAX_REQUESTS = 256  # vote requests remembered by serial; earlier ones were sent more than a lease ago
MAX_LAGS_PER_LEASE = 2  # late wake-ups within a lease at which a gateway is too slow to hold any role
FIRST_HEARTBEAT_SPREAD = 0.25  # of the heartbeat interval
HEARTBEAT_SPREAD = (0.8, 1.2)  # of the heartbeat interval
RELEASE_REPEATS_PER_LEASE = 20  # a release is repeated once, after a lease divided by this
MIN_RETRIES_PER_LEASE = 20  # a candidate retries at least so often, however long the wait that an acceptor reports
RETRY_SLACKS_PER_LEASE = 100  # a lease divided by this is added to the wait that an acceptor reports
REBALANCES_PER_LEASE = 4  # roles that a gateway with too many may release within a lease, one at a time
EVENT_LOOP_LAG = "its loop lags"
SHUTDOWN = "ends"
NOT_RENEWED = "not renewed"
OUT_OF_REACH = "what it needs is out of reach"
REBALANCED = "relieved"
STALE_TOKEN = "fenced"


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This gateway holds the role from now on or, if it held the role before, holds it under a higher token."""

    role: int
    token: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This gateway no longer holds the role, and its work must end at once; `reason` is for logs and metrics."""

    role: int
    token: int
    reason: str


LeaseEvent = LeaseAcquired | LeaseLost


@dataclass(frozen=True, slots=True)
class _PendingRelease:
    repeat_at: float
    role: int
    token: int


class LeaseHolder:
    """The candidate and lease holder of one gateway.

    `events` collects acquired and lost leases in order; its reader empties it.

    Parameters
    ----------
    member
        This incarnation of this gateway.
    now
        Time in seconds; only differences count.
    """

    def __init__(self, settings: LeaseSettings, member: LeaseMember, now: float) -> None:
        self.settings = settings
        self.incarnation = member.incarnation
        self.random = Random(f"{member.seed}-{member.incarnation}-holder")
        self.accepts_roles = True
        self.is_leaving = False
        self.events: list[LeaseEvent] = []
        self.claims: dict[int, RoleClaim] = {}
        self.backoff = CandidacyBackoff(settings.lease_s)
        self.foreign_messages = 0  # from gateways whose settings differ, or that are not acceptors
        self._highest_tokens: dict[int, int] = {}  # seen in messages, by role
        self._serial = self.random.getrandbits(SERIAL_BITS)
        self._requests: dict[int, float] = {}  # serial to the time when it was sent
        self._next_heartbeat = now + self.random.random() * settings.heartbeat_interval_s * FIRST_HEARTBEAT_SPREAD
        self._next_renewal = now
        self._available_counts: dict[int, tuple[float, int]] = {}  # by acceptor: time and number of available gateways
        self._rebalanced_at = now
        self._lags: list[float] = []
        self._pending_releases: list[_PendingRelease] = []
        self._reached_at: dict[tuple[int, str], float] = {}  # when each dependency of a role was last reachable

    # ------------------------------------------------------------ held roles

    def remaining_s(self, now: float, role: int, token: int) -> float:
        """Return the seconds during which a step under this token may still begin; 0 or less if none may."""
        claim = self.claims.get(role)
        if claim is None or not claim.is_holding or claim.proposal.token != token:
            return 0.0
        return claim.expires_at(self.settings) - self.settings.margin_s - now

    def held_count(self) -> int:
        """Return the number of roles held."""
        return sum(claim.is_holding for claim in self.claims.values())

    def expires_at(self, role: int) -> float:
        """Return when the lease of a role ends if it is not renewed; ``NEVER`` if there is none."""
        claim = self.claims.get(role)
        return NEVER if claim is None else claim.held_until(self.settings)

    def is_available(self, now: float) -> bool:
        """Return whether the gateway accepts roles now, regardless of how many it holds."""
        return self.accepts_roles and not self.is_leaving and self.backoff.is_over(now)

    def _accepts_nomination(self, now: float) -> bool:
        return self.is_available(now) and len(self.claims) < self.settings.max_held_roles

    # ------------------------------------------------------------ messages

    def receive(self, now: float, sender: int, message: LeaseMessage) -> list[LeaseAction]:
        """Handle a message from an acceptor."""
        if message.fingerprint != self.settings.fingerprint or sender not in self.settings.acceptors:
            self.foreign_messages += 1
            return []
        if message.type is LeaseMessageType.NOMINATION:
            return self._follow_nomination(now, message)
        if message.type is LeaseMessageType.VOTE_RESPONSE:
            return self._handle_response(now, sender, message)
        return []

    def _follow_nomination(self, now: float, message: LeaseMessage) -> list[LeaseAction]:
        requests: list[BallotEntry] = []
        for entry in message.entries:
            is_known_role = entry.role < len(self.settings.role_names)
            if not is_known_role or entry.role in self.claims or not self._accepts_nomination(now):
                continue
            self._record_token(entry.role, entry.token)
            token = self._next_token(entry.role)
            self.claims[entry.role] = RoleClaim(Proposal(token, now), now)
            requests.append(BallotEntry(entry.role, token))
        return self._request_votes(now, requests)

    def _record_token(self, role: int, token: int) -> None:
        self._highest_tokens[role] = max(self._highest_tokens.get(role, 0), token)

    def _next_token(self, role: int) -> int:
        """Return a token above all seen for the role; `MAX_TOKEN` can't be exceeded."""
        self._highest_tokens[role] = min(self._highest_tokens.get(role, 0) + 1, MAX_TOKEN)
        return self._highest_tokens[role]

    def _request_votes(self, now: float, entries: list[BallotEntry]) -> list[LeaseAction]:
        actions: list[LeaseAction] = []
        for batch in split_into_batches(entries):
            self._serial = (self._serial + 1) & 0xFFFFFFFF
            self._requests[self._serial] = now
            while len(self._requests) > MAX_REQUESTS:
                del self._requests[next(iter(self._requests))]
            actions += self._send_to_all(now, LeaseMessageType.VOTE_REQUEST, batch, self._serial)
        return actions

    def _send_to_all(
        self, now: float, message_type: LeaseMessageType, entries: tuple[BallotEntry, ...] = (), serial: int = 0
    ) -> list[LeaseAction]:
        message = LeaseMessage(
            message_type,
            self.settings.fingerprint,
            self.incarnation,
            serial,
            len(self.claims),
            self._availability(now),
            entries,
        )
        return [SendLeaseMessage(acceptor, message) for acceptor in self.settings.acceptors]

    def _availability(self, now: float) -> Availability:
        if self.is_leaving:
            return Availability.LEAVING
        return Availability.AVAILABLE if self._accepts_nomination(now) else Availability.UNAVAILABLE

    def _handle_response(self, now: float, acceptor: int, message: LeaseMessage) -> list[LeaseAction]:
        requested_at = self._requests.get(message.serial)
        if requested_at is None or message.incarnation != self.incarnation:
            return []
        self._available_counts[acceptor] = (now, message.count)
        released: list[BallotEntry] = []
        for entry in message.entries:
            if entry.role < len(self.settings.role_names):
                self._record_token(entry.role, entry.token)
                released += self._handle_verdict(now, acceptor, requested_at, entry)
        return self._send_releases(now, released)

    def _handle_verdict(self, now: float, acceptor: int, requested_at: float, entry: BallotEntry) -> list[BallotEntry]:
        """Handle the verdict for one role; return votes to be released."""
        claim = self.claims.get(entry.role)
        is_granted = entry.verdict == BallotVerdict.GRANTED
        if claim is None or requested_at < claim.started_at:
            if is_granted and (claim is None or entry.token != claim.proposal.token):
                return [BallotEntry(entry.role, entry.token)]  # the claim has ended: free its vote for others
            return []
        claim.responded.add(acceptor)
        if is_granted:
            self._handle_grant(now, acceptor, requested_at, entry, claim)
            return []
        if claim.is_holding:
            if entry.verdict == BallotVerdict.REJECTED:
                claim.record_outbid(entry)
            return []
        return self._handle_rejection(now, acceptor, entry, claim)

    def _handle_grant(
        self, now: float, acceptor: int, requested_at: float, entry: BallotEntry, claim: RoleClaim
    ) -> None:
        if claim.record_grant(now, acceptor, requested_at, entry.token, self.settings):
            self.events.append(LeaseAcquired(entry.role, claim.proposal.token))
        if claim.try_promote(now, self.settings):
            self.backoff.record_answered()
            self.events.append(LeaseAcquired(entry.role, claim.proposal.token))

    def _handle_rejection(self, now: float, acceptor: int, entry: BallotEntry, claim: RoleClaim) -> list[BallotEntry]:
        """Schedule a retry above the promised token, or end the claim if it can get no majority."""
        if claim.record_rejection(acceptor, entry, self.settings):
            return self._end_claim(now, entry.role, "")
        if entry.token >= claim.proposal.token:
            claim.proposal = Proposal(self._next_token(entry.role), now)
        # The role may become free sooner than that acceptor knows, as a release may be on its way.
        lease_s = self.settings.lease_s
        wait_s = min(entry.wait_s + lease_s / RETRY_SLACKS_PER_LEASE, lease_s / MIN_RETRIES_PER_LEASE)
        claim.retry_at = min(claim.retry_at, now + wait_s)
        return []

    # ------------------------------------------------------------ releases

    def _end_claim(self, now: float, role: int, reason: str) -> list[BallotEntry]:
        """End a claim; return its votes, whose release is sent twice as one message may be lost."""
        claim = self.claims.pop(role)
        self._reached_at = {key: at for key, at in self._reached_at.items() if key[0] != role}
        if claim.is_holding:
            self.events.append(LeaseLost(role, claim.proposal.token, reason))
        repeat_at = now + self.settings.lease_s / RELEASE_REPEATS_PER_LEASE
        self._pending_releases += [_PendingRelease(repeat_at, role, token) for token in claim.tokens()]
        return [BallotEntry(role, token, int(claim.is_holding)) for token in claim.tokens()]

    def _end_all_claims(self, now: float, reason: str) -> list[LeaseAction]:
        return self._send_releases(
            now, [entry for role in list(self.claims) for entry in self._end_claim(now, role, reason)]
        )

    def _send_releases(self, now: float, entries: list[BallotEntry]) -> list[LeaseAction]:
        return [
            action
            for batch in split_into_batches(entries)
            for action in self._send_to_all(now, LeaseMessageType.RELEASE, batch)
        ]

    def release(self, now: float, role: int, reason: str) -> list[LeaseAction]:
        """Release a role; the caller must handle `LeaseLost` and end the role's work before it sends the messages."""
        if role not in self.claims:
            return []
        return self._send_releases(now, self._end_claim(now, role, reason))

    def leave(self, now: float, reason: str = SHUTDOWN) -> list[LeaseAction]:
        """Release all roles and accept no more."""
        self.is_leaving = True
        return self._end_all_claims(now, reason)

    def repeat_releases(self, now: float) -> list[LeaseAction]:
        """Send the latest releases once more, before the process ends."""
        repeated = [BallotEntry(pending.role, pending.token) for pending in self._pending_releases]
        self._pending_releases = []
        return self._send_releases(now, repeated)

    def release_unusable(self, now: float, role: int, reason: str) -> list[LeaseAction]:
        """Release a role whose work can't be done here, and accept none for a while."""
        self.backoff.record_unusable(now)
        return self.release(now, role, reason)

    def record_reachability(self, now: float, role: int, dependency: str, is_reachable: bool) -> list[LeaseAction]:
        """Record whether a dependency of a role was reachable; after a lease in which it was not, release the role."""
        if is_reachable:
            self.backoff.record_usable()
            self._reached_at[role, dependency] = now
            return []
        claim = self.claims.get(role)
        if claim is None:
            return []
        reached_at = self._reached_at.setdefault((role, dependency), claim.started_at)
        if now - reached_at <= self.settings.lease_s:
            return []
        return self.release_unusable(now, role, OUT_OF_REACH)

    def record_stale_token(self, now: float, role: int, newest_token: int) -> list[LeaseAction]:
        """Release a role for which a service has seen a newer token, even before the end of the lease."""
        self._record_token(role, newest_token)
        return self.release(now, role, STALE_TOKEN)

    def record_lag(self, now: float, lag_s: float) -> list[LeaseAction]:
        """Record a late wake-up of the event loop; release all roles after several within a lease."""
        if lag_s <= self.settings.margin_s:
            return []
        self._lags = [*(at for at in self._lags if now - at < self.settings.lease_s), now]
        if len(self._lags) < MAX_LAGS_PER_LEASE or not self.claims:
            return []
        self._lags = []
        self.backoff.record_lagging(now)
        return self._end_all_claims(now, EVENT_LOOP_LAG)

    # ------------------------------------------------------------ time

    def next_deadline(self) -> float:
        """Return the time at which `tick` must be called."""
        deadlines = [self._next_heartbeat, *(pending.repeat_at for pending in self._pending_releases)]
        if self.claims:
            deadlines.append(self._next_renewal)
            deadlines += [claim.next_deadline(self.settings) for claim in self.claims.values()]
        return min(deadlines)

    def tick(self, now: float) -> list[LeaseAction]:
        """Do what is due: end claims that are over, rebalance, retry, renew and send heartbeats."""
        return [
            *self._end_expired(now),
            *self._rebalance(now),
            *self._retry(now),
            *self._renew(now),
            *self._send_heartbeat(now),
        ]

    def _end_expired(self, now: float) -> list[LeaseAction]:
        """End the claims that are over; if no vote is released by this, repeat the releases that are due."""
        expired = [role for role, claim in self.claims.items() if claim.is_over(now, self.settings)]
        if any(self._was_unanswered(self.claims[role]) for role in expired) and self.backoff.record_unanswered(now):
            self._next_heartbeat = now  # report that this gateway accepts no roles: its messages may still arrive
        released = [entry for role in expired for entry in self._end_claim(now, role, NOT_RENEWED)]
        if released:
            return self._send_releases(now, released)
        repeated = [
            BallotEntry(pending.role, pending.token) for pending in self._pending_releases if pending.repeat_at <= now
        ]
        self._pending_releases = [pending for pending in self._pending_releases if pending.repeat_at > now]
        return self._send_releases(now, repeated)

    def _was_unanswered(self, claim: RoleClaim) -> bool:
        return claim.is_holding or len(claim.responded) < self.settings.quorum

    def _retry(self, now: float) -> list[LeaseAction]:
        due = {role: claim for role, claim in self.claims.items() if not claim.is_holding and claim.retry_at <= now}
        for claim in due.values():
            claim.retry_at = FOREVER
        return self._request_votes(now, [BallotEntry(role, claim.proposal.token) for role, claim in due.items()])

    def _renew(self, now: float) -> list[LeaseAction]:
        if now < self._next_renewal:
            return []
        self._next_renewal = now + self.settings.renewal_interval_s
        renewals: list[BallotEntry] = []
        for role, claim in self.claims.items():
            if not claim.is_holding:
                continue
            if claim.needs_higher_token(now, self.settings):
                claim.successor = Proposal(self._next_token(role), now)
            renewals.append(BallotEntry(role, claim.renewal_token(), 1))
        return self._request_votes(now, renewals)

    def _send_heartbeat(self, now: float) -> list[LeaseAction]:
        if now < self._next_heartbeat:
            return []
        self._next_heartbeat = now + self.settings.heartbeat_interval_s * self.random.uniform(*HEARTBEAT_SPREAD)
        return self._send_to_all(now, LeaseMessageType.HEARTBEAT)

    def _rebalance(self, now: float) -> list[LeaseAction]:
        """Release one role if this gateway holds at least two more than an equal part of all roles.

        The equal part is computed from the median of the numbers of available gateways that acceptors reported within
        the last lease; without numbers from a majority of acceptors, no role is released. Roles are
        released one at a time, so that the effect of one release shows before the next.
        """
        settings = self.settings
        recent_counts = sorted(count for at, count in self._available_counts.values() if now - at <= settings.lease_s)
        if len(recent_counts) < settings.quorum or now - self._rebalanced_at < settings.lease_s / REBALANCES_PER_LEASE:
            return []
        available_count = recent_counts[len(recent_counts) // 2]
        held = [role for role, claim in self.claims.items() if claim.is_holding]
        if not available_count or len(held) <= -(-len(settings.role_names) // available_count) + 1:
            return []
        self._rebalanced_at = now
        return self.release(now, self.random.choice(held), REBALANCED)
