"""The processes of a drill: started, killed, stopped and waited for, only those that it started itself."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import SystemRandom
from typing import Any

import gevent
from gevent.subprocess import Popen

from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError


class DrillError(Exception):
    """The drill itself could not be played (not: a rule broke)."""


PORTS = (10_000, 32_000)  # below those that the kernel gives to connections and to `bind` of port 0


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on now, held together so that no two are the same. Processes bind them seconds later,
    and again after a kill, so they are none that another drill's sockets may be given meanwhile."""
    socks: list[socket.socket] = []
    ports: list[int] = []
    for port in SystemRandom().sample(range(*PORTS), 50 * count):
        stream, packets = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        socks += [stream, packets]
        try:
            stream.bind(("127.0.0.1", port))
            packets.bind(("127.0.0.1", port))  # free for datagrams too: heads' peers use them
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            break
    for s in socks:
        s.close()
    if len(ports) < count:
        raise DrillError(f"no {count} free ports from {PORTS[0]} to {PORTS[1]}")
    return ports


class Process:
    """One child process that listens on a port."""

    def __init__(self, name: str, arguments: list[str], port: int, log: Path, module: str = "fawnspool.cli") -> None:
        self.name, self.arguments, self.port, self.log, self.module = name, arguments, port, log, module
        self.child: Any = None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.child = Popen(
                [sys.executable, "-m", self.module, *self.arguments],
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )

    def wait_up(self, seconds: float = 30.0) -> None:
        """Until it takes connections. Raises DrillError with the tail of its log."""
        end = time.monotonic() + seconds
        while True:
            if self.child.poll() is not None:
                raise DrillError(f"{self.name} ended with {self.child.returncode}: {self._tail()}")
            try:
                gevent.socket.create_connection(("127.0.0.1", self.port), timeout=0.5).close()
                return
            except OSError:
                if time.monotonic() > end:
                    raise DrillError(f"{self.name} does not listen on {self.port}: {self._tail()}") from None
                gevent.sleep(0.02)

    def _tail(self) -> str:
        return self.log.read_text(errors="replace")[-600:] if self.log.exists() else ""

    def cpu(self) -> float:
        """Seconds of processor time since its start; 0 where it has ended."""
        try:
            fields = Path(f"/proc/{self.child.pid}/stat").read_text().rpartition(")")[2].split()
        except (AttributeError, OSError):
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def signal(self, number: int) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def end(self, seconds: float = 5.0) -> None:
        """Ask it to end; kill it if it does not."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.child is not None:
            try:
                self.child.wait(timeout=seconds)
            except subprocess.TimeoutExpired:
                self.kill()


def post(port: int, target: str, value: Any) -> None:
    """A control call to a stand-in. Raises DrillError."""
    pool = ConnectionPool(("127.0.0.1", port), PoolOptions(1, 1.0, 1.0))
    try:
        status, body = call(pool, b"POST", target.encode(), time.monotonic() + 2.0, json.dumps(value).encode())
    except (ConnectError, ConnectionLostError, HttpError, TimeoutError) as bad:
        raise DrillError(f"port {port}{target}: {bad or type(bad).__name__}") from None
    finally:
        pool.close_idle()
    if status.code != 200:
        raise DrillError(f"port {port}{target}: answered {status.code}: {body[:200]!r}")
