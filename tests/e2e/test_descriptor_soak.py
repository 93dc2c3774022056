"""A short part of the soak of scarce descriptors; `python -m tests.e2e.descriptor_soak 50` runs more of it."""

from __future__ import annotations

import pytest

from tests.e2e.descriptor_rig import play_day
from tests.e2e.descriptor_soak import day_of, faults, main

CI_SEEDS = range(1, 7)


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_day_with_scarce_descriptors_and_disturbances_loses_no_request(seed: int) -> None:
    """Guards against requests that several disturbances at once leave without a descriptor or an answer."""
    report = play_day(day_of(seed))
    print(report.text())
    assert faults(report) == [], report.text()


def test_soak_of_descriptors_rejects_malformed_arguments(capsys: pytest.CaptureFixture[str]) -> None:
    assert [main(arguments) for arguments in ([], ["0"], ["x"], ["1", "2", "3"])] == [2, 2, 2, 2]
    assert "usage" in capsys.readouterr().err
