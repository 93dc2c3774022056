"""How simulated nodes take requests: arrival, work, effects, faults of the answer, and cancellation."""

from __future__ import annotations

import math
from typing import Any

from fawnspool.model.exchanges import NO_REPORT, NodeAttempt, NodeReport
from fawnspool.model.node import Work
from fawnspool.model.simulated_node import SimulatedNode
from fawnspool.model.simulation import Simulation
from fawnspool.model.volume_meter import VolumeMeter
from fawnspool.scheduling import interface

_LOST_ANSWER = "lose"
_ANSWER_FAULTS = (_LOST_ANSWER, "reset", "cut", "garble", "wrong_length")


class NodeRequests:
    """The requests at all nodes of a day."""

    def __init__(self, simulation: Simulation, meter: VolumeMeter) -> None:
        self._simulation = simulation
        self._meter = meter
        scales = dict(simulation.params.class_scale)
        self._class_scales = [scales.get(class_.name, 1.0) for class_ in simulation.day.class_]
        self._effect_times: dict[str, float] = {}  # by idempotency key and the group of nodes that share it

    def receive(self, attempt: NodeAttempt) -> None:
        """Take an attempt that has wholly reached its node."""
        node = attempt.node
        if not node.up or node.life != attempt.node_life or node.draws_fault("hang_up"):
            self.send_result(attempt, interface.Result.RESET)
            return
        self._record_arrival(attempt)
        work = self._work_of(attempt)
        attempt.work = work.ident
        accepted = node.behaviour.arrive(self._simulation.engine.now, work)
        if node.behaviour.fallen and node.up:
            self._simulation.record("fell", node=node.number)
            node.kill()
            self.send_result(attempt, interface.Result.RESET)
        elif accepted:
            node.on_work_end(work.ident, lambda done: self._end_work(attempt, done))
            node.schedule_next_step()
        else:
            node.schedule_next_step()
            self._record_answer(attempt, status=503, how="full")
            self.send_result(attempt, interface.Result.OVERLOADED)

    def send_result(self, attempt: NodeAttempt, result: interface.Result) -> None:
        """Let the gateway know, a network delay later, of a result without an object."""
        delay_s = self._simulation.network_delay(self._simulation.params.node_net)
        self._simulation.engine.after(delay_s, self._deliver, attempt, result, NO_REPORT)

    def cancel(self, attempt: NodeAttempt) -> None:
        """Let the node see, a little later, that the sender has closed its connection."""
        self._simulation.engine.after(self._simulation.params.cancel_seen, self._see_cancel, attempt)

    def _see_cancel(self, attempt: NodeAttempt) -> None:
        node = attempt.node
        if node.up and node.life == attempt.node_life:
            node.cancel(attempt.work)

    def _work_of(self, attempt: NodeAttempt) -> Work:
        request = attempt.pending.request
        units = request.units * self._class_scales[request.class_index]
        is_first = attempt.number == 0
        ident = attempt.node.next_work_id()
        return Work(ident, units, request.writes, request.extent, is_first, attempt.deadline)

    def _end_work(self, attempt: NodeAttempt, done: bool) -> None:
        if done:
            delay_s = self._simulation.params.node_cost
            self._simulation.engine.after(delay_s, self._answer, attempt, attempt.node.life)
            return
        self._record_answer(attempt, status=503, how="dropped")
        self.send_result(attempt, interface.Result.ERROR)

    def _answer(self, attempt: NodeAttempt, node_life: int) -> None:
        node, request = attempt.node, attempt.pending.request
        if not node.up or node.life != node_life:
            self.send_result(attempt, interface.Result.RESET)
            return
        if node.draws_fault("error"):
            self._record_answer(attempt, status=500)
            self.send_result(attempt, interface.Result.ERROR)
            return
        if request.writes:
            self._apply_write(attempt)
        others_units = self._count_units(node, attempt)
        volume_use = self._meter.use_of(request.volume)
        fault = next((name for name in _ANSWER_FAULTS if node.draws_fault(name)), "")
        self._record_answer(attempt, status=0 if fault == _LOST_ANSWER else 200, fault=fault)
        if not fault:
            self._send_object(attempt, NodeReport(others_units, volume_use, node.load()))
        elif fault != _LOST_ANSWER:
            self.send_result(attempt, interface.Result.RESET)

    def _send_object(self, attempt: NodeAttempt, report: NodeReport) -> None:
        params = self._simulation.params
        size = 0 if attempt.pending.request.writes else attempt.pending.client_try.size
        delay_s = self._simulation.network_delay(params.node_net) + size * params.byte_cost
        self._simulation.engine.after(delay_s, self._deliver, attempt, interface.Result.SERVED, report)

    def _deliver(self, attempt: NodeAttempt, result: interface.Result, report: NodeReport) -> None:
        if attempt.owner.is_running(attempt.owner_life):
            attempt.owner.end_attempt(attempt, result, report)

    def _apply_write(self, attempt: NodeAttempt) -> None:
        class_ = self._simulation.day.class_[attempt.pending.request.class_index]
        now = self._simulation.engine.now
        group = attempt.node.cell if class_.group == "cell" else class_.group
        key = f"{attempt.pending.client_try.op.name}-{group}"
        last = self._effect_times.get(key, -math.inf)
        dropped = class_.effect == "keyed" and last > now - class_.window
        self._effect_times.setdefault(key, now)
        self._simulation.record("did", e=class_.effect, dropped=dropped, **_identity(attempt))

    def _count_units(self, node: SimulatedNode, attempt: NodeAttempt) -> int:
        """Count a served request. Returns what other gateways were served since this one was last told."""
        request = attempt.pending.request
        total = node.served_units.get(request.volume, 0.0) + request.units
        node.served_units[request.volume] = total
        self._meter.add(request.volume, request.units)
        told_to = (attempt.owner.number, request.volume)
        before = node.reported_units.get(told_to)
        node.reported_units[told_to] = total
        return 0 if before is None else max(0, round(total - before - request.units))

    def _record_arrival(self, attempt: NodeAttempt) -> None:
        request = attempt.pending.request
        self._simulation.record(
            "in",
            cls=request.class_index,
            units=request.units,
            vol=attempt.pending.client_try.op.volume,
            x=request.extent,
            e=self._simulation.day.class_[request.class_index].effect,
            w=request.writes,
            m="PUT" if request.writes else "GET",
            **_identity(attempt),
        )

    def _record_answer(self, attempt: NodeAttempt, *, status: int, fault: str = "", how: str = "") -> None:
        self._simulation.record("out", s=status, lost=fault, how=how, **_identity(attempt))


def _identity(attempt: NodeAttempt) -> dict[str, Any]:
    return {
        "node": attempt.node.number,
        "head": attempt.owner.number,
        "id": attempt.pending.request.id,
        "n": attempt.number,
        "op": attempt.pending.client_try.op.name,
    }
