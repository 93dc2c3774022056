"""Byte ranges and entity tags of RFC 9110, read from header fields. No I/O."""

from __future__ import annotations

import re

_RANGE = re.compile(r"bytes=\s*(\d*)-(\d*)\s*$")


def read_range(text: str, size: int) -> tuple[int, int] | None:
    """(start, length) of a single range over `size` bytes; None: the field is to be ignored, the whole is sent
    (another unit, or several ranges). Raises IndexError where the range can't be met (416)."""
    found = _RANGE.match(text)
    if found is None or found[1] == found[2] == "":
        return None
    if found[1] == "":
        last = int(found[2])
        if last == 0 or size == 0:
            raise IndexError
        return max(0, size - last), min(last, size)
    start = int(found[1])
    if found[2] and int(found[2]) < start:
        return None
    if start >= size:
        raise IndexError
    end = min(int(found[2]) if found[2] else size - 1, size - 1)
    return start, end - start + 1


def tag_matches(field: str, etag: str | None, weak: bool) -> bool:
    """Does If-Match (weak=False) or If-None-Match (weak=True) name `etag`? etag None: there is no object."""
    if field.strip() == "*":
        return etag is not None
    if etag is None:
        return False
    for item in field.split(","):
        item = item.strip()
        if item.startswith("W/"):
            if not weak:
                continue
            item = item[2:]
        if item.strip('"') == etag:
            return True
    return False
