"""The exhaustive walk over three voters and two candidates, within bounds that a test run bears, and the mistakes it
must find. `python -m tests.duties_model` walks further."""

from __future__ import annotations

import pytest

from tests.duties_model import MISTAKES, SMALL, Rules, walk


@pytest.mark.parametrize("name", list(SMALL))
def test_no_interleaving_has_two_holders_or_an_older_effect_after_a_newer(name: str) -> None:
    count, bad = walk(Rules(), SMALL[name])
    assert not bad and count > 5000


@pytest.mark.parametrize("name", list(MISTAKES))
def test_each_mistake_is_found(name: str) -> None:
    rules, bounds = MISTAKES[name]
    count, bad = walk(rules, bounds, most=60_000, deep=True)
    assert bad and bad != "too many states", count
