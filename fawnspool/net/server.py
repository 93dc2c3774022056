"""A small HTTP/1.1 server on gevent: a greenlet a connection, blocking-style, every wait with a deadline.

It frames, bounds and times messages; what a request means is the handler's business. The handler gets an
`Exchange` and must answer it exactly once; an exchange left unanswered is answered with 500 and closed.
"""
from __future__ import annotations

import contextlib
import errno
import math
import socket as std
import time
from collections import deque
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any

import gevent
from gevent import socket
from gevent.hub import get_hub

from fawnspool.connections.decide import Kind, crowded, makes_room
from fawnspool.connections.states import Cause, State
from fawnspool.net.http import END, BadMessage, Head, Limits, RequestParser, head_bytes
from fawnspool.net.wire import SO_TIMESTAMPNS, Turnstile, Wire

READ = 65536
READ_BODY = 262_144
LINGER_BYTES = 262_144      # of a closing connection, read and dropped so that the peer gets our last bytes
LINGER_S = 0.2
READ_AHEAD = 32_768         # bytes read behind a request that is not answered yet, to see whether its client left
LOOKS = 64                  # waiting connections looked at for one that may make room
FULL_S = 0.01               # a full server looks again so soon
ACCEPTS = 16                # connections accepted in one turn of the loop, at most
_JSON = (b"Content-Type", b"application/json")


class ClientLeft(Exception):
    """The peer closed its side, or went silent for too long, in the middle of its request or of our answer."""


class Exchange:
    """One request and its one answer."""

    __slots__ = ("answered", "begun", "came", "conn", "dead", "head", "length", "read_all", "seen")

    def __init__(self, conn: Connection, head: Head, came: float) -> None:
        self.conn, self.head, self.came = conn, head, came
        self.answered = self.begun = self.read_all = self.dead = False
        self.seen = 0               # bytes of the body read
        self.length = head.length

    def body(self) -> Iterator[bytes]:
        """The rest of the body, piece by piece; reading it slowly holds the client back.

        Raises ClientLeft, BadMessage (framing), or TimeoutError where a piece takes too long."""
        conn = self.conn
        if self.head.expects and not self.answered and not self.seen:
            self.head.expects = False
            conn.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        while not self.read_all:
            event = conn.next_event(READ_BODY)
            if event is END:
                self.read_all = True
                conn.state = State.IN_HAND
                return
            assert isinstance(event, bytes)
            self.seen += len(event)
            yield event

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"",
                close: bool = False) -> None:
        """The whole answer at once. A client that has left meanwhile is no error."""
        if self.answered:
            raise RuntimeError("an exchange is answered once")
        self.answered = True
        if not self.read_all and not self._rest_is_here():
            close = True
        close = close or not self.head.keep_alive or self.conn.server.last_answer()
        head = head_bytes(status, headers, len(body), close)
        bare = self.head.method == b"HEAD" or status in (204, 304)
        self.conn.closing |= close
        self.conn.state = State.ANSWERING
        try:
            self.conn.send(head if bare else head + body)
        except OSError:
            self.dead = self.conn.closing = True

    def respond_bare(self, status: int, headers: list[tuple[bytes, bytes]], length: int) -> None:
        """The answer to HEAD: `length` is what GET would send."""
        if self.answered:
            raise RuntimeError("an exchange is answered once")
        self.answered = True
        close = not self.head.keep_alive or not (self.read_all or self._rest_is_here())
        self.conn.closing |= close
        try:
            self.conn.send(head_bytes(status, headers, length, close))
        except OSError:
            self.dead = self.conn.closing = True

    def begin(self, status: int, headers: list[tuple[bytes, bytes]], length: int | None) -> None:
        """Start an answer whose body follows by `write`; `finish` ends it."""
        if self.answered:
            raise RuntimeError("an exchange is answered once")
        self.answered = self.begun = True
        close = not self.head.keep_alive or not (self.read_all or self._rest_is_here())
        self.conn.closing |= close
        self.conn.send(head_bytes(status, headers, length, close))

    def write(self, piece: bytes | memoryview, deadline: float) -> None:
        """A piece of the body. Raises OSError where the client has left or takes nothing until `deadline`."""
        self.conn.wire.sendall(piece, deadline)

    def finish(self, whole: bool) -> None:
        """The begun answer is over; one that is not whole ends with its connection."""
        self.conn.closing |= not whole

    def _rest_is_here(self) -> bool:
        """Has the whole request come already, so that the connection may go on?"""
        if self.head.length == 0:
            events = self.conn.parser.events
            if events and events[0] is END:
                events.popleft()
                self.read_all = True
        return self.read_all

    def client_left(self) -> bool:
        """Has the client closed its connection while its answer is awaited? An end is also seen behind bytes that
        follow the request."""
        conn = self.conn
        if conn.wire.closed:
            return True
        return conn.half_closed() if self.read_all else conn.wire.peer_left()


