"""PUT, GET, HEAD, DELETE and LIST on /v1/volumes/{volume}/objects/{key}.

    client -> this file (parse, bounds) -> Head.submit -> the module's loop -> a node -> one final answer here

Nothing malformed reaches the module. Headers that clients may send: `Fawn-Class` (a request class),
`Fawn-Patience-Ms` (how long it will wait), `Fawn-Repeat: 1` (its own second try), `Fawn-Op` (its name for the
operation, the same over its tries), `Idempotency-Key`, `Fawn-Run` (requests of one run share it).
"""

from __future__ import annotations

import json
import re
import time
from collections.abc import Callable
from itertools import count
from typing import Any
from urllib.parse import parse_qsl, unquote_to_bytes

import gevent
import xxhash

from fawnspool.config.head import HeadConfig
from fawnspool.extents.records import ExtentWrite
from fawnspool.gateway.gateway import Head
from fawnspool.gateway.map_client import MapServiceError
from fawnspool.gateway.request_state import Answer, Body, Kind, Pending
from fawnspool.net.exceptions import HttpError
from fawnspool.net.http import MessageLimits, RequestHead
from fawnspool.net.listener import parse_address
from fawnspool.net.node_headers import MOVED_HEADER, object_target, parse_moved
from fawnspool.net.server import Server
from fawnspool.net.server_connection import Exchange
from fawnspool.net.server_options import ServerCallbacks, ServerOptions

KEY_MOST = 300
_JSON = (b"Content-Type", b"application/json")
_BINARY = (b"Content-Type", b"application/octet-stream")
_TOKEN = re.compile(rb"[A-Za-z0-9._-]{1,64}")
_PATH = re.compile(r"/v1/volumes/([A-Za-z0-9._-]{1,64})/objects(?:/(.*))?", re.DOTALL)
_FORWARD = (b"if-match", b"if-none-match", b"range")


class ApiError(Exception):
    """A request that can't be taken: its answer's status and its reason, a word and a sentence."""

    def __init__(self, status: int, word: str, text: str) -> None:
        super().__init__(text)
        self.status, self.word, self.text = status, word, text


def read_key(raw: str) -> str:
    """The key of a path's last part. Raises ApiError for what is no plain key."""
    data = unquote_to_bytes(raw)
    try:
        key = data.decode("utf-8")
    except UnicodeDecodeError:
        raise ApiError(400, "bad-key", "the key is not UTF-8") from None
    if not key or len(data) > KEY_MOST:
        raise ApiError(400, "bad-key", f"a key has 1 to {KEY_MOST} bytes")
    if any(ord(c) < 32 or ord(c) == 127 for c in key):
        raise ApiError(400, "bad-key", "a key holds no control characters")
    if any(part in ("", ".", "..") for part in key.split("/")):
        raise ApiError(400, "bad-key", "a key's parts between slashes are not empty, '.' or '..'")
    return key


