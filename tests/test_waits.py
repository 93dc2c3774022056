"""What greenlets wait with: wakeup events, the timer wheel, the throttle."""

from __future__ import annotations

import time

import gevent

from fawnspool.net.admission_throttle import AdmissionThrottle
from fawnspool.net.timer_wheel import current_wheel
from fawnspool.net.wakeup_event import WakeupEvent


def test_wakeup_events_are_set_once_and_time_out() -> None:
    event = WakeupEvent()
    assert not event.wait(time.monotonic() + 0.02)
    job = gevent.spawn(event.wait, time.monotonic() + 5)
    gevent.sleep(0)
    event.set()
    event.set()
    assert job.get(timeout=5) and event.wait(None)


def test_the_timer_wheel_drops_ticks_that_it_no_longer_needs() -> None:
    wheel = current_wheel()
    before = len(wheel.heap)
    for k in range(5000):
        event = WakeupEvent()
        wheel.remove(wheel.add(time.monotonic() + 30 + k * 0.004, event), event)
    assert len(wheel.heap) < before + 600


def test_a_throttle_lets_few_pass_each_turn_in_order() -> None:
    throttle, passed = AdmissionThrottle(3), list[int]()
    turns: list[int] = []

    def one(k: int) -> None:
        throttle.enter()
        passed.append(k)

    jobs = [gevent.spawn(one, k) for k in range(10)]
    while len(passed) < 10:
        before = len(passed)
        gevent.sleep(0)
        turns.append(len(passed) - before)
        gevent.sleep(0.001)
    gevent.joinall(jobs)
    assert passed == list(range(10))
    throttle.close()
