"""Leases between real processes: faults between them, late steps, and doctored ones that the judge must find."""

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


def play(tmp: Path, *troubles: TroubleBlock, kind: type[Play] = Play, **more: Any) -> Result:
    day = load(FILE, Day, check_day)
    return kind(replace(day, trouble=(*day.trouble, *troubles)), FILE, tmp, 1, **more).run()


def fault(kind: str, at: float = 3.5, length: float = 3.0, **more: Any) -> TroubleBlock:
    return TroubleBlock(name=kind, kind=kind, at=at, length=length, **more)


def breaches(result: Result) -> list[str]:
    assert result.duties is not None
    return [b.text for b in result.duties.finding.breaches]


class _StopsASuccessor(Play):
    """Stops a gateway that works, once others work on all that the killed one held: a kill and a stop that hit one role
    count as one fault, and a gateway that was stopped over roles it had done, or not taken yet, has no successor."""

    killed: dict[str, int] = {}  # noqa: RUF012  # duties of the killed head and the life that held them

    def _working(self) -> dict[str, Any]:
        """Duties whose holder showed its token a moment ago."""
        rows = self.catalogue.database.roles.holders()
        return {r.role: r for r in rows if r.role.startswith("drain") and time.time() - r.shown_at < 0.4}

    def _hit(self, head: int, what: str, until: float) -> None:
        if what == "killed":
            self.killed = {
                r.role: r.incarnation for r in self.catalogue.database.roles.holders() if r.gateway_id == head
            }
        super()._hit(head, what, until)

    def _do_duty_stall(self, x: TroubleBlock, cells: Any, heads: Any) -> None:
        wait_for(
            lambda: (
                self.killed
                and not any(self.killed.get(r.role) == r.incarnation for r in self.catalogue.database.roles.holders())
            ),
            20.0,
        )
        super()._do_duty_stall(x, cells, heads)

    def _await_clients(self) -> None:
        """How fast what is left of the drain moves is the machine's matter; that it comes to its end is not."""
        super()._await_clients()
        wait_for(
            lambda: not [f for f in self._facts() if f.shard in self.drained and (f.volume, f.extent) in self.to_leave],
            60.0,
        )

    def _busiest(self, random: Random) -> int:
        """The head with most duties that it works on just now."""
        held = Counter(r.gateway_id for r in wait_for(self._working, 20.0).values())
        return max(held, key=lambda k: (held[k], k))


def test_a_drain_outlives_holders_that_are_killed_and_stopped(tmp_path: Path) -> None:
    result = play(
        tmp_path,
        fault("duty_kill", every=9.0, down=1.0),
        fault("duty_stall", at=4.5, every=9.0, size=2.5),
        kind=_StopsASuccessor,
    )
    assert not breaches(result), breaches(result)
    duties = result.duties
    assert duties is not None and duties.moved > 100 and duties.left == 0
    assert {"killed", "stopped"} <= set(duties.gaps_s), dict(duties.gaps_s)
    assert result.verdict.wrong_bytes == 0


class _LateSteps(Play):
    """Delays the steps of the gateway that holds most, and cuts it off from the others, until one has acted."""

    def _do_duty_nodes(self, x: TroubleBlock, cells: Any, heads: Any) -> None:
        for link in self.links.calls.values():
            link.only = STEPS
        super()._do_duty_nodes(x, cells, heads)

    def _hit(self, head: int, what: str, until: float) -> None:
        super()._hit(head, what, until)
        self.links.cut_heads({head}, out=True, back=True)


def test_a_step_that_was_delayed_until_a_successor_acted_is_refused(tmp_path: Path) -> None:
    """Whether a step is under way when the cut comes is chance, so three cuts a play, and three plays at most."""
    for attempt in range(3):
        folder = tmp_path / str(attempt)
        result = play(folder, fault("duty_nodes", length=3.0, every=1.2, size=1.8), kind=_LateSteps)
        refused = read_history(rows_of(folder)).fenced_steps
        found = [t for t in breaches(result) if "still lie" not in t]  # it need not be complete after so many cuts
        assert not found and all(r.newest_token is not None and r.token < r.newest_token for r in refused), found
        if refused:
            return
    raise AssertionError("no step came late in three plays")


