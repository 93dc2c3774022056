"""Resident memory of the live gateway that serves nobody.

    python -m benchmarks.at_rest [--against CHECKOUT] [--runs 3]

Starts the deploy file's `run` between stand-in nodes, waits until it serves and a second more, and reads its memory.
With `--against` another checkout's gateway (with its own `.venv`) is measured in the same run.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

import gevent

from tests.e2e.relayrig import RelayRig
from tests.e2e.rig import wait_for

SETTLE_S = 1.0
START_TIMEOUT_S = 30.0
FIELDS = ("VmRSS", "RssAnon", "RssFile")
_KIB_PER_MIB = 1024


@dataclass(frozen=True)
class Resident:
    """Resident memory in MiB: all, anonymous, of files."""

    name: str
    sizes: tuple[float, ...]

    def row(self) -> str:
        """Return the row of the table."""
        return f"| {self.name} | " + " | ".join(f"{size:.1f}" for size in self.sizes) + " |"


def read_resident(pid: int) -> tuple[float, ...]:
    """Return the sizes of `FIELDS` of a process, in MiB."""
    rows = dict(row.split(":", 1) for row in Path(f"/proc/{pid}/status").read_text().splitlines())
    return tuple(int(rows[name].split()[0]) / _KIB_PER_MIB for name in FIELDS)


def measure(name: str, checkout: Path) -> Resident:
    """Start a checkout's gateway and read its memory at rest."""
    with tempfile.TemporaryDirectory() as folder:
        rig = RelayRig(Path(folder))
        rig.program.stop()
        run = tomllib.loads((checkout / "deploy/balancer.toml").read_text())["run"]
        environ = {"RELAY_CONFIG": str(rig.path), "PATH": os.environ["PATH"]}
        watchers = len(rig.discovery.watchers)
        command = ["/bin/sh", "-c", run]
        with subprocess.Popen(command, cwd=checkout, env=environ, stderr=subprocess.DEVNULL) as process:
            try:
                wait_for(lambda: len(rig.discovery.watchers) > watchers or rig.discovery.watchers, START_TIMEOUT_S)
                gevent.sleep(SETTLE_S)
                return Resident(name, read_resident(process.pid))
            finally:
                process.kill()
                rig.stop()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--against", type=Path)
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    print("| checkout | resident MiB | anonymous | of files |")
    print("| --- | --- | --- | --- |")
    for _ in range(options.runs):
        if options.against is not None:
            print(measure("the other", options.against.resolve()).row(), flush=True)
        print(measure("this", Path(__file__).parents[1]).row(), flush=True)


if __name__ == "__main__":
    main()
