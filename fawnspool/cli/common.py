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

OK = 0
BROKEN = 1
USAGE = 2
UNREACHED = 3
PIPE_WIDTH = 160  # columns of a table that goes to a file or a pipe
EXIT_CODES = "Exit codes: 0 all well; 1 a rule or a check is broken; 2 bad input; 3 something can't be reached."


def fail(text: str, code: int = USAGE) -> NoReturn:
    """End the command with a message on standard error."""
    click.echo(text, err=True)
    sys.exit(code)


def config_error(error: ConfigError, as_json: bool) -> NoReturn:
    """End the command with every problem of a configuration, a line each."""
    if as_json:
        click.echo(json.dumps({"ok": False, "problems": [vars(problem) for problem in error.problems]}))
    else:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        click.echo(f"{len(error.problems)} problem(s)", err=True)
    sys.exit(USAGE)


def load_gateway_config(config_file: str | Path) -> HeadConfig:
    """Return the settings of a gateway; end the command with every problem where they can't be read."""
    try:
        return load(config_file, HeadConfig, check_gateway)
    except ConfigError as error:
        config_error(error, False)


def parse_seeds(text: str) -> list[int]:
    """Return the numbers of a list with commas between."""
    try:
        return [int(part) for part in text.split(",")]
    except ValueError:
        fail(f"--seeds: expected numbers with commas between, such as 1,2,3; found {text!r}")


def table(title: str, columns: Iterable[str], rows: Iterable[Iterable[Any]]) -> None:
    """Print a table on standard output, with numbers to the right."""
    output = Table(title=title or None, title_justify="left")
    cells = [list(row) for row in rows]
    for index, name in enumerate(columns):
        is_numeric = bool(cells) and all(_is_number_or_empty(row[index]) for row in cells)
        output.add_column(name, justify="right" if is_numeric else "left", overflow="fold")
    for row in cells:
        output.add_row(*(f"{value:.3f}" if isinstance(value, float) else str(value) for value in row))
    Console(width=None if sys.stdout.isatty() else PIPE_WIDTH).print(output)


def or_dash(value: Any) -> Any:
    """Return what a table shows of a value: a dash for None."""
    return "-" if value is None else value


def _is_number_or_empty(value: Any) -> bool:
    return isinstance(value, int | float) or value in ("", "-")


def print_json(value: Any) -> None:
    """Print a value as JSON on standard output."""
    click.echo(json.dumps(value, indent=2, default=str))
