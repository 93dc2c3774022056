"""What the cases 6 to 10 share: shelfs, discovery and clients in one process, and gateways as processes of their own.

The stand-ins follow the platform's pages: a shelf runs a request once its last byte has come and answers it with a body
that names the request, discovery tells the whole list and then each change, an empty line comes every 2 s, and a client
waits for its answer as long as it said. All addresses are loopback addresses. Standard library alone.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ANSWER_GRACE_S = (
    0.5 + 0.05
)  # an answer later than this after its request's time is lost; socket limits are 50 ms longer
KEEPALIVE_S = 2.0
VOLUME = "00000003b4d60021"


class CannotRunError(Exception):
    """The case could not run; it shows nothing."""


class Record:
    """What was sent, answered and run, in the order in which this process saw it."""

    def __init__(self) -> None:
        self.began_at = time.monotonic()
        self.lines: list[tuple[float, str, dict[str, Any]]] = []

    def note(self, what: str, **fields: Any) -> float:
        """Note an event and return its time (monotonic seconds)."""
        now = time.monotonic()
        self.lines.append((now, what, fields))
        return now

    def write(self, path: Path) -> None:
        """Write all events, one a line."""
        text = "".join(
            f"{at - self.began_at:9.4f} {what:16} " + " ".join(f"{k}={v}" for k, v in fields.items()) + "\n"
            for at, what, fields in self.lines
        )
        path.write_text(text, encoding="utf-8")


class Message:
    """A request or a response that was read whole."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes, first_at: float, last_at: float) -> None:
        self.start, self.headers, self.body = start, headers, body
        self.first_at, self.last_at = first_at, last_at

    @property
    def ident(self) -> str:
        """Return the request's id."""
        return self.headers.get("request-id", "")

    @property
    def status(self) -> int:
        """Return the response's status."""
        return int(self.start.split(" ")[1])

    def plain_body(self) -> bytes:
        """Return the body that a shelf makes for this request."""
        method, target, _ = self.start.split(" ")
        return f"{self.ident} {method} {target}".encode()


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length or in chunks; None: the stream ended before its first byte."""
    first = await reader.read(1)
    if not first:
        return None
    first_at = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    start, *rows = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body, first_at, time.monotonic())


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def plain_answer(body: bytes, status: str = "200 OK", fields: str = "") -> bytes:
    """Return a response with a length."""
    return f"HTTP/1.1 {status}\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


ShelfScript = Callable[["Shelf", Message, asyncio.StreamWriter], Awaitable[bytes | None]]


class Shelf:
    """A storage node; `script` returns the bytes to send, b"" for nothing more, or None for the plain response.

    Attributes
    ----------
    service_s
        How long it works on a request.
    ran
        The requests that it ran.
    """

    def __init__(self, record: Record, name: str, block: int, script: ShelfScript | None = None) -> None:
        self.record, self.name, self.block, self.script = record, name, block, script
        self.service_s = 0.02
        self.ran: list[Message] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> Shelf:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Die: reset all connections and refuse new ones."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def row(self, health: str = "active", born_ms: int = 0, site: str = "room-a") -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": site,
            "class": "fast",
            "block": self.block,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (request := await read_message(reader)) is not None:
                self.ran.append(request)
                self.record.note(
                    "run",
                    shelf=self.name,
                    id=request.ident,
                    told_ms=request.headers.get("request-timeout-ms"),
                    began=round(request.first_at - self.record.began_at, 4),
                )
                raw = await self.script(self, request, writer) if self.script is not None else None
                if raw is None:
                    await asyncio.sleep(self.service_s)
                    raw = plain_answer(request.plain_body())
                writer.write(raw)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Discovery:
    """The platform's discovery."""

    def __init__(self, record: Record, shelfs: list[Shelf]) -> None:
        self.record = record
        self.rows = {shelf.name: shelf.row() for shelf in shelfs}
        self.seq = 41
        self.changes: list[dict[str, Any]] = []
        self.queues: set[asyncio.Queue[dict[str, Any] | None]] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> Discovery:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.seq, "whole": True, "hosts": list(self.rows.values())}

    def change(self, *rows: dict[str, Any]) -> None:
        """Change entries, and tell it on all watches."""
        self.seq += 1
        for row in rows:
            if row["health"] == "left":
                self.rows.pop(row["host"], None)
            else:
                self.rows[row["host"]] = row
            self.record.note("listed", host=row["host"], health=row["health"], seq=self.seq)
        for queue in self.queues:
            queue.put_nowait({"seq": self.seq, "whole": False, "hosts": list(rows)})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                target = request.start.split(" ")[1]
                self.record.note("discovery", target=target)
                if "stream=1" in target:
                    await self._watch(writer)
                    return
                writer.write(plain_answer(json.dumps(self.whole()).encode()))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()
        self.queues.add(queue)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        message: dict[str, Any] | None = self.whole()
        try:
            while True:
                line = (json.dumps(message).encode() if message else b"") + b"\n"
                writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                await writer.drain()
                try:
                    message = await asyncio.wait_for(queue.get(), KEEPALIVE_S)
                except TimeoutError:
                    message = None
        finally:
            self.queues.discard(queue)


