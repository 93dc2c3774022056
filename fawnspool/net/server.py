"""A small HTTP/1.1 server on gevent: one greenlet per connection, blocking calls, and a deadline for every wait.

The server does the framing of messages and enforces limits and timeouts; the handler interprets the requests. The
handler gets an `Exchange` and must answer it exactly once. If the handler returns without an answer, the server answers
with 500 and closes the connection.
"""

from __future__ import annotations

import errno
import math
import socket as std_socket
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Any

import gevent
from gevent import socket
from gevent.hub import get_hub

from fawnspool.connections.descriptor_account import DescriptorUse
from fawnspool.connections.descriptor_limits import is_crowded
from fawnspool.connections.eviction import MIN_WAIT_S, WaitingKind, kind_to_evict
from fawnspool.connections.states import CloseCause
from fawnspool.net.admission_throttle import AdmissionThrottle
from fawnspool.net.connection_pool import is_out_of_descriptors
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import RequestHead
from fawnspool.net.lingering_close import LINGER_S
from fawnspool.net.listener import bind, has_queued, listen, refuse_connections
from fawnspool.net.server_connection import ServerConnection
from fawnspool.net.server_options import ServerOptions
from fawnspool.net.socket_stream import SocketStream

_EVICTION_CANDIDATES = 64  # an eviction checks at most this many waiting connections of each kind
_SHED_AT_ONCE = 4  # requests refused for their descriptors, as often as a full server tries again
_FULL_RETRY_S = 0.01  # a full server waits this long before it tries again to accept
_ACCEPTS_PER_ITERATION = 16  # most connections accepted in one iteration of the loop
_HANDSHAKE_S = 0.02  # once new connections are refused, handshakes in progress complete within this time
_KILL_TIMEOUT_S = 1.0  # how long `stop` waits for killed greenlets to end
_POLL_S = 0.002


@dataclass(slots=True)
class ServerCallbacks:
    """Optional callbacks of a server.

    Attributes
    ----------
    on_error
        Called with an exception that the handler raised, or with the error of an accept that failed.
    on_rejected
        Called when a request was rejected before the handler got it, or by an HttpError of the handler.
    on_unanswered
        Called when a connection has ended without the response to a request that was read, unless the client
        closed or reset the connection.
    start_deadline
        Takes a request's head and arrival time, and returns the time until which the request may wait for the throttle
        (both in monotonic seconds).
    """

    on_error: Callable[[Exception], None] | None = None
    on_rejected: Callable[[HttpError], None] | None = None
    on_unanswered: Callable[[ServerConnection], None] | None = None
    start_deadline: Callable[[RequestHead, float], float] | None = None


