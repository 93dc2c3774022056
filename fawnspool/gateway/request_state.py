"""The state of one client request in the gateway, from its arrival to its one final answer.

``TRANSITIONS`` is the whole state machine: an event that it does not list for a state is ignored. As no event leaves
``SETTLED``, the first call of `ClientRequest.settle` gives the final answer, and later calls return False.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from fawnspool.gateway.attempt_results import NEVER_RAN, AttemptEnding
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.wakeup_event import WakeupEvent
from fawnspool.scheduling.interface import Request


class RequestState(Enum):
    """The progress of the answer to a request."""

    OPEN = "open"
    STREAMING = "streaming"  # a node's answer is being streamed to the client
    SETTLED = "settled"


class RequestEvent(Enum):
    """An event that changes the state of a request."""

    START_STREAM = "start stream"
    SETTLE = "settle"


TRANSITIONS: Final[dict[tuple[RequestState, RequestEvent], RequestState]] = {
    (RequestState.OPEN, RequestEvent.START_STREAM): RequestState.STREAMING,
    (RequestState.OPEN, RequestEvent.SETTLE): RequestState.SETTLED,
    (RequestState.STREAMING, RequestEvent.SETTLE): RequestState.SETTLED,
}


class AnswerKind(Enum):
    """The kind of a client's final answer. The values are metric labels."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_LEFT = "left"  # the client disconnected, so no answer is written


@dataclass(slots=True)
class NodeAnswer:
    """A node's answer: held completely in `body`, or already streamed to the client.

    Attributes
    ----------
    streamed_bytes
        Number of body bytes that were streamed; None if the answer is held in `body`.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes = b""
    streamed_bytes: int | None = None


class RequestBody:
    """The body of a request, which is sent with each attempt as long as it is available.

    A short body is held completely in `start`. Of a long body, `start` holds the beginning and `rest` yields the
    remainder once; the body is then `spent` and cannot be sent again.

    Attributes
    ----------
    length
        Total number of bytes; None if the client did not declare it.
    error
        The exception that was raised while `rest` was read from the client.
    """

    __slots__ = ("error", "length", "rest", "spent", "start")

    def __init__(self, start: bytes, length: int | None, rest: Iterator[bytes] | None = None) -> None:
        self.start = start
        self.length = length
        self.rest = rest
        self.spent = False
        self.error: BaseException | None = None


@dataclass(slots=True, eq=False)
class NodeAttempt:
    """One attempt to send a request to a node. Times are seconds of the monotonic clock.

    Attributes
    ----------
    write_by
        Time by which the request must be completely written; it is not sent after that.
    connection
        The connection that the attempt uses; None before and afterwards.
    is_shed
        The memory of its answer was needed for others.
    sent
        Writing the request has begun, so the node may have received some or all of it.
    ending
        How the attempt ended; None while it runs.
    """

    number: int
    node: int
    started_at: float
    deadline: float
    write_by: float = math.inf
    connection: ClientConnection | None = None
    cancelled: bool = False
    is_shed: bool = False
    sent: bool = False
    ending: AttemptEnding | None = None

    def shed(self) -> None:
        """End the attempt, as the memory of its answer is needed for others."""
        self.is_shed = True
        if self.connection is not None:
            self.connection.close()  # wakes the attempt's greenlet

    @property
    def write_deadline(self) -> float:
        """The earlier of the two limits on writing the request."""
        return min(self.deadline, self.write_by)


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request that the gateway has accepted. Times are seconds of the monotonic clock.

    Attributes
    ----------
    request
        The scheduler's `Request` event; the scheduler keeps a `PendingRequest` of its own for it.
    forwarded_headers
        Client headers that are forwarded to the node.
    exchange
        The HTTP exchange with the client, to which the answer is written.
    deadline
        Time by which the answer must have been sent.
    retry_after_s
        Seconds after which a rejected client should retry; 0: no advice.
    served_by_shard
        Shard of the node whose answer was used.
    answer_headers
        Headers that every answer to this request carries.
    answered_by
        The attempt whose answer is used; it holds the answer's memory.
    done
        Set when the final answer is given.
    span
        The request's trace span; None if it is not traced.
    """

    request: Request
    method: bytes
    target: bytes
    forwarded_headers: list[tuple[bytes, bytes]]
    body: RequestBody
    exchange: Any
    operation_id: str
    idempotency_key: str
    arrived_at: float
    deadline: float
    class_name: str
    plan_name: str
    state: RequestState = RequestState.OPEN
    answer_kind: AnswerKind | None = None
    answer: NodeAnswer | None = None
    retry_after_s: float = 0.0
    attempts: list[NodeAttempt] = field(default_factory=list)
    open_attempts: int = 0
    served_by_shard: int | None = None
    answer_headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    answered_by: NodeAttempt | None = None
    done: WakeupEvent = field(default_factory=WakeupEvent)
    span: object | None = None

    @property
    def served_status(self) -> int | None:
        """HTTP status of the node's answer that the client gets; None if no node's answer is used."""
        if self.answer_kind is not AnswerKind.SERVED or self.answer is None:
            return None
        return self.answer.status

    def may_run_until(self) -> float | None:
        """Return the last moment at which a node may run the request; None if none has run it and none will.

        Attempts that have not begun to be sent are not sent any more once the request is settled.
        """
        deadlines = [attempt.deadline for attempt in self.attempts if attempt.sent and attempt.ending not in NEVER_RAN]
        return max([self.deadline, *deadlines]) if deadlines else None

    def start_streaming(self) -> bool:
        """Reserve the client's answer for an attempt that streams its response.

        Returns
        -------
        bool
            False if another answer has been started or given; the attempt must then stream nothing.
        """
        return self._advance(RequestEvent.START_STREAM)

    def settle(self, kind: AnswerKind, answer: NodeAnswer | None = None) -> bool:
        """Give the final answer.

        Returns
        -------
        bool
            False if the request already has a final answer, which is kept.
        """
        if not self._advance(RequestEvent.SETTLE):
            return False
        self.answer_kind = kind
        self.answer = answer
        self.done.set()
        return True

    def _advance(self, event: RequestEvent) -> bool:
        next_state = TRANSITIONS.get((self.state, event))
        if next_state is None:
            return False
        self.state = next_state
        return True
