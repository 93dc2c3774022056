"""The exhaustive walk over three acceptors and two candidates, within bounds that a test run bears, and the mistakes it
must find. `python -m tests.lease_model` walks further."""

from __future__ import annotations

import pytest

from tests.lease_model import MISTAKES, SMALL, TOO_MANY_STATES, Rules, walk


@pytest.mark.parametrize("name", list(SMALL))
def test_no_interleaving_has_two_holders_or_an_older_effect_after_a_newer(name: str) -> None:
    count, problem = walk(Rules(), SMALL[name])
    assert not problem and count > 5000


@pytest.mark.parametrize("name", list(MISTAKES))
def test_each_mistake_is_found(name: str) -> None:
    rules, bounds = MISTAKES[name]
    count, problem = walk(rules, bounds, most=60_000, deep=True)
    assert problem and problem != TOO_MANY_STATES, count
