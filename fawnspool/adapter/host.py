"""Hosts many schedulers on one wire; each receives only its own events."""

from __future__ import annotations

from typing import BinaryIO

from fawnspool.adapter import wire
from fawnspool.adapter.settings import SettingsError, read_settings
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler


class Host:
    """The schedulers of this process, by instance number."""

    def __init__(self) -> None:
        self.schedulers: dict[int, Scheduler] = {}

    def batch(self, now: float, events: list[tuple[int, wire.WireEvent]]) -> list[tuple[int, wire.WireAction]]:
        """Return the actions of one batch, in the order of the events that caused them.

        An instance with invalid settings, or whose scheduler raises, answers with a Crash.
        """
        replies: list[tuple[int, wire.WireAction]] = []
        for instance, event in events:
            try:
                replies.extend((instance, action) for action in self._handle(now, instance, event))
            except SettingsError as error:
                replies.append((instance, wire.Crash(str(error))))
            except Exception as error:  # every error of a scheduler is reported to the simulator
                replies.append((instance, wire.Crash(f"{type(error).__name__}: {error}")))
        return replies

    def _handle(self, now: float, instance: int, event: wire.WireEvent) -> list[interface.Action]:
        if isinstance(event, wire.Start):
            self.schedulers[instance] = Scheduler(read_settings(event.conf), event.seed)
            return []
        if isinstance(event, wire.Stop):
            self.schedulers.pop(instance, None)
            return []
        scheduler = self.schedulers.get(instance)
        return [] if scheduler is None else scheduler.handle(now, event)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises
    ------
    WireError
        A frame is malformed.
    """
    host = Host()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(wire.encode(host.batch(*batch)))
        sink.flush()
