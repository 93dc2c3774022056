"""An account of the process's file descriptors, and the rule of which connection gives way while none is free.

Clients, nodes and services (discovery, the configuration) have a share each, which is theirs whenever they need it. The
shares add up to the process's limit, less what it needs itself. Clients and nodes use what the other leaves of its
share. While they leave nothing:

| needs one               | beyond its share | gives way, the first that there is                       |
| ----------------------- | ---------------- | -------------------------------------------------------- |
| a client's connection   | no               | an idle connection to a node, then a waiting client      |
| a client's connection   | yes              | a waiting client                                         |
| a connection to a node  | no               | a waiting client, then an idle connection to a node      |
| a connection to a node  | yes              | an idle connection to a node                             |
| a spare one to a node   |                  | nothing: it is not opened                                |
| a service               |                  | nothing: its share is enough                             |

Where the system itself has no descriptor left, the same gives way, and for a service the kind that is beyond its share,
then the other.

Of a kind, the connection that has been unused for longest gives way; one that carries a request never does. Whoever
finds nothing waits, and a use below its share goes ahead of one beyond its own.

The account does no I/O and reads no clock. Its work for an event does not depend on the number of nodes or connections.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Generic, TypeVar

from fawnspool.connections.eviction import MIN_WAIT_S

_UNLIMITED = 1 << 40

Connection = TypeVar("Connection", bound=Hashable)
Pool = TypeVar("Pool")


class DescriptorUse(Enum):
    """What a descriptor is used for."""

    CLIENT = "client"  # a client's connection
    NODE = "node"  # a connection to a node
    SERVICE = "service"  # a connection to discovery, or the configuration file


class Unused(Enum):
    """The kinds of connections that carry no request, and so may give way."""

    NODE = "an idle connection to a node"
    CLIENT = "a client's connection that waits for a request"


@dataclass(frozen=True)
class DescriptorShares:
    """The division of the descriptors that connections may use.

    Attributes
    ----------
    clients, nodes
        What each is sure to get.
    services
        What they may use at most.
    """

    clients: int
    nodes: int
    services: int


UNLIMITED_SHARES = DescriptorShares(_UNLIMITED, _UNLIMITED, _UNLIMITED)


class DescriptorAccount(Generic[Connection, Pool]):
    """The descriptors of one process.

    Attributes
    ----------
    clients, nodes, services
        Descriptors in use.
    idle_nodes
        Connections to nodes that carry no request, with their pools; the one that was used least recently first.
    client_waits
        Whether a client's connection waits to be accepted.
    waiting_nodes
        Number of requests that wait for a connection to a node.
    """

    def __init__(self, shares: DescriptorShares) -> None:
        self.shares = shares
        self.clients = 0
        self.nodes = 0
        self.services = 0
        self.idle_nodes: OrderedDict[Connection, Pool] = OrderedDict()
        self.client_waits = False
        self.waiting_nodes = 0

    # ------------------------------------------------------------ taking and giving back

    def free(self) -> int:
        """Return how many descriptors clients and nodes may still take together."""
        return self.shares.clients + self.shares.nodes - self.clients - self.nodes

    def may_take(self, use: DescriptorUse) -> bool:
        """Return whether a descriptor is free for this use."""
        if use is DescriptorUse.SERVICE:
            return self.services < self.shares.services
        return self.free() > 0 and not self._gives_precedence(use)

    def needs_room(self, use: DescriptorUse) -> bool:
        """Return whether this use gets a descriptor only if another connection gives way."""
        return use is not DescriptorUse.SERVICE and self.free() <= 0

    def take(self, use: DescriptorUse) -> bool:
        """Take a descriptor if one is free for this use."""
        if not self.may_take(use):
            return False
        self.add(use)
        return True

    def add(self, use: DescriptorUse) -> None:
        """Count a descriptor that is in use already."""
        self._count(use, 1)

    def give_back(self, use: DescriptorUse) -> None:
        """Give a descriptor back."""
        self._count(use, -1)

    def _count(self, use: DescriptorUse, change: int) -> None:
        if use is DescriptorUse.CLIENT:
            self.clients += change
        elif use is DescriptorUse.NODE:
            self.nodes += change
        else:
            self.services += change

    # ------------------------------------------------------------ idle connections to nodes

    def begin_idle(self, connection: Connection, pool: Pool) -> None:
        """Note that a connection to a node carries no request any more."""
        self.idle_nodes[connection] = pool

    def end_idle(self, connection: Connection) -> None:
        """Note that an idle connection is used again, or closes."""
        self.idle_nodes.pop(connection, None)

    def oldest_idle(self) -> Pool | None:
        """Return the pool whose idle connection was used least recently of all."""
        return next(iter(self.idle_nodes.values()), None)

    # ------------------------------------------------------------ the rule

    def gives_way(self, use: DescriptorUse) -> tuple[Unused, ...]:
        """Return which kinds of connections give way to a use that needs a descriptor, in this order."""
        if use is DescriptorUse.CLIENT:
            return (Unused.CLIENT,) if self._clients_at_share() else (Unused.NODE, Unused.CLIENT)
        if use is DescriptorUse.NODE:
            return (Unused.NODE,) if self._nodes_at_share() else (Unused.CLIENT, Unused.NODE)
        if self.nodes > self.shares.nodes:
            return (Unused.NODE, Unused.CLIENT)
        return (Unused.CLIENT, Unused.NODE)

    def may_open_spare(self) -> bool:
        """Return whether a connection to a node may be opened that no request needs yet."""
        return self.may_take(DescriptorUse.NODE) and not self.waiting_nodes and not self._nodes_at_share()

    def _gives_precedence(self, use: DescriptorUse) -> bool:
        """Return whether the other kind waits below its share, while this one is at its own or beyond."""
        if use is DescriptorUse.CLIENT:
            return bool(self.waiting_nodes) and self._clients_at_share() and not self._nodes_at_share()
        return self.client_waits and self._nodes_at_share() and not self._clients_at_share()

    def _clients_at_share(self) -> bool:
        return self.clients >= self.shares.clients

    def _nodes_at_share(self) -> bool:
        return self.nodes >= self.shares.nodes


def least_wait_s(use: DescriptorUse) -> float:
    """Return for how long a client's connection must have waited for a request before it gives way to this use."""
    return 0.0 if use is DescriptorUse.SERVICE else MIN_WAIT_S
