"""What all parts of one simulated day share: its settings, its clock, its network delays and its recording."""

from __future__ import annotations

from random import Random
from typing import Any

from fawnspool.days.day import Day
from fawnspool.model.engine import Engine
from fawnspool.model.params import Params

START = 1000.0  # the clock at the start: process starts of "long ago" lie well before it
BEGIN = START + 1.0  # when the first second of the day's script begins


def zone_names(day: Day) -> tuple[str, ...]:
    """Return the names of a day's zones."""
    return tuple(f"zone-{chr(97 + index)}" for index in range(day.fleet.zones))


class Simulation:
    """One run of a day.

    Parameters
    ----------
    day, seed
        Decide which requests there are and which processes are hit by faults.
    params
        Delays and costs.
    luck
        Draws anew what day and seed leave open: delays, service times, clients' pauses.
    """

    def __init__(self, day: Day, seed: int, params: Params, luck: int) -> None:
        self.day = day
        self.seed = seed
        self.params = params
        self.engine = Engine(START)
        self.rows: list[dict[str, Any]] = []
        self.errors: list[str] = []  # raised by schedulers
        self.zones = zone_names(day)
        self.object_cells: dict[tuple[str, str], int] = {}  # the catalogue: (volume, key) -> cell
        self._draw_name = f"{seed}-{luck}" if luck else f"{seed}"
        self._network_random = self.random("net")

    def random(self, purpose: str) -> Random:
        """Return a source of random draws of its own for one purpose."""
        return Random(f"{self._draw_name}-{purpose}")

    def record(self, kind: str, **fields: Any) -> None:
        """Add a row to the recording, in the form that `fawnspool.rules` reads."""
        self.rows.append({"k": kind, "t": self.engine.now, **fields})

    def network_delay(self, mean_s: float) -> float:
        """Draw the delay of one message, seconds."""
        jitter = self.params.jitter
        return mean_s + self._network_random.expovariate(1 / jitter) if jitter else mean_s

    def units_of(self, size_bytes: int) -> int:
        """Return the work units of a body."""
        units = self.day.units
        return max(1, min(units.largest, -(-size_bytes // units.bytes)))
