"""What a client's connection needs from its server."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from fawnspool.net.admission_throttle import AdmissionThrottle
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import RequestHead
from fawnspool.net.server_options import ServerOptions

if TYPE_CHECKING:
    from fawnspool.net.server_connection import ServerConnection


class ConnectionOwner(Protocol):
    """What a connection needs from its server.

    Attributes
    ----------
    handler
        Answers an exchange, once.
    idle, new
        Connections that may be evicted because they wait for a request: for another one (`idle`) or for their first
        (`new`). Each adds itself, with the time (monotonic seconds), while it waits, so the one that has waited longest
        is first.
    throttle
        Limits how many requests start per iteration of the event loop.
    draining
        Every response is the last of its connection.
    shutdown_deadline
        Latest end of all waits to read (monotonic seconds); infinite until the server drains.
    reading_ended
        No further bytes are read.
    """

    options: ServerOptions
    handler: Callable[[Exchange], None]
    idle: dict[ServerConnection, float]
    new: dict[ServerConnection, float]
    throttle: AdmissionThrottle | None
    draining: bool
    shutdown_deadline: float
    reading_ended: bool

    def is_last_response(self) -> bool:
        """Return whether a connection must end with its response."""

    def start_deadline(self, head: RequestHead, arrived_at: float) -> float:
        """Return the time until which a request may wait for the throttle (monotonic seconds)."""

    def note_error(self, error: Exception) -> None:
        """Report that a handler raised an exception."""

    def note_rejected(self, error: HttpError) -> None:
        """Report that a request was rejected."""

    def note_end(self, connection: ServerConnection) -> None:
        """Report that a connection has ended."""
