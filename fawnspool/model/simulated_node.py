"""A storage node's process in simulated time: up or killed, with its behaviour and its faults."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from fawnspool.days.faults import NO_FAULT_SETTINGS
from fawnspool.model.node import NodeBehaviour, NodeTraits, Work
from fawnspool.model.simulation import Simulation
from fawnspool.scheduling.interface import Phase


class SimulatedNode:
    """The node of a cell. A replaced node is another object with another number.

    Parameters
    ----------
    is_slow
        Whether its hardware takes longer for a unit of work.
    is_cold
        Whether its caches are empty at the start.
    """

    def __init__(self, simulation: Simulation, number: int, cell: int, *, is_slow: bool, is_cold: bool) -> None:
        self.simulation = simulation
        self.number = number
        self.cell = cell
        self.is_slow = is_slow
        self.life = 0
        self.up = False
        self.faults: dict[str, Any] = dict(NO_FAULT_SETTINGS)
        self.phase = Phase.READY
        self.listed_start: float | None = None  # None: before the simulation
        self.random = simulation.random(f"node-{number}")
        self.start(is_cold=is_cold)

    def start(self, *, is_cold: bool) -> None:
        """Start a new process. Faults that are set stay."""
        traits = self._traits()
        self.behaviour = NodeBehaviour(traits, self.random, self.simulation.engine.now if is_cold else -math.inf)
        self._on_work_end: dict[int, Callable[[bool], None]] = {}
        self._works = 0
        self._wake_at = math.inf
        self.served_units: dict[int, float] = {}  # by volume
        self.reported_units: dict[tuple[int, int], float] = {}  # by (gateway, volume): `served_units` as last told
        self.up = True
        self.life += 1
        self.set_faults({name: value for name, value in self.faults.items() if value != NO_FAULT_SETTINGS[name]})
        fleet = self.simulation.day.fleet
        self.simulation.record(
            "up",
            node=self.number,
            cold=is_cold,
            power=fleet.cores / max(traits.unit_time, 1e-9),
            cold_from=fleet.cold_from,
            warm_after=fleet.warm_after,
        )

    def _traits(self) -> NodeTraits:
        day, params = self.simulation.day, self.simulation.params
        fleet = day.fleet
        return NodeTraits(
            cores=fleet.cores,
            unit_time=fleet.unit_time * params.unit_scale * (params.slow_times if self.is_slow else 1),
            room=fleet.room,
            cold_from=min(1.0, fleet.cold_from * params.cold_scale),
            warm_after=fleet.warm_after,
            seek_saved=fleet.seek_saved,
            deferred=fleet.deferred,
            fall_multiple=day.nodes.cold_multiple,
            fall=day.nodes.cold_fall,
            fall_slack=float(day.units.largest),
        )

    def kill(self) -> None:
        """End the process; its work is lost without an answer."""
        self.up = False
        self._on_work_end.clear()

    def set_faults(self, faults: dict[str, Any]) -> None:
        """Set faults by the names of the node's fault controls; others stay as they are."""
        self.faults |= faults
        self.behaviour.pace.slow = self.faults["slow"]
        self.behaviour.pace.taken = self.faults["taken"]
        if faults.get("pause_ms"):
            self.simulation.engine.after(0.0, self._pause, self.life)

    def draws_fault(self, name: str) -> bool:
        """Draw whether a fault that hits a share of requests hits this one."""
        share: float = self.faults[name]
        return share > 0 and self.random.random() < share

    def _pause(self, life: int) -> None:
        length_s = self.faults["pause_ms"] / 1000 * self.simulation.params.pause_scale
        if not self.up or life != self.life or not length_s:
            return
        engine = self.simulation.engine
        self.behaviour.pause(engine.now, length_s)
        self.schedule_next_step()
        interval_s = self.faults.get("pause_every_s", 1.0) * self.random.uniform(0.7, 1.3)
        engine.after(length_s + interval_s, self._pause, life)

    def next_work_id(self) -> int:
        """Return the number of the next work of this process."""
        self._works += 1
        return self._works

    def on_work_end(self, work: int, callback: Callable[[bool], None]) -> None:
        """Call back when the work ends, with whether it was done rather than dropped."""
        self._on_work_end[work] = callback

    def cancel(self, work: int | None) -> None:
        """Drop a work whose sender has closed the connection, if the node still can."""
        if work is None or work not in self._on_work_end:
            return
        if not self.behaviour.cancel(self.simulation.engine.now, work):
            return
        self._on_work_end.pop(work, None)
        self.schedule_next_step()

    def schedule_next_step(self) -> None:
        """Wake the node when its behaviour next changes by itself."""
        engine = self.simulation.engine
        due = self.behaviour.due()
        if due < self._wake_at or self._wake_at <= engine.now:
            self._wake_at = due
            if due < math.inf:
                engine.at(due, self._step, self.life)

    def _step(self, life: int) -> None:
        if life != self.life or not self.up:
            return
        now = self.simulation.engine.now
        self._wake_at = math.inf
        for work in self.behaviour.step(now):
            self._end_work(work, done=True)
        for work in self.behaviour.expired(now):
            self._end_work(work, done=False)
        self.schedule_next_step()

    def _end_work(self, work: Work, *, done: bool) -> None:
        callback = self._on_work_end.pop(work.ident, None)
        if callback is not None:
            callback(done)

    def load(self) -> tuple[float, ...]:
        """Return the load report that goes with each answer."""
        return tuple(self.behaviour.load(name) for name in self.simulation.day.nodes.load_fields)
