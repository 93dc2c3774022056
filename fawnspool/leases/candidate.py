"""One head's claim to one duty: which votes it has, and until when it holds.

A vote counts from the moment at which it was asked for, on the asker's own clock: the voter's lease began later. Both
clocks may differ in rate by `drift`, so what a voter promises for `lease` of its seconds surely stands for `span` of
the asker's. A claim holds while a majority of its votes stands; nothing else makes a holder.
"""

from __future__ import annotations

from dataclasses import dataclass, field


def span(lease: float, drift: float) -> float:
    """Seconds on the asker's clock for which a vote surely stands; each clock is off true time by `drift` at most."""
    return lease * (1 - drift) / (1 + drift)


@dataclass(frozen=True, slots=True)
class Claim:
    """votes: voter to when its last granted vote was asked for."""

    token: int
    began: float
    votes: dict[int, float] = field(default_factory=dict)

    def granted(self, voter: int, asked: float) -> Claim:
        """Answers may come late and twice: the latest asking counts."""
        if asked <= self.votes.get(voter, float("-inf")):
            return self
        return Claim(self.token, self.began, {**self.votes, voter: asked})

    def end(self, majority: int, lasts: float) -> float:
        """Until when it holds; -inf: it does not."""
        if len(self.votes) < majority:
            return float("-inf")
        return sorted(self.votes.values(), reverse=True)[majority - 1] + lasts
