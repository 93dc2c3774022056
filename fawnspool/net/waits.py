"""What greenlets wait with: a wheel of deadlines, gates, a turnstile, and one socket direction's watcher.

gevent's own waits make a timer and a waiter object each, which cost a fifth of a head's time per request
(docs/measurements.md). Here a wait is one watcher on gevent's loop and one entry in a wheel of deadlines, which is
looked at every `STEP` seconds: a wait may end so much late, and never early.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from gevent import getcurrent
from gevent.hub import get_hub

from fawnspool.net.exceptions import DeadlineExceededError

STEP = 0.002


class TimerWheel:
    """Deadlines by tick, with one timer set for the earliest. Most waits end before their deadline, so adding and
    dropping are cheap and nothing is sorted but the ticks in use."""

    def __init__(self) -> None:
        self.ticks: dict[int, set[Any]] = {}
        self.order: list[int] = []  # a heap of ticks; some are gone by now, some stand twice
        self.set_for = 0  # tick that the timer is set for; 0: none
        self.hub = get_hub()
        self.timer: Any = None

    def add(self, deadline: float, wait: Any) -> int:
        tick = int(deadline / STEP) + 1
        found = self.ticks.get(tick)
        if found is not None:
            found.add(wait)
            return tick
        self.ticks[tick] = {wait}
        heappush(self.order, tick)
        if not self.set_for or tick < self.set_for:
            self._set(tick)
        return tick

    def drop(self, tick: int, wait: Any) -> None:
        found = self.ticks.get(tick)
        if found is not None:
            found.discard(wait)
            if not found:
                del self.ticks[tick]
                if len(self.order) > 64 and len(self.order) > 4 * len(self.ticks):
                    self.order = sorted(self.ticks)

    def _set(self, tick: int) -> None:
        if self.timer is not None:
            self.timer.stop()
            self.timer.close()
        self.set_for = tick
        self.timer = self.hub.loop.timer(max(0.0, tick * STEP - time.monotonic()))
        self.timer.start(self._turn)

    def _turn(self) -> None:
        now = int(time.monotonic() / STEP)
        self.set_for = 0
        while self.order and (self.order[0] <= now or not self.ticks.get(self.order[0])):
            for wait in self.ticks.pop(heappop(self.order), ()):
                wait.late()
        if self.order and (not self.set_for or self.order[0] < self.set_for):
            self._set(self.order[0])


_wheels: dict[int, TimerWheel] = {}


def wheel() -> TimerWheel:
    """The wheel of this thread's hub."""
    hub = get_hub()
    found = _wheels.get(id(hub))
    if found is None or found.hub is not hub:
        found = _wheels[id(hub)] = TimerWheel()
    return found


class Gate:
    """Opened once by anyone, awaited by one greenlet."""

    __slots__ = ("greenlet", "is_open")

    def __init__(self) -> None:
        self.is_open, self.greenlet = False, None

    def open(self) -> None:
        if not self.is_open:
            self.is_open = True
            if self.greenlet is not None:
                get_hub().loop.run_callback(self._wake)

    def late(self) -> None:
        self._wake()

    def _wake(self) -> None:
        greenlet, self.greenlet = self.greenlet, None
        if greenlet is not None:
            greenlet.switch()

    def wait(self, deadline: float | None) -> bool:
        """Until it is open, or the deadline (monotonic; None: none). Is it open?"""
        if self.is_open:
            return True
        self.greenlet = getcurrent()
        hub = get_hub()
        if deadline is None:
            try:
                hub.switch()
            finally:
                self.greenlet = None
            return self.is_open
        turn = wheel()
        tick = turn.add(deadline, self)
        try:
            hub.switch()
        finally:
            self.greenlet = None
            turn.drop(tick, self)
        return self.is_open

    def shut(self) -> None:
        """Closed again, for whoever waits in a loop."""
        self.is_open = False


class AdmissionThrottle:
    """Lets at most `most` greenlets pass in one turn of the loop; the others wait in order of arrival.

    Without it a thousand requests that arrive together are all begun before the loop comes back to what is already
    under way, and everything takes as long as the whole thousand."""

    def __init__(self, most: int) -> None:
        self.most, self.passed = most, 0
        self.waiting: deque[Gate] = deque()
        loop = get_hub().loop
        self.check = loop.check()
        self.check.start(self._turn)
        self.again = loop.timer(0.0)

    def enter(self, deadline: float | None = None) -> None:
        """Pass, or wait for a turn; past the deadline it passes in any case, as there is little left to do for it."""
        if self.passed < self.most and not self.waiting:
            self.passed += 1
            return
        gate = Gate()
        self.waiting.append(gate)
        if len(self.waiting) == 1:
            self.again.start(_nothing)
        if not gate.wait(deadline):
            self.waiting.remove(gate)

    def _turn(self) -> None:
        self.passed = 0
        while self.waiting and self.passed < self.most:
            self.passed += 1
            self.waiting.popleft().open()
        if self.waiting:
            self.again.stop()
            self.again.start(_nothing)  # the loop must not sleep while some wait

    def close(self) -> None:
        self.check.stop()
        self.check.close()
        self.again.stop()
        self.again.close()
        while self.waiting:
            self.waiting.popleft().open()


def _nothing() -> None:
    return


class Watch:
    """One direction's watcher, made once, and the greenlet that waits."""

    __slots__ = ("greenlet", "timed_out", "watcher")

    def __init__(self, fd: int, events: int) -> None:
        self.watcher = get_hub().loop.io(fd, events)
        self.greenlet: Any = None
        self.timed_out = False

    def wait(self, deadline: float) -> None:
        if self.greenlet is not None:
            raise RuntimeError("two greenlets wait for one direction of a socket")
        hub, turn = get_hub(), wheel()
        self.greenlet, self.timed_out = getcurrent(), False
        tick = turn.add(deadline, self)
        self.watcher.start(self._ready)
        try:
            hub.switch()
        finally:
            self.watcher.stop()
            turn.drop(tick, self)
            self.greenlet = None
        if self.timed_out:
            raise DeadlineExceededError

    def _ready(self) -> None:
        greenlet, self.greenlet = self.greenlet, None
        if greenlet is not None:
            greenlet.switch()

    def late(self) -> None:
        if self.greenlet is not None:
            self.timed_out = True
            self._ready()

    def end(self) -> None:
        self.watcher.stop()
        if self.greenlet is not None and self.greenlet is not getcurrent():
            get_hub().loop.run_callback(self._ready)
        close: Callable[[], None] = self.watcher.close
        close()
