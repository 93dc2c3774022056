"""The form of a day file (`days/*.hcl`)."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.config.checks import check_gossip, check_leases
from fawnspool.config.head import (
    AttemptsBlock,
    ClassBlock,
    ClientsBlock,
    DutiesBlock,
    NodesBlock,
    PlanBlock,
    ServiceBlock,
    SharedBlock,
    UnitsBlock,
)
from fawnspool.config.schema import Reader, block, spec

NODE_FAULTS = (
    "slow",
    "neighbour",
    "pauses",
    "crash",
    "preempt",
    "ageing",
    "answers_lost",
    "resets",
    "refused",
    "half_answers",
    "garbled",
    "wrong_lengths",
    "hang_ups",
    "node_errors",
    "wrong_bytes",
    "unlisted_restart",
)
LIST_FAULTS = ("list_gone", "list_late")
TRAFFIC_FAULTS = ("burst", "plan_burst", "hot_volumes", "scan", "lead_moves", "impatient", "leavers")
HEAD_FAULTS = ("head_roll", "head_stall", "head_kill")
MAP_FAULTS = ("moves", "map_gone")
LINK_FAULTS = ("heads_cut", "heads_deaf", "heads_mute", "bad_net", "head_lies")
DUTY_FAULTS = (
    "drain",
    "duty_kill",
    "duty_stall",
    "duty_cut",
    "duty_one_way",
    "duty_nodes",
    "duty_voters",
    "duty_lost",
    "duty_net",
    "duty_quiet",
    "duty_term",
)
KINDS = DUTY_FAULTS + LINK_FAULTS + NODE_FAULTS + LIST_FAULTS + TRAFFIC_FAULTS + HEAD_FAULTS + MAP_FAULTS


@dataclass(frozen=True)
class DayBlock:
    title: str = spec()
    length: float = spec(kind="time", low=1)
    heads: int = spec(1, low=1, high=1024)
    nodes: int = spec(3, low=1, high=256)
    seed: int = spec(1)
    list_mode: str = spec("push", among=("push", "ask"))
    map_watch: bool = spec(True)  # False: heads learn of a place by a miss only, for comparison
    peers: bool = spec(False)  # heads may send each other datagrams
    notice: float = spec(0.5, kind="time")  # how long the list takes to hear of a node's death


@dataclass(frozen=True)
class FleetBlock:
    """What the nodes are like; the rule for cold nodes stands in `nodes`."""

    cores: int = spec(2, low=1)
    unit_time: float = spec(0.02, kind="time")
    slow_share: float = spec(0.0, low=0, high=1)  # of nodes that are half as fast
    room: int = spec(64, low=0)
    cold_from: float = spec(0.3, low=0.01, high=1)
    warm_after: float = spec(8.0, kind="time")
    seek_saved: float = spec(0.5, low=0, high=1)
    deferred: float = spec(0.3, low=0, high=1)
    zones: int = spec(1, low=1)


@dataclass(frozen=True)
class TrafficBlock:
    """One stream of requests; its label is the class."""

    name: str = spec(label=True)
    share: float = spec(low=0)
    writes: bool = spec(False)
    size: int = spec(65536, kind="size")  # of an object, in the mean
    run: int = spec(1, low=1)  # requests of one extent in a row, at most
    fresh: float = spec(0.0, low=0, high=1)  # of reads: objects written in the seconds before
    ranged: float = spec(0.0, low=0, high=1)  # of reads: a part of the object only


@dataclass(frozen=True)
class LoadBlock:
    rate: float = spec(low=0.1)  # first tries a second, through all heads
    retries: int = spec(1, low=0, high=5)
    backoff: float = spec(0.1, kind="time")
    skew: float = spec(1.0, low=0)  # how unevenly a volume uses its heads
    lead_every: float = spec(8.0, kind="time")  # how often a volume's busiest head changes
    objects: int = spec(12, low=1)  # objects a volume holds from the start


@dataclass(frozen=True)
class VolumesBlock:
    """Volumes of one plan; the label is the plan."""

    name: str = spec(label=True)
    count: int = spec(low=1)
    heads: int = spec(1, low=1)
    nodes: int = spec(2, low=1)


@dataclass(frozen=True)
class TroubleBlock:
    """Something that goes wrong; the label is a name for people. What `part`, `size`, `every` and `down` mean goes
    by kind: docs/days.md has the table."""

    name: str = spec(label=True)
    kind: str = spec(among=KINDS)
    at: float = spec(kind="time")
    length: float = spec(1.0, kind="time")
    part: float = spec(0.2, low=0, high=1)
    size: float = spec(2.0, low=0)
    every: float = spec(1.0, kind="time")
    down: float = spec(2.0, kind="time")
    plan: str = spec("")


@dataclass(frozen=True)
class Day:
    """A whole day file."""

    day: DayBlock = block(DayBlock)
    class_: tuple[ClassBlock, ...] = block(ClassBlock, many=True)
    plan: tuple[PlanBlock, ...] = block(PlanBlock, many=True)
    volumes: tuple[VolumesBlock, ...] = block(VolumesBlock, many=True)
    traffic: tuple[TrafficBlock, ...] = block(TrafficBlock, many=True)
    load: LoadBlock = block(LoadBlock)
    fleet: FleetBlock = block(FleetBlock)
    nodes: NodesBlock = block(NodesBlock)
    units: UnitsBlock = block(UnitsBlock)
    attempts: AttemptsBlock = block(AttemptsBlock)
    clients: ClientsBlock = block(ClientsBlock)
    service: ServiceBlock = block(ServiceBlock)
    duties: DutiesBlock | None = block(DutiesBlock, optional=True)
    shared: SharedBlock | None = block(SharedBlock, optional=True)
    trouble: tuple[TroubleBlock, ...] = block(TroubleBlock, many=True)

    @property
    def title(self) -> str:
        return self.day.title

    def volume_names(self) -> list[tuple[str, VolumesBlock]]:
        """All volumes, in order, with the block each comes from."""
        return [(f"{v.name}-{k}", v) for v in self.volumes for k in range(v.count)]

    @property
    def linked(self) -> bool:
        """Do heads reach each other through links that a drill can cut?"""
        return self.duties is not None or self.shared is not None

    def kinds(self) -> list[str]:
        return sorted({t.kind for t in self.trouble})

    def overlaps(self) -> list[tuple[str, str]]:
        """Pairs of troubles of different kinds that are on at the same time."""
        spans = [(t.at, t.at + max(t.length, 0.0), t) for t in self.trouble]
        return [
            (a[2].name, b[2].name)
            for k, a in enumerate(spans)
            for b in spans[k + 1 :]
            if a[2].kind != b[2].kind and a[0] < b[1] and b[0] < a[1]
        ]


def check(day: Day, reader: Reader) -> None:
    """What only the document as a whole shows."""
    classes, plans = {c.name for c in day.class_}, {p.name: p for p in day.plan}
    for name, rows in (("class", day.class_), ("plan", day.plan), ("volumes", day.volumes), ("traffic", day.traffic)):
        if not rows:
            reader.wrong(0, name, f'at least one is needed: {name} "name" {{ ... }}')
    for t in day.traffic:
        if t.name not in classes:
            reader.wrong(t, f"traffic.{t.name}", f"the label is a class: {', '.join(sorted(classes))}")
    for v in day.volumes:
        if v.name not in plans:
            reader.wrong(v, f"volumes.{v.name}", f"the label is a plan: {', '.join(sorted(plans))}")
            continue
        if v.heads > day.day.heads:
            reader.wrong(v, f"volumes.{v.name}.heads", f"there are only {day.day.heads} heads (day.heads)")
        if v.nodes > day.day.nodes:
            reader.wrong(v, f"volumes.{v.name}.nodes", f"there are only {day.day.nodes} nodes (day.nodes)")
        p = plans[v.name]
        if p.limit and p.limit_depth < day.units.largest * v.heads:
            reader.wrong(
                p,
                f"plan.{p.name}.limit_depth",
                f"through {v.heads} heads it is {day.units.largest * v.heads} at least, or the largest "
                "request never fits",
            )
    if day.duties is not None:
        check_leases(day.duties, day.day.heads, reader)
        if not day.day.peers:
            reader.wrong(day.duties, "duties", "heads speak about them by datagrams: set day.peers")
    if day.shared is not None:
        check_gossip(day.shared, reader)
        if not day.day.peers:
            reader.wrong(day.shared, "shared", "heads speak by datagrams: set day.peers")
    for x in day.trouble:
        if x.kind in LINK_FAULTS and not day.linked:
            reader.wrong(x, f"trouble.{x.name}.kind", f"{x.kind} needs a duties or a shared block")
        if x.kind in DUTY_FAULTS and day.duties is None:
            reader.wrong(x, f"trouble.{x.name}.kind", f"{x.kind} needs a duties block")
        if x.at >= day.day.length:
            reader.wrong(x, f"trouble.{x.name}.at", f"lies behind the day's end at {day.day.length:g} s")
        if x.kind == "plan_burst" and x.plan not in plans:
            reader.wrong(x, f"trouble.{x.name}.plan", f"expected one of {', '.join(sorted(plans))}, found {x.plan!r}")
    if day.fleet.cold_from < day.nodes.cold_capacity:
        reader.wrong(day.fleet, "fleet.cold_from", "lies under nodes.cold_capacity: heads are promised more")
    if day.fleet.warm_after > day.nodes.cold_warm_after:
        reader.wrong(day.fleet, "fleet.warm_after", "lies over nodes.cold_warm_after: heads are promised less")
    power = day.fleet.cores / day.fleet.unit_time * day.nodes.cold_capacity if day.fleet.unit_time else float("inf")
    if day.nodes.cold_units > day.nodes.cold_multiple * power * day.nodes.cold_fall:
        reader.wrong(
            day.nodes,
            "nodes.cold_units",
            f"more than a cold node surely bears: at most {day.nodes.cold_multiple * power * day.nodes.cold_fall:g}",
        )
