"""Limits and timeouts of a server."""

from __future__ import annotations

from dataclasses import dataclass, field

from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.net.http import MessageLimits
from fawnspool.net.memory_gate import MemoryGate
from fawnspool.net.request_memory import RequestMemory


@dataclass(slots=True)
class ServerOptions:
    """Limits that a server enforces; all but `max_starts_per_iteration` may be changed while the server runs.

    Attributes
    ----------
    limits
        Limits on a request's head.
    idle_timeout_s
        A connection without a request is closed after this time.
    first_request_timeout_s
        A new connection must begin its first request within this time.
    read_timeout_s
        Timeout for the next piece of a request, and for the client to read a response.
    max_connections
        Largest number of connections that may be open at once.
    max_starts_per_iteration
        Largest number of requests that start in one iteration of the event loop; None: no limit.
    untrusted_clients
        Enforce stricter rules: a whole request must arrive within `read_timeout_s`; if `max_connections` are open, or
        no descriptor is left, the connection that has waited longest without a request is evicted; and a client that
        sends too many bytes while its request is being handled is treated as disconnected.
    request_memory
        Memory that requests take from their first byte to their answer; None: it is not limited.
    retry_after_s
        Advice to clients whose requests are refused for want of memory; 0: none.
    crowded_from
        While at least this many connections are open, each response ends its connection; None: there is no
        such limit.
    descriptors
        Gives the clients' connections their descriptors.
    """

    limits: MessageLimits = field(default_factory=MessageLimits)
    idle_timeout_s: float = 60.0
    first_request_timeout_s: float = 60.0
    read_timeout_s: float = 10.0
    max_connections: int = 4096
    max_starts_per_iteration: int | None = None
    untrusted_clients: bool = False
    crowded_from: int | None = None
    request_memory: MemoryGate[RequestMemory] | None = None
    retry_after_s: float = 0.0
    descriptors: DescriptorGate = field(default_factory=DescriptorGate)
