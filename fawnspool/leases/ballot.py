"""An acceptor's promise for one role: which ballot has its vote, and until when.

The functions are pure, so that the model checker, the simulation and the gateways run the same code. A vote's token and
incarnation are on disk before the vote is announced; its expiry is not stored. An acceptor that restarts therefore
treats every remembered vote as given just now (`restore`). One that lost its memory gives no votes until every vote
that it may have given has expired, and then learns from the other acceptors how high tokens have risen
(`recovered_floor`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import IntEnum
from typing import NamedTuple


class BallotVerdict(IntEnum):
    """An acceptor's answer to a vote request."""

    GRANTED = 0
    REJECTED = 1  # another gateway holds the vote, or the token is not above the promised one
    RECOVERING = 2  # this acceptor gives no votes yet


class Ballot(NamedTuple):
    """A fencing token and the gateway incarnation that requests votes under it."""

    token: int
    incarnation: int


class RecoveryResponse(NamedTuple):
    """Another acceptor's response to one that lost its memory."""

    has_memory: bool
    highest_token: int


@dataclass(frozen=True, slots=True)
class Promise:
    """An acceptor's vote for one role.

    Parameters
    ----------
    token
        The highest token promised; 0 if none was.
    incarnation
        The gateway incarnation that it was promised to.
    expires_at
        When the vote expires, on the acceptor's clock; no other gateway gets the vote before.
    released
        Whether that incarnation released the vote. It can't get a vote for the same token again.
    """

    token: int = 0
    incarnation: int = 0
    expires_at: float = 0.0
    released: bool = False

    @property
    def ballot(self) -> Ballot:
        """The ballot that the vote was given to."""
        return Ballot(self.token, self.incarnation)

    def is_vacant(self, now: float) -> bool:
        """Return whether another gateway may get the vote."""
        return self.released or now >= self.expires_at


def vote(promise: Promise, ballot: Ballot, now: float, floor: int, lease_s: float) -> tuple[Promise, BallotVerdict]:
    """Answer a request for a vote, a first one or a renewal.

    The incarnation that has the vote may request it under a higher token before it expires, as the role still has only
    one holder. A holder needs this if an acceptor promised a higher token to a proposal that then failed: that acceptor
    can't vote for the holder's current token.

    Parameters
    ----------
    promise
        The acceptor's current promise.
    ballot
        The requested ballot.
    now
        Time in seconds on the acceptor's clock.
    floor
        Tokens up to this one may have been promised before the acceptor lost its memory.
    lease_s
        Seconds for which a granted vote is promised.
    """
    if ballot == promise.ballot:
        if promise.released:
            return promise, BallotVerdict.REJECTED
        return replace(promise, expires_at=now + lease_s), BallotVerdict.GRANTED
    is_higher = ballot.token > max(promise.token, floor)
    if is_higher and (promise.is_vacant(now) or ballot.incarnation == promise.incarnation):
        return Promise(ballot.token, ballot.incarnation, now + lease_s), BallotVerdict.GRANTED
    return promise, BallotVerdict.REJECTED


def release(promise: Promise, ballot: Ballot) -> Promise:
    """Release the vote for exactly this ballot, so that a late message can't release a newer one.

    The same object is returned if nothing changes.
    """
    return replace(promise, released=True) if ballot == promise.ballot else promise


def restore(promise: Promise, now: float, lease_s: float) -> Promise:
    """Return a promise read from disk as it must be treated after a restart.

    The vote may have been renewed a moment before the restart, and a release is not on disk, so both count as just
    granted.
    """
    return replace(promise, expires_at=now + lease_s, released=False) if promise.token else promise


def recovered_floor(responses: Mapping[int, RecoveryResponse], acceptor_count: int) -> int | None:
    """Return the highest token that may have been promised, for an acceptor without memory.

    A role is held only under a token that a majority of all acceptors promised. At least a majority less one of the
    other acceptors promised it, so if a majority answers with its memory, one of them knows the token. If fewer have
    their memory, but all other acceptors have answered, their highest token is used: it is high enough unless a
    majority lost its memory, and a fleet that starts for the first time has no memory at all. The acceptor must have
    given no vote for one lease before, so that every ballot in which a forgotten vote counted is over.

    Parameters
    ----------
    responses
        By acceptor.
    acceptor_count
        Number of all acceptors, with this one.

    Returns
    -------
    int or None
        None while too few of the other acceptors have answered.
    """
    remembered = [response.highest_token for response in responses.values() if response.has_memory]
    if len(remembered) < acceptor_count // 2 + 1 and len(responses) < acceptor_count - 1:
        return None
    return max([0, *remembered])
