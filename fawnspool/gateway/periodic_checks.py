"""Periodic checks of a running gateway, among them the check for clients that disconnected before their answer."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Mapping

import gevent

from fawnspool.gateway.request_state import ClientRequest, RequestState
from fawnspool.telemetry.counters import GatewayCounters
from fawnspool.telemetry.logs import EventLogger

CHECK_INTERVAL_S = 0.05
_CLIENTS_PER_CHECK = 500

Check = Callable[[], None]


class PeriodicChecks:
    """Runs checks every `CHECK_INTERVAL_S` in a greenlet of its own; a check that raises is logged and stays scheduled.

    Parameters
    ----------
    checks
        Returns the checks of the next round, in order.
    """

    def __init__(self, checks: Callable[[], Iterable[Check]], metrics: GatewayCounters, log: EventLogger) -> None:
        self.checks = checks
        self.metrics = metrics
        self.log = log
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet."""
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the greenlet."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def _run(self) -> None:
        while True:
            due = time.monotonic() + CHECK_INTERVAL_S
            gevent.sleep(CHECK_INTERVAL_S)
            self.metrics.note_lag(max(0.0, time.monotonic() - due))
            for check in self.checks():
                self._run_check(check)

    def _run_check(self, check: Check) -> None:
        try:
            check()
        except Exception:  # if the checks ended, the gateway would no longer release its resources
            self.log.error("periodic_check_failed", check=check.__name__, exc_info=True)


class DisconnectDetector:
    """Finds clients that closed their connection before they got their answer.

    Each check examines a limited number of sockets, in turn: watching every socket would make each request more costly.

    Parameters
    ----------
    pending
        The open requests, by number.
    on_disconnect
        Called with each request whose client left.
    """

    def __init__(self, pending: Mapping[int, ClientRequest], on_disconnect: Callable[[ClientRequest], None]) -> None:
        self.pending = pending
        self.on_disconnect = on_disconnect
        self._to_check: list[int] = []

    def check(self) -> None:
        """Check the next clients."""
        if not self.pending:
            return
        if not self._to_check:
            self._to_check = list(self.pending)
        now = time.monotonic()
        for request_id in [self._to_check.pop() for _ in range(min(_CLIENTS_PER_CHECK, len(self._to_check)))]:
            pending = self.pending.get(request_id)
            if pending is not None and _client_left(pending, now):
                self.on_disconnect(pending)


def _client_left(pending: ClientRequest, now: float) -> bool:
    """Return whether the client left; False, unchecked, while its request is new, being read or being answered."""
    if now - pending.arrived_at <= CHECK_INTERVAL_S or pending.state is not RequestState.OPEN:
        return False
    return bool(pending.exchange.request_read and pending.exchange.client_has_disconnected())
