"""The value of a day's service: earned over due.

Per volume and second of arrival, units are due: those inside the reserve in full; then, of what nine tenths of the
fleet's power leave beyond all reserves, dealt out by weight among the volumes that ask for more, at `share_worth`; the
rest at `spare_worth`; what is asked beyond a limit at nothing. A request served within its latency objective takes the
best that is still due to its volume for that second, a late one the worst, at the late weight of its class. Value also
goes with the class's priority weight, the plan's factor and units. (The users' bench deals the share out node by node;
here the fleet is one.)
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from fawnspool.config.head import PlanBlock
from fawnspool.days.day import Day

USABLE_POWER = 0.9  # of the fleet's
WINDOW_S = 5.0
UNITS_TOLERANCE = 1e-9
IN_TIME = "in time"
LATE = "late"


@dataclass(frozen=True)
class EndedOperation:
    """An operation over all its attempts.

    Attributes
    ----------
    how
        "in time", "late", "refused", "failed" or "left".
    took
        Seconds from its begin to its end.
    head
        The gateway at which the last attempt was made; -1 for unknown.
    """

    at: float
    volume: str
    plan: str
    cls: int
    units: float
    how: str
    took: float = 0.0
    head: int = -1


@dataclass
class ServiceTotals:
    """Operations by their end, and their value."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0
    earned: float = 0.0
    due: float = 0.0

    @property
    def share(self) -> float:
        """Earned value over due value; 1 where nothing is due."""
        return self.earned / self.due if self.due else 1.0

    def add(self, operation: EndedOperation, due: float, earned: float) -> None:
        """Count an operation."""
        self.asked += 1
        self.in_time += operation.how == IN_TIME
        self.late += operation.how == LATE
        self.refused += operation.how == "refused"
        self.failed += operation.how == "failed"
        self.left += operation.how == "left"
        self.due += due
        self.earned += earned


@dataclass
class ServiceValue:
    """Totals by class and plan, by plan, by window of time, by gateway, and of the whole."""

    rows: dict[tuple[str, str], ServiceTotals] = field(default_factory=lambda: defaultdict(ServiceTotals))
    plans: dict[str, ServiceTotals] = field(default_factory=lambda: defaultdict(ServiceTotals))
    windows: dict[int, ServiceTotals] = field(default_factory=lambda: defaultdict(ServiceTotals))
    heads: dict[int, ServiceTotals] = field(default_factory=lambda: defaultdict(ServiceTotals))
    whole: ServiceTotals = field(default_factory=ServiceTotals)


def value_service(day: Day, operations: Iterable[EndedOperation], window_s: float = WINDOW_S) -> ServiceValue:
    """Value the operations of a day, with totals by windows of so many seconds."""
    value = ServiceValue()
    spare = _spare_power(day)
    plans = {plan.name: plan for plan in day.plan}
    seconds: dict[int, dict[str, list[EndedOperation]]] = defaultdict(lambda: defaultdict(list))
    for operation in operations:
        seconds[int(operation.at)][operation.volume].append(operation)
    for _, volumes in sorted(seconds.items()):
        plan_of = {volume: plans[ended[0].plan] for volume, ended in volumes.items()}
        shares = _deal_out(
            spare,
            {
                volume: _Claim(plan_of[volume].weight, _units_beyond_reserve(ended, plan_of[volume]))
                for volume, ended in volumes.items()
            },
        )
        for volume, ended in volumes.items():
            second = _VolumeSecond(day, plan_of[volume], shares[volume], window_s)
            second.add_operations(ended, value)
    return value


def _spare_power(day: Day) -> float:
    """Return the units per second that the fleet's usable power leaves beyond all reserves."""
    fleet = day.fleet
    power = inf
    if fleet.unit_time:
        power = USABLE_POWER * day.day.nodes * fleet.cores / fleet.unit_time * (1 - fleet.slow_share / 2)
    reserves = {plan.name: plan.reserve for plan in day.plan}
    counts = {volumes.name: volumes.count for volumes in day.volumes}
    return max(0.0, power - sum(reserves[name] * count for name, count in counts.items()))


def _units_beyond_reserve(operations: Iterable[EndedOperation], plan: PlanBlock) -> float:
    """Return the units that a volume asks beyond its reserve and within its limit."""
    asked = sum(operation.units for operation in operations)
    return max(0.0, min(asked, plan.limit or asked) - plan.reserve)


@dataclass(frozen=True)
class _Claim:
    """Units that a volume asks of what is spare, and its weight among the others."""

    weight: float
    units: float


def _deal_out(spare: float, claims: dict[str, _Claim]) -> dict[str, float]:
    """Deal out units by weight among the claims, to none more than it asks."""
    dealt = dict.fromkeys(claims, 0.0)
    unmet = {volume for volume, claim in claims.items() if claim.units > 0}
    while unmet and spare > UNITS_TOLERANCE:
        weights = sum(claims[volume].weight for volume in unmet)
        parts = {volume: spare * claims[volume].weight / weights for volume in unmet}
        met = {volume for volume in unmet if parts[volume] >= claims[volume].units - dealt[volume]}
        if not met:
            for volume in unmet:
                dealt[volume] += parts[volume]
            break
        for volume in met:
            spare -= claims[volume].units - dealt[volume]
            dealt[volume] = claims[volume].units
        unmet -= met
    return dealt


@dataclass
class _Level:
    """Units that are due at one value each."""

    units: float
    unit_value: float


def _take(levels: Iterable[_Level], units: float) -> float:
    """Take units from the levels in their order; return their value."""
    value = 0.0
    for level in levels:
        part = min(units, level.units)
        level.units -= part
        units -= part
        value += part * level.unit_value
    return value


class _VolumeSecond:
    """What is due to a volume for a second of arrivals."""

    def __init__(self, day: Day, plan: PlanBlock, share: float, window_s: float) -> None:
        self._day = day
        self._plan = plan
        self._share = share
        self._window_s = window_s

    def add_operations(self, operations: list[EndedOperation], value: ServiceValue) -> None:
        """Value the operations of the second and add them to the totals."""
        due_values = self._due_values(operations)
        levels = self._levels()
        for operation in sorted(operations, key=lambda operation: (operation.how != IN_TIME, -self._weight(operation))):
            request_class = self._day.class_[operation.cls]
            earned = 0.0
            if operation.how == IN_TIME:
                earned = _take(levels, operation.units)
            elif operation.how == LATE:
                earned = _take(reversed(levels), operation.units) * request_class.late_worth
            scale = request_class.worth * self._plan.worth_factor / self._day.units.mean
            for totals in (
                value.rows[request_class.name, operation.plan],
                value.plans[operation.plan],
                value.windows[int(operation.at // self._window_s)],
                value.heads[operation.head],
                value.whole,
            ):
                totals.add(operation, due_values[id(operation)] * scale, earned * scale)

    def _levels(self) -> list[_Level]:
        limit = self._plan.limit or inf
        return [
            _Level(self._plan.reserve, 1.0),
            _Level(self._share, self._day.service.share_worth),
            _Level(max(0.0, limit - self._plan.reserve - self._share), self._day.service.spare_worth),
        ]

    def _due_values(self, operations: list[EndedOperation]) -> dict[int, float]:
        """Return what is due for each operation, by its identity: the best to the highest weight."""
        levels = self._levels()
        ranked = sorted(operations, key=lambda operation: -self._weight(operation))
        return {id(operation): _take(levels, operation.units) for operation in ranked}

    def _weight(self, operation: EndedOperation) -> float:
        return self._day.class_[operation.cls].worth
