"""A shard's queue, and what is known of the node that serves it now."""

from __future__ import annotations

from dataclasses import dataclass, field

from fawnspool.scheduling.concurrency import ConcurrencyLimit
from fawnspool.scheduling.fair_queue import FairQueue
from fawnspool.scheduling.outliers import NodeHealth
from fawnspool.scheduling.pending_request import PendingRequest
from fawnspool.scheduling.response_times import FleetResponseTimes, NodeResponseTimes, decay
from fawnspool.scheduling.slow_start import SlowStart


@dataclass(slots=True, eq=False)
class NodeQueue:
    """The queue of one shard, which is kept when another node takes over the shard.

    Attributes
    ----------
    node : int or None
        The node that serves the shard, if any.
    default_response_s : float
        Mean response assumed for a node that has not answered yet.
    in_flight : dict
        Send times of the attempts in flight at the node, by request id and attempt number.
    """

    shard: int
    concurrency: ConcurrencyLimit
    default_response_s: float
    node: int | None = None
    queue: FairQueue = field(default_factory=FairQueue)
    response_times: NodeResponseTimes = field(default_factory=NodeResponseTimes)
    health: NodeHealth = field(default_factory=NodeHealth)
    slow_start: SlowStart = field(default_factory=SlowStart)
    in_flight: dict[tuple[int, int], float] = field(default_factory=dict)

    def is_available(self) -> bool:
        """Return whether a node serves the shard and is not ejected."""
        return self.node is not None and not self.health.is_ejected()

    def change_node(self, node: int | None, now: float) -> None:
        """Assign another node, or none, to the shard, and drop what was known of the former node."""
        self.node = node
        self.concurrency.reset()
        self.response_times.mean_s = 0.0
        self.slow_start.assume_warm()
        self.health.reset(now)
        self.in_flight = {}
        self.queue.reset_measurements()

    def mean_response_s(self) -> float:
        """Return the node's mean response, or the default where it has not answered yet."""
        return self.response_times.mean_s or self.default_response_s

    def max_in_flight(self, pending: PendingRequest, now: float) -> int:
        """Return how many requests may be in flight, this one included: the limit, or one trial at an ejected node.

        A request that continues a run costs the node less, so one more may be in flight for it.
        """
        if not self.is_available():
            is_trial_due = self.node is not None and now >= self.health.next_trial_at
            return 1 if is_trial_due else 0
        return int(self.concurrency.limit) + (1 if self.queue.continues_run(pending) else 0)

    def record_response(
        self,
        pending: PendingRequest,
        response_s: float,
        target_response_s: float,
        fleet: FleetResponseTimes,
        now: float,
    ) -> None:
        """Record a request's response time at the node, or its lower bound where the request timed out."""
        self.response_times.learn(response_s, pending.request.units, now, fleet)
        self.queue.record_response(pending.request.volume, response_s, self.mean_response_s())
        self.concurrency.record_response(self.response_times.mean_s, target_response_s, len(self.in_flight))

    def record_overload(self, least_objective_s: float, now: float) -> None:
        """Record that the node rejected a request."""
        self.concurrency.record_overload()
        self.response_times.record_overload(least_objective_s, now)

    def expected_response_s(self, now: float, fleet: FleetResponseTimes | None) -> float:
        """Return how long one more request would take, including the queue in this gateway.

        Parameters
        ----------
        now : float
            Seconds on the caller's clock.
        fleet : FleetResponseTimes or None
            Given in a large fleet, where requests of many gateways queue at the node; None: only requests of this
            gateway count.
        """
        requests_ahead = len(self.in_flight) + self.queue.queued
        response_here_s = self.mean_response_s() * (1 + requests_ahead / self.concurrency.limit)
        return response_here_s if fleet is None else response_here_s + self.queueing_delay_s(now, fleet)

    def done_in_s(self, units: float, now: float, fleet: FleetResponseTimes | None) -> float:
        """Return the time from send to answer of a request of `units`; `fleet` as in `expected_response_s`."""
        if fleet is None:
            return self.mean_response_s()
        return self.queueing_delay_s(now, fleet) + fleet.work_s_per_unit * units

    def queueing_delay_s(self, now: float, fleet: FleetResponseTimes | None) -> float:
        """Return the expected wait at the node.

        This is the estimate from the node's answers, or how long its next answer is overdue if that is longer.

        Parameters
        ----------
        now : float
            Seconds on the caller's clock.
        fleet : FleetResponseTimes or None
            As the node's answers age, the estimate decays towards the median wait at all nodes; None: towards 0.
        """
        usual_wait_s = fleet.median_wait_s * decay(now - fleet.measured_at) if fleet else 0.0
        silence_s = now - self.health.last_answer_at - self.response_times.mean_s if self.in_flight else 0.0
        return max(self.response_times.faded_wait_s(now, usual_wait_s), silence_s)
