"""Moves, model-checked: movers that die at any step, two for one extent, nodes that forget, writes all the while."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test

from fawnspool.extents.migration import Move, Seen, Step, Tell, next_step, tell_first
from fawnspool.extents.replicas import Answer, Copy, Role, Side, Write

NODES = 3


def seen(copy: Copy) -> Seen:
    return Seen(copy.role, copy.generation, copy.position, copy.to, copy.fence, bool(copy.log))


class Fleet:
    """Three nodes, the map's word on one extent, and movers that keep nothing."""

    def __init__(self) -> None:
        self.nodes = [Copy() for _ in range(NODES)]
        self.nodes[0].own(0)
        self.mapped, self.cell = 0, 0
        self.acked: list[tuple[str, str]] = []  # (key, value) of writes that were acknowledged
        self.keys = 0

    def owners(self) -> list[int]:
        return [k for k, c in enumerate(self.nodes) if c.role is Role.OWNER]

    def look(self, move: Move, undo: bool = False) -> Step:
        return next_step(move, seen(self.nodes[move.source]), seen(self.nodes[move.to]), self.mapped, undo)

    def step(self, move: Move, undo: bool = False, part: int = 3, what: Step | None = None) -> Step:
        """Look, and take the next step; or take one that was found earlier, whatever has come in between."""
        source, dest = self.nodes[move.source], self.nodes[move.to]
        what = what or self.look(move, undo)
        if what is Step.FILL:
            dest.fill(move.generation)
        elif what in (Step.COPY, Step.CATCH_UP):
            dest.take(move.generation, source.since(dest.position)[:part])
        elif what is Step.FENCE:
            source.close(move.generation, move.to)
        elif what is Step.OPEN:
            dest.open(move.generation, source.fence)
        elif what is Step.FLIP and self.mapped < move.generation:  # the map never goes back
            self.mapped, self.cell = move.generation, move.to
        elif what is Step.FORGET:
            source.forget(move.generation)
        elif what is Step.CANCEL:
            dest.cancel(move.generation)
        elif what is Step.REOPEN and source.reopen(move.generation) is Answer.DONE:
            self.mapped, self.cell = source.generation, move.source
        return what

    def write(self, at: int, key: str, value: str) -> None:
        if self.nodes[at].write("n", value, key) is Answer.DONE and (key, value) not in self.acked:
            self.acked.append((key, value))

    def settle(self, moves: list[Move]) -> None:
        for _ in range(200):
            if not any(self.step(m) not in (Step.DONE, Step.LOST, Step.WAIT) for m in moves):
                return
        raise AssertionError("movers never come to rest")


