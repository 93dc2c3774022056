"""The checker itself: a clean story is kept, and each doctored one is caught by its own rule and no other."""

from __future__ import annotations

from typing import Any

import pytest

from fawnspool.rules.history import read_history
from fawnspool.rules.judge import MAX_ALLOWANCE_S, judge_run
from fawnspool.rules.terms import RuleTerms, VolumeLimit

TERMS = RuleTerms(
    drain_grace_s=0.25,
    cold_window_s=2.0,
    cold_multiple=2.0,
    cold_slack_units=8.0,
    limits={"v": VolumeLimit(10.0, 16.0, 8.0)},
    ordered_classes=frozenset((1,)),
    settle_s=0.3,
    retry_minimum=2,
    retry_ratio=0.1,
    retry_window_s=10.0,
)
Rows = list[dict[str, Any]]


def ask(t: float, op: str, **more: Any) -> dict[str, Any]:
    return {
        "k": "ask",
        "t": t,
        "op": op,
        "n": 0,
        "head": 0,
        "vol": "u",
        "cls": 0,
        "units": 1,
        "pat": 1.0,
        "e": "safe",
        "w": False,
    } | more


def got(t: float, op: str, how: str = "served", **more: Any) -> dict[str, Any]:
    return {"k": "got", "t": t, "op": op, "n": 0, "head": 0, "how": how, "s": 200} | more


def came(t: float, op: str, ident: int, **more: Any) -> dict[str, Any]:
    return {
        "k": "in",
        "t": t,
        "node": 1,
        "head": 0,
        "id": ident,
        "n": 0,
        "cls": 0,
        "units": 1.0,
        "op": op,
        "vol": "u",
        "x": 0,
        "e": "safe",
        "w": False,
        "m": "GET",
    } | more


def out(t: float, op: str, ident: int, **more: Any) -> dict[str, Any]:
    return {
        "k": "out",
        "t": t,
        "node": 1,
        "head": 0,
        "id": ident,
        "n": 0,
        "op": op,
        "s": 200,
        "lost": "",
        "how": "",
    } | more


def did(t: float, op: str, ident: int, **more: Any) -> dict[str, Any]:
    return {
        "k": "did",
        "t": t,
        "node": 1,
        "head": 0,
        "id": ident,
        "n": 0,
        "op": op,
        "e": "safe",
        "dropped": False,
    } | more


def one(t: float, op: str, ident: int, **more: Any) -> Rows:
    """A whole request that went well."""
    return [
        ask(t, op, **{k: v for k, v in more.items() if k in ("cls", "vol", "units", "e", "pat")}),
        came(t + 0.01, op, ident, **more),
        out(t + 0.05, op, ident),
        got(t + 0.06, op),
    ]


UP = {"k": "head", "t": 0.0, "head": 0, "what": "up"}
CLEAN: Rows = [
    UP,
    {"k": "up", "t": 0.0, "node": 1, "cold": False, "power": 100.0, "cold_from": 0.3, "warm_after": 8.0},
    *one(1.0, "a", 1),
    *one(2.0, "b", 2, e="unsafe"),
    did(2.02, "b", 2, e="unsafe"),
    *one(3.0, "c", 3, cls=1, x=7),
    *one(3.2, "d", 4, cls=1, x=7),
    *one(4.0, "e", 5, vol="v", units=8.0),
    {"k": "told", "t": 5.0, "head": 0, "node": 1, "phase": "draining", "age": -1.0},
]


def broken(rows: Rows) -> set[str]:
    return {f.rule for f in judge_run(read_history([*CLEAN, *rows]), TERMS).findings if f.breaches}


def test_a_clean_story_is_kept() -> None:
    verdict = judge_run(read_history(CLEAN), TERMS)
    assert verdict.kept and not verdict.too_noisy
    looked = {f.rule: f.looked_at for f in verdict.findings}
    assert looked["answered once"] == 5 and looked["no effect twice"] == 1 and looked["order kept"] == 2
    assert looked["limits kept"] == 1 and looked["drains kept"] == 5


