"""The platform around one gateway, for the cases of the review: discovery, shelves, clients, start and limits.

Everything listens on loopback addresses and runs in threads of the case's own process; the gateway is a process of its
own, started by the `run` line of the deploy file. The stand-ins follow the operators' page on the platform's protocol.
They use the standard library alone.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 2.0  # an empty line on a watch while nothing changes
READY_WITHIN_S = 30.0  # a gateway that is not ready by then has failed to start
ANSWER_ALLOWANCE_S = 0.5  # a final answer that comes later than this after the request's time, or never, is lost
CLIENT_STAYS_S = (
    1.5  # a client of the cases stays this long after its time, so that it has not gone when that is judged
)
LONGEST_RUN_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
_BYTES_PER_KIB = 1024


class CannotRunError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, a line an event, with the time since the case began."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line."""
        with self._lock, contextlib.suppress(ValueError):  # a thread may still note something after `close`
            self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")

    def close(self) -> None:
        """Write everything to the disk."""
        with self._lock:
            self._file.close()


# ---------------------------------------------------------------- HTTP, as far as the stand-ins need it


@dataclass
class Message:
    """A request or a response: its first line, its headers (names in lower case) and its body."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split()[1])


class Reader:
    """Reads the messages of one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.unread = b""

    def message(self) -> Message | None:
        """Return the next message; None: the peer closed or reset the connection before its end."""
        try:
            return self._message()
        except (ConnectionError, EOFError):
            return None

    def _message(self) -> Message:
        head = self._until(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])
        }
        return Message(lines[0], headers, self._exactly(int(headers.get("content-length", "0"))))

    def _until(self, end: bytes) -> bytes:
        while end not in self.unread:
            self._more()
        part, _, self.unread = self.unread.partition(end)
        return part

    def _exactly(self, size: int) -> bytes:
        while len(self.unread) < size:
            self._more()
        part, self.unread = self.unread[:size], self.unread[size:]
        return part

    def _more(self) -> None:
        data = self.sock.recv(262_144)
        if not data:
            raise EOFError
        self.unread += data


def response(status: int, body: bytes, headers: Mapping[str, str] | None = None) -> bytes:
    """Return a response's bytes."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return a request's bytes."""
    lines = [f"{method} {target} HTTP/1.1", "Host: api.internal"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "PUT":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """Accepts connections on a free port of the loopback address, with a thread for each."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._sock = socket.create_server((LOOPBACK, 0), backlog=512)
        self.address = f"{LOOPBACK}:{self._sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(sock,), daemon=True).start()

    def _run(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            self._serve(sock)

    def close(self) -> None:
        """Accept no more connections."""
        self._sock.close()


# ---------------------------------------------------------------- the platform


@dataclass
class ShelfRequest:
    """A request that a shelf received whole."""

    shelf: str
    message: Message
    received_at: float

    @property
    def id(self) -> str:
        """The id that its client gave it."""
        return self.message.headers.get("request-id", "")

    def right_answer(self) -> bytes:
        """Return the body of its answer, which no other request has."""
        return f"{self.id} {self.message.first_line}".encode()


Behaviour = Callable[[ShelfRequest, socket.socket], bool]
"""Answers a request on its connection; False: the shelf answers it as usual."""


class Shelf:
    """A storage node: it runs each request that it receives whole, and answers it."""

    def __init__(self, name: str, block: int, record: Record, work_s: float = 0.01) -> None:
        self.name, self.block, self.work_s = name, block, work_s
        self.behaviour: Behaviour | None = None
        self.run: list[ShelfRequest] = []
        self._record = record
        self._listener = Listener(self._serve)
        self.address = self._listener.address

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while (message := reader.message()) is not None:
            received = ShelfRequest(self.name, message, time.monotonic())
            self.run.append(received)
            self._record.note(f"{self.name} runs {received.id} {message.first_line}")
            if self.behaviour is not None and self.behaviour(received, sock):
                continue
            time.sleep(self.work_s)
            sock.sendall(response(200, received.right_answer()))


class Discovery:
    """The platform's discovery: the list of shelves, and watches of it."""

    def __init__(self, shelves: list[Shelf]) -> None:
        self._shelves = shelves
        self._listener = Listener(self._serve)
        self.address = self._listener.address

    def list(self, version: int = 1) -> dict[str, Any]:
        """Return the whole list."""
        hosts = [
            {
                "host": shelf.name,
                "dial": shelf.address,
                "site": "a",
                "class": "m",
                "block": shelf.block,
                "health": "active",
                "share": 1.0,
                "born_ms": 0,
            }
            for shelf in self._shelves
        ]
        return {"seq": version, "whole": True, "hosts": hosts}

    def _serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        while (message := reader.message()) is not None:
            if "stream=1" not in message.first_line:
                sock.sendall(response(200, json.dumps(self.list()).encode()))
                continue
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = json.dumps(self.list()).encode()
            while True:
                line += b"\n"
                sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))
                time.sleep(HEARTBEAT_S)
                line = b""


