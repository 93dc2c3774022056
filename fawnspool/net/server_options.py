"""What a server is told when it is made: its bounds and timeouts, and whom it calls."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from fawnspool.net.exceptions import HttpError
from fawnspool.net.http import MessageLimits, RequestHead

_Connection = TypeVar("_Connection")


@dataclass(slots=True)
class ServerOptions:
    """Bounds and timeouts of a server; the timeouts may be changed while it runs.

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
    max_starts_per_turn
        Requests begun in one turn of the event loop; None: no bound.
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
    max_starts_per_turn: int | None = None
    untrusted_clients: bool = False
    crowded_from: int | None = None


@dataclass(slots=True)
class ServerCallbacks(Generic[_Connection]):
    """Whom a server tells what; all may be left out.

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
    on_unanswered: Callable[[_Connection], None] | None = None
    start_deadline: Callable[[RequestHead, float], float] | None = None
