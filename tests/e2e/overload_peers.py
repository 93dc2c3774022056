"""Clients that use up a resource of the gateway: `python -m tests.e2e.overload_peers KIND HOST PORT SEED SECONDS`.

They run in a process of their own, for a bounded time, and reconnect when the gateway closes their connection.
"""

from __future__ import annotations

import contextlib
import itertools
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket

from tests.e2e.overload_rig import HALF_ANSWER_TARGET, HUGE_ANSWER_TARGET, LONG_ANSWER_TARGET, NODES
from tests.e2e.relayrig import headers, request_bytes

CONNECT_TIMEOUT_S = 3.0
RECONNECT_S = 0.05
STAY_S = 3.0
FIELDS = 1150
LAST_LINE_AFTER_S = 2.0
BODY_BYTES = 65_536
HALF_BODY_BYTES = 62_000
PIECE_BYTES = 3_400
PIECE_PAUSE_S = 0.1
SMALL_RECEIVE_BUFFER_BYTES = 4096
PIPELINED = 64
STATUS_LINE_BEGIN = b"HTTP/1.1 "
CHUNKS = 200
LEFT_AFTER_S = 0.05
REQUESTS_OF_LEAVER = 60


@dataclass
class Peer:
    """One client of a kind, with its random numbers and the time until which it runs."""

    address: tuple[str, int]
    random: random.Random
    until: float
    number: int

    def connect(self, receive_buffer: int | None = None) -> Any:
        sock = socket.socket()
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(self.address)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def ident(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    def fields(self, wait: str = "1500") -> dict[str, str]:
        shard = self.random.randrange(NODES)
        return headers(self.ident(), shard=shard, volume=f"{0xAAAA0000 + self.number:x}", wait=wait)

    def new_names(self, plan: str = "basic") -> dict[str, str]:
        """Return the fields of a request of a volume and an object that never came before."""
        shard = self.random.randrange(NODES)
        volume = f"{self.random.getrandbits(64):016x}"
        return headers(self.ident(), plan=plan, shard=shard, volume=volume, obj=f"{self.random.getrandbits(64):016x}")


def await_end(sock: Any, seconds: float) -> None:
    """Read until the gateway closes the connection, at most for some time."""
    ends_at = time.monotonic() + seconds
    while (left_s := ends_at - time.monotonic()) > 0:
        sock.settimeout(left_s)
        if not sock.recv(65536):
            return


def many_short_fields(peer: Peer) -> None:
    with peer.connect() as sock:
        head = request_bytes("/read", peer.fields())[:-2]
        sock.sendall(head + b"".join(b"a%d: b\r\n" % k for k in range(FIELDS)))
        gevent.sleep(LAST_LINE_AFTER_S)
        sock.sendall(b"\r\n")
        await_end(sock, STAY_S)


def _note_head(peer: Peer) -> bytes:
    fields = peer.fields() | {"Idempotency-Key": peer.ident(), "Content-Length": str(BODY_BYTES)}
    return request_bytes("/note", fields, "PUT")


def half_a_body(peer: Peer) -> None:
    with peer.connect() as sock:
        sock.sendall(_note_head(peer) + b"x" * HALF_BODY_BYTES)
        await_end(sock, STAY_S)


def slow_body(peer: Peer) -> None:
    with peer.connect() as sock:
        sock.sendall(_note_head(peer))
        left = BODY_BYTES
        while left > 0:
            piece = min(left, PIECE_BYTES)
            sock.sendall(b"x" * piece)
            left -= piece
            gevent.sleep(PIECE_PAUSE_S)
        await_end(sock, STAY_S)


def chunks_without_end(peer: Peer) -> None:
    """Send the chunks of a body that never ends, 4 KiB each."""
    with peer.connect() as sock:
        fields = peer.fields() | {"Idempotency-Key": peer.ident(), "Transfer-Encoding": "chunked"}
        sock.sendall(request_bytes("/note", fields, "PUT"))
        for _ in range(CHUNKS):
            sock.sendall(b"1000\r\n" + b"x" * 4096 + b"\r\n")
            gevent.sleep(PIECE_PAUSE_S / 10)
        await_end(sock, STAY_S)


def one_read_and_stay(peer: Peer) -> None:
    with peer.connect() as sock:
        sock.sendall(request_bytes("/read", peer.fields()))
        await_end(sock, STAY_S)


def silent(peer: Peer) -> None:
    with peer.connect() as sock:
        await_end(sock, STAY_S)


def unread_answers(peer: Peer) -> None:
    """Ask for long answers and read none of them."""
    with peer.connect(SMALL_RECEIVE_BUFFER_BYTES) as sock:
        for _ in range(4):
            sock.sendall(request_bytes(LONG_ANSWER_TARGET, peer.fields()))
        gevent.sleep(STAY_S)


def huge_answers(peer: Peer) -> None:
    """Ask for the longest answers, and read them slowly."""
    with peer.connect(SMALL_RECEIVE_BUFFER_BYTES) as sock:
        sock.sendall(request_bytes(HUGE_ANSWER_TARGET, peer.fields()))
        ends_at = time.monotonic() + STAY_S
        while time.monotonic() < ends_at and sock.recv(2048):
            gevent.sleep(PIECE_PAUSE_S)


def half_answers(peer: Peer) -> None:
    """Ask for answers whose nodes stop in the middle."""
    with peer.connect() as sock:
        sock.sendall(request_bytes(HALF_ANSWER_TARGET, peer.fields()))
        await_end(sock, STAY_S)


def _pipeline(peer: Peer, make: Callable[[], bytes]) -> None:
    """Send requests one behind the other at full speed, with at most `PIPELINED` unanswered."""
    with peer.connect() as sock:
        owed = 0
        while time.monotonic() < peer.until:
            sock.sendall(b"".join(make() for _ in range(PIPELINED - owed)))
            data = sock.recv(262_144)
            if not data:
                return
            owed = max(0, PIPELINED - data.count(STATUS_LINE_BEGIN))


def new_names(peer: Peer) -> None:
    _pipeline(peer, lambda: request_bytes("/read", peer.new_names()))


def new_names_beyond_their_limit(peer: Peer) -> None:
    """Send requests of ever new volumes of a plan whose rate limit refuses them at once."""
    _pipeline(peer, lambda: request_bytes("/read", peer.new_names(plan="tight")))


def new_names_one_by_one(peer: Peer) -> None:
    """Read objects of ever new volumes as a sound client would: the next one when the answer has come."""
    with peer.connect() as sock:
        while time.monotonic() < peer.until:
            sock.sendall(request_bytes("/read", peer.new_names()))
            if not sock.recv(65536):
                return


def no_time_left(peer: Peer) -> None:
    _pipeline(peer, lambda: request_bytes("/read", peer.fields(wait="1")))


def unsound(peer: Peer) -> None:
    _pipeline(peer, lambda: request_bytes("/nothing", peer.fields()))


def leaves_unread(peer: Peer) -> None:
    """Send many writes at once and leave."""
    with peer.connect() as sock:
        sock.sendall(
            b"".join(request_bytes("/once", peer.fields(), "PUT", b"w" * 64) for _ in range(REQUESTS_OF_LEAVER))
        )
        gevent.sleep(peer.random.uniform(0, LEFT_AFTER_S))


@dataclass(frozen=True)
class Kind:
    """What each client of a kind does again and again, and how many there are."""

    act: Callable[[Peer], None]
    clients: int


KINDS = {
    "many-short-fields": Kind(many_short_fields, 300),
    "half-a-body": Kind(half_a_body, 300),
    "slow-body": Kind(slow_body, 300),
    "chunks-without-end": Kind(chunks_without_end, 100),
    "one-read-and-stay": Kind(one_read_and_stay, 768),
    "silent": Kind(silent, 1100),
    "unread-answers": Kind(unread_answers, 200),
    "huge-answers": Kind(huge_answers, 60),
    "half-answers": Kind(half_answers, 60),
    "new-names": Kind(new_names, 1),
    "new-names-beyond-limit": Kind(new_names_beyond_their_limit, 1),
    "new-names-one-by-one": Kind(new_names_one_by_one, 4),
    "no-time-left": Kind(no_time_left, 1),
    "unsound": Kind(unsound, 1),
    "leaves-unread": Kind(leaves_unread, 6),
}


def _repeat(peer: Peer, act: Callable[[Peer], None]) -> None:
    gevent.sleep(peer.random.uniform(0, RECONNECT_S))
    while time.monotonic() < peer.until:
        with contextlib.suppress(OSError):
            act(peer)
        gevent.sleep(RECONNECT_S)


def run(kind: Kind, address: tuple[str, int], seed: int, seconds: float) -> None:
    """Run all clients of a kind."""
    until = time.monotonic() + seconds
    peers = [Peer(address, random.Random(seed * 10_000 + k), until, k) for k in range(kind.clients)]
    runs = [gevent.spawn(_repeat, peer, kind.act) for peer in peers]
    gevent.joinall(runs, timeout=seconds)
    gevent.killall(runs)


def main(arguments: list[str]) -> None:
    kinds = [KINDS[name] for name in arguments[0].split("+")]
    address = (arguments[1], int(arguments[2]))
    seed, seconds = int(arguments[3]), float(arguments[4])
    gevent.joinall(
        [
            gevent.spawn(run, kind, address, seed + offset, seconds)
            for offset, kind in zip(itertools.count(), kinds, strict=False)
        ]
    )


if __name__ == "__main__":
    main(sys.argv[1:])
