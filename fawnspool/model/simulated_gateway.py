"""A gateway's process in simulated time: what `fawnspool/gateway` and `fawnspool/api` do, with the real scheduler."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import xxhash

from fawnspool.config.head import HeadConfig
from fawnspool.config.scheduler_settings import scheduler_settings
from fawnspool.model.endpoint_service import EndpointWatch
from fawnspool.model.environment import Environment
from fawnspool.model.exchanges import ClientTry, NodeAttempt, NodeReport, PendingRequest, TryResult
from fawnspool.model.gateway_attempts import GatewayAttempts
from fawnspool.model.simulated_gossip import SimulatedGossip
from fawnspool.model.simulated_process import SimulatedProcess
from fawnspool.model.simulation import START
from fawnspool.scheduling import interface

Policy = Callable[[interface.Settings, int], Any]

_LIFE_SHIFT = 24  # bits of a request's number under those of the process's life
_PROBE_DELAYS = 4  # one-way delays of a probe: connect, ask, answer
_NEW_OBJECT = -1  # as `interface.Request.shard`


class SimulatedGateway(SimulatedProcess):
    """One gateway over its lives."""

    def __init__(self, environment: Environment, config: HeadConfig) -> None:
        super().__init__(environment.simulation, config.head.number)
        self._environment = environment
        self._config = config
        self._settings = scheduler_settings(config)
        self._volumes = {
            volume.name: (volume, xxhash.xxh3_64_intdigest(volume.name.encode())) for volume in config.volume
        }
        self._plans = {plan.name: index for index, plan in enumerate(config.plan)}
        self._watch = EndpointWatch(environment.simulation, environment.endpoints, self, self._tell)
        self._attempts = GatewayAttempts(environment, self, self._watch, self._end_attempt)
        self._pending: dict[int, PendingRequest] = {}
        self._gossip: SimulatedGossip | None = None
        self._scheduler: Any = None
        self._last_request_id = 0
        self._known_places: set[tuple[str, str]] = set()
        self.events = 0
        self.errors = 0
        environment.endpoints.watches.append(self._watch)
        environment.network.connect(self)

    # Life of the process.

    def start(self, policy: Policy) -> None:
        """Start a process with the given scheduler. It keeps the endpoint list of the one before."""
        self.begin_life()
        self._last_request_id = self.life << _LIFE_SHIFT
        self._scheduler = policy(self._settings, self._config.head.seed)
        self._pending = {}
        self._attempts.start()
        self._known_places = set()
        self._simulation.record("head", head=self.number, what="up")
        if self._config.shared is not None:
            self._gossip = SimulatedGossip(self._environment, self, self._config, self._scheduler, self._tell)
        self._watch.start()

    def kill(self) -> None:
        """End the process: the connections of its clients close."""
        self._simulation.record("head", head=self.number, what="killed")
        self.end_life()
        for pending in self._pending.values():
            pending.client_try.answer(TryResult.CLOSED, 0.0, 0)
        self._pending = {}

    def attempts_at(self, node_number: int) -> list[NodeAttempt]:
        """Return the attempts that a node has or is about to get."""
        return [
            attempt
            for pending in self._pending.values()
            for attempt in pending.attempts
            if attempt.node.number == node_number and attempt.written and not attempt.ended
        ]

    # The scheduler.

    def _tell(self, event: interface.Event) -> None:
        self.events += 1
        now = self._simulation.engine.now
        try:
            actions = self._scheduler.handle(now, event)
        except Exception as error:
            self.errors += 1
            self._simulation.errors.append(f"{now - START:.3f} s, head {self.number}: {type(error).__name__}: {error}")
            self._close(getattr(event, "id", None), TryResult.FAILED, 0.0)
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: interface.Action) -> None:
        match action:
            case interface.Send():
                self._send(action)
            case interface.SetTimer():
                delay_s = max(0.0, action.delay_s)
                self._simulation.engine.after(delay_s, self._fire_timer, self.life, action.token)
            case interface.RejectRequest():
                self._close(action.id, TryResult.REFUSED, action.retry_after_s)
            case interface.FailRequest():
                self._close(action.id, TryResult.FAILED, 0.0)
            case interface.Cancel():
                self._cancel(action)
            case interface.SendPeerMessage():
                self._environment.network.send(self.number, action.gateway_id, action.body)
            case interface.SetWatch():
                self._watch.set_watching(action.enabled)
            case interface.FetchEndpoints():
                self._watch.refresh()
            case interface.Probe():
                delay_s = _PROBE_DELAYS * self._simulation.params.node_net
                self._simulation.engine.after(delay_s, self._end_probe, self.life, action.node)

    def _fire_timer(self, life: int, token: int) -> None:
        if self.is_running(life):
            self.run(0.0, self._tell, interface.Timer(token))

    def _end_probe(self, life: int, node_number: int) -> None:
        if not self.is_running(life):
            return
        node = self._environment.nodes.get(node_number)
        elapsed_s = _PROBE_DELAYS * self._simulation.params.node_net
        if node is not None and node.up and not node.faults["refuse"]:
            event = interface.Probed(node_number, interface.Result.SERVED, elapsed_s, node.load())
        else:
            event = interface.Probed(node_number, interface.Result.CONNECT_FAILED, elapsed_s, None)
        self.run(0.0, self._tell, event)

    # Other gateways.

    def receive_gossip(self, sender: int, body: bytes) -> None:
        """Take a gossip message, whichever life of the process it was meant for: the agent tells them apart."""
        if self._gossip is not None:
            self.run(0.0, self._gossip.receive, sender, body)

    def receive_peer_message(self, sender: int, body: bytes) -> None:
        """Take a message of a peer's scheduler."""
        self.run(0.0, self._tell, interface.PeerMessage(sender, body))

    # Clients' requests.

    def receive(self, client_try: ClientTry) -> None:
        """Take a client's request, whose bytes have come to this host."""
        params, day = self._simulation.params, self._simulation.day
        body_cost_s = client_try.size * params.byte_cost if client_try.op.writes else 0.0
        place = (client_try.op.volume, client_try.key)
        lookup_s = 0.0 if place in self._known_places else params.places
        self._known_places.add(place)
        margin_s = min(day.clients.answer_margin, client_try.patience_s / 4)
        deadline = self._simulation.engine.now + client_try.patience_s - margin_s
        self.run(params.head_cost + body_cost_s, self._look_up, client_try, deadline, lookup_s)

    def _look_up(self, client_try: ClientTry, deadline: float, lookup_s: float) -> None:
        self._simulation.engine.after(lookup_s, self.run_if_alive, self.life, self._schedule, (client_try, deadline))

    def _schedule(self, client_try: ClientTry, deadline: float) -> None:
        op = client_try.op
        if client_try.ended:
            return
        if deadline <= self._simulation.engine.now:
            client_try.answer(TryResult.REFUSED, 0.0, 503)
            return
        cell = self._simulation.object_cells.get((op.volume, client_try.key))
        if cell is None and not op.writes:
            client_try.answer(TryResult.FAILED, 0.0, 404)
            return
        request = self._request_of(client_try, deadline, cell)
        pending = PendingRequest(request, client_try, deadline)
        self._pending[request.id] = pending
        overdue_at = deadline + self._simulation.day.clients.answer_margin / 2
        self._simulation.engine.at(overdue_at, self._check_overdue, self.life, pending)
        self._tell(request)
        if self._gossip is not None:
            self._gossip.record_demand(request, self._settings.plans[request.plan_index])

    def _request_of(self, client_try: ClientTry, deadline: float, cell: int | None) -> interface.Request:
        op = client_try.op
        volume, volume_number = self._volumes[op.volume]
        self._last_request_id += 1
        size = client_try.size if op.part is None else max(1, int(op.part[1] * client_try.size))
        extent_name = b"run:" + op.run.encode() if op.run else f"{op.volume}/{client_try.key}".encode()
        return interface.Request(
            id=self._last_request_id,
            class_index=op.cls,
            plan_index=self._plans[volume.plan],
            extent=xxhash.xxh3_64_intdigest(extent_name) or 1,
            timeout_s=deadline - self._simulation.engine.now,
            volume=volume_number,
            units=float(self._simulation.units_of(size)),
            shard=_NEW_OBJECT if cell is None else cell,
            gateway_count=volume.heads,
            is_client_retry=client_try.number > 0,
            writes=op.writes,
        )

    def _check_overdue(self, life: int, pending: PendingRequest) -> None:
        if self.is_running(life) and not pending.answered:
            self.run(0.0, self._close, pending.request.id, TryResult.FAILED, 0.0)
            self.run(0.0, self._tell, interface.ClientDisconnected(pending.request.id))

    def client_left(self, client_try: ClientTry) -> None:
        """See that a client has closed its connection."""
        for pending in list(self._pending.values()):
            if pending.client_try is client_try and not pending.answered:
                pending.answered = True
                self._tell(interface.ClientDisconnected(pending.request.id))
                self._forget_if_done(pending)

    def _close(self, request_id: int | None, result: TryResult, retry_after_s: float) -> None:
        """Answer a client without an object, unless it has its answer."""
        pending = None if request_id is None else self._pending.get(request_id)
        if pending is not None and not pending.answered:
            pending.answered = True
            self._reply(pending, result, retry_after_s, 503 if result is TryResult.REFUSED else 502)
            self._forget_if_done(pending)

    def _reply(self, pending: PendingRequest, result: TryResult, retry_after_s: float, status: int) -> None:
        client_try = pending.client_try
        has_body = result is TryResult.SERVED and not client_try.op.writes
        size = client_try.size if has_body else 0
        params = self._simulation.params
        delay_s = self._simulation.network_delay(params.client_net) + size * params.byte_cost
        self._simulation.engine.after(delay_s, client_try.answer, result, retry_after_s, status)

    def _forget_if_done(self, pending: PendingRequest) -> None:
        if pending.answered and not pending.open_attempts:
            self._pending.pop(pending.request.id, None)

    # Attempts at nodes.

    def _send(self, action: interface.Send) -> None:
        pending = self._pending.get(action.id)
        if pending is not None:
            self._attempts.send(pending, action)

    def _cancel(self, action: interface.Cancel) -> None:
        pending = self._pending.get(action.id)
        if pending is not None and action.attempt < len(pending.attempts):
            self._attempts.cancel(pending.attempts[action.attempt])

    def _end_attempt(self, attempt: NodeAttempt, result: interface.Result, report: NodeReport) -> None:
        pending = attempt.pending
        request = pending.request
        if result is interface.Result.SERVED and not pending.answered:
            pending.answered = True
            if request.writes:
                op = pending.client_try.op
                self._simulation.object_cells[op.volume, pending.client_try.key] = attempt.node.cell
            self._reply(pending, TryResult.SERVED, 0.0, 200)
        pending.open_attempts -= 1
        self._forget_if_done(pending)
        outcome = interface.Outcome(
            request.id,
            attempt.number,
            attempt.node.number,
            self._simulation.engine.now - attempt.sent_at,
            result,
            pending.answered,
            report.others_units,
            self._relative_use(request, report),
            report.load,
        )
        self._tell(outcome)
        if self._gossip is not None:
            self._gossip.record_outcome(outcome, request)

    def _relative_use(self, request: interface.Request, report: NodeReport) -> float | None:
        rate = self._settings.plans[request.plan_index].rate
        return report.volume_use / rate if report.volume_use is not None and rate else None
