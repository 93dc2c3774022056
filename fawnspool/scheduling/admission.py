"""Admission: how a request ranks on arrival, and whether it is admitted to its node's queue."""

from __future__ import annotations

import math
from random import Random

from fawnspool.scheduling.interface import Request, Settings
from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.pending_request import PendingRequest, Rank
from fawnspool.scheduling.rate_limits import RateLimiter
from fawnspool.scheduling.response_times import FleetResponseTimes

MAX_WAIT_FRACTION = 0.25  # of the least latency objective that may pass in a node's queue
RESERVE_WAIT_FACTOR = 2.0
LATE_WAIT_FACTOR = 0.25
MAX_EXCESS_USE = 4.0  # of a volume's rate: more shortens its wait no further
MIN_WAIT_JITTER = 0.5  # drawn, so that gateways don't reject all at once
MAX_WAIT_JITTER = 1.5


def make_pending(request: Request, settings: Settings, now: float) -> PendingRequest:
    """Return the request with its times; some clients leave less time than the latency objective."""
    request_class = settings.classes[request.class_index]
    spent_s = max(0.0, request_class.deadline_s - request.timeout_s) if request.is_client_retry else 0.0
    return PendingRequest(
        request,
        request_class,
        settings.plans[request.plan_index],
        expires_at=now + request.timeout_s,
        due_at=now + min(request_class.latency_objective_s - spent_s, request.timeout_s),
        rank=Rank.BEYOND_RESERVE,
        order_key=(request.extent or None) if request_class.ordered else None,
    )


def assign_rank(pending: PendingRequest, limiter: RateLimiter, now: float, check_interval_s: float) -> None:
    """Find out whether a request is late already, or within its volume's reserve, from which it then draws."""
    if pending.due_at <= now + check_interval_s:
        pending.rank = Rank.LATE
        pending.due_at = pending.expires_at
    elif pending.plan.reserved_rate and limiter.draw_reserve(pending.request.units):
        pending.rank = Rank.WITHIN_RESERVE


def exceeds_rate_limit(pending: PendingRequest, limiter: RateLimiter, settings: Settings, now: float) -> bool:
    """Return whether the volume's rate limit holds the request back until it earns nothing."""
    if not pending.plan.rate_limit:
        return False
    supply_units_per_s = 0.0
    if pending.rank is not Rank.LATE:
        supply_units_per_s = pending.plan.rate_limit / (1 if settings.has_peer_messages else limiter.gateway_count)
    lacking_units = limiter.queued_units - limiter.tokens + pending.request.units
    return lacking_units > supply_units_per_s * (pending.due_at - now)


class QueueingDelayLimit:
    """Rejects what would wait too long at its node, where the fleet is too large for the concurrency limits.

    All gateways see how long answers wait. What is beyond a reserve ends at a shorter wait, the sooner the more its
    volume uses; a late client retry soonest. The threshold is drawn, lest all gateways reject at once.
    """

    def __init__(self, settings: Settings, least_objective_s: float, random: Random) -> None:
        self._least_objective_s = least_objective_s
        self._random = random

    def rejects(
        self,
        pending: PendingRequest,
        node_queue: NodeQueue,
        volume_usage: float,
        fleet: FleetResponseTimes,
        now: float,
    ) -> bool:
        """Return whether the node's queueing delay is too long for a request of this rank.

        `volume_usage` is the volume's whole use, as a share of its plan's rate.
        """
        excess_use = math.sqrt(min(MAX_EXCESS_USE, max(1.0, volume_usage)))
        if pending.rank is Rank.WITHIN_RESERVE:
            factor = RESERVE_WAIT_FACTOR
        elif pending.rank is Rank.BEYOND_RESERVE:
            factor = 1 / excess_use
        else:
            factor = LATE_WAIT_FACTOR
        jitter = self._random.uniform(MIN_WAIT_JITTER, MAX_WAIT_JITTER)
        max_wait_s = self._least_objective_s * MAX_WAIT_FRACTION * factor * jitter
        work_s = fleet.work_s_per_unit * pending.request.units
        known_waits = None if pending.rank is Rank.WITHIN_RESERVE else fleet
        delay_s = node_queue.queueing_delay_s(now, known_waits)
        return delay_s > min(max_wait_s, pending.due_at - now - work_s)
