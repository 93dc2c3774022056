"""One client's connection to an HTTP/1.1 server, and its requests one by one.

A connection is a small state machine (`connections/states.py`). Its invariant: a request that has been read is
answered once, unless its client has gone; bytes that have not been read stay unread when the connection ends, so that
the system's reset tells the client that it may send them again.
"""

from __future__ import annotations

import math
import socket as std
import time
from collections.abc import Iterator
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent

from fawnspool.connections.states import CloseCause, ConnectionState, owed_status
from fawnspool.net.exceptions import ClientDisconnectedError, HttpError
from fawnspool.net.http import END, Head, RequestParser, head_bytes
from fawnspool.net.socket_stream import Wire

if TYPE_CHECKING:
    from fawnspool.net.server import Server

READ = 65536
READ_BODY = 262_144
LINGER_BYTES = 262_144  # of a request that was answered before it was whole, read and dropped
LINGER_S = 0.2
LINGER_STEP_S = 0.002
FLOOD = 32_768  # unread bytes behind a request in hand, past which its client counts as gone where `evicts`
JSON = (b"Content-Type", b"application/json")
_WORDS = {
    HTTPStatus.REQUEST_TIMEOUT: "the request did not come whole in time",
    HTTPStatus.INTERNAL_SERVER_ERROR: "the request was cut short here",
    HTTPStatus.SERVICE_UNAVAILABLE: "this server ends",
}


class Exchange:
    """One request and its one answer."""

    __slots__ = ("answered", "begun", "came", "conn", "dead", "head", "length", "read_all", "seen")

    def __init__(self, conn: Connection, head: Head, came: float) -> None:
        self.conn, self.head, self.came = conn, head, came
        self.answered = self.begun = self.read_all = self.dead = False
        self.seen = 0  # bytes of the body read
        self.length = head.length

    def body(self) -> Iterator[bytes]:
        """The rest of the body, piece by piece; reading it slowly holds the client back.

        Raises ClientDisconnectedError, HttpError (framing), or TimeoutError where a piece takes too long."""
        conn = self.conn
        if self.head.expects and not self.answered and not self.seen:
            self.head.expects = False
            conn.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        while not self.read_all:
            event = conn.next_event(READ_BODY)
            if event is END:
                self.read_all = True
                conn.state = ConnectionState.HANDLING
                return
            assert isinstance(event, bytes)
            self.seen += len(event)
            yield event

    def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes = b"", close: bool = False) -> None:
        """The whole answer at once. A client that has left meanwhile is no error."""
        bare = self.head.method == b"HEAD" or status in (204, 304)
        self._answer(status, headers, len(body), b"" if bare else body, close)

    def respond_bare(self, status: int, headers: list[tuple[bytes, bytes]], length: int) -> None:
        """The answer to HEAD: `length` is what GET would send."""
        self._answer(status, headers, length, b"", False)

    def _answer(self, status: int, headers: list[tuple[bytes, bytes]], length: int, body: bytes, close: bool) -> None:
        last = self._take_answer() or close
        self.conn.closing |= last
        head = head_bytes(status, headers, length, last)
        try:
            self.conn.send(head + body if body else head)
        except OSError:
            self.dead = self.conn.closing = True

    def begin(self, status: int, headers: list[tuple[bytes, bytes]], length: int | None) -> None:
        """Start an answer whose body follows by `write`; `finish` ends it."""
        self.begun = True
        last = self._take_answer()
        self.conn.closing |= last
        self.conn.send(head_bytes(status, headers, length, last))

    def write(self, piece: bytes | memoryview, deadline: float) -> None:
        """A piece of the body. Raises OSError where the client has left or takes nothing until `deadline`."""
        self.conn.wire.sendall(piece, deadline)

    def finish(self, whole: bool) -> None:
        """The begun answer is over; one that is not whole ends with its connection."""
        self.conn.closing |= not whole

    def abandon(self) -> None:
        """The client counts as gone, and no answer is owed. One that only sent too much is told so."""
        self.conn.note_cause(CloseCause.BAD_MESSAGE if self.conn.flooded else CloseCause.PEER_CLOSED)
        if self.conn.flooded:
            return self.respond(400, [JSON], error_body("bad-request", "too much came behind a request"), close=True)
        self.answered = self.conn.closing = True

    def client_left(self) -> bool:
        """Has the client closed its connection while its answer is awaited? An end is also seen behind bytes that
        follow the request; these are not read."""
        conn = self.conn
        if conn.wire.closed:
            return True
        return conn.has_left() if self.read_all else conn.wire.peer_left()

    def _take_answer(self) -> bool:
        """This exchange is answered now. Is it the connection's last?"""
        if self.answered:
            raise RuntimeError("an exchange is answered once")
        self.answered = True
        whole = self.read_all or self._rest_is_here()
        self.conn.state, self.conn.rest_open = ConnectionState.ANSWERING, not whole
        return not whole or not self.head.keep_alive or self.conn.must_end()

    def _rest_is_here(self) -> bool:
        """Has the whole request come already, so that the connection may go on?"""
        if self.head.length == 0:
            events = self.conn.parser.events
            if events and events[0] is END:
                events.popleft()
                self.read_all = True
        return self.read_all


