"""What all commands share: exit codes, tables for people, JSON for programs."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NoReturn

import click
from rich.console import Console
from rich.table import Table

from fawnspool.config.checks import check_gateway
from fawnspool.config.head import HeadConfig
from fawnspool.config.schema import ConfigError, load

OK, BROKEN, USAGE, UNREACHED = 0, 1, 2, 3
EXIT_CODES = "Exit codes: 0 all well; 1 a rule or a check is broken; 2 bad input; 3 something can't be reached."


def fail(text: str, code: int = USAGE) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(code)


def config_error(bad: ConfigError, as_json: bool) -> NoReturn:
    """Every problem, a line each."""
    if as_json:
        click.echo(json.dumps({"ok": False, "problems": [vars(p) for p in bad.problems]}))
    else:
        for problem in bad.problems:
            click.echo(str(problem), err=True)
        click.echo(f"{len(bad.problems)} problem(s)", err=True)
    sys.exit(USAGE)


def load_gateway_config(config_file: str | Path) -> HeadConfig:
    """The settings of a gateway; ends the command with every problem where they do not read."""
    try:
        return load(config_file, HeadConfig, check_gateway)
    except ConfigError as error:
        config_error(error, False)


def seeds_of(text: str) -> list[int]:
    """Numbers with commas between."""
    try:
        return [int(part) for part in text.split(",")]
    except ValueError:
        fail(f"--seeds: expected numbers with commas between, such as 1,2,3; found {text!r}")


def table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> None:
    """A table on standard output; numbers to the right."""
    out, data = Table(title=title or None, title_justify="left"), [list(r) for r in rows]
    for k, name in enumerate(columns):
        numeric = bool(data) and all(isinstance(r[k], int | float) or r[k] in ("", "-") for r in data)
        out.add_column(name, justify="right" if numeric else "left", overflow="fold")
    for row in data:
        out.add_row(*(f"{x:.3f}" if isinstance(x, float) else str(x) for x in row))
    Console(width=None if sys.stdout.isatty() else 160).print(out)


def print_json(value: Any) -> None:
    click.echo(json.dumps(value, indent=2, default=str))
