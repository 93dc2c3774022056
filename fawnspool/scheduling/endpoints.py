"""The endpoint list: which node serves a shard, and when the list is asked for again."""

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

MAX_POLL_RETRY_DELAY_S = 0.8  # whatever the poll interval: what is missed counts as told soon
POLL_RETRIES_IN_INTERVAL = 8
MIN_RETRY_JITTER = 0.5  # part of the delay that is kept at least


class EndpointList:
    """The endpoints as last told.

    Attributes
    ----------
    nodes : dict of int to Endpoint
        By node; those that are gone are left out.
    is_cached : bool
        Only a cached list was told so far. It may be old, so it proves no node's age.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.nodes = dict[int, Endpoint]()
        self.is_cached = False
        self._poll_due_at: float | None = None

    def update(self, event: EndpointUpdate) -> dict[int, Endpoint]:
        """Take in a list or a change, and return the node that serves each shard; of several the newest."""
        known = self.nodes if event.kind is UpdateKind.DELTA else {}
        known.update((endpoint.node, endpoint) for endpoint in event.entries)
        self.nodes = {node: endpoint for node, endpoint in known.items() if endpoint.phase is not Phase.GONE}
        newest_last = sorted(self.nodes.values(), key=lambda endpoint: (endpoint.started_at, endpoint.node))
        return {endpoint.shard: endpoint for endpoint in newest_last if endpoint.phase is Phase.READY}

    def poll(self) -> Action:
        """Return the action that asks for the list."""
        return SetWatch(True) if self._settings.polls_endpoints else FetchEndpoints()

    def schedule_retry(self, now: float, random: Random) -> float:
        """Return the seconds after which a failed poll is repeated; each gateway draws its own.

        That is well inside the poll interval, or inside the nodes' grace on drains where changes are pushed.
        """
        settings = self._settings
        if settings.polls_endpoints:
            longest_s = settings.poll_interval_s / POLL_RETRIES_IN_INTERVAL
        else:
            longest_s = settings.drain_grace_s / 2
        jitter = random.uniform(MIN_RETRY_JITTER, 1.0)
        delay_s = jitter * min(longest_s or MAX_POLL_RETRY_DELAY_S, MAX_POLL_RETRY_DELAY_S)
        self._poll_due_at = now + delay_s
        return delay_s

    def take_due_retry(self, now: float) -> bool:
        """Return whether a repeated poll is due, and count it as done."""
        if self._poll_due_at is None or now + 2 * self._settings.clock_tick_s < self._poll_due_at:
            return False
        self._poll_due_at = None
        return True