@dataclass
class Gateway:
    """The gateway under test, in a process of its own that the platform's limits bind.

    Attributes
    ----------
    peak_mib
        Most memory that it was seen to hold.
    killed_for_memory
        It held more than its limit and was killed, as the platform does.
    """

    process: subprocess.Popen[bytes]
    address: tuple[str, int]
    folder: Path
    memory_mib: float
    record: Record
    peak_mib: float = 0.0
    killed_for_memory: bool = False
    _watching: bool = field(default=True)

    def resident_mib(self) -> float:
        """Return its resident memory; 0 if it has ended."""
        try:
            lines = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines()
        except OSError:
            return 0.0
        sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
        return int(sizes[0]) / _BYTES_PER_KIB if sizes else 0.0

    def enforce_memory_limit(self) -> None:
        """Kill it once it holds more memory than its limit."""
        while self._watching and self.process.poll() is None:
            size_mib = self.resident_mib()
            self.peak_mib = max(self.peak_mib, size_mib)
            if size_mib > self.memory_mib:
                self.killed_for_memory = True
                self.record.note(f"PLATFORM kills the gateway: {size_mib:.0f} of {self.memory_mib:.0f} MiB")
                self.process.kill()
                return
            time.sleep(0.005)

    def has_ended(self) -> bool:
        """Return whether its process has ended."""
        return self.process.poll() is not None

    def end(self) -> None:
        """End it, and remove its folder."""
        self._watching = False
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def start_gateway(
    discovery: Discovery, settings: Mapping[str, Any], limits: Mapping[str, float], record: Record
) -> Gateway:
    """Start a gateway as the platform does, and wait until it is ready."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    (folder / "tmp").mkdir()
    with socket.create_server((LOOPBACK, 0)) as free_port:
        port = free_port.getsockname()[1]
    config = {
        "name": "n0",
        "listen": f"{LOOPBACK}:{port}",
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": limits,
        "known": discovery.list() | {"seq": 0},
        "settings": settings,
    }
    (folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
    environ = {
        "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
        "RELAY_NAME": "n0",
        "RELAY_LISTEN": f"{LOOPBACK}:{port}",
        "RELAY_DISCOVERY": discovery.address,
        "RELAY_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(folder / "tmp"),
    }
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    with (folder / "log").open("wb") as log:
        process = subprocess.Popen(["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environ, stdout=log, stderr=log)
    gateway = Gateway(process, (LOOPBACK, port), folder, limits["memory_mb"], record)
    _wait_until_ready(gateway)
    record.note(f"gateway ready with {gateway.resident_mib():.0f} of {limits['memory_mb']:.0f} MiB")
    threading.Thread(target=gateway.enforce_memory_limit, daemon=True).start()
    return gateway


def _wait_until_ready(gateway: Gateway) -> None:
    deadline = time.monotonic() + READY_WITHIN_S
    while time.monotonic() < deadline and not gateway.has_ended():
        with contextlib.suppress(OSError), socket.create_connection(gateway.address, timeout=1) as sock:
            sock.sendall(request("GET", "/_health", {}))
            answer = Reader(sock).message()
            if answer is not None and answer.status == 200:
                return
        time.sleep(0.05)
    log = (gateway.folder / "log").read_text(encoding="utf-8", errors="replace")
    gateway.end()
    raise CannotRunError(f"the gateway was not ready in {READY_WITHIN_S:.0f} s; its log:\n{log}")


def request_headers(ident: str, shard: int, timeout_ms: int, **more: str) -> dict[str, str]:
    """Return the headers of a request as the platform's clients send them."""
    return {
        "Request-Id": ident,
        "X-Plan": "basic",
        "X-Object": "7f3a9c21e0b4d655",
        "Request-Timeout-Ms": str(timeout_ms),
        "X-IO": f"volume=00000003b4d60021,units=2,shard={shard},hosts=3",
    } | more


