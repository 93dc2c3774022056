"""How a storage node behaves: cores, a queue in order of arrival, a cold start, faults.

The stand-in nodes on sockets and the model share it. It does no I/O and reads no clock: each call gets the time, in
seconds on the caller's clock, and calls come in order of time. Work is counted in units; a core of a warm, undisturbed
node does one unit in `unit_time` seconds.

The length of a service is settled when it starts; pauses that begin later push it back, other changes of pace act on
what starts after them.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random

_MIN_UNIT_TIME_S = 1e-9
_MIN_RATE = 1e-3  # of a core, against a warm and undisturbed one
_SERVICE_TIME_WEIGHT = 0.2  # of the newest service time in the smoothed one


@dataclass(frozen=True)
class NodeTraits:
    """What a node is like. Times in seconds, work in units. Command lines of stand-ins name them as they are here."""

    cores: int = 2
    unit_time: float = 0.02  # of one unit on one warm core; 0: everything is instant
    room: int = 64  # length of the queue
    cold_from: float = 0.3  # share of its power with which it starts
    warm_after: float = 10.0  # its power grows evenly over this time
    seek_saved: float = 0.0  # share of the work that a first attempt on a recent extent saves
    remembers: int = 2  # how many extents are recent
    deferred: float = 0.0  # share of a write's work that is deferred
    flush_every: float = 2.0  # interval of flushes, which do deferred work
    drops_expired: bool = True  # whether work past its deadline is not begun
    cancels: str = "all"  # what a cancel stops: "none", "queued", "all"
    spread: float = 0.2  # of a request's work around its mean: uniform, this share either way
    fall_multiple: float = 2.0  # the overload rule for cold nodes: see `arrive`
    fall: float = 2.0
    fall_slack: float = 8.0  # units by which chance may pass the budget


@dataclass(slots=True)
class Work:
    """One attempt at a node."""

    ident: int
    units: float
    writes: bool = False
    extent: int = 0
    first: bool = True  # the request's first attempt
    until: float = math.inf  # when its sender stops waiting
    began: float = -1.0
    ends: float = math.inf
    flush: bool = False


@dataclass(slots=True)
class Pace:
    """What slows a node down now."""

    slow: float = 1.0  # times slower
    taken: float = 0.0  # share of the machine that another tenant takes
    paused: float = 0.0  # no work is done until then


@dataclass
class NodeBehaviour:
    """A node's queue and cores.

    Attributes
    ----------
    started : float
        When its process started; -inf: long ago, so that it is warm.
    fallen : bool
        Whether the overload rule for cold nodes has brought it down.
    """

    traits: NodeTraits
    random: Random
    started: float
    pace: Pace = field(default_factory=Pace)
    waiting: deque[Work] = field(default_factory=deque)
    running: dict[int, Work] = field(default_factory=dict)
    recent_extents: deque[int] = field(default_factory=deque)
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)  # (time, units) within `traits.fall` seconds
    arrived_units: float = 0.0  # the sum of `arrivals`
    deferred_units: float = 0.0
    flush_at: float = 0.0
    flushes: int = 0
    fallen: bool = False
    smoothed_service_s: float = 0.0
    unreported_ends: list[Work] = field(default_factory=list)  # for the next `step`
    unreported_drops: list[Work] = field(default_factory=list)  # for the next `expired`

    def warmth(self, now: float) -> float:
        """Return the share of its power that the node has."""
        traits = self.traits
        age_s = max(0.0, now - self.started)
        return min(1.0, traits.cold_from + (1 - traits.cold_from) * age_s / traits.warm_after)

    def power(self, now: float) -> float:
        """Return the units a second that the node can do, undisturbed."""
        return self.traits.cores / max(self.traits.unit_time, _MIN_UNIT_TIME_S) * self.warmth(now)

    def arrive(self, now: float, work: Work) -> bool:
        """Take an attempt. Returns whether there was room for it.

        The overload rule for cold nodes counts all that arrives, refused or not: more than `fall_multiple` times what
        a young node can do within any `fall` seconds, and the slack, brings it down for good.
        """
        self._apply_overload_rule(now, work)
        self.unreported_ends = self.step(now)
        if len(self.waiting) >= self.traits.room and len(self.running) >= self.traits.cores:
            return False
        self.waiting.append(work)
        self._start_waiting(now)
        return True

    def _apply_overload_rule(self, now: float, work: Work) -> None:
        traits = self.traits
        if not traits.unit_time or now - self.started >= traits.warm_after + traits.fall:
            return
        self.arrivals.append((now, work.units))
        self.arrived_units += work.units
        while self.arrivals[0][0] <= now - traits.fall:
            _, units = self.arrivals.popleft()
            self.arrived_units -= units
        mean_power = self.power(max(self.started, now - traits.fall / 2))  # as power grows evenly
        if self.arrived_units > traits.fall_multiple * mean_power * traits.fall + traits.fall_slack:
            self.fallen = True

    def cancel(self, now: float, ident: int) -> bool:
        """Drop an attempt that its sender has cancelled, where the traits let it. Returns whether it was dropped."""
        cancels = self.traits.cancels
        if cancels != "none":
            for work in self.waiting:
                if work.ident == ident:
                    self.waiting.remove(work)
                    return True
        if cancels == "all" and ident in self.running:
            del self.running[ident]
            self._start_waiting(now)
            return True
        return False

    def pause(self, now: float, length_s: float) -> None:
        """Do no work for some seconds from now on."""
        until = now + length_s
        pushed_s = until - max(now, self.pace.paused)
        if pushed_s > 0:
            for work in self.running.values():
                work.ends += pushed_s
            self.pace.paused = until

    def due(self) -> float:
        """Return when something ends next, if nothing else happens; -inf: there are ends to report."""
        if self.unreported_ends or self.unreported_drops:
            return -math.inf
        return min((work.ends for work in self.running.values()), default=math.inf)

    def step(self, now: float) -> list[Work]:
        """Return all work that has ended by now, in order, and start what waited for it."""
        ended = self.unreported_ends
        self.unreported_ends = []
        while self.running:
            work = min(self.running.values(), key=lambda work: (work.ends, work.ident))
            if work.ends > now:
                break
            del self.running[work.ident]
            if not work.flush:
                ended.append(work)
                service_s = work.ends - work.began
                self.smoothed_service_s += _SERVICE_TIME_WEIGHT * (service_s - self.smoothed_service_s)
            self._start_waiting(work.ends)
        return ended

    def expired(self, now: float) -> list[Work]:
        """Drop and return what waits past its deadline, where the traits say so."""
        if not self.traits.drops_expired:
            return []
        expired = [work for work in self.waiting if work.until <= now]
        for work in expired:
            self.waiting.remove(work)
        dropped = self.unreported_drops + expired
        self.unreported_drops = []
        return dropped

    def _start_waiting(self, now: float) -> None:
        """Start a flush that is due, and what waits, while there are idle cores."""
        self._flush_if_due(now)
        while self.waiting and len(self.running) < self.traits.cores:
            work = self.waiting.popleft()
            if self.traits.drops_expired and work.until <= now:
                self.unreported_drops.append(work)
            else:
                self._start(now, work, self._service_units(now, work))

    def _flush_if_due(self, now: float) -> None:
        if self.deferred_units <= 0 or now < self.flush_at:
            return
        self.flushes += 1
        self._start(now, Work(-self.flushes, self.deferred_units, flush=True), self.deferred_units)
        self.deferred_units = 0.0
        self.flush_at = now + self.traits.flush_every

    def _service_units(self, now: float, work: Work) -> float:
        """Return the units to do now for an attempt: fewer on a recent extent, a part of a write later."""
        traits = self.traits
        units = work.units
        if work.extent and work.first and work.extent in self.recent_extents:
            units *= 1 - traits.seek_saved
        if work.extent:
            self._remember_extent(work.extent)
        if work.writes and traits.deferred:
            if not self.deferred_units:
                self.flush_at = max(self.flush_at, now + traits.flush_every)
            self.deferred_units += units * traits.deferred
            units *= 1 - traits.deferred
        return units * (1 + self.random.uniform(-traits.spread, traits.spread))

    def _remember_extent(self, extent: int) -> None:
        if extent in self.recent_extents:
            self.recent_extents.remove(extent)
        self.recent_extents.append(extent)
        while len(self.recent_extents) > self.traits.remembers:
            self.recent_extents.popleft()

    def _start(self, now: float, work: Work, units: float) -> None:
        start = max(now, self.pace.paused)
        rate = self.warmth(now) * (1 - self.pace.taken) / self.pace.slow
        work.began = now
        work.ends = start + units * self.traits.unit_time / max(rate, _MIN_RATE)
        self.running[work.ident] = work

    def load(self, name: str) -> float:
        """Return a figure of the load report, by its name on the wire; 0 for one that nodes don't know."""
        if name == "queue":
            return float(len(self.waiting))
        if name == "inflight":
            return float(len(self.waiting) + len(self.running))
        if name == "latency_ms":
            return self.smoothed_service_s * 1000
        if name == "util":
            return min(1.0, len(self.running) / self.traits.cores)
        return 0.0
