"""Settings that all gateways must share for their lease ballots to count together.

Majorities of two different sets of acceptors need not intersect. Every message therefore carries a fingerprint of
the settings, and an acceptor ignores messages with a different one.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from functools import cached_property

from fawnspool.leases.candidate import guaranteed_lease_s

MARGINS_PER_LEASE = 10
RENEWALS_PER_LEASE = 4
MIN_HEARTBEATS_PER_LEASE = 2
MAX_HEARTBEATS_PER_SECOND = 20  # received by one acceptor from the whole fleet


@dataclass(frozen=True)
class LeaseSettings:
    """Lease settings of the fleet.

    Parameters
    ----------
    gateway_count
        Number of gateways in the fleet; each of them may hold roles.
    acceptors
        Numbers of the gateways that vote.
    lease_s
        Seconds for which an acceptor promises not to give its vote to another gateway.
    clock_drift
        Upper bound on the error of each clock's rate, as a fraction.
    role_kinds
        Name and number of partitions of each kind of role.
    max_held_roles
        Roles that one gateway may hold at a time.
    """

    gateway_count: int
    acceptors: tuple[int, ...]
    lease_s: float
    clock_drift: float
    role_kinds: tuple[tuple[str, int], ...]
    max_held_roles: int = 64

    @cached_property
    def role_names(self) -> tuple[str, ...]:
        """Names of all roles; a role's number is its index."""
        return tuple(f"{kind}/{partition}" for kind, partitions in self.role_kinds for partition in range(partitions))

    @property
    def quorum(self) -> int:
        """Number of acceptors that form a majority."""
        return len(self.acceptors) // 2 + 1

    @property
    def guaranteed_lease_s(self) -> float:
        """Seconds on the candidate's clock for which a vote stands, whatever the drift within its bound."""
        return guaranteed_lease_s(self.lease_s, self.clock_drift)

    @property
    def margin_s(self) -> float:
        """Seconds before the end of a lease in which no step may begin, as a step takes time to be sent and arrive."""
        return self.lease_s / MARGINS_PER_LEASE

    @property
    def renewal_interval_s(self) -> float:
        """Seconds between renewals, so that three in a row may be lost."""
        return self.lease_s / RENEWALS_PER_LEASE

    @property
    def heartbeat_interval_s(self) -> float:
        """Seconds between heartbeats of a gateway; longer in a large fleet, to bound what an acceptor receives."""
        return max(self.lease_s / MIN_HEARTBEATS_PER_LEASE, self.gateway_count / MAX_HEARTBEATS_PER_SECOND)

    @cached_property
    def fingerprint(self) -> int:
        """Checksum of the settings that must agree; messages and stored votes contain it, so its form is fixed."""
        agreed = (sorted(self.acceptors), self.gateway_count, self.lease_s, self.clock_drift, self.role_kinds)
        return zlib.crc32(repr(agreed).encode())
