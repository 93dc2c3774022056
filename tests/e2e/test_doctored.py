"""The checker against doctored heads over real sockets: each breaks one rule, and that rule is seen to break.

The same script through the real module keeps every rule, so the checker does not simply cry.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest

from fawnspool.baselines.passthrough import PassThrough
from fawnspool.config.schema import parse
from fawnspool.days.day import Day
from fawnspool.days.traffic import Op
from fawnspool.model.node import NodeTraits
from fawnspool.net.exchange import Exchange
from fawnspool.records.frames import FrameReader, FrameWriter
from fawnspool.rules.history import read_history
from fawnspool.rules.judge import RunVerdict, judge_run
from fawnspool.rules.terms import RuleTerms, VolumeLimit
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler
from fawnspool.standins.clients import Clients, content, lag_meter
from tests.e2e.rig import Rig, wait_for

SLOW = NodeTraits(cores=2, unit_time=0.01, spread=0.0, cold_from=0.25, warm_after=1.0, fall=0.5)
SAFE, KEYED, UNSAFE, ORDERED = 0, 1, 2, 3
DAY = """
day {
  title = "t"
  length = "10s"
}
class "read" { aim = "400ms"
  deadline = "2s" }
class "keyed" { aim = "600ms"
  deadline = "2s"
  effect = "keyed" }
class "unsafe" { aim = "600ms"
  deadline = "2s"
  effect = "unsafe" }
class "ordered" { aim = "600ms"
  deadline = "2s"
  ordered = true }
load { rate = 1
  retries = 0 }
"""


class Repeats(PassThrough):
    """Sends an unsafe request again though it may have run."""

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.Outcome) and event.result is interface.Result.RESET and event.attempt == 0:
            return [interface.Send(event.id, event.node)]
        return super().handle(now, event)


class Refuses(PassThrough):
    """Refuses an unsafe request though it may have run."""

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        actions = super().handle(now, event)
        return [interface.RejectRequest(a.id) if isinstance(a, interface.FailRequest) else a for a in actions]


class Forgets(PassThrough):
    """Never answers a request whose attempt failed."""

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        return [
            a for a in super().handle(now, event) if not isinstance(a, interface.FailRequest | interface.RejectRequest)
        ]


class Insists(PassThrough):
    """Tries a safe request again at once, as often as it likes."""

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        if isinstance(event, interface.Outcome) and not event.final and event.attempt < 6:
            return [interface.Send(event.id, event.node)]
        return super().handle(now, event)


@pytest.fixture
def rigs(tmp_path: Path) -> Iterator[Callable[..., Rig]]:
    made: list[Rig] = []

    def build(policy: type[Any] = Scheduler, **more: Any) -> Rig:
        rig = Rig(tmp_path / str(len(made)), traits=SLOW, **more)
        if policy is not Scheduler:
            rig.head.loop.module = policy(rig.head.settings, 1)
            rig.head.loop.post(
                interface.EndpointUpdate(
                    interface.UpdateKind.SNAPSHOT,
                    9,
                    tuple(
                        interface.Endpoint(n, 0, 0, known.shard, known.phase, 1.0, 0.0)
                        for n, known in rig.head.endpoints.nodes.items()
                    ),
                )
            )
        made.append(rig)
        return rig

    yield build
    for rig in made:
        rig.stop()


class Run:
    """A script through a rig; everything is recorded as a drill records it."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.record = rig, FrameWriter(rig.tmp / "run.rec")
        self.note("head", head=0, what="up")
        self.count = 0
        self.ops: list[Op] = []
        self.held: dict[tuple[str, str], int] = {}
        for volume in ("v", "w"):
            for key in ("a", "b"):
                draft = rig.nodes[0].store.draft()
                draft.add(content(volume, key, 1000))
                rig.nodes[0].store.commit(draft, volume, key)
                rig.catalogue.database.put(volume, key, 0, 1000)
                self.held[volume, key] = 1000

    def note(self, kind: str, t: float | None = None, **more: Any) -> None:
        self.record.put({"k": kind, "t": time.monotonic() if t is None else t, **more})

    def ask(
        self, at: float, cls: int = SAFE, volume: str = "v", size: int = 1000, run: str = "", patience: float = 2.0
    ) -> None:
        self.count += 1
        writes = cls in (KEYED, UNSAFE)
        name = f"o{self.count}"
        self.ops.append(
            Op(
                name,
                at,
                volume,
                cls,
                writes,
                f"new/{name}" if writes else "a",
                size,
                0.0,
                None,
                run,
                patience,
                (0,),
                math.inf,
            )
        )

    def play(self, during: Callable[[], None] | None = None) -> RunVerdict:
        day = parse(DAY, "doctored.hcl", Day)
        lag = lag_meter(self.note, "test")
        clients = Clients(day, sorted(self.ops, key=lambda op: op.at), {0: self.rig.address}, self.note, 1, self.held)
        side = gevent.spawn(during) if during else None
        clients.run(time.monotonic() + 0.05)
        if side is not None:
            side.join()
        gevent.sleep(0.05)
        lag.kill()
        rows = [dict(r) for path in self.rig.tmp.glob("*.rec") for r in FrameReader(path) if isinstance(r, dict)]
        rows += [
            {"k": "told", "t": t, "head": h, "node": n, "phase": phase, "age": self.ages.get(n, -1.0)}
            for t, h, phase, n in self.rig.told
        ]
        plans = {"w": VolumeLimit(10.0, 16.0, 8.0)}
        return judge_run(
            read_history(rows),
            RuleTerms(
                drain_grace_s=0.1,
                cold_window_s=0.5,
                cold_multiple=2.0,
                cold_slack_units=8.0,
                limits=plans,
                ordered_classes=frozenset((ORDERED,)),
                settle_s=0.3,
                retry_minimum=2.0,
                retry_ratio=0.1,
                retry_window_s=10.0,
            ),
        )

    ages: dict[int, float] = {}  # noqa: RUF012  # none told by default


