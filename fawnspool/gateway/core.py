"""The part of a gateway that all edges share: the decision module's event loop, open requests and their attempts.

An edge (the object API, the platform's relay) creates a `ClientRequest`, passes it to `GatewayCore.accept` and waits
for its one final answer. The edge also provides the protocol of its nodes and the client of its endpoint list. Each
action of the decision module is executed by its handler in `GatewayCore.action_handlers`; the core itself makes no
scheduling decisions.
"""

from __future__ import annotations

import math
import time
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from fawnspool.connections.memory_account import MemoryAccount
from fawnspool.connections.resource_budget import USUAL_ANSWER_BYTES
from fawnspool.gateway.answer_reasons import reason_for_client, reason_label
from fawnspool.gateway.attempt_results import RESULTS, AttemptEnding
from fawnspool.gateway.attempts import AttemptHooks, AttemptOutcome, NodeProtocol, run_attempt
from fawnspool.gateway.connection_pools import ConnectionPools
from fawnspool.gateway.event_loop import ActionHandlers, DecisionModule, EventLoop
from fawnspool.gateway.greenlet_pool import GreenletPool
from fawnspool.gateway.observability import Observability
from fawnspool.gateway.periodic_checks import Check, DisconnectDetector, PeriodicChecks
from fawnspool.gateway.request_state import AnswerKind, ClientRequest, NodeAttempt, RequestState
from fawnspool.net.connection_pool import PoolOptions
from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.net.memory_gate import MemoryGate
from fawnspool.net.socket_stream import observe_clocks
from fawnspool.scheduling import interface
from fawnspool.scheduling.timer_tokens import request_of_token

_MAX_IDLE_GREENLETS = 256
_CLIENTS_PER_IDLE_GREENLET = 4
_REQUEST_ID_BITS_PER_MILLISECOND = 20


class ListedNode(Protocol):
    """The properties of a listed node that the core uses."""

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""

    @property
    def phase(self) -> interface.Phase:
        """Lifecycle phase; only a node in phase READY gets new requests."""

    @property
    def shard(self) -> int:
        """The shard that the node serves."""


class EndpointSource(Protocol):
    """The node list, as held by the client of the list service."""

    @property
    def nodes(self) -> Mapping[int, ListedNode]:
        """The nodes by number."""

    def watch(self, on: bool) -> None:
        """Open or close the watch of the list."""

    def fetch(self) -> None:
        """Request the whole list once."""


