"""A day in simulated time: its clients, network, gateways with the real scheduler, nodes, services and faults.

It plays the same day files as the drill on sockets, with the same script of clients and the same behaviour of nodes,
and makes recordings of the same form, so that the same rules judge them. `docs/fleet-model.md` says where the two
differ.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from fawnspool.config.head import (
    CatalogueBlock,
    HeadBlock,
    HeadConfig,
    ListBlock,
    PeerBlock,
    VolumeBlock,
)
from fawnspool.days.day import Day
from fawnspool.days.service_value import EndedOperation
from fawnspool.days.traffic import Operation, draw_operations, held_objects
from fawnspool.model.endpoint_service import EndpointService
from fawnspool.model.environment import Environment
from fawnspool.model.faults import FaultInjector
from fawnspool.model.gateway_network import GatewayNetwork
from fawnspool.model.node_requests import NodeRequests
from fawnspool.model.params import Params
from fawnspool.model.simulated_clients import SimulatedClients
from fawnspool.model.simulated_gateway import Policy, SimulatedGateway
from fawnspool.model.simulated_nodes import NodeFailures, SimulatedNodes
from fawnspool.model.simulation import BEGIN, Simulation, zone_names
from fawnspool.model.volume_meter import VolumeMeter

_NO_ADDRESS = "127.0.0.1:1"  # nothing in the simulation connects


class World:
    """One day, played once.

    Parameters
    ----------
    day, seed
        Say who asks for what and who is hit by faults.
    policy
        Makes the scheduler of each gateway.
    params
        Delays and costs.
    ops
        What clients do in place of the day's own script.
    luck
        Draws anew what day and seed leave open.

    Attributes
    ----------
    policies : list
        The policy of each gateway from its next start on.
    held_sizes : dict
        The size in bytes of each object that is there from the start, by (volume, key).
    """

    def __init__(  # noqa: PLR0913  each is a thing of its own that a comparison varies
        self,
        day: Day,
        seed: int,
        policy: Policy,
        params: Params | None = None,
        ops: list[Operation] | None = None,
        *,
        luck: int = 0,
    ) -> None:
        self.day = day
        self.seed = seed
        self.params = params or Params()
        self.ops = draw_operations(day, seed) if ops is None else ops
        self.policies: list[Policy] = [policy] * day.day.heads
        self._simulation = Simulation(day, seed, self.params, luck)
        self._meter = VolumeMeter(self._simulation)
        endpoints = EndpointService(self._simulation)
        self._nodes = SimulatedNodes(self._simulation, endpoints)
        environment = Environment(
            simulation=self._simulation,
            endpoints=endpoints,
            network=GatewayNetwork(self._simulation, endpoints),
            nodes=self._nodes.by_number,
            node_requests=NodeRequests(self._simulation, self._meter),
        )
        self.engine = self._simulation.engine
        self.zones = self._simulation.zones
        self.network = environment.network
        self.gateways = [
            SimulatedGateway(environment, gateway_config(day, seed, number)) for number in range(day.day.heads)
        ]
        self.held_sizes = self._place_held_objects()
        self._clients = SimulatedClients(self._simulation, self.gateways, self.held_sizes)
        failures = NodeFailures(environment, self._nodes, self.gateways)
        self._faults = FaultInjector(environment, self._nodes, failures, self.gateways, self.restart_gateways)

    def _place_held_objects(self) -> dict[tuple[str, str], int]:
        """Fill the catalogue with what volumes hold from the start. Returns the sizes."""
        sizes: dict[tuple[str, str], int] = {}
        for volume, key, size, cell in held_objects(self.day, self.seed):
            sizes[volume, key] = size
            self._simulation.object_cells[volume, key] = cell
        return sizes

    def run(self) -> list[EndedOperation]:
        """Play the day. Returns what came of each operation."""
        for gateway in self.gateways:
            gateway.start(self.policies[gateway.number])
        end = BEGIN + self.day.day.length + 2 * max(class_.deadline for class_ in self.day.class_)
        self._meter.start(end)
        self._clients.schedule(self.ops, BEGIN)
        self._faults.schedule(self.day.trouble, BEGIN)
        self.engine.run(end)
        return self.ended

    def restart_gateways(self, numbers: list[int], down_s: float) -> None:
        """Kill gateways, and start them again after some seconds with their policies of then."""
        for number in numbers:
            gateway = self.gateways[number]
            if gateway.up:
                gateway.kill()
                self.engine.after(down_s, self._start_gateway, gateway)

    def _start_gateway(self, gateway: SimulatedGateway) -> None:
        if not gateway.up:
            gateway.start(self.policies[gateway.number])

    def node_number(self, cell: int) -> int:
        """Return the number of the node that serves a cell now."""
        return self._nodes.by_cell[cell].number

    @property
    def slow_cells(self) -> set[int]:
        """The cells whose nodes have slower hardware."""
        return self._nodes.slow_cells

    @property
    def rows(self) -> list[dict[str, Any]]:
        """The recording, in the form that `fawnspool.rules` reads."""
        return self._simulation.rows

    @property
    def ended(self) -> list[EndedOperation]:
        """What came of each operation that has ended."""
        return self._clients.ended

    @property
    def errors(self) -> list[str]:
        """What schedulers raised, in order."""
        return self._simulation.errors

    @property
    def errors_by_gateway(self) -> dict[int, int]:
        """How often the scheduler of each gateway raised, for those that did."""
        return {gateway.number: gateway.errors for gateway in self.gateways if gateway.errors}

    @property
    def events(self) -> int:
        """How many events schedulers have handled."""
        return sum(gateway.events for gateway in self.gateways)


def gateway_config(day: Day, seed: int, number: int) -> HeadConfig:
    """Return a gateway's settings, as the drill writes them for the real gateways."""
    zones = zone_names(day)
    peers = tuple(PeerBlock(str(peer), _NO_ADDRESS) for peer in range(day.day.heads)) if day.day.peers else ()
    return HeadConfig(
        head=HeadBlock(number=number, heads=day.day.heads, zone=zones[number % len(zones)], seed=seed * 100 + number),
        class_=day.class_,
        plan=day.plan,
        volume=tuple(VolumeBlock(name, block.name, block.heads) for name, block in day.volume_names()),
        peer=peers,
        list=ListBlock(address=_NO_ADDRESS, mode=day.day.list_mode),
        catalogue=CatalogueBlock(_NO_ADDRESS),
        nodes=replace(day.nodes, cells=day.day.nodes, zones=zones),
        units=day.units,
        attempts=day.attempts,
        clients=day.clients,
        service=day.service,
        shared=day.shared,
    )
