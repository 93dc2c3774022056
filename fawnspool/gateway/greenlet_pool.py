"""Greenlets that run attempts and are reused for the next: starting one costs a tenth of a request's time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from fawnspool.net.wakeup_event import WakeupEvent


class GreenletPool:
    """Runs calls, each at once and in a greenlet of its own.

    Parameters
    ----------
    max_idle
        How many greenlets without a call wait for the next one.
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
        """End the idle greenlets now, and those at work with their calls."""
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
    """The call that a greenlet runs next, and what wakes it for that."""

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
        """The assigned call, which is then forgotten so that its arguments can be freed."""
        assert self.call is not None
        assigned = self.call, self.args
        self.call = None
        self.args = ()
        return assigned
