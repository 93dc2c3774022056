"""Reads the platform's settings, as lines of the wire or as JSON, into the scheduler's Settings.

The platform's keys appear only in this module.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import Any

from fawnspool.scheduling.interface import DeduplicationScope, Idempotence, Plan, RequestClass, Settings

_IDEMPOTENCE = {
    "free": Idempotence.IDEMPOTENT,
    "guarded": Idempotence.WITH_KEY,
    "single_shot": Idempotence.NON_IDEMPOTENT,
}
_SCOPES = {scope.value: scope for scope in DeduplicationScope}
_RETRY_BUDGET_KEYS = ("guarantees.extra_free", "guarantees.repeat_ratio")


class SettingsError(Exception):
    """A required setting is missing or invalid; the message names it by the platform's path."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"setting {path} {problem}")


def read_settings(text: str) -> Settings:
    """Return the settings of one gateway from lines of `path=value`; unknown keys are ignored.

    Raises
    ------
    SettingsError
        A required setting is missing, or a value is invalid.
    """
    pairs = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)
    return _settings(_SettingsReader(pairs))


def read_tree(tree: Mapping[str, Any]) -> Settings:
    """Return the settings of one gateway from the object that the JSON form holds.

    Raises
    ------
    SettingsError
        A required setting is missing, or a value is invalid.
    """
    return _settings(_SettingsReader(dict(_flatten("", tree))))


def _flatten(path: str, value: Any) -> Iterator[tuple[str, str]]:
    """Yield the paths and values of the wire's lines; plain lists are joined by commas, others numbered."""
    if isinstance(value, Mapping):
        for name, part in value.items():
            yield from _flatten(f"{path}.{name}" if path else str(name), part)
    elif isinstance(value, list) and any(isinstance(part, Mapping | list) for part in value):
        yield f"{path}.count", str(len(value))
        for number, part in enumerate(value):
            yield from _flatten(f"{path}.{number}", part)
    elif isinstance(value, list):
        yield path, ",".join(_as_text(part) for part in value)
    elif value is not None:
        yield path, _as_text(value)


