"""A short soak test of releases; the long one is started by hand (`release_soak`)."""

from __future__ import annotations

import pytest

from tests.e2e.release_soak import USAGE, main, releases

SHORT_SOAK = [release for seed in (1, 2, 4) for release in releases(seed)]


@pytest.mark.parametrize("number", range(len(SHORT_SOAK)))
def test_no_request_is_lost_in_a_short_soak_of_releases(number: int) -> None:
    """Guards against requests that a shutdown reads and does not answer, with several signals and a crowd."""
    assert SHORT_SOAK[number].run() == []


def test_short_soak_covers_several_signals_crowds_and_stopped_processes() -> None:
    assert any(len(release.signals) > 1 for release in SHORT_SOAK)
    assert (
        {bool(release.crowd.idle) for release in SHORT_SOAK}
        == {release.held_up for release in SHORT_SOAK}
        == {True, False}
    )


@pytest.mark.parametrize("arguments", [[], ["0"], ["-1"], ["ten"], ["1", "0"], ["1", "2", "3"]])
def test_invalid_arguments_print_the_usage(arguments: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    assert main(arguments) == 2 and capsys.readouterr().err.strip() == USAGE
