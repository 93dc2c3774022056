"""Recovery of an acceptor that lost its memory: a silence of one lease, then requests to the other acceptors.

The silence is needed because votes that the acceptor has forgotten, and ballots in which they count, may stand for
up to a lease.
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
        Random number that distinguishes responses to this recovery from those to an earlier one.
    silent_until
        End of the silence.
    """

    def __init__(self, settings: LeaseSettings, serial: int, silent_until: float) -> None:
        self.settings = settings
        self.serial = serial
        self.silent_until = silent_until
        self.requested_at = NEVER
        self.responses: dict[int, RecoveryResponse] = {}

    def next_request_at(self) -> float:
        """Return the time of the next request to the other acceptors."""
        return max(self.silent_until, self.requested_at + self.settings.renewal_interval_s)

    def start_request(self, now: float) -> bool:
        """Return whether a request to the other acceptors is due; if so, record that it is sent now."""
        if now < self.next_request_at():
            return False
        self.requested_at = now
        return True

    def receive(self, sender: int, message: LeaseMessage) -> int | None:
        """Handle a response; return the floor once enough acceptors have answered."""
        if message.serial != self.serial or not message.entries:
            return None
        self.responses[sender] = RecoveryResponse(bool(message.count), message.entries[0].token)
        return recovered_floor(self.responses, len(self.settings.acceptors))