def _as_text(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


class _SettingsReader:
    """Reads settings by path as a given type; a setting without a default is required."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self._pairs = pairs

    def has(self, path: str) -> bool:
        return path in self._pairs

    def text(self, path: str, default: str | None = None) -> str:
        value = self._pairs.get(path, default)
        if value is None:
            raise SettingsError(path, "is missing")
        return value

    def number(self, path: str, default: float | None = None) -> float:
        raw = self.text(path, None if default is None else str(default))
        try:
            value = float(raw)
        except ValueError:
            value = math.nan
        if not math.isfinite(value):
            raise SettingsError(path, f"is not a number: {raw!r}")
        return value

    def positive_number(self, path: str) -> float:
        """Return a number above 0, such as a divisor or a duration."""
        value = self.number(path)
        if value <= 0:
            raise SettingsError(f"{path}:", f"expected a number above 0, found {value:g}")
        return value

    def integer(self, path: str, default: int | None = None) -> int:
        return int(self.number(path, default))

    def count(self, path: str) -> int:
        """Return the length of a list, which must be at least 1."""
        value = self.integer(f"{path}.count", 0)
        if value < 1:
            raise SettingsError(f"{path}:", "expected at least one entry")
        return value

    def flag(self, path: str, default: bool | None = None) -> bool:
        raw = self.text(path, None if default is None else str(default).lower())
        if raw not in ("true", "false"):
            raise SettingsError(path, f"is neither true nor false: {raw!r}")
        return raw == "true"

    def names(self, path: str) -> tuple[str, ...]:
        return tuple(name for name in self.text(path, "").split(",") if name)


def _settings(reader: _SettingsReader) -> Settings:
    writes = reader.names("family_info.writes")
    return Settings(
        classes=tuple(_request_class(reader, number, writes) for number in range(reader.count("classes"))),
        plans=tuple(_plan(reader, number) for number in range(reader.count("grades"))),
        gateway_count=int(reader.positive_number("siblings")),
        gateway_id=reader.integer("me"),
        zone=reader.integer("zone", 0),
        polls_endpoints=reader.text("discovery", "push") == "ask",
        poll_interval_s=reader.number("guarantees.must_ask_in", 0.0),
        drain_grace_s=reader.number("guarantees.drain_grace"),
        answer_slack_s=reader.number("guarantees.answer_slack", 0.0),
        overload_window_s=reader.positive_number("guarantees.fall"),
        overload_multiple=reader.number("guarantees.tip_multiple"),
        initial_capacity_fraction=reader.number("guarantees.start_capacity"),
        warm_up_s=reader.number("guarantees.warm_after"),
        slow_start_units=reader.number("family_info.young_limit"),
        mean_units=reader.positive_number("family_info.usual_units"),
        largest_units=reader.number("family_info.largest"),
        shard_count=reader.integer("family_info.slots_total"),
        within_share_priority_weight=reader.number("family_info.fair_worth"),
        spare_priority_weight=reader.number("family_info.spare_worth"),
        meter_period_s=reader.number("family_info.meter", 0.0),
        reports_use_by_others=reader.flag("family_info.says_others", False),
        max_attempts=reader.integer("limits.try_limit"),
        hedging=reader.flag("limits.second_copies", False),
        can_cancel=reader.flag("limits.cancelling", False),
        can_probe=reader.flag("limits.may_probe", False),
        has_peer_messages=reader.flag("limits.peers", False),
        sends_retry_after=reader.flag("limits.retry_after", False),
        max_retry_after_s=reader.number("limits.max_retry_after", 0.0),
        connect_timeout_s=reader.number("limits.connect_timeout", 0.0),
        clock_tick_s=reader.number("tick"),
        retry_budget_minimum=_retry_budget_minimum(reader),
        retry_budget_ratio=reader.number("guarantees.repeat_ratio", 0.0),
        retry_budget_window_s=reader.number("guarantees.budget_span", 0.0),
        settle_after_ambiguity_s=reader.number("guarantees.settle_after_doubt", 0.0),
        load_report_fields=reader.names("load_report.fields"),
    )


def _retry_budget_minimum(reader: _SettingsReader) -> float | None:
    """Return the number of retries that are always allowed, or None if the platform sets no budget."""
    if any(reader.has(key) for key in _RETRY_BUDGET_KEYS):
        return reader.number("guarantees.extra_free", 0.0)
    return None


def _request_class(reader: _SettingsReader, number: int, writes: tuple[str, ...]) -> RequestClass:
    """Return a request class; `writes` holds, by class number, whether the class writes."""
    path = f"classes.{number}."
    idempotence = reader.text(path + "repeat")
    if idempotence not in _IDEMPOTENCE:
        raise SettingsError(path + "repeat", f"is unknown: {idempotence!r}")
    scope = reader.text(path + "group", "all")
    if scope not in _SCOPES:
        raise SettingsError(path + "group", f"is unknown: {scope!r}")
    return RequestClass(
        name=reader.text(path + "name", str(number)),
        latency_objective_s=reader.positive_number(path + "aim"),
        deadline_s=reader.positive_number(path + "deadline"),
        priority_weight=reader.number(path + "value"),
        late_priority_weight=reader.number(path + "late_value", 0.0),
        idempotence=_IDEMPOTENCE[idempotence],
        deduplication_scope=_SCOPES[scope],
        deduplication_window_s=reader.number(path + "window", 0.0),
        writes=number < len(writes) and writes[number] == "true",
        stream=reader.flag(path + "stream", False),
        ordered=reader.flag(path + "fifo_by_key", False),
    )


def _plan(reader: _SettingsReader, number: int) -> Plan:
    path = f"grades.{number}."
    return Plan(
        name=reader.text(path + "name", str(number)),
        rate=reader.number(path + "rate"),
        reserved_rate=reader.number(path + "floor_rate", 0.0),
        weight=reader.positive_number(path + "shares"),
        priority_factor=reader.number(path + "value_factor"),
        rate_limit=reader.number(path + "cap", 0.0),
        rate_limit_burst=reader.number(path + "cap_depth", 0.0),
        rate_limit_tolerance=reader.number(path + "tolerance", 0.0),
    )
