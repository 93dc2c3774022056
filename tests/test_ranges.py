"""Parsing of byte ranges and entity tags (RFC 9110)."""

from __future__ import annotations

import pytest

from fawnspool.net.exceptions import (
    RangeNotSatisfiableError,
)
from fawnspool.net.ranges import etag_matches, parse_range


@pytest.mark.parametrize(
    ("field", "size", "expected"),
    [
        ("bytes=0-4", 10, (0, 5)),
        ("bytes=5-", 10, (5, 5)),
        ("bytes=-3", 10, (7, 3)),
        ("bytes=-30", 10, (0, 10)),
        ("bytes=0-99", 10, (0, 10)),
        ("bytes=5-2", 10, None),
        ("bytes=0-1,3-4", 10, None),
        ("lines=0-1", 10, None),
        ("bytes=-", 10, None),
        ("bytes=a-b", 10, None),
    ],
)
def test_parses_byte_ranges(field: str, size: int, expected: tuple[int, int] | None) -> None:
    assert parse_range(field, size) == expected


@pytest.mark.parametrize(("field", "size"), [("bytes=10-", 10), ("bytes=-0", 10), ("bytes=0-", 0), ("bytes=-5", 0)])
def test_rejects_unsatisfiable_ranges(field: str, size: int) -> None:
    with pytest.raises(RangeNotSatisfiableError):
        parse_range(field, size)


def test_matches_entity_tags() -> None:
    assert etag_matches("*", "a", False) and not etag_matches("*", None, True)
    assert etag_matches('"b", "a"', "a", False) and not etag_matches('"b"', "a", False)
    assert etag_matches('W/"a"', "a", True) and not etag_matches('W/"a"', "a", False)
