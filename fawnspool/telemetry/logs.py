"""Structured logs on standard error: for people on a console, or a JSON object a line."""

from __future__ import annotations

import logging
import sys
from typing import Any, Protocol, cast

import structlog


class EventLogger(Protocol):
    """A structured logger: the event's text, and fields that belong to it.

    `exc_info` is a field of its own kind: the exception, or True for the one that is handled just now.
    """

    def debug(self, event: str, **fields: Any) -> Any:
        """Log what helps only while looking for a cause."""

    def info(self, event: str, **fields: Any) -> Any:
        """Log what is expected."""

    def warning(self, event: str, **fields: Any) -> Any:
        """Log what a gateway copes with."""

    def error(self, event: str, **fields: Any) -> Any:
        """Log what somebody has to look into."""


def set_up(form: str) -> None:
    """Configure the process' logs.

    Parameters
    ----------
    form
        "console", "json", or "none" for critical events alone.
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
