"""The division of what a process may use: its memory, less what it holds at rest, and its file descriptors.

Every byte that a peer can make the gateway hold is taken from one of these shares and given back. The shares are
separate, so that peers of one kind can't use up what another kind needs, and add up to less than the memory:
`_OVERHEAD_FRACTION` covers what no holder is charged for, such as copies of a message while it is passed on,
fragmentation, connections to nodes and pooled greenlets.
"""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.connections.descriptor_limits import ConnectionLimits

AT_REST_BYTES = 22_000_000  # resident memory of a gateway without clients, where it can't be measured
CONNECTION_BYTES = 11_264  # a client's connection that waits: its greenlet, parser and socket
REQUEST_BYTES = 16_384  # a request from its first byte to its answer, with a small head, body and answer
SMALL_MESSAGE_BYTES = 4096  # a body or an answer up to this size is part of `REQUEST_BYTES`
USUAL_ANSWER_BYTES = 65_536  # longer answers leave a reserve to those up to this size
PARSED_HEAD_FACTOR = 3  # a head takes this many times its bytes once it is parsed
VOLUME_BYTES = 3000  # a volume's limiter, and its queue at one node
REQUEST_ID_BYTES = 320  # an id that is remembered
HOST_BYTES = 3200  # a listed node, with its queue and a connection's pool
DECODED_LIST_FACTOR = 24  # a list of hosts takes this many times its bytes while it is decoded

_OVERHEAD_FRACTION = 0.26
_CONNECTIONS_FRACTION = 0.30
_REQUESTS_FRACTION = 0.20
_ANSWERS_FRACTION = 0.12
_VOLUMES_FRACTION = 0.08
_REQUEST_IDS_FRACTION = 0.04
_MAX_LIST_FRACTION = 0.5  # the list is charged to what is held at rest, so the other shares shrink as it grows
_MIN_MEMORY_FRACTION = 0.05  # of all memory: what is divided at least, however much is held at rest
_MIN_CONNECTIONS = 4
_CROWDED_NUMERATOR, _CROWDED_DENOMINATOR = 3, 8  # of the connections; clients use half of them for requests at most


@dataclass(frozen=True)
class ResourceBudget:
    """What each kind of holder may use; bytes but for `connections`, `crowded_from`, `volumes` and `request_ids`.

    Attributes
    ----------
    connections
        Client connections that may be open at the same time.
    crowded_from
        Number of open client connections from which each response ends its connection.
    requests
        Requests from their first byte to their answer, with their heads and bodies.
    answers
        Nodes' answers over `SMALL_MESSAGE_BYTES`, until the client has them.
    volumes
        Number of volumes remembered.
    request_ids
        Number of request ids remembered after their requests.
    endpoint_list
        The endpoint list with its decoded form.
    """

    connections: int
    crowded_from: int
    requests: int
    answers: int
    volumes: int
    request_ids: int
    endpoint_list: int


def divide_resources(memory_bytes: int, at_rest_bytes: int, limits: ConnectionLimits) -> ResourceBudget:
    """Divide the process's resources.

    Parameters
    ----------
    memory_bytes
        Memory that the process may use in total.
    at_rest_bytes
        Memory that it holds without any client, the endpoint list included.
    limits
        The division of its descriptors.
    """
    divided = max(int(memory_bytes * _MIN_MEMORY_FRACTION), memory_bytes - at_rest_bytes)
    connections = min(limits.clients, max(_MIN_CONNECTIONS, int(divided * _CONNECTIONS_FRACTION) // CONNECTION_BYTES))
    return ResourceBudget(
        connections=connections,
        crowded_from=min(limits.crowded_from, max(2, connections * _CROWDED_NUMERATOR // _CROWDED_DENOMINATOR)),
        requests=int(divided * _REQUESTS_FRACTION),
        answers=int(divided * _ANSWERS_FRACTION),
        volumes=int(divided * _VOLUMES_FRACTION) // VOLUME_BYTES,
        request_ids=int(divided * _REQUEST_IDS_FRACTION) // REQUEST_ID_BYTES,
        endpoint_list=int(divided * _MAX_LIST_FRACTION),
    )
