"""One gateway's claim to one role, first as a candidate and then as its holder."""

from __future__ import annotations

from dataclasses import dataclass, field

from fawnspool.leases.candidate import NEVER, Proposal
from fawnspool.leases.messages import BallotEntry
from fawnspool.leases.settings import LeaseSettings

FOREVER = float("inf")


@dataclass(slots=True)
class RoleClaim:
    """State of a claim.

    Parameters
    ----------
    proposal
        The votes under the current token.
    started_at
        When the gateway became a candidate for the role.
    is_holding
        Whether a majority has voted for the claim, so that the gateway holds the role.
    retry_at
        When the candidate requests votes again.
    rejected_by
        Acceptors that promised their vote to another gateway for longer than a renewal interval.
    successor
        Votes under a higher token, which replaces the current one once a majority has granted it, or None.
    is_outbid
        Whether an acceptor whose vote is free has promised a higher token.
    responded
        Acceptors that have answered.
    """

    proposal: Proposal
    started_at: float
    is_holding: bool = False
    retry_at: float = FOREVER
    rejected_by: set[int] = field(default_factory=set)
    successor: Proposal | None = None
    is_outbid: bool = False
    responded: set[int] = field(default_factory=set)

    def expires_at(self, settings: LeaseSettings) -> float:
        """Return the time until which a majority of votes stands; ``NEVER`` without a majority."""
        return self.proposal.expires_at(settings.quorum, settings.guaranteed_lease_s)

    def held_until(self, settings: LeaseSettings) -> float:
        """Return the time until which the role is held; ``NEVER`` if it is not held."""
        return self.expires_at(settings) if self.is_holding else NEVER

    def tokens(self) -> list[int]:
        """Return the tokens for which votes may have been given."""
        if self.successor is None:
            return [self.proposal.token]
        return [self.proposal.token, self.successor.token]

    def is_over(self, now: float, settings: LeaseSettings) -> bool:
        """Return whether the lease has ended, or a candidate got no majority within a renewal interval."""
        if self.is_holding:
            return now >= self.expires_at(settings)
        return now >= self.started_at + settings.renewal_interval_s

    def next_deadline(self, settings: LeaseSettings) -> float:
        """Return the time at which the claim is over or requests votes again."""
        if self.is_holding:
            return min(self.expires_at(settings), self.retry_at)
        return min(self.retry_at, self.started_at + settings.renewal_interval_s)

    # ------------------------------------------------------------ responses

    def record_grant(self, now: float, acceptor: int, requested_at: float, token: int, settings: LeaseSettings) -> bool:
        """Count a vote; return whether the successor's token has just replaced the current one."""
        if token == self.proposal.token:
            self.proposal = self.proposal.with_vote(acceptor, requested_at)
            return False
        if self.successor is None or token != self.successor.token:
            return False
        self.successor = self.successor.with_vote(acceptor, requested_at)
        successor_end = self.successor.expires_at(settings.quorum, settings.guaranteed_lease_s)
        # A stopped process may read a response late, when the granted lease is over already.
        if successor_end <= max(self.expires_at(settings), now):
            return False
        self.proposal = self.successor
        self.successor = None
        self.is_outbid = False
        return True

    def try_promote(self, now: float, settings: LeaseSettings) -> bool:
        """Make the candidate the holder if its votes outlast the safety margin; return whether it became the holder."""
        if self.is_holding or self.expires_at(settings) - settings.margin_s <= now:
            return False
        self.is_holding = True
        self.retry_at = FOREVER
        return True

    def record_outbid(self, entry: BallotEntry) -> None:
        """Record whether an acceptor with a free vote has promised a higher token than the current one."""
        self.is_outbid |= entry.token > self.proposal.token and not entry.wait_s

    def record_rejection(self, acceptor: int, entry: BallotEntry, settings: LeaseSettings) -> bool:
        """Record a rejection; return whether long promises to others leave too few acceptors for a majority."""
        if entry.wait_s <= settings.renewal_interval_s:
            return False
        self.rejected_by.add(acceptor)
        return len(self.rejected_by) > len(settings.acceptors) - settings.quorum

    def needs_higher_token(self, now: float, settings: LeaseSettings) -> bool:
        """Return whether a holder should ask for a higher token.

        If one acceptor can't vote for the current token, the loss of another acceptor may end the lease. The holder
        requests a higher token at most once per lease, so that two gateways do not outbid each other forever.
        """
        return self.is_outbid and self.successor is None and now - self.proposal.started_at >= settings.lease_s

    def renewal_token(self) -> int:
        """Return the token that a renewal requests."""
        return self.proposal.token if self.successor is None else self.successor.token
