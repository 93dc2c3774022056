"""Work of a `compare` role: compares the inventories of nodes with the map, using `leases/inventory.py`."""

from __future__ import annotations

import time

import msgspec

from fawnspool.gateway.held_lease import HeldLease
from fawnspool.gateway.role_context import POLL_INTERVAL_S, RoleContext
from fawnspool.leases.inventory import compare_inventories
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError

_StoredRow = tuple[str, str, int, str]  # row of a node's inventory: volume, key, and two values not needed here


class InventoryWorker:
    """Does the comparisons of one lease."""

    def __init__(self, context: RoleContext, lease: HeldLease) -> None:
        self.context = context
        self.lease = lease

    def run(self) -> None:
        """Compare the inventories at the role's interval until the lease ends."""
        self.context.show_first_token(self.lease)
        while True:
            requests = self.context.operator_requests(self.lease)
            if requests is not None and not self.context.is_paused(self.lease, requests):
                self._compare()
            self._wait()

    def _compare(self) -> None:
        lease = self.lease
        stored = {shard: self._fetch_inventory(address) for shard, address in self.context.shard_addresses().items()}
        mapped = {(record.volume, record.extent): record.shard for record in self.context.extents_of(lease)}
        report = compare_inventories(mapped, stored, lease.partition, lease.kind.shards)
        self.context.log.info("inventories_compared", role=lease.name, report=str(report))
        self.context.show_token(lease, str(report))

    def _wait(self) -> None:
        next_at = time.monotonic() + self.lease.kind.every
        while time.monotonic() < next_at:
            self.lease.sleep(POLL_INTERVAL_S)
            self.lease.check()

    def _fetch_inventory(self, address: tuple[str, int]) -> list[tuple[str, str]] | None:
        """Return the extents that a node holds, or None if the call fails."""
        timeout_s = self.context.call_timeout_s
        try:
            status, body = call(
                ConnectionPool(address, PoolOptions(1, timeout_s, 0.0)),
                b"GET",
                b"/-/objects",
                time.monotonic() + min(timeout_s, self.lease.remaining_s()),
            )
            if status.code != 200:
                return None
            return [(row[0], row[1]) for row in msgspec.json.decode(body, type=list[_StoredRow])]
        except (ConnectError, ConnectionLostError, HttpError, TimeoutError, msgspec.MsgspecError):
            return None
        finally:
            self.lease.check()
