"""The command line that the soaks share: how many seeds to run, and from which one on."""

from __future__ import annotations

import sys
from collections.abc import Callable


def usage_of(name: str) -> str:
    """Return the usage of the soak of a module."""
    return f"usage: python -m tests.e2e.{name} SEEDS [FIRST]: whole numbers from 1 on"


def run_soak(usage: str, soak: Callable[[int, int], int], arguments: list[str]) -> int:
    """Run `soak(first, seeds)` and return the exit status: 1 if anything went wrong, 2 for invalid arguments."""
    numbers = [int(text) if text.isdecimal() else 0 for text in arguments]
    if len(numbers) not in (1, 2) or min(numbers) < 1:
        print(usage, file=sys.stderr)
        return 2
    return 1 if soak(numbers[1] if len(numbers) > 1 else 1, numbers[0]) else 0
