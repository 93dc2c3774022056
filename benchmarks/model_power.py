"""Can comparisons be trusted? `python -m benchmarks.model_power [--workers N] [--day DAY] [--length S]`. Simulated.

Ten comparisons of this program's module with one that is worse by a known amount, and twenty of the module with itself
(other random numbers in the heads, so that the two arms differ by luck alone). What the worse one really costs is
measured first, by runs that no comparison uses.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import numpy as np

from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.model.compare import MAIN, Arm, compare, runner
from fawnspool.model.params import Params

ROOT = Path(__file__).parent.parent
PART = 0.061  # of extents that the worse version turns away, at every try


def worse(folder: Path, part: float) -> str:
    """A copy of the module that turns a part of all extents away."""
    text = (ROOT / "fawnspool/scheduling/scheduler.py").read_text()
    at = text.index("    def handle(self, now: float, event: Event) -> list[Action]:\n")
    end = text.index("\n", at) + 1
    text = (
        text[:end]
        + (
            f"        if isinstance(event, Request) and event.extent % 10_000 < {part * 10_000:.0f}:\n"
            "            return [RejectRequest(event.id, 0.1)]\n"
        )
        + text[end:]
    )
    (folder / "scheduler.py").write_text(text)
    return str(folder / "scheduler.py")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--workers", type=int, default=1)
    parser.add_argument("--day", default="slow")
    parser.add_argument("--length", type=float, default=6.0)
    parser.add_argument("--runs", type=int, default=20)
    asked = parser.parse_args()
    day = load(ROOT / f"days/{asked.day}.hcl", Day, check_day)
    day = replace(day, day=replace(day.day, length=asked.length))
    run = runner(asked.workers)
    began = time.perf_counter()
    with tempfile.TemporaryDirectory() as folder:
        a, b = Arm("today's"), Arm("worse", worse(Path(folder), PART))
        jobs = [(day, arm, seed, Params(), None) for seed in range(5001, 5041) for arm in (a, b)]
        came = list(run(jobs))
        cost = np.array([x.figures[MAIN] - y.figures[MAIN] for x, y in zip(came[::2], came[1::2], strict=True)])
        print(
            f"the worse version costs {cost.mean():.4f} (standard error {cost.std(ddof=1) / len(cost) ** 0.5:.4f}, "
            f"one pair varies by {cost.std(ddof=1):.4f})",
            flush=True,
        )
        print("\n| arms | comparisons | told apart | runs a comparison, in the mean |\n| --- | --- | --- | --- |")
        equal = Arm("itself", seed_shift=1)
        for name, other, number in (("worse by that", b, 10), ("equal, other random numbers", equal, 20)):
            told, used = 0, []
            for k in range(number):
                c = compare(asked.day, day, a, other, asked.runs, run, first_seed=1 + 100 * k)
                told += MAIN in c.told
                used.append(c.runs)
            print(f"| {name} | {number} | {told} | {np.mean(used):.1f} |", flush=True)
    print(f"\n{time.perf_counter() - began:.0f} s, {asked.workers} processes")


if __name__ == "__main__":
    main()
