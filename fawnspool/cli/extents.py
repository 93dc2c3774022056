"""`fawnspool extents`: where an extent lies, and migrating it."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any

import click
import msgspec

from fawnspool.cli.common import BROKEN, EXIT_CODES, UNREACHED, fail, load_gateway_config, print_json, table
from fawnspool.extents.migration import MigrationStep
from fawnspool.extents.records import ExtentKey, ExtentRecord
from fawnspool.gateway.endpoint_client import EndpointMessage
from fawnspool.gateway.map_client import LeaseHolder, MapClient, MapServiceError
from fawnspool.gateway.migrator import Migrator
from fawnspool.gateway.role_context import DRAIN
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError
from fawnspool.net.listener import parse_address

HTTP_OK = 200
LIST_PATH = b"/list"
REPLICA_COLUMNS = ("cell", "role", "generation", "to", "position")


class _Fleet:
    """The services that a gateway's settings name, as a command needs them."""

    def __init__(self, config_file: str) -> None:
        config = load_gateway_config(config_file)
        if config.embedded is not None:
            fail(f"{config_file}: a head with embedded nodes has its map inside; nothing can be moved from here")
        self.map = MapClient(parse_address(config.catalogue.address), config.catalogue.call_timeout)
        self.nodes = _fetch_nodes(config.list.address, config.list.call_timeout)
        self.has_drain_role = config.duties is not None and any(duty.name == "drain" for duty in config.duties.duty)
        self._volumes = {volume.name for volume in config.volume}

    def find_record(self, volume: str, key: str) -> ExtentRecord:
        """Return the map's record of an extent; end the command where there is none."""
        if volume not in self._volumes:
            fail(f"there is no volume {volume!r}; known: {', '.join(sorted(self._volumes))}")
        try:
            record = self.map.find_record(volume, key)
        except MapServiceError as error:
            fail(str(error), UNREACHED)
        if record is None:
            fail(f"the map holds no {volume}/{key}", BROKEN)
        return record

    def migrator(self) -> Migrator:
        """Return a migrator between the listed nodes."""
        return Migrator(self.nodes.get, self.map)


def _fetch_nodes(where: str, timeout_s: float) -> dict[int, tuple[str, int]]:
    """Return the addresses, by shard, of the nodes that take work; end the command where the list can't be read."""
    try:
        pool = ConnectionPool(parse_address(where), PoolOptions(1, timeout_s, 1.0))
        status, data = call(pool, b"GET", LIST_PATH, time.monotonic() + timeout_s)
        if status.code != HTTP_OK:
            fail(f"the node list at {where} answered {status.code}", UNREACHED)
        entries = msgspec.json.decode(data, type=EndpointMessage).entries
    except (ConnectError, ConnectionLostError, HttpError, TimeoutError, msgspec.MsgspecError) as error:
        fail(f"the node list at {where} can't be read: {error or type(error).__name__}", UNREACHED)
    return {entry.shard: parse_address(entry.address) for entry in entries if entry.phase != "gone"}


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
    record = fleet.find_record(volume, key)
    migrator = fleet.migrator()
    rows = [_replica_row(migrator, shard, ExtentKey(volume, key)) for shard in sorted(fleet.nodes)]
    stamp = record.stamp
    if as_json:
        print_json(
            {
                "volume": volume,
                "key": key,
                "cell": record.shard,
                "generation": stamp.generation,
                "epoch": stamp.epoch,
                "version": stamp.version,
                "size": record.size,
                "nodes": rows,
            }
        )
        return
    click.echo(
        f"{volume}/{key}: cell {record.shard}, generation {stamp.generation}, {record.size} bytes; "
        f"said in epoch {stamp.epoch} as version {stamp.version}"
    )
    table("Nodes", REPLICA_COLUMNS, [[row.get(name, "-") for name in REPLICA_COLUMNS] for row in rows])


