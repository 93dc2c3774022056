"""Eviction: which waiting client connection is closed to make room for a new one."""

from __future__ import annotations

from enum import Enum

MIN_WAIT_S = 0.1  # a connection is not evicted earlier for another one: a client sends on a new one at once


class WaitingKind(Enum):
    """The kinds of client connections that wait for a request."""

    NEW = "new"  # before its first request
    IDLE = "idle"  # between two requests


def kind_to_evict(idle: int, new: int) -> WaitingKind | None:
    """Choose the kind of connection to evict; the caller closes the one of this kind that has waited longest.

    The more numerous kind is chosen, so that a flood of either kind cannot evict all of the other. A client that
    is slow to send its first request may be evicted before that request is read.

    Parameters
    ----------
    idle, new
        Number of waiting connections of each kind.

    Returns
    -------
    WaitingKind or None
        None if no connection waits.
    """
    if idle == 0 and new == 0:
        return None
    if new >= idle:
        return WaitingKind.NEW
    return WaitingKind.IDLE
