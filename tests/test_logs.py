"""The form of the log's lines, and how many lines of one event are logged."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import Iterator
from typing import Any

import pytest

from fawnspool.telemetry import logs
from fawnspool.telemetry.record_limit import MAX_EVENTS, MAX_RECORDS_IN_SPAN, SPAN_S, RecordLimit

Capture = pytest.CaptureFixture[str]


@pytest.fixture(autouse=True)
def quiet_afterwards() -> Iterator[None]:
    yield
    logs.set_up("none")


def lines(capsys: Capture) -> list[dict[str, Any]]:
    return [json.loads(line) for line in capsys.readouterr().err.splitlines()]


def test_json_line_has_the_context_the_fields_the_event_its_level_and_time(capsys: Capture) -> None:
    logs.set_up("json")
    logs.get(head="n0").warning("endpoint_watch_silent", since_s=1.5, cause=ValueError("x"))
    (line,) = lines(capsys)
    assert list(line) == ["head", "since_s", "cause", "event", "level", "timestamp"]
    assert line | {"timestamp": ""} == {
        "head": "n0",
        "since_s": 1.5,
        "cause": "ValueError('x')",
        "event": "endpoint_watch_silent",
        "level": "warning",
        "timestamp": "",
    }
    assert re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z", line["timestamp"])


def test_exception_is_logged_with_its_traceback(capsys: Capture) -> None:
    logs.set_up("json")
    try:
        raise KeyError("absent")
    except KeyError as error:
        logs.get().error("first", exc_info=True)
        caught = error
    logs.get().error("second", exc_info=caught)
    for line in lines(capsys):
        assert "test_logs.py" in line["exception"] and "KeyError: 'absent'" in line["exception"]
        assert "exc_info" not in line


def test_console_line_is_text(capsys: Capture) -> None:
    logs.set_up("console")
    logs.get(head=0).info("serving", listen="h:1")
    assert re.search(r"\[info +\] serving +head=0 listen=h:1\n$", capsys.readouterr().err)


def test_events_below_the_level_are_not_logged(capsys: Capture) -> None:
    logs.set_up("none")
    logs.get().error("endpoint_watch_silent")
    logs.set_up("json")
    logs.get().debug("endpoint_watch_silent")
    assert capsys.readouterr().err == "" and not logging.getLogger("fawnspool").propagate


def test_event_that_a_peer_causes_without_a_pause_does_not_fill_the_log(capsys: Capture) -> None:
    """Guards against a line for each request: one client caused 280 lines of one event in 5 s."""
    logs.set_up("json")
    logger = logs.get()
    for _ in range(10 * MAX_RECORDS_IN_SPAN):
        logger.error("answer_overdue")
    logger.error("module_raised")
    events = [line["event"] for line in lines(capsys)]
    assert events == ["answer_overdue"] * MAX_RECORDS_IN_SPAN + ["module_raised"]


def test_next_record_says_how_many_were_dropped() -> None:
    limit = RecordLimit()
    assert [limit.dropped_before("e", 0.0) for _ in range(MAX_RECORDS_IN_SPAN + 3)][-4:] == [0, None, None, None]
    assert limit.dropped_before("e", SPAN_S) == 3
    assert limit.dropped_before("e", SPAN_S) == 0


def test_events_whose_names_never_end_take_bounded_memory() -> None:
    limit = RecordLimit()
    for number in range(3 * MAX_EVENTS):
        assert limit.dropped_before(f"node {number} suspected", 0.0) == 0
    assert len(limit._counts) == MAX_EVENTS
