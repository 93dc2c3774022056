"""`fawnspool status`."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

from fawnspool.cli.common import EXIT_CODES, UNREACHED, fail, print_json, table
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError
from fawnspool.net.listener import parse_address


def status_of(where: str) -> dict[str, Any]:
    """What the head at `where` says of itself. Ends the command where it can't be reached."""
    try:
        pool = ConnectionPool(parse_address(where), PoolOptions(1, 2.0, 1.0))
        status, body = call(pool, b"GET", b"/-/status", time.monotonic() + 2.0)
        said: dict[str, Any] = msgspec.json.decode(body, type=dict)
    except ValueError:
        fail(f"expected an address such as 127.0.0.1:8480, found {where!r}")
    except (ConnectError, ConnectionLostError, HttpError, TimeoutError) as bad:
        fail(f"{where}: can't be reached: {bad or type(bad).__name__}", UNREACHED)
    if status.code != 200:
        fail(f"{where}: answered {status.code}", UNREACHED)
    return said


@click.command("status", epilog=EXIT_CODES)
@click.argument("where", metavar="ADDRESS")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def command(where: str, as_json: bool) -> None:
    """Ask the head at ADDRESS (host:port) what it thinks of each node."""
    said = status_of(where)
    if as_json:
        return print_json(said)
    listed, module = said["list"], said["module"]
    click.echo(
        f"head {said['head']}, policy {said['policy']}, up {said['up_s']} s, {said['in_hand']} in hand; "
        f"module: {module['events']} events, {module['us_per_event']} us each, {module['errors']} errors"
    )
    click.echo(
        f"node list: version {listed['version']}, "
        f"{'reachable' if listed['reachable'] else 'OUT OF REACH'}, heard {listed['heard_s']} s ago"
    )
    places = said["map"]
    click.echo(
        f"extent map: {places['extents']} extents, "
        f"{'reachable' if places['reachable'] else 'SERVICE OUT OF REACH'}, "
        f"{'never whole' if places['age_s'] is None else 'whole ' + str(places['age_s']) + ' s ago'}, "
        f"{places['wrong_sends']} wrong sends"
    )
    if (d := said.get("duties")) is not None:
        held = ", ".join(f"{name} (token {row['token']})" for name, row in d["held"].items()) or "none"
        click.echo(
            f"duties held: {held}; {d['took']} taken, {sum(d['lost'].values())} given up, {d['fenced']} steps "
            f"refused by fences, {d['strangers']} datagrams of other settings"
        )
        if (v := d["voter"]) is not None:
            rest = ", ".join(f"{name} for {s} s" for name, s in v["unheld_s"].items()) or "none"
            click.echo(
                f"voter: {'gives votes' if v['votes'] else 'WITHOUT MEMORY, learns'}"
                f"{', VOTES CAN NOT BE KEPT' if v['disk_failed'] else ''}; held by nobody: {rest}"
            )
    if (s := said.get("shared")) is not None:
        shunned = ", ".join(map(str, s["shunned"])) or "none"
        click.echo(
            f"shared: {'HEARS NOBODY, ' if s['alone'] else ''}{s['heads']} heads are there, "
            f"{s['volumes_in_all']} volumes, nodes shunned on hearsay: {shunned}"
        )
    names = [
        "node",
        "address",
        "zone",
        "cell",
        "listed",
        "state",
        "bound",
        "held",
        "out",
        "response_ms",
        "wait_ms",
        "bad_signs",
        "heard_s",
    ]
    table("Nodes", names, [[row.get(n, "-") for n in names] for row in said["nodes"]])
