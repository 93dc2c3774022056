"""A bound on the greenlets that may begin their work in one turn of the event loop."""

from __future__ import annotations

from collections import deque

from gevent.hub import get_hub

from fawnspool.net.wakeup_event import WakeupEvent


class AdmissionThrottle:
    """Lets at most `max_per_turn` greenlets pass in one turn of the loop; the others wait in order of arrival.

    Without it a thousand requests that arrive together are all begun before the loop comes back to what is already
    under way, and everything takes as long as the whole thousand.
    """

    def __init__(self, max_per_turn: int) -> None:
        self.max_per_turn = max_per_turn
        self._passed = 0  # in this turn
        self._waiting: deque[WakeupEvent] = deque()
        loop = get_hub().loop
        self._turn_watcher = loop.check()
        self._turn_watcher.start(self._begin_turn)
        self._keep_awake = loop.timer(0.0)  # the loop must not sleep while some wait

    def enter(self, deadline: float | None = None) -> None:
        """Pass, or wait for a turn. Past the deadline it passes in any case, as there is little left to do for it.

        Parameters
        ----------
        deadline
            Monotonic seconds; None: no limit.
        """
        if self._passed < self.max_per_turn and not self._waiting:
            self._passed += 1
            return
        turn = WakeupEvent()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            self._keep_awake.start(_do_nothing)
        if not turn.wait(deadline):
            self._waiting.remove(turn)

    def close(self) -> None:
        """Let all that wait pass and watch the loop no longer."""
        self._turn_watcher.stop()
        self._turn_watcher.close()
        self._keep_awake.stop()
        self._keep_awake.close()
        while self._waiting:
            self._waiting.popleft().set()

    def _begin_turn(self) -> None:
        self._passed = 0
        while self._waiting and self._passed < self.max_per_turn:
            self._passed += 1
            self._waiting.popleft().set()
        if self._waiting:
            self._keep_awake.stop()
            self._keep_awake.start(_do_nothing)


def _do_nothing() -> None:
    return
