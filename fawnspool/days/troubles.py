"""What a trouble does and to whom: one account for the drill on sockets and for the model in simulated time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from fawnspool.days.day import Day, TroubleBlock

# A node's settings while a trouble is on, by the names of its fault controls.
NODE_SETTINGS: dict[str, Callable[[TroubleBlock], dict[str, Any]]] = {
    "slow": lambda x: {"slow": max(1.0, x.size)},
    "neighbour": lambda x: {"taken": min(0.95, x.size)},
    "pauses": lambda x: {"pause_ms": x.size, "pause_every_s": x.every},
    "answers_lost": lambda x: {"lose": x.size},
    "resets": lambda x: {"reset": x.size},
    "refused": lambda x: {"refuse": True},
    "half_answers": lambda x: {"cut": x.size},
    "garbled": lambda x: {"garble": x.size},
    "wrong_lengths": lambda x: {"wrong_length": x.size},
    "hang_ups": lambda x: {"hang_up": x.size},
    "node_errors": lambda x: {"error": x.size},
    "wrong_bytes": lambda x: {"wrong_byte": x.size},
}
CALM: dict[str, Any] = {
    "slow": 1.0,
    "taken": 0.0,
    "pause_ms": 0.0,
    "lose": 0.0,
    "reset": 0.0,
    "refuse": False,
    "cut": 0.0,
    "garble": 0.0,
    "wrong_length": 0.0,
    "hang_up": 0.0,
    "error": 0.0,
    "wrong_byte": 0.0,
}


def targets(day: Day, seed: int, x: TroubleBlock) -> tuple[list[int], list[int]]:
    """Cells whose nodes a trouble hits, in the order in which it takes them, and heads."""
    random = Random(f"{seed}-{x.name}")
    cells = random.sample(range(day.day.nodes), max(1, round(x.part * day.day.nodes)))
    return cells, random.sample(range(day.day.heads), max(1, round(x.part * day.day.heads)))


def stall_times(day: Day, seed: int, x: TroubleBlock, head: int) -> Iterator[float]:
    """When a `head_stall` begins at this head, seconds from the trouble's begin."""
    random = Random(f"{seed}-{x.name}-{head}")
    at = random.random() * x.every
    while at < x.length:
        yield at
        at += x.size + x.every * random.uniform(0.8, 1.2)


def waves(x: TroubleBlock, cells: list[int]) -> list[list[int]]:
    """The cells of a `preempt`, wave by wave."""
    count = min(len(cells), max(1, int(x.length / max(x.every, 0.1))))
    return [cells[k::count] for k in range(count)]


def batches(day: Day, x: TroubleBlock) -> list[list[int]]:
    """The heads of a `head_roll`, batch by batch: every head once."""
    every = list(range(day.day.heads))
    size = max(1, round(x.part * len(every)))
    return [every[k : k + size] for k in range(0, len(every), size)]
