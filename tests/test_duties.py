"""Duties: votes, claims, calls, relief, what is kept on disk; in simulated time with faults between many heads."""

from __future__ import annotations

import errno
from collections import Counter
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.duties_walks import terms, walk
from fawnspool.connections.incarnations import TAKEOVER_SILENCE_S, IncarnationFilter
from fawnspool.gateway.acceptor_log import VoteFile
from fawnspool.leases import ballot
from fawnspool.leases.acceptor import Keep, Memory, Say, Voter
from fawnspool.leases.ballot import Seat, Verdict
from fawnspool.leases.candidate import Claim, span
from fawnspool.leases.drain import Failures, Pace, shard_of, target
from fawnspool.leases.fencing import DUTIES_MOST, Fence, Fenced
from fawnspool.leases.inventory import compare
from fawnspool.leases.lease_holder import Holder, Lost, Took
from fawnspool.leases.messages import ROWS, Kind, Message, Row, Unread, pack, unpack
from fawnspool.model.duties import Duties, Net

T = terms(5, 3, 8)


def test_a_vote_is_given_once_while_it_stands_and_only_to_higher_tokens() -> None:
    seat, verdict = ballot.ask(Seat(), 10.0, 4, 7, 0, 2.0)
    assert verdict is Verdict.GRANTED and seat == Seat(4, 7, 12.0)
    assert ballot.ask(seat, 11.9, 5, 8, 0, 2.0) == (seat, Verdict.REFUSED)
    assert ballot.ask(seat, 12.0, 4, 8, 0, 2.0) == (seat, Verdict.REFUSED)  # that token is another's
    assert ballot.ask(seat, 12.0, 5, 8, 5, 2.0) == (seat, Verdict.REFUSED)  # it may have been promised
    assert ballot.ask(seat, 12.0, 5, 8, 0, 2.0)[0] == Seat(5, 8, 14.0)
    assert ballot.ask(seat, 11.0, 4, 7, 0, 2.0)[0].until == 13.0  # renewed
    assert ballot.ask(seat, 11.0, 6, 7, 0, 2.0)[0] == Seat(6, 7, 13.0)  # the same life, under a higher token
    free = ballot.free(seat, 4, 7)
    assert free.freed and ballot.free(seat, 3, 7) is seat and ballot.free(seat, 4, 8) is seat
    assert ballot.ask(free, 11.0, 4, 7, 0, 2.0)[1] is Verdict.REFUSED  # a late asking revives nothing
    assert ballot.reborn(free, 50.0, 2.0) == Seat(4, 7, 52.0) and ballot.reborn(Seat(), 50.0, 2.0) == Seat()


def test_a_claim_counts_from_its_asking_and_ends_with_its_majority() -> None:
    claim = Claim(3, 0.0).granted(0, 5.0).granted(1, 4.0).granted(2, 3.0).granted(1, 2.0)
    assert claim.votes == {0: 5.0, 1: 4.0, 2: 3.0}
    assert claim.end(2, 1.5) == 5.5 and claim.end(3, 1.5) == 4.5 and claim.end(4, 1.5) == float("-inf")
    assert span(2.0, 0.0) == 2.0 and span(2.0, 0.01) < 2.0 * 0.981


@given(st.binary(max_size=300))
def test_a_body_that_does_not_read_is_told_apart_from_all_others(body: bytes) -> None:
    try:
        message = unpack(body)
    except Unread:
        return
    assert pack(message) == body  # else it is one, to the last byte


ROW = st.tuples(st.integers(0, 65535), st.integers(0, 2**64 - 1), st.integers(0, 255), st.integers(0, 65535))


@given(st.sampled_from(Kind), st.integers(0, 2**32 - 1), st.integers(0, 2**64 - 1), st.lists(ROW, max_size=ROWS))
def test_messages_read_as_they_were_written(kind: Kind, mark: int, who: int, rows: Any) -> None:
    m = Message(kind, mark, who, 5, 6, 7, tuple(Row(d, t, v, w / 1000) for d, t, v, w in rows))
    assert len(pack(m)) <= 256 and unpack(pack(m)) == m


NOTHING_GIVEN = Memory({})


def voter(now: float = 100.0, memory: Memory | None = NOTHING_GIVEN, me: int = 0) -> Voter:
    return Voter(T, me, 99, 1, now, memory)


