"""How fast the model plays: `python -m benchmarks.model_speed [--profile]`. Simulated; one core.

A fleet of 190 heads and 45 nodes at 600 requests a second, whole and at parts of its size.
"""

from __future__ import annotations

import argparse
import cProfile
import pstats
import time
from dataclasses import replace
from pathlib import Path

from fawnspool.config.schema import load
from fawnspool.days.day import Day, check
from fawnspool.days.terms import rule_terms
from fawnspool.days.worth import count
from fawnspool.model.world import World
from fawnspool.rules.history import read_history
from fawnspool.rules.judge import judge_run
from fawnspool.scheduling.scheduler import Scheduler

FULL = Path(__file__).parent / "days/fleet-190.hcl"


def at(day: Day, heads: int, nodes: int, rate: float) -> Day:
    """The day at another size; volumes and plans' figures go with the nodes."""
    part = nodes / day.day.nodes
    through = min(heads, day.volumes[0].heads)
    return replace(
        day,
        day=replace(day.day, heads=heads, nodes=nodes),
        load=replace(day.load, rate=rate),
        volumes=tuple(replace(v, count=max(1, round(v.count * part)), heads=through) for v in day.volumes),
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--profile", action="store_true")
    asked = parser.parse_args()
    full = load(FULL, Day, check)
    print("| heads | nodes | requests/s | took s | simulated s a second | us a module event | rules | worth |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for heads, nodes, rate in ((3, 10, 133.0), (30, 10, 133.0), (30, 45, 600.0), (190, 45, 300.0), (190, 45, 600.0)):
        day = at(full, heads, nodes, rate)
        world = World(day, 1, Scheduler)
        began = time.perf_counter()
        if asked.profile and (heads, rate) == (190, 600.0):
            profile = cProfile.Profile()
            profile.runcall(world.run)
            pstats.Stats(profile).sort_stats("tottime").print_stats(25)
        else:
            world.run()
        took = time.perf_counter() - began
        verdict = judge_run(read_history(world.rows), rule_terms(day))
        print(
            f"| {heads} | {nodes} | {rate:.0f} | {took:.1f} | {day.day.length / took:.2f} | "
            f"{took / world.events * 1e6:.0f} | {'kept' if verdict.kept else 'BROKEN'} | "
            f"{count(day, world.ended).whole.share:.3f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
