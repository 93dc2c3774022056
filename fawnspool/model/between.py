"""What passes between heads in simulated time, cut, lost, doubled, late; and the heads' own `GossipAgent`."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from fawnspool.days.day import TroubleBlock
from fawnspool.gossip.actions import GossipAction, SendGossip
from fawnspool.gossip.agent import GossipAgent
from fawnspool.gossip.health_evidence import MAX_ROWS_SENT, suspected_nodes
from fawnspool.gossip.messages import (
    LEADING_BYTE,
    EvidenceRow,
    GossipMessage,
    GossipMessageType,
    HealthVerdict,
    decode,
    encode,
)
from fawnspool.gossip.settings import GossipSettings
from fawnspool.gossip.volume_participants import VolumeLimit
from fawnspool.scheduling import interface

if TYPE_CHECKING:
    from fawnspool.model.world import World, _Head

FRAME = 28 + 23  # bytes of IP and UDP headers, and of `gateway/peers.py`


class Between:
    """Of one world. sent, bytes: by head, of bodies about shared budgets."""

    def __init__(self, world: World) -> None:
        self.world, self.random = world, Random(f"{world.own}-between")
        self.cut: set[tuple[int, int]] = set()  # (from, to)
        self.part = self.late_by = 0.0  # of bad weather
        self.liars: dict[int, HealthVerdict] = {}  # what they say of every node, in place of what they share
        self.sent: dict[int, int] = {}
        self.bytes: dict[int, int] = {}
        self.hearsay: list[tuple[float, int, interface.GossipedHealth]] = []  # when, at which head

    def send(self, sender: int, head: _Head, body: bytes) -> None:
        w, r = self.world, self.random
        if sender in self.liars and body[:1] == bytes((LEADING_BYTE,)):
            nodes = r.sample(sorted(w.listed), min(MAX_ROWS_SENT, len(w.listed)))
            rows = tuple(EvidenceRow(n, sender, self.liars[sender], 9, 0.0) for n in nodes)
            body = encode(GossipMessage(GossipMessageType.EVIDENCE, decode(body).fingerprint, rows))
        if body[:1] == bytes((LEADING_BYTE,)):
            self.sent[sender] = self.sent.get(sender, 0) + 1
            self.bytes[sender] = self.bytes.get(sender, 0) + len(body) + FRAME
        if (sender, head.number) in self.cut or (self.part and r.random() < self.part):
            return
        for _ in range(2 if self.part and r.random() < self.part else 1):
            late = r.random() * self.late_by if self.part and r.random() < self.part else 0.0
            w.engine.after(w.hop(w.params.client_net) + late, self._arrive, head, head.life, sender, body)

    def _arrive(self, head: _Head, life: int, sender: int, body: bytes) -> None:
        if not head.up:
            return
        if body[:1] == bytes((LEADING_BYTE,)):
            if head.sharing is not None:  # also what was meant for an earlier life: it must see that itself
                head.do(0.0, head.sharing.hear, sender, body)
        elif head.life == life:
            head.do(0.0, head.tell, interface.PeerMessage(sender, body))

    def trouble(self, x: TroubleBlock, heads: list[int]) -> None:
        after, some = self.world.engine.after, set(heads)
        if x.kind == "bad_net":
            self.part, self.late_by = x.part, x.size
            after(x.length, self._calm)
            return
        if x.kind == "head_lies":
            self.liars |= dict.fromkeys(heads, HealthVerdict.HEALTHY if x.size == 1 else HealthVerdict.UNREACHABLE)
            after(x.length, self._honest, heads)
            return
        at, period = 0.0, x.every if x.every < x.length else 2 * x.length
        while at < x.length:
            after(at, self._split, some, x.kind != "heads_deaf", x.kind != "heads_mute")
            after(min(x.length, at + period / 2), self._split, some, False, False)
            at += period

    def _honest(self, heads: list[int]) -> None:
        for head in heads:
            self.liars.pop(head, None)

    def _calm(self) -> None:
        self.part = 0.0

    def _split(self, some: set[int], out: bool, back: bool) -> None:
        """out: what `some` say to the others is lost; back: what is said to them."""
        every = range(len(self.world.heads))
        pairs = {(a, b) for a in some for b in every if b not in some}
        self.cut -= pairs | {(b, a) for a, b in pairs}
        self.cut |= (pairs if out else set()) | ({(b, a) for a, b in pairs} if back else set())


class Sharing:
    """One incarnation of a gateway: what `gateway/gossip_runner.py` does."""

    def __init__(self, head: _Head, seed: int) -> None:
        self.head, self.world, self.life = head, head.world, head.life
        s = head.config.shared
        assert s is not None
        w = self.world
        settings = GossipSettings(w.day.day.heads, s.every, s.fades, s.shun, s.quorum)
        self.agent = GossipAgent(settings, head.number, head.life, seed, w.engine.now)
        self._again()

    def _again(self) -> None:
        self.world.engine.at(self.agent.next_round_at(), self._tick)

    def _tick(self) -> None:
        if self.head.up and self.head.life == self.life:
            self.head.do(0.0, self._do_tick)

    def _do_tick(self) -> None:
        suspects = suspected_nodes(self.head.module)
        self._out(self.agent.run_round(self.world.engine.now, len(self.world.listed), suspects))
        self._again()

    def request(self, req: interface.Request) -> None:
        plan = self.head.settings.plans[req.plan_index]
        if plan.rate_limit and req.gateway_count > 1:
            limit = VolumeLimit(req.gateway_count, plan.rate_limit, plan.rate_limit_burst)
            self.agent.volumes.record_demand(self.world.engine.now, req.volume, limit, req.units)

    def outcome(self, event: interface.Outcome, req: interface.Request) -> None:
        if event.result is interface.Result.SERVED:
            self.agent.volumes.record_used(req.volume, req.units)
        self._out(self.agent.record_outcome(self.world.engine.now, event))

    def hear(self, sender: int, body: bytes) -> None:
        self._out(self.agent.receive(self.world.engine.now, sender, decode(body)))

    def _out(self, out: list[GossipAction]) -> None:
        w = self.world
        for o in out:
            if isinstance(o, SendGossip):
                w.peer(self.head.number, o.recipient, encode(o.message))
                continue
            if isinstance(o, interface.GossipedHealth):
                w.between.hearsay.append((w.engine.now, self.head.number, o))
            self.head.tell(o)


def sharing(head: Any, seed: int) -> Sharing | None:
    """None: this head shares nothing."""
    return Sharing(head, seed) if head.config.shared is not None else None
