"""Limits on what one list of the discovery service costs, whatever its entries are."""

from __future__ import annotations

import json
from typing import Any

import pytest

from fawnspool.gateway.watch_client import MalformedUpdateError
from fawnspool.relay.discovery import MAX_HOSTS, DiscoveryClient, EndpointNames
from fawnspool.scheduling import interface


class RecordingLog:
    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, Any]]] = []

    def error(self, event: str, **fields: Any) -> None:
        self.events.append((event, fields))


def make_client() -> tuple[DiscoveryClient, RecordingLog, list[interface.EndpointUpdate]]:
    log, posted = RecordingLog(), list[interface.EndpointUpdate]()
    client = DiscoveryClient(("127.0.0.1", 1), EndpointNames(("a",), ("m",)), posted.append, log)  # type: ignore[arg-type]
    return client, log, posted


def host(name: str) -> dict[str, Any]:
    return {"host": name, "health": "active", "dial": "127.0.0.1:7000", "block": 0}


def message(seq: int, entries: list[Any], whole: bool = True) -> bytes:
    return json.dumps({"seq": seq, "whole": whole, "hosts": entries}).encode()


def test_list_of_too_many_entries_is_malformed_and_changes_nothing() -> None:
    """Guards against a list whose entries keep the process from all else: 4 MiB hold two million of them."""
    client, log, posted = make_client()
    client.apply(message(1, [host("s-0")]))
    with pytest.raises(MalformedUpdateError, match="hosts"):
        client.apply(message(2, [0] * (MAX_HOSTS + 1)))
    assert client.version == 1 and len(client.nodes) == 1 and len(posted) == 1 and not log.events


def test_deltas_do_not_let_the_list_grow_without_a_limit() -> None:
    client, _, _ = make_client()
    client.apply(message(1, [host(f"s-{number}") for number in range(MAX_HOSTS)]))
    with pytest.raises(MalformedUpdateError, match="hosts"):
        client.apply(message(2, [host("one-more")], whole=False))
    assert len(client.nodes) == MAX_HOSTS


def test_malformed_entries_are_logged_up_to_a_limit_and_then_counted() -> None:
    """Guards against a list that fills the log and holds the process up with a line for each entry."""
    client, log, _ = make_client()
    client.apply(message(1, [host("s-0"), *([7] * 3000)]))
    assert len(client.nodes) == 1 and len(log.events) <= 10
    assert log.events[-1] == ("endpoint_entries_malformed", {"entries": 3000, "version": 1})
