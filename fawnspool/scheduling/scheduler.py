"""Every decision of a head, in one module. Its types, events and actions: fawnspool/interface.py.

Ordinary path: at each node a FIFO and a start tag per volume; the smallest tag leaves next; a completion
moves the volume's tag on by its mean response over its plan's weight. All else guards that path."""

from __future__ import annotations

import math
import struct
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from fawnspool.scheduling.interface import (
    Action,
    Cancel,
    ClientDisconnected,
    Idempotence,
    Event,
    FailRequest,
    FetchEndpoints,
    DeduplicationScope,
    GossipedHealth,
    Endpoint,
    UpdateKind,
    Log,
    EndpointUpdate,
    Outcome,
    PeerMessage,
    Phase,
    Plan,
    RejectRequest,
    Request,
    RequestClass,
    Result,
    Send,
    SetTimer,
    Settings,
    VolumeParticipants,
    SendPeerMessage,
    Timer,
    SetWatch,
)

RECENT = 16  # responses in a volume's mean (the paper's N): long enough to smooth one pause
RUN_LIMIT = 12  # requests of one extent in a row: longer runs would shut out other volumes
TARGET_SHARE = 0.35  # part of the least aim that a response at a node may take: the rest waits here
GAIN = 0.1  # smoothing of the node's mean response and of its bound, per completion
PULL = 0.2  # requests by which a bound seeks more room at each step (PARDA's beta)
BOUND_ALL = 12.0  # requests out at one node from all heads, at most: beyond it only queues grow
START_BOUND = 2.0  # requests out at a node that has told nothing yet: one to run, one to follow
FRESH_S = 1.0  # an answer this old counts half for its node, seconds: surges come and go in a few
CROWD = 0.25  # part of the least aim that may pass in waiting at a node, beyond a reserve
ASK_ALL_S = 1.0  # pause between calls to every head for units of one limit, seconds
ON_TIME = 0.95  # part of the time for which a lender counts units as on their way: for clocks' rates
TICKS_PER_AIM = 8  # looks at all queues within the least aim: a late look costs an eighth of it
ASK_MOST_S = 0.8  # longest pause before a failed call for the list is repeated, seconds
TRIAL_MOST_S = 1.0  # longest pause between trials of a failed node, seconds: its return is found within
SIGNS = 3  # resets or failed connects in a row, no answer between, before suspicion
SILENT = 3.0  # mean responses (at least half aims) without any answer, before suspicion
IDLE_S = 30.0  # a volume unheard for this long loses its place in the tables, seconds
VOLUMES_MOST = 4096  # volumes remembered, whatever comes
_PEER = struct.Struct(">BQfI")  # what, volume, units, when asked for (asker's clock, milliseconds)
_WANT, _LEND, _NONE = 1, 2, (0, 0, 0.0, 0)
_ASK = 2**63  # the token of the timer for the next call for the list


@dataclass(slots=True, eq=False)
class _Attempt:
    node: int
    sent: float
    open: bool = True
    maybe_ran: bool = True


@dataclass(slots=True, eq=False)
class _Job:
    """A request that this head has taken."""

    req: Request
    cls: RequestClass
    plan: Plan
    ends: float  # when its client gives up
    wanted: float  # until when it earns its full worth, or any
    rank: int  # 0 in its volume's reserve, 1 beyond it, 2 late whatever we do
    cell: int = -1
    key: int = 0  # its place in an order by key; 0: none
    held: bool = False
    over: bool = False
    tries: list[_Attempt] = field(default_factory=list)

    def here(self) -> tuple[int, int]:
        return self.req.volume, self.req.extent

    def doubt(self) -> list[_Attempt]:
        return [t for t in self.tries if t.maybe_ran]


@dataclass(slots=True, eq=False)
class _Volume:
    """What a head knows of one volume over all nodes."""

    plan: Plan
    heads: int
    level: float = 0.0  # limit's bucket, this head's part; an earlier life may have drawn it
    filled: float = 0.0
    reserve: float = 0.0
    mine: float = 0.0  # units a second served here, smoothed
    served: float = 0.0
    asked: float = 0.0  # when peers were last asked for units of its limit
    queued: float = 0.0  # units held here that have drawn nothing of a limit yet
    lenders: set[int] = field(default_factory=set)
    known: bool = False  # is it told which heads serve the volume?
    lent: deque[tuple[float, float]] = field(default_factory=deque)  # when, units: may be on their way yet
    part: float = 0.0  # share of the volume's use that came through this head
    use: float = 0.0  # the volume's whole use as the meter last told, as a share of its rate


@dataclass(slots=True, eq=False)
class _Flow:
    """A volume at one node."""

    weight: float
    queue: deque[_Job] = field(default_factory=deque)
    tag: float = 0.0
    out: int = 0
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT))
    used: float = 0.0


