"""What hundreds of heads ask of one head's decisions, by the module alone."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.scheduling.interface import (
    EndpointUpdate,
    Idempotence,
    Outcome,
    PeerMessage,
    RejectRequest,
    Request,
    Result,
    SendPeerMessage,
    UpdateKind,
)
from fawnspool.scheduling.pending_request import Rank
from tests.conftest import Head, entry, make_class, make_plan, make_settings

RESERVED = make_plan(reserved_rate=10.0)
PLAIN = make_plan()
MANY = 200


def slow(h: Head, took: float, times: int = 9) -> None:
    """Answers of one unit at once, then some that waited: the head learns that its node is crowded."""
    for wait in [0.01] * 20 + [took] * times:
        ident = h.ask(50, units=1.0)
        if ident in h.sent():
            h.now += wait
            h.answer(ident)


CROWDS = [(0.05, True, True), (0.45, True, False), (1.5, False, False)]


@pytest.mark.parametrize(("took", "inside", "beyond"), CROWDS)
def test_a_crowded_node_ends_what_is_beyond_a_reserve_first(took: float, inside: bool, beyond: bool) -> None:
    """Surges at size: no head's bound held the queues, and all classes of worth were late alike."""
    h = Head(make_settings(gateway_count=MANY, plans=(RESERVED, PLAIN)))
    slow(h, took)
    assert (h.ask(1, plan=0, units=1.0) in h.sent()) is inside
    assert (h.ask(2, plan=1, units=1.0) in h.sent()) is beyond


def test_few_heads_leave_it_to_their_bounds() -> None:
    h = Head(make_settings(gateway_count=3, plans=(RESERVED, PLAIN)))
    slow(h, 0.45)
    assert h.ask(2, plan=1, units=1.0) in h.sent()


def test_a_crowd_is_forgotten_when_its_answers_are_old() -> None:
    h = Head(make_settings(gateway_count=MANY))
    slow(h, 0.9)
    assert h.ask(1, units=1.0) not in h.sent()
    h.run(h.now + 8)
    assert h.ask(1, units=1.0) in h.sent()


def test_late_repeats_end_at_once_in_a_crowd_and_are_served_without_one() -> None:
    """Brasov's surge: they took half of all places, as a head rarely held anything itself."""
    h = Head(make_settings(gateway_count=MANY))
    assert h.ask(1, patience=2.0, repeat=True) in h.sent()
    slow(h, 0.3)
    assert isinstance(h.ends[h.ask(2, patience=2.0, repeat=True)], RejectRequest)


def test_a_client_with_little_time_is_served_where_that_may_do() -> None:
    h = Head(make_settings(gateway_count=MANY))
    slow(h, 0.02)
    assert h.ask(1, patience=0.2, units=1.0) in h.sent()


def test_a_held_request_has_its_answer_just_before_its_client_leaves() -> None:
    h = Head(make_settings())
    while not h.control.node_queues[0].queue.queued:
        h.ask(1)
    ident = h.ask(1, patience=0.1)
    left = h.now + 0.1
    h.run(left - 0.001)
    assert ident in h.ends


def test_attempts_run_out_at_their_aim() -> None:
    """Kochi: what was late anyway kept others waiting at slow nodes for its client's whole patience."""
    for heads in (MANY, 3):
        h = Head(make_settings(gateway_count=heads))
        h.ask(1)
        assert h.sends[-1][1].timeout_s == pytest.approx(1.0)


def test_time_outs_with_nothing_heard_between_are_signs() -> None:
    """Incidents with nodes that take work and do not answer: every attempt went out anew."""
    h = Head(make_settings(gateway_count=MANY))
    for _ in range(3):
        ident = h.ask(1)
        h.run(h.now + 1.0)
        h.answer(ident, Result.TIMED_OUT, took=1.0)
        h.run(h.now + 6.0)
    assert not h.control.node_queues[0].is_available()


def test_new_objects_shun_a_node_with_one_bad_sign() -> None:
    h = Head(make_settings(gateway_count=MANY), nodes=3)
    ident = h.ask(1, cell=0)
    h.answer(ident, Result.CONNECT_FAILED)
    for k in range(30):
        h.answer(h.ask(2 + k, cell=-1, units=1.0))
    assert all(s.node != 10 for _, s in list(h.sends)[2:])


def test_an_even_part_of_a_limit_fills_from_the_heads_start() -> None:
    """Brasov's quiet day: parts were empty at a volume's first request, however late that came."""
    plan = make_plan(rate_limit=20.0, rate_limit_burst=400.0, rate_limit_tolerance=8.0)
    h = Head(make_settings(plans=(plan,), gateway_count=MANY))
    h.run(h.now + 10)
    assert h.ask(1, units=8.0, heads=20) in h.sent()
    assert h.control.rate_limits.limiters[1].tokens == pytest.approx(2.0)


def test_known_lenders_are_asked_two_at_a_time() -> None:
    """Portland: asking every head for every lack cost a sixtieth of the worth."""
    plan = make_plan(rate_limit=20.0, rate_limit_burst=200.0, rate_limit_tolerance=8.0)
    h = Head(make_settings(plans=(plan,), gateway_count=50, has_peer_messages=True))
    h.ask(1, units=4.0, heads=20)
    first = [a for a in h.control.actions if isinstance(a, SendPeerMessage)]
    assert [t.gateway_id for t in first] == [None]
    for peer in range(5, 15):
        h.give(PeerMessage(peer, b"\x02" + first[0].body[1:9] + b"\x3c\x00\x00\x00" + first[0].body[13:]))
    assert len(h.control.rate_limits.limiters[1].lenders) == 10
    h.run(h.now + 0.2)
    h.ask(1, units=8.0, heads=20)
    told = [t.gateway_id for t in h.control.actions if isinstance(t, SendPeerMessage)]
    assert len(told) == 2 and None not in told


