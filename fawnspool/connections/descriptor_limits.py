"""The division of a process's file descriptor limit between client connections and node connections."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.connections.descriptor_account import DescriptorShares

RESERVED_DESCRIPTORS = 32  # for the event loop, the log and the services, rather than clients or nodes
_SERVICE_DESCRIPTORS = 9  # of those: discovery's connections, twice while it moves, and the configuration file
MIN_CONNECTIONS = 4  # that each node, and all clients together, may always have
_NODE_DIVISOR = 3  # at least one third of the descriptors that are not reserved is left to nodes
_ONE_NODE_DIVISOR = 2  # of the nodes' share, so that a node that hangs leaves the rest to others
# The server is crowded once clients hold a fourth of the limit; they may hold a third, so others still have room.
_CROWDED_DIVISOR = 4
_MIN_CROWDED_FROM = 2


@dataclass(frozen=True)
class ConnectionLimits:
    """The greatest numbers of connections that may be open at the same time.

    Attributes
    ----------
    clients
        Connections of clients.
    per_node
        Connections to one node.
    crowded_from
        Number of open client connections from which each response ends its connection, see `is_crowded`.
    max_with_spares_per_node
        Number of connections to one node up to which spare ones are opened before a request needs them; all nodes
        together leave `MIN_CONNECTIONS` each to requests that arrive at the same time.
    shares
        What clients, all nodes together and services are sure to get.
    """

    clients: int
    per_node: int
    crowded_from: int
    max_with_spares_per_node: int
    shares: DescriptorShares


def divide_descriptors(descriptors: int, shards: int) -> ConnectionLimits:
    """Divide a limit of descriptors between clients and one node per shard."""
    available = max(2 * MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS)
    for_nodes = available // _NODE_DIVISOR
    spares_per_node = for_nodes // max(1, shards) - MIN_CONNECTIONS
    clients = max(MIN_CONNECTIONS, available - for_nodes)
    sure_clients = available // 2  # a client's request takes a connection to a node too
    sure_nodes = available - sure_clients
    return ConnectionLimits(
        clients=clients,
        per_node=max(MIN_CONNECTIONS, sure_nodes // _ONE_NODE_DIVISOR),
        crowded_from=max(_MIN_CROWDED_FROM, descriptors // _CROWDED_DIVISOR),
        max_with_spares_per_node=max(0, spares_per_node),
        shares=DescriptorShares(sure_clients, sure_nodes, _SERVICE_DESCRIPTORS),
    )


def is_crowded(open_connections: int, crowded_from: int | None) -> bool:
    """Return whether a connection must end with its response, to leave room for other clients.

    Otherwise clients that send one request and stay connected would occupy all connections; clients with further
    requests connect again.

    Parameters
    ----------
    open_connections
        Client connections open now, this one included.
    crowded_from
        Number of connections from which the server is crowded; None: never.
    """
    return crowded_from is not None and open_connections >= crowded_from