def _replica_row(migrator: Migrator, shard: int, extent: ExtentKey) -> dict[str, Any]:
    replica = migrator.replicas.fetch_report(shard, extent)
    if replica is None:
        return {"cell": shard, "role": "no answer"}
    return {
        "cell": shard,
        "role": replica.role.value,
        "generation": replica.generation,
        "to": replica.successor,
        "position": replica.position,
    }


@command.command("move")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("volume")
@click.argument("key")
@click.option("--to", "to", type=click.IntRange(0), required=True, help="Cell that it is to lie in.")
@click.option("--within", type=click.FloatRange(0.1), default=30.0, help="Seconds; the same again goes on from there.")
def move(config_file: str, volume: str, key: str, to: int, within: float) -> None:
    """Move an extent while it is read and written. Exit code 1: another move has won, or it has gone."""
    fleet = _Fleet(config_file)
    fleet.find_record(volume, key)
    if to not in fleet.nodes:
        fail(f"cell {to} has no node in the list; cells with one: {', '.join(map(str, sorted(fleet.nodes)))}")
    end = fleet.migrator().migrate(ExtentKey(volume, key), to, time.monotonic() + within)
    if end is MigrationStep.DONE:
        click.echo(f"{volume}/{key} lies in cell {to}")
    elif end is MigrationStep.SUPERSEDED:
        fail("another move of it has won, or it has gone: see `fawnspool extents show`", BROKEN)
    else:
        unreached = "a node or the map service does not answer"
        fail(f"not done within {within:g} s: {unreached}; the same again goes on from there", UNREACHED)


@dataclass(frozen=True)
class _DrainState:
    """How far the drain of a shard is."""

    shard: int
    is_requested: bool
    extents_left: int
    bytes_left: int
    holders: list[LeaseHolder]


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
    if not fleet.has_drain_role:
        fail(f'{config_file}: no duty "drain" in a duties block: no head would do it')
    try:
        if cancel:
            fleet.map.set_operator_request(f"{DRAIN}{cell}", None)
            click.echo(f"cell {cell}: nothing more is moved out of it")
            return
        if not status:
            _request_drain(fleet, cell)
        state = _fetch_drain_state(fleet.map, cell)
    except MapServiceError as error:
        fail(str(error), UNREACHED)
    if as_json:
        print_json(_drain_json(state))
    else:
        _print_drain(state)
    if status and state.extents_left:
        raise SystemExit(BROKEN)


def _request_drain(fleet: _Fleet, shard: int) -> None:
    if shard not in fleet.nodes:
        fail(f"cell {shard} has no node in the list; there are {', '.join(map(str, sorted(fleet.nodes)))}")
    fleet.map.set_operator_request(f"{DRAIN}{shard}", "")


def _fetch_drain_state(extent_map: MapClient, shard: int) -> _DrainState:
    requests = extent_map.operator_requests()
    extents_left, bytes_left = extent_map.usage(shard)
    holders = [holder for holder in requests.holders if holder.role.startswith("drain/")]
    return _DrainState(shard, f"{DRAIN}{shard}" in requests.requests, extents_left, bytes_left, holders)


def _drain_json(state: _DrainState) -> dict[str, Any]:
    return {
        "cell": state.shard,
        "wanted": state.is_requested,
        "left": state.extents_left,
        "left_bytes": state.bytes_left,
        "holders": {
            holder.role: {"head": holder.gateway_id, "token": holder.token, "note": holder.note}
            for holder in state.holders
        },
    }


def _print_drain(state: _DrainState) -> None:
    requested = "to be drained" if state.is_requested else "not to be drained"
    gateways = sorted({holder.gateway_id for holder in state.holders})
    names = ", ".join(f"head {number}" for number in gateways) or "none has shown itself yet"
    click.echo(
        f"cell {state.shard}: {requested}, {state.extents_left} extents left "
        f"({state.bytes_left} bytes); holders: {names}"
    )
    if state.holders:
        rows = [[holder.role, holder.gateway_id, holder.token, holder.note] for holder in state.holders]
        table("Shards", ["duty", "head", "token", "note"], rows)
