"""Structured logs on standard error: readable text for a console, or one JSON object per line.

They use the standard library's `logging`: the live gateway may have little memory, and every library that it imports
takes some of it for good.
"""

from __future__ import annotations

import json
import logging
import sys
import time
from collections.abc import Mapping
from typing import Any, Protocol

from fawnspool.telemetry.record_limit import RecordLimit

_LOGGER = logging.getLogger("fawnspool")
_LOGGER.propagate = False
_LOGGER.addHandler(logging.NullHandler())
_CONSOLE_EVENT_CHARS = 30


class EventLogger(Protocol):
    """A structured logger, which logs an event's text with its fields.

    The field `exc_info` has a special meaning: an exception to log, or True for the exception being handled.
    """

    def debug(self, event: str, **fields: Any) -> Any:
        """Log an event that is only of use for debugging."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log an expected event."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log an unexpected event that the gateway handles."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log an event that an operator has to investigate."""


class _FieldsLogger:
    """Passes events with their fields to `logging`; `context` is added to each."""

    def __init__(self, context: Mapping[str, Any]) -> None:
        self._context = context

    def debug(self, event: str, **fields: Any) -> None:
        self._log(logging.DEBUG, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        self._log(logging.INFO, event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, **fields: Any) -> None:
        self._log(logging.ERROR, event, fields)

    def _log(self, level: int, event: str, fields: dict[str, Any]) -> None:
        if not _LOGGER.isEnabledFor(level):
            return
        exc_info = fields.pop("exc_info", None)
        _LOGGER.log(level, event, exc_info=exc_info, extra={"fields": {**self._context, **fields}})


class _LimitedRecords(logging.Filter):
    """Drops records of an event that is logged too often; the next one that passes says how many were dropped."""

    def __init__(self) -> None:
        super().__init__()
        self._limit = RecordLimit()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the record is logged."""
        dropped = self._limit.dropped_before(str(record.msg), time.monotonic())
        if dropped is None:
            return False
        if dropped:
            record.fields["dropped_before"] = dropped  # type: ignore[attr-defined]
        return True


class _JsonFormatter(logging.Formatter):
    """One JSON object per record: the fields, then the event, its level and time."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        return json.dumps(_fields(self, record), default=repr)


class _ConsoleFormatter(logging.Formatter):
    """One line of text per record."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record; that of an exception has its traceback below."""
        fields = _fields(self, record)
        timestamp, level, event = fields.pop("timestamp"), fields.pop("level"), fields.pop("event")
        exception = fields.pop("exception", "")
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        line = f"{timestamp} [{level:7}] {event:{_CONSOLE_EVENT_CHARS}} {text}".rstrip()
        return f"{line}\n{exception}" if exception else line


def _fields(formatter: logging.Formatter, record: logging.LogRecord) -> dict[str, Any]:
    fields: dict[str, Any] = dict(getattr(record, "fields", {}))
    if record.exc_info and record.exc_info[0] is not None:
        fields["exception"] = formatter.formatException(record.exc_info)
    fields["event"] = str(record.msg)
    fields["level"] = record.levelname.lower()
    seconds, microseconds = divmod(int(record.created * 1_000_000), 1_000_000)
    fields["timestamp"] = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds)) + f".{microseconds:06d}Z"
    return fields


def set_up(form: str) -> None:
    """Configure the process' logs.

    Parameters
    ----------
    form
        "console", "json", or "none" to log critical events only.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter() if form == "json" else _ConsoleFormatter())
    handler.addFilter(_LimitedRecords())
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(logging.CRITICAL if form == "none" else logging.INFO)


def get(**fields: Any) -> EventLogger:
    """Return a logger that adds `fields` to each of its events."""
    return _FieldsLogger(fields)
