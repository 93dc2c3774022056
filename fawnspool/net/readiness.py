"""Waiting until a socket is readable or writable."""

from __future__ import annotations

from typing import Any

from gevent import getcurrent
from gevent.hub import get_hub

from fawnspool.net.exceptions import ConcurrentWaitError, DeadlineExceededError
from fawnspool.net.timer_wheel import current_wheel

READABLE = 1  # libev's EV_READ
WRITABLE = 2  # libev's EV_WRITE


class ReadinessWaiter:
    """Waits for one direction of a socket, by an event-loop watcher that is created once and reused."""

    __slots__ = ("_greenlet", "_timed_out", "_watcher")

    def __init__(self, descriptor: int, direction: int) -> None:
        self._watcher: Any = get_hub().loop.io(descriptor, direction)
        self._greenlet: Any = None
        self._timed_out = False

    def wait(self, deadline: float) -> None:
        """Wait until the socket is ready, or until `close`.

        Parameters
        ----------
        deadline
            Monotonic seconds.

        Raises
        ------
        DeadlineExceededError
            The deadline passed first.
        ConcurrentWaitError
            Another greenlet is already waiting.
        """
        if self._greenlet is not None:
            raise ConcurrentWaitError
        hub = get_hub()
        wheel = current_wheel()
        self._greenlet = getcurrent()
        self._timed_out = False
        tick = wheel.add(deadline, self)
        self._watcher.start(self._wake)
        try:
            hub.switch()
        finally:
            self._watcher.stop()
            wheel.remove(tick, self)
            self._greenlet = None
        if self._timed_out:
            raise DeadlineExceededError

    def expire(self) -> None:
        """End the wait as if its deadline had passed. Must be called from the event loop's own greenlet."""
        if self._greenlet is not None:
            self._timed_out = True
            self._wake()

    def close(self) -> None:
        """Close the watcher; a waiting greenlet wakes in the loop's next iteration."""
        self._watcher.stop()
        if self._greenlet is not None and self._greenlet is not getcurrent():
            get_hub().loop.run_callback(self._wake)
        self._watcher.close()

    def _wake(self) -> None:
        greenlet = self._greenlet
        self._greenlet = None
        if greenlet is not None:
            greenlet.switch()
