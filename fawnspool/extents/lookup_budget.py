"""A gateway's part of the calls that the map service can serve: a token bucket. No I/O, no clock."""

from __future__ import annotations


class LookupBudget:
    """Token bucket that holds at most one second's calls, and at least one call.

    Parameters
    ----------
    service_calls_per_s
        Calls a second that the map service can serve from the whole fleet.
    gateway_count
        Gateways in the fleet; each has an equal part.
    """

    def __init__(self, service_calls_per_s: float, gateway_count: int) -> None:
        self.calls_per_s = service_calls_per_s / max(1, gateway_count)
        self.tokens = self._capacity
        self._refilled_at: float | None = None

    @property
    def _capacity(self) -> float:
        return max(1.0, self.calls_per_s)

    def take(self, now: float) -> bool:
        """Take one call from the budget; False if none is left.

        Parameters
        ----------
        now
            Monotonic time, seconds.
        """
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self.calls_per_s
            self.tokens = min(self._capacity, self.tokens + refill)
        self._refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
