"""Leases between real processes: faults, late steps, and faulty processes that the judge must find."""

from __future__ import annotations

import importlib.util
import json
import math
import time
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest

from fawnspool.config.head import DutiesBlock
from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day, TroubleBlock
from fawnspool.drill.links import STEPS
from fawnspool.drill.play import Play, Result
from fawnspool.gateway.lease_runner import lease_settings
from fawnspool.records.frames import FrameReader, rows_of
from fawnspool.rules.history import read_history
from fawnspool.rules.observations import LeaseChange
from tests.e2e.doctored import DISK_FULL, FIRST_LIFE_TOKENS, PERSISTED_VOTES, UNWRITTEN_VOTES
from tests.e2e.rig import wait_for
from tests.e2e.run_imports import modules_of_run

FILE = Path(__file__).parent / "duties.hcl"


def play(folder: Path, *troubles: TroubleBlock, kind: type[Play] = Play, **options: Any) -> Result:
    day = load(FILE, Day, check_day)
    return kind(replace(day, trouble=(*day.trouble, *troubles)), FILE, folder, 1, **options).run()


def fault(kind: str, at: float = 3.5, length: float = 3.0, **options: Any) -> TroubleBlock:
    return TroubleBlock(name=kind, kind=kind, at=at, length=length, **options)


def breaches(result: Result) -> list[str]:
    assert result.duties is not None
    return [breach.text for breach in result.duties.finding.breaches]


class _StoppedSuccessorPlay(Play):
    """Stops a working gateway after other gateways hold all roles of the killed one.

    A kill and a stop that affect the same role would count as one fault. A gateway that is stopped while its roles are
    finished, or not acquired yet, would have no successor.
    """

    killed: dict[str, int] = {}  # noqa: RUF012  # roles of the killed gateway, and the incarnation that held them

    def _active_holders(self) -> dict[str, Any]:
        """Return the roles whose holder showed its token a moment ago."""
        rows = self.catalogue.database.roles.holders()
        return {r.role: r for r in rows if r.role.startswith("drain") and time.time() - r.shown_at < 0.4}

    def _hit(self, head: int, what: str, until: float) -> None:
        if what == "killed":
            self.killed = {
                r.role: r.incarnation for r in self.catalogue.database.roles.holders() if r.gateway_id == head
            }
        super()._hit(head, what, until)

    def _do_duty_stall(self, trouble: TroubleBlock, cells: Any, heads: Any) -> None:
        wait_for(
            lambda: (
                self.killed
                and not any(self.killed.get(r.role) == r.incarnation for r in self.catalogue.database.roles.holders())
            ),
            20.0,
        )
        super()._do_duty_stall(trouble, cells, heads)

    def _await_clients(self) -> None:
        """Wait for the rest of the drain: its speed depends on the machine, but it must complete."""
        super()._await_clients()
        wait_for(
            lambda: not [f for f in self._facts() if f.shard in self.drained and (f.volume, f.extent) in self.to_leave],
            60.0,
        )

    def _busiest(self, random: Random) -> int:
        """Return the gateway that works on the most roles."""
        held_counts = Counter(r.gateway_id for r in wait_for(self._active_holders, 20.0).values())
        return max(held_counts, key=lambda k: (held_counts[k], k))


def test_a_drain_completes_although_holders_are_killed_and_stopped(tmp_path: Path) -> None:
    result = play(
        tmp_path,
        fault("duty_kill", every=9.0, down=1.0),
        fault("duty_stall", at=4.5, every=9.0, size=2.5),
        kind=_StoppedSuccessorPlay,
    )
    assert not breaches(result), breaches(result)
    duties = result.duties
    assert duties is not None and duties.moved > 100 and duties.left == 0
    assert {"killed", "stopped"} <= set(duties.gaps_s), dict(duties.gaps_s)
    assert result.verdict.wrong_bytes == 0


class _LateStepPlay(Play):
    """Delays the steps of the gateway with most roles, and cuts it off from the others, until a successor has acted."""

    def _do_duty_nodes(self, trouble: TroubleBlock, cells: Any, heads: Any) -> None:
        for link in self.links.calls.values():
            link.only = STEPS
        super()._do_duty_nodes(trouble, cells, heads)

    def _hit(self, head: int, what: str, until: float) -> None:
        super()._hit(head, what, until)
        self.links.cut_heads({head}, out=True, back=True)


