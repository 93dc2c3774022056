"""What a day's service is worth: earned over due.

Per volume and second of arrival, units are due: those inside the reserve in full; then, of what nine tenths of the
fleet's power leave beyond all reserves, dealt out by weight among the volumes that ask for more, at `share_worth`; the
rest at `spare_worth`; what is asked beyond a limit at nothing. A request served within its aim takes the best that is
still due to its volume for that second, a late one the worst, at its class's late worth. Worth also goes with class
worth, plan factor and units. (The users' bench deals the share out node by node; here the fleet is one.)
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from fawnspool.config.head import PlanBlock
from fawnspool.days.day import Day


@dataclass(frozen=True)
class Served:
    """One operation over all its tries. how: "in time", "late", "refused", "failed", "left"."""

    at: float
    volume: str
    plan: str
    cls: int
    units: float
    how: str
    took: float = 0.0
    head: int = -1  # at which the last try was made


@dataclass
class Row:
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
        return self.earned / self.due if self.due else 1.0


@dataclass
class Service:
    """Sums by class and plan, by plan, by window of time, by head, and of the whole."""

    rows: dict[tuple[str, str], Row] = field(default_factory=lambda: defaultdict(Row))
    plans: dict[str, Row] = field(default_factory=lambda: defaultdict(Row))
    windows: dict[int, Row] = field(default_factory=lambda: defaultdict(Row))
    heads: dict[int, Row] = field(default_factory=lambda: defaultdict(Row))
    whole: Row = field(default_factory=Row)


def count(day: Day, ops: list[Served], window: float = 5.0) -> Service:
    """Service of a day's operations."""
    out = Service()
    plans = {p.name: p for p in day.plan}
    number = {v.name: v.count for v in day.volumes}
    power = (
        0.9 * day.day.nodes * day.fleet.cores / day.fleet.unit_time * (1 - day.fleet.slow_share / 2)
        if day.fleet.unit_time
        else float("inf")
    )
    spare = max(0.0, power - sum(plans[n].reserve * c for n, c in number.items()))
    by_second: dict[int, dict[str, list[Served]]] = defaultdict(lambda: defaultdict(list))
    for op in ops:
        by_second[int(op.at)][op.volume].append(op)
    for second in sorted(by_second):
        asking = by_second[second]
        shares = _deal(
            spare,
            {
                v: (plans[rows[0].plan].weight, _beyond(sum(r.units for r in rows), plans[rows[0].plan]))
                for v, rows in asking.items()
            },
        )
        for volume, rows in asking.items():
            plan = plans[rows[0].plan]
            room = plan.limit if plan.limit else float("inf")
            levels = [
                [plan.reserve, 1.0],
                [shares[volume], day.service.share_worth],
                [max(0.0, room - plan.reserve - shares[volume]), day.service.spare_worth],
            ]
            _dole(day, rows, levels, plan.worth_factor, out, window)
    return out


def _beyond(asked: float, plan: PlanBlock) -> float:
    """Units that a volume asks beyond its reserve and within its limit."""
    return max(0.0, min(asked, plan.limit or asked) - plan.reserve)


def _deal(spare: float, asked: dict[str, tuple[float, float]]) -> dict[str, float]:
    """`spare` by weight among those that ask, nobody more than it asks."""
    got = dict.fromkeys(asked, 0.0)
    open_, left = {v for v, (_, want) in asked.items() if want > 0}, spare
    while open_ and left > 1e-9:
        total = sum(asked[v][0] for v in open_)
        part = {v: left * asked[v][0] / total for v in open_}
        full = {v for v in open_ if part[v] >= asked[v][1] - got[v]}
        if not full:
            for v in open_:
                got[v] += part[v]
            break
        for v in full:
            left -= asked[v][1] - got[v]
            got[v] = asked[v][1]
        open_ -= full
    return got


def _take(levels: list[list[float]], units: float, best: bool) -> float:
    """Units' worth, from the best or from the worst that is left."""
    worth = 0.0
    for level in levels if best else levels[::-1]:
        part = min(units, level[0])
        level[0] -= part
        units -= part
        worth += part * level[1]
    return worth


def _dole(day: Day, rows: list[Served], levels: list[list[float]], factor: float, out: Service, window: float) -> None:
    due = [list(x) for x in levels]
    ranked = sorted(rows, key=lambda r: -day.class_[r.cls].worth)
    dues = {id(r): _take(due, r.units, True) for r in ranked}
    for r in sorted(rows, key=lambda r: (r.how != "in time", -day.class_[r.cls].worth)):
        cls = day.class_[r.cls]
        earned = 0.0
        if r.how == "in time":
            earned = _take(levels, r.units, True)
        elif r.how == "late":
            earned = _take(levels, r.units, False) * cls.late_worth
        scale = cls.worth * factor / day.units.mean
        for row in (
            out.rows[cls.name, r.plan],
            out.plans[r.plan],
            out.windows[int(r.at // window)],
            out.heads[r.head],
            out.whole,
        ):
            row.asked += 1
            row.in_time += r.how == "in time"
            row.late += r.how == "late"
            row.refused += r.how == "refused"
            row.failed += r.how == "failed"
            row.left += r.how == "left"
            row.due += dues[id(r)] * scale
            row.earned += earned * scale
