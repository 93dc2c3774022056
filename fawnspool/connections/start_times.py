"""Conversion of the start times in the endpoint list, which are wall-clock times, to the monotonic clock.

The wall clock of this host or of all hosts may be set at any moment. If a start is taken to be earlier than it was, a
cold node may be overloaded; if it is taken to be later, requests are only held back for a while. So the latest result
that is not in the future is used, and it is kept as long as the list reports the same start.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_OFFSETS = 4
OFFSET_TOLERANCE_S = 0.05  # offsets that differ by less count as one, as clocks are slewed
LONG_AGO = 0.0  # monotonic start of a node for which the list reports no start


@dataclass(frozen=True, slots=True)
class _StartTime:
    wall: float  # start as the list reports it
    monotonic: float  # start that is used


class StartTimes:
    """The starts of all listed nodes; times are in seconds, and the caller reads the clocks."""

    def __init__(self) -> None:
        self._offsets: list[float] = []  # observed differences of wall clock and monotonic clock, newest last
        self._known: dict[str, _StartTime] = {}  # by node

    def observe_clocks(self, wall: float, now: float) -> None:
        """Record the offset between the wall clock and the monotonic clock."""
        offset = wall - now
        others = [other for other in self._offsets if abs(other - offset) > OFFSET_TOLERANCE_S]
        self._offsets = [*others[1 - MAX_OFFSETS :], offset]

    def started_at(self, node: str, wall: float, now: float) -> float:
        """Return the monotonic time at which a node started; `observe_clocks` must be called before.

        Parameters
        ----------
        node
            The node's name.
        wall
            The node's start as the list reports it, on the wall clock; 0 or less: `LONG_AGO`.
        now
            Monotonic time.
        """
        if wall <= 0:
            return LONG_AGO
        known = self._known.get(node)
        if known is not None and known.wall == wall:
            return known.monotonic
        readings = [wall - offset for offset in self._offsets]
        latest = max((reading for reading in readings if reading <= now), default=now)
        start = _StartTime(wall, max(0.0, latest))
        self._known[node] = start
        return start.monotonic

    def forget(self, node: str) -> None:
        """Drop a node that has left the list."""
        self._known.pop(node, None)

    def retain(self, nodes: set[str]) -> None:
        """Drop all nodes except these."""
        for node in self._known.keys() - nodes:
            del self._known[node]
