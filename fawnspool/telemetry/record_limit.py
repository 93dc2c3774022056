"""How many records of one event are logged in a span of time, so that no peer can fill the log. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict

SPAN_S = 1.0
MAX_RECORDS_IN_SPAN = 20
MAX_EVENTS = 256  # events whose records are counted; event names are fixed, but for texts of the decision module


class _EventCount:
    __slots__ = ("began_at", "dropped", "logged")

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.logged = 0
        self.dropped = 0


class RecordLimit:
    """Counts the records of each event in spans of `SPAN_S`."""

    def __init__(self) -> None:
        self._counts: OrderedDict[str, _EventCount] = OrderedDict()

    def dropped_before(self, event: str, now: float) -> int | None:
        """Count a record, and return how many of its event were dropped since the last one that was logged.

        Parameters
        ----------
        event
            The event's name.
        now
            Monotonic time, seconds.

        Returns
        -------
        int or None
            None if the record is to be dropped.
        """
        count = self._count_of(event, now)
        if now - count.began_at >= SPAN_S:
            count.began_at = now
            count.logged = 0
        if count.logged >= MAX_RECORDS_IN_SPAN:
            count.dropped += 1
            return None
        count.logged += 1
        dropped, count.dropped = count.dropped, 0
        return dropped

    def _count_of(self, event: str, now: float) -> _EventCount:
        count = self._counts.get(event)
        if count is None:
            while len(self._counts) >= MAX_EVENTS:
                self._counts.popitem(last=False)
            count = self._counts[event] = _EventCount(now)
        self._counts.move_to_end(event)
        return count
