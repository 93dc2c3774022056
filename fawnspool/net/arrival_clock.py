"""When bytes reached this host, on the monotonic clock.

The kernel stamps what arrives by the wall clock, which may be set by any amount at any moment. So the offset between
the two clocks is observed now and then and with every stamp, and a stamp counts only as far as it can be true.
"""

from __future__ import annotations

OFFSET_TOLERANCE_S = 0.01  # an offset that changes by more between two observations was set, and not only slewed
_TRUSTED_PAST_S = 60.0  # before the first observation


class ArrivalClock:
    """Turns stamps of the wall clock into monotonic times, seconds.

    The caller reads both clocks together and calls `observe` often (each twentieth of a second): between two
    observations nobody can tell when the wall clock was set.
    """

    def __init__(self, wall: float, now: float) -> None:
        self._offset = wall - now
        self._former_offset = self._offset  # before the wall clock was last set
        self._observed_at = now
        self._set_after = now - _TRUSTED_PAST_S  # last observation before the wall clock was set
        self._set_before = now  # first observation after it

    def observe(self, wall: float, now: float) -> None:
        """Note how the clocks stand to each other."""
        offset = wall - now
        if abs(offset - self._offset) > OFFSET_TOLERANCE_S:
            self._former_offset = self._offset
            self._set_after = self._observed_at
            self._set_before = now
        self._offset = offset
        self._observed_at = now

    def arrival(self, stamp: float, wall: float, now: float) -> float:
        """Return the monotonic time at which bytes came.

        Where the wall clock was set meanwhile, the stamp may be of the old time. The result is never later than `now`
        and hardly earlier than the last observation before that.

        Parameters
        ----------
        stamp
            The kernel's stamp, by the wall clock.
        wall, now
            Both clocks as read just after the bytes.
        """
        self.observe(wall, now)
        came = stamp - self._offset
        if self._set_after <= came <= now:
            return came
        former = stamp - self._former_offset
        if self._set_after <= former <= self._set_before:
            return former
        if came < self._set_after:
            return self._set_after
        return now
