"""The map service over HTTP: which shard holds an extent, told to whoever watches; see docs/map-wire.md."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import gevent
import lmdb
import msgspec
from gevent.queue import Empty, Queue

from fawnspool.extents.records import LOG_START, NO_GENERATION, NO_SHARD, ExtentWrite, LogPosition, MapDelta
from fawnspool.leases.fencing import StaleTokenError
from fawnspool.net.body_buffer import join_pieces
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.standins.map_database import MapDatabase
from fawnspool.standins.role_records import NO_GATEWAY, RoleToken
from fawnspool.standins.service import Service, send_line

KEEPALIVE_S = 1.0
MAX_DELTAS_QUEUED = 4096  # for one watch: one that is further behind ends and starts anew
_WATCH_PATH = "/watch"
_FENCED_PATHS = ("/flip", "/fence")
_NO_NODE = -1  # in recordings: the map service


class _Reply(NamedTuple):
    status: int
    value: Any


class MapServer(Service):
    """Answers requests from a database.

    Parameters
    ----------
    note
        Records each step of a role, done or rejected: kind and fields.

    Attributes
    ----------
    call_count
        Requests so far, watches among them.
    """

    def __init__(
        self,
        address: tuple[str, int],
        database: MapDatabase,
        note: Callable[..., None] = lambda kind, **fields: None,
    ) -> None:
        self.database = database
        self.call_count = 0
        self._note = note
        self._handlers: dict[str, Callable[[dict[str, Any]], _Reply]] = {
            "/fence": self._show_token,
            "/wish": self._set_operator_request,
            "/wishes": self._operator_requests,
            "/count": self._usage,
            "/find": self._find,
            "/put": self._record_write,
            "/drop": self._delete,
            "/flip": self._record_migration,
            "/list": self._list_keys,
        }
        super().__init__(address)

    def _drop_watchers(self) -> None:
        self.database.watchers.clear()

    def _handle(self, exchange: Exchange) -> None:
        self.call_count += 1
        path, _, query = exchange.head.target.decode("latin-1").partition("?")
        if path == _WATCH_PATH:
            self._watch(exchange, query)
            return
        try:
            fields = msgspec.msgpack.decode(join_pieces(exchange.body()))
            reply = self._check_token(path, fields) if path in _FENCED_PATHS else None
            if reply is None:
                reply = self._handlers.get(path, _answer_unknown)(fields)
        except (KeyError, TypeError, ValueError, msgspec.DecodeError, lmdb.BadValsizeError) as error:
            raise HttpError(400, f"the call does not read: {error}") from None
        exchange.respond(reply.status, [], msgspec.msgpack.encode(reply.value))

    def _check_token(self, path: str, fields: dict[str, Any]) -> _Reply | None:
        """Check the token of a role's step. Returns the reply to a stale one."""
        row = {
            "what": path[1:],
            "vol": fields.get("volume"),
            "key": fields.get("key"),
            "gen": fields.get("generation", NO_GENERATION),
            "cell": fields.get("cell", NO_SHARD),
        }
        if "duty" not in fields:
            self._note("effect", node=_NO_NODE, duty="", token=-1, who=0, head=NO_GATEWAY, **row)
            return None
        token = msgspec.convert(fields, type=RoleToken)
        row |= {"duty": token.role, "token": token.token, "who": token.incarnation, "head": token.gateway_id}
        try:
            self.database.roles.admit(token, str(fields.get("note", "")))
        except StaleTokenError as error:
            self._note("fenced", node=_NO_NODE, newest=error.newest, **row)
            return _Reply(403, {"fenced": error.role, "newest": error.newest})
        self._note("effect", node=_NO_NODE, **row)
        return None

    def _show_token(self, fields: dict[str, Any]) -> _Reply:
        return _Reply(200, {})

    def _set_operator_request(self, fields: dict[str, Any]) -> _Reply:
        self.database.roles.set_operator_request(fields["name"], fields["value"])
        return _Reply(200, {})

    def _operator_requests(self, fields: dict[str, Any]) -> _Reply:
        roles = self.database.roles
        return _Reply(200, {"wishes": roles.operator_requests(), "holders": roles.holders()})

    def _usage(self, fields: dict[str, Any]) -> _Reply:
        return _Reply(200, self.database.usage(fields["cell"]))

    def _find(self, fields: dict[str, Any]) -> _Reply:
        record = self.database.find_record(fields["volume"], fields["key"])
        return _Reply(200, record) if record is not None else _Reply(404, {})

    def _record_write(self, fields: dict[str, Any]) -> _Reply:
        write = ExtentWrite(
            fields["volume"],
            fields["key"],
            fields["cell"],
            fields["size"],
            fields["new"],
            fields.get("generation", NO_GENERATION),
        )
        record, accepted = self.database.record_write(write)
        return _Reply(200 if accepted else 409, record)

    def _delete(self, fields: dict[str, Any]) -> _Reply:
        return _Reply(200, self.database.delete(fields["volume"], fields["key"]))

    def _record_migration(self, fields: dict[str, Any]) -> _Reply:
        record = self.database.record_migration(fields["volume"], fields["key"], fields["cell"], fields["generation"])
        return _Reply(200, record) if record is not None else _Reply(404, {})

    def _list_keys(self, fields: dict[str, Any]) -> _Reply:
        keys, more = self.database.list_keys(fields["volume"], fields["prefix"], fields["after"], fields["limit"])
        return _Reply(200, {"keys": keys, "more": more})

    def _watch(self, exchange: Exchange, query: str) -> None:
        """Send all that the gateway lacks, then each change. Where it can't keep up, the watch ends."""
        database = self.database
        positions = parse_positions(parse_qs(query).get("told", [""])[0], database.partition_count)
        queue: Queue[MapDelta] = Queue()
        watcher = object()
        database.watchers[watcher] = queue.put
        try:
            exchange.begin(200, [], None)
            send_line(exchange, msgspec.json.encode({"shards": database.partition_count}))
            for partition in range(database.partition_count):
                for delta in database.deltas_since(partition, positions[partition]):
                    send_line(exchange, msgspec.json.encode(delta))
                gevent.sleep(0)  # a whole map must not hold up who asks for one extent
            while queue.qsize() <= MAX_DELTAS_QUEUED:
                try:
                    send_line(exchange, msgspec.json.encode(queue.get(timeout=KEEPALIVE_S)))
                except Empty:
                    send_line(exchange)
            exchange.finish(False)
        finally:
            database.watchers.pop(watcher, None)


def parse_positions(text: str, partition_count: int) -> list[LogPosition]:
    """Read the position that a gateway has reached in each partition's log, `epoch.version` with commas between.

    A gateway that knows another number of partitions has reached nothing. Raises HttpError (400).
    """
    parts = text.split(",") if text else []
    if len(parts) != partition_count:
        return [LOG_START] * partition_count
    positions = list[LogPosition]()
    for part in parts:
        epoch, _, version = part.partition(".")
        with suppress(ValueError):
            positions.append(LogPosition(int(epoch), int(version)))
    if len(positions) != partition_count or min(min(position) for position in positions) < 0:
        raise HttpError(400, "told: expected epoch.version for each shard")
    return positions


def _answer_unknown(fields: dict[str, Any]) -> _Reply:
    return _Reply(404, {})
