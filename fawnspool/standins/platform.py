"""Stand-ins of the platform's shelves and discovery, for tests of the relay on loopback.

A shelf responds with the body "ID METHOD TARGET" (so that nobody else's response passes for it) unless its script says
otherwise; discovery holds a list of hosts and tells whoever watches.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gevent.event import Event
from gevent.queue import Empty, Queue

from fawnspool.net.body_buffer import join_pieces
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.server import Server

KEEPALIVE_S = 2.0
MEMBERS_PATH = "/catalog/members"
_LOOPBACK = ("127.0.0.1", 0)


@dataclass
class ShelfRequest:
    """A request that a shelf received whole.

    Attributes
    ----------
    ident
        Of the client's request.
    received_at
        Monotonic seconds.
    """

    ident: str
    method: str
    target: str
    headers: dict[bytes, bytes]
    body: bytes
    received_at: float

    def plain_body(self) -> bytes:
        """Return the body of the plain response."""
        return f"{self.ident} {self.method} {self.target}".encode()


Script = Callable[[ShelfRequest], bytes | None]  # raw bytes to send, or None for the plain response


@dataclass
class Shelf:
    """A storage node of the platform.

    Attributes
    ----------
    block
        The block that it serves.
    report
        Header fields of its plain responses.
    script
        What it responds.
    may_respond
        While this is cleared it responds to nobody.
    resets_reused
        It resets a connection at its second request.
    closes_after_script
        It closes the connection behind a script's bytes.
    requests
        What it received.
    """

    block: int
    report: list[tuple[bytes, bytes]] = field(default_factory=list)
    script: Script | None = None
    may_respond: Event = field(default_factory=Event)
    resets_reused: bool = False
    closes_after_script: bool = False
    requests: list[ShelfRequest] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.may_respond.set()
        self._used_connections: set[object] = set()
        self.server = Server(_LOOPBACK, self._handle)
        self.server.start()

    @property
    def address(self) -> str:
        """Where it listens, as host:port."""
        return "{}:{}".format(*self.server.address)

    def _handle(self, exchange: Exchange) -> None:
        request = _read_request(exchange)
        connection = exchange.connection
        if self.resets_reused and connection in self._used_connections:
            exchange.answered = True
            connection.stream.reset()
            return
        self._used_connections.add(connection)
        self.requests.append(request)
        self.may_respond.wait()
        raw = self.script(request) if self.script is not None else None
        if raw is None:
            exchange.respond(200, self.report, request.plain_body())
            return
        exchange.answered = True
        connection.send(raw)
        connection.closing |= self.closes_after_script


class DiscoveryServer:
    """The platform's discovery.

    Attributes
    ----------
    hosts
        Its rows by host.
    version
        Of the list.
    is_down
        Every request is answered with 503.
    watchers
        A queue for each watch; what is put there as bytes is sent as it is.
    targets
        Targets of the requests so far.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.is_down = False
        self.watchers: set[Queue[Any]] = set()
        self.targets: list[str] = []
        self.server = Server(_LOOPBACK, self._handle)
        self.server.start()

    @property
    def address(self) -> str:
        """Where it listens, as host:port."""
        return "{}:{}".format(*self.server.address)

    def put(self, shelf: Shelf, host: str, health: str = "active", born_ms: float = 0) -> None:
        """List a shelf."""
        row = {
            "host": host,
            "dial": shelf.address,
            "site": "a",
            "class": "m",
            "block": shelf.block,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        self.change(row)

    def change(self, row: dict[str, Any]) -> None:
        """Change a host's row and tell whoever watches; health "left" takes it off the list."""
        self.version += 1
        if row["health"] == "left":
            self.hosts.pop(row["host"], None)
        else:
            self.hosts[row["host"]] = row
        for queue in self.watchers:
            queue.put({"seq": self.version, "whole": False, "hosts": [row]})

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list in its form on the wire."""
        return {"seq": self.version, "whole": True, "hosts": list(self.hosts.values())}

    def _handle(self, exchange: Exchange) -> None:
        target = exchange.head.target.decode()
        self.targets.append(target)
        if self.is_down:
            exchange.respond(503, [])
        elif not target.startswith(MEMBERS_PATH):
            raise HttpError(404, "no such place")
        elif "stream=1" in target:
            self._watch(exchange)
        else:
            exchange.respond(200, [], json.dumps(self.snapshot()).encode())

    def _watch(self, exchange: Exchange) -> None:
        """Send the list, then each change, and an empty line now and then."""
        queue: Queue[Any] = Queue()
        self.watchers.add(queue)
        try:
            exchange.begin(200, [], None)
            message: Any = self.snapshot()
            while not self.is_down:
                line = _encode_line(message)
                exchange.write(b"%x\r\n%s\r\n" % (len(line), line), time.monotonic() + KEEPALIVE_S)
                try:
                    message = queue.get(timeout=KEEPALIVE_S)
                except Empty:
                    message = None
            exchange.finish(False)
        finally:
            self.watchers.discard(queue)


def _read_request(exchange: Exchange) -> ShelfRequest:
    head = exchange.head
    body = join_pieces(exchange.body())
    ident = head.headers.get(b"request-id", b"").decode()
    return ShelfRequest(ident, head.method.decode(), head.target.decode(), head.headers, body, time.monotonic())


def _encode_line(message: Any) -> bytes:
    if isinstance(message, bytes):
        return message + b"\n"
    return (json.dumps(message).encode() if message else b"") + b"\n"
