"""When a pool whose kept connections all rest opens one more."""

from __future__ import annotations

import math

RECURRENCE_WINDOW_S = 1.0  # a single wait may be two requests that met by chance


class SpareDemand:
    """Notes the requests that waited for a resting connection."""

    def __init__(self) -> None:
        self._last_wait_at = -math.inf

    def record_wait(self, now: float) -> bool:
        """Note that a request has to wait; tell whether a spare connection is to be opened for those that follow.

        Parameters
        ----------
        now
            Monotonic seconds.
        """
        recurs = now - self._last_wait_at <= RECURRENCE_WINDOW_S
        self._last_wait_at = now
        return recurs
