"""A hashed timer wheel: the deadlines of all waits of one thread.

Each of gevent's own waits creates a timer and a waiter object, which took a fifth of a gateway's time per request
(docs/measurements.md). Here a wait is one entry in a wheel with ticks of `TICK_S` seconds: a wait may end up to one
tick late, and never early.
"""

from __future__ import annotations

import time
from heapq import heappop, heappush
from typing import Any, Protocol

from gevent.hub import get_hub

TICK_S = 0.002
_MIN_HEAP_TO_COMPACT = 64  # ticks; a smaller heap is not worth compacting
_STALE_FACTOR = 4  # a heap is compacted when it has more than this many entries per tick with waits


class TimedWait(Protocol):
    """A wait that ends at its deadline at the latest."""

    def expire(self) -> None:
        """End the wait because its deadline has passed. Called from the event loop's own greenlet."""


class TimerWheel:
    """Waits grouped by the tick of their deadline, with one timer set for the earliest tick.

    Most waits end before their deadline, so adding and removing a wait must be cheap: each tick has an unordered set of
    waits, and only the ticks are kept in order, in a heap.
    """

    def __init__(self) -> None:
        self.heap: list[int] = []  # ticks with waits (some of them twice) and ticks whose waits were all removed
        self.hub = get_hub()
        self._waits: dict[int, set[TimedWait]] = {}  # by tick
        self._timer_tick: int | None = None  # tick that the timer is set for
        self._timer: Any = None

    def add(self, deadline: float, wait: TimedWait) -> int:
        """Add a wait until `deadline` (monotonic seconds).

        Returns
        -------
        int
            The wait's tick, which `remove` needs.
        """
        tick = int(deadline / TICK_S) + 1
        waits = self._waits.get(tick)
        if waits is not None:
            waits.add(wait)
            return tick
        self._waits[tick] = {wait}
        heappush(self.heap, tick)
        if self._timer_tick is None or tick < self._timer_tick:
            self._set_timer(tick)
        return tick

    def remove(self, tick: int, wait: TimedWait) -> None:
        """Remove a wait, whether or not it has expired."""
        waits = self._waits.get(tick)
        if waits is None:
            return
        waits.discard(wait)
        if not waits:
            del self._waits[tick]
            self._compact()

    def _compact(self) -> None:
        """Remove the ticks without waits from the heap once they are most of it."""
        if len(self.heap) > _MIN_HEAP_TO_COMPACT and len(self.heap) > _STALE_FACTOR * len(self._waits):
            self.heap = sorted(self._waits)

    def _set_timer(self, tick: int) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
        self._timer_tick = tick
        self._timer = self.hub.loop.timer(max(0.0, tick * TICK_S - time.monotonic()))
        self._timer.start(self._expire_due)

    def _expire_due(self) -> None:
        now = int(time.monotonic() / TICK_S)
        self._timer_tick = None
        while self.heap and (self.heap[0] <= now or not self._waits.get(self.heap[0])):
            for wait in self._waits.pop(heappop(self.heap), ()):
                wait.expire()
        if self.heap and (self._timer_tick is None or self.heap[0] < self._timer_tick):
            self._set_timer(self.heap[0])


_wheels: dict[int, TimerWheel] = {}  # by the identity of their hub


def current_wheel() -> TimerWheel:
    """Return the timer wheel of this thread's hub."""
    hub = get_hub()
    wheel = _wheels.get(id(hub))
    if wheel is None or wheel.hub is not hub:
        wheel = _wheels[id(hub)] = TimerWheel()
    return wheel
