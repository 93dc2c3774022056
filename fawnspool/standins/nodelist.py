"""The node list as a service: it is asked, or pushes; it can be late, lie, or be gone.

GET /list                 {"version", "entries": [{"node", "address", "zone", "kind", "cell", "phase", "size",
                          "age_s"}]}; age_s: seconds since the node started, -1 long ago
GET /watch?from=VERSION   JSON lines: first {"kind": "whole"|"changes", ...}, then one a change, as they come;
                          an empty line now and then shows that the watch stands
GET /ping                 what a drill needs to know that it listens

Ages rather than times, so that no clocks need agree. docs/node-wire.md describes the forms.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import gevent
from gevent.queue import Empty, Queue

from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.standins.service import Service

_KEEP = 1000  # changes kept for a watch that comes back


@dataclass
class Entry:
    """A node as the list tells of it. started: on this machine's monotonic clock; -1: long ago."""

    node: int
    address: str
    zone: str
    cell: int
    phase: str = "ready"
    kind: str = "node"
    size: float = 1.0
    started: float = -1.0

    def row(self) -> dict[str, Any]:
        age = -1.0 if self.started < 0 else max(0.0, time.monotonic() - self.started)
        return {
            "node": self.node,
            "address": self.address,
            "zone": self.zone,
            "cell": self.cell,
            "phase": self.phase,
            "kind": self.kind,
            "size": self.size,
            "age_s": age,
        }


class NodeListServer(Service):
    """Holds the list; `change` is told at once to whoever watches, after `late` seconds."""

    def __init__(
        self,
        address: tuple[str, int],
        entries: list[Entry],
        told: Callable[[int, str, int, float], None] | None = None,
        where: Callable[[int, str], str] = lambda head, address: address,
    ) -> None:
        """where(head, address): the address of a node as that head is to use it."""
        self.where_for = where
        self.entries = {e.node: e for e in entries}
        self.version, self.late, self.told = 1, 0.0, told
        self.changes: list[tuple[int, Entry]] = []
        self.watchers: dict[Any, tuple[int, Queue[Any]]] = {}
        super().__init__(address)

    def _left(self) -> None:
        self.watchers.clear()

    def change(self, entry: Entry) -> None:
        """An entry is new or another; phase "gone" takes it off the list."""
        if self.late:
            gevent.spawn_later(self.late, self._change, entry)
        else:
            self._change(entry)

    def _change(self, entry: Entry) -> None:
        self.version += 1
        if entry.phase == "gone":
            self.entries.pop(entry.node, None)
        else:
            self.entries[entry.node] = entry
        self.changes = [*self.changes[-_KEEP:], (self.version, entry)]
        for _, queue in list(self.watchers.values()):
            queue.put((self.version, [entry]))

    def _tell(self, head: int, entries: list[Entry], began: float) -> None:
        """What a head was told; its first byte may have left at `began` (monotonic)."""
        if self.told is not None:
            for entry in entries:
                self.told(head, entry.phase, entry.node, began)

    def _rows(self, head: int, entries: list[Entry]) -> list[dict[str, Any]]:
        return [e.row() | {"address": self.where_for(head, e.address)} for e in entries]

    def _handle(self, exchange: Exchange) -> None:
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        asked = {k: v[0] for k, v in parse_qs(query).items()}
        head = int(asked.get("head", -1))
        if path == "/ping":
            return exchange.respond(200, [], b"{}")
        if path == "/list":
            rows, began = list(self.entries.values()), time.monotonic()
            exchange.respond(200, [], json.dumps({"version": self.version, "entries": self._rows(head, rows)}).encode())
            return self._tell(head, rows, began)
        if path == "/watch":
            return self._watch(exchange, head, int(asked.get("from", 0)))
        raise HttpError(404, "ask for /list or /watch")

    def _watch(self, exchange: Exchange, head: int, version: int) -> None:
        queue: Queue[Any] = Queue()
        key = object()
        known = [e for v, e in self.changes if v > version]
        reaches = version and (version >= self.version or (self.changes and self.changes[0][0] <= version + 1))
        first = known if reaches else list(self.entries.values())
        exchange.begin(200, [], None)
        self.watchers[key] = (head, queue)
        try:
            self._line(exchange, "changes" if reaches else "whole", self.version, first, head)
            while True:
                try:
                    version, entries = queue.get(timeout=1.0)
                except Empty:
                    exchange.write(b"1\r\n\n\r\n", time.monotonic() + 5.0)
                    continue
                self._line(exchange, "changes", version, entries, head)
        finally:
            self.watchers.pop(key, None)

    def _line(self, exchange: Exchange, kind: str, version: int, entries: list[Entry], head: int) -> None:
        line = json.dumps({"kind": kind, "version": version, "entries": self._rows(head, entries)}).encode() + b"\n"
        began = time.monotonic()
        exchange.write(b"%x\r\n%s\r\n" % (len(line), line), time.monotonic() + 5.0)
        self._tell(head, entries, began)
