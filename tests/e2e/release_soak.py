"""Releases by the seed, by hand: `python -m tests.e2e.release_soak 50`. Each seed ends a head under forty clients, with
long and with short deadlines, smoothly and held up for 0.15 s again and again. Prints what was lost; exit 1 if any."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

from tests.e2e.relayrig import RelayRig
from tests.e2e.test_release import forty_clients, with_deadline

DEADLINES = (2.0, 0.4)


def soak(seeds: int) -> int:
    """How many requests were lost over so many seeds."""
    total = 0
    for seed in range(1, seeds + 1):
        for deadline in DEADLINES:
            for held_up in (False, True):
                with tempfile.TemporaryDirectory() as folder:
                    rig = RelayRig(Path(folder), classes=with_deadline(deadline))
                    lost = forty_clients(rig, Path(folder), deadline, held_up=held_up, seed=seed)
                total += len(lost)
                if lost:
                    print(f"seed {seed} deadline {deadline} held up {held_up}: {lost}", flush=True)
    print(f"{seeds} seeds, {4 * seeds} releases: {total} requests lost")
    return total


if __name__ == "__main__":
    sys.exit(1 if soak(int(sys.argv[1])) else 0)
