"""The node list as a service: gateways poll it or watch it; it can be late, wrong or gone.

GET /list                 {"version", "entries": [{"node", "address", "zone", "kind", "cell", "phase", "size",
                          "age_s"}]}; age_s: seconds since the node started, -1 long ago
GET /watch?from=VERSION   JSON lines: first {"kind": "whole"|"changes", ...}, then one for each change, as they come;
                          an empty line now and then shows that the watch stands
GET /ping                 tells a drill that it listens

Ages rather than times, so that no clocks need agree. docs/node-wire.md describes the forms.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent.queue import Empty, Queue

from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.standins.service import Service, send_line

LONG_AGO = -1.0  # on the wire too, as an age
GONE_PHASE = "gone"
_MAX_CHANGES_KEPT = 1000  # for a watch that comes back
_KEEPALIVE_S = 1.0
_UNKNOWN_GATEWAY = -1


@dataclass
class NodeListEntry:
    """A node as the list has it.

    Attributes
    ----------
    shard
        The shard that the node holds.
    phase
        Its phase by its name on the wire; "gone" takes it off the list.
    started_at
        When it started (monotonic seconds); `LONG_AGO`: long ago.
    """

    node: int
    address: str
    zone: str
    shard: int
    phase: str = "ready"
    kind: str = "node"
    size: float = 1.0
    started_at: float = LONG_AGO

    def row(self, address: str) -> dict[str, Any]:
        """Return its form on the wire, with the address that a gateway is to use."""
        age_s = LONG_AGO if self.started_at < 0 else max(0.0, time.monotonic() - self.started_at)
        return {
            "node": self.node,
            "address": address,
            "zone": self.zone,
            "cell": self.shard,
            "phase": self.phase,
            "kind": self.kind,
            "size": self.size,
            "age_s": age_s,
        }


@dataclass(frozen=True, slots=True)
class _Change:
    version: int
    entry: NodeListEntry


class NodeListServer(Service):
    """Serves the list and tells whoever watches of its changes.

    Parameters
    ----------
    entries
        The list at first.
    on_sent
        Called for each entry sent to a gateway: gateway, phase, node and the time (monotonic seconds) at which its
        first byte may have left.
    address_for
        Returns the address of a node as a gateway is to use it, of the gateway and the node's own address.

    Attributes
    ----------
    delay_s
        Changes are published so much later.
    """

    def __init__(
        self,
        address: tuple[str, int],
        entries: Iterable[NodeListEntry],
        on_sent: Callable[[int, str, int, float], None] | None = None,
        address_for: Callable[[int, str], str] = lambda gateway, address: address,
    ) -> None:
        self.entries = {entry.node: entry for entry in entries}
        self.version = 1
        self.delay_s = 0.0
        self._on_sent = on_sent
        self._address_for = address_for
        self._changes: list[_Change] = []
        self._watchers = set[Queue[_Change]]()
        super().__init__(address)

    def change(self, entry: NodeListEntry) -> None:
        """Publish an entry that is new or has changed, at once or after the delay."""
        if self.delay_s:
            gevent.spawn_later(self.delay_s, self._publish, entry)
        else:
            self._publish(entry)

    def _publish(self, entry: NodeListEntry) -> None:
        self.version += 1
        if entry.phase == GONE_PHASE:
            self.entries.pop(entry.node, None)
        else:
            self.entries[entry.node] = entry
        change = _Change(self.version, entry)
        self._changes = [*self._changes[-_MAX_CHANGES_KEPT:], change]
        for queue in list(self._watchers):
            queue.put(change)

    def _drop_watchers(self) -> None:
        self._watchers.clear()

    def _handle(self, exchange: Exchange) -> None:
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        gateway = int(fields.get("head", _UNKNOWN_GATEWAY))
        if path == "/ping":
            exchange.respond(200, [], b"{}")
        elif path == "/list":
            self._send_list(exchange, gateway)
        elif path == "/watch":
            self._watch(exchange, gateway, int(fields.get("from", 0)))
        else:
            raise HttpError(404, "ask for /list or /watch")

    def _send_list(self, exchange: Exchange, gateway: int) -> None:
        entries = list(self.entries.values())
        began_at = time.monotonic()
        fields = {"version": self.version, "entries": self._rows(gateway, entries)}
        exchange.respond(200, [], json.dumps(fields).encode())
        self._note_sent(gateway, entries, began_at)

    def _watch(self, exchange: Exchange, gateway: int, known_version: int) -> None:
        """Send what has changed since a version, or the whole list where that is not known, then each change."""
        queue: Queue[_Change] = Queue()
        missed = self._changes_since(known_version)
        kind = "whole" if missed is None else "changes"
        first = list(self.entries.values()) if missed is None else missed
        exchange.begin(200, [], None)
        self._watchers.add(queue)
        try:
            self._send_entries(exchange, gateway, kind, self.version, first)
            while True:
                try:
                    change = queue.get(timeout=_KEEPALIVE_S)
                except Empty:
                    send_line(exchange)
                    continue
                self._send_entries(exchange, gateway, "changes", change.version, [change.entry])
        finally:
            self._watchers.discard(queue)

    def _changes_since(self, version: int) -> list[NodeListEntry] | None:
        """Return the entries changed since a version; None: the changes kept do not reach back to it."""
        if version == 0:
            return None
        reaches_back = bool(self._changes) and self._changes[0].version <= version + 1
        if version < self.version and not reaches_back:
            return None
        return [change.entry for change in self._changes if change.version > version]

    def _send_entries(
        self, exchange: Exchange, gateway: int, kind: str, version: int, entries: list[NodeListEntry]
    ) -> None:
        line = json.dumps({"kind": kind, "version": version, "entries": self._rows(gateway, entries)}).encode()
        began_at = time.monotonic()
        send_line(exchange, line)
        self._note_sent(gateway, entries, began_at)

    def _rows(self, gateway: int, entries: list[NodeListEntry]) -> list[dict[str, Any]]:
        return [entry.row(self._address_for(gateway, entry.address)) for entry in entries]

    def _note_sent(self, gateway: int, entries: list[NodeListEntry], began_at: float) -> None:
        if self._on_sent is not None:
            for entry in entries:
                self._on_sent(gateway, entry.phase, entry.node, began_at)
