"""The decision to open a spare connection in a pool whose kept connections are all cooling down."""

from __future__ import annotations

from collections import deque

WAITS_TO_RECUR = 8  # waits within the window; fewer may be chance, and a new connection costs its node work
RECURRENCE_WINDOW_S = 1.0


class SpareDemand:
    """Records the requests that waited for a connection to cool down."""

    def __init__(self) -> None:
        self._waits: deque[float] = deque(maxlen=WAITS_TO_RECUR)

    def record_wait(self, now: float) -> bool:
        """Record that a request has to wait, and return whether to open a spare connection for later requests.

        Parameters
        ----------
        now
            Monotonic time, seconds.
        """
        self._waits.append(now)
        return len(self._waits) == WAITS_TO_RECUR and now - self._waits[0] <= RECURRENCE_WINDOW_S
