"""How long nodes take: mean responses, and the part of them that is waiting rather than work."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

RESPONSE_SMOOTHING = 0.1  # of a node's mean response, per answer
WAIT_HALF_LIFE_S = 1.0  # an answer of this age counts half for its node's wait
WAITS_IN_MEDIAN = 9  # the latest, of all nodes
WORK_GROWTH = 1.01  # with WORK_DECAY: the estimate rests where three answers of four waited
WORK_DECAY = 0.97


def decay(age_s: float) -> float:
    """Return what a measured wait still counts at this age: 1 when new."""
    remaining: float = 0.5 ** (age_s / WAIT_HALF_LIFE_S)
    return remaining


@dataclass(slots=True)
class FleetResponseTimes:
    """What a gateway learned from the answers of all nodes.

    Attributes
    ----------
    work_s_per_unit : float
        Work of one unit: about the lower quarter of what answers took a unit.
    median_wait_s : float
        Of the last waits at any node.
    measured_at : float
        When the last answer came.
    """

    work_s_per_unit: float = 0.0
    recent_waits_s: deque[float] = field(default_factory=lambda: deque([0.0], maxlen=WAITS_IN_MEDIAN))
    median_wait_s: float = 0.0
    measured_at: float = 0.0

    def learn(self, took_s: float, units: float) -> float:
        """Take in one answer, and return how much of it was waiting, in seconds."""
        self.work_s_per_unit = self.work_s_per_unit or took_s / units
        waited_s = max(0.0, took_s - self.work_s_per_unit * units)
        self.work_s_per_unit *= WORK_GROWTH if waited_s else WORK_DECAY
        return waited_s

    def record_wait(self, waited_s: float, now: float) -> None:
        """Take one wait into the median."""
        self.recent_waits_s.append(waited_s)
        self.median_wait_s = sorted(self.recent_waits_s)[len(self.recent_waits_s) // 2]
        self.measured_at = now


@dataclass(slots=True)
class NodeResponseTimes:
    """What a gateway learned from one node's answers.

    Attributes
    ----------
    mean_s : float
        Smoothed mean response; 0 while there is none.
    wait_s : float
        Part of a response that is not work, as of `measured_at`.
    """

    mean_s: float = 0.0
    wait_s: float = 0.0
    measured_at: float = 0.0

    def learn(self, took_s: float, units: float, now: float, fleet: FleetResponseTimes) -> None:
        """Take in one answer. Rare answers count for more in the wait."""
        freshness = max(RESPONSE_SMOOTHING, 1 - decay(now - self.measured_at))
        self.mean_s += (took_s - self.mean_s) * (RESPONSE_SMOOTHING if self.mean_s else 1.0)
        waited_s = fleet.learn(took_s, units)
        self.wait_s += freshness * (waited_s - self.wait_s)
        fleet.record_wait(waited_s, now)
        self.measured_at = now

    def record_overload(self, least_objective_s: float, now: float) -> None:
        """Take in a rejection by the node: whoever comes now waits longer than the least latency objective."""
        self.wait_s = least_objective_s + self.wait_s
        self.measured_at = now

    def faded_wait_s(self, now: float, usual_wait_s: float) -> float:
        """Return the wait as the answers told, nearer to the usual one the older they are."""
        return usual_wait_s + (self.wait_s - usual_wait_s) * decay(now - self.measured_at)