def broken(verdict: RunVerdict) -> set[str]:
    return {f.rule for f in verdict.findings if f.breaches}


def script(run: Run) -> None:
    for k in range(30):
        run.ask(k * 0.03, (SAFE, KEYED, UNSAFE)[k % 3])
    for k in range(6):
        run.ask(0.1 + k * 0.02, ORDERED, run="turns")
    for k in range(12):
        run.ask(0.2 + k * 0.01, volume="w", size=1000)


def test_the_module_keeps_every_rule_on_the_same_script(rigs: Callable[..., Rig]) -> None:
    run = Run(rigs(nodes=2, attempts='extra_free = 2\n extra_ratio = 0.1\n settle_after_doubt = "300ms"'))
    script(run)

    def trouble() -> None:
        gevent.sleep(0.3)
        run.rig.nodes[0].set_faults({"reset": 0.3})
        gevent.sleep(0.3)
        run.rig.nodes[0].set_faults({"reset": 0.0})

    verdict = run.play(trouble)
    assert verdict.kept, [b.text for f in verdict.findings for b in f.breaches]
    assert next(f.looked_at for f in verdict.findings if f.rule == "answered once") == 48


@pytest.mark.parametrize(
    ("policy", "fault", "cls", "rule"),
    [
        (Repeats, {"reset": 1.0}, UNSAFE, "no effect twice"),
        (Refuses, {"reset": 1.0}, UNSAFE, "no effect twice"),
        (Insists, {"error": 1.0}, SAFE, "attempts in budget"),
    ],
)
def test_a_head_that_breaks_a_rule_under_a_fault(
    rigs: Callable[..., Rig], policy: type[Any], fault: dict[str, float], cls: int, rule: str
) -> None:
    run = Run(rigs(policy, nodes=1))
    run.rig.nodes[0].set_faults(fault)
    for k in range(2 if cls == UNSAFE else 4):
        run.ask(k * 0.05, cls)
    assert broken(run.play()) == {rule}


