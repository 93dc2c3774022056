"""`fawnspool standin`: the stand-ins by hand."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import Any

import click
import gevent
from gevent.event import Event

from fawnspool.cli.common import EXIT_CODES, fail
from fawnspool.model.node import NodeTraits
from fawnspool.net.listener import parse_address
from fawnspool.records.frames import FrameWriter
from fawnspool.standins.map_database import MapDatabase
from fawnspool.standins.map_service import MapServer
from fawnspool.standins.meter import MeterClient, MeterServer
from fawnspool.standins.node import NodeOptions, NodeServer
from fawnspool.standins.nodelist import NodeListEntry, NodeListServer


def _until_told(*things: Any) -> None:
    end = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, end.set)
    end.wait()
    for thing in things:
        thing.stop()


def _where(text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError:
        fail(f"expected an address such as 127.0.0.1:7001, found {text!r}")


@click.group("standin", epilog=EXIT_CODES)
def command() -> None:
    """Run one stand-in until SIGTERM: what a head works with, for trying things out."""


@command.command("node")
@click.option("--ident", type=click.IntRange(0), default=1, help="Its number in the list.")
@click.option("--listen", default="127.0.0.1:0", help="host:port.")
@click.option("--data", required=True, type=click.Path(file_okay=False), help="Folder for its objects.")
@click.option("--cores", type=click.IntRange(1), default=2)
@click.option("--unit-time", type=click.FloatRange(0), default=0.02, help="Seconds of work a unit; 0: instant.")
@click.option("--room", type=click.IntRange(0), default=64, help="Requests that may wait.")
@click.option("--cold/--warm", default=False, help="Start cold.")
@click.option("--cold-from", type=click.FloatRange(0.01, 1), default=0.3)
@click.option("--warm-after", type=click.FloatRange(0), default=10.0)
@click.option("--fall", type=click.FloatRange(0.01), default=2.0)
@click.option("--fall-multiple", type=click.FloatRange(1), default=2.0)
@click.option("--seek-saved", type=click.FloatRange(0, 1), default=0.0)
@click.option("--deferred", type=click.FloatRange(0, 1), default=0.0)
@click.option("--zone", default="zone-a")
@click.option("--load", "load_fields", default="queue", help="Fields of the load report, comma between.")
@click.option("--meter", default="", help="host:port of the volume meter.")
@click.option("--meter-every", type=click.FloatRange(0.01), default=0.25)
@click.option("--record", type=click.Path(dir_okay=False), help="Record what passes its sockets.")
@click.option("--groups", type=click.Path(file_okay=False), help="Folder that nodes of a group share.")
@click.option("--seed", type=int, default=1)
def node(
    ident: int,
    listen: str,
    data: str,
    cores: int,
    unit_time: float,
    room: int,
    cold: bool,
    cold_from: float,
    warm_after: float,
    fall: float,
    fall_multiple: float,
    seek_saved: float,
    deferred: float,
    zone: str,
    load_fields: str,
    meter: str,
    meter_every: float,
    record: str | None,
    groups: str | None,
    seed: int,
) -> None:
    """A storage node. POST /-/faults sets what goes wrong at it."""
    traits = NodeTraits(
        cores=cores,
        unit_time=unit_time,
        room=room,
        cold_from=cold_from,
        warm_after=warm_after,
        fall=fall,
        fall_multiple=fall_multiple,
        seek_saved=seek_saved,
        deferred=deferred,
    )
    client = MeterClient(_where(meter), meter_every) if meter else None
    try:
        made = NodeServer(
            ident,
            _where(listen),
            data,
            traits,
            NodeOptions(
                cold=cold,
                seed=seed,
                load_fields=tuple(load_fields.split(",")),
                zone=zone,
                groups_folder=Path(groups) if groups else None,
                recording=FrameWriter(record, append=True) if record else None,
                volume_use=client.units_per_s if client else None,
                on_served=client.add_served if client else None,
            ),
        )
    except OSError as bad:
        fail(str(bad.strerror or bad), 3)
    made.start()
    gevent.signal_handler(signal.SIGUSR1, made.set_faults, {"refuse": False})
    click.echo(f"node {ident} on 127.0.0.1:{made.address[1]}")
    _until_told(made, *([client] if client else []))


@command.command("list")
@click.option("--listen", default="127.0.0.1:0")
@click.argument("nodes", nargs=-1, metavar="NUMBER=HOST:PORT...")
def node_list(listen: str, nodes: tuple[str, ...]) -> None:
    """The node list; each node holds the cell of its place."""
    entries = []
    for k, text in enumerate(nodes):
        number, _, where = text.partition("=")
        if not number.isdigit():
            fail(f"expected NUMBER=HOST:PORT, found {text!r}")
        _where(where)
        entries.append(NodeListEntry(int(number), where, "zone-a", k))
    made = NodeListServer(_where(listen), entries)
    click.echo(f"list on 127.0.0.1:{made.address[1]}")
    _until_told(made)


@command.command("meter")
@click.option("--listen", default="127.0.0.1:0")
@click.option("--period", type=click.FloatRange(0.01), default=1.0, help="Seconds.")
def meter(listen: str, period: float) -> None:
    """The volume meter."""
    made = MeterServer(_where(listen), period)
    click.echo(f"meter on 127.0.0.1:{made.address[1]}")
    _until_told(made)


@command.command("catalogue")
@click.option("--listen", default="127.0.0.1:0")
@click.option("--data", type=click.Path(dir_okay=False), help="File that keeps the places over a restart.")
def catalogue(listen: str, data: str | None) -> None:
    """The shared catalogue of places."""
    made = MapServer(_where(listen), MapDatabase(data))
    click.echo(f"catalogue on 127.0.0.1:{made.address[1]}")
    _until_told(made)
