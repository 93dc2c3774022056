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
        The votes under the present token.
    started_at
        When the gateway came for the role.
    is_holding
        Whether a majority has voted.
    retry_at
        When a candidate asks again.
    rejected_by
        Acceptors that promised their vote to another gateway for longer than a renewal interval.
    successor
        The same claim under a higher token, until a majority has granted that.
    is_outbid
        Whether an acceptor whose vote is free has promised a higher token.
    responded
        Acceptors that answered at all.
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
        """Return until when a majority's votes stand; ``NEVER`` without a majority."""
        return self.proposal.expires_at(settings.quorum, settings.guaranteed_lease_s)

    def held_until(self, settings: LeaseSettings) -> float:
        """Return until when the role is held; ``NEVER`` if it is not."""
        return self.expires_at(settings) if self.is_holding else NEVER

    def tokens(self) -> list[int]:
        """Return the tokens that votes may have been given for."""
        if self.successor is None:
            return [self.proposal.token]
        return [self.proposal.token, self.successor.token]

    def is_over(self, now: float, settings: LeaseSettings) -> bool:
        """Return whether the lease has ended, or the candidacy has come to nothing."""
        if self.is_holding:
            return now >= self.expires_at(settings)
        return now >= self.started_at + settings.renewal_interval_s

    def next_deadline(self, settings: LeaseSettings) -> float:
        """Return when it is over or asks again."""
        if self.is_holding:
            return min(self.expires_at(settings), self.retry_at)
        return min(self.retry_at, self.started_at + settings.renewal_interval_s)

    # ------------------------------------------------------------ responses

    def record_grant(self, now: float, acceptor: int, requested_at: float, token: int, settings: LeaseSettings) -> bool:
        """Count a vote; return whether the claim goes on under its successor's token now."""
        if token == self.proposal.token:
            self.proposal = self.proposal.with_vote(acceptor, requested_at)
            return False
        if self.successor is None or token != self.successor.token:
            return False
        self.successor = self.successor.with_vote(acceptor, requested_at)
        successor_end = self.successor.expires_at(settings.quorum, settings.guaranteed_lease_s)
        # A response may be read only after the process stood still: what it granted may be over by then.
        if successor_end <= max(self.expires_at(settings), now):
            return False
        self.proposal = self.successor
        self.successor = None
        self.is_outbid = False
        return True

    def try_promote(self, now: float, settings: LeaseSettings) -> bool:
        """Make the candidate the holder once its majority stands long enough for a step; return whether it just did."""
        if self.is_holding or self.expires_at(settings) - settings.margin_s <= now:
            return False
        self.is_holding = True
        self.retry_at = FOREVER
        return True

    def record_outbid(self, entry: BallotEntry) -> None:
        """Note an acceptor that can't vote for the present token any more, though its vote is free."""
        self.is_outbid |= entry.token > self.proposal.token and not entry.wait_s

    def record_rejection(self, acceptor: int, entry: BallotEntry, settings: LeaseSettings) -> bool:
        """Note a candidate's rejection; return whether too many acceptors have promised their votes for long."""
        if entry.wait_s <= settings.renewal_interval_s:
            return False
        self.rejected_by.add(acceptor)
        return len(self.rejected_by) > len(settings.acceptors) - settings.quorum

    def needs_higher_token(self, now: float, settings: LeaseSettings) -> bool:
        """Return whether a holder should ask for a higher token.

        An acceptor that can't vote for the present one makes the hold end with the loss of another acceptor. It asks
        once a lease at most, as two that outbid each other must not go on for ever.
        """
        return self.is_outbid and self.successor is None and now - self.proposal.started_at >= settings.lease_s

    def renewal_token(self) -> int:
        """Return the token that a renewal asks for."""
        return self.proposal.token if self.successor is None else self.successor.token
