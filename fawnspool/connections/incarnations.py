"""Filtering of datagrams from another gateway: each is accepted once, and only from the current incarnation.

A gateway numbers its incarnations by its wall clock, so a later incarnation has a higher number unless the clock was
set back. So an incarnation that does not follow the current one (a lower number, or one seen before) is accepted too
once the current one has been silent for `TAKEOVER_SILENCE_S`; otherwise datagrams of such a gateway would be dropped
forever.

This has two known faults. If a gateway has been silent for that long, a delayed datagram of an ended incarnation may
be accepted once. Two processes with the same gateway number are accepted alternately.
"""

from __future__ import annotations

from collections import OrderedDict

TAKEOVER_SILENCE_S = 3.0  # a datagram that is this late does no harm
MAX_INCARNATIONS = 4  # incarnations of one sender whose sequence numbers are remembered
_WINDOW = 1024  # sequence numbers below the highest one that are remembered


class _ReplayWindow:
    """The recent sequence numbers of one incarnation; numbers below the window count as seen."""

    __slots__ = ("highest", "seen_bits")

    def __init__(self) -> None:
        self.highest = -1
        self.seen_bits = 0

    def accept(self, sequence: int) -> bool:
        """Record a sequence number, and return False if it was seen before."""
        if sequence > self.highest:
            # A step beyond the window discards all old bits, so a shift by the window's size is enough.
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
    """Decides which datagrams of one sender are accepted."""

    def __init__(self) -> None:
        self._current: int | None = None
        self._windows: OrderedDict[int, _ReplayWindow] = OrderedDict()
        self._last_accepted = float("-inf")

    def accept(self, incarnation: int, sequence: int, now: float) -> bool:
        """Return whether a datagram is accepted.

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
            True if the datagram is of the current incarnation, or of one that replaces it, and was not seen before.
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
