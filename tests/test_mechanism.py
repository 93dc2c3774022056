"""The ordinary path: tags, weights, runs, bound, placement."""

from __future__ import annotations

from collections.abc import Callable

from fawnspool.scheduling.concurrency import INITIAL_LIMIT_REQUESTS
from fawnspool.scheduling.fair_queue import IDLE_VOLUME_S, MAX_RUN_REQUESTS
from fawnspool.scheduling.interface import RejectRequest, Result
from tests.conftest import Head, make_class, make_plan

LONG = (make_class(latency_objective_s=50.0, deadline_s=60.0),)


def drain(h: Head, took: Callable[[int], float], rounds: int) -> list[int]:
    """Answer what is out, oldest first, each after its own time; the order of all sends."""
    for turn in range(rounds):
        if turn >= len(h.sends):
            break
        ident = h.sends[turn][1].id
        h.run(h.now + took(ident))
        h.answer(ident)
    return h.sent()


def fill(h: Head, volumes: dict[int, int], count: int) -> dict[int, int]:
    """count requests for each volume (by plan), in turn; which id is whose."""
    owner = {}
    for _ in range(count):
        for volume, plan in volumes.items():
            owner[h.ask(volume, plan=plan, patience=60.0)] = volume
    return owner


def test_weight_three_gets_about_three_times_the_turns(head: Callable[..., Head]) -> None:
    h = head(classes=LONG, plans=(make_plan(), make_plan(weight=3.0))).warm()
    owner = fill(h, {1: 0, 2: 1}, 40)
    order = drain(h, lambda _: 0.05, 40)
    heavy = sum(owner[i] == 2 for i in order[2:34])
    assert 21 <= heavy <= 27


def test_volume_with_slow_answers_gets_fewer_turns(head: Callable[..., Head]) -> None:
    h = head(classes=LONG).warm()
    h.control.node_queues[0].concurrency.limit = 1.0
    owner = fill(h, {1: 0, 2: 0}, 60)
    order = drain(h, lambda i: 0.2 if owner[i] == 1 else 0.05, 50)
    slow = sum(owner[i] == 1 for i in order[10:50])
    assert slow < 20


def test_front_volume_does_not_fill_the_bound(head: Callable[..., Head]) -> None:
    h = head(classes=LONG).warm()
    first = [h.ask(1, patience=60.0) for _ in range(4)]
    other = h.ask(2, patience=60.0)
    assert h.sent() == first[:2]
    h.run(h.now + 0.05)
    h.answer(first[0])
    assert h.sent()[2] == other


def test_returning_volume_starts_at_now_and_has_no_credit(head: Callable[..., Head]) -> None:
    h = head(classes=LONG).warm()
    h.answer(h.ask(2, patience=60.0))
    h.run(h.now + 20)
    fill(h, {1: 0}, 6)
    drain(h, lambda _: 0.05, 4)
    h.ask(2, patience=60.0)
    volumes = h.control.node_queues[0].queue.volumes
    assert volumes[2].start_tag >= h.now


def test_least_active_tag_is_now_after_a_completion(head: Callable[..., Head]) -> None:
    h = head(classes=LONG).warm()
    fill(h, {1: 0, 2: 0, 3: 0}, 4)
    drain(h, lambda _: 0.05, 5)
    tags = [
        volume.start_tag
        for volume in h.control.node_queues[0].queue.volumes.values()
        if volume.requests or volume.in_flight
    ]
    assert min(tags) == h.now


def test_requests_of_the_last_extent_go_first_up_to_the_run_limit(head: Callable[..., Head]) -> None:
    h = head(classes=LONG).warm()
    h.control.node_queues[0].concurrency.limit = 1.0
    run = [h.ask(1, extent=7, patience=60.0) for _ in range(MAX_RUN_REQUESTS + 3)]
    other = [h.ask(2, extent=9, patience=60.0) for _ in range(2)]
    order = drain(h, lambda _: 0.05, MAX_RUN_REQUESTS + 1)
    assert order[:MAX_RUN_REQUESTS] == run[:MAX_RUN_REQUESTS]
    assert order[MAX_RUN_REQUESTS] == other[0]


def test_bound_holds_and_shrinks_on_full_but_never_below_one(head: Callable[..., Head]) -> None:
    h = head(classes=LONG).warm()
    ids = [h.ask(1, patience=60.0) for _ in range(6)]
    assert h.sent() == ids[:2]
    for _ in range(5):
        h.answer(h.sent()[-1], Result.OVERLOADED)
    assert h.control.node_queues[0].concurrency.limit == 1.0


def test_bound_shrinks_when_answers_come_late_and_grows_when_early(head: Callable[..., Head]) -> None:
    slow, fast = head(classes=LONG).warm(), head(classes=LONG).warm()
    for h, took in ((slow, 40.0), (fast, 0.05)):
        for _ in range(30):
            h.ask(1, patience=60.0)
            h.ask(2, patience=60.0)
            h.now += took
            while h.control.node_queues[0].in_flight:
                h.answer(next(iter(h.control.node_queues[0].in_flight))[0])
    assert int(slow.control.node_queues[0].concurrency.limit) == 1
    assert fast.control.node_queues[0].concurrency.limit > INITIAL_LIMIT_REQUESTS


def test_new_objects_spread_and_avoid_the_longer_queue(head: Callable[..., Head]) -> None:
    h = head(nodes=2, classes=LONG).warm()
    for _ in range(20):
        h.ask(1, cell=0, patience=60.0)
    before = len(h.sends)
    h.ask(2, cell=-1, patience=60.0)
    assert h.sends[before][1].node == 11


def test_surge_is_shed_before_reserved_requests(head: Callable[..., Head]) -> None:
    """What is beyond the reserve goes first; the volume in its reserve is kept."""
    h = head(plans=(make_plan(), make_plan(reserved_rate=50.0)))
    reserved = [h.ask(2, plan=1) for _ in range(3)]
    surge = [h.ask(1) for _ in range(60)]
    gone = {i for i, a in h.ends.items() if isinstance(a, RejectRequest)}
    assert gone
    assert not gone & set(reserved)
    assert gone <= set(surge)


def test_idle_node_is_sent_to_however_late_it_looks(head: Callable[..., Head]) -> None:
    """Kochi, two slowed nodes: a stale mean must not refuse all, or the node is never found well again."""
    h = head()
    h.control.node_queues[0].response_times.mean_s = 30.0
    assert h.ask(1) in h.sent()


def test_same_events_give_the_same_actions(head: Callable[..., Head]) -> None:
    runs = []
    for _ in range(2):
        h = head(nodes=3)
        for k in range(30):
            h.ask(k % 4, cell=-1)
        h.run(h.now + 1)
        runs.append([(t, s) for t, s in h.sends])
    assert runs[0] == runs[1]


def test_idle_volumes_leave_the_tables(head: Callable[..., Head]) -> None:
    h = head()
    h.answer(h.ask(1))
    h.run(h.now + 2 * IDLE_VOLUME_S)
    h.ask(2)
    h.run(h.now + 1)
    assert set(h.control.rate_limits.limiters) == {2}
    assert set(h.control.node_queues[0].queue.volumes) == {2}
