"""The scheduler of one gateway, which decides when and where each request is sent, and which ones are rejected.

The scheduler handles one event at a time and returns actions; it reads no clock and does no I/O. This module holds the
dispatch of events, the requests in flight and the timers. Each scheduling rule has its own module: see docs/design.md.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from fawnspool.scheduling import admission, load_shedding
from fawnspool.scheduling.concurrency import (
    TARGET_RESPONSE_FRACTION,
    ConcurrencyLimit,
    is_large_fleet,
    max_limit_requests,
)
from fawnspool.scheduling.endpoints import EndpointList
from fawnspool.scheduling.interface import (
    Action,
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    FailRequest,
    GossipedHealth,
    Log,
    Outcome,
    PeerMessage,
    RejectRequest,
    Request,
    Result,
    Send,
    SetTimer,
    Settings,
    Timer,
    UpdateKind,
    VolumeParticipants,
)
from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.ordering import RequestOrder
from fawnspool.scheduling.outliers import FAILURES_TO_EJECT, is_failure, max_silence_s, min_evidence_s
from fawnspool.scheduling.pending_request import Attempt, PendingRequest, Rank
from fawnspool.scheduling.placement import choose_node
from fawnspool.scheduling.rate_limits import RateLimiter, RateLimits
from fawnspool.scheduling.response_times import FleetResponseTimes
from fawnspool.scheduling.retries import RetryPolicy
from fawnspool.scheduling.timer_tokens import CHECK_TOKEN, POLL_TOKEN, expiry_token, request_of_token

CHECKS_PER_OBJECTIVE = 8  # checks of all queues per least latency objective; waiting for one costs up to an eighth
EXPIRY_LEAD_TICKS = 3  # ticks of the caller's clock by which a queued request's timer precedes its client's timeout
EXPIRY_MARGIN_TICKS = 4  # a timer that expires earlier than this before the client's timeout has no effect

NEVER_RAN = (Result.OVERLOADED, Result.CONNECT_FAILED, Result.NOT_SENT)
MAY_STILL_RUN = (Result.TIMED_OUT, Result.RESET, Result.CANCELLED)
ANSWERED = (Result.SERVED, Result.ERROR, Result.OVERLOADED)


class Scheduler:
    """Schedules one gateway's requests; it is deterministic: the same events give the same actions.

    Parameters
    ----------
    settings : Settings
        Properties of the platform and its nodes.
    seed : int
        Seed of all random draws.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self._max_volumes_per_queue: int | None = None
        self.random = Random(seed)
        self.now = 0.0
        self.actions = list[Action]()
        self.requests = dict[int, PendingRequest]()
        self.least_objective_s = min(request_class.latency_objective_s for request_class in settings.classes)
        self.check_interval_s = self.least_objective_s / CHECKS_PER_OBJECTIVE
        self.target_response_s = self.least_objective_s * TARGET_RESPONSE_FRACTION
        self.is_large_fleet = is_large_fleet(settings)
        self.max_limit = max_limit_requests(settings)
        self.endpoints = EndpointList(settings)
        self.node_queues = dict[int, NodeQueue]()
        self.busy = dict[int, NodeQueue]()  # queues with requests queued or in flight
        self.served_queues = list[NodeQueue]()  # queues of shards that have a node
        self.fleet_times = FleetResponseTimes()
        self._fleet_times_if_large = self.fleet_times if self.is_large_fleet else None
        self.rate_limits = RateLimits(settings, self.least_objective_s, self.check_interval_s, self.random)
        self.delay_limit = admission.QueueingDelayLimit(settings, self.least_objective_s, self.random)
        self.retries = RetryPolicy(settings)
        self.order = RequestOrder()
        self._started_at: float | None = None  # time of the first event
        self._is_check_scheduled = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            EndpointUpdate: self._on_endpoint_update,
            Request: self._on_request,
            Outcome: self._on_outcome,
            ClientDisconnected: self._on_client_disconnected,
            Timer: self._on_timer,
            PeerMessage: self._on_peer_message,
            VolumeParticipants: self.rate_limits.record_participants,
            GossipedHealth: self._on_gossiped_health,
        }

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle an event, and return the resulting actions in order.

        Parameters
        ----------
        now : float
            Seconds on the caller's monotonic clock.
        event : Event
            The event; kinds that no rule uses are ignored.
        """
        self.now = now
        self.actions = []
        if self._started_at is None:
            self._started_at = now
            self.rate_limits.recorded_since = now
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return self.actions

    def limit_volumes(self, max_volumes: int) -> None:
        """Set the number of volumes remembered, if the process can't hold as many as usual."""
        self.rate_limits.max_volumes = max_volumes
        self._max_volumes_per_queue = max(1, max_volumes // max(1, self.settings.shard_count))
        for node_queue in self.node_queues.values():
            node_queue.queue.max_volumes = self._max_volumes_per_queue

    def consecutive_failures(self) -> list[tuple[int, int]]:
        """Return the busy nodes with recent failures, and their numbers of consecutive failures."""
        return [
            (node_queue.node, node_queue.health.failures)
            for node_queue in self.busy.values()
            if node_queue.health.failures and node_queue.node
        ]

    # ------------------------------------------------------------ endpoints

    def _on_endpoint_update(self, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.POLL_FAILED:
            delay_s = self.endpoints.schedule_retry(self.now, self.random)
            self.actions.append(SetTimer(delay_s, POLL_TOKEN))
            return
        ready = self.endpoints.update(event)
        is_cached = event.kind is UpdateKind.CACHED
        if is_cached:  # a cached list may be old, so a current one is requested
            self.actions.append(self.endpoints.poll())
        for shard in sorted(ready.keys() | self.node_queues.keys()):
            node_queue = self._node_queue(shard)
            endpoint = ready.get(shard)
            self._assign_node(node_queue, endpoint.node if endpoint else None)
            if endpoint is not None:
                supersedes = self.endpoints.is_cached or endpoint.started_at >= node_queue.health.failing_since
                node_queue.slow_start.record_listed_start(
                    endpoint.started_at, self.now, is_cached, supersedes, self.settings
                )
        self.endpoints.is_cached = is_cached
        self.served_queues = [node_queue for node_queue in self.node_queues.values() if node_queue.node is not None]
        for node_queue in self.node_queues.values():
            self._serve_queue(node_queue)

    def _node_queue(self, shard: int) -> NodeQueue:
        node_queue = self.node_queues.get(shard)
        if node_queue is None:
            node_queue = NodeQueue(shard, ConcurrencyLimit(self.max_limit), self.target_response_s / 2)
            node_queue.queue.max_volumes = self._max_volumes_per_queue
            self.node_queues[shard] = node_queue
        return node_queue

    def _assign_node(self, node_queue: NodeQueue, node: int | None) -> None:
        if node == node_queue.node:
            return
        node_queue.change_node(node, self.now)
        if node is None:
            self._move_new_objects(node_queue)

    # ------------------------------------------------------------ arrival

    def _on_request(self, event: Request) -> None:
        pending = admission.make_pending(event, self.settings, self.now)
        self.requests[event.id] = pending
        self.retries.budget.record_request(self.now)
        self.order.add(pending)
        limiter = self.rate_limits.record_request(pending, self.now)
        admission.assign_rank(pending, limiter, self.now, self.check_interval_s)
        if admission.exceeds_rate_limit(pending, limiter, self.settings, self.now):
            self._give_up(pending)
            return
        node_queue = self._choose_node() if event.is_new_object else self.node_queues.get(event.shard)
        if node_queue is None or self._is_rejected_on_arrival(pending, node_queue):
            self._give_up(pending)
        else:
            self._admit(pending, node_queue, at_front=False)

    def _is_rejected_on_arrival(self, pending: PendingRequest, node_queue: NodeQueue) -> bool:
        if pending.rank is Rank.LATE and node_queue.queue.queued:  # requests that can still be in time wait there
            return True
        if not self.is_large_fleet:
            return False
        usage = self.rate_limits.limiters[pending.request.volume].usage
        return self.delay_limit.rejects(pending, node_queue, usage, self.fleet_times, self.now)

    def _admit(self, pending: PendingRequest, node_queue: NodeQueue, at_front: bool) -> None:
        """Queue a request and serve the queue; if it stays queued, set a timer that expires it in time."""
        self._enqueue(pending, node_queue, at_front)
        self._serve_queue(node_queue)
        self._schedule_check()
        timer_delay_s = pending.expires_at - self.now - EXPIRY_LEAD_TICKS * self.settings.clock_tick_s
        if not pending.is_queued:
            return
        if timer_delay_s <= 0:
            self._give_up(pending)
        else:
            self.actions.append(SetTimer(timer_delay_s, expiry_token(pending.request.id)))
            self._request_units(pending)

    def _limiter(self, pending: PendingRequest) -> RateLimiter:
        return self.rate_limits.limiter(pending, self.now)

    def _request_units(self, pending: PendingRequest) -> None:
        self.actions += self.rate_limits.request_units(pending.request.volume, self._limiter(pending), self.now)

    # ------------------------------------------------------------ queues

    def _enqueue(self, pending: PendingRequest, node_queue: NodeQueue, at_front: bool) -> None:
        pending.shard = node_queue.shard
        self.busy[node_queue.shard] = node_queue
        node_queue.queue.enqueue(pending, self.now, at_front)
        limiter = self._limiter(pending)
        if not pending.attempts:
            limiter.record_queued(pending.request.units)

    def _dequeue(self, pending: PendingRequest, node_queue: NodeQueue) -> None:
        node_queue.queue.remove(pending)
        limiter = self._limiter(pending)
        if not pending.attempts:
            limiter.record_unqueued(pending.request.units)

    def _queue_of(self, pending: PendingRequest) -> NodeQueue | None:
        return None if pending.shard is None else self.node_queues[pending.shard]

    def _serve_queue(self, node_queue: NodeQueue) -> None:
        """Send within the concurrency limit, as only answers show the node's state; then shed late requests."""
        queue = node_queue.queue
        while queue.queued:
            pending = queue.next(partial(self._may_send, node_queue), node_queue.mean_response_s())
            if pending is None or len(node_queue.in_flight) >= node_queue.max_in_flight(pending, self.now):
                break
            self._send(pending, node_queue)
        if node_queue.is_available():
            self._shed_load(node_queue)

    def _may_send(self, node_queue: NodeQueue, pending: PendingRequest) -> bool:
        is_its_turn = self.order.is_its_turn(pending, self.now)
        is_rate_limited = (
            not pending.attempts
            and bool(pending.plan.rate_limit)
            and self._limiter(pending).tokens < pending.request.units
        )
        if not is_its_turn or is_rate_limited or not self._slow_start_allows(node_queue):
            return False
        if not pending.attempts:
            return True
        if node_queue.node is None:  # the retry waits for the next node, unless it must not be repeated at all
            return self.retries.may_reject(pending)
        return self.retries.may_send(pending, node_queue.node, self.now, self.endpoints.nodes)

    def _slow_start_allows(self, node_queue: NodeQueue) -> bool:
        assert self._started_at is not None
        return node_queue.slow_start.may_send(self.now, self._started_at, self.settings, self.random)

    def _send(self, pending: PendingRequest, node_queue: NodeQueue) -> None:
        assert node_queue.node is not None
        request_id, units = pending.request.id, pending.request.units
        self._dequeue(pending, node_queue)
        limiter = self._limiter(pending)
        if pending.attempts:
            self.retries.budget.record_retry(self.now)
        else:
            limiter.draw(units)
        node_queue.slow_start.record_send(units)
        if not node_queue.in_flight:
            node_queue.health.record_first_send(self.now)
        node_queue.in_flight[request_id, len(pending.attempts)] = self.now
        node_queue.queue.record_send(pending)
        write_within_s = self.retries.write_within_s(pending, self.now)
        pending.attempts.append(Attempt(node_queue.node, self.now))
        # The timeout ends at the due time: nodes then drop or stop the request, which would only delay others.
        timeout_s = max(pending.due_at - self.now, self.check_interval_s)
        self.actions.append(Send(request_id, node_queue.node, timeout_s, write_within_s))

    def _shed_load(self, node_queue: NodeQueue) -> None:
        """While some queued request would be late, drop the least valuable one up to the first late one."""
        mean_units = self.settings.mean_units
        while node_queue.queue.queued:
            done_in_s = node_queue.done_in_s(mean_units, self.now, self._fleet_times_if_large)
            if load_shedding.all_are_in_time(node_queue, done_in_s, mean_units, self.now):
                break
            predicted = load_shedding.forecast(node_queue, done_in_s, mean_units, self._tokens, self.now)
            victim = load_shedding.choose_victim(predicted)
            if victim is None:
                break
            self._give_up(victim)

    def _tokens(self, pending: PendingRequest) -> float:
        return self._limiter(pending).tokens

    def _expected_response_s(self, node_queue: NodeQueue) -> float:
        return node_queue.expected_response_s(self.now, self._fleet_times_if_large)

    def _choose_node(self) -> NodeQueue | None:
        return choose_node(self.served_queues, self._slow_start_allows, self._expected_response_s, self.random)

    def _move_new_objects(self, node_queue: NodeQueue) -> None:
        """Move requests for new objects from the queue of an unavailable node to other nodes."""
        for pending in node_queue.queue.requests():
            if not pending.request.is_new_object or pending.ambiguous_attempts():
                continue
            other = self._choose_node()
            if other is not None and other is not node_queue:
                self._dequeue(pending, node_queue)
                self._enqueue(pending, other, at_front=False)

    # ------------------------------------------------------------ attempts' ends

    def _on_outcome(self, event: Outcome) -> None:
        pending = self.requests.get(event.id)
        if pending is None or event.attempt >= len(pending.attempts) or not pending.attempts[event.attempt].is_open:
            return
        attempt = pending.attempts[event.attempt]
        attempt.is_open = False
        attempt.may_have_run = event.result not in NEVER_RAN
        if event.result in MAY_STILL_RUN:
            self.order.pause(pending, self.now + self.settings.settle_after_ambiguity_s)
        node_queue = self._queue_of(pending)
        assert node_queue is not None
        if node_queue.in_flight.pop((event.id, event.attempt), None) is not None:
            self._record_attempt_end(node_queue, pending, event, attempt)
        self.rate_limits.record_outcome(pending, event, self.now)
        if event.final or pending.is_answered:
            self._finish(pending)
        elif not pending.has_open_attempt():
            self._retry_or_give_up(pending, node_queue, event.result)
        self._serve_queue(node_queue)

    def _record_attempt_end(
        self, node_queue: NodeQueue, pending: PendingRequest, event: Outcome, attempt: Attempt
    ) -> None:
        """Update the node's state from the outcome of an attempt."""
        node_queue.queue.record_end(pending.request.volume)
        is_silent = event.result is Result.TIMED_OUT and self._shows_silence(node_queue, attempt)
        if is_failure(event, is_silent):
            if event.result is Result.CONNECT_FAILED:
                node_queue.health.record_refused_connection()
            self._record_failures(node_queue, 1)
        elif event.result in ANSWERED:
            self._record_answer(node_queue)
        if event.result is Result.OVERLOADED:
            node_queue.record_overload(self.least_objective_s, self.now)
        elif event.result is Result.SERVED or is_silent:
            response_s = self.now - attempt.sent_at
            if is_silent:  # requests queued at the node take longer than this timeout
                response_s += node_queue.response_times.wait_s
            else:
                node_queue.slow_start.record_served(pending.request.units)
            node_queue.record_response(pending, response_s, self.target_response_s, self.fleet_times, self.now)
        node_queue.queue.shift_tags(self.now)

    def _shows_silence(self, node_queue: NodeQueue, attempt: Attempt) -> bool:
        """Return whether an attempt that timed out is evidence that its node is silent.

        It is not if the node has answered since the send, as the attempt was then lost on its way, nor if the client
        left less time than a node that is well may take.
        """
        if node_queue.health.last_answer_at > attempt.sent_at:
            return False
        needed_s = min_evidence_s(self.check_interval_s, node_queue.mean_response_s())
        return self.now - attempt.sent_at >= needed_s

    def _retry_or_give_up(self, pending: PendingRequest, node_queue: NodeQueue, result: Result) -> None:
        """Retry a request that has no attempt in flight and is still owed an answer, or give it up."""
        is_movable = pending.request.is_new_object and not pending.ambiguous_attempts()
        if is_movable and not node_queue.is_available():
            node_queue = self._choose_node() or node_queue
        is_in_time = self.now + node_queue.mean_response_s() <= pending.expires_at
        if (
            is_in_time
            and result is not Result.TIMED_OUT
            and node_queue.node is not None
            and self.retries.may_send(pending, node_queue.node, self.now, self.endpoints.nodes)
        ):
            self._admit(pending, node_queue, at_front=True)
        else:
            self._give_up(pending)

    def _give_up(self, pending: PendingRequest) -> None:
        """Give the final answer at once: a rejection, with a retry delay, wherever one is allowed; else a failure."""
        if pending.rank is Rank.WITHIN_RESERVE and not pending.attempts:
            self._limiter(pending).return_reserve(pending.request.units)
        if self.retries.may_reject(pending):
            self.actions.append(RejectRequest(pending.request.id, self._retry_after_s(pending)))
        else:
            self.actions.append(FailRequest(pending.request.id))
        self._finish(pending)

    def _retry_after_s(self, pending: PendingRequest) -> float:
        """Return the time in which the queue at the request's node should be served; 0: none is advised."""
        if not self.settings.sends_retry_after:
            return 0.0
        node_queue = self._queue_of(pending)
        if node_queue is None:
            return self.settings.max_retry_after_s
        return min(self._expected_response_s(node_queue), self.settings.max_retry_after_s)

    def _finish(self, pending: PendingRequest) -> None:
        """Stop sending a request, cancel its attempts in flight, and drop it once none is left."""
        node_queue = self._queue_of(pending)
        if pending.is_queued and node_queue is not None:
            self._dequeue(pending, node_queue)
        request_id = pending.request.id
        open_attempts = [number for number, attempt in enumerate(pending.attempts) if attempt.is_open]
        if self.settings.can_cancel and not pending.is_answered:
            self.actions += [Cancel(request_id, number) for number in open_attempts]
        pending.is_answered = True
        if not open_attempts:
            self.requests.pop(request_id, None)
            self.order.remove(pending)

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        pending = self.requests.get(event.id)
        if pending is not None:
            self._finish(pending)

    # ------------------------------------------------------------ nodes' health

    def _record_failures(self, node_queue: NodeQueue, count: int) -> None:
        was_ejected = node_queue.health.is_ejected()
        node_queue.health.record_failures(count, self.now, self.settings.connect_timeout_s, self.random)
        if not node_queue.health.is_ejected():
            return
        if not was_ejected:
            self.actions.append(Log(f"node {node_queue.node} suspected"))
        self._move_new_objects(node_queue)

    def _record_answer(self, node_queue: NodeQueue) -> None:
        if node_queue.health.is_ejected():
            if node_queue.health.refused_connection:
                node_queue.slow_start.assume_restarted(self.now)
            self.actions.append(Log(f"node {node_queue.node} answers again"))
        node_queue.health.record_answer(self.now)

    def _on_gossiped_health(self, event: GossipedHealth) -> None:
        """Treat other gateways' health evidence, which the caller has weighed, as this gateway's own."""
        endpoint = self.endpoints.nodes.get(event.node)
        node_queue = self.node_queues.get(endpoint.shard) if endpoint else None
        if node_queue is None or node_queue.node != event.node:
            return
        if event.healthy:
            self._record_answer(node_queue)
        else:
            if event.refused_connection:
                node_queue.health.record_refused_connection()
            if node_queue.is_available():
                self._record_failures(node_queue, FAILURES_TO_EJECT - node_queue.health.failures)
            node_queue.health.schedule_trial(self.now + event.retry_delay_s)
        self._serve_queue(node_queue)

    # ------------------------------------------------------------ rate limits

    def _on_peer_message(self, event: PeerMessage) -> None:
        result = self.rate_limits.handle_message(event, self.now)
        if result.reply is not None:
            self.actions.append(result.reply)
        if result.credited_volume is None:
            return
        for node_queue in [queue for queue in self.busy.values() if result.credited_volume in queue.queue.active]:
            self._serve_queue(node_queue)

    # ------------------------------------------------------------ timers

    def _schedule_check(self) -> None:
        if not self._is_check_scheduled:
            self._is_check_scheduled = True
            self.actions.append(SetTimer(self.check_interval_s, CHECK_TOKEN))

    def _on_timer(self, event: Timer) -> None:
        if event.token == POLL_TOKEN:
            if self.endpoints.take_due_retry(self.now):
                self.actions.append(self.endpoints.poll())
        elif event.token == CHECK_TOKEN:
            self._check_queues()
        else:
            request_id = request_of_token(event.token)
            assert request_id is not None  # every other token belongs to a request
            self._expire(request_id)

    def _expire(self, request_id: int) -> None:
        """Give up a queued request just before its client does."""
        pending = self.requests.get(request_id)
        if pending is None or not pending.is_queued:
            return
        if pending.expires_at <= self.now + EXPIRY_MARGIN_TICKS * self.settings.clock_tick_s:
            self._give_up(pending)

    def _check_queues(self) -> None:
        """Run the periodic check: silent nodes, late requests, queues that may send again, and expired state."""
        self._is_check_scheduled = False
        for node_queue in self._busy_by_shard():
            self._check_silence(node_queue)
            self._check_waiting_requests(node_queue)
        for node_queue in self._busy_by_shard():
            self._serve_queue(node_queue)
            if not node_queue.queue.queued and not node_queue.in_flight:
                node_queue.queue.clear_active()
                del self.busy[node_queue.shard]
        self.rate_limits.forget_idle_volumes(self.now)
        self.order.forget_pauses(self.now)
        if self.requests:
            self._schedule_check()

    def _busy_by_shard(self) -> list[NodeQueue]:
        return [self.busy[shard] for shard in sorted(self.busy)]

    def _check_silence(self, node_queue: NodeQueue) -> None:
        if not node_queue.in_flight or not node_queue.is_available():
            return
        allowed_s = max_silence_s(self.least_objective_s, node_queue.response_times.mean_s)
        if self.now - node_queue.health.last_answer_at > allowed_s:  # each attempt in flight counts as one failure
            self._record_failures(node_queue, min(FAILURES_TO_EJECT, len(node_queue.in_flight)))

    def _check_waiting_requests(self, node_queue: NodeQueue) -> None:
        for pending in node_queue.queue.requests():
            if self.now + self.check_interval_s > pending.due_at and not node_queue.is_available():
                self._give_up(pending)
            else:
                self._request_units(pending)
