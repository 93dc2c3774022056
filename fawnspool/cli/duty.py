"""`fawnspool duty`: who holds which leased role, as the map service has it; handing one over, and pausing its work."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import click

from fawnspool.cli.common import BROKEN, EXIT_CODES, UNREACHED, fail, load_gateway_config, or_dash, print_json, table
from fawnspool.gateway.lease_runner import lease_settings
from fawnspool.gateway.map_client import LeaseHolder, MapClient, MapServiceError, OperatorRequests
from fawnspool.gateway.role_context import PAUSE, RELEASE
from fawnspool.net.listener import parse_address

POLL_INTERVAL_S = 0.1


class _LeasedRoles:
    """The leased roles of a gateway's settings, and the map service that they name."""

    def __init__(self, config_file: str) -> None:
        config = load_gateway_config(config_file)
        if config.duties is None:
            fail(f"{config_file}: has no duties block: its head takes no part in any")
        self._kinds = [duty.name for duty in config.duties.duty]
        self._names = lease_settings(config.duties, config.head.heads).role_names
        self._map = MapClient(parse_address(config.catalogue.address), config.catalogue.call_timeout)

    def fetch_requests(self) -> OperatorRequests:
        """Return what operators asked for, and who holds what."""
        with _ending_where_unreachable():
            return self._map.operator_requests()

    def find_holder(self, name: str) -> LeaseHolder | None:
        """Return the gateway that showed its token for a role last."""
        return next((holder for holder in self.fetch_requests().holders if holder.role == name), None)

    def set_request(self, name: str, value: str | None) -> None:
        """Set what an operator asks for; None takes it back."""
        with _ending_where_unreachable():
            self._map.set_operator_request(name, value)

    def known_role(self, name: str) -> str:
        """Return the name of a role; end the command where there is none of it."""
        if name not in self._names:
            self._fail_unknown(name)
        return name

    def known_role_or_kind(self, name: str) -> str:
        """Return the name of a role or of a kind of roles; end the command where there is none of it."""
        if name not in self._names and name not in self._kinds:
            self._fail_unknown(name)
        return name

    def fetch_rows(self) -> list[dict[str, Any]]:
        """Return a row a role; `shown_s` is since its holder showed its token to the map service last."""
        requests = self.fetch_requests()
        holders = {holder.role: holder for holder in requests.holders}
        return [_role_row(name, holders.get(name), requests.requests) for name in self._names]

    def _fail_unknown(self, name: str) -> None:
        kinds = ", ".join(f"{kind}/N" for kind in self._kinds)
        fail(f"there is no duty {name!r}; there are {kinds}, N from 0; see `fawnspool duty list`")


def _role_row(name: str, holder: LeaseHolder | None, requests: dict[str, str]) -> dict[str, Any]:
    kind = name.partition("/")[0]
    return {
        "duty": name,
        "head": holder.gateway_id if holder else None,
        "token": holder.token if holder else None,
        "shown_s": round(max(0.0, time.time() - holder.shown_at), 1) if holder else None,
        "paused": PAUSE + name in requests or PAUSE + kind in requests,
        "note": holder.note if holder else "",
    }


@contextmanager
def _ending_where_unreachable() -> Iterator[None]:
    """End the command where the map service can't be reached."""
    try:
        yield
    except MapServiceError as error:
        fail(str(error), UNREACHED)


@click.group("duty", epilog=EXIT_CODES)
def command() -> None:
    """Duties that one head holds at a time. CONFIG is a head's settings file: it names the map service."""


@command.command("list")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def list_duties(config_file: str, as_json: bool) -> None:
    """Every duty, the head that showed its token last, and what it says of its work."""
    rows = _LeasedRoles(config_file).fetch_rows()
    if as_json:
        print_json(rows)
    else:
        table("Duties", rows[0], [[or_dash(value) for value in row.values()] for row in rows])


@command.command("show")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("duty")
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def show(config_file: str, duty: str, as_json: bool) -> None:
    """One duty. Exit code 1: no head has shown a token for it."""
    roles = _LeasedRoles(config_file)
    name = roles.known_role(duty)
    row = next(row for row in roles.fetch_rows() if row["duty"] == name)
    if as_json:
        print_json(row)
    elif row["head"] is not None:
        paused = ", PAUSED" if row["paused"] else ""
        note = f": {row['note']}" if row["note"] else ""
        click.echo(f"{name}: head {row['head']}, token {row['token']}, shown {row['shown_s']} s ago{paused}{note}")
    if row["head"] is None:
        fail(f"{name}: no head has shown a token for it yet; `fawnspool status` of a voter says why", BROKEN)


@command.command("release")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("duty")
@click.option("--within", type=click.FloatRange(0.1), default=10.0, help="Seconds to wait for the next holder.")
def release(config_file: str, duty: str, within: float) -> None:
    """Have its holder give it up, and wait until the next one shows a higher token."""
    roles = _LeasedRoles(config_file)
    name = roles.known_role(duty)
    former = roles.find_holder(name)
    if former is None:
        fail(f"{name}: no head has shown a token for it, so there is nothing to release", BROKEN)
    roles.set_request(RELEASE + name, str(former.token))
    holder = _wait_for_next_holder(roles, name, former.token, within)
    if holder is None:
        fail(f"{name}: no other head has shown a token within {within:g} s; the wish stands until one does", BROKEN)
    roles.set_request(RELEASE + name, None)
    click.echo(f"{name}: head {holder.gateway_id} holds it, token {holder.token}; before, head {former.gateway_id}")


def _wait_for_next_holder(roles: _LeasedRoles, name: str, former_token: int, within_s: float) -> LeaseHolder | None:
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        time.sleep(POLL_INTERVAL_S)
        holder = roles.find_holder(name)
        if holder is not None and holder.token > former_token:
            return holder
    return None


@command.command("pause")
@click.argument("config_file", metavar="CONFIG", type=click.Path(dir_okay=False))
@click.argument("duty")
@click.option("--off", is_flag=True, help="Go on.")
def pause(config_file: str, duty: str, off: bool) -> None:
    """Rest the work of a duty, or of a whole kind (`drain`); it stays held. Takes effect within two seconds."""
    roles = _LeasedRoles(config_file)
    name = roles.known_role_or_kind(duty)
    roles.set_request(PAUSE + name, None if off else "")
    click.echo(f"{name}: {'goes on' if off else 'is paused'}")
