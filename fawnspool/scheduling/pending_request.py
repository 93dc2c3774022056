"""A request that this gateway has accepted, and its attempts at nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from fawnspool.scheduling.interface import Plan, Request, RequestClass


class Rank(IntEnum):
    """The order in which requests are shed under overload, highest rank first."""

    WITHIN_RESERVE = 0
    BEYOND_RESERVE = 1
    LATE = 2  # certain to miss its latency objective


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a node."""

    node: int
    sent_at: float
    is_open: bool = True
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request from its arrival until none of its attempts is in flight any more.

    Attributes
    ----------
    expires_at : float
        When its client gives up.
    due_at : float
        Until when the request has its full priority weight; for a request of rank LATE, until when it has any.
    shard : int or None
        The shard in whose queue the request was last.
    order_key : int or None
        Requests with the same key run one at a time, in order of arrival.
    is_answered : bool
        The final answer was given, or the client has disconnected.
    """

    request: Request
    request_class: RequestClass
    plan: Plan
    expires_at: float
    due_at: float
    rank: Rank
    order_key: int | None = None
    shard: int | None = None
    is_queued: bool = False
    is_answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)

    def extent_of_volume(self) -> tuple[int, int]:
        """Return the volume and extent of the request."""
        return self.request.volume, self.request.extent

    def ambiguous_attempts(self) -> list[Attempt]:
        """Return the attempts that may have run, oldest first."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    def has_open_attempt(self) -> bool:
        """Return whether an attempt is in flight."""
        return any(attempt.is_open for attempt in self.attempts)
