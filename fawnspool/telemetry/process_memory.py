"""The memory that this process holds, as the system counts it."""

from __future__ import annotations

import os

_STATM = "/proc/self/statm"  # proc(5): sizes in pages
_RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not report it."""
    try:
        descriptor = os.open(_STATM, os.O_RDONLY)
    except OSError:
        return 0
    try:
        fields = os.read(descriptor, 256).split()
    except OSError:
        return 0
    finally:
        os.close(descriptor)
    return int(fields[_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
