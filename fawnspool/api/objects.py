"""PUT, GET, HEAD, DELETE and LIST on /v1/volumes/{volume}/objects/{key}, and the gateway's own pages on /-/.

The path of a request:
client -> `request_reader` (parsing, limits) -> `Gateway.submit` -> event loop -> node -> `answer_writer`.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count
from typing import Any

import gevent
import xxhash

from fawnspool.api.answer_writer import JSON, PROMETHEUS_TEXT, AnswerWriter, respond_error, respond_json
from fawnspool.api.errors import ApiError, MethodNotAllowedError, NoSuchObjectError, NotFoundError, UnavailableError
from fawnspool.api.request_reader import (
    RequestReader,
    body_too_long,
    discard_body,
    read_key,
    read_list_query,
    read_requested_bytes,
    read_target,
    read_token,
)
from fawnspool.extents.records import ExtentWrite
from fawnspool.gateway.extent_directory import ExtentLocation
from fawnspool.gateway.gateway import Gateway, ObjectRequest
from fawnspool.gateway.map_client import MapServiceError
from fawnspool.gateway.request_state import AnswerKind, ClientRequest, NodeAnswer, RequestBody
from fawnspool.net.body_buffer import BodyBuffer, join_pieces
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import MessageLimits
from fawnspool.net.listener import parse_address
from fawnspool.net.node_headers import MOVED_HEADER, object_target, parse_moved
from fawnspool.net.server import Server, ServerCallbacks
from fawnspool.net.server_options import ServerOptions

_NEW_OBJECT = ExtentLocation(shard=-1, size=0)  # no shard: any node may store a new object
_GATEWAY_PAGES = b"/-/"
_FORWARDED_HEADERS = (b"if-match", b"if-none-match", b"range")
_MOVED_STATUS = 421
_OPENING_STATUS = 425
_NOT_FOUND = 404
_WRITTEN_STATUSES = (200, 201)
_DELETED_STATUSES = (204, _NOT_FOUND)


@dataclass(frozen=True)
class _Operation:
    """An operation that a client requested, and the parts of the request that is sent to a node for it."""

    exchange: Exchange
    volume: str
    key: str
    class_index: int
    method: bytes
    body: RequestBody
    query: bytes = b""


class ObjectApi:
    """The HTTP server for the clients of one gateway."""

    def __init__(self, gateway: Gateway, listener: Any = None) -> None:
        self.gateway = gateway
        self.config = gateway.config
        self.reader = RequestReader(self.config)
        self.answers = AnswerWriter(gateway)
        clients = self.config.clients
        self.server = Server(
            parse_address(self.config.head.listen),
            self.handle,
            ServerOptions(
                MessageLimits(clients.header_bytes, clients.headers),
                idle_timeout_s=clients.idle_close,
                first_request_timeout_s=clients.idle_close,
                read_timeout_s=clients.request_timeout,
                max_connections=clients.connections,
                max_starts_per_iteration=clients.turn or None,
                descriptors=gateway.pools.descriptors,
            ),
            ServerCallbacks(
                on_error=self._on_error, on_rejected=self._on_rejected, start_deadline=self.reader.start_deadline
            ),
            listener,
        )
        self.routes: dict[bytes, Callable[[Exchange, str, str], None]] = {
            b"GET": self._get,
            b"HEAD": self._get,
            b"PUT": self._put,
            b"DELETE": self._delete,
        }

    def start(self) -> None:
        """Accept connections."""
        self.server.start()

    def stop(self, grace: float = 0.0) -> None:
        """Stop the server; open requests have `grace` seconds to finish."""
        self.server.stop(grace)

    def _on_error(self, error: Exception) -> None:
        self.gateway.log.error("api_raised", error=str(error), exc_info=error)

    def _on_rejected(self, error: HttpError) -> None:
        self.gateway.metrics.bad_request(error.status)

    # ------------------------------------------------------------ routing

    def handle(self, exchange: Exchange) -> None:
        """Handle one request, which gets exactly one answer."""
        try:
            self._route(exchange)
        except ApiError as error:
            self.gateway.metrics.bad_request(error.status)
            respond_error(exchange, error.status, error.code, error.reason)

    def _route(self, exchange: Exchange) -> None:
        head = exchange.head
        if head.target.startswith(_GATEWAY_PAGES):
            self._gateway_page(exchange)
            return
        target = read_target(head.target)
        if target.volume not in self.gateway.volumes:
            raise NotFoundError("unknown-volume", f"this gateway has no volume {target.volume!r}")
        if target.raw_key is None:
            if head.method != b"GET":
                raise MethodNotAllowedError("bad-method", "listing the objects of a volume supports only GET")
            self._list(exchange, target.volume, target.query)
            return
        route = self.routes.get(head.method)
        if route is None:
            raise MethodNotAllowedError("bad-method", "an object supports GET, HEAD, PUT and DELETE")
        if len(self.gateway.pending) >= self.config.clients.open_requests:
            raise UnavailableError("too-many-open", "this gateway has reached its limit of open requests")
        route(exchange, target.volume, read_key(target.raw_key))

    def _gateway_page(self, exchange: Exchange) -> None:
        page = exchange.head.target
        if exchange.head.method != b"GET":
            raise MethodNotAllowedError("bad-method", "the gateway's own pages support only GET")
        if page == b"/-/status":
            respond_json(exchange, 200, self.gateway.status())
        elif page == b"/-/metrics":
            exchange.respond(200, [PROMETHEUS_TEXT], self.gateway.exporter.page())
        elif page == b"/-/health":
            exchange.respond(200, [JSON], b'{"ok":true}')
        else:
            raise NotFoundError("no-such-place", "the gateway's own pages are /-/status, /-/metrics and /-/health")

    # ------------------------------------------------------------ objects

    def _get(self, exchange: Exchange, volume: str, key: str) -> None:
        class_index = self.reader.class_index(exchange, self.reader.default_read_class)
        deadline = self.reader.deadline(exchange, class_index)
        discard_body(exchange)
        is_head = exchange.head.method == b"HEAD"
        operation = _Operation(
            exchange, volume, key, class_index, b"GET", RequestBody(b"", 0), b"?stat" if is_head else b""
        )

        def submit(location: ExtentLocation) -> ClientRequest:
            size = 0 if is_head else read_requested_bytes(exchange, location.size)
            return self._submit(operation, location.shard, size)

        pending = self._read_with_one_fresh_lookup(operation, deadline, submit)
        self.answers.finish(pending)

    def _read_with_one_fresh_lookup(
        self, operation: _Operation, deadline: float, submit: Callable[[ExtentLocation], ClientRequest]
    ) -> ClientRequest:
        """Read at the location in the local map; if no object is there, ask the map service and read once more."""
        directory = self.gateway.extent_directory
        read_location: ExtentLocation | None = _NEW_OBJECT
        read_at = 0.0
        for fresh in (False, True):
            now = time.monotonic()
            location = self._find(operation.volume, operation.key, deadline, fresh)
            if fresh and location != read_location:
                directory.record_send(False, now - read_at)
            if location is None:
                raise NoSuchObjectError(operation.volume, operation.key)
            read_location = location
            read_at = now
            pending = self._submit_following_moves(operation, location, submit)
            is_missing = pending.served_status == _NOT_FOUND
            if not is_missing:
                directory.record_send(True, 0.0)
            if not is_missing or fresh or time.monotonic() >= pending.deadline:
                break
            self.gateway.count_finished(pending, "moved")
        return pending

    def _put(self, exchange: Exchange, volume: str, key: str) -> None:
        class_index = self.reader.class_index(exchange, self.reader.default_write_class)
        head = exchange.head
        max_bytes = self.config.clients.largest_body
        if head.length is not None and head.length > max_bytes:
            raise ApiError(413, "too-large", f"the body exceeds the limit of {max_bytes} bytes")
        deadline = self.reader.deadline(exchange, class_index)
        location = self._find(volume, key, deadline)
        operation = _Operation(exchange, volume, key, class_index, b"PUT", self._read_body(exchange))
        generation = -1  # generation of the map's record when the request was last sent

        def submit(location: ExtentLocation) -> ClientRequest:
            nonlocal generation
            generation = self.gateway.extent_directory.generation_of(volume, key)
            return self._submit(operation, location.shard, head.length)

        pending = self._submit_following_moves(operation, location or _NEW_OBJECT, submit)
        if pending.served_status in _WRITTEN_STATUSES:
            self.gateway.metrics.bytes_in += exchange.body_bytes
            self._record_write(operation, pending, generation)
        self.answers.finish(pending)

    def _record_write(self, operation: _Operation, pending: ClientRequest, generation: int) -> None:
        """Record the new location at the map service.

        If that fails, the client gets an error; if the map service rejects the record, the client gets a 412.
        """
        exchange = operation.exchange
        assert pending.served_by_shard is not None
        is_new = exchange.head.headers.get(b"if-none-match", b"").strip() == b"*"
        write = ExtentWrite(
            operation.volume, operation.key, pending.served_by_shard, exchange.body_bytes, is_new, generation
        )
        try:
            is_recorded = self.gateway.extent_directory.record_write(write, self._map_update_deadline(pending))
        except MapServiceError as error:
            self._log_location_error("written_location_not_noted", operation, error)
            pending.answer_kind = AnswerKind.FAILED
        else:
            if not is_recorded:
                pending.answer = NodeAnswer(412, {})

    def _delete(self, exchange: Exchange, volume: str, key: str) -> None:
        class_index = self.reader.class_index(exchange, self.reader.default_write_class)
        deadline = self.reader.deadline(exchange, class_index)
        discard_body(exchange)
        operation = _Operation(exchange, volume, key, class_index, b"DELETE", RequestBody(b"", 0))
        location = self._find(volume, key, deadline, fresh=True)
        if location is None:
            raise NoSuchObjectError(volume, key)
        pending = self._submit_following_moves(
            operation, location, lambda location: self._submit(operation, location.shard, 0)
        )
        if pending.served_status in _DELETED_STATUSES:
            self._record_delete(operation, pending)
        self.answers.finish(pending)

    def _record_delete(self, operation: _Operation, pending: ClientRequest) -> None:
        try:
            self.gateway.extent_directory.delete(operation.volume, operation.key, self._map_update_deadline(pending))
        except MapServiceError as error:
            self._log_location_error("deleted_location_not_dropped", operation, error)

    def _log_location_error(self, event: str, operation: _Operation, error: MapServiceError) -> None:
        self.gateway.log.error(event, volume=operation.volume, key=operation.key, error=str(error))

    def _map_update_deadline(self, pending: ClientRequest) -> float:
        return pending.deadline + self.config.clients.answer_margin / 2

    def _list(self, exchange: Exchange, volume: str, query: str) -> None:
        discard_body(exchange)
        listing_query = read_list_query(query)
        try:
            keys, more = self.gateway.extent_directory.list_keys(
                volume, listing_query.prefix, listing_query.after, listing_query.limit
            )
        except MapServiceError as error:
            raise UnavailableError("no-catalogue", str(error)) from None
        listing: dict[str, Any] = {"volume": volume, "objects": [{"key": key, "size": size} for key, size in keys]}
        if more:
            last_key, _ = keys[-1]
            listing["after"] = last_key
        respond_json(exchange, 200, listing)

    # ------------------------------------------------------------ the steps of a request

    def _find(self, volume: str, key: str, deadline: float, fresh: bool = False) -> ExtentLocation | None:
        """Return the object's location, or None if there is no object.

        If `fresh` is true, ask the map service instead of the local map.
        """
        try:
            return self.gateway.extent_directory.find(volume, key, deadline, fresh)
        except MapServiceError as error:
            raise UnavailableError("no-catalogue", str(error)) from None

    def _read_body(self, exchange: Exchange) -> RequestBody:
        """Return the request's body, after reading it completely if it is small.

        A body that was read completely can be sent again in a retry, and a slow client does not delay others while it
        sends the body. The rest of a larger body is read from the client while it is sent to a node.
        """
        head = exchange.head
        max_replayed_bytes = self.config.clients.replay_bytes
        if head.length is not None and head.length <= max_replayed_bytes:
            return RequestBody(join_pieces(exchange.body()), head.length)
        pieces = exchange.body()
        start = BodyBuffer()
        if not head.expects_continue:
            for piece in pieces:
                start.append(piece)
                if len(start) > max_replayed_bytes:
                    break
            else:
                size = len(start)
                return RequestBody(start.take(), size)  # a chunked body that turned out to be small
        rest = _limited(pieces, len(start), self.config.clients.largest_body)
        return RequestBody(start.take(), head.length, rest)

    def _submit_following_moves(
        self, operation: _Operation, location: ExtentLocation, submit: Callable[[ExtentLocation], ClientRequest]
    ) -> ClientRequest:
        """Submit the request and wait for its answer; submit it again if the node does not serve the extent.

        A node reports this if the extent has moved, or if the node is about to open it; such a node has not run the
        request. Each submission is a separate request to the decision module, and the client gets one answer.

        Raises
        ------
        ApiError
            The limits in `extents.staleness` allow no further submission.
        """
        is_ordered = self.config.class_[operation.class_index].ordered
        only_once = is_ordered or operation.body.rest is not None
        for redirects in count():
            pending = submit(location)
            self._wait(pending)
            if pending.served_status not in (_MOVED_STATUS, _OPENING_STATUS):
                return pending
            self.gateway.count_finished(pending, "moved")
            moved_to = _moved_to(pending)
            if moved_to is not None:
                location = self.gateway.extent_directory.redirected(operation.volume, operation.key, *moved_to)
            left_s = pending.deadline - time.monotonic()
            pause_s = self.gateway.extent_directory.staleness.redirect_pause_s(
                redirects, moved_to is not None, left_s, only_once
            )
            if pause_s is None:
                break
            gevent.sleep(pause_s)
        raise UnavailableError("moving", "the object is being moved and no node serves it yet: nothing was done")

    def _submit(self, operation: _Operation, shard: int, size: int | None) -> ClientRequest:
        """Submit one request; `size` is the number of bytes to be read or written, None if it is not known."""
        exchange = operation.exchange
        headers = exchange.head.headers
        operation_id = read_token(exchange, b"fawn-op") or self._next_operation_id()
        run = headers.get(b"fawn-run")
        extent_name = f"{operation.volume}/{operation.key}".encode() if run is None else b"run:" + run
        return self.gateway.submit(
            ObjectRequest(
                volume=operation.volume,
                class_index=operation.class_index,
                method=operation.method,
                target=object_target(operation.volume, operation.key) + operation.query,
                forwarded_headers=[(name, headers[name]) for name in _FORWARDED_HEADERS if name in headers],
                body=operation.body,
                exchange=exchange,
                arrived_at=exchange.arrived_at,
                timeout_s=self.reader.timeout_s(exchange, operation.class_index),
                units=self.reader.units(size),
                shard=shard,
                extent=xxhash.xxh3_64_intdigest(extent_name) or 1,
                is_client_retry=headers.get(b"fawn-repeat") == b"1",
                operation_id=operation_id,
                idempotency_key=read_token(exchange, b"idempotency-key") or operation_id,
            )
        )

    def _next_operation_id(self) -> str:
        return f"{self.config.head.number}-{self.gateway.last_request_id + 1:x}"

    def _wait(self, pending: ClientRequest) -> None:
        """Wait for the final answer; if reading the client's body failed, raise that error."""
        # If the decision module gives no answer by the deadline, the gateway itself fails the request after this time,
        # which ends before the client gives up.
        grace_s = min(self.config.clients.answer_margin / 2, (pending.deadline - pending.arrived_at) / 6)
        self.gateway.wait_for_answer(pending, grace_s, self.config.clients.request_timeout)
        if pending.body.error is not None:
            self.gateway.count_finished(pending, AnswerKind.CLIENT_LEFT.value)
            raise pending.body.error


def _moved_to(pending: ClientRequest) -> tuple[int, int] | None:
    """Return the shard and the generation to which a node redirected the request; None: it named none."""
    if pending.answer is None or pending.answer.status != _MOVED_STATUS:
        return None
    return parse_moved(pending.answer.headers.get(MOVED_HEADER))


def _limited(pieces: Iterator[bytes], size: int, max_bytes: int) -> Iterator[bytes]:
    """Yield the remaining pieces of a body, after its first `size` bytes; raise HttpError if the body is too long."""
    for piece in pieces:
        size += len(piece)
        if size > max_bytes:
            raise body_too_long(max_bytes)
        yield piece