@dataclass(slots=True, eq=False)
class _Lane:
    """A cell and the node that serves it now; its queues outlive a change of node."""

    cell: int
    node: int | None = None
    flows: OrderedDict[int, _Flow] = field(default_factory=OrderedDict)
    active: dict[int, _Flow] = field(default_factory=dict)  # those with something held or out
    held: int = 0
    units: float = 0.0  # of what is held
    soonest: float = 0.0  # no held request is wanted before
    bound: float = START_BOUND
    response: float = 0.0  # mean, seconds
    wait: float = 0.0  # part of a response that is not work, lately, seconds
    seen: float = 0.0  # when it was last measured
    out: dict[tuple[int, int], float] = field(default_factory=dict)  # attempts out, when sent
    extent: tuple[int, int] = (0, 0)  # volume and extent sent last
    run: int = 0
    heard: float = 0.0  # last answer, or the send after an idle time
    failed: int = 0  # bad signs in a row; over 0: only trials
    trial_at: float = 0.0
    born: float | None = None  # latest time at which the node may have started cold; None: long ago
    guess: bool = False  # no list tells of that start: a saved one alone proves nothing
    shut: bool = False  # it took no connection since it last answered
    away: float = 0.0  # when it last began to fail
    served: float = 0.0  # units, since the head's start
    credit: float = 0.0  # units that a young node may get from here, and when it last grew
    credited: float = 0.0

    def sound(self) -> bool:
        return self.node is not None and self.failed < SIGNS


