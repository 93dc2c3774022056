"""What heads share: counts that merge in any order, words that read, who takes part, what is thought of nodes."""

from __future__ import annotations

import itertools
import math
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.gossip.agent import Sharer
from fawnspool.gossip.grow_only_counter import HEADS_MOST, LIVES, Count, Mark
from fawnspool.gossip.health_evidence import Judge, shows
from fawnspool.gossip.messages import CountRow, Kind, Message, SaysRow, Unread, Verdict, pack, rows_of, unpack
from fawnspool.gossip.terms import ROWS_A_LOOK, Terms
from fawnspool.gossip.volume_participants import VOLUMES_MOST, Say, Table
from fawnspool.scheduling.interface import GossipedHealth, Outcome, Result, VolumeParticipants

# ------------------------------------------------------------ counts

marks = st.builds(
    Mark, st.integers(0, 3), st.integers(1, 4), st.integers(0, 5).map(float), st.integers(0, 5).map(float)
)


@given(st.lists(marks, max_size=12), st.randoms(use_true_random=False))
def test_counts_merge_alike_in_any_order_doubled_and_by_parts(found: list[Mark], random: Random) -> None:
    one, other, third = Count(), Count(), Count()
    one.merge(found)
    again = [*found, *found]
    random.shuffle(again)
    for m in again:
        other.merge([m])
    half = Count()
    half.merge(found[: len(found) // 2])
    third.merge(found[len(found) // 2 :])
    third.merge(x for lives in half.marks.values() for x in lives)
    assert one.marks == other.marks == third.marks


def differ(kind: type[Count]) -> int:
    """Of all states of two heads with two lives and two values each, taken three at a time in all six orders and once
    with one of them doubled: triples that do not end alike."""
    rows = [Mark(h, life, v, 0.0) for h in (0, 1) for life in (1, 2) for v in (1.0, 2.0)]
    states = [s for n in (0, 1, 2) for s in itertools.combinations(rows, n)]
    assert len(states) == 37 and math.comb(37, 3) == 7770
    found = 0
    for three in itertools.combinations(states, 3):
        ends = set()
        for order in (*itertools.permutations(three), (*three, three[0])):
            c = kind()
            for s in order:
                c.merge(s)
            ends.add(tuple(sorted((h, lives) for h, lives in c.marks.items())))
        found += len(ends) > 1
    return found


def test_counts_merge_alike_in_every_order_of_three_states() -> None:
    assert not differ(Count)


class Adds(Count):
    def merge(self, news: Any) -> bool:
        for m in news:
            had = sum(x.value for x in self.marks.get(m.head, ()))
            self.marks[m.head] = (Mark(m.head, 1, had + m.value, 0.0),)
        return True


class LastWins(Count):
    def merge(self, news: Any) -> bool:
        for m in news:
            self.marks[m.head] = (m,)
        return True


class ForgetsLives(Count):
    """A later life wins only where it says more."""

    def merge(self, news: Any) -> bool:
        for m in news:
            had = self.marks.get(m.head)
            if had is None or m.value > had[0].value:
                self.marks[m.head] = (m,)
        return True


class KeepsFirst(Count):
    def merge(self, news: Any) -> bool:
        for m in news:
            self.marks.setdefault(m.head, (m,))
        return True


class FoldsLate(Count):
    """What is known of an earlier life is added to the later one when that is first heard."""

    def merge(self, news: Any) -> bool:
        for m in news:
            had = self.marks.get(m.head)
            if had is None or (m.life == had[0].life and m.value > had[0].value):
                self.marks[m.head] = (m,)
            elif m.life > had[0].life:
                self.marks[m.head] = (Mark(m.head, m.life, had[0].value + m.value, 0.0),)
        return True


class SumsEqual(Count):
    def merge(self, news: Any) -> bool:
        more = super().merge(news)
        if not more:
            for h, lives in self.marks.items():
                self.marks[h] = tuple(Mark(x.head, x.life, x.value + 1, x.at) for x in lives)
        return more


@pytest.mark.parametrize("kind", [Adds, LastWins, ForgetsLives, KeepsFirst, FoldsLate, SumsEqual])
def test_mistakes_in_merging_are_found(kind: type[Count]) -> None:
    assert differ(kind)


def test_a_restart_takes_nothing_away_and_tables_do_not_grow() -> None:
    c = Count()
    for life in range(1, 9):
        c.merge([Mark(0, life, 10.0, float(life))])
    assert len(c.marks[0]) == LIVES
    assert c.read(9.0, 1, 5.0, 0.0).at_least == 10.0 * LIVES
    c.merge([Mark(0, 3, 99.0, 9.0)])  # a word of a life that was folded long ago
    assert c.read(9.0, 1, 5.0, 0.0).at_least == 10.0 * LIVES
    c.merge(Mark(h, 1, 1.0, float(h)) for h in range(1, 500))
    assert len(c.marks) == HEADS_MOST


def test_a_count_is_read_as_an_interval() -> None:
    c = Count()
    c.merge([Mark(0, 1, 10.0, 100.0), Mark(1, 1, 5.0, 98.0)])
    found = c.read(100.0, 2, 3.0, 4.0)
    assert (found.at_least, found.at_most, found.age, found.heads, found.others) == (15.0, 15.0 + 4.0 + 6.0, 2.0, 2, 0)
    unheard = c.read(100.0, 3, 3.0, 4.0)
    assert unheard.others == 1 and math.isinf(unheard.at_most)


# ------------------------------------------------------------ messages

count_rows = st.builds(
    CountRow,
    st.integers(0, 2**64 - 1),
    st.integers(0, 65535),
    st.integers(0, 2**32 - 1),
    st.floats(0, 1e9, width=32),
    st.integers(0, 65535).map(lambda n: n / 100),
)
says_rows = st.builds(
    SaysRow,
    st.integers(0, 2**32 - 1),
    st.integers(0, 65535),
    st.sampled_from([0, 1, 2]),
    st.integers(0, 255),
    st.integers(0, 65535).map(lambda n: n / 100),
)


@given(
    st.sampled_from([Kind.HERE, Kind.WANT, Kind.HEADS]),
    st.lists(count_rows, max_size=12),
    st.lists(says_rows, max_size=25),
)
def test_messages_read_as_they_were_written(kind: Kind, some: list[CountRow], said: list[SaysRow]) -> None:
    for m in (Message(kind, 7, tuple(some)), Message(Kind.SAYS, 7, tuple(said[: rows_of(Kind.SAYS)]))):
        body = pack(m)
        read = unpack(body)
        assert len(body) <= 256 and (read.kind, read.mark, len(read.rows)) == (m.kind, 7, len(m.rows))
        for a, b in zip(read.rows, m.rows, strict=True):
            assert abs(a.age - b.age) < 0.006
            assert [getattr(a, n) for n in type(b).__slots__ if n != "age"] == [
                getattr(b, n) for n in type(b).__slots__ if n != "age"
            ]


@given(st.binary(max_size=300))
def test_no_bytes_make_them_raise_anything_else(data: bytes) -> None:
    s = Sharer(Terms(4), 0, 1, 1, 0.0)
    for body in (data, b"\xb5" + data, pack(Message(Kind.SAYS, s.terms.mark))[:6] + data):
        try:
            s.hear(1.0, 1, unpack(body))
        except Unread:
            continue
    s.look(9.0, 3, [])


def test_strangers_are_counted_and_not_heard() -> None:
    s = Sharer(Terms(4), 0, 1, 1, 0.0)
    rows = (SaysRow(5, 1, Verdict.SILENT, 9, 0.0),)
    s.hear(1.0, 1, Message(Kind.SAYS, Terms(5).mark, rows))
    s.hear(1.0, 4, Message(Kind.SAYS, s.terms.mark, rows))
    s.hear(1.0, 0, Message(Kind.SAYS, s.terms.mark, rows))
    assert s.strangers == 3 and not s.judge.nodes


# ------------------------------------------------------------ who takes part


def deliver(
    tables: dict[int, Table], sender: int, out: list[object], now: float, into: list[VolumeParticipants]
) -> None:
    for o in out:
        if isinstance(o, Say) and o.to in tables:
            deliver(tables, o.to, list(tables[o.to].hear(now, sender, unpack(pack(o.message)))), now, into)
        elif isinstance(o, VolumeParticipants):
            into.append(o)


def test_a_head_that_lacks_learns_who_else_takes_part() -> None:
    terms = Terms(12)
    tables = {k: Table(terms, k, 1, 1) for k in range(12)}
    told = dict[int, list[VolumeParticipants]]()
    for step in range(40):
        now = step * 0.25
        for k in (2, 5, 9):
            tables[k].asked(now, 77, 3, 20.0, 60.0, 8.0 if k == 2 else 0.5)
        for k, t in tables.items():
            deliver(tables, k, list(t.look(now)), now, told.setdefault(k, []))
    assert told[2][-1] == VolumeParticipants(77, (5, 9))
    assert not told[5] and not told[9]  # they have enough
    tables[5].used(77, 3.0)
    for step in range(40, 90):
        for k, t in tables.items():
            t.asked(step * 0.25, 77, 3, 20.0, 60.0, 8.0) if k == 2 else None
            deliver(tables, k, list(t.look(step * 0.25)), step * 0.25, told[k])
    found = tables[2].read(22.5, 77)
    assert found is not None and found.at_least == 3.0 and found.others == 0 and found.at_most > 3.0


def test_one_keeper_may_be_away() -> None:
    terms = Terms(12)
    for volume in range(50):
        assert len(terms.keepers(volume)) == 2
    keepers = terms.keepers(77)
    gone = keepers[0] if keepers[0] not in (2, 5) else keepers[1]
    tables = {k: Table(terms, k, 1, 1) for k in range(12) if k != gone}
    told = list[VolumeParticipants]()
    for step in range(40):
        for k in (2, 5):
            tables[k].asked(step * 0.25, 77, 2, 20.0, 60.0, 8.0)
        for k, t in tables.items():
            deliver(tables, k, list(t.look(step * 0.25)), step * 0.25, told if k == 2 else [])
    assert told[-1].gateways == (5,)


def test_bytes_are_bounded_and_the_lacking_come_first() -> None:
    """Two volumes of 5,000 that matter."""
    table = Table(Terms(190), 3, 1, 1)
    for v in range(5000):
        table.asked(0.0, v, 4, 20.0, 60.0, 0.01)
    for v in (4998, 4999):
        table.asked(0.0, v, 4, 20.0, 60.0, 30.0)
    assert len(table.mine) == VOLUMES_MOST
    rows = [r for o in table.look(1.0) if isinstance(o, Say) for r in o.message.rows]
    assert len(rows) <= 2 * ROWS_A_LOOK
    assert {o.message.kind for o in table.look(1.0) if isinstance(o, Say)} == {Kind.HERE}  # asked a moment ago
    assert [r.volume for r in rows][:2] in ([4998, 4999], [4999, 4998], [4998, 4998], [4999, 4999])


# ------------------------------------------------------------ what is thought of nodes


class Fleet:
    """Judges that hear each other at once, but for links that are cut."""

    def __init__(self, heads: int, nodes: int = 8) -> None:
        self.now, self.nodes = 100.0, nodes
        self.judges = [Judge(Terms(heads), k, 1) for k in range(heads)]
        self.cut: set[tuple[int, int]] = set()
        self.told: list[tuple[int, GossipedHealth]] = []
        self.bytes = 0
        for a in self.judges:
            a.heard = {b.me: self.now for b in self.judges if b is not a}

    def looks(self, count: int = 1) -> None:
        for _ in range(count):
            self.now += 0.25
            for j in self.judges:
                j.listed = self.nodes
                self._out(j, j.look(self.now))

    def _out(self, j: Judge, out: list[object]) -> None:
        for o in out:
            if isinstance(o, GossipedHealth):
                self.told.append((j.me, o))
            elif isinstance(o, Say):
                self.bytes += len(pack(o.message)) + 51
                if (j.me, o.to) not in self.cut:
                    other = self.judges[o.to]
                    self._out(other, list(other.hear(self.now, j.me, unpack(pack(o.message)))))

    def well(self, head: int, node: int) -> None:
        j = self.judges[head]
        self._out(j, list(j.well(self.now, node)))

    def bad(self, head: int, node: int, times: int = 3) -> None:
        j = self.judges[head]
        for _ in range(times):
            self._out(j, list(j.bad(self.now, node, Verdict.SILENT)))

    def shun(self, node: int) -> list[int]:
        return [j.me for j in self.judges if node in j.shunned()]


def test_what_two_heads_found_turns_those_that_know_nothing() -> None:
    f = Fleet(6)
    f.bad(0, 50)
    f.looks(6)
    assert not f.shun(50)  # one alone turns nobody
    f.bad(1, 50)
    f.looks(6)
    assert len(f.shun(50)) >= 5


def test_one_head_that_says_every_node_is_dead_turns_nobody() -> None:
    f = Fleet(6)
    for _ in range(20):
        for node in range(50, 58):
            f.bad(5, node)
        f.looks()
    assert not any(f.shun(node) for node in range(50, 58) if f.judges)
    assert not [t for t in f.told if t[0] != 5]


def test_one_that_lies_and_a_lost_answer_elsewhere_turn_nobody() -> None:
    """Seen on processes: a head said of all nodes that they were dead, another had one answer lost, five shunned it."""
    f = Fleet(6)
    for step in range(20):
        f.bad(5, 50, 9)
        if step == 3:
            f.bad(0, 50, 1)
        f.looks()
    assert not [t for t in f.told if t[0] != 5]


def test_one_in_five_that_are_wrong_turn_nobody() -> None:
    f = Fleet(30, nodes=20)
    for _ in range(20):
        for liar in range(6):
            for node in range(50, 54):
                f.bad(liar, node, 1)
        f.looks()
    assert not [t for t in f.told if t[0] >= 6]


def test_a_group_that_is_cut_off_from_a_node_does_not_turn_those_that_reach_it() -> None:
    f = Fleet(6)
    for _ in range(24):
        for k in range(6):
            f.bad(k, 50, 1) if k < 3 else f.well(k, 50)
        f.looks()
    assert not [t for t in f.told if t[0] >= 3]


def test_a_quorum_of_a_large_fleet_can_be_reached() -> None:
    """Of 190 heads 48 must find it bad, while as many rows were kept of one node, good ones among them."""
    f = Fleet(190)
    for k in range(0, 190, 19):
        f.bad(k, 50, 1)
        f.well(k, 50)
    for k in range(70):
        f.bad(k, 50, 2)
    f.looks(12)
    assert len(f.shun(50)) > 150


def test_own_answers_go_before_what_is_heard() -> None:
    f = Fleet(6)
    for _ in range(8):
        for k in range(5):
            f.bad(k, 50, 1)
        f.well(5, 50)
        f.looks()
    assert 5 not in f.shun(50) and len(f.shun(50)) == 5


def test_never_more_than_the_stated_share_is_shunned_on_hearsay() -> None:
    f = Fleet(6, nodes=8)
    for _ in range(4):
        for node in range(50, 58):
            f.bad(0, node)
            f.bad(1, node)
        f.looks(2)
    assert all(len(j.shunned()) <= 2 for j in f.judges) and len(f.judges[3].shunned()) == 2


def test_what_is_heard_fades() -> None:
    f = Fleet(6)
    f.bad(0, 50)
    f.bad(1, 50)
    f.looks(4)
    assert f.shun(50)
    f.looks(40)
    assert not f.shun(50)
    late = Message(Kind.SAYS, f.judges[3].terms.mark, tuple(SaysRow(50, k, 1, 5, 4.5) for k in (0, 1, 2)))
    assert not f.judges[3].hear(f.now, 0, late) and not f.shun(50)


def test_a_node_that_mends_is_found_by_two_and_one_that_lies_is_not_enough() -> None:
    f = Fleet(12)
    for k in range(12):
        f.bad(k, 50)
    f.looks(4)
    assert len(f.shun(50)) >= 10
    f.looks()
    f.well(0, 50)  # 0 returns by its own evidence; the others hear of one
    f.looks(4)
    assert len(f.shun(50)) >= 9
    tries = [o for k, o in f.told if not o.healthy and o.retry_delay_s == 0.0]
    assert 0 < len(tries) < 12  # a few try at once
    f.well(1, 50)
    f.looks(6)
    assert not f.shun(50)


def test_tries_of_a_whole_fleet_are_few() -> None:
    """Each that shuns draws its turn from a span that grows with the fleet."""
    for heads in (6, 60):
        f = Fleet(heads)
        pauses = [f.judges[0]._turn(f.now) for _ in range(200)]
        assert sum(pauses) / 200 == pytest.approx(heads / 2.0, rel=0.2)


def test_evidence_is_of_a_bounded_size_however_much_there_is() -> None:
    f = Fleet(40, nodes=200)
    for node in range(50, 250):
        for k in range(40):
            f.bad(k, node, 1)
    f.looks(20)
    assert f.bytes / 40 / 5.0 < 2048 + 512  # a second and head
    assert all(len(j.nodes) <= 1024 and len(n.found) <= 256 for j in f.judges for n in j.nodes.values())


def test_doubled_and_late_words_change_nothing() -> None:
    f = Fleet(6)
    f.bad(0, 50)
    m = Message(Kind.SAYS, f.judges[0].terms.mark, (SaysRow(50, 0, 1, 3, 0.0),))
    for _ in range(5):
        for k in range(1, 6):
            assert not f.judges[k].hear(f.now, 0, m)
    f.looks(8)
    assert not f.told


def test_what_an_attempt_shows_of_its_node() -> None:
    def end(result: Result, kept: bool = False) -> Outcome:
        return Outcome(1, 0, 5, 0.1, result, False, 0, None, None, kept)

    assert shows(end(Result.SERVED)) is Verdict.WELL and shows(end(Result.CONNECT_FAILED)) is Verdict.SHUT
    assert shows(end(Result.RESET)) is Verdict.SILENT and shows(end(Result.RESET, True)) is None
    assert shows(end(Result.ERROR)) is None and shows(end(Result.CANCELLED)) is None


def test_a_head_says_when_it_hears_nobody() -> None:
    s = Sharer(Terms(6), 0, 1, 1, 0.0)
    for step in range(400):
        s.table.asked(step * 0.1, 7, 6, 20.0, 60.0, 9.0)
        s.look(step * 0.1, 6, [])
    assert s.alone(40.0)
    s.hear(40.0, 1, Message(Kind.HERE, s.terms.mark))
    assert not s.alone(40.1)
