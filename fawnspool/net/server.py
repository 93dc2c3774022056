"""A small HTTP/1.1 server on gevent: a greenlet a connection, blocking-style, every wait with a deadline.

It frames, bounds and times messages; what a request means is the handler's business. The handler gets an `Exchange`
and must answer it exactly once; an exchange left unanswered is answered with 500 and its connection closed.
"""

from __future__ import annotations

import errno
import math
import socket as std
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Any

import gevent
from gevent import socket
from gevent.hub import get_hub

from fawnspool.connections.descriptor_limits import is_crowded
from fawnspool.connections.eviction import WaitingKind, kind_to_evict
from fawnspool.connections.states import CloseCause
from fawnspool.net.admission_throttle import AdmissionThrottle
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import RequestHead
from fawnspool.net.lingering_close import LINGER_S
from fawnspool.net.listener import bind, has_queued, listen, refuse_connections
from fawnspool.net.server_connection import ServerConnection
from fawnspool.net.server_options import ServerOptions
from fawnspool.net.socket_stream import SocketStream

_EVICTION_CANDIDATES = 64  # waiting connections looked at, of either kind
_FULL_RETRY_S = 0.01  # a full server looks again so soon
_ACCEPTS_PER_ITERATION = 16  # connections accepted in one iteration of the loop, at most
_HANDSHAKE_S = 0.02  # handshakes under way as new connections are refused end within it
_KILL_TIMEOUT_S = 1.0  # what is killed has so long to end
_POLL_S = 0.002


@dataclass(slots=True)
class ServerCallbacks:
    """Optional callbacks of a server.

    Attributes
    ----------
    on_error
        An exception of a handler, or an accept that failed.
    on_rejected
        A request was rejected before its handler saw it, or by an HttpError of its handler.
    on_unanswered
        A connection ended that owed a response.
    start_deadline
        Until when a request may wait for its turn, by its head and its arrival (monotonic seconds).
    """

    on_error: Callable[[Exception], None] | None = None
    on_rejected: Callable[[HttpError], None] | None = None
    on_unanswered: Callable[[ServerConnection], None] | None = None
    start_deadline: Callable[[RequestHead, float], float] | None = None


