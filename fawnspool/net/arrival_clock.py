"""Converts the kernel's receive timestamps to the monotonic clock.

The kernel stamps received bytes by the wall clock, which may be set by any amount at any moment. So the offset between
the two clocks is observed periodically and with every timestamp. A timestamp is not used if it converts to an
impossible time, such as one in the future (see `ArrivalClock.arrival`).
"""

from __future__ import annotations

OFFSET_TOLERANCE_S = 0.01  # a larger change between two observations means that the wall clock was set, not slewed
_TRUSTED_PAST_S = 60.0  # timestamps up to this long before the first observation are accepted


class ArrivalClock:
    """Converts wall-clock timestamps to monotonic times, in seconds.

    The caller reads both clocks together and calls `observe` often (every 50 ms): the moment at which the wall clock
    was set is known only to lie between two observations.
    """

    def __init__(self, wall: float, now: float) -> None:
        self._offset = wall - now
        self._former_offset = self._offset  # before the wall clock was last set
        self._observed_at = now
        self._set_after = now - _TRUSTED_PAST_S  # last observation before the wall clock was set
        self._set_before = now  # first observation after the wall clock was set

    def observe(self, wall: float, now: float) -> None:
        """Record the offset between the two clocks."""
        offset = wall - now
        if abs(offset - self._offset) > OFFSET_TOLERANCE_S:
            self._former_offset = self._offset
            self._set_after = self._observed_at
            self._set_before = now
        self._offset = offset
        self._observed_at = now

    def arrival(self, stamp: float, wall: float, now: float) -> float:
        """Return the monotonic time at which bytes arrived.

        If the wall clock was set after the bytes arrived, their timestamp is converted with the previous offset. The
        result is never later than `now`, and never earlier than the last observation before the clock was set.

        Parameters
        ----------
        stamp
            The kernel's timestamp, by the wall clock.
        wall, now
            Both clocks, read just after the bytes.
        """
        self.observe(wall, now)
        arrived_at = stamp - self._offset
        if self._set_after <= arrived_at <= now:
            return arrived_at
        by_former_offset = stamp - self._former_offset
        if self._set_after <= by_former_offset <= self._set_before:
            return by_former_offset
        if arrived_at < self._set_after:
            return self._set_after
        return now
