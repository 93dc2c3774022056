"""Normal operation of the scheduler: tags, weights, runs, concurrency limits and placement."""

from __future__ import annotations

from collections.abc import Callable

from fawnspool.scheduling.concurrency import INITIAL_LIMIT_REQUESTS
from fawnspool.scheduling.fair_queue import IDLE_VOLUME_S, MAX_RUN_REQUESTS
from fawnspool.scheduling.interface import RejectRequest, Result
from tests.conftest import GatewayDriver, make_class, make_plan

LONG = (make_class(latency_objective_s=50.0, deadline_s=60.0),)


def drain(gateway: GatewayDriver, response_s: Callable[[int], float], rounds: int) -> list[int]:
    """Answer the sent requests, oldest first, each after its response time; return the order of all sends."""
    for index in range(rounds):
        if index >= len(gateway.sends):
            break
        ident = gateway.sends[index][1].id
        gateway.run(gateway.now + response_s(ident))
        gateway.answer(ident)
    return gateway.sent()


def fill(gateway: GatewayDriver, volumes: dict[int, int], count: int) -> dict[int, int]:
    """Send `count` requests for each volume (with its plan) alternately; return the volume of each request id."""
    volume_of = {}
    for _ in range(count):
        for volume, plan in volumes.items():
            volume_of[gateway.request(volume, plan_index=plan, timeout_s=60.0)] = volume
    return volume_of


def test_weight_three_gets_about_three_times_the_sends(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=LONG, plans=(make_plan(), make_plan(weight=3.0))).warm()
    volume_of = fill(gateway, {1: 0, 2: 1}, 40)
    order = drain(gateway, lambda _: 0.05, 40)
    heavy = sum(volume_of[i] == 2 for i in order[2:34])
    assert 21 <= heavy <= 27


def test_volume_with_slow_answers_gets_fewer_sends(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=LONG).warm()
    gateway.node_queue().concurrency.limit = 1.0
    volume_of = fill(gateway, {1: 0, 2: 0}, 60)
    order = drain(gateway, lambda i: 0.2 if volume_of[i] == 1 else 0.05, 50)
    slow = sum(volume_of[i] == 1 for i in order[10:50])
    assert slow < 20


def test_volume_with_smallest_tag_does_not_use_up_the_limit(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=LONG).warm()
    first = [gateway.request(1, timeout_s=60.0) for _ in range(4)]
    other = gateway.request(2, timeout_s=60.0)
    assert gateway.sent() == first[:2]
    gateway.run(gateway.now + 0.05)
    gateway.answer(first[0])
    assert gateway.sent()[2] == other


def test_tag_of_a_returning_volume_is_raised_to_now(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=LONG).warm()
    gateway.answer(gateway.request(2, timeout_s=60.0))
    gateway.run(gateway.now + 20)
    fill(gateway, {1: 0}, 6)
    drain(gateway, lambda _: 0.05, 4)
    gateway.request(2, timeout_s=60.0)
    volumes = gateway.node_queue().queue.volumes
    assert volumes[2].start_tag >= gateway.now


def test_smallest_active_tag_equals_now_after_a_completion(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=LONG).warm()
    fill(gateway, {1: 0, 2: 0, 3: 0}, 4)
    drain(gateway, lambda _: 0.05, 5)
    tags = [
        volume.start_tag
        for volume in gateway.node_queue().queue.volumes.values()
        if volume.requests or volume.in_flight
    ]
    assert min(tags) == gateway.now


def test_requests_of_the_last_extent_are_sent_first_up_to_the_run_limit(
    make_gateway: Callable[..., GatewayDriver],
) -> None:
    gateway = make_gateway(classes=LONG).warm()
    gateway.node_queue().concurrency.limit = 1.0
    run = [gateway.request(1, extent=7, timeout_s=60.0) for _ in range(MAX_RUN_REQUESTS + 3)]
    other = [gateway.request(2, extent=9, timeout_s=60.0) for _ in range(2)]
    order = drain(gateway, lambda _: 0.05, MAX_RUN_REQUESTS + 1)
    assert order[:MAX_RUN_REQUESTS] == run[:MAX_RUN_REQUESTS]
    assert order[MAX_RUN_REQUESTS] == other[0]


def test_limit_bounds_sends_and_halves_on_overload_down_to_one(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=LONG).warm()
    ids = [gateway.request(1, timeout_s=60.0) for _ in range(6)]
    assert gateway.sent() == ids[:2]
    for _ in range(5):
        gateway.answer(gateway.sent()[-1], Result.OVERLOADED)
    assert gateway.node_queue().concurrency.limit == 1.0


def test_limit_shrinks_on_slow_answers_and_grows_on_fast_ones(make_gateway: Callable[..., GatewayDriver]) -> None:
    slow, fast = make_gateway(classes=LONG).warm(), make_gateway(classes=LONG).warm()
    for gateway, response_s in ((slow, 40.0), (fast, 0.05)):
        for _ in range(30):
            gateway.request(1, timeout_s=60.0)
            gateway.request(2, timeout_s=60.0)
            gateway.now += response_s
            while gateway.node_queue().in_flight:
                gateway.answer(next(iter(gateway.node_queue().in_flight))[0])
    assert int(slow.node_queue().concurrency.limit) == 1
    assert fast.node_queue().concurrency.limit > INITIAL_LIMIT_REQUESTS


def test_new_objects_avoid_the_longer_queue(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(nodes=2, classes=LONG).warm()
    for _ in range(20):
        gateway.request(1, shard=0, timeout_s=60.0)
    before = len(gateway.sends)
    gateway.request(2, shard=-1, timeout_s=60.0)
    assert gateway.sends[before][1].node == 11


def test_surge_is_shed_before_reserved_requests(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Requests beyond a volume's reserve are shed first; requests within a reserve are kept."""
    gateway = make_gateway(plans=(make_plan(), make_plan(reserved_rate=50.0)))
    reserved = [gateway.request(2, plan_index=1) for _ in range(3)]
    surge = [gateway.request(1) for _ in range(60)]
    rejected = {ident for ident, answer in gateway.final_answers.items() if isinstance(answer, RejectRequest)}
    assert rejected
    assert not rejected & set(reserved)
    assert rejected <= set(surge)


def test_idle_node_receives_requests_despite_a_long_mean_response(make_gateway: Callable[..., GatewayDriver]) -> None:
    """Guards against a stale mean response that rejects every request, so that a recovered node is never noticed.

    Seen in the Kochi incident with two slowed nodes.
    """
    gateway = make_gateway()
    gateway.node_queue().response_times.mean_s = 30.0
    assert gateway.request(1) in gateway.sent()


def test_same_events_give_the_same_actions(make_gateway: Callable[..., GatewayDriver]) -> None:
    runs = []
    for _ in range(2):
        gateway = make_gateway(nodes=3)
        for number in range(30):
            gateway.request(number % 4, shard=-1)
        gateway.run(gateway.now + 1)
        runs.append([(at, send) for at, send in gateway.sends])
    assert runs[0] == runs[1]


def test_state_of_idle_volumes_is_dropped(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway()
    gateway.answer(gateway.request(1))
    gateway.run(gateway.now + 2 * IDLE_VOLUME_S)
    gateway.request(2)
    gateway.run(gateway.now + 1)
    assert set(gateway.scheduler.rate_limits.limiters) == {2}
    assert set(gateway.node_queue().queue.volumes) == {2}
