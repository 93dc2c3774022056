"""`fawnspool serve`."""

from __future__ import annotations

import gc
import signal
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
import gevent
from gevent.event import Event

from fawnspool.api.objects import ObjectApi
from fawnspool.cli.common import fail, load_gateway_config
from fawnspool.config.head import HeadConfig
from fawnspool.gateway.endpoint_client import EndpointRecord
from fawnspool.gateway.gateway import Gateway
from fawnspool.model.node import NodeTraits
from fawnspool.standins.map_database import MapDatabase
from fawnspool.standins.node import NodeOptions, NodeServer
from fawnspool.telemetry import logs

DEFAULT = Path(__file__).parent / "embedded.hcl"


def embed(config: HeadConfig) -> tuple[list[NodeServer], list[EndpointRecord], MapDatabase]:
    """Stand-in nodes in this process, a list of them, and a catalogue made from what they hold."""
    assert config.embedded is not None
    e, data = config.embedded, Path(config.head.data)
    nodes, rows, catalogue = [], [], MapDatabase()
    traits = NodeTraits(cores=e.cores, unit_time=e.unit_time, room=1000)
    for k in range(e.nodes):
        zone = config.nodes.zones[k % len(config.nodes.zones)]
        options = NodeOptions(load_fields=config.nodes.load_fields, zone=zone)
        node = NodeServer(k + 1, ("127.0.0.1", 0), data / f"node-{k + 1}", traits, options)
        node.start()
        nodes.append(node)
        rows.append(EndpointRecord(k + 1, f"127.0.0.1:{node.address[1]}", zone, config.nodes.kinds[0], k))
        for _, meta in node.store.index.values():
            catalogue.put(meta.volume, meta.key, k, meta.size)
    return nodes, rows, catalogue


def run(config: HeadConfig, ready: Any = None) -> None:
    """Serve until SIGTERM or SIGINT. `ready(api)` is called once it listens."""
    nodes, rows, catalogue = embed(config) if config.embedded else ([], None, None)
    try:
        head = Gateway(config, source=catalogue, records=rows)
    except OSError as bad:
        fail(
            f"{bad.filename or 'head.record or head.trace'}: {bad.strerror}; give head.record and head.trace a place "
            "that can be written"
        )
    try:
        api = ObjectApi(head)
    except OSError as bad:
        fail(f"{bad.strerror}; choose another head.listen", 3)
    head.start()
    api.start()
    if ready is not None:
        ready(api)
    gc.collect()
    gc.freeze()  # what stands now is never garbage: full collections look at the rest alone
    gc.set_threshold(20_000, 20, 50)
    end = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, end.set)
    end.wait()
    head.hand_over()
    api.stop(grace=2.0)
    head.stop()
    for node in nodes:
        node.stop()


@click.command("serve")
@click.argument("config_file", metavar="[CONFIG]", required=False, type=click.Path(dir_okay=False))
@click.option("--embedded", is_flag=True, help="Built-in settings: stand-in nodes in this process, data in ./data.")
@click.option("--listen", help="Serve here in place of head.listen, such as 127.0.0.1:8480.")
@click.option("--policy", type=click.Choice(["module", "pass"]), help="In place of head.policy.")
def command(config_file: str | None, embedded: bool, listen: str | None, policy: str | None) -> None:
    """Run a head with the settings in CONFIG (HCL), until SIGTERM or SIGINT."""
    if (config_file is None) != embedded:
        fail("give either a CONFIG file or --embedded")
    config = load_gateway_config(config_file or DEFAULT)
    if listen:
        config = replace(config, head=replace(config.head, listen=listen))
    if policy:
        config = replace(config, head=replace(config.head, policy=policy))
    logs.set_up(config.head.log)

    def ready(api: ObjectApi) -> None:
        where = f"http://{api.server.address[0]}:{api.server.address[1]}"
        click.echo(f"fawnspool: head {config.head.number} serves on {where} (policy {config.head.policy})")
        if config.embedded:
            volume = config.volume[0].name
            click.echo(f"  put:   curl -T README.md {where}/v1/volumes/{volume}/objects/readme")
            click.echo(f"  range: curl -r 0-99 {where}/v1/volumes/{volume}/objects/readme")
            click.echo(f"  status: fawnspool status {api.server.address[0]}:{api.server.address[1]}")

    run(config, ready)
