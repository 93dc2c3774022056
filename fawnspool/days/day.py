"""The form of a day file (`days/*.hcl`); times are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import combinations

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
from fawnspool.config.schema import block, spec
from fawnspool.days.fault_kinds import FAULT_KINDS


@dataclass(frozen=True)
class DayBlock:
    """The day as a whole, and the size of its fleet."""

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
    """What the nodes are like; the rule for nodes that warm up stands in `nodes`."""

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
    """Traffic in all, and how its clients behave."""

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
    """A scripted fault; the label is a name for people.

    What `part`, `size`, `every` and `down` mean depends on the kind: docs/days.md has the table.
    """

    name: str = spec(label=True)
    kind: str = spec(among=FAULT_KINDS)
    at: float = spec(kind="time")
    length: float = spec(1.0, kind="time")
    part: float = spec(0.2, low=0, high=1)
    size: float = spec(2.0, low=0)
    every: float = spec(1.0, kind="time")
    down: float = spec(2.0, kind="time")
    plan: str = spec("")

    def is_active(self, time: float) -> bool:
        """Whether the fault is on, so many seconds after the day's start."""
        return self.at <= time < self.at + self.length


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
        """The day's title, for people."""
        return self.day.title

    @property
    def linked(self) -> bool:
        """Whether gateways reach each other through links that a drill can cut."""
        return self.duties is not None or self.shared is not None

    def volume_names(self) -> list[tuple[str, VolumesBlock]]:
        """Return all volumes, in order, with the block each comes from."""
        return [(f"{block.name}-{index}", block) for block in self.volumes for index in range(block.count)]

    def kinds(self) -> list[str]:
        """Return the kinds of the scripted faults, sorted."""
        return sorted({trouble.kind for trouble in self.trouble})

    def overlaps(self) -> list[tuple[str, str]]:
        """Return pairs of faults of different kinds that are on at the same time."""
        return [
            (first.name, second.name)
            for first, second in combinations(self.trouble, 2)
            if first.kind != second.kind and _overlap(first, second)
        ]


def _overlap(first: TroubleBlock, second: TroubleBlock) -> bool:
    first_end = first.at + max(first.length, 0.0)
    second_end = second.at + max(second.length, 0.0)
    return first.at < second_end and second.at < first_end
