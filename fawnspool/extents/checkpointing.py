"""When the head writes its map to disk, and what. No I/O, no clock.

A row for each thing told, and the whole map now and then, so that a start reads little. Guards requests against a disk
that is full or slow: after a failure it is let alone for a while. Harm: a kill meanwhile costs a longer catching up.
"""

from __future__ import annotations

from enum import Enum

LOG_LEAST = 10_000  # facts in the log before a whole map is written, however small that is
TIME_EVERY_S = 5.0  # between two notes that the map is whole
RETRY_S = 10.0  # after the disk took nothing


class Write(Enum):
    ROW = "row"
    WHOLE = "whole"
    NOTHING = "nothing"


class Keep:
    def __init__(self) -> None:
        self.logged, self.rest, self.timed = 0, 0.0, 0.0
        self.due = True  # a whole map must be written before any more of the log

    def failed(self, now: float) -> None:
        self.due, self.rest = True, now + RETRY_S

    def anew(self) -> None:
        """What is on disk is of another map."""
        self.due = True

    def time_due(self, now: float) -> bool:
        """Is it time to note that the map is whole?"""
        if now - self.timed < TIME_EVERY_S:
            return False
        self.timed = now
        return True

    def what(self, now: float, count: int, extents: int) -> Write:
        """`count` facts were told, and the map has so many extents now."""
        self.logged += count
        if now < self.rest:
            return Write.NOTHING
        if self.due or self.logged > max(LOG_LEAST, extents):
            self.due, self.logged = False, 0
            return Write.WHOLE
        return Write.ROW
