"""A plain head: sends everything at once, tries nothing again, turns nothing away. For comparison only."""

from __future__ import annotations

from random import Random

from fawnspool import interface as i


class PassThrough:
    """The same calls as the decision module; the actions of a head without decisions."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s, self.random = settings, Random(seed)
        self.nodes: dict[int, i.ListEntry] = {}
        self.cells: dict[int, int] = {}
        self.open: dict[int, i.Request] = {}
        self.acts: list[i.Action] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.acts = []
        match event:
            case i.NodeList():
                self._list(event)
            case i.Request():
                cell = event.cell if event.cell >= 0 else self.random.choice(sorted(self.cells) or [-1])
                if cell in self.cells:
                    self.open[event.id] = event
                    self.acts.append(i.Send(event.id, self.cells[cell], event.patience))
                else:
                    self.acts.append(i.Refuse(event.id))
            case i.Outcome():
                if self.open.pop(event.id, None) is not None and not event.final:
                    never = event.result in (i.Result.FULL, i.Result.UNREACHED, i.Result.MOOT)
                    self.acts.append(i.Refuse(event.id) if never else i.Fail(event.id))
            case i.ClientGone():
                self.open.pop(event.id, None)
            case i.Timer():
                self.acts.append(i.Watch(True) if self.s.must_ask else i.FetchList())
            case _:
                pass
        return self.acts

    def _list(self, event: i.NodeList) -> None:
        if event.kind is i.ListKind.FAILED:
            self.acts.append(i.SetTimer(1.0, 0))
            return
        known = self.nodes if event.kind is i.ListKind.CHANGES else {}
        known.update((e.node, e) for e in event.entries)
        self.nodes = {n: e for n, e in known.items() if e.phase is i.Phase.READY}
        self.cells = {e.cell: e.node for e in self.nodes.values()}
        if event.kind is i.ListKind.SAVED:
            self.acts.append(i.Watch(True) if self.s.must_ask else i.FetchList())
