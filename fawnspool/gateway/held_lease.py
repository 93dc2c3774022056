"""What the work of a role sees of its lease. Everything here looks at the clock anew."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol

import gevent

from fawnspool.config.head import DutyBlock


class LeaseExpiredError(Exception):
    """The role is not held any more, or its lease ends too soon for a step to be begun."""


class LeaseKeeper(Protocol):
    """What a lease needs of the runner that holds it."""

    def remaining_s(self, role: int, token: int) -> float:
        """Return the seconds in which a step under this token may still be begun."""

    def stamp(self, lease: HeldLease) -> dict[str, Any]:
        """Return what each step bears, for fencing."""

    def record_reachability(self, role: int, dependency: str, is_reachable: bool) -> None:
        """Note whether something that a role needs was within reach."""


@dataclass
class HeldLease:
    """One hold of one role, until it is lost.

    Parameters
    ----------
    role, name
        The role's number and name.
    kind
        Settings of its kind.
    partition
        Which part of the kind's work it is.
    token
        The fencing token; it may rise while the role is held.
    greenlet
        Runs the role's work.
    recorded_until
        The latest end of the lease that was written to the record.
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
        """Return the seconds that a step may still take; 0 or less if none may be begun."""
        return self.keeper.remaining_s(self.role, self.token)

    def check(self) -> None:
        """Raise `LeaseExpiredError` if no step may be begun."""
        if self.remaining_s() <= 0:
            raise LeaseExpiredError(self.name)

    def stamp(self) -> dict[str, Any]:
        """Return what a step bears; raise `LeaseExpiredError` if none may be begun."""
        self.check()
        return self.keeper.stamp(self)

    def record_reachability(self, dependency: str, is_reachable: bool) -> None:
        """Note whether something that the role needs was within reach just now."""
        self.keeper.record_reachability(self.role, dependency, is_reachable)

    def sleep(self, seconds: float) -> None:
        """Sleep, at most until the lease ends; raise `LeaseExpiredError` if it ended."""
        gevent.sleep(max(0.0, min(seconds, self.remaining_s())))
        self.check()
