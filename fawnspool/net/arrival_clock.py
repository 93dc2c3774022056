"""When bytes reached this host, on the monotonic clock.

The kernel stamps what arrives by the wall clock, which may be set by any amount at any moment. So the offset between
the two clocks is looked at now and then and with every stamp, and a stamp counts only as far as it can be true.
"""

from __future__ import annotations

STEP_S = 0.01  # an offset that changes by more between two looks was set, and not only slewed


class ArrivalClock:
    """Turns stamps of the wall clock into monotonic times, seconds. The caller reads the clocks, both together; `look`
    is called often (each twentieth of a second), as between two looks nobody can tell when the wall clock was set."""

    def __init__(self, wall: float, now: float) -> None:
        self._offset = self._former = wall - now
        self._looked = now
        self._earliest = now - 60.0  # what came before this instant was read before the clock was set
        self._noticed = now  # when it was seen that the clock had been set

    def look(self, wall: float, now: float) -> None:
        """How the clocks stand to each other."""
        offset = wall - now
        if abs(offset - self._offset) > STEP_S:
            self._former, self._earliest, self._noticed = self._offset, self._looked, now
        self._offset, self._looked = offset, now

    def arrival(self, stamp: float, wall: float, now: float) -> float:
        """When bytes stamped `stamp` came; the clocks as read just behind them. Where the clock was set meanwhile, the
        stamp may be of the old time: never later than `now`, and hardly earlier than the last look before that."""
        self.look(wall, now)
        came = stamp - self._offset
        if self._earliest <= came <= now:
            return came
        former = stamp - self._former
        if self._earliest <= former <= self._noticed:
            return former
        return self._earliest if came < self._earliest else now
