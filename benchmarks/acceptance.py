"""A table of the platform bench's reports, a line a day and seed: python -m benchmarks.acceptance REPORT.json ...
With `compare BEFORE AFTER` (folders, reports of the same names): what is served more by kind of day, day against day.

Each report is what the bench wrote with --json. served and wanted: shares of the day's worth; of classes and tenants
the one nearest to what is wanted of it; thirds: in time of what was offered, over the day's windows. The reports do not
say which effect a class had.
"""

from __future__ import annotations

import json
import math
import statistics
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any


def nearest(rows: list[list[Any]]) -> str:
    """The row with the least room over what is wanted, as "name 0.63/0.47"."""
    if not rows:
        return "-"
    name, served, wanted = min(rows, key=lambda row: row[1] - row[2])
    return f"{name} {served:.2f}/{wanted:.2f}"


def thirds(windows: list[dict[str, Any]]) -> str:
    count, shares = len(windows), []
    for k in range(3):
        part = windows[k * count // 3 : (k + 1) * count // 3]
        offered = sum(w["offered"] for w in part)
        shares.append(sum(w["in_time"] for w in part) / offered if offered else 1.0)
    return " ".join(f"{share:.2f}" for share in shares)


def line(seed: str, day: dict[str, Any]) -> str:
    row = day["row"]
    broken = ", ".join(f"{rule} {what['count']}" for rule, what in day["breaks"].items()) or "-"
    never = " (one class made unsafe)" if row.get("made_unsafe") else ""
    gate = "passed" if row["gate"] is None else row["gate"]
    served = f"{row['served']:.2f}/{row['served_least']:.2f}"
    cells = [
        seed,
        day["name"] + never,
        gate,
        broken,
        served,
        nearest(row["by_class"]),
        nearest(row["by_tenant"]),
        thirds(day["windows"]),
    ]
    return "| " + " | ".join(cells) + " |"


def main(paths: list[str]) -> None:
    print("| report | day | gate | broken | served/wanted | nearest class | nearest tenant | thirds |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for path in paths:
        report = json.loads(Path(path).read_text())
        for day in report["days"]:
            print(line(Path(path).stem, day))


def served(folder: str) -> dict[tuple[str, str], float]:
    return {
        (path.stem, day["name"]): day["row"]["served"]
        for path in sorted(Path(folder).glob("*.json"))
        for day in json.loads(path.read_text())["days"]
    }


def compare(before: str, after: str) -> None:
    old, new = served(before), served(after)
    kinds: dict[str, list[float]] = defaultdict(list)
    for name in old.keys() & new.keys():
        kinds[name[1].rpartition("-")[0]].append(new[name] - old[name])
    print("| kind of day | days | served more, mean | standard error |")
    print("| --- | --- | --- | --- |")
    for kind, more in sorted(kinds.items()):
        error = statistics.stdev(more) / math.sqrt(len(more)) if len(more) > 1 else math.nan
        print(f"| {kind} | {len(more)} | {statistics.mean(more):+.4f} | {error:.4f} |")


if __name__ == "__main__":
    if sys.argv[1:2] == ["compare"]:
        compare(*sys.argv[2:4])
    else:
        main(sys.argv[1:])
