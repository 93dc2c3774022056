"""structlog, set up once: for people on a console, or a JSON object a line. Always on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog


def set_up(form: str) -> None:
    """form: "console", "json" or "none"."""
    last: Any = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL if form == "none" else logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def get(**bound: Any) -> Any:
    return structlog.get_logger(**bound)
