"""Duties on real processes: the days under faults over seeds, what they cost, and what lease or fence alone would give.

python -m benchmarks.duties_days faults [SEEDS] [AT ONCE] [HEADS]     all duty days: breaches, hand-overs by cause
python -m benchmarks.duties_days worth [SEEDS]                the same day with duties off, idle, draining
python -m benchmarks.duties_days idle [SECONDS]               no fault, all cores busy: hand-overs without a cause
python -m benchmarks.duties_days baselines                    a lease without a fence, a fence without a lease
"""

from __future__ import annotations

import json
import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from fawnspool.config.render import render
from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day

DAYS = ("duty-kill", "duty-term", "duty-stall", "duty-cut", "duty-one-way", "duty-voters", "duty-overlap")


def played(day: str, seed: int) -> dict[str, Any]:
    command = [sys.executable, "-m", "fawnspool.cli", "drill", "run", day, "--seed", str(seed)]
    done = subprocess.run([*command, "--no-plain", "--json", "--quiet"], capture_output=True, text=True, check=False)
    if not done.stdout:
        raise SystemExit(f"{day}, seed {seed}: {done.stderr[-500:]}")
    said: dict[str, Any] = json.loads(done.stdout)
    return said


def faults(seeds: int, at_once: int, heads: int) -> None:
    runs = [(day, seed) for day in DAYS for seed in range(1, seeds + 1)]
    with tempfile.TemporaryDirectory() as folder:
        for name in DAYS:
            day = load(f"days/{name}.hcl", Day, check_day)
            assert day.duties is not None
            if heads != day.day.heads:  # from 12 heads on five of them vote
                voters = tuple(range(5 if heads >= 12 else 3))
                day = replace(day, day=replace(day.day, heads=heads), duties=replace(day.duties, voters=voters))
            (Path(folder) / f"{name}.hcl").write_text(render(day))
        with ThreadPoolExecutor(at_once) as pool:
            rows = list(pool.map(lambda run: played(str(Path(folder) / f"{run[0]}.hcl"), run[1]), runs))
    print(f"{heads} heads")
    print("day: runs, kept, moved, left, fenced, hand-overs, without cause, worth; by cause: count, p50, p99, worst s")
    for day in DAYS:
        mine = [row for (name, _), row in zip(runs, rows, strict=True) if name == day]
        gaps: dict[str, list[float]] = defaultdict(list)
        for row in mine:
            for why, found in row["duties"]["all_gaps"].items():
                gaps[why] += found
            for rule in row["rules"]:
                for text in rule["first"]:
                    print(f"  {day}, seed {row['seed']}: BROKEN {rule['rule']}: {text}")
        total = {
            k: sum(row["duties"][k] for row in mine)
            for k in ("moved", "left", "fenced", "handed_over", "without_cause")
        }
        worth = [row["whole"]["share"] for row in mine]
        print(
            f"{day}: {len(mine)}, {sum(row['kept'] for row in mine)}, {', '.join(map(str, total.values()))}, "
            f"{min(worth):.3f} to {max(worth):.3f}",
            flush=True,
        )
        for why, found in sorted(gaps.items()):
            found.sort()
            print(
                f"    {why}: {len(found)}, {found[len(found) // 2]:.3f}, {found[int(len(found) * 0.99)]:.3f}, "
                f"{found[-1]:.3f}"
            )


def worth(seeds: int) -> None:
    """The same day and seeds; the trouble `drain` is taken out, then the duties."""
    day = load("days/duty-kill.hcl", Day, check_day)
    day = replace(day, trouble=tuple(x for x in day.trouble if x.kind == "drain"))
    arms = {"off": replace(day, duties=None, trouble=()), "idle": replace(day, trouble=()), "draining": day}
    with tempfile.TemporaryDirectory() as folder:
        for name, arm in arms.items():
            (Path(folder) / f"{name}.hcl").write_text(render(arm))
        with ThreadPoolExecutor(len(arms)) as pool:  # the arms side by side: the machine's noise is the same for all
            rows = dict(
                zip(
                    arms,
                    pool.map(
                        lambda name: [played(str(Path(folder) / f"{name}.hcl"), s) for s in range(1, seeds + 1)], arms
                    ),
                    strict=True,
                )
            )
    print("arm: worth by seed, mean")
    for name, found in rows.items():
        shares = [row["whole"]["share"] for row in found]
        print(f"{name}: {', '.join(f'{x:.4f}' for x in shares)}; {sum(shares) / len(shares):.4f}")


def _spin(seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        sum(range(1000))


def idle(seconds: int) -> None:
    """No trouble for so long, while as many processes as there are cores do nothing but count."""
    day = load("days/duty-kill.hcl", Day, check_day)
    day = replace(day, trouble=(), day=replace(day.day, length=float(seconds)), load=replace(day.load, rate=10.0))
    busy = [multiprocessing.Process(target=_spin, args=(seconds + 10,)) for _ in range(os.cpu_count() or 1)]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "idle.hcl"
        path.write_text(render(day))
        for process in busy:
            process.start()
        said = played(str(path), 1)
        for process in busy:
            process.kill()
    d = said["duties"]
    print(
        f"{seconds} s, {os.cpu_count()} cores busy: {d['handed_over']} hand-overs, "
        f"{d['without_cause']} without a cause, "
        f"{d['relieved']} passed on; rules {'kept' if said['kept'] else 'BROKEN'}; noise {said['allowance_ms']} ms, "
        f"worth {said['whole']['share']:.3f}"
    )


def baselines() -> None:
    from fawnspool.drill.play import Play

    arms = (
        ("lease and fence", "", ""),
        ("a lease without a fence", "", "forgets_fence"),
        ("a fence without a lease", "ignores_end", ""),
        ("neither", "ignores_end", "forgets_fence"),
    )
    for name, head, node in arms:
        for day_name in ("duty-stall", "duty-cut"):
            path = Path(f"days/{day_name}.hcl").resolve()
            with tempfile.TemporaryDirectory(dir="/dev/shm") as folder:
                out = Play(
                    load(path, Day, check_day),
                    path,
                    Path(folder),
                    1,
                    head_command=(head, "serve") if head else ("serve",),
                    head_module="tests.e2e.doctored" if head else "fawnspool.cli",
                    node_command=(node,) if node else (),
                    node_module="tests.e2e.doctored" if node else "fawnspool.cli",
                ).run()
            d = out.duties
            assert d is not None
            print(
                f"{name}, {day_name}: {len(d.finding.breaches)} breaches, {d.fenced} steps refused, {d.moved} moved, "
                f"{d.left} left",
                flush=True,
            )


def main() -> None:
    what = sys.argv[1] if len(sys.argv) > 1 else "faults"
    number = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    if what == "faults":
        faults(number, int(sys.argv[3]) if len(sys.argv) > 3 else 1, int(sys.argv[4]) if len(sys.argv) > 4 else 5)
    elif what == "worth":
        worth(number)
    elif what == "idle":
        idle(int(sys.argv[2]) if len(sys.argv) > 2 else 600)
    else:
        baselines()


if __name__ == "__main__":
    main()
