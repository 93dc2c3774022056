"""Shortcuts that save work per event must give the same decisions as the full computation."""

from __future__ import annotations

from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from fawnspool.scheduling import load_shedding
from fawnspool.scheduling.fair_queue import MAX_RUN_REQUESTS
from fawnspool.scheduling.node_queue import NodeQueue
from fawnspool.scheduling.pending_request import PendingRequest
from fawnspool.scheduling.scheduler import Scheduler
from tests.conftest import GatewayDriver, make_class, make_plan, make_settings

STEPS = st.lists(
    st.tuples(
        st.integers(0, 3), st.integers(0, 2), st.integers(1, 8), st.sampled_from([0.3, 1.0, 3.0]), st.floats(0, 0.05)
    ),
    min_size=5,
    max_size=40,
)


def next_request(scheduler: Scheduler, node_queue: NodeQueue) -> PendingRequest | None:
    """Return the request that the node's queue would send next."""
    may_send = partial(scheduler._may_send, node_queue)
    return node_queue.queue.next(may_send, node_queue.mean_response_s())


def next_request_by_full_search(scheduler: Scheduler, node_queue: NodeQueue) -> PendingRequest | None:
    """Return the first sendable request of all, ordered by tag with those of the last extent first."""
    queue, default_response_s = node_queue.queue, node_queue.mean_response_s()
    tags = sorted(
        (volume.start_tag + volume.in_flight * volume.tag_step_s(default_response_s), volume_id)
        for volume_id, volume in queue.active.items()
        if volume.requests
    )
    ordered = [request for _, volume_id in tags for request in queue.volumes[volume_id].requests]
    if 0 < queue.run_length < MAX_RUN_REQUESTS:
        ordered.sort(key=lambda request: request.extent_of_volume() != queue.last_extent)
    return next((request for request in ordered if scheduler._may_send(node_queue, request)), None)


def all_are_in_time(scheduler: Scheduler, node_queue: NodeQueue) -> bool:
    mean_units = scheduler.settings.mean_units
    done_in_s = node_queue.done_in_s(mean_units, scheduler.now, scheduler._fleet_times_if_large)
    return load_shedding.all_are_in_time(node_queue, done_in_s, mean_units, scheduler.now)


def forecast(scheduler: Scheduler, node_queue: NodeQueue) -> load_shedding.Forecast:
    mean_units = scheduler.settings.mean_units
    done_in_s = node_queue.done_in_s(mean_units, scheduler.now, scheduler._fleet_times_if_large)
    return load_shedding.forecast(node_queue, done_in_s, mean_units, scheduler._tokens, scheduler.now)


def build() -> GatewayDriver:
    return GatewayDriver(
        make_settings(
            classes=(make_class(latency_objective_s=0.5),),
            plans=(make_plan(weight=2.0), make_plan(rate_limit=40.0, rate_limit_burst=32.0, rate_limit_tolerance=8.0)),
        ),
        nodes=2,
    ).warm()


@given(STEPS)
def test_shortcuts_match_the_full_search_and_forecast(steps: list[tuple[int, int, int, float, float]]) -> None:
    gateway = build()
    for volume, extent, units, timeout_s, pause_s in steps:
        gateway.run(gateway.now + pause_s)
        gateway.request(
            volume, shard=volume % 2, units=float(units), extent=extent, plan_index=volume % 2, timeout_s=timeout_s
        )
        if gateway.sends and len(gateway.sends) % 3 == 0:
            ident = gateway.sends[0][1].id
            gateway.sends.rotate(-1)
            if (
                ident not in gateway.final_answers
                and ident in gateway.scheduler.requests
                and gateway.scheduler.requests[ident].has_open_attempt()
            ):
                gateway.answer(ident, elapsed_s=0.02)
        for node_queue in gateway.scheduler.node_queues.values():
            assert next_request(gateway.scheduler, node_queue) is next_request_by_full_search(
                gateway.scheduler, node_queue
            )
            if node_queue.queue.queued and all_are_in_time(gateway.scheduler, node_queue):
                assert all(
                    done_at <= request.due_at + 1e-9 for request, done_at in forecast(gateway.scheduler, node_queue)
                )


def test_forecast_is_skipped_when_all_requests_are_in_time() -> None:
    gateway = build()
    node_queue = gateway.node_queue()
    node_queue.concurrency.limit = 1.0
    for _ in range(4):
        gateway.request(0, units=1.0, timeout_s=60.0)
    assert node_queue.queue.queued == 3 and node_queue.queue.queued_units == 3.0
    assert all_are_in_time(gateway.scheduler, node_queue)
    node_queue.response_times.mean_s = 1.0
    assert not all_are_in_time(gateway.scheduler, node_queue)


def test_earliest_due_time_is_recomputed_after_its_request_was_sent() -> None:
    gateway = build()
    node_queue = gateway.node_queue()
    gateway.request(0, units=1.0, timeout_s=60.0)
    node_queue.queue.earliest_due_at = 0.0  # as if a request sent long ago had been due earlier
    node_queue.concurrency.limit = 1.0
    gateway.request(0, units=1.0, timeout_s=60.0)
    node_queue.queue.earliest_due_at = 0.0
    assert node_queue.queue.queued == 1 and all_are_in_time(gateway.scheduler, node_queue)
    assert node_queue.queue.earliest_due_at > gateway.now
