"""The ways in which an attempt can end, and the result that each of them reports to the scheduler.

The results distinguish whether the node may have run the request. Nodes execute only complete requests
(docs/node-wire.md), so a request that was not completely handed to the kernel never ran. A request that was handed
over completely may have run, even if the node closed a reused connection: the gateway cannot know whether the node read
the request first.
"""

from __future__ import annotations

from enum import Enum

from fawnspool.scheduling.interface import Result


class AttemptEnding(Enum):
    """How an attempt ended, as observed on its connection. The values are metric labels and log fields."""

    ANSWERED = "answered"
    ANSWERED_UNTIL_CLOSE = "answered without a length, whole at the close"
    NODE_ERROR = "the node answered with an error"
    REJECTED = "turned away unseen: full or draining"
    CONNECT_REFUSED = "connection refused or out of reach"
    CONNECT_TIMEOUT = "no connection in time"
    POOL_EXHAUSTED = "this head has no connection or descriptor left for it"
    UNWRITTEN_RESET = "reset before the request was wholly written"
    UNWRITTEN_TIMEOUT = "time ran out before the request was wholly written"
    RESET = "reset after the request was written"
    CLOSED = "a kept connection was closed under the request"
    TRUNCATED_RESPONSE = "closed in the middle of the answer"
    BROKEN_WITHOUT_LENGTH = "broke in an answer without a length"
    MALFORMED_RESPONSE = "the answer is not HTTP"
    WRONG_LENGTH = "the answer has not the length it names"
    NO_MEMORY = "no memory was left for its answer"
    RESPONSE_TIMEOUT = "no answer in time"
    CANCELLED = "called off after it was sent"
    CANCELLED_UNSENT = "called off before it was sent"
    NODE_DRAINING = "the node was told to drain before it was sent"
    UNKNOWN_NODE = "the node has left the list"
    OUT_OF_TIME = "its time was up before it was sent"
    BODY_CONSUMED = "the body is gone: too large to send again"
    BODY_INCOMPLETE = "the client's body did not come whole"
    CLIENT_LEFT_STREAMING = "the client left while the answer was passed on"
    CLIENT_LEFT_UNSENT = "the client left before it was sent"


RESULTS: dict[AttemptEnding, Result] = {
    AttemptEnding.ANSWERED: Result.SERVED,
    AttemptEnding.ANSWERED_UNTIL_CLOSE: Result.SERVED,
    AttemptEnding.NODE_ERROR: Result.ERROR,
    AttemptEnding.REJECTED: Result.OVERLOADED,
    AttemptEnding.CONNECT_REFUSED: Result.CONNECT_FAILED,
    AttemptEnding.CONNECT_TIMEOUT: Result.CONNECT_FAILED,
    AttemptEnding.POOL_EXHAUSTED: Result.NOT_SENT,
    AttemptEnding.UNWRITTEN_RESET: Result.CONNECT_FAILED,
    AttemptEnding.UNWRITTEN_TIMEOUT: Result.CONNECT_FAILED,
    AttemptEnding.RESET: Result.RESET,
    AttemptEnding.CLOSED: Result.RESET,
    AttemptEnding.TRUNCATED_RESPONSE: Result.RESET,
    AttemptEnding.BROKEN_WITHOUT_LENGTH: Result.RESET,
    AttemptEnding.MALFORMED_RESPONSE: Result.RESET,
    AttemptEnding.WRONG_LENGTH: Result.RESET,
    AttemptEnding.NO_MEMORY: Result.CANCELLED,
    AttemptEnding.RESPONSE_TIMEOUT: Result.TIMED_OUT,
    AttemptEnding.CANCELLED: Result.CANCELLED,
    AttemptEnding.CANCELLED_UNSENT: Result.NOT_SENT,
    AttemptEnding.NODE_DRAINING: Result.NOT_SENT,
    AttemptEnding.UNKNOWN_NODE: Result.NOT_SENT,
    AttemptEnding.OUT_OF_TIME: Result.NOT_SENT,
    AttemptEnding.BODY_CONSUMED: Result.NOT_SENT,
    AttemptEnding.BODY_INCOMPLETE: Result.NOT_SENT,
    AttemptEnding.CLIENT_LEFT_STREAMING: Result.CANCELLED,
    AttemptEnding.CLIENT_LEFT_UNSENT: Result.NOT_SENT,
}

_NEVER_RAN_RESULTS = frozenset((Result.OVERLOADED, Result.CONNECT_FAILED, Result.NOT_SENT))
NEVER_RAN = frozenset(ending for ending, result in RESULTS.items() if result in _NEVER_RAN_RESULTS)
