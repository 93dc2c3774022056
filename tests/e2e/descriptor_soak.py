"""A soak of scarce descriptors, by hand: `python -m tests.e2e.descriptor_soak SEEDS [FIRST]`.

Each seed is a day of random size with some disturbances at once: nodes that hang or are replaced, silent connections,
reset watches with SIGHUP, and a shutdown with the kill at the earliest moment that the platform allows. Prints what
went wrong; the exit status is 1 if anything did, and 2 for invalid arguments.
"""

from __future__ import annotations

import sys
from random import Random

from tests.e2e.descriptor_rig import CHANGE_WITHIN_S, Day, DayReport, play_day
from tests.e2e.soak_command import run_soak, usage_of

USAGE = usage_of("descriptor_soak")
SECONDS = 8.0
SHUTDOWN_AT_S = 7.0
MAX_REFUSED_FRACTION = 0.02
NO_DESCRIPTOR = "refused: this head has no connection or descriptor left for it"
ERRORS = ("module_raised", "request_handler_raised", "attempt_raised", "action_failed", "periodic_check_failed")
SIZES = ((11, 256), (16, 256), (64, 256), (170, 256), (256, 256), (1024, 256), (256, 1024), (1040, 1024))
LARGEST_SIZE = (3200, 1024)
LARGEST_EVERY = 25  # of so many seeds, one has the largest size


def day_of(seed: int) -> Day:
    """Return the day of a seed."""
    random = Random(seed)
    nodes, descriptors = LARGEST_SIZE if seed % LARGEST_EVERY == 0 else random.choice(SIZES)
    is_large = descriptors > 256
    signals = sorted(random.uniform(1.0, 6.0) for _ in range(random.choice((0, 0, 1, 3))))
    return Day(
        nodes,
        descriptors,
        early_clients=random.choice((descriptors // 12, descriptors)),
        early_s=random.uniform(1.0, 4.0),
        seconds=SECONDS,
        service_s=random.choice((0.05, 0.2, 0.4)),
        pause_s=1.5 if is_large else random.choice((0.05, 0.2)),
        keeps_connections=random.random() < 0.8,
        hung_fraction=random.choice((0.0, 0.0, 0.1, 0.25)),
        hung_from_s=random.uniform(1.0, 4.0),
        replaced_per_s=random.choice((0.0, 0.0, 5.0, 20.0)),
        silent_clients=random.choice((0, 0, 0, 100)),
        signals_at_s=tuple(signals),
        shutdown_at_s=SHUTDOWN_AT_S if random.random() < 0.3 else None,
        memory_mb=192 if nodes > 256 else random.choice((32, 64, 192)),
        seed=seed,
    )


def faults(report: DayReport) -> list[str]:
    """Return what went wrong on a day."""
    day = report.day
    found = [f"{answer.ident}: no answer" for answer in report.lost]
    if report.has_ended and day.shutdown_at_s is None:
        found.append("the gateway ended")
    if report.most_descriptors > day.descriptors:
        found.append(f"{report.most_descriptors} descriptors")
    if report.worst_watch_gap_s > CHANGE_WITHIN_S:
        found.append(f"no watch for {report.worst_watch_gap_s:.1f} s")
    if report.log_totals()[NO_DESCRIPTOR] > MAX_REFUSED_FRACTION * len(report.answers):
        found.append("refused for want of a descriptor")
    if not day.hung_fraction and not day.replaced_per_s and report.ejected_nodes():
        found.append(f"ejected nodes that are well: {report.ejected_nodes()[:4]}")
    return found + [event for event in ERRORS if event in report.log_text]


def soak(first: int, seeds: int) -> int:
    """Run `seeds` seeds from `first` on, and return how many went wrong."""
    failed = 0
    for seed in range(first, first + seeds):
        report = play_day(day_of(seed))
        found = faults(report)
        failed += bool(found)
        print(
            f"seed {seed}, {report.day.nodes} nodes, {report.day.descriptors}: {report.text()} {found[:4]}", flush=True
        )
    print(f"seeds {first} to {first + seeds - 1}: {failed} went wrong")
    return failed


def main(arguments: list[str]) -> int:
    """Run the command line and return the exit status."""
    return run_soak(USAGE, soak, arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
