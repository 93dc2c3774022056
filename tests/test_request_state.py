"""Tests that a request gets exactly one final answer, in whichever order its events happen.

The decision module, an attempt, a disconnect and the gateway's own timeout can each end a request at nearly the same
time; if the second one settled it as well, its client would get two answers.
"""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.gateway.answer_reasons import reason_for_client, reason_label
from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.gateway.request_state import (
    TRANSITIONS,
    AnswerKind,
    ClientRequest,
    NodeAnswer,
    NodeAttempt,
    RequestBody,
    RequestEvent,
    RequestState,
)
from fawnspool.scheduling.interface import Request

REQUEST = Request(1, 0, 0, 0, 1.0, 7, 1.0, 0, 1, False, False)


def pending_request(**fields: Any) -> ClientRequest:
    return ClientRequest(
        REQUEST, b"GET", b"/", [], RequestBody(b"", 0), None, "op", "", 0.0, 1.0, "read", "p", **fields
    )


def apply_event(pending: ClientRequest, event: RequestEvent) -> bool:
    if event is RequestEvent.START_STREAM:
        return pending.start_streaming()
    return pending.settle(AnswerKind.FAILED)


@pytest.mark.parametrize("state", RequestState)
@pytest.mark.parametrize("event", RequestEvent)
def test_state_changes_only_as_the_transition_table_lists(state: RequestState, event: RequestEvent) -> None:
    pending = pending_request(state=state)
    assert apply_event(pending, event) is ((state, event) in TRANSITIONS)
    assert pending.state is TRANSITIONS.get((state, event), state)


def test_no_transition_leaves_the_settled_state() -> None:
    assert not [state for state, _ in TRANSITIONS if state is RequestState.SETTLED]


@given(st.lists(st.tuples(st.sampled_from(AnswerKind), st.booleans()), min_size=1, max_size=8))
def test_first_final_answer_is_kept(calls: list[tuple[AnswerKind, bool]]) -> None:
    pending = pending_request()
    settled: list[tuple[AnswerKind, NodeAnswer]] = []
    for kind, streams_before in calls:
        if streams_before:
            was_open = pending.state is RequestState.OPEN
            assert pending.start_streaming() is was_open
        answer = NodeAnswer(200, {})
        if pending.settle(kind, answer):
            settled.append((kind, answer))
    assert len(settled) == 1 and pending.done.is_set
    assert pending.answer_kind is settled[0][0] and pending.answer is settled[0][1]


RESET = AttemptEnding.RESET
CLOSED = AttemptEnding.CLOSED


@pytest.mark.parametrize(
    ("endings", "label", "reason"),
    [
        ([], "turned away before any attempt", "turned away before any attempt"),
        ([None], "given up while an attempt was out", "given up while an attempt was out"),
        ([RESET], RESET.value, f"1 attempt; the last: {RESET.value}"),
        ([RESET, CLOSED], CLOSED.value, f"2 attempts; the last: {CLOSED.value}"),
        ([RESET, None], RESET.value, f"2 attempts; the last: {RESET.value}"),
    ],
)
def test_failed_request_reports_its_last_finished_attempt(
    endings: list[AttemptEnding | None], label: str, reason: str
) -> None:
    pending = pending_request()
    for number, ending in enumerate(endings):
        pending.attempts.append(NodeAttempt(number, 1, 0.0, 1.0, ending=ending))
    pending.settle(AnswerKind.FAILED)
    assert reason_label(pending).startswith(label)
    assert reason_for_client(pending).startswith(reason)


def test_served_request_reports_no_failed_attempt() -> None:
    pending = pending_request(attempts=[NodeAttempt(0, 1, 0.0, 1.0, ending=AttemptEnding.RESET)])
    pending.settle(AnswerKind.SERVED)
    assert reason_label(pending) == reason_for_client(pending) == "served"


@pytest.mark.parametrize(
    ("kind", "answer", "status"),
    [
        (AnswerKind.SERVED, NodeAnswer(404, {}), 404),
        (AnswerKind.SERVED, None, None),
        (AnswerKind.FAILED, NodeAnswer(200, {}), None),
    ],
)
def test_only_a_served_request_has_a_nodes_status(
    kind: AnswerKind, answer: NodeAnswer | None, status: int | None
) -> None:
    pending = pending_request()
    pending.settle(kind, answer)
    assert pending.served_status == status
