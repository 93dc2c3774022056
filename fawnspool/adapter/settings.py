"""The platform's settings, as the wire's text or a head's configuration gives them, read into our own Settings."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any

from fawnspool.scheduling.interface import DeduplicationScope, Idempotence, Plan, RequestClass, Settings

_EFFECTS = {"free": Idempotence.IDEMPOTENT, "guarded": Idempotence.WITH_KEY, "single_shot": Idempotence.NON_IDEMPOTENT}


class SettingsError(Exception):
    """A needed setting is missing or does not read; the text names it."""


class _Pairs:
    """The path=value pairs, each read as the kind that the caller needs."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str, default: str | None = None) -> str:
        value = self.pairs.get(path, default)
        if value is None:
            raise SettingsError(f"setting {path} is missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        raw = self.text(path, None if default is None else str(default))
        try:
            value = float(raw)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            raise SettingsError(f"setting {path} is not a number: {raw!r}")
        return value

    def above(self, path: str) -> float:
        """A number above 0: others divide by it, or wait for it."""
        value = self.number(path)
        if value <= 0:
            raise SettingsError(f"setting {path}: expected a number above 0, found {value:g}")
        return value

    def many(self, path: str) -> int:
        """A list's length, 1 or more."""
        value = self.whole(f"{path}.count", 0)
        if value < 1:
            raise SettingsError(f"setting {path}: expected at least one entry")
        return value

    def whole(self, path: str, default: int | None = None) -> int:
        return int(self.number(path, default))

    def flag(self, path: str, default: bool | None = None) -> bool:
        raw = self.text(path, None if default is None else str(default).lower())
        if raw not in ("true", "false"):
            raise SettingsError(f"setting {path} is neither true nor false: {raw!r}")
        return raw == "true"

    def names(self, path: str) -> tuple[str, ...]:
        return tuple(v for v in self.text(path, "").split(",") if v)


def read_settings(text: str) -> Settings:
    """Settings of one head from path=value lines; unknown keys are ignored. Raises SettingsError."""
    return _settings(_Pairs(dict(line.split("=", 1) for line in text.splitlines() if "=" in line)))


def read_tree(tree: Mapping[str, Any]) -> Settings:
    """The same from the object as JSON holds it. Raises SettingsError."""
    return _settings(_Pairs(dict(_flat("", tree))))


def _flat(path: str, value: Any) -> Iterator[tuple[str, str]]:
    """(path, value) as the wire's lines have them: plain lists joined by commas, others by number and count."""
    if isinstance(value, Mapping):
        for name, part in value.items():
            yield from _flat(f"{path}.{name}" if path else str(name), part)
    elif isinstance(value, list) and any(isinstance(v, Mapping | list) for v in value):
        yield f"{path}.count", str(len(value))
        for k, part in enumerate(value):
            yield from _flat(f"{path}.{k}", part)
    elif isinstance(value, list):
        yield path, ",".join(_plain(v) for v in value)
    elif value is not None:
        yield path, _plain(value)


def _plain(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def _settings(p: _Pairs) -> Settings:
    writes = p.names("family_info.writes")
    return Settings(
        classes=tuple(_request_class(p, k, writes) for k in range(p.many("classes"))),
        plans=tuple(_plan(p, k) for k in range(p.many("grades"))),
        gateway_count=int(p.above("siblings")),
        gateway_id=p.whole("me"),
        zone=p.whole("zone", 0),
        polls_endpoints=p.text("discovery", "push") == "ask",
        poll_interval_s=p.number("guarantees.must_ask_in", 0.0),
        drain_grace_s=p.number("guarantees.drain_grace"),
        answer_slack_s=p.number("guarantees.answer_slack", 0.0),
        overload_window_s=p.above("guarantees.fall"),
        overload_multiple=p.number("guarantees.tip_multiple"),
        initial_capacity_fraction=p.number("guarantees.start_capacity"),
        warm_up_s=p.number("guarantees.warm_after"),
        slow_start_units=p.number("family_info.young_limit"),
        mean_units=p.above("family_info.usual_units"),
        largest_units=p.number("family_info.largest"),
        shard_count=p.whole("family_info.slots_total"),
        within_share_priority_weight=p.number("family_info.fair_worth"),
        spare_priority_weight=p.number("family_info.spare_worth"),
        meter_period_s=p.number("family_info.meter", 0.0),
        reports_use_by_others=p.flag("family_info.says_others", False),
        max_attempts=p.whole("limits.try_limit"),
        hedging=p.flag("limits.second_copies", False),
        can_cancel=p.flag("limits.cancelling", False),
        can_probe=p.flag("limits.may_probe", False),
        has_peer_messages=p.flag("limits.peers", False),
        sends_retry_after=p.flag("limits.retry_after", False),
        max_retry_after_s=p.number("limits.max_retry_after", 0.0),
        connect_timeout_s=p.number("limits.connect_timeout", 0.0),
        clock_tick_s=p.number("tick"),
        retry_budget_minimum=p.number("guarantees.extra_free", 0.0) if _budgeted(p) else None,
        retry_budget_ratio=p.number("guarantees.repeat_ratio", 0.0),
        retry_budget_window_s=p.number("guarantees.budget_span", 0.0),
        settle_after_ambiguity_s=p.number("guarantees.settle_after_doubt", 0.0),
        load_report_fields=p.names("load_report.fields"),
    )


def _budgeted(p: _Pairs) -> bool:
    return "guarantees.extra_free" in p.pairs or "guarantees.repeat_ratio" in p.pairs


def _request_class(p: _Pairs, k: int, writes: tuple[str, ...]) -> RequestClass:
    at = f"classes.{k}."
    effect = p.text(at + "repeat")
    if effect not in _EFFECTS:
        raise SettingsError(f"setting {at}repeat is unknown: {effect!r}")
    group = p.text(at + "group", "all")
    if group not in DeduplicationScope._value2member_map_:
        raise SettingsError(f"setting {at}group is unknown: {group!r}")
    return RequestClass(
        name=p.text(at + "name", str(k)),
        latency_objective_s=p.above(at + "aim"),
        deadline_s=p.above(at + "deadline"),
        priority_weight=p.number(at + "value"),
        late_priority_weight=p.number(at + "late_value", 0.0),
        idempotence=_EFFECTS[effect],
        deduplication_scope=DeduplicationScope(group),
        deduplication_window_s=p.number(at + "window", 0.0),
        writes=k < len(writes) and writes[k] == "true",
        stream=p.flag(at + "stream", False),
        ordered=p.flag(at + "fifo_by_key", False),
    )


def _plan(p: _Pairs, k: int) -> Plan:
    at = f"grades.{k}."
    return Plan(
        name=p.text(at + "name", str(k)),
        rate=p.number(at + "rate"),
        reserved_rate=p.number(at + "floor_rate", 0.0),
        weight=p.above(at + "shares"),
        priority_factor=p.number(at + "value_factor"),
        rate_limit=p.number(at + "cap", 0.0),
        rate_limit_burst=p.number(at + "cap_depth", 0.0),
        rate_limit_tolerance=p.number(at + "tolerance", 0.0),
    )