def asks(duty: int, token: int, who: int = 7, mark: int = T.mark, holds: int = 0) -> Message:
    return Message(Kind.ASK, mark, who, 1, 0, 1, (Row(duty, token, holds),))


def test_a_vote_is_kept_before_it_is_said_and_a_renewal_is_not_kept_again() -> None:
    v = voter()
    keep, said = v.hear(100.0, 3, asks(2, 5))
    assert keep == Keep(((2, 5, 7),)) and isinstance(said, Say) and said.message.rows[0].verdict == Verdict.GRANTED
    assert said.message.who == 7  # no other life of that head may take it for its own
    v.kept(keep)
    (again,) = v.hear(100.5, 3, asks(2, 5))
    assert isinstance(again, Say)
    assert v.hear(100.5, 3, asks(2, 6, mark=T.mark ^ 1)) == [] and v.strangers == 1
    assert v.hear(100.5, 3, asks(9999, 6)) == [] and v.hear(100.5, 3, asks(2, 0)) == []


def test_a_vote_that_could_not_be_kept_is_asked_to_be_kept_again_before_it_is_confirmed() -> None:
    """A full disk: the second asking of the same claim was granted with nothing on disk, and a restart gave the vote
    to another under a token that had counted (18 walks of 200)."""
    v = voter()
    keep, _ = v.hear(100.0, 3, asks(2, 5))
    for t in (100.2, 100.4):  # nobody said that it was kept
        first, said = v.hear(t, 3, asks(2, 5))
        assert first == keep and isinstance(said, Say)
    v.kept(Keep(((2, 4, 7),)))  # an older one was
    assert len(v.hear(100.5, 3, asks(2, 5))) == 2
    v.kept(keep)
    assert len(v.hear(100.6, 3, asks(2, 5))) == 1


def test_what_a_voter_learned_is_kept_with_its_next_vote_where_it_could_not_be_before() -> None:
    """Else the file holds votes and no floor, and looks whole to the next life."""
    v = voter(memory=None)
    floor = next(o.message for o in v.tick(102.0) if isinstance(o, Say))
    for sender in (1, 2):
        out = v.hear(102.1, sender, Message(Kind.KNOWN, T.mark, floor.who, floor.serial, 1, 0, (Row(0, 9),)))
    assert v.voting and v.floor == 9 and out in ([], [Keep((), 9)])
    keep, _ = v.hear(102.2, 3, asks(2, 10))
    assert keep == Keep(((2, 10, 7),), 9)
    v.kept(keep)
    assert v.hear(102.3, 3, asks(3, 10))[0] == Keep(((3, 10, 7),))


def test_an_answer_that_is_read_after_a_stop_gives_nothing_that_is_over() -> None:
    """Seen in a walk: a head that had stood still for two leases said that it took a duty under a higher token."""
    h = Holder(T, 3, 7, 1, 100.0)

    def told(now: float, voter: int, serial: int, token: int, verdict: Verdict = Verdict.GRANTED) -> None:
        h.hear(now, voter, Message(Kind.TOLD, T.mark, 7, serial, 5, 0, (Row(2, token, verdict),)))

    call = Message(Kind.CALL, T.mark, 99, rows=(Row(2, 0),))
    asked = [o.message for o in h.hear(100.0, 0, call) if isinstance(o, Say)]
    for v in (0, 1):
        told(100.01, v, asked[0].serial, 1)
    told(100.02, 2, asked[0].serial, 5, Verdict.REFUSED)  # this voter has promised a higher one to nobody now
    now, higher = 100.0, None
    while higher is None:
        now += T.renew
        for o in h.tick(now):
            if isinstance(o, Say) and o.to == 0 and o.message.kind is Kind.ASK:
                if o.message.rows[0].token > 1:
                    higher = o.message
                else:
                    for v in (0, 1):
                        told(now, v, o.message.serial, 1)
        assert now < 110
    h.events.clear()
    for v in (0, 1):
        told(now + 2 * T.lease, v, higher.serial, higher.rows[0].token)
    assert not [e for e in h.events if isinstance(e, Took)]
    assert walk(32)[0] == []


