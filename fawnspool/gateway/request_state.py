"""The state of one client request in the gateway, from its arrival to its one final answer.

``TRANSITIONS`` is the whole state machine: a pair of state and event that it does not list changes nothing. As no
event leaves ``SETTLED``, the first caller of `ClientRequest.settle` gives the final answer and later ones are told
that they came too late.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.wakeup_event import WakeupEvent
from fawnspool.scheduling.interface import Request


class RequestState(Enum):
    """How far the answer to a request is."""

    OPEN = "open"
    STREAMING = "streaming"  # the first bytes of an answer went to the client
    SETTLED = "settled"


class RequestEvent(Enum):
    """What can happen to the answer of a request."""

    START_STREAM = "start stream"
    SETTLE = "settle"


TRANSITIONS: Final[dict[tuple[RequestState, RequestEvent], RequestState]] = {
    (RequestState.OPEN, RequestEvent.START_STREAM): RequestState.STREAMING,
    (RequestState.OPEN, RequestEvent.SETTLE): RequestState.SETTLED,
    (RequestState.STREAMING, RequestEvent.SETTLE): RequestState.SETTLED,
}


class AnswerKind(Enum):
    """What the client's one final answer is. The values are labels of metrics."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_LEFT = "left"  # nobody is there to answer


@dataclass(slots=True)
class NodeAnswer:
    """A node's answer: held as a whole in `body`, or already passed on to the client.

    Attributes
    ----------
    streamed_bytes
        How much of the body was passed on; None where the answer is held.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes = b""
    streamed_bytes: int | None = None


class RequestBody:
    """The body of a request, for as many attempts as it lasts.

    A short body is held as a whole in `start`. Of a long one `start` holds the beginning, and `rest` yields what
    follows once: after that the body is `spent` and cannot be sent again.

    Attributes
    ----------
    length
        Bytes in all; None where the client did not say.
    error
        What reading the rest from the client raised.
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
    """One sending of a request to one node. Times are seconds of the monotonic clock.

    Attributes
    ----------
    write_by
        The request must be completely written by then, or is not sent.
    connection
        In use by the attempt; None before and after.
    sent
        Some of the request was handed to the kernel, so the node may have run it.
    ending
        None while the attempt runs.
    """

    number: int
    node: int
    started_at: float
    deadline: float
    write_by: float = math.inf
    connection: ClientConnection | None = None
    cancelled: bool = False
    sent: bool = False
    ending: AttemptEnding | None = None

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
        Headers of the client that go to the node.
    exchange
        The client's side, on which the answer is written.
    deadline
        When the answer leaves at the latest.
    retry_after_s
        Advice for a rejected client; 0: none.
    served_by_shard
        Shard of the node whose answer was taken.
    answer_headers
        Headers that every answer to this request carries.
    done
        Set with the final answer.
    span
        The request's trace, where it is traced.
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
    done: WakeupEvent = field(default_factory=WakeupEvent)
    span: object | None = None

    @property
    def served_status(self) -> int | None:
        """HTTP status of the node's answer that the client gets; None: it gets no node's answer."""
        if self.answer_kind is not AnswerKind.SERVED or self.answer is None:
            return None
        return self.answer.status

    def start_streaming(self) -> bool:
        """Claim the client's answer for an attempt that passes its own on as it comes.

        Returns
        -------
        bool
            False where another answer has begun or stands: the attempt passes nothing on.
        """
        return self._advance(RequestEvent.START_STREAM)

    def settle(self, kind: AnswerKind, answer: NodeAnswer | None = None) -> bool:
        """Give the final answer.

        Returns
        -------
        bool
            False where the request already has one, which stays.
        """
        if not self._advance(RequestEvent.SETTLE):
            return False
        self.answer_kind = kind
        self.answer = answer
        self.done.set()
        return True

    def _advance(self, event: RequestEvent) -> bool:
        following = TRANSITIONS.get((self.state, event))
        if following is None:
            return False
        self.state = following
        return True
