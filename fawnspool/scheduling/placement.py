"""Placement: the node for a new object."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from fawnspool.scheduling.node_queue import NodeQueue

NODES_DRAWN = 4
NODES_COMPARED = 2  # the better of two: always the best of all would make gateways herd


def choose_node(
    nodes: Sequence[NodeQueue],
    may_be_fed: Callable[[NodeQueue], bool],
    expected_response_s: Callable[[NodeQueue], float],
    random: Random,
) -> NodeQueue | None:
    """Draw some nodes and return the better of the first two that are fit; None where there is no node.

    Fit are those that show no failure and may be fed, or else those that are available.

    Parameters
    ----------
    nodes : sequence of NodeQueue
        All shards that have a node.
    may_be_fed : callable
        Whether a node's slow start lets one more request go.
    expected_response_s : callable
        How long one more request would take at a node.
    random : Random
        Draws the nodes.
    """
    drawn = random.sample(nodes, min(NODES_DRAWN, len(nodes)))
    fit = [node_queue for node_queue in drawn if not node_queue.health.failures and may_be_fed(node_queue)]
    if not fit:
        fit = [node_queue for node_queue in drawn if node_queue.is_available()]
    return min(
        (fit or drawn)[:NODES_COMPARED],
        key=lambda node_queue: (expected_response_s(node_queue), node_queue.shard),
        default=None,
    )