def test_a_voter_without_memory_is_silent_for_a_lease_then_asks_and_heeds_what_it_hears() -> None:
    v = voter(memory=None)
    (told,) = v.hear(100.1, 3, asks(2, 5))
    assert isinstance(told, Say) and told.message.rows[0].verdict == Verdict.SILENT
    assert v.tick(101.9) == [] and v.due() == 102.0
    floor = [o.message for o in v.tick(102.0) if isinstance(o, Say)]
    assert [m.kind for m in floor] == [Kind.FLOOR] * 2

    def known(sender: int, has: int, token: int, serial: int, who: int) -> list[Any]:
        return v.hear(102.1, sender, Message(Kind.KNOWN, T.mark, who, serial, has, 0, (Row(0, token),)))

    assert known(1, 1, 9, floor[0].serial + 1, 99) == []  # to another asking
    assert known(1, 1, 9, floor[0].serial, 98) == []  # to another life of it
    assert known(1, 1, 9, floor[0].serial, 99) == [] and not v.voting  # one is not enough
    assert known(2, 1, 4, floor[0].serial, 99) == [Keep((), 9)] and v.voting
    assert [o.message.rows[0].verdict for o in v.hear(102.2, 3, asks(2, 9)) if isinstance(o, Say)] == [Verdict.REFUSED]
    assert [o.message.rows[0].verdict for o in v.hear(102.2, 3, asks(2, 10)) if isinstance(o, Say)] == [Verdict.GRANTED]


def test_heads_whose_settings_name_other_voters_are_strangers_to_each_other() -> None:
    other = replace(T, voters=(0, 1, 3))
    assert other.mark != T.mark and replace(T, lease=1.0).mark != T.mark
    h = Holder(T, 4, 5, 1, 0.0)
    assert h.hear(0.0, 1, Message(Kind.CALL, other.mark, 1, rows=(Row(0, 1),))) == [] and h.strangers == 1


def holder_with(duty: int = 0, now: float = 10.0, voters: tuple[int, ...] = (0, 1)) -> Holder:
    """One that holds a duty by the votes of two voters, asked for at `now`."""
    h = Holder(T, 4, 5, 1, now)
    out = h.hear(now, 0, Message(Kind.CALL, T.mark, 1, rows=(Row(duty, 6),)))
    ask = next(o.message for o in out if isinstance(o, Say))
    assert ask.rows[0].token == 7
    for v in voters:
        h.hear(now + 0.1, v, Message(Kind.TOLD, T.mark, 5, ask.serial, 4, 0, (Row(duty, 7, Verdict.GRANTED, 2.0),)))
    return h


def test_a_holder_holds_from_its_asking_to_a_margin_before_the_end() -> None:
    h = holder_with()
    assert h.events == [Took(0, 7)]
    assert h.holds(10.1, 0, 7) == pytest.approx(T.span - T.margin - 0.1)
    assert h.holds(10.1, 0, 6) == 0.0 and h.holds(10.0 + T.span, 0, 7) < 0
    h.events = []
    out = h.tick(10.0 + T.span)
    assert h.events == [Lost(0, 7, "not renewed")]
    assert {o.message.kind for o in out if isinstance(o, Say)} >= {Kind.FREE}
    assert h.holds(10.0 + T.span, 0, 7) == 0.0


def test_answers_to_another_life_or_asking_give_nothing() -> None:
    h = Holder(T, 4, 5, 1, 10.0)
    out = h.hear(10.0, 0, Message(Kind.CALL, T.mark, 1, rows=(Row(0, 6),)))
    serial = next(o.message for o in out if isinstance(o, Say)).serial
    granted = (Row(0, 7, Verdict.GRANTED, 2.0),)
    for v in (0, 1):
        assert h.hear(10.1, v, Message(Kind.TOLD, T.mark, 4, serial, 4, 0, granted)) == []
        assert h.hear(10.1, v, Message(Kind.TOLD, T.mark, 5, serial + 9, 4, 0, granted)) == []
        assert h.hear(10.1, 3 + v, Message(Kind.TOLD, T.mark, 5, serial, 4, 0, granted)) == []  # no voter
    assert h.events == [] and h.count() == 0


