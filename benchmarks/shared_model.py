"""Shared limits in simulated time, with the real module and the heads' own sharer.

python -m benchmarks.shared_model nodes [SEEDS]     a node that gives no answers: until it is left, and found again
python -m benchmarks.shared_model quorum [SEEDS]    the same with 190 heads and lower quorums
python -m benchmarks.shared_model scale [SEEDS]     3, 30, 190 heads, of which none, a third, all hear nothing
python -m benchmarks.shared_model cost              what it adds to a request
python -m benchmarks.shared_model gain [SEEDS]      days by arm: even parts, lending alone, and shared
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from benchmarks.shared_days import GAIN, arms
from fawnspool.config.schema import load
from fawnspool.days.day import NODE_FAULTS, Day, TroubleBlock, check
from fawnspool.days.terms import rule_terms
from fawnspool.days.troubles import targets
from fawnspool.days.worth import count
from fawnspool.model.simulated_gateway import SimulatedGateway
from fawnspool.model.simulation import BEGIN
from fawnspool.model.world import World
from fawnspool.rules.gossip import judge_gossip
from fawnspool.rules.history import read_history
from fawnspool.rules.judge import judge_run
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler


@dataclass(frozen=True)
class Outcome:
    """broken: rules; bytes, said: a second and head, the busiest head's."""

    worth: float
    refused: int
    within: int
    asked: int
    broken: tuple[str, ...]
    nearest: float
    said: float
    bytes: float
    shunned: int


def play(day: Day, seed: int) -> Outcome:
    world = World(day, seed, Scheduler)
    ops = world.run()
    history = read_history(world.rows)
    verdict = judge_run(history, rule_terms(day))
    found = judge_gossip(history, rule_terms(day), day.day.heads)
    return Outcome(
        count(day, ops).whole.share,
        found.refused,
        found.refused_within_limit,
        found.asked,
        tuple(f"{f.rule}: {b.text}" for f in verdict.findings for b in f.breaches),
        next(f.nearest for f in verdict.findings if f.rule == "limits kept"),
        max(world.network.gossip_sent.values(), default=0) / day.day.length,
        max(world.network.gossip_bytes.values(), default=0) / day.day.length,
        wrongly(world),
    )


def wrongly(world: World) -> int:
    """Times a head of those that tell the truth shunned a well node on hearsay."""
    ill = {
        world.node_number(k)
        for x in world.day.trouble
        if x.kind in NODE_FAULTS
        for k in targets(world.day, world.seed, x)[0]
    }
    liars = {h for x in world.day.trouble if x.kind == "head_lies" for h in targets(world.day, world.seed, x)[1]}
    told = {(h, o.node) for _, h, o in world.network.gossiped_health if not o.healthy and h not in liars}
    return len({x for x in told if x[1] not in ill})


def _play(args: tuple[Day, int]) -> Outcome:
    return play(*args)


def gain(seeds: int) -> None:
    runs = [(name, arm, day, seed) for name in GAIN for arm, day in arms(name).items() for seed in range(1, seeds + 1)]
    with ProcessPoolExecutor() as pool:
        rows = list(pool.map(_play, [(day, seed) for _, _, day, seed in runs]))
    print(
        "day, arm: mean worth, refused, within the limit, share of tries, nearest to a limit, broken; busiest head: "
        "datagrams, bytes a second"
    )
    for name, arm in dict.fromkeys((name, arm) for name, arm, _, _ in runs):
        mine = [row for row, run in zip(rows, runs, strict=True) if run[:2] == (name, arm)]
        within, asked = sum(r.within for r in mine), sum(r.asked for r in mine)
        broken = Counter(text.partition(":")[0] for r in mine for text in r.broken)
        print(
            f"{name}, {arm}: {sum(r.worth for r in mine) / len(mine):.4f}, {sum(r.refused for r in mine)}, {within}, "
            f"{within / asked:.4f}, {max(r.nearest for r in mine):.2f}, {dict(broken) or 'none'}; "
            f"{max(r.said for r in mine):.1f}, {max(r.bytes for r in mine):.0f}",
            flush=True,
        )


