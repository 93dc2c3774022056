"""Choice of the next step of a migration, from what its two nodes and the map report. No I/O, no clock.

A migrator keeps no state that it needs: each step follows from the replicas as they are. So any migrator resumes the
migration of one that died, and a step that was taken but whose answer was lost is taken again without harm.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fawnspool.extents.object_replica import ReplicaCommand
from fawnspool.extents.records import NO_GENERATION
from fawnspool.extents.replicas import (
    MAX_WRITES_BEHIND_FENCE,
    NO_FENCE,
    NO_SUCCESSOR,
    ReplicaRole,
)

MIN_POLL_PAUSE_S = 0.005
MAX_POLL_PAUSE_S = 0.5
_MAX_POLL_DOUBLINGS = 8


class MigrationStep(Enum):
    """Next step of a migration, or how it ended; the values are those of reports and of the command line."""

    BEGIN_FILLING = "fill"
    COPY = "copy"
    FENCE = "fence"
    CATCH_UP = "catch up"  # copy what was written between the last copy and the fence
    ACTIVATE = "open"
    UPDATE_MAP = "flip"
    DISCARD_SOURCE = "forget"
    DONE = "done"
    SUPERSEDED = "lost"  # another migration has won, or this one is impossible; nothing is sent
    CANCEL = "cancel"  # first half of an undo: the target must never be activated
    REACTIVATE = "reopen"  # second half of an undo
    WAIT = "wait"  # a node does not answer, or is unconfirmed


@dataclass(frozen=True)
class ReplicaReport:
    """A replica as its node reports it; None in its place means that the node does not answer."""

    role: ReplicaRole
    generation: int
    position: int = 0
    successor: int = NO_SUCCESSOR
    fence_position: int = NO_FENCE
    has_data: bool = True


@dataclass(frozen=True)
class Migration:
    """Migration of an extent from shard `source` to shard `target`, which takes it to `generation`."""

    source: int
    target: int
    generation: int


@dataclass(frozen=True)
class OwnershipNotice:
    """What a node must be told before any step.

    Attributes
    ----------
    shard
        Shard of the node.
    command
        CLAIM if it holds the extent and never took part in a migration, CONFIRM if it is unconfirmed.
    generation
        Generation of the extent.
    is_owner
        Whether it is the node that serves.
    """

    shard: int
    command: ReplicaCommand
    generation: int
    is_owner: bool = False


def required_notice(
    migration: Migration,
    source: ReplicaReport | None,
    target: ReplicaReport | None,
    map_generation: int,
    map_shard: int,
) -> OwnershipNotice | None:
    """Return what one of the nodes must be told before `next_step`, or None.

    Parameters
    ----------
    migration
        The migration.
    source, target
        Reports of its nodes.
    map_generation, map_shard
        The map's record of the extent.
    """
    starts_from_map = (map_generation, map_shard) == (migration.generation - 1, migration.source)
    if starts_from_map and _never_migrated(source):
        return OwnershipNotice(migration.source, ReplicaCommand.CLAIM, map_generation)
    if source is not None and source.role is ReplicaRole.UNCONFIRMED:
        is_owner = map_shard == migration.source
        return OwnershipNotice(migration.source, ReplicaCommand.CONFIRM, map_generation, is_owner)
    if target is not None and target.role is ReplicaRole.UNCONFIRMED:
        if _was_activated(migration, source, target):
            return OwnershipNotice(migration.target, ReplicaCommand.CONFIRM, migration.generation, True)
        is_owner = map_shard == migration.target
        return OwnershipNotice(migration.target, ReplicaCommand.CONFIRM, map_generation, is_owner)
    return None


def _never_migrated(source: ReplicaReport | None) -> bool:
    if source is None:
        return False
    return source.role is ReplicaRole.OWNER and source.generation <= NO_GENERATION


def _was_activated(migration: Migration, source: ReplicaReport | None, target: ReplicaReport) -> bool:
    """Had an unconfirmed target been activated, whatever the map has been told yet?

    Its data are of the migration's own generation, and the source's fence names it.
    """
    if source is None or target.generation != migration.generation:
        return False
    return _is_fenced_for(migration, source)


def poll_pause_s(polls_without_step: int) -> float:
    """Return the seconds until a migrator looks again, after so many looks in a row without a step to take."""
    return min(MAX_POLL_PAUSE_S, MIN_POLL_PAUSE_S * 2.0 ** min(polls_without_step, _MAX_POLL_DOUBLINGS))


def next_step(
    migration: Migration,
    source: ReplicaReport | None,
    target: ReplicaReport | None,
    map_generation: int,
    undo: bool = False,
) -> MigrationStep:
    """Return the next step of a migration.

    Parameters
    ----------
    migration
        The migration.
    source, target
        Reports of its nodes.
    map_generation
        Generation that the map service has for the extent.
    undo
        Give the migration up, if that is still safe.
    """
    if _target_serves(migration, target):
        return _step_after_activation(migration, source, map_generation)
    if source is None or target is None:
        return MigrationStep.WAIT
    if map_generation >= migration.generation or source.generation > migration.generation:
        return MigrationStep.SUPERSEDED
    if source.role is ReplicaRole.FENCED:
        return _step_after_fence(migration, source, target, undo)
    return _step_before_fence(migration, source, target, undo)


def _target_serves(migration: Migration, target: ReplicaReport | None) -> bool:
    if target is None:
        return False
    return target.role is ReplicaRole.OWNER and target.generation == migration.generation


def _is_filling(migration: Migration, target: ReplicaReport) -> bool:
    return target.role is ReplicaRole.FILLING and target.generation == migration.generation


def _is_fenced_for(migration: Migration, source: ReplicaReport) -> bool:
    """Is the source fenced for this migration, and not for another?"""
    is_same = (source.generation, source.successor) == (migration.generation, migration.target)
    return source.role is ReplicaRole.FENCED and is_same


def _step_after_activation(migration: Migration, source: ReplicaReport | None, map_generation: int) -> MigrationStep:
    """The target serves: from here on the migration only goes forward."""
    if map_generation < migration.generation:
        return MigrationStep.UPDATE_MAP
    if source is None:
        return MigrationStep.WAIT
    is_fenced = source.role is ReplicaRole.FENCED and source.generation == migration.generation
    if is_fenced and source.has_data:
        return MigrationStep.DISCARD_SOURCE
    return MigrationStep.DONE


def _step_after_fence(migration: Migration, source: ReplicaReport, target: ReplicaReport, undo: bool) -> MigrationStep:
    if not _is_fenced_for(migration, source):
        return MigrationStep.SUPERSEDED
    if undo or target.role is ReplicaRole.CANCELLED or target.generation > migration.generation:
        is_cancelled = target.role is ReplicaRole.CANCELLED and target.generation >= migration.generation
        return MigrationStep.REACTIVATE if is_cancelled else MigrationStep.CANCEL
    if not _is_filling(migration, target):
        # The target lost what it had received; all of it is still at the source.
        return MigrationStep.WAIT if target.role is ReplicaRole.UNCONFIRMED else MigrationStep.BEGIN_FILLING
    if target.position >= source.fence_position:
        return MigrationStep.ACTIVATE
    return MigrationStep.CATCH_UP


def _step_before_fence(migration: Migration, source: ReplicaReport, target: ReplicaReport, undo: bool) -> MigrationStep:
    if source.role is not ReplicaRole.OWNER or source.generation != migration.generation - 1:
        return MigrationStep.WAIT if source.role is ReplicaRole.UNCONFIRMED else MigrationStep.SUPERSEDED
    if undo:
        return MigrationStep.SUPERSEDED
    if not _is_filling(migration, target):
        return _step_to_begin_filling(migration, target)
    if source.position - target.position <= MAX_WRITES_BEHIND_FENCE:
        return MigrationStep.FENCE
    return MigrationStep.COPY


def _step_to_begin_filling(migration: Migration, target: ReplicaReport) -> MigrationStep:
    if target.generation >= migration.generation or target.role is ReplicaRole.OWNER:
        return MigrationStep.SUPERSEDED
    if target.role is ReplicaRole.UNCONFIRMED:
        return MigrationStep.WAIT
    return MigrationStep.BEGIN_FILLING
