"""Do two versions of the module do the same where heads may not speak to each other?

git show REV:fawnspool/control.py > old.py && python -m benchmarks.same_actions old.py
"""

from __future__ import annotations

import sys
import types
from dataclasses import replace
from pathlib import Path
from typing import Any

from fawnspool import interface as i
from fawnspool.config.schema import load
from fawnspool.control import Controller
from fawnspool.days.day import Day, check
from fawnspool.model.world import World

DAYS = ("plan-burst", "crash", "slow", "resets", "preempt", "head-kill", "hot-volumes", "bad-day")


def told(kind: type[Any], day: Day, seed: int) -> list[tuple[float, int, str]]:
    """All that the module was told, and what it asked for, in simulated time."""
    rows: list[tuple[float, int, str]] = []

    class Noted(kind):  # type: ignore[misc,valid-type]
        def handle(self, now: float, event: i.Event) -> list[i.Action]:
            out: list[i.Action] = super().handle(now, event)
            rows.append((now, self.s.me, repr(out)))
            return out

    World(day, seed, Noted).run()
    return rows


def main() -> None:
    old = types.ModuleType("old_control")
    sys.modules[old.__name__] = old
    exec(compile(Path(sys.argv[1]).read_text(), sys.argv[1], "exec"), old.__dict__)
    events, differ = 0, []
    for name in DAYS:
        day = load(f"days/{name}.hcl", Day, check)
        day = replace(day, day=replace(day.day, peers=False))
        for seed in (1, 2):
            a, b = told(old.__dict__["Controller"], day, seed), told(Controller, day, seed)
            events += len(a)
            differ += [f"{name}, seed {seed}"] if a != b else []
    print(f"{len(DAYS)} days, seeds 1 and 2, no peers: {events} events; different: {', '.join(differ) or 'none'}")


if __name__ == "__main__":
    main()
