"""Actions that a gossip agent returns to its gateway: messages to other gateways, and events for the scheduler."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.gossip.messages import GossipMessage
from fawnspool.scheduling.interface import GossipedHealth, VolumeParticipants


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a message to the gateway with the number `recipient`."""

    recipient: int
    message: GossipMessage


GossipAction = SendGossip | VolumeParticipants | GossipedHealth
