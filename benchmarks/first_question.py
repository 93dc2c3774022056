"""What do a plan's weight and the bound's ceiling change? `python -m benchmarks.first_question`. Simulated.

Three kinds of day, fleets of 3, 30 and 190 heads with nodes and load to match; each setting against today's.
"""

from __future__ import annotations

import argparse
import time
from dataclasses import replace
from pathlib import Path

from benchmarks.model_speed import FULL, at
from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day, TroubleBlock
from fawnspool.model.compare import MAIN, Arm, compare, runner

ROOT = Path(__file__).parent.parent
DAYS = {
    "surge": TroubleBlock("surge", "burst", 2.0, 5.0, size=2.2),
    "crash": TroubleBlock("crash", "crash", 2.0, part=0.25, down=3.0),
    "slow": TroubleBlock("slow", "slow", 2.0, 5.0, part=0.25, size=4.0),
}
WEIGHTS = [
    Arm("basic weight 2 (was 1)", changes=("plan.basic.weight=2",)),
    Arm("basic weight 0.5", changes=("plan.basic.weight=0.5",)),
]
# Up to six heads share MAX_REQUESTS_AT_NODE; more have 2 INITIAL_LIMIT_REQUESTS each, which is then the ceiling.
FEW = [
    Arm("ceiling 6 over all heads (was 12)", constants=(("MAX_REQUESTS_AT_NODE", 6.0),)),
    Arm("ceiling 24 over all heads", constants=(("MAX_REQUESTS_AT_NODE", 24.0),)),
]
MANY = [
    Arm("ceiling 2 a head (was 4)", constants=(("INITIAL_LIMIT_REQUESTS", 1.0),)),
    Arm("ceiling 8 a head", constants=(("INITIAL_LIMIT_REQUESTS", 4.0),)),
]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--workers", type=int, default=1)
    parser.add_argument("--runs", type=int, default=6)
    parser.add_argument("--length", type=float, default=9.0)
    asked = parser.parse_args()
    full = load(FULL, Day, check_day)
    run, began = runner(asked.workers), time.perf_counter()
    print("| heads | nodes | day | change | worth today | difference | 95% | runs | told | other figures told |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for heads, nodes, rate in ((3, 10, 133.0), (30, 20, 266.0), (190, 45, 600.0)):
        for name, trouble in DAYS.items():
            day = at(full, heads, nodes, rate)
            day = replace(day, day=replace(day.day, length=asked.length), trouble=(trouble,))
            for arm in WEIGHTS + (FEW if heads <= 6 else MANY):
                c = compare(name, day, Arm("today"), arm, asked.runs, run)
                v = c.intervals[MAIN]
                others = ", ".join(f"{f} {c.intervals[f].mean:+.3f}" for f in sorted(c.told - {MAIN}))
                today = sum(r.figures[MAIN] for r in c.a) / c.runs
                print(
                    f"| {heads} | {nodes} | {name} | {arm.name} | {today:.3f} | {v.mean:+.4f} | {v.low:+.4f} to "
                    f"{v.high:+.4f} | {c.runs} | {'yes' if MAIN in c.told else ''} | {others} |",
                    flush=True,
                )
                for text in c.broken[:3]:
                    print(f"BROKEN {text}", flush=True)
    print(f"\n{time.perf_counter() - began:.0f} s, {asked.workers} processes")


if __name__ == "__main__":
    main()
