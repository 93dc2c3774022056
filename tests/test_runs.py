"""A run that goes on gets one place more than the bound, and no other request does."""

from __future__ import annotations

from collections.abc import Callable

from tests.conftest import GatewayDriver
from tests.test_mechanism import LONG


def test_run_gets_one_place_more(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=LONG).warm()
    gateway.node_queue().concurrency.limit = 2.0
    run = [gateway.request(1, extent=7, timeout_s=60.0) for _ in range(4)]
    assert gateway.sent() == run[:3]


def test_others_keep_to_the_limit(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway(classes=LONG).warm()
    gateway.node_queue().concurrency.limit = 2.0
    ids = [gateway.request(1, extent=7 + k, timeout_s=60.0) for k in range(4)]
    assert gateway.sent() == ids[:2]
    assert make_gateway(classes=LONG).warm().node_queue().queue.run_length == 0
