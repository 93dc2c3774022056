"""How a gateway that was told to go ends: without dropping a request that it has read."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import gevent

from fawnspool.connections.shutdown import shutdown_schedule
from fawnspool.relay.request_handler import RequestHandler
from fawnspool.telemetry.logs import EventLogger

# PROTOCOL, Figures: after SIGTERM new connections come for 0.4 s at most, kept ones are used as long as they stay open,
# and SIGKILL comes after the longest deadline, counted as 3 s at most, and 0.7 s more.
NEW_CONNECTIONS_S = 0.4
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.7
_POLL_INTERVAL_S = 0.02


class GracefulShutdown:
    """Ends one gateway, once.

    It goes on serving the clients that still come, as nobody else has what their volumes need, until the time that
    the platform leaves is nearly over. Then it refuses new connections, closes the idle ones, and answers the requests
    in hand. It ends when no connection is open and not when no request is known: what a connection that has just been
    accepted brings is known a moment later.

    Parameters
    ----------
    longest_deadline_s
        Of all request classes.
    """

    def __init__(self, handler: RequestHandler, longest_deadline_s: float, log: EventLogger) -> None:
        self.handler = handler
        self.server = handler.server
        self.kill_after_s = KILL_MARGIN_S + min(MAX_COUNTED_DEADLINE_S, longest_deadline_s)
        self.log = log

    @property
    def has_begun(self) -> bool:
        """Whether `run` was called."""
        return self.handler.last_answer_by < math.inf

    def run(self) -> None:
        """Shut down; returns when all is answered, or when there is no time left for it."""
        began_at = time.monotonic()
        server = self.server
        schedule = shutdown_schedule(began_at, NEW_CONNECTIONS_S, self.kill_after_s)
        self.handler.last_answer_by = schedule.answered_by
        server.options.crowded_from = None  # new connections end soon: from now on every kept one is needed
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
