"""The names that recordings and older versions of the decisions use, and the names that this version uses.

Up to build d5787bd the types of `fawnspool.scheduling.interface` and their fields had other names. Recordings keep the
older names of settings, so that older versions read new recordings and this version reads old ones.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

FORMER_TYPE_NAMES: Mapping[str, str] = {
    "ClientDisconnected": "ClientGone",
    "DeduplicationScope": "Group",
    "Endpoint": "ListEntry",
    "EndpointUpdate": "NodeList",
    "FailRequest": "Fail",
    "FetchEndpoints": "FetchList",
    "GossipedHealth": "Hearsay",
    "Idempotence": "Effect",
    "RejectRequest": "Refuse",
    "SendPeerMessage": "Tell",
    "SetWatch": "Watch",
    "StreamStarted": "Begun",
    "UpdateKind": "ListKind",
    "VolumeParticipants": "Takers",
}
"""Type of the interface: its former name."""

FORMER_CONSTANT_NAMES: Mapping[str, tuple[str, ...]] = {
    "ASK_ALL_S": ("BROADCAST_INTERVAL_S",),
    "ASK_MOST_S": ("MAX_POLL_RETRY_DELAY_S",),
    "BOUND_ALL": ("MAX_REQUESTS_AT_NODE",),
    "CROWD": ("MAX_WAIT_FRACTION",),
    "FRESH_S": ("WAIT_HALF_LIFE_S",),
    "GAIN": ("RESPONSE_SMOOTHING", "LIMIT_SMOOTHING"),
    "IDLE_S": ("IDLE_VOLUME_S",),
    "ON_TIME": ("TRANSFER_VALIDITY_FRACTION",),
    "PULL": ("LIMIT_PROBE_REQUESTS",),
    "RECENT": ("RESPONSES_IN_MEAN",),
    "RUN_LIMIT": ("MAX_RUN_REQUESTS",),
    "SIGNS": ("FAILURES_TO_EJECT",),
    "SILENT": ("SILENCE_MEAN_RESPONSES",),
    "START_BOUND": ("INITIAL_LIMIT_REQUESTS",),
    "TARGET_SHARE": ("TARGET_RESPONSE_FRACTION",),
    "TICKS_PER_AIM": ("CHECKS_PER_OBJECTIVE",),
    "TRIAL_MOST_S": ("HALF_OPEN_MAX_BACKOFF_S",),
    "VOLUMES_MOST": ("MAX_VOLUMES",),
}
"""Former name of a constant of the decisions, as kept comparisons have it: its names since."""

FORMER_FIELD_NAMES: Mapping[str, Mapping[str, str]] = {
    "RequestClass": {
        "latency_objective_s": "aim",
        "deadline_s": "deadline",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
        "idempotence": "effect",
        "deduplication_scope": "group",
        "deduplication_window_s": "window",
    },
    "Plan": {
        "reserved_rate": "reserve",
        "priority_factor": "worth_factor",
        "rate_limit": "limit",
        "rate_limit_burst": "limit_depth",
        "rate_limit_tolerance": "limit_slack",
    },
    "Settings": {
        "gateway_count": "heads",
        "gateway_id": "me",
        "polls_endpoints": "must_ask",
        "poll_interval_s": "must_ask_in",
        "drain_grace_s": "drain_grace",
        "answer_slack_s": "answer_slack",
        "overload_window_s": "fall",
        "overload_multiple": "fall_multiple",
        "initial_capacity_fraction": "cold_capacity",
        "warm_up_s": "warm_after",
        "slow_start_units": "young_limit",
        "shard_count": "cells",
        "within_share_priority_weight": "share_worth",
        "spare_priority_weight": "spare_worth",
        "meter_period_s": "meter",
        "reports_use_by_others": "tells_others",
        "max_attempts": "try_limit",
        "hedging": "second_copies",
        "can_cancel": "may_cancel",
        "can_probe": "may_probe",
        "has_peer_messages": "peers",
        "sends_retry_after": "retry_after",
        "max_retry_after_s": "max_retry_after",
        "connect_timeout_s": "connect_timeout",
        "clock_tick_s": "tick",
        "retry_budget_minimum": "extra_free",
        "retry_budget_ratio": "extra_ratio",
        "retry_budget_window_s": "extra_span",
        "settle_after_ambiguity_s": "settle_after_doubt",
        "load_report_fields": "load_fields",
    },
    "Endpoint": {
        "shard": "cell",
        "started_at": "started",
    },
    "Request": {
        "class_index": "cls",
        "plan_index": "plan",
        "timeout_s": "patience",
        "shard": "cell",
        "gateway_count": "heads",
        "is_client_retry": "repeat",
    },
    "StreamStarted": {
        "elapsed_s": "took",
    },
    "Outcome": {
        "elapsed_s": "took",
        "units_by_others": "by_others",
        "volume_usage": "used",
        "load_report": "load",
        "reused_connection": "kept",
    },
    "Probed": {
        "elapsed_s": "took",
        "load_report": "load",
    },
    "VolumeParticipants": {
        "gateways": "heads",
    },
    "GossipedHealth": {
        "healthy": "well",
        "retry_delay_s": "pause",
        "refused_connection": "shut",
    },
    "Send": {
        "timeout_s": "timeout",
        "write_within_s": "write_within",
    },
    "RejectRequest": {
        "retry_after_s": "retry_after",
    },
    "SetTimer": {
        "delay_s": "delay",
    },
    "SendPeerMessage": {
        "gateway_id": "head",
    },
    "SetWatch": {
        "enabled": "on",
    },
}
"""Type of the interface: its fields, each with its former name."""


def former_field_name(type_name: str, field: str) -> str:
    """The name that a field of the named type had up to build d5787bd."""
    return FORMER_FIELD_NAMES.get(type_name, {}).get(field, field)


def with_former_names(type_name: str, fields: Mapping[str, Any]) -> dict[str, Any]:
    """The fields of one object, keyed by their former names, in the same order."""
    return {former_field_name(type_name, name): value for name, value in fields.items()}


def with_current_names(type_name: str, fields: Mapping[str, Any]) -> dict[str, Any]:
    """The fields of one object that were keyed by their former names, keyed by the names of today."""
    current = {former: name for name, former in FORMER_FIELD_NAMES.get(type_name, {}).items()}
    return {current.get(name, name): value for name, value in fields.items()}
