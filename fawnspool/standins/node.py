"""A storage node on sockets: `fawnspool.model.node` behind HTTP, a disk, and faults that are really caused.

It writes what passes its own sockets into a recording, frame by frame as it happens:
    {"k": "up", ...}       it has started (cold or warm), with its power
    {"k": "in", ...}       an attempt has wholly arrived
    {"k": "did", ...}      its effect was applied (a repeat that was dropped says so)
    {"k": "out", ...}      its answer was handed to the kernel (or swallowed by a fault)
    {"k": "fell", ...}     it was pushed over
"""

from __future__ import annotations

import contextlib
import json
import math
import os
import struct
import time
import traceback
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path
from random import Random
from typing import Any
from urllib.parse import parse_qs

import crc32c
import gevent
import msgspec
from gevent.event import AsyncResult

from fawnspool.extents.replicas import ReplicaResult, ReplicaRole
from fawnspool.model.node import NodeBehaviour, NodeTraits, Work
from fawnspool.net.exceptions import ClientDisconnectedError, HttpError, RangeNotSatisfiableError
from fawnspool.net.exchange import Exchange
from fawnspool.net.node_headers import (
    MOVED_HEADER,
    AttemptHeader,
    NodeReport,
    parse_attempt_header,
    parse_object_target,
)
from fawnspool.net.ranges import etag_matches, parse_range
from fawnspool.net.server import Server, ServerCallbacks
from fawnspool.net.server_options import ServerOptions
from fawnspool.records.frames import FrameWriter
from fawnspool.standins.clients import lag_meter
from fawnspool.standins.moving import Gate, Sides
from fawnspool.standins.store import Meta, Store

MOVED_MOST = 64 << 20  # bytes of an object that a move takes over: it is held whole on the way
_SEEN_MOST = 20_000  # keys of repeats remembered in memory, at most


@dataclass
class Faults:
    """What goes wrong at this node just now; shares are of its answers. Set by POST /-/faults."""

    slow: float = 1.0  # times slower
    taken: float = 0.0  # share of the machine taken by another program
    pause_ms: float = 0.0  # it stands still for so long
    pause_every_s: float = 1.0
    lose: float = 0.0  # the work is done, the answer never comes
    reset: float = 0.0  # the work is done, the connection is reset
    cut: float = 0.0  # half the answer, then the connection closes
    garble: float = 0.0  # an answer that is no HTTP
    wrong_length: float = 0.0  # a content-length that does not fit
    wrong_byte: float = 0.0  # one byte of the body is not what was stored
    hang_up: float = 0.0  # the connection closes on a request, unread and unanswered
    error: float = 0.0  # 500 after the work
    refuse: bool = False  # takes no connection; those it has are reset
    drain: bool = False  # answers `full` to all that is new


class Repeats:
    """Remembers idempotency keys of a group of nodes for a window: by files in a folder that they share."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)

    def claim(self, key: str, window: float) -> str | None:
        """None: the key is new (or its window is over) and now claimed; else the etag it left, "" if unfinished."""
        path = self.folder / key
        while True:
            try:
                fd = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY, 0o644)
                os.close(fd)
                return None
            except FileExistsError:
                try:
                    if time.time() - path.stat().st_mtime > window:
                        path.unlink(missing_ok=True)
                        continue
                    return path.read_text().partition("\n")[0]
                except FileNotFoundError:
                    continue

    def done(self, key: str, etag: str, volume: str = "", name: str = "") -> None:
        """volume, name: of the object that it changed; a move takes the object's keys along."""
        (self.folder / key).write_text(f"{etag}\n{volume}\n{name}" if volume else etag)

    def of(self, volume: str, name: str) -> list[tuple[str, str, float]]:
        """Keys that changed an object: (key, etag, age in seconds). Reads the whole folder, as moves are few."""
        out = list[tuple[str, str, float]]()
        for path in self.folder.iterdir():
            with contextlib.suppress(OSError):
                etag, _, rest = path.read_text().partition("\n")
                if rest == f"{volume}\n{name}":
                    out.append((path.name, etag, time.time() - path.stat().st_mtime))
        return out

    def take(self, key: str, etag: str, age: float, volume: str, name: str) -> None:
        """A key that another node knew; one that is known here stays."""
        path = self.folder / key
        if not path.exists():
            self.done(key, etag, volume, name)
            at = time.time() - age
            os.utime(path, (at, at))

    def release(self, key: str) -> None:
        (self.folder / key).unlink(missing_ok=True)


