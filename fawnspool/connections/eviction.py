"""Which waiting client connection is closed when a new one needs its place."""

from __future__ import annotations

from enum import Enum


class WaitingKind(Enum):
    """A client's connection that waits for a request."""

    NEW = "new"  # before its first request
    IDLE = "idle"  # between two requests


def kind_to_evict(idle: int, new: int) -> WaitingKind | None:
    """Choose the kind of which the connection that has waited longest is closed.

    It is the more numerous one, so that a flood of either kind cannot drive out the other. A slow client may lose its
    first request to this.

    Parameters
    ----------
    idle, new
        Number of waiting connections of either kind.

    Returns
    -------
    WaitingKind or None
        None where no connection waits.
    """
    if idle == 0 and new == 0:
        return None
    if new >= idle:
        return WaitingKind.NEW
    return WaitingKind.IDLE