class Connection:
    """One client's connection."""

    __slots__ = ("cause", "closing", "exchange", "number", "opened", "parser", "peer", "peer_closed", "read_ahead",
                 "read_ahead_size", "server", "state", "until", "used", "wire")

    def __init__(self, server: Server, wire: Wire, peer: Any, number: int = 0) -> None:
        self.server, self.wire, self.peer = server, wire, peer
        self.number, self.opened = number, time.monotonic()
        self.state, self.cause = State.NEW, Cause.KILLED        # KILLED unless something else ends it
        self.exchange: Exchange | None = None                   # the request in hand, or the last one
        self.parser, self.closing = RequestParser(server.limits), False
        self.used = False           # it has carried a whole request's head
        self.until = math.inf       # by when the request being read must be whole
        self.peer_closed = False           # the peer has closed its side
        self.read_ahead: deque[tuple[bytes, float]] = deque()    # read behind a request in hand, with when it came
        self.read_ahead_size = 0

    def half_closed(self) -> bool:
        """Has the peer closed? Does not wait; what lies before the end is read and kept for its turn."""
        while not self.peer_closed:
            if self.read_ahead_size >= READ_AHEAD:    # past what the buffers hold no end arrives: who floods has gone
                return self.server.evicts or self.wire.closed_by_peer()
            try:
                data, came = self.wire.recv_now(READ_AHEAD)
            except BlockingIOError:
                return False
            except OSError:
                data = b""
            if data:
                self.read_ahead.append((data, came))
                self.read_ahead_size += len(data)
            self.peer_closed = not data
        return True

    def _recv(self, size: int, deadline: float) -> bytes:
        if self.read_ahead:
            return self._next_ahead()[0]
        return b"" if self.peer_closed else self.wire.recv(size, deadline)

    def _next_ahead(self) -> tuple[bytes, float]:
        data, came = self.read_ahead.popleft()
        self.read_ahead_size -= len(data)
        return data, came

    def send(self, data: bytes) -> None:
        self.wire.sendall(data, time.monotonic() + self.server.piece_timeout)

    def next_event(self, size: int) -> Any:
        events = self.parser.events
        while not events:
            try:
                data = self._recv(size, min(self.until, time.monotonic() + self.server.piece_timeout))
            except TimeoutError:
                raise
            except OSError:
                raise ClientLeft from None
            if not data:
                raise ClientLeft
            if time.monotonic() > self.until:
                raise TimeoutError
            self.parser.feed(data)
        return events.popleft()

    def run(self) -> None:
        try:
            while not self.closing and not self.server.stopping:
                exchange = self._next_request()
                if exchange is None:
                    return
                self._handle(exchange)
                if not exchange.read_all and not self.closing:
                    return
            self.cause = Cause.ANSWERED if self.closing else Cause.SHUTDOWN
        except ClientLeft:
            self.cause = Cause.PEER_END
        except TimeoutError:
            self.cause = Cause.DEADLINE
        except OSError:
            if not self.wire.closed:
                self.cause = Cause.RESET
        finally:
            self.server.note_end(self)
            self._close()

    def _next_request(self) -> Exchange | None:
        server, events = self.server, self.parser.events
        self.state = State.IDLE if self.used else State.NEW
        began = 0.0
        try:
            while not events:
                if self.read_ahead:
                    data, came = self._next_ahead()
                elif self.peer_closed:
                    self.cause = Cause.PEER_END
                    return None
                elif began:
                    data, came = self.wire.recv_stamped(READ, began + server.piece_timeout)
                else:
                    data, came = self._first_bytes()
                if not data:
                    self.peer_closed = True
                    self.cause = Cause.PEER_END
                    return None
                began = began or came
                self.state = State.READING
                self.parser.feed(data)
        except TimeoutError:
            self.cause = Cause.SHUTDOWN if server.leaving else Cause.DEADLINE
            if began:
                self._complain(BadMessage(408, f"the request's head took over {server.piece_timeout:g} s"))
            return None
        except BadMessage as bad:
            self.cause = Cause.BAD_MESSAGE
            self._complain(bad)
            return None
        head = events.popleft()
        if not isinstance(head, Head):
            return None
        if head.length == 0 and events and events[0] is END:
            events.popleft()
            done = True
        else:
            done = False
        exchange = self.exchange = Exchange(self, head, began or time.monotonic())
        self.used, self.state = True, State.READING
        self.until = exchange.came + server.piece_timeout if server.evicts else math.inf
        if server.turnstile is not None:
            server.turnstile.enter(server.due(head, exchange.came))
        exchange.read_all = done
        return exchange

    def _first_bytes(self) -> tuple[bytes, float]:
        """Wait for a request to begin; until then the server may close the connection for another's sake."""
        server = self.server
        idle = server.idle if self.used else server.silent
        idle[self] = None
        try:
            wait = server.idle_close if self.used else server.silent_close
            return self.wire.recv_stamped(READ, time.monotonic() + wait)
        finally:
            idle.pop(self, None)

    def _handle(self, exchange: Exchange) -> None:
        if exchange.read_all:
            self.state = State.IN_HAND
        try:
            self.server.handler(exchange)
        except BadMessage as bad:
            if not exchange.answered:
                exchange.answered = True
                self._complain(bad)
            self.closing = True
        except TimeoutError:
            if not exchange.answered:
                exchange.answered = True
                self._complain(BadMessage(408, f"no byte of the body came for {self.server.piece_timeout:g} s"))
            self.closing = True
        except ClientLeft:
            self.closing = True
        except OSError:
            self.closing = True
        except Exception as bad:
            self.server.on_error(bad)
            if not exchange.answered:
                exchange.respond(500, [_JSON], b'{"error":"failed","reason":"internal"}', close=True)
            self.closing = True
        if not exchange.answered and not self.closing:
            exchange.respond(500, [_JSON], b'{"error":"failed","reason":"unanswered"}', close=True)

    def _complain(self, bad: BadMessage) -> None:
        """A clear answer to a message whose framing is in doubt; the connection closes behind it."""
        text = bad.text.replace("\\", "/").replace('"', "'")
        body = b'{"error":"bad-request","reason":"%s"}' % text.encode("ascii", "replace")
        self.server.on_bad(bad)
        self.closing = True
        try:
            self.send(head_bytes(bad.status, [_JSON], len(body), True) + body)
        except OSError:
            return

    def _close(self) -> None:
        """Ours ends first, and what still comes is read and dropped: a close over unread bytes is a reset, which
        takes our last bytes with it. Its sender sees the end before any answer, and may send it again."""
        try:
            if not self.wire.closed and not self.peer_closed:
                self.wire.shutdown(std.SHUT_WR)
                until, rest = time.monotonic() + LINGER_S, LINGER_BYTES
                while rest > 0 and not self.server.stopping and (data := self.wire.recv(READ, until)):
                    rest -= len(data)
        except OSError:
            pass
        finally:
            self.wire.close()


