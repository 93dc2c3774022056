"""Timeouts of a watch on the endpoint service, and the handling of older snapshots."""

from __future__ import annotations

from dataclasses import dataclass

_SILENCE_HEARTBEATS = 1.75  # a watch counts as silent once a heartbeat is late by three quarters of its interval
_CALL_HEARTBEATS = 1.25  # a call that fails just before the service is back leaves time for two more
_OLDER_SNAPSHOTS_TO_ACCEPT = 3  # so many in a row show that the service has restarted its version count


@dataclass(frozen=True)
class WatchTimeouts:
    """Timeouts in seconds.

    Attributes
    ----------
    silence_s
        A watch without a complete line for this long has fallen silent.
    call_s
        Timeout of the response to a call and of the response headers of a watch, including the connect time.
    """

    silence_s: float
    call_s: float


def watch_timeouts(heartbeat_s: float) -> WatchTimeouts:
    """Derive the timeouts from the interval of the service's heartbeats.

    Three heartbeats after a watch fell silent, the gateway is expected to know the updates that the watch missed, so
    the silence and the calls that follow must fit into this time. While the service answers more slowly than that,
    calls time out and are repeated.
    """
    return WatchTimeouts(silence_s=_SILENCE_HEARTBEATS * heartbeat_s, call_s=_CALL_HEARTBEATS * heartbeat_s)


def reopens_at_once(established: bool, timed_out: bool) -> bool:
    """Return whether a watch that ended is reopened at once rather than after the scheduler's backoff.

    This holds only if the watch was established and fell silent: the gateway is soon expected to know the updates
    it missed, so there is no time for a backoff. A backoff would not spare the service either, as a silence
    precedes each reopening.
    """
    return established and timed_out


def accepts_older_snapshot(older_in_a_row: int) -> bool:
    """Return whether a snapshot that is older than the current endpoint list is accepted.

    A response from before a known change must not restore a draining node, but a service that lost its version count
    must not be rejected forever.

    Parameters
    ----------
    older_in_a_row
        Number of older snapshots received in a row, this one included.
    """
    return older_in_a_row >= _OLDER_SNAPSHOTS_TO_ACCEPT
