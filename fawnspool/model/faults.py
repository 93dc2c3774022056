"""The faults of a day in simulated time: which begin when, at which nodes, gateways, links and services."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from fawnspool.days.day import TroubleBlock
from fawnspool.days.fault_kinds import LINK_FAULTS
from fawnspool.days.faults import (
    NO_FAULT_SETTINGS,
    NODE_FAULT_SETTINGS,
    preemption_waves,
    restart_batches,
    stall_times,
    targets,
)
from fawnspool.model.environment import Environment
from fawnspool.model.simulated_gateway import SimulatedGateway
from fawnspool.model.simulated_node import SimulatedNode
from fawnspool.model.simulated_nodes import NodeFailures, SimulatedNodes

_AGEING_STEP_S = 0.5

GatewayRestart = Callable[[list[int], float], None]


class FaultInjector:
    """Injects the faults of a day.

    Parameters
    ----------
    restart_gateways
        Kills gateways by number and starts them again after some seconds.
    """

    def __init__(
        self,
        environment: Environment,
        nodes: SimulatedNodes,
        failures: NodeFailures,
        gateways: Sequence[SimulatedGateway],
        restart_gateways: GatewayRestart,
    ) -> None:
        self._simulation = environment.simulation
        self._endpoints = environment.endpoints
        self._network = environment.network
        self._after = environment.simulation.engine.after
        self._nodes = nodes
        self._failures = failures
        self._gateways = gateways
        self._restart_gateways = restart_gateways

    def schedule(self, faults: Sequence[TroubleBlock], begin: float) -> None:
        """Schedule faults; their times count from `begin`."""
        for fault in faults:
            self._simulation.engine.at(begin + fault.at, self._inject, fault)

    def _inject(self, fault: TroubleBlock) -> None:
        cells, gateways = targets(self._simulation.day, self._simulation.seed, fault)
        if fault.kind in LINK_FAULTS:
            self._network.inject_fault(fault, gateways)
        elif fault.kind.startswith("head_"):
            self._inject_at_gateways(fault, gateways)
        elif fault.kind.startswith("list_"):
            self._inject_at_endpoint_service(fault)
        else:
            self._inject_at_nodes(fault, cells)

    # Nodes.

    def _inject_at_nodes(self, fault: TroubleBlock, cells: list[int]) -> None:
        nodes = [self._nodes.by_cell[cell] for cell in cells]
        match fault.kind:
            case "neighbour":
                self._inject_neighbour(fault, nodes)
            case "crash" | "unlisted_restart":
                self._failures.crash(fault, nodes)
            case "ageing":
                self._inject_ageing(fault, nodes)
            case "preempt":
                for index, wave in enumerate(preemption_waves(fault, cells)):
                    self._after(index * fault.every, self._failures.preempt, fault, wave)
            case kind if kind in NODE_FAULT_SETTINGS:
                _set_faults(nodes, NODE_FAULT_SETTINGS[kind](fault))
                self._after(fault.length, _reset_faults, nodes, fault)

    def _inject_neighbour(self, fault: TroubleBlock, nodes: list[SimulatedNode]) -> None:
        """Let another tenant take the nodes' power on and off, for equal times."""
        start_s = 0.0
        while start_s < fault.length:
            self._after(start_s, _set_faults, nodes, NODE_FAULT_SETTINGS[fault.kind](fault))
            self._after(min(start_s + fault.every, fault.length), _reset_faults, nodes, fault)
            start_s += 2 * fault.every

    def _inject_ageing(self, fault: TroubleBlock, nodes: list[SimulatedNode]) -> None:
        """Slow nodes down step by step until they crash."""
        steps = max(1, int(fault.length / _AGEING_STEP_S))
        for step in range(1, steps + 1):
            slowdown = 1 + (fault.size - 1) * step / steps
            self._after((step - 1) * fault.length / steps, _set_faults, nodes, {"slow": slowdown})
        self._after(fault.length, _set_faults, nodes, {"slow": NO_FAULT_SETTINGS["slow"]})
        self._after(fault.length, self._failures.crash, fault, nodes)

    # The endpoint service.

    def _inject_at_endpoint_service(self, fault: TroubleBlock) -> None:
        if fault.kind == "list_gone":
            self._endpoints.go_away()
            self._after(fault.length, self._endpoints.come_back)
        elif fault.kind == "list_late":
            self._endpoints.set_lag(fault.size)
            self._after(fault.length, self._endpoints.set_lag, 0.0)

    # Gateways.

    def _inject_at_gateways(self, fault: TroubleBlock, gateways: list[int]) -> None:
        match fault.kind:
            case "head_kill":
                self._schedule_restarts(fault, [gateways])
            case "head_roll":
                self._schedule_restarts(fault, restart_batches(self._simulation.day, fault))
            case "head_stall":
                self._schedule_stalls(fault, gateways)

    def _schedule_restarts(self, fault: TroubleBlock, groups: list[list[int]]) -> None:
        down_s = fault.down + self._simulation.params.head_start
        interval_s = max(fault.length / len(groups), down_s)
        for index, group in enumerate(groups):
            self._after(index * interval_s, self._restart_gateways, group, down_s)

    def _schedule_stalls(self, fault: TroubleBlock, gateways: list[int]) -> None:
        for number in gateways:
            for start_s in stall_times(self._simulation.day, self._simulation.seed, fault, number):
                self._after(start_s, self._stall, self._gateways[number], fault.size)

    def _stall(self, gateway: SimulatedGateway, length_s: float) -> None:
        if gateway.up:
            gateway.stall(self._simulation.engine.now + length_s)


def _set_faults(nodes: list[SimulatedNode], faults: dict[str, Any]) -> None:
    for node in nodes:
        node.set_faults(faults)


def _reset_faults(nodes: list[SimulatedNode], fault: TroubleBlock) -> None:
    names = NODE_FAULT_SETTINGS[fault.kind](fault)
    _set_faults(nodes, {name: NO_FAULT_SETTINGS[name] for name in names if name in NO_FAULT_SETTINGS})
