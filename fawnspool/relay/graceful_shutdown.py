"""The graceful shutdown of a gateway, which drops no request that the gateway has read."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import gevent

from fawnspool.connections.shutdown import shutdown_schedule
from fawnspool.relay.request_handler import RequestHandler
from fawnspool.telemetry.logs import EventLogger

# From the platform's document PROTOCOL, section Figures: after SIGTERM, clients open new connections for at most 0.4 s,
# and use their open connections until these are closed. SIGKILL follows SIGTERM after the longest deadline of the
# request classes (counted as at most 3 s) plus 0.7 s.
NEW_CONNECTIONS_S = 0.4
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
_POLL_INTERVAL_S = 0.02


class GracefulShutdown:
    """Shuts down one gateway, once.

    The gateway continues to serve clients until shortly before the platform kills it, as no other gateway has the
    state that their volumes need. Then it refuses new connections, closes idle connections and answers the open
    requests. The shutdown ends when no connection is open. It can't end as soon as no request is open, because a
    connection that was just accepted may carry a request that is not read yet.

    Parameters
    ----------
    longest_deadline_s
        Longest deadline of all request classes.
    """

    def __init__(self, handler: RequestHandler, longest_deadline_s: float, log: EventLogger) -> None:
        self.handler = handler
        self.server = handler.server
        self.kill_after_s = KILL_MARGIN_S + min(MAX_COUNTED_DEADLINE_S, longest_deadline_s)
        self.log = log

    @property
    def has_begun(self) -> bool:
        """Whether `run` has been called."""
        return self.handler.last_answer_by < math.inf

    def run(self) -> None:
        """Shut down; return when all requests are answered or the time for it is over."""
        began_at = time.monotonic()
        server = self.server
        schedule = shutdown_schedule(began_at, NEW_CONNECTIONS_S, self.kill_after_s)
        self.handler.last_answer_by = schedule.answered_by
        server.options.crowded_from = None  # new connections are refused soon, so every kept connection is needed
        self._log_step("ending")
        _wait_until(schedule.refuse_at, lambda: time.monotonic() >= schedule.unused_from and not server.connections)
        server.draining = True
        self._log_step("new_connections_refused")
        server.stop_accepting(schedule.close_idle_at)
        _wait_until(schedule.close_idle_at, lambda: not server.connections)
        self._log_step("idle_connections_closed")
        server.drain(schedule.answered_by)
        _wait_until(schedule.answered_by, lambda: not server.connections)
        self.handler.fail_open_requests()
        server.end_reading()
        _wait_until(schedule.exit_by, lambda: not server.connections)
        self._log_step("ended", after_s=round(time.monotonic() - began_at, 2))

    def _log_step(self, step: str, **fields: Any) -> None:
        server = self.server
        self.log.info(
            step,
            in_hand=len(self.handler.open),
            connections=len(server.connections),
            states=server.states(),
            accepted=server.accepted,
            **fields,
        )


def _wait_until(deadline: float, done: Callable[[], bool]) -> None:
    while time.monotonic() < deadline and not done():
        gevent.sleep(_POLL_INTERVAL_S)
