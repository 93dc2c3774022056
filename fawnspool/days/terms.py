"""The rules' figures of a day."""

from __future__ import annotations

from fawnspool.days.day import Day
from fawnspool.rules.judge import Terms


def terms_of(day: Day) -> Terms:
    """What the judge needs to know of a day."""
    plans = {p.name: p for p in day.plan}
    limits = {
        name: (plans[b.name].limit, plans[b.name].limit_depth, plans[b.name].limit_slack)
        for name, b in day.volume_names()
        if plans[b.name].limit
    }
    a = day.attempts
    return Terms(
        drain_grace=day.nodes.drain_grace,
        fall=day.nodes.cold_fall,
        fall_multiple=day.nodes.cold_multiple,
        fall_slack=float(day.units.largest),
        limits=limits,
        ordered=frozenset(k for k, c in enumerate(day.class_) if c.ordered),
        settle=a.settle_after_doubt,
        extra_free=None if a.extra_free < 0 else a.extra_free,
        extra_ratio=a.extra_ratio,
        extra_span=a.extra_span,
    )
