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

STATUS_TIMEOUT_S = 2.0
STATUS_PATH = b"/-/status"
HTTP_OK = 200
NODE_COLUMNS = (
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
)


def fetch_status(where: str) -> dict[str, Any]:
    """Return what the gateway at an address says of itself; end the command where it can't be reached."""
    try:
        pool = ConnectionPool(parse_address(where), PoolOptions(1, STATUS_TIMEOUT_S, 1.0))
        head, body = call(pool, b"GET", STATUS_PATH, time.monotonic() + STATUS_TIMEOUT_S)
        status: dict[str, Any] = msgspec.json.decode(body, type=dict)
    except ValueError:
        fail(f"expected an address such as 127.0.0.1:8480, found {where!r}")
    except (ConnectError, ConnectionLostError, HttpError, TimeoutError) as error:
        fail(f"{where}: can't be reached: {error or type(error).__name__}", UNREACHED)
    if head.code != HTTP_OK:
        fail(f"{where}: answered {head.code}", UNREACHED)
    return status


@click.command("status", epilog=EXIT_CODES)
@click.argument("where", metavar="ADDRESS")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def command(where: str, as_json: bool) -> None:
    """Ask the head at ADDRESS (host:port) what it thinks of each node."""
    status = fetch_status(where)
    if as_json:
        print_json(status)
    else:
        _print_status(status)


def _print_status(status: dict[str, Any]) -> None:
    _print_gateway(status)
    _print_endpoint_list(status["list"])
    _print_extent_map(status["map"])
    leases = status.get("duties")
    if leases is not None:
        _print_leases(leases)
    shared = status.get("shared")
    if shared is not None:
        _print_shared(shared)
    table("Nodes", NODE_COLUMNS, [[row.get(name, "-") for name in NODE_COLUMNS] for row in status["nodes"]])


def _print_gateway(status: dict[str, Any]) -> None:
    module = status["module"]
    click.echo(
        f"head {status['head']}, policy {status['policy']}, up {status['up_s']} s, {status['in_hand']} in hand; "
        f"module: {module['events']} events, {module['us_per_event']} us each, {module['errors']} errors"
    )


def _print_endpoint_list(listed: dict[str, Any]) -> None:
    reachable = "reachable" if listed["reachable"] else "OUT OF REACH"
    click.echo(f"node list: version {listed['version']}, {reachable}, heard {listed['heard_s']} s ago")


def _print_extent_map(extent_map: dict[str, Any]) -> None:
    reachable = "reachable" if extent_map["reachable"] else "SERVICE OUT OF REACH"
    age = "never whole" if extent_map["age_s"] is None else f"whole {extent_map['age_s']} s ago"
    wrong_sends = extent_map["wrong_sends"]
    click.echo(f"extent map: {extent_map['extents']} extents, {reachable}, {age}, {wrong_sends} wrong sends")


def _print_leases(leases: dict[str, Any]) -> None:
    held = ", ".join(f"{name} (token {row['token']})" for name, row in leases["held"].items()) or "none"
    lost = sum(leases["lost"].values())
    click.echo(
        f"duties held: {held}; {leases['took']} taken, {lost} given up, {leases['fenced']} steps "
        f"refused by fences, {leases['strangers']} datagrams of other settings"
    )
    acceptor = leases["voter"]
    if acceptor is not None:
        votes = "gives votes" if acceptor["votes"] else "WITHOUT MEMORY, learns"
        disk = ", VOTES CAN NOT BE KEPT" if acceptor["disk_failed"] else ""
        unheld = ", ".join(f"{name} for {seconds} s" for name, seconds in acceptor["unheld_s"].items()) or "none"
        click.echo(f"voter: {votes}{disk}; held by nobody: {unheld}")


def _print_shared(shared: dict[str, Any]) -> None:
    alone = "HEARS NOBODY, " if shared["alone"] else ""
    shunned = ", ".join(map(str, shared["shunned"])) or "none"
    click.echo(
        f"shared: {alone}{shared['heads']} heads are there, "
        f"{shared['volumes_in_all']} volumes, nodes shunned on hearsay: {shunned}"
    )
