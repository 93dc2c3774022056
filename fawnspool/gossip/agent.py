"""One gateway's side of the gossip: which gateways serve a volume, and health evidence about nodes."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from fawnspool.gossip.actions import GossipAction, SendGossip
from fawnspool.gossip.health_evidence import HealthEvidence, outcome_verdict
from fawnspool.gossip.messages import GossipMessage, GossipMessageType, HealthVerdict
from fawnspool.gossip.settings import GossipSettings
from fawnspool.gossip.volume_participants import VolumeTable
from fawnspool.scheduling.interface import Outcome

ISOLATION_ROUNDS = 20  # rounds without a message from any other gateway after which a gateway that sends is isolated
ROUND_JITTER = (0.8, 1.2)  # range of the pause between rounds, as a factor of the interval
NEVER = float("-inf")


class GossipAgent:
    """Gossip of one gateway; the caller carries out the returned actions in order.

    Parameters
    ----------
    incarnation
        Number that rises with each start of the gateway.
    now
        Time in seconds on any clock; only differences matter.
    """

    def __init__(self, settings: GossipSettings, gateway_id: int, incarnation: int, seed: int, now: float) -> None:
        self.settings = settings
        self.gateway_id = gateway_id
        self.random = Random(f"{seed}-{gateway_id}-sharer")
        self.volumes = VolumeTable(settings, gateway_id, incarnation, seed)
        self.health = HealthEvidence(settings, gateway_id, seed)
        self.heard_at = NEVER
        self.foreign_messages = 0  # from gateways with other settings, or from impossible gateway numbers
        self._next_round = now + settings.interval_s * self.random.random()
        self._started_at = now
        self._sent_at = NEVER

    def receive(self, now: float, sender: int, message: GossipMessage) -> list[GossipAction]:
        """Handle a message from another gateway."""
        is_gateway = 0 <= sender < self.settings.gateway_count and sender != self.gateway_id
        if message.fingerprint != self.settings.fingerprint or not is_gateway:
            self.foreign_messages += 1
            return []
        self.heard_at = now
        if message.type is GossipMessageType.EVIDENCE:
            return self.health.receive(now, sender, message)
        self.health.heard_at[sender] = now
        return self.volumes.receive(now, sender, message)

    def record_outcome(self, now: float, event: Outcome) -> list[GossipAction]:
        """Record what an attempt at a node shows about the node's health."""
        verdict = outcome_verdict(event)
        if verdict is None:
            return []
        if verdict is HealthVerdict.HEALTHY:
            return self.health.record_healthy(now, event.node)
        return self.health.record_failure(now, event.node, verdict)

    def next_round_at(self) -> float:
        """Return the time at which `run_round` must be called."""
        return self._next_round

    def run_round(self, now: float, listed_count: int, suspects: Iterable[tuple[int, int]]) -> list[GossipAction]:
        """Do a round if it is due.

        Parameters
        ----------
        now
            Time in seconds.
        listed_count
            Number of listed nodes.
        suspects
            Nodes with the consecutive failures that the scheduler has counted.
        """
        if now < self._next_round:
            return []
        for node, failures in suspects:
            self.health.record_suspicion(now, node, failures)
        self._next_round = now + self.settings.interval_s * self.random.uniform(*ROUND_JITTER)
        self.health.listed_count = listed_count
        actions = [*self.volumes.run_round(now), *self.health.run_round(now)]
        if any(isinstance(action, SendGossip) for action in actions):
            self._sent_at = now
        return actions

    def is_isolated(self, now: float) -> bool:
        """Return whether this gateway has sent since it last heard another one, more than `ISOLATION_ROUNDS` ago."""
        silent_s = now - max(self.heard_at, self._started_at)
        return silent_s > ISOLATION_ROUNDS * self.settings.interval_s and self._sent_at > self.heard_at