def settings(classes: list[dict[str, Any]], writes: list[bool], shelves: int) -> dict[str, Any]:
    """Return the settings of a small deployment."""
    return {
        "siblings": 3,
        "me": 0,
        "zone": 0,
        "discovery": "ask",
        "tick": 0.002,
        "localities": ["a"],
        "kinds": ["m"],
        "classes": classes,
        "family_info": {
            "writes": writes,
            "young_limit": 16.0,
            "usual_units": 2.0,
            "largest": 8,
            "slots_total": shelves,
            "fair_worth": 0.35,
            "spare_worth": 0.05,
            "meter": 0.5,
            "says_others": True,
        },
        "grades": [
            {
                "name": "basic",
                "rate": 400.0,
                "floor_rate": 400.0,
                "cap": 0.0,
                "cap_depth": 0.0,
                "shares": 1.0,
                "value_factor": 0.8,
                "tolerance": 0.0,
            }
        ],
        "guarantees": {
            "drain_grace": 2.0,
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
        "load_report": {"via": "answers", "fields": ["inflight", "latency_ms"]},
    }


@dataclass
class Answer:
    """What a client got for a request.

    Attributes
    ----------
    status
        Status of the answer; 0: there was none.
    after_s
        Seconds from the request's last byte to the answer's, or to the end of the wait.
    """

    id: str
    timeout_s: float
    status: int
    after_s: float
    body: bytes = b""

    def is_lost(self) -> bool:
        """Return whether the final answer is missing half a second after the request's time."""
        return not self.status or self.after_s > self.timeout_s + ANSWER_ALLOWANCE_S


class Client:
    """A sound client: sends one request at a time on a connection that it keeps, and waits until an answer is lost."""

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self._gateway = gateway
        self._record = record
        self._sock: socket.socket | None = None
        self._reader: Reader | None = None

    def ask(self, ident: str, method: str, target: str, headers: Mapping[str, str], body: bytes = b"") -> Answer:
        """Send a request and wait for its answer.

        A request that crosses the end of a kept connection is sent once more on a new one.
        """
        timeout_s = int(headers["Request-Timeout-Ms"]) / 1000
        was_kept = self._sock is not None
        self._record.note(f"client sends {ident} {method} {target}, with {timeout_s:.3f} s")
        sent_at = time.monotonic()
        answer = self._ask_once(request(method, target, headers, body), sent_at + timeout_s + CLIENT_STAYS_S)
        if answer is None and was_kept and time.monotonic() < sent_at + timeout_s:
            self._record.note(f"client sends {ident} once more: its kept connection has ended")
            answer = self._ask_once(request(method, target, headers, body), sent_at + timeout_s + CLIENT_STAYS_S)
        after_s = time.monotonic() - sent_at
        status = answer.status if answer is not None else 0
        self._record.note(f"client has {status or 'NO ANSWER'} for {ident} after {after_s:.3f} s of {timeout_s:.3f} s")
        return Answer(ident, timeout_s, status, after_s, answer.body if answer is not None else b"")

    def _ask_once(self, data: bytes, until: float) -> Message | None:
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self._gateway.address, timeout=until - time.monotonic())
                self._reader = Reader(self._sock)
            assert self._reader is not None
            self._sock.settimeout(max(0.001, until - time.monotonic()))
            self._sock.sendall(data)
            answer = self._reader.message()
        except OSError:
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
        self._sock = None


class Traffic:
    """Sound clients that read, each a request at a time, at a steady rate."""

    def __init__(self, gateway: Gateway, record: Record, shelves: int, clients: int = 8, pause_s: float = 0.1) -> None:
        self.answers: list[Answer] = []
        self._gateway, self._record, self._shelves, self._pause_s = gateway, record, shelves, pause_s
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(number,), daemon=True) for number in range(clients)]

    def start(self) -> None:
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send no more, and wait for the last answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        client = Client(self._gateway, self._record)
        count = 0
        while not self._stopping.wait(self._pause_s) and not self._gateway.has_ended():
            ident = f"{number:04x}{count:012x}"
            headers = request_headers(ident, (number + count) % self._shelves, READ_TIMEOUT_MS)
            self.answers.append(client.ask(ident, "GET", "/read/item", headers))
            count += 1
        client.close()

    def summary(self) -> str:
        """Return how the requests ended."""
        served = sum(answer.status == 200 for answer in self.answers)
        lost = sum(answer.is_lost() for answer in self.answers)
        return f"{len(self.answers)} requests of sound clients: {served} served, {lost} lost"


# The classes of the deployment kochi-data-centre.
READ_TIMEOUT_MS = 5000
READ = {
    "name": "read",
    "aim": 0.75,
    "deadline": 5.0,
    "value": 2.0,
    "late_value": 0.1,
    "repeat": "free",
    "group": "all",
}
NEW_READING = {
    "name": "new-reading",
    "aim": 1.0,
    "deadline": 6.0,
    "value": 3.0,
    "late_value": 0.1,
    "repeat": "guarded",
    "group": "cell",
    "window": 6.0,
}


def _stop_late_case(number: int, frame: object) -> None:
    raise CannotRunError(f"it took longer than {LONGEST_RUN_S} s")


def run_case(case: Callable[[Record, bool], bool], folder: Path) -> int:
    """Run a case; return its exit code.

    Parameters
    ----------
    case
        Takes the record and whether the disruption takes place; returns whether the rule held.
    folder
        The folder of the case.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"case {folder.name}, TROUBLE={int(has_trouble)}")
    signal.signal(signal.SIGALRM, _stop_late_case)
    signal.alarm(LONGEST_RUN_S)
    try:
        held = case(record, has_trouble)
        verdict = "the rule HELD" if held else "the rule was BROKEN"
        code = HELD if held else BROKEN
    except Exception as error:  # a fault of the case says nothing about the rule
        verdict, code = f"the case could not run: {type(error).__name__}: {error}", NOT_RUN
    signal.alarm(0)
    record.note(verdict)
    record.close()
    print(f"case {folder.name}, TROUBLE={int(has_trouble)}: {verdict}")
    return code


@contextlib.contextmanager
def running(gateway: Gateway) -> Iterator[Gateway]:
    """End the gateway in the end, whatever happens."""
    try:
        yield gateway
    finally:
        gateway.end()