class GatewayCore:
    """The part of a gateway that is the same for every edge.

    Attributes
    ----------
    answer_memory
        Memory that nodes' answers take until their clients have them; None: it is not limited.
    further_checks
        Periodic checks of the edge.
    endpoints
        The node list; set by the edge after the core is created, as its client posts to the core's event loop, and
        before `start`.
    pending
        The open requests, by number.
    """

    endpoints: EndpointSource

    def __init__(
        self,
        settings: interface.Settings,
        module: DecisionModule,
        node_protocol: NodeProtocol,
        pool_options: PoolOptions,
        observability: Observability,
    ) -> None:
        self.settings = settings
        self.answer_memory: MemoryGate[NodeAttempt] | None = None
        self.attempt_hooks = AttemptHooks(node_protocol, self._is_withdrawn, self._stream_started)
        self.further_checks: list[Check] = []
        self.metrics = observability.metrics
        self.log = observability.log
        self.traces = observability.traces
        self.pending: dict[int, ClientRequest] = {}
        self.last_request_id = _first_request_id()
        self.pools = ConnectionPools(pool_options, self._ready_addresses)
        self.greenlets = GreenletPool(_MAX_IDLE_GREENLETS)
        self.action_handlers: ActionHandlers = {
            interface.Send: self._send,
            interface.RejectRequest: self._reject,
            interface.FailRequest: self._fail,
            interface.Cancel: self._cancel,
            interface.SetTimer: self._set_timer,
            interface.Probe: self._probe,
            interface.CloseIdle: self._close_idle,
            interface.SendPeerMessage: self._send_peer_message,
            interface.Log: self._log_text,
            interface.SetWatch: self._set_watch,
            interface.FetchEndpoints: self._fetch_endpoints,
        }
        self.loop = EventLoop(module, self.action_handlers, self._on_module_error, observability)
        self.loop.is_timer_needed = self._is_timer_needed
        self.disconnects = DisconnectDetector(self.pending, self.abandon)
        self.checks = PeriodicChecks(self._periodic_checks, self.metrics, self.log)

    def limit_answers(self, total_bytes: int) -> None:
        """Limit the memory that nodes' answers take until their clients have them; called before `start`."""
        self.answer_memory = MemoryGate(MemoryAccount(total_bytes, USUAL_ANSWER_BYTES), NodeAttempt.shed)
        self.attempt_hooks = replace(self.attempt_hooks, answer_memory=self.answer_memory)

    def limit_descriptors(self, descriptors: DescriptorGate) -> None:
        """Let the connections to nodes take their descriptors from a gate; called before `start`."""
        self.pools.descriptors = descriptors

    def limit_idle_greenlets(self, clients: int) -> None:
        """Keep no more idle greenlets for attempts than so many client connections may need at the same time."""
        self.greenlets.max_idle = min(_MAX_IDLE_GREENLETS, max(1, clients // _CLIENTS_PER_IDLE_GREENLET))

    def start(self) -> None:
        """Start the event loop and the periodic checks."""
        self.loop.start()
        self.checks.start()

    def stop(self) -> None:
        """Stop everything that `start` started, and end the idle greenlets."""
        self.checks.stop()
        self.loop.stop()
        self.greenlets.stop()

    def _periodic_checks(self) -> Iterable[Check]:
        checks = [
            observe_clocks,
            self.pools.prune,
            self.pools.descriptors.check,
            self.disconnects.check,
            *self.further_checks,
        ]
        if self.answer_memory is not None:
            checks.append(self.answer_memory.check)
        return checks

    def _ready_addresses(self) -> set[tuple[str, int]]:
        nodes = self.endpoints.nodes.values()
        return {node.address for node in nodes if node.phase is interface.Phase.READY}

    # ------------------------------------------------------------ client side

    def next_request_id(self) -> int:
        """Return a request number that this process has not used before."""
        self.last_request_id += 1
        return self.last_request_id

    def accept(self, pending: ClientRequest) -> None:
        """Accept a request, whose number must be new, and post its event to the decision module.

        A request whose deadline has passed is rejected: the gateway was stalled, or the client allowed too little time.
        """
        if pending.deadline <= time.monotonic():
            pending.settle(AnswerKind.REJECTED)
            return
        self.pending[pending.request.id] = pending
        self.loop.post(lambda: self._request_event(pending))

    def _request_event(self, pending: ClientRequest) -> interface.Request | None:
        remaining_s = pending.deadline - time.monotonic()
        if remaining_s <= 0:
            pending.settle(AnswerKind.REJECTED)
        if pending.state is RequestState.SETTLED:
            self._forget(pending)
            return None
        return replace(pending.request, timeout_s=remaining_s)

    def wait_for_answer(self, pending: ClientRequest, grace_s: float, streaming_s: float) -> None:
        """Wait until the final answer is given.

        Parameters
        ----------
        pending
            An accepted request.
        grace_s
            Seconds after the deadline at which the gateway itself fails a request that the module has not answered.
        streaming_s
            Seconds after that at which the wait ends, even if an answer is still being streamed to the client.
        """
        if pending.done.wait(pending.deadline + grace_s):
            return
        self.answer_overdue(pending)
        pending.done.wait(time.monotonic() + streaming_s)

    def abandon(self, pending: ClientRequest, kind: AnswerKind = AnswerKind.CLIENT_LEFT) -> None:
        """Settle a request without waiting for the decision module, which is notified and need not answer it.

        An answer that is being streamed is not affected: its attempt detects by itself that the client left.
        """
        if pending.state is RequestState.STREAMING:
            return
        if pending.settle(kind):
            self.loop.post(interface.ClientDisconnected(pending.request.id))
            self.loop.post(lambda: self._forget(pending))

    def release_answer(self, pending: ClientRequest) -> None:
        """Give back the memory of the answer that the client has been given."""
        if self.answer_memory is not None and pending.answered_by is not None:
            self.answer_memory.release(pending.answered_by)

    def answer_overdue(self, pending: ClientRequest) -> None:
        """Fail a request that the decision module did not answer in time, which is a fault of the module."""
        if pending.state is RequestState.OPEN:
            self.log.error("answer_overdue", id=pending.request.id, request_class=pending.class_name)
            self.metrics.overdue += 1
            self.abandon(pending, AnswerKind.FAILED)

    def count_finished(self, pending: ClientRequest, outcome: str) -> None:
        """Count a finished request and end its trace."""
        self.metrics.request(pending.class_name, pending.plan_name, outcome)
        if pending.answer_kind is not AnswerKind.SERVED:
            self.metrics.count_not_served(outcome, reason_label(pending))
        if pending.span is not None and self.traces is not None:
            self.traces.end(
                pending.span,
                time.monotonic(),
                outcome=outcome,
                attempts=len(pending.attempts),
                reason=reason_for_client(pending),
            )

    def _forget(self, pending: ClientRequest) -> None:
        if pending.state is RequestState.SETTLED and not pending.open_attempts:
            self.pending.pop(pending.request.id, None)

    # ------------------------------------------------------------ attempts

    def _send(self, action: interface.Send) -> None:
        pending = self.pending.get(action.id)
        if pending is None:
            return
        now = time.monotonic()
        timeout_at = now + action.timeout_s if action.timeout_s > 0 else pending.deadline
        attempt = NodeAttempt(
            number=len(pending.attempts),
            node=action.node,
            started_at=now,
            deadline=min(timeout_at, pending.deadline),
            write_by=now + action.write_within_s if action.write_within_s > 0 else math.inf,
        )
        if not pending.attempts:
            self.metrics.count_first_send_wait(pending.class_name, now - pending.arrived_at)
        pending.attempts.append(attempt)
        pending.open_attempts += 1
        self.greenlets.submit(self._run_attempt, pending, attempt)

    def _run_attempt(self, pending: ClientRequest, attempt: NodeAttempt) -> None:
        outcome = self._attempt_outcome(pending, attempt)
        attempt.ending = outcome.ending
        if outcome.ending is AttemptEnding.CLIENT_LEFT_UNSENT:
            self.abandon(pending)
        self.loop.post(lambda: self._attempt_ended(pending, attempt, outcome))

    def _attempt_outcome(self, pending: ClientRequest, attempt: NodeAttempt) -> AttemptOutcome:
        node = self.endpoints.nodes.get(attempt.node)
        if node is None:
            return AttemptOutcome(AttemptEnding.UNKNOWN_NODE, 0.0)
        try:
            outcome = run_attempt(pending, attempt, self.pools.get(node.address), self.attempt_hooks)
        except Exception:
            self.log.error("attempt_raised", id=pending.request.id, exc_info=True)
            ending = AttemptEnding.RESET if attempt.sent else AttemptEnding.UNWRITTEN_RESET
            outcome = AttemptOutcome(ending, time.monotonic() - attempt.started_at)
        if outcome.answer is not None:
            pending.served_by_shard = node.shard
        return outcome

    def _attempt_ended(
        self, pending: ClientRequest, attempt: NodeAttempt, outcome: AttemptOutcome
    ) -> interface.Outcome:
        """Settle the request if the attempt decides its answer, and return the `Outcome` event for the module.

        Runs in the event loop, so that answers are settled in the order of the events.
        """
        result = RESULTS[outcome.ending]
        self._count_attempt(pending, attempt, outcome)
        if result is interface.Result.SERVED:
            if pending.settle(AnswerKind.SERVED, outcome.answer):
                pending.answered_by = attempt
        elif pending.state is RequestState.STREAMING:
            client_left = outcome.ending is AttemptEnding.CLIENT_LEFT_STREAMING
            pending.settle(AnswerKind.CLIENT_LEFT if client_left else AnswerKind.FAILED)
        elif outcome.ending is AttemptEnding.BODY_INCOMPLETE and pending.settle(AnswerKind.CLIENT_LEFT):
            self.loop.post(interface.ClientDisconnected(pending.request.id))
        pending.open_attempts -= 1
        if self.answer_memory is not None and pending.answered_by is not attempt:
            self.answer_memory.release(attempt)
        self._forget(pending)
        feedback = outcome.feedback
        return interface.Outcome(
            id=pending.request.id,
            attempt=attempt.number,
            node=attempt.node,
            elapsed_s=outcome.duration_s,
            result=result,
            final=pending.state is RequestState.SETTLED,
            units_by_others=feedback.units_by_others if feedback is not None else 0,
            volume_usage=feedback.volume_usage if feedback is not None else None,
            load_report=feedback.load_report if feedback is not None and feedback.load_report else None,
            reused_connection=outcome.reused_connection,
        )

    def _count_attempt(self, pending: ClientRequest, attempt: NodeAttempt, outcome: AttemptOutcome) -> None:
        result = RESULTS[outcome.ending].value
        ending = outcome.ending.value
        self.metrics.attempt(attempt.node, result, outcome.duration_s)
        self.metrics.count_attempt_ending(ending)
        if pending.span is not None and self.traces is not None:
            self.traces.attempt(
                pending.span,
                attempt.started_at,
                attempt.started_at + outcome.duration_s,
                node=attempt.node,
                number=attempt.number,
                result=result,
                ending=ending,
            )

    def _stream_started(self, pending: ClientRequest, attempt: NodeAttempt) -> None:
        elapsed_s = time.monotonic() - attempt.started_at
        self.loop.post(interface.StreamStarted(pending.request.id, attempt.number, attempt.node, elapsed_s))

    def _is_withdrawn(self, node: int) -> bool:
        listed = self.endpoints.nodes.get(node)
        return listed is None or listed.phase is not interface.Phase.READY

    def _cancel(self, action: interface.Cancel) -> None:
        pending = self.pending.get(action.id)
        if pending is None or action.attempt >= len(pending.attempts):
            return
        attempt = pending.attempts[action.attempt]
        is_streaming = pending.state is RequestState.STREAMING and attempt.connection is not None
        if attempt.ending is not None or is_streaming:
            return
        attempt.cancelled = True
        if attempt.connection is not None:
            attempt.connection.close()  # wakes the attempt's greenlet; the node sees the connection end

    # ------------------------------------------------------------ answers by the module

    def _reject(self, action: interface.RejectRequest) -> None:
        self._answer(action.id, AnswerKind.REJECTED, action.retry_after_s)

    def _fail(self, action: interface.FailRequest) -> None:
        self._answer(action.id, AnswerKind.FAILED)

    def _answer(self, request_id: int, kind: AnswerKind, retry_after_s: float = 0.0) -> None:
        pending = self.pending.get(request_id)
        if pending is None or pending.state is RequestState.STREAMING:  # the streamed answer is final
            return
        pending.retry_after_s = retry_after_s
        pending.settle(kind)
        self._forget(pending)

    def _is_timer_needed(self, token: int) -> bool:
        request_id = request_of_token(token)
        return request_id is None or request_id in self.pending

    def _on_module_error(self, event: interface.Event) -> None:
        """Fail the request on whose event the module raised, because it still needs its final answer."""
        if isinstance(event, interface.Request | interface.Outcome | interface.ClientDisconnected):
            self._answer(event.id, AnswerKind.FAILED)
        elif isinstance(event, interface.Timer):
            request_id = request_of_token(event.token)
            if request_id is not None:
                self._answer(request_id, AnswerKind.FAILED)

    # ------------------------------------------------------------ other actions

    def _set_timer(self, action: interface.SetTimer) -> None:
        self.loop.set_timer(action.delay_s, action.token)

    def _log_text(self, action: interface.Log) -> None:
        self.log.info(action.text)

    def _set_watch(self, action: interface.SetWatch) -> None:
        self.endpoints.watch(action.enabled)

    def _fetch_endpoints(self, action: interface.FetchEndpoints) -> None:
        self.endpoints.fetch()

    def _close_idle(self, action: interface.CloseIdle) -> None:
        node = self.endpoints.nodes.get(action.node)
        if node is not None:
            self.pools.close_idle(node.address)

    def _probe(self, action: interface.Probe) -> None:
        """Report at once that no probe was sent; an edge whose nodes can be probed overrides this."""
        self.loop.post(interface.Probed(action.node, interface.Result.NOT_SENT, 0.0, None))

    def _send_peer_message(self, action: interface.SendPeerMessage) -> None:
        """Drop the message; an edge whose gateways exchange messages overrides this."""


def _first_request_id() -> int:
    """Return a first request number from the wall clock: a process that starts later uses higher numbers."""
    return time.time_ns() // 1_000_000 << _REQUEST_ID_BITS_PER_MILLISECOND
