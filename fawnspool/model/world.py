"""A day in simulated time: clients, network, heads with the real module, nodes, list, meter, troubles.

The same day files as the drill's, the same script of clients, the same behaviour of nodes, and records of the same
forms, so that the same judge and the same count of worth read them. What the running head does on sockets is said
again here in simulated time: that is the model, and `docs/fleet-model.md` says where the two differ.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

import xxhash

from fawnspool.config.head import (
    CatalogueBlock,
    HeadBlock,
    HeadConfig,
    ListBlock,
    PeerBlock,
    VolumeBlock,
)
from fawnspool.config.scheduler_settings import scheduler_settings
from fawnspool.days.day import Day, TroubleBlock
from fawnspool.days.fault_kinds import LINK_FAULTS
from fawnspool.days.faults import (
    NO_FAULT_SETTINGS,
    NODE_FAULT_SETTINGS,
    preemption_waves,
    restart_batches,
    stall_times,
    targets,
)
from fawnspool.days.retries import EndedAttempt, pause_before_retry
from fawnspool.days.service_value import EndedOperation
from fawnspool.days.traffic import Operation, draw_operations, held_objects
from fawnspool.model.between import Between, sharing
from fawnspool.model.engine import Engine
from fawnspool.model.node import NodeBehaviour, NodeTraits, Work
from fawnspool.model.params import Params
from fawnspool.scheduling import interface

Policy = Callable[[interface.Settings, int], Any]
_START = 1000.0  # the clock at the day's begin: starts of "long ago" lie well before it
BEGIN = _START + 1.0  # when the first second of the day's script begins
FRESH_MOST = 400


@dataclass(slots=True, eq=False)
class _Try:
    """One try of a client at a head."""

    op: Operation
    n: int
    head: int
    began: float
    patience: float
    key: str
    size: int
    done: Callable[[str, float], None]
    over: bool = False


@dataclass(slots=True, eq=False)
class _Attempt:
    number: int
    node: _Node
    sent: float
    deadline: float
    life: int  # of the node's process when it was sent
    work: int = -1
    written: bool = False
    ended: bool = False


@dataclass(slots=True, eq=False)
class _Pending:
    """A request in a head's hands."""

    req: interface.Request
    asked: _Try
    deadline: float
    settled: bool = False
    attempts: list[_Attempt] = field(default_factory=list)
    open: int = 0


