"""Carries out one `Send`: connection, request, answer; says how it ended. Chooses nothing."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fawnspool.gateway.attempt_results import Ending
from fawnspool.gateway.request_state import Answer, Attempt, Pending, State
from fawnspool.net.client import Link, Pool
from fawnspool.net.exceptions import (
    ClientDisconnectedError,
    ConnectError,
    ConnectionClosedError,
    ConnectionLostError,
    ConnectTimeoutError,
    HttpError,
    PoolExhaustedError,
    TrailingDataError,
)
from fawnspool.net.http import Status


@dataclass(slots=True)
class Heard:
    """What an answer tells of its node. used: the volume's whole use as a share of its rate; None: no figure."""

    others: int = 0
    used: float | None = None
    load: tuple[float, ...] = ()


class Speech(Protocol):
    """How the nodes of an edge are spoken to; without I/O."""

    hold_most: int  # bytes of an answer that is held whole
    streams: bool  # may a larger one be passed on as it comes?

    def head(self, pending: Pending, attempt: Attempt) -> bytes:
        """The head of the request to the node."""

    def told(self, pending: Pending, status: Status) -> Heard:
        """What the answer's headers tell. Raises ValueError where that spoils the answer."""

    def ending(self, status: Status) -> Ending:
        """How an attempt ended whose answer came whole."""


_AT_ONCE = frozenset((Ending.RESET, Ending.CLOSED, Ending.UNWRITTEN_RESET))  # before any byte of an answer


