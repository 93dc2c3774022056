"""Client of the map service over HTTP; docs/map-wire.md describes the protocol."""

from __future__ import annotations

import math
import time
from typing import Any, NamedTuple, Protocol

import msgspec

from fawnspool.extents.records import ExtentRecord, ExtentWrite
from fawnspool.gateway.fencing_reply import FENCED_STATUS, FencingReply
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.net.exceptions import ConnectError, ConnectionLostError, HttpError

MAX_CONNECTIONS = 256
IDLE_TIMEOUT_S = 30.0
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409

KeyPage = tuple[list[tuple[str, int]], bool]  # keys with their sizes in bytes, and whether there are more


class MapServiceError(Exception):
    """A call of the map service failed."""


class MapSource(Protocol):
    """Authoritative source of extent records: the map service over HTTP, or one in this process."""

    def find_record(self, volume: str, key: str) -> ExtentRecord | None:
        """Return the record of an extent, or None if there is none."""

    def record_write(self, write: ExtentWrite) -> tuple[ExtentRecord, bool]:
        """Record a write; return the record that is then valid, and whether the write was accepted."""

    def delete(self, volume: str, key: str) -> ExtentRecord | None:
        """Delete an extent; return its tombstone, or None if there was none."""

    def list_keys(self, volume: str, prefix: str, after: str, limit: int) -> KeyPage:
        """Return the keys of a volume in order."""


class LeaseHolder(msgspec.Struct):
    """The gateway that last showed a leased role's fencing token to the map service.

    Attributes
    ----------
    role, token
        The role, and the token that was shown.
    gateway_id
        Number of the gateway.
    shown_at
        Time at which it showed the token, in seconds since 1970 by the service's wall clock.
    note
        The holder's report about its work.
    """

    role: str = msgspec.field(name="duty")
    token: int
    gateway_id: int = msgspec.field(name="head")
    shown_at: float = msgspec.field(name="at")
    note: str = ""


class OperatorRequests(msgspec.Struct):
    """Operators' requests by name, and the holders of the leased roles."""

    requests: dict[str, str] = msgspec.field(name="wishes")
    holders: list[LeaseHolder]


class _KeyList(msgspec.Struct):
    keys: list[tuple[str, int]]
    more: bool


class _Reply(NamedTuple):
    status: int
    value: Any  # None if the extent does not exist


class MapClient:
    """Calls the map service, each call within a deadline.

    Parameters
    ----------
    address
        Host and port.
    timeout_s
        Longest duration of a call.
    pool
        Connections to use; by default the client creates its own pool.
    deadline
        Monotonic time by which all calls end.
    """

    def __init__(
        self, address: tuple[str, int], timeout_s: float, pool: ConnectionPool | None = None, deadline: float = math.inf
    ) -> None:
        self.pool = pool or ConnectionPool(address, PoolOptions(MAX_CONNECTIONS, timeout_s, IDLE_TIMEOUT_S))
        self.timeout_s = timeout_s
        self.deadline = deadline

    @property
    def address(self) -> tuple[str, int]:
        """Host and port."""
        return self.pool.address

    def with_deadline(self, deadline: float) -> MapClient:
        """Return a client on the same connections whose calls end by a monotonic time."""
        return MapClient(self.address, self.timeout_s, self.pool, deadline)

    def find_record(self, volume: str, key: str) -> ExtentRecord | None:
        """Return the record of an extent, or None if there is none.

        Raises
        ------
        MapServiceError
            If the call fails. Every other call of this class raises it too.
        """
        record: ExtentRecord | None = self._call(b"/find", ExtentRecord, volume=volume, key=key).value
        return record

    def record_write(self, write: ExtentWrite) -> tuple[ExtentRecord, bool]:
        """Record a write.

        Returns
        -------
        tuple[ExtentRecord, bool]
            The record that is then valid, and whether the write was accepted.
        """
        reply = self._call(
            b"/put",
            ExtentRecord,
            volume=write.volume,
            key=write.extent,
            cell=write.shard,
            size=write.size,
            new=write.is_new,
            generation=write.generation,
        )
        return reply.value, reply.status == _OK

    def delete(self, volume: str, key: str) -> ExtentRecord | None:
        """Delete an extent; return its tombstone, or None if there was none."""
        tombstone: ExtentRecord | None = self._call(b"/drop", ExtentRecord | None, volume=volume, key=key).value
        return tombstone

    def record_migration(self, volume: str, key: str, shard: int, generation: int, **token: Any) -> ExtentRecord | None:
        """Record that a migration moved an extent to a shard at a generation; return the record that is then valid.

        Parameters
        ----------
        volume, key, shard, generation
            The extent, its new shard and generation.
        **token
            Fencing token of a leased role, by its names on the wire.

        Raises
        ------
        StaleTokenError
            If the service has seen a newer token.
        """
        record: ExtentRecord | None = self._call(
            b"/flip", ExtentRecord, volume=volume, key=key, cell=shard, generation=generation, **token
        ).value
        return record

    def show_token(self, note: str, **token: Any) -> None:
        """Show a leased role's fencing token, with a note about its work.

        Raises
        ------
        StaleTokenError
            If the service has seen a newer token.
        """
        self._call(b"/fence", dict, note=note, **token)

    def set_operator_request(self, name: str, value: str | None) -> None:
        """Set an operator's request; None withdraws it."""
        self._call(b"/wish", dict, name=name, value=value)

    def operator_requests(self) -> OperatorRequests:
        """Return the operators' requests, and the last holder of each leased role."""
        requests: OperatorRequests = self._call(b"/wishes", OperatorRequests).value
        return requests

    def usage(self, shard: int) -> tuple[int, int]:
        """Return the number of extents on a shard, and their size in bytes."""
        usage: tuple[int, int] = self._call(b"/count", tuple[int, int], cell=shard).value
        return usage

    def list_keys(self, volume: str, prefix: str, after: str, limit: int) -> KeyPage:
        """Return the keys of a volume in order."""
        page: _KeyList = self._call(b"/list", _KeyList, volume=volume, prefix=prefix, after=after, limit=limit).value
        return page.keys, page.more

    def _call(self, target: bytes, result_type: Any, **fields: Any) -> _Reply:
        deadline = min(self.deadline, time.monotonic() + self.timeout_s)
        try:
            status, body = call(self.pool, b"POST", target, deadline, msgspec.msgpack.encode(fields))
            if status.code == FENCED_STATUS:
                raise msgspec.msgpack.decode(body, type=FencingReply).error()
            if status.code not in (_OK, _NOT_FOUND, _CONFLICT):
                raise _unexpected_status(status.code)
            if status.code == _NOT_FOUND:
                return _Reply(status.code, None)
            return _Reply(status.code, msgspec.msgpack.decode(body, type=result_type))
        except (ConnectError, ConnectionLostError, HttpError, TimeoutError, msgspec.MsgspecError) as error:
            raise _call_failed(error) from None


def _unexpected_status(status: int) -> MapServiceError:
    return MapServiceError(f"the map service answered with the unexpected status {status}")


def _call_failed(error: Exception) -> MapServiceError:
    return MapServiceError(f"the map service can't be reached: {error}")
