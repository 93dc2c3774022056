"""Which gateways take the new version when: batches that grow only as fast as what may be lost allows.

Before the first batch nothing is known of the new version, so the worst is assumed: every request of its gateways is
lost. After each batch that was let through, what may still be lost is the bound that was proven for it, so the next
batch may be larger. Sizes thus follow from the limits and not from a fixed ladder.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from fawnspool.rollout.confidence_sequence import normal_quantile
from fawnspool.rollout.limits import PlanError, RolloutLimits

MAX_GROWTH = 2  # a batch after the first has at most so many times the gateways that were shown to be well
_MIN_FLEET = 2
_BUDGET_PER_BATCH = 2  # a batch may risk this part (one over it) of what may still be lost


@dataclass(frozen=True)
class GatewayInfo:
    """What is known of a gateway.

    Attributes
    ----------
    number, zone
        Its number, and the zone that it is in.
    volumes
        The volumes that it serves, with how many gateways each has in all.
    """

    number: int
    zone: int = 0
    volumes: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True)
class Batch:
    """Gateways that take the new version together.

    Attributes
    ----------
    gateways
        In the order in which they restart.
    rounds
        Those that are away at the same time.
    min_windows
        Windows for which they are watched at least.
    risk_gateway_s
        Worth lost at the most if the version is bad, in seconds of one gateway's full worth.
    """

    gateways: tuple[int, ...]
    rounds: tuple[tuple[int, ...], ...]
    min_windows: int
    risk_gateway_s: float


class DuplicateGatewayError(PlanError):
    """A number stands in the fleet twice."""

    def __init__(self) -> None:
        super().__init__("a head's number stands in the fleet twice")


class FleetTooSmallError(PlanError):
    """There would be nothing to compare with."""

    def __init__(self, fleet_size: int) -> None:
        super().__init__(
            f"{fleet_size} heads: a roll-out needs two or more, or there is nothing to compare with",
        )


class DeviationError(PlanError):
    """The deviation of a gateway's windows is not a positive number."""

    def __init__(self, deviation: float) -> None:
        super().__init__(f"spread: expected over 0, found {deviation!r}")


class BudgetError(PlanError):
    """Not even one gateway may be risked."""

    def __init__(self, watch_s: float, risk_gateway_s: float, budget_gateway_s: float) -> None:
        super().__init__(
            f"one head watched for {watch_s:g} s risks {risk_gateway_s:g} "
            f"head-seconds and only half of {budget_gateway_s:.1f} may be lost on a batch: raise spend or "
            "loss, or shorten the window"
        )


def windows_needed(limits: RolloutLimits, deviation: float, gateway_count: int) -> int:
    """Return the windows until a difference of `max_loss` shows.

    It is the usual sample size of a one-sided test with equal power, doubled as two groups differ.

    Parameters
    ----------
    limits
        The limits.
    deviation
        Standard deviation of one gateway's window.
    gateway_count
        Gateways that are watched.
    """
    z = 2 * normal_quantile(limits.confidence)
    needed = 2 * (z * deviation / limits.max_loss) ** 2 / max(1, gateway_count)
    return min(limits.max_windows, max(limits.min_windows, math.ceil(needed)))


def plan_batches(fleet: Sequence[GatewayInfo], limits: RolloutLimits, deviation: float, seed: int) -> list[Batch]:
    """Return batches over the whole fleet.

    Parameters
    ----------
    fleet
        The gateways.
    limits
        What may be lost.
    deviation
        Standard deviation of one gateway's window beside the fleet's.
    seed
        Seed of the order of the gateways.

    Raises
    ------
    PlanError
        If the limits or the fleet make no sense, or not even one gateway may be risked.
    """
    limits.check()
    _check_fleet(fleet, deviation)
    order = _spread_order(fleet, seed)
    max_restarting = limits.max_restarting_of(len(fleet))
    budget = limits.budget_gateway_s(len(fleet))
    possible_loss = limits.worst_case_loss
    batches: list[Batch] = []
    planned = 0
    while planned < len(order):
        sizes = _BatchSizes(limits, deviation, len(order), planned, possible_loss)
        size = sizes.largest(budget)
        if size < 1:
            watch_s = windows_needed(limits, deviation, 1) * limits.window_s
            raise BudgetError(watch_s, watch_s * possible_loss, budget)
        members = order[planned : planned + size]
        numbers = tuple(gateway.number for gateway in members)
        risk = sizes.risk(size)
        batches.append(Batch(numbers, restart_rounds(members, max_restarting), sizes.windows(size), risk))
        if possible_loss == limits.worst_case_loss:
            budget -= risk
        planned += size
        possible_loss = limits.max_loss  # as the verdict on this batch has shown, or there is no next one
    return batches