class Server:
    """Listens, accepts connections, and runs a greenlet for each of them.

    Attributes
    ----------
    address
        Address on which the server listens.
    connections
        Open connections with their greenlets.
    idle, new
        Connections that wait for a request, see `ConnectionOwner`.
    accepted
        Number of connections accepted.
    closed_counts
        Number of ended connections, by their last state and the cause of their end.
    draining
        Every response is the last of its connection.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Callable[[Exchange], None],
        options: ServerOptions | None = None,
        callbacks: ServerCallbacks | None = None,
        listener: Any = None,
    ) -> None:
        """Bind to `address`, or use `listener`, a socket that is already bound."""
        self.handler = handler
        self.options = options or ServerOptions()
        self.callbacks = callbacks or ServerCallbacks()
        self.connections: dict[ServerConnection, Any] = {}
        self.idle: dict[ServerConnection, float] = {}
        self.new: dict[ServerConnection, float] = {}
        self.accepted = 0
        self.closed_counts: Counter[tuple[str, str]] = Counter()
        self.draining = False
        self.shutdown_deadline = math.inf
        self.reading_ended = False
        self.descriptors = self.options.descriptors
        if self.options.untrusted_clients:
            self.descriptors.evict_client = self.evict_waiting
        self.throttle: AdmissionThrottle | None = None
        if self.options.max_starts_per_iteration is not None:
            self.throttle = AdmissionThrottle(self.options.max_starts_per_iteration)
        self.sock = listener if listener is not None else bind(address)
        self.address: tuple[str, int] = self.sock.getsockname()[:2]
        self._listener_closed = False
        self._acceptor: Any = None

    def start(self) -> None:
        """Listen and accept connections. Raises OSError if another socket listens on the address."""
        listen(self.sock)
        self._acceptor = gevent.spawn(self._accept)

    # ------------------------------------------------------------ accepting

    def _accept(self) -> None:
        accepts = 0
        while not self._listener_closed:
            accepts += 1
            if accepts % _ACCEPTS_PER_ITERATION == 0:
                gevent.sleep(0)  # a flood of new connections must not delay the established ones
                continue  # the listener may have been closed meanwhile
            try:
                if self.options.untrusted_clients and not self._await_client():
                    continue
                sock, _ = self.sock.accept()
                self._start_connection(sock)
            except OSError as error:
                if self._listener_closed:
                    return
                self._accept_failed(error)

    def _is_full(self) -> bool:
        return len(self.connections) >= self.options.max_connections

    def _await_client(self) -> bool:
        """Wait until a connection is in the backlog; return whether it can be accepted.

        When the server is full, a new connection stays in the backlog until there is room, instead of being accepted
        and closed without its request being read.
        """
        if not has_queued(self.sock):
            socket.wait_read(self.sock.fileno())
        account = self.descriptors.account
        account.client_waits = not self._is_full()
        if self._has_room() or self._make_room():
            account.client_waits = False
            return True
        self._shed_oldest()
        gevent.sleep(_FULL_RETRY_S)
        return False

    def _has_room(self) -> bool:
        return not self._is_full() and self.descriptors.account.may_take(DescriptorUse.CLIENT)

    def _make_room(self) -> bool:
        """Let another connection give way to a new one; return whether the new one can be accepted."""
        if self._is_full():
            self.evict_waiting(MIN_WAIT_S)
        elif self.descriptors.account.needs_room(DescriptorUse.CLIENT):
            self.descriptors.make_room(DescriptorUse.CLIENT)
        return self._has_room()

    def _shed_oldest(self) -> None:
        """Refuse the requests that have been arriving for longest; their connections are closed soon after."""
        memory = self.options.request_memory
        for _ in range(_SHED_AT_ONCE):
            if memory is None or not memory.shed_oldest():
                return

    def _start_connection(self, sock: Any) -> None:
        """Start to serve an accepted connection, or close it if the server is full."""
        if self._is_full() and not self.options.untrusted_clients:
            sock.close()
            return
        stdlib_sock = std_socket.socket(fileno=sock.detach())
        stdlib_sock.setsockopt(std_socket.IPPROTO_TCP, std_socket.TCP_NODELAY, 1)
        self.accepted += 1
        self.descriptors.add_client()
        connection = ServerConnection(self, SocketStream(stdlib_sock), self.accepted)
        self.connections[connection] = gevent.spawn(self._run, connection)

    def _accept_failed(self, error: OSError) -> None:
        """Handle an accept error, which must never stop the server: free a descriptor or wait."""
        if is_out_of_descriptors(error):
            if not self.descriptors.make_room(DescriptorUse.CLIENT):
                self._shed_oldest()
                gevent.sleep(_FULL_RETRY_S)  # out of descriptors: wait for one to be closed
        elif error.errno != errno.ECONNABORTED:
            self.note_error(error)
            gevent.sleep(_FULL_RETRY_S)

    def _run(self, connection: ServerConnection) -> None:
        try:
            connection.run()
        finally:
            self._remove(connection)

    def _remove(self, connection: ServerConnection) -> None:
        """Remove a connection that has closed, unless an eviction has done so."""
        if self.connections.pop(connection, None) is not None:
            self.descriptors.give_back(DescriptorUse.CLIENT)

    def evict_waiting(self, min_wait_s: float = 0.0) -> bool:
        """Close the connection that has waited longest for a request, of the kind that `kind_to_evict` prefers.

        A connection whose request has arrived but is still unread is not evicted.

        Parameters
        ----------
        min_wait_s
            Shortest wait of a connection that is evicted.

        Returns
        -------
        bool
            False if no connection could be evicted.
        """
        kind = kind_to_evict(len(self.idle), len(self.new))
        if kind is None:
            return False
        preferred, others = (self.new, self.idle) if kind is WaitingKind.NEW else (self.idle, self.new)
        waiting_since = time.monotonic() - min_wait_s
        candidates = [*islice(preferred.items(), _EVICTION_CANDIDATES), *islice(others.items(), _EVICTION_CANDIDATES)]
        for connection, since in candidates:
            if since > waiting_since:
                return False  # the other kind does not make room for one whose connections are too young
            if connection.stream.has_unread():
                continue
            self.idle.pop(connection, None)
            self.new.pop(connection, None)
            connection.cause = CloseCause.EVICTION
            connection.stream.close()
            self._remove(connection)
            return True
        return False

    # ------------------------------------------------------------ called by the connections

    def is_last_response(self) -> bool:
        """Return whether a connection must end with its response, so that its client sends no further request on it."""
        return self.draining or is_crowded(len(self.connections), self.options.crowded_from)

    def start_deadline(self, head: RequestHead, arrived_at: float) -> float:
        """Return the time until which a request may wait for the throttle (monotonic seconds)."""
        if self.callbacks.start_deadline is None:
            return arrived_at + self.options.read_timeout_s
        return self.callbacks.start_deadline(head, arrived_at)

    def note_error(self, error: Exception) -> None:
        """Report an error that no client caused."""
        if self.callbacks.on_error is not None:
            self.callbacks.on_error(error)

    def note_rejected(self, error: HttpError) -> None:
        """Report a request that was rejected."""
        if self.callbacks.on_rejected is not None:
            self.callbacks.on_rejected(error)

    def note_end(self, connection: ServerConnection) -> None:
        """Count a connection's end by state and cause, and report a request that it leaves unanswered."""
        cause = connection.cause or CloseCause.INTERNAL_ERROR
        self.closed_counts[connection.state.value, cause.value] += 1
        exchange = connection.exchange
        if exchange is None or exchange.answered or cause in (CloseCause.PEER_CLOSED, CloseCause.RESET):
            return
        if self.callbacks.on_unanswered is not None:
            self.callbacks.on_unanswered(connection)

    def states(self) -> dict[str, int]:
        """Return the number of open connections by state."""
        return dict(Counter(connection.state.value for connection in self.connections))

    # ------------------------------------------------------------ shutdown

    def stop_accepting(self, until: float) -> None:
        """Refuse new connections, and close the listener once all connections in its queue have been accepted.

        Parameters
        ----------
        until
            Latest time at which the listener is closed (monotonic seconds).
        """
        if self._listener_closed:
            return
        refuse_connections(self.sock)
        gevent.sleep(_HANDSHAKE_S)
        while not self._listener_closed and has_queued(self.sock) and time.monotonic() < until:
            gevent.sleep(_POLL_S)
        self.close_listener()

    def close_listener(self) -> None:
        """Close the listener at once; the system resets the connections that are still in its queue."""
        self._listener_closed = True
        if self._acceptor is not None:
            self._acceptor.kill(block=False)
        self.sock.close()

    def drain(self, until: float) -> None:
        """Make every response the last of its connection, and close the connections that wait for a request.

        A connection whose next request arrives before it is closed is still served.

        Parameters
        ----------
        until
            Deadline of all waits (monotonic seconds).
        """
        self.draining = True
        self.shutdown_deadline = until
        self._expire_waits([*self.idle, *self.new])

    def end_reading(self) -> None:
        """Stop reading; a client whose request has arrived only in part gets an error response at once."""
        self.draining = True
        self.reading_ended = True
        self.shutdown_deadline = min(self.shutdown_deadline, time.monotonic())
        self._expire_waits(self.connections)

    def _expire_waits(self, connections: Iterable[ServerConnection]) -> None:
        """End the connections' waits to read; as at any deadline, bytes that have already arrived are still read."""
        for connection in list(connections):
            get_hub().loop.run_callback(connection.stream.expire_wait)

    def stop(self, grace_s: float = 0.0) -> None:
        """Stop the server; requests being handled have `grace_s` seconds to finish before all connections close."""
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
        """Reset every open connection, as a dying process or a middlebox would."""
        for connection in list(self.connections):
            connection.stream.reset()
