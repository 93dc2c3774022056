"""`fawnspool replay`."""

from __future__ import annotations

import sys

import click

from fawnspool.cli.common import BROKEN, EXIT_CODES, fail, print_json
from fawnspool.gateway.gateway import make_policy
from fawnspool.records.decision_recording import open_recording
from fawnspool.records.frames import RecordingError
from fawnspool.records.replay import replay


@click.command("replay", epilog=EXIT_CODES)
@click.argument("recording", type=click.Path(exists=True, dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def command(recording: str, as_json: bool) -> None:
    """Feed RECORDING (head.record) to a fresh module and compare its actions, one by one."""
    try:
        opened = open_recording(recording)
        result = replay(recording, make_policy)
    except (RecordingError, KeyError) as error:
        fail(f"{recording}: {error}")
    if as_json:
        print_json(
            {
                "equal": result.difference is None,
                "events": result.events,
                "actions": result.actions,
                "differs": result.difference or "",
                "torn": result.torn,
                "module": opened.header.module,
            }
        )
    else:
        equality = "DIFFERENT" if result.difference else "equal"
        click.echo(f"{result.events} events, {result.actions} actions: {equality}")
        if result.difference:
            click.echo(result.difference)
        if result.torn:
            click.echo(f"read up to the tear: {result.torn}")
    sys.exit(BROKEN if result.difference else 0)
