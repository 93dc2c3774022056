"""Which datagrams of another head count: each once, and only of the life that is heard now. No I/O, no clock.

A head numbers its lives by its wall clock, so a higher one is a later one; but a clock may be set back. So a life
that does not follow the one that is heard (a lower one, or one heard before) is taken too, once nothing has come of
the present one for a while. Guards against a head that is never heard again. Harm: a datagram that is late by more
than `QUIET` and of a life that had ended may be heard, once, where the head has been silent for so long; and a head
that two processes bear the number of is heard now as the one, now as the other.
"""

from __future__ import annotations

from collections import OrderedDict

QUIET = 3.0  # seconds: datagrams come late by as much without harm
LIVES = 4  # of one sender, whose numbers are remembered
_WINDOW = 1024


class _Numbers:
    """Numbers of one life seen lately; older than the window counts as seen."""

    __slots__ = ("bits", "top")

    def __init__(self) -> None:
        self.top, self.bits = -1, 0

    def first(self, number: int) -> bool:
        if number > self.top:
            # More than the window at once leaves nothing of the old bits, so they need not be shifted so far.
            self.bits = ((self.bits << min(number - self.top, _WINDOW)) | 1) & ((1 << _WINDOW) - 1)
            self.top = number
            return True
        back = self.top - number
        if back >= _WINDOW or self.bits >> back & 1:
            return False
        self.bits |= 1 << back
        return True


class Seen:
    """Of one sender."""

    def __init__(self) -> None:
        self.life: int | None = None
        self.lives: OrderedDict[int, _Numbers] = OrderedDict()
        self.heard = float("-inf")

    def first(self, life: int, number: int, now: float) -> bool:
        """Is it to be heard: of the present life, or of one that takes its place, and not come before?"""
        if life != self.life:
            follows = self.life is None or (life > self.life and life not in self.lives)
            if not follows and now - self.heard < QUIET:
                return False
            self.life = life
            self.lives.setdefault(life, _Numbers())
            while len(self.lives) > LIVES:
                self.lives.popitem(last=False)
        if not self.lives[life].first(number):
            return False
        self.heard = now
        return True
