"""What only a gateway's settings as a whole show: names that must be known, figures that must fit each other."""

from __future__ import annotations

from fawnspool.config.head import DutiesBlock, HeadConfig, PlanBlock, SharedBlock, VolumeBlock
from fawnspool.config.schema import Reader

ROLE_KINDS = ("drain", "compare")
ACCEPTOR_COUNTS = (3, 5, 7)  # an even number bears no more losses than the odd one below it
MIN_LOOKS_OF_EVIDENCE = 4  # looks in which evidence must not fade on its way to the others


def check_gateway(config: HeadConfig, reader: Reader) -> None:
    """Check a whole file of `fawnspool serve`."""
    if not config.class_:
        reader.wrong(0, "class", 'at least one is needed: class "name" { ... }')
    _check_volumes(config, reader)
    for plan in config.plan:
        _check_plan(plan, reader)
    _check_place_in_fleet(config, reader)
    _check_leases(config, reader)
    _check_gossip(config, reader)
    _check_services(config, reader)


def check_leases(duties: DutiesBlock, gateway_count: int, reader: Reader) -> None:
    """Check a `duties` block for a fleet of so many gateways."""
    acceptors = duties.voters
    if len(set(acceptors)) not in ACCEPTOR_COUNTS or len(set(acceptors)) != len(acceptors):
        reader.wrong(duties, "duties.voters", f"expected 3, 5 or 7 different heads, found {list(acceptors)}")
    elif strangers := [number for number in acceptors if not 0 <= number < gateway_count]:
        last = gateway_count - 1
        text = f"there is no head {strangers[0]}: numbers lie from 0 to heads - 1 = {last}"
        reader.wrong(duties, "duties.voters", text)
    if not duties.duty:
        reader.wrong(duties, "duties.duty", f'at least one is needed: duty "{ROLE_KINDS[0]}" {{ ... }}')
    for row in duties.duty:
        if row.name not in ROLE_KINDS:
            reader.wrong(row, f"duties.duty.{row.name}", f"the label is one of {', '.join(ROLE_KINDS)}")
    roles = sum(row.shards for row in duties.duty)
    most = duties.most * gateway_count
    if roles > most:
        reader.wrong(duties, "duties.most", f"{gateway_count} heads hold {most} duties at most, there are {roles}")


def check_gossip(shared: SharedBlock, reader: Reader) -> None:
    """Check a `shared` block."""
    if shared.fades < MIN_LOOKS_OF_EVIDENCE * shared.every:
        text = (
            f"{shared.fades:g} s is under four looks of {shared.every:g} s: "
            "evidence would fade on its way to the others"
        )
        reader.wrong(shared, "shared.fades", text)


def _check_volumes(config: HeadConfig, reader: Reader) -> None:
    plans = {plan.name: plan for plan in config.plan}
    for volume in config.volume:
        plan = plans.get(volume.plan)
        if plan is None:
            text = f"expected one of {', '.join(plans) or '(no plan is given)'}, found {volume.plan!r}"
            reader.wrong(volume, f"volume.{volume.name}.plan", text)
        else:
            _check_burst(volume, plan, config.units.largest, reader)
        if volume.heads > config.head.heads:
            text = f"there are only {config.head.heads} heads (head.heads)"
            reader.wrong(volume, f"volume.{volume.name}.heads", text)


def _check_burst(volume: VolumeBlock, plan: PlanBlock, largest_units: int, reader: Reader) -> None:
    needed = largest_units * volume.heads
    if plan.limit and plan.limit_depth < needed:
        text = (
            f"plan {plan.name!r} has limit_depth {plan.limit_depth:g}; through {volume.heads} heads "
            f"it needs {needed} or the largest request never fits"
        )
        reader.wrong(volume, f"volume.{volume.name}.heads", text)


def _check_plan(plan: PlanBlock, reader: Reader) -> None:
    if not plan.limit:
        return
    if plan.limit_depth <= 0:
        reader.wrong(plan, f"plan.{plan.name}.limit_depth", "a limit needs a depth above 0")
    if plan.reserve > plan.limit:
        reader.wrong(plan, f"plan.{plan.name}.reserve", f"lies above the limit of {plan.limit:g}")


def _check_place_in_fleet(config: HeadConfig, reader: Reader) -> None:
    head, zones = config.head, config.nodes.zones
    if head.zone not in zones:
        text = f"expected one of nodes.zones ({', '.join(zones)}), found {head.zone!r}"
        reader.wrong(head, "head.zone", text)
    if head.number >= head.heads:
        reader.wrong(head, "head.number", f"lies from 0 to heads - 1 = {head.heads - 1}")
    for peer in config.peer:
        if not peer.name.isdigit() or int(peer.name) >= head.heads:
            reader.wrong(peer, f"peer.{peer.name}", "the label is the peer's number, under head.heads")


def _check_leases(config: HeadConfig, reader: Reader) -> None:
    duties, head = config.duties, config.head
    if duties is None:
        return
    check_leases(duties, head.heads, reader)
    if config.embedded is not None:
        reader.wrong(duties, "duties", "a head with embedded nodes shares them with nobody: nothing to hold")
    known = {int(peer.name) for peer in config.peer if peer.name.isdigit()} | {head.number}
    strangers = sorted(set(duties.voters) - known)
    if strangers:
        reader.wrong(duties, "duties.voters", f"head {strangers[0]} votes and has no peer block here")
    if not head.peer_listen:
        reader.wrong(head, "head.peer_listen", "is missing: heads speak about duties by datagrams")


def _check_gossip(config: HeadConfig, reader: Reader) -> None:
    if config.shared is None:
        return
    check_gossip(config.shared, reader)
    if not config.head.peer_listen or not config.peer:
        reader.wrong(config.shared, "shared", "heads lend by datagrams: set head.peer_listen and peer blocks")


def _check_services(config: HeadConfig, reader: Reader) -> None:
    if config.embedded is not None:
        return
    for name, value in (("list.address", config.list.address), ("catalogue.address", config.catalogue.address)):
        if not value:
            reader.wrong(0, name, "is missing (only a head with an embedded block runs without)")
