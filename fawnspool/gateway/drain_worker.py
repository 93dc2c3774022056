"""Work of a `drain` role: moves extents off the shards that operators drain, as `leases/drain.py` decides."""

from __future__ import annotations

import time
from typing import Any

from fawnspool.extents.migration import MigrationStep
from fawnspool.extents.records import ExtentKey, ExtentRecord
from fawnspool.extents.replicas import NO_SUCCESSOR, ReplicaRole
from fawnspool.gateway.held_lease import HeldLease
from fawnspool.gateway.migrator import Migrator
from fawnspool.gateway.replica_client import StepGuard
from fawnspool.gateway.role_context import DRAIN, POLL_INTERVAL_S, RoleContext
from fawnspool.leases.drain import MoveRateLimiter, RetrySchedule, target_shard
from fawnspool.scheduling import interface

# Name under which all nodes together are a dependency of a role: if one node is unreachable, the node is at fault; if
# all are unreachable, this gateway is.
ANY_NODE = "any node"
NEVER = float("-inf")
MOVE_TIMEOUTS = 2  # longest duration of one move, in call timeouts


class DrainWorker:
    """Does the drain work of one lease."""

    def __init__(self, context: RoleContext, lease: HeldLease) -> None:
        kind = lease.kind
        self.context = context
        self.lease = lease
        self.limiter = MoveRateLimiter(kind.moves / kind.shards, kind.bytes / kind.shards, kind.busy)
        self.retries = RetrySchedule()
        self.moved_count = 0
        self._fenced_nodes: set[tuple[str, int]] = set()  # addresses of nodes that have seen this holder's token
        self._reported_at = NEVER
        self._migrator = Migrator(
            lambda shard: context.shard_addresses().get(shard),
            context.map_client,
            context.call_timeout_s,
            StepGuard(lease.stamp, lambda: max(0.0, lease.remaining_s())),
            before_step=lambda step: lease.check(),
        )

    def run(self) -> None:
        """Drain until the lease ends."""
        self.context.show_first_token(self.lease)
        while True:
            requests = self.context.operator_requests(self.lease)
            drained = _drained_shards(requests)
            if requests is None or not drained or self.context.is_paused(self.lease, requests):
                self.lease.sleep(POLL_INTERVAL_S / 8)
                continue
            self._drain_once(drained)

    def _drain_once(self, drained: set[int]) -> None:
        """Try to move each extent on a drained shard."""
        remaining = [record for record in self.context.extents_of(self.lease) if record.shard in drained]
        self._report(len(remaining))
        moved_before = self.moved_count
        for record in remaining:
            if not self._is_still_drained(record):
                break
            self._move(record, drained)
        if self.moved_count == moved_before:
            self.lease.sleep(POLL_INTERVAL_S / 4)

    def _is_still_drained(self, record: ExtentRecord) -> bool:
        requests = self.context.operator_requests(self.lease)
        if requests is None or self.context.is_paused(self.lease, requests):
            return False
        return f"{DRAIN}{record.shard}" in requests

    def _report(self, remaining: int) -> None:
        now = time.monotonic()
        if now - self._reported_at >= POLL_INTERVAL_S:
            self._reported_at = now
            self.context.show_token(self.lease, f"{self.moved_count} moved, {remaining} left")

    def _move(self, record: ExtentRecord, drained: set[int]) -> None:
        lease = self.lease
        extent = ExtentKey(record.volume, record.extent)
        if not self.retries.is_due(time.monotonic(), extent):
            return
        present = self.context.directory.map.find(*extent)  # the extent may have been moved or deleted meanwhile
        if present is None or present.shard != record.shard:
            return
        self._wait_for_rate(present.size)
        target = self._target(record, drained)
        ready = [self._show_token(shard) for shard in (record.shard, target) if shard is not None]
        lease.record_reachability(ANY_NODE, any(ready))
        lease.check()
        if target is None or not all(ready):
            self.retries.record_failure(time.monotonic(), extent)
            return
        deadline = time.monotonic() + min(lease.remaining_s(), MOVE_TIMEOUTS * self.context.call_timeout_s)
        step = self._migrator.migrate(extent, target, deadline)
        lease.check()
        if step is MigrationStep.DONE:
            self.moved_count += 1
            self.retries.record_success(extent)
            lease.record_reachability(ANY_NODE, True)
        else:
            self._record_failed_move(record, target)

    def _wait_for_rate(self, size: int) -> None:
        while True:
            in_flight = self.context.view.requests_in_flight()
            wait_s = self.limiter.wait_s(time.monotonic(), size, in_flight)
            if wait_s <= 0:
                return
            self.lease.sleep(wait_s)

    def _record_failed_move(self, record: ExtentRecord, target: int) -> None:
        extent = ExtentKey(record.volume, record.extent)
        if (
            self._migrator.replicas.fetch_report(record.shard, extent) is None
            and self._migrator.replicas.fetch_report(target, extent) is None
        ):
            self.lease.record_reachability(ANY_NODE, False)
            self.lease.check()
        self.retries.record_failure(time.monotonic(), extent)

    def _show_token(self, shard: int) -> bool:
        """Show the token to a shard's node until it has accepted it once; return whether it has.

        Raises
        ------
        StaleTokenError
            If the node has seen a newer holder's token.
        """
        address = self.context.shard_addresses().get(shard)
        if address is None:
            return False
        if address not in self._fenced_nodes and self._migrator.replicas.show_token(shard):
            self._fenced_nodes.add(address)
        self.lease.check()
        return address in self._fenced_nodes

    def _target(self, record: ExtentRecord, drained: set[int]) -> int | None:
        """Return the shard to move an extent to.

        If an earlier holder of the role has fenced the extent for a move, that move's target is kept.
        """
        source_report = self._migrator.replicas.fetch_report(record.shard, ExtentKey(record.volume, record.extent))
        next_generation = record.stamp.generation + 1
        if (
            source_report is not None
            and source_report.role is ReplicaRole.FENCED
            and source_report.successor != NO_SUCCESSOR
            and source_report.generation == next_generation
        ):
            return source_report.successor
        return target_shard(record.volume, record.extent, _ready_shards(self.context.view.nodes()) - drained)


def _drained_shards(requests: dict[str, str] | None) -> set[int]:
    return {int(name.removeprefix(DRAIN)) for name in requests or () if name.startswith(DRAIN)}


def _ready_shards(nodes: dict[int, Any]) -> set[int]:
    return {node.shard for node in nodes.values() if node.phase is interface.Phase.READY}