class _Lost(Exception):
    """The attempt is over; the ending says how."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.value)
        self.ending = ending


class Outcome:
    """How an attempt ended, with what the node told."""

    __slots__ = ("answer", "ending", "kept", "told", "took")

    def __init__(
        self, ending: Ending, took: float, answer: Answer | None = None, told: Heard | None = None, kept: bool = False
    ) -> None:
        self.ending, self.took, self.answer, self.told, self.kept = ending, took, answer, told, kept


def carry_out(
    pending: Pending,
    attempt: Attempt,
    pool: Pool,
    speech: Speech,
    withdrawn: Callable[[int], bool],
    begun: Callable[[Pending, Attempt], None],
) -> Outcome:
    """Run the attempt to its end. `withdrawn(node)`: may nothing new be written there any more? `begun` is called
    when an answer too large to hold starts to be passed on."""
    link: Link | None = None
    done = False
    answer, told = None, None
    try:
        link = _connect(attempt, pool)
        # What was true before the wait for a connection is a guess by now: nothing is written without a new look.
        if withdrawn(attempt.node):
            raise _Lost(Ending.WITHDRAWN)
        if attempt.called_off or pending.state is State.SETTLED:
            raise _Lost(Ending.CALLED_OFF_UNSENT)
        if time.monotonic() >= attempt.write_until:
            raise _Lost(Ending.OUT_OF_TIME)
        if pending.exchange is not None and pending.exchange.client_left():
            raise _Lost(Ending.CLIENT_GONE)
        attempt.link = link
        _write(pending, attempt, link, speech)
        status = _status(attempt, link)
        try:
            told = speech.told(pending, status)
        except ValueError:
            raise _Lost(Ending.MALFORMED) from None
        ending, answer = _answer(pending, attempt, link, status, speech, begun)
        done = status.keep_alive and link.parser.done and not link.surplus
    except _Lost as lost:
        ending = lost.ending
        done = link is not None and not attempt.sent
        if link is not None and not link.fresh and ending in _AT_ONCE:
            pool.drop_older(link)
    finally:
        attempt.link = None
        if link is not None:
            if done and not attempt.called_off:
                pool.give(link)
            else:
                pool.drop(link)
    kept = link is not None and not link.fresh
    return Outcome(ending, time.monotonic() - attempt.began, answer, told, kept)


def _connect(attempt: Attempt, pool: Pool) -> Link:
    try:
        return pool.take(attempt.write_until)
    except ConnectError as bad:
        if attempt.called_off:
            raise _Lost(Ending.CALLED_OFF_UNSENT) from None
        if time.monotonic() >= attempt.written_by:  # its window was too short to tell: no sign against the node
            raise _Lost(Ending.OUT_OF_TIME) from None
        raise _Lost(_unconnected(bad)) from None


def _unconnected(error: ConnectError) -> Ending:
    if isinstance(error, PoolExhaustedError):
        return Ending.NO_PLACE
    if isinstance(error, ConnectTimeoutError):
        return Ending.CONNECT_TIMEOUT
    return Ending.REFUSED


def _write(pending: Pending, attempt: Attempt, link: Link, speech: Speech) -> None:
    body = pending.body
    if body.spent:
        raise _Lost(Ending.BODY_SPENT)
    head, until = speech.head(pending, attempt), attempt.write_until
    attempt.sent = True
    try:
        if body.rest is None:
            link.send(head + body.start if body.start else head, until)
            return
        body.spent = True  # the rest comes from the client once
        chunked = body.length is None
        link.send(head + (_chunk(body.start) if chunked else body.start), until)
        while True:
            try:
                piece = next(body.rest, None)
            except (ClientDisconnectedError, HttpError, TimeoutError, OSError) as bad:
                body.error = bad
                raise _Lost(Ending.BODY_LOST) from None
            if piece is None:
                break
            link.send(_chunk(piece) if chunked else piece, until)
        if chunked:
            link.send(b"0\r\n\r\n", until)
    except TimeoutError:
        raise _Lost(Ending.CALLED_OFF_UNSENT if attempt.called_off else Ending.UNWRITTEN_TIMEOUT) from None
    except ConnectionLostError:
        raise _Lost(Ending.CALLED_OFF_UNSENT if attempt.called_off else Ending.UNWRITTEN_RESET) from None


def _chunk(piece: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(piece), piece) if piece else b""


def _status(attempt: Attempt, link: Link) -> Status:
    try:
        return link.begin_answer(attempt.deadline)
    except TimeoutError:
        raise _Lost(Ending.CALLED_OFF if attempt.called_off else Ending.NO_ANSWER) from None
    except ConnectionLostError as bad:
        if attempt.called_off:
            raise _Lost(Ending.CALLED_OFF) from None
        if link.parser.in_head:
            raise _Lost(Ending.HALF_ANSWER) from None
        if isinstance(bad, ConnectionClosedError) and not link.fresh:
            raise _Lost(Ending.CLOSED) from None
        raise _Lost(Ending.RESET) from None
    except HttpError as bad:
        raise _Lost(_misformed(bad)) from None


def _misformed(bad: HttpError) -> Ending:
    if isinstance(bad, TrailingDataError):
        return Ending.WRONG_LENGTH
    return Ending.MALFORMED


def _answer(
    pending: Pending,
    attempt: Attempt,
    link: Link,
    status: Status,
    speech: Speech,
    begun: Callable[[Pending, Attempt], None],
) -> tuple[Ending, Answer | None]:
    large = status.length is None or status.length > speech.hold_most
    if speech.streams and large and status.code in (200, 206):
        return _pass_on(pending, attempt, link, status, begun)
    if large and status.length is not None:
        raise _Lost(Ending.WRONG_LENGTH)  # it names more than any answer has: nothing of it is read
    try:
        body = link.body(attempt.deadline, speech.hold_most)
    except TimeoutError:
        raise _Lost(Ending.CALLED_OFF if attempt.called_off else Ending.NO_ANSWER) from None
    except ConnectionLostError:
        cut = Ending.CUT_WITHOUT_LENGTH if link.until_close else Ending.HALF_ANSWER
        raise _Lost(Ending.CALLED_OFF if attempt.called_off else cut) from None
    except HttpError as bad:
        raise _Lost(_misformed(bad)) from None
    ending = speech.ending(status)
    if ending is not Ending.ANSWERED:
        return ending, None
    return Ending.ANSWERED_TO_CLOSE if link.until_close else ending, Answer(status.code, status.headers, body)


def _pass_on(
    pending: Pending, attempt: Attempt, link: Link, status: Status, begun: Callable[[Pending, Attempt], None]
) -> tuple[Ending, Answer | None]:
    """A large answer goes to the client as it comes, as fast as the client takes it."""
    if not pending.begin():
        raise _Lost(Ending.CALLED_OFF)
    begun(pending, attempt)
    exchange, sent = pending.exchange, 0
    headers = [(b"ETag", status.headers[b"etag"])] if b"etag" in status.headers else []
    if b"content-range" in status.headers:
        headers.append((b"Content-Range", status.headers[b"content-range"]))
    headers += [(b"Accept-Ranges", b"bytes"), (b"Fawn-Request-Id", pending.op.encode()), *pending.said]
    try:
        exchange.begin(status.code, headers, status.length)
        while True:
            try:
                piece = link.piece(pending.deadline)
            except (TimeoutError, ConnectionLostError, HttpError):
                exchange.finish(False)
                raise _Lost(Ending.HALF_ANSWER) from None
            if piece is None:
                break
            exchange.write(_chunk(piece) if status.length is None else piece, pending.deadline)
            sent += len(piece)
        if status.length is None:
            exchange.write(b"0\r\n\r\n", pending.deadline)
    except OSError:
        exchange.finish(False)
        raise _Lost(Ending.CLIENT_LEFT) from None
    exchange.finish(True)
    return Ending.ANSWERED, Answer(status.code, status.headers, streamed=sent)
