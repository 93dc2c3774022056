"""The HCL schema of `fawnspool serve`.

Names of blocks and fields are those of the files, where a gateway is a head.
"""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.config.schema import block, spec
from fawnspool.scheduling import interface

EFFECTS = tuple(e.value for e in interface.Idempotence)
GROUPS = tuple(g.value for g in interface.DeduplicationScope)


@dataclass(frozen=True)
class ClassBlock:
    """A request class. Clients name it in `Fawn-Class`."""

    name: str = spec(label=True)
    aim: float = spec(kind="time", low=0.001)
    deadline: float = spec(kind="time", low=0.002)
    worth: float = spec(1.0, low=0)
    late_worth: float = spec(0.1, low=0, high=1)
    effect: str = spec("safe", among=EFFECTS)
    group: str = spec("cell", among=GROUPS)
    window: float = spec(5.0, kind="time")
    ordered: bool = spec(False)

    def __post_init__(self) -> None:
        if self.deadline < self.aim:
            text = "deadline lies before aim; write a deadline of at least the aim"
            raise ValueError(text)


@dataclass(frozen=True)
class PlanBlock:
    """A plan; figures hold for each of its volumes, through all heads together, in units a second."""

    name: str = spec(label=True)
    rate: float = spec(low=0)
    reserve: float = spec(0.0, low=0)
    weight: float = spec(1.0, low=0.001)
    worth_factor: float = spec(1.0, low=0)
    limit: float = spec(0.0, low=0)
    limit_depth: float = spec(0.0, low=0)
    limit_slack: float = spec(0.0, low=0)


@dataclass(frozen=True)
class VolumeBlock:
    """A volume, its plan and the number of heads its requests come through."""

    name: str = spec(label=True)
    plan: str = spec()
    heads: int = spec(1, low=1)


@dataclass(frozen=True)
class PeerBlock:
    """Another head, by its number."""

    name: str = spec(label=True)
    address: str = spec(kind="address")


@dataclass(frozen=True)
class ListBlock:
    """The node list service. mode "push": changes come by themselves; "ask": only after a call."""

    address: str = spec("", kind="address")
    mode: str = spec("push", among=("push", "ask"))
    must_ask_in: float = spec(10.0, kind="time")
    call_timeout: float = spec(2.0, kind="time", low=0.01)


@dataclass(frozen=True)
class CatalogueBlock:
    """The map service: where it is, and how it may be called."""

    address: str = spec("", kind="address")
    call_timeout: float = spec(0.5, kind="time", low=0.01)
    watch: bool = spec(True)  # False: the map grows by questions alone, for comparison
    peak: float = spec(200.0, low=1)  # calls a second that the service bears from all heads together


@dataclass(frozen=True)
class NodesBlock:
    """What holds for the nodes. cold_*: the rule for cold nodes; connections: cap of one head at one node."""

    zones: tuple[str, ...] = spec(lambda: ("zone-a",))
    kinds: tuple[str, ...] = spec(lambda: ("node",))
    cells: int = spec(3, low=1)
    drain_grace: float = spec(0.25, kind="time")
    cold_fall: float = spec(2.0, kind="time", low=0.001)
    cold_multiple: float = spec(2.0, low=1)
    cold_capacity: float = spec(0.25, low=0.001, high=1)
    cold_warm_after: float = spec(15.0, kind="time")
    cold_units: float = spec(16.0, low=0)
    connections: int = spec(64, low=1)
    connect_timeout: float = spec(0.25, kind="time", low=0.001)
    idle_close: float = spec(15.0, kind="time")
    load_fields: tuple[str, ...] = spec(lambda: ("queue",))


@dataclass(frozen=True)
class UnitsBlock:
    """How bytes count: one unit for each `bytes` begun, `largest` at most."""

    bytes: int = spec(65536, kind="size", low=1)
    mean: float = spec(2.0, low=0.001)
    largest: int = spec(8, low=1)


@dataclass(frozen=True)
class AttemptsBlock:
    """Bounds on the attempts of a request, and the budget of retries."""

    most: int = spec(4, low=1)
    second_copies: bool = spec(False)
    cancel: bool = spec(True)
    extra_free: float = spec(-1.0)  # under 0: no budget
    extra_ratio: float = spec(0.0, low=0)
    extra_span: float = spec(10.0, kind="time")
    settle_after_doubt: float = spec(0.5, kind="time")


@dataclass(frozen=True)
class ClientsBlock:
    """The clients' side. answer_margin: how long before a client's patience ends its answer leaves at the
    latest; request_timeout: how long a request's head or the next piece of its body may take."""

    connections: int = spec(4096, low=1)
    open_requests: int = spec(20_000, low=1)
    answer_margin: float = spec(0.02, kind="time")
    idle_close: float = spec(60.0, kind="time", low=0.01)
    request_timeout: float = spec(10.0, kind="time", low=0.01)
    header_bytes: int = spec(16384, kind="size", low=256)
    headers: int = spec(64, low=4)
    largest_body: int = spec(8 << 30, kind="size")
    replay_bytes: int = spec(262_144, kind="size")  # of a body kept for a further attempt
    max_retry_after: float = spec(1.0, kind="time")
    turn: int = spec(16, low=1)  # requests begun in one turn of the loop, at most