def request_class(name: str, repeat: str, aim: float, deadline: float, **more: Any) -> dict[str, Any]:
    """Return a request class of the settings; `repeat` is free, guarded or single_shot."""
    return {
        "name": name,
        "repeat": repeat,
        "aim": aim,
        "deadline": deadline,
        "value": 2.0,
        "late_value": 0.1,
        "group": "all",
        "window": 5.0,
        "stream": False,
    } | more


TILE_READ = request_class("tile-read", "free", 0.4, 2.0)
TRACK_WRITE = request_class("track-write", "free", 0.8, 5.0)
AREA_EXPORT = request_class("area-export", "free", 2.5, 7.5)


def settings(classes: list[dict[str, Any]], slots: int, siblings: int = 3, **more: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; the figures are those of the example of the wire's page."""
    return {
        "siblings": siblings,
        "me": 0,
        "zone": 0,
        "discovery": "push",
        "tick": 0.002,
        "localities": ["room-a", "room-b"],
        "kinds": ["fast", "slow"],
        "callers": {"marks_retry": True},
        "classes": classes,
        "family": "stores",
        "family_info": {
            "writes": [request["name"].endswith("write") for request in classes],
            "young_limit": 17.0,
            "usual_units": 2.17,
            "largest": 8,
            "slots_total": slots,
            "fair_worth": 0.3,
            "spare_worth": 0.05,
            "meter": 2.0,
            "says_others": True,
        },
        "grades": [
            {
                "name": "priority",
                "rate": 7.6,
                "floor_rate": 7.6,
                "cap": 0.0,
                "cap_depth": 0.0,
                "shares": 2.0,
                "value_factor": 0.9,
                "tolerance": 0.0,
            }
        ],
        "guarantees": {
            "drain_grace": 0.25,
            "answer_slack": 0.008,
            "fall": 3.0,
            "tip_multiple": 2.0,
            "start_capacity": 0.2,
            "warm_after": 18.0,
            "must_ask_in": 10.0,
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
        "load_report": {"via": "answers", "fields": ["lat_ms"]},
    } | more


def deploy_line(name: str) -> str:
    """Return a line of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[name])


def free_port() -> int:
    """Return a port on which nobody listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Gateway:
    """A gateway process, started as the platform does it."""

    def __init__(self, case: Case, config: dict[str, Any], name: str, sockets: int) -> None:
        self.case, self.name, self.sockets = case, name, sockets
        self.port = free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.config = config
        self.process: subprocess.Popen[bytes] | None = None
        self.may_end = False  # it was told to end

    def write(self, discovery: Discovery, known: dict[str, Any] | None = None) -> None:
        """Write its configuration file."""
        tree = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": discovery.whole() if known is None else known,
            "settings": self.config,
        }
        new = self.folder / "config.new"
        new.write_text(json.dumps(tree), encoding="utf-8")
        new.rename(self.folder / "config.json")

    async def start(self, discovery: Discovery) -> None:
        """Start it and wait until it answers GET /_health with 200."""
        self.write(discovery)
        scratch = self.folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environ = os.environ | {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{discovery.port}",
            "RELAY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(scratch),
        }
        log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", f"ulimit -n {self.sockets}; {deploy_line('run')}"],
            cwd=ROOT,
            env=environ,
            stdout=log,
            stderr=log,
        )
        self.case.record.note("start", gateway=self.name)
        until = time.monotonic() + 30
        while time.monotonic() < until and self.process.poll() is None:
            try:
                answer = await ask(self.port, b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n", 2)
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                self.case.record.note("ready", gateway=self.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRunError("the gateway did not become ready: " + self.log_text()[-2000:])

    def signal(self, number: int) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.may_end |= number in (signal.SIGTERM, signal.SIGKILL)
        self.case.record.note("signal", gateway=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def log_text(self) -> str:
        """Return its log."""
        return (self.folder / "log").read_text(errors="replace")

    def descriptors(self) -> int:
        """Return how many descriptors it holds."""
        assert self.process is not None
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.poll() is not None

    def end(self) -> None:
        """End it at once, and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if os.environ.get("KEEP_LOG"):
            print(self.log_text(), file=sys.stderr)
        shutil.rmtree(self.folder, ignore_errors=True)


async def ask(port: int, raw: bytes, timeout_s: float) -> Message | None:
    """Send a request on a new connection, and return the whole answer; None: the connection ended without one."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(raw)
        return await asyncio.wait_for(read_message(reader), timeout_s)
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        return None
    finally:
        writer.close()


def request_bytes(
    ident: str,
    target: str,
    shard: int,
    timeout_ms: int,
    body: bytes = b"",
    fields: str = "",
    volume: str = VOLUME,
    item: str = "7f3a9c21e0b4d655",
) -> bytes:
    """Return a request as a client sends it; one with a body is a PUT."""
    method = "PUT" if body else "GET"
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    return (
        f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {ident}\r\nX-Plan: priority\r\n"
        f"X-Object: {item}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
        f"X-IO: volume={volume},units=2,shard={shard},hosts=1\r\n{fields}{length}\r\n"
    ).encode() + body


class Case:
    """One run of a case: its parts, its record and its verdict."""

    def __init__(self) -> None:
        self.record = Record()
        self.gateways: list[Gateway] = []
        self.faults: list[str] = []

    def gateway(self, config: dict[str, Any], name: str = "n0", sockets: int = 512) -> Gateway:
        """Return a gateway that ends with the case, and that may hold so many descriptors."""
        gateway = Gateway(self, config, name, sockets)
        self.gateways.append(gateway)
        return gateway

    def broken(self, text: str) -> None:
        """Note that the rule was broken."""
        self.record.note("BROKEN", text=text)
        self.faults.append(text)


def run_case(work: Callable[[Case], Awaitable[None]], folder: Path, limit_s: float = 110) -> int:
    """Run a case, write its record and return the script's exit status."""
    case = Case()
    signal.signal(signal.SIGTERM, _raise_exit)
    try:
        status = _play(work, case, limit_s)
    finally:
        for gateway in case.gateways:
            gateway.end()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[status]
    case.record.note("verdict", trouble=int(TROUBLE), text=verdict)
    case.record.write(folder / "record.txt")
    for fault in case.faults[:8]:
        print(fault)
    print(f"TROUBLE={int(TROUBLE)}: {verdict}")
    return status


def _play(work: Callable[[Case], Awaitable[None]], case: Case, limit_s: float) -> int:
    try:
        asyncio.run(_limited(work, case, limit_s))
    except Exception as error:
        case.record.note("NOT RUN", why=f"{type(error).__name__}: {error}")
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        return NOT_RUN
    for gateway in case.gateways:
        if gateway.has_ended() and not gateway.may_end:
            case.broken(f"crash: the gateway {gateway.name} ended by itself: {gateway.log_text()[-500:]}")
    return BROKEN if case.faults else HELD


def _raise_exit(number: int, frame: Any) -> None:
    """End the script, and with it the processes that it started."""
    raise SystemExit(NOT_RUN)


async def _limited(work: Callable[[Case], Awaitable[None]], case: Case, limit_s: float) -> None:
    async with asyncio.timeout(limit_s):
        await work(case)
