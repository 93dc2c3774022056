"""A process with one core in simulated time: lives, turns on the core, and stalls."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from fawnspool.model.simulation import Simulation


class SimulatedProcess:
    """One core's process. `life` counts its starts; calls for an earlier life are dropped."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self._simulation = simulation
        self.number = number
        self.up = False
        self.life = 0
        self._stalled_until = 0.0
        self._busy_until = 0.0
        self._deferred: list[tuple[Callable[..., None], tuple[Any, ...]]] = []

    def is_running(self, life: int) -> bool:
        """Whether the process of this life still runs."""
        return self.up and self.life == life

    def begin_life(self) -> None:
        """Start the process anew."""
        self.life += 1
        self.up = True

    def end_life(self) -> None:
        """Kill the process: a stall ends with it, and what waited for that is gone."""
        self.up = False
        self._stalled_until = 0.0
        self._deferred = []

    def stall(self, until: float) -> None:
        """Stand still until the given time; calls wait."""
        self._simulation.record("stall", head=self.number, until=until)
        self._stalled_until = until
        self._simulation.engine.at(until, self._resume, self.life)

    def run(self, cost_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Run `call` on the core for `cost_s` seconds, in its turn, and after a stall."""
        engine = self._simulation.engine
        if self._stalled_until > engine.now:
            self._deferred.append((self.run, (cost_s, call, *arguments)))
            return
        if not cost_s and self._busy_until <= engine.now:
            if self.up:
                call(*arguments)
            return
        self._busy_until = max(self._busy_until, engine.now) + cost_s
        engine.at(self._busy_until, self.run_if_alive, self.life, call, arguments)

    def run_if_alive(self, life: int, call: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        """Run `call` now, without a turn on the core, if the process of this life still runs."""
        if self._stalled_until > self._simulation.engine.now:
            self._deferred.append((self.run_if_alive, (life, call, arguments)))
        elif self.is_running(life):
            call(*arguments)

    def _resume(self, life: int) -> None:
        if not self.is_running(life):
            return
        calls = self._deferred
        self._deferred = []
        for call, arguments in calls:
            call(*arguments)
