"""A client of a list service: one watch and single polls, for any format of the list.

Each failure is posted as one `EndpointUpdate` event; the decision module chooses when to poll or watch again.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import gevent

from fawnspool.connections.descriptor_account import DescriptorUse
from fawnspool.connections.watch_timeouts import WatchTimeouts, reopens_at_once
from fawnspool.gateway.json_splitter import ObjectSplitter
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.net.exceptions import ConnectionClosedError
from fawnspool.net.http import format_request_head
from fawnspool.scheduling import interface
from fawnspool.telemetry.logs import EventLogger

DEFAULT_MAX_OBJECT_BYTES = 4 << 20
_MAX_CONNECTIONS = 4
_IDLE_TIMEOUT_S = 60.0
_MESSAGES_PER_TURN = 16  # objects and heartbeats applied before the watch waits for the event loop
_OK = 200

PostUpdate = Callable[[interface.EndpointUpdate], None]


class MalformedUpdateError(ValueError):
    """A message of the service is malformed or contradicts an earlier one."""


class UnexpectedStatusError(Exception):
    """The service answered with an error."""

    def __init__(self, status: int) -> None:
        super().__init__(f"the service answered with HTTP status {status}")
        self.status = status


class WatchEndedError(ConnectionClosedError):
    """The service closed a watch."""

    def __init__(self) -> None:
        super().__init__("the service closed the watch")


class WatchClient:
    """Polls and watches one service; subclasses parse its list.

    Parameters
    ----------
    post
        Called with each event for the decision module.
    descriptors
        Gives the connections to the service their descriptors; None: without a limit.

    Attributes
    ----------
    wait_until_handled
        Waits until the posted events are handled; other greenlets run meanwhile. A watch calls it between its messages,
        so that a service that sends without a pause does not fill the memory with events.
    """

    version = 0
    max_object_bytes = DEFAULT_MAX_OBJECT_BYTES

    def __init__(
        self,
        address: tuple[str, int],
        timeouts: WatchTimeouts,
        post: PostUpdate,
        log: EventLogger,
        descriptors: DescriptorGate | None = None,
    ) -> None:
        self.timeouts = timeouts
        self.post = post
        self.log = log
        self.wait_until_handled: Callable[[], None] = _let_others_run
        options = PoolOptions(
            _MAX_CONNECTIONS,
            timeouts.call_s,
            _IDLE_TIMEOUT_S,
            max_body_bytes=self.max_object_bytes,
            use=DescriptorUse.SERVICE,
        )
        self.pool = ConnectionPool(address, options, descriptors)
        self.last_message_at: float | None = None  # monotonic
        self.reachable = False
        self.watch_greenlet: gevent.Greenlet | None = None
        self.poll_greenlets: set[gevent.Greenlet] = set()

    # ------------------------------------------------------------ the format of the list

    def poll_target(self) -> bytes:
        """Return the request target for the whole list."""
        raise NotImplementedError

    def watch_target(self) -> bytes:
        """Return the request target for a watch of the changes after `version`."""
        raise NotImplementedError

    def apply(self, data: bytes) -> None:
        """Apply the answer to a poll, or an object of a watch.

        Raises
        ------
        MalformedUpdateError
            `data` is malformed; the watch ends.
        """
        raise NotImplementedError

    def on_heartbeat(self) -> None:
        """Handle a heartbeat: the watch is alive and has no changes."""

    # ------------------------------------------------------------ requests of the decision module

    def stop(self) -> None:
        """End the watch and all polls."""
        self.watch(False)
        self.cancel_polls()

    def cancel_polls(self) -> None:
        """Cancel the polls in progress; their answers are ignored."""
        gevent.killall(list(self.poll_greenlets), block=False)

    def watch(self, on: bool) -> None:
        """Open a watch if none is open, or close the open one."""
        if self.watch_greenlet is not None and (not on or self.watch_greenlet.dead):
            self.watch_greenlet.kill(block=False)
            self.watch_greenlet = None
        if on and self.watch_greenlet is None:
            self.watch_greenlet = gevent.spawn(self._watch)

    def fetch(self) -> None:
        """Request the whole list once."""
        greenlet = gevent.spawn(self._poll)
        self.poll_greenlets.add(greenlet)
        greenlet.link(self.poll_greenlets.discard)

    # ------------------------------------------------------------ the service

    def _poll(self) -> None:
        try:
            self._apply_poll()
        except Exception as error:  # the module must learn of any failure, or it would never poll again
            self._failed(error)

    def _apply_poll(self) -> None:
        version_before = self.version
        head, body = call(self.pool, b"GET", self.poll_target(), time.monotonic() + self.timeouts.call_s)
        if head.code != _OK:
            raise UnexpectedStatusError(head.code)
        if self.version != version_before:
            self.log.info("endpoint_poll_overtaken_by_watch")
            return
        self._on_message(body)

    def _watch(self) -> None:
        """Follow a watch; one that falls silent is reopened at once, so that missed changes arrive soon.

        After any other failure the decision module chooses when to reopen it.
        """
        this_greenlet = gevent.getcurrent()
        while True:
            pool = self.pool  # `self.pool` is replaced when the service moves to another address
            connection: ClientConnection | None = None
            try:
                connection = self._open_watch(pool)
                self._follow(connection)
            except Exception as error:
                if self.watch_greenlet is not this_greenlet:
                    return
                if reopens_at_once(connection is not None, isinstance(error, TimeoutError)):
                    self.log.warning("endpoint_watch_silent")
                    continue
                self.watch_greenlet = None
                self._failed(error)
                return
            finally:
                if connection is not None:
                    pool.discard(connection)

    def _open_watch(self, pool: ConnectionPool) -> ClientConnection:
        """Return a connection on which the answer to the watch has begun."""
        deadline = time.monotonic() + self.timeouts.call_s
        connection = pool.acquire(deadline)
        try:
            self._begin_watch(connection, deadline)
        except BaseException:
            pool.discard(connection)
            raise
        return connection

    def _begin_watch(self, connection: ClientConnection, deadline: float) -> None:
        connection.send(format_request_head(b"GET", self.watch_target(), b"list", []), deadline)
        head = connection.read_head(deadline)
        if head.code != _OK:
            raise UnexpectedStatusError(head.code)

    def _follow(self, connection: ClientConnection) -> None:
        """Apply the objects of a watch until it ends.

        Only complete input shows that the watch is alive: an empty line, or a whole object.
        """
        last_complete = time.monotonic()
        splitter = ObjectSplitter(self.max_object_bytes)
        messages = 0
        while True:
            data = connection.read_piece(last_complete + self.timeouts.silence_s)
            if data is None:
                raise WatchEndedError
            for message in splitter.feed(data):
                last_complete = time.monotonic()
                if message:
                    self._on_message(message)
                else:
                    self.last_message_at = last_complete
                    self.on_heartbeat()
                messages += 1
                if messages % _MESSAGES_PER_TURN == 0:
                    self.wait_until_handled()

    def _on_message(self, data: bytes) -> None:
        self.last_message_at = time.monotonic()
        self.reachable = True
        self.apply(data)

    def _failed(self, error: Exception) -> None:
        self.reachable = False
        self.log.warning("endpoint_service_unreachable", error=str(error) or type(error).__name__)
        self.post(interface.EndpointUpdate(interface.UpdateKind.POLL_FAILED, self.version, ()))


def _let_others_run() -> None:
    gevent.sleep(0)
