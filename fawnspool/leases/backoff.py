"""Backoff of a gateway that should take no roles for a while: roles are not left with one that can't work on them."""

from __future__ import annotations

from enum import Enum

from fawnspool.leases.candidate import NEVER

MAX_UNUSABLE = 4
MAX_UNANSWERED = 3


class PauseReason(Enum):
    """Why a gateway takes no roles for a while, as logs say it."""

    UNUSABLE = "what a role needs is out of reach"
    UNANSWERED = "no majority of acceptors answered in time"
    LAGGING = "its event loop runs late"


class CandidacyBackoff:
    """Until when a gateway takes no roles, longer each time in a row.

    Parameters
    ----------
    lease_s
        The lease in seconds; pauses are multiples of it.

    Attributes
    ----------
    until, reason
        When the latest pause ends, and why it began; None before the first.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.until = NEVER
        self.reason: PauseReason | None = None
        self._unusable = 0
        self._unanswered = 0

    def is_over(self, now: float) -> bool:
        """Return whether roles may be taken."""
        return now >= self.until

    def record_unusable(self, now: float) -> None:
        """Pause as what a role needs was out of reach; roles given back together count once.

        The pause is up to 8 leases, also where the service itself is away from all gateways.
        """
        if self.is_over(now):
            self._unusable = min(MAX_UNUSABLE, self._unusable + 1)
            self.until = now + self.lease_s * 2.0 ** (self._unusable - 1)
            self.reason = PauseReason.UNUSABLE

    def record_unanswered(self, now: float) -> bool:
        """Pause as no majority of acceptors was heard; return whether a pause began.

        A gateway that is heard and does not hear would be nominated again and again, and its votes hold up others.
        """
        if not self.is_over(now):
            return False
        self._unanswered = min(MAX_UNANSWERED, self._unanswered + 1)
        self.until = now + self.lease_s * 2.0 ** (self._unanswered - 1) / 2
        self.reason = PauseReason.UNANSWERED
        return True

    def record_lagging(self, now: float) -> None:
        """Pause for a lease as the event loop runs late."""
        self.until = max(self.until, now + self.lease_s)
        self.reason = PauseReason.LAGGING

    def record_usable(self) -> None:
        """Take note that what a role needs was within reach."""
        self._unusable = 0

    def record_answered(self) -> None:
        """Take note that a majority answered."""
        self._unanswered = 0
