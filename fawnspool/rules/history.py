"""The history of a run: its observations by kind, each in order of time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

from fawnspool.rules.observations import (
    Arrival,
    AttemptKey,
    ClientRequest,
    DrainResult,
    EndpointNotice,
    ExtraAnswer,
    GatewayChange,
    GatewayFault,
    LeaseChange,
    LeasedStep,
    MapUpdate,
    MisdirectedRequest,
    NodeAnswer,
    NodeEffect,
    NodeStart,
    PeerDatagram,
    Record,
    RequestEnd,
    Stall,
)

STALL_START_TOLERANCE_S = 0.001

Observation = TypeVar("Observation")
Key = TypeVar("Key")


@dataclass
class History:
    """A run's observations, each kind in order of time.

    Attributes
    ----------
    request_ends
        By operation and number of the attempt.
    faulty_nodes
        Nodes that a scripted fault hit.
    max_timer_lag_s
        Worst lateness that any process measured of its own timers.
    first, last
        Times of the first and the last record of any kind.
    """

    client_requests: list[ClientRequest] = field(default_factory=list)
    request_ends: dict[tuple[str, int], list[RequestEnd]] = field(default_factory=dict)
    extra_answers: list[ExtraAnswer] = field(default_factory=list)
    wrong_answers: int = 0
    node_starts: list[NodeStart] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    node_effects: list[NodeEffect] = field(default_factory=list)
    node_answers: dict[AttemptKey, NodeAnswer] = field(default_factory=dict)
    misdirected_requests: list[MisdirectedRequest] = field(default_factory=list)
    endpoint_notices: list[EndpointNotice] = field(default_factory=list)
    gateway_changes: dict[int, list[GatewayChange]] = field(default_factory=dict)
    stalls: dict[int, list[Stall]] = field(default_factory=dict)
    map_updates: list[MapUpdate] = field(default_factory=list)
    leased_steps: list[LeasedStep] = field(default_factory=list)
    fenced_steps: list[LeasedStep] = field(default_factory=list)
    lease_changes: list[LeaseChange] = field(default_factory=list)
    gateway_faults: list[GatewayFault] = field(default_factory=list)
    drain_results: list[DrainResult] = field(default_factory=list)
    peer_datagrams: list[PeerDatagram] = field(default_factory=list)
    faulty_nodes: set[int] = field(default_factory=set)
    max_timer_lag_s: float = 0.0
    first: float = 0.0
    last: float = 0.0
    _requests_by_operation: dict[str, list[ClientRequest]] = field(init=False)

    def __post_init__(self) -> None:
        self._requests_by_operation = _grouped(self.client_requests, lambda request: request.operation)

    def requests_of(self, operation: str) -> list[ClientRequest]:
        """Return all attempts of a client at one operation."""
        return self._requests_by_operation.get(operation, [])

    def ends_of(self, request: ClientRequest) -> list[RequestEnd]:
        """Return the ends that a client saw of its attempt."""
        return self.request_ends.get((request.operation, request.number), [])

    def may_have_run(self, arrival: Arrival) -> bool:
        """Whether an attempt that arrived may have run, as far as its sender can know."""
        answer = self.node_answers.get(arrival.key)
        return answer is None or answer.may_have_run

    def resumed_at(self, gateway: int, time: float) -> float:
        """Return when a gateway can act on what comes at `time`: the end of a stall that covers it, else `time`."""
        for stall in self.stalls.get(gateway, ()):
            if stall.start - STALL_START_TOLERANCE_S <= time <= stall.end:
                return stall.end
        return time

    def answer_due(self, gateway: int, start: float, end: float, catch_up_s: float) -> float:
        """Return when an answer is due.

        Parameters
        ----------
        gateway
            The gateway that was asked.
        start, end
            When it was asked, and until when its client waits.
        catch_up_s
            Time that a gateway has after a stall for what fell due in it or soon after.
        """
        for stall in self.stalls.get(gateway, ()):
            if stall.start <= end and start <= stall.end and end < stall.end + catch_up_s:
                return stall.end + catch_up_s
        return end

    def was_down(self, gateway: int, start: float, end: float) -> bool:
        """Whether the gateway was killed, or not up, at some time between `start` and `end`."""
        is_up = False
        for change in self.gateway_changes.get(gateway, ()):
            if change.time <= start:
                is_up = change.what == "up"
            elif change.time <= end and change.what != "up":
                return True
        return not is_up and gateway in self.gateway_changes


def read_history(records: Iterable[Record]) -> History:
    """Decode the records of a run. Unknown kinds are skipped."""
    ordered = sorted(records, key=lambda record: float(record["t"]))
    kinds: dict[str, list[Record]] = defaultdict(list)
    for record in ordered:
        kinds[record["k"]].append(record)
    answers = [NodeAnswer.decode(record) for record in kinds["out"]]
    return History(
        client_requests=[ClientRequest.decode(record) for record in kinds["ask"]],
        request_ends=_grouped(
            (RequestEnd.decode(record) for record in kinds["got"]), lambda end: (end.operation, end.number)
        ),
        extra_answers=[ExtraAnswer.decode(record) for record in kinds["extra"]],
        wrong_answers=len(kinds["wrong"]),
        node_starts=[NodeStart.decode(record) for record in kinds["up"]],
        arrivals=[Arrival.decode(record) for record in kinds["in"]],
        node_effects=[NodeEffect.decode(record) for record in kinds["did"]],
        node_answers={answer.key: answer for answer in answers},
        misdirected_requests=[MisdirectedRequest.decode(record) for record in kinds["elsewhere"]],
        endpoint_notices=[EndpointNotice.decode(record) for record in kinds["told"]],
        gateway_changes=_grouped(
            (GatewayChange.decode(record) for record in kinds["head"]), lambda change: change.gateway
        ),
        stalls=_grouped((Stall.decode(record) for record in kinds["stall"]), lambda stall: stall.gateway),
        map_updates=[MapUpdate.decode(record) for record in kinds["flip"]],
        leased_steps=[LeasedStep.decode(record) for record in kinds["effect"]],
        fenced_steps=[LeasedStep.decode(record) for record in kinds["fenced"]],
        lease_changes=[LeaseChange.decode(record) for record in kinds["duty"]],
        gateway_faults=[GatewayFault.decode(record) for record in kinds["fault"]],
        drain_results=[DrainResult.decode(record) for record in kinds["drained"]],
        peer_datagrams=[PeerDatagram.decode(record) for record in kinds["dgram"]],
        faulty_nodes={node for record in kinds["ill"] for node in record["nodes"]},
        max_timer_lag_s=max((0.0, *(record["s"] for record in kinds["lag"]))),
        first=ordered[0]["t"] if ordered else 0.0,
        last=ordered[-1]["t"] if ordered else 0.0,
    )


def _grouped(observations: Iterable[Observation], key_of: Callable[[Observation], Key]) -> dict[Key, list[Observation]]:
    groups: dict[Key, list[Observation]] = defaultdict(list)
    for observation in observations:
        groups[key_of(observation)].append(observation)
    return dict(groups)
