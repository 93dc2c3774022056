"""The work of each kind of role, by the name of the kind in the settings."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from fawnspool.gateway.drain_worker import DrainWorker
from fawnspool.gateway.held_lease import HeldLease
from fawnspool.gateway.inventory_worker import InventoryWorker
from fawnspool.gateway.lease_runner import LeaseRunner
from fawnspool.gateway.role_context import RoleContext


class LeasedWork:
    """The work that one gateway can do: the `RoleWork` of its `LeaseRunner`."""

    def __init__(self, context: RoleContext) -> None:
        self.context = context
        self.by_kind: Mapping[str, Callable[[HeldLease], None]] = {"drain": self._drain, "compare": self._compare}

    def poll_operator_requests(self, runner: LeaseRunner) -> None:
        """Poll operators' requests for as long as the gateway runs."""
        self.context.poll_operator_requests(runner)

    def _drain(self, lease: HeldLease) -> None:
        DrainWorker(self.context, lease).run()

    def _compare(self, lease: HeldLease) -> None:
        InventoryWorker(self.context, lease).run()
