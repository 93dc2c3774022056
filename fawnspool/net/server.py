"""A small HTTP/1.1 server on gevent: a greenlet a connection, blocking-style, every wait with a deadline.

It frames, bounds and times messages; what a request means is the handler's business. The handler gets an
`Exchange` and must answer it exactly once; an exchange left unanswered is answered with 500 and closed.
"""

from __future__ import annotations

import errno
import math
import socket as std
import time
from collections.abc import Callable
from itertools import islice
from typing import Any

import gevent
from gevent import socket
from gevent.hub import get_hub

from fawnspool.connections.descriptor_limits import is_crowded
from fawnspool.connections.eviction import WaitingKind, kind_to_evict
from fawnspool.connections.states import CloseCause
from fawnspool.net.connection import LINGER_S, Connection, Exchange
from fawnspool.net.exceptions import HttpError
from fawnspool.net.http import Head, Limits
from fawnspool.net.listener import address, bind, has_queued, listen, refuse_connections
from fawnspool.net.socket_stream import Wire
from fawnspool.net.waits import AdmissionThrottle

__all__ = ["Connection", "Exchange", "Server", "address", "bind"]

LOOKS = 64  # waiting connections looked at for one that may make room
FULL_S = 0.01  # a full server looks again so soon
ACCEPTS = 16  # connections accepted in one turn of the loop, at most
SETTLE_S = 0.02  # handshakes under way as new connections are refused end within it
KILL_S = 1.0  # what is killed has so long to end
STEP_S = 0.002  # between two looks at what is awaited


