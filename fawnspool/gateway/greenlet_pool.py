"""A pool of greenlets that run attempts: starting a greenlet for each would cost a tenth of a request's time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from fawnspool.net.wakeup_event import WakeupEvent


class GreenletPool:
    """Runs each call at once, in a greenlet of its own.

    Parameters
    ----------
    max_idle
        Maximum number of idle greenlets that are kept for later calls.
    """

    def __init__(self, max_idle: int) -> None:
        self.max_idle = max_idle
        self.idle: list[_PooledGreenlet] = []
        self.stopped = False

    def submit(self, call: Callable[..., None], *args: Any) -> None:
        """Run `call`, which must not raise."""
        if self.idle:
            greenlet = self.idle.pop()
            greenlet.assign(call, args)
            return
        greenlet = _PooledGreenlet()
        greenlet.assign(call, args)
        gevent.spawn(self._run, greenlet)

    def stop(self) -> None:
        """End the idle greenlets now, and each busy greenlet when its call returns."""
        self.stopped = True
        while self.idle:
            self.idle.pop().wake.set()

    def _run(self, greenlet: _PooledGreenlet) -> None:
        while greenlet.call is not None:
            call, args = greenlet.take()
            call(*args)
            del call, args
            if self.stopped or len(self.idle) >= self.max_idle:
                return
            greenlet.wake.clear()
            self.idle.append(greenlet)
            greenlet.wake.wait(None)


class _PooledGreenlet:
    """The next call of a pooled greenlet, and the event that wakes the greenlet to run it."""

    __slots__ = ("args", "call", "wake")

    def __init__(self) -> None:
        self.wake = WakeupEvent()
        self.call: Callable[..., None] | None = None
        self.args: tuple[Any, ...] = ()

    def assign(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.call = call
        self.args = args
        self.wake.set()

    def take(self) -> tuple[Callable[..., None], tuple[Any, ...]]:
        """Return the assigned call, and drop the references to it so that its arguments can be freed."""
        assert self.call is not None
        assigned = self.call, self.args
        self.call = None
        self.args = ()
        return assigned
