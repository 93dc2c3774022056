"""Admission control: a request's rank on arrival, and whether it is admitted to its node's queue."""

from __future__ import annotations

import math
from random import Random

from fawnspool.scheduling.interface import Request, Settings
from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.pending_request import PendingRequest, Rank
from fawnspool.scheduling.rate_limits import RateLimiter
from fawnspool.scheduling.response_times import FleetResponseTimes

MAX_WAIT_FRACTION = 0.25  # part of the least latency objective that a request may spend in a node's queue
RESERVE_WAIT_FACTOR = 2.0  # of the permitted wait, for a request of rank WITHIN_RESERVE
LATE_WAIT_FACTOR = 0.25  # of the permitted wait, for a request of rank LATE
MAX_EXCESS_USE = 4.0  # multiple of a volume's rate; use above it does not reduce the permitted wait further
MIN_WAIT_JITTER = 0.5  # random factor of the permitted wait, so that the gateways do not all reject at once
MAX_WAIT_JITTER = 1.5


def make_pending(request: Request, settings: Settings, now: float) -> PendingRequest:
    """Return the pending request with its due time and expiry.

    It is due when the latency objective or the client's timeout ends, whichever is earlier. For a client's retry, the
    part of the deadline that the client has already spent is deducted from the objective.
    """
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
    """Set a request's rank: LATE if it is due by the next check, else WITHIN_RESERVE if its volume's reserve has units.

    A late request gets its client's timeout as its due time. A request within the reserve draws its units from it.
    """
    if pending.due_at <= now + check_interval_s:
        pending.rank = Rank.LATE
        pending.due_at = pending.expires_at
    elif pending.plan.reserved_rate and limiter.draw_reserve(pending.request.units):
        pending.rank = Rank.WITHIN_RESERVE


def exceeds_rate_limit(pending: PendingRequest, limiter: RateLimiter, settings: Settings, now: float) -> bool:
    """Return whether the volume's rate limit would delay the request past its due time."""
    if not pending.plan.rate_limit:
        return False
    supply_units_per_s = 0.0
    if pending.rank is not Rank.LATE:
        supply_units_per_s = pending.plan.rate_limit / (1 if settings.has_peer_messages else limiter.gateway_count)
    deficit_units = limiter.queued_units - limiter.tokens + pending.request.units
    return deficit_units > supply_units_per_s * (pending.due_at - now)


class QueueingDelayLimit:
    """Rejects requests that would wait too long at a node; used in a large fleet.

    There the concurrency limits of all gateways together are too high to bound a node's queue. Each gateway estimates
    the wait from the node's answers. A request within its volume's reserve may wait longest; beyond the reserve the
    permitted wait falls as the volume's use rises; late client retries may wait least. The threshold is random so
    that the gateways do not all reject at the same time.
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

        `volume_usage` is the volume's use through all gateways, as a share of its plan's rate.
        """
        excess_divisor = math.sqrt(min(MAX_EXCESS_USE, max(1.0, volume_usage)))
        if pending.rank is Rank.WITHIN_RESERVE:
            factor = RESERVE_WAIT_FACTOR
        elif pending.rank is Rank.BEYOND_RESERVE:
            factor = 1 / excess_divisor
        else:
            factor = LATE_WAIT_FACTOR
        jitter = self._random.uniform(MIN_WAIT_JITTER, MAX_WAIT_JITTER)
        max_wait_s = self._least_objective_s * MAX_WAIT_FRACTION * factor * jitter
        work_s = fleet.work_s_per_unit * pending.request.units
        fleet_waits = None if pending.rank is Rank.WITHIN_RESERVE else fleet
        delay_s = node_queue.queueing_delay_s(now, fleet_waits)
        return delay_s > min(max_wait_s, pending.due_at - now - work_s)
