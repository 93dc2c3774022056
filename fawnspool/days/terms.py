"""The figures that the rules of a day are judged by."""

from __future__ import annotations

from fawnspool.days.day import Day
from fawnspool.rules.terms import RuleTerms, VolumeLimit


def rule_terms(day: Day) -> RuleTerms:
    """Return what the judge has to know of a day."""
    attempts = day.attempts
    return RuleTerms(
        drain_grace_s=day.nodes.drain_grace,
        cold_window_s=day.nodes.cold_fall,
        cold_multiple=day.nodes.cold_multiple,
        cold_slack_units=float(day.units.largest),
        limits=_volume_limits(day),
        ordered_classes=frozenset(index for index, block in enumerate(day.class_) if block.ordered),
        settle_s=attempts.settle_after_doubt,
        retry_minimum=None if attempts.extra_free < 0 else attempts.extra_free,
        retry_ratio=attempts.extra_ratio,
        retry_window_s=attempts.extra_span,
    )


def _volume_limits(day: Day) -> dict[str, VolumeLimit]:
    plans = {plan.name: plan for plan in day.plan}
    limits = {}
    for volume, block in day.volume_names():
        plan = plans[block.name]
        if plan.limit:
            limits[volume] = VolumeLimit(plan.limit, plan.limit_depth, plan.limit_slack)
    return limits
