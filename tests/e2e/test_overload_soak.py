"""A short part of the soak of overloads; `python -m tests.e2e.overload_soak 50` runs more of it."""

from __future__ import annotations

import pytest

from tests.e2e.overload_soak import main, overload

CI_SEEDS = range(1, 9)


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_overload_with_signals_and_a_kill_loses_no_request(seed: int) -> None:
    """Guards against peers that use up several resources at once, also while the process is told to end."""
    report, found = overload(seed).run()
    print(report.text())
    assert found == [], report.text()


def test_soak_rejects_malformed_arguments(capsys: pytest.CaptureFixture[str]) -> None:
    for arguments in ([], ["0"], ["x"], ["1", "2", "3"]):
        assert main(arguments) == 2
    assert "usage" in capsys.readouterr().err
