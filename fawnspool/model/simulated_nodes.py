"""All nodes of a day: which serves which cell, and how they crash, restart and are replaced."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from fawnspool.days.day import TroubleBlock
from fawnspool.model.endpoint_service import EndpointService
from fawnspool.model.environment import Environment
from fawnspool.model.simulated_gateway import SimulatedGateway
from fawnspool.model.simulated_node import SimulatedNode
from fawnspool.model.simulation import Simulation
from fawnspool.scheduling import interface
from fawnspool.scheduling.interface import Phase

_FIRST_NUMBER = 101


class SimulatedNodes:
    """The node of each cell now, `by_cell`, and every node there ever was, `by_number`.

    `slow_cells`: whose nodes have slower hardware.
    """

    def __init__(self, simulation: Simulation, endpoints: EndpointService) -> None:
        day = simulation.day
        self._simulation = simulation
        self._endpoints = endpoints
        slow_count = round(day.fleet.slow_share * day.day.nodes)
        self.slow_cells = set(Random(f"{simulation.seed}-slow").sample(range(day.day.nodes), slow_count))
        self.by_number: dict[int, SimulatedNode] = {}
        self.by_cell: list[SimulatedNode] = []
        for cell in range(day.day.nodes):
            node = self._new_node(cell, is_cold=False)
            endpoints.nodes[node.number] = node
            self.by_cell.append(node)

    def _new_node(self, cell: int, *, is_cold: bool) -> SimulatedNode:
        number = _FIRST_NUMBER + len(self.by_number)
        is_slow = cell in self.slow_cells
        node = SimulatedNode(self._simulation, number, cell, is_slow=is_slow, is_cold=is_cold)
        self.by_number[number] = node
        return node

    def start_again(self, node: SimulatedNode, *, is_listed: bool) -> None:
        """Start the process of a node that was killed, known to the endpoint service or not."""
        node.start(is_cold=True)
        if is_listed:
            self._list_as_started(node)

    def replace(self, cell: int) -> None:
        """Start another node for a cell."""
        node = self._new_node(cell, is_cold=True)
        self.by_cell[cell] = node
        self._list_as_started(node)

    def _list_as_started(self, node: SimulatedNode) -> None:
        node.listed_start = self._simulation.engine.now
        self._endpoints.set_phase(node, Phase.READY)


class NodeFailures:
    """Crashes and preemptions of nodes."""

    def __init__(
        self,
        environment: Environment,
        nodes: SimulatedNodes,
        gateways: Sequence[SimulatedGateway],
    ) -> None:
        self._simulation = environment.simulation
        self._endpoints = environment.endpoints
        self._requests = environment.node_requests
        self._nodes = nodes
        self._gateways = gateways

    def crash(self, fault: TroubleBlock, nodes: Sequence[SimulatedNode]) -> None:
        """Kill nodes now, and start them again one after another."""
        after = self._simulation.engine.after
        is_listed = fault.kind != "unlisted_restart"
        notice_s = min(self._simulation.day.day.notice, fault.down)
        for index, node in enumerate(nodes):
            self._kill(node)
            if is_listed:
                after(notice_s, self._endpoints.set_phase, node, Phase.GONE)
            after(fault.down + self._start_delay(index), self._restart, node, is_listed)

    def preempt(self, fault: TroubleBlock, cells: Sequence[int]) -> None:
        """Drain the nodes of cells, kill them after the notice, and replace them."""
        after = self._simulation.engine.after
        notice_s = min(self._simulation.day.day.notice, fault.down)
        for index, cell in enumerate(cells):
            node = self._nodes.by_cell[cell]
            self._endpoints.set_phase(node, Phase.DRAINING)
            after(fault.size, self._kill, node)
            after(fault.size + notice_s, self._endpoints.set_phase, node, Phase.GONE)
            after(fault.size + fault.down + self._start_delay(index), self._nodes.replace, cell)

    def _start_delay(self, index: int) -> float:
        """Nodes of one fault start in turn."""
        return (index + 1) * self._simulation.params.node_start

    def _restart(self, node: SimulatedNode, is_listed: bool) -> None:
        self._nodes.start_again(node, is_listed=is_listed)

    def _kill(self, node: SimulatedNode) -> None:
        """Kill a node's process; connections to it break."""
        for gateway in self._gateways:
            if gateway.up:
                for attempt in gateway.attempts_at(node.number):
                    self._requests.send_result(attempt, interface.Result.RESET)
        node.kill()
