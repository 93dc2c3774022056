"""A held lease, with the methods that the work of its role calls. Each call reads the clock again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import gevent

from fawnspool.config.head import DutyBlock


class LeaseExpiredError(Exception):
    """The role is no longer held, or its lease ends too soon for a step to begin."""


class LeaseKeeper(Protocol):
    """The methods of the lease runner that a held lease calls."""

    def remaining_s(self, role: int, token: int) -> float:
        """Return the seconds during which a step under this token may still begin."""

    def stamp(self, lease: HeldLease) -> dict[str, Any]:
        """Return the fencing fields that each step carries."""

    def record_reachability(self, role: int, dependency: str, is_reachable: bool) -> None:
        """Record whether a dependency of a role was reachable."""


@dataclass
class HeldLease:
    """One role that this gateway holds, until the lease is lost.

    Parameters
    ----------
    role, name
        The role's number and name.
    kind
        Settings of the role's kind.
    partition
        Number of the part of the kind's work that this role does.
    token
        The fencing token; it may rise while the role is held.
    greenlet
        The greenlet that runs the role's work.
    recorded_until
        The latest end of the lease that was written to the record of lease changes.
    """

    keeper: LeaseKeeper
    role: int
    name: str
    kind: DutyBlock
    partition: int
    token: int
    greenlet: Any = None
    recorded_until: float = 0.0

    def remaining_s(self) -> float:
        """Return the seconds that a step may still take; 0 or less if none may begin."""
        return self.keeper.remaining_s(self.role, self.token)

    def check(self) -> None:
        """Raise `LeaseExpiredError` if no step may begin."""
        if self.remaining_s() <= 0:
            raise LeaseExpiredError(self.name)

    def stamp(self) -> dict[str, Any]:
        """Return the fencing fields of a step; raise `LeaseExpiredError` if none may begin."""
        self.check()
        return self.keeper.stamp(self)

    def record_reachability(self, dependency: str, is_reachable: bool) -> None:
        """Record whether a dependency of the role was reachable just now."""
        self.keeper.record_reachability(self.role, dependency, is_reachable)

    def sleep(self, seconds: float) -> None:
        """Sleep, at most until the lease ends; raise `LeaseExpiredError` if it ended."""
        gevent.sleep(max(0.0, min(seconds, self.remaining_s())))
        self.check()
