"""Settings: every problem at once, with file, line, field, what is allowed, and the nearest known name."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

import pytest

from fawnspool.cli.check import meaning
from fawnspool.config.checks import check_gateway
from fawnspool.config.head import HeadConfig
from fawnspool.config.render import render
from fawnspool.config.scheduler_settings import scheduler_settings
from fawnspool.config.schema import ConfigError, load, parse, spec
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day
from fawnspool.scheduling.interface import Idempotence

EMBEDDED = Path(__file__).parent.parent / "fawnspool/cli/embedded.hcl"
DAYS = sorted((Path(__file__).parent.parent / "days").glob("*.hcl"))
GOOD = EMBEDDED.read_text()


def problems(text: str) -> list[str]:
    with pytest.raises(ConfigError) as caught:
        parse(text, "f.hcl", HeadConfig, check_gateway)
    return [str(p) for p in caught.value.problems]


def test_the_embedded_default_reads_and_says_what_it_means() -> None:
    config = load(EMBEDDED, HeadConfig, check_gateway)
    settings = scheduler_settings(config)
    assert (
        settings.gateway_count == 1
        and settings.classes[1].idempotence is Idempotence.WITH_KEY
        and settings.retry_budget_minimum is None
    )
    said = meaning(config)
    assert said["plans"] == [
        {
            "plan": "basic",
            "volumes": 1,
            "rate": 1000.0,
            "reserve_each": 0.0,
            "reserve_all": 0.0,
            "limit_each": None,
            "limit_all": None,
            "burst": None,
            "share_of_the_rest": 1.0,
        }
    ]


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('head { listne = "x" }', "f.hcl:1: head.listne: is not known here; did you mean 'listen'?"),
        ('\nhead {\n  heads = "3"\n}', "f.hcl:3: head.heads: expected a whole number, found '3'"),
        ('head { listen = "nowhere" }', "expected an address such as"),
        ('head { listen = "127.0.0.1:99999" }', "expected an address such as"),
        ('class "a" { aim = "2 s" }', 'expected a time such as "250ms"'),
        ('class "a" { aim = "1s" }', "class.a.deadline: is missing"),
        ('class "a" {\n aim = "3s"\n deadline = "1s"\n}', "deadline lies before aim"),
        ('class "a" {\n aim = "1s"\n deadline = "2s"\n effect = "unsave"\n}', "did you mean 'unsafe'?"),
        ('class "a" {\n aim = "1s"\n aim = "2s"\n deadline = "2s"\n}', "stands twice; first in line 2"),
        ('volume "v" { plan = "gold" }', "volume.v.plan: expected one of basic"),
        ("head = 3", "is a block, not a setting: write head { ... }"),
        ("head { heads { } }", "is a setting, not a block: write heads = ..."),
        ("plan { rate = 1 }", 'needs one label: plan "name" { ... }'),
        ('head "x" { }', "takes no label"),
        ('plan "p" { rate = -1 }', "expected at least 0"),
        ('plan "p" {\n rate = 1\n limit = 5\n}', "a limit needs a depth above 0"),
        ('plan "p" {\n rate = 1\n limit = 5\n limit_depth = 16\n reserve = 9\n}', "lies above the limit of 5"),
        ('nodes { zones = "a" }', "expected a list"),
        ("nodes { zones = [1] }", "nodes.zones[0]: expected a text in quotes"),
        ('head { zone = "mars" }', "expected one of nodes.zones (zone-a), found 'mars'"),
        ('peer "7" { address = "127.0.0.1:1" }', "the label is the peer's number"),
        ('units { bytes = "64kb" }', 'expected a size such as "64KiB"'),
        ("a = [\nb {", "f.hcl:"),
    ],
)
def test_a_problem_names_its_place_and_remedy(text: str, said: str) -> None:
    base = GOOD
    if text.lstrip().startswith("head"):  # one head block only
        base = GOOD.replace('head {\n  listen = "127.0.0.1:8480"\n  data   = "data"\n}', "")
    got = problems(text + "\n" + ("" if text.startswith("a =") else base))
    assert any(said in line for line in got), got


def test_all_problems_come_at_once_in_order_of_lines() -> None:
    got = problems('head { x1 = 1 }\nunits { bytes = 0 }\nplan "p" { }\nfoo { }\nlist { mode = "shout" }')
    assert [line.split(":")[1] for line in got] == sorted(line.split(":")[1] for line in got)
    assert len(got) >= 5


def test_a_head_without_nodes_of_its_own_needs_its_services() -> None:
    text = GOOD.replace("embedded {\n  nodes = 3\n}", "")
    assert problems(text) == [
        "f.hcl: list.address: is missing (only a head with an embedded block runs without)",
        "f.hcl: catalogue.address: is missing (only a head with an embedded block runs without)",
    ]


def test_a_limit_too_small_for_the_largest_request_through_all_heads() -> None:
    text = (
        GOOD.replace("rate   = 1000", "rate = 10\n  limit = 10\n  limit_depth = 16")
        .replace('data   = "data"', "heads = 3")
        .replace('plan = "basic"\n}', 'plan = "basic"\n heads = 3\n}')
    )
    assert "through 3 heads it needs 24" in problems(text)[0]


def test_a_file_that_is_not_there(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="can't be read"):
        load(tmp_path / "none.hcl", HeadConfig)


def test_rendered_settings_read_back_the_same() -> None:
    config = load(EMBEDDED, HeadConfig, check_gateway)
    config = replace(config, head=replace(config.head, data='a "b" \\c', tick=0.0123, seed=9))
    assert parse(render(config), "r.hcl", HeadConfig, check_gateway) == config


@dataclass(frozen=True)
class _Small:
    count: int = spec(3, low=1, high=9)


def test_bounds_on_both_sides() -> None:
    assert parse("count = 9", "s", _Small).count == 9
    with pytest.raises(ConfigError, match="expected from 1 to 9, found 10"):
        parse("count = 10", "s", _Small)


@pytest.mark.parametrize("path", DAYS, ids=lambda p: p.stem)
def test_every_day_reads(path: Path) -> None:
    day = load(path, Day, check_day)
    assert day.kinds()


def test_the_bad_day_is_bad_enough() -> None:
    day = load(next(p for p in DAYS if p.stem == "bad-day"), Day, check_day)
    assert len(day.kinds()) >= 6 and len(day.overlaps()) >= 3
    assert day.day.heads >= 3 and day.day.nodes >= 10 and day.day.length >= 30


# ---------------------------------------------------------------- a base


def _write(folder: Path, **files: str) -> Path:
    for name, text in files.items():
        (folder / f"{name}.hcl").write_text(text)
    return folder


def test_a_file_lies_over_its_base(tmp_path: Path) -> None:
    days = Path(__file__).parent.parent / "days"
    base = load(days / "burst.hcl", Day, check_day)
    _write(
        tmp_path,
        one=f'base = "{days}/burst.hcl"\nday {{\n  heads = 4\n}}\nplan "basic" {{\n  weight = 7\n}}\n'
        'trouble "more" {\n  kind = "slow"\n  at = "1s"\n}\n',
        two='base = "one.hcl"\nday {\n  nodes = 9\n}\n',
    )
    two = load(tmp_path / "two.hcl", Day, check_day)
    assert (two.day.heads, two.day.nodes, two.title) == (4, 9, base.title)
    assert [p.weight for p in two.plan] == [7.0, *[p.weight for p in base.plan[1:]]]
    assert two.plan[0].limit == base.plan[0].limit and [t.name for t in two.trouble] == [base.trouble[0].name, "more"]


def test_errors_name_the_file_that_is_wrong_and_circles_are_told(tmp_path: Path) -> None:
    days = Path(__file__).parent.parent / "days"
    _write(
        tmp_path,
        low=f'base = "{days}/burst.hcl"\n\nfleet {{\n  cores = "many"\n}}\n',
        top='base = "low.hcl"\n',
        a='base = "b.hcl"\n',
        b='base = "a.hcl"\n',
        gone='base = "nowhere.hcl"\n',
    )
    with pytest.raises(ConfigError, match=r"low\.hcl:4: fleet\.cores"):
        load(tmp_path / "top.hcl", Day, check_day)
    _write(tmp_path, two=f'base = "{days}/burst.hcl"\nday {{\n  heads = 3\n}}\nday {{\n  heads = 4\n}}\n')
    with pytest.raises(ConfigError, match=r"two\.hcl:5: day: stands twice"):
        load(tmp_path / "two.hcl", Day, check_day)
    with pytest.raises(ConfigError, match="circle"):
        load(tmp_path / "a.hcl", Day, check_day)
    with pytest.raises(ConfigError, match="nowhere"):
        load(tmp_path / "gone.hcl", Day, check_day)
