"""Shared by all tests: settings and heads built by hand, far from any site's figures."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings

from fawnspool.control import Controller
from fawnspool.interface import (
    Action,
    Effect,
    Event,
    Fail,
    Group,
    ListEntry,
    ListKind,
    NodeList,
    Outcome,
    Phase,
    Plan,
    Refuse,
    Request,
    RequestClass,
    Result,
    Send,
    SetTimer,
    Settings,
    Tell,
    Timer,
)

hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=40)
hypothesis_settings.load_profile("fixed")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
KNOWN_RED_MOST = 3


@dataclass(frozen=True)
class KnownRed:
    """A test that fails for a real fault which is not mended yet: it runs, and its failure does not fail the run."""

    test: str
    cause: str
    issue: str


def known_red() -> list[KnownRed]:
    """One line each in KNOWN-RED.txt: test, cause, issue. Raises ValueError where there are too many or one is not
    whole."""
    if not KNOWN_RED.exists():
        return []
    rows = [line.split(" | ") for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    if len(rows) > KNOWN_RED_MOST or any(len(row) != 3 for row in rows):
        raise ValueError(f"KNOWN-RED.txt: {KNOWN_RED_MOST} lines at most, each 'test | cause | issue'")
    return [KnownRed(*row) for row in rows]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    by_test = {red.test: red for red in known_red()}
    for item in items:
        red = by_test.get(item.nodeid.partition("[")[0])
        if red is not None:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {red.cause}"))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for red in known_red():
        terminalreporter.write_line(f"KNOWN RED {red.test}: {red.cause} (issue: {red.issue})")


def make_class(**change: Any) -> RequestClass:
    base: dict[str, Any] = {
        "name": "c",
        "aim": 1.0,
        "deadline": 4.0,
        "worth": 1.0,
        "late_worth": 0.1,
        "effect": Effect.SAFE,
        "group": Group.ALL,
        "window": 2.0,
        "writes": False,
        "stream": False,
        "ordered": False,
    }
    return RequestClass(**(base | change))


def make_plan(**change: Any) -> Plan:
    base: dict[str, Any] = {
        "name": "p",
        "rate": 10.0,
        "reserve": 0.0,
        "weight": 1.0,
        "worth_factor": 1.0,
        "limit": 0.0,
        "limit_depth": 0.0,
        "limit_slack": 0.0,
    }
    return Plan(**(base | change))


def make_settings(**change: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": (make_class(),),
        "plans": (make_plan(),),
        "heads": 1,
        "me": 0,
        "zone": 0,
        "must_ask": False,
        "must_ask_in": 8.0,
        "drain_grace": 1.0,
        "answer_slack": 0.01,
        "fall": 2.0,
        "fall_multiple": 2.0,
        "cold_capacity": 0.25,
        "warm_after": 10.0,
        "young_limit": 16.0,
        "mean_units": 2.0,
        "largest_units": 8.0,
        "cells": 3,
        "share_worth": 0.3,
        "spare_worth": 0.1,
        "meter": 1.0,
        "tells_others": False,
        "try_limit": 4,
        "second_copies": False,
        "may_cancel": True,
        "may_probe": False,
        "peers": False,
        "retry_after": True,
        "max_retry_after": 0.5,
        "connect_timeout": 0.25,
        "tick": 0.002,
        "extra_free": None,
        "extra_ratio": 0.0,
        "extra_span": 0.0,
        "settle_after_doubt": 0.0,
        "load_fields": (),
    }
    return Settings(**(base | change))


def entry(node: int, cell: int, phase: Phase = Phase.READY, started: float = 0.0, zone: int = 0) -> ListEntry:
    return ListEntry(node, zone, 0, cell, phase, 1.0, started)


class Head:
    """A controller with its clock, its timers and a ledger of what it did."""

    def __init__(
        self, settings: Settings, nodes: int = 1, now: float = 100.0, seed: int = 1, live: bool = True
    ) -> None:
        self.control = Controller(settings, seed)
        self.now = now
        self.timers: list[tuple[float, int]] = []
        self.sends: deque[tuple[float, Send]] = deque()
        self.ends: dict[int, Action] = {}
        self.tries: dict[int, int] = {}
        self.logs: list[Action] = []
        self.told: list[Tell] = []
        self.ids = 0
        self.asked: dict[int, float] = {}  # units by request
        rows = tuple(entry(10 + k, k) for k in range(nodes))
        self.give(NodeList(ListKind.SAVED, 1, rows))
        if live:
            self.give(NodeList(ListKind.WHOLE, 2, rows))

    def give(self, event: Event) -> list[Action]:
        actions = self.control.handle(self.now, event)
        for action in actions:
            if isinstance(action, Send):
                self.sends.append((self.now, action))
                self.tries[action.id] = self.tries.get(action.id, 0) + 1
            elif isinstance(action, Refuse | Fail):
                assert action.id not in self.ends, "two final answers"
                self.ends[action.id] = action
            elif isinstance(action, Tell):
                self.told.append(action)
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))
        return actions

    def run(self, until: float) -> None:
        """Let time pass; timers ring on the way."""
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.give(Timer(due[0][1]))
        self.now = max(self.now, until)

    def ask(
        self,
        volume: int = 1,
        cell: int = 0,
        units: float = 2.0,
        extent: int = 0,
        cls: int = 0,
        plan: int = 0,
        heads: int = 1,
        patience: float = 4.0,
        repeat: bool = False,
    ) -> int:
        self.ids += 1
        self.asked[self.ids] = units
        self.give(Request(self.ids, cls, plan, extent, patience, volume, units, cell, heads, repeat, False))
        return self.ids

    def answer(
        self,
        ident: int,
        result: Result = Result.SERVED,
        took: float = 0.05,
        final: bool | None = None,
        used: float | None = None,
        kept: bool = False,
    ) -> list[Action]:
        node = next(s.node for _, s in reversed(self.sends) if s.id == ident)
        last = result is Result.SERVED if final is None else final
        return self.give(Outcome(ident, self.tries[ident] - 1, node, took, result, last, 0, used, None, kept))

    def warm(self) -> Head:
        """One answer in good time from each node, so that none is unmeasured; the ledger starts after."""
        for cell in list(self.control.lanes):
            ident = self.ask(99, cell=cell)
            while ident not in self.sent():
                self.run(self.now + 0.05)
            self.now += 0.05
            self.answer(ident)
        self.sends.clear()
        return self

    def sent(self) -> list[int]:
        return [s.id for _, s in self.sends]


@pytest.fixture
def head() -> Callable[..., Head]:
    def build(nodes: int = 1, **change: Any) -> Head:
        return Head(make_settings(**change), nodes)

    return build
