"""A gateway in a process of its own, started by the deploy file's `run`, between stand-in nodes and sound clients.

The platform's limits hold: a process that is seen with more resident memory than `memory_mb` is killed, and it may open
no more than `sockets` descriptors. Peers that use up a resource run in another process (`tests.e2e.overload_peers`), so
that they do not delay the sound clients.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent import socket

from fawnspool.standins.platform import DiscoveryServer, Shelf, ShelfRequest
from tests.e2e.relayrig import SETTINGS, headers, request_bytes

ROOT = Path(__file__).parents[2]
NODES = 3
NODE_WORK_S = 0.01
LONG_ANSWER_TARGET = "/read/long"
LONG_ANSWER_BYTES = 60_000
HUGE_ANSWER_TARGET = "/read/huge"
HUGE_ANSWER_BYTES = 1 << 20
HALF_ANSWER_TARGET = "/read/half"
HALF_ANSWER_BYTES = 900_000  # of an answer of `HUGE_ANSWER_BYTES`; the rest never comes
READ_DEADLINE_S = 2.0
ALLOWANCE_S = 0.5  # a final answer that comes later than this after the request's time, or never, is lost
READY_WITHIN_S = 30.0
PORTS = range(10_000, 32_000)  # below those that the system chooses from (ip(7), ip_local_port_range)
MEMORY_LOOK_S = 0.005
SOUND_CLIENTS = 8
SOUND_PAUSE_S = 0.1
_KIB_PER_MIB = 1024
_ONCE_CLASS = {
    "name": "once",
    "aim": 0.6,
    "deadline": 2.0,
    "repeat": "single_shot",
    "value": 3.0,
    "group": "cell",
    "window": 6.0,
}


@dataclass(frozen=True)
class Limits:
    """The platform's limits on the process."""

    memory_mb: int
    sockets: int


def settings() -> dict[str, Any]:
    """Return the settings: three nodes, and a class that must not run twice."""
    classes = [*SETTINGS["classes"], _ONCE_CLASS]
    family = SETTINGS["family_info"] | {"writes": [False, True, True], "slots_total": NODES}
    return SETTINGS | {"classes": classes, "family_info": family}


def _free_address() -> tuple[str, int]:
    """Return an address on which nobody listens, with a port that the system gives to no other socket meanwhile."""
    random = Random()
    while True:
        address = ("127.0.0.1", random.choice(PORTS))
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(address)
            return address


