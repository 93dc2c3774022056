"""Lets greenlets wait for bytes of a memory account, and ends those that the account sheds."""

from __future__ import annotations

import time
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

from fawnspool.connections.memory_account import MemoryAccount
from fawnspool.net.wakeup_event import WakeupEvent

MAX_WAIT_S = 0.5  # then the holder is refused, so that its client may try again in time

Holder = TypeVar("Holder", bound=Hashable)


class MemoryShortError(Exception):
    """There is no memory for a message, and none has come within the time to wait for it."""


class _Wait:
    """A greenlet's wait for bytes."""

    __slots__ = ("ended", "is_granted")

    def __init__(self) -> None:
        self.ended = WakeupEvent()
        self.is_granted = False


class MemoryGate(Generic[Holder]):
    """The waits for one account.

    Parameters
    ----------
    shed
        Ends a holder, which then releases what it holds.

    Attributes
    ----------
    refused, shed_count
        Number of holders that got nothing in time, and of those that were ended for others.
    """

    def __init__(self, account: MemoryAccount[Holder], shed: Callable[[Holder], None]) -> None:
        self.account = account
        self.refused = 0
        self.shed_count = 0
        self._shed = shed
        self._waits: dict[Holder, _Wait] = {}

    def hold(self, holder: Holder, size: int, deadline: float) -> None:
        """Let a holder hold `size` bytes in all; wait for them at most until the deadline.

        Parameters
        ----------
        holder
            A new holder, or one that wants more.
        size
            What it holds already included.
        deadline
            Monotonic seconds.

        Raises
        ------
        MemoryShortError
            There are too few.
        """
        now = time.monotonic()
        if self.account.held.get(holder, 0) >= size or self.account.hold(holder, size, now):
            return
        self.account.wait(holder, size)
        wait = self._waits[holder] = _Wait()
        self.check()
        try:
            wait.ended.wait(min(deadline, now + MAX_WAIT_S))
            if not wait.is_granted:
                self.refused += 1
                raise MemoryShortError
        finally:
            del self._waits[holder]
            self.account.stop_waiting(holder)

    def try_hold(self, holder: Holder, size: int) -> bool:
        """Let a holder hold `size` bytes in all if that needs no wait."""
        return self.account.hold(holder, size, time.monotonic())

    def shrink(self, holder: Holder, size: int) -> None:
        """Note that a holder holds only `size` bytes."""
        self.account.shrink(holder, size)
        self._grant()

    def begin_next(self, holder: Holder, size: int) -> None:
        """Note that a holder's message has ended, and that the next one has begun with `size` bytes in all."""
        self.account.begin_next(holder, size, time.monotonic())
        self._grant()

    def complete(self, holder: Holder) -> None:
        """Note that a holder's message has been read completely."""
        self.account.complete(holder)

    def release(self, holder: Holder) -> None:
        """Give back what a holder holds."""
        self.account.release(holder)
        self._grant()

    def check(self) -> None:
        """End holders so that those that wait get their bytes; must be called often."""
        if not self.account.has_waiters:
            return
        self._grant()
        for holder in self.account.to_shed(time.monotonic()):
            self._end(holder)

    def shed_oldest(self) -> bool:
        """End the incomplete holder that began first, for its descriptor; return False if there is none."""
        holder = self.account.oldest_incomplete(time.monotonic())
        if holder is None:
            return False
        self._end(holder)
        return True

    def _end(self, holder: Holder) -> None:
        self.account.complete(holder)  # so that it is ended only once
        self.shed_count += 1
        self._shed(holder)
        wait = self._waits.get(holder)
        if wait is not None:
            self.account.stop_waiting(holder)
            wait.ended.set()

    def _grant(self) -> None:
        if not self.account.has_waiters:
            return
        for holder in self.account.grant(time.monotonic()):
            wait = self._waits.get(holder)
            if wait is not None:
                wait.is_granted = True
                wait.ended.set()
