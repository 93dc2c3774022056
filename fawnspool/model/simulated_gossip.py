"""The gossip of one life of a gateway in simulated time: what `fawnspool/gateway/gossip_runner.py` does."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from fawnspool.config.head import HeadConfig
from fawnspool.gossip.actions import GossipAction, SendGossip
from fawnspool.gossip.agent import GossipAgent
from fawnspool.gossip.health_evidence import suspected_nodes
from fawnspool.gossip.messages import decode, encode
from fawnspool.gossip.settings import GossipSettings
from fawnspool.gossip.volume_participants import VolumeLimit
from fawnspool.model.environment import Environment
from fawnspool.model.simulated_process import SimulatedProcess
from fawnspool.scheduling import interface


def gossip_settings(config: HeadConfig) -> GossipSettings | None:
    """Return the settings of gossip; None: this gateway has none."""
    shared = config.shared
    if shared is None:
        return None
    return GossipSettings(config.head.heads, shared.every, shared.fades, shared.shun, shared.quorum)


class SimulatedGossip:
    """Runs the real `GossipAgent`, in the turns of the gateway's process.

    Parameters
    ----------
    scheduler
        The scheduler of this life, asked for its suspected nodes.
    tell_scheduler
        Takes the events that gossip has for the scheduler.
    """

    def __init__(
        self,
        environment: Environment,
        process: SimulatedProcess,
        config: HeadConfig,
        scheduler: Any,
        tell_scheduler: Callable[[interface.Event], None],
    ) -> None:
        settings = gossip_settings(config)
        assert settings is not None
        self._engine = environment.simulation.engine
        self._network = environment.network
        self._endpoints = environment.endpoints
        self._process = process
        self._life = process.life
        self._scheduler = scheduler
        self._tell_scheduler = tell_scheduler
        self._agent = GossipAgent(settings, process.number, process.life, config.head.seed, self._engine.now)
        self._schedule_round()

    def _schedule_round(self) -> None:
        self._engine.at(self._agent.next_round_at(), self._begin_round)

    def _begin_round(self) -> None:
        if self._process.is_running(self._life):
            self._process.run(0.0, self._run_round)

    def _run_round(self) -> None:
        suspects = suspected_nodes(self._scheduler)
        self._carry_out(self._agent.run_round(self._engine.now, len(self._endpoints.nodes), suspects))
        self._schedule_round()

    def record_demand(self, request: interface.Request, plan: interface.Plan) -> None:
        """Count a request towards its volume's limit, if its plan has one and gateways share the volume."""
        if plan.rate_limit and request.gateway_count > 1:
            limit = VolumeLimit(request.gateway_count, plan.rate_limit, plan.rate_limit_burst)
            self._agent.volumes.record_demand(self._engine.now, request.volume, limit, request.units)

    def record_outcome(self, outcome: interface.Outcome, request: interface.Request) -> None:
        """Take an attempt's outcome as use of its volume and as evidence about its node."""
        if outcome.result is interface.Result.SERVED:
            self._agent.volumes.record_used(request.volume, request.units)
        self._carry_out(self._agent.record_outcome(self._engine.now, outcome))

    def receive(self, sender: int, body: bytes) -> None:
        """Take a datagram of another gateway."""
        self._carry_out(self._agent.receive(self._engine.now, sender, decode(body)))

    def _carry_out(self, actions: list[GossipAction]) -> None:
        for action in actions:
            if isinstance(action, SendGossip):
                self._network.send(self._process.number, action.recipient, encode(action.message))
                continue
            if isinstance(action, interface.GossipedHealth):
                self._network.gossiped_health.append((self._engine.now, self._process.number, action))
            self._tell_scheduler(action)
