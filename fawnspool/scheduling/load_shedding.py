"""Load shedding: which queued request is dropped when some would be late at a node."""

from __future__ import annotations

from collections.abc import Callable

from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.pending_request import PendingRequest, Rank

Forecast = list[tuple[PendingRequest, float]]  # queued requests in order of service, and when each will be done


def all_are_in_time(node_queue: NodeQueue, done_in_s: float, mean_units: float, now: float) -> bool:
    """Return whether the last queued request would be done before the earliest due time of all queued ones.

    If so, the forecast, whose cost grows with the queue, can be skipped: it would find no late request.

    Parameters
    ----------
    node_queue : NodeQueue
        The node and its queue.
    done_in_s : float
        Time from a request's send to its answer.
    mean_units : float
        Mean units of a request.
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
    """Return the queued requests in the order in which their tags would send them, with their completion times.

    Parameters
    ----------
    node_queue : NodeQueue
        The node and its queue.
    done_in_s : float
        Time from a request's send to its answer.
    mean_units : float
        Mean units of a request.
    tokens : callable
        Returns the tokens that a request's volume has, in units of its rate limit.
    now : float
        Seconds on the caller's clock.
    """
    slots = int(node_queue.concurrency.limit)
    seconds_between_sends = done_in_s / slots
    ahead = float(len(node_queue.in_flight) - slots + 1)
    tokens_left = dict[int, float]()
    predicted: Forecast = []
    for pending in node_queue.queue.requests_by_tag(node_queue.mean_response_s()):
        volume_id = pending.request.volume
        if pending.plan.rate_limit and not pending.attempts:
            # The default is evaluated even if the volume is already in the dict, as that refills its bucket.
            tokens_left[volume_id] = tokens_left.get(volume_id, tokens(pending)) - pending.request.units
            if tokens_left[volume_id] < 0:  # waits for its rate limit and delays no other request
                predicted.append((pending, now + done_in_s))
                continue
        predicted.append((pending, now + max(0.0, ahead) * seconds_between_sends + done_in_s))
        ahead += pending.request.units / mean_units
    return predicted


def choose_victim(predicted: Forecast) -> PendingRequest | None:
    """Return the request to shed, or None where none would be late.

    The candidates are the first late request and all that would be sent before it. Requests of rank LATE are shed
    first, then BEYOND_RESERVE, then WITHIN_RESERVE. Of one rank, the request whose volume has the most queued units
    beyond its reserve per weight is shed first (for WITHIN_RESERVE this counts as 0), then the one of the lowest
    priority, then the one that arrived last.
    """
    first_late = next((index for index, (pending, done_at) in enumerate(predicted) if done_at > pending.due_at), None)
    if first_late is None:
        return None
    excess_units = dict.fromkeys((pending.request.volume for pending, _ in predicted), 0.0)
    for pending, _ in predicted:
        if pending.rank is not Rank.WITHIN_RESERVE:
            excess_units[pending.request.volume] += pending.request.units / pending.plan.weight

    def shedding_order(pending: PendingRequest) -> tuple[int, float, float, int]:
        excess = 0.0 if pending.rank is Rank.WITHIN_RESERVE else excess_units[pending.request.volume]
        priority = pending.request_class.priority_weight * pending.plan.priority_factor
        return pending.rank, excess, -priority, pending.request.id

    return max((pending for pending, _ in predicted[: first_late + 1]), key=shedding_order)
