"""Snapshots of a gateway's totals and of its view of nodes, and their format in the log."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass

from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.net.server import Server
from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.scheduler import Scheduler
from fawnspool.telemetry.counters import GatewayCounters

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000
_CLOSED_PREFIX = "closed "

LogFields = dict[str, float]


@dataclass(frozen=True)
class CounterSnapshot:
    """Totals since the start.

    Attributes
    ----------
    requests
        Finished requests by outcome.
    attempts
        Ended attempts by result.
    endings
        Ended attempts by how they ended.
    bad_requests
        Malformed requests by status.
    reasons
        Requests not served, by outcome and reason.
    closings
        Closed connections of clients, by state and cause.
    """

    requests: Mapping[str, int]
    attempts: Mapping[str, int]
    endings: Mapping[str, int]
    bad_requests: Mapping[int, int]
    reasons: Mapping[tuple[str, str], int]
    closings: Mapping[tuple[str, str], int]
    accepted_connections: int
    module_s: float
    module_events: int
    module_errors: int
    overdue_answers: int
    loop_lag_s: float
    cpu_s: float

    def log_fields(self) -> LogFields:
        """Return the totals by their log names, which operators' searches rely on."""
        fields: LogFields = {}
        fields |= {f"request {outcome}": count for outcome, count in self.requests.items()}
        fields |= {f"attempt {result}": count for result, count in self.attempts.items()}
        fields |= {f"attempt ended: {ending}": count for ending, count in self.endings.items()}
        fields |= {f"bad {status}": count for status, count in self.bad_requests.items()}
        fields |= {f"{outcome}: {reason}": count for (outcome, reason), count in self.reasons.items()}
        fields |= self.closing_fields()
        fields |= {
            "accepted": self.accepted_connections,
            "module_s": self.module_s,
            "events": self.module_events,
            "errors": self.module_errors,
            "overdue": self.overdue_answers,
            "lag_s": self.loop_lag_s,
            "cpu_s": self.cpu_s,
        }
        return fields

    def closing_fields(self) -> LogFields:
        """Return the totals of closed connections."""
        return {f"{_CLOSED_PREFIX}{state}: {cause}": count for (state, cause), count in self.closings.items()}


def count_now(counters: GatewayCounters, server: Server) -> CounterSnapshot:
    """Take a snapshot of the totals."""
    requests: dict[str, int] = {}
    for (_, _, outcome), count in counters.requests.items():
        requests[outcome] = requests.get(outcome, 0) + count
    attempts: dict[str, int] = {}
    for (_, result), count in counters.attempts.items():
        attempts[result] = attempts.get(result, 0) + count
    return CounterSnapshot(
        requests=requests,
        attempts=attempts,
        endings=dict(counters.endings),
        bad_requests=dict(counters.bad_requests),
        reasons=dict(counters.reasons),
        closings=dict(server.closed_counts),
        accepted_connections=server.accepted,
        module_s=counters.module_seconds,
        module_events=counters.module_events,
        module_errors=counters.module_errors,
        overdue_answers=counters.overdue,
        loop_lag_s=counters.lag.total,
        cpu_s=time.process_time(),
    )


def changes(current: LogFields, previous: LogFields) -> LogFields:
    """Return the increase of each total that changed."""
    return {
        name: round(value - previous.get(name, 0), 4)
        for name, value in current.items()
        if value != previous.get(name, 0)
    }


