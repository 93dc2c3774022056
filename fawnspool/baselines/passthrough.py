"""A gateway without decisions: sends everything at once, retries nothing, sheds nothing. For comparison only."""

from __future__ import annotations

from random import Random

from fawnspool.scheduling.interface import (
    Action,
    ClientDisconnected,
    Endpoint,
    EndpointUpdate,
    Event,
    FailRequest,
    FetchEndpoints,
    Outcome,
    Phase,
    RejectRequest,
    Request,
    Result,
    Send,
    SetTimer,
    Settings,
    SetWatch,
    Timer,
    UpdateKind,
)

POLL_RETRY_DELAY_S = 1.0
NEVER_RAN = (Result.OVERLOADED, Result.CONNECT_FAILED, Result.NOT_SENT)


class PassThrough:
    """The same calls as `Scheduler`.

    Parameters
    ----------
    settings : Settings
        What the platform and its nodes are like.
    seed : int
        Of the random draws of nodes for new objects.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._ready: dict[int, Endpoint] = {}  # by node
        self._node_of_shard: dict[int, int] = {}
        self._in_flight: set[int] = set()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in an event, and return what is to be done."""
        match event:
            case EndpointUpdate():
                return self._update_endpoints(event)
            case Request():
                return [self._send_or_reject(event)]
            case Outcome():
                return self._end(event)
            case ClientDisconnected():
                self._in_flight.discard(event.id)
                return []
            case Timer():
                return [self._poll()]
            case _:
                return []

    def _send_or_reject(self, request: Request) -> Action:
        shard = request.shard
        if request.is_new_object and self._node_of_shard:
            shard = self._random.choice(sorted(self._node_of_shard))
        node = self._node_of_shard.get(shard)
        if node is None:
            return RejectRequest(request.id)
        self._in_flight.add(request.id)
        return Send(request.id, node, request.timeout_s)

    def _end(self, outcome: Outcome) -> list[Action]:
        if outcome.id not in self._in_flight:
            return []
        self._in_flight.remove(outcome.id)
        if outcome.final:
            return []
        return [RejectRequest(outcome.id) if outcome.result in NEVER_RAN else FailRequest(outcome.id)]

    def _update_endpoints(self, event: EndpointUpdate) -> list[Action]:
        if event.kind is UpdateKind.POLL_FAILED:
            return [SetTimer(POLL_RETRY_DELAY_S, 0)]
        known = self._ready if event.kind is UpdateKind.DELTA else {}
        known.update((endpoint.node, endpoint) for endpoint in event.entries)
        self._ready = {node: endpoint for node, endpoint in known.items() if endpoint.phase is Phase.READY}
        self._node_of_shard = {endpoint.shard: endpoint.node for endpoint in self._ready.values()}
        return [self._poll()] if event.kind is UpdateKind.CACHED else []

    def _poll(self) -> Action:
        return SetWatch(True) if self._settings.polls_endpoints else FetchEndpoints()
