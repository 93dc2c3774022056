"""Migrations, model-checked: migrators that die at any step, two for one extent, nodes that forget, late writes."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test

from fawnspool.extents.migration import (
    Migration,
    MigrationStep,
    OwnershipNotice,
    ReplicaReport,
    next_step,
    required_notice,
)
from fawnspool.extents.object_replica import ObjectReplica, ReplicaCommand
from fawnspool.extents.replicas import LoggedWrite, Replica, ReplicaResult, ReplicaRole

NODES = 3


def seen(copy: Replica) -> ReplicaReport:
    return ReplicaReport(copy.role, copy.generation, copy.position, copy.successor, copy.fence_position, bool(copy.log))


class Fleet:
    """Three nodes, the map's record of one extent, and migrators that keep no state."""

    def __init__(self) -> None:
        self.nodes = [Replica() for _ in range(NODES)]
        self.nodes[0].create(0)
        self.mapped, self.cell = 0, 0
        self.acked: list[tuple[str, str]] = []  # (key, value) of writes that were acknowledged
        self.keys = 0

    def owners(self) -> list[int]:
        return [k for k, c in enumerate(self.nodes) if c.role is ReplicaRole.OWNER]

    def look(self, move: Migration, undo: bool = False) -> MigrationStep:
        return next_step(move, seen(self.nodes[move.source]), seen(self.nodes[move.target]), self.mapped, undo)

    def step(
        self, move: Migration, undo: bool = False, part: int = 3, what: MigrationStep | None = None
    ) -> MigrationStep:
        """Look, and take the next step; or take one that was found earlier, whatever has come in between."""
        source, dest = self.nodes[move.source], self.nodes[move.target]
        what = what or self.look(move, undo)
        if what is MigrationStep.BEGIN_FILLING:
            dest.begin_filling(move.generation)
        elif what in (MigrationStep.COPY, MigrationStep.CATCH_UP):
            dest.append(move.generation, source.writes_after(dest.position)[:part])
        elif what is MigrationStep.FENCE:
            source.fence(move.generation, move.target)
        elif what is MigrationStep.ACTIVATE:
            dest.activate(move.generation, source.fence_position)
        elif what is MigrationStep.UPDATE_MAP and self.mapped < move.generation:  # the map never goes back
            self.mapped, self.cell = move.generation, move.target
        elif what is MigrationStep.DISCARD_SOURCE:
            source.discard_data(move.generation)
        elif what is MigrationStep.CANCEL:
            dest.cancel(move.generation)
        elif what is MigrationStep.REACTIVATE and source.reactivate(move.generation) is ReplicaResult.DONE:
            self.mapped, self.cell = source.generation, move.source
        return what

    def write(self, at: int, key: str, value: str) -> None:
        if self.nodes[at].write("n", value, key) is ReplicaResult.DONE and (key, value) not in self.acked:
            self.acked.append((key, value))

    def settle(self, moves: list[Migration]) -> None:
        for _ in range(200):
            if not any(
                self.step(m) not in (MigrationStep.DONE, MigrationStep.SUPERSEDED, MigrationStep.WAIT) for m in moves
            ):
                return
        raise AssertionError("migrators never come to rest")


