"""What heads do with places that may be old: costs weighed, questions bounded, no stampede when the service is back."""

from __future__ import annotations

import math
from collections import Counter
from heapq import heapify, heappop, heappush

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.extents.checkpointing import LOG_LEAST, RETRY_S, Keep, Write
from fawnspool.extents.map import ExtentMap, shard_of
from fawnspool.extents.staleness import MIN_MEASURED_SPAN_S, Do, Staleness, Terms

MAP = ExtentMap.empty(4)


def knows(terms: Terms | None = None, moves: int = 0, seed: int = 1) -> Staleness:
    """A head that was told everything up to now = 10."""
    s = Staleness(terms or Terms(), 4, seed)
    for at in range(1, 11):
        for shard in range(4):
            s.told(float(at), shard, True, moves, 100, 1.0)
    return s


def test_a_place_that_is_known_to_hold_is_used() -> None:
    s = knows(moves=50)
    assert s.choose(10.5, MAP, "v", "x", 2.0) is Do.SEND and s.chance(10.5, 0) == 0.0


def test_the_longer_untold_and_the_more_moves_the_more_it_asks() -> None:
    s = knows(moves=5)
    chances = [s.chance(t, 0) for t in (12.5, 15.0, 30.0, 100.0)]
    assert chances == sorted(chances) and 0 < chances[0] < chances[-1] < 1
    assert knows(moves=0).chance(100.0, 0) == 0.0
    assert knows(moves=0).choose(100.0, MAP, "v", "x", 2.0) is Do.SEND


def test_it_asks_first_where_a_wrong_send_costs_more_and_there_is_time() -> None:
    terms = Terms(ask_s=0.001, wrong_s=0.05)
    assert knows(terms, moves=50).choose(40.0, MAP, "v", "x", 2.0) is Do.ASK_FIRST
    assert knows(terms, moves=50).choose(40.0, MAP, "v", "x", 0.03) is not Do.ASK_FIRST
    dear = Terms(ask_s=0.5, wrong_s=0.01)
    assert knows(dear, moves=50).choose(40.0, MAP, "v", "x", 5.0) is Do.ASK_BESIDE


def test_costs_are_learned() -> None:
    s = knows(Terms(ask_s=0.001, wrong_s=0.05), moves=50)
    for _ in range(200):
        s.answered(11.0, "v", "x", 0.2)
    assert s.ask_s == pytest.approx(0.2, abs=0.01)
    assert s.choose(40.0, MAP, "v", "x", 2.0) is Do.ASK_BESIDE
    for _ in range(300):
        s.sent(False, 1.5)
    assert s.wrong > 0.9 and s.choose(41.0, MAP, "v", "y", 9.0) is Do.ASK_FIRST
    for _ in range(300):
        s.sent(True)
    assert s.wrong < 0.01


def test_one_question_an_extent_at_a_time_and_so_many_a_second() -> None:
    s = knows(Terms(peak=10.0, heads=1), moves=50)
    asked = [s.choose(40.0, MAP, "v", f"x{k}", 2.0) for k in range(50)]
    assert sum(a is not Do.SEND for a in asked) == 10 and s.refused == 40
    assert s.choose(40.0, MAP, "v", "x0", 2.0) is Do.SEND and s.refused == 40  # it is asked already
    s.answered(40.1, "v", "x0", 0.1)
    assert s.choose(41.2, MAP, "v", "x0", 2.0) is not Do.SEND


def test_a_gap_is_not_a_sign_of_life_that_tells_everything() -> None:
    s = knows(moves=50)
    s.told(20.0, 0, False, 0, 100, 0.0)
    assert s.chance(20.1, 0) > 0.5 and s.age(20.1) == pytest.approx(10.1)
    s.told(20.2, 0, True, 0, 100, 0.0)
    assert s.chance(20.3, 0) == 0.0


def test_out_of_reach_it_lets_the_service_alone_and_sends_on_what_it_has() -> None:
    s = knows(Terms(ask_s=0.001, wrong_s=0.05), moves=50)
    here = shard_of("v", 4)
    pause = s.failed(40.0, here)
    assert s.choose(40.0 + pause * 0.9, MAP, "v", "x", 2.0) is Do.SEND and s.refused == 1
    assert s.choose(40.0 + pause * 1.1, MAP, "v", "x", 2.0) is Do.ASK_FIRST
    other = next(f"v{k}" for k in range(99) if shard_of(f"v{k}", 4) != here)
    assert s.choose(40.1, MAP, other, "x", 2.0) is Do.ASK_FIRST  # that shard's service answers
    assert Staleness(Terms(), 4, 1).age(5.0) == math.inf


def test_pauses_grow_up_to_a_bound_and_end_with_the_first_answer() -> None:
    s = knows()
    pauses = [s.failed(20.0 + k, 0) for k in range(40)]
    assert max(pauses) <= Terms().least_s + Terms().most_s and sum(pauses[20:]) > 3 * sum(pauses[:3])
    s.told(70.0, 0, True, 0, 100, 1.0)
    assert s.shards[0].next == -math.inf and s.shards[0].tries == 0


