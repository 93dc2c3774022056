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
        first = open_recording(recording)
        came = replay(recording, make_policy)
    except (RecordingError, KeyError) as bad:
        fail(f"{recording}: {bad}")
    if as_json:
        print_json(
            {
                "equal": came.difference is None,
                "events": came.events,
                "actions": came.actions,
                "differs": came.difference or "",
                "torn": came.torn,
                "module": first.header.module,
            }
        )
    else:
        click.echo(f"{came.events} events, {came.actions} actions: {'DIFFERENT' if came.difference else 'equal'}")
        if came.difference:
            click.echo(came.difference)
        if came.torn:
            click.echo(f"read up to the tear: {came.torn}")
    sys.exit(BROKEN if came.difference else 0)
