"""Roll-outs of well and bad versions on the model: `python -m benchmarks.staged [--workers N]`. Simulated.

Twelve heads, 150 s with two surges; five seeds of each version. The decisions know nothing of which version it is.
"""

from __future__ import annotations

import argparse
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day, TroubleBlock
from fawnspool.model.staged import Staged, Trial, spread_of
from fawnspool.rollout.limits import RolloutLimits
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler

BOUND = RolloutLimits(
    max_loss=0.1,
    max_spend=0.05,
    spend_period_s=600.0,
    window_s=2.0,
    min_windows=4,
    max_windows=40,
    max_without_surge=0.5,
    min_surge_windows=2,
    max_restarting=0.17,
)


class Refuses(Scheduler):
    """Turns a part of all extents away at every try: always, or only while much is asked of this head."""

    part, surge = 0.0, 0

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.lately: list[float] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, interface.Request):
            self.lately = [t for t in self.lately if t > now - 1] + [now]
            if event.extent % 10_000 < self.part * 10_000 and len(self.lately) > self.surge:
                return [interface.RejectRequest(event.id, 0.1)]
        return super().handle(now, event)


class Little(Refuses):
    part = 0.25


class Much(Refuses):
    part = 0.7


class InSurges(Refuses):
    part, surge = 0.7, 26


class Twice(Scheduler):
    def handle(self, now: float, event: Any) -> list[Any]:
        out = list(super().handle(now, event))
        return out + [a for a in out if isinstance(a, interface.Send)]


class Raises(Scheduler):
    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, interface.Request) and event.extent % 200 == 0:
            raise ValueError("a new mistake")
        return super().handle(now, event)


VERSIONS: dict[str, type[Scheduler]] = {
    "equal": Scheduler,
    "turns 25 of 100 extents away": Little,
    "turns 70 of 100 away": Much,
    "turns 70 of 100 away under a surge only": InSurges,
    "sends everything twice": Twice,
    "raises on one request of 200": Raises,
}


def day() -> Day:
    one = load(Path(__file__).parent.parent / "days/lead-moves.hcl", Day, check_day)
    surges = tuple(TroubleBlock(f"surge {k}", "burst", 60.0 + 45 * k, 10.0, size=2.2) for k in range(2))
    return replace(
        one,
        trouble=surges,
        day=replace(one.day, heads=12, nodes=12, length=150.0),
        volumes=tuple(replace(v, count=2 * v.count) for v in one.volumes),
        load=replace(one.load, rate=180.0),
    )


def play(job: tuple[str, int, float]) -> Trial:
    name, seed, spread = job
    return Staged(day(), seed, Scheduler, VERSIONS[name], BOUND, spread).play()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--workers", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5)
    asked, began = parser.parse_args(), time.perf_counter()
    spread = spread_of(replace(day(), day=replace(day().day, length=40.0)), 99, Scheduler, BOUND)
    print(f"one head's window varies by {spread:.3f}\n")
    print("| version | went through | went back | undecided | heads that had it | decided after s | worth of the day |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    jobs = [(name, seed, spread) for name in VERSIONS for seed in range(1, asked.seeds + 1)]
    with ProcessPoolExecutor(asked.workers) as pool:
        came = list(pool.map(play, jobs))
    for name in VERSIONS:
        some = [t for (n, _, _), t in zip(jobs, came, strict=True) if n == name]
        said = [t.verdict.value for t in some]
        print(
            f"| {name} | {said.count('done')} | {said.count('go back')} | "
            f"{len(said) - said.count('done') - said.count('go back')} | "
            f"{min(t.upgraded for t in some)} to {max(t.upgraded for t in some)} of 12 | "
            f"{min(t.steps[-1][0] for t in some):.0f} to {max(t.steps[-1][0] for t in some):.0f} | "
            f"{min(t.share for t in some):.3f} to {max(t.share for t in some):.3f} |",
            flush=True,
        )
        for why in dict.fromkeys(t.why for t in some):
            print(f"    {name}: {why}")
    print(f"\n{time.perf_counter() - began:.0f} s, {asked.workers} processes")


if __name__ == "__main__":
    main()
