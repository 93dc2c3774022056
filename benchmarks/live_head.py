"""What live heads spent and did, from their logs' lines of state: one row a folder of logs.

    python -m benchmarks.live_head FOLDER [FOLDER ...]

A folder holds the logs of one day's heads (`--logs` of the operators' bench, or what `run` wrote to standard error, in
`*.log`); what stands before a line's JSON is left out. CPU and module time are process and module seconds over the
requests answered in the same lines.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter
from pathlib import Path


def sums(folder: Path) -> Counter[str]:
    """Requests, seconds and counts of all heads of a day."""
    total: Counter[str] = Counter()
    for log in sorted(folder.glob("*.log")):
        for line in log.read_text(errors="replace").splitlines():
            try:
                row = json.loads(line[line.index("{") :])
            except ValueError:
                continue
            if row.get("event") != "state":
                total["suspected"] += str(row.get("event", "")).endswith("suspected")
                continue
            for name, value in row.items():
                if name.startswith("request "):
                    total["requests"] += value
                    total[name] += value
                elif name in ("cpu_s", "module_s", "errors", "overdue"):
                    total[name] += value
                elif name.startswith("bad "):
                    total["bad"] += value
    return total


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", nargs="+", type=Path)
    print(
        "| day | requests | served | refused | failed | left | malformed | CPU us/request | module us/request | "
        "module errors | overdue | suspicions |"
    )
    print("| --- " * 12 + "|")
    for folder in parser.parse_args().folder:
        t = sums(folder)
        count = max(1, t["requests"])
        parts = [f"{t['request ' + k] / count:.3f}" for k in ("served", "refused", "failed", "left")]
        print(
            f"| {folder.name} | {t['requests']:.0f} | {' | '.join(parts)} | {t['bad']:.0f} | "
            f"{t['cpu_s'] / count * 1e6:.0f} | {t['module_s'] / count * 1e6:.0f} | {t['errors']:.0f} | "
            f"{t['overdue']:.0f} | {t['suspected']} |"
        )


if __name__ == "__main__":
    main()
