"""What counts as evidence that a node is silent."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from fawnspool.scheduling.interface import Result
from tests.conftest import GatewayDriver

MEAN_RESPONSE_S = 0.05


@pytest.mark.parametrize(("timeout_s", "is_ejected"), [(0.001, False), (MEAN_RESPONSE_S * 2, False), (0.3, True)])
def test_attempts_that_had_no_time_do_not_eject_a_node(
    make_gateway: Callable[..., GatewayDriver], timeout_s: float, is_ejected: bool
) -> None:
    """Guards against report 241007: one client that left its requests 1 ms had sound nodes ejected for everyone."""
    gateway = make_gateway().warm()
    for _ in range(6):
        ident = gateway.request(volume=2, timeout_s=timeout_s)
        if ident not in gateway.sent():
            break  # the node is ejected already
        gateway.now += timeout_s
        gateway.answer(ident, Result.TIMED_OUT, elapsed_s=timeout_s, final=True)
    assert gateway.node_queue().health.is_ejected() is is_ejected


def test_attempts_without_time_do_not_slow_a_node_down(make_gateway: Callable[..., GatewayDriver]) -> None:
    gateway = make_gateway().warm()
    before = gateway.node_queue().mean_response_s()
    for _ in range(20):
        ident = gateway.request(volume=2, timeout_s=0.001)
        gateway.now += 0.001
        gateway.answer(ident, Result.TIMED_OUT, elapsed_s=0.001, final=True)
    assert gateway.node_queue().mean_response_s() == before
