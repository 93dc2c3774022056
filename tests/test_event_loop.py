"""The event loop's turns: events that cost much, or come again and again, leave others their turn."""

from __future__ import annotations

import time
from itertools import pairwise

import gevent

from fawnspool.gateway.event_loop import EventLoop
from fawnspool.gateway.observability import Observability
from fawnspool.scheduling import interface
from fawnspool.telemetry import logs
from fawnspool.telemetry.counters import GatewayCounters

EVENT_S = 0.003


class SlowModule:
    """A decision module that takes `EVENT_S` for an event."""

    def __init__(self) -> None:
        self.handled: list[interface.Event] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        time.sleep(EVENT_S)  # blocks the process, as a decision does
        self.handled.append(event)
        return []


def start_loop() -> tuple[EventLoop, SlowModule]:
    module = SlowModule()
    loop = EventLoop(module, {}, lambda event: None, Observability(GatewayCounters(), logs.get()))
    loop.start()
    return loop, module


def test_events_that_take_long_leave_other_greenlets_their_turn() -> None:
    """Guards against a list service whose changes, each costly, keep clients from their answers."""
    loop, module = start_loop()
    handled_by_turn = [0]
    for number in range(100):
        loop.post(interface.Timer(number))
    while len(module.handled) < 100:
        gevent.sleep(0)
        handled_by_turn.append(len(module.handled))
    assert max(after - before for before, after in pairwise(handled_by_turn)) <= 2
    assert module.handled == [interface.Timer(number) for number in range(100)]
    loop.stop()
