"""How the map service keeps the change log of a partition, and how it brings a gateway up to date.

Each incarnation of the service is an epoch, and versions count the changes of a partition within it. The service
remembers its last epochs and how far it knows each of them, and a log of changes that is truncated at its old end. A
gateway states the position that it has reached. It receives the changes since then, or a snapshot if the log does not
reach back that far or would be longer than the snapshot.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from fawnspool.extents.map import MAX_EPOCHS
from fawnspool.extents.records import LOG_START, LogPosition

MIN_LOG_CAPACITY = 1024  # changes that a log may hold however few extents its partition has


class CatchUpMethod(Enum):
    """How a gateway catches up."""

    CHANGES = "changes"
    SNAPSHOT = "snapshot"


class ChangeLogState(msgspec.Struct, frozen=True):
    """State of one partition's change log; stored in LMDB under the encoded names.

    Attributes
    ----------
    epochs
        The last version that is known of each epoch; the last entry is the current epoch.
    truncated_at
        The log holds the changes after this position.
    first_generation
        Generation of new extents. It is above that of any tombstone that was dropped: a gateway that still holds one
        must take the new extent for the later.
    change_count
        Changes in the log.
    extent_count
        Extents that exist.
    """

    epochs: tuple[LogPosition, ...] = msgspec.field(name="lives", default=())
    truncated_at: LogPosition = msgspec.field(name="cut", default=LOG_START)
    first_generation: int = msgspec.field(name="born", default=0)
    change_count: int = msgspec.field(name="logged", default=0)
    extent_count: int = msgspec.field(name="extents", default=0)

    @property
    def position(self) -> LogPosition:
        """Position of the last change."""
        return self.epochs[-1]

    @property
    def covered_epochs(self) -> tuple[LogPosition, ...]:
        """What a snapshot of now knows of earlier epochs."""
        return self.epochs[:-1]

    def with_new_epoch(self, clock_ms: int) -> ChangeLogState:
        """Return the state at the start of another incarnation of the service.

        The epoch is the wall clock's time, so that a service started from an old backup does not reuse an epoch that
        the backup never knew. If the clock is behind, it is one above the last known epoch. A clock set back together
        with a backup could still give one number twice.

        Parameters
        ----------
        clock_ms
            Wall clock, milliseconds since 1970.
        """
        last = self.epochs[-1].epoch if self.epochs else 0
        changed = tuple(
            position for position in self.epochs if position.version
        )  # an epoch without changes says nothing
        current = LogPosition(max(last + 1, clock_ms), 0)
        return msgspec.structs.replace(self, epochs=(*changed, current)[-MAX_EPOCHS:])

    def with_change(self) -> ChangeLogState:
        """Return the state after one more change."""
        epoch, version = self.position
        epochs = (*self.epochs[:-1], LogPosition(epoch, version + 1))
        return msgspec.structs.replace(self, epochs=epochs, change_count=self.change_count + 1)

    def reaches_back_to(self, position: LogPosition) -> bool:
        """Does the log hold all changes after a position, and does the service know that epoch so far?"""
        if position < self.truncated_at:
            return False
        if position == LOG_START or position.version == 0:
            return True
        return any(position.epoch == epoch and position.version <= version for epoch, version in self.epochs)

    def catch_up_method(self, position: LogPosition, pending_changes: int) -> CatchUpMethod:
        """Return the smaller of both; a gateway that has nothing gets no tombstones.

        Parameters
        ----------
        position
            Position that the gateway has reached.
        pending_changes
            Changes in the log after that position.
        """
        if self.reaches_back_to(position) and pending_changes <= self.extent_count:
            return CatchUpMethod.CHANGES
        return CatchUpMethod.SNAPSHOT

    def needs_truncation(self) -> bool:
        """Is the log too long? A gateway that is further behind than a snapshot is long takes the snapshot anyway."""
        return self.change_count > max(MIN_LOG_CAPACITY, 2 * self.extent_count)
