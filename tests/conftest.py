"""Shared by all tests: settings and gateways built by hand, far from any site's figures."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings

from fawnspool.scheduling.interface import (
    Action,
    DeduplicationScope,
    Endpoint,
    EndpointUpdate,
    Event,
    FailRequest,
    Idempotence,
    Outcome,
    Phase,
    Plan,
    RejectRequest,
    Request,
    RequestClass,
    Result,
    Send,
    SendPeerMessage,
    SetTimer,
    Settings,
    Timer,
    UpdateKind,
)
from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.scheduler import Scheduler
from tests.known_red import ROOT, KnownRedPlugin, read_entries

hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=40)
hypothesis_settings.load_profile("fixed")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRedPlugin(read_entries(ROOT)))


def make_class(**change: Any) -> RequestClass:
    base: dict[str, Any] = {
        "name": "c",
        "latency_objective_s": 1.0,
        "deadline_s": 4.0,
        "priority_weight": 1.0,
        "late_priority_weight": 0.1,
        "idempotence": Idempotence.IDEMPOTENT,
        "deduplication_scope": DeduplicationScope.ALL,
        "deduplication_window_s": 2.0,
        "writes": False,
        "stream": False,
        "ordered": False,
    }
    return RequestClass(**(base | change))


def make_plan(**change: Any) -> Plan:
    base: dict[str, Any] = {
        "name": "p",
        "rate": 10.0,
        "reserved_rate": 0.0,
        "weight": 1.0,
        "priority_factor": 1.0,
        "rate_limit": 0.0,
        "rate_limit_burst": 0.0,
        "rate_limit_tolerance": 0.0,
    }
    return Plan(**(base | change))


def make_settings(**change: Any) -> Settings:
    base: dict[str, Any] = {
        "classes": (make_class(),),
        "plans": (make_plan(),),
        "gateway_count": 1,
        "gateway_id": 0,
        "zone": 0,
        "polls_endpoints": False,
        "poll_interval_s": 8.0,
        "drain_grace_s": 1.0,
        "answer_slack_s": 0.01,
        "overload_window_s": 2.0,
        "overload_multiple": 2.0,
        "initial_capacity_fraction": 0.25,
        "warm_up_s": 10.0,
        "slow_start_units": 16.0,
        "mean_units": 2.0,
        "largest_units": 8.0,
        "shard_count": 3,
        "within_share_priority_weight": 0.3,
        "spare_priority_weight": 0.1,
        "meter_period_s": 1.0,
        "reports_use_by_others": False,
        "max_attempts": 4,
        "hedging": False,
        "can_cancel": True,
        "can_probe": False,
        "has_peer_messages": False,
        "sends_retry_after": True,
        "max_retry_after_s": 0.5,
        "connect_timeout_s": 0.25,
        "clock_tick_s": 0.002,
        "retry_budget_minimum": None,
        "retry_budget_ratio": 0.0,
        "retry_budget_window_s": 0.0,
        "settle_after_ambiguity_s": 0.0,
        "load_report_fields": (),
    }
    return Settings(**(base | change))


def entry(node: int, shard: int, phase: Phase = Phase.READY, started: float = 0.0, zone: int = 0) -> Endpoint:
    return Endpoint(node, zone, 0, shard, phase, 1.0, started)


class GatewayDriver:
    """A scheduler with its clock, its timers and a ledger of what it did."""

    def __init__(
        self, settings: Settings, nodes: int = 1, now: float = 100.0, seed: int = 1, live: bool = True
    ) -> None:
        self.scheduler = Scheduler(settings, seed)
        self.now = now
        self.timers: list[tuple[float, int]] = []
        self.sends: deque[tuple[float, Send]] = deque()
        self.final_answers: dict[int, Action] = {}
        self.attempts: dict[int, int] = {}
        self.peer_messages: list[SendPeerMessage] = []
        self.requests_made = 0
        self.units: dict[int, float] = {}  # by request
        rows = tuple(entry(10 + shard, shard) for shard in range(nodes))
        self.handle(EndpointUpdate(UpdateKind.CACHED, 1, rows))
        if live:
            self.handle(EndpointUpdate(UpdateKind.SNAPSHOT, 2, rows))

    def handle(self, event: Event) -> list[Action]:
        actions = self.scheduler.handle(self.now, event)
        for action in actions:
            if isinstance(action, Send):
                self.sends.append((self.now, action))
                self.attempts[action.id] = self.attempts.get(action.id, 0) + 1
            elif isinstance(action, RejectRequest | FailRequest):
                assert action.id not in self.final_answers, "two final answers"
                self.final_answers[action.id] = action
            elif isinstance(action, SendPeerMessage):
                self.peer_messages.append(action)
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_s, action.token))
        return actions

    def run(self, until: float) -> None:
        """Let time pass; timers ring on the way."""
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.handle(Timer(due[0][1]))
        self.now = max(self.now, until)

    def request(
        self,
        volume: int = 1,
        shard: int = 0,
        units: float = 2.0,
        extent: int = 0,
        class_index: int = 0,
        plan_index: int = 0,
        gateway_count: int = 1,
        timeout_s: float = 4.0,
        is_client_retry: bool = False,
    ) -> int:
        """A client's request comes; its number."""
        self.requests_made += 1
        ident = self.requests_made
        self.units[ident] = units
        self.handle(
            Request(
                ident,
                class_index,
                plan_index,
                extent,
                timeout_s,
                volume,
                units,
                shard,
                gateway_count,
                is_client_retry,
                False,
            )
        )
        return ident

    def answer(
        self,
        ident: int,
        result: Result = Result.SERVED,
        elapsed_s: float = 0.05,
        final: bool | None = None,
        volume_usage: float | None = None,
        reused_connection: bool = False,
    ) -> list[Action]:
        """The last attempt of a request ends."""
        node = next(send.node for _, send in reversed(self.sends) if send.id == ident)
        is_final = result is Result.SERVED if final is None else final
        attempt = self.attempts[ident] - 1
        return self.handle(
            Outcome(ident, attempt, node, elapsed_s, result, is_final, 0, volume_usage, None, reused_connection)
        )

    def warm(self) -> GatewayDriver:
        """One answer in good time from each node, so that none is unmeasured; the ledger starts after."""
        for shard in list(self.scheduler.node_queues):
            ident = self.request(99, shard=shard)
            while ident not in self.sent():
                self.run(self.now + 0.05)
            self.now += 0.05
            self.answer(ident)
        self.sends.clear()
        return self

    def node_queue(self, shard: int = 0) -> NodeQueue:
        return self.scheduler.node_queues[shard]

    def sent(self) -> list[int]:
        return [send.id for _, send in self.sends]


@pytest.fixture
def make_gateway() -> Callable[..., GatewayDriver]:
    def build(nodes: int = 1, **change: Any) -> GatewayDriver:
        return GatewayDriver(make_settings(**change), nodes)

    return build
