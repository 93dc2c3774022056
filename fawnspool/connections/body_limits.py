"""How much memory request bodies over the usual size may hold together."""

from __future__ import annotations

LONG_BODY_DIVISOR = 8  # of the process's memory, one such part


def admits_long_body(size_bytes: int, held_bytes: int, memory_bytes: int) -> bool:
    """Tell whether one more long body may be held: clients decide how many of them come at once.

    Parameters
    ----------
    size_bytes
        Of the body.
    held_bytes
        Of long bodies in memory already.
    memory_bytes
        That the process may use in all.
    """
    return held_bytes + size_bytes <= memory_bytes // LONG_BODY_DIVISOR
