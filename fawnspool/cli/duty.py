"""`fawnspool duty`: who holds what, as the map service has it; passing a duty on, and pausing its work."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import click

from fawnspool.cli.common import BROKEN, EXIT_CODES, UNREACHED, fail, load_gateway_config, print_json, table
from fawnspool.gateway.lease_runner import lease_settings
from fawnspool.gateway.map_client import LeaseHolder, MapClient, MapServiceError, OperatorRequests
from fawnspool.gateway.role_context import PAUSE, RELEASE
from fawnspool.net.listener import parse_address


class _Duties:
    """The duties of a head's settings, and the map service that they name."""

    def __init__(self, config_file: str) -> None:
        config = load_gateway_config(config_file)
        if config.duties is None:
            fail(f"{config_file}: has no duties block: its head takes no part in any")
        self.lease = config.duties.lease
        self.kinds = [d.name for d in config.duties.duty]
        self.names = lease_settings(config.duties, config.head.heads).role_names
        self.map_client = MapClient(parse_address(config.catalogue.address), config.catalogue.call_timeout)

    def wishes(self) -> OperatorRequests:
        with reached():
            return self.map_client.operator_requests()

    def named(self, name: str, kinds: bool = False) -> str:
        if name in self.names or (kinds and name in self.kinds):
            return name
        fail(
            f"there is no duty {name!r}; there are {', '.join(f'{k}/N' for k in self.kinds)}, N from 0; see "
            "`fawnspool duty list`"
        )

    def rows(self, w: OperatorRequests) -> list[dict[str, Any]]:
        """One a duty. shown_s: since its holder showed its token to the map service last."""
        held, now = {h.role: h for h in w.holders}, time.time()
        return [self._row(name, held.get(name), w.requests, now) for name in self.names]

    def _row(self, name: str, h: LeaseHolder | None, wishes: dict[str, str], now: float) -> dict[str, Any]:
        paused = PAUSE + name in wishes or PAUSE + name.partition("/")[0] in wishes
        return {
            "duty": name,
            "head": h.gateway_id if h else None,
            "token": h.token if h else None,
            "shown_s": round(max(0.0, now - h.shown_at), 1) if h else None,
            "paused": paused,
            "note": h.note if h else "",
        }


@contextmanager
def reached() -> Iterator[None]:
    """Ends the command where the map service is out of reach."""
    try:
        yield
    except MapServiceError as bad:
        fail(str(bad), UNREACHED)


@click.group("duty", epilog=EXIT_CODES)
def command() -> None:
    """Duties that one head holds at a time. CONFIG is a head's settings file: it names the map service."""


@command.command("list")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_duties(config_file: str, as_json: bool) -> None:
    """Every duty, the head that showed its token last, and what it says of its work."""
    duties = _Duties(config_file)
    rows = duties.rows(duties.wishes())
    if as_json:
        return print_json(rows)
    table("Duties", rows[0], [["-" if x is None else x for x in r.values()] for r in rows])


@command.command("show")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("duty")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def show(config_file: str, duty: str, as_json: bool) -> None:
    """One duty. Exit code 1: no head has shown a token for it."""
    duties = _Duties(config_file)
    name = duties.named(duty)
    row = next(r for r in duties.rows(duties.wishes()) if r["duty"] == name)
    if as_json:
        print_json(row)
    elif row["head"] is not None:
        click.echo(
            f"{name}: head {row['head']}, token {row['token']}, shown {row['shown_s']} s ago"
            f"{', PAUSED' if row['paused'] else ''}{': ' + row['note'] if row['note'] else ''}"
        )
    if row["head"] is None:
        fail(f"{name}: no head has shown a token for it yet; `fawnspool status` of a voter says why", BROKEN)


@command.command("release")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("duty")
@click.option("--within", type=click.FloatRange(0.1), default=10.0, help="Seconds to wait for the next holder.")
def release(config_file: str, duty: str, within: float) -> None:
    """Have its holder give it up, and wait until the next one shows a higher token."""
    duties = _Duties(config_file)
    name = duties.named(duty)
    had = next((h for h in duties.wishes().holders if h.role == name), None)
    if had is None:
        fail(f"{name}: no head has shown a token for it, so there is nothing to release", BROKEN)
    with reached():
        duties.map_client.set_operator_request(RELEASE + name, str(had.token))
    end = time.monotonic() + within
    while time.monotonic() < end:
        time.sleep(0.1)
        now = next((h for h in duties.wishes().holders if h.role == name), None)
        if now is not None and now.token > had.token:
            with reached():
                duties.map_client.set_operator_request(RELEASE + name, None)
            return click.echo(
                f"{name}: head {now.gateway_id} holds it, token {now.token}; before, head {had.gateway_id}"
            )
    fail(f"{name}: no other head has shown a token within {within:g} s; the wish stands until one does", BROKEN)


@command.command("pause")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("duty")
@click.option("--off", is_flag=True, help="Go on.")
def pause(config_file: str, duty: str, off: bool) -> None:
    """Rest the work of a duty, or of a whole kind (`drain`); it stays held. Takes effect within two seconds."""
    duties = _Duties(config_file)
    name = duties.named(duty, kinds=True)
    with reached():
        duties.map_client.set_operator_request(PAUSE + name, None if off else "")
    click.echo(f"{name}: {'goes on' if off else 'is paused'}")
