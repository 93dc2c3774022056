"""The record of a gateway's lease changes, for the judge of a drill. Times are on the machine's monotonic clock."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Literal

from fawnspool.gateway.held_lease import HeldLease
from fawnspool.leases.actions import LeaseMember
from fawnspool.records.frames import FrameWriter


@dataclass(frozen=True)
class LeaseChange:
    """One row of the record; `end` is the end of the lease on the gateway's own clock."""

    what: Literal["took", "lost", "until"]
    role: str
    token: int
    end: float
    reason: str = ""


class LeaseRecord:
    """A file of lease changes.

    Parameters
    ----------
    path
        The file; if empty, nothing is recorded.
    clock_rate
        Rate of the gateway's own clock relative to the machine's.
    """

    def __init__(self, path: str, member: LeaseMember, clock_rate: float) -> None:
        self.member = member
        self.clock_rate = clock_rate
        self._writer = FrameWriter(path, append=True) if path else None

    def add(self, change: LeaseChange) -> None:
        """Write a row."""
        if self._writer is not None:
            self._writer.put(
                {
                    "k": "duty",
                    "t": time.monotonic(),
                    "head": self.member.gateway_id,
                    "who": self.member.incarnation,
                    "what": change.what,
                    "duty": change.role,
                    "token": change.token,
                    "end": change.end / self.clock_rate,
                    "why": change.reason,
                }
            )

    def add_renewal(self, lease: HeldLease, end: float) -> None:
        """Write a row if the lease ends later than the record says."""
        if self._writer is not None and end > lease.recorded_until:
            lease.recorded_until = end
            self.add(LeaseChange("until", lease.name, lease.token, end))

    def close(self) -> None:
        """Close the file."""
        if self._writer is not None:
            self._writer.close()
