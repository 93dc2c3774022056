"""Compares the scheduler's actions on random events with those of build d5787bd (tests/formats), one by one.

Recorded days and the model use few settings and well-behaved peers. Here settings, plans, events and datagrams are
random, and peer messages are duplicated, delayed and damaged.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest

from fawnspool.model import versions
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler
from fawnspool.scheduling.timer_tokens import POLL_TOKEN
from tests.conftest import entry, make_class, make_plan, make_settings

FORMER_VERSION = Path(__file__).parent / "formats" / "d5787bd" / "version.whl"
SEEDS = 60
EVENTS = 400
KINDS = 3  # number of classes, and of plans
VOLUMES = 6
MAX_NODES = 6
TRANSFER_BYTES = 17  # length of a message that transfers units of a rate limit


def draw_settings(random: Random) -> interface.Settings:
    return make_settings(
        classes=tuple(draw_class(random) for _ in range(KINDS)),
        plans=tuple(draw_plan(random) for _ in range(KINDS)),
        gateway_count=random.choice([1, 2, 3, 7, 60]),
        gateway_id=random.randrange(3),
        polls_endpoints=random.random() < 0.5,
        poll_interval_s=random.choice([0.0, 1.0, 8.0]),
        drain_grace_s=random.choice([0.0, 1.0]),
        max_attempts=random.choice([1, 2, 4]),
        hedging=random.random() < 0.3,
        can_cancel=random.random() < 0.5,
        has_peer_messages=random.random() < 0.6,
        sends_retry_after=random.random() < 0.5,
        retry_budget_minimum=random.choice([None, None, 0.0, 2.0]),
        retry_budget_ratio=random.choice([0.0, 0.25]),
        retry_budget_window_s=random.choice([0.0, 1.0, 3.0]),
        settle_after_ambiguity_s=random.choice([0.0, 0.3]),
        meter_period_s=random.choice([0.0, 1.0]),
        warm_up_s=random.choice([0.5, 10.0]),
        overload_window_s=random.choice([0.3, 2.0]),
        clock_tick_s=random.choice([0.0, 0.002]),
        max_retry_after_s=random.choice([0.0, 0.5, 5.0]),
    )


def draw_class(random: Random) -> interface.RequestClass:
    return make_class(
        latency_objective_s=random.choice([0.1, 0.5, 1.0]),
        deadline_s=random.choice([1.0, 4.0]),
        idempotence=random.choice(list(interface.Idempotence)),
        deduplication_scope=random.choice(list(interface.DeduplicationScope)),
        deduplication_window_s=random.choice([0.0, 0.5, 2.0]),
        ordered=random.random() < 0.3,
        priority_weight=random.random(),
    )


def draw_plan(random: Random) -> interface.Plan:
    return make_plan(
        weight=random.choice([0.5, 1.0, 3.0]),
        reserved_rate=random.choice([0.0, 5.0, 50.0]),
        rate_limit=random.choice([0.0, 9.0, 40.0]),
        rate_limit_burst=random.choice([8.0, 48.0, 400.0]),
        priority_factor=random.random(),
    )


class SchedulerPair:
    """The former and the current scheduler, which receive the same events; their actions cause further events."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.settings = draw_settings(self.random)
        former, _ = versions.load(str(FORMER_VERSION))
        self.former = former(self.settings, seed)
        self.current = Scheduler(self.settings, seed)
        self.now = self.random.choice([0.0, 100.0])
        patch_slow_start(self.former.inner, self.now)
        patch_silence(self.former.inner, min(c.latency_objective_s for c in self.settings.classes))
        self.pause_s = self.random.choice([0.01, 0.05, 0.3])
        self.fault_rate = self.random.choice([0.0, 0.1, 0.5])
        self.nodes = self.random.choice([1, 2, 3, MAX_NODES])
        self.requests = 0
        self.attempts: dict[int, int] = {}
        self.in_flight: list[tuple[int, int, int]] = []  # request, attempt, node
        self.timers: list[tuple[float, int]] = []
        self.datagrams: list[bytes] = []

    def handle(self, event: interface.Event) -> None:
        expected = result_of(self.former, self.now, event)
        assert result_of(self.current, self.now, event) == expected, event
        for action in self.current.actions:
            if isinstance(action, interface.Send):
                attempt = self.attempts.get(action.id, 0)
                self.attempts[action.id] = attempt + 1
                self.in_flight.append((action.id, attempt, action.node))
            elif isinstance(action, interface.SetTimer):
                self.timers.append((self.now + action.delay_s, action.token))
            elif isinstance(action, interface.SendPeerMessage):
                self.datagrams.append(action.body)

    def start(self) -> None:
        endpoints = tuple(
            entry(10 + shard, shard, started=self.random.choice([0.0, self.now - 1, self.now - 20]))
            for shard in range(self.nodes)
        )
        self.handle(interface.EndpointUpdate(interface.UpdateKind.CACHED, 1, endpoints))
        if self.random.random() < 0.8:
            endpoints = tuple(entry(10 + shard, shard) for shard in range(self.nodes))
            self.handle(interface.EndpointUpdate(interface.UpdateKind.SNAPSHOT, 2, endpoints))

    def step(self) -> None:
        self.now += self.draw_pause()
        for timer in sorted(timer for timer in self.timers if timer[0] <= self.now):
            self.timers.remove(timer)
            self.handle(interface.Timer(timer[1]))
        (draw,) = self.random.choices(
            [
                self.draw_request,
                self.draw_outcome,
                self.draw_disconnect,
                self.draw_update,
                self.draw_message,
                self.draw_participants,
                self.draw_health,
                self.draw_timer,
            ],
            [50, 35, 3, 3, 4, 2, 2, 1],
        )
        event = draw()
        if event is not None:
            self.handle(event)

    def draw_pause(self) -> float:
        pause_s = self.random.random() * self.pause_s
        if self.random.random() < 0.01:
            pause_s *= 20
        if self.random.random() < 0.003:
            pause_s *= 400  # long enough for volumes and pauses to be forgotten
        return pause_s

    def draw_request(self) -> interface.Request:
        self.requests += 1
        return interface.Request(
            id=self.requests,
            class_index=self.random.randrange(KINDS),
            plan_index=self.random.randrange(KINDS),
            extent=self.random.randrange(4),
            timeout_s=self.random.choice([0.01, 0.3, 1.0, 4.0]),
            volume=self.random.randrange(VOLUMES),
            units=self.random.choice([1.0, 2.0, 8.0]),
            shard=self.random.randrange(-1, self.nodes + 1),
            gateway_count=self.random.choice([1, 3, 20]),
            is_client_retry=self.random.random() < 0.2,
            writes=False,
        )

    def draw_outcome(self) -> interface.Outcome | None:
        if not self.in_flight:
            return None
        request, attempt, node = self.in_flight.pop(self.random.randrange(min(len(self.in_flight), 5)))
        result = interface.Result.SERVED
        if self.random.random() < self.fault_rate:
            result = self.random.choice(list(interface.Result))
        final = result is interface.Result.SERVED or self.random.random() < 0.1
        usage = self.random.choice([None, None, 0.0, 0.5, 3.0])
        reused = self.random.random() < 0.3
        return interface.Outcome(request, attempt, node, 0.1, result, final, 0, usage, None, reused)

    def draw_disconnect(self) -> interface.ClientDisconnected:
        return interface.ClientDisconnected(self.random.randrange(self.requests + 1))

    def draw_update(self) -> interface.EndpointUpdate:
        shard = self.random.randrange(self.nodes)
        kind = interface.UpdateKind.DELTA
        if self.random.random() < 0.3:
            kind = self.random.choice(list(interface.UpdateKind))
        ready = interface.Phase.READY
        endpoint = entry(
            self.random.choice([10 + shard, 30 + shard]),
            shard,
            self.random.choice([ready, ready, interface.Phase.DRAINING, interface.Phase.GONE]),
            started=self.random.choice([0.0, self.now, self.now - 0.5, self.now - 5]),
            zone=self.random.randrange(2),
        )
        return interface.EndpointUpdate(kind, 3, (endpoint,))

    def draw_message(self) -> interface.PeerMessage:
        if self.datagrams and self.random.random() < 0.7:
            body = self.random.choice(self.datagrams)  # duplicated or late
        else:
            body = self.random.randbytes(self.random.choice([0, TRANSFER_BYTES, TRANSFER_BYTES]))
        if len(body) == TRANSFER_BYTES and self.random.random() < 0.6:
            body = bytes([self.random.choice([1, 2, 2, 3])]) + body[1:]  # another kind of message
        return interface.PeerMessage(self.random.randrange(5), body)

    def draw_participants(self) -> interface.VolumeParticipants:
        return interface.VolumeParticipants(self.random.randrange(VOLUMES), tuple(self.random.sample(range(9), 3)))

    def draw_health(self) -> interface.GossipedHealth:
        node = self.random.choice([10, 11, 30, 99])
        is_healthy = self.random.random() < 0.4
        return interface.GossipedHealth(node, is_healthy, self.random.random(), self.random.random() < 0.5)

    def draw_timer(self) -> interface.Timer:
        return interface.Timer(self.random.choice([0, POLL_TOKEN, self.random.randrange(self.requests + 2)]))