class Moving(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.moves: list[Migration] = []
        self.slow: list[tuple[Migration, MigrationStep]] = []

    @rule(to=st.integers(0, NODES - 1))
    def begin(self, to: int) -> None:
        """Any migrator may begin one from where the map says the extent is."""
        f = self.fleet
        if to != f.cell and len(self.moves) < 6:
            self.moves.append(Migration(f.cell, to, f.mapped + 1))

    @precondition(lambda self: self.moves)
    @rule(k=st.integers(0, 5), undo=st.booleans(), part=st.integers(1, 4))
    def step(self, k: int, undo: bool, part: int) -> None:
        self.fleet.step(self.moves[k % len(self.moves)], undo and k % 3 == 0, part)

    @precondition(lambda self: self.moves)
    @rule(k=st.integers(0, 5), undo=st.booleans())
    def look(self, k: int, undo: bool) -> None:
        """A migrator looks and is slow to act: another may act first."""
        move = self.moves[k % len(self.moves)]
        self.slow = [*self.slow[-5:], (move, self.fleet.look(move, undo))]

    @precondition(lambda self: self.slow)
    @rule(k=st.integers(0, 5), part=st.integers(1, 4))
    def act(self, k: int, part: int) -> None:
        move, what = self.slow.pop(k % len(self.slow))
        self.fleet.step(move, part=part, what=what)

    @rule(at=st.integers(0, NODES - 1))
    def write(self, at: int) -> None:
        self.fleet.keys += 1
        self.fleet.write(at, f"k{self.fleet.keys}", f"v{self.fleet.keys}")

    @precondition(lambda self: self.fleet.acked)
    @rule(at=st.integers(0, NODES - 1), k=st.integers(0, 99))
    def repeat(self, at: int, k: int) -> None:
        """A client that did not hear of its write sends it again, wherever it now thinks the extent lies."""
        key, value = self.fleet.acked[k % len(self.fleet.acked)]
        self.fleet.write(at, key, value)

    @rule(at=st.integers(0, NODES - 1))
    def forget_what_it_fills(self, at: int) -> None:
        """A node restarts and what it had taken in is gone."""
        if self.fleet.nodes[at].role is ReplicaRole.FILLING:
            self.fleet.nodes[at] = Replica()

    @invariant()
    def one_owner_at_most(self) -> None:
        assert len(self.fleet.owners()) <= 1

    @invariant()
    def no_write_is_lost_or_doubled(self) -> None:
        f = self.fleet
        holders = f.owners() or [
            k for k, c in enumerate(f.nodes) if c.role is ReplicaRole.FENCED and len(c.log) == c.position
        ]
        keys = [[w.idempotency_key for w in f.nodes[k].log] for k in holders]
        assert any({k for k, _ in f.acked} <= set(row) for row in keys), (f.acked, f.nodes)
        assert all(len(row) == len(set(row)) for row in keys)

    def teardown(self) -> None:
        f = self.fleet
        f.settle(self.moves)
        assert len(f.owners()) == 1, f.nodes
        owner = f.nodes[f.owners()[0]]
        assert {w.idempotency_key for w in owner.log} == {k for k, _ in f.acked}
        assert f.cell == f.owners()[0] and f.mapped == owner.generation


FIRST = settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    report_multiple_bugs=False,
    phases=[Phase.generate],
)  # to the first failure, not to the smallest
TestMoving = Moving.TestCase
TestMoving.settings = settings(max_examples=150, stateful_step_count=30, derandomize=True, deadline=None)


def _writes_when_fenced(self: Replica, name: str, value: str, key: str = "") -> ReplicaResult:
    if self.role not in (ReplicaRole.OWNER, ReplicaRole.FENCED):
        return ReplicaResult.NOT_YET
    self.position += 1
    self.log.append(LoggedWrite(self.position, name, value, key))
    return ReplicaResult.DONE


def _fills_when_cancelled(self: Replica, generation: int) -> ReplicaResult:
    if self.role in (ReplicaRole.OWNER, ReplicaRole.FENCED) or self.generation > generation:
        return ReplicaResult.REFUSED
    self.role, self.generation, self.log, self.position = ReplicaRole.FILLING, generation, [], 0
    return ReplicaResult.DONE


def _activates_early(self: Replica, generation: int, fence: int) -> ReplicaResult:
    if self.role is ReplicaRole.FILLING and self.generation == generation:
        self.role = ReplicaRole.OWNER
        return ReplicaResult.DONE
    return ReplicaResult.REFUSED


