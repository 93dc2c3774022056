"""Scripted clients: they ask what a day's script says, when it says so, whatever the answers; they check every byte.

An object's bytes follow from its volume and key alone, so that any client can tell a wrong one. They retry as their
class allows: safe requests after any end but a served one, others only after a refusal or where no head was reached.
What passes their sockets goes to a recording; see fawnspool/rules/history.py for the forms.
"""

from __future__ import annotations

import math
import time
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import gevent
import xxhash
from gevent.pool import Pool as Greenlets

from fawnspool.days.day import Day
from fawnspool.days.retries import EndedAttempt, pause_before_retry
from fawnspool.days.traffic import Operation
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.exceptions import ConnectionLostError, HttpError
from fawnspool.net.http import format_request_head
from fawnspool.net.socket_stream import connect

_BLOCK = 1 << 16
FRESH_MOST = 400


def content(volume: str, key: str, size: int) -> bytes:
    """An object's bytes: different for each object, the same for each reader."""
    seed = xxhash.xxh3_64_intdigest(f"{volume}\0{key}".encode())
    block = Random(seed).randbytes(min(size, 4096)) or b""
    return (block * (size // max(1, len(block)) + 1))[:size]


@dataclass
class Ended:
    """How an operation ended, over all its tries. how as in fawnspool.days.service_value."""

    op: Operation
    how: str
    took: float
    tries: int


class Clients:
    """Plays a script of operations against heads. `note` gets each record."""

    def __init__(
        self,
        day: Day,
        ops: list[Operation],
        heads: dict[int, tuple[str, int]],
        note: Callable[..., None],
        seed: int,
        held: dict[tuple[str, str], int],
    ) -> None:
        self.day, self.ops, self.heads, self.note, self.held = day, ops, heads, note, held
        self.random = Random(f"{seed}-clients")
        self.idle: dict[int, deque[ClientConnection]] = defaultdict(deque)
        self.fresh: dict[str, deque[tuple[str, int]]] = defaultdict(lambda: deque(maxlen=FRESH_MOST))
        self.ended: list[Ended] = []

    def run(self, start: float) -> list[Ended]:
        """Play everything; `start`: the day's begin on the monotonic clock. Comes back when all have ended."""
        group = Greenlets()
        for op in self.ops:
            wait = start + op.at - time.monotonic()
            if wait > 0:
                gevent.sleep(wait)
            group.spawn(self._operate, op)
        group.join()
        return self.ended

    def _operate(self, op: Operation) -> None:
        cls, began = self.day.class_[op.cls], time.monotonic()
        size, key = op.size, op.key
        if not op.writes:
            key, size = self._object(op)
        n, how, advice, heads = 0, "failed", 0.0, list(op.heads)
        while True:
            left = cls.deadline - (time.monotonic() - began)
            patience = min(op.patience, left)
            how, advice = self._try(op, key, size, n, heads[0], patience)
            n += 1
            attempt = EndedAttempt(how, n, time.monotonic() - began, advice)
            pause = pause_before_retry(self.day.load, cls, attempt, self.random)
            if pause is None:
                break
            if how == "unreached" and len(heads) > 1:
                heads = heads[1:] + heads[:1]
            gevent.sleep(pause)
        took = time.monotonic() - began
        if how == "served":
            how = "in time" if took <= cls.aim else "late"
            if op.writes:
                self.fresh[op.volume].append((key, size))
        elif how != "left":
            how = "refused" if how in ("refused", "unreached") else "failed"
        self.ended.append(Ended(op, how, took, n))

    def _object(self, op: Operation) -> tuple[str, int]:
        """The object that a read is for: one held from the start, or one written in the seconds before."""
        if op.key:
            return op.key, self.held[op.volume, op.key]
        rows = self.fresh[op.volume]
        if rows:
            return rows[int(op.pick * len(rows))]
        key = f"held/{int(op.pick * self.day.load.objects)}"
        return key, self.held[op.volume, key]

    def _try(self, op: Operation, key: str, size: int, n: int, head: int, patience: float) -> tuple[str, float]:
        """One try: how it ended, and the seconds that the head advised to wait."""
        cls = self.day.class_[op.cls]
        body = content(op.volume, key, size) if op.writes else b""
        units = max(1, min(self.day.units.largest, -(-size // self.day.units.bytes)))
        headers = [
            (b"Fawn-Class", cls.name.encode()),
            (b"Fawn-Op", op.name.encode()),
            (b"Fawn-Patience-Ms", b"%d" % max(1, int(patience * 1000))),
        ]
        if n:
            headers.append((b"Fawn-Repeat", b"1"))
        if op.run:
            headers.append((b"Fawn-Run", op.run.encode()))
        first, count = 0, size
        if op.part is not None:
            first = int(op.part[0] * size)
            count = max(1, min(size - first, int(op.part[1] * size)))
            headers.append((b"Range", b"bytes=%d-%d" % (first, first + count - 1)))
        raw = format_request_head(
            b"PUT" if op.writes else b"GET",
            f"/v1/volumes/{op.volume}/objects/{key}".encode(),
            b"head",
            headers,
            len(body),
        )
        began = time.monotonic()
        deadline = began + patience
        try:
            link = self._link(head, deadline)
        except OSError:
            self.note(
                "ask",
                t=began,
                op=op.name,
                n=n,
                head=head,
                vol=op.volume,
                cls=op.cls,
                units=units,
                pat=patience,
                e=cls.effect,
                w=op.writes,
            )
            self.note("got", op=op.name, n=n, head=head, how="unreached", s=0)
            return "unreached", 0.0
        self.note(
            "ask",
            t=began,
            op=op.name,
            n=n,
            head=head,
            vol=op.volume,
            cls=op.cls,
            units=units,
            pat=patience,
            e=cls.effect,
            w=op.writes,
        )
        watcher = gevent.spawn_later(op.leaves, link.close) if op.leaves < math.inf else None
        how, status, advice, got = "none", 0, 0.0, b""
        # The client itself waits a little beyond its patience, to see whether an answer comes late.
        until = deadline + 0.25
        try:
            link.send(raw + body, until)
            answer = link.read_head(until)
            status, how = answer.code, "cut"
            got = link.read_body(until)
            advice = int(answer.headers.get(b"fawn-retry-after-ms", b"0")) / 1000
            how = "served" if status in (200, 201, 204, 206) else "refused" if status == 503 else "failed"
            self._keep(op, n, head, link, answer.keep_alive)
        except TimeoutError:
            link.close()
        except ConnectionLostError as bad:
            how = "unreached" if not bad.request_written and not link.is_new else "closed" if how == "none" else "cut"
            link.close()
        except (HttpError, OSError):
            how = "closed" if how == "none" else "cut"
            link.close()
        if watcher is not None:
            watcher.kill()
            if how in ("closed", "cut", "unreached") and time.monotonic() - began >= op.leaves - 0.001:
                how = "left"
        self.note("got", op=op.name, n=n, head=head, how=how, s=status)
        if how == "served" and not op.writes and got != content(op.volume, key, size)[first : first + count]:
            self.note("wrong", op=op.name, n=n, head=head, key=key, size=len(got))
        elif how == "failed" and status == 404:
            self.note("wrong", op=op.name, n=n, head=head, key=key, size=-1)  # a written object is not found
        return how, advice

    def _link(self, head: int, deadline: float) -> ClientConnection:
        rows = self.idle[head]
        while rows:
            link = rows.pop()
            if not link.is_stale():
                link.is_new = False
                return link
            if not link.stream.peer_has_closed():
                self.note("extra", op="?", n=0, head=head)
            link.close()
        return ClientConnection(connect(self.heads[head], min(deadline, time.monotonic() + 0.5)))

    def _keep(self, op: Operation, n: int, head: int, link: ClientConnection, keep: bool) -> None:
        if link.is_stale() and not link.stream.peer_has_closed():
            self.note("extra", op=op.name, n=n, head=head)  # bytes behind the final answer
            link.close()
        elif keep:
            self.idle[head].append(link)
        else:
            link.close()


def lag_meter(note: Callable[..., None], who: str, floor: float = 0.002) -> Any:
    """Notes how late this process's own timers ring, whenever that is a new worst."""

    def measure() -> None:
        worst = floor
        while True:
            due = time.monotonic() + 0.02
            gevent.sleep(0.02)
            late = time.monotonic() - due
            if late > worst:
                worst = late
                note("lag", who=who, s=late)

    return gevent.spawn(measure)
