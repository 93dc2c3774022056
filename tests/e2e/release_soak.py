"""A soak test of releases, started by hand: `python -m tests.e2e.release_soak SEEDS [FIRST]`.

For each seed, a gateway with forty clients is shut down four times: with long and with short deadlines, each without
and with repeated stops of 0.15 s. It gets a random series of signals, and half of the seeds add a crowd of idle and
rude clients. Clients use their connections until the kill, at the earliest moment that the platform allows. Prints the
lost requests; the exit status is 1 if there are any, and 2 for invalid arguments.
"""

from __future__ import annotations

import itertools
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tests.e2e.relayrig import RelayRig
from tests.e2e.resting_clients import Crowd
from tests.e2e.soak_command import run_soak, usage_of
from tests.e2e.test_release import forty_clients, with_deadline

DEADLINES = (2.0, 0.4)
MAX_SIGNALS = 5
CROWDS = (Crowd(), Crowd(idle=40, rude=10), Crowd(idle=200, rude=4))
USAGE = usage_of("release_soak")


@dataclass(frozen=True)
class Release:
    """Parameters of one release of a seed."""

    seed: int
    deadline: float
    held_up: bool
    signals: tuple[signal.Signals, ...]
    crowd: Crowd

    def run(self) -> list[tuple[str, int, str]]:
        """Run the release and return the lost requests."""
        with tempfile.TemporaryDirectory() as folder:
            rig = RelayRig(Path(folder), classes=with_deadline(self.deadline))
            return forty_clients(
                rig,
                Path(folder),
                self.deadline,
                held_up=self.held_up,
                signals=self.signals,
                min_served_fraction=0.0 if self.crowd.idle else 1.0,
                seed=self.seed,
                crowd=self.crowd,
            )


def releases(seed: int) -> list[Release]:
    """Return the four releases of a seed."""
    random = Random(seed)
    crowd = CROWDS[0] if seed % 2 else random.choice(CROWDS[1:])
    first = random.choice((signal.SIGTERM, signal.SIGINT))
    later = random.choices((signal.SIGTERM, signal.SIGINT, signal.SIGHUP), k=random.randrange(MAX_SIGNALS))
    return [
        Release(seed, deadline, held_up, (first, *later), crowd)
        for deadline, held_up in itertools.product(DEADLINES, (False, True))
    ]


def soak(first: int, seeds: int) -> int:
    """Run the releases of `seeds` seeds from `first` on, and return how many requests were lost."""
    total = 0
    for release in itertools.chain.from_iterable(releases(seed) for seed in range(first, first + seeds)):
        lost = release.run()
        total += len(lost)
        if lost:
            print(f"{release}: {lost}", flush=True)
    print(f"seeds {first} to {first + seeds - 1}, {4 * seeds} releases: {total} requests lost")
    return total


def main(arguments: list[str]) -> int:
    """Run the command line and return the exit status."""
    return run_soak(USAGE, soak, arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
