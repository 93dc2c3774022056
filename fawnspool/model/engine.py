"""Simulated time: a heap of calls. The same pushes give the same order."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Engine:
    """`now` is the time of the call that is running, in seconds."""

    def __init__(self, start: float = 0.0) -> None:
        self.now, self.count, self.ran = start, 0, 0
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Run `call(*args)` at `when`, or now if that has passed."""
        self.count += 1
        heappush(self.heap, (when if when > self.now else self.now, self.count, call, args))

    def after(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Run `call(*args)` in `delay` seconds, not under 0."""
        self.count += 1
        heappush(self.heap, (self.now + delay, self.count, call, args))

    def run(self, until: float) -> None:
        """Until nothing is left, or what is left lies behind `until`."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heappop(heap)
            self.ran += 1
            call(*args)
        if not heap:
            return
        self.now = max(self.now, until)