class Scheduler:
    """One head's decisions: the same events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.random = settings, Random(seed)
        self.acts, self.jobs, self.nodes = list[Action](), dict[int, _Job](), dict[int, Endpoint]()
        self.lanes, self.busy = dict[int, _Lane](), dict[int, _Lane]()  # busy: something held or out
        self.volumes: OrderedDict[int, _Volume] = OrderedDict()
        self.keys, self.settling = dict[int, deque[_Job]](), dict[int, float]()  # order by key, its pauses
        self.taken, self.extras = deque[float](), deque[float]()  # for the attempt budget
        self.least_aim = min(c.latency_objective_s for c in settings.classes)
        self.look, self.ask_at = self.least_aim / TICKS_PER_AIM, math.inf
        # The bounds of few heads hold a node's queue down; those of many can't: each has two at least.
        self.many = settings.gateway_count * START_BOUND > BOUND_ALL
        self.most = 2 * START_BOUND if self.many else max(START_BOUND, BOUND_ALL / settings.gateway_count)
        self.now, self.unit_s, self.seen, self.since = 0.0, 0.0, 0.0, -1.0
        self.cells = list[int]()  # those that have a node
        self.waits, self.usual = deque([0.0], maxlen=9), 0.0  # all nodes' last ones, their median
        self.ticking = self.unsure = False  # a timer is set; only a saved list so far
        self.handlers: dict[type, Callable[[Any], None]] = {
            EndpointUpdate: self._on_list,
            Request: self._on_request,
            Outcome: self._on_outcome,
            ClientDisconnected: self._on_gone,
            Timer: self._on_look,
            PeerMessage: self._on_peer,
            VolumeParticipants: self._on_takers,
            GossipedHealth: self._on_hearsay,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now, self.acts, self.since = now, [], now if self.since < 0 else self.since
        if handler := self.handlers.get(type(event)):  # else: an event that tells nothing needed here
            handler(event)
        return self.acts

    def _on_list(self, event: EndpointUpdate) -> None:
        saved = event.kind is UpdateKind.CACHED
        if event.kind is UpdateKind.POLL_FAILED:
            # Re-asked well inside must_ask_in and, whatever that is, soon, as what is missed counts as told
            # all the same: where lists are pushed at once, so inside the grace. Each head after its own
            # pause, lest all be late. Harm: calls to a dead service.
            most = self.s.poll_interval_s / 8 if self.s.polls_endpoints else self.s.drain_grace_s / 2
            pause = self.random.uniform(0.5, 1.0) * min(most or ASK_MOST_S, ASK_MOST_S)
            self.ask_at = self.now + pause
            return self.acts.append(SetTimer(pause, _ASK))
        known = self.nodes if event.kind is UpdateKind.DELTA else {}
        known.update((entry.node, entry) for entry in event.entries)
        self.nodes = {n: entry for n, entry in known.items() if entry.phase is not Phase.GONE}
        if saved:  # it may be old: ask at once, and until an answer take every node for cold
            self.acts.append(SetWatch(True) if self.s.polls_endpoints else FetchEndpoints())
        newest = sorted(self.nodes.values(), key=lambda entry: (entry.started_at, entry.node))
        ready = {entry.shard: entry for entry in newest if entry.phase is Phase.READY}
        for cell in sorted(ready.keys() | self.lanes.keys()):
            lane = self.lanes.setdefault(cell, _Lane(cell))
            self._seat(lane, ready[cell].node if cell in ready else None)
            if cell in ready:
                self._age(lane, ready[cell].started_at, saved)
        self.unsure, self.cells = saved, [c for c, lane in self.lanes.items() if lane.node is not None]
        for lane in self.lanes.values():
            self._turn(lane)

    def _seat(self, lane: _Lane, node: int | None) -> None:
        """Another node (or none) serves the cell from now on: nothing of the old one holds for it."""
        if node == lane.node:
            return
        lane.node, lane.bound, lane.response, lane.born = node, START_BOUND, 0.0, None
        lane.failed, lane.shut, lane.out, lane.run, lane.heard = 0, False, {}, 0, self.now
        for flow in lane.flows.values():
            flow.out = 0
            flow.recent.clear()
        if node is None:
            self._replace(lane)

    def _age(self, lane: _Lane, started: float, saved: bool) -> None:
        """Since when the node may be cold. A saved list proves no age; a live one settles it, but for a node
        that was away: it may have restarted since, until the list tells of a later start."""
        young = started > 0 and self.now - started < self.s.warm_up_s + self.s.overload_window_s
        lane.guess = saved and not young
        if lane.guess:
            lane.born = self.now
        elif self.unsure or lane.born is None or started >= lane.away:
            lane.born = min(started, self.now) if young else None

    def _on_request(self, req: Request) -> None:
        cls, plan = self.s.classes[req.class_index], self.s.plans[req.plan_index]
        spent = max(0.0, cls.deadline_s - req.timeout_s) if req.is_client_retry else 0.0
        wanted = self.now + min(cls.latency_objective_s - spent, req.timeout_s)  # some come with less time than the aim
        key = req.extent if cls.ordered else 0
        self.jobs[req.id] = job = _Job(req, cls, plan, self.now + req.timeout_s, wanted, 1, key=key)
        self.taken += [self.now] if self.s.retry_budget_minimum is not None else []
        if job.key:
            self.keys.setdefault(job.key, deque()).append(job)
        volume = self._volume(job)
        if job.wanted <= self.now + self.look:
            job.rank, job.wanted = 2, job.ends
        elif plan.reserved_rate and volume.reserve > 0:
            volume.reserve, job.rank = volume.reserve - req.units, 0
        supply = plan.rate_limit / (1 if self.s.has_peer_messages else volume.heads) * (job.rank < 2)
        if plan.rate_limit and volume.queued - volume.level + req.units > supply * (job.wanted - self.now):
            return self._end(job)  # beyond its limit: earns nothing, so it costs nothing either
        lane = self.lanes.get(req.shard) if req.shard >= 0 else self._place(job)
        return self._offer(job, lane) if lane and not self._crowded(job, lane) else self._end(job)

    def _crowded(self, job: _Job, lane: _Lane) -> bool:
        """Is the node so slow now that a request of this rank is better refused than sent?

        The bounds of many heads can't hold a node's queue down, but all see how long answers wait. What is
        beyond a reserve ends at a shorter wait, the more its volume uses the sooner; a late repeat soonest.
        Drawn, lest heads turn at once. Guards against any shortage. Harm: a pause looks like a crowd."""
        if not self.many or (job.rank == 2 and lane.held):
            return job.rank == 2 and lane.held > 0  # a late repeat: others wait for that place
        over = math.sqrt(min(4.0, max(1.0, self.volumes[job.req.volume].use)))
        may = self.least_aim * CROWD * (2.0, 1 / over, 0.25)[job.rank] * self.random.uniform(0.5, 1.5)
        return self._queue(lane, job.rank > 0) > min(may, job.wanted - self.now - self.unit_s * job.req.units)

    def _queue(self, lane: _Lane, all_nodes: bool = True) -> float:
        """Wait at the node: as its answers told (if old, more as all nodes' did), or the silence since."""
        usual = all_nodes * self.usual * 0.5 ** ((self.now - self.seen) / FRESH_S)
        faded = usual + (lane.wait - usual) * 0.5 ** ((self.now - lane.seen) / FRESH_S)
        return float(max(faded, self.now - lane.heard - lane.response if lane.out else 0.0))

    def _offer(self, job: _Job, lane: _Lane, front: bool = False) -> None:
        """Hold, send what the bound lets. What stays held has a timer: some come with hardly any time."""
        self._hold(job, lane, front)
        self._turn(lane)
        self._tick()
        left = job.ends - self.now - 3 * self.s.clock_tick_s
        if job.held and left <= 0:
            self._end(job)
        elif job.held:
            self.acts.append(SetTimer(left, 1 + job.req.id))
            self._ask(job.req.volume, self._volume(job))

    def _volume(self, job: _Job) -> _Volume:
        volume = self.volumes.get(job.req.volume)
        if volume is None:
            # Its part of a limit fills from the head's start on: an earlier life may have drawn it till then.
            volume = _Volume(job.plan, max(1, job.req.gateway_count), filled=self.since, served=self.now)
            volume.reserve = (self.s.largest_units + job.plan.reserved_rate) / volume.heads
            self.volumes[job.req.volume] = volume
        self.volumes.move_to_end(job.req.volume)
        volume.heads = max(volume.heads, job.req.gateway_count)
        self._fill(volume)
        return volume

    def _fill(self, volume: _Volume) -> None:
        plan, passed = volume.plan, self.now - volume.filled
        while volume.lent and volume.lent[0][0] <= self.now - self.least_aim:
            volume.lent.popleft()
        depth = plan.rate_limit_burst - sum(units for _, units in volume.lent) * volume.heads
        volume.level = min(depth, volume.level * volume.heads + passed * plan.rate_limit) / volume.heads
        fill = max(volume.part, 1 / volume.heads) * plan.reserved_rate
        volume.reserve = min(fill + self.s.largest_units / volume.heads, volume.reserve + passed * fill)
        volume.filled = self.now

    def _ask(self, ident: int, volume: _Volume) -> None:
        """Ask for units of the volume's limit that its other heads do not use, as many as have room here. Two
        that lent before are asked, and count as lenders again once they lend; with none left all are, seldom:
        at size that costs more than the units are worth."""
        lack = volume.queued - volume.level + volume.mine * self.least_aim
        due = volume.asked + (self.look / 2 if volume.lenders else ASK_ALL_S)
        if self.s.has_peer_messages and volume.plan.rate_limit and volume.heads > 1 and lack > 0 and self.now >= due:
            volume.asked = self.now
            most = max(lack, volume.plan.rate_limit_burst / volume.heads - volume.level)
            body = _PEER.pack(_WANT, ident, most, int(self.now * 1000) & 0xFFFFFFFF)
            asked = self.random.sample(sorted(volume.lenders), min(2, len(volume.lenders)))
            volume.lenders -= set(asked)
            self.acts += [SendPeerMessage(head, body) for head in asked] or [SendPeerMessage(None, body)]

    def _on_peer(self, event: PeerMessage) -> None:
        """Units of a limit move: a lender takes them off before it tells, no part passes its even depth less
        what it lent of late, and units that come later than that count no more: so all heads together stay
        within it whatever is lost or late."""
        what, ident, units, asked = _PEER.unpack(event.body) if len(event.body) == _PEER.size else _NONE
        volume = self.volumes.get(ident)
        if volume is None or not 0 < units <= volume.plan.rate_limit_burst:
            return
        self._fill(volume)
        again = self.look if volume.known else self.least_aim  # until it may have units of others itself
        spare = volume.level - volume.queued - volume.mine * again
        if what == _WANT and spare >= 1:
            units = min(units, max(1.0, spare / 2))
            volume.level -= units
            volume.lent.append((self.now, units))
            self.acts.append(SendPeerMessage(event.sender, _PEER.pack(_LEND, ident, units, asked)))
        elif what == _LEND and (int(self.now * 1000) - asked) % 2**32 < self.least_aim * 1000 * ON_TIME:
            volume.lenders.add(event.sender)
            volume.level += units
            self._fill(volume)
            for lane in [x for x in self.busy.values() if ident in x.active]:
                self._turn(lane)

    def _on_takers(self, event: VolumeParticipants) -> None:
        if volume := self.volumes.get(event.volume):
            volume.known, volume.lenders = True, volume.lenders | set(event.gateways) - {self.s.gateway_id}

    def _place(self, job: _Job) -> _Lane | None:
        """A node for a new object: the better of two drawn ones that are well, lest heads herd."""
        drawn = [self.lanes[c] for c in self.random.sample(self.cells, min(4, len(self.cells)))]
        fit = [x for x in drawn if not x.failed and self._cold_room(x)] or [x for x in drawn if x.sound()]
        return min((fit or drawn)[:2], key=lambda x: (self._wait(x), x.cell), default=None)

    def _wait(self, lane: _Lane) -> float:
        ours = self._response(lane) * (1 + (len(lane.out) + lane.held) / lane.bound)
        return ours + self._queue(lane) * self.many

    def _hold(self, job: _Job, lane: _Lane, front: bool = False) -> None:
        flow = lane.flows.setdefault(job.req.volume, _Flow(job.plan.weight))
        if not flow.queue and not flow.out:
            flow.tag = max(flow.tag, self.now)
        job.cell, job.held, flow.used = lane.cell, True, self.now
        (flow.queue.appendleft if front else flow.queue.append)(job)
        lane.soonest = min(lane.soonest, job.wanted) if lane.held else job.wanted
        lane.held, lane.units = lane.held + 1, lane.units + job.req.units
        lane.active[job.req.volume], self.busy[lane.cell] = flow, lane
        lane.flows.move_to_end(job.req.volume)
        while (oldest := next(iter(lane.flows.values()))).used < self.now - IDLE_S and not oldest.out:
            lane.flows.popitem(last=False)
        self._volume(job).queued += job.req.units * (not job.tries)

    def _unhold(self, job: _Job) -> None:
        lane = self.lanes[job.cell]
        lane.flows[job.req.volume].queue.remove(job)
        lane.held, lane.units = lane.held - 1, lane.units - job.req.units
        job.held = False
        self._volume(job).queued -= job.req.units * (not job.tries)

    def _turn(self, lane: _Lane) -> None:
        """Send while the bound has room, as only answers show a node well; then end what comes too late."""
        while lane.held and (job := self._next(lane)) and len(lane.out) < self._room(lane, job):
            self._send(job, lane)
        if lane.sound():
            self._shed(lane)

    def _room(self, lane: _Lane, job: _Job) -> int:  # a run that goes on costs less: one place more
        if not lane.sound():  # half open: one request tries the node, once its pause is over
            return int(lane.node is not None and self.now >= lane.trial_at)
        return int(lane.bound) + (job.here() == lane.extent and 0 < lane.run < RUN_LIMIT)

    def _next(self, lane: _Lane) -> _Job | None:
        """The run of the last extent first, else the volume with the smallest tag."""
        # Tags move only at completion: what is out counts as completed, so no volume fills the bound.
        if 0 < lane.run < RUN_LIMIT and (last := lane.active.get(lane.extent[0])):
            for job in last.queue:  # the run is of one volume: no other queue needs a look
                if job.req.extent == lane.extent[1] and self._sendable(job, lane):
                    return job
        tags = sorted((f.tag + f.out * self._step(f, lane), v) for v, f in lane.active.items() if f.queue)
        order = (job for _, volume in tags for job in lane.flows[volume].queue)
        return next((job for job in order if self._sendable(job, lane)), None)

    def _step(self, flow: _Flow, lane: _Lane) -> float:
        return (sum(flow.recent) / len(flow.recent) if flow.recent else self._response(lane)) / flow.weight

    def _response(self, lane: _Lane) -> float:
        return lane.response or self.least_aim * TARGET_SHARE / 2

    def _sendable(self, job: _Job, lane: _Lane) -> bool:
        turn = not job.key or (
            self.keys[job.key][0] is job and (bool(job.tries) or self.settling.get(job.key, 0.0) <= self.now)
        )
        limited = not job.tries and job.plan.rate_limit and self._volume(job).level < job.req.units
        return turn and not limited and self._cold_room(lane) and (not job.tries or self._may(job, lane.node))

    def _send(self, job: _Job, lane: _Lane) -> None:
        assert lane.node is not None
        self._unhold(job)
        self._volume(job).level -= job.req.units * (not job.tries)
        self.extras += [self.now] if job.tries and self.s.retry_budget_minimum is not None else []
        lane.credit -= job.req.units
        lane.run = (lane.run + 1 if job.here() == lane.extent else 1) if job.req.extent else 0
        lane.extent = job.here()
        lane.heard = lane.heard if lane.out else self.now
        lane.out[job.req.id, len(job.tries)] = self.now
        lane.flows[job.req.volume].out += 1
        # A repeat that waits for its connection must not outlive the window in which nodes drop it.
        doubt = job.doubt() if job.cls.idempotence is Idempotence.WITH_KEY else []
        within = doubt[0].sent + job.cls.deduplication_window_s - 2 * self.s.clock_tick_s - self.now if doubt else 0.0
        job.tries.append(_Attempt(lane.node, self.now))
        # Past its aim it only keeps others waiting at the node: nodes drop what is out of time, or stop it.
        self.acts.append(Send(job.req.id, lane.node, max(job.wanted - self.now, self.look), within))

    def _cold_room(self, lane: _Lane) -> bool:
        """May a node that may have just started be sent one more request by this head?

        An answer gives its units back, so sends follow what the node does. Beyond that they grow by a part of
        what each head had served there (all together: what such a node bore): the warm part times half the
        rule's multiple less one, half being for chance; so the sum stays within the multiple of its power.
        A head younger than the node has its even part of half of what such a node surely bears.
        Drawn starts, lest all begin at once; where no list tells of a start it begins with one request."""
        age = math.inf if lane.born is None else self.now - lane.born - self.s.overload_window_s
        if lane.born is None or age >= self.s.warm_up_s:
            lane.born = None
            return True
        if lane.credited < lane.born - self.s.overload_window_s:
            first = self.s.mean_units * (not lane.guess)
            lane.credited, lane.credit = lane.born - self.s.overload_window_s, -first * self.random.random()
        usual = lane.served / max(lane.born - self.since, self.s.warm_up_s)
        warm = (
            self.s.initial_capacity_fraction + (1 - self.s.initial_capacity_fraction) * max(0.0, age) / self.s.warm_up_s
        )
        sure = self.s.slow_start_units / 2 / self.s.overload_window_s / self.s.gateway_count * (self.since > lane.born)
        grown = max((self.s.overload_multiple - 1) / 2 * warm * usual, sure)
        lane.credit = min(0.0, lane.credit + grown * (self.now - lane.credited))
        lane.credited = self.now
        return lane.credit >= 0

    def _shed(self, lane: _Lane) -> None:
        """While some held request would miss its aim, turn away the least of those that leave before it.
        First what is beyond the share (most per weight first), then the rest; a reserve stays longest.
        Guards against any shortage. Harm: just after a pause it refuses what might have made it."""
        while lane.held:
            if self._all_in_time(lane):
                break
            plan = self._forecast(lane)
            late = next((k for k, (job, done) in enumerate(plan) if done > job.wanted), None)
            if late is None:
                break
            excess = dict.fromkeys((job.req.volume for job, _ in plan), 0.0)
            for job, _ in plan:
                excess[job.req.volume] += job.req.units / job.plan.weight if job.rank else 0.0
            victim = max(
                (job for job, _ in plan[: late + 1]),
                key=lambda j: (
                    j.rank,
                    bool(j.rank) * excess[j.req.volume],
                    -j.cls.priority_weight * j.plan.priority_factor,
                    j.req.id,
                ),
            )
            self._end(victim)

    def _all_in_time(self, lane: _Lane) -> bool:
        """Would even the last of all held be done before the first aim? Spares the forecast, whose work goes
        by what is held; never says yes where the forecast would find one late."""
        ahead = max(0.0, len(lane.out) - int(lane.bound) + 1 + lane.units / self.s.mean_units)
        response = self._done_in(lane)
        last = self.now + ahead * response / int(lane.bound) + response
        if last > lane.soonest:  # what was soonest may have left since: look again
            lane.soonest = min(job.wanted for f in lane.active.values() for job in f.queue)
        return last <= lane.soonest

    def _done_in(self, lane: _Lane) -> float:
        return self._queue(lane) + self.unit_s * self.s.mean_units if self.many else self._response(lane)

    def _forecast(self, lane: _Lane) -> list[tuple[_Job, float]]:
        """Held requests as tags would send them, and when each would be done."""
        response = self._done_in(lane)
        order = [
            (flow.tag + (flow.out + k) * self._step(flow, lane), volume, k, job)
            for volume, flow in lane.active.items()
            for k, job in enumerate(flow.queue)
        ]
        room, pace = int(lane.bound), response / int(lane.bound)  # pace: seconds between two that leave
        ahead = float(len(lane.out) - room + 1)
        plan, left = [], dict[int, float]()
        for _, volume, _, job in sorted(order, key=lambda x: x[:3]):
            if job.plan.rate_limit and not job.tries:
                left[volume] = left.get(volume, self._volume(job).level) - job.req.units
                if left[volume] < 0:  # waits for its limit, in nobody's way
                    plan.append((job, self.now + response))
                    continue
            plan.append((job, self.now + max(0.0, ahead) * pace + response))
            ahead += job.req.units / self.s.mean_units
        return plan

    def _on_outcome(self, event: Outcome) -> None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt >= len(job.tries) or not job.tries[event.attempt].open:
            return
        attempt, lane = job.tries[event.attempt], self.lanes[job.cell]
        never = event.result in (Result.OVERLOADED, Result.CONNECT_FAILED, Result.NOT_SENT)
        attempt.open, attempt.maybe_ran = False, not never
        if event.result in (Result.TIMED_OUT, Result.RESET, Result.CANCELLED) and job.key:
            self.settling[job.key] = self.now + self.s.settle_after_ambiguity_s
        if lane.out.pop((event.id, event.attempt), None) is not None:
            lane.flows[job.req.volume].out -= 1
            self._learn(lane, job, event, attempt)
        self._meter(job, event)
        if event.final or job.over:
            self._over(job)
        elif not any(t.open for t in job.tries):
            self._again(job, event.result)
        self._turn(lane)

    def _learn(self, lane: _Lane, job: _Job, event: Outcome, attempt: _Attempt) -> None:
        silent = event.result is Result.TIMED_OUT and lane.heard <= attempt.sent  # else: lost on the way
        # A kept connection may be all that broke: the next, a new one, shows. Guards against paths that cut
        # idle connections, many at once. Harm: a node that died is suspected a few sends later.
        if (event.result in (Result.CONNECT_FAILED, Result.RESET) and not event.reused_connection) or silent:
            lane.shut |= event.result is Result.CONNECT_FAILED
            self._suspect(lane)
        elif event.result in (Result.SERVED, Result.ERROR, Result.OVERLOADED):
            self._alive(lane)
        if event.result is Result.OVERLOADED:
            lane.bound, lane.wait, lane.seen = max(1.0, lane.bound / 2), self.least_aim + lane.wait, self.now
        elif event.result is Result.SERVED or silent:
            took = self.now - attempt.sent + lane.wait * silent  # a time-out: it waits longer than that
            fresh = max(GAIN, 1 - 0.5 ** ((self.now - lane.seen) / FRESH_S))  # rare answers count for more
            lane.response += (took - lane.response) * (GAIN if lane.response else 1.0)
            # Work a unit: about the lower quarter of what answers took, over all nodes. The rest is waiting.
            self.unit_s = self.unit_s or took / job.req.units
            waited = max(0.0, took - self.unit_s * job.req.units)
            self.unit_s *= 1.01 if waited else 0.97
            lane.wait += fresh * (waited - lane.wait)
            self.waits.append(waited)
            self.usual = sorted(self.waits)[len(self.waits) // 2]
            lane.seen = self.seen = self.now
            flow = lane.flows[job.req.volume]
            lane.served += job.req.units * (not silent)
            lane.credit += job.req.units * (not silent)  # what it served it can bear again
            flow.recent.append(took)
            flow.tag += self._step(flow, lane)
            wanted = self.least_aim * TARGET_SHARE / max(lane.response, 1e-3) * lane.bound + PULL
            if wanted < lane.bound or len(lane.out) + 1 >= int(lane.bound):
                step = GAIN * (min(wanted, 2 * lane.bound) - lane.bound)
                lane.bound = max(1.0, min(lane.bound + step, self.most))
        lane.active = {v: f for v, f in lane.active.items() if f.queue or f.out}
        shift = self.now - min((f.tag for f in lane.active.values()), default=self.now)
        for f in lane.active.values():
            f.tag += shift

    def _meter(self, job: _Job, event: Outcome) -> None:
        volume = self._volume(job)  # its use through this head: the part of the reserve here follows
        if event.result is Result.SERVED:
            span = max(self.s.meter_period_s, self.least_aim)
            keep = max(0.0, 1 - (self.now - volume.served) / span)
            volume.mine, volume.served = volume.mine * keep + job.req.units / span, self.now
        if event.volume_usage is not None:
            volume.use = event.volume_usage
            volume.part = min(1.0, volume.mine / max(event.volume_usage * job.plan.rate, 1e-9))

    def _suspect(self, lane: _Lane, signs: int = 1) -> None:
        """Bad signs in a row, no answer between: hold back, then try with one request after a pause that
        doubles. Guards against any node that takes no work; a lossy path shows single signs only. Harm: work
        waits for the next trial at a node just recovered."""
        lane.away = lane.away if lane.failed else self.now
        lane.failed, lane.heard = lane.failed + signs, self.now
        if lane.failed < SIGNS:
            return
        pause = min(TRIAL_MOST_S, self.s.connect_timeout_s * 2.0 ** min(lane.failed - SIGNS, 8))
        lane.trial_at = self.now + pause * self.random.uniform(0.8, 1.0)
        if lane.failed - signs < SIGNS:
            self.acts.append(Log(f"node {lane.node} suspected"))
        self._replace(lane)

    def _on_hearsay(self, event: GossipedHealth) -> None:
        """Other heads' evidence, weighed by whoever passes it on, with this head's own before it. A node that
        took no connection by their word may have restarted unseen, so it is taken for cold afterwards.
        Guards against each head losing requests of its own to learn it. Harm: work waits for a well node if
        the others are wrong; how many may be shunned so is bounded there."""
        entry = self.nodes.get(event.node)
        lane = self.lanes.get(entry.shard) if entry else None
        if lane is None or lane.node != event.node:
            return
        if event.healthy:
            self._alive(lane)
        else:
            lane.shut |= event.refused_connection
            if lane.sound():
                self._suspect(lane, SIGNS - lane.failed)
            lane.trial_at = self.now + event.retry_delay_s
        self._turn(lane)

    def _replace(self, lane: _Lane) -> None:
        """New objects held for a node that takes nothing go to another."""
        for job in [j for f in lane.active.values() for j in f.queue if j.req.shard < 0 and not j.doubt()]:
            if (other := self._place(job)) and other is not lane:
                self._unhold(job)
                self._hold(job, other)

    def _alive(self, lane: _Lane) -> None:
        lane.heard = self.now
        if lane.failed >= SIGNS:
            if lane.shut:  # it may have restarted while it was away, unseen by the list
                lane.born = self.now if lane.born is None else lane.born
            self.acts.append(Log(f"node {lane.node} answers again"))
        lane.failed, lane.shut = 0, False

    def _may(self, job: _Job, node: int | None) -> bool:
        """May the request go (again) to this node? With node None: may it be refused?

        Unsafe: only while no attempt may have run. Keyed: then also within the group and the window that
        drop its repeats. Every further attempt is within try_limit and, where one is set, the budget."""
        doubt, twice = job.doubt(), any(t.open for t in job.tries) and not self.s.hedging
        if node is not None and (twice or len(job.tries) >= self.s.max_attempts or not self._in_budget()):
            return False
        if not doubt or job.cls.idempotence is Idempotence.IDEMPOTENT:
            return True
        if job.cls.idempotence is Idempotence.NON_IDEMPOTENT or node is None:
            return job.cls.idempotence is Idempotence.WITH_KEY and job.cls.deduplication_scope is DeduplicationScope.ALL
        if self.now + 2 * self.s.clock_tick_s >= doubt[0].sent + job.cls.deduplication_window_s:
            return False
        if job.cls.deduplication_scope is DeduplicationScope.ALL or {t.node for t in doubt} == {node}:
            return True
        there = [self.nodes.get(t.node) for t in doubt] + [self.nodes.get(node)]
        return (
            len(
                {x and (x.zone if job.cls.deduplication_scope is DeduplicationScope.ZONE else x.shard) for x in there}
                - {None}
            )
            == 1
            and None not in there
        )

    def _in_budget(self) -> bool:
        for times in (self.taken, self.extras):
            while times and times[0] < self.now - self.s.retry_budget_window_s:
                times.popleft()
        free = self.s.retry_budget_minimum
        return free is None or len(self.extras) + 1 <= free + self.s.retry_budget_ratio * len(self.taken)

    def _again(self, job: _Job, result: Result) -> None:
        """Nothing of the request is out and it is still owed an answer: another try, or its end."""
        lane = self.lanes[job.cell]
        if job.req.shard < 0 and not lane.sound() and not job.doubt():
            lane = self._place(job) or lane
        hope = self.now + self._response(lane) <= job.ends and result is not Result.TIMED_OUT
        again = hope and lane.node is not None and self._may(job, lane.node)
        return self._offer(job, lane, front=True) if again else self._end(job)

    def _end(self, job: _Job) -> None:
        """Give up: the final answer goes out at once, a refusal wherever one is allowed."""
        if job.rank == 0 and not job.tries:
            self._volume(job).reserve += job.req.units
        if self._may(job, None):
            lane = self.lanes.get(job.cell)  # come back once what is held there has left
            wait = min(self._wait(lane), self.s.max_retry_after_s) if lane else self.s.max_retry_after_s
            self.acts.append(RejectRequest(job.req.id, wait if self.s.sends_retry_after else 0.0))
        else:
            self.acts.append(FailRequest(job.req.id))
        self._over(job)

    def _over(self, job: _Job) -> None:
        """The request is over: nothing more goes out for it, and what is out is called off."""
        if job.held:
            self._unhold(job)
        still = [Cancel(job.req.id, k) for k, t in enumerate(job.tries) if t.open]
        self.acts += still if self.s.can_cancel and not job.over else []
        job.over = True
        if not still and self.jobs.pop(job.req.id, job) and job.key:
            self.keys[job.key].remove(job)
            if not self.keys[job.key]:
                del self.keys[job.key]

    def _on_gone(self, event: ClientDisconnected) -> None:
        if job := self.jobs.get(event.id):
            self._over(job)

    def _tick(self) -> None:
        self.acts += [] if self.ticking else [SetTimer(self.look, 0)]
        self.ticking = True

    def _on_look(self, event: Timer) -> None:
        if event.token == _ASK:
            if self.now + 2 * self.s.clock_tick_s >= self.ask_at:
                self.ask_at = math.inf
                self.acts.append(SetWatch(True) if self.s.polls_endpoints else FetchEndpoints())
            return
        if event.token:  # else: now and then, what only the passing of time changes
            due = self.jobs.get(event.token - 1)
            return self._end(due) if due and due.held and due.ends <= self.now + 4 * self.s.clock_tick_s else None
        self.ticking = False
        for lane in [self.busy[cell] for cell in sorted(self.busy)]:
            patience = SILENT * max(self.least_aim / 2, lane.response)  # slow is not dead
            if lane.out and lane.sound() and self.now - lane.heard > patience:
                self._suspect(lane, min(SIGNS, len(lane.out)))  # each unanswered attempt is one sign
            for job in [j for flow in lane.active.values() for j in flow.queue]:
                if self.now + self.look > job.wanted and not lane.sound():
                    self._end(job)
                else:
                    self._ask(job.req.volume, self._volume(job))
        for lane in [self.busy[cell] for cell in sorted(self.busy)]:
            self._turn(lane)
            if not lane.held and not lane.out:
                lane.active.clear()
                del self.busy[lane.cell]
        self._forget()
        if self.jobs:
            self._tick()

    def _forget(self) -> None:
        """Idle volumes leave the tables; a limit's bucket starts empty again, which is never too much."""
        while self.volumes and (
            len(self.volumes) > VOLUMES_MOST or next(iter(self.volumes.values())).filled < self.now - IDLE_S
        ):
            self.since = max(self.since, self.volumes.popitem(last=False)[1].filled)
        self.settling = {key: until for key, until in self.settling.items() if until > self.now}
