"""A soak of peers that use up resources, by hand: `python -m tests.e2e.overload_soak SEEDS [FIRST]`.

For each seed a gateway gets random limits, two or three kinds of peers at once (some runs have a crowd that fills the
descriptors), a slow node or none, half of the times a series of signals, and in the end SIGTERM and the kill at the
earliest moment that the platform allows. Sound clients use their connections until then. Prints what went wrong; the
exit status is 1 if anything did, and 2 for invalid arguments.
"""

from __future__ import annotations

import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

import gevent

from tests.e2e.overload_peers import KINDS
from tests.e2e.overload_rig import NODES, READ_DEADLINE_S, Limits, OverloadRig, Report, overload_rig
from tests.e2e.soak_command import run_soak, usage_of

LOAD_S = 2.5
KILL_AFTER_S = 2.0 + 0.7  # the longest deadline of the settings, and the platform's margin
SLOW_S = 0.1
MAX_SIGNALS = 4
CROWD = "silent"
ERRORS = ("module_raised", "request_handler_raised", "action_failed", "Traceback")
USAGE = usage_of("overload_soak")


@dataclass(frozen=True)
class Overload:
    """Parameters of one run."""

    seed: int
    limits: Limits
    kinds: tuple[str, ...]
    signals: tuple[signal.Signals, ...]
    slow_nodes: bool

    def run(self) -> tuple[Report, list[str]]:
        """Run it; return the report and what went wrong."""
        with tempfile.TemporaryDirectory() as folder, overload_rig(Path(folder), self.limits) as rig:
            rig.start_peer("+".join(self.kinds), self.seed, LOAD_S + KILL_AFTER_S)
            runs = [gevent.spawn(client.run) for client in rig.clients]
            runs.append(gevent.spawn(self._disturb, rig))
            gevent.sleep(LOAD_S)
            asked_until = self._end(rig)
            report = rig.finish(runs)
            return report, faults(rig, report, asked_until)

    def _disturb(self, rig: OverloadRig) -> None:
        random = Random(self.seed)
        if self.slow_nodes:
            rig.slow_nodes[random.randrange(NODES)] = SLOW_S
        for number in self.signals:
            gevent.sleep(random.uniform(0.1, LOAD_S / (1 + MAX_SIGNALS)))
            rig.gateway.send_signal(number)

    def _end(self, rig: OverloadRig) -> float:
        """Tell the gateway to end and kill it at the earliest moment; return when it ended."""
        killed_at = time.monotonic() + KILL_AFTER_S
        rig.gateway.send_signal(signal.SIGTERM)
        while rig.gateway.process.poll() is None and time.monotonic() < killed_at:
            gevent.sleep(0.005)
        ended_at = time.monotonic()
        rig.gateway.kill()
        return ended_at


def faults(rig: OverloadRig, report: Report, ended_at: float) -> list[str]:
    """Return what went wrong: a kill for memory, a crash, or a sound request that was sent on and got no answer."""
    found = list[str]()
    if report.killed_for_memory:
        found.append("killed for memory")
    log = rig.gateway.log_path.read_text()
    found += [event for event in ERRORS if event in log]
    executed = set(rig.executed())
    for answer in report.answers:
        if not answer.status and answer.ident in executed:
            found.append(f"{answer.ident}: sent on, no answer")
        elif answer.status and answer.after_s > READ_DEADLINE_S:
            found.append(f"{answer.ident}: answered after {answer.after_s:.2f} s")
        elif not answer.status and answer.sent_at + READ_DEADLINE_S < ended_at - KILL_AFTER_S:
            found.append(f"{answer.ident}: no answer while the gateway served")
    return found


def overload(seed: int) -> Overload:
    """Return the run of a seed."""
    random = Random(seed)
    limits = Limits(random.choice((32, 64, 192)), random.choice((384, 1024)))
    kinds = random.sample([kind for kind in KINDS if kind != CROWD], random.choice((2, 3)))
    if random.random() < 0.3:
        kinds[0] = CROWD
    signals = random.choices((signal.SIGHUP, signal.SIGCONT), k=random.randrange(MAX_SIGNALS)) if seed % 2 else []
    return Overload(seed, limits, tuple(kinds), tuple(signals), random.random() < 0.5)


def soak(first: int, seeds: int) -> int:
    """Run `seeds` seeds from `first` on, and return how many went wrong."""
    failed = 0
    for seed in range(first, first + seeds):
        run = overload(seed)
        report, found = run.run()
        failed += bool(found)
        limits = f"{run.limits.memory_mb} MB, {run.limits.sockets}"
        print(f"seed {seed}, {limits}, {'+'.join(run.kinds)}: {report.text()} {found[:4]}", flush=True)
    print(f"seeds {first} to {first + seeds - 1}: {failed} went wrong")
    return failed


def main(arguments: list[str]) -> int:
    """Run the command line and return the exit status."""
    return run_soak(USAGE, soak, arguments)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