def test_190_heads_do_not_come_back_all_at_once() -> None:
    """The service is away from second 10 to 70. Heads try again as their pauses say; the first that gets through finds
    it back and fetches after its spread. Calls a second stay near what the service was said to bear."""
    terms = Terms(peak=100.0, heads=190)
    heads = [knows(terms, moves=1, seed=k) for k in range(190)]
    due = [(10.0, k) for k in range(190)]  # all notice at the same moment
    heapify(due)
    calls: Counter[int] = Counter()
    fetched: list[float] = []
    while due:
        now, k = heappop(due)
        calls[int(now)] += 1
        if now < 70.0:
            heappush(due, (now + heads[k].failed(now, 0), k))
        else:
            at = now + heads[k].returns(now)
            calls[int(at)] += 1
            fetched.append(at)
    assert len(fetched) == 190 and max(fetched) < 70 + 2 * terms.most_s
    assert max(n for at, n in calls.items() if at > 10) <= terms.peak
    assert max(n for at, n in calls.items() if at >= 70) <= terms.peak


@given(st.lists(st.tuples(st.sampled_from("tfcsa"), st.floats(0, 5), st.booleans(), st.integers(0, 300)), max_size=80))
def test_whatever_comes_its_tables_are_bounded_and_its_figures_are_sane(
    steps: list[tuple[str, float, bool, int]],
) -> None:
    s, now = Staleness(Terms(waiting=8, peak=50.0), 4, 3), 0.0
    for what, pause, yes, n in steps:
        now += pause
        if what == "t":
            s.told(now, n % 4, yes, n, 100, pause)
        elif what == "f":
            assert 0 < s.failed(now, n % 4, "v", str(n)) < 60
        elif what == "c":
            assert s.choose(now, MAP, f"v{n % 7}", str(n), pause) in Do
        elif what == "s":
            s.sent(yes, pause)
        else:
            s.answered(now, f"v{n % 7}", str(n), pause)
        assert len(s.asking) <= 8 and 0 <= s.wrong <= 1 and s.tokens >= 0
        assert all(0 <= s.chance(now, k) <= 1 for k in range(4))


@pytest.mark.parametrize("span_s", [5e-324, 1e-310, 1e-7])
def test_a_span_too_short_to_measure_leaves_the_rate_of_moves_as_it_was(span_s: float) -> None:
    s = Staleness(Terms(), 4, 3)
    s.told(span_s, 1, True, 1, 100, span_s)
    s.told(1.0, 1, False, 1, 100, 1.0)
    assert s.shards[1].moves == pytest.approx(0.05 * 0.01)  # the second span alone counts
    assert all(0 <= s.chance(1.0, shard) <= 1 for shard in range(4))


def test_the_shortest_measured_span_counts() -> None:
    s = Staleness(Terms(), 4, 3)
    s.told(1.0, 1, True, 1, 100, MIN_MEASURED_SPAN_S)
    assert s.shards[1].moves == pytest.approx(0.01 / s.RATE)


def test_while_the_watch_is_lost_no_shard_is_asked_about_until_its_pause_is_over() -> None:
    s = knows(moves=50)
    pause = s.lost(20.0)
    for volume in "abcdefgh":
        assert s.chance(20.0, shard_of(volume, 4)) > 0
        assert s.choose(20.0 + pause * 0.99, MAP, volume, "x", 2.0) is Do.SEND
    assert s.refused == 8
    assert {s.choose(20.0 + pause * 1.01 + k, MAP, volume, "x", 2.0) for k, volume in enumerate("abcdefgh")} == {
        Do.ASK_FIRST
    }


def test_a_map_from_disk_is_doubted_until_the_service_has_been_heard() -> None:
    s = Staleness(Terms(), 4, 1)
    s.saved(100.0, 60.0)
    assert s.age(100.0) == 60.0 and s.chance(100.0, 0) == s.terms.beside
    assert s.choose(100.0, MAP, "v", "x", 2.0) is Do.ASK_BESIDE
    for shard in range(4):
        s.told(101.0, shard, True, 0, 100, 0.0)
    assert s.chance(101.0, 0) == 0.0 and s.age(101.0) == 0.0


def test_a_question_that_goes_first_leaves_the_send_its_time() -> None:
    s = knows()
    assert s.first_within(10.0) == s.WAITS * s.ask_s
    assert s.first_within(s.wrong_s + 0.001) == pytest.approx(0.001) and s.first_within(0.0) == 0.0


def test_a_moved_extent_is_followed_at_once_then_slower_and_not_for_ever() -> None:
    s = knows()
    assert s.follow(0, True, 1.0, False) == 0.0
    pauses = [s.follow(turn, turn % 2 == 0, 10.0, False) for turn in range(1, s.FOLLOWED - 1)]
    assert all(p is not None and p > 0 for p in pauses) and (pauses[-1] or 0) > (pauses[0] or 0)
    assert s.follow(s.FOLLOWED - 1, True, 10.0, False) is None
    assert s.follow(0, True, 10.0, True) is None  # its body came once, or it keeps an order
    assert s.follow(0, False, 0.0001, False) is None and s.follow(0, True, 0.0, False) is None


def test_the_map_goes_to_disk_whole_at_first_when_the_log_is_long_and_after_a_failure() -> None:
    k = Keep()
    assert [k.what(1.0, 1, 5) for _ in range(2)] == [Write.WHOLE, Write.ROW]
    assert k.what(2.0, LOG_LEAST, 5) is Write.WHOLE and k.what(2.0, 1, 5) is Write.ROW
    assert k.what(3.0, LOG_LEAST, 3 * LOG_LEAST) is Write.ROW  # a large map is written more seldom
    k.failed(10.0)
    assert k.what(10.0 + RETRY_S / 2, 1, 5) is Write.NOTHING and k.what(10.0 + RETRY_S, 1, 5) is Write.WHOLE
    assert k.time_due(100.0) and not k.time_due(100.1)
