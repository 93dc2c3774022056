"""Bounds and timeouts of a server."""

from __future__ import annotations

from dataclasses import dataclass, field

from fawnspool.net.http import MessageLimits


@dataclass(slots=True)
class ServerOptions:
    """What a server holds its clients to; it may be changed while the server runs, but for `max_starts_per_iteration`.

    Attributes
    ----------
    limits
        Of a request's head.
    idle_timeout_s
        A connection without a request is closed after so long.
    first_request_timeout_s
        A new connection must begin its first request within so long.
    read_timeout_s
        For the next piece of a request, and for a response to be taken.
    max_connections
        Open at once.
    max_starts_per_iteration
        Requests begun in one iteration of the event loop; None: no bound.
    untrusted_clients
        Clients are held to more: a complete request must come within `read_timeout_s`, where `max_connections` are open
        the one that has waited longest without a request is evicted, and a client that sends too much behind a request
        being handled counts as gone.
    crowded_from
        With so many connections open a response ends its connection; None: never.
    """

    limits: MessageLimits = field(default_factory=MessageLimits)
    idle_timeout_s: float = 60.0
    first_request_timeout_s: float = 60.0
    read_timeout_s: float = 10.0
    max_connections: int = 4096
    max_starts_per_iteration: int | None = None
    untrusted_clients: bool = False
    crowded_from: int | None = None
