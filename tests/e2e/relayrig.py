"""A live gateway with stand-in shelfs and discovery, in one process on loopback."""

from __future__ import annotations

import contextlib
import json
import socket as std
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gevent import socket
from gevent.server import StreamServer

from fawnspool.relay.config import load
from fawnspool.relay.process import RelayProcess
from fawnspool.standins.platform import DiscoveryServer, Shelf
from fawnspool.telemetry import logs
from tests.e2e.rig import Client, wait_for

logs.set_up("none")
SETTINGS: dict[str, Any] = {
    "siblings": 1,
    "me": 0,
    "zone": 0,
    "discovery": "ask",
    "tick": 0.002,
    "localities": ["a", "b"],
    "kinds": ["m"],
    "classes": [
        {"name": "read", "aim": 0.4, "deadline": 2.0, "repeat": "free", "value": 2.0, "group": "all"},
        {
            "name": "note",
            "aim": 0.6,
            "deadline": 2.0,
            "repeat": "guarded",
            "value": 3.0,
            "group": "cell",
            "window": 6.0,
        },
    ],
    "family_info": {
        "writes": [False, True],
        "young_limit": 16.0,
        "usual_units": 2.0,
        "largest": 8,
        "slots_total": 2,
        "fair_worth": 0.3,
        "spare_worth": 0.05,
        "meter": 0.5,
        "says_others": True,
    },
    "grades": [
        {
            "name": "basic",
            "rate": 100.0,
            "floor_rate": 0.0,
            "cap": 0.0,
            "cap_depth": 0.0,
            "shares": 1.0,
            "value_factor": 0.8,
            "tolerance": 0.0,
        },
        {
            "name": "tight",
            "rate": 1.0,
            "floor_rate": 0.0,
            "cap": 0.01,
            "cap_depth": 8.0,
            "shares": 1.0,
            "value_factor": 0.8,
            "tolerance": 1.0,
        },
    ],
    "guarantees": {
        "drain_grace": 0.25,
        "answer_slack": 0.008,
        "fall": 2.0,
        "tip_multiple": 2.0,
        "start_capacity": 0.25,
        "warm_after": 2.0,
        "must_ask_in": 8.0,
    },
    "limits": {
        "try_limit": 4,
        "second_copies": True,
        "cancelling": True,
        "retry_after": True,
        "max_retry_after": 0.5,
        "connect_timeout": 0.25,
        "idle_close": 15.0,
        "peers": False,
        "may_probe": False,
    },
    "load_report": {"via": "answers", "fields": ["rif", "lat_ms"]},
}


class RelayRig:
    """Two shelfs with one block each, and a gateway whose configuration lists them."""

    def __init__(self, tmp: Path, sockets: int = 256, **settings: Any) -> None:
        """Start all parts; each of `settings` replaces the default setting of that name."""
        self.path = tmp / "config.json"
        self.sockets, self.settings = sockets, SETTINGS | settings
        self.shelfs = [Shelf(0), Shelf(1)]
        self.discovery = DiscoveryServer()
        for index, shelf in enumerate(self.shelfs):
            self.discovery.put(shelf, f"s-{index}")
        with socket.socket() as free_port:
            free_port.bind(("127.0.0.1", 0))
            self.listen: tuple[str, int] = free_port.getsockname()
        self.write(self.discovery)
        self.program = RelayProcess(load(str(self.path), {}), str(self.path), {})
        self.core = self.program.core
        self.program.start()
        wait_for(lambda: self.discovery.watchers and self.program.discovery.version == self.discovery.version)

    def write(self, discovery: DiscoveryServer) -> None:
        self.path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "{}:{}".format(*self.listen),
                    "discovery": discovery.address,
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                    "known": discovery.snapshot() | {"seq": 0},
                    "settings": self.settings,
                }
            )
        )

    def client(self) -> Client:
        return Client(self.listen)

    def raw(self, data: bytes) -> Any:
        """Return a connection to the gateway on which `data` was sent."""
        sock = socket.create_connection(self.listen, timeout=10)
        sock.sendall(data)
        return sock

    def received_ids(self) -> list[str]:
        """Return the ids of the requests that the shelfs received completely."""
        return [request.ident for shelf in self.shelfs for request in shelf.requests]

    def stop(self) -> None:
        self.program.stop()
        for shelf in self.shelfs:
            shelf.may_respond.set()
            shelf.server.stop()
        self.discovery.server.stop()


def headers(
    ident: str,
    plan: str = "basic",
    shard: int = 0,
    units: int = 2,
    wait: str = "1500",
    obj: str = "7f",
    volume: str = "00000003b4d60021",
) -> dict[str, str]:
    return {
        "Request-Id": ident,
        "X-Plan": plan,
        "X-Object": obj,
        "Request-Timeout-Ms": wait,
        "X-IO": f"volume={volume},units={units},shard={shard},hosts=1",
    }


def request_bytes(target: str, fields: dict[str, str], method: str = "GET", body: bytes = b"") -> bytes:
    """Return a request's bytes as a client would send them."""
    head = f"{method} {target} HTTP/1.1\r\nHost: h\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return head.encode() + (b"Content-Length: %d\r\n" % len(body) if body else b"") + b"\r\n" + body


class RawDiscovery:
    """A discovery service whose responses come from `script(number, sock, target)`.

    The script is called once for each connection that sends a request, and may send malformed bytes at any time. The
    connection stays open after the script has returned.
    """

    def __init__(self, script: Callable[[int, Any, str], None]) -> None:
        self.script, self.targets = script, list[str]()
        self.socks: list[Any] = []
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock: Any, peer: Any) -> None:
        self.socks.append(sock)
        request = b""
        while b"\r\n\r\n" not in request:
            part = sock.recv(4096)
            if not part:
                return
            request += part
        self.targets.append(request.split(b" ")[1].decode())
        with contextlib.suppress(OSError):  # the gateway has closed the connection and opened another one
            self.script(len(self.targets) - 1, sock, self.targets[-1])
            sock.recv(1)  # keeps the connection open until the gateway closes it

    def stop(self) -> None:
        self.server.stop()
        for sock in self.socks:
            sock.close()


WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def plain_sock(address: tuple[str, int], data: bytes = b"") -> std.socket:
    """Return a connection with blocking calls, which never run the event loop.

    Bytes that are sent are in the kernel before the next line runs.
    """
    sock = std.create_connection(address, timeout=10)
    if data:
        sock.sendall(data)
    return sock
