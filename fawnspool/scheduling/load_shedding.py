"""Load shedding: which queued request is given up when some would be late at a node."""

from __future__ import annotations

from collections.abc import Callable

from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.pending_request import PendingRequest, Rank

Forecast = list[tuple[PendingRequest, float]]  # queued requests in the order of their turns, and when each is done


def all_are_in_time(node_queue: NodeQueue, done_in_s: float, mean_units: float, now: float) -> bool:
    """Return whether even the last of all that is queued would be done before the first is due.

    It spares the forecast, whose work goes by what is queued; it is never true where the forecast finds one late.

    Parameters
    ----------
    node_queue : NodeQueue
        The node and its queue.
    done_in_s : float
        From a request's send to its answer.
    mean_units : float
        Units of a usual request.
    now : float
        Seconds on the caller's clock.
    """
    queue = node_queue.queue
    slots = int(node_queue.concurrency.limit)
    ahead = max(0.0, len(node_queue.in_flight) - slots + 1 + queue.queued_units / mean_units)
    last_done_at = now + ahead * done_in_s / slots + done_in_s
    if last_done_at > queue.earliest_due_at:
        queue.refresh_earliest_due()
    return last_done_at <= queue.earliest_due_at


def forecast(
    node_queue: NodeQueue,
    done_in_s: float,
    mean_units: float,
    tokens: Callable[[PendingRequest], float],
    now: float,
) -> Forecast:
    """Return queued requests in the order in which their tags would send them, and when each would be done.

    Parameters
    ----------
    node_queue : NodeQueue
        The node and its queue.
    done_in_s : float
        From a request's send to its answer.
    mean_units : float
        Units of a usual request.
    tokens : callable
        What a request's volume has of its rate limit, in units.
    now : float
        Seconds on the caller's clock.
    """
    slots = int(node_queue.concurrency.limit)
    seconds_between_sends = done_in_s / slots
    ahead = float(len(node_queue.in_flight) - slots + 1)
    tokens_left = dict[int, float]()
    plan: Forecast = []
    for pending in node_queue.queue.requests_by_tag(node_queue.mean_response_s()):
        volume_id = pending.request.volume
        if pending.plan.rate_limit and not pending.attempts:
            # The default is looked up even where the volume is known: that refills its bucket.
            tokens_left[volume_id] = tokens_left.get(volume_id, tokens(pending)) - pending.request.units
            if tokens_left[volume_id] < 0:  # waits for its limit, in nobody's way
                plan.append((pending, now + done_in_s))
                continue
        plan.append((pending, now + max(0.0, ahead) * seconds_between_sends + done_in_s))
        ahead += pending.request.units / mean_units
    return plan


def choose_victim(plan: Forecast) -> PendingRequest | None:
    """Return the request to give up, or None where none would be late.

    Of those that leave before the first late one: what is late anyway goes first, then what is beyond its volume's
    reserve, most excess per weight first, then by priority; of equals the latest.
    """
    first_late = next((place for place, (pending, done_at) in enumerate(plan) if done_at > pending.due_at), None)
    if first_late is None:
        return None
    excess_units = dict.fromkeys((pending.request.volume for pending, _ in plan), 0.0)
    for pending, _ in plan:
        if pending.rank is not Rank.WITHIN_RESERVE:
            excess_units[pending.request.volume] += pending.request.units / pending.plan.weight

    def loss(pending: PendingRequest) -> tuple[int, float, float, int]:
        excess = 0.0 if pending.rank is Rank.WITHIN_RESERVE else excess_units[pending.request.volume]
        priority = pending.request_class.priority_weight * pending.plan.priority_factor
        return pending.rank, excess, -priority, pending.request.id

    return max((pending for pending, _ in plan[: first_late + 1]), key=loss)
