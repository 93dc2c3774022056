"""The meter of volumes in simulated time: what all nodes together served to each volume."""

from __future__ import annotations

from fawnspool.model.simulation import Simulation


class VolumeMeter:
    """Sums units by volume and publishes them as a rate once a period, where the day has a meter."""

    def __init__(self, simulation: Simulation) -> None:
        self._engine = simulation.engine
        self._period_s = simulation.day.service.meter
        self._served_units: dict[int, float] = {}
        self._units_per_s: dict[int, float] = {}
        self._end = 0.0

    def start(self, end: float) -> None:
        """Publish from now on until the given time."""
        self._end = end
        if self._period_s:
            self._engine.after(self._period_s, self._publish)

    def add(self, volume: int, units: float) -> None:
        """Count units served to a volume."""
        self._served_units[volume] = self._served_units.get(volume, 0.0) + units

    def use_of(self, volume: int) -> float | None:
        """Return the volume's last published use in units a second; None: there is none."""
        return self._units_per_s.get(volume) if self._period_s else None

    def _publish(self) -> None:
        self._units_per_s = {volume: units / self._period_s for volume, units in self._served_units.items()}
        self._served_units = {}
        if self._engine.now < self._end:
            self._engine.after(self._period_s, self._publish)
