"""The work queue of a stand-in node: `fawnspool.model.node` on the clock of this process."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import Enum

import gevent
from gevent.event import AsyncResult, Event

from fawnspool.model.node import NodeBehaviour, Work
from fawnspool.net.node_headers import AttemptHeader

_CLIENT_CHECK_S = 0.02
_MAX_STEP_S = 0.05  # faults may change what is due


class WorkResult(Enum):
    """How an attempt's work ended, by its name in recordings."""

    DONE = "done"
    OVERLOADED = "full"
    EXPIRED = "dropped"  # its time was up before it began
    ABANDONED = "left"  # the sender hung up


class WorkQueue:
    """Makes each attempt wait for as long as the node's behaviour says.

    Parameters
    ----------
    behaviour
        Of the node; without a unit time everything is instant.
    on_collapse
        Called when the node collapses under the rule for cold nodes.
    """

    def __init__(self, behaviour: NodeBehaviour, on_collapse: Callable[[], None]) -> None:
        self._behaviour = behaviour
        self._on_collapse = on_collapse
        self._is_instant = not behaviour.traits.unit_time
        self._waiters: dict[int, AsyncResult[WorkResult]] = {}
        self._last_ident = 0
        self._changed = Event()

    def start(self) -> list[gevent.Greenlet]:
        """Begin to work. Returns the greenlets that the caller ends."""
        return [] if self._is_instant else [gevent.spawn(self._run)]

    def pause(self, seconds: float) -> None:
        """Let the node stand still."""
        self._behaviour.pause(time.monotonic(), seconds)
        self._changed.set()

    def execute(self, header: AttemptHeader, writes: bool, client_left: Callable[[], bool]) -> WorkResult:
        """Wait until an attempt's work is done or is not to be done."""
        if self._is_instant:
            return WorkResult.DONE
        now = time.monotonic()
        self._last_ident += 1
        ident = self._last_ident
        work = Work(ident, header.units, writes, header.extent, header.attempt == 0, now + header.time_left_s)
        waiter = AsyncResult()
        self._waiters[ident] = waiter
        accepted = self._behaviour.arrive(now, work)
        self._changed.set()  # also where it is rejected: other work may have ended until now
        if self._behaviour.fallen:
            self._on_collapse()
        if not accepted:
            self._waiters.pop(ident, None)
            return WorkResult.OVERLOADED
        return self._wait(ident, waiter, client_left)

    def _wait(self, ident: int, waiter: AsyncResult[WorkResult], client_left: Callable[[], bool]) -> WorkResult:
        while True:
            try:
                result: WorkResult = waiter.get(timeout=_CLIENT_CHECK_S)
            except gevent.Timeout:
                if client_left() and self._behaviour.cancel(time.monotonic(), ident):
                    self._waiters.pop(ident, None)
                    self._changed.set()
                    return WorkResult.ABANDONED
            else:
                return result

    def _run(self) -> None:
        """End works when the behaviour says so."""
        while True:
            now = time.monotonic()
            self._end(self._behaviour.step(now), WorkResult.DONE)
            self._end(self._behaviour.expired(now), WorkResult.EXPIRED)
            self._changed.clear()
            due = min(self._behaviour.due(), now + _MAX_STEP_S)
            if due > now:
                self._changed.wait(due - now)

    def _end(self, ended: list[Work], result: WorkResult) -> None:
        for work in ended:
            waiter = self._waiters.pop(work.ident, None)
            if waiter is not None:
                waiter.set(result)