class Server:
    """Listens, accepts, and runs a greenlet for each connection. turn: requests begun in one turn of the loop, at
    most; 0: no bound. due: until when a request may wait for its turn. silent_close: seconds in which a new
    connection must begin its first request (None: idle_close). evicts: a whole request must come within
    piece_timeout, where `most` connections are open the one that has waited longest without a request makes room,
    and a client that sends over READ_AHEAD bytes behind a request in hand counts as gone. crowd: with so many
    connections open an answer ends its own; None: never."""

    def __init__(
        self,
        address: tuple[str, int],
        handler: Callable[[Exchange], None],
        *,
        limits: Limits | None = None,
        idle_close: float = 60.0,
        piece_timeout: float = 10.0,
        most: int = 4096,
        on_error: Callable[[Exception], None] | None = None,
        on_bad: Callable[[HttpError], None] | None = None,
        listener: Any = None,
        turn: int = 0,
        due: Callable[[Head, float], float] | None = None,
        silent_close: float | None = None,
        evicts: bool = False,
        crowd: int | None = None,
    ) -> None:
        self.handler, self.limits = handler, limits or Limits()
        self.idle_close, self.piece_timeout, self.most = idle_close, piece_timeout, most
        self.on_error = on_error or (lambda bad: None)
        self.on_bad = on_bad or (lambda bad: None)
        self.open: dict[Connection, Any] = {}
        self.silent_close, self.evicts = idle_close if silent_close is None else silent_close, evicts
        self.crowd = crowd
        self.accepted = 0
        self.closings: dict[tuple[str, str], int] = {}  # connections that ended, by state and cause
        self.on_unanswered: Callable[[Connection], None] = lambda conn: None
        self.idle: dict[Connection, None] = {}  # between two requests, the longest first
        self.silent: dict[Connection, None] = {}  # before their first one
        self.stopping = False  # the listener is closed
        self.leaving = False  # every answer is its connection's last
        self.closing_until = math.inf  # nothing is waited for any longer (monotonic)
        self.final = False  # nothing more is read
        self.turnstile = AdmissionThrottle(turn) if turn else None
        self.due = due or (lambda head, came: came + piece_timeout)
        self.sock = listener if listener is not None else bind(address)
        self.address: tuple[str, int] = self.sock.getsockname()[:2]
        self.acceptor: Any = None

    def start(self) -> None:
        """Listen and accept. Raises OSError where another listens there."""
        listen(self.sock)
        self.acceptor = gevent.spawn(self._accept)

    def _accept(self) -> None:
        turns = 0
        while not self.stopping:
            turns += 1
            if turns % ACCEPTS == 0:
                gevent.sleep(0)  # a flood of connections must not hold up those that stand
            try:
                if self.evicts and len(self.open) >= self.most:
                    # Whoever comes now waits to be accepted until a place is free: it is not closed unheard.
                    socket.wait_read(self.sock.fileno())
                    if not self.evict_idle():
                        gevent.sleep(FULL_S)
                        continue
                self._take(*self.sock.accept())
            except OSError as bad:
                if self.stopping:
                    return
                self._accept_failed(bad)

    def _take(self, sock: Any, peer: Any) -> None:
        """A connection was accepted."""
        if len(self.open) >= self.most and not self.evicts:
            sock.close()
            return
        plain = std.socket(fileno=sock.detach())
        plain.setsockopt(std.IPPROTO_TCP, std.TCP_NODELAY, 1)
        self.accepted += 1
        conn = Connection(self, Wire(plain), peer, self.accepted)
        self.open[conn] = gevent.spawn(self._run, conn)

    def _accept_failed(self, bad: OSError) -> None:
        """Whatever it is, a server that takes nobody is worse than one that tries again."""
        if bad.errno in (errno.EMFILE, errno.ENFILE):
            if not self.evicts or not self.evict_idle():
                gevent.sleep(FULL_S)  # out of descriptors: wait for one to be closed
        elif bad.errno != errno.ECONNABORTED:
            self.on_error(bad)
            gevent.sleep(FULL_S)

    def evict_idle(self) -> bool:
        """Close the connection that has waited longest, of the kind that makes room; False: none waits. One whose
        request has come and is only not read yet does not wait."""
        kind = kind_to_evict(len(self.idle), len(self.silent))
        if kind is None:
            return False
        first, then = (self.silent, self.idle) if kind is WaitingKind.NEW else (self.idle, self.silent)
        for conn in [*islice(first, LOOKS), *islice(then, LOOKS)]:
            if conn.wire.unread():
                continue
            self.idle.pop(conn, None)
            self.silent.pop(conn, None)
            self.open.pop(conn, None)
            conn.cause = CloseCause.EVICTION
            conn.wire.close()
            return True
        return False

    def last_answer(self) -> bool:
        """Must a connection end with its answer? Its client is told, and sends nothing more on it."""
        return self.leaving or is_crowded(len(self.open), self.crowd)

    def stop_accepting(self, until: float) -> None:
        """Refuse new connections from now on, and close the listener once those that the system has accepted are
        taken; at `until` (monotonic) at the latest."""
        if self.stopping:
            return
        refuse_connections(self.sock)
        gevent.sleep(SETTLE_S)
        while not self.stopping and has_queued(self.sock) and time.monotonic() < until:
            gevent.sleep(STEP_S)
        self.close_listener()

    def closing_down(self, until: float) -> None:
        """From now on every answer is its connection's last; those that wait for a request end now, but for those
        whose request has come meanwhile: it is served. No wait lasts longer than `until` (monotonic)."""
        self.leaving, self.closing_until = True, until
        self._expire([*self.idle, *self.silent])

    def finish(self) -> None:
        """Nothing more is read; whose request has come in part alone is told that this server ends."""
        self.leaving = self.final = True
        self.closing_until = min(self.closing_until, time.monotonic())
        self._expire(list(self.open))

    def _expire(self, conns: list[Connection]) -> None:
        """Their waits to read are over, if they wait still: what lies there is read, as at any deadline."""
        for conn in conns:
            get_hub().loop.run_callback(conn.wire.expire_wait)

    def note_end(self, conn: Connection) -> None:
        """Count a connection's end by state and cause; tell of a request that it leaves unanswered."""
        cause = conn.cause or CloseCause.INTERNAL_ERROR
        key = (conn.state.value, cause.value)
        self.closings[key] = self.closings.get(key, 0) + 1
        exchange = conn.exchange
        if exchange is not None and not exchange.answered and cause not in (CloseCause.PEER_CLOSED, CloseCause.RESET):
            self.on_unanswered(conn)

    def states(self) -> dict[str, int]:
        """How many connections are open, by state."""
        counts: dict[str, int] = {}
        for conn in self.open:
            counts[conn.state.value] = counts.get(conn.state.value, 0) + 1
        return counts

    def _run(self, conn: Connection) -> None:
        try:
            conn.run()
        finally:
            self.open.pop(conn, None)

    def close_listener(self) -> None:
        self.stopping = True
        if self.acceptor is not None:
            self.acceptor.kill(block=False)
        self.sock.close()

    def stop(self, grace: float = 0.0) -> None:
        """Take no more; let what is in hand end within `grace` seconds, then close."""
        until = time.monotonic() + grace
        if grace:
            self.stop_accepting(until)
            self.closing_down(until)
            gevent.joinall(list(self.open.values()), timeout=until - time.monotonic())
            self.finish()
            gevent.joinall(list(self.open.values()), timeout=LINGER_S)
        self.close_listener()
        gevent.killall(list(self.open.values()), timeout=KILL_S)
        if self.turnstile is not None:
            self.turnstile.close()
            self.turnstile = None

    def reset_all(self) -> None:
        """Break every open connection with a reset, as a dying process or a middlebox would."""
        for conn in list(self.open):
            conn.wire.reset()