class Connection:
    """One client's connection. number: in the order in which its server accepted them."""

    __slots__ = (
        "cause",
        "closing",
        "exchange",
        "flooded",
        "number",
        "opened",
        "parser",
        "peer",
        "peer_closed",
        "rest_open",
        "server",
        "state",
        "until",
        "used",
        "wire",
    )

    def __init__(self, server: Server, wire: Wire, peer: Any, number: int = 0) -> None:
        self.server, self.wire, self.peer = server, wire, peer
        self.number, self.opened = number, time.monotonic()
        self.parser = RequestParser(server.limits)
        self.state = ConnectionState.NEW
        self.cause: CloseCause | None = None
        self.exchange: Exchange | None = None  # the request in hand, or the last one
        self.used = False  # it has carried a whole request's head
        self.until = math.inf  # by when the request being read must be whole
        self.closing = False  # no request is read any more
        self.peer_closed = False  # the peer has closed its side
        self.rest_open = False  # its last answer was given before the request was whole
        self.flooded = False  # too much came behind the request in hand

    # ------------------------------------------------------------ what its exchange asks

    def send(self, data: bytes) -> None:
        """Raises OSError where the connection broke or takes nothing for `piece_timeout`."""
        self.wire.sendall(data, time.monotonic() + self.server.piece_timeout)

    def next_event(self, size: int) -> Any:
        """The next event of the request being read. Raises ClientDisconnectedError, TimeoutError, HttpError."""
        events = self.parser.events
        while not events:
            try:
                data = self.wire.recv(size, self._bounded(self.until, time.monotonic() + self.server.piece_timeout))
            except TimeoutError:
                raise
            except OSError:
                raise ClientDisconnectedError from None
            if not data:
                raise ClientDisconnectedError
            if time.monotonic() > self.until:
                raise TimeoutError
            self.parser.feed(data)
        return events.popleft()

    def has_left(self) -> bool:
        """Has the peer closed? Does not wait, and leaves unread what lies before the end."""
        if self.peer_closed or self.flooded:
            return True
        try:
            first = self.wire.peek()
        except OSError:
            first = b""
        if first is None:
            return False
        self.peer_closed = first == b"" or self.wire.closed_by_peer()
        if not self.peer_closed and self.server.evicts:
            self.flooded = self.wire.unread_bytes() >= FLOOD  # past what the buffers hold no end arrives
        return self.peer_closed or self.flooded

    def must_end(self) -> bool:
        """Does the connection end with its present answer? Not before whatever has been read is answered."""
        return self.server.last_answer() and not self._more_came()

    def _more_came(self) -> bool:
        """Does another request wait: read already, in part at least, or lying there to be read?"""
        read = bool(self.parser.events) or self.parser.in_head
        return read or (not self.server.final and self.wire.unread())

    # ------------------------------------------------------------ its life

    def run(self) -> None:
        """Serve requests one behind the other until the connection ends."""
        try:
            while not self.closing:
                exchange = self._next_request()
                if exchange is None:
                    return
                self._handle(exchange)
            self.note_cause(CloseCause.ANSWERED)
        except ClientDisconnectedError:
            self.note_cause(CloseCause.PEER_CLOSED)
        except TimeoutError:
            self.note_cause(CloseCause.DEADLINE)
        except OSError:
            self.note_cause(CloseCause.RESET)
        except gevent.GreenletExit:
            self.note_cause(CloseCause.KILLED)
            self._answer_owed()
        finally:
            self.server.note_end(self)
            self.state = ConnectionState.CLOSING
            self._close()

    def note_cause(self, cause: CloseCause) -> None:
        """The first cause counts."""
        if self.cause is None:
            self.cause = cause

    def _next_request(self) -> Exchange | None:
        """Read up to a request's head. None: there is none, and the connection ends."""
        server, events = self.server, self.parser.events
        self.exchange = None
        self.state = (
            ConnectionState.READING
            if self.parser.in_head or events
            else ConnectionState.IDLE
            if self.used
            else ConnectionState.NEW
        )
        began = time.monotonic() if self.state is ConnectionState.READING else 0.0
        try:
            while not events:
                if began:
                    data, came = self.wire.recv_stamped(READ, self._bounded(began + server.piece_timeout))
                else:
                    data, came = self._first_bytes()
                if not data:
                    self.peer_closed = True
                    self.note_cause(CloseCause.PEER_CLOSED)
                    return None
                began = began or came
                self.state = ConnectionState.READING
                self.parser.feed(data)
        except TimeoutError:
            self.note_cause(CloseCause.SHUTDOWN if server.leaving else CloseCause.DEADLINE)
            self._answer_owed()
            return None
        except HttpError as bad:
            self._complain(bad)
            return None
        head = events.popleft()
        if not isinstance(head, Head):
            self.note_cause(CloseCause.BAD_MESSAGE)
            return None
        return self._begin(head, began or time.monotonic())

    def _begin(self, head: Head, came: float) -> Exchange:
        """A request's head has come."""
        server, events = self.server, self.parser.events
        whole = head.length == 0 and bool(events) and events[0] is END
        if whole:
            events.popleft()
        exchange = self.exchange = Exchange(self, head, came)
        self.used = True
        self.until = came + server.piece_timeout if server.evicts else math.inf
        if server.turnstile is not None:
            server.turnstile.enter(server.due(head, came))
        exchange.read_all = whole
        self.state = ConnectionState.HANDLING if whole else ConnectionState.READING
        return exchange

    def _first_bytes(self) -> tuple[bytes, float]:
        """Wait for a request to begin; until then the server may close the connection for another's sake."""
        server = self.server
        waiting = server.idle if self.used else server.silent
        waiting[self] = None
        try:
            wait = server.idle_close if self.used else server.silent_close
            return self.wire.recv_stamped(READ, self._bounded(time.monotonic() + wait))
        finally:
            waiting.pop(self, None)

    def _bounded(self, *deadlines: float) -> float:
        return min(self.server.closing_until, *deadlines)

    def _handle(self, exchange: Exchange) -> None:
        try:
            self.server.handler(exchange)
        except HttpError as bad:
            self._complain(bad)
        except TimeoutError:
            self.note_cause(
                CloseCause.SHUTDOWN if self.server.closing_until <= time.monotonic() else CloseCause.DEADLINE
            )
            self._answer_owed()
        except ClientDisconnectedError:
            self.note_cause(CloseCause.PEER_CLOSED)
            self.closing = True
        except Exception as bad:
            if isinstance(bad, OSError) and self.wire.is_broken():
                self.note_cause(CloseCause.RESET)
            else:
                self.server.on_error(bad)
                self.note_cause(CloseCause.INTERNAL_ERROR)
            self._answer_owed()
        if not exchange.answered and not self.closing:
            exchange.respond(500, [JSON], error_body("failed", "unanswered"), close=True)
        self.closing |= not exchange.read_all

    # ------------------------------------------------------------ its end

    def _answer_owed(self) -> None:
        """The connection ends; a request that was read in part or whole and has no answer yet gets one."""
        self.closing = True
        status = owed_status(self.state, self.cause or CloseCause.KILLED)
        if status is not None:
            word = "refused" if status is HTTPStatus.SERVICE_UNAVAILABLE else "failed"
            self._send_error(status, word, _WORDS[status])

    def _complain(self, bad: HttpError) -> None:
        """A clear answer to a message whose framing is in doubt; the connection closes behind it."""
        self.note_cause(CloseCause.BAD_MESSAGE)
        self.closing = True
        self.server.on_bad(bad)
        self._send_error(bad.status, "bad-request", bad.text)

    def _send_error(self, status: int, word: str, reason: str) -> None:
        exchange = self.exchange
        if exchange is not None:
            if exchange.answered:
                return
            exchange.answered = True
        self.state, self.rest_open = ConnectionState.ANSWERING, exchange is None or not exchange.read_all
        body = error_body(word, reason)
        try:
            self.send(head_bytes(status, [JSON], len(body), True) + body)
        except OSError:
            return

    def _close(self) -> None:
        """End it. Bytes that nobody has read make the close a reset, which tells their sender that nobody has. As a
        reset takes bytes of ours with it that are still under way, the close waits a little for these."""
        try:
            if not self.wire.closed and not self.peer_closed:
                if self.rest_open:
                    self._drop_rest()
                else:
                    self._await_acknowledged()
        except OSError:
            pass
        finally:
            self.wire.close()

    def _drop_rest(self) -> None:
        """Read and drop what is left of a request that has its answer, so that no reset takes the answer."""
        self.wire.shutdown(std.SHUT_WR)
        until, rest = time.monotonic() + LINGER_S, LINGER_BYTES
        while rest > 0 and (data := self.wire.recv(READ, until)):
            rest -= len(data)

    def _await_acknowledged(self) -> None:
        until = time.monotonic() + LINGER_S
        while self.wire.unacknowledged() and time.monotonic() < until:
            gevent.sleep(LINGER_STEP_S)


def error_body(word: str, reason: str) -> bytes:
    """The body of an error in JSON."""
    text = reason.replace("\\", "/").replace('"', "'").encode("ascii", "replace")
    return b'{"error":"%s","reason":"%s"}' % (word.encode(), text)
