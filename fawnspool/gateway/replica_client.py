"""Client of the nodes' replica calls; docs/node-wire.md describes the protocol."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import urlencode

import msgspec

from fawnspool.extents.migration import Migration, ReplicaReport
from fawnspool.extents.object_replica import ReplicaCommand
from fawnspool.extents.records import ExtentKey
from fawnspool.extents.replicas import ReplicaRole
from fawnspool.gateway.fencing_reply import FENCED_STATUS, FencingReply
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError

CALL_ERRORS = (ConnectError, ConnectionLostError, HttpError, TimeoutError, msgspec.MsgspecError)
MAX_CONNECTIONS_PER_NODE = 8
IDLE_TIMEOUT_S = 10.0
_OK = 200
_REPLICA_PATH = "/-/extent"
_DATA_PATH = "/-/extent/data"
_FENCE_PATH = "/-/fence"
_NO_EXTENT = ExtentKey("", "")

NodeAddress = Callable[[int], tuple[str, int] | None]


@dataclass(frozen=True)
class StepGuard:
    """Condition of each step of a migration: a valid lease, or no condition if an operator runs it.

    Attributes
    ----------
    fencing_token
        Returns the token to send with each step, by its names on the wire; raises if the lease has ended.
    remaining_s
        Returns the maximum duration of a call in seconds.
    """

    fencing_token: Callable[[], dict[str, Any]] = dict
    remaining_s: Callable[[], float] = lambda: float("inf")


class _ReplicaReply(msgspec.Struct):
    """A node's report about a replica, by its names on the wire."""

    role: str
    generation: int
    position: int
    to: int
    fence: int
    kept: bool

    def report(self) -> ReplicaReport:
        return ReplicaReport(ReplicaRole(self.role), self.generation, self.position, self.to, self.fence, self.kept)


@dataclass(frozen=True)
class _NodeCall:
    method: bytes
    path: str
    key: ExtentKey
    body: bytes = b""
    arguments: Mapping[str, int] = field(default_factory=dict)
    has_effect: bool = False  # the call changes the node's state, so it carries the fencing token


@dataclass(frozen=True)
class _NodeReply:
    status: int
    body: bytes


class ReplicaClient:
    """Client for the replicas on nodes.

    Parameters
    ----------
    node_address
        Returns the address of the node that serves a shard, or None if there is none now.
    timeout_s
        Longest duration of a call.
    guard
        Condition of each step.
    """

    def __init__(self, node_address: NodeAddress, timeout_s: float, guard: StepGuard) -> None:
        self.node_address = node_address
        self.timeout_s = timeout_s
        self.guard = guard
        self._pools: dict[tuple[str, int], ConnectionPool] = {}

    def fetch_report(self, shard: int, key: ExtentKey) -> ReplicaReport | None:
        """Return a node's report about its replica, or None if the call fails."""
        try:
            reply = self._call(shard, _NodeCall(b"GET", _REPLICA_PATH, key))
            if reply.status != _OK:
                return None
            return msgspec.json.decode(reply.body, type=_ReplicaReply).report()
        except (*CALL_ERRORS, ValueError):
            return None

    def send_command(
        self, shard: int, key: ExtentKey, command: ReplicaCommand, generation: int, **arguments: int
    ) -> bool:
        """Send a command for a replica; return whether the node carried it out.

        Parameters
        ----------
        shard, key, command, generation
            The node's shard, the extent, the command and its generation.
        **arguments
            Further fields of the command, by their names on the wire.

        Raises
        ------
        StaleTokenError
            If the node has seen a newer token. Other errors that can occur are in `CALL_ERRORS`.
        """
        body = msgspec.json.encode({"step": command.value, "generation": generation, **arguments})
        reply = self._call(shard, _NodeCall(b"POST", _REPLICA_PATH, key, body, has_effect=True))
        return reply.status == _OK

    def copy_object(self, migration: Migration, key: ExtentKey) -> None:
        """Copy the object from a migration's source to its target; raises the same errors as `send_command`."""
        source = self._call(migration.source, _NodeCall(b"GET", _DATA_PATH, key))
        if source.status != _OK:
            return
        arguments = {"generation": migration.generation}
        self._call(migration.target, _NodeCall(b"PUT", _DATA_PATH, key, source.body, arguments, has_effect=True))

    def show_token(self, shard: int) -> bool:
        """Show the fencing token to a node; return whether the node accepted it. Raises StaleTokenError."""
        try:
            reply = self._call(shard, _NodeCall(b"POST", _FENCE_PATH, _NO_EXTENT, has_effect=True))
        except CALL_ERRORS:
            return False
        return reply.status == _OK

    def _call(self, shard: int, node_call: _NodeCall) -> _NodeReply:
        address = self.node_address(shard)
        if address is None:
            raise _no_node(shard)
        # An object that is copied may be as long as clients may write.
        options = PoolOptions(MAX_CONNECTIONS_PER_NODE, self.timeout_s, IDLE_TIMEOUT_S, max_body_bytes=None)
        pool = self._pools.setdefault(address, ConnectionPool(address, options))
        # The token is read after any wait, just before the call is sent.
        token = self.guard.fencing_token() if node_call.has_effect else {}
        key = node_call.key
        query = {"volume": key.volume, "key": key.extent, **node_call.arguments, **token}
        target = f"{node_call.path}?{urlencode(query)}".encode()
        deadline = time.monotonic() + min(self.timeout_s, self.guard.remaining_s())
        status, body = call(pool, node_call.method, target, deadline, node_call.body)
        if status.code == FENCED_STATUS:
            raise msgspec.json.decode(body, type=FencingReply).error()
        return _NodeReply(status.code, body)


def _no_node(shard: int) -> ConnectError:
    return ConnectError(f"cell {shard} has no node")