def test_rejects_a_step_that_arrives_after_a_successor_acted(tmp_path: Path) -> None:
    """Whether a step is in flight when the cut begins is chance: hence three cuts per play, and up to three plays."""
    for attempt in range(3):
        folder = tmp_path / str(attempt)
        result = play(folder, fault("duty_nodes", length=3.0, every=1.2, size=1.8), kind=_LateStepPlay)
        refused_steps = read_history(rows_of(folder)).fenced_steps
        # The drain need not be complete after so many cuts.
        found = [text for text in breaches(result) if "still lie" not in text]
        assert not found and all(
            step.newest_token is not None and step.token < step.newest_token for step in refused_steps
        ), found
        if refused_steps:
            return
    raise AssertionError("no step arrived late in three plays")


class _ClockRatePlay(Play):
    """Runs the clocks of gateways at `rates`, by gateway number; all others at the right rate."""

    rates: dict[int, float] = {}  # noqa: RUF012  # set by each test

    def _head_config(self, gateway_id: int, *args: Any) -> Any:
        config = super()._head_config(gateway_id, *args)
        return replace(config, duties=replace(config.duties, clock_rate=self.rates.get(gateway_id, 1.0)))


def test_clocks_within_the_bound_cause_no_breach(tmp_path: Path) -> None:
    class Within(_ClockRatePlay):
        rates = {0: 1.009, 1: 0.991, 2: 1.0, 3: 0.991, 4: 1.009}  # noqa: RUF012

    result = play(tmp_path, fault("duty_cut", length=3.0, every=1.5, size=1.2), kind=Within)
    assert not [text for text in breaches(result) if "still lie" not in text], breaches(result)


def test_clocks_far_outside_the_bound_break_leases_but_not_fencing(tmp_path: Path) -> None:
    """Gateways whose clocks run at half speed keep their roles too long when they are cut off. The gateway that is cut
    off is chosen at random, hence up to three plays."""

    class Slow(_ClockRatePlay):
        rates = {3: 0.5, 4: 0.5}  # noqa: RUF012

    for attempt in range(3):
        result = play(tmp_path / str(attempt), fault("duty_cut", length=3.5, every=0.9, size=2.0), kind=Slow)
        found = breaches(result)
        assert not [
            text for text in found if text.startswith("place") or "was given token" in text or "times" in text
        ], found
        if [text for text in found if "hold it for" in text]:
            return
    raise AssertionError("no two gateways held the same role in three plays")


class _LeaseChangePlay(Play):
    """Reads the lease changes of all gateways while the day is played."""

    def _lease_changes(self) -> list[LeaseChange]:
        files = self.folder.glob("duties-*.rec")
        return sorted((LeaseChange.decode(row) for file in files for row in FrameReader(file)), key=lambda c: c.time)


class _FullDiskPlay(_LeaseChangePlay):
    """Fills all acceptors' disks once each role has a holder that has renewed its lease, then kills holders."""

    full_at = math.inf

    def _has_holders(self) -> bool:
        latest = {change.lease: change for change in self._lease_changes()}
        return len(latest) == len(role_names()) and all(change.is_renewed for change in latest.values())

    def _has_unwritten_majority(self) -> bool:
        """Return whether a majority of acceptors received vote requests and could not write the votes."""
        asked = [(self.folder / f"head-{acceptor}" / UNWRITTEN_VOTES).exists() for acceptor in duties().voters]
        return 2 * sum(asked) > len(asked)

    def _is_renewed_since(self, moment: float) -> bool:
        return any(change.is_renewed and change.time > moment for change in self._lease_changes())

    def _do_duty_kill(self, trouble: TroubleBlock, cells: Any, heads: Any) -> None:
        wait_for(self._has_holders, 60.0)
        for acceptor in duties().voters:
            (self.folder / f"head-{acceptor}" / DISK_FULL).touch()
        self.full_at = time.monotonic()
        super()._do_duty_kill(trouble, cells, heads)

    def _await_clients(self) -> None:
        """Wait for an election on full disks: its time depends on the machine."""
        super()._await_clients()
        wait_for(self._has_unwritten_majority, 90.0)
        wait_for(lambda: self._is_renewed_since(self.full_at + 1.0), 10.0)


def duties() -> DutiesBlock:
    block = load(FILE, Day, check_day).duties
    assert block is not None
    return block


def role_names() -> tuple[str, ...]:
    return lease_settings(duties(), load(FILE, Day, check_day).day.heads).role_names


def play_full_disks(folder: Path, head: str) -> Result:
    return play(
        folder,
        fault("duty_kill", length=2.0, every=9.0, down=0.5),
        head_command=(head, "serve"),
        head_module="tests.e2e.doctored",
        kind=_FullDiskPlay,
    )


