"""`fawnspool rules`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from fawnspool.cli.common import BROKEN, EXIT_CODES, config_error, fail, print_json, table
from fawnspool.config.schema import ConfigError, load
from fawnspool.days.day import Day, check
from fawnspool.days.terms import terms_of
from fawnspool.records.frames import FrameReader, RecordingError
from fawnspool.rules.judge import judge
from fawnspool.rules.story import read


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
    except ConfigError as bad:
        config_error(bad, as_json)
    place = Path(recording)
    files = sorted(place.glob("*.rec")) if place.is_dir() else [place]
    if not files:
        fail(f"{recording}: holds no .rec files")
    rows, torn = [], []
    for path in files:
        reader = FrameReader(path)
        try:
            rows += [r for r in reader if isinstance(r, dict) and "k" in r]
        except RecordingError as bad:
            fail(str(bad))
        if reader.torn:
            torn.append(f"{path.name}: {reader.torn}")
    verdict = judge(read(rows), terms_of(day))
    said = {
        "kept": verdict.kept,
        "records": len(rows),
        "torn": torn,
        "wrong_bytes": verdict.wrong_bytes,
        "allowance_ms": round(verdict.allowance * 1000, 1),
        "rules": [
            {
                "rule": f.rule,
                "looked_at": f.looked_at,
                "breaches": [f"{b.t:.3f} s: {b.text}" for b in f.breaches],
                "nearest": round(f.nearest, 3),
            }
            for f in verdict.findings
        ],
    }
    if as_json:
        print_json(said)
    else:
        table(
            f"Rules, {len(rows)} records",
            ["rule", "looked at", "broken", "nearest"],
            [[f.rule, f.looked_at, len(f.breaches), f.nearest] for f in verdict.findings],
        )
        for f in verdict.findings:
            for b in f.breaches[:20]:
                click.echo(f"BROKEN {f.rule}: {b.t:.3f} s: {b.text}")
        for text in torn:
            click.echo(f"torn: {text}")
        if verdict.wrong_bytes:
            click.echo(f"WRONG BYTES in {verdict.wrong_bytes} answers")
    sys.exit(0 if verdict.kept else BROKEN)
