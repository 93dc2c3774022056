"""The adaptive limit on the requests that this gateway has in flight at a node, as in PARDA."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.scheduling.interface import Settings

# Part of the least latency objective that a node's response may take; the rest is for queueing in this gateway.
TARGET_RESPONSE_FRACTION = 0.35
LIMIT_SMOOTHING = 0.1  # part of the difference to the wanted limit by which one answer moves the limit
LIMIT_PROBE_REQUESTS = 0.2  # added to the wanted limit at each answer (beta in PARDA)
MAX_REQUESTS_AT_NODE = 12.0  # in flight from all gateways together; more would only lengthen the node's queue
INITIAL_LIMIT_REQUESTS = 2.0  # at a node that has not answered yet: one request runs and one waits behind it
MIN_RESPONSE_S = 1e-3  # lower bound of the mean response in the calculation


def is_large_fleet(settings: Settings) -> bool:
    """Return whether there are too many gateways for their concurrency limits to bound a node's queue.

    In such a fleet, the initial limits of all gateways add up to more than MAX_REQUESTS_AT_NODE.
    """
    return settings.gateway_count * INITIAL_LIMIT_REQUESTS > MAX_REQUESTS_AT_NODE


def max_limit_requests(settings: Settings) -> float:
    """Return the ceiling of one gateway's limit at a node.

    It is twice the initial limit in a large fleet, else an even part of MAX_REQUESTS_AT_NODE, but at least the initial
    limit.
    """
    if is_large_fleet(settings):
        return 2 * INITIAL_LIMIT_REQUESTS
    return max(INITIAL_LIMIT_REQUESTS, MAX_REQUESTS_AT_NODE / settings.gateway_count)


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit at one node, in requests; it is rounded down where it is applied.

    The limit falls while responses take longer than the target. It grows while they are shorter and it is used up.
    """

    max_limit: float
    limit: float = INITIAL_LIMIT_REQUESTS

    def reset(self) -> None:
        """Return to the initial limit, for a node that has not answered yet."""
        self.limit = INITIAL_LIMIT_REQUESTS

    def record_overload(self) -> None:
        """Halve the limit after the node rejected a request."""
        self.limit = max(1.0, self.limit / 2)

    def record_response(self, mean_response_s: float, target_response_s: float, in_flight: int) -> None:
        """Adjust the limit after an answer.

        Parameters
        ----------
        mean_response_s, target_response_s : float
            The node's mean response time and the target, in seconds.
        in_flight : int
            Other requests in flight at the node when the answer arrived.
        """
        wanted = target_response_s / max(mean_response_s, MIN_RESPONSE_S) * self.limit + LIMIT_PROBE_REQUESTS
        if wanted < self.limit or in_flight + 1 >= int(self.limit):
            step = LIMIT_SMOOTHING * (min(wanted, 2 * self.limit) - self.limit)
            self.limit = max(1.0, min(self.limit + step, self.max_limit))