class GatewayProcess:
    """The gateway's process; `peak_mib` is the most resident memory that it was seen with."""

    def __init__(
        self,
        folder: Path,
        limits: Limits,
        discovery: DiscoveryServer,
        tree: dict[str, Any] | None = None,
        checkout: Path = ROOT,
    ) -> None:
        """Start the gateway of a checkout with the settings `tree`, by default those of `settings`."""
        self.limits = limits
        self.peak_mib = 0.0
        self.killed_for_memory = False
        self.address = _free_address()
        config = {
            "name": "n0",
            "listen": "{}:{}".format(*self.address),
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "known": discovery.snapshot() | {"seq": 0},
            "settings": settings() if tree is None else tree,
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        self.log_path = folder / "log"
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        command = f"ulimit -n {limits.sockets}; {run}"
        environ = {"PATH": os.environ["PATH"], "RELAY_CONFIG": str(path)}
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=checkout, env=environ, stdout=log, stderr=log
            )
        self._watcher = threading.Thread(target=self._enforce_memory_limit, daemon=True)

    def await_ready(self) -> None:
        """Wait until the process serves, then enforce its memory limit."""
        ends_at = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < ends_at and self.process.poll() is None:
            with contextlib.suppress(OSError), socket.create_connection(self.address, timeout=1) as sock:
                sock.sendall(b"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
                if sock.recv(4096).startswith(b"HTTP/1.1 200") and self.process.poll() is None:
                    self._watcher.start()
                    return
            gevent.sleep(0.02)
        self.kill()
        raise AssertionError(f"the gateway was not ready: {self.log_path.read_text()}")

    def resident_mib(self) -> float:
        """Return the process's resident memory (VmRSS); 0 once it has ended."""
        try:
            rows = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        except OSError:
            return 0.0
        sizes = [int(row.split()[1]) for row in rows if row.startswith("VmRSS:")]
        return sizes[0] / _KIB_PER_MIB if sizes else 0.0

    def descriptors(self) -> int:
        """Return how many descriptors the process holds; 0 once it has ended."""
        try:
            return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
        except OSError:
            return 0

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _enforce_memory_limit(self) -> None:
        while self.process.poll() is None:
            size_mib = self.resident_mib()
            self.peak_mib = max(self.peak_mib, size_mib)
            if size_mib > self.limits.memory_mb:
                self.killed_for_memory = True
                self.process.kill()
                return
            time.sleep(MEMORY_LOOK_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        self.process.wait()

    def log_events(self, event: str) -> list[dict[str, Any]]:
        """Return the fields of the log's lines of one event."""
        rows = [json.loads(row) for row in self.log_path.read_text().splitlines() if row.startswith("{")]
        return [row for row in rows if row.get("event") == event]


@dataclass
class SoundAnswer:
    """What a sound client got for a request; `status` 0: no final answer came within its time and the allowance."""

    ident: str
    status: int
    after_s: float
    sent_at: float = 0.0


@dataclass
class SoundClient:
    """Sends one small read at a time, of one volume, on a connection that it keeps."""

    address: tuple[str, int]
    name: str
    shard: int
    answers: list[SoundAnswer] = field(default_factory=list)
    stopping: bool = False
    _sock: Any = None

    def run(self) -> None:
        while not self.stopping:
            gevent.sleep(SOUND_PAUSE_S)
            ident = f"{self.name}-{len(self.answers)}"
            began = time.monotonic()
            status = self._ask(ident, began + READ_DEADLINE_S + ALLOWANCE_S)
            self.answers.append(SoundAnswer(ident, status, time.monotonic() - began, began))
        self._close()

    def _ask(self, ident: str, until: float) -> int:
        """Return the status of the answer. A request that crosses the end of a kept connection is sent once more."""
        wait_ms = str(round(READ_DEADLINE_S * 1000))
        data = request_bytes(
            "/read", headers(ident, shard=self.shard, volume=f"{len(self.name):x}{self.shard}", wait=wait_ms)
        )
        was_kept = self._sock is not None
        status = self._ask_once(data, until)
        if not status and was_kept and time.monotonic() < until:
            status = self._ask_once(data, until)
        return status

    def _ask_once(self, data: bytes, until: float) -> int:
        answer = b""
        try:
            if self._sock is None:
                self._sock = socket.create_connection(self.address, timeout=max(0.001, until - time.monotonic()))
            self._sock.sendall(data)
            while not _is_complete(answer):
                self._sock.settimeout(max(0.001, until - time.monotonic()))
                part = self._sock.recv(65536)
                if not part:
                    break
                answer += part
        except OSError:
            pass
        if not _is_complete(answer):
            self._close()
            return 0
        if b"connection: close" in answer.lower():
            self._close()
        return int(answer[9:12])

    def _close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None


def _is_complete(answer: bytes) -> bool:
    head, separator, body = answer.partition(b"\r\n\r\n")
    if not separator:
        return False
    lengths = [int(row.split(b":")[1]) for row in head.split(b"\r\n") if row.lower().startswith(b"content-length")]
    return len(body) >= (lengths[0] if lengths else 0)


@dataclass(frozen=True)
class Report:
    """What was seen of one run."""

    rest_mib: float
    peak_mib: float
    killed_for_memory: bool
    ended: bool
    answers: list[SoundAnswer]

    @property
    def worst_s(self) -> float:
        """The longest time to an answer."""
        return max((answer.after_s for answer in self.answers), default=0.0)

    def count(self, status: int) -> int:
        """Return how many answers had a status."""
        return sum(answer.status == status for answer in self.answers)

    def late(self) -> list[SoundAnswer]:
        """Return the answers that did not come within their time."""
        return [answer for answer in self.answers if not answer.status or answer.after_s > READ_DEADLINE_S]

    def text(self) -> str:
        """Return one line for people."""
        ending = "killed" if self.killed_for_memory else "ended" if self.ended else "lives"
        return (
            f"{ending}, {self.rest_mib:.1f} to {self.peak_mib:.1f} MiB; sound: {len(self.answers)} answers, "
            f"{self.count(200)} served, {self.count(503)} refused, {len(self.late())} late or lost, "
            f"worst {self.worst_s:.2f} s"
        )


class OverloadRig:
    """Nodes, discovery, the gateway's process and its sound clients."""

    def __init__(self, folder: Path, limits: Limits) -> None:
        self.slow_nodes: dict[int, float] = {}  # further work of a node, in seconds
        self.shelfs = [Shelf(block, script=partial(self._answer, block)) for block in range(NODES)]
        self.discovery = DiscoveryServer()
        for shelf in self.shelfs:
            self.discovery.put(shelf, f"s-{shelf.block}")
        self.gateway = GatewayProcess(folder, limits, self.discovery)
        self.gateway.await_ready()
        self.rest_mib = self.gateway.resident_mib()
        self.clients = [SoundClient(self.gateway.address, f"sound{k}", k % NODES) for k in range(SOUND_CLIENTS)]
        self._peers: list[subprocess.Popen[bytes]] = []

    def start_peer(self, kind: str, seed: int, seconds: float) -> subprocess.Popen[bytes]:
        """Start a process of peers of one kind."""
        command = [
            sys.executable,
            "-m",
            "tests.e2e.overload_peers",
            kind,
            *map(str, (*self.gateway.address, seed, seconds)),
        ]
        peer = subprocess.Popen(command, cwd=ROOT)
        self._peers.append(peer)
        return peer

    def run_sound_clients(self, seconds: float) -> Report:
        """Let the sound clients ask for some time, and report."""
        runs = [gevent.spawn(client.run) for client in self.clients]
        gevent.sleep(seconds)
        return self.finish(runs)

    def finish(self, runs: list[Any]) -> Report:
        """Stop the sound clients, and report."""
        for client in self.clients:
            client.stopping = True
        gevent.joinall(runs, timeout=READ_DEADLINE_S + ALLOWANCE_S + 1)
        answers = [answer for client in self.clients for answer in client.answers]
        gateway = self.gateway
        ended = gateway.process.poll() is not None
        return Report(self.rest_mib, gateway.peak_mib, gateway.killed_for_memory, ended, answers)

    def executed(self) -> list[str]:
        """Return the ids of the requests that the nodes received whole, in any order."""
        return [request.ident for shelf in self.shelfs for request in shelf.requests]

    def _answer(self, block: int, request: ShelfRequest) -> bytes | None:
        gevent.sleep(NODE_WORK_S + self.slow_nodes.get(block, 0.0))
        return _raw_answer(request)

    def stop(self) -> None:
        """End everything that was started."""
        for peer in self._peers:
            peer.kill()
            peer.wait()
        self.gateway.kill()
        for shelf in self.shelfs:
            shelf.server.stop()
        self.discovery.server.stop()


def _raw_answer(request: ShelfRequest) -> bytes | None:
    if request.target == HALF_ANSWER_TARGET:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % HUGE_ANSWER_BYTES + b"x" * HALF_ANSWER_BYTES
    lengths = {LONG_ANSWER_TARGET: LONG_ANSWER_BYTES, HUGE_ANSWER_TARGET: HUGE_ANSWER_BYTES}
    length = lengths.get(request.target)
    if length is None:
        return None
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + b"x" * length


@contextlib.contextmanager
def overload_rig(folder: Path, limits: Limits) -> Iterator[OverloadRig]:
    """Start a rig, and stop it in the end."""
    rig = OverloadRig(folder, limits)
    try:
        yield rig
    finally:
        rig.stop()
