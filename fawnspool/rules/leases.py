"""Leases, judged from what nodes and the map service saw.

No step under an older token after a newer one, no two holders at once, every migration done once, everything drained
that was to be drained; and how long handovers took, by cause. No I/O, no clock.

A gateway's own records (acquired, renewed, lost) are asked for one thing alone, whether two say that they hold a lease;
all else is the nodes' and the map service's.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise

from fawnspool.rules.findings import Finding, RuleCheck
from fawnspool.rules.history import History
from fawnspool.rules.judge import MAX_ALLOWANCE_S
from fawnspool.rules.observations import GatewayFault, LeaseChange, LeasedStep

RULE = "duties kept"
MARGIN_DIVISOR = 10  # a tenth of a lease covers what clocks may differ in rate
DELAYING_FAULTS = ("stopped", "held back")
RELIEF_REASONS = ("relieved", "released by hand")
MAP_UPDATE_STEP = "flip"
FAULT_EFFECT_LEASES = 3  # a handover so many lease lengths after a fault may be due to it

FirstUses = dict[str, dict[int, float]]  # by lease: when each token was first seen at any node


@dataclass
class LeaseFinding:
    """What was found of the leases of a run.

    Attributes
    ----------
    gaps_s
        By fault: from a fault that hit a holder until the next one showed its token.
    fenced
        Steps refused as of an older holder.
    handed_over, without_cause, relieved
        Handovers; those with no fault before them; those released as the holder had more than its part, or by hand.
    moved, left
        Extents that migrated; extents that still lie in a drained shard.
    """

    finding: Finding = field(default_factory=lambda: Finding(RULE))
    gaps_s: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    fenced: int = 0
    handed_over: int = 0
    without_cause: int = 0
    relieved: int = 0
    moved: int = 0
    left: int = 0


def judge_leases(history: History, lease_s: float, must_be_drained: bool) -> LeaseFinding:
    """Judge the leases of a run.

    Parameters
    ----------
    history
        The run.
    lease_s
        Length of a lease.
    must_be_drained
        Whether a drain was to be complete at the end.
    """
    check = RuleCheck(RULE, history)
    check.add_examined(len(history.leased_steps) + len(history.fenced_steps))
    found = LeaseFinding(check.finding, fenced=len(history.fenced_steps))
    first_uses = _check_tokens_at_nodes(check)
    _check_late_steps(check, first_uses, lease_s)
    _check_overlapping_holders(check)
    _check_tokens_rise(check)
    found.moved = _check_migrations(check)
    _count_handovers(history, first_uses, lease_s, found)
    found.left = _check_drains(check, must_be_drained)
    return found


def _check_tokens_at_nodes(check: RuleCheck) -> FirstUses:
    """Check that tokens only rise at each node and belong to one incarnation each."""
    newest_tokens: dict[tuple[int, str], int] = {}
    first_bearers: dict[tuple[str, int], LeasedStep] = {}
    first_uses: FirstUses = defaultdict(dict)
    for step in check.history.leased_steps:
        if not step.lease:
            text = f"place {step.node} took {step.what} of {step.volume}/{step.key} without a token"
            check.add_breach(step.time, text)
            continue
        newest = newest_tokens.get((step.node, step.lease), 0)
        if step.token < newest:
            text = f"place {step.node} took {step.what} of {step.lease} under token {step.token} after {newest}"
            check.add_breach(step.time, text)
        newest_tokens[step.node, step.lease] = max(step.token, newest)
        bearer = first_bearers.setdefault((step.lease, step.token), step)
        if bearer.incarnation != step.incarnation:
            bearers = f"borne by head {bearer.gateway} and another life, of head {step.gateway}"
            check.add_breach(step.time, f"{step.lease}: token {step.token} is {bearers}")
        first_uses[step.lease].setdefault(step.token, step.time)
    return first_uses


def _check_late_steps(check: RuleCheck, first_uses: FirstUses, lease_s: float) -> None:
    """Check steps under an older token that were refused, or taken by a node that the newer holder has not touched.

    A step may be so late only where its gateway was stopped, or its calls were held back, since its lease: else the
    gateway does not heed its lease.
    """
    history = check.history
    for step in (*history.leased_steps, *history.fenced_steps):
        newer_uses = [time for token, time in first_uses.get(step.lease, {}).items() if token > step.token]
        if not newer_uses or step.time <= min(newer_uses) + MAX_ALLOWANCE_S + lease_s / MARGIN_DIVISOR:
            continue
        newer_use = min(newer_uses)
        if any(_excuses_late_step(fault, step, newer_use - 2 * lease_s) for fault in history.gateway_faults):
            continue
        did = "tried to act" if step.was_fenced else "acted"
        text = f"{step.lease}: head {step.gateway} {did} at {step.node}, token {step.token}, "
        check.add_breach(step.time, text + f"{step.time - newer_use:.3f} s after a newer holder had")


def _excuses_late_step(fault: GatewayFault, step: LeasedStep, since: float) -> bool:
    is_delaying = fault.gateway == step.gateway and fault.what in DELAYING_FAULTS
    return is_delaying and fault.time <= step.time and fault.until >= since


def _check_tokens_rise(check: RuleCheck) -> None:
    """Check that no token was granted although another incarnation had borne it or a higher one: acceptors forgot."""
    steps: dict[str, list[LeasedStep]] = defaultdict(list)
    for step in check.history.leased_steps:
        if step.lease:
            steps[step.lease].append(step)
    for change in check.history.lease_changes:
        if not change.is_acquired:
            continue
        higher = next((step for step in steps[change.lease] if _outdates(step, change)), None)
        if higher is not None:
            granted = f"head {change.gateway} was given token {change.token}"
            text = f"{change.lease}: {granted}, head {higher.gateway} had borne {higher.token}"
            check.add_breach(change.time, text)


def _outdates(step: LeasedStep, change: LeaseChange) -> bool:
    is_of_another = step.incarnation != change.incarnation
    return is_of_another and step.time < change.time and step.token >= change.token


@dataclass(order=True)
class _HoldInterval:
    """A time in which a gateway says that it holds a lease."""

    start: float
    end: float
    gateway: int


def _check_overlapping_holders(check: RuleCheck) -> None:
    """Check that no two gateways say at one time that they hold a lease."""
    for lease, intervals in _hold_intervals(check.history.lease_changes).items():
        intervals.sort()
        latest = intervals[0]
        for interval in intervals[1:]:
            if interval.start < latest.end and interval.gateway != latest.gateway:
                holders = f"heads {latest.gateway} and {interval.gateway}"
                check.add_breach(interval.start, f"{lease}: {holders} hold it for {latest.end - interval.start:.3f} s")
            if interval.end > latest.end:
                latest = interval


def _hold_intervals(changes: Iterable[LeaseChange]) -> dict[str, list[_HoldInterval]]:
    intervals: dict[str, list[_HoldInterval]] = defaultdict(list)
    current: dict[tuple[str, int], _HoldInterval] = {}
    for change in changes:
        holder = (change.lease, change.incarnation)
        interval = current.get(holder)
        if interval is None:
            if change.is_acquired:
                current[holder] = _HoldInterval(change.time, change.end, change.gateway)
                intervals[change.lease].append(current[holder])
        elif change.is_acquired or change.is_renewed:
            interval.end = max(interval.end, change.end)
        elif change.is_lost:
            interval.end = min(interval.end, change.time)
            del current[holder]
    return intervals


def _check_migrations(check: RuleCheck) -> int:
    """Check that each extent migrated once, to one shard; return how many migrated."""
    shards: dict[tuple[str | None, str | None], dict[int | None, int | None]] = defaultdict(dict)
    for step in check.history.leased_steps:
        if step.what != MAP_UPDATE_STEP:
            continue
        shard = shards[step.volume, step.key].setdefault(step.generation, step.shard)
        if shard != step.shard:
            place = f"generation {step.generation} is in {shard} and {step.shard}"
            check.add_breach(step.time, f"{step.volume}/{step.key}: {place}")
    for (volume, key), generations in shards.items():
        if len(generations) > 1:
            check.add_breach(check.history.last, f"{volume}/{key} moved {len(generations)} times")
    return len(shards)


def _check_drains(check: RuleCheck, must_be_drained: bool) -> int:
    """Check where extents lay at the end; return how many still lay in a drained shard."""
    left = 0
    for result in check.history.drain_results:
        left += result.left
        if result.missing or result.duplicated:
            places = f"{result.missing} extents were nowhere and {result.duplicated} in two places"
            check.add_breach(result.time, f"at the end {places}: {result.names}")
        if must_be_drained and result.left:
            check.add_breach(result.time, f"{result.left} extents still lie in a drained cell")
    return left


def _count_handovers(history: History, first_uses: FirstUses, lease_s: float, found: LeaseFinding) -> None:
    """Count and time handovers: a lease's next token after a fault that hit its holder.

    Of faults in a row, the first that hit the holder counts.
    """
    releases: dict[str, list[float]] = defaultdict(list)
    for change in history.lease_changes:
        if change.is_lost and change.why in RELIEF_REASONS:
            releases[change.lease].append(change.time)
    incarnations = {(step.lease, step.token): step.incarnation for step in reversed(history.leased_steps)}
    for lease, uses in first_uses.items():
        faults = [fault for fault in history.gateway_faults if lease in fault.leases]
        for before, after in pairwise(_first_uses_by_holder(lease, uses, incarnations)):
            found.handed_over += 1
            causes = [fault for fault in faults if before <= fault.time <= after]
            if causes:
                found.gaps_s[causes[0].what].append(after - causes[0].time)
            elif any(before <= released <= after for released in releases.get(lease, ())):
                found.relieved += 1
            elif not any(_may_have_caused(fault, after, lease_s) for fault in history.gateway_faults):
                found.without_cause += 1


def _first_uses_by_holder(lease: str, uses: dict[int, float], incarnations: dict[tuple[str, int], int]) -> list[float]:
    """Return the time of each holder's first use, in order; one incarnation under a higher token is no handover."""
    ordered = sorted(uses.items(), key=lambda use: use[1])
    times = [time for _, time in ordered[:1]]
    for (old_token, _), (new_token, time) in pairwise(ordered):
        if incarnations[lease, old_token] != incarnations[lease, new_token]:
            times.append(time)
    return times


def _may_have_caused(fault: GatewayFault, handover: float, lease_s: float) -> bool:
    return fault.time - lease_s <= handover <= fault.until + FAULT_EFFECT_LEASES * lease_s
