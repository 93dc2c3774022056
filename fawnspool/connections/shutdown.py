"""The schedule of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass

KILL_MARGIN_S = 0.3  # all requests are answered so long before the process may be killed
LAST_RESPONSES_S = 0.2  # the last requests have so long for their responses


@dataclass(frozen=True)
class ShutdownSchedule:
    """Instants of a graceful shutdown, seconds on the caller's clock, in this order but for the first.

    Attributes
    ----------
    unused_from
        From now on the process may end as soon as no connection is open.
    refuse_at
        No new connection is taken any more, and a response ends its connection.
    close_idle_at
        Connections without a request are closed.
    answered_by
        Every request has its response.
    exit_by
        The process has ended.
    """

    unused_from: float
    refuse_at: float
    close_idle_at: float
    answered_by: float
    exit_by: float


def shutdown_schedule(signalled_at: float, new_connections_s: float, killed_after_s: float) -> ShutdownSchedule:
    """Plan the shutdown so that the process serves as long as it may: nobody takes its place before it ends.

    New connections are refused before idle ones are closed, as the clients of these would come back on new connections
    to the very end. A machine that stands still for longer than `KILL_MARGIN_S` may leave requests unanswered.

    Parameters
    ----------
    signalled_at
        When the signal came, seconds.
    new_connections_s
        How long after the signal new connections may still come.
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
