"""Carries out migrations: reads the reports of source and target and the map, takes the next step, and repeats.

`extents/migration.py` determines the next step. A migrator needs no state of its own: if a process is killed during a
migration, calling `migrate` again in any process resumes it.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable

import gevent

from fawnspool.extents.migration import (
    Migration,
    MigrationStep,
    ReplicaReport,
    next_step,
    poll_pause_s,
    required_notice,
)
from fawnspool.extents.object_replica import ReplicaCommand
from fawnspool.extents.records import ExtentKey, ExtentRecord
from fawnspool.extents.replicas import ReplicaRole
from fawnspool.gateway.map_client import MapClient, MapServiceError
from fawnspool.gateway.replica_client import CALL_ERRORS, NodeAddress, ReplicaClient, StepGuard
from fawnspool.net.exceptions import ConnectError

DEFAULT_TIMEOUT_S = 2.0
_RETRYABLE_ERRORS = (*CALL_ERRORS, MapServiceError)
_FINAL_STEPS = (MigrationStep.DONE, MigrationStep.SUPERSEDED)


class Migrator:
    """Migrates extents from node to node while they are read and written.

    Parameters
    ----------
    node_address
        Returns the address of the node that serves a shard, or None if there is none now.
    map_client
        The map service.
    timeout_s
        Longest duration of a call to a node.
    guard
        Supplies the lease that each step requires; by default, steps require none.
    before_step
        Called before each step that `next_step` returns, but not before an ownership notice. It may observe the step,
        or raise to prevent it.
    """

    def __init__(
        self,
        node_address: NodeAddress,
        map_client: MapClient,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        guard: StepGuard | None = None,
        before_step: Callable[[MigrationStep], None] = lambda step: None,
    ) -> None:
        self.map_client = map_client
        self.guard = guard or StepGuard()
        self.replicas = ReplicaClient(node_address, timeout_s, self.guard)
        self.before_step = before_step

    def migrate(
        self, key: ExtentKey, target: int, deadline: float, undo: bool = False, begun: Migration | None = None
    ) -> MigrationStep:
        """Migrate an extent to a shard, or undo the migration if that is still safe.

        Parameters
        ----------
        key, target
            The extent and the shard.
        deadline
            Monotonic time by which this call returns.
        undo
            Whether to undo the migration if that is still safe.
        begun
            A migration that was begun earlier; by default, it is derived from the extent's record in the map.

        Returns
        -------
        MigrationStep
            DONE; SUPERSEDED if another migration was carried out instead, the extent does not exist, or there is
            nothing to migrate or undo; WAIT if the deadline passed first.

        Raises
        ------
        StaleTokenError
            If a node or the map service has seen a newer fencing token than the one that `guard` supplies.
        """
        migration = begun
        polls_without_step = 0
        while time.monotonic() < deadline:
            step = MigrationStep.WAIT
            with contextlib.suppress(*_RETRYABLE_ERRORS):  # a node or the service is unreachable: try again
                if migration is None:
                    record = self.map_client.find_record(*key)
                    if record is None:
                        return MigrationStep.SUPERSEDED
                    if record.shard == target:
                        self._confirm_owner(key, record)
                        return MigrationStep.DONE
                    migration = Migration(record.shard, target, record.stamp.generation + 1)
                step = self._take_next_step(migration, key, undo)
            if step in _FINAL_STEPS:
                return step
            if step is MigrationStep.WAIT:
                pause_s = min(poll_pause_s(polls_without_step), deadline - time.monotonic())
                gevent.sleep(max(0.0, pause_s))
                polls_without_step += 1
            else:
                polls_without_step = 0
        return MigrationStep.WAIT

    def _confirm_owner(self, key: ExtentKey, record: ExtentRecord) -> None:
        """Check that the node serves the extent that the map places there; confirm a replica that is unconfirmed.

        Raises
        ------
        ConnectError
            If the node does not serve the extent.
        """
        report = self.replicas.fetch_report(record.shard, key)
        if report is not None and report.role is ReplicaRole.UNCONFIRMED:
            generation = record.stamp.generation
            is_serving = self.replicas.send_command(record.shard, key, ReplicaCommand.CONFIRM, generation, mine=True)
        else:
            is_serving = report is not None and report.role is ReplicaRole.OWNER
        if not is_serving:
            raise _not_serving()

    def _take_next_step(self, migration: Migration, key: ExtentKey, undo: bool) -> MigrationStep:
        record = self.map_client.find_record(*key)
        source = self.replicas.fetch_report(migration.source, key)
        target = self.replicas.fetch_report(migration.target, key)
        # A deleted extent has no record in the map; the map then counts as updated, so that no step updates it.
        map_generation = migration.generation if record is None else record.stamp.generation
        if record is not None:
            notice = required_notice(migration, source, target, map_generation, record.shard)
            if notice is not None:
                self.replicas.send_command(notice.shard, key, notice.command, notice.generation, mine=notice.is_owner)
                return MigrationStep.COPY  # nothing was copied: any step but WAIT makes migrate() continue at once
        step = next_step(migration, source, target, map_generation, undo)
        if record is None and step is MigrationStep.SUPERSEDED:
            return step
        self.before_step(step)
        self._execute_step(step, migration, key, source)
        return step

    def _execute_step(
        self, step: MigrationStep, migration: Migration, key: ExtentKey, source: ReplicaReport | None
    ) -> None:
        if step in (MigrationStep.COPY, MigrationStep.CATCH_UP):
            self.replicas.copy_object(migration, key)
        elif step is MigrationStep.UPDATE_MAP:
            self._update_map(key, migration.target, migration.generation)
        elif step in (MigrationStep.FENCE, MigrationStep.DISCARD_SOURCE, MigrationStep.REACTIVATE):
            self._command_source(step, migration, key)
        else:
            self._command_target(step, migration, key, source)

    def _command_source(self, step: MigrationStep, migration: Migration, key: ExtentKey) -> None:
        shard = migration.source
        generation = migration.generation
        if step is MigrationStep.FENCE:
            self.replicas.send_command(shard, key, ReplicaCommand.FENCE, generation, to=migration.target)
        elif step is MigrationStep.DISCARD_SOURCE:
            self.replicas.send_command(shard, key, ReplicaCommand.DISCARD_DATA, generation)
        elif self.replicas.send_command(shard, key, ReplicaCommand.REACTIVATE, generation):
            self._update_map(key, shard, generation + 1)

    def _command_target(
        self, step: MigrationStep, migration: Migration, key: ExtentKey, source: ReplicaReport | None
    ) -> None:
        shard = migration.target
        generation = migration.generation
        if step is MigrationStep.BEGIN_FILLING:
            self.replicas.send_command(shard, key, ReplicaCommand.BEGIN_FILLING, generation)
        elif step is MigrationStep.ACTIVATE and source is not None:
            fence = source.fence_position
            self.replicas.send_command(shard, key, ReplicaCommand.ACTIVATE, generation, fence=fence)
        elif step is MigrationStep.CANCEL:
            self.replicas.send_command(shard, key, ReplicaCommand.CANCEL, generation)

    def _update_map(self, key: ExtentKey, shard: int, generation: int) -> None:
        token = self.guard.fencing_token()
        map_client = self.map_client.with_deadline(time.monotonic() + self.guard.remaining_s())
        map_client.record_migration(key.volume, key.extent, shard, generation, **token)


def _not_serving() -> ConnectError:
    return ConnectError("the extent's node does not answer or does not confirm that it serves the extent")
