"""Days on which descriptors are scarce, side by side: another checkout's gateway and this one's.

    python -m benchmarks.descriptors [--against CHECKOUT] [NAME ...]

Stand-in nodes work for 0.4 s, requests have 2 s, and clients (a third of the descriptors) hardly rest; 20 s a day. The
gateways take turns. `room` rows have the same load and many descriptors.
"""

from __future__ import annotations

import argparse
from pathlib import Path

from tests.e2e.descriptor_rig import ROOT, Day, play_day

ALL = 10_000  # clients
FEW_DESCRIPTORS, ROOM = 256, 2048
THIRD = FEW_DESCRIPTORS // 3
LARGE_THIRD = 1024 // 3
DAYS = {
    "case": Day(256),
    "start": Day(256, early_clients=ALL),
    "start-room": Day(256, ROOM, clients=THIRD, early_clients=ALL),
    "usual": Day(16, early_clients=ALL),
    "usual-room": Day(16, ROOM, clients=THIRD, early_clients=ALL),
    "fewer": Day(170),
    "new-connections": Day(256, keeps_connections=False),
    "hung": Day(256, hung_fraction=0.25),
    "hung-room": Day(256, ROOM, clients=THIRD, hung_fraction=0.25),
    "watch": Day(256, signals_at_s=(12.0, 14.0, 16.0)),
    "silent": Day(256, silent_clients=200),
    "replaced": Day(256, replaced_per_s=20),
    "more": Day(1040, 1024, early_clients=ALL, pause_s=1.5),
    "most": Day(3200, 1024, early_clients=ALL, pause_s=1.5),
    "most-room": Day(3200, 8192, clients=LARGE_THIRD, early_clients=ALL, pause_s=1.5),
}


def print_row(name: str, label: str, checkout: Path) -> None:
    report = play_day(DAYS[name], checkout)
    day = report.day
    print(
        f"| {name} | {day.nodes} / {day.descriptors} | {label} | {len(report.answers)} | {len(report.lost)} "
        f"| {report.count(503)} | {report.median_s():.2f}, {report.worst_s():.2f} | {report.cpu_ms():.2f} "
        f"| {report.node_connections} | {report.most_descriptors} |",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", choices=[*DAYS, []], metavar="NAME", help=", ".join(DAYS))
    parser.add_argument("--against", type=Path, help="a checkout with its own .venv")
    arguments = parser.parse_args()
    print(
        "| day | nodes / descriptors | gateway | sent | lost | 503 | p50, worst s | CPU ms | node connections | most |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in arguments.names or DAYS:
        if arguments.against is not None:
            print_row(name, "other", arguments.against)
        print_row(name, "this", ROOT)


if __name__ == "__main__":
    main()
