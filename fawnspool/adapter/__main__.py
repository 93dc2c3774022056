"""`python -m fawnspool.adapter`: serves the scheduler on the simulator's wire protocol."""

from __future__ import annotations

import sys

from fawnspool.adapter.host import serve
from fawnspool.adapter.wire import WireError


def main() -> int:
    """Serve standard input, and return the exit code: 2 after a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        sys.stderr.write(f"fawnspool.adapter: {error}\n")
        return 2
    return 0


sys.exit(main())
