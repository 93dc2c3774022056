"""Hosts many instances of the decision module on one wire; each knows only its own events."""

from __future__ import annotations

from typing import BinaryIO

from fawnspool.adapter import wire
from fawnspool.adapter.settings import SettingsError, read_settings
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler


class Host:
    """The instances of this process, by number."""

    def __init__(self) -> None:
        self.heads: dict[int, Scheduler] = {}

    def batch(
        self, now: float, events: list[tuple[int, wire.WireEvent]]
    ) -> list[tuple[int, interface.Action | wire.Crash]]:
        """All actions of one batch, an instance's in the order of its events."""
        out: list[tuple[int, interface.Action | wire.Crash]] = []
        for who, event in events:
            try:
                out.extend((who, action) for action in self._one(now, who, event))
            except SettingsError as bad:
                out.append((who, wire.Crash(str(bad))))
            except Exception as bad:  # the bench is told of any error in the decisions
                out.append((who, wire.Crash(f"{type(bad).__name__}: {bad}")))
        return out

    def _one(self, now: float, who: int, event: wire.WireEvent) -> list[interface.Action]:
        if isinstance(event, wire.Start):
            self.heads[who] = Scheduler(read_settings(event.conf), event.seed)
            return []
        if isinstance(event, wire.Stop):
            self.heads.pop(who, None)
            return []
        head = self.heads.get(who)
        return [] if head is None else head.handle(now, event)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer each batch until the input ends."""
    host = Host()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(wire.encode(host.batch(*batch)))
        sink.flush()