def test_a_node_that_writes_behind_its_fence_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check of the check, by search: such a write is soon lost."""
    monkeypatch.setattr(Replica, "write", _writes_when_fenced)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Moving, settings=FIRST)


def _undone(f: Fleet, move: Migration) -> list[int]:
    """A fence undone while another migrator takes the cancelled node up again; the owners after it."""
    f.write(0, "k", "v")
    while f.nodes[0].role is not ReplicaRole.FENCED:
        f.step(move)
    f.step(move, undo=True)
    assert f.look(move) is MigrationStep.REACTIVATE
    f.nodes[1].begin_filling(move.generation)
    f.nodes[1].append(move.generation, f.nodes[0].writes_after(0))
    f.step(move, what=MigrationStep.REACTIVATE)
    f.nodes[1].activate(move.generation, 1)
    return f.owners()


def test_a_node_that_resumes_a_cancelled_migration_makes_two_owners(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _undone(Fleet(), Migration(0, 1, 1)) == [0]
    monkeypatch.setattr(Replica, "begin_filling", _fills_when_cancelled)
    assert _undone(Fleet(), Migration(0, 1, 1)) == [0, 1]


def test_a_migrator_that_activates_early_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    import tests.test_migration as here

    right = next_step

    def hasty(
        move: Migration, source: ReplicaReport | None, dest: ReplicaReport | None, mapped: int, undo: bool = False
    ) -> MigrationStep:
        said = right(move, source, dest, mapped, undo)
        return MigrationStep.ACTIVATE if said is MigrationStep.CATCH_UP else said

    monkeypatch.setattr(Replica, "activate", _activates_early)
    monkeypatch.setattr(here, "next_step", hasty)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Moving, settings=FIRST)


def test_a_migration_goes_through_its_steps_in_order() -> None:
    f, move = Fleet(), Migration(0, 1, 1)
    for k in range(20):
        f.write(0, f"k{k}", f"v{k}")
    steps = [f.step(move) for _ in range(13)]
    assert list(dict.fromkeys(steps)) == [
        MigrationStep.BEGIN_FILLING,
        MigrationStep.COPY,
        MigrationStep.FENCE,
        MigrationStep.CATCH_UP,
        MigrationStep.ACTIVATE,
        MigrationStep.UPDATE_MAP,
        MigrationStep.DISCARD_SOURCE,
        MigrationStep.DONE,
    ]
    assert f.nodes[1].read("n") == (ReplicaResult.DONE, "v19") and f.nodes[0].read("n")[0] is ReplicaResult.MOVED
    assert f.nodes[0].log == []


def test_of_two_migrators_one_wins_and_the_other_is_superseded() -> None:
    f, a, b = Fleet(), Migration(0, 1, 1), Migration(0, 2, 1)
    f.write(0, "k", "v")
    while f.look(a) is not MigrationStep.FENCE or f.look(b) is not MigrationStep.FENCE:
        for move in (a, b):
            if f.look(move) is not MigrationStep.FENCE:
                f.step(move)
    f.step(b, what=MigrationStep.FENCE)  # both had looked and found that they may fence
    f.step(a, what=MigrationStep.FENCE)
    assert f.nodes[0].successor == 2
    f.settle([a, b])
    winner, loser = (a, b) if f.cell == 1 else (b, a)
    assert f.step(winner) is MigrationStep.DONE and f.step(loser) is MigrationStep.SUPERSEDED


def test_a_fence_can_be_undone_until_the_target_is_activated() -> None:
    f, move = Fleet(), Migration(0, 1, 1)
    f.write(0, "k", "v")
    while f.nodes[0].role is not ReplicaRole.FENCED:
        f.step(move)
    assert f.step(move, undo=True) is MigrationStep.CANCEL and f.nodes[1].activate(1, 1) is ReplicaResult.REFUSED
    assert f.step(move, undo=True) is MigrationStep.REACTIVATE
    assert (
        f.nodes[0].role is ReplicaRole.OWNER
        and f.nodes[0].generation == 2
        and f.nodes[0].read("n") == (ReplicaResult.DONE, "v")
    )
    opened = Fleet()
    while opened.nodes[1].role is not ReplicaRole.OWNER:
        opened.step(move)
    assert (
        opened.step(move, undo=True) is MigrationStep.UPDATE_MAP and opened.nodes[1].cancel(1) is ReplicaResult.REFUSED
    )


def test_a_node_without_its_memory_serves_nobody_until_it_is_confirmed() -> None:
    f, move = Fleet(), Migration(0, 1, 1)
    f.write(0, "k", "v")
    f.settle([move])
    back = Replica(ReplicaRole.OWNER, 0, log=[], position=0)  # its disk of an hour ago, when it owned the extent
    back.lose_memory()
    assert back.read("n")[0] is ReplicaResult.NOT_YET and back.write("n", "w", "x") is ReplicaResult.NOT_YET
    assert back.confirm(f.mapped, False) is ReplicaResult.DONE and back.read("n")[0] is ReplicaResult.MOVED
    same = Replica(ReplicaRole.OWNER, 3)
    same.lose_memory()
    assert same.confirm(3, True) is ReplicaResult.DONE and same.role is ReplicaRole.OWNER


def test_a_gap_in_appended_writes_is_refused() -> None:
    source, dest = Replica(), Replica()
    source.create(0)
    for k in range(4):
        source.write("n", str(k))
    dest.begin_filling(1)
    assert dest.append(1, source.writes_after(2)) is ReplicaResult.REFUSED and dest.position == 0
    assert (
        dest.append(1, source.writes_after(0)[:2]) is ReplicaResult.DONE
        and dest.append(1, source.writes_after(0)) is ReplicaResult.DONE
    )
    assert (
        dest.position == 4
        and dest.activate(1, 5) is ReplicaResult.REFUSED
        and dest.activate(1, 4) is ReplicaResult.DONE
    )


def test_a_migrator_waits_for_a_node_that_does_not_answer() -> None:
    move, copy = Migration(0, 1, 1), Replica()
    copy.create(0)
    assert next_step(move, None, ReplicaReport(ReplicaRole.ABSENT, -1), 0) is MigrationStep.WAIT
    assert next_step(move, seen(copy), None, 0) is MigrationStep.WAIT
    copy.lose_memory()
    assert next_step(move, seen(copy), ReplicaReport(ReplicaRole.ABSENT, -1), 0) is MigrationStep.WAIT


@pytest.mark.parametrize("make", [Replica, ObjectReplica])
def test_what_has_discarded_its_data_does_not_serve_again(make: type[Replica]) -> None:
    c = make()
    c.create(0)
    c.write("n", "1")
    assert c.fence(1, 2)[0] is ReplicaResult.DONE
    if make is Replica:
        kept = make()
        kept.create(0)
        kept.fence(1, 2)
        assert kept.reactivate(1) is ReplicaResult.DONE and kept.generation == 2
    assert c.discard_data(1) is ReplicaResult.DONE
    assert c.reactivate(1) is ReplicaResult.REFUSED and c.role is ReplicaRole.FENCED


MOVE = Migration(0, 1, 5)


@pytest.mark.parametrize(
    ("source", "dest", "mapped", "map_shard", "notice"),
    [
        (
            ReplicaReport(ReplicaRole.OWNER, -1),
            ReplicaReport(ReplicaRole.ABSENT, -1),
            4,
            0,
            OwnershipNotice(0, ReplicaCommand.CLAIM, 4),
        ),
        (
            ReplicaReport(ReplicaRole.OWNER, -1),
            ReplicaReport(ReplicaRole.ABSENT, -1),
            5,
            0,
            None,
        ),  # another move has won meanwhile
        (ReplicaReport(ReplicaRole.OWNER, 4), ReplicaReport(ReplicaRole.ABSENT, -1), 4, 0, None),
        (ReplicaReport(ReplicaRole.UNCONFIRMED, 4), None, 4, 0, OwnershipNotice(0, ReplicaCommand.CONFIRM, 4, True)),
        (ReplicaReport(ReplicaRole.UNCONFIRMED, 4), None, 5, 1, OwnershipNotice(0, ReplicaCommand.CONFIRM, 5, False)),
        (
            ReplicaReport(ReplicaRole.FENCED, 5, successor=1),
            ReplicaReport(ReplicaRole.UNCONFIRMED, 5),
            4,
            0,
            OwnershipNotice(1, ReplicaCommand.CONFIRM, 5, True),
        ),  # it had opened
        (
            ReplicaReport(ReplicaRole.FENCED, 5, successor=2),
            ReplicaReport(ReplicaRole.UNCONFIRMED, 5),
            4,
            0,
            OwnershipNotice(1, ReplicaCommand.CONFIRM, 4, False),
        ),  # not by this fence
        (
            ReplicaReport(ReplicaRole.FENCED, 5, successor=1),
            ReplicaReport(ReplicaRole.UNCONFIRMED, -1),
            4,
            0,
            OwnershipNotice(1, ReplicaCommand.CONFIRM, 4, False),
        ),
        (None, ReplicaReport(ReplicaRole.UNCONFIRMED, 5), 5, 1, OwnershipNotice(1, ReplicaCommand.CONFIRM, 5, True)),
    ],
)
def test_the_notice_that_a_node_needs_before_any_step(
    source: ReplicaReport | None,
    dest: ReplicaReport | None,
    mapped: int,
    map_shard: int,
    notice: OwnershipNotice | None,
) -> None:
    assert required_notice(MOVE, source, dest, mapped, map_shard) == notice
