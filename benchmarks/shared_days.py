"""Shared limits on real processes: days under faults over seeds, and what sharing gains on the same day and seeds.

python -m benchmarks.shared_days faults [SEEDS] [AT ONCE] [HEADS]     all days: breaches, refused within limits
python -m benchmarks.shared_days cpu [SEEDS]      processor time of heads with and without sharing, side by side
python -m benchmarks.shared_days gain [SEEDS] [AT ONCE]               even parts, today's lending, shared; by day
"""

from __future__ import annotations

import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from benchmarks.duties_days import played
from fawnspool.config.render import render
from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day

DAYS = (
    "shared-skew",
    "shared-surge",
    "shared-cut",
    "shared-heal",
    "shared-restart",
    "shared-stall",
    "shared-liar",
    "shared-node",
    "shared-overlap",
)
GAIN = ("shared-skew", "shared-surge", "shared-cut")


def arms(name: str) -> dict[str, Day]:
    """One day: with even parts of limits alone, with units that the module lends, with parts lent as well."""
    day = load(f"days/{name}.hcl", Day, check_day)
    still = tuple(x for x in day.trouble if x.kind != "heads_cut")
    return {
        "even": replace(day, shared=None, day=replace(day.day, peers=False), trouble=still),
        "lending": replace(day, shared=None, trouble=still),
        "shared": day,
    }


def _row(said: dict[str, Any]) -> str:
    s = said["shared"]
    return f"worth {said['whole']['share']:.3f}" + (
        f", refused {s['refused']}, within {s['within']} of {s['asked']}" if s else ""
    )


def faults(seeds: int, at_once: int, heads: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        for name in DAYS:
            day = load(f"days/{name}.hcl", Day, check_day)
            if heads != day.day.heads:
                more = tuple(replace(v, heads=heads) for v in day.volumes)
                plans = tuple(replace(p, limit_depth=p.limit_depth * heads / day.day.heads) for p in day.plan)
                day = replace(day, day=replace(day.day, heads=heads), volumes=more, plan=plans)
            (Path(folder) / f"{name}.hcl").write_text(render(day))
        runs = [(str(Path(folder) / f"{name}.hcl"), seed) for name in DAYS for seed in range(1, seeds + 1)]
        with ThreadPoolExecutor(at_once) as pool:
            rows = list(pool.map(lambda run: played(*run), runs))
    print(
        f"{heads} heads; day: plays, all rules kept, nearest to a limit, refused within limits of asked, worth, "
        "bytes a second and head"
    )
    for name in DAYS:
        mine = [row for (path, _), row in zip(runs, rows, strict=True) if Path(path).stem == name]
        for row in mine:
            for rule in row["rules"]:
                for text in rule["first"]:
                    print(f"  {name}, seed {row['seed']}: BROKEN {rule['rule']}: {text}")
        nearest = max(r["nearest"] for row in mine for r in row["rules"] if r["rule"] == "limits kept")
        s = [row["shared"] for row in mine]
        worth = [row["whole"]["share"] for row in mine]
        print(
            f"{name}: {len(mine)}, {sum(row['kept'] for row in mine)}, {nearest:.2f}, "
            f"{sum(x['within'] for x in s)} of {sum(x['asked'] for x in s)}, {min(worth):.3f} to {max(worth):.3f}, "
            f"{max(x['bytes_s'] for x in s):.0f}",
            flush=True,
        )


def gain(seeds: int, at_once: int) -> None:
    print("day, seed: arm: worth, refused, of these within the limit, tries")
    sums: dict[tuple[str, str], list[float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        runs = []
        for name in GAIN:
            for arm, day in arms(name).items():
                path = Path(folder) / f"{name}-{arm}.hcl"
                path.write_text(render(day))
                runs += [(name, arm, str(path), seed) for seed in range(1, seeds + 1)]
        runs.sort(key=lambda run: (run[0], run[3]))  # the arms of one seed side by side
        with ThreadPoolExecutor(at_once) as pool:
            rows = pool.map(lambda run: played(run[2], run[3]), runs)
            for (name, arm, _, seed), said in zip(runs, rows, strict=True):
                print(f"  {name}, {seed}: {arm}: {_row(said)}{'' if said['kept'] else ' RULES BROKEN'}", flush=True)
                s = sums.setdefault((name, arm), [0.0, 0.0, 0.0, 0.0])
                found = said["shared"]
                for k, value in enumerate((said["whole"]["share"], found["refused"], found["within"], found["asked"])):
                    s[k] += value
    print("day, arm: mean worth, refused, within the limit, share of tries")
    for (name, arm), (worth, refused, within, asked) in sums.items():
        print(f"{name}, {arm}: {worth / seeds:.4f}, {refused:.0f}, {within:.0f}, {within / asked:.4f}", flush=True)


def cpu(seeds: int) -> None:
    """A calm day within all limits, so that both arms serve the same."""
    sums = {"lending": [0.0, 0], "shared": [0.0, 0]}
    with tempfile.TemporaryDirectory() as folder:
        for name, day in arms("shared-skew").items():
            if name in sums:
                plans = tuple(replace(p, limit=10 * p.limit, limit_depth=10 * p.limit_depth) for p in day.plan)
                (Path(folder) / f"{name}.hcl").write_text(render(replace(day, plan=plans)))
        for seed in range(1, seeds + 1):
            with ThreadPoolExecutor(len(sums)) as pool:
                rows = pool.map(lambda name: played(str(Path(folder) / f"{name}.hcl"), seed), sums)  # noqa: B023
                for name, said in zip(sums, rows, strict=True):
                    sums[name][0] += said["head_cpu_s"]
                    sums[name][1] += said["whole"]["asked"]
                    print(
                        f"  {name}, seed {seed}: {said['head_cpu_s']} s of six heads, "
                        f"{said['whole']['asked']} asked, worth {said['whole']['share']:.3f}",
                        flush=True,
                    )
    each = {name: seconds / asked * 1000 for name, (seconds, asked) in sums.items()}
    print(
        f"ms a request: {', '.join(f'{n} {x:.3f}' for n, x in each.items())}; "
        f"{each['shared'] / each['lending'] - 1:+.1%}"
    )


def main() -> None:
    what = sys.argv[1] if len(sys.argv) > 1 else "faults"
    numbers = [int(x) for x in sys.argv[2:]]
    if what == "cpu":
        cpu(*(numbers or [4]))
    elif what == "gain":
        gain(*(numbers + [5, 4][len(numbers) :]))
    else:
        faults(*(numbers + [5, 4, 6][len(numbers) :]))


if __name__ == "__main__":
    main()
