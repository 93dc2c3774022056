"""A run that goes on gets one place more than the bound, and no other request does."""

from __future__ import annotations

from collections.abc import Callable

from tests.conftest import Head
from tests.test_mechanism import LONG


def test_run_gets_one_place_more(head: Callable[..., Head]) -> None:
    h = head(classes=LONG).warm()
    h.control.node_queues[0].concurrency.limit = 2.0
    run = [h.ask(1, extent=7, patience=60.0) for _ in range(4)]
    assert h.sent() == run[:3]


def test_others_keep_to_the_bound(head: Callable[..., Head]) -> None:
    h = head(classes=LONG).warm()
    h.control.node_queues[0].concurrency.limit = 2.0
    ids = [h.ask(1, extent=7 + k, patience=60.0) for k in range(4)]
    assert h.sent() == ids[:2]
    assert head(classes=LONG).warm().control.node_queues[0].queue.run_length == 0
