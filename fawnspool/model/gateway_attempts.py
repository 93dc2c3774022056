"""A gateway's attempts at nodes in simulated time: connect, write, time out, cancel, end."""

from __future__ import annotations

from collections.abc import Callable

from fawnspool.model.endpoint_service import EndpointWatch
from fawnspool.model.environment import Environment
from fawnspool.model.exchanges import NO_REPORT, AttemptOwner, NodeAttempt, NodeReport, PendingRequest
from fawnspool.model.simulated_node import SimulatedNode
from fawnspool.model.simulated_process import SimulatedProcess
from fawnspool.scheduling import interface

EndCallback = Callable[[NodeAttempt, interface.Result, NodeReport], None]


class GatewayAttempts(AttemptOwner):
    """Sends attempts and gives each one's result once, in the process's turn, to `on_end`."""

    def __init__(
        self, environment: Environment, process: SimulatedProcess, watch: EndpointWatch, on_end: EndCallback
    ) -> None:
        self._environment = environment
        self._simulation = environment.simulation
        self._process = process
        self._watch = watch
        self._on_end = on_end
        self._connected_nodes: set[int] = set()

    @property
    def number(self) -> int:
        """The gateway's number."""
        return self._process.number

    def is_running(self, life: int) -> bool:
        """Whether the process of this life still runs."""
        return self._process.is_running(life)

    def start(self) -> None:
        """Begin the life of a process: without connections."""
        self._connected_nodes = set()

    def send(self, pending: PendingRequest, action: interface.Send) -> None:
        """Begin an attempt."""
        node = self._environment.nodes.get(action.node)
        if node is None:
            return
        attempt = self._new_attempt(pending, node, action.timeout_s)
        pending.attempts.append(attempt)
        pending.open_attempts += 1
        params = self._simulation.params
        connect_s = 0.0 if action.node in self._connected_nodes else params.connect
        self._simulation.engine.after(params.head_cost / 2 + connect_s, self._write, attempt)
        self._simulation.engine.at(attempt.deadline, self._time_out, attempt)

    def _new_attempt(self, pending: PendingRequest, node: SimulatedNode, timeout_s: float) -> NodeAttempt:
        now = self._simulation.engine.now
        limit = now + timeout_s if timeout_s > 0 else pending.deadline
        return NodeAttempt(
            number=len(pending.attempts),
            pending=pending,
            owner=self,
            owner_life=self._process.life,
            node=node,
            node_life=node.life,
            sent_at=now,
            deadline=min(limit, pending.deadline),
        )

    def _write(self, attempt: NodeAttempt) -> None:
        node = attempt.node
        if not self.is_running(attempt.owner_life) or attempt.ended:
            return
        if not self._watch.is_ready(node.number):
            self.end_attempt(attempt, interface.Result.NOT_SENT)
            return
        if not node.up or node.faults["refuse"] or node.behaviour.fallen:
            self._connected_nodes.discard(node.number)
            self.end_attempt(attempt, interface.Result.CONNECT_FAILED)
            return
        self._connected_nodes.add(node.number)
        attempt.written = True
        attempt.node_life = node.life
        client_try = attempt.pending.client_try
        size = client_try.size if client_try.op.writes else 0
        params = self._simulation.params
        delay_s = self._simulation.network_delay(params.node_net) + size * params.byte_cost
        self._simulation.engine.after(delay_s, self._environment.node_requests.receive, attempt)

    def _time_out(self, attempt: NodeAttempt) -> None:
        if not self.is_running(attempt.owner_life) or attempt.ended:
            return
        self._environment.node_requests.cancel(attempt)
        result = interface.Result.TIMED_OUT if attempt.written else interface.Result.CONNECT_FAILED
        self.end_attempt(attempt, result)

    def cancel(self, attempt: NodeAttempt) -> None:
        """End an attempt whose answer is no longer wanted."""
        if attempt.ended:
            return
        self._environment.node_requests.cancel(attempt)
        result = interface.Result.CANCELLED if attempt.written else interface.Result.NOT_SENT
        self.end_attempt(attempt, result)

    def end_attempt(self, attempt: NodeAttempt, result: interface.Result, report: NodeReport = NO_REPORT) -> None:
        """Take an attempt's result. Results after the first are dropped."""
        if attempt.ended:
            return
        attempt.ended = True
        self._process.run(self._simulation.params.head_cost / 2, self._on_end, attempt, result, report)
