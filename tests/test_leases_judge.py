"""The judge of leases on hand-written records: it finds each violation, and a clean run has no breach."""

from __future__ import annotations

from typing import Any

import pytest

from fawnspool.rules.history import read_history
from fawnspool.rules.leases import LeaseFinding, judge_leases

Rows = list[dict[str, Any]]


def effect(
    time_s: float, token: int, node: int = -1, head: int = 0, what: str = "fence", **more: Any
) -> dict[str, Any]:
    return {
        "k": "effect",
        "t": time_s,
        "node": node,
        "duty": "drain/0",
        "token": token,
        "who": 100 + head,
        "head": head,
        "what": what,
        "vol": "v",
        "key": "a",
        "gen": 1,
        "cell": 2,
        **more,
    }


def lease_change(time_s: float, what: str, head: int, token: int, end: float, why: str = "") -> dict[str, Any]:
    return {
        "k": "duty",
        "t": time_s,
        "head": head,
        "who": 100 + head,
        "what": what,
        "duty": "drain/0",
        "token": token,
        "end": end,
        "why": why,
    }


def fault(time_s: float, head: int, what: str, until: float) -> dict[str, Any]:
    return {"k": "fault", "t": time_s, "head": head, "what": what, "until": until, "duties": ["drain/0"]}


CLEAN_RUN: Rows = [
    lease_change(1.0, "took", 0, 1, 2.9),
    effect(1.01, 1),
    effect(1.02, 1, node=101),
    lease_change(1.5, "until", 0, 1, 3.4),
    fault(1.6, 0, "killed", 4.0),
    lease_change(3.5, "took", 3, 2, 5.4),
    effect(3.51, 2, head=3),
    effect(3.52, 2, node=101, head=3),
    effect(3.6, 2, head=3, what="flip"),
    {"k": "drained", "t": 9.0, "left": 0, "missing": 0, "twice": 0},
]


def judge_rows(rows: Rows) -> LeaseFinding:
    return judge_leases(read_history(rows), 2.0, True)


def test_a_correct_handover_is_no_breach_and_its_gap_is_measured() -> None:
    result = judge_rows(CLEAN_RUN)
    assert not result.finding.breaches and result.finding.looked_at == 5 and result.moved == 1
    assert result.gaps_s == {"killed": [pytest.approx(1.91)]} and (result.handed_over, result.without_cause) == (1, 0)


def test_a_handover_without_a_fault_is_counted_apart_from_a_rebalanced_role() -> None:
    rows_without_fault = [row for row in CLEAN_RUN if row["k"] != "fault"]
    assert judge_rows(rows_without_fault).without_cause == 1
    relieved = judge_rows([*rows_without_fault, lease_change(3.4, "lost", 0, 1, 3.4, "relieved")])
    assert (relieved.without_cause, relieved.relieved) == (0, 1)


@pytest.mark.parametrize(
    "name, rows, text",
    [
        ("a node forgot its fence", [effect(3.7, 1, node=101)], "took fence of drain/0 under token 1 after 2"),
        ("a step without a token", [effect(3.7, -1, node=101, duty="", what="open")], "without a token"),
        ("one token, two incarnations", [effect(3.7, 2, node=102, head=4)], "another life"),
        ("a step after the lease", [effect(3.9, 1, node=102)], "after a newer holder had"),
        ("two holders at once", [lease_change(3.3, "until", 0, 1, 4.4)], "hold it for"),
        ("acceptors forgot a token", [lease_change(6.0, "took", 4, 2, 8.0)], "was given token 2"),
        ("an extent moved twice", [effect(4.0, 2, head=3, what="flip", gen=2)], "moved 2 times"),
        ("an extent moved to two cells", [effect(4.0, 2, head=3, what="flip", cell=4)], "is in 2 and 4"),
        ("an incomplete drain", [{"k": "drained", "t": 9.1, "left": 3, "missing": 0, "twice": 0}], "still lie"),
        ("a lost extent", [{"k": "drained", "t": 9.1, "left": 0, "missing": 1, "twice": 0}], "nowhere"),
    ],
)
def test_finds_each_violation(name: str, rows: Rows, text: str) -> None:
    found = [breach.text for breach in judge_rows([*CLEAN_RUN, *rows]).finding.breaches]
    assert any(text in breach_text for breach_text in found), (name, found)


def test_a_late_step_is_allowed_only_if_its_own_gateway_was_stopped() -> None:
    late_step = effect(3.9, 1, node=102)
    assert judge_rows([*CLEAN_RUN, late_step, fault(2.0, 0, "stopped", 3.89)]).finding.breaches == []
    # The fault of another gateway, and one that delays no steps.
    assert judge_rows([*CLEAN_RUN, late_step, fault(2.0, 3, "stopped", 3.89)]).finding.breaches
    assert judge_rows([*CLEAN_RUN, late_step, fault(2.0, 0, "cut off", 3.89)]).finding.breaches
