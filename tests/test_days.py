"""Days: traffic is drawn the same for the same seed, troubles act on it; worth is earned from what is due."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from fawnspool.config.schema import ConfigError, load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.days.service_value import EndedOperation, value_service
from fawnspool.days.traffic import draw_operations, held_objects

DAYS = Path(__file__).parent.parent / "days"


def day(name: str) -> Day:
    return load(DAYS / f"{name}.hcl", Day, check_day)


def test_the_same_seed_draws_the_same_day() -> None:
    d = day("bad-day")
    first, second, other = draw_operations(d, 3), draw_operations(d, 3), draw_operations(d, 4)
    assert first == second and first != other
    assert list(held_objects(d, 3)) == list(held_objects(d, 3))
    names = [op.name for op in first]
    assert len(set(names)) == len(names)
    rate = len(first) / d.day.length
    assert d.load.rate * 0.9 < rate < d.load.rate * 1.6  # a partner's surge comes on top


@pytest.mark.parametrize(("name", "inside", "factor"), [("burst", (2, 6), 3.0), ("plan-burst", (2, 6), 1.8)])
def test_surges_raise_the_rate_while_they_last(name: str, inside: tuple[int, int], factor: float) -> None:
    d = day(name)
    within = outside = 0.0
    for seed in range(6):
        for op in draw_operations(d, seed):
            if inside[0] <= op.at < inside[1]:
                within += 1 / 4
            else:
                outside += 1 / 5
    assert within / outside > factor * 0.75


def test_troubles_of_clients_show_in_their_script() -> None:
    impatient = [op for op in draw_operations(day("impatient"), 1) if 2 <= op.at < 6]
    assert sum(op.patience < 1.0 for op in impatient) > len(impatient) * 0.5
    leaving = [op for op in draw_operations(day("leavers"), 1) if 2 <= op.at < 6]
    assert 0.3 < sum(op.leaves < 10 for op in leaving) / len(leaving) < 0.7
    moved = draw_operations(day("lead-moves"), 1)
    before = {op.volume: op.heads[0] for op in moved if op.at < 3}
    assert any(op.heads[0] != before.get(op.volume) for op in moved if op.at > 3)


def test_only_the_heads_of_a_volume_are_asked() -> None:
    by_volume: dict[str, set[int]] = {}
    for op in draw_operations(day("bad-day"), 1):
        by_volume.setdefault(op.volume, set()).update(op.heads)
    assert all(len(heads) == 2 for heads in by_volume.values())


def served(at: float, volume: str, plan: str, units: float, how: str = "in time", cls: int = 0) -> EndedOperation:
    return EndedOperation(at, volume, plan, cls, units, how, 0.1)


def test_worth_is_full_inside_a_reserve_and_less_beyond() -> None:
    d = day("crash")  # priority: reserve 20 of weight 2; tile-read: worth 2, late 0.2; mean 2 units
    two = [served(0.1, "priority-0", "priority", 8.0), served(0.2, "priority-0", "priority", 8.0)]
    whole = value_service(d, two).whole
    assert whole.due == whole.earned == 16 * 2 / 2
    beyond = value_service(d, [served(0.1, "priority-0", "priority", 8.0) for _ in range(4)]).whole
    assert beyond.due == pytest.approx((20 + 12 * 0.3) * 2 / 2)
    late = value_service(d, [served(0.1, "priority-0", "priority", 8.0, "late")]).whole
    assert late.earned == pytest.approx(8 * 2 / 2 * 0.2 * 0.1) or late.earned < late.due * 0.2 + 1e-9


def test_what_is_asked_beyond_a_limit_is_due_nothing() -> None:
    d = day("crash")
    rows = [served(0.1, "basic-0", "basic", 8.0) for _ in range(30)]
    assert value_service(d, rows).whole.due <= 60 * 0.3 * 2 * 0.8 / 2 + 1e-9
    nothing = value_service(d, [served(0.1, "basic-0", "basic", 8.0, "refused")])
    assert nothing.whole.earned == 0 and nothing.whole.refused == 1 and nothing.plans["basic"].due > 0


def test_a_request_in_time_takes_the_best_that_is_due() -> None:
    d = day("crash")
    rows = [served(0.1, "priority-0", "priority", 8.0), *[served(0.2, "priority-0", "priority", 8.0, "failed")] * 3]
    assert value_service(d, rows).whole.earned == 8.0
    value = value_service(d, rows)
    assert sum(totals.due for totals in value.windows.values()) == pytest.approx(value.whole.due)


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ('trouble "nodes die and come back cold" { kind = "crahs" }', "did you mean 'crash'?"),
        ('trouble "nodes die and come back cold" { at = "20s" }', "lies behind the day's end at 9 s"),
        ('volumes "basic" { heads = 7 }', "there are only 2 heads"),
        ("nodes { cold_units = 900 }", "more than a cold node surely bears"),
    ],
)
def test_a_day_that_can_not_be_is_told(change: str, said: str, tmp_path: Path) -> None:
    change = change.replace("{ ", "{\n").replace(" }", "\n}")
    (tmp_path / "day.hcl").write_text(f'base = "{DAYS}/crash.hcl"\n{change}\n')
    with pytest.raises(ConfigError, match=re.escape(said)):
        load(tmp_path / "day.hcl", Day, check_day)
