"""A plain head: sends everything at once, tries nothing again, turns nothing away. For comparison only."""

from __future__ import annotations

from random import Random

from fawnspool.scheduling import interface


class PassThrough:
    """The same calls as the decision module; the actions of a head without decisions."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.s, self.random = settings, Random(seed)
        self.nodes: dict[int, interface.Endpoint] = {}
        self.cells: dict[int, int] = {}
        self.open: dict[int, interface.Request] = {}
        self.actions: list[interface.Action] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        self.actions = []
        match event:
            case interface.EndpointUpdate():
                self._list(event)
            case interface.Request():
                cell = event.shard if event.shard >= 0 else self.random.choice(sorted(self.cells) or [-1])
                if cell in self.cells:
                    self.open[event.id] = event
                    self.actions.append(interface.Send(event.id, self.cells[cell], event.timeout_s))
                else:
                    self.actions.append(interface.RejectRequest(event.id))
            case interface.Outcome():
                if self.open.pop(event.id, None) is not None and not event.final:
                    never = event.result in (
                        interface.Result.OVERLOADED,
                        interface.Result.CONNECT_FAILED,
                        interface.Result.NOT_SENT,
                    )
                    self.actions.append(interface.RejectRequest(event.id) if never else interface.FailRequest(event.id))
            case interface.ClientDisconnected():
                self.open.pop(event.id, None)
            case interface.Timer():
                self.actions.append(interface.SetWatch(True) if self.s.polls_endpoints else interface.FetchEndpoints())
            case _:
                pass
        return self.actions

    def _list(self, event: interface.EndpointUpdate) -> None:
        if event.kind is interface.UpdateKind.POLL_FAILED:
            self.actions.append(interface.SetTimer(1.0, 0))
            return
        known = self.nodes if event.kind is interface.UpdateKind.DELTA else {}
        known.update((e.node, e) for e in event.entries)
        self.nodes = {n: e for n, e in known.items() if e.phase is interface.Phase.READY}
        self.cells = {e.shard: e.node for e in self.nodes.values()}
        if event.kind is interface.UpdateKind.CACHED:
            self.actions.append(interface.SetWatch(True) if self.s.polls_endpoints else interface.FetchEndpoints())