@dataclass(frozen=True)
class ServiceBlock:
    """How service counts; the module weighs requests by it."""

    share_worth: float = spec(0.3, low=0, high=1)
    spare_worth: float = spec(0.1, low=0, high=1)
    meter: float = spec(0.0, kind="time")  # period of the volume meter; 0: none
    tells_others: bool = spec(True)


@dataclass(frozen=True)
class DutyBlock:
    """A kind of duty; the label is `drain` or `compare`. shards: it is divided into so many, each held by one head.
    moves, bytes: a second, of the whole fleet. busy: requests that a head has in hand from which on it moves nothing.
    every: of `compare`, between two comparisons."""

    name: str = spec(label=True)
    shards: int = spec(8, low=1, high=1024)
    moves: float = spec(50.0, low=0.01)
    bytes: int = spec(64 << 20, kind="size", low=1)
    busy: int = spec(64, low=1)
    every: float = spec(30.0, kind="time", low=0.1)


@dataclass(frozen=True)
class DutiesBlock:
    """Duties that one head holds at a time. voters: numbers of the heads that vote, the same at all heads, as are
    lease, drift and the shards. drift: bound on how far any clock's rate is off: oscillators and what disciplines
    them stay under 0.001 together, so 0.01 leaves ten times that. clock_rate: for drills, this head's clock runs so
    many times as fast."""

    voters: tuple[int, ...] = spec()
    lease: float = spec(2.0, kind="time", low=0.2)
    drift: float = spec(0.01, low=0, high=0.2)
    most: int = spec(64, low=1)
    sync: bool = spec(True)  # votes are forced to the disk before they are said
    record: str = spec("")  # file for what this head held; empty: none
    clock_rate: float = spec(1.0, low=0.1, high=10)
    duty: tuple[DutyBlock, ...] = block(DutyBlock, many=True)


@dataclass(frozen=True)
class SharedBlock:
    """What heads tell each other of volumes and nodes, the same at all heads. every: between two looks at what there
    is to say; fades: after so long what was heard of a node counts no more; shun: part of the nodes that a head may
    shun on others' evidence, at most; quorum: part of all heads that must have found one bad, more than may be
    wrong."""

    every: float = spec(0.25, kind="time", low=0.02)
    fades: float = spec(4.0, kind="time", low=0.5)
    shun: float = spec(0.25, low=0, high=0.5)
    quorum: float = spec(0.25, low=0.01, high=1)


@dataclass(frozen=True)
class EmbeddedBlock:
    """Stand-in nodes inside the head's own process, for a first run and for trying things out."""

    nodes: int = spec(3, low=1, high=64)
    cores: int = spec(4, low=1)
    unit_time: float = spec(0.0, kind="time")  # simulated work of one unit; 0: as fast as the disk goes


@dataclass(frozen=True)
class HeadBlock:
    """The gateway itself: its place in the fleet, its files and its logs."""

    listen: str = spec("127.0.0.1:8480", kind="address")
    data: str = spec("data")
    number: int = spec(0, low=0)
    heads: int = spec(1, low=1)
    zone: str = spec("zone-a")
    seed: int = spec(1, low=0)
    tick: float = spec(0.002, kind="time", low=0.0001)  # how late the head's loop may run, usually
    policy: str = spec("module", among=("module", "pass"))
    record: str = spec("")  # file for the module's events and actions; empty: none
    log: str = spec("console", among=("console", "json", "none"))
    trace: str = spec("")  # file for traces, a JSON line a span; empty: none
    trace_share: float = spec(0.0, low=0, high=1)
    peer_listen: str = spec("", kind="address")


@dataclass(frozen=True)
class HeadConfig:
    """A whole file of `fawnspool serve`."""

    head: HeadBlock = block(HeadBlock)
    class_: tuple[ClassBlock, ...] = block(ClassBlock, many=True)
    plan: tuple[PlanBlock, ...] = block(PlanBlock, many=True)
    volume: tuple[VolumeBlock, ...] = block(VolumeBlock, many=True)
    peer: tuple[PeerBlock, ...] = block(PeerBlock, many=True)
    list: ListBlock = block(ListBlock)
    catalogue: CatalogueBlock = block(CatalogueBlock)
    nodes: NodesBlock = block(NodesBlock)
    units: UnitsBlock = block(UnitsBlock)
    attempts: AttemptsBlock = block(AttemptsBlock)
    clients: ClientsBlock = block(ClientsBlock)
    service: ServiceBlock = block(ServiceBlock)
    embedded: EmbeddedBlock | None = block(EmbeddedBlock, optional=True)
    duties: DutiesBlock | None = block(DutiesBlock, optional=True)
    shared: SharedBlock | None = block(SharedBlock, optional=True)
