"""Links between the processes of a drill, each with a direction of its own: what passes can be cut, lost, doubled,
held back.

Datagrams go through one socket a pair of heads, calls through one listener a pair of head and server. Each datagram
is noted with what became of it, so that a fault that was never caused can be seen.
"""

from __future__ import annotations

import socket as std
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random
from typing import Any

import gevent
from gevent import socket
from gevent.event import Event

Note = Callable[..., None]
_ESTABLISHED = 1  # of a connection's states (Linux: tcp_states.h)
STEPS = (b"POST /-/", b"PUT /-/")  # how a mover's step to a node begins
_LEADING = 23  # bytes before a datagram's body (gateway/peers.py)
SHARED = 0xB5  # leading byte of gossip (gossip/messages.py)


@dataclass
class Weather:
    """Of one direction of a link. Shares of datagrams; late: by up to `late_by` seconds, so that they overtake each
    other."""

    cut: bool = False
    loss: float = 0.0
    twice: float = 0.0
    late: float = 0.0
    late_by: float = 0.0


class Datagrams:
    """From head `a` to head `b`: `a` sends to `port`, `b` listens at `to`."""

    def __init__(self, a: int, b: int, to: tuple[str, int], note: Note, random: Random) -> None:
        self.a, self.b, self.to, self.note, self.random = a, b, to, note, random
        self.weather = Weather()
        self.lie: Callable[[bytes], bytes] | None = None  # what is passed on in place of a datagram
        self.sock = socket.socket(std.AF_INET, std.SOCK_DGRAM)
        self.sock.bind(("127.0.0.1", 0))
        self.port: int = self.sock.getsockname()[1]
        self.greenlet = gevent.spawn(self._run)

    def _run(self) -> None:
        while True:
            try:
                data, _ = self.sock.recvfrom(2048)
            except OSError:
                continue  # an earlier one found nobody listening
            w, r = self.weather, self.random
            what = "cut" if w.cut else "lost" if r.random() < w.loss else "passed"
            kind = data[_LEADING + 1] if len(data) > _LEADING + 1 else -1
            lead = data[_LEADING] if len(data) > _LEADING else -1
            self.note("dgram", a=self.a, b=self.b, what=what, lead=lead, body=kind, size=len(data))
            if what != "passed":
                continue
            if self.lie is not None and lead == SHARED:
                data = data[:_LEADING] + self.lie(data[_LEADING:])
            for _ in range(2 if r.random() < w.twice else 1):
                if r.random() < w.late:
                    gevent.spawn_later(r.random() * w.late_by, self._pass, data)
                else:
                    self._pass(data)

    def _pass(self, data: bytes) -> None:
        with suppress(OSError):
            self.sock.sendto(data, self.to)

    def stop(self) -> None:
        self.greenlet.kill()
        self.sock.close()


class Calls:
    """Connections of head `head` to a server. What is cut is held back, as a network that drops it would make TCP send
    again, and comes after the cut. Of a connection that its head has closed meanwhile only a mover's step still
    comes: a late step is what fences are for, and a request that comes so late would be held against its head, which
    had ended it."""

    def __init__(self, head: int, to: tuple[str, int], note: Note) -> None:
        self.head, self.to, self.note = head, to, note
        self.only: tuple[bytes, ...] = ()  # where set, a cut holds back what begins so and passes the rest
        self.open = {"out": Event(), "back": Event()}
        for way in self.open.values():
            way.set()
        self.sock = socket.socket(std.AF_INET, std.SOCK_STREAM)
        self.sock.setsockopt(std.SOL_SOCKET, std.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(256)
        self.port: int = self.sock.getsockname()[1]
        self.greenlets: set[Any] = {gevent.spawn(self._accept)}

    def cut(self, out: bool, back: bool) -> None:
        """Which directions pass nothing from now on."""
        for way, closed in (("out", out), ("back", back)):
            if closed:
                self.open[way].clear()
            else:
                self.open[way].set()
        self.note("calls", head=self.head, to=self.to[1], out=not out, back=not back)

    def _spawn(self, call: Callable[..., None], *args: Any) -> None:
        greenlet = gevent.spawn(call, *args)
        self.greenlets.add(greenlet)
        greenlet.link(self.greenlets.discard)

    def _accept(self) -> None:
        while True:
            mine, _ = self.sock.accept()
            self._spawn(self._connect, mine)

    def _connect(self, mine: Any) -> None:
        if not self.open["out"].is_set() and not self.only:
            self.open["out"].wait()
            if _ended(mine) and not mine.recv(16, std.MSG_PEEK).startswith(STEPS):
                return mine.close()  # type: ignore[no-any-return]
        try:
            other = socket.create_connection(self.to, timeout=2.0)
            other.settimeout(None)
        except OSError:
            mine.close()
            return
        for s in (mine, other):
            s.setsockopt(std.IPPROTO_TCP, std.TCP_NODELAY, 1)
        self._spawn(self._copy, mine, other, self.open["out"])
        self._spawn(self._copy, other, mine, self.open["back"])

    def _copy(self, a: Any, b: Any, way: Event) -> None:
        try:
            while data := a.recv(65536):
                if not way.is_set() and (not self.only or data.startswith(self.only)):
                    way.wait()
                    if way is self.open["out"] and _ended(a) and not data.startswith(STEPS):
                        break
                b.sendall(data)
        except OSError:
            pass
        way.wait()
        for s in (a, b):
            with suppress(OSError):
                s.shutdown(std.SHUT_RDWR if s is b else std.SHUT_RD)

    def stop(self) -> None:
        gevent.killall(list(self.greenlets))
        self.sock.close()


def _ended(sock: Any) -> bool:
    """Has the other side closed it, whatever lies before its end?"""
    return bool(sock.getsockopt(std.IPPROTO_TCP, std.TCP_INFO, 1)[0] != _ESTABLISHED)


class Links:
    """All of a drill. Heads that are `outside` hear the others, or are heard, only as `cut` says."""

    def __init__(self, note: Note, seed: int) -> None:
        self.note, self.seed = note, seed
        self.datagrams: dict[tuple[int, int], Datagrams] = {}
        self.calls: dict[tuple[int, tuple[str, int]], Calls] = {}

    def between(self, a: int, b: int, to: tuple[str, int]) -> int:
        link = self.datagrams[a, b] = Datagrams(a, b, to, self.note, Random(f"{self.seed}-{a}-{b}"))
        return link.port

    def to_server(self, head: int, to: tuple[str, int]) -> int:
        """The same port for the same pair."""
        if (head, to) not in self.calls:
            self.calls[head, to] = Calls(head, to, self.note)
        return self.calls[head, to].port

    def all_weather(self, weather: Weather) -> None:
        for link in self.datagrams.values():
            link.weather = Weather(link.weather.cut, weather.loss, weather.twice, weather.late, weather.late_by)

    def cut_heads(self, some: set[int], out: bool, back: bool) -> None:
        """Datagrams between `some` heads and the others: out: what they send is lost; back: what is sent to them."""
        for (a, b), link in self.datagrams.items():
            if (a in some) != (b in some):
                link.weather.cut = out if a in some else back

    def cut_servers(self, some: set[int], out: bool, back: bool) -> None:
        for (head, _), link in self.calls.items():
            if head in some:
                link.cut(out, back)

    def stop(self) -> None:
        for way in self.datagrams.values():
            way.stop()
        for link in self.calls.values():
            link.stop()
