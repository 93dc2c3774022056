"""The event loop of simulated time: a heap of calls. The same calls to it give the same order of events."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Engine:
    """Runs calls at their times; calls of one time run in the order in which they were scheduled.

    Attributes
    ----------
    now : float
        The time of the call that is running, seconds.
    ran : int
        How many calls have run.
    """

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self.ran = 0
        self._scheduled = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, time: float, call: Callable[..., None], *arguments: Any) -> None:
        """Run `call(*arguments)` at a time, or now if that has passed."""
        self._scheduled += 1
        heappush(self._heap, (time if time > self.now else self.now, self._scheduled, call, arguments))

    def after(self, delay_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Run `call(*arguments)` in some seconds, not under 0."""
        self._scheduled += 1
        heappush(self._heap, (self.now + delay_s, self._scheduled, call, arguments))

    def run(self, until: float) -> None:
        """Run what is due up to a time, which is then `now` if anything is left for later."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, arguments = heappop(heap)
            self.ran += 1
            call(*arguments)
        if heap:
            self.now = max(self.now, until)
