"""Placement: the node for a new object."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from fawnspool.scheduling.node_queue import NodeQueue

NODES_DRAWN = 4
NODES_COMPARED = 2  # the better of two random nodes; always choosing the best one would make the gateways herd


def choose_node(
    nodes: Sequence[NodeQueue],
    slow_start_allows: Callable[[NodeQueue], bool],
    expected_response_s: Callable[[NodeQueue], float],
    random: Random,
) -> NodeQueue | None:
    """Draw random nodes and return the better of the first two suitable ones; None where there is no node.

    Suitable nodes show no failure and their slow start allows a send; if none was drawn, the available nodes are
    suitable; if none is available, all that were drawn are.

    Parameters
    ----------
    nodes : sequence of NodeQueue
        The queues of all shards that have a node.
    slow_start_allows : callable
        Returns whether a node's slow start allows one more request.
    expected_response_s : callable
        Returns how long one more request would take at a node.
    random : Random
        Generator that draws the nodes.
    """
    drawn = random.sample(nodes, min(NODES_DRAWN, len(nodes)))
    suitable = [node_queue for node_queue in drawn if not node_queue.health.failures and slow_start_allows(node_queue)]
    if not suitable:
        suitable = [node_queue for node_queue in drawn if node_queue.is_available()]
    return min(
        (suitable or drawn)[:NODES_COMPARED],
        key=lambda node_queue: (expected_response_s(node_queue), node_queue.shard),
        default=None,
    )