@pytest.mark.parametrize(
    ("rule", "rows"),
    [
        ("answered once", [ask(6, "x")]),
        ("answered once", [ask(6, "x"), got(6.5, "x", "closed")]),
        ("answered once", [ask(6, "x"), got(7.1, "x")]),
        ("answered once", [ask(6, "x"), got(7.1, "x", "none")]),
        ("answered once", [ask(6, "x"), got(6.1, "x"), got(6.2, "x")]),
        ("answered once", [ask(6, "x"), got(6.1, "x"), {"k": "extra", "t": 6.2, "op": "x", "n": 0, "head": 0}]),
        ("answered once", [ask(4.1, "x"), got(4.2, "x", "refused"), came(4.3, "x", 9)]),
        ("no effect twice", [did(6, "b", 9, e="unsafe")]),
        ("no effect twice", [did(6, "k", 9, e="keyed"), did(6.1, "k", 9, e="keyed", n=1)]),
        ("no effect twice", [came(4.1, "u", 9, e="unsafe", node=1), came(4.5, "u", 9, e="unsafe", node=2, n=1)]),
        (
            "no effect twice",
            [
                ask(4.1, "u", e="unsafe"),
                came(4.2, "u", 9, e="unsafe"),
                out(4.3, "u", 9, s=0, lost="lose"),
                got(4.9, "u", "refused"),
            ],
        ),
        ("drains kept", [ask(5.4, "x"), came(5.5, "x", 9), out(5.6, "x", 9), got(5.7, "x")]),
        ("order kept", [*one(4.1, "x", 9, cls=1, x=8), *one(4.12, "y", 10, cls=1, x=8)]),
        (
            "order kept",
            [
                ask(4.1, "x", cls=1),
                came(4.11, "x", 9, cls=1, x=8),
                out(4.2, "x", 9, s=0, lost="lose"),
                got(4.3, "x", "failed"),
                *one(4.3, "y", 10, cls=1, x=8),
            ],
        ),
        (
            "order kept",
            [
                ask(4.1, "x", cls=1),
                ask(4.2, "y", cls=1),
                came(4.3, "y", 10, cls=1, x=8),
                out(4.35, "y", 10),
                got(4.36, "y"),
                came(4.4, "x", 9, cls=1, x=8),
                out(4.45, "x", 9),
                got(4.46, "x"),
            ],
        ),
        (
            "order kept",
            [
                ask(4.1, "x", cls=1),
                ask(4.3, "y", cls=1),
                came(4.4, "y", 9, cls=1, x=8),
                out(4.45, "y", 9),
                got(4.46, "y"),
                came(4.5, "x", 10, cls=1, x=8),
                out(4.55, "x", 10),
                got(4.56, "x"),
            ],
        ),
        ("limits kept", [r for k in range(4) for r in one(4.1 + k / 50, f"l{k}", 20 + k, vol="v", units=8.0)]),
    ],
)
def test_a_doctored_story_is_caught(rule: str, rows: Rows) -> None:
    assert broken(rows) == {rule}


def test_attempts_beyond_the_budget_are_caught() -> None:
    rows: Rows = []
    for k in range(4):
        rows += [
            ask(4 + k / 10, f"x{k}"),
            came(4.01 + k / 10, f"x{k}", 30 + k),
            out(4.02 + k / 10, f"x{k}", 30 + k, s=500),
            came(4.03 + k / 10, f"x{k}", 30 + k, n=1),
            out(4.04 + k / 10, f"x{k}", 30 + k, n=1),
            got(4.05 + k / 10, f"x{k}"),
        ]
    assert broken(rows) == {"attempts in budget"}
    assert broken(rows[:12]) == set()  # two are free


def cold(load: float) -> Rows:
    """A node that starts cold at 10 and is sent `load` units by a head that was told of it."""
    rows: Rows = [
        {"k": "up", "t": 10.0, "node": 2, "cold": True, "power": 100.0, "cold_from": 0.3, "warm_after": 8.0},
        {"k": "told", "t": 10.1, "head": 0, "node": 2, "phase": "ready", "age": 0.1},
    ]
    for k in range(int(load)):
        rows += one(10.2 + k / 1000, f"c{k}", 100 + k, node=2)
    return rows


def test_a_cold_node_pushed_over_is_caught_and_one_within_its_power_is_not() -> None:
    assert broken(cold(200)) == {"cold nodes spared"}
    assert broken(cold(90)) == set()


def test_a_push_by_heads_that_were_not_told_is_not_theirs() -> None:
    rows = [r for r in cold(200) if r["k"] != "told"]
    assert broken(rows) == set()


def test_what_excuses_a_missing_answer() -> None:
    killed = [ask(6, "x"), {"k": "head", "t": 6.5, "head": 0, "what": "killed"}]
    assert broken(killed) == set()
    assert broken([ask(6, "x"), {"k": "head", "t": 7.5, "head": 0, "what": "killed"}]) == {"answered once"}
    assert broken([ask(6, "x"), got(6.1, "x", "unreached")]) == set()
    assert broken([ask(6, "x"), got(6.1, "x", "left")]) == set()
    stalled = {"k": "stall", "t": 6.5, "head": 0, "until": 8.0}
    assert broken([ask(6, "x"), got(7.3, "x", "none"), stalled]) == set()
    assert broken([ask(6, "x"), got(8.003, "x"), stalled]) == set()
    assert broken([ask(6, "x", pat=2.05), got(8.09, "x"), stalled]) == set()
    assert broken([ask(6, "x", pat=2.05), got(8.2, "x"), stalled]) == {"answered once"}  # it had come back


