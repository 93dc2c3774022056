"""`fawnspool shared`: what one head knows of what the fleet shares."""

from __future__ import annotations

from typing import Any

import click

from fawnspool.cli.common import EXIT_CODES, fail, or_dash, print_json, table
from fawnspool.cli.status import fetch_status


@click.group("shared", epilog=EXIT_CODES)
def command() -> None:
    """What heads tell each other: use of volumes with a limit, and evidence about nodes."""


@command.command("show")
@click.argument("where", metavar="ADDRESS")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def show(where: str, as_json: bool) -> None:
    """Ask the head at ADDRESS (host:port). Use is of each head's present and last life, in units; `at most` is not
    known where a head that takes part was not heard of."""
    said: dict[str, Any] | None = fetch_status(where).get("shared")
    if said is None:
        fail(f"{where}: this head shares nothing: its settings have no `shared` block")
    if as_json:
        print_json(said)
    else:
        _print_shared(said)


def _print_shared(said: dict[str, Any]) -> None:
    heard = "never" if said["heard_s"] is None else f"{said['heard_s']} s ago"
    alone = "HEARS NOBODY: own parts and own evidence alone; " if said["alone"] else ""
    click.echo(
        f"{alone}{said['heads']} heads are there, heard {heard}; {said['said']} datagrams said, "
        f"{said['unread']} unread, {said['strangers']} of strangers"
    )
    names = ["volume", "used_at_least", "used_at_most", "age_s", "heads", "unheard"]
    table(
        f"Volumes (the last {len(said['volumes'])} of {said['volumes_in_all']})",
        names,
        [[or_dash(row[name]) for name in names] for row in said["volumes"]],
    )
    rows = [
        [
            row["node"],
            "on hearsay" if row["shunned"] else "no",
            row["own_signs"],
            ", ".join(_evidence_text(evidence) for evidence in row["evidence"]),
        ]
        for row in said["nodes"]
    ]
    table("Nodes that anything is said of", ["node", "shunned", "own signs", "evidence: head, found, signs, age"], rows)


def _evidence_text(evidence: dict[str, Any]) -> str:
    return f"{evidence['head']} {evidence['found']} {evidence['signs']} {evidence['age_s']} s"
