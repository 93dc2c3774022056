"""Do two versions of the module do the same where heads may not speak to each other?

git worktree add OLD REV && python -m benchmarks.same_actions OLD
"""

from __future__ import annotations

import sys
from dataclasses import replace
from typing import Any

from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.model import versions
from fawnspool.model.world import World
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler

DAYS = ("plan-burst", "crash", "slow", "resets", "preempt", "head-kill", "hot-volumes", "bad-day")


def told(kind: type[Any], day: Day, seed: int) -> list[tuple[float, int, str]]:
    """All that the module was told, and what it asked for, in simulated time."""
    rows: list[tuple[float, int, str]] = []

    class Noted(kind):  # type: ignore[misc,valid-type]
        def __init__(self, settings: interface.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            self.number = settings.gateway_id

        def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
            out: list[interface.Action] = super().handle(now, event)
            rows.append((now, self.number, repr(out)))
            return out

    World(day, seed, Noted).run()
    return rows


def main() -> None:
    old, _ = versions.load(sys.argv[1])
    events, differ = 0, []
    for name in DAYS:
        day = load(f"days/{name}.hcl", Day, check_day)
        day = replace(day, day=replace(day.day, peers=False))
        for seed in (1, 2):
            a, b = told(old, day, seed), told(Scheduler, day, seed)
            events += len(a)
            differ += [f"{name}, seed {seed}"] if a != b else []
    print(f"{len(DAYS)} days, seeds 1 and 2, no peers: {events} events; different: {', '.join(differ) or 'none'}")


if __name__ == "__main__":
    main()
