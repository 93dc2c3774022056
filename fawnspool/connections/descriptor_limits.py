"""How a process's limit of file descriptors is divided between its clients' and its nodes' connections."""

from __future__ import annotations

from dataclasses import dataclass

RESERVED_DESCRIPTORS = 32  # neither a client's nor a node's: event loop, log, endpoint service, spare
MIN_CONNECTIONS = 4  # that a node, and all clients together, may always have
_NODE_DIVISOR = 3  # nodes get one third of what is not reserved
_CROWD_DIVISOR = 4  # clients may hold a third of the limit: at a fourth there is still room for others
_MIN_CROWD = 2


@dataclass(frozen=True)
class ConnectionLimits:
    """Most connections that may be open at once.

    Attributes
    ----------
    clients
        Connections of clients.
    per_node
        Connections to one node.
    crowded_from
        Open client connections from which a response ends its connection, see `is_crowded`.
    per_node_with_spares
        Connections to one node up to which others are opened before a request needs them.
    """

    clients: int
    per_node: int
    crowded_from: int
    per_node_with_spares: int


def divide_descriptors(descriptors: int, shards: int) -> ConnectionLimits:
    """Divide a limit of descriptors between clients and one node a shard.

    With few nodes, `per_node` may hold a node back before its concurrency limit does.
    """
    available = max(2 * MIN_CONNECTIONS, descriptors - RESERVED_DESCRIPTORS)
    for_nodes = available // _NODE_DIVISOR
    per_node = max(MIN_CONNECTIONS, for_nodes // max(1, shards))
    return ConnectionLimits(
        clients=max(MIN_CONNECTIONS, available - for_nodes),
        per_node=per_node,
        crowded_from=max(_MIN_CROWD, descriptors // _CROWD_DIVISOR),
        per_node_with_spares=per_node - MIN_CONNECTIONS,  # requests that come at once find places all the same
    )


def is_crowded(open_connections: int, crowded_from: int | None) -> bool:
    """Tell whether a connection must end with its response, to leave room for other clients.

    Clients that ask once and stay would otherwise take all places; those that would have come back connect again.

    Parameters
    ----------
    open_connections
        Client connections open now, this one included.
    crowded_from
        Number from which the server is crowded; None: never.
    """
    return crowded_from is not None and open_connections >= crowded_from