def patch_slow_start(former: Any, started_at: float) -> None:
    """Make the former build's slow start count from the gateway's start, as the current one does.

    It counted from the time since which the record of volumes is complete, which advances when a volume is forgotten.
    All its other decisions stay the same.
    """
    cold_room = former._cold_room

    def cold_room_since_start(lane: Any) -> Any:
        recorded_since, former.since = former.since, started_at
        try:
            return cold_room(lane)
        finally:
            former.since = recorded_since

    former._cold_room = cold_room_since_start


def patch_silence(former: Any, least_objective_s: float) -> None:
    """Make the former build learn nothing from an attempt that timed out too soon, as the current one does.

    It took any timeout without an answer as a sign that the node is silent. All its other decisions stay the same.
    """
    learn = former._learn

    def learn_from_long_attempts(lane: Any, job: Any, event: Any, attempt: Any) -> None:
        mean_response_s = lane.response or least_objective_s * 0.35 / 2
        needed_s = min(least_objective_s / 8, 3 * mean_response_s)
        results = type(event.result)
        if event.result is results.TIMED_OUT and former.now - attempt.sent < needed_s:
            event = replace(event, result=results.CANCELLED)
        learn(lane, job, event, attempt)

    former._learn = learn_from_long_attempts


def result_of(scheduler: Any, now: float, event: interface.Event) -> tuple[list[interface.Action], str]:
    """Return the actions, and the error that was raised."""
    try:
        return list(scheduler.handle(now, event)), ""
    except Exception as error:
        return [], f"{type(error).__name__}: {error}"


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_events_give_the_actions_of_the_former_build(seed: int) -> None:
    pair = SchedulerPair(seed)
    pair.start()
    for _ in range(EVENTS):
        pair.step()
    assert pair.requests
