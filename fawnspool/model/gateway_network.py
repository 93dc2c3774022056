"""The network between gateways in simulated time: it cuts, loses, repeats and delays datagrams."""

from __future__ import annotations

from typing import Protocol

from fawnspool.days.day import TroubleBlock
from fawnspool.gossip.health_evidence import MAX_ROWS_SENT
from fawnspool.gossip.messages import (
    LEADING_BYTE,
    EvidenceRow,
    GossipMessage,
    GossipMessageType,
    HealthVerdict,
    decode,
    encode,
)
from fawnspool.model.endpoint_service import EndpointService
from fawnspool.model.simulation import Simulation
from fawnspool.scheduling import interface

DATAGRAM_HEADER_BYTES = 28 + 23  # of IP and UDP, and of the peer channel
_FALSE_EVIDENCE_ANSWERS = 9  # the evidence that a gateway with false verdicts claims for each


class Peer(Protocol):
    """A gateway as the network knows it."""

    @property
    def number(self) -> int:
        """The gateway's number."""

    @property
    def up(self) -> bool:
        """Whether its process runs."""

    @property
    def life(self) -> int:
        """How often its process has started."""

    def receive_gossip(self, sender: int, body: bytes) -> None:
        """Take a gossip message, whichever life of the process it was meant for."""

    def receive_peer_message(self, sender: int, body: bytes) -> None:
        """Take a message of a peer's scheduler."""


def _is_gossip(body: bytes) -> bool:
    return body[:1] == bytes((LEADING_BYTE,))


class GatewayNetwork:
    """Carries datagrams between gateways.

    Attributes
    ----------
    gossip_sent, gossip_bytes
        Datagrams and bytes of gossip by sender.
    gossiped_health
        What gateways' schedulers were told by gossip: when, which gateway, what.
    """

    def __init__(self, simulation: Simulation, endpoints: EndpointService) -> None:
        self._simulation = simulation
        self._endpoints = endpoints
        self._random = simulation.random("between")
        self._peers: list[Peer] = []
        self._cut_links: set[tuple[int, int]] = set()  # (sender, recipient)
        self._fault_share = 0.0  # of datagrams that are lost; of others, repeated; of each copy, delayed
        self._extra_delay_s = 0.0
        self._false_verdicts: dict[int, HealthVerdict] = {}  # of every node, in place of a sender's own evidence
        self.gossip_sent: dict[int, int] = {}
        self.gossip_bytes: dict[int, int] = {}
        self.gossiped_health: list[tuple[float, int, interface.GossipedHealth]] = []

    def connect(self, peer: Peer) -> None:
        """Add a gateway."""
        self._peers.append(peer)

    def send(self, sender: int, recipient: int | None, body: bytes) -> None:
        """Send a datagram to one gateway, or to all others."""
        for peer in self._peers:
            if peer.number != sender and recipient in (None, peer.number):
                self._send_to(peer, sender, body)

    def _send_to(self, peer: Peer, sender: int, body: bytes) -> None:
        if _is_gossip(body):
            if sender in self._false_verdicts:
                body = self._false_evidence(sender, body)
            self.gossip_sent[sender] = self.gossip_sent.get(sender, 0) + 1
            self.gossip_bytes[sender] = self.gossip_bytes.get(sender, 0) + len(body) + DATAGRAM_HEADER_BYTES
        if (sender, peer.number) in self._cut_links or self._draws_fault():
            return
        copies = 2 if self._draws_fault() else 1
        for _ in range(copies):
            extra_s = self._draw_extra_delay()
            delay_s = self._simulation.network_delay(self._simulation.params.client_net) + extra_s
            self._simulation.engine.after(delay_s, self._deliver, peer, peer.life, sender, body)

    def _draws_fault(self) -> bool:
        return self._fault_share > 0 and self._random.random() < self._fault_share

    def _draw_extra_delay(self) -> float:
        return self._random.random() * self._extra_delay_s if self._draws_fault() else 0.0

    def _false_evidence(self, sender: int, body: bytes) -> bytes:
        listed = self._endpoints.nodes
        nodes = self._random.sample(sorted(listed), min(MAX_ROWS_SENT, len(listed)))
        verdict = self._false_verdicts[sender]
        rows = tuple(EvidenceRow(node, sender, verdict, _FALSE_EVIDENCE_ANSWERS, 0.0) for node in nodes)
        return encode(GossipMessage(GossipMessageType.EVIDENCE, decode(body).fingerprint, rows))

    @staticmethod
    def _deliver(peer: Peer, life: int, sender: int, body: bytes) -> None:
        if not peer.up:
            return
        if _is_gossip(body):
            peer.receive_gossip(sender, body)
        elif peer.life == life:
            peer.receive_peer_message(sender, body)

    def inject_fault(self, fault: TroubleBlock, gateways: list[int]) -> None:
        """Begin a fault of the links of some gateways, and schedule its end."""
        if fault.kind == "bad_net":
            self._begin_unreliable(fault)
        elif fault.kind == "head_lies":
            self._begin_false_verdicts(fault, gateways)
        else:
            self._schedule_partitions(fault, set(gateways))

    def _begin_unreliable(self, fault: TroubleBlock) -> None:
        self._fault_share = fault.part
        self._extra_delay_s = fault.size
        self._simulation.engine.after(fault.length, self._end_unreliable)

    def _end_unreliable(self) -> None:
        self._fault_share = 0.0

    def _begin_false_verdicts(self, fault: TroubleBlock, gateways: list[int]) -> None:
        verdict = HealthVerdict.HEALTHY if fault.size == 1 else HealthVerdict.UNREACHABLE
        self._false_verdicts |= dict.fromkeys(gateways, verdict)
        self._simulation.engine.after(fault.length, self._end_false_verdicts, gateways)

    def _end_false_verdicts(self, gateways: list[int]) -> None:
        for gateway in gateways:
            self._false_verdicts.pop(gateway, None)

    def _schedule_partitions(self, fault: TroubleBlock, gateways: set[int]) -> None:
        """Cut and heal the links between these gateways and the others, again and again until the fault ends."""
        after = self._simulation.engine.after
        outward = fault.kind != "heads_deaf"
        inward = fault.kind != "heads_mute"
        period_s = fault.every if fault.every < fault.length else 2 * fault.length
        start_s = 0.0
        while start_s < fault.length:
            after(start_s, self._partition, gateways, outward, inward)
            after(min(fault.length, start_s + period_s / 2), self._partition, gateways, False, False)
            start_s += period_s

    def _partition(self, gateways: set[int], outward: bool, inward: bool) -> None:
        """Cut the links from and to these gateways that are asked for, and heal the rest of them."""
        others = [peer.number for peer in self._peers if peer.number not in gateways]
        from_them = {(gateway, other) for gateway in gateways for other in others}
        to_them = {(other, gateway) for gateway, other in from_them}
        self._cut_links -= from_them | to_them
        if outward:
            self._cut_links |= from_them
        if inward:
            self._cut_links |= to_them
