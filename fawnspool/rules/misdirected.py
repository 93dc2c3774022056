"""Requests sent to a node that an extent had left, by how late after its migration they came.

The delay is from when the map service heard of the migration until a request had wholly arrived. What waited at the
node while the extent left it was sent rightly.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

from fawnspool.rules.history import History

DELAY_EDGES_S = (0.005, 0.02, 0.1, 0.5)


@dataclass(frozen=True)
class MisdirectedSends:
    """Counts of misdirected requests.

    Attributes
    ----------
    migrations
        Migrations that the map service heard of.
    counts
        Requests that came before the map update, then by the delays between the edges, then later.
    not_yet
        Requests sent to the new node before it served.
    worst_delay_s
        The longest delay.
    """

    migrations: int
    counts: tuple[int, ...]
    not_yet: int
    worst_delay_s: float


def count_misdirected(history: History) -> MisdirectedSends:
    """Count the requests that came to a node which did not serve their extent."""
    updated_at = {
        (update.volume, update.key, update.generation): update.time for update in reversed(history.map_updates)
    }
    counts = [0] * (len(DELAY_EDGES_S) + 2)
    not_yet = 0
    worst_delay_s = 0.0
    for request in history.misdirected_requests:
        updated = updated_at.get((request.volume, request.key, request.generation))
        if request.generation < 0:
            not_yet += 1
        elif updated is None or request.arrived < updated:
            counts[0] += 1
        else:
            delay_s = request.arrived - updated
            worst_delay_s = max(worst_delay_s, delay_s)
            counts[1 + bisect_right(DELAY_EDGES_S, delay_s)] += 1
    return MisdirectedSends(len(updated_at), tuple(counts), not_yet, worst_delay_s)
