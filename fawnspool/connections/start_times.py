"""When a listed node started, on the monotonic clock; the endpoint list names the wall clock's time.

The wall clock of this host or of all hosts may be set at any moment. A start taken for older than it is lets a cold
node be overloaded; one taken for younger only holds requests back for a while. So the youngest reading that is not in
the future counts, and it stands as long as the list names the same start.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_OFFSETS = 4
OFFSET_TOLERANCE_S = 0.05  # offsets that differ by less are one: clocks are slewed
LONG_AGO = 0.0  # monotonic start of a node of which the list names none


@dataclass(frozen=True, slots=True)
class _StartTime:
    wall: float  # as the list names it
    monotonic: float  # as it counts


class StartTimes:
    """The starts of all listed nodes. Times in seconds; the caller reads the clocks."""

    def __init__(self) -> None:
        self._offsets: list[float] = []  # wall clock less monotonic clock, as they stood, newest last
        self._known: dict[str, _StartTime] = {}  # by node

    def observe_clocks(self, wall: float, now: float) -> None:
        """Note how the wall clock and the monotonic clock stand to each other."""
        offset = wall - now
        others = [known for known in self._offsets if abs(known - offset) > OFFSET_TOLERANCE_S]
        self._offsets = [*others[1 - MAX_OFFSETS :], offset]

    def started_at(self, node: str, wall: float, now: float) -> float:
        """Return the monotonic time at which a node started. Call `observe_clocks` before.

        Parameters
        ----------
        node
            The node's name.
        wall
            Its start as the list names it, by the wall clock; 0 or less: `LONG_AGO`.
        now
            Monotonic time.
        """
        if wall <= 0:
            return LONG_AGO
        known = self._known.get(node)
        if known is not None and known.wall == wall:
            return known.monotonic
        readings = [wall - offset for offset in self._offsets]
        youngest = max((reading for reading in readings if reading <= now), default=now)
        start = _StartTime(wall, max(0.0, youngest))
        self._known[node] = start
        return start.monotonic

    def forget(self, node: str) -> None:
        """Drop a node that has left the list."""
        self._known.pop(node, None)

    def retain(self, nodes: set[str]) -> None:
        """Drop all other nodes."""
        for node in self._known.keys() - nodes:
            del self._known[node]
