"""An account of the bytes that requests or answers hold together, and the rule of who gets them while they are short.

A holder takes bytes before it reads them and gives them back when it has ended. While there are too few:

- a holder that stays small also draws on a reserve, which large ones can't use;
- the others wait in the order in which they asked, the small ones ahead of the large ones;
- while small ones wait, large ones are shed that wait while they hold something;
- then the incomplete holder that began first is shed, once it has had `MIN_PROGRESS_S`: others finish sooner.

The account does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

MIN_PROGRESS_S = 0.1  # an incomplete message is not shed earlier; sound peers write theirs at once
RESERVE_DIVISOR = 3  # of the account's bytes, only small holders use this part

Holder = TypeVar("Holder", bound=Hashable)


class MemoryAccount(Generic[Holder]):
    """The bytes of one share of the memory.

    Attributes
    ----------
    total_bytes
        Bytes of the share; may be changed.
    small_bytes
        A holder with at most so many bytes is small.
    used_bytes, peak_bytes
        Bytes held now, and the most that were held.
    held
        Bytes by holder.
    incomplete
        When each holder began whose message has not been read completely; the oldest first.
    """

    def __init__(self, total_bytes: int, small_bytes: int) -> None:
        self.total_bytes = total_bytes
        self.small_bytes = small_bytes
        self.used_bytes = 0
        self.peak_bytes = 0
        self.held: dict[Holder, int] = {}
        self.incomplete: OrderedDict[Holder, float] = OrderedDict()
        self._waiting_small: OrderedDict[Holder, int] = OrderedDict()
        self._waiting_large: OrderedDict[Holder, int] = OrderedDict()

    # ------------------------------------------------------------ holding

    def hold(self, holder: Holder, size: int, now: float) -> bool:
        """Let a holder hold `size` bytes in all, if there are enough and nobody like it waits.

        Parameters
        ----------
        holder
            A new holder, or one that wants more.
        size
            What it holds already included.
        now
            Monotonic time, seconds.
        """
        if self._queue_of(size) or not self._fits(holder, size):
            return False
        self._take(holder, size, now)
        return True

    def shrink(self, holder: Holder, size: int) -> None:
        """Note that a holder holds only `size` bytes."""
        held = self.held.get(holder, 0)
        if size < held:
            self.held[holder] = size
            self.used_bytes -= held - size

    def begin_next(self, holder: Holder, size: int, now: float) -> None:
        """Note that a holder's message has ended, and that the next one has begun; `size` as in `shrink`."""
        self.shrink(holder, size)
        self.incomplete[holder] = now
        self.incomplete.move_to_end(holder)

    def complete(self, holder: Holder) -> None:
        """Note that a holder's message has been read completely; it is not shed any more."""
        self.incomplete.pop(holder, None)

    def release(self, holder: Holder) -> None:
        """Give back what a holder holds, and forget what it waits for."""
        self.used_bytes -= self.held.pop(holder, 0)
        self.incomplete.pop(holder, None)
        self.stop_waiting(holder)

    def _fits(self, holder: Holder, size: int) -> bool:
        others = self.used_bytes - self.held.get(holder, 0)
        available = self.total_bytes
        if size > self.small_bytes:
            available -= self.total_bytes // RESERVE_DIVISOR
        return others + size <= available or not others

    def _take(self, holder: Holder, size: int, now: float) -> None:
        held = self.held.get(holder)
        if held is None:
            self.incomplete[holder] = now
            held = 0
        if size > held:
            self.held[holder] = size
            self.used_bytes += size - held
            self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    # ------------------------------------------------------------ waiting

    @property
    def has_waiters(self) -> bool:
        """Whether any holder waits for bytes."""
        return bool(self._waiting_small or self._waiting_large)

    def wait(self, holder: Holder, size: int) -> None:
        """Queue a holder until it may hold `size` bytes in all."""
        self._queue_of(size)[holder] = size

    def stop_waiting(self, holder: Holder) -> None:
        """Take a holder out of the queues."""
        self._waiting_small.pop(holder, None)
        self._waiting_large.pop(holder, None)

    def grant(self, now: float) -> list[Holder]:
        """Return the waiting holders that now hold what they asked for, in order."""
        granted = list[Holder]()
        for queue in (self._waiting_small, self._waiting_large):
            while queue:
                holder, size = next(iter(queue.items()))
                if not self._fits(holder, size):
                    break
                del queue[holder]
                self._take(holder, size, now)
                granted.append(holder)
        return granted

    def _queue_of(self, size: int) -> OrderedDict[Holder, int]:
        return self._waiting_small if size <= self.small_bytes else self._waiting_large

    # ------------------------------------------------------------ shedding

    def to_shed(self, now: float) -> list[Holder]:
        """Return the incomplete holders to end, so that those that wait get their bytes."""
        wanted_small = sum(self._waiting_small.values())
        victims = list[Holder]()
        for holder in self._waiting_large:
            if wanted_small <= 0:
                break
            if holder in self.held:
                victims.append(holder)
                wanted_small -= self.held[holder]
        wanted = wanted_small + sum(self._waiting_large.values())
        for holder, began_at in self.incomplete.items():
            if wanted <= 0 or now - began_at < MIN_PROGRESS_S:
                break
            if holder not in self._waiting_large:
                victims.append(holder)
                wanted -= self.held.get(holder, 0)
        return victims

    def oldest_incomplete(self, now: float) -> Holder | None:
        """Return the incomplete holder that began first; None if there is none that may be shed."""
        for holder, began_at in self.incomplete.items():
            return holder if now - began_at >= MIN_PROGRESS_S else None
        return None
