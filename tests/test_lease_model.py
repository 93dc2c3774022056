"""The exhaustive walk over three acceptors and two candidates, within bounds that suit a test run, and the mistakes
that it must find. `python -m tests.lease_model` runs larger walks."""

from __future__ import annotations

import pytest

from tests.lease_model import MISTAKES, SMALL, TOO_MANY_STATES, Rules, walk


@pytest.mark.parametrize("name", list(SMALL))
def test_no_interleaving_has_two_holders_or_an_effect_under_an_older_token(name: str) -> None:
    count, problem = walk(Rules(), SMALL[name])
    assert not problem and count > 5000


@pytest.mark.parametrize("name", list(MISTAKES))
def test_finds_each_mistake(name: str) -> None:
    rules, bounds = MISTAKES[name]
    count, problem = walk(rules, bounds, max_states=60_000, most_votes_first=True)
    assert problem and problem != TOO_MANY_STATES, count