class Moving(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()
        self.moves: list[Move] = []
        self.slow: list[tuple[Move, Step]] = []

    @rule(to=st.integers(0, NODES - 1))
    def begin(self, to: int) -> None:
        """Any mover may begin one from where the map says the extent lies."""
        f = self.fleet
        if to != f.cell and len(self.moves) < 6:
            self.moves.append(Move(f.cell, to, f.mapped + 1))

    @precondition(lambda self: self.moves)
    @rule(k=st.integers(0, 5), undo=st.booleans(), part=st.integers(1, 4))
    def step(self, k: int, undo: bool, part: int) -> None:
        self.fleet.step(self.moves[k % len(self.moves)], undo and k % 3 == 0, part)

    @precondition(lambda self: self.moves)
    @rule(k=st.integers(0, 5), undo=st.booleans())
    def look(self, k: int, undo: bool) -> None:
        """A mover looks and is slow to act: another may act first."""
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
        if self.fleet.nodes[at].role is Role.FILLING:
            self.fleet.nodes[at] = Copy()

    @invariant()
    def one_owner_at_most(self) -> None:
        assert len(self.fleet.owners()) <= 1

    @invariant()
    def no_write_is_lost_or_doubled(self) -> None:
        f = self.fleet
        holders = f.owners() or [k for k, c in enumerate(f.nodes) if c.role is Role.FENCED and len(c.log) == c.position]
        keys = [[w.key for w in f.nodes[k].log] for k in holders]
        assert any({k for k, _ in f.acked} <= set(row) for row in keys), (f.acked, f.nodes)
        assert all(len(row) == len(set(row)) for row in keys)

    def teardown(self) -> None:
        f = self.fleet
        f.settle(self.moves)
        assert len(f.owners()) == 1, f.nodes
        owner = f.nodes[f.owners()[0]]
        assert {w.key for w in owner.log} == {k for k, _ in f.acked}
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


def _writes_when_fenced(self: Copy, name: str, value: str, key: str = "") -> Answer:
    if self.role not in (Role.OWNER, Role.FENCED):
        return Answer.NOT_YET
    self.position += 1
    self.log.append(Write(self.position, name, value, key))
    return Answer.DONE


def _fills_again(self: Copy, generation: int) -> Answer:
    if self.role in (Role.OWNER, Role.FENCED) or self.generation > generation:
        return Answer.NO
    self.role, self.generation, self.log, self.position = Role.FILLING, generation, [], 0
    return Answer.DONE


def _opens_early(self: Copy, generation: int, fence: int) -> Answer:
    if self.role is Role.FILLING and self.generation == generation:
        self.role = Role.OWNER
        return Answer.DONE
    return Answer.NO


def test_a_node_that_writes_behind_its_fence_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check of the check, by search: such a write is soon lost."""
    monkeypatch.setattr(Copy, "write", _writes_when_fenced)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Moving, settings=FIRST)


def _undone(f: Fleet, move: Move) -> list[int]:
    """A fence undone while another mover takes the cancelled node up again; the owners after it."""
    f.write(0, "k", "v")
    while f.nodes[0].role is not Role.FENCED:
        f.step(move)
    f.step(move, undo=True)
    assert f.look(move) is Step.REOPEN
    f.nodes[1].fill(move.generation)
    f.nodes[1].take(move.generation, f.nodes[0].since(0))
    f.step(move, what=Step.REOPEN)
    f.nodes[1].open(move.generation, 1)
    return f.owners()


def test_a_node_that_takes_a_cancelled_move_up_again_makes_two_owners(monkeypatch: pytest.MonkeyPatch) -> None:
    assert _undone(Fleet(), Move(0, 1, 1)) == [0]
    monkeypatch.setattr(Copy, "fill", _fills_again)
    assert _undone(Fleet(), Move(0, 1, 1)) == [0, 1]


def test_a_mover_that_opens_early_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    import tests.test_moves as here

    right = next_step

    def hasty(move: Move, source: Seen | None, dest: Seen | None, mapped: int, undo: bool = False) -> Step:
        said = right(move, source, dest, mapped, undo)
        return Step.OPEN if said is Step.CATCH_UP else said

    monkeypatch.setattr(Copy, "open", _opens_early)
    monkeypatch.setattr(here, "next_step", hasty)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Moving, settings=FIRST)


def test_a_move_goes_through_its_steps_in_order() -> None:
    f, move = Fleet(), Move(0, 1, 1)
    for k in range(20):
        f.write(0, f"k{k}", f"v{k}")
    steps = [f.step(move) for _ in range(13)]
    assert list(dict.fromkeys(steps)) == [
        Step.FILL,
        Step.COPY,
        Step.FENCE,
        Step.CATCH_UP,
        Step.OPEN,
        Step.FLIP,
        Step.FORGET,
        Step.DONE,
    ]
    assert f.nodes[1].read("n") == (Answer.DONE, "v19") and f.nodes[0].read("n")[0] is Answer.MOVED
    assert f.nodes[0].log == []


def test_of_two_movers_one_wins_and_the_other_is_told() -> None:
    f, a, b = Fleet(), Move(0, 1, 1), Move(0, 2, 1)
    f.write(0, "k", "v")
    while f.look(a) is not Step.FENCE or f.look(b) is not Step.FENCE:
        for move in (a, b):
            if f.look(move) is not Step.FENCE:
                f.step(move)
    f.step(b, what=Step.FENCE)  # both had looked and found that they may fence
    f.step(a, what=Step.FENCE)
    assert f.nodes[0].to == 2
    f.settle([a, b])
    winner, loser = (a, b) if f.cell == 1 else (b, a)
    assert f.step(winner) is Step.DONE and f.step(loser) is Step.LOST


def test_a_fence_can_be_undone_until_the_new_node_opens() -> None:
    f, move = Fleet(), Move(0, 1, 1)
    f.write(0, "k", "v")
    while f.nodes[0].role is not Role.FENCED:
        f.step(move)
    assert f.step(move, undo=True) is Step.CANCEL and f.nodes[1].open(1, 1) is Answer.NO
    assert f.step(move, undo=True) is Step.REOPEN
    assert f.nodes[0].role is Role.OWNER and f.nodes[0].generation == 2 and f.nodes[0].read("n") == (Answer.DONE, "v")
    opened = Fleet()
    while opened.nodes[1].role is not Role.OWNER:
        opened.step(move)
    assert opened.step(move, undo=True) is Step.FLIP and opened.nodes[1].cancel(1) is Answer.NO


def test_a_node_without_its_memory_serves_nobody_until_it_is_told() -> None:
    f, move = Fleet(), Move(0, 1, 1)
    f.write(0, "k", "v")
    f.settle([move])
    back = Copy(Role.OWNER, 0, log=[], position=0)  # its disk of an hour ago, when it owned the extent
    back.lost()
    assert back.read("n")[0] is Answer.NOT_YET and back.write("n", "w", "x") is Answer.NOT_YET
    assert back.confirm(f.mapped, False) is Answer.DONE and back.read("n")[0] is Answer.MOVED
    same = Copy(Role.OWNER, 3)
    same.lost()
    assert same.confirm(3, True) is Answer.DONE and same.role is Role.OWNER


def test_a_gap_in_what_is_taken_in_is_not_jumped() -> None:
    source, dest = Copy(), Copy()
    source.own(0)
    for k in range(4):
        source.write("n", str(k))
    dest.fill(1)
    assert dest.take(1, source.since(2)) is Answer.NO and dest.position == 0
    assert dest.take(1, source.since(0)[:2]) is Answer.DONE and dest.take(1, source.since(0)) is Answer.DONE
    assert dest.position == 4 and dest.open(1, 5) is Answer.NO and dest.open(1, 4) is Answer.DONE


def test_a_mover_waits_for_a_node_that_does_not_answer() -> None:
    move, copy = Move(0, 1, 1), Copy()
    copy.own(0)
    assert next_step(move, None, Seen(Role.ABSENT, -1), 0) is Step.WAIT
    assert next_step(move, seen(copy), None, 0) is Step.WAIT
    copy.lost()
    assert next_step(move, seen(copy), Seen(Role.ABSENT, -1), 0) is Step.WAIT


@pytest.mark.parametrize("make", [Copy, Side])
def test_what_has_forgotten_its_data_does_not_serve_again(make: type[Copy]) -> None:
    c = make()
    c.own(0)
    c.write("n", "1")
    assert c.close(1, 2)[0] is Answer.DONE
    if make is Copy:
        kept = make()
        kept.own(0)
        kept.close(1, 2)
        assert kept.reopen(1) is Answer.DONE and kept.generation == 2
    assert c.forget(1) is Answer.DONE
    assert c.reopen(1) is Answer.NO and c.role is Role.FENCED


MOVE = Move(0, 1, 5)


@pytest.mark.parametrize(
    ("source", "dest", "mapped", "cell", "told"),
    [
        (Seen(Role.OWNER, -1), Seen(Role.ABSENT, -1), 4, 0, Tell(0, "own", 4)),
        (Seen(Role.OWNER, -1), Seen(Role.ABSENT, -1), 5, 0, None),  # another move has won meanwhile
        (Seen(Role.OWNER, 4), Seen(Role.ABSENT, -1), 4, 0, None),
        (Seen(Role.UNSURE, 4), None, 4, 0, Tell(0, "confirm", 4, True)),
        (Seen(Role.UNSURE, 4), None, 5, 1, Tell(0, "confirm", 5, False)),
        (Seen(Role.FENCED, 5, to=1), Seen(Role.UNSURE, 5), 4, 0, Tell(1, "confirm", 5, True)),  # it had opened
        (Seen(Role.FENCED, 5, to=2), Seen(Role.UNSURE, 5), 4, 0, Tell(1, "confirm", 4, False)),  # not by this fence
        (Seen(Role.FENCED, 5, to=1), Seen(Role.UNSURE, -1), 4, 0, Tell(1, "confirm", 4, False)),
        (None, Seen(Role.UNSURE, 5), 5, 1, Tell(1, "confirm", 5, True)),
    ],
)
def test_what_a_node_is_told_before_any_step(
    source: Seen | None, dest: Seen | None, mapped: int, cell: int, told: Tell | None
) -> None:
    assert tell_first(MOVE, source, dest, mapped, cell) == told
