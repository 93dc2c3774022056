"""A limit on the number of greenlets that start their work in one iteration of the event loop."""

from __future__ import annotations

from collections import deque

from gevent.hub import get_hub

from fawnspool.net.wakeup_event import WakeupEvent


class AdmissionThrottle:
    """Admits at most `max_per_iteration` greenlets per iteration of the loop; the others wait in order of arrival.

    Without the throttle, a thousand requests that arrive together would all start before the loop returns to the
    requests in progress, and each request would take as long as all thousand together. A client whose requests were
    sent one behind the other starts one per iteration, so that all clients have their turn before its next request.

    Attributes
    ----------
    iteration
        Number of the loop's present iteration.
    """

    def __init__(self, max_per_iteration: int) -> None:
        self.max_per_iteration = max_per_iteration
        self.iteration = 0
        self._passed = 0  # greenlets admitted in this iteration of the loop
        self._waiting: deque[WakeupEvent] = deque()
        loop = get_hub().loop
        self._iteration_watcher = loop.check()
        self._iteration_watcher.start(self._begin_iteration)
        self._keep_awake = loop.timer(0.0)  # keeps the loop iterating while greenlets wait

    def enter(self, deadline: float | None = None, last_iteration: int | None = None) -> int:
        """Wait until the calling greenlet is admitted, or until the deadline.

        Parameters
        ----------
        deadline
            Monotonic seconds; None: no deadline.
        last_iteration
            The iteration in which the same client's last request was admitted.

        Returns
        -------
        int
            The iteration in which it was admitted.
        """
        if self._passed < self.max_per_iteration and not self._waiting and last_iteration != self.iteration:
            self._passed += 1
            return self.iteration
        permit = WakeupEvent()
        self._waiting.append(permit)
        if len(self._waiting) == 1:
            self._keep_awake.start(_do_nothing)
        if not permit.wait(deadline):
            self._waiting.remove(permit)
        return self.iteration

    def close(self) -> None:
        """Admit all waiting greenlets and stop the loop watchers."""
        self._iteration_watcher.stop()
        self._iteration_watcher.close()
        self._keep_awake.stop()
        self._keep_awake.close()
        while self._waiting:
            self._waiting.popleft().set()

    def _begin_iteration(self) -> None:
        self.iteration += 1
        self._passed = 0
        while self._waiting and self._passed < self.max_per_iteration:
            self._passed += 1
            self._waiting.popleft().set()
        if self._waiting:
            self._keep_awake.stop()
            self._keep_awake.start(_do_nothing)


def _do_nothing() -> None:
    return
