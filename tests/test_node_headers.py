"""The headers between gateways and nodes: encoding and parsing are inverse, and malformed values are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.net.node_headers import (
    AttemptHeader,
    NodeReport,
    object_target,
    parse_attempt_header,
    parse_node_report,
    parse_object_target,
)


@given(st.integers(0, 99), st.integers(0, 2**52), st.integers(0, 9), st.integers(0, 2**64 - 1), st.integers(0, 99999))
def test_encoded_attempt_headers_and_node_reports_parse_back(
    gateway_id: int, request_id: int, attempt: int, extent: int, time_left_ms: int
) -> None:
    header = AttemptHeader(
        gateway_id, request_id, attempt, 1, 3.0, extent, "keyed", "zone", 5.0, time_left_ms / 1000, "op-1", "k.2"
    )
    assert parse_attempt_header(header.encode()) == header
    report = NodeReport(attempt, request_id % 100 / 4 or None, (1.0, 2.5), True)
    assert parse_node_report(report.encode()) == report
    assert parse_node_report(None) == NodeReport()


@pytest.mark.parametrize("raw", [b"", b"1;2;3", b"a;1;0;0;1;0;safe;cell;0;0;;", b"\xff" * 30])
def test_malformed_attempt_header_raises_value_error(raw: bytes) -> None:
    with pytest.raises(ValueError):  # the node responds with 400 to any ValueError
        parse_attempt_header(raw)


@given(st.text(min_size=1, max_size=40), st.text(min_size=1, max_size=40))
def test_object_targets_parse_back(volume: str, key: str) -> None:
    try:
        raw = object_target(volume, key)
    except UnicodeEncodeError:
        return
    assert parse_object_target(raw) == (volume, key, "")
