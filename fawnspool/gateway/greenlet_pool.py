"""Greenlets that carry out attempts, kept for the next one: making a greenlet costs a tenth of a request's time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from fawnspool.net.wakeup_event import WakeupEvent


class Workers:
    """Runs calls, each in a greenlet of its own, at once; at most `idle_most` idle ones are kept."""

    def __init__(self, idle_most: int) -> None:
        self.idle_most, self.idle = idle_most, list[_Worker]()

    def run(self, call: Callable[..., None], *args: Any) -> None:
        """`call` must not raise."""
        if self.idle:
            worker = self.idle.pop()
            worker.job = (call, args)
            worker.wakeup.set()
        else:
            worker = _Worker()
            worker.job = (call, args)
            gevent.spawn(self._work, worker)

    def _work(self, worker: _Worker) -> None:
        while worker.job is not None:
            call, args = worker.job
            worker.job = None
            call(*args)
            del call, args
            if len(self.idle) >= self.idle_most:
                return
            worker.wakeup.clear()
            self.idle.append(worker)
            worker.wakeup.wait(None)


class _Worker:
    __slots__ = ("job", "wakeup")

    def __init__(self) -> None:
        self.wakeup = WakeupEvent()
        self.job: tuple[Callable[..., None], tuple[Any, ...]] | None = None
