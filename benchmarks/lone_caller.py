"""What the live gateway adds to the requests of one caller that sends one behind the other, beside its node alone.

    python -m benchmarks.lone_caller [--requests 2000] [--against CHECKOUT]

A stand-in shelf and discovery in this process, the gateway (`python -m fawnspool.relay`) in a process of its own, with
1,024 descriptors. With `--against` another checkout's gateway (with its own `.venv`) is measured in the same run.
"""

from __future__ import annotations

import argparse
import os
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from fawnspool.standins.platform import DiscoveryServer
from tests.e2e.relayrig import RelayRig, headers
from tests.e2e.rig import Client, wait_for

DESCRIPTORS = 1024
START_TIMEOUT_S = 30.0
PERCENTILES = 100


@dataclass(frozen=True)
class Latencies:
    """Times of one arm's requests in milliseconds, and how many connections its gateway had made to the shelf."""

    name: str
    milliseconds: list[float]
    connections: int

    def row(self) -> str:
        """Return the arm's row of the table."""
        cuts = statistics.quantiles(self.milliseconds, n=PERCENTILES)
        per_s = 1000 / statistics.fmean(self.milliseconds)
        return f"| {self.name} | {per_s:.0f} | {cuts[49]:.2f} | {cuts[98]:.2f} | {self.connections} |"


def ask_in_turn(client: Client, path: str, count: int) -> list[float]:
    """Send requests one behind the other; milliseconds of each."""
    taken: list[float] = []
    for number in range(count):
        began = time.perf_counter()
        if client.ask("GET", path, **headers(f"r{number}")).status != 200:
            raise SystemExit("a request was not served")
        taken.append((time.perf_counter() - began) * 1000)
    return taken


def measure_gateway(rig: RelayRig, name: str, checkout: Path, python: str, count: int) -> Latencies:
    """Start a checkout's gateway in the place of the rig's own program, and ask it."""
    discovery = DiscoveryServer()
    discovery.hosts, discovery.version = dict(rig.discovery.hosts), rig.discovery.version
    rig.write(discovery)
    command = [python, "-m", "fawnspool.relay"]
    environ = {"RELAY_CONFIG": str(rig.path), "PATH": os.environ["PATH"]}
    accepted = len(rig.shelfs[0].server.connections)
    with subprocess.Popen(command, cwd=checkout, env=environ, stderr=subprocess.DEVNULL) as process:
        try:
            wait_for(lambda: discovery.watchers, START_TIMEOUT_S)
            taken = ask_in_turn(rig.client(), "/read", count)
            made = len(rig.shelfs[0].server.connections) - accepted
        finally:
            process.kill()
    discovery.server.stop()
    return Latencies(name, taken, made)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--against", type=Path)
    options = parser.parse_args()
    here = Path(__file__).parents[1]
    with tempfile.TemporaryDirectory() as folder:
        rig = RelayRig(Path(folder), sockets=DESCRIPTORS)
        rig.program.stop()
        shelf = Client(rig.shelfs[0].server.address)
        arms = [Latencies("the shelf itself", ask_in_turn(shelf, "/read", options.requests), 1)]
        if options.against is not None:
            old = options.against.resolve()
            python = str(old / ".venv/bin/python")
            arms.append(measure_gateway(rig, "through the other checkout", old, python, options.requests))
        arms.append(measure_gateway(rig, "through this checkout", here, sys.executable, options.requests))
        for stand_in in rig.shelfs:
            stand_in.server.stop()
        rig.discovery.server.stop()
    print("| caller asks | requests/s | p50 ms | p99 ms | connections to the shelf |")
    print("| --- " * 5 + "|")
    for arm in arms:
        print(arm.row())


if __name__ == "__main__":
    main()
