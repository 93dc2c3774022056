"""Which datagrams of another gateway count: each once, and only those of its current incarnation.

A gateway numbers its incarnations by its wall clock, so that a higher one is a later one; but a clock may be set back.
An incarnation that does not follow the current one (a lower one, or one heard before) is therefore accepted too, once
the current one has been silent for `TAKEOVER_SILENCE_S`; otherwise such a gateway would never be heard again.

Two faults are accepted for this. A datagram that is later than that, of an incarnation that had ended, may be heard
once where its gateway has been silent for so long. Two processes that bear one gateway's number are heard in turns.
"""

from __future__ import annotations

from collections import OrderedDict

TAKEOVER_SILENCE_S = 3.0  # datagrams come late by as much without harm
MAX_INCARNATIONS = 4  # of one sender, whose sequence numbers are remembered
_WINDOW = 1024  # sequence numbers below the highest one that are remembered


class _ReplayWindow:
    """Sequence numbers of one incarnation seen lately; older ones than the window count as seen."""

    __slots__ = ("highest", "seen_bits")

    def __init__(self) -> None:
        self.highest = -1
        self.seen_bits = 0

    def accept(self, sequence: int) -> bool:
        """Note a sequence number; False where it was seen before."""
        if sequence > self.highest:
            # A step beyond the window leaves nothing of the old bits, so they need not be shifted so far.
            shift = min(sequence - self.highest, _WINDOW)
            self.seen_bits = ((self.seen_bits << shift) | 1) & ((1 << _WINDOW) - 1)
            self.highest = sequence
            return True
        age = self.highest - sequence
        if age >= _WINDOW or self.seen_bits >> age & 1:
            return False
        self.seen_bits |= 1 << age
        return True


class IncarnationFilter:
    """Accepts the datagrams of one sender that are to be heard."""

    def __init__(self) -> None:
        self._current: int | None = None
        self._windows: OrderedDict[int, _ReplayWindow] = OrderedDict()
        self._last_accepted = float("-inf")

    def accept(self, incarnation: int, sequence: int, now: float) -> bool:
        """Tell whether a datagram is to be heard.

        Parameters
        ----------
        incarnation
            Number of the sender's incarnation.
        sequence
            Number of the datagram in its incarnation.
        now
            Monotonic time, seconds.

        Returns
        -------
        bool
            True where it is of the current incarnation, or of one that takes its place, and did not come before.
        """
        if incarnation != self._current:
            if not self._may_take_over(incarnation, now):
                return False
            self._current = incarnation
            self._windows.setdefault(incarnation, _ReplayWindow())
            while len(self._windows) > MAX_INCARNATIONS:
                self._windows.popitem(last=False)
        if not self._windows[incarnation].accept(sequence):
            return False
        self._last_accepted = now
        return True

    def _may_take_over(self, incarnation: int, now: float) -> bool:
        if self._current is None:
            return True
        if incarnation > self._current and incarnation not in self._windows:
            return True
        return now - self._last_accepted >= TAKEOVER_SILENCE_S
