"""A gateway's decisions depend on its settings, not on the order, number or names of classes and plans."""

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


def class_settings(name: str, repeat: str, aim: float, deadline: float, value: float, **more: Any) -> dict[str, Any]:
    return {"name": name, "repeat": repeat, "aim": aim, "deadline": deadline, "value": value, "group": "all"} | more


def plan_settings(name: str, rate: float, **more: Any) -> dict[str, Any]:
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


# Modelled on three deployments: many plans with a pushed list; one plan with a polled list, without cancelling or
# second copies; a few plans.
MANY = {
    "classes": [
        class_settings("receipt", "single_shot", 0.6, 3.5, 2.5),
        class_settings("renewal", "guarded", 0.45, 2.8, 3, group="zone", window=3.2),
        class_settings("shelf-list", "free", 1.5, 4.5, 1),
        class_settings("lookup", "free", 0.28, 2.2, 2),
    ],
    "grades": [
        plan_settings(
            f"p{number}",
            1.0 + number / 4,
            shares=1.0 + number % 4,
            cap=7.0 * (number % 5 == 0),
            cap_depth=60.0 * (number % 5 == 0),
            floor_rate=0.1 * number,
            value_factor=0.7 + number / 10,
        )
        for number in range(12)
    ],
    "writes": [True, True, False, False],
    "discovery": "push",
    "cancelling": True,
    "second_copies": True,
    "try_limit": 3,
}
ONE = {
    "classes": [
        class_settings("deposit", "guarded", 0.9, 5.5, 4, window=1.6),
        class_settings("withdraw", "free", 0.55, 4.2, 2),
    ],
    "grades": [plan_settings("only", 3.0, floor_rate=1.8, shares=2.0)],
    "writes": [True, False],
    "discovery": "ask",
    "cancelling": False,
    "second_copies": False,
    "try_limit": 5,
}
FEW = {
    "classes": [
        class_settings("bulk", "free", 1.2, 4.0, 1, late_value=0.2),
        class_settings("put", "guarded", 0.3, 2.5, 2, group="cell", window=6.0),
        class_settings("get", "free", 0.3, 2.5, 3),
    ],
    "grades": [
        plan_settings("basic", 2.0),
        plan_settings("standard", 3.0, floor_rate=1.0, shares=3.0),
        plan_settings("priority", 4.0, shares=4.0),
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
        "classes": [shape["classes"][number] for number in classes],
        "grades": [shape["grades"][number] for number in plans],
        "family_info": {
            "writes": [shape["writes"][number] for number in classes],
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


def shuffled(count: int, seed: int) -> list[int]:
    order = list(range(count))
    Random(seed).shuffle(order)
    return order


@pytest.mark.parametrize("shape", SHAPES)
def test_each_class_and_plan_keeps_its_own_settings_in_any_order(shape: str) -> None:
    shape_settings = SHAPES[shape]
    for seed in range(5):
        classes, plans = shuffled(len(shape_settings["classes"]), seed), shuffled(len(shape_settings["grades"]), seed)
        settings = read_tree(tree(shape_settings, classes, plans))
        idempotence = {
            "free": Idempotence.IDEMPOTENT,
            "guarded": Idempotence.WITH_KEY,
            "single_shot": Idempotence.NON_IDEMPOTENT,
        }
        assert len(settings.classes) == len(classes) and len(settings.plans) == len(plans)
        for number, request_class in zip(classes, settings.classes, strict=True):
            expected = shape_settings["classes"][number]
            assert (
                request_class.name,
                request_class.idempotence,
                request_class.deduplication_scope,
                request_class.deduplication_window_s,
            ) == (
                expected["name"],
                idempotence[expected["repeat"]],
                DeduplicationScope(expected["group"]),
                expected.get("window", 0.0),
            )
            assert (
                request_class.latency_objective_s,
                request_class.deadline_s,
                request_class.priority_weight,
                request_class.late_priority_weight,
            ) == (
                expected["aim"],
                expected["deadline"],
                expected["value"],
                expected.get("late_value", 0.0),
            )
            assert request_class.writes is shape_settings["writes"][number]
        for number, plan in zip(plans, settings.plans, strict=True):
            expected = shape_settings["grades"][number]
            assert (
                plan.name,
                plan.rate,
                plan.weight,
                plan.reserved_rate,
                plan.rate_limit,
                plan.rate_limit_burst,
                plan.priority_factor,
            ) == (
                expected["name"],
                expected["rate"],
                expected["shares"],
                expected["floor_rate"],
                expected["cap"],
                expected["cap_depth"],
                expected["value_factor"],
            )


def simulate(shape: dict[str, Any], classes: list[int], plans: list[int], renamed: bool) -> list[Any]:
    """Return the actions on a seeded series of requests, answers and failures, with classes and plans in this order."""
    settings = tree(shape, classes, plans)
    if renamed:
        settings["classes"] = [
            listed_class | {"name": f"c{number}"} for number, listed_class in enumerate(settings["classes"])
        ]
        settings["grades"] = [
            listed_plan | {"name": f"g{number}"} for number, listed_plan in enumerate(settings["grades"])
        ]
    scheduler, random, actions = Scheduler(read_tree(settings), 7), Random(3), list[Any]()
    endpoints = tuple(entry(10 + number, number) for number in range(3))
    timers: list[tuple[float, int]] = []
    in_flight: list[tuple[float, int, int, int]] = []
    attempts: dict[int, int] = {}

    def handle(now: float, event: Any) -> None:
        for action in scheduler.handle(now, event):
            actions.append((round(now, 6), action))
            if isinstance(action, Send):
                attempt = attempts[action.id] = attempts.get(action.id, -1) + 1
                in_flight.append((now + random.uniform(0.01, 0.5), action.id, attempt, action.node))
            elif hasattr(action, "token"):
                timers.append((now + action.delay_s, action.token))

    handle(100.0, EndpointUpdate(UpdateKind.CACHED, 1, endpoints))
    handle(100.0, EndpointUpdate(UpdateKind.SNAPSHOT, 2, endpoints))
    now = 100.0
    for ident in range(1, 400):
        now += random.expovariate(15)
        while (due := min([*timers, *in_flight], default=(now + 1, 0))) and due[0] <= now:
            if len(due) == 2:
                timers.remove(due)
                handle(due[0], Timer(due[1]))
            else:
                in_flight.remove(due)
                result = random.choice([Result.SERVED] * 6 + [Result.RESET, Result.ERROR, Result.CONNECT_FAILED])
                handle(due[0], Outcome(due[1], due[2], due[3], 0.1, result, result is Result.SERVED, 0, None, None))
        class_number, plan_number = random.randrange(len(classes)), random.randrange(len(plans))
        timeout_s = shape["classes"][class_number]["deadline"]
        volume, shard = 1 + plan_number * 3 + ident % 3, ident % 3
        handle(
            now,
            Request(
                ident,
                classes.index(class_number),
                plans.index(plan_number),
                0,
                timeout_s,
                volume,
                2.0,
                shard,
                2,
                False,
                shape["writes"][class_number],
            ),
        )
    return actions


@pytest.mark.parametrize("shape", SHAPES)
def test_actions_do_not_depend_on_the_order_or_names_of_classes_and_plans(shape: str) -> None:
    shape_settings = SHAPES[shape]
    classes, plans = list(range(len(shape_settings["classes"]))), list(range(len(shape_settings["grades"])))
    expected = simulate(shape_settings, classes, plans, False)
    assert len([action for _, action in expected if isinstance(action, Send)]) > 100
    for seed in range(3):
        assert simulate(shape_settings, shuffled(len(classes), seed), shuffled(len(plans), seed), seed > 0) == expected


def test_retries_follow_the_class_in_any_position() -> None:
    """Guards against retries that depend on a class's position: writes of one class must never run twice."""
    shape_settings = SHAPES["many"]
    for seed in range(4):
        classes = shuffled(4, seed)
        settings = read_tree(tree(shape_settings, classes, list(range(12))))
        for index, request_class in enumerate(settings.classes):
            gateway = GatewayDriver(settings)
            ident = gateway.request(1, class_index=index, plan_index=1, timeout_s=request_class.deadline_s)
            gateway.answer(ident, Result.RESET)
            assert gateway.attempts[ident] == (1 if request_class.idempotence is Idempotence.NON_IDEMPOTENT else 2), (
                request_class.name
            )


def test_program_contains_no_deployment_names() -> None:
    """Checks names of the variants in `deploy/sites`: sites, classes, plans, zones, node kinds and cells' stores."""
    names = {
        line.split('"')[1]
        for path in (ROOT / "deploy/sites").glob("*/*.toml")
        for line in path.read_text().splitlines()
        if line.startswith(("name = ", "zones = ")) and '"' in line
    }
    names -= {"only", "staff", "press", "branch", "reader", "board", "slow", "crash", "deep-2c"}  # ordinary words
    assert len(names) > 15
    texts = [module.read_text() for module in [*(ROOT / "fawnspool").rglob("*.py"), ROOT / "deploy/balancer.toml"]]
    assert not [name for name in names for text in texts if f'"{name}"' in text]
