"""Order of requests: in ordered classes, those of one extent run one at a time in the order of their arrival."""

from __future__ import annotations

from collections import deque

from fawnspool.scheduling.pending_request import PendingRequest


class RequestOrder:
    """The waiting requests by order key, and the keys paused after an attempt that may still be running."""

    def __init__(self) -> None:
        self._queues = dict[int, deque[PendingRequest]]()
        self._paused_until = dict[int, float]()

    def add(self, pending: PendingRequest) -> None:
        """Add a request behind the others of its key, if it has one."""
        if pending.order_key is not None:
            self._queues.setdefault(pending.order_key, deque()).append(pending)

    def remove(self, pending: PendingRequest) -> None:
        """Remove a request that has no attempt in flight any more."""
        if pending.order_key is None:
            return
        queue = self._queues[pending.order_key]
        queue.remove(pending)
        if not queue:
            del self._queues[pending.order_key]

    def pause(self, pending: PendingRequest, until: float) -> None:
        """Let no other request with this request's order key start before the given time."""
        if pending.order_key is not None:
            self._paused_until[pending.order_key] = until

    def is_its_turn(self, pending: PendingRequest, now: float) -> bool:
        """Return whether the order lets the request be sent; a retry does not wait for a pause to end."""
        if pending.order_key is None:
            return True
        if self._queues[pending.order_key][0] is not pending:
            return False
        return bool(pending.attempts) or self._paused_until.get(pending.order_key, 0.0) <= now

    def forget_pauses(self, now: float) -> None:
        """Drop the pauses that have ended."""
        self._paused_until = {key: until for key, until in self._paused_until.items() if until > now}