class Server:
    """Listens, accepts, and runs a greenlet for each connection. turn: requests begun in one turn of the loop, at
    most; 0: no bound. due: until when a request may wait for its turn. silent_close: seconds in which a new
    connection must begin its first request (None: idle_close). evicts: a whole request must come within
    piece_timeout, where `most` connections are open the one that has waited longest without a request makes room,
    and a client that sends over READ_AHEAD bytes behind a request in hand counts as gone. crowd: with so many
    connections open an answer ends its own; 0: never."""

    def __init__(self, address: tuple[str, int], handler: Callable[[Exchange], None], *,
                 limits: Limits | None = None, idle_close: float = 60.0, piece_timeout: float = 10.0,
                 most: int = 4096, on_error: Callable[[Exception], None] | None = None,
                 on_bad: Callable[[BadMessage], None] | None = None, listener: Any = None,
                 turn: int = 0, due: Callable[[Head, float], float] | None = None,
                 silent_close: float | None = None, evicts: bool = False, crowd: int = 0) -> None:
        self.handler, self.limits = handler, limits or Limits()
        self.idle_close, self.piece_timeout, self.most = idle_close, piece_timeout, most
        self.on_error = on_error or (lambda bad: None)
        self.on_bad = on_bad or (lambda bad: None)
        self.open: dict[Connection, Any] = {}
        self.silent_close, self.evicts = idle_close if silent_close is None else silent_close, evicts
        self.crowd = crowd
        self.accepted = 0
        self.closings: dict[tuple[str, str], int] = {}     # connections that ended, by state and cause
        self.on_unanswered: Callable[[Connection], None] = lambda conn: None
        self.idle: dict[Connection, None] = {}      # between two requests, the longest first
        self.silent: dict[Connection, None] = {}    # before their first one
        self.stopping = self.leaving = False
        self.turnstile = Turnstile(turn) if turn else None
        self.due = due or (lambda head, came: came + piece_timeout)
        self.sock = listener if listener is not None else bind(address)
        with contextlib.suppress(OSError):      # without it a request counts from when it is read
            self.sock.setsockopt(std.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        self.address: tuple[str, int] = self.sock.getsockname()[:2]
        self.acceptor: Any = None

    def start(self) -> None:
        self.acceptor = gevent.spawn(self._accept)

    def _accept(self) -> None:
        accepted = 0
        while not self.stopping:
            accepted += 1
            if accepted % ACCEPTS == 0:
                gevent.sleep(0)             # a flood of connections must not hold up those that stand
            try:
                if self.evicts and len(self.open) >= self.most:
                    # Whoever comes now waits to be accepted until a place is free: it is not closed unheard.
                    socket.wait_read(self.sock.fileno())
                    if not self.evict_idle():
                        gevent.sleep(FULL_S)
                        continue
                sock, peer = self.sock.accept()
                if len(self.open) >= self.most and not self.evicts:
                    sock.close()
                    continue
                plain = std.socket(fileno=sock.detach())
                plain.setsockopt(std.IPPROTO_TCP, std.TCP_NODELAY, 1)
                self.accepted += 1
                conn = Connection(self, Wire(plain), peer, self.accepted)
                self.open[conn] = gevent.spawn(self._run, conn)
            except OSError as bad:
                if self.stopping:
                    return
                if bad.errno not in (errno.EMFILE, errno.ENFILE):
                    if bad.errno != errno.ECONNABORTED:     # whatever it is, a head that takes nobody is worse
                        self.on_error(bad)
                        gevent.sleep(FULL_S)
                elif not self.evicts or not self.evict_idle():
                    gevent.sleep(FULL_S)        # out of descriptors: wait for one to be closed

    def evict_idle(self) -> bool:
        """Close the connection that has waited longest, of the kind that makes room; False: none waits. One whose
        request has come and is only not read yet does not wait."""
        kind = makes_room(len(self.idle), len(self.silent))
        if kind is None:
            return False
        first, then = (self.silent, self.idle) if kind is Kind.SILENT else (self.idle, self.silent)
        for conn in [*islice(first, LOOKS), *islice(then, LOOKS)]:
            if conn.wire.unread():
                continue
            self.idle.pop(conn, None)
            self.silent.pop(conn, None)
            self.open.pop(conn, None)
            conn.peer_closed = True            # nothing of it is read any more
            conn.cause = Cause.EVICTION
            conn.wire.close()
            return True
        return False

    def last_answer(self) -> bool:
        """Must a connection end with its answer? Its client is told, and sends nothing more on it."""
        return self.leaving or crowded(len(self.open), self.crowd)

    def busy(self) -> bool:
        """Is a request being read, worked on or answered?"""
        return len(self.open) > len(self.idle) + len(self.silent)

    def closing_down(self) -> None:
        """From now on every answer is its connection's last; those that wait for a request end now, but for those
        whose request has come meanwhile: it is served. New ones are still taken."""
        self.leaving = True
        for conn in [*self.idle, *self.silent]:
            get_hub().loop.run_callback(self._expire_wait, conn)

    def _expire_wait(self, conn: Connection) -> None:
        """Its wait is over, if it waits still: what lies there is read, as at any deadline, else it is closed."""
        if conn in self.idle or conn in self.silent:
            conn.wire.expire_wait()

    def note_end(self, conn: Connection) -> None:
        """Count a connection's end by state and cause; tell of a request that it leaves unanswered."""
        key = (conn.state.value, conn.cause.value)
        self.closings[key] = self.closings.get(key, 0) + 1
        exchange = conn.exchange
        if exchange is not None and not exchange.answered and conn.cause not in (Cause.PEER_END, Cause.RESET):
            self.on_unanswered(conn)

    def states(self) -> dict[str, int]:
        """How many connections are open, by state."""
        counts: dict[str, int] = {}
        for conn in self.open:
            counts[conn.state.value] = counts.get(conn.state.value, 0) + 1
        return counts

    def _run(self, conn: Connection) -> None:
        try:
            conn.run()
        finally:
            self.open.pop(conn, None)

    def close_listener(self) -> None:
        self.stopping = True
        self.sock.close()

    def stop(self, grace: float = 0.0) -> None:
        """Take no more; let what is in hand end within `grace` seconds, then close."""
        self.close_listener()
        if grace and self.open:
            gevent.joinall(list(self.open.values()), timeout=grace)
        gevent.killall(list(self.open.values()), timeout=1.0)
        if self.acceptor is not None:
            self.acceptor.kill()
        if self.turnstile is not None:
            self.turnstile.close()
            self.turnstile = None

    def reset_all(self) -> None:
        """Break every open connection with a reset, as a dying process or a middlebox would."""
        for conn in list(self.open):
            conn.wire.reset()


def bind(address: tuple[str, int], backlog: int = 2048) -> Any:
    """A listening socket. Raises OSError naming the address."""
    sock = socket.socket(std.AF_INET, std.SOCK_STREAM)
    sock.setsockopt(std.SOL_SOCKET, std.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as bad:
        sock.close()
        raise OSError(bad.errno, f"can't listen on {address[0]}:{address[1]}: {bad.strerror}"
                      ) from None
    sock.listen(backlog)
    return sock


def address(text: str) -> tuple[str, int]:
    """("127.0.0.1", 80) from "127.0.0.1:80"."""
    host, _, port = text.rpartition(":")
    return host, int(port)
