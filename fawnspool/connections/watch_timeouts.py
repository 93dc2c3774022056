"""Timeouts of a watch on the endpoint service, and what is believed of what it says."""

from __future__ import annotations

from dataclasses import dataclass

_SILENCE_HEARTBEATS = 1.75  # a heartbeat that is three quarters of one late: the watch has fallen silent
_CALL_HEARTBEATS = 1.25  # a call in vain just before the service is back leaves time for two more
_OLDER_SNAPSHOTS_BELIEVED = 3  # older snapshots in a row: the service has begun to count anew


@dataclass(frozen=True)
class WatchTimeouts:
    """Timeouts in seconds.

    Attributes
    ----------
    silence_s
        Without a complete line for so long, a watch has fallen silent.
    call_s
        For the response to a call and for the response headers of a watch, connecting included.
    """

    silence_s: float
    call_s: float


def watch_timeouts(heartbeat_s: float) -> WatchTimeouts:
    """Derive the timeouts from the interval of the service's heartbeats.

    Whatever a silent watch misses counts as known three heartbeats after it fell silent, so both the silence and the
    calls that follow have to fit into these. A service that is slower for a while is called anew.
    """
    return WatchTimeouts(silence_s=_SILENCE_HEARTBEATS * heartbeat_s, call_s=_CALL_HEARTBEATS * heartbeat_s)


def reopens_at_once(established: bool, timed_out: bool) -> bool:
    """Tell whether a watch that ended is opened anew at once rather than after the scheduler's backoff.

    Only one that was established and fell silent: its events count as known soon, so there is no time for a pause.
    A pause would spare the service nothing, as each reopening costs a silence first.
    """
    return established and timed_out


def accepts_older_snapshot(older_in_a_row: int) -> bool:
    """Tell whether a snapshot older than the endpoint list held is to be taken.

    A response made before a known change must not bring back a draining node, but a service that lost its count must
    not be refused for ever.

    Parameters
    ----------
    older_in_a_row
        Older snapshots received one after the other, this one included.
    """
    return older_in_a_row >= _OLDER_SNAPSHOTS_BELIEVED
