"""`fawnspool extents`: where an extent lies, and moving it."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

from fawnspool.cli.common import BROKEN, EXIT_CODES, UNREACHED, fail, load_gateway_config, print_json, table
from fawnspool.extents.migration import MigrationStep
from fawnspool.extents.records import ExtentKey, ExtentRecord
from fawnspool.gateway.endpoint_client import EndpointMessage
from fawnspool.gateway.map_client import MapClient, MapServiceError
from fawnspool.gateway.migrator import Migrator
from fawnspool.gateway.role_context import DRAIN
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError
from fawnspool.net.listener import parse_address


class _Fleet:
    """The services that a head's settings name, as a command needs them."""

    def __init__(self, config_file: str) -> None:
        config = load_gateway_config(config_file)
        if config.embedded is not None:
            fail(f"{config_file}: a head with embedded nodes has its map inside; nothing can be moved from here")
        self.volumes = {v.name for v in config.volume}
        self.map_client = MapClient(parse_address(config.catalogue.address), config.catalogue.call_timeout)
        self.nodes = self._listed(config.list.address, config.list.call_timeout)
        self.drains = config.duties is not None and any(d.name == "drain" for d in config.duties.duty)

    def _listed(self, where: str, timeout: float) -> dict[int, tuple[str, int]]:
        """Addresses by cell, of the nodes that take work."""
        try:
            status, data = call(
                ConnectionPool(parse_address(where), PoolOptions(1, timeout, 1.0)),
                b"GET",
                b"/list",
                time.monotonic() + timeout,
            )
            if status.code != 200:
                fail(f"the node list at {where} answered {status.code}", UNREACHED)
            rows = msgspec.json.decode(data, type=EndpointMessage).entries
        except (ConnectError, ConnectionLostError, HttpError, TimeoutError, msgspec.MsgspecError) as bad:
            fail(f"the node list at {where} can't be read: {bad or type(bad).__name__}", UNREACHED)
        return {r.shard: parse_address(r.address) for r in rows if r.phase != "gone"}

    def fact(self, volume: str, key: str) -> ExtentRecord:
        if volume not in self.volumes:
            fail(f"there is no volume {volume!r}; known: {', '.join(sorted(self.volumes))}")
        try:
            found = self.map_client.find_record(volume, key)
        except MapServiceError as bad:
            fail(str(bad), UNREACHED)
        if found is None:
            fail(f"the map holds no {volume}/{key}", BROKEN)
        return found

    def mover(self) -> Migrator:
        return Migrator(self.nodes.get, self.map_client)


@click.group("extents", epilog=EXIT_CODES)
def command() -> None:
    """Where extents lie, and moving them. CONFIG is a head's settings file: it names the services."""


@command.command("show")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("volume")
@click.argument("key")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def show(config_file: str, volume: str, key: str, as_json: bool) -> None:
    """What the map says of an extent, and what each listed node does."""
    fleet = _Fleet(config_file)
    fact, mover = fleet.fact(volume, key), fleet.mover()
    rows: list[dict[str, Any]] = []
    for cell in sorted(fleet.nodes):
        seen = mover.replicas.look(cell, ExtentKey(volume, key))
        rows.append(
            {"cell": cell, "role": "no answer"}
            if seen is None
            else {
                "cell": cell,
                "role": seen.role.value,
                "generation": seen.generation,
                "to": seen.successor,
                "position": seen.position,
            }
        )
    if as_json:
        return print_json(
            {
                "volume": volume,
                "key": key,
                "cell": fact.shard,
                "generation": fact.stamp.generation,
                "epoch": fact.stamp.epoch,
                "version": fact.stamp.version,
                "size": fact.size,
                "nodes": rows,
            }
        )
    click.echo(
        f"{volume}/{key}: cell {fact.shard}, generation {fact.stamp.generation}, {fact.size} bytes; "
        f"said in epoch {fact.stamp.epoch} as version {fact.stamp.version}"
    )
    names = ["cell", "role", "generation", "to", "position"]
    table("Nodes", names, [[row.get(n, "-") for n in names] for row in rows])


@command.command("move")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("volume")
@click.argument("key")
@click.option("--to", "to", type=click.IntRange(0), required=True, help="Cell that it is to lie in.")
@click.option("--within", type=click.FloatRange(0.1), default=30.0, help="Seconds; the same again goes on from there.")
def move(config_file: str, volume: str, key: str, to: int, within: float) -> None:
    """Move an extent while it is read and written. Exit code 1: another move has won, or it has gone."""
    fleet = _Fleet(config_file)
    fleet.fact(volume, key)
    if to not in fleet.nodes:
        fail(f"cell {to} has no node in the list; cells with one: {', '.join(map(str, sorted(fleet.nodes)))}")
    end = fleet.mover().migrate(ExtentKey(volume, key), to, time.monotonic() + within)
    if end is MigrationStep.DONE:
        return click.echo(f"{volume}/{key} lies in cell {to}")
    if end is MigrationStep.SUPERSEDED:
        fail("another move of it has won, or it has gone: see `fawnspool extents show`", BROKEN)
    fail(
        f"not done within {within:g} s: a node or the map service does not answer; the same again goes on from there",
        UNREACHED,
    )


@command.command("drain")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("cell", type=click.IntRange(0))
@click.option("--status", "status", is_flag=True, help="How far it is; changes nothing.")
@click.option("--cancel", is_flag=True, help="Move nothing more out of it; what has moved stays where it is.")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def drain(config_file: str, cell: int, status: bool, cancel: bool, as_json: bool) -> None:
    """Have all extents of CELL moved to other cells, by the heads that hold the duty `drain`.
    Exit code 1 with --status: not done."""
    if status and cancel:
        fail("give either --status or --cancel")
    fleet = _Fleet(config_file)
    if not fleet.drains:
        fail(f'{config_file}: no duty "drain" in a duties block: no head would do it')
    name = f"{DRAIN}{cell}"
    try:
        if cancel:
            fleet.map_client.set_operator_request(name, None)
            return click.echo(f"cell {cell}: nothing more is moved out of it")
        if not status:
            if cell not in fleet.nodes:
                fail(f"cell {cell} has no node in the list; there are {', '.join(map(str, sorted(fleet.nodes)))}")
            fleet.map_client.set_operator_request(name, "")
        w, (left, size) = fleet.map_client.operator_requests(), fleet.map_client.usage(cell)
    except MapServiceError as bad:
        fail(str(bad), UNREACHED)
    holders = [h for h in w.holders if h.role.startswith("drain/")]
    said = {
        "cell": cell,
        "wanted": name in w.requests,
        "left": left,
        "left_bytes": size,
        "holders": {h.role: {"head": h.gateway_id, "token": h.token, "note": h.note} for h in holders},
    }
    if as_json:
        print_json(said)
    else:
        heads = sorted({h.gateway_id for h in holders})
        click.echo(
            f"cell {cell}: {'to be drained' if said['wanted'] else 'not to be drained'}, {left} extents left "
            f"({size} bytes); holders: {', '.join(f'head {h}' for h in heads) or 'none has shown itself yet'}"
        )
        if holders:
            table(
                "Shards", ["duty", "head", "token", "note"], [[h.role, h.gateway_id, h.token, h.note] for h in holders]
            )
    if status and left:
        raise SystemExit(BROKEN)