class _Node:
    """A node's process: up or killed, its behaviour, its faults."""

    def __init__(self, world: World, number: int, cell: int, cold: bool) -> None:
        self.world, self.number, self.cell, self.life, self.up = world, number, cell, 0, False
        self.faults: dict[str, Any] = dict(NO_FAULT_SETTINGS)
        self.phase, self.started = "ready", -1.0
        self.random = Random(f"{world.own}-node-{number}")
        self.start(cold)

    def start(self, cold: bool) -> None:
        w, f = self.world, self.world.day.fleet
        n = w.day.nodes
        unit = f.unit_time * w.params.unit_scale * (w.params.slow_times if self.cell in w.slow else 1)
        traits = NodeTraits(
            cores=f.cores,
            unit_time=unit,
            room=f.room,
            cold_from=min(1.0, f.cold_from * w.params.cold_scale),
            warm_after=f.warm_after,
            seek_saved=f.seek_saved,
            deferred=f.deferred,
            fall_multiple=n.cold_multiple,
            fall=n.cold_fall,
            fall_slack=float(w.day.units.largest),
        )
        self.behaviour = NodeBehaviour(traits, self.random, w.engine.now if cold else -math.inf)
        self.waiting: dict[int, Callable[[bool], None]] = {}
        self.works, self.due = 0, math.inf
        self.sums: dict[int, float] = {}
        self.told: dict[tuple[int, int], float] = {}
        self.up, self.life = True, self.life + 1
        self.set({k: v for k, v in self.faults.items() if v != NO_FAULT_SETTINGS[k]})
        w.note(
            "up",
            node=self.number,
            cold=cold,
            power=f.cores / max(unit, 1e-9),
            cold_from=f.cold_from,
            warm_after=f.warm_after,
        )

    def set(self, given: dict[str, Any]) -> None:
        self.faults |= given
        self.behaviour.pace.slow, self.behaviour.pace.taken = self.faults["slow"], self.faults["taken"]
        if given.get("pause_ms"):
            self.world.engine.after(0.0, self._pause, self.life)

    def _pause(self, life: int) -> None:
        length = self.faults["pause_ms"] / 1000 * self.world.params.pause_scale
        if not self.up or life != self.life or not length:
            return
        w = self.world
        self.behaviour.pause(w.engine.now, length)
        self.move()
        pause = self.faults.get("pause_every_s", 1.0) * self.random.uniform(0.7, 1.3)
        w.engine.after(length + pause, self._pause, life)

    def hit(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    def move(self) -> None:
        """Set a call for the behaviour's next end."""
        due = self.behaviour.due()
        if due < self.due or self.due <= self.world.engine.now:
            self.due = due
            if due < math.inf:
                self.world.engine.at(due, self._step, self.life)

    def _step(self, life: int) -> None:
        if life != self.life or not self.up:
            return
        now = self.world.engine.now
        self.due = math.inf
        for work in self.behaviour.step(now):
            if (done := self.waiting.pop(work.ident, None)) is not None:
                done(True)
        for work in self.behaviour.expired(now):
            if (done := self.waiting.pop(work.ident, None)) is not None:
                done(False)
        self.move()

    def kill(self) -> None:
        self.up = False
        self.waiting.clear()

    def load(self) -> tuple[float, ...]:
        return tuple(self.behaviour.load(name) for name in self.world.day.nodes.load_fields)


class _Head:
    """A gateway's process in simulated time: what fawnspool/gateway and fawnspool/api do, with the real scheduler."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.up, self.life = world, number, False, 0
        self.saved: tuple[interface.Endpoint, ...] = ()
        self.stalled = self.busy = 0.0
        self.later: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.config = world.head_config(number)
        self.settings = scheduler_settings(self.config)
        self.phases: dict[int, interface.Phase] = {}
        self.volumes = {v.name: (v, xxhash.xxh3_64_intdigest(v.name.encode())) for v in self.config.volume}
        self.plans = {p.name: k for k, p in enumerate(self.config.plan)}

    def start(self, policy: Policy) -> None:
        w = self.world
        self.life += 1
        self.up = True
        self.ids = self.life << 24
        self.module = policy(self.settings, self.config.head.seed)
        self.pending: dict[int, _Pending] = {}
        self.warm: set[int] = set()
        self.places: set[tuple[str, str]] = set()
        w.note("head", head=self.number, what="up")
        self.sharing = sharing(self, self.config.head.seed)
        self.watching = False
        self.tell(interface.EndpointUpdate(interface.UpdateKind.CACHED, 0, self.saved))
        if w.day.day.list_mode == "push" and not self.watching:
            self.watch(True)

    def kill(self) -> None:
        w = self.world
        w.note("head", head=self.number, what="killed")
        self.up = False
        for pending in self.pending.values():
            if not pending.asked.over:
                w.answer(pending.asked, "closed", 0.0, 0)
        self.pending = {}
        for call, args in self.later:
            call(*args)
        self.later = []

    def stall(self, until: float) -> None:
        w = self.world
        w.note("stall", head=self.number, until=until)
        self.stalled = until
        w.engine.at(until, self._move, self.life)

    def _move(self, life: int) -> None:
        if life == self.life and self.up:
            calls, self.later = self.later, []
            for call, args in calls:
                call(*args)

    def do(self, cost: float, call: Callable[..., None], *args: Any) -> None:
        """Run `call` in this head's one core, in its turn; a head that stands still does it when it moves."""
        w = self.world
        if self.stalled > w.engine.now:
            self.later.append((self.do, (cost, call, *args)))
            return
        if not cost and self.busy <= w.engine.now:
            if self.up:
                call(*args)  # the core is idle and this takes none of it: no turn to wait for
            return
        self.busy = max(self.busy, w.engine.now) + cost
        w.engine.at(self.busy, self._done, self.life, call, args)

    def _done(self, life: int, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.stalled > self.world.engine.now:
            self.later.append((self._done, (life, call, args)))
        elif life == self.life and self.up:
            call(*args)

    # ------------------------------------------------------------ the module

    def tell(self, event: interface.Event) -> None:
        w = self.world
        w.events += 1
        try:
            actions = self.module.handle(w.engine.now, event)
        except Exception as bad:
            w.errors.append(f"{w.engine.now - _START:.3f} s, head {self.number}: {type(bad).__name__}: {bad}")
            w.raised[self.number] = w.raised.get(self.number, 0) + 1
            actions = []
            ident = getattr(event, "id", None)
            if ident in self.pending:
                self._close(ident, "failed", 0.0)
        for action in actions:
            self._carry(action)

    def _carry(self, action: interface.Action) -> None:
        w = self.world
        match action:
            case interface.Send():
                self._send(action)
            case interface.SetTimer():
                w.engine.after(max(0.0, action.delay_s), self._ring, self.life, action.token)
            case interface.RejectRequest():
                self._close(action.id, "refused", action.retry_after_s)
            case interface.FailRequest():
                self._close(action.id, "failed", 0.0)
            case interface.Cancel():
                self._cancel(action)
            case interface.SendPeerMessage():
                w.peer(self.number, action.gateway_id, action.body)
            case interface.SetWatch():
                self.watch(action.enabled)
            case interface.FetchEndpoints():
                self.watch(True) if w.day.day.list_mode == "push" and not self.watching else self.fetch()
            case interface.Probe():
                w.engine.after(4 * w.params.node_net, self._probed, self.life, action.node)
            case _:
                pass

    def _ring(self, life: int, token: int) -> None:
        if life == self.life and self.up:
            self.do(0.0, self.tell, interface.Timer(token))

    def _probed(self, life: int, number: int) -> None:
        node = self.world.nodes.get(number)
        if life == self.life and self.up:
            well = node is not None and node.up and not node.faults["refuse"]
            self.do(
                0.0,
                self.tell,
                interface.Probed(
                    number,
                    interface.Result.SERVED if well else interface.Result.CONNECT_FAILED,
                    4 * self.world.params.node_net,
                    node.load() if well and node else None,
                ),
            )

    # ------------------------------------------------------------ the list

    def watch(self, on: bool) -> None:
        self.watching = on
        if on:
            self.fetch()

    def fetch(self) -> None:
        w = self.world
        if w.list_gone:
            self.watching = False
            failed = interface.EndpointUpdate(interface.UpdateKind.POLL_FAILED, w.version, ())
            w.engine.after(w.params.list_net, self._heard, self.life, failed, False)
        else:
            w.engine.after(2 * w.params.list_net, self._whole, self.life)

    def _whole(self, life: int) -> None:
        w = self.world
        rows = tuple(w.entry(n) for n in w.listed.values())
        self._heard(life, interface.EndpointUpdate(interface.UpdateKind.SNAPSHOT, w.version, rows), True)

    def _heard(self, life: int, news: interface.EndpointUpdate, live: bool) -> None:
        if life != self.life or not self.up:
            return
        if live:
            for entry in news.entries:
                self.world.note_told(self.number, entry)
        self.do(0.0, self._take, news)

    def _take(self, news: interface.EndpointUpdate) -> None:
        if news.kind is interface.UpdateKind.SNAPSHOT:
            self.phases = {e.node: e.phase for e in news.entries}
            self.saved = news.entries
        elif news.kind is interface.UpdateKind.DELTA:
            self.phases |= {e.node: e.phase for e in news.entries}
            kept = {e.node: e for e in self.saved} | {e.node: e for e in news.entries}
            self.saved = tuple(e for e in kept.values() if e.phase is not interface.Phase.GONE)
        self.tell(news)

    # ------------------------------------------------------------ requests

    def ask(self, asked: _Try) -> None:
        """A client's bytes have come to this host."""
        w, day = self.world, self.world.day
        came = w.engine.now
        cost = w.params.head_cost + (asked.size * w.params.byte_cost if asked.op.writes else 0.0)
        place = (asked.op.volume, asked.key)
        wait = 0.0 if place in self.places else w.params.places
        self.places.add(place)
        margin = min(day.clients.answer_margin, asked.patience / 4)
        self.do(cost, self._placed, asked, came + asked.patience - margin, wait)

    def _placed(self, asked: _Try, deadline: float, wait: float) -> None:
        self.world.engine.after(wait, self._done, self.life, self._taken, (asked, deadline))

    def _taken(self, asked: _Try, deadline: float) -> None:
        w, op = self.world, asked.op
        now = w.engine.now
        if asked.over:
            return
        if deadline <= now:
            return w.answer(asked, "refused", 0.0, 503)
        cell = w.places.get((op.volume, asked.key), -1)
        if cell < 0 and not op.writes:
            return w.answer(asked, "failed", 0.0, 404)
        volume, number = self.volumes[op.volume]
        self.ids += 1
        size = asked.size if op.part is None else max(1, int(op.part[1] * asked.size))
        units = float(max(1, min(w.day.units.largest, -(-size // w.day.units.bytes))))
        name = b"run:" + op.run.encode() if op.run else f"{op.volume}/{asked.key}".encode()
        req = interface.Request(
            self.ids,
            op.cls,
            self.plans[volume.plan],
            xxhash.xxh3_64_intdigest(name) or 1,
            deadline - now,
            number,
            units,
            cell,
            volume.heads,
            asked.n > 0,
            op.writes,
        )
        pending = self.pending[req.id] = _Pending(req, asked, deadline)
        w.engine.at(deadline + w.day.clients.answer_margin / 2, self._overdue, self.life, pending)
        self.tell(req)
        if self.sharing is not None:
            self.sharing.request(req)

    def _overdue(self, life: int, pending: _Pending) -> None:
        if life == self.life and self.up and not pending.settled:
            self.do(0.0, self._close, pending.req.id, "failed", 0.0)
            self.do(0.0, self.tell, interface.ClientDisconnected(pending.req.id))

    def left(self, asked: _Try) -> None:
        """The client has gone; seen a little later."""
        for pending in list(self.pending.values()):
            if pending.asked is asked and not pending.settled:
                pending.settled = True
                self.tell(interface.ClientDisconnected(pending.req.id))
                self._forget(pending)

    def _close(self, ident: int, how: str, advice: float) -> None:
        pending = self.pending.get(ident)
        if pending is not None and not pending.settled:
            pending.settled = True
            self._reply(pending, how, advice, 503 if how == "refused" else 502)
            self._forget(pending)

    def _reply(self, pending: _Pending, how: str, advice: float, status: int) -> None:
        w = self.world
        size = 0 if pending.asked.op.writes or how != "served" else pending.asked.size
        w.engine.after(
            w.hop(w.params.client_net) + size * w.params.byte_cost, w.answer, pending.asked, how, advice, status
        )

    def _forget(self, pending: _Pending) -> None:
        if pending.settled and not pending.open:
            self.pending.pop(pending.req.id, None)

    # ------------------------------------------------------------ attempts

    def _send(self, action: interface.Send) -> None:
        w = self.world
        pending, node = self.pending.get(action.id), w.nodes.get(action.node)
        if pending is None:
            return
        now = w.engine.now
        limit = now + action.timeout_s if action.timeout_s > 0 else pending.deadline
        if node is None:
            return
        attempt = _Attempt(len(pending.attempts), node, now, min(limit, pending.deadline), node.life)
        pending.attempts.append(attempt)
        pending.open += 1
        fresh = action.node not in self.warm
        delay = w.params.head_cost / 2 + (w.params.connect if fresh else 0.0)
        w.engine.after(delay, self._write, self.life, pending, attempt)
        w.engine.at(attempt.deadline, self._late, self.life, pending, attempt)

    def _write(self, life: int, pending: _Pending, attempt: _Attempt) -> None:
        w, node = self.world, attempt.node
        if life != self.life or not self.up or attempt.ended:
            return
        if self.phases.get(node.number) is not interface.Phase.READY:
            return self._ended(pending, attempt, interface.Result.NOT_SENT)
        if not node.up or node.faults["refuse"] or node.behaviour.fallen:
            self.warm.discard(node.number)
            return self._ended(pending, attempt, interface.Result.CONNECT_FAILED)
        self.warm.add(node.number)
        attempt.written, attempt.life = True, node.life
        size = pending.asked.size if pending.asked.op.writes else 0
        w.engine.after(w.hop(w.params.node_net) + size * w.params.byte_cost, w.arrive, self, life, pending, attempt)

    def _late(self, life: int, pending: _Pending, attempt: _Attempt) -> None:
        if life == self.life and self.up and not attempt.ended:
            self.world.call_off(attempt)
            self._ended(
                pending, attempt, interface.Result.TIMED_OUT if attempt.written else interface.Result.CONNECT_FAILED
            )

    def _cancel(self, action: interface.Cancel) -> None:
        pending = self.pending.get(action.id)
        if pending is None or action.attempt >= len(pending.attempts):
            return
        attempt = pending.attempts[action.attempt]
        if not attempt.ended:
            self.world.call_off(attempt)
            self._ended(pending, attempt, interface.Result.CANCELLED if attempt.written else interface.Result.NOT_SENT)

    def _ended(
        self,
        pending: _Pending,
        attempt: _Attempt,
        result: interface.Result,
        others: int = 0,
        use: float | None = None,
        load: tuple[float, ...] | None = None,
        status: int = 200,
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self.do(self.world.params.head_cost / 2, self._outcome, pending, attempt, result, others, use, load, status)

    def _outcome(
        self,
        pending: _Pending,
        attempt: _Attempt,
        result: interface.Result,
        others: int,
        use: float | None,
        load: tuple[float, ...] | None,
        status: int,
    ) -> None:
        if result is interface.Result.SERVED and not pending.settled:
            pending.settled = True
            if pending.asked.op.writes:
                self.world.places[pending.asked.op.volume, pending.asked.key] = attempt.node.cell
            self._reply(pending, "served", 0.0, status)
        pending.open -= 1
        rate = self.settings.plans[pending.req.plan_index].rate
        self._forget(pending)
        event = interface.Outcome(
            pending.req.id,
            attempt.number,
            attempt.node.number,
            self.world.engine.now - attempt.sent,
            result,
            pending.settled,
            others,
            use / rate if use is not None and rate else None,
            load,
        )
        self.tell(event)
        if self.sharing is not None:
            self.sharing.outcome(event, pending.req)


class World:
    """One day, once. `run` gives the records and what came of each operation."""

    def __init__(
        self,
        day: Day,
        seed: int,
        policy: Policy,
        params: Params | None = None,
        ops: list[Operation] | None = None,
        luck: int = 0,
    ) -> None:
        self.day, self.seed, self.params = day, seed, params or Params()
        self.engine = Engine(_START)
        scales = dict(self.params.class_scale)
        self.scale = [scales.get(c.name, 1.0) for c in day.class_]
        # The day and its seed say who asks what and who is hit; `luck` draws the rest anew.
        self.own = f"{seed}-{luck}" if luck else f"{seed}"
        self.net, self.retries = Random(f"{self.own}-net"), Random(f"{self.own}-clients")
        self.rows: list[dict[str, Any]] = []
        self.errors: list[str] = []
        self.raised: dict[int, int] = {}
        self.events = 0
        self.ended: list[EndedOperation] = []
        self.zones = tuple(f"zone-{chr(97 + k)}" for k in range(day.fleet.zones))
        slow = round(day.fleet.slow_share * day.day.nodes)
        self.slow = set(Random(f"{seed}-slow").sample(range(day.day.nodes), slow))
        self.held: dict[tuple[str, str], int] = {}
        self.places: dict[tuple[str, str], int] = {}
        for volume, key, size, cell in held_objects(day, seed):
            self.held[volume, key], self.places[volume, key] = size, cell
        self.plan_of = {name: b.name for name, b in day.volume_names()}
        self.list_gone, self.list_late, self.version, self.numbers = False, 0.0, 1, 100
        self.nodes: dict[int, _Node] = {}
        self.cells: list[_Node] = []
        self.listed: dict[int, _Node] = {}
        self.effects: dict[str, float] = {}
        for k in range(day.day.nodes):
            self.numbers += 1
            node = _Node(self, self.numbers, k, False)
            self.nodes[node.number] = self.listed[node.number] = node
            self.cells.append(node)
        self.meter_sums: dict[int, float] = {}
        self.meter_last: dict[int, float] = {}
        self.between = Between(self)
        self.policies: list[Policy] = [policy] * day.day.heads  # of each head, from its next start on
        self.heads = [_Head(self, k) for k in range(day.day.heads)]
        self.fresh: dict[str, deque[tuple[str, int]]] = {}
        self.ops = draw_operations(day, seed) if ops is None else ops

    def note(self, kind: str, **more: Any) -> None:
        self.rows.append({"k": kind, "t": self.engine.now, **more})

    def hop(self, mean: float) -> float:
        return mean + self.net.expovariate(1 / self.params.jitter) if self.params.jitter else mean

    def head_config(self, k: int) -> HeadConfig:
        """As the drill writes it for the real heads."""
        d = self.day
        peers = tuple(PeerBlock(str(n), "127.0.0.1:1") for n in range(d.day.heads)) if d.day.peers else ()
        return HeadConfig(
            head=HeadBlock(number=k, heads=d.day.heads, zone=self.zones[k % len(self.zones)], seed=self.seed * 100 + k),
            class_=d.class_,
            plan=d.plan,
            volume=tuple(VolumeBlock(name, b.name, b.heads) for name, b in d.volume_names()),
            peer=peers,
            list=ListBlock(address="127.0.0.1:1", mode=d.day.list_mode),
            catalogue=CatalogueBlock("127.0.0.1:1"),
            nodes=replace(d.nodes, cells=d.day.nodes, zones=self.zones),
            units=d.units,
            attempts=d.attempts,
            clients=d.clients,
            service=d.service,
            shared=d.shared,
        )

    # ------------------------------------------------------------ run

    def run(self) -> list[EndedOperation]:
        for head in self.heads:
            head.start(self.policies[head.number])
        begin = BEGIN
        if self.day.service.meter:
            self.engine.after(self.day.service.meter, self._meter)
        for op in self.ops:
            self.engine.at(begin + op.at, self._operate, op)
        for x in self.day.trouble:
            self.engine.at(begin + x.at, self._trouble, x)
        last = begin + self.day.day.length + 2 * max(c.deadline for c in self.day.class_)
        self.end = last
        self.engine.run(last)
        return self.ended

    def _meter(self) -> None:
        period = self.day.service.meter
        self.meter_last = {v: u / period for v, u in self.meter_sums.items()}
        self.meter_sums = {}
        if self.engine.now < self.end:
            self.engine.after(period, self._meter)

    def peer(self, sender: int, to: int | None, body: bytes) -> None:
        for head in self.heads:
            if head.number != sender and to in (None, head.number):
                self.between.send(sender, head, body)

    # ------------------------------------------------------------ clients

    def _operate(self, op: Operation) -> None:
        key, size = op.key, op.size
        if not op.writes:
            if not key and (rows := self.fresh.get(op.volume)):
                key, size = rows[int(op.pick * len(rows))]
            else:
                key = key or f"held/{int(op.pick * self.day.load.objects)}"
                size = self.held[op.volume, key]
        self._try(op, key, size, 0, list(op.heads), self.engine.now)

    def _try(self, op: Operation, key: str, size: int, n: int, heads: list[int], began: float) -> None:
        now, cls, head = self.engine.now, self.day.class_[op.cls], heads[0]
        patience = min(op.patience, cls.deadline - (now - began))
        units = max(1, min(self.day.units.largest, -(-size // self.day.units.bytes)))
        self.note(
            "ask",
            op=op.name,
            n=n,
            head=head,
            vol=op.volume,
            cls=op.cls,
            units=units,
            pat=patience,
            e=cls.effect,
            w=op.writes,
        )

        def done(how: str, advice: float) -> None:
            elapsed = self.engine.now - began
            pause = pause_before_retry(self.day.load, cls, EndedAttempt(how, n + 1, elapsed, advice), self.retries)
            if pause is not None:
                turned = heads[1:] + heads[:1] if how == "unreached" and len(heads) > 1 else heads
                return self.engine.after(pause, self._try, op, key, size, n + 1, turned, began)
            self._end(op, key, size, how, elapsed, head)

        asked = _Try(op, n, head, now, patience, key, size, done)
        at = self.heads[head]
        if not at.up:
            self.engine.after(2 * self.params.client_net, self.answer, asked, "unreached", 0.0, 0)
            return
        self.engine.after(self.hop(self.params.client_net), self._reach, at, at.life, asked)
        self.engine.after(patience + 0.25, self.answer, asked, "none", 0.0, 0)
        if op.leaves < math.inf:
            self.engine.after(op.leaves, self._leave, at, at.life, asked)

    def _reach(self, head: _Head, life: int, asked: _Try) -> None:
        if not head.up or head.life != life:
            return self.answer(asked, "closed", 0.0, 0)
        head.ask(asked)

    def _leave(self, head: _Head, life: int, asked: _Try) -> None:
        if not asked.over:
            self.answer(asked, "left", 0.0, 0)
            if head.up and head.life == life:
                self.engine.after(0.05, head.do, 0.0, head.left, asked)

    def answer(self, asked: _Try, how: str, advice: float, status: int) -> None:
        """The client hears its one answer (later ones find it gone)."""
        if asked.over:
            return
        asked.over = True
        self.note("got", op=asked.op.name, n=asked.n, head=asked.head, how=how, s=status)
        asked.done(how, advice)

    def _end(self, op: Operation, key: str, size: int, how: str, elapsed: float, head: int) -> None:
        if how == "served":
            how = "in time" if elapsed <= self.day.class_[op.cls].aim else "late"
            if op.writes:
                self.fresh.setdefault(op.volume, deque(maxlen=FRESH_MOST)).append((key, size))
        elif how != "left":
            how = "refused" if how in ("refused", "unreached") else "failed"
        units = float(max(1, min(self.day.units.largest, -(-op.size // self.day.units.bytes))))
        self.ended.append(EndedOperation(op.at, op.volume, self.plan_of[op.volume], op.cls, units, how, elapsed, head))

    # ------------------------------------------------------------ nodes

    def arrive(self, head: _Head, life: int, pending: _Pending, attempt: _Attempt) -> None:
        """An attempt has wholly reached its node."""
        node, req, now = attempt.node, pending.req, self.engine.now
        if not node.up or node.life != attempt.life:
            return self._back(head, life, pending, attempt, interface.Result.RESET)
        if node.hit(node.faults["hang_up"]):
            return self._back(head, life, pending, attempt, interface.Result.RESET)
        op = pending.asked.op
        effect = self.day.class_[req.class_index].effect
        about: dict[str, Any] = {
            "node": node.number,
            "head": head.number,
            "id": req.id,
            "n": attempt.number,
            "op": op.name,
        }
        self.note(
            "in",
            cls=req.class_index,
            units=req.units,
            vol=op.volume,
            x=req.extent,
            e=effect,
            w=req.writes,
            m="PUT" if req.writes else "GET",
            **about,
        )
        node.works += 1
        attempt.work = node.works
        units = req.units * self.scale[req.class_index]
        work = Work(node.works, units, req.writes, req.extent, attempt.number == 0, attempt.deadline)
        taken = node.behaviour.arrive(now, work)
        if node.behaviour.fallen and node.up:
            self.note("fell", node=node.number)
            node.kill()
            return self._back(head, life, pending, attempt, interface.Result.RESET)
        if not taken:
            node.move()
            self.note("out", s=503, lost="", how="full", **about)
            return self._back(head, life, pending, attempt, interface.Result.OVERLOADED)

        def done(well: bool) -> None:
            if not well:
                self.note("out", s=503, lost="", how="dropped", **about)
                return self._back(head, life, pending, attempt, interface.Result.ERROR)
            self.engine.after(self.params.node_cost, self._finish, head, life, pending, attempt, node.life, about)

        node.waiting[work.ident] = done
        node.move()

    def _finish(
        self, head: _Head, life: int, pending: _Pending, attempt: _Attempt, node_life: int, about: dict[str, Any]
    ) -> None:
        node, req = attempt.node, pending.req
        if not node.up or node.life != node_life:
            return self._back(head, life, pending, attempt, interface.Result.RESET)
        if node.hit(node.faults["error"]):
            self.note("out", s=500, lost="", how="", **about)
            return self._back(head, life, pending, attempt, interface.Result.ERROR)
        if req.writes:
            cls = self.day.class_[req.class_index]
            key = f"{about['op']}-{node.cell if cls.group == 'cell' else cls.group}"
            dropped = cls.effect == "keyed" and self.effects.get(key, -math.inf) > self.engine.now - cls.window
            self.effects.setdefault(key, self.engine.now)
            self.note("did", e=cls.effect, dropped=dropped, **about)
        node.sums[req.volume] = total = node.sums.get(req.volume, 0.0) + req.units
        self.meter_sums[req.volume] = self.meter_sums.get(req.volume, 0.0) + req.units
        before = node.told.get((head.number, req.volume))
        others = 0 if before is None else max(0, round(total - before - req.units))
        node.told[head.number, req.volume] = total
        use = self.meter_last.get(req.volume) if self.day.service.meter else None
        f = node.faults
        lost = next((name for name in ("lose", "reset", "cut", "garble", "wrong_length") if node.hit(f[name])), "")
        self.note("out", s=0 if lost == "lose" else 200, lost=lost, how="", **about)
        if lost == "lose":
            return
        if lost:
            return self._back(head, life, pending, attempt, interface.Result.RESET)
        size = 0 if req.writes else pending.asked.size
        self.engine.after(
            self.hop(self.params.node_net) + size * self.params.byte_cost,
            self._arrived,
            head,
            life,
            pending,
            attempt,
            others,
            use,
            node.load(),
        )

    def _arrived(
        self,
        head: _Head,
        life: int,
        pending: _Pending,
        attempt: _Attempt,
        others: int,
        use: float | None,
        load: tuple[float, ...],
    ) -> None:
        if head.up and head.life == life:
            head._ended(pending, attempt, interface.Result.SERVED, others, use, load)

    def _back(self, head: _Head, life: int, pending: _Pending, attempt: _Attempt, result: interface.Result) -> None:
        self.engine.after(self.hop(self.params.node_net), self._ended, head, life, pending, attempt, result)

    def _ended(self, head: _Head, life: int, pending: _Pending, attempt: _Attempt, result: interface.Result) -> None:
        if head.up and head.life == life:
            head._ended(pending, attempt, result)

    def call_off(self, attempt: _Attempt) -> None:
        """The sender has closed its connection; the node sees it a little later."""
        self.engine.after(self.params.cancel_seen, self._called_off, attempt)

    def _called_off(self, attempt: _Attempt) -> None:
        node = attempt.node
        if (
            node.up
            and node.life == attempt.life
            and attempt.work in node.waiting
            and node.behaviour.cancel(self.engine.now, attempt.work)
        ):
            node.waiting.pop(attempt.work, None)
            node.move()

    # ------------------------------------------------------------ the list

    def entry(self, node: _Node, phase: interface.Phase | None = None) -> interface.Endpoint:
        zone = node.cell % len(self.zones)
        started = node.started if node.started >= 0 else 0.0
        return interface.Endpoint(
            node.number, zone, 0, node.cell, phase or interface.Phase(node.phase), float(self.day.fleet.cores), started
        )

    def note_told(self, head: int, entry: interface.Endpoint) -> None:
        age = self.engine.now - entry.started_at if entry.started_at > 0 else -1.0
        self.note("told", head=head, node=entry.node, phase=entry.phase.value, age=age)

    def change(self, node: _Node, phase: str) -> None:
        """The list hears of a node's phase, and tells who watches."""
        node.phase = phase
        started = node.started
        self.engine.after(self.list_late, self._change, node, phase, started)

    def _change(self, node: _Node, phase: str, started: float) -> None:
        self.version += 1
        if phase == "gone":
            self.listed.pop(node.number, None)
        else:
            self.listed[node.number] = node
        if self.list_gone:
            return
        news = interface.EndpointUpdate(
            interface.UpdateKind.DELTA, self.version, (self.entry(node, interface.Phase(phase)),)
        )
        for head in self.heads:
            if head.up and head.watching:
                self.engine.after(self.params.list_net, head._heard, head.life, news, True)

    # ------------------------------------------------------------ troubles

    def _trouble(self, x: TroubleBlock) -> None:
        numbers, heads = targets(self.day, self.seed, x)
        nodes = [self.cells[k] for k in numbers]
        after = self.engine.after
        if x.kind == "neighbour":
            at = 0.0
            while at < x.length:
                after(at, self._set, nodes, NODE_FAULT_SETTINGS[x.kind](x))
                after(min(at + x.every, x.length), self._calm, nodes, x.kind, x)
                at += 2 * x.every
        elif x.kind in NODE_FAULT_SETTINGS:
            self._set(nodes, NODE_FAULT_SETTINGS[x.kind](x))
            after(x.length, self._calm, nodes, x.kind, x)
        elif x.kind in ("crash", "unlisted_restart"):
            self._crash(x, nodes)
        elif x.kind in LINK_FAULTS:
            self.between.trouble(x, heads)
        elif x.kind == "ageing":
            steps = max(1, int(x.length / 0.5))
            for k in range(1, steps + 1):
                after((k - 1) * x.length / steps, self._set, nodes, {"slow": 1 + (x.size - 1) * k / steps})
            after(x.length, self._set, nodes, {"slow": 1.0})
            after(x.length, self._crash, x, nodes)
        elif x.kind == "preempt":
            for k, some in enumerate(preemption_waves(x, numbers)):
                after(k * x.every, self._preempt, x, some)
        elif x.kind == "list_gone":
            self.list_gone = True
            for head in self.heads:
                if head.up and head.watching:
                    head.watching = False
                    after(
                        self.params.list_net,
                        head._heard,
                        head.life,
                        interface.EndpointUpdate(interface.UpdateKind.POLL_FAILED, self.version, ()),
                        False,
                    )
            after(x.length, self._list_back)
        elif x.kind == "list_late":
            self.list_late = x.size
            after(x.length, self._list_in_time)
        elif x.kind in ("head_kill", "head_roll"):
            rounds = [heads] if x.kind == "head_kill" else restart_batches(self.day, x)
            for k, some in enumerate(rounds):
                away = x.down + self.params.head_start
                after(k * max(x.length / len(rounds), away), self.restart, some, away)
        elif x.kind == "head_stall":
            for k in heads:
                for at in stall_times(self.day, self.seed, x, k):
                    after(at, self._stall, self.heads[k], x.size)

    def _stall(self, head: _Head, length: float) -> None:
        if head.up:
            head.stall(self.engine.now + length)

    def _set(self, nodes: list[_Node], given: dict[str, Any]) -> None:
        for node in nodes:
            node.set(given)

    def _calm(self, nodes: list[_Node], kind: str, x: TroubleBlock) -> None:
        given = NODE_FAULT_SETTINGS[kind](x)
        self._set(nodes, {name: NO_FAULT_SETTINGS[name] for name in given if name in NO_FAULT_SETTINGS})

    def _list_back(self) -> None:
        self.list_gone = False

    def _list_in_time(self) -> None:
        self.list_late = 0.0

    def _kill(self, node: _Node) -> None:
        """Attempts out at a node break when its process dies."""
        for head in self.heads:
            if head.up:
                for pending in list(head.pending.values()):
                    for attempt in pending.attempts:
                        if attempt.node is node and not attempt.ended and attempt.written:
                            self._back(head, head.life, pending, attempt, interface.Result.RESET)
        node.kill()

    def _crash(self, x: TroubleBlock, nodes: list[_Node]) -> None:
        listed = x.kind != "unlisted_restart"
        for k, node in enumerate(nodes):
            self._kill(node)
            if listed:
                self.engine.after(min(self.day.day.notice, x.down), self.change, node, "gone")
            self.engine.after(x.down + (k + 1) * self.params.node_start, self._up_again, node, listed)

    def _up_again(self, node: _Node, listed: bool) -> None:
        node.start(True)
        if listed:
            node.started = self.engine.now
            self.change(node, "ready")

    def _preempt(self, x: TroubleBlock, cells: list[int]) -> None:
        for k, cell in enumerate(cells):
            node = self.cells[cell]
            self.change(node, "draining")
            self.engine.after(x.size, self._kill, node)
            self.engine.after(x.size + min(self.day.day.notice, x.down), self.change, node, "gone")
            self.engine.after(x.size + x.down + (k + 1) * self.params.node_start, self._replace, cell)

    def _replace(self, cell: int) -> None:
        self.numbers += 1
        node = _Node(self, self.numbers, cell, True)
        node.started = self.engine.now
        self.nodes[node.number] = node
        self.cells[cell] = node
        self.change(node, "ready")

    def _start_head(self, head: _Head) -> None:
        if not head.up:
            head.start(self.policies[head.number])

    def restart(self, heads: list[int], down: float) -> None:
        for k in heads:
            head = self.heads[k]
            if head.up:
                head.kill()
                self.engine.after(down, self._start_head, head)
