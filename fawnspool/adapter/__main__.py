"""`python -m fawnspool.adapter`: the scheduler on the simulator's wire."""

from __future__ import annotations

import sys

from fawnspool.adapter.host import serve
from fawnspool.adapter.wire import WireError


def main() -> int:
    """Serve standard input, and return the exit code: 2 where a frame did not read."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        sys.stderr.write(f"fawnspool.adapter: {error}\n")
        return 2
    return 0


sys.exit(main())
