"""PUT, GET, HEAD, DELETE and LIST on /v1/volumes/{volume}/objects/{key}, and the gateway's own pages on /-/.

client -> `request_reader` (parse, limits) -> `Gateway.submit` -> event loop -> a node -> `answer_writer`
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
from fawnspool.net.exceptions import HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.http import MessageLimits
from fawnspool.net.listener import parse_address
from fawnspool.net.node_headers import MOVED_HEADER, object_target, parse_moved
from fawnspool.net.server import Server, ServerCallbacks
from fawnspool.net.server_options import ServerOptions

_NEW_OBJECT = ExtentLocation(shard=-1, size=0)  # a new object goes to any node
_OWN_PAGES = b"/-/"
_FORWARDED_HEADERS = (b"if-match", b"if-none-match", b"range")
_MOVED_STATUS = 421
_OPENING_STATUS = 425
_NOT_FOUND = 404
_WRITTEN_STATUSES = (200, 201)
_DELETED_STATUSES = (204, _NOT_FOUND)


@dataclass(frozen=True)
class _Operation:
    """What a client asked for, and what goes to the nodes for it."""

    exchange: Exchange
    volume: str
    key: str
    class_index: int
    method: bytes
    body: RequestBody
    query: bytes = b""


class ObjectApi:
    """Serves one gateway's clients."""

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
        """End the server; requests in hand have `grace` seconds."""
        self.server.stop(grace)

    def _on_error(self, error: Exception) -> None:
        self.gateway.log.error("api_raised", error=str(error), exc_info=error)

    def _on_rejected(self, error: HttpError) -> None:
        self.gateway.metrics.bad_request(error.status)

    # ------------------------------------------------------------ routing

    def handle(self, exchange: Exchange) -> None:
        """Answer one request, once."""
        try:
            self._route(exchange)
        except ApiError as error:
            self.gateway.metrics.bad_request(error.status)
            respond_error(exchange, error.status, error.code, error.reason)

    def _route(self, exchange: Exchange) -> None:
        head = exchange.head
        if head.target.startswith(_OWN_PAGES):
            self._own_page(exchange)
            return
        found = read_target(head.target)
        if found.volume not in self.gateway.volumes:
            raise NotFoundError("unknown-volume", f"there is no volume {found.volume!r} here")
        if found.raw_key is None:
            if head.method != b"GET":
                raise MethodNotAllowedError("bad-method", "a volume's objects are listed by GET")
            self._list(exchange, found.volume, found.query)
            return
        route = self.routes.get(head.method)
        if route is None:
            raise MethodNotAllowedError("bad-method", "an object takes GET, HEAD, PUT and DELETE")
        if len(self.gateway.pending) >= self.config.clients.open_requests:
            raise UnavailableError("too-many-open", "this head has as many requests open as it takes")
        route(exchange, found.volume, read_key(found.raw_key))

    def _own_page(self, exchange: Exchange) -> None:
        page = exchange.head.target
        if exchange.head.method != b"GET":
            raise MethodNotAllowedError("bad-method", "the head's own pages are read by GET")
        if page == b"/-/status":
            respond_json(exchange, 200, self.gateway.status())
        elif page == b"/-/metrics":
            exchange.respond(200, [PROMETHEUS_TEXT], self.gateway.exporter.page())
        elif page == b"/-/health":
            exchange.respond(200, [JSON], b'{"ok":true}')
        else:
            raise NotFoundError("no-such-place", "the head's own pages: /-/status, /-/metrics, /-/health")

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
        """Read at the location that the map has; where no object is there, ask the map service once and read again."""
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
            raise ApiError(413, "too-large", f"a body has {max_bytes} bytes at most")
        deadline = self.reader.deadline(exchange, class_index)
        location = self._find(volume, key, deadline)
        operation = _Operation(exchange, volume, key, class_index, b"PUT", self._read_body(exchange))
        generation = -1  # of the location that it was sent to last

        def submit(location: ExtentLocation) -> ClientRequest:
            nonlocal generation
            generation = self.gateway.extent_directory.generation_of(volume, key)
            return self._submit(operation, location.shard, head.length)

        pending = self._submit_following_moves(operation, location or _NEW_OBJECT, submit)
        if pending.served_status in _WRITTEN_STATUSES:
            self.gateway.metrics.bytes_in += exchange.body_bytes
            self._note_written(operation, pending, generation)
        self.answers.finish(pending)

    def _note_written(self, operation: _Operation, pending: ClientRequest, generation: int) -> None:
        """Note the new location at the map service; where that fails the request has failed."""
        exchange = operation.exchange
        assert pending.served_by_shard is not None
        is_new = exchange.head.headers.get(b"if-none-match", b"").strip() == b"*"
        write = ExtentWrite(
            operation.volume, operation.key, pending.served_by_shard, exchange.body_bytes, is_new, generation
        )
        try:
            is_noted = self.gateway.extent_directory.record_write(write, self._note_deadline(pending))
        except MapServiceError as error:
            self._log_location_error("written_location_not_noted", operation, error)
            pending.answer_kind = AnswerKind.FAILED
        else:
            if not is_noted:
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
            self._note_deleted(operation, pending)
        self.answers.finish(pending)

    def _note_deleted(self, operation: _Operation, pending: ClientRequest) -> None:
        try:
            self.gateway.extent_directory.delete(operation.volume, operation.key, self._note_deadline(pending))
        except MapServiceError as error:
            self._log_location_error("deleted_location_not_dropped", operation, error)

    def _log_location_error(self, event: str, operation: _Operation, error: MapServiceError) -> None:
        self.gateway.log.error(event, volume=operation.volume, key=operation.key, error=str(error))

    def _note_deadline(self, pending: ClientRequest) -> float:
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
        """Return where the object is, None: there is none; `fresh`: ask the map service, not the local map."""
        try:
            return self.gateway.extent_directory.find(volume, key, deadline, fresh)
        except MapServiceError as error:
            raise UnavailableError("no-catalogue", str(error)) from None

    def _read_body(self, exchange: Exchange) -> RequestBody:
        """Read a small body as a whole, so that it can be sent again and a slow client holds up nobody else."""
        head = exchange.head
        replayable = self.config.clients.replay_bytes
        if head.length is not None and head.length <= replayable:
            return RequestBody(b"".join(exchange.body()), head.length)
        pieces = exchange.body()
        start: list[bytes] = []
        size = 0
        if not head.expects_continue:
            for piece in pieces:
                start.append(piece)
                size += len(piece)
                if size > replayable:
                    break
            else:
                return RequestBody(b"".join(start), size)  # chunked, and small after all
        rest = _limited(pieces, size, self.config.clients.largest_body)
        return RequestBody(b"".join(start), head.length, rest)

    def _submit_following_moves(
        self, operation: _Operation, location: ExtentLocation, submit: Callable[[ExtentLocation], ClientRequest]
    ) -> ClientRequest:
        """Submit and wait, again where nodes say that the extent has moved or is about to open.

        Nothing was done at such a node. Each submission is a request of its own to the module, and the client gets
        one answer.

        Raises
        ------
        ApiError
            `extents.staleness` ends it.
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
        """Submit once; size: bytes to be read or written, None: not known."""
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
        """Wait for the final answer; raise what came of reading the client's body."""
        # The gateway's own answer comes after the module's and still before the client gives up.
        grace_s = min(self.config.clients.answer_margin / 2, (pending.deadline - pending.arrived_at) / 6)
        self.gateway.wait_for_answer(pending, grace_s, self.config.clients.request_timeout)
        if pending.body.error is not None:
            self.gateway.count_finished(pending, AnswerKind.CLIENT_LEFT.value)
            raise pending.body.error


def _moved_to(pending: ClientRequest) -> tuple[int, int] | None:
    """Return the shard and the generation that a node named in its answer; None: it named none."""
    if pending.answer is None or pending.answer.status != _MOVED_STATUS:
        return None
    return parse_moved(pending.answer.headers.get(MOVED_HEADER))


def _limited(pieces: Iterator[bytes], size: int, max_bytes: int) -> Iterator[bytes]:
    """Yield the pieces of a body of which `size` bytes were read before; raise HttpError where it is too long."""
    for piece in pieces:
        size += len(piece)
        if size > max_bytes:
            raise body_too_long(max_bytes)
        yield piece
