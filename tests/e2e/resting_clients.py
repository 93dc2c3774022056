"""Clients that keep their connections, for tests of a head that ends: who read what, and what became of it.

A client looks for an end of its connection before it writes, as a sound one does; its bytes arrive a little later, so
they may cross an end. Of a request without an answer it tells whether the head can have read it.
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

from tests.e2e.relayrig import headers, text

LATENCY_S = (0.0005, 0.004)  # between a client's look at its connection and the arrival of its bytes
RESET_WITHIN_S = 0.3  # the system's own reset follows at once where nobody has read the bytes


class Fate(Enum):
    """What became of a request that was written whole."""

    ANSWERED = "answered"
    UNREAD = "reset by the system: nobody read it"
    DROPPED = "the connection ended cleanly without an answer"
    CUT = "the connection ended in the middle of the answer"


@dataclass
class Sent:
    """One request: its number on its connection (0: the connection was new), and its fate."""

    ident: str
    number: int
    at: float
    fate: Fate = Fate.DROPPED
    status: int = 0
    after: float = 0.0


@dataclass
class RestingClient:
    """One client; `run` until `stop` is set or the head takes no connection any more."""

    name: str
    address: tuple[str, int]
    seed: int
    pause: float
    sent: list[Sent] = field(default_factory=list)
    refused: int = 0
    stop: bool = False

    def run(self) -> None:
        draw = random.Random(self.seed)
        sock: Any = None
        number = 0
        while not self.stop:
            if sock is None:
                sock, number = self._connect(), 0
                if sock is None:
                    gevent.sleep(0.005)
                    continue
            gevent.sleep(draw.uniform(0.0, 2 * self.pause) if number else 0.0)
            if _at_end(sock):
                sock.close()
                sock = None
                continue
            gevent.sleep(draw.uniform(*LATENCY_S))
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
        """One request; may the connection be used again?"""
        ident = f"{self.name}-{len(self.sent)}"
        raw = text("/read", headers(ident, shard=len(self.sent) % 2, volume=f"{self.seed + 1:x}", wait="1500"))
        one = Sent(ident, number, time.monotonic())
        try:
            sock.sendall(raw)
        except OSError:  # the end was there before the bytes
            one.fate = Fate.UNREAD
            self.sent.append(one)
            return False
        self.sent.append(one)
        got, error = b"", False
        try:
            while not _whole(got):
                part = sock.recv(65536)
                if not part:
                    break
                got += part
        except OSError:
            error = True
        one.after = time.monotonic() - one.at
        if _whole(got):
            one.fate, one.status = Fate.ANSWERED, int(got[9:12])
            return b"connection: close" not in got.lower()
        if got:
            one.fate = Fate.CUT
        elif error or _reset_follows(sock):
            one.fate = Fate.UNREAD
        return False


def _whole(got: bytes) -> bool:
    head, split, body = got.partition(b"\r\n\r\n")
    if not split:
        return False
    length = next(
        (int(row.split(b":")[1]) for row in head.split(b"\r\n") if row.lower().startswith(b"content-length")), 0
    )
    return len(body) >= length


def _at_end(sock: Any) -> bool:
    """Has the head closed it?"""
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
    """A clean end came before any answer: does the system say that the bytes found nobody?"""
    until = time.monotonic() + RESET_WITHIN_S
    while time.monotonic() < until:
        if sock.getsockopt(std.SOL_SOCKET, std.SO_ERROR) in (errno.EPIPE, errno.ECONNRESET):
            return True
        gevent.sleep(0.005)
    return False


@contextlib.contextmanager
def resting_clients(address: tuple[str, int], count: int, seed: int, pause: float = 0.03) -> Any:
    """So many clients at work; stopped and waited for at the end."""
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
    """Clients beside those that are judged: idle ones connect and stay, rude ones send no sound request and go."""

    idle: int = 0
    rude: int = 0


def _rude_bytes(draw: random.Random, ident: str) -> bytes:
    """What no sound client sends, or a request that its client does not wait for."""
    request = text("/read", headers(ident, volume=f"{draw.getrandbits(32):x}"))
    return draw.choice(
        (draw.randbytes(200), request[: draw.randrange(len(request))], request, request * 5, b"\r\n" * 99)
    )


def _be_rude(address: tuple[str, int], draw: random.Random, name: str) -> None:
    for number in itertools.count():
        gevent.sleep(draw.uniform(0.02, 0.1))
        with contextlib.suppress(OSError), socket.create_connection(address, timeout=3.0) as sock:
            sock.sendall(_rude_bytes(draw, f"{name}-{number}"))
            gevent.sleep(draw.uniform(0.0, 0.05))


@contextlib.contextmanager
def crowd_of(address: tuple[str, int], crowd: Crowd, seed: int) -> Iterator[None]:
    """A crowd while other clients are at work."""
    names = [f"rude{seed}x{number}" for number in range(crowd.rude)]
    runs = [gevent.spawn(_be_rude, address, random.Random(name), name) for name in names]
    with contextlib.ExitStack() as idle:
        for _ in range(crowd.idle):
            with contextlib.suppress(OSError):  # all places are taken
                idle.enter_context(socket.create_connection(address, timeout=3.0))
        try:
            yield
        finally:
            gevent.killall(runs)


def lost(clients: list[RestingClient], reached: Callable[[], list[str]]) -> list[tuple[str, int, str]]:
    """Requests that the head had read and left unanswered: id, number on the connection, what was seen."""
    seen = set(reached())
    found = []
    for client in clients:
        for one in client.sent:
            if one.fate in (Fate.DROPPED, Fate.CUT) or (one.fate is Fate.UNREAD and one.ident in seen):
                found.append((one.ident, one.number, one.fate.value))
    return found
