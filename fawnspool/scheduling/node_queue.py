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
    """The queue of one shard; it outlives a change of the node.

    Attributes
    ----------
    node : int or None
        The node that serves the shard; None: there is none now.
    default_response_s : float
        What a node without answers counts as taking.
    in_flight : dict
        Attempts in flight at the node by request and number, and when they were sent.
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
        """Return whether there is a node, and it is not ejected."""
        return self.node is not None and not self.health.is_ejected()

    def change_node(self, node: int | None, now: float) -> None:
        """Let another node, or none, serve the shard: nothing that was known of the former one holds for it."""
        self.node = node
        self.concurrency.reset()
        self.response_times.mean_s = 0.0
        self.slow_start.assume_warm()
        self.health.reset(now)
        self.in_flight = {}
        self.queue.forget_service()

    def mean_response_s(self) -> float:
        """Return the node's mean response, or the default where it has answered nothing."""
        return self.response_times.mean_s or self.default_response_s

    def max_in_flight(self, pending: PendingRequest, now: float) -> int:
        """Return how many may be in flight, this request among them: the limit, or one trial of an ejected node.

        A request that goes on with a run costs its node less, so it gets one place more.
        """
        if not self.is_available():
            is_trial_due = self.node is not None and now >= self.health.next_trial_at
            return 1 if is_trial_due else 0
        return int(self.concurrency.limit) + (1 if self.queue.continues_run(pending) else 0)

    def record_response(
        self,
        pending: PendingRequest,
        took_s: float,
        target_response_s: float,
        fleet: FleetResponseTimes,
        now: float,
    ) -> None:
        """Take in how long a request took at the node, or how long it took at least where it timed out."""
        self.response_times.learn(took_s, pending.request.units, now, fleet)
        self.queue.record_response(pending.request.volume, took_s, self.mean_response_s())
        self.concurrency.record_response(self.response_times.mean_s, target_response_s, len(self.in_flight))

    def record_overload(self, least_objective_s: float, now: float) -> None:
        """Take in that the node rejected a request."""
        self.concurrency.record_overload()
        self.response_times.record_overload(least_objective_s, now)

    def expected_response_s(self, now: float, fleet: FleetResponseTimes | None) -> float:
        """Return how long one more request would take, what is queued here included.

        Parameters
        ----------
        now : float
            Seconds on the caller's clock.
        fleet : FleetResponseTimes or None
            In a large fleet, whose gateways' requests queue up at the node; None: only this gateway's own count.
        """
        ahead = len(self.in_flight) + self.queue.queued
        own_s = self.mean_response_s() * (1 + ahead / self.concurrency.limit)
        return own_s if fleet is None else own_s + self.queueing_delay_s(now, fleet)

    def done_in_s(self, units: float, now: float, fleet: FleetResponseTimes | None) -> float:
        """Return how long a request of so many units takes from its send to its answer; `fleet` as above."""
        if fleet is None:
            return self.mean_response_s()
        return self.queueing_delay_s(now, fleet) + fleet.work_s_per_unit * units

    def queueing_delay_s(self, now: float, fleet: FleetResponseTimes | None) -> float:
        """Return the wait at the node: what its answers told, or the silence since, whichever is longer.

        Parameters
        ----------
        now : float
            Seconds on the caller's clock.
        fleet : FleetResponseTimes or None
            Old answers fade towards the usual wait at all nodes; None: towards no wait.
        """
        usual_wait_s = fleet.median_wait_s * decay(now - fleet.measured_at) if fleet else 0.0
        silence_s = now - self.health.last_answer_at - self.response_times.mean_s if self.in_flight else 0.0
        return max(self.response_times.faded_wait_s(now, usual_wait_s), silence_s)
