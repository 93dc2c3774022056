"""Requests that run one at a time, in the order of their arrival: those of one extent, in classes that ask for it."""

from __future__ import annotations

from collections import deque

from fawnspool.scheduling.pending_request import PendingRequest


class RequestOrder:
    """The turns by key, and pauses after an attempt that may still be running."""

    def __init__(self) -> None:
        self._turns = dict[int, deque[PendingRequest]]()
        self._paused_until = dict[int, float]()

    def add(self, pending: PendingRequest) -> None:
        """Give a request its turn, if it has a key."""
        if pending.order_key is not None:
            self._turns.setdefault(pending.order_key, deque()).append(pending)

    def remove(self, pending: PendingRequest) -> None:
        """Take a request out: nothing of it is in flight any more."""
        if pending.order_key is None:
            return
        turns = self._turns[pending.order_key]
        turns.remove(pending)
        if not turns:
            del self._turns[pending.order_key]

    def pause(self, pending: PendingRequest, until: float) -> None:
        """Start no other request of its key before a time."""
        if pending.order_key is not None:
            self._paused_until[pending.order_key] = until

    def is_its_turn(self, pending: PendingRequest, now: float) -> bool:
        """Return whether the request may go as far as its order is concerned; a retry doesn't wait for a pause."""
        if pending.order_key is None:
            return True
        if self._turns[pending.order_key][0] is not pending:
            return False
        return bool(pending.attempts) or self._paused_until.get(pending.order_key, 0.0) <= now

    def forget_pauses(self, now: float) -> None:
        """Drop the pauses that are over."""
        self._paused_until = {key: until for key, until in self._paused_until.items() if until > now}