@dataclass(frozen=True)
class MemorySnapshot:
    """What the process holds, and of which share.

    Attributes
    ----------
    resident_bytes
        Resident memory; 0 if the system does not report it.
    request_bytes, request_peak_bytes
        What requests hold now, and the most that they held.
    answer_bytes, answer_peak_bytes
        The same of nodes' answers.
    refused, shed
        Requests and answers that got no memory in time, and those that were ended for others, since the start.
    volumes
        Number of volumes remembered.
    """

    resident_bytes: int
    request_bytes: int
    request_peak_bytes: int
    answer_bytes: int
    answer_peak_bytes: int
    refused: int
    shed: int
    volumes: int

    def log_fields(self) -> LogFields:
        """Return the figures by their log names; sizes in MB of 1,000,000 bytes."""
        return {
            "resident_mb": round(self.resident_bytes / _BYTES_PER_MB, 1),
            "requests_mb": round(self.request_bytes / _BYTES_PER_MB, 2),
            "requests_peak_mb": round(self.request_peak_bytes / _BYTES_PER_MB, 2),
            "answers_mb": round(self.answer_bytes / _BYTES_PER_MB, 2),
            "answers_peak_mb": round(self.answer_peak_bytes / _BYTES_PER_MB, 2),
            "refused_for_memory": self.refused,
            "shed_for_memory": self.shed,
            "volumes": self.volumes,
        }


@dataclass(frozen=True)
class DescriptorSnapshot:
    """Who holds the process's descriptors, and who gave way.

    Attributes
    ----------
    free
        What clients and nodes may still take.
    idle_nodes
        Connections to nodes that carry no request.
    idle_closed, clients_evicted
        Connections to nodes and of clients that were closed for others, since the start.
    waits, refused
        Requests that waited for a descriptor for their node, and uses that got none, since the start.
    """

    free: int
    idle_nodes: int
    idle_closed: int
    clients_evicted: int
    waits: int
    refused: int

    def log_fields(self) -> LogFields:
        """Return the figures by their log names."""
        return {
            "descriptors_free": self.free,
            "to_shelfs_idle": self.idle_nodes,
            "idle_closed_for_others": self.idle_closed,
            "clients_closed_for_others": self.clients_evicted,
            "descriptor_waits": self.waits,
            "descriptors_refused": self.refused,
        }


def descriptors_now(gate: DescriptorGate) -> DescriptorSnapshot:
    """Take a snapshot of the use of descriptors."""
    account = gate.account
    return DescriptorSnapshot(
        free=account.free(),
        idle_nodes=len(account.idle_nodes),
        idle_closed=gate.idle_closed,
        clients_evicted=gate.clients_evicted,
        waits=gate.waits,
        refused=gate.refused,
    )


@dataclass(frozen=True)
class NodeSnapshot:
    """The scheduler's view of one node."""

    shard: int
    is_available: bool
    may_be_cold: bool
    concurrency_limit: float
    queued: int
    in_flight: int
    mean_response_s: float
    mean_wait_s: float

    def text(self) -> str:
        """Return a short text for the log.

        The text begins with the shard and the state. Numbers follow, each after a letter: `b` concurrency limit, `h`
        queued requests, `o` requests in flight, `r` mean response time and `w` mean wait, both in milliseconds.
        """
        state = "sound" if self.is_available else "trials"
        cold = " cold" if self.may_be_cold else ""
        response_ms = self.mean_response_s * _MS_PER_S
        wait_ms = self.mean_wait_s * _MS_PER_S
        return (
            f"{self.shard}:{state}{cold} b{self.concurrency_limit:.1f} h{self.queued} o{self.in_flight} "
            f"r{response_ms:.0f} w{wait_ms:.0f}"
        )


def nodes_now(scheduler: Scheduler) -> list[NodeSnapshot]:
    """Take a snapshot of the nodes that the scheduler knows."""
    return [_node_snapshot(node_queue) for node_queue in scheduler.node_queues.values() if node_queue.node is not None]


def _node_snapshot(node_queue: NodeQueue) -> NodeSnapshot:
    return NodeSnapshot(
        shard=node_queue.shard,
        is_available=node_queue.is_available(),
        may_be_cold=node_queue.slow_start.started_at is not None,
        concurrency_limit=node_queue.concurrency.limit,
        queued=node_queue.queue.queued,
        in_flight=len(node_queue.in_flight),
        mean_response_s=node_queue.response_times.mean_s,
        mean_wait_s=node_queue.response_times.wait_s,
    )
