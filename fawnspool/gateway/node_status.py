"""The scheduler's view of each node, for the status page and the metrics.

This is the one place that reads the scheduler's state for operators; a baseline has no such state.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any

from fawnspool.gateway.endpoint_client import ListedEndpoint
from fawnspool.gateway.event_loop import DecisionModule
from fawnspool.scheduling.node_queue import NodeQueue

_MS_PER_S = 1000


def node_gauges(module: DecisionModule) -> dict[str, dict[int, float]]:
    """Return, by the metrics' names and by node, the concurrency limit and the requests queued and in flight."""
    node_queues = _node_queues(module)
    return {
        "bound": {node: node_queue.concurrency.limit for node, node_queue in node_queues.items()},
        "held": {node: float(node_queue.queue.queued) for node, node_queue in node_queues.items()},
        "out": {node: float(len(node_queue.in_flight)) for node, node_queue in node_queues.items()},
    }


def node_rows(nodes: Mapping[int, ListedEndpoint], module: DecisionModule) -> list[dict[str, Any]]:
    """Return the status page's row of each listed node."""
    now = time.monotonic()
    node_queues = _node_queues(module)
    rows = []
    for number, listed in sorted(nodes.items()):
        host, port = listed.address
        row: dict[str, Any] = {
            "node": number,
            "address": f"{host}:{port}",
            "zone": listed.zone,
            "cell": listed.shard,
            "listed": listed.phase.value,
        }
        node_queue = node_queues.get(number)
        if node_queue is not None:
            row |= _queue_fields(node_queue, now)
        rows.append(row)
    return rows


def _node_queues(module: DecisionModule) -> dict[int, NodeQueue]:
    """Return the queues of the nodes that the module knows, by node."""
    by_shard: Mapping[int, NodeQueue] = getattr(module, "node_queues", {})
    return {node_queue.node: node_queue for node_queue in by_shard.values() if node_queue.node is not None}


def _queue_fields(node_queue: NodeQueue, now: float) -> dict[str, Any]:
    return {
        "state": _state(node_queue),
        "bound": round(node_queue.concurrency.limit, 2),
        "held": node_queue.queue.queued,
        "out": len(node_queue.in_flight),
        "response_ms": round(node_queue.response_times.mean_s * _MS_PER_S, 2),
        "wait_ms": round(node_queue.response_times.wait_s * _MS_PER_S, 2),
        "bad_signs": node_queue.health.failures,
        "heard_s": round(now - node_queue.health.last_answer_at, 2),
    }


def _state(node_queue: NodeQueue) -> str:
    """Return the scheduler's assessment of a node, as the status page names it."""
    if not node_queue.is_available():
        return "trials only"
    return "sound" if node_queue.slow_start.started_at is None else "may be cold"
