"""When a pool whose kept connections all rest opens one more."""

from __future__ import annotations

from collections import deque

WAITS_TO_RECUR = 8  # within the window: fewer are requests that met by chance, and a new connection costs its node work
RECURRENCE_WINDOW_S = 1.0


class SpareDemand:
    """Notes the requests that waited for a resting connection."""

    def __init__(self) -> None:
        self._waits: deque[float] = deque(maxlen=WAITS_TO_RECUR)

    def record_wait(self, now: float) -> bool:
        """Note that a request has to wait; tell whether a spare connection is to be opened for those that follow.

        Parameters
        ----------
        now
            Monotonic seconds.
        """
        self._waits.append(now)
        return len(self._waits) == WAITS_TO_RECUR and now - self._waits[0] <= RECURRENCE_WINDOW_S
