"""What the simulated gateways of a day work with."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.model.endpoint_service import EndpointService
from fawnspool.model.gateway_network import GatewayNetwork
from fawnspool.model.node_requests import NodeRequests
from fawnspool.model.simulated_node import SimulatedNode
from fawnspool.model.simulation import Simulation


@dataclass(frozen=True, slots=True)
class Environment:
    """The simulation, its network and its services. `nodes`: all there ever were, by number."""

    simulation: Simulation
    endpoints: EndpointService
    network: GatewayNetwork
    nodes: dict[int, SimulatedNode]
    node_requests: NodeRequests
