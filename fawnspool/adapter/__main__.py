"""`python -m fawnspool.adapter`: the decisions on the simulator's wire."""

from __future__ import annotations

import sys

from fawnspool.adapter.host import serve
from fawnspool.adapter.wire import WireError


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as bad:
        print(f"fawnspool.adapter: {bad}", file=sys.stderr)
        return 2
    return 0


sys.exit(main())
