"""Retry delays for reading a configuration file that was incomplete, as it may still be being written."""

from __future__ import annotations

RETRY_DELAY_S = 0.1
_MAX_RETRIES = 9


def retry_delay_s(failed_reads: int) -> float | None:
    """Return the seconds until the next read after `failed_reads` failed ones; None: the file counts as invalid."""
    if failed_reads > _MAX_RETRIES:
        return None
    return RETRY_DELAY_S