def bad_node(heads: int, nodes: int, rate: float, shared: bool, kind: str) -> Day:
    """Of the fleet one node stops answering for 6 s, or takes no connection."""
    day = load("days/shared-skew.hcl", Day, check)
    volumes = tuple(replace(v, heads=min(heads, 6), count=v.count * max(1, heads // 6)) for v in day.volumes)
    x = TroubleBlock("bad node", kind, 6.0, 6.0, 1 / nodes, 1.0)
    assert day.shared is not None
    block = day.shared if heads <= 12 else replace(day.shared, every=0.25)  # as the settings' default has it
    return replace(
        day,
        day=replace(day.day, heads=heads, nodes=nodes, peers=True),
        volumes=volumes,
        trouble=(x,),
        load=replace(day.load, rate=rate, skew=0.0),
        shared=block if shared else None,
    )


def left_in(day: Day, seed: int) -> tuple[float, float, float, float, int, float]:
    """Seconds until the bad node gets under a tenth of its share, and until it gets half of it again once it is well;
    worth; bytes a second of the busiest head; (head, well node) pairs shunned on hearsay; tries a second meanwhile."""
    world = World(day, seed, Scheduler)
    x = day.trouble[0]
    number = world.node_number(targets(day, seed, x)[0][0])
    sent: list[float] = []
    real = SimulatedGateway._send

    def send(self: SimulatedGateway, action: interface.Send) -> None:
        if self in world.gateways and action.node == number:
            sent.append(world.engine.now - BEGIN)
        real(self, action)

    SimulatedGateway._send = send  # type: ignore[method-assign]
    try:
        ops = world.run()
    finally:
        SimulatedGateway._send = real  # type: ignore[method-assign]
    usual = sum(2.0 <= t < x.at for t in sent) / (x.at - 2.0)
    window = max(0.5, 10 / usual)  # such that a tenth is one request

    def share(t: float) -> float:
        return sum(t <= s < t + window for s in sent) / window / usual

    over, steps = x.at + x.length, [k * 0.05 for k in range(200)]
    left = next((s for s in steps if s < x.length - window and share(x.at + s) < 0.1), x.length)
    back = next((s for s in steps if s < 5.0 and share(over + s) >= 0.5), 5.0)
    tries = sum(x.at + 3 <= t < over for t in sent) / (x.length - 3)
    return (
        left,
        back,
        count(day, ops).whole.share,
        max(world.network.gossip_bytes.values(), default=0) / day.day.length,
        wrongly(world),
        tries,
    )


def _left(args: tuple[Day, int]) -> tuple[float, float, float, float, int, float]:
    return left_in(*args)


def nodes(seeds: int) -> None:
    print(
        "fault, heads, nodes, arm: until a tenth of its share: mean, worst; until half of it again: mean, worst; "
        "worth; bytes a second of the busiest head; well nodes shunned by a head on hearsay; tries a second at it"
    )
    for kind in ("answers_lost", "refused"):
        for heads, count_, rate in ((6, 6, 70.0), (30, 15, 250.0), (190, 45, 900.0)):
            for shared in (False, True):
                day = bad_node(heads, count_, rate, shared, kind)
                with ProcessPoolExecutor() as pool:
                    rows = list(pool.map(_left, [(day, seed) for seed in range(1, seeds + 1)]))
                mean = [sum(r[k] for r in rows) / len(rows) for k in range(6)]
                print(
                    f"{kind}, {heads}, {count_}, {'shared' if shared else 'alone'}: {mean[0]:.2f}, "
                    f"{max(r[0] for r in rows):.2f}; {mean[1]:.2f}, {max(r[1] for r in rows):.2f}; {mean[2]:.4f}; "
                    f"{max(r[3] for r in rows):.0f}; {sum(r[4] for r in rows)}; {mean[5]:.1f}",
                    flush=True,
                )


def quorum(seeds: int) -> None:
    print(
        "fault, quorum, 190 heads: until a tenth of its share, until half of it again (means); worth; well nodes "
        "shunned"
    )
    for kind in ("answers_lost", "refused"):
        for part in (0.02, 0.05, 0.25):
            day = bad_node(190, 45, 900.0, True, kind)
            assert day.shared is not None
            day = replace(day, shared=replace(day.shared, quorum=part))
            with ProcessPoolExecutor() as pool:
                rows = list(pool.map(_left, [(day, seed) for seed in range(1, seeds + 1)]))
            left, back, worth = (sum(r[k] for r in rows) / len(rows) for k in range(3))
            print(f"{kind}, {part:g}: {left:.2f}, {back:.2f}; {worth:.4f}; {sum(r[4] for r in rows)}", flush=True)


def fleet(heads: int, nodes: int, rate: float, news: float, shared: bool) -> Day:
    """A fleet in which one head in five says that every node is dead, and `news` of the heads hear nothing of the
    others for 8 s; 1: nobody hears anybody."""
    day = load("days/shared-skew.hcl", Day, check)
    assert day.shared is not None
    volumes = tuple(replace(v, heads=min(heads, 6), count=v.count * max(1, heads // 6)) for v in day.volumes)
    troubles = [TroubleBlock("lies", "head_lies", 2.0, 14.0, 0.2, 0.0)] if heads >= 5 else []
    if news == 1:
        troubles.append(TroubleBlock("no news", "bad_net", 5.0, 8.0, 1.0, 0.0))
    elif news:
        troubles.append(TroubleBlock("cut", "heads_cut", 5.0, 8.0, news, every=60.0))
    return replace(
        day,
        day=replace(day.day, heads=heads, nodes=nodes),
        volumes=volumes,
        trouble=tuple(troubles),
        load=replace(day.load, rate=rate),
        shared=replace(day.shared, every=0.25) if shared else None,
    )


def scale(seeds: int) -> None:
    print(
        "heads, nodes, heads that hear nothing, arm: worth, refused within limits, share of tries, nearest to a "
        "limit, broken; well nodes shunned on hearsay by honest heads; bytes a second of the busiest head"
    )
    for heads, nodes_, rate in ((3, 6, 35.0), (30, 15, 350.0), (190, 45, 1200.0)):
        for news in (0.0, 0.33, 1.0):
            for shared in (False, True):
                day = fleet(heads, nodes_, rate, news, shared)
                with ProcessPoolExecutor() as pool:
                    rows = list(pool.map(_play, [(day, seed) for seed in range(1, seeds + 1)]))
                asked, within = sum(r.asked for r in rows), sum(r.within for r in rows)
                broken = Counter(text.partition(":")[0] for r in rows for text in r.broken)
                print(
                    f"{heads}, {nodes_}, {news:g}, {'shared' if shared else 'lending alone'}: "
                    f"{sum(r.worth for r in rows) / seeds:.4f}, {within}, {within / max(1, asked):.4f}, "
                    f"{max(r.nearest for r in rows):.2f}, {dict(broken) or 'none'}; {sum(r.shunned for r in rows)}; "
                    f"{max(r.bytes for r in rows):.0f}",
                    flush=True,
                )


def cost() -> None:
    """What sharing adds to a request in the head, beside what the module takes for one: microseconds, one thread."""
    from fawnspool.gossip.agent import GossipAgent
    from fawnspool.gossip.settings import GossipSettings
    from fawnspool.gossip.volume_participants import VolumeLimit

    agent, n = GossipAgent(GossipSettings(190), 3, 1, 1, 0.0), 200_000
    limit = VolumeLimit(6, 20.0, 60.0)
    served = interface.Outcome(1, 0, 101, 0.01, interface.Result.SERVED, True, 0, None, None)
    began = time.perf_counter()
    for k in range(n):
        agent.volumes.record_demand(k * 1e-3, k % 400, limit, 2.0)
        agent.volumes.record_used(k % 400, 2.0)
        agent.record_outcome(k * 1e-3, served)
    a_request = (time.perf_counter() - began) / n * 1e6
    began = time.perf_counter()
    for k in range(2000):
        agent.run_round(200.0 + k * 0.3, 45, [(101, 1)])
    a_look = (time.perf_counter() - began) / 2000 * 1e6
    day = load("days/shared-skew.hcl", Day, check)
    spent = 0.0
    real = Scheduler.handle

    def handle(self: Scheduler, now: float, event: interface.Event) -> list[interface.Action]:
        nonlocal spent
        start = time.perf_counter()
        actions = real(self, now, event)
        spent += time.perf_counter() - start
        return actions

    Scheduler.handle = handle  # type: ignore[method-assign]
    world = World(day, 1, Scheduler)
    world.run()
    Scheduler.handle = real  # type: ignore[method-assign]
    module = spent / len(world.ops) * 1e6
    print(f"sharing: {a_request:.1f} us a request, {a_look:.0f} us a look; the module: {module:.0f} us a request")


def main() -> None:
    what = sys.argv[1] if len(sys.argv) > 1 else "gain"
    numbers = [int(x) for x in sys.argv[2:]]
    if what == "gain":
        gain(*(numbers or [4]))
    elif what == "quorum":
        quorum(*(numbers or [3]))
    elif what == "scale":
        scale(*(numbers or [3]))
    elif what == "cost":
        cost()
    else:
        nodes(*(numbers or [5]))


if __name__ == "__main__":
    main()
