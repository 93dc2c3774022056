"""Parsing of byte ranges and entity tags (RFC 9110) in header fields. No I/O."""

from __future__ import annotations

import re

from fawnspool.net.exceptions import RangeNotSatisfiableError

_RANGE = re.compile(r"bytes=\s*(\d*)-(\d*)\s*$")
_WEAK = "W/"


def parse_range(field: str, size: int) -> tuple[int, int] | None:
    """Parse a Range field for a representation of `size` bytes.

    Returns
    -------
    tuple of (start, length), or None
        None: ignore the field and send the whole representation (malformed, another unit, or several ranges).

    Raises
    ------
    RangeNotSatisfiableError
        The response must be a 416.
    """
    match = _RANGE.match(field)
    if match is None:
        return None
    first, last = match[1], match[2]
    if first == last == "":
        return None
    if first == "":
        return _suffix_range(int(last), size)
    start = int(first)
    if last and int(last) < start:
        return None
    if start >= size:
        raise RangeNotSatisfiableError
    end = size - 1
    if last:
        end = min(int(last), end)
    return start, end - start + 1


def _suffix_range(length: int, size: int) -> tuple[int, int]:
    """Return the range of the last `length` bytes."""
    if length == 0 or size == 0:
        raise RangeNotSatisfiableError
    return max(0, size - length), min(length, size)


def etag_matches(field: str, etag: str | None, weak: bool) -> bool:
    """Return whether a precondition field lists an object's entity tag.

    Parameters
    ----------
    field
        Value of If-Match or If-None-Match.
    etag
        The object's tag; None: the object does not exist.
    weak
        Whether weak tags match: true for If-None-Match, false for If-Match.
    """
    if field.strip() == "*":
        return etag is not None
    if etag is None:
        return False
    for part in field.split(","):
        tag = part.strip()
        if tag.startswith(_WEAK):
            if not weak:
                continue
            tag = tag[len(_WEAK) :]
        if tag.strip('"') == etag:
            return True
    return False
