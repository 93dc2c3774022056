"""The command line of a day's stand-in nodes."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from fawnspool.days.day import Day

METER_READS_PER_PERIOD = 4


@dataclass(frozen=True)
class NodeStart:
    """What one start of a node has of its own.

    Attributes
    ----------
    cell, number
        The shard that it holds, and its own number.
    slowdown
        Its work takes so many times as long as the day says.
    cold
        It starts cold.
    meter_port
        Of the meter; None: there is none.
    """

    cell: int
    number: int
    port: int
    zone: str
    slowdown: float
    cold: bool
    meter_port: int | None = None


def node_arguments(day: Day, folder: Path, seed: int, start: NodeStart) -> list[str]:
    """Return the arguments of `fawnspool` that start a node."""
    fleet, nodes = day.fleet, day.nodes
    options = {
        "--ident": start.number,
        "--listen": f"127.0.0.1:{start.port}",
        "--data": folder / f"cell-{start.cell}",
        "--cores": fleet.cores,
        "--unit-time": fleet.unit_time * start.slowdown,
        "--room": fleet.room,
        "--cold-from": fleet.cold_from,
        "--warm-after": fleet.warm_after,
        "--fall": nodes.cold_fall,
        "--fall-multiple": nodes.cold_multiple,
        "--seek-saved": fleet.seek_saved,
        "--deferred": fleet.deferred,
        "--zone": start.zone,
        "--load": ",".join(nodes.load_fields),
        "--record": folder / f"node-{start.number}.rec",
        "--groups": folder / "repeats",
        "--seed": seed,
    }
    if start.meter_port is not None:
        options["--meter"] = f"127.0.0.1:{start.meter_port}"
        options["--meter-every"] = day.service.meter / METER_READS_PER_PERIOD
    flag = "--cold" if start.cold else "--warm"
    return ["standin", "node", flag, *(text for option in options.items() for text in map(str, option))]
