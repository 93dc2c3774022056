"""Structured logs on standard error: readable text for a console, or one JSON object per line."""

from __future__ import annotations

import logging
import sys
from typing import Any, Protocol, cast

import structlog


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


def set_up(form: str) -> None:
    """Configure the process' logs.

    Parameters
    ----------
    form
        "console", "json", or "none" to log critical events only.
    """
    renderer: Any
    if form == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL if form == "none" else logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def get(**fields: Any) -> EventLogger:
    """Return a logger that adds `fields` to each of its events."""
    return cast(EventLogger, structlog.get_logger(**fields))
