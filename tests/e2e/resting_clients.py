"""Clients that keep their connections, for tests of a gateway's shutdown; they record the outcome of each request.

A client checks for a close of its connection before it sends, as a correct one does. Its bytes arrive a little later,
so they may cross a close. For an unanswered request the client records whether the gateway can have read it.
"""

from __future__ import annotations

import contextlib
import errno
import itertools
import random
import socket as std
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
from gevent import socket

from tests.e2e.relayrig import headers, request_bytes

LATENCY_S = (0.0005, 0.004)  # between a client's check of its connection and the arrival of its bytes
RESET_WITHIN_S = 0.3  # upper bound; if the bytes were not read, the system's reset follows at once


class RequestEnding(Enum):
    """Outcome of a request that was sent completely."""

    ANSWERED = "answered"
    UNREAD = "reset by the system: nobody read it"
    DROPPED = "the connection ended cleanly without an answer"
    CUT = "the connection ended in the middle of the answer"


@dataclass
class SentRequest:
    """One request, with its number on its connection (0: the connection was new) and its outcome."""

    ident: str
    number: int
    at: float
    ending: RequestEnding = RequestEnding.DROPPED
    status: int = 0
    after: float = 0.0


@dataclass
class RestingClient:
    """One client; `run` sends requests until `stop` is set."""

    name: str
    address: tuple[str, int]
    seed: int
    pause: float
    sent: list[SentRequest] = field(default_factory=list)
    refused: int = 0
    stop: bool = False

    def run(self) -> None:
        generator = random.Random(self.seed)
        sock: Any = None
        number = 0
        while not self.stop:
            if sock is None:
                sock, number = self._connect(), 0
                if sock is None:
                    gevent.sleep(0.005)
                    continue
            gevent.sleep(generator.uniform(0.0, 2 * self.pause) if number else 0.0)
            if _at_end(sock):
                sock.close()
                sock = None
                continue
            gevent.sleep(generator.uniform(*LATENCY_S))
            if not self._ask(sock, number):
                sock.close()
                sock = None
            number += 1
        if sock is not None:
            sock.close()

    def _connect(self) -> Any:
        try:
            return socket.create_connection(self.address, timeout=3.0)
        except OSError:
            self.refused += 1
            return None

    def _ask(self, sock: Any, number: int) -> bool:
        """Send one request and record it; return whether the connection may be used again."""
        ident = f"{self.name}-{len(self.sent)}"
        raw = request_bytes("/read", headers(ident, shard=len(self.sent) % 2, volume=f"{self.seed + 1:x}", wait="1500"))
        request = SentRequest(ident, number, time.monotonic())
        try:
            sock.sendall(raw)
        except OSError:  # the connection was closed before the bytes arrived
            request.ending = RequestEnding.UNREAD
            self.sent.append(request)
            return False
        self.sent.append(request)
        response, error = b"", False
        try:
            while not _is_complete(response):
                part = sock.recv(65536)
                if not part:
                    break
                response += part
        except OSError:
            error = True
        request.after = time.monotonic() - request.at
        if _is_complete(response):
            request.ending, request.status = RequestEnding.ANSWERED, int(response[9:12])
            return b"connection: close" not in response.lower()
        if response:
            request.ending = RequestEnding.CUT
        elif error or _reset_follows(sock):
            request.ending = RequestEnding.UNREAD
        return False


def _is_complete(response: bytes) -> bool:
    head, separator, body = response.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = next(
        (int(row.split(b":")[1]) for row in head.split(b"\r\n") if row.lower().startswith(b"content-length")), 0
    )
    return len(body) >= length


def _at_end(sock: Any) -> bool:
    """Return whether the gateway has closed the connection."""
    sock.setblocking(False)
    try:
        return bool(sock.recv(1, std.MSG_PEEK) == b"")
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(3.0)


def _reset_follows(sock: Any) -> bool:
    """Return whether a reset follows a clean close without a response, which means that the bytes were not read."""
    until = time.monotonic() + RESET_WITHIN_S
    while time.monotonic() < until:
        if sock.getsockopt(std.SOL_SOCKET, std.SO_ERROR) in (errno.EPIPE, errno.ECONNRESET):
            return True
        gevent.sleep(0.005)
    return False


@contextlib.contextmanager
def resting_clients(address: tuple[str, int], count: int, seed: int, pause: float = 0.03) -> Any:
    """Run `count` clients; at the end, stop them and wait for them."""
    clients = [RestingClient(f"c{seed}x{k}", address, seed * 1000 + k, pause) for k in range(count)]
    runs = [gevent.spawn(client.run) for client in clients]
    try:
        yield clients
    finally:
        for client in clients:
            client.stop = True
        gevent.joinall(runs, timeout=5)
        gevent.killall(runs)


@dataclass(frozen=True)
class Crowd:
    """Numbers of additional clients: idle ones stay connected, rude ones send malformed requests or leave early."""

    idle: int = 0
    rude: int = 0


def _rude_bytes(generator: random.Random, ident: str) -> bytes:
    """Return malformed bytes, or requests whose response the client does not await."""
    request = request_bytes("/read", headers(ident, volume=f"{generator.getrandbits(32):x}"))
    return generator.choice(
        (generator.randbytes(200), request[: generator.randrange(len(request))], request, request * 5, b"\r\n" * 99)
    )


def _be_rude(address: tuple[str, int], generator: random.Random, name: str) -> None:
    for number in itertools.count():
        gevent.sleep(generator.uniform(0.02, 0.1))
        with contextlib.suppress(OSError), socket.create_connection(address, timeout=3.0) as sock:
            sock.sendall(_rude_bytes(generator, f"{name}-{number}"))
            gevent.sleep(generator.uniform(0.0, 0.05))


@contextlib.contextmanager
def crowd_of(address: tuple[str, int], crowd: Crowd, seed: int) -> Iterator[None]:
    """Run a crowd of clients while other clients run."""
    names = [f"rude{seed}x{number}" for number in range(crowd.rude)]
    runs = [gevent.spawn(_be_rude, address, random.Random(name), name) for name in names]
    with contextlib.ExitStack() as idle:
        for _ in range(crowd.idle):
            with contextlib.suppress(OSError):  # the gateway has no room for another connection
                idle.enter_context(socket.create_connection(address, timeout=3.0))
        try:
            yield
        finally:
            gevent.killall(runs)


def lost(clients: list[RestingClient], reached: Callable[[], list[str]]) -> list[tuple[str, int, str]]:
    """Return requests that were read and left unanswered: id, number on the connection, and outcome.

    `reached` returns the ids of the requests that reached a node or handler.
    """
    reached_ids = set(reached())
    lost_requests = []
    for client in clients:
        for request in client.sent:
            if request.ending in (RequestEnding.DROPPED, RequestEnding.CUT) or (
                request.ending is RequestEnding.UNREAD and request.ident in reached_ids
            ):
                lost_requests.append((request.ident, request.number, request.ending.value))
    return lost_requests