def acquired_without_quorum(folder: Path) -> list[LeaseChange]:
    """Return acquired roles for which no majority of acceptors had written a vote, as their disks were full."""
    files = [folder / f"head-{acceptor}" / PERSISTED_VOTES for acceptor in duties().voters]
    persisted = [{tuple(json.loads(line)) for line in file.read_text().splitlines()} for file in files]
    roles = {name: number for number, name in enumerate(role_names())}
    acquired = [change for change in read_history(rows_of(folder)).lease_changes if change.is_acquired]
    ballots = [(change, (roles[change.lease], change.token, change.incarnation)) for change in acquired]
    return [change for change, ballot in ballots if 2 * sum(ballot in votes for votes in persisted) <= len(files)]


def test_full_disks_of_all_acceptors_stop_only_elections(tmp_path: Path) -> None:
    """Votes that can't be stored are not given. Held roles are still renewed, and requests still served."""
    result = play_full_disks(tmp_path, "full_disk")
    history = read_history(rows_of(tmp_path))
    assert [r for r in history.lease_changes if r.is_acquired] and not acquired_without_quorum(tmp_path)
    assert not [text for text in breaches(result) if "still lie" not in text], breaches(result)
    assert "votes_not_persisted" in "".join(p.read_text() for p in tmp_path.glob("head-*.log"))
    assert result.service.whole.in_time > 0.8 * result.service.whole.asked


def test_finds_acceptors_that_vote_on_full_disks(tmp_path: Path) -> None:
    """Guards against a check of full disks that would not detect a faulty acceptor."""
    play_full_disks(tmp_path, "votes_on_full_disk")
    assert acquired_without_quorum(tmp_path)


class _KillOnceHeldPlay(_LeaseChangePlay):
    """Kills all gateways once every shard of the drain has a holder that has shown its token.

    Before that, the acceptors have no votes to forget. The other gateways are killed too, as they would remember the
    tokens. The day goes on until a shard is held under a token that was promised before: only that shows that the
    acceptors forgot.
    """

    def _do_duty_voters(self, trouble: TroubleBlock, cells: Any, heads: Any, lost: bool = False) -> None:
        shards = sum(d.shards for d in duties().duty if d.name == "drain")
        holders = self.catalogue.database.roles.holders
        wait_for(lambda: sum(row.role.startswith("drain") for row in holders()) >= shards, 60.0)
        others = sorted(set(range(len(self.heads))) - set(duties().voters))
        for head in others:
            self._hit(head, "killed", time.monotonic() + trouble.down)
            self.note("head", head=head, what="killed")
            self.heads[head].kill()
        super()._do_duty_voters(trouble, cells, heads, lost)
        for head in others:
            self.heads[head].start()
            self.heads[head].wait_up()
            self.note("head", head=head, what="up")

    def _has_promised_token(self) -> bool:
        acquired = [
            change for change in self._lease_changes() if change.is_acquired and change.lease.startswith("drain")
        ]
        return any(change.token <= FIRST_LIFE_TOKENS for change in acquired)

    def _await_clients(self) -> None:
        super()._await_clients()
        if any(trouble.kind == "duty_voters" for trouble in self.day.trouble):
            wait_for(self._has_promised_token, 90.0)


@pytest.mark.parametrize(
    "head, node, troubles, text",
    [
        ("ignores_end", "", (fault("duty_cut", length=1.0, every=9.0, size=3.0),), "after a newer holder had"),
        ("no_token", "", (), "without a token"),
        ("forgets_votes", "", (fault("duty_voters", down=0.3),), "was given token"),
        ("votes_twice", "", (), "hold it for"),
        ("ignores_end", "forgets_fence", (fault("duty_cut", length=1.0, every=9.0, size=3.0),), "after"),
        ("wrong_place", "", (), "times"),
    ],
)
def test_finds_each_faulty_process(
    tmp_path: Path, head: str, node: str, troubles: tuple[TroubleBlock, ...], text: str
) -> None:
    result = play(
        tmp_path,
        *troubles,
        head_command=(head, "serve"),
        head_module="tests.e2e.doctored",
        node_command=(node,) if node else (),
        node_module="tests.e2e.doctored" if node else "fawnspool.cli",
        kind=_KillOnceHeldPlay,
    )
    assert any(text in t for t in breaches(result)), breaches(result)
    assert not result.verdict.kept


def test_run_imports_no_lease_or_migration_modules() -> None:
    """Guards against `run` loading code of leases or migrations, found by words in module names."""
    words = ("dut", "lease", "acceptor", "role_context", "worker", "extent")
    endings = (".peers", ".peer_channel", ".incarnations", ".migrator")
    loaded = modules_of_run()
    assert not [name for name in loaded if any(word in name for word in words) or name.endswith(endings)]
    for name in ("fawnspool.leases", "fawnspool.gateway.lease_runner", "fawnspool.gateway.drain_worker"):
        assert importlib.util.find_spec(name) is not None, f"{name} no longer exists: list its replacement here"
