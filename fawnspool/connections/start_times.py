"""When a listed node started, on the monotonic clock, from a list that names the wall clock's time. No I/O, no clock.

The wall clock of this host or of all may be set at any moment. A start that is taken for older than it is lets a cold
node be pushed over; one taken for younger only holds requests back for a while. So the youngest reading counts that
is not in the future, and it stands as long as the list names the same start.
"""

from __future__ import annotations

OFFSETS_MOST = 4
STEP_S = 0.05  # offsets that differ by less are one: clocks are slewed


class StartTimes:
    """The starts of all listed nodes. Times in seconds; the caller reads the clocks."""

    def __init__(self) -> None:
        self._offsets: list[float] = []  # wall clock less monotonic one, as it stood, newest last
        self._known: dict[str, tuple[float, float]] = {}  # by node: as the list names it, as it counts

    def look(self, wall: float, now: float) -> None:
        """How the clocks stand to each other."""
        offset = wall - now
        others = [known for known in self._offsets if abs(known - offset) > STEP_S]
        self._offsets = [*others[1 - OFFSETS_MOST :], offset]

    def started(self, node: str, named: float, now: float) -> float:
        """The monotonic time at which a node started that the list says started at `named` (wall clock; 0: long ago).
        `look` comes before."""
        if named <= 0:
            return 0.0
        known = self._known.get(node)
        if known is not None and known[0] == named:
            return known[1]
        readings = [named - offset for offset in self._offsets]
        counts = max(0.0, max((at for at in readings if at <= now), default=now))
        self._known[node] = (named, counts)
        return counts

    def forget(self, node: str) -> None:
        """It has left the list."""
        self._known.pop(node, None)

    def keep(self, nodes: set[str]) -> None:
        """Forget all other nodes."""
        for node in self._known.keys() - nodes:
            del self._known[node]