def _check_fleet(fleet: Sequence[GatewayInfo], deviation: float) -> None:
    if len({gateway.number for gateway in fleet}) != len(fleet):
        raise DuplicateGatewayError
    if len(fleet) < _MIN_FLEET:
        raise FleetTooSmallError(len(fleet))
    if not 0 < deviation < math.inf:
        raise DeviationError(deviation)


@dataclass(frozen=True)
class _BatchSizes:
    """Finds the size of the next batch."""

    limits: RolloutLimits
    deviation: float
    fleet_size: int
    planned: int  # gateways in earlier batches
    possible_loss: float  # what a gateway of a bad version loses

    def windows(self, size: int) -> int:
        return windows_needed(self.limits, self.deviation, size)

    def risk(self, size: int) -> float:
        """Return the worth that a batch may lose, in seconds of one gateway's full worth."""
        return size * self.windows(size) * self.limits.window_s * self.possible_loss

    def largest(self, budget: float) -> int:
        """Return the largest size whose risk is within the budget, 0 for none."""
        limit = self._upper_limit()
        if self.possible_loss < self.limits.worst_case_loss:
            return max(1, min(limit, max(MAX_GROWTH * self.planned, 1)))
        # A larger batch is watched for a shorter time, so its risk grows only once the watch is as short as it may be.
        affordable = [size for size in range(1, limit + 1) if self.risk(size) <= budget / _BUDGET_PER_BATCH]
        return max(affordable, default=0)

    def _upper_limit(self) -> int:
        """Leave some to compare with before the last batch, and few enough until a surge was seen."""
        limit = self.fleet_size - self.planned
        if limit > 1:
            limit = max(1, min(limit, (self.fleet_size + 1) // 2))
        without_surge = self.limits.max_without_surge * self.fleet_size
        if self.planned < without_surge:
            limit = min(limit, max(1, int(without_surge) - self.planned))
        return limit


def _spread_order(fleet: Sequence[GatewayInfo], seed: int) -> list[GatewayInfo]:
    """Order the gateways so that every run of them is spread over zones and volumes.

    Next is always the gateway whose zone and volumes have had the fewest so far; the seed breaks ties.
    """
    remaining = sorted(fleet, key=lambda gateway: gateway.number)
    Random(f"{seed}-order").shuffle(remaining)
    zone_sizes: dict[int, int] = defaultdict(int)
    for gateway in remaining:
        zone_sizes[gateway.zone] += 1
    in_zone: dict[int, int] = defaultdict(int)
    of_volume: dict[str, int] = defaultdict(int)

    def taken_fractions(gateway: GatewayInfo) -> tuple[float, float]:
        of_volumes = (of_volume[name] / count for name, count in gateway.volumes)
        return in_zone[gateway.zone] / zone_sizes[gateway.zone], max(of_volumes, default=0.0)

    order: list[GatewayInfo] = []
    while remaining:
        index = min(range(len(remaining)), key=lambda k: taken_fractions(remaining[k]))
        gateway = remaining.pop(index)
        in_zone[gateway.zone] += 1
        for name, _ in gateway.volumes:
            of_volume[name] += 1
        order.append(gateway)
    return order


def restart_rounds(gateways: Iterable[GatewayInfo], max_restarting: int) -> tuple[tuple[int, ...], ...]:
    """Deal gateways into rounds, such that none holds every gateway of a volume that has several.

    Parameters
    ----------
    gateways
        In the order in which they restart.
    max_restarting
        Gateways in one round at most.
    """
    rounds: list[list[GatewayInfo]] = []
    for gateway in gateways:
        for members in rounds:
            if len(members) < max_restarting and not _takes_all_of_a_volume(members, gateway):
                members.append(gateway)
                break
        else:
            rounds.append([gateway])
    return tuple(tuple(gateway.number for gateway in members) for members in rounds)


def _takes_all_of_a_volume(members: Sequence[GatewayInfo], candidate: GatewayInfo) -> bool:
    """Would a round with the candidate hold every gateway of one of its volumes?"""
    for name, count in candidate.volumes:
        away = 1 + sum(any(volume == name for volume, _ in gateway.volumes) for gateway in members)
        if count > 1 and away >= count:
            return True
    return False
