"""The event loop: the one greenlet that calls the decision module.

Other greenlets post events to one queue. The loop stamps each event with the monotonic clock, passes the events to the
module in order, and executes the resulting actions in order through a table of handlers; nothing else calls the
module. Timers are kept in a heap beside the queue. If the module raises, the actions that it had requested are still
executed, the owner of the loop is notified of the event, and the loop continues.
"""

from __future__ import annotations

import heapq
import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import gevent

from fawnspool.gateway.observability import Observability
from fawnspool.net.wakeup_event import WakeupEvent
from fawnspool.scheduling import interface

_MAX_EVENTS_PER_ITERATION = 64  # then due timers are handled, even if more events are queued
_MAX_TURN_S = 0.005  # so long events are handled before timers and other greenlets have their turn
_MIN_TIMERS_TO_COMPACT = 1024
_STOP_TIMEOUT_S = 1.0
_MAX_LOGGED_ACTION_CHARS = 200

EventFactory = Callable[[], interface.Event | None]
"""Creates an event when the loop reaches it in the queue; None: the event is obsolete."""

ActionHandlers = Mapping[type[Any], Callable[[Any], None]]


class DecisionModule(Protocol):
    """Makes the scheduling decisions: the scheduler, or a baseline to compare it with."""

    def handle(self, now: float, event: interface.Event, /) -> list[interface.Action]:
        """Handle an event at the monotonic time `now`, in seconds; return the actions to execute."""


class EventLoop:
    """Passes events and due timers to `module`, and executes its actions.

    Parameters
    ----------
    action_handlers
        The function that executes each type of action.
    on_module_error
        Called with the event on which the module raised, after its actions have been executed.
    observability
        The outputs of the gateway; the loop closes the recorder.

    Attributes
    ----------
    is_timer_needed
        Returns whether the module still needs the timer of a token; timers it does not need may be dropped.
    """

    def __init__(
        self,
        module: DecisionModule,
        action_handlers: ActionHandlers,
        on_module_error: Callable[[interface.Event], None],
        observability: Observability,
    ) -> None:
        self.module = module
        self.action_handlers = action_handlers
        self.on_module_error = on_module_error
        self.metrics = observability.metrics
        self.log = observability.log
        self.recorder = observability.recorder
        self.inbox: deque[interface.Event | EventFactory] = deque()
        self.timers: list[tuple[float, int, int]] = []  # due time, sequence number, token
        self.timers_set = 0
        self.is_timer_needed: Callable[[int], bool] = lambda token: True
        self._compact_timers_from = _MIN_TIMERS_TO_COMPACT
        self.wake = WakeupEvent()
        self.asleep = False
        self.stopping = False
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet that owns the module."""
        self.greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """End the greenlet and the recording."""
        self.stopping = True
        self.wake.set()
        if self.greenlet is not None:
            self.greenlet.join(timeout=_STOP_TIMEOUT_S)
        if self.recorder is not None:
            self.recorder.close()

    def post(self, event: interface.Event | EventFactory) -> None:
        """Queue an event, or a factory that creates the event when the loop reaches it."""
        self.inbox.append(event)
        if self.asleep:
            self.asleep = False
            self.wake.set()

    def wait_until_handled(self) -> None:
        """Wait until all events posted so far are handled, so that a source of events doesn't outpace the loop."""
        handled = WakeupEvent()
        self.post(handled.set)
        handled.wait(None)

    def set_timer(self, delay_s: float, token: int) -> None:
        """Pass `Timer(token)` to the module after `delay_s` seconds."""
        self.timers_set += 1
        self._compact_timers()
        heapq.heappush(self.timers, (time.monotonic() + max(0.0, delay_s), self.timers_set, token))

    def _compact_timers(self) -> None:
        """Drop the timers of requests that have ended once they are most of all timers."""
        if len(self.timers) < self._compact_timers_from:
            return
        self.timers = [timer for timer in self.timers if self.is_timer_needed(timer[2])]
        heapq.heapify(self.timers)
        self._compact_timers_from = max(_MIN_TIMERS_TO_COMPACT, 2 * len(self.timers))

    def run(self) -> None:
        """Handle events and timers until `stop`."""
        while not self.stopping:
            self._handle_queued()
            self._handle_due_timers()
            if self.inbox:
                gevent.sleep(0)  # lets other greenlets serve their sockets between two iterations
                continue
            if self.recorder is not None:
                self._flush_recording()
            if self.stopping:
                return
            self._sleep()

    def _handle_queued(self) -> None:
        handled = 0
        ends_at = time.monotonic() + _MAX_TURN_S
        while self.inbox and handled < _MAX_EVENTS_PER_ITERATION:
            queued = self.inbox.popleft()
            handled += 1
            event = self._make_event(queued) if callable(queued) else queued
            if event is not None:
                self._handle(event)
            if time.monotonic() >= ends_at:
                return

    def _handle_due_timers(self) -> None:
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            due, _, token = heapq.heappop(self.timers)
            self.metrics.note_lag(now - due)
            self._handle(interface.Timer(token))

    def _sleep(self) -> None:
        """Wait until an event is posted or the earliest timer is due."""
        self.wake.clear()
        self.asleep = True
        self.wake.wait(self.timers[0][0] if self.timers else None)
        self.asleep = False

    def _make_event(self, factory: EventFactory) -> interface.Event | None:
        try:
            return factory()
        except Exception:  # no error in a factory may end the loop
            self.log.error("event_factory_failed", exc_info=True)
            return None

    def _flush_recording(self) -> None:
        """Flush the recording; if that fails, recording stops, without an effect on requests."""
        assert self.recorder is not None
        self.recorder.flush()
        if self.recorder.stopped:
            self.log.error(
                "recording_stopped",
                reason=self.recorder.stopped,
                remedy="free disk space or set `record` to a file on a faster disk, then restart",
            )
            self.metrics.recordings_stopped += 1
            self.recorder.close()
            self.recorder = None

    def _handle(self, event: interface.Event) -> None:
        now = time.monotonic()
        started = time.perf_counter()
        error = ""
        requested_before = getattr(self.module, "actions", None)
        actions: list[interface.Action]
        try:
            actions = self.module.handle(now, event)
        except Exception as raised:
            actions = self._requested_so_far(requested_before)
            error = f"{type(raised).__name__}: {raised}"
            self.metrics.module_errors += 1
            self.log.error(
                "module_raised", event_type=type(event).__name__, id=getattr(event, "id", None), exc_info=True
            )
        self.metrics.module_seconds += time.perf_counter() - started
        self.metrics.module_events += 1
        if self.recorder is not None:
            self.recorder.note(now, event, actions, error)
        for action in actions:
            self._perform(action)
        if error:
            self.on_module_error(event)

    def _requested_so_far(self, requested_before: Any) -> list[interface.Action]:
        """Return the actions that the module requested before it raised; none if it had begun no new list."""
        requested = getattr(self.module, "actions", None)
        if requested is None or requested is requested_before:
            return []
        return list(requested)

    def _perform(self, action: interface.Action) -> None:
        try:
            self.action_handlers[type(action)](action)
        except Exception:  # no error in an action may end the loop
            self.log.error("action_failed", action=repr(action)[:_MAX_LOGGED_ACTION_CHARS], exc_info=True)