class Server:
    """Listens, accepts, and runs a greenlet for each connection.

    Attributes
    ----------
    address
        Where it listens.
    connections
        Open connections with their greenlets.
    idle, new
        Those that wait for a request, see `ConnectionOwner`.
    accepted
        How many connections were accepted.
    closed_counts
        How many connections ended, by state and cause.
    draining
        Every response is its connection's last.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Callable[[Exchange], None],
        options: ServerOptions | None = None,
        callbacks: ServerCallbacks | None = None,
        listener: Any = None,
    ) -> None:
        """Bind to `address`, or take over `listener`, a socket that is bound already."""
        self.handler = handler
        self.options = options or ServerOptions()
        self.callbacks = callbacks or ServerCallbacks()
        self.connections: dict[ServerConnection, Any] = {}
        self.idle: dict[ServerConnection, None] = {}
        self.new: dict[ServerConnection, None] = {}
        self.accepted = 0
        self.closed_counts: Counter[tuple[str, str]] = Counter()
        self.draining = False
        self.closing_until = math.inf
        self.reading_ended = False
        self.throttle: AdmissionThrottle | None = None
        if self.options.max_starts_per_iteration is not None:
            self.throttle = AdmissionThrottle(self.options.max_starts_per_iteration)
        self.sock = listener if listener is not None else bind(address)
        self.address: tuple[str, int] = self.sock.getsockname()[:2]
        self._listener_closed = False
        self._acceptor: Any = None

    def start(self) -> None:
        """Listen and accept. Raises OSError where another listens there."""
        listen(self.sock)
        self._acceptor = gevent.spawn(self._accept)

    # ------------------------------------------------------------ accepting

    def _accept(self) -> None:
        accepts = 0
        while not self._listener_closed:
            accepts += 1
            if accepts % _ACCEPTS_PER_ITERATION == 0:
                gevent.sleep(0)  # a flood of connections must not hold up those that stand
            try:
                if self.options.untrusted_clients and self._is_full() and not self._make_room():
                    continue
                sock, _ = self.sock.accept()
                self._take(sock)
            except OSError as error:
                if self._listener_closed:
                    return
                self._accept_failed(error)

    def _is_full(self) -> bool:
        return len(self.connections) >= self.options.max_connections

    def _make_room(self) -> bool:
        """Wait for a connection in the backlog, then evict an idle one. False: none may be evicted yet.

        A connection that comes to a full server waits in the backlog until there is room: it is not closed unread.
        """
        socket.wait_read(self.sock.fileno())
        if self.evict_waiting():
            return True
        gevent.sleep(_FULL_RETRY_S)
        return False

    def _take(self, sock: Any) -> None:
        """A connection was accepted."""
        if self._is_full() and not self.options.untrusted_clients:
            sock.close()
            return
        plain = std.socket(fileno=sock.detach())
        plain.setsockopt(std.IPPROTO_TCP, std.TCP_NODELAY, 1)
        self.accepted += 1
        connection = ServerConnection(self, SocketStream(plain), self.accepted)
        self.connections[connection] = gevent.spawn(self._run, connection)

    def _accept_failed(self, error: OSError) -> None:
        """Wait and accept again: an accept error must never stop the server."""
        if error.errno in (errno.EMFILE, errno.ENFILE):
            if not self.options.untrusted_clients or not self.evict_waiting():
                gevent.sleep(_FULL_RETRY_S)  # out of descriptors: wait for one to be closed
        elif error.errno != errno.ECONNABORTED:
            self.note_error(error)
            gevent.sleep(_FULL_RETRY_S)

    def _run(self, connection: ServerConnection) -> None:
        try:
            connection.run()
        finally:
            self.connections.pop(connection, None)

    def evict_waiting(self) -> bool:
        """Close the connection that has waited longest for a request, of the kind that `kind_to_evict` says.

        One whose request has come and is only not read yet does not wait.

        Returns
        -------
        bool
            False where none waits.
        """
        kind = kind_to_evict(len(self.idle), len(self.new))
        if kind is None:
            return False
        first, then = (self.new, self.idle) if kind is WaitingKind.NEW else (self.idle, self.new)
        for connection in [*islice(first, _EVICTION_CANDIDATES), *islice(then, _EVICTION_CANDIDATES)]:
            if connection.stream.has_unread():
                continue
            self.idle.pop(connection, None)
            self.new.pop(connection, None)
            self.connections.pop(connection, None)
            connection.cause = CloseCause.EVICTION
            connection.stream.close()
            return True
        return False

    # ------------------------------------------------------------ what its connections ask and tell

    def is_last_response(self) -> bool:
        """Tell whether a connection must end with its response: its client is told, and sends nothing more on it."""
        return self.draining or is_crowded(len(self.connections), self.options.crowded_from)

    def start_deadline(self, head: RequestHead, arrived_at: float) -> float:
        """Return until when a request may wait for its turn (monotonic seconds)."""
        if self.callbacks.start_deadline is None:
            return arrived_at + self.options.read_timeout_s
        return self.callbacks.start_deadline(head, arrived_at)

    def note_error(self, error: Exception) -> None:
        """Tell of an error that is no client's."""
        if self.callbacks.on_error is not None:
            self.callbacks.on_error(error)

    def note_rejected(self, error: HttpError) -> None:
        """Tell of a request that was rejected."""
        if self.callbacks.on_rejected is not None:
            self.callbacks.on_rejected(error)

    def note_end(self, connection: ServerConnection) -> None:
        """Count a connection's end by state and cause; tell of a request that it leaves unanswered."""
        cause = connection.cause or CloseCause.INTERNAL_ERROR
        self.closed_counts[connection.state.value, cause.value] += 1
        exchange = connection.exchange
        if exchange is None or exchange.answered or cause in (CloseCause.PEER_CLOSED, CloseCause.RESET):
            return
        if self.callbacks.on_unanswered is not None:
            self.callbacks.on_unanswered(connection)

    def states(self) -> dict[str, int]:
        """Return how many connections are open, by state."""
        return dict(Counter(connection.state.value for connection in self.connections))

    # ------------------------------------------------------------ its end

    def stop_accepting(self, until: float) -> None:
        """Refuse new connections from now on, and close the listener.

        It is closed once the connections that the system has accepted are taken.

        Parameters
        ----------
        until
            Monotonic seconds at which it is closed at the latest.
        """
        if self._listener_closed:
            return
        refuse_connections(self.sock)
        gevent.sleep(_HANDSHAKE_S)
        while not self._listener_closed and has_queued(self.sock) and time.monotonic() < until:
            gevent.sleep(_POLL_S)
        self.close_listener()

    def close_listener(self) -> None:
        """Close the listener at once: the system resets what it has accepted and nobody has taken."""
        self._listener_closed = True
        if self._acceptor is not None:
            self._acceptor.kill(block=False)
        self.sock.close()

    def drain(self, until: float) -> None:
        """Let every response be its connection's last from now on, and end the connections that wait for a request.

        One whose request has come meanwhile is served.

        Parameters
        ----------
        until
            Monotonic seconds past which nothing is waited for.
        """
        self.draining = True
        self.closing_until = until
        self._expire_waits([*self.idle, *self.new])

    def end_reading(self) -> None:
        """Read nothing more; a client whose request has come in part alone is told that this server ends."""
        self.draining = True
        self.reading_ended = True
        self.closing_until = min(self.closing_until, time.monotonic())
        self._expire_waits(self.connections)

    def _expire_waits(self, connections: Iterable[ServerConnection]) -> None:
        """Their waits to read are over, if they wait still: what lies there is read, as at any deadline."""
        for connection in list(connections):
            get_hub().loop.run_callback(connection.stream.expire_wait)

    def stop(self, grace_s: float = 0.0) -> None:
        """Take no more; let what is being handled end within `grace_s` seconds, then close."""
        if grace_s:
            until = time.monotonic() + grace_s
            self.stop_accepting(until)
            self.drain(until)
            gevent.joinall(list(self.connections.values()), timeout=until - time.monotonic())
            self.end_reading()
            gevent.joinall(list(self.connections.values()), timeout=LINGER_S)
        self.close_listener()
        gevent.killall(list(self.connections.values()), timeout=_KILL_TIMEOUT_S)
        if self.throttle is not None:
            self.throttle.close()
            self.throttle = None

    def reset_all(self) -> None:
        """Break every open connection with a reset, as a dying process or a middlebox would."""
        for connection in list(self.connections):
            connection.stream.reset()
