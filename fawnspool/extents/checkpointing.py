"""When a gateway writes its extent map to disk: a record appended to a log, or the full map.

Each received change is appended to a log, and the full map is written now and then, so that a start reads little. After
a failed write the disk is left alone for a while, so that a full or slow disk does not hold up requests; a gateway that
is killed meanwhile takes longer to catch up.
"""

from __future__ import annotations

from enum import Enum

MIN_LOG_CAPACITY = 10_000  # records in the log before a full map is written, however small the map is
COMPLETE_MARK_INTERVAL_S = 5.0  # between two marks that the map is complete
RETRY_DELAY_S = 10.0  # after a write failed


class CheckpointAction(Enum):
    """What to write."""

    APPEND = "append"
    FULL_MAP = "full map"
    SKIP = "skip"


class CheckpointPolicy:
    """Chooses what to write for each change of the map. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._log_length = 0
        self._retry_at = 0.0
        self._marked_at = 0.0
        self._full_map_due = True  # before anything more is appended to the log

    def write_failed(self, now: float) -> None:
        """Note that a write failed: nothing is written for a while, and then the full map."""
        self._full_map_due = True
        self._retry_at = now + RETRY_DELAY_S

    def discard_checkpoint(self) -> None:
        """Note that what is on disk belongs to another map."""
        self._full_map_due = True

    def complete_mark_due(self, now: float) -> bool:
        """Is it time to mark on disk that the map is complete? A mark counts as written when this returns True."""
        if now - self._marked_at < COMPLETE_MARK_INTERVAL_S:
            return False
        self._marked_at = now
        return True

    def next_action(self, now: float, record_count: int, extent_count: int) -> CheckpointAction:
        """Return what to write for a change.

        Parameters
        ----------
        now
            Monotonic time, seconds.
        record_count
            Records in the change.
        extent_count
            Extents in the map after it.
        """
        self._log_length += record_count
        if now < self._retry_at:
            return CheckpointAction.SKIP
        if self._full_map_due or self._log_length > max(MIN_LOG_CAPACITY, extent_count):
            self._full_map_due = False
            self._log_length = 0
            return CheckpointAction.FULL_MAP
        return CheckpointAction.APPEND