class _Clocks(Play):
    """Clocks of gateways run at `rates`, by number; others as they should."""

    rates: dict[int, float] = {}  # noqa: RUF012  # set by each test

    def _head_config(self, k: int, *args: Any) -> Any:
        c = super()._head_config(k, *args)
        return replace(c, duties=replace(c.duties, clock_rate=self.rates.get(k, 1.0)))


def test_clocks_within_the_bound_break_nothing(tmp_path: Path) -> None:
    class Within(_Clocks):
        rates = {0: 1.009, 1: 0.991, 2: 1.0, 3: 0.991, 4: 1.009}  # noqa: RUF012

    result = play(tmp_path, fault("duty_cut", length=3.0, every=1.5, size=1.2), kind=Within)
    assert not [t for t in breaches(result) if "still lie" not in t], breaches(result)


def test_a_clock_far_outside_the_bound_breaks_leases_and_no_fence(tmp_path: Path) -> None:
    """Gateways whose clocks run at half speed hold on when they are cut off. Which one is cut is drawn, so three plays
    at most."""

    class Slow(_Clocks):
        rates = {3: 0.5, 4: 0.5}  # noqa: RUF012

    for attempt in range(3):
        result = play(tmp_path / str(attempt), fault("duty_cut", length=3.5, every=0.9, size=2.0), kind=Slow)
        found = breaches(result)
        assert not [t for t in found if t.startswith("place") or "was given token" in t or "times" in t], found
        if [t for t in found if "hold it for" in t]:
            return
    raise AssertionError("no two heads held one duty in three plays")


class _Watched(Play):
    """Sees what gateways hold while the day is played."""

    def _changes(self) -> list[LeaseChange]:
        files = self.folder.glob("duties-*.rec")
        return sorted((LeaseChange.decode(row) for file in files for row in FrameReader(file)), key=lambda c: c.time)


class _FullDisks(_Watched):
    """Fills all acceptors' disks once each role has a holder that has renewed; holders are killed after that."""

    full_at = math.inf

    def _has_holders(self) -> bool:
        latest = {change.lease: change for change in self._changes()}
        return len(latest) == len(role_names()) and all(change.is_renewed for change in latest.values())

    def _was_voted_for_in_vain(self) -> bool:
        """A majority of acceptors were asked for votes that they could not write."""
        asked = [(self.folder / f"head-{acceptor}" / UNWRITTEN_VOTES).exists() for acceptor in duties().voters]
        return 2 * sum(asked) > len(asked)

    def _is_renewed_since(self, moment: float) -> bool:
        return any(change.is_renewed and change.time > moment for change in self._changes())

    def _do_duty_kill(self, x: TroubleBlock, cells: Any, heads: Any) -> None:
        wait_for(self._has_holders, 60.0)
        for acceptor in duties().voters:
            (self.folder / f"head-{acceptor}" / DISK_FULL).touch()
        self.full_at = time.monotonic()
        super()._do_duty_kill(x, cells, heads)

    def _await_clients(self) -> None:
        """When elections come is the machine's matter, so the day goes on until there was one on full disks."""
        super()._await_clients()
        wait_for(self._was_voted_for_in_vain, 90.0)
        wait_for(lambda: self._is_renewed_since(self.full_at + 1.0), 10.0)


def duties() -> DutiesBlock:
    block = load(FILE, Day, check_day).duties
    assert block is not None
    return block


def role_names() -> tuple[str, ...]:
    return lease_settings(duties(), load(FILE, Day, check_day).day.heads).role_names


def play_full_disks(tmp: Path, head: str) -> Result:
    return play(
        tmp,
        fault("duty_kill", length=2.0, every=9.0, down=0.5),
        head_command=(head, "serve"),
        head_module="tests.e2e.doctored",
        kind=_FullDisks,
    )