class NodeServer:
    """One node. `start` listens; `crash` ends it as a killed process would, for nodes inside another program."""

    def __init__(
        self,
        ident: int,
        address: tuple[str, int],
        folder: str | Path,
        traits: NodeTraits,
        *,
        cold: bool = False,
        seed: int = 1,
        load_fields: tuple[str, ...] = ("queue",),
        record: FrameWriter | None = None,
        groups: Path | None = None,
        zone: str = "zone-a",
        meter: Callable[[str], float | None] | None = None,
        served: Callable[[str, float], None] | None = None,
    ) -> None:
        self.ident, self.traits, self.load_fields = ident, traits, load_fields
        self.random = Random(seed * 1000 + ident)
        self.store = Store(Path(folder) / "objects")
        group_root = groups or Path(folder) / "repeats"
        self.repeats = {
            "cell": Repeats(group_root / f"cell-{ident}"),
            "zone": Repeats(group_root / f"zone-{zone}"),
            "all": Repeats(group_root / "all"),
        }
        self.sides = Sides(Path(folder), self.store)
        self.gate = Gate(Path(folder), self.note)
        self.record, self.meter, self.served = record, meter, served
        self.faults = Faults()
        now = time.monotonic()
        self.behaviour = NodeBehaviour(traits, self.random, now if cold else -math.inf)
        self.works: dict[int, AsyncResult[bool]] = {}
        self.number = 0
        self.told: OrderedDict[tuple[int, str], float] = OrderedDict()
        self.sums: dict[str, float] = {}
        self.wake = gevent.event.Event()
        self.greenlets: list[Any] = []
        self.folder = Path(folder)
        self.server = self._listen(address)
        self.note(
            "up",
            cold=cold,
            power=self.behaviour.traits.cores / max(traits.unit_time, 1e-9),
            cold_from=traits.cold_from,
            warm_after=traits.warm_after,
        )

    def _listen(self, address: tuple[str, int]) -> Server:
        return Server(
            address,
            self._handle,
            ServerOptions(
                idle_timeout_s=120.0, first_request_timeout_s=120.0, read_timeout_s=30.0, max_connections=20_000
            ),
            ServerCallbacks(on_error=lambda bad: traceback.print_exception(bad)),
        )

    @property
    def address(self) -> tuple[str, int]:
        return self.server.address

    def start(self) -> None:
        self.server.start()
        if self.traits.unit_time:
            self.greenlets.append(gevent.spawn(self._work))
        self.greenlets.append(gevent.spawn(self._pauses))
        if self.record is not None:
            self.greenlets.append(lag_meter(self.note, f"node-{self.ident}"))

    def stop(self) -> None:
        self.server.stop()
        gevent.killall(self.greenlets)
        self.sides.close()
        self.gate.close()

    def note(self, kind: str, **more: Any) -> None:
        if self.record is not None:
            self.record.put({"k": kind, "t": time.monotonic(), "node": self.ident, **more})

    # ------------------------------------------------------------------ faults

    def set_faults(self, given: dict[str, Any]) -> None:
        """Raises ValueError for an unknown fault."""
        known = {f.name for f in fields(Faults)}
        if bad := set(given) - known:
            raise ValueError(f"unknown fault {sorted(bad)}; known: {sorted(known)}")
        was = self.faults.refuse
        for name, value in given.items():
            setattr(self.faults, name, value)
        self.behaviour.pace.slow, self.behaviour.pace.taken = self.faults.slow, self.faults.taken
        if self.faults.refuse and not was:
            address = self.address
            self.server.close_listener()
            self.server.reset_all()
            self.server.address = address
        elif was and not self.faults.refuse:
            self.server = self._listen(self.address)
            self.server.start()

    def _pauses(self) -> None:
        while True:
            if self.faults.pause_ms:
                self.behaviour.pause(time.monotonic(), self.faults.pause_ms / 1000)
                self.wake.set()
                gevent.sleep(self.faults.pause_ms / 1000 + self.faults.pause_every_s * self.random.uniform(0.7, 1.3))
            else:
                gevent.sleep(0.05)

    def _hit(self, share: float) -> bool:
        return share > 0 and self.random.random() < share

    # ------------------------------------------------------------------ work

    def _work(self) -> None:
        """Ends works when the behaviour says so."""
        while True:
            now = time.monotonic()
            for work in self.behaviour.step(now):
                if (waiter := self.works.pop(work.ident, None)) is not None:
                    waiter.set(True)
            for work in self.behaviour.expired(now):
                if (waiter := self.works.pop(work.ident, None)) is not None:
                    waiter.set(False)
            self.wake.clear()
            due = min(self.behaviour.due(), now + 0.05)
            if due > now:
                self.wake.wait(due - now)

    def _serve_time(self, call: AttemptHeader, writes: bool, exchange: Exchange) -> str:
        """Wait out the work: "done", "full", "dropped" (its time was up), "left" (the sender hung up)."""
        if not self.traits.unit_time:
            return "done"
        now = time.monotonic()
        self.number += 1
        work = Work(self.number, call.units, writes, call.extent, call.attempt == 0, now + call.time_left_s)
        self.works[work.ident] = waiter = AsyncResult()
        taken = self.behaviour.arrive(now, work)
        self.wake.set()  # also where it is turned away: something may have ended until now
        if self.behaviour.fallen:
            self.fall()
        if not taken:
            self.works.pop(work.ident, None)
            return "full"
        while True:
            try:
                return "done" if waiter.get(timeout=0.02) else "dropped"
            except gevent.Timeout:
                if exchange.client_left() and self.behaviour.cancel(time.monotonic(), work.ident):
                    self.works.pop(work.ident, None)
                    self.wake.set()
                    return "left"

    def fall(self) -> None:
        """Pushed over: down for good, as the rule says."""
        self.note("fell")
        self.behaviour.fallen = False
        self.set_faults({"refuse": True})

    # ------------------------------------------------------------------ requests

    def _handle(self, exchange: Exchange) -> None:
        head = exchange.head
        if head.target.startswith(b"/-/"):
            return self._control(exchange)
        if self._hit(self.faults.hang_up):
            exchange.connection.stream.reset()
            raise ClientDisconnectedError
        try:
            volume, key, query = parse_object_target(head.target)
            call = parse_attempt_header(head.headers.get(b"fawn-call", b""))
        except ValueError as bad:
            raise HttpError(400, str(bad)) from None
        writes = head.method in (b"PUT", b"DELETE")
        draft = None
        if head.method == b"PUT":
            draft = self.store.draft()
            try:
                for piece in exchange.body():
                    draft.add(piece)
            except BaseException:
                draft.drop()  # the request never came whole: it never ran
                raise
        came = time.monotonic()
        self.note(
            "in",
            head=call.gateway_id,
            id=call.request_id,
            n=call.attempt,
            cls=call.class_index,
            units=call.units,
            op=call.operation,
            vol=volume,
            x=call.extent,
            e=call.idempotence,
            w=writes,
            m=head.method.decode(),
        )
        try:
            if self.faults.drain:
                return self._answer(exchange, call, volume, 503, [], b"", full=True)
            how = self._serve_time(call, writes, exchange)
            if how != "done":
                full = how == "full"
                return self._answer(exchange, call, volume, 503, [], b"", full=full, how=how)
            if self._hit(self.faults.error):
                return self._answer(exchange, call, volume, 500, [], b"")
            # Looked at here and not on arrival: from here to the effect nothing else runs, and no fence comes between.
            if (where := self.sides.answer(volume, key)) is not ReplicaResult.DONE:
                return self._elsewhere(exchange, call, volume, key, where, came)
            if head.method == b"PUT":
                assert draft is not None
                mine, draft = draft, None
                return self._put(exchange, call, volume, key, mine)
            if head.method == b"DELETE":
                return self._delete(exchange, call, volume, key)
            return self._get(exchange, call, volume, key, query)
        finally:
            if draft is not None:
                draft.drop()

    def _elsewhere(
        self, exchange: Exchange, call: AttemptHeader, volume: str, key: str, where: ReplicaResult, came: float
    ) -> None:
        """Nothing was done: another node serves the extent (421), or none does yet (425)."""
        side = self.sides.side(volume, key)
        moved = where is ReplicaResult.MOVED and side.successor >= 0
        self.note(
            "elsewhere", head=call.gateway_id, came=came, vol=volume, key=key, gen=side.generation if moved else -1
        )
        if moved:
            return self._answer(
                exchange,
                call,
                volume,
                421,
                [(MOVED_HEADER, b"%d;%d" % (side.successor, side.generation))],
                b"",
                how="elsewhere",
            )
        self._answer(exchange, call, volume, 425, [], b"", how="elsewhere")

    def _refused_by_tags(self, exchange: Exchange, etag: str | None) -> bool:
        h = exchange.head.headers
        match, none = h.get(b"if-match"), h.get(b"if-none-match")
        if match is not None and not etag_matches(match.decode("latin-1"), etag, False):
            return True
        return none is not None and etag_matches(none.decode("latin-1"), etag, True)

    def _put(self, exchange: Exchange, call: AttemptHeader, volume: str, key: str, draft: Any) -> None:
        had = self.store.find(volume, key)
        group = (
            self.repeats.get(call.deduplication_scope) if call.idempotence == "keyed" and call.idempotency_key else None
        )
        left = group.claim(call.idempotency_key, call.deduplication_window_s) if group else None
        if left == "":  # claimed, then killed before it was done, or still at work elsewhere
            if had is not None and had.idem == call.idempotency_key:
                left = had.etag
            elif call.deduplication_scope == "cell":
                left = None  # this node alone holds the group: the first one left nothing
            else:
                draft.drop()
                return self._answer(exchange, call, volume, 500, [], b"")
        if left is not None:  # a repeat: its effect is dropped, the answer is the first one's
            draft.drop()
            self.note(
                "did",
                head=call.gateway_id,
                id=call.request_id,
                n=call.attempt,
                op=call.operation,
                e=call.idempotence,
                dropped=True,
            )
            return self._answer(exchange, call, volume, 200, [(b"ETag", f'"{left}"'.encode())], b"")
        if self._refused_by_tags(exchange, had.etag if had else None):
            draft.drop()
            if group:
                group.release(call.idempotency_key)
            return self._answer(exchange, call, volume, 412, [], b"")
        self.sides.writes(volume, key)
        meta = self.store.commit(
            draft,
            volume,
            key,
            call.idempotency_key if group else "",
            generation=self.sides.side(volume, key).generation,
        )
        if group:
            group.done(call.idempotency_key, meta.etag, volume, key)
        self.note(
            "did",
            head=call.gateway_id,
            id=call.request_id,
            n=call.attempt,
            op=call.operation,
            e=call.idempotence,
            dropped=False,
        )
        self._answer(exchange, call, volume, 200 if had else 201, [(b"ETag", f'"{meta.etag}"'.encode())], b"")

    def _delete(self, exchange: Exchange, call: AttemptHeader, volume: str, key: str) -> None:
        had = self.store.find(volume, key)
        if self._refused_by_tags(exchange, had.etag if had else None):
            return self._answer(exchange, call, volume, 412, [], b"")
        self.sides.writes(volume, key)
        there = self.store.delete(volume, key)
        self.note(
            "did",
            head=call.gateway_id,
            id=call.request_id,
            n=call.attempt,
            op=call.operation,
            e=call.idempotence,
            dropped=False,
        )
        self._answer(exchange, call, volume, 204 if there else 404, [], b"")

    def _get(self, exchange: Exchange, call: AttemptHeader, volume: str, key: str, query: str) -> None:
        meta, h = self.store.find(volume, key), exchange.head.headers
        if meta is None:
            return self._answer(exchange, call, volume, 404, [], b"")
        tag = (b"ETag", f'"{meta.etag}"'.encode())
        match, none = h.get(b"if-match"), h.get(b"if-none-match")
        if match is not None and not etag_matches(match.decode("latin-1"), meta.etag, False):
            return self._answer(exchange, call, volume, 412, [tag], b"")
        if none is not None and etag_matches(none.decode("latin-1"), meta.etag, True):
            return self._answer(exchange, call, volume, 304, [tag], b"")
        if query == "stat":
            return self._answer(exchange, call, volume, 200, [tag, (b"Fawn-Size", b"%d" % meta.size)], b"")
        start, length, status = 0, meta.size, 200
        more = [tag]
        if b"range" in h:
            try:
                wanted = parse_range(h[b"range"].decode("latin-1"), meta.size)
            except RangeNotSatisfiableError:
                return self._answer(
                    exchange, call, volume, 416, [tag, (b"Content-Range", b"bytes */%d" % meta.size)], b""
                )
            if wanted is not None:
                start, length = wanted
                status = 206
                more.append((b"Content-Range", b"bytes %d-%d/%d" % (start, start + length - 1, meta.size)))
        if length <= 1 << 18:
            return self._answer(
                exchange, call, volume, status, more, b"".join(self.store.read(volume, key, start, length))
            )
        pieces = self.store.read(volume, key, start, length)
        exchange.begin(status, [*more, (b"Fawn-Told", self._told(call, volume).encode())], length)
        sent, cut = 0, self._hit(self.faults.cut)
        for piece in pieces:
            exchange.write(piece, time.monotonic() + 30.0)
            sent += len(piece)
            if cut and sent * 2 > length:
                break
        exchange.finish(sent == length)
        self.note("out", head=call.gateway_id, id=call.request_id, n=call.attempt, op=call.operation, s=status)

    def _told(self, call: AttemptHeader, volume: str) -> NodeReport:
        self.sums[volume] = total = self.sums.get(volume, 0.0) + call.units
        if self.served is not None:
            self.served(volume, call.units)
        before = self.told.pop((call.gateway_id, volume), None)
        others = 0 if before is None else max(0, round(total - before - call.units))
        self.told[call.gateway_id, volume] = total
        while len(self.told) > _SEEN_MOST:
            self.told.popitem(last=False)
        use = self.meter(volume) if self.meter is not None else None
        return NodeReport(others, use, tuple(self.behaviour.load(name) for name in self.load_fields))

    def _answer(
        self,
        exchange: Exchange,
        call: AttemptHeader,
        volume: str,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        full: bool = False,
        how: str = "",
    ) -> None:
        faults = self.faults
        told = (
            self._told(call, volume)
            if status < 500 and status not in (421, 425)
            else NodeReport(load=tuple(self.behaviour.load(name) for name in self.load_fields), overloaded=full)
        )
        wire, lost = exchange.connection.stream, ""
        if full:  # turned away unseen: the faults are of answers to work done
            exchange.respond(status, [(b"Fawn-Told", told.encode())])
        elif self._hit(faults.lose):
            lost = "lose"
            exchange.answered = exchange.connection.closing = True
            self.note(
                "out", head=call.gateway_id, id=call.request_id, n=call.attempt, op=call.operation, s=0, lost=lost
            )
            gevent.sleep(call.time_left_s + 1.0)
            return
        elif self._hit(faults.reset):
            lost = "reset"
            exchange.answered = exchange.connection.closing = True
            wire.reset()
        elif self._hit(faults.garble):
            lost = "garble"
            exchange.answered = exchange.connection.closing = True
            exchange.connection.send(b"\x16\x03\x01 what is this\r\n\r\n")
        elif self._hit(faults.cut):
            lost = "cut"
            exchange.answered = exchange.connection.closing = True
            exchange.connection.send(
                b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(body) + 8) + body[: len(body) // 2]
            )
        elif self._hit(faults.wrong_length):
            lost = "length"
            exchange.answered = exchange.connection.closing = True
            exchange.connection.send(
                b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, max(0, len(body) - 1)) + body + b"x"
            )
        else:
            if body and self._hit(faults.wrong_byte):
                at = self.random.randrange(len(body))
                body = body[:at] + bytes([body[at] ^ 0x41]) + body[at + 1 :]
            exchange.respond(status, [*headers, (b"Fawn-Told", told.encode())], body)
        self.note(
            "out",
            head=call.gateway_id,
            id=call.request_id,
            n=call.attempt,
            op=call.operation,
            s=status,
            lost=lost,
            how="full" if full else how,
        )

    def _control(self, exchange: Exchange) -> None:
        raw = b"".join(exchange.body())
        place, _, query = exchange.head.target.decode("latin-1").partition("?")
        if place in ("/-/extent", "/-/extent/data", "/-/fence"):
            return self._extent(exchange, place, query, raw)
        if exchange.head.method == b"POST" and exchange.head.target == b"/-/faults":
            try:
                self.set_faults(json.loads(raw))
            except (ValueError, TypeError) as bad:
                raise HttpError(400, str(bad)) from None
        elif exchange.head.method == b"GET" and exchange.head.target == b"/-/objects":
            rows = [[m.volume, m.key, m.size, m.etag] for _, m in self.store.index.values()]
            return exchange.respond(200, [], msgspec.json.encode(rows))
        elif exchange.head.target != b"/-/probe":
            raise HttpError(404, "no such place")
        load = ",".join(f"{self.behaviour.load(name):.4g}" for name in self.load_fields)
        exchange.respond(200, [(b"Fawn-Told", f"0;;{load};0".encode())], b"{}")

    # ------------------------------------------------------------------ moves

    def _extent(self, exchange: Exchange, place: str, query: str, raw: bytes) -> None:
        """What movers ask: docs/node-wire.md. What has an effect passes the fence first."""
        try:
            asked = {k: v[0] for k, v in parse_qs(query, strict_parsing=True).items()}
            method = exchange.head.method
            if method in (b"POST", b"PUT"):
                step = place[3:] if place != "/-/extent" else msgspec.json.decode(raw, type=Asked).step
                if (newest := self.gate.passes(asked, step)) is not None:
                    return exchange.respond(403, [], msgspec.json.encode({"fenced": asked["duty"], "newest": newest}))
            if place == "/-/fence":
                return exchange.respond(200, [], b"{}")
            volume, key = asked["volume"], asked["key"]
            if place == "/-/extent/data":
                if method == b"GET":
                    return self._give(exchange, volume, key)
                done = self._take(volume, key, int(asked["generation"]), raw)
            elif method == b"POST":
                done = self._step(volume, key, msgspec.json.decode(raw, type=Asked))
            else:
                done = True
        except (KeyError, ValueError, TypeError, msgspec.MsgspecError, struct.error) as bad:
            raise HttpError(400, f"a mover's call does not read: {bad}") from None
        s = self.sides.side(volume, key)
        exchange.respond(
            200 if done else 409,
            [],
            msgspec.json.encode(
                {
                    "role": s.role.value,
                    "generation": s.generation,
                    "position": s.position,
                    "to": s.successor,
                    "fence": s.fence_position,
                    "kept": s.has_data,
                }
            ),
        )

    def _step(self, volume: str, key: str, a: Asked) -> bool:
        done = self.sides.step(a.step, volume, key, a.generation, a.to, a.fence, mine=a.mine)
        if done and a.step in ("forget", "cancel"):
            self.store.delete(volume, key)  # after its row: a kill in between leaves data, and nobody serves them
        return done

    def _give(self, exchange: Exchange, volume: str, key: str) -> None:
        """The object for the node that takes it over, with its idempotency keys. The position is read first: what is
        newer than it comes again."""
        side, meta = self.sides.side(volume, key), self.store.find(volume, key)
        if side.role not in (ReplicaRole.OWNER, ReplicaRole.FENCED) or not side.has_data:
            return exchange.respond(409, [], b"")
        size = 0 if meta is None else meta.size
        if size > MOVED_MOST:
            return exchange.respond(413, [], b"")
        claims = [(name, *row) for name, group in self.repeats.items() for row in group.of(volume, key)]
        told = msgspec.msgpack.encode(Moved(side.position, meta, claims))
        data = b"" if meta is None else b"".join(self.store.read(volume, key, 0, size))
        exchange.respond(200, [], struct.pack(">I", len(told)) + told + data)

    def _take(self, volume: str, key: str, generation: int, raw: bytes) -> bool:
        (length,) = struct.unpack_from(">I", raw)
        told, data = msgspec.msgpack.decode(raw[4 : 4 + length], type=Moved), raw[4 + length :]
        side = self.sides.side(volume, key)
        if side.role is not ReplicaRole.FILLING or side.generation != generation:
            return False
        if told.position < side.position:
            return True  # a copy that was under way when a newer one came
        if told.meta is None:
            self.store.delete(volume, key)
        else:
            if len(data) != told.meta.size or crc32c.crc32c(data) != told.meta.crc:
                raise ValueError("the object's bytes are not those that it was stored with")
            draft = self.store.draft()
            draft.add(data)
            self.store.commit(draft, volume, key, told.meta.idem, told.meta.etag)
        for name, ident, etag, age in told.claims:
            if name in self.repeats:
                self.repeats[name].take(ident, etag, age, volume, key)
        return self.sides.step("whole", volume, key, generation, position=told.position)


class Asked(msgspec.Struct, forbid_unknown_fields=True):
    """One step of a move, as a mover asks for it."""

    step: str
    generation: int
    to: int = -1
    fence: int = -1
    mine: bool = False


class Moved(msgspec.Struct):
    """What goes before an object's bytes. meta None: it was deleted. claims: group, key, etag, age in seconds."""

    position: int
    meta: Meta | None
    claims: list[tuple[str, str, str, float]]
