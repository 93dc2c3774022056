"""The platform's shelfs and discovery, for tests of the relay on loopback. They play what they are told to play.

A shelf answers with the body "ID METHOD TARGET" (so that nobody else's answer passes for it) unless its script says
otherwise; discovery holds a list and tells whoever watches.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gevent.event import Event
from gevent.queue import Empty, Queue

from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.server import Server

BEAT_S = 2.0


@dataclass
class Asked:
    """A request that a shelf got whole."""

    ident: str
    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes
    at: float

    def made(self) -> bytes:
        return f"{self.ident} {self.method} {self.target}".encode()


Script = Callable[[Asked], bytes | None]  # raw bytes to send, or None for the plain answer


@dataclass
class Shelf:
    """script: what it answers; hold: closed, it answers nobody until it is set."""

    block: int
    report: list[tuple[bytes, bytes]] = field(default_factory=list)
    script: Script | None = None
    hold: Event = field(default_factory=Event)
    cuts_kept: bool = False  # resets a connection at its second request
    ends: bool = False  # closes the connection behind a script's bytes
    asked: list[Asked] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.hold.set()
        self.used: set[object] = set()
        self.server = Server(("127.0.0.1", 0), self._answer)
        self.server.start()

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.server.address)

    def _answer(self, exchange: Exchange) -> None:
        head, body = exchange.head, b"".join(exchange.body())
        ident = head.headers.get(b"request-id", b"").decode()
        asked = Asked(ident, head.method.decode(), head.target.decode(), head.headers, body, time.monotonic())
        if self.cuts_kept and exchange.connection in self.used:
            exchange.answered = True
            return exchange.connection.stream.reset()
        self.used.add(exchange.connection)
        self.asked.append(asked)
        self.hold.wait()
        raw = self.script(asked) if self.script is not None else None
        if raw is None:
            return exchange.respond(200, self.report, asked.made())
        exchange.answered = True
        exchange.connection.send(raw)
        exchange.connection.closing |= self.ends


class DiscoveryServer:
    """`rows` by host; `change` tells whoever watches. down: every call is answered with 503."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.seq, self.down = 1, False
        self.watchers: set[Queue[Any]] = set()  # what is put there as bytes goes out as it is
        self.calls: list[str] = []
        self.server = Server(("127.0.0.1", 0), self._answer)
        self.server.start()

    @property
    def address(self) -> str:
        return "{}:{}".format(*self.server.address)

    def put(self, shelf: Shelf, host: str, health: str = "active", born_ms: float = 0) -> None:
        self.change(
            {
                "host": host,
                "dial": shelf.address,
                "site": "a",
                "class": "m",
                "block": shelf.block,
                "health": health,
                "share": 1.0,
                "born_ms": born_ms,
            }
        )

    def change(self, row: dict[str, Any]) -> None:
        self.seq += 1
        if row["health"] == "left":
            self.rows.pop(row["host"], None)
        else:
            self.rows[row["host"]] = row
        for queue in self.watchers:
            queue.put({"seq": self.seq, "whole": False, "hosts": [row]})

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": list(self.rows.values())}

    def _answer(self, exchange: Exchange) -> None:
        target = exchange.head.target.decode()
        self.calls.append(target)
        if self.down:
            return exchange.respond(503, [])
        if not target.startswith("/catalog/members"):
            raise HttpError(404, "no such place")
        if "stream=1" not in target:
            return exchange.respond(200, [], json.dumps(self.whole()).encode())
        queue: Queue[Any] = Queue()
        self.watchers.add(queue)
        try:
            exchange.begin(200, [], None)
            told: Any = self.whole()
            while not self.down:
                line = (told if isinstance(told, bytes) else json.dumps(told).encode() if told else b"") + b"\n"
                exchange.write(b"%x\r\n%s\r\n" % (len(line), line), time.monotonic() + BEAT_S)
                try:
                    told = queue.get(timeout=BEAT_S)
                except Empty:
                    told = None
            exchange.finish(False)
        finally:
            self.watchers.discard(queue)
