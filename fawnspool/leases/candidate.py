"""A candidate's proposal to hold one role: the votes it has, and until when they make it the holder.

A vote counts from the moment of its request on the candidate's own clock, as the acceptor's lease began later. The
two clocks may drift apart, so a vote that is promised for one lease on the acceptor's clock is guaranteed for a
slightly shorter time on the candidate's clock. The candidate holds the role while the votes of a
majority of acceptors stand.
"""

from __future__ import annotations

from dataclasses import dataclass, field

NEVER = float("-inf")


def guaranteed_lease_s(lease_s: float, clock_drift: float) -> float:
    """Return the seconds on the candidate's clock for which a vote stands, given the bound on clock drift."""
    return lease_s * (1 - clock_drift) / (1 + clock_drift)


@dataclass(frozen=True, slots=True)
class Proposal:
    """Votes for one token.

    Parameters
    ----------
    token
        The fencing token under which the role would be held.
    started_at
        When the candidate first asked for votes.
    votes
        By acceptor, when its latest granted vote was requested.
    """

    token: int
    started_at: float
    votes: dict[int, float] = field(default_factory=dict)

    def with_vote(self, acceptor: int, requested_at: float) -> Proposal:
        """Return the proposal with a vote added. Responses may be late or duplicated: the latest request counts."""
        if requested_at <= self.votes.get(acceptor, NEVER):
            return self
        return Proposal(self.token, self.started_at, {**self.votes, acceptor: requested_at})

    def expires_at(self, quorum: int, vote_lifetime_s: float) -> float:
        """Return the time until which a quorum of votes stands; ``NEVER`` without a quorum."""
        if len(self.votes) < quorum:
            return NEVER
        latest_first = sorted(self.votes.values(), reverse=True)
        return latest_first[quorum - 1] + vote_lifetime_s