def test_refusals_and_repeats_that_are_allowed() -> None:
    assert (
        broken(
            [
                ask(4.1, "u", e="unsafe"),
                came(4.2, "u", 9, e="unsafe"),
                out(4.3, "u", 9, s=503, how="full"),
                came(4.4, "u", 9, e="unsafe", n=1),
                out(4.5, "u", 9, n=1),
                got(4.6, "u"),
            ]
        )
        == set()
    )
    assert broken([did(6, "k", 9, e="keyed"), did(6.1, "k", 9, e="keyed", n=1, dropped=True)]) == set()
    assert broken([ask(5.1, "x"), came(5.2, "x", 9), out(5.3, "x", 9), got(5.4, "x")]) == set()  # within the grace


def test_a_stalled_head_hears_of_a_drain_when_it_moves_again() -> None:
    stall = {"k": "stall", "t": 4.9, "head": 0, "until": 6.0}
    row = [ask(6.01, "x"), came(6.1, "x", 9), out(6.11, "x", 9), got(6.2, "x")]
    assert broken([stall, *row]) == set()
    assert broken(row) == {"drains kept"}


def test_noise_excuses_little_and_never_more_than_its_bound() -> None:
    late = [ask(6, "x"), got(7.03, "x")]
    assert broken(late) == {"answered once"}
    assert broken([*late, {"k": "lag", "t": 1.0, "who": "clients", "s": 0.04}]) == set()
    loud = {"k": "lag", "t": 1.0, "who": "clients", "s": 3.0}
    assert broken([ask(6, "x"), got(7.0 + MAX_ALLOWANCE_S + 0.01, "x"), loud]) == {"answered once"}
    assert judge_run(read_history([*CLEAN, loud]), TERMS).too_noisy


def test_wrong_bytes_are_no_kept_run() -> None:
    wrong = {"k": "wrong", "t": 2.0, "op": "a", "n": 0, "head": 0, "key": "k", "size": 3}
    verdict = judge_run(read_history([*CLEAN, wrong]), TERMS)
    assert verdict.wrong_bytes == 1 and not verdict.kept


@pytest.mark.parametrize(("began", "breaks"), [(6.9985, False), (7.0004, True), (None, True)])
def test_a_head_may_act_on_ready_from_its_first_byte_on(began: float | None, breaks: bool) -> None:
    """The list's own note of what it sent comes a little after a quick head's first request."""
    back: dict[str, Any] = {"k": "told", "t": 7.0005, "head": 0, "node": 1, "phase": "ready", "age": 0.0}
    if began is not None:
        back["began"] = began
    rows = [back, ask(6.9, "y"), came(6.9990, "y", 11), out(7.1, "y", 11), got(7.2, "y")]
    assert broken(rows) == ({"drains kept"} if breaks else set())


def test_a_client_that_was_refused_and_asks_again_has_a_new_place() -> None:
    """Seen in simulated time: its first try, refused, came before another's request, its second after it."""
    first = [ask(4.0, "x", cls=1), got(4.1, "x", "refused")]
    other = one(4.5, "y", 9, cls=1, x=8)
    again = [ask(4.6, "x", n=1, cls=1), came(4.62, "x", 10, cls=1, x=8), out(4.65, "x", 10), got(4.66, "x", n=1)]
    assert broken([*first, *other, *again]) == set()
    # and one whose last try came well before the other's is behind it all the same
    late = [ask(4.2, "x", n=1, cls=1), came(4.62, "x", 10, cls=1, x=8), out(4.65, "x", 10), got(4.66, "x", n=1)]
    assert broken([*first, *other, *late]) == {"order kept"}


def test_a_node_that_is_well_and_gets_nothing_is_seen() -> None:
    from fawnspool.rules.gossip import judge_gossip

    rows = [UP, *CLEAN[1:2], *({**ask(k * 0.1, f"a{k}")} for k in range(200))]
    rows += [came(k * 0.1 + 0.01, f"a{k}", k) for k in range(200) if not 60 < k < 140]
    assert judge_gossip(read_history(rows), TERMS, 1).node_use.breaches
    ill = [*rows, {"k": "ill", "t": 5.0, "nodes": [1]}]
    assert not judge_gossip(read_history(ill), TERMS, 1).node_use.breaches
    whole = [*rows, *(came(k * 0.1 + 0.01, f"a{k}", k) for k in range(61, 140))]
    assert not judge_gossip(read_history(whole), TERMS, 1).node_use.breaches


def test_refusals_that_a_limit_had_room_for_are_counted_once_each() -> None:
    from fawnspool.rules.gossip import judge_gossip

    rows: Rows = [{**UP, "t": 0.0}]
    rows += [ask(1.0 + k * 0.01, f"a{k}", vol="v", units=4.0) for k in range(6)]
    rows += [got(1.001 + k * 0.01, f"a{k}", "refused") for k in range(6)]
    found = judge_gossip(read_history(rows), TERMS, 1)
    assert (found.asked, found.refused) == (6, 6)
    assert found.refused_within_limit == 2  # 10 units since the start: two of four each
