"""Applies the division of the process's memory and descriptors to its parts, anew whenever the endpoint list grows."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.connections.descriptor_limits import ConnectionLimits
from fawnspool.connections.resource_budget import HOST_BYTES, ResourceBudget, divide_resources
from fawnspool.gateway.core import GatewayCore
from fawnspool.relay.discovery import DiscoveryClient
from fawnspool.relay.request_handler import RequestHandler
from fawnspool.scheduling.scheduler import Scheduler


@dataclass(frozen=True)
class ProcessLimits:
    """What the process may use; `at_rest_bytes` is what it holds without clients and without an endpoint list."""

    memory_bytes: int
    at_rest_bytes: int
    connections: ConnectionLimits

    def divide(self, hosts: int) -> ResourceBudget:
        """Divide the resources that a list of so many hosts leaves."""
        return divide_resources(self.memory_bytes, self.at_rest_bytes + hosts * HOST_BYTES, self.connections)


class ResourceLimits:
    """Keeps the limits of one gateway's parts equal to the division."""

    def __init__(
        self, limits: ProcessLimits, core: GatewayCore, handler: RequestHandler, discovery: DiscoveryClient
    ) -> None:
        self.limits = limits
        self.core = core
        self.handler = handler
        self.discovery = discovery
        self._hosts: int | None = None  # for which the resources are divided

    def check(self) -> None:
        """Divide the resources again if the number of hosts has changed; must be called often."""
        hosts = len(self.discovery.nodes)
        if hosts == self._hosts:
            return
        self._hosts = hosts
        self._apply(self.limits.divide(hosts))

    def _apply(self, budget: ResourceBudget) -> None:
        options = self.handler.server.options
        options.max_connections = budget.connections
        if options.crowded_from is not None:  # a shutdown has removed it
            options.crowded_from = budget.crowded_from
        self.handler.request_memory.account.total_bytes = budget.requests
        self.handler.request_ids.max_ids = budget.request_ids
        if self.core.answer_memory is not None:
            self.core.answer_memory.account.total_bytes = budget.answers
        self.core.limit_idle_greenlets(budget.connections)
        module = self.core.loop.module
        if isinstance(module, Scheduler):
            module.limit_volumes(budget.volumes)
