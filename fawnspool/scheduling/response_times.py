"""Response times of nodes: their means, and the part of a response that is waiting rather than work."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

RESPONSE_SMOOTHING = 0.1  # weight of a new answer in a node's mean response
WAIT_HALF_LIFE_S = 1.0  # an answer of this age counts half in the estimate of its node's wait
WAITS_IN_MEDIAN = 9  # the latest waits, at any node
WORK_GROWTH = 1.01  # with WORK_DECAY, the estimate settles where three of four answers include a wait
WORK_DECAY = 0.97


def decay(age_s: float) -> float:
    """Return the weight of a measured wait at this age, which is 1 for a new one."""
    remaining: float = 0.5 ** (age_s / WAIT_HALF_LIFE_S)
    return remaining


@dataclass(slots=True)
class FleetResponseTimes:
    """A gateway's estimates from the answers of all nodes.

    Attributes
    ----------
    work_s_per_unit : float
        Time that a unit of work takes without waiting: about the lower quartile of the response times per unit.
    median_wait_s : float
        Median of the last waits at any node.
    measured_at : float
        When the last answer arrived.
    """

    work_s_per_unit: float = 0.0
    recent_waits_s: deque[float] = field(default_factory=lambda: deque([0.0], maxlen=WAITS_IN_MEDIAN))
    median_wait_s: float = 0.0
    measured_at: float = 0.0

    def learn(self, response_s: float, units: float) -> float:
        """Record one answer, and return the part of its response time that was waiting, in seconds."""
        self.work_s_per_unit = self.work_s_per_unit or response_s / units
        waited_s = max(0.0, response_s - self.work_s_per_unit * units)
        self.work_s_per_unit *= WORK_GROWTH if waited_s else WORK_DECAY
        return waited_s

    def record_wait(self, waited_s: float, now: float) -> None:
        """Add one wait to the median."""
        self.recent_waits_s.append(waited_s)
        self.median_wait_s = sorted(self.recent_waits_s)[len(self.recent_waits_s) // 2]
        self.measured_at = now


@dataclass(slots=True)
class NodeResponseTimes:
    """A gateway's estimates from one node's answers.

    Attributes
    ----------
    mean_s : float
        Smoothed mean response; 0 while there is none.
    wait_s : float
        Estimated part of a response that is waiting, as of `measured_at`.
    """

    mean_s: float = 0.0
    wait_s: float = 0.0
    measured_at: float = 0.0

    def learn(self, response_s: float, units: float, now: float, fleet: FleetResponseTimes) -> None:
        """Record one answer; its weight in the estimated wait grows with the time since the previous answer."""
        smoothing = max(RESPONSE_SMOOTHING, 1 - decay(now - self.measured_at))
        self.mean_s += (response_s - self.mean_s) * (RESPONSE_SMOOTHING if self.mean_s else 1.0)
        waited_s = fleet.learn(response_s, units)
        self.wait_s += smoothing * (waited_s - self.wait_s)
        fleet.record_wait(waited_s, now)
        self.measured_at = now

    def record_overload(self, least_objective_s: float, now: float) -> None:
        """Record a rejection by the node: assume a wait above the least latency objective from now on."""
        self.wait_s = least_objective_s + self.wait_s
        self.measured_at = now

    def faded_wait_s(self, now: float, usual_wait_s: float) -> float:
        """Return the measured wait, which decays towards the usual one with the age of the last answer."""
        return usual_wait_s + (self.wait_s - usual_wait_s) * decay(now - self.measured_at)
