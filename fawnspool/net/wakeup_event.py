"""An event that one greenlet waits for, cheaper than gevent's."""

from __future__ import annotations

from typing import Any

from gevent import getcurrent
from gevent.hub import get_hub

from fawnspool.net.timer_wheel import current_wheel


class WakeupEvent:
    """Set by anyone, awaited by one greenlet. As with `threading.Event`, a wait on one that is set ends at once."""

    __slots__ = ("_waiter", "is_set")

    def __init__(self) -> None:
        self.is_set = False
        self._waiter: Any = None

    def set(self) -> None:
        """Set it; whoever waits wakes in the loop's next turn."""
        if self.is_set:
            return
        self.is_set = True
        if self._waiter is not None:
            get_hub().loop.run_callback(self._wake)

    def clear(self) -> None:
        """Make it unset again, for a greenlet that waits in a loop."""
        self.is_set = False

    def wait(self, deadline: float | None) -> bool:
        """Wait until it is set, or until the deadline.

        Parameters
        ----------
        deadline
            Monotonic seconds; None: no limit.

        Returns
        -------
        bool
            True where it is set.
        """
        if self.is_set:
            return True
        self._waiter = getcurrent()
        hub = get_hub()
        if deadline is None:
            try:
                hub.switch()
            finally:
                self._waiter = None
            return self.is_set
        wheel = current_wheel()
        tick = wheel.add(deadline, self)
        try:
            hub.switch()
        finally:
            self._waiter = None
            wheel.remove(tick, self)
        return self.is_set

    def expire(self) -> None:
        """The deadline has come. Called by the timer wheel."""
        self._wake()

    def _wake(self) -> None:
        waiter = self._waiter
        self._waiter = None
        if waiter is not None:
            waiter.switch()
