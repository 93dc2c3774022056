"""`fawnspool rules`."""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from fawnspool.cli.common import BROKEN, EXIT_CODES, config_error, fail, print_json, table
from fawnspool.config.schema import ConfigError, load
from fawnspool.days.day import Day, check
from fawnspool.days.terms import rule_terms
from fawnspool.records.frames import FrameReader, RecordingError
from fawnspool.rules.history import read_history
from fawnspool.rules.judge import RunVerdict, judge_run
from fawnspool.rules.observations import Record

MAX_BREACHES_SHOWN = 20  # of each rule, to people


@dataclass
class _Recording:
    """Records of a run, and which files end in a torn record."""

    records: list[Record] = field(default_factory=list)
    torn: list[str] = field(default_factory=list)


@click.group("rules", epilog=EXIT_CODES)
def command() -> None:
    """Judge the seven rules."""


@command.command("check")
@click.argument("recording", type=click.Path(exists=True))
@click.option("--day", "day_file", required=True, type=click.Path(dir_okay=False), help="The day file that was played.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def check_rules(recording: str, day_file: str, as_json: bool) -> None:
    """Judge RECORDING: a folder that `drill run --out` left (DIR/module), or one .rec file."""
    try:
        day = load(day_file, Day, check)
    except ConfigError as error:
        config_error(error, as_json)
    recorded = _read_recording(recording)
    verdict = judge_run(read_history(recorded.records), rule_terms(day))
    if as_json:
        print_json(_verdict_json(verdict, recorded))
    else:
        _print_verdict(verdict, recorded)
    sys.exit(0 if verdict.kept else BROKEN)


def _read_recording(recording: str) -> _Recording:
    place = Path(recording)
    files = sorted(place.glob("*.rec")) if place.is_dir() else [place]
    if not files:
        fail(f"{recording}: holds no .rec files")
    recorded = _Recording()
    for path in files:
        reader = FrameReader(path)
        try:
            recorded.records += [record for record in reader if isinstance(record, dict) and "k" in record]
        except RecordingError as error:
            fail(str(error))
        if reader.torn:
            recorded.torn.append(f"{path.name}: {reader.torn}")
    return recorded


def _verdict_json(verdict: RunVerdict, recorded: _Recording) -> dict[str, Any]:
    return {
        "kept": verdict.kept,
        "records": len(recorded.records),
        "torn": recorded.torn,
        "wrong_bytes": verdict.wrong_bytes,
        "allowance_ms": round(verdict.allowance_s * 1000, 1),
        "rules": [
            {
                "rule": finding.rule,
                "looked_at": finding.looked_at,
                "breaches": [f"{breach.time_s:.3f} s: {breach.text}" for breach in finding.breaches],
                "nearest": round(finding.nearest, 3),
            }
            for finding in verdict.findings
        ],
    }


def _print_verdict(verdict: RunVerdict, recorded: _Recording) -> None:
    table(
        f"Rules, {len(recorded.records)} records",
        ["rule", "looked at", "broken", "nearest"],
        [[finding.rule, finding.looked_at, len(finding.breaches), finding.nearest] for finding in verdict.findings],
    )
    for finding in verdict.findings:
        for breach in finding.breaches[:MAX_BREACHES_SHOWN]:
            click.echo(f"BROKEN {finding.rule}: {breach.time_s:.3f} s: {breach.text}")
    for text in recorded.torn:
        click.echo(f"torn: {text}")
    if verdict.wrong_bytes:
        click.echo(f"WRONG BYTES in {verdict.wrong_bytes} answers")
