"""The schedule of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass

KILL_MARGIN_S = 0.3  # all requests are answered this long before the process may be killed
LAST_RESPONSES_S = 0.2  # time that the last requests have for their responses


@dataclass(frozen=True)
class ShutdownSchedule:
    """Times of a graceful shutdown in seconds on the caller's clock, in ascending order except for the first.

    Attributes
    ----------
    unused_from
        From this time on the process may end as soon as no connection is open.
    refuse_at
        New connections are refused from this time on, and each response ends its connection.
    close_idle_at
        Connections without a request are closed.
    answered_by
        Every request has its response by this time.
    exit_by
        The process has ended by this time.
    """

    unused_from: float
    refuse_at: float
    close_idle_at: float
    answered_by: float
    exit_by: float


def shutdown_schedule(signalled_at: float, new_connections_s: float, killed_after_s: float) -> ShutdownSchedule:
    """Plan the shutdown so that the process serves as long as possible, as no other process replaces it before it ends.

    New connections are refused before idle ones are closed; otherwise the clients of the closed ones would reconnect
    until the end. If the machine stalls for longer than `KILL_MARGIN_S`, requests may be left unanswered.

    Parameters
    ----------
    signalled_at
        Time of the signal, in seconds.
    new_connections_s
        How long after the signal new connections may still arrive.
    killed_after_s
        How long after the signal the process may be killed at the earliest.
    """
    killed_at = signalled_at + killed_after_s
    answered_by = max(signalled_at, killed_at - KILL_MARGIN_S)
    return ShutdownSchedule(
        unused_from=signalled_at + 2 * new_connections_s,
        refuse_at=max(signalled_at, answered_by - LAST_RESPONSES_S),
        close_idle_at=max(signalled_at, answered_by - LAST_RESPONSES_S / 2),
        answered_by=answered_by,
        exit_by=max(signalled_at, killed_at - KILL_MARGIN_S / 2),
    )