class ObjectApi:
    """Serves one head's clients."""

    def __init__(self, head: Head, listener: Any = None) -> None:
        self.head, self.config = head, head.config
        c: HeadConfig = head.config
        self.server = Server(
            parse_address(c.head.listen),
            self.handle,
            ServerOptions(
                MessageLimits(c.clients.header_bytes, c.clients.headers),
                idle_timeout_s=c.clients.idle_close,
                first_request_timeout_s=c.clients.idle_close,
                read_timeout_s=c.clients.request_timeout,
                max_connections=c.clients.connections,
                max_starts_per_turn=c.clients.turn or None,
            ),
            ServerCallbacks(on_error=self._error, on_rejected=self._bad, start_deadline=self._due),
            listener,
        )
        names = [k.name for k in c.class_]
        self.default_read, self.default_write = 0, min(1, len(names) - 1)
        self.routes: dict[bytes, Callable[[Exchange, str, str], None]] = {
            b"GET": self._get,
            b"HEAD": self._get,
            b"PUT": self._put,
            b"DELETE": self._delete,
        }

    def start(self) -> None:
        self.server.start()

    def stop(self, grace: float = 0.0) -> None:
        self.server.stop(grace)

    def _error(self, bad: Exception) -> None:
        self.head.log.error("the API raised", error=str(bad), exc_info=bad)

    def _bad(self, bad: HttpError) -> None:
        counts = self.head.metrics.bad_requests
        counts[bad.status] = counts.get(bad.status, 0) + 1

    # ------------------------------------------------------------ routing

    def handle(self, exchange: Exchange) -> None:
        """One request, answered once."""
        try:
            self._route(exchange)
        except ApiError as bad:
            self._bad(HttpError(bad.status, bad.text))
            self._say(exchange, bad.status, bad.word, bad.text)

    def _route(self, exchange: Exchange) -> None:
        head = exchange.head
        if head.target.startswith(b"/-/"):
            return self._own(exchange)
        try:
            text = head.target.decode("ascii")
        except UnicodeDecodeError:
            raise ApiError(400, "bad-target", "the target is not ASCII; escape it") from None
        path, _, query = text.partition("?")
        found = _PATH.fullmatch(path)
        if found is None:
            raise ApiError(
                404, "no-such-place", "places here: /v1/volumes/{volume}/objects/{key}, /-/status, /-/metrics"
            )
        volume = found[1]
        if volume not in self.head.volumes:
            raise ApiError(404, "unknown-volume", f"there is no volume {volume!r} here")
        if found[2] is None or found[2] == "":
            if head.method != b"GET":
                raise ApiError(405, "bad-method", "a volume's objects are listed by GET")
            return self._list(exchange, volume, query)
        route = self.routes.get(head.method)
        if route is None:
            raise ApiError(405, "bad-method", "an object takes GET, HEAD, PUT and DELETE")
        if len(self.head.pending) >= self.config.clients.open_requests:
            raise ApiError(503, "too-many-open", "this head has as many requests open as it takes")
        route(exchange, volume, read_key(found[2]))

    def _own(self, exchange: Exchange) -> None:
        place = exchange.head.target
        if exchange.head.method != b"GET":
            raise ApiError(405, "bad-method", "the head's own pages are read by GET")
        if place == b"/-/status":
            return exchange.respond(200, [_JSON], json.dumps(self.head.status()).encode())
        if place == b"/-/metrics":
            return exchange.respond(200, [(b"Content-Type", b"text/plain; version=0.0.4")], self.head.figures.page())
        if place == b"/-/health":
            return exchange.respond(200, [_JSON], b'{"ok":true}')
        raise ApiError(404, "no-such-place", "the head's own pages: /-/status, /-/metrics, /-/health")

    # ------------------------------------------------------------ reading what a client sent

    def _class(self, exchange: Exchange, default: int) -> int:
        raw = exchange.head.headers.get(b"fawn-class")
        if raw is None:
            return default
        found = self.head.classes.get(raw.decode("latin-1"))
        if found is None:
            raise ApiError(400, "unknown-class", f"Fawn-Class is one of: {', '.join(self.head.classes)}")
        return found

    def _due(self, head: RequestHead, came: float) -> float:
        """Until when a request is worth a turn: roughly, as nothing of it has been checked yet."""
        raw = head.headers.get(b"fawn-patience-ms", b"")
        most = int(raw) / 1000 if raw.isdigit() and len(raw) <= 9 else self.config.clients.request_timeout
        return came + most - min(self.config.clients.answer_margin, most / 4)

    def _check(self, exchange: Exchange, cls: int) -> float:
        """All headers read before anybody else is asked anything; when the answer must have left (monotonic)."""
        for name in (b"fawn-op", b"idempotency-key"):
            self._token(exchange, name)
        deadline = exchange.arrived_at + self._patience(exchange, cls)
        if deadline <= time.monotonic():
            raise ApiError(503, "refused", "its time was up when its turn came: nothing was done for it")
        return deadline

    def _patience(self, exchange: Exchange, cls: int) -> float:
        """Seconds from the request's coming within which its answer leaves."""
        most = self.config.class_[cls].deadline
        raw = exchange.head.headers.get(b"fawn-patience-ms")
        if raw is not None:
            if not raw.isdigit() or len(raw) > 9 or int(raw) == 0:
                raise ApiError(400, "bad-patience", "Fawn-Patience-Ms is a whole number of milliseconds above 0")
            most = min(most, int(raw) / 1000)
        return most - min(self.config.clients.answer_margin, most / 4)

    def _token(self, exchange: Exchange, name: bytes) -> str:
        raw = exchange.head.headers.get(name)
        if raw is None:
            return ""
        if not _TOKEN.fullmatch(raw):
            raise ApiError(400, "bad-header", f"{name.decode()} has 1 to 64 letters, digits, '.', '_' or '-'")
        return raw.decode()

    def _units(self, size: int | None) -> float:
        u = self.config.units
        if size is None:
            return float(u.largest)
        return float(max(1, min(u.largest, -(-size // u.bytes))))

    def _submit(
        self,
        exchange: Exchange,
        volume: str,
        key: str,
        cls: int,
        *,
        method: bytes,
        body: Body,
        cell: int,
        size: int | None,
        query: bytes = b"",
    ) -> Pending:
        h = exchange.head.headers
        op = self._token(exchange, b"fawn-op") or f"{self.config.head.number}-{self.head.ids + 1:x}"
        idem = self._token(exchange, b"idempotency-key") or op
        run = h.get(b"fawn-run")
        name = b"run:" + run if run is not None else f"{volume}/{key}".encode()
        return self.head.submit(
            volume=volume,
            cls=cls,
            method=method,
            target=object_target(volume, key) + query,
            forward=[(n, h[n]) for n in _FORWARD if n in h],
            body=body,
            exchange=exchange,
            patience=self._patience(exchange, cls),
            came=exchange.arrived_at,
            units=self._units(size),
            cell=cell,
            extent=xxhash.xxh3_64_intdigest(name) or 1,
            repeat=h.get(b"fawn-repeat") == b"1",
            op=op,
            idem=idem,
        )

    def _wait(self, pending: Pending) -> None:
        """Until the one answer is there. A client that leaves, or an answer that is overdue, ends it too."""
        head = self.head
        # The backstop comes after the module's own end and still before the client gives up.
        rest = min(self.config.clients.answer_margin / 2, (pending.deadline - pending.came) / 6)
        head.wait(pending, rest, self.config.clients.request_timeout)
        if pending.body.error is not None:
            head.finished(pending, "left")
            raise pending.body.error

    # ------------------------------------------------------------ objects

    def _find(self, volume: str, key: str, deadline: float, fresh: bool = False) -> tuple[int, int] | None:
        try:
            return self.head.places.find(volume, key, deadline, fresh)
        except MapServiceError as bad:
            raise ApiError(503, "no-catalogue", str(bad)) from None

    def _drain_body(self, exchange: Exchange) -> None:
        for _ in exchange.body():
            if exchange.body_bytes > 65536:
                raise ApiError(400, "body", "this request takes no body")

    def _get(self, exchange: Exchange, volume: str, key: str) -> None:
        cls = self._class(exchange, self.default_read)
        deadline = self._check(exchange, cls)
        self._drain_body(exchange)
        stat, went, began = exchange.head.method == b"HEAD", (-1, 0), 0.0
        for fresh in (False, True):
            at = time.monotonic()
            place = self._find(volume, key, deadline, fresh)
            if fresh and place != went:
                self.head.places.record_send(False, at - began)
            if place is None:
                raise ApiError(404, "no-such-object", f"volume {volume!r} holds no {key!r}")
            went, began = place, at
            pending = self._followed(
                exchange,
                volume,
                key,
                place,
                lambda p: self._submit(
                    exchange,
                    volume,
                    key,
                    cls,
                    method=b"GET",
                    body=Body(b"", 0),
                    cell=p[0],
                    size=0 if stat else self._asked(exchange, p[1]),
                    query=b"?stat" if stat else b"",
                ),
                cls,
            )
            gone = pending.kind is Kind.SERVED and pending.answer is not None and pending.answer.status == 404
            if not gone:
                self.head.places.record_send(True, 0.0)
            if not gone or fresh or time.monotonic() >= pending.deadline:
                return self._finish(pending)
            self.head.finished(pending, "moved")  # the place was old: ask the catalogue, once

    def _followed(
        self,
        exchange: Exchange,
        volume: str,
        key: str,
        place: tuple[int, int],
        submit: Callable[[tuple[int, int]], Pending],
        cls: int,
        once: bool = False,
    ) -> Pending:
        """Submit and wait; where nodes say that the extent has moved (nothing was done there), submit to where it went,
        or once more where it is about to open. Each is a request of its own to the module; the client gets one answer.
        Raises ApiError where `extents/staleness.py` ends it. once: its body can't be sent again."""
        once |= self.config.class_[cls].ordered
        for turn in count():
            pending = submit(place)
            self._wait(pending)
            answer = pending.answer
            if pending.kind is not Kind.SERVED or answer is None or answer.status not in (421, 425):
                return pending
            self.head.finished(pending, "moved")
            to = parse_moved(answer.headers.get(MOVED_HEADER)) if answer.status == 421 else None
            if to is not None:
                place = self.head.places.redirected(volume, key, *to)
            pause = self.head.places.staleness.redirect_pause_s(
                turn, to is not None, pending.deadline - time.monotonic(), once
            )
            if pause is None:
                break
            gevent.sleep(pause)
        raise ApiError(503, "moving", "the object is being moved and no node serves it yet: nothing was done")

    def _asked(self, exchange: Exchange, size: int) -> int:
        """Bytes that a request will read, roughly: for its units."""
        found = re.match(rb"bytes=(\d{1,15})-(\d{1,15})$", exchange.head.headers.get(b"range", b""))
        return max(0, min(size, int(found[2]) + 1) - int(found[1])) if found else size

    def _put(self, exchange: Exchange, volume: str, key: str) -> None:
        cls, head = self._class(exchange, self.default_write), exchange.head
        c = self.config.clients
        if head.length is not None and head.length > c.largest_body:
            raise ApiError(413, "too-large", f"a body has {c.largest_body} bytes at most")
        place = self._find(volume, key, self._check(exchange, cls))
        body, size = self._body(exchange), head.length
        sent_at = -1  # generation of the place that it was sent to

        def submit(p: tuple[int, int]) -> Pending:
            nonlocal sent_at
            sent_at = self.head.places.generation_of(volume, key)
            return self._submit(exchange, volume, key, cls, method=b"PUT", body=body, cell=p[0], size=size)

        pending = self._followed(exchange, volume, key, place or (-1, 0), submit, cls, once=body.rest is not None)
        answer = pending.answer
        if pending.kind is Kind.SERVED and answer is not None and answer.status in (200, 201):
            self.head.metrics.bytes_in += exchange.body_bytes
            new = head.headers.get(b"if-none-match", b"").strip() == b"*"
            try:
                until = pending.deadline + self.config.clients.answer_margin / 2
                write = ExtentWrite(volume, key, pending.cell, exchange.body_bytes, new, sent_at)
                if not self.head.places.record_write(write, until):
                    pending.answer = Answer(412, {})
            except MapServiceError as bad:
                self.head.log.error("written, but its place can't be noted", volume=volume, key=key, error=str(bad))
                pending.kind = Kind.FAILED
        self._finish(pending)

    def _body(self, exchange: Exchange) -> Body:
        """A small body is read whole, so that it can be sent again and a slow client holds up nobody else."""
        head, keep = exchange.head, self.config.clients.replay_bytes
        if head.length is not None and head.length <= keep:
            return Body(b"".join(exchange.body()), head.length)
        largest = self.config.clients.largest_body
        pieces = exchange.body()
        start, size = list[bytes](), 0
        if not head.expects_continue:
            for piece in pieces:
                start.append(piece)
                size += len(piece)
                if size > keep:
                    break
            else:
                return Body(b"".join(start), size)  # chunked, and small after all

        def rest() -> Any:
            seen = size
            for piece in pieces:
                seen += len(piece)
                if seen > largest:
                    raise HttpError(413, f"a body has {largest} bytes at most")
                yield piece

        return Body(b"".join(start), head.length, rest())

    def _delete(self, exchange: Exchange, volume: str, key: str) -> None:
        cls = self._class(exchange, self.default_write)
        deadline = self._check(exchange, cls)
        self._drain_body(exchange)
        place = self._find(volume, key, deadline, True)
        if place is None:
            raise ApiError(404, "no-such-object", f"volume {volume!r} holds no {key!r}")
        pending = self._followed(
            exchange,
            volume,
            key,
            place,
            lambda p: self._submit(exchange, volume, key, cls, method=b"DELETE", body=Body(b"", 0), cell=p[0], size=0),
            cls,
        )
        if pending.kind is Kind.SERVED and pending.answer is not None and pending.answer.status in (204, 404):
            try:
                self.head.places.delete(volume, key, pending.deadline + self.config.clients.answer_margin / 2)
            except MapServiceError as bad:
                self.head.log.error("deleted, but its place still stands", volume=volume, key=key, error=str(bad))
        self._finish(pending)

    def _list(self, exchange: Exchange, volume: str, query: str) -> None:
        self._drain_body(exchange)
        asked = dict(parse_qsl(query, keep_blank_values=True))
        if bad := set(asked) - {"prefix", "after", "limit"}:
            raise ApiError(400, "bad-query", f"unknown: {', '.join(sorted(bad))}; known: prefix, after, limit")
        limit = asked.get("limit", "100")
        if not limit.isdigit() or not 1 <= int(limit) <= 1000:
            raise ApiError(400, "bad-query", "limit is a number from 1 to 1000")
        try:
            keys, more = self.head.places.list_keys(volume, asked.get("prefix", ""), asked.get("after", ""), int(limit))
        except MapServiceError as bad:
            raise ApiError(503, "no-catalogue", str(bad)) from None
        out: dict[str, Any] = {"volume": volume, "objects": [{"key": k, "size": s} for k, s in keys]}
        if more:
            out["after"] = keys[-1][0]
        exchange.respond(200, [_JSON], json.dumps(out).encode())

    # ------------------------------------------------------------ the one answer

    def _finish(self, pending: Pending) -> None:
        exchange: Exchange = pending.exchange
        head, kind = self.head, pending.kind
        head.finished(pending, "failed" if kind is None else kind.value)
        if exchange.answered or kind is Kind.LEFT:
            if not exchange.answered:
                exchange.abandon()
            elif pending.answer is not None:
                head.metrics.bytes_out += max(0, pending.answer.streamed)
            return
        ident = [(b"Fawn-Request-Id", pending.op.encode()), *pending.said]
        if kind is Kind.SERVED and pending.answer is not None:
            self._served(pending, pending.answer, ident)
            return
        known = len(pending.attempts) == 0
        reason = head.reason(pending)
        if kind is Kind.REFUSED:
            wait = pending.retry_after
            more = (
                [(b"Retry-After", b"%d" % max(1, round(wait))), (b"Fawn-Retry-After-Ms", b"%d" % (wait * 1000))]
                if wait > 0
                else []
            )
            body = {"error": "refused", "reason": reason, "may_have_run": False, "request": pending.op}
            return exchange.respond(503, [_JSON, *ident, *more], json.dumps(body).encode())
        status = 504 if "no answer" in reason else 502
        body = {"error": "failed", "reason": reason, "may_have_run": not known, "request": pending.op}
        exchange.respond(status, [_JSON, *ident], json.dumps(body).encode())

    def _served(self, pending: Pending, answer: Answer, ident: list[tuple[bytes, bytes]]) -> None:
        exchange: Exchange = pending.exchange
        headers = list(ident)
        for name, text in ((b"etag", b"ETag"), (b"content-range", b"Content-Range")):
            if name in answer.headers:
                headers.append((text, answer.headers[name]))
        if answer.status >= 400:
            words = {404: "no-such-object", 412: "precondition", 416: "range"}
            body = json.dumps({"error": words.get(answer.status, "refused-by-node"), "request": pending.op}).encode()
            return exchange.respond(answer.status, [_JSON, *headers], body)
        if exchange.head.method == b"HEAD":
            headers += [_BINARY, (b"Accept-Ranges", b"bytes")]
            return exchange.respond_bare(answer.status, headers, int(answer.headers.get(b"fawn-size", b"0")))
        if exchange.head.method == b"GET":
            headers += [_BINARY, (b"Accept-Ranges", b"bytes")]
            self.head.metrics.bytes_out += len(answer.body)
        exchange.respond(answer.status, headers, answer.body)

    def _say(self, exchange: Exchange, status: int, word: str, text: str) -> None:
        if exchange.answered:
            return
        more = [(b"Retry-After", b"1")] if status == 503 else []
        exchange.respond(status, [_JSON, *more], json.dumps({"error": word, "reason": text}).encode())
