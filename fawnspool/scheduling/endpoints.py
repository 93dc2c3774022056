"""The endpoint list: which node serves a shard, and when a failed poll of the list is retried."""

from __future__ import annotations

from random import Random

from fawnspool.scheduling.interface import (
    Action,
    Endpoint,
    EndpointUpdate,
    FetchEndpoints,
    Phase,
    Settings,
    SetWatch,
    UpdateKind,
)

# For any poll interval, as the gateway is soon expected to know an update even if it missed it.
MAX_POLL_RETRY_DELAY_S = 0.8
POLL_RETRIES_IN_INTERVAL = 8
MIN_RETRY_JITTER = 0.5  # the delay is multiplied by a random factor between this and 1


class EndpointList:
    """The endpoints of the latest updates.

    Attributes
    ----------
    nodes : dict of int to Endpoint
        The endpoint of each node; nodes whose phase is GONE are left out.
    is_cached : bool
        The latest list was a cached one. It may be old, so it does not prove when a node started.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.nodes = dict[int, Endpoint]()
        self.is_cached = False
        self._poll_due_at: float | None = None

    def update(self, event: EndpointUpdate) -> dict[int, Endpoint]:
        """Apply a list or its changes, and return the node that serves each shard, the newest if there are several."""
        endpoints = self.nodes if event.kind is UpdateKind.DELTA else {}
        endpoints.update((endpoint.node, endpoint) for endpoint in event.entries)
        self.nodes = {node: endpoint for node, endpoint in endpoints.items() if endpoint.phase is not Phase.GONE}
        newest_last = sorted(self.nodes.values(), key=lambda endpoint: (endpoint.started_at, endpoint.node))
        return {endpoint.shard: endpoint for endpoint in newest_last if endpoint.phase is Phase.READY}

    def poll(self) -> Action:
        """Return the action that requests the list."""
        return SetWatch(True) if self._settings.polls_endpoints else FetchEndpoints()

    def schedule_retry(self, now: float, random: Random) -> float:
        """Return a random delay in seconds before a failed poll is retried.

        The delay is well within the poll interval or, where updates are pushed, within the nodes' drain grace period.
        """
        settings = self._settings
        if settings.polls_endpoints:
            max_delay_s = settings.poll_interval_s / POLL_RETRIES_IN_INTERVAL
        else:
            max_delay_s = settings.drain_grace_s / 2
        jitter = random.uniform(MIN_RETRY_JITTER, 1.0)
        delay_s = jitter * min(max_delay_s or MAX_POLL_RETRY_DELAY_S, MAX_POLL_RETRY_DELAY_S)
        self._poll_due_at = now + delay_s
        return delay_s

    def take_due_retry(self, now: float) -> bool:
        """Return whether a retry of the poll is due; if so, clear it."""
        if self._poll_due_at is None or now + 2 * self._settings.clock_tick_s < self._poll_due_at:
            return False
        self._poll_due_at = None
        return True
