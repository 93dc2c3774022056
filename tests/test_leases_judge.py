"""The judge of leases on records made by hand: each fault is found, and a clean run has no breach."""

from __future__ import annotations

from typing import Any

import pytest

from fawnspool.rules.history import read_history
from fawnspool.rules.leases import LeaseFinding, judge_leases

Rows = list[dict[str, Any]]


def effect(t: float, token: int, node: int = -1, head: int = 0, what: str = "fence", **more: Any) -> dict[str, Any]:
    return {
        "k": "effect",
        "t": t,
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


def duty(t: float, what: str, head: int, token: int, end: float, why: str = "") -> dict[str, Any]:
    return {
        "k": "duty",
        "t": t,
        "head": head,
        "who": 100 + head,
        "what": what,
        "duty": "drain/0",
        "token": token,
        "end": end,
        "why": why,
    }


def fault(t: float, head: int, what: str, until: float) -> dict[str, Any]:
    return {"k": "fault", "t": t, "head": head, "what": what, "until": until, "duties": ["drain/0"]}


WELL: Rows = [
    duty(1.0, "took", 0, 1, 2.9),
    effect(1.01, 1),
    effect(1.02, 1, node=101),
    duty(1.5, "until", 0, 1, 3.4),
    fault(1.6, 0, "killed", 4.0),
    duty(3.5, "took", 3, 2, 5.4),
    effect(3.51, 2, head=3),
    effect(3.52, 2, node=101, head=3),
    effect(3.6, 2, head=3, what="flip"),
    {"k": "drained", "t": 9.0, "left": 0, "missing": 0, "twice": 0},
]


def judged(rows: Rows) -> LeaseFinding:
    return judge_leases(read_history(rows), 2.0, True)


def test_a_hand_over_as_it_should_be_is_no_breach_and_is_timed() -> None:
    out = judged(WELL)
    assert not out.finding.breaches and out.finding.looked_at == 5 and out.moved == 1
    assert out.gaps_s == {"killed": [pytest.approx(1.91)]} and (out.handed_over, out.without_cause) == (1, 0)


def test_a_hand_over_without_a_fault_is_counted_and_a_relief_is_told_apart() -> None:
    calm = [r for r in WELL if r["k"] != "fault"]
    assert judged(calm).without_cause == 1
    relieved = judged([*calm, duty(3.4, "lost", 0, 1, 3.4, "relieved")])
    assert (relieved.without_cause, relieved.relieved) == (0, 1)


@pytest.mark.parametrize(
    "name, rows, text",
    [
        ("a place forgot its fence", [effect(3.7, 1, node=101)], "took fence of drain/0 under token 1 after 2"),
        ("a step without a token", [effect(3.7, -1, node=101, duty="", what="open")], "without a token"),
        ("one token, two lives", [effect(3.7, 2, node=102, head=4)], "another life"),
        ("acts after its lease", [effect(3.9, 1, node=102)], "after a newer holder had"),
        ("two hold at once", [duty(3.3, "until", 0, 1, 4.4)], "hold it for"),
        ("voters forgot", [duty(6.0, "took", 4, 2, 8.0)], "was given token 2"),
        ("a move done again", [effect(4.0, 2, head=3, what="flip", gen=2)], "moved 2 times"),
        ("a move to two cells", [effect(4.0, 2, head=3, what="flip", cell=4)], "is in 2 and 4"),
        ("a drain that did not end", [{"k": "drained", "t": 9.1, "left": 3, "missing": 0, "twice": 0}], "still lie"),
        ("an extent that is lost", [{"k": "drained", "t": 9.1, "left": 0, "missing": 1, "twice": 0}], "nowhere"),
    ],
)
def test_each_fault_is_found(name: str, rows: Rows, text: str) -> None:
    found = [b.text for b in judged([*WELL, *rows]).finding.breaches]
    assert any(text in t for t in found), (name, found)


def test_a_late_step_is_excused_where_its_head_stood_still_and_only_there() -> None:
    late = effect(3.9, 1, node=102)
    assert judged([*WELL, late, fault(2.0, 0, "stopped", 3.89)]).finding.breaches == []
    assert judged([*WELL, late, fault(2.0, 3, "stopped", 3.89)]).finding.breaches  # another head's
    assert judged([*WELL, late, fault(2.0, 0, "cut off", 3.89)]).finding.breaches  # its steps were not held back
