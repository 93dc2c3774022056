"""Backoff of a gateway that can't do the work of roles for now, so that other gateways take them."""

from __future__ import annotations

from enum import Enum

from fawnspool.leases.candidate import NEVER

MAX_UNUSABLE = 4  # consecutive pauses for work that can't be done up to which their length doubles
MAX_UNANSWERED = 3  # consecutive pauses for missing answers up to which their length doubles


class PauseReason(Enum):
    """Why a gateway accepts no roles for a while, as written in logs."""

    UNUSABLE = "what a role needs is out of reach"
    UNANSWERED = "no majority of acceptors answered in time"
    LAGGING = "its event loop runs late"


class CandidacyBackoff:
    """Time until which a gateway accepts no roles; consecutive pauses get longer.

    Parameters
    ----------
    lease_s
        The lease in seconds; the length of a pause is in proportion to it.

    Attributes
    ----------
    until, reason
        End of the latest pause, and its reason; the reason is None before the first pause.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.until = NEVER
        self.reason: PauseReason | None = None
        self._unusable = 0
        self._unanswered = 0

    def is_over(self, now: float) -> bool:
        """Return whether the gateway may accept roles."""
        return now >= self.until

    def record_unusable(self, now: float) -> None:
        """Pause because a role's work can't be done here; a call during a pause changes nothing.

        Several roles that are released in a row for one cause therefore start one pause. Each further pause is twice as
        long, up to 8 leases: if a service is unreachable from all gateways, all of them pause, and none for longer.
        """
        if self.is_over(now):
            self._unusable = min(MAX_UNUSABLE, self._unusable + 1)
            self.until = now + self.lease_s * 2.0 ** (self._unusable - 1)
            self.reason = PauseReason.UNUSABLE

    def record_unanswered(self, now: float) -> bool:
        """Pause because no majority of acceptors answered; return whether a pause began.

        A gateway that can send but not receive would be nominated again and again, and the votes that it is given
        would block other candidates.
        """
        if not self.is_over(now):
            return False
        self._unanswered = min(MAX_UNANSWERED, self._unanswered + 1)
        self.until = now + self.lease_s * 2.0 ** (self._unanswered - 1) / 2
        self.reason = PauseReason.UNANSWERED
        return True

    def record_lagging(self, now: float) -> None:
        """Pause for one lease because the event loop runs late."""
        self.until = max(self.until, now + self.lease_s)
        self.reason = PauseReason.LAGGING

    def record_usable(self) -> None:
        """Record that a service that a role needs was reachable."""
        self._unusable = 0

    def record_answered(self) -> None:
        """Record that a majority of acceptors answered."""
        self._unanswered = 0
