"""The command line: help, exit codes, tables for people and JSON for programs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from fawnspool.cli.main import COMMANDS, main
from fawnspool.records.frames import FrameWriter

ROOT = Path(__file__).parent.parent
EMBEDDED = str(ROOT / "fawnspool/cli/embedded.hcl")


def run(*arguments: str) -> tuple[int, str]:
    got = CliRunner().invoke(main, list(arguments))
    return got.exit_code, got.output


def test_help_names_every_command_and_the_exit_codes() -> None:
    code, text = run("--help")
    assert code == 0 and all(name in text for name in COMMANDS) and "Exit codes" in text
    for name in COMMANDS:
        assert run(name, "--help")[0] == 0


def test_check_says_what_settings_mean() -> None:
    code, text = run("check", EMBEDDED, "--json")
    said = json.loads(text)
    assert code == 0 and said["ok"] and said["plans"][0]["plan"] == "basic"
    code, text = run("check", EMBEDDED)
    assert code == 0 and "reads well" in text and "Plans, through all heads" in text


def test_check_tells_every_problem(tmp_path: Path) -> None:
    bad = tmp_path / "bad.hcl"
    bad.write_text('head { listne = "x" }\nclass "a" { aim = "soon" }\n')
    code, text = run("check", str(bad))
    assert code == 2 and "did you mean 'listen'?" in text and "class.a.aim" in text and "problem(s)" in text
    code, text = run("check", str(bad), "--json")
    assert code == 2 and len(json.loads(text)["problems"]) >= 3


@pytest.mark.parametrize(
    ("arguments", "code", "said"),
    [
        (("serve",), 2, "either a CONFIG file or --embedded"),
        (("status", "127.0.0.1:1"), 3, "can't be reached"),
        (("status", "nowhere"), 2, "expected an address"),
        (("shared", "show", "127.0.0.1:1"), 3, "can't be reached"),
        (("drill", "run", "no-such-day"), 2, "there is no day"),
        (("replay", EMBEDDED), 2, "no recording"),
        (("rules", "check", EMBEDDED, "--day", EMBEDDED), 2, "not known here"),
        (("standin", "list", "x=y"), 2, "expected NUMBER=HOST:PORT"),
    ],
)
def test_bad_input_is_told_with_its_code(arguments: tuple[str, ...], code: int, said: str) -> None:
    got, text = run(*arguments)
    assert got == code and said in text


def test_drill_list() -> None:
    code, text = run("drill", "list", "--days", str(ROOT / "days"), "--json")
    rows = {r["day"]: r for r in json.loads(text)}
    assert code == 0 and len(rows) >= 24 and rows["bad-day"]["heads"] == 3


def test_rules_check_fails_on_a_broken_rule(tmp_path: Path) -> None:
    writer = FrameWriter(tmp_path / "c.rec")
    writer.put({"k": "head", "t": 0.0, "head": 0, "what": "up"})
    writer.put(
        {
            "k": "ask",
            "t": 1.0,
            "op": "x",
            "n": 0,
            "head": 0,
            "vol": "u",
            "cls": 0,
            "units": 1,
            "pat": 1.0,
            "e": "safe",
            "w": False,
        }
    )
    writer.close()
    day = str(ROOT / "days/crash.hcl")
    code, text = run("rules", "check", str(tmp_path), "--day", day)
    assert code == 1 and "BROKEN answered once" in text
    code, text = run("rules", "check", str(tmp_path / "c.rec"), "--day", day, "--json")
    assert code == 1 and json.loads(text)["rules"][0]["breaches"]


def test_a_recording_that_cannot_begin_names_its_setting(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from dataclasses import replace

    from fawnspool.cli import serve
    from fawnspool.config.checks import check_gateway
    from fawnspool.config.head import HeadConfig
    from fawnspool.config.schema import load

    monkeypatch.chdir(tmp_path)
    (tmp_path / "file").write_text("in the way")
    config = load(serve.DEFAULT, HeadConfig, check_gateway)
    config = replace(config, head=replace(config.head, listen="127.0.0.1:0", record=str(tmp_path / "file/h.mrec")))
    with pytest.raises(SystemExit) as ended:
        serve.run(config)
    assert ended.value.code == 2 and "head.record" in capsys.readouterr().err
