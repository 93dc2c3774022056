"""What a scripted fault does and to whom: one account for the drill on sockets and for the model in simulated time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from typing import Any

from fawnspool.days.day import Day, TroubleBlock

MAX_NEIGHBOUR_LOAD = 0.95  # of a node's power
MIN_PREEMPTION_INTERVAL_S = 0.1
MIN_STALL_JITTER = 0.8
MAX_STALL_JITTER = 1.2

# A node's settings while a fault is on, by kind; the names are those of its fault controls.
NODE_FAULT_SETTINGS: dict[str, Callable[[TroubleBlock], dict[str, Any]]] = {
    "slow": lambda trouble: {"slow": max(1.0, trouble.size)},
    "neighbour": lambda trouble: {"taken": min(MAX_NEIGHBOUR_LOAD, trouble.size)},
    "pauses": lambda trouble: {"pause_ms": trouble.size, "pause_every_s": trouble.every},
    "answers_lost": lambda trouble: {"lose": trouble.size},
    "resets": lambda trouble: {"reset": trouble.size},
    "refused": lambda _trouble: {"refuse": True},
    "half_answers": lambda trouble: {"cut": trouble.size},
    "garbled": lambda trouble: {"garble": trouble.size},
    "wrong_lengths": lambda trouble: {"wrong_length": trouble.size},
    "hang_ups": lambda trouble: {"hang_up": trouble.size},
    "node_errors": lambda trouble: {"error": trouble.size},
    "wrong_bytes": lambda trouble: {"wrong_byte": trouble.size},
}
NO_FAULT_SETTINGS: dict[str, Any] = {
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


def targets(day: Day, seed: int, trouble: TroubleBlock) -> tuple[list[int], list[int]]:
    """Return the shards whose nodes a fault hits, in the order in which it takes them, and the gateways it hits."""
    random = Random(f"{seed}-{trouble.name}")
    shards = random.sample(range(day.day.nodes), max(1, round(trouble.part * day.day.nodes)))
    gateways = random.sample(range(day.day.heads), max(1, round(trouble.part * day.day.heads)))
    return shards, gateways


def stall_times(day: Day, seed: int, trouble: TroubleBlock, gateway: int) -> Iterator[float]:
    """Yield when the stalls of a `head_stall` begin at a gateway, in seconds from the fault's begin."""
    random = Random(f"{seed}-{trouble.name}-{gateway}")
    time = random.random() * trouble.every
    while time < trouble.length:
        yield time
        time += trouble.size + trouble.every * random.uniform(MIN_STALL_JITTER, MAX_STALL_JITTER)


def preemption_waves(trouble: TroubleBlock, shards: list[int]) -> list[list[int]]:
    """Return the shards of a `preempt`, wave by wave."""
    intervals = int(trouble.length / max(trouble.every, MIN_PREEMPTION_INTERVAL_S))
    count = min(len(shards), max(1, intervals))
    return [shards[first::count] for first in range(count)]


def restart_batches(day: Day, trouble: TroubleBlock) -> list[list[int]]:
    """Return the gateways of a `head_roll`, batch by batch: every gateway once."""
    gateways = list(range(day.day.heads))
    size = max(1, round(trouble.part * len(gateways)))
    return [gateways[first : first + size] for first in range(0, len(gateways), size)]
