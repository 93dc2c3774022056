"""The settings of one head: what an operator writes, and the module's own `Settings` made from it."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.config.schema import Reader, block, spec
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
            raise ValueError("deadline lies before aim; write a deadline of at least the aim")


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


KINDS_OF_DUTY = ("drain", "compare")
VOTERS = (3, 5, 7)  # an even number bears no more losses than the odd one below it


def check_duties(d: DutiesBlock, heads: int, reader: Reader) -> None:
    """What a `duties` block must be among so many heads."""
    if len(set(d.voters)) not in VOTERS or len(set(d.voters)) != len(d.voters):
        reader.wrong(d, "duties.voters", f"expected 3, 5 or 7 different heads, found {list(d.voters)}")
    elif bad := [v for v in d.voters if not 0 <= v < heads]:
        reader.wrong(d, "duties.voters", f"there is no head {bad[0]}: numbers lie from 0 to heads - 1 = {heads - 1}")
    if not d.duty:
        reader.wrong(d, "duties.duty", f'at least one is needed: duty "{KINDS_OF_DUTY[0]}" {{ ... }}')
    for row in d.duty:
        if row.name not in KINDS_OF_DUTY:
            reader.wrong(row, f"duties.duty.{row.name}", f"the label is one of {', '.join(KINDS_OF_DUTY)}")
    shards = sum(row.shards for row in d.duty)
    if shards > d.most * heads:
        reader.wrong(d, "duties.most", f"{heads} heads hold {d.most * heads} duties at most, there are {shards}")


def check_shared(s: SharedBlock, reader: Reader) -> None:
    if s.fades < 4 * s.every:
        reader.wrong(
            s,
            "shared.fades",
            f"{s.fades:g} s is under four looks of {s.every:g} s: evidence would fade on its way to the others",
        )


def check(config: HeadConfig, reader: Reader) -> None:
    """What only the document as a whole shows: names that must be known, figures that must fit."""
    plans = {p.name: p for p in config.plan}
    if not config.class_:
        reader.wrong(0, "class", 'at least one is needed: class "name" { ... }')
    for volume in config.volume:
        if volume.plan not in plans:
            reader.wrong(
                volume,
                f"volume.{volume.name}.plan",
                f"expected one of {', '.join(plans) or '(no plan is given)'}, found {volume.plan!r}",
            )
        elif (plan := plans[volume.plan]).limit and plan.limit_depth < config.units.largest * volume.heads:
            reader.wrong(
                volume,
                f"volume.{volume.name}.heads",
                f"plan {plan.name!r} has limit_depth {plan.limit_depth:g}; through {volume.heads} heads "
                f"it needs {config.units.largest * volume.heads} or the largest request never fits",
            )
        if volume.heads > config.head.heads:
            reader.wrong(
                volume, f"volume.{volume.name}.heads", f"there are only {config.head.heads} heads (head.heads)"
            )
    for p in config.plan:
        if p.limit and p.limit_depth <= 0:
            reader.wrong(p, f"plan.{p.name}.limit_depth", "a limit needs a depth above 0")
        if p.limit and p.reserve > p.limit:
            reader.wrong(p, f"plan.{p.name}.reserve", f"lies above the limit of {p.limit:g}")
    if config.head.zone not in config.nodes.zones:
        reader.wrong(
            config.head,
            "head.zone",
            f"expected one of nodes.zones ({', '.join(config.nodes.zones)}), found {config.head.zone!r}",
        )
    if config.head.number >= config.head.heads:
        reader.wrong(config.head, "head.number", f"lies from 0 to heads - 1 = {config.head.heads - 1}")
    for peer in config.peer:
        if not peer.name.isdigit() or int(peer.name) >= config.head.heads:
            reader.wrong(peer, f"peer.{peer.name}", "the label is the peer's number, under head.heads")
    if config.duties is not None:
        check_duties(config.duties, config.head.heads, reader)
        if config.embedded is not None:
            reader.wrong(config.duties, "duties", "a head with embedded nodes shares them with nobody: nothing to hold")
        known = {int(p.name) for p in config.peer if p.name.isdigit()} | {config.head.number}
        if missing := sorted(set(config.duties.voters) - known):
            reader.wrong(config.duties, "duties.voters", f"head {missing[0]} votes and has no peer block here")
        if not config.head.peer_listen:
            reader.wrong(config.head, "head.peer_listen", "is missing: heads speak about duties by datagrams")
    if config.shared is not None:
        check_shared(config.shared, reader)
        if not config.head.peer_listen or not config.peer:
            reader.wrong(config.shared, "shared", "heads lend by datagrams: set head.peer_listen and peer blocks")
    if config.embedded is None:
        for name, value in (("list.address", config.list.address), ("catalogue.address", config.catalogue.address)):
            if not value:
                reader.wrong(0, name, "is missing (only a head with an embedded block runs without)")


def module_settings(c: HeadConfig) -> interface.Settings:
    """The decision module's settings. Numbers are passed on as written; nothing is chosen here."""
    return interface.Settings(
        classes=tuple(
            interface.RequestClass(
                name=k.name,
                latency_objective_s=k.aim,
                deadline_s=k.deadline,
                priority_weight=k.worth,
                late_priority_weight=k.late_worth,
                idempotence=interface.Idempotence(k.effect),
                deduplication_scope=interface.DeduplicationScope(k.group),
                deduplication_window_s=k.window,
                writes=False,
                stream=False,
                ordered=k.ordered,
            )
            for k in c.class_
        ),
        plans=tuple(
            interface.Plan(p.name, p.rate, p.reserve, p.weight, p.worth_factor, p.limit, p.limit_depth, p.limit_slack)
            for p in c.plan
        ),
        gateway_count=c.head.heads,
        gateway_id=c.head.number,
        zone=c.nodes.zones.index(c.head.zone),
        polls_endpoints=c.list.mode == "ask",
        poll_interval_s=c.list.must_ask_in,
        drain_grace_s=c.nodes.drain_grace,
        answer_slack_s=c.clients.answer_margin,
        overload_window_s=c.nodes.cold_fall,
        overload_multiple=c.nodes.cold_multiple,
        initial_capacity_fraction=c.nodes.cold_capacity,
        warm_up_s=c.nodes.cold_warm_after,
        slow_start_units=c.nodes.cold_units,
        mean_units=c.units.mean,
        largest_units=float(c.units.largest),
        shard_count=c.nodes.cells,
        within_share_priority_weight=c.service.share_worth,
        spare_priority_weight=c.service.spare_worth,
        meter_period_s=c.service.meter,
        reports_use_by_others=c.service.tells_others,
        max_attempts=c.attempts.most,
        hedging=c.attempts.second_copies,
        can_cancel=c.attempts.cancel,
        can_probe=True,
        has_peer_messages=bool(c.peer),
        sends_retry_after=True,
        max_retry_after_s=c.clients.max_retry_after,
        connect_timeout_s=c.nodes.connect_timeout,
        clock_tick_s=c.head.tick,
        retry_budget_minimum=None if c.attempts.extra_free < 0 else c.attempts.extra_free,
        retry_budget_ratio=c.attempts.extra_ratio,
        retry_budget_window_s=c.attempts.extra_span,
        settle_after_ambiguity_s=c.attempts.settle_after_doubt,
        load_report_fields=c.nodes.load_fields,
    )