def test_a_holder_whose_loop_lags_or_that_reaches_nothing_gives_up_by_itself() -> None:
    h = holder_with()
    assert h.woke(10.2, T.margin / 2) == [] and h.woke(10.3, 2 * T.margin) == []
    assert h.woke(10.4, 2 * T.margin) and isinstance(h.events[-1], Lost) and h.events[-1].why == "its loop lags"
    h = holder_with()
    assert h.reached(11.0, 0, "the map service", True) == []
    assert h.reached(11.0 + T.lease, 0, "the map service", False) == []
    assert h.reached(11.1 + T.lease, 0, "the map service", False)
    assert isinstance(h.events[-1], Lost) and "out of reach" in h.events[-1].why
    assert h.hear(11.2 + T.lease, 0, Message(Kind.CALL, T.mark, 1, rows=(Row(1, 6),))) == []
    h = holder_with()
    h.fenced(10.2, 0, 40)
    out = h.hear(10.3, 0, Message(Kind.CALL, T.mark, 1, rows=(Row(0, 6),)))
    assert [o.message.rows[0].token for o in out if isinstance(o, Say)][:1] == [41]


def test_fences_take_only_the_newest_and_one_life_of_it() -> None:
    f = Fence([("a", 3, 8), ("a", 2, 9)])
    assert not f.passes("a", 3, 8) and f.passes("b", 1, 1)
    for token, who in ((2, 9), (3, 9)):
        with pytest.raises(Fenced) as bad:
            f.passes("a", token, who)
        assert bad.value.newest == 3
    assert f.passes("a", 4, 9)
    with pytest.raises(ValueError):
        [f.passes(f"x{k}", 1, 1) for k in range(DUTIES_MOST)]


def test_targets_are_the_same_everywhere_and_a_lost_cell_moves_only_its_own() -> None:
    names = [("v", f"k{n}") for n in range(600)]
    before = {n: target(*n, (1, 2, 3, 4)) for n in names}
    after = {n: target(*n, (4, 2, 1)) for n in names}
    assert all(after[n] == before[n] for n in names if before[n] != 3)
    assert min(Counter(before.values()).values()) > 100 and target("v", "k", ()) is None
    assert len({shard_of("v", f"k{n}", 8) for n in range(100)}) == 8


def test_the_pace_keeps_moves_and_bytes_within_their_rates_and_rests_when_the_head_is_busy() -> None:
    for moves, size, rate in ((10.0, 1, 10.0), (1000.0, 1 << 20, 4.0)):
        pace, now, done = Pace(moves, float(4 << 20), 5), 0.0, 0
        while now < 20.0:
            wait = pace.wait(now, size, 0)
            done += not wait
            now += wait or 0.0
        assert rate * 20 - 1 <= done <= rate * 21 + 1
    assert Pace(10.0, 1.0, 5).wait(0.0, 1, 5) > 0
    large = Pace(10.0, 100.0, 5)
    assert large.wait(0.0, 1000, 0) == 0.0 and large.wait(0.1, 1, 0) > 8.0  # one move may be larger than a burst


def test_what_fails_is_tried_later_each_time_and_the_table_is_bounded() -> None:
    f = Failures()
    f.failed(0.0, ("v", "a"))
    assert not f.due(0.1, ("v", "a")) and f.due(0.2, ("v", "a")) and f.due(0.0, ("v", "b"))
    f.failed(1.0, ("v", "a"))
    assert not f.due(1.3, ("v", "a"))
    for k in range(f.MOST + 5):
        f.failed(0.0, ("v", str(k)))
    assert len(f.rows) == f.MOST


def test_a_comparison_tells_what_is_missing_and_stray_and_says_nothing_of_silent_nodes() -> None:
    mapped = {("v", "a"): 0, ("v", "b"): 0, ("v", "c"): 1, ("v", "d"): 2}
    held = {0: [("v", "a"), ("v", "c")], 1: [("v", "c"), ("v", "x")], 2: None}
    r = compare(mapped, held, 0, 1)
    assert (r.missing, r.stray, r.silent) == ((("v", "b"),), (("v", "c"), ("v", "x")), (2,))
    assert "4 looked at, 1 missing, 2 stray, cells 2 silent" in str(r)
    parts = [compare(mapped, held, k, 3) for k in range(3)]
    assert sum(p.looked_at for p in parts) == 4 and sum(len(p.stray) for p in parts) == 2


# ---------------------------------------------------------------- a voter's disk


