"""How a storage node behaves: cores, a waiting room in order of arrival, a cold start, faults.

One account for the stand-in nodes on sockets and for the fleet model. No I/O, no clock: every call gets the
time, in seconds on the caller's clock, and calls come in order of time. Work is counted in units; a core of
a warm, undisturbed node does one unit in `unit_time` seconds.

A service's length is settled when it starts; pauses that begin later push it back, other changes of pace
act on what starts after them.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random


@dataclass(frozen=True)
class NodeTraits:
    """What a node is like. Times in seconds, work in units."""

    cores: int = 2
    unit_time: float = 0.02  # of one unit on one warm core; 0: everything is instant
    room: int = 64  # requests that may wait
    cold_from: float = 0.3  # part of its power with which it starts
    warm_after: float = 10.0  # it gains evenly over this time
    seek_saved: float = 0.0  # part of the work saved on a first attempt that goes on a recent extent
    remembers: int = 2  # extents that it remembers for that
    deferred: float = 0.0  # part of a write's work that is put off
    flush_every: float = 2.0  # and done together this often
    drops_expired: bool = True  # work whose time is up is not begun
    cancels: str = "all"  # what a cancel stops: "none", "queued", "all"
    spread: float = 0.2  # of a request's work around its mean: uniform, this part either way
    fall_multiple: float = 2.0  # the rule for cold nodes; see `arrive`
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
    """What presses on a node just now."""

    slow: float = 1.0  # times slower
    taken: float = 0.0  # share of the machine that another program takes
    paused: float = 0.0  # it stands still until then


@dataclass
class NodeBehaviour:
    """A node's queue and cores. `arrive`, `cancel` and `step` are all there is to it."""

    traits: NodeTraits
    random: Random
    started: float  # -inf: long ago, so warm
    pace: Pace = field(default_factory=Pace)
    waiting: deque[Work] = field(default_factory=deque)
    running: dict[int, Work] = field(default_factory=dict)
    recent: deque[int] = field(default_factory=deque)
    arrivals: deque[tuple[float, float]] = field(default_factory=deque)
    put_off: float = 0.0
    flush_at: float = 0.0
    fallen: bool = False
    flushes: int = 0
    served_time: float = 0.0  # recent service time, smoothed
    inside: float = 0.0  # units arrived within the last `fall` seconds
    over: list[Work] = field(default_factory=list)  # ended or dropped while something else was done: not told yet
    dropped: list[Work] = field(default_factory=list)

    def warmth(self, now: float) -> float:
        """Part of its power that the node has at `now`."""
        t = self.traits
        return min(1.0, t.cold_from + (1 - t.cold_from) * max(0.0, now - self.started) / t.warm_after)

    def power(self, now: float) -> float:
        """Units a second that it can do at `now`, left to itself."""
        return self.traits.cores / max(self.traits.unit_time, 1e-9) * self.warmth(now)

    def arrive(self, now: float, work: Work) -> bool:
        """An attempt reaches the node; False: turned away, the room is full.

        The rule for cold nodes is counted here, over what arrives, refused or not: more than `fall_multiple`
        times what the node can do within any `fall` seconds (and the slack) brings a young node down for good."""
        t = self.traits
        if t.unit_time and now - self.started < t.warm_after + t.fall:
            self.arrivals.append((now, work.units))
            self.inside += work.units
            while self.arrivals[0][0] <= now - t.fall:
                self.inside -= self.arrivals.popleft()[1]
            middle = self.power(max(self.started, now - t.fall / 2))  # its mean over the window
            if self.inside > t.fall_multiple * middle * t.fall + t.fall_slack:
                self.fallen = True
        self.over = self.step(now)  # ends that the next `step` has still to tell
        if len(self.waiting) >= t.room and len(self.running) >= t.cores:
            return False
        self.waiting.append(work)
        self._fill(now)
        return True

    def cancel(self, now: float, ident: int) -> bool:
        """The sender calls an attempt off; True: its work will not be (or has not been) done."""
        how = self.traits.cancels
        if how != "none":
            for work in self.waiting:
                if work.ident == ident:
                    self.waiting.remove(work)
                    return True
        if how == "all" and ident in self.running:
            del self.running[ident]
            self._fill(now)
            return True
        return False

    def pause(self, now: float, length: float) -> None:
        """The node stands still for `length` seconds from now on."""
        until = now + length
        pushed = until - max(now, self.pace.paused)
        if pushed > 0:
            for work in self.running.values():
                work.ends += pushed
            self.pace.paused = until

    def due(self) -> float:
        """When something ends next, if nothing else happens; -inf: there are ends to tell."""
        if self.over or self.dropped:
            return -math.inf
        return min((w.ends for w in self.running.values()), default=math.inf)

    def step(self, now: float) -> list[Work]:
        """All that has ended by `now`, in order; what waits moves up behind each end."""
        done, self.over = self.over, []
        while self.running:
            work = min(self.running.values(), key=lambda w: (w.ends, w.ident))
            if work.ends > now:
                break
            del self.running[work.ident]
            if not work.flush:
                done.append(work)
                took = work.ends - work.began
                self.served_time += 0.2 * (took - self.served_time)
            self._fill(work.ends)
        return done

    def expired(self, now: float) -> list[Work]:
        """What waits though its sender has stopped waiting; it is dropped where the traits say so."""
        if not self.traits.drops_expired:
            return []
        gone = [w for w in self.waiting if w.until <= now]
        for work in gone:
            self.waiting.remove(work)
        gone, self.dropped = self.dropped + gone, []
        return gone

    def _fill(self, now: float) -> None:
        t = self.traits
        if self.put_off > 0 and now >= self.flush_at:
            self.flushes += 1
            self._start(now, Work(-self.flushes, self.put_off, flush=True))
            self.put_off, self.flush_at = 0.0, now + t.flush_every
        while self.waiting and len(self.running) < t.cores:
            work = self.waiting.popleft()
            if t.drops_expired and work.until <= now:
                self.dropped.append(work)
                continue
            self._start(now, work)

    def _start(self, now: float, work: Work) -> None:
        t, units = self.traits, work.units
        if not work.flush:
            if work.extent and work.first and work.extent in self.recent:
                units *= 1 - t.seek_saved
            if work.extent:
                if work.extent in self.recent:
                    self.recent.remove(work.extent)
                self.recent.append(work.extent)
                while len(self.recent) > t.remembers:
                    self.recent.popleft()
            if work.writes and t.deferred:
                if not self.put_off:
                    self.flush_at = max(self.flush_at, now + t.flush_every)
                self.put_off += units * t.deferred
                units *= 1 - t.deferred
            units *= 1 + self.random.uniform(-t.spread, t.spread)
        start = max(now, self.pace.paused)
        rate = self.warmth(now) * (1 - self.pace.taken) / self.pace.slow
        work.began, work.ends = now, start + units * t.unit_time / max(rate, 1e-3)
        self.running[work.ident] = work

    def load(self, name: str) -> float:
        """A figure of the load report, by its wire name."""
        if name == "queue":
            return float(len(self.waiting))
        if name == "inflight":
            return float(len(self.waiting) + len(self.running))
        if name == "latency_ms":
            return self.served_time * 1000
        if name == "util":
            return min(1.0, len(self.running) / self.traits.cores)
        return 0.0
