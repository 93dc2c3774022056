"""How many requests this gateway may have in flight at a node: an adaptive limit, as PARDA's."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.scheduling.interface import Settings

TARGET_RESPONSE_FRACTION = 0.35  # of the least latency objective that a response may take: the rest waits here
LIMIT_SMOOTHING = 0.1  # part of the way to the wanted limit that one answer moves it
LIMIT_PROBE_REQUESTS = 0.2  # by which the limit seeks more at each answer (PARDA's beta)
MAX_REQUESTS_AT_NODE = 12.0  # from all gateways: beyond it only queues grow
INITIAL_LIMIT_REQUESTS = 2.0  # at a node that has answered nothing yet: one to run, one to follow
MIN_RESPONSE_S = 1e-3  # a shorter mean response counts as this long


def is_large_fleet(settings: Settings) -> bool:
    """Return whether the gateways are too many for their limits to hold a node's queue down.

    Each has at least INITIAL_LIMIT_REQUESTS; together these pass MAX_REQUESTS_AT_NODE.
    """
    return settings.gateway_count * INITIAL_LIMIT_REQUESTS > MAX_REQUESTS_AT_NODE


def max_limit_requests(settings: Settings) -> float:
    """Return the ceiling of one gateway's limit: its even part of what a node may have, and what lets it start."""
    if is_large_fleet(settings):
        return 2 * INITIAL_LIMIT_REQUESTS
    return max(INITIAL_LIMIT_REQUESTS, MAX_REQUESTS_AT_NODE / settings.gateway_count)


@dataclass(slots=True)
class ConcurrencyLimit:
    """The limit at one node, in requests; whole requests count.

    It seeks the target response: it falls with longer responses and grows with shorter ones while it is used up.
    """

    max_limit: float
    limit: float = INITIAL_LIMIT_REQUESTS

    def reset(self) -> None:
        """Start anew, at a node of which nothing is known."""
        self.limit = INITIAL_LIMIT_REQUESTS

    def record_overload(self) -> None:
        """Halve it, as the node rejected a request."""
        self.limit = max(1.0, self.limit / 2)

    def record_response(self, mean_response_s: float, target_response_s: float, in_flight: int) -> None:
        """Take a step after an answer.

        Parameters
        ----------
        mean_response_s, target_response_s : float
            The node's mean response, and the one wanted.
        in_flight : int
            What is in flight at the node beside the request that was answered.
        """
        wanted = target_response_s / max(mean_response_s, MIN_RESPONSE_S) * self.limit + LIMIT_PROBE_REQUESTS
        if wanted < self.limit or in_flight + 1 >= int(self.limit):
            step = LIMIT_SMOOTHING * (min(wanted, 2 * self.limit) - self.limit)
            self.limit = max(1.0, min(self.limit + step, self.max_limit))
