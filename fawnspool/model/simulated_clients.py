"""The clients of a day in simulated time: operations, tries at gateways, and retries."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from fawnspool.days.retries import EndedAttempt, pause_before_retry
from fawnspool.days.service_value import EndedOperation
from fawnspool.days.traffic import Operation
from fawnspool.model.exchanges import ClientTry, TryResult
from fawnspool.model.simulated_gateway import SimulatedGateway
from fawnspool.model.simulation import Simulation

FRESH_OBJECTS_KEPT = 400  # of each volume, for reads of what was written lately
_PATIENCE_SLACK_S = 0.25  # after its patience, when a client goes without an answer
_LEAVE_SEEN_S = 0.05  # until a gateway sees that its client has gone


@dataclass(frozen=True, slots=True)
class _Operation:
    """What a client wants, over all its tries, with its object known."""

    op: Operation
    key: str
    size: int
    began: float


class SimulatedClients:
    """All clients. `ended`: what came of each operation, in the order of their ends.

    Parameters
    ----------
    held
        The sizes of the objects that volumes hold from the start, by (volume, key).
    """

    def __init__(
        self, simulation: Simulation, gateways: Sequence[SimulatedGateway], held: dict[tuple[str, str], int]
    ) -> None:
        self._simulation = simulation
        self._gateways = gateways
        self._held = held
        self._random = simulation.random("clients")
        self._plans = {name: block.name for name, block in simulation.day.volume_names()}
        self._fresh: dict[str, deque[tuple[str, int]]] = {}
        self.ended: list[EndedOperation] = []

    def schedule(self, ops: Iterable[Operation], begin: float) -> None:
        """Schedule operations; their times count from `begin`."""
        for op in ops:
            self._simulation.engine.at(begin + op.at, self._begin, op)

    def _begin(self, op: Operation) -> None:
        key, size = (op.key, op.size) if op.writes else self._object_to_read(op)
        self._try(_Operation(op, key, size, self._simulation.engine.now), 0, list(op.heads))

    def _object_to_read(self, op: Operation) -> tuple[str, int]:
        fresh = self._fresh.get(op.volume)
        if not op.key and fresh:
            return fresh[int(op.pick * len(fresh))]
        key = op.key or f"held/{int(op.pick * self._simulation.day.load.objects)}"
        return key, self._held[op.volume, key]

    def _try(self, operation: _Operation, number: int, gateway_numbers: list[int]) -> None:
        op = operation.op
        engine, params = self._simulation.engine, self._simulation.params
        class_ = self._simulation.day.class_[op.cls]
        patience_s = min(op.patience, class_.deadline - (engine.now - operation.began))

        def end(result: TryResult, retry_after_s: float) -> None:
            self._end_try(operation, client_try, gateway_numbers, result, retry_after_s)

        client_try = ClientTry(
            op, number, gateway_numbers[0], patience_s, operation.key, operation.size, end, self.answer
        )
        self._record_try(client_try)
        gateway = self._gateways[client_try.gateway]
        if not gateway.up:
            engine.after(2 * params.client_net, client_try.answer, TryResult.UNREACHED, 0.0, 0)
            return
        delay_s = self._simulation.network_delay(params.client_net)
        engine.after(delay_s, self._reach, gateway, gateway.life, client_try)
        engine.after(patience_s + _PATIENCE_SLACK_S, client_try.answer, TryResult.NO_ANSWER, 0.0, 0)
        if op.leaves < math.inf:
            engine.after(op.leaves, self._leave, gateway, gateway.life, client_try)

    def _record_try(self, client_try: ClientTry) -> None:
        op = client_try.op
        self._simulation.record(
            "ask",
            op=op.name,
            n=client_try.number,
            head=client_try.gateway,
            vol=op.volume,
            cls=op.cls,
            units=self._simulation.units_of(client_try.size),
            pat=client_try.patience_s,
            e=self._simulation.day.class_[op.cls].effect,
            w=op.writes,
        )

    @staticmethod
    def _reach(gateway: SimulatedGateway, life: int, client_try: ClientTry) -> None:
        if gateway.is_running(life):
            gateway.receive(client_try)
        else:
            client_try.answer(TryResult.CLOSED, 0.0, 0)

    def _leave(self, gateway: SimulatedGateway, life: int, client_try: ClientTry) -> None:
        if client_try.ended:
            return
        client_try.answer(TryResult.LEFT, 0.0, 0)
        if gateway.is_running(life):
            self._simulation.engine.after(_LEAVE_SEEN_S, gateway.run, 0.0, gateway.client_left, client_try)

    def answer(self, client_try: ClientTry, result: TryResult, retry_after_s: float, status: int) -> None:
        """Give a client its one answer; later ones find it gone."""
        if client_try.ended:
            return
        client_try.ended = True
        self._simulation.record(
            "got", op=client_try.op.name, n=client_try.number, head=client_try.gateway, how=result.value, s=status
        )
        client_try.on_end(result, retry_after_s)

    def _end_try(
        self,
        operation: _Operation,
        client_try: ClientTry,
        gateway_numbers: list[int],
        result: TryResult,
        retry_after_s: float,
    ) -> None:
        day = self._simulation.day
        class_ = day.class_[operation.op.cls]
        elapsed_s = self._simulation.engine.now - operation.began
        tries = client_try.number + 1
        attempt = EndedAttempt(result.value, tries, elapsed_s, retry_after_s)
        pause_s = pause_before_retry(day.load, class_, attempt, self._random)
        if pause_s is None:
            self._end(operation, client_try.gateway, result, elapsed_s)
            return
        if result is TryResult.UNREACHED:
            gateway_numbers = gateway_numbers[1:] + gateway_numbers[:1]
        self._simulation.engine.after(pause_s, self._try, operation, tries, gateway_numbers)

    def _end(self, operation: _Operation, gateway: int, result: TryResult, elapsed_s: float) -> None:
        op = operation.op
        if result is TryResult.SERVED and op.writes:
            fresh = self._fresh.setdefault(op.volume, deque(maxlen=FRESH_OBJECTS_KEPT))
            fresh.append((operation.key, operation.size))
        units = float(self._simulation.units_of(op.size))
        how = self._judgement(op, result, elapsed_s)
        self.ended.append(
            EndedOperation(op.at, op.volume, self._plans[op.volume], op.cls, units, how, elapsed_s, gateway)
        )

    def _judgement(self, op: Operation, result: TryResult, elapsed_s: float) -> str:
        """Return the result of an operation in the words of `EndedOperation.how`."""
        match result:
            case TryResult.SERVED:
                return "in time" if elapsed_s <= self._simulation.day.class_[op.cls].aim else "late"
            case TryResult.LEFT:
                return "left"
            case TryResult.REFUSED | TryResult.UNREACHED:
                return "refused"
            case _:
                return "failed"