def test_votes_outlive_their_process_and_a_torn_row_is_one_that_was_never_said(tmp_path: Path) -> None:
    file = VoteFile(tmp_path, T, True)
    assert file.memory is None
    file.keep(Keep((), 0))
    file.keep(Keep(((1, 5, 7), (2, 6, 8))))
    file.keep(Keep(((1, 9, 10),)))
    file.close()
    assert VoteFile(tmp_path, T, True).memory == Memory({1: (9, 10), 2: (6, 8)}, 0)
    data = (tmp_path / "votes.rec").read_bytes()
    (tmp_path / "votes.rec").write_bytes(data[:-3])
    torn = VoteFile(tmp_path, T, True)
    assert torn.memory == Memory({1: (5, 7), 2: (6, 8)}, 0)
    torn.keep(Keep(((3, 4, 4),)))
    torn.close()
    assert VoteFile(tmp_path, T, True).memory == Memory({1: (5, 7), 2: (6, 8), 3: (4, 4)}, 0)
    spoilt = bytearray((tmp_path / "votes.rec").read_bytes())
    spoilt[60] ^= 1
    (tmp_path / "votes.rec").write_bytes(bytes(spoilt))
    assert VoteFile(tmp_path, T, True).memory is None  # it learns anew rather than vote from half a memory


def test_votes_of_other_settings_count_as_a_floor(tmp_path: Path) -> None:
    file = VoteFile(tmp_path, T, False)
    file.keep(Keep(((1, 5, 7),), 0))
    file.close()
    assert VoteFile(tmp_path, replace(T, voters=(0, 1, 3)), False).memory == Memory({}, 5)