def test_a_head_that_forgets_an_answer(rigs: Callable[..., Rig]) -> None:
    run = Run(rigs(Forgets, nodes=1))
    run.rig.head.answer_overdue = lambda pending: None  # type: ignore[method-assign]  # and its backstop with it
    run.rig.nodes[0].set_faults({"error": 1.0})
    run.ask(0.0, patience=0.3)
    assert "answered once" in broken(run.play())


def test_a_head_that_answers_twice(rigs: Callable[..., Rig]) -> None:
    run = Run(rigs(nodes=1))
    respond = Exchange.respond

    def twice(
        self: Exchange, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"", close: bool = False
    ) -> None:
        respond(self, status, headers, body, close)
        if self.connection.server is run.rig.api.server:
            self.connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    Exchange.respond = twice  # type: ignore[method-assign]
    try:
        for k in range(3):
            run.ask(k * 0.1)
        assert "answered once" in broken(run.play())
    finally:
        Exchange.respond = respond  # type: ignore[method-assign]


def test_a_head_that_answers_late(rigs: Callable[..., Rig]) -> None:
    run = Run(rigs(PassThrough, nodes=1))
    run.rig.head.config = replace(run.rig.head.config, clients=replace(run.rig.head.config.clients, answer_margin=-0.4))
    run.rig.api.config = run.rig.api.reader.config = run.rig.head.config
    run.rig.nodes[0].set_faults({"lose": 1.0})
    run.ask(0.0, patience=0.3)
    assert "answered once" in broken(run.play())


def test_a_head_that_goes_on_after_a_drain(rigs: Callable[..., Rig]) -> None:
    class SendsOn(PassThrough):
        def _update_endpoints(self, event: interface.EndpointUpdate) -> list[interface.Action]:
            ready = tuple(replace(e, phase=interface.Phase.READY) for e in event.entries)
            return super()._update_endpoints(replace(event, entries=ready))

    run = Run(rigs(SendsOn, nodes=1))
    run.rig.head.attempt_hooks = replace(run.rig.head.attempt_hooks, is_withdrawn=lambda node: False)
    for k in range(20):
        run.ask(k * 0.03)

    def drain() -> None:
        gevent.sleep(0.15)
        run.rig.list.change(run.rig.entry(0, "draining"))

    assert broken(run.play(drain)) == {"drains kept"}


def test_a_head_without_limits_and_turns(rigs: Callable[..., Rig]) -> None:
    run = Run(rigs(PassThrough, nodes=1))
    run.rig.nodes[0].set_faults({"slow": 12.0})
    for k in range(12):
        run.ask(k * 0.002, volume="w", size=1000)
    for _ in range(40):
        run.ask(0.0, volume="w")
    for k in range(6):
        run.ask(0.5 + k * 0.001, ORDERED, run="turns")
    assert broken(run.play()) >= {"limits kept", "order kept"}


def test_a_head_that_pushes_a_cold_node_over(rigs: Callable[..., Rig]) -> None:
    run = Run(rigs(PassThrough, nodes=1))
    port = run.rig.nodes[0].address[1]
    run.rig.nodes[0].server.reset_all()
    run.rig.nodes[0].stop()
    run.rig.traits = replace(SLOW, unit_time=0.2)  # so weak that a busy machine brings enough to push it over
    run.rig.nodes[0] = run.rig.make_node(0, cold=True, port=port)
    run.ages = {1: 0.0}
    entry = run.rig.entry(0)
    entry.started_at = time.monotonic()
    run.rig.list.change(entry)
    wait_for(lambda: any(t > entry.started_at for t, *_ in run.rig.told))
    for k in range(200):
        run.ask(0.05 + k * 0.001)
    assert "cold nodes spared" in broken(run.play())


def test_wrong_bytes_are_seen(rigs: Callable[..., Rig]) -> None:
    run = Run(rigs(nodes=1))
    run.rig.nodes[0].set_faults({"wrong_byte": 1.0})
    run.ask(0.0)
    verdict = run.play()
    assert verdict.wrong_bytes == 1 and not verdict.kept and broken(verdict) == set()
