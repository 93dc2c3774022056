"""How much memory request bodies over the usual size may hold together."""

from __future__ import annotations

LONG_BODY_DIVISOR = 8  # of the process's memory, one such part


def admits_long_body(size: int, held: int, memory: int) -> bool:
    """Tell whether one more long body may be held: clients decide how many of them come at once.

    Parameters
    ----------
    size
        Bytes of the body.
    held
        Bytes of long bodies held already.
    memory
        Bytes that the process may use in all.
    """
    return held + size <= memory // LONG_BODY_DIVISOR
