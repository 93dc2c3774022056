"""The limit on the memory that request bodies over the usual size may use together."""

from __future__ import annotations

LONG_BODY_DIVISOR = 8  # long bodies together may use this part, one eighth, of the process's memory


def admits_long_body(size_bytes: int, held_bytes: int, memory_bytes: int) -> bool:
    """Return whether one more long body may be held; clients may send any number of them at the same time.

    Parameters
    ----------
    size_bytes
        Size of the body.
    held_bytes
        Total size of the long bodies in memory already.
    memory_bytes
        Memory that the process may use in total.
    """
    return held_bytes + size_bytes <= memory_bytes // LONG_BODY_DIVISOR
