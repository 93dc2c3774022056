"""The one greenlet that owns the decision module.

Others hand it events through one queue (`tell`); it stamps them with the monotonic clock, passes them on in
order and carries out the actions through one table, in order. Nothing else touches the module. Timers are a heap
beside the queue. If the module raises, what it had asked for until then is carried out, the request at hand is
failed, the error is logged and counted, and the loop goes on.
"""

from __future__ import annotations

import heapq
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import gevent

from fawnspool.net.wakeup_event import WakeupEvent
from fawnspool.scheduling import interface
from fawnspool.telemetry.sums import Sums

if TYPE_CHECKING:  # only a head that records needs the recorder and its libraries
    from fawnspool.records.decision_recording import Recorder

Stamp = Callable[[], float]


class Loop:
    """Drives `module` (anything with `handle(now, event) -> actions`)."""

    def __init__(
        self,
        module: Any,
        table: dict[type, Callable[[Any], None]],
        metrics: Sums,
        log: Any,
        on_error: Callable[[Any], None],
        recorder: Recorder | None = None,
    ) -> None:
        self.module, self.table, self.metrics, self.log = module, table, metrics, log
        self.on_error, self.recorder = on_error, recorder
        self.inbox: deque[Any] = deque()
        self.timers: list[tuple[float, int, int]] = []
        self.set = 0
        self.flag = WakeupEvent()
        self.asleep = False
        self.stopping = False
        self.greenlet: Any = None

    def start(self) -> None:
        self.greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        self.stopping = True
        self.flag.set()
        if self.greenlet is not None:
            self.greenlet.join(timeout=1.0)
        if self.recorder is not None:
            self.recorder.close()

    def tell(self, event: Any) -> None:
        """Hand over an event, or a callable that makes one (or None) when its turn comes."""
        self.inbox.append(event)
        if self.asleep:
            self.asleep = False
            self.flag.set()

    def set_timer(self, delay: float, token: int) -> None:
        self.set += 1
        heapq.heappush(self.timers, (time.monotonic() + max(0.0, delay), self.set, token))

    def run(self) -> None:
        while not self.stopping:
            handled = 0
            while self.inbox and handled < 64:  # then look at the timers, however full the queue is
                event = self.inbox.popleft()
                handled += 1
                if callable(event):
                    event = self._made(event)
                if event is not None:
                    self._handle(event)
            now = time.monotonic()
            while self.timers and self.timers[0][0] <= now:
                due, _, token = heapq.heappop(self.timers)
                self.metrics.lag_last = now - due
                self.metrics.lag.add(now - due)
                self._handle(interface.Timer(token))
            if self.inbox:
                gevent.sleep(0)  # let sockets move between two rounds
                continue
            if self.recorder is not None:
                self._record()
            if self.stopping:
                return
            self.flag.clear()
            self.asleep = True
            self.flag.wait(self.timers[0][0] if self.timers else None)
            self.asleep = False

    def _made(self, make: Callable[[], Any]) -> Any:
        """The event that is made in its turn, or None. The loop must outlive whatever making it meets."""
        try:
            return make()
        except Exception:
            self.log.error("an event could not be made", exc_info=True)
            return None

    def _record(self) -> None:
        """Write on; a recording that can't be written costs the recording, never a request."""
        assert self.recorder is not None
        self.recorder.flush()
        if self.recorder.stopped:
            self.log.error(
                "recording stopped: make room or set a faster place under `record`, then restart",
                why=self.recorder.stopped,
            )
            self.metrics.recordings_stopped += 1
            self.recorder.close()
            self.recorder = None

    def _handle(self, event: Any) -> None:
        now, began, error = time.monotonic(), time.perf_counter(), ""
        before = getattr(self.module, "actions", None)
        try:
            actions = self.module.handle(now, event)
        except Exception as bad:
            asked = getattr(self.module, "actions", None)  # of this event, if it came so far as to begin a new list
            actions = list(asked) if asked is not None and asked is not before else []
            error = f"{type(bad).__name__}: {bad}"
            self.metrics.module_errors += 1
            self.log.error("module raised", told=type(event).__name__, id=getattr(event, "id", None), exc_info=True)
        self.metrics.module_seconds += time.perf_counter() - began
        self.metrics.module_events += 1
        if self.recorder is not None:
            self.recorder.note(now, event, actions, error)
        for action in actions:
            try:
                self.table[type(action)](action)
            except Exception:  # the loop must outlive whatever one action meets
                self.log.error("an action failed", action=repr(action)[:200], exc_info=True)
        if error:
            self.on_error(event)
