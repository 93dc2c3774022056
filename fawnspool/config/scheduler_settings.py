"""The scheduler's settings, made from those that an operator writes."""

from __future__ import annotations

from fawnspool.config.head import ClassBlock, HeadConfig, PlanBlock
from fawnspool.scheduling.interface import (
    DeduplicationScope,
    Idempotence,
    Plan,
    RequestClass,
    Settings,
)


def scheduler_settings(config: HeadConfig) -> Settings:
    """Return the scheduler's settings. Numbers are passed on as written; nothing is chosen here."""
    nodes, clients, attempts, service = config.nodes, config.clients, config.attempts, config.service
    return Settings(
        classes=tuple(_request_class(row) for row in config.class_),
        plans=tuple(_plan(row) for row in config.plan),
        gateway_count=config.head.heads,
        gateway_id=config.head.number,
        zone=nodes.zones.index(config.head.zone),
        polls_endpoints=config.list.mode == "ask",
        poll_interval_s=config.list.must_ask_in,
        drain_grace_s=nodes.drain_grace,
        answer_slack_s=clients.answer_margin,
        overload_window_s=nodes.cold_fall,
        overload_multiple=nodes.cold_multiple,
        initial_capacity_fraction=nodes.cold_capacity,
        warm_up_s=nodes.cold_warm_after,
        slow_start_units=nodes.cold_units,
        mean_units=config.units.mean,
        largest_units=float(config.units.largest),
        shard_count=nodes.cells,
        within_share_priority_weight=service.share_worth,
        spare_priority_weight=service.spare_worth,
        meter_period_s=service.meter,
        reports_use_by_others=service.tells_others,
        max_attempts=attempts.most,
        hedging=attempts.second_copies,
        can_cancel=attempts.cancel,
        can_probe=True,
        has_peer_messages=bool(config.peer),
        sends_retry_after=True,
        max_retry_after_s=clients.max_retry_after,
        connect_timeout_s=nodes.connect_timeout,
        clock_tick_s=config.head.tick,
        retry_budget_minimum=None if attempts.extra_free < 0 else attempts.extra_free,
        retry_budget_ratio=attempts.extra_ratio,
        retry_budget_window_s=attempts.extra_span,
        settle_after_ambiguity_s=attempts.settle_after_doubt,
        load_report_fields=nodes.load_fields,
    )


def _request_class(row: ClassBlock) -> RequestClass:
    return RequestClass(
        name=row.name,
        latency_objective_s=row.aim,
        deadline_s=row.deadline,
        priority_weight=row.worth,
        late_priority_weight=row.late_worth,
        idempotence=Idempotence(row.effect),
        deduplication_scope=DeduplicationScope(row.group),
        deduplication_window_s=row.window,
        writes=False,
        stream=False,
        ordered=row.ordered,
    )


def _plan(row: PlanBlock) -> Plan:
    return Plan(
        name=row.name,
        rate=row.rate,
        reserved_rate=row.reserve,
        weight=row.weight,
        priority_factor=row.worth_factor,
        rate_limit=row.limit,
        rate_limit_burst=row.limit_depth,
        rate_limit_tolerance=row.limit_slack,
    )
