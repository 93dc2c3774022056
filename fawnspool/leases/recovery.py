"""Recovery of an acceptor that lost its memory: a silence of one lease, then questions to the other acceptors.

Votes of its earlier life may still stand for a lease, and so may a ballot in which they are counted.
"""

from __future__ import annotations

from fawnspool.leases.ballot import RecoveryResponse, recovered_floor
from fawnspool.leases.candidate import NEVER
from fawnspool.leases.messages import LeaseMessage
from fawnspool.leases.settings import LeaseSettings


class MemoryRecovery:
    """State of one recovery.

    Parameters
    ----------
    serial
        Drawn number that tells this recovery's responses from those to an earlier one.
    silent_until
        When the silence ends.
    """

    def __init__(self, settings: LeaseSettings, serial: int, silent_until: float) -> None:
        self.settings = settings
        self.serial = serial
        self.silent_until = silent_until
        self.requested_at = NEVER
        self.responses: dict[int, RecoveryResponse] = {}

    def next_request_at(self) -> float:
        """Return when the other acceptors are to be asked (again)."""
        return max(self.silent_until, self.requested_at + self.settings.renewal_interval_s)

    def start_request(self, now: float) -> bool:
        """Return whether the other acceptors are to be asked now, and note that they are."""
        if now < self.next_request_at():
            return False
        self.requested_at = now
        return True

    def receive(self, sender: int, message: LeaseMessage) -> int | None:
        """Take a response; return the floor once enough acceptors have answered."""
        if message.serial != self.serial or not message.entries:
            return None
        self.responses[sender] = RecoveryResponse(bool(message.count), message.entries[0].token)
        return recovered_floor(self.responses, len(self.settings.acceptors))
