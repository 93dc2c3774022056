"""What a head does comes from its settings alone: not from the order, the number or the names of classes and plans."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import pytest

from fawnspool.adapter.settings import read_tree
from fawnspool.scheduling.interface import (
    DeduplicationScope,
    EndpointUpdate,
    Idempotence,
    Outcome,
    Request,
    Result,
    Send,
    Timer,
    UpdateKind,
)
from fawnspool.scheduling.scheduler import Scheduler
from tests.conftest import GatewayDriver, entry

ROOT = Path(__file__).parent.parent


def cls(name: str, repeat: str, aim: float, deadline: float, worth: float, **more: Any) -> dict[str, Any]:
    return {"name": name, "repeat": repeat, "aim": aim, "deadline": deadline, "value": worth, "group": "all"} | more


def plan(name: str, rate: float, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "rate": rate,
        "floor_rate": 0.0,
        "shares": 1.0,
        "value_factor": 1.0,
        "cap": 0.0,
        "cap_depth": 0.0,
        "tolerance": 0.0,
    } | more


# Shaped like three deployments: many plans, pushed; one plan, asked, cancelling and second copies forbidden; a few.
MANY = {
    "classes": [
        cls("receipt", "single_shot", 0.6, 3.5, 2.5),
        cls("renewal", "guarded", 0.45, 2.8, 3, group="zone", window=3.2),
        cls("shelf-list", "free", 1.5, 4.5, 1),
        cls("lookup", "free", 0.28, 2.2, 2),
    ],
    "grades": [
        plan(
            f"p{k}",
            1.0 + k / 4,
            shares=1.0 + k % 4,
            cap=7.0 * (k % 5 == 0),
            cap_depth=60.0 * (k % 5 == 0),
            floor_rate=0.1 * k,
            value_factor=0.7 + k / 10,
        )
        for k in range(12)
    ],
    "writes": [True, True, False, False],
    "discovery": "push",
    "cancelling": True,
    "second_copies": True,
    "try_limit": 3,
}
ONE = {
    "classes": [cls("deposit", "guarded", 0.9, 5.5, 4, window=1.6), cls("withdraw", "free", 0.55, 4.2, 2)],
    "grades": [plan("only", 3.0, floor_rate=1.8, shares=2.0)],
    "writes": [True, False],
    "discovery": "ask",
    "cancelling": False,
    "second_copies": False,
    "try_limit": 5,
}
FEW = {
    "classes": [
        cls("bulk", "free", 1.2, 4.0, 1, late_value=0.2),
        cls("put", "guarded", 0.3, 2.5, 2, group="cell", window=6.0),
        cls("get", "free", 0.3, 2.5, 3),
    ],
    "grades": [
        plan("basic", 2.0),
        plan("standard", 3.0, floor_rate=1.0, shares=3.0),
        plan("priority", 4.0, shares=4.0),
    ],
    "writes": [False, True, False],
    "discovery": "ask",
    "cancelling": True,
    "second_copies": True,
    "try_limit": 3,
}
SHAPES = {"many": MANY, "one": ONE, "few": FEW}


def tree(shape: dict[str, Any], classes: list[int], plans: list[int]) -> dict[str, Any]:
    return {
        "siblings": 6,
        "me": 2,
        "zone": 0,
        "discovery": shape["discovery"],
        "tick": 0.002,
        "classes": [shape["classes"][k] for k in classes],
        "grades": [shape["grades"][k] for k in plans],
        "family_info": {
            "writes": [shape["writes"][k] for k in classes],
            "young_limit": 16.0,
            "usual_units": 2.0,
            "largest": 8,
            "slots_total": 3,
            "fair_worth": 0.3,
            "spare_worth": 0.05,
            "meter": 0.5,
        },
        "guarantees": {
            "drain_grace": 0.25,
            "answer_slack": 0.008,
            "fall": 2.0,
            "tip_multiple": 2.0,
            "start_capacity": 0.25,
            "warm_after": 2.0,
            "must_ask_in": 8.0,
        },
        "limits": {
            "try_limit": shape["try_limit"],
            "second_copies": shape["second_copies"],
            "cancelling": shape["cancelling"],
            "retry_after": True,
            "max_retry_after": 0.5,
            "connect_timeout": 0.25,
            "idle_close": 15.0,
        },
    }


def orders(count: int, seed: int) -> list[int]:
    out = list(range(count))
    Random(seed).shuffle(out)
    return out


@pytest.mark.parametrize("shape", SHAPES)
def test_each_class_and_plan_keeps_its_own_settings_in_any_order(shape: str) -> None:
    made = SHAPES[shape]
    for seed in range(5):
        classes, plans = orders(len(made["classes"]), seed), orders(len(made["grades"]), seed)
        s = read_tree(tree(made, classes, plans))
        effects = {
            "free": Idempotence.IDEMPOTENT,
            "guarded": Idempotence.WITH_KEY,
            "single_shot": Idempotence.NON_IDEMPOTENT,
        }
        assert len(s.classes) == len(classes) and len(s.plans) == len(plans)
        for k, c in zip(classes, s.classes, strict=True):
            want = made["classes"][k]
            assert (c.name, c.idempotence, c.deduplication_scope, c.deduplication_window_s) == (
                want["name"],
                effects[want["repeat"]],
                DeduplicationScope(want["group"]),
                want.get("window", 0.0),
            )
            assert (c.latency_objective_s, c.deadline_s, c.priority_weight, c.late_priority_weight) == (
                want["aim"],
                want["deadline"],
                want["value"],
                want.get("late_value", 0.0),
            )
            assert c.writes is made["writes"][k]
        for k, p in zip(plans, s.plans, strict=True):
            want = made["grades"][k]
            assert (p.name, p.rate, p.weight, p.reserved_rate, p.rate_limit, p.rate_limit_burst, p.priority_factor) == (
                want["name"],
                want["rate"],
                want["shares"],
                want["floor_rate"],
                want["cap"],
                want["cap_depth"],
                want["value_factor"],
            )


def story(shape: dict[str, Any], classes: list[int], plans: list[int], renamed: bool) -> list[Any]:
    """What a head does in a seeded stretch of requests, answers and failures, its classes and plans listed so."""
    settings = tree(shape, classes, plans)
    if renamed:
        settings["classes"] = [c | {"name": f"c{k}"} for k, c in enumerate(settings["classes"])]
        settings["grades"] = [p | {"name": f"g{k}"} for k, p in enumerate(settings["grades"])]
    module, random, done = Scheduler(read_tree(settings), 7), Random(3), list[Any]()
    rows = tuple(entry(10 + k, k) for k in range(3))
    timers: list[tuple[float, int]] = []
    out: list[tuple[float, int, int, int]] = []
    tries: dict[int, int] = {}

    def give(now: float, event: Any) -> None:
        for action in module.handle(now, event):
            done.append((round(now, 6), action))
            if isinstance(action, Send):
                number = tries[action.id] = tries.get(action.id, -1) + 1
                out.append((now + random.uniform(0.01, 0.5), action.id, number, action.node))
            elif hasattr(action, "token"):
                timers.append((now + action.delay_s, action.token))

    give(100.0, EndpointUpdate(UpdateKind.CACHED, 1, rows))
    give(100.0, EndpointUpdate(UpdateKind.SNAPSHOT, 2, rows))
    now = 100.0
    for ident in range(1, 400):
        now += random.expovariate(15)
        while (due := min([*timers, *out], default=(now + 1, 0))) and due[0] <= now:
            if len(due) == 2:
                timers.remove(due)
                give(due[0], Timer(due[1]))
            else:
                out.remove(due)
                result = random.choice([Result.SERVED] * 6 + [Result.RESET, Result.ERROR, Result.CONNECT_FAILED])
                give(due[0], Outcome(due[1], due[2], due[3], 0.1, result, result is Result.SERVED, 0, None, None))
        c, p = random.randrange(len(classes)), random.randrange(len(plans))
        patience = shape["classes"][c]["deadline"]
        volume, cell = 1 + p * 3 + ident % 3, ident % 3
        give(
            now,
            Request(
                ident, classes.index(c), plans.index(p), 0, patience, volume, 2.0, cell, 2, False, shape["writes"][c]
            ),
        )
    return done


@pytest.mark.parametrize("shape", SHAPES)
def test_a_head_decides_alike_however_its_classes_and_plans_are_listed_and_called(shape: str) -> None:
    made = SHAPES[shape]
    classes, plans = list(range(len(made["classes"]))), list(range(len(made["grades"])))
    told = story(made, classes, plans, False)
    assert len([a for _, a in told if isinstance(a, Send)]) > 100
    for seed in range(3):
        assert story(made, orders(len(classes), seed), orders(len(plans), seed), seed > 0) == told


def test_an_effect_is_its_classs_own_wherever_that_stands() -> None:
    """One customer's write may run twice, another's never: what may be sent again follows the class, not its place."""
    made = SHAPES["many"]
    for seed in range(4):
        classes = orders(4, seed)
        s = read_tree(tree(made, classes, list(range(12))))
        for k, c in enumerate(s.classes):
            gateway = GatewayDriver(s)
            ident = gateway.request(1, class_index=k, plan_index=1, timeout_s=c.deadline_s)
            gateway.answer(ident, Result.RESET)
            assert gateway.attempts[ident] == (1 if c.idempotence is Idempotence.NON_IDEMPOTENT else 2), c.name


def test_no_name_of_a_deployment_stands_in_the_program() -> None:
    """Those of our own variants, as a sample: sites, classes, plans, zones, kinds and cells' stores."""
    names = {
        line.split('"')[1]
        for path in (ROOT / "deploy/sites").glob("*/*.toml")
        for line in path.read_text().splitlines()
        if line.startswith(("name = ", "zones = ")) and '"' in line
    }
    names -= {"only", "staff", "press", "branch", "reader", "board", "slow", "crash", "deep-2c"}  # plain words
    assert len(names) > 15
    texts = [p.read_text() for p in [*(ROOT / "fawnspool").rglob("*.py"), ROOT / "deploy/balancer.toml"]]
    assert not [name for name in names for text in texts if f'"{name}"' in text]