def acquired_without_quorum(folder: Path) -> list[LeaseChange]:
    """Roles that were acquired though no majority of acceptors had written its vote: a disk was full by then."""
    files = [folder / f"head-{acceptor}" / PERSISTED_VOTES for acceptor in duties().voters]
    persisted = [{tuple(json.loads(line)) for line in file.read_text().splitlines()} for file in files]
    roles = {name: number for number, name in enumerate(role_names())}
    acquired = [change for change in read_history(rows_of(folder)).lease_changes if change.is_acquired]
    ballots = [(change, (roles[change.lease], change.token, change.incarnation)) for change in acquired]
    return [change for change, ballot in ballots if 2 * sum(ballot in votes for votes in persisted) <= len(files)]


def test_full_disks_under_all_acceptors_rest_roles_and_nothing_else(tmp_path: Path) -> None:
    """Votes that can't be kept are not given; what is held goes on being renewed; requests go on."""
    result = play_full_disks(tmp_path, "full_disk")
    history = read_history(rows_of(tmp_path))
    assert [r for r in history.lease_changes if r.is_acquired] and not acquired_without_quorum(tmp_path)
    assert not [t for t in breaches(result) if "still lie" not in t], breaches(result)
    assert "votes_not_persisted" in "".join(p.read_text() for p in tmp_path.glob("head-*.log"))
    assert result.service.whole.in_time > 0.8 * result.service.whole.asked


def test_acceptors_that_vote_on_full_disks_are_found(tmp_path: Path) -> None:
    """Guards against a check of full disks that no broken acceptor fails."""
    play_full_disks(tmp_path, "votes_on_full_disk")
    assert acquired_without_quorum(tmp_path)


class _OnceHeld(_Watched):
    """Kills the voters, and with them all others, who would remember the tokens for them, once every shard of the drain
    has a holder that has shown its token: before that there is nothing to forget. The day goes on until a shard is held
    under a token that was promised before: until then nothing shows that the voters forgot."""

    def _do_duty_voters(self, x: TroubleBlock, cells: Any, heads: Any, lost: bool = False) -> None:
        shards = sum(d.shards for d in duties().duty if d.name == "drain")
        holders = self.catalogue.database.roles.holders
        wait_for(lambda: sum(row.role.startswith("drain") for row in holders()) >= shards, 60.0)
        others = sorted(set(range(len(self.heads))) - set(duties().voters))
        for head in others:
            self._hit(head, "killed", time.monotonic() + x.down)
            self.note("head", head=head, what="killed")
            self.heads[head].kill()
        super()._do_duty_voters(x, cells, heads, lost)
        for head in others:
            self.heads[head].start()
            self.heads[head].wait_up()
            self.note("head", head=head, what="up")

    def _has_promised_token(self) -> bool:
        acquired = [change for change in self._changes() if change.is_acquired and change.lease.startswith("drain")]
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
def test_each_doctored_process_is_found(
    tmp_path: Path, head: str, node: str, troubles: tuple[TroubleBlock, ...], text: str
) -> None:
    result = play(
        tmp_path,
        *troubles,
        head_command=(head, "serve"),
        head_module="tests.e2e.doctored",
        node_command=(node,) if node else (),
        node_module="tests.e2e.doctored" if node else "fawnspool.cli",
        kind=_OnceHeld,
    )
    assert any(text in t for t in breaches(result)), breaches(result)
    assert not result.verdict.kept


def test_run_starts_and_imports_none_of_it() -> None:
    """By names of modules, so the words are those of the packages and modules that make up leases and moves."""
    words = ("dut", "lease", "acceptor", "role_context", "worker", "extent")
    endings = (".peers", ".peer_channel", ".incarnations", ".migrator")
    loaded = modules_of_run()
    assert not [name for name in loaded if any(word in name for word in words) or name.endswith(endings)]
    for name in ("fawnspool.leases", "fawnspool.gateway.lease_runner", "fawnspool.gateway.drain_worker"):
        assert importlib.util.find_spec(name) is not None, f"{name} is gone: name what took its place"