def test_a_vote_that_can_not_be_kept_is_not_there_after(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = VoteFile(tmp_path, T, False)
    file.keep(Keep(((1, 5, 7),), 0))

    def full(fd: int, data: Any) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as m:
        m.setattr("os.write", full)
        with pytest.raises(OSError):
            file.keep(Keep(((1, 6, 8),)))
    file.keep(Keep(((2, 7, 9),)))
    file.close()
    assert VoteFile(tmp_path, T, False).memory == Memory({1: (5, 7), 2: (7, 9)}, 0)


# ---------------------------------------------------------------- lives of datagrams


def test_numbers_seen_are_told_apart_by_life_and_window() -> None:
    seen = IncarnationFilter()
    assert [seen.accept(5, n, 0.0) for n in (1, 2, 2, 4, 3, 3, 2000, 900, 2000)] == [
        True,
        True,
        False,
        True,
        True,
        False,
        True,
        False,
        False,
    ]
    assert seen.accept(6, 1, 0.0) and not seen.accept(5, 3000, 0.0)


def test_a_head_whose_clock_was_set_back_is_heard_again_and_nothing_counts_twice() -> None:
    seen = IncarnationFilter()
    assert seen.accept(100, 1, 0.0) and seen.accept(100, 2, 1.0)
    assert not seen.accept(40, 1, 1.0 + TAKEOVER_SILENCE_S / 2)  # an earlier life's, late
    assert seen.accept(40, 1, 1.0 + TAKEOVER_SILENCE_S) and not seen.accept(40, 1, 1.1 + TAKEOVER_SILENCE_S)
    assert not seen.accept(100, 3, 1.2 + TAKEOVER_SILENCE_S)  # of the life before, late
    assert seen.accept(40, 2, 1.3 + TAKEOVER_SILENCE_S)
    assert seen.accept(41, 1, 1.3 + TAKEOVER_SILENCE_S)  # restarted once more: at once
    assert not seen.accept(100, 2, 9.0 + 2 * TAKEOVER_SILENCE_S)  # heard before
    for life in range(200, 210):
        assert seen.accept(life, 1, 30.0)
    assert len(seen._windows) <= 4


def test_a_number_far_ahead_costs_nothing() -> None:
    seen = IncarnationFilter()
    assert seen.accept(1, 1, 0.0) and seen.accept(1, 2**64 - 1, 0.0) and not seen.accept(1, 1, 0.0)


# ---------------------------------------------------------------- many heads, simulated time


@pytest.mark.parametrize("voters", [3, 5])
def test_walks_through_all_faults_find_no_two_holders_and_no_token_twice(voters: int) -> None:
    for seed in range(12):
        wrong, took, held = walk(seed, voters=voters)
        assert not wrong and took > 8 and held == 8, seed


def test_duties_spread_and_a_head_that_came_late_is_given_its_part() -> None:
    d = Duties(terms(5, 3, 20), 1, Net())
    d.kill(d.hosts[4])
    d.run(10)
    assert len(d.held()) == 20 and 4 not in d.held().values()
    d.start(d.hosts[4])
    d.run(20)
    count = Counter(d.held().values())
    assert len(d.held()) == 20 and count[4] >= 2 and max(count.values()) <= 5 and not d.wrong


def test_no_majority_anywhere_and_the_duties_rest_until_there_is_one() -> None:
    d = Duties(terms(6, 3, 8), 2, Net())
    d.run(8)
    d.split({0}, False)
    d.split({1}, False)
    d.split({2}, False)
    d.run(10)
    assert not d.held() and all(len(d.hosts[v].voter.unheld(d.clock(d.hosts[v]))) == 8 for v in range(3))
    d.cut.clear()
    d.run(12)
    assert len(d.held()) == 8 and not d.wrong


def test_all_voters_at_once_and_one_with_an_empty_disk() -> None:
    d = Duties(terms(6, 3, 8), 3, Net())
    d.run(8)
    for v in range(3):
        d.kill(d.hosts[v])
    d.wipe(d.hosts[1])
    d.run(0.5)
    for v in range(3):
        d.start(d.hosts[v])
    d.run(12)
    assert len(d.held()) == 8 and not d.wrong and d.hosts[1].floor > 0


def test_64_duties_whose_holder_vanishes_are_taken_by_others_within_a_lease_and_a_half() -> None:
    d = Duties(terms(5, 3, 64), 4, Net())
    for k in (1, 2, 3):
        d.hosts[k].holder.takes = False  # all of them go to two heads, 0 and 4
    d.run(10)
    assert set(d.held().values()) == {0, 4}
    for k in (1, 2, 3):
        d.hosts[k].holder.takes = True
    mine = [duty for duty, head in d.held().items() if head == 4]
    d.gaps.clear()
    d.kill(d.hosts[4])
    d.run(6)
    gaps = sorted(g for duty, why, g in d.gaps if duty in mine and why == "killed")
    assert len(gaps) == len(mine) > 20 and gaps[-1] <= 1.5 * 2.0
    d.run(20)  # head 0 is relieved, one duty at a time
    assert len(d.held()) == 64 and max(Counter(d.held().values()).values()) <= 17 and not d.wrong


def test_two_heads_with_one_number_hold_nothing_together() -> None:
    """The second one's words come under the first one's number: a vote is a life's, not a number's."""
    d = Duties(terms(5, 3, 4), 5, Net())
    twin = Holder(d.terms, 4, 12345, 9, d.clock(d.hosts[4]))
    real = d.hosts[4].holder
    hear, tick = real.hear, real.tick

    def both_hear(now: float, sender: int, m: Message) -> list[Any]:
        return [*hear(now, sender, m), *twin.hear(now, sender, m)]

    real.hear, real.tick = both_hear, lambda now: [*tick(now), *twin.tick(now)]
    for _ in range(200):
        d.run(0.1)
        now = d.clock(d.hosts[4])
        both = [k for k in range(4) if real.end(k) > now and twin.end(k) > now]
        assert not both and not d.wrong


def test_a_clock_beyond_the_bound_breaks_leases_and_not_the_rise_of_tokens() -> None:
    """What the leases give rests on the bound; that tokens rise, and so the fence, does not."""
    rates = [4.0, 4.0, 4.0, 0.3, 0.3]  # voters whose leases are over long before the holders know
    d = Duties(terms(5, 3, 4), 6, Net(), rates)
    r = Random(6)
    for _ in range(60):
        d.run(r.uniform(0.2, 1.0))
        d.cut.clear()
        d.split({3 + r.randrange(2)})
    assert any("hold it" in w for w in d.wrong) and not any("after" in w for w in d.wrong)


def test_a_fleet_of_200_that_comes_back_after_a_cut_does_not_storm() -> None:
    d = Duties(terms(200, 5, 64), 7, Net())
    d.run(15)
    d.split(set(range(100, 167)))
    d.run(10)
    d.cut.clear()
    before = [(h.sent, h.bytes) for h in d.hosts]
    d.run(5)
    rows = [(h.sent - s) / 5 for h, (s, _) in zip(d.hosts, before, strict=True)]
    assert max(rows) < 250 and max(rows[5:]) < 100
    d.run(10)
    assert len(d.held()) == 64 and not d.wrong
