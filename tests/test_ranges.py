"""Byte ranges and entity tags of RFC 9110."""

from __future__ import annotations

import pytest

from fawnspool.net.exceptions import (
    RangeNotSatisfiableError,
)
from fawnspool.net.ranges import etag_matches, parse_range


@pytest.mark.parametrize(
    ("text", "size", "want"),
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
def test_ranges(text: str, size: int, want: tuple[int, int] | None) -> None:
    assert parse_range(text, size) == want


@pytest.mark.parametrize(("text", "size"), [("bytes=10-", 10), ("bytes=-0", 10), ("bytes=0-", 0), ("bytes=-5", 0)])
def test_ranges_that_cannot_be_met(text: str, size: int) -> None:
    with pytest.raises(RangeNotSatisfiableError):
        parse_range(text, size)


def test_entity_tags() -> None:
    assert etag_matches("*", "a", False) and not etag_matches("*", None, True)
    assert etag_matches('"b", "a"', "a", False) and not etag_matches('"b"', "a", False)
    assert etag_matches('W/"a"', "a", True) and not etag_matches('W/"a"', "a", False)