@pytest.mark.parametrize("heads", [2, 20, 60])
def test_all_heads_together_spare_a_cold_node_and_still_use_it(heads: int) -> None:
    """Waves of preempt: an even part was under one request, so the new node got nothing until warm."""
    settings = make_settings(gateway_count=heads)
    fleet = [Head(settings, seed=k) for k in range(heads)]
    power, start = 40.0, 115.0
    for step in range(150):  # before: together as much as the old node could do
        for k, h in enumerate(fleet):
            h.run(100.0 + step * 0.1)
            if step % heads == k % heads or heads < 10:
                h.answer(h.ask(k, units=2.0 if heads >= 10 else power / 10 / heads))
    for h in fleet:
        h.run(start)
        h.give(EndpointUpdate(UpdateKind.DELTA, 3, (entry(10, 0, started=start),)))
    waiting: deque[tuple[Head, int]] = deque()
    sent: list[tuple[float, float]] = []
    able, seen = 0.0, [len(h.sends) for h in fleet]
    for step in range(100):
        now = start + step * 0.1
        able = min(8.0, able + power * 0.1 * (0.25 + 0.75 * step / 100))
        for h in fleet:
            h.run(now)
            h.ask(step % 5, units=2.0)
        while waiting and able >= 2.0:
            able -= 2.0
            h, ident = waiting.popleft()
            h.answer(ident)
        for k, h in enumerate(fleet):
            for t, s in list(h.sends)[seen[k] :]:
                sent.append((t, h.asked[s.id]))
                waiting.append((h, s.id))
            seen[k] = len(h.sends)
    for k in range(100):
        begin = start + k * 0.1
        capacity = power * (0.25 + 0.75 * k / 100)
        assert sum(u for t, u in sent if begin <= t < begin + 2) <= 2 * capacity * 2
    assert sum(u for _, u in sent) > (0.5 if heads > 2 else 0.05) * power


WILD = st.sampled_from([0.0, -1.0, 1.0, 7.5, 1e9, math.nan, math.inf])


@given(
    heads=st.sampled_from([1, 3, 260]),
    steps=st.lists(
        st.tuples(st.integers(0, 400), st.integers(-1, 60), st.integers(0, 500), WILD, st.sampled_from(list(Result))),
        max_size=60,
    ),
)
def test_nothing_told_makes_a_head_raise(heads: int, steps: list[tuple[int, int, int, float, Result]]) -> None:
    """Nonsense from meters, reports, lists and peers, volumes by the hundred, head counts that change."""
    settings = make_settings(
        gateway_count=heads,
        has_peer_messages=True,
        plans=(RESERVED, make_plan(rate_limit=9.0, rate_limit_burst=99.0)),
        classes=(make_class(), make_class(idempotence=Idempotence.NON_IDEMPOTENT)),
    )
    h = Head(settings, nodes=40)
    for k, (volume, cell, count, wild, result) in enumerate(steps):
        h.give(EndpointUpdate(UpdateKind.DELTA, 3 + k, (entry(500 + cell, abs(cell), started=wild),)))
        patience, repeat = 0.5 + volume / 100, k % 2 == 0
        h.give(Request(10_000 + k, k % 2, volume % 2, k % 3, patience, volume, 1.0, cell, count, repeat, False))
        h.give(PeerMessage(count, bytes([1 + k % 2]) + volume.to_bytes(8, "big") + b"\x7f\xc0\x00\x00" + bytes(4)))
        for ident, job in list(h.control.requests.items())[:2]:
            for n, attempt in enumerate(job.attempts):
                if attempt.is_open:
                    h.give(Outcome(ident, n, attempt.node, wild, result, False, count, wild, (wild,)))
        h.run(h.now + 0.05)
    h.run(h.now + 60)
    assert not [job for job in h.control.requests.values() if not job.has_open_attempt()]
    assert len(h.control.rate_limits.limiters) <= 500


def test_a_looks_work_follows_what_is_held_or_out(head: Callable[..., Head]) -> None:
    h = head(nodes=40, gateway_count=MANY)
    ident = h.ask(1, cell=7)
    assert list(h.control.busy) == [7]
    h.answer(ident)
    h.run(h.now + 1)
    assert not h.control.busy


def test_all_heads_parts_of_a_reserve_make_one_reserve() -> None:
    """Kochi's quiet day: each head took a whole burst for its volume's, what was beyond crowded it out."""
    plan = make_plan(reserved_rate=10.0)
    fleet = [Head(make_settings(gateway_count=MANY, plans=(plan,)), seed=k) for k in range(20)]
    inside = 0.0
    for h in fleet:
        for _ in range(10):
            ident = h.ask(1, units=1.0, heads=20)
            inside += h.control.requests[ident].rank is Rank.WITHIN_RESERVE
    assert inside <= 10.0 + 8.0 + len(fleet)  # a second of it, a largest request, and what parts round up
