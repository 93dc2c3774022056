"""The primitives that greenlets wait with: wakeup events, the timer wheel and the admission throttle."""

from __future__ import annotations

import time

import gevent

from fawnspool.net.admission_throttle import AdmissionThrottle
from fawnspool.net.timer_wheel import current_wheel
from fawnspool.net.wakeup_event import WakeupEvent


def test_wait_for_a_wakeup_event_times_out_or_ends_when_it_is_set() -> None:
    event = WakeupEvent()
    assert not event.wait(time.monotonic() + 0.02)
    waiter = gevent.spawn(event.wait, time.monotonic() + 5)
    gevent.sleep(0)
    event.set()
    event.set()
    assert waiter.get(timeout=5) and event.wait(None)


def test_timer_wheel_drops_ticks_without_waits() -> None:
    wheel = current_wheel()
    ticks_before = len(wheel.heap)
    for index in range(5000):
        event = WakeupEvent()
        wheel.remove(wheel.add(time.monotonic() + 30 + index * 0.004, event), event)
    assert len(wheel.heap) < ticks_before + 600


def test_throttle_admits_greenlets_in_order() -> None:
    throttle, admitted = AdmissionThrottle(3), list[int]()
    admitted_per_iteration: list[int] = []

    def enter(number: int) -> None:
        throttle.enter()
        admitted.append(number)

    greenlets = [gevent.spawn(enter, number) for number in range(10)]
    while len(admitted) < 10:
        admitted_before = len(admitted)
        gevent.sleep(0)
        admitted_per_iteration.append(len(admitted) - admitted_before)
        gevent.sleep(0.001)
    gevent.joinall(greenlets)
    assert admitted == list(range(10))
    throttle.close()


def test_throttle_gives_all_clients_their_turn_before_the_next_request_of_one() -> None:
    """Guards against a client that sends without a pause: it had all starts of an iteration, others waited for it."""
    throttle, order = AdmissionThrottle(16), list[str]()

    def client(name: str, requests: int) -> None:
        iteration: int | None = None
        for _ in range(requests):
            iteration = throttle.enter(None, iteration)
            order.append(name)

    greenlets = [gevent.spawn(client, "greedy", 60)] + [gevent.spawn(client, f"c{k}", 2) for k in range(3)]
    gevent.joinall(greenlets, timeout=5)
    last_of_others = max(place for place, name in enumerate(order) if name != "greedy")
    assert len(order) == 66 and order[:last_of_others].count("greedy") <= 4
    throttle.close()
