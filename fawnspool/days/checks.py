"""What only a day file as a whole shows: labels that must be known, figures that must fit each other."""

from __future__ import annotations

from math import inf

from fawnspool.config.checks import check_gossip, check_leases
from fawnspool.config.head import PlanBlock
from fawnspool.config.schema import Reader
from fawnspool.days.day import Day, TroubleBlock, VolumesBlock
from fawnspool.days.fault_kinds import LEASE_FAULTS, LINK_FAULTS


def check_day(day: Day, reader: Reader) -> None:
    """Check a whole day file."""
    _check_presence(day, reader)
    _check_traffic(day, reader)
    for volumes in day.volumes:
        _check_volumes(day, volumes, reader)
    _check_leases(day, reader)
    _check_gossip(day, reader)
    for trouble in day.trouble:
        _check_trouble(day, trouble, reader)
    _check_cold_starts(day, reader)


def _check_presence(day: Day, reader: Reader) -> None:
    for name, blocks in (("class", day.class_), ("plan", day.plan), ("volumes", day.volumes), ("traffic", day.traffic)):
        if not blocks:
            reader.wrong(0, name, f'at least one is needed: {name} "name" {{ ... }}')


def _check_traffic(day: Day, reader: Reader) -> None:
    classes = {block.name for block in day.class_}
    for stream in day.traffic:
        if stream.name not in classes:
            reader.wrong(stream, f"traffic.{stream.name}", f"the label is a class: {', '.join(sorted(classes))}")


def _check_volumes(day: Day, volumes: VolumesBlock, reader: Reader) -> None:
    plans = {plan.name: plan for plan in day.plan}
    place = f"volumes.{volumes.name}"
    if volumes.name not in plans:
        reader.wrong(volumes, place, f"the label is a plan: {', '.join(sorted(plans))}")
        return
    if volumes.heads > day.day.heads:
        reader.wrong(volumes, f"{place}.heads", f"there are only {day.day.heads} heads (day.heads)")
    if volumes.nodes > day.day.nodes:
        reader.wrong(volumes, f"{place}.nodes", f"there are only {day.day.nodes} nodes (day.nodes)")
    _check_limit(day, volumes, plans[volumes.name], reader)


def _check_limit(day: Day, volumes: VolumesBlock, plan: PlanBlock, reader: Reader) -> None:
    least = day.units.largest * volumes.heads
    if plan.limit and plan.limit_depth < least:
        text = f"through {volumes.heads} heads it is {least} at least, or the largest request never fits"
        reader.wrong(plan, f"plan.{plan.name}.limit_depth", text)


def _check_leases(day: Day, reader: Reader) -> None:
    if day.duties is None:
        return
    check_leases(day.duties, day.day.heads, reader)
    if not day.day.peers:
        reader.wrong(day.duties, "duties", "heads speak about them by datagrams: set day.peers")


def _check_gossip(day: Day, reader: Reader) -> None:
    if day.shared is None:
        return
    check_gossip(day.shared, reader)
    if not day.day.peers:
        reader.wrong(day.shared, "shared", "heads speak by datagrams: set day.peers")


def _check_trouble(day: Day, trouble: TroubleBlock, reader: Reader) -> None:
    place = f"trouble.{trouble.name}"
    if trouble.kind in LINK_FAULTS and not day.linked:
        reader.wrong(trouble, f"{place}.kind", f"{trouble.kind} needs a duties or a shared block")
    if trouble.kind in LEASE_FAULTS and day.duties is None:
        reader.wrong(trouble, f"{place}.kind", f"{trouble.kind} needs a duties block")
    if trouble.at >= day.day.length:
        reader.wrong(trouble, f"{place}.at", f"lies behind the day's end at {day.day.length:g} s")
    plans = {plan.name for plan in day.plan}
    if trouble.kind == "plan_burst" and trouble.plan not in plans:
        text = f"expected one of {', '.join(sorted(plans))}, found {trouble.plan!r}"
        reader.wrong(trouble, f"{place}.plan", text)


def _check_cold_starts(day: Day, reader: Reader) -> None:
    """Check that nodes warm up as gateways are promised."""
    fleet = day.fleet
    nodes = day.nodes
    if fleet.cold_from < nodes.cold_capacity:
        reader.wrong(fleet, "fleet.cold_from", "lies under nodes.cold_capacity: heads are promised more")
    if fleet.warm_after > nodes.cold_warm_after:
        reader.wrong(fleet, "fleet.warm_after", "lies over nodes.cold_warm_after: heads are promised less")
    cold_power = fleet.cores / fleet.unit_time * nodes.cold_capacity if fleet.unit_time else inf
    bearable = nodes.cold_multiple * cold_power * nodes.cold_fall
    if nodes.cold_units > bearable:
        text = f"more than a cold node surely bears: at most {bearable:g}"
        reader.wrong(nodes, "nodes.cold_units", text)
