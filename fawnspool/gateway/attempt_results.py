"""Every way in which an attempt can end, and what the module is told of it: one table.

What counts is whether the node may have run the request. Nodes act on whole requests alone (docs/node-wire.md),
so what was not wholly handed to the kernel never ran; whatever was may have, also where a kept connection was
closed under it, as nobody can tell whether the node read it first.
"""

from __future__ import annotations

from enum import Enum

from fawnspool.scheduling.interface import Result


class Ending(Enum):
    """How an attempt ended, as the sockets showed it."""

    ANSWERED = "answered"
    ANSWERED_TO_CLOSE = "answered without a length, whole at the close"
    NODE_ERROR = "the node answered with an error"
    TURNED_AWAY = "turned away unseen: full or draining"
    REFUSED = "connection refused or out of reach"
    CONNECT_TIMEOUT = "no connection in time"
    NO_PLACE = "this head has no connection or descriptor left for it"
    UNWRITTEN_RESET = "reset before the request was wholly written"
    UNWRITTEN_TIMEOUT = "time ran out before the request was wholly written"
    RESET = "reset after the request was written"
    CLOSED = "a kept connection was closed under the request"
    HALF_ANSWER = "closed in the middle of the answer"
    CUT_WITHOUT_LENGTH = "broke in an answer without a length"
    MALFORMED = "the answer is not HTTP"
    WRONG_LENGTH = "the answer has not the length it names"
    NO_ANSWER = "no answer in time"
    CALLED_OFF = "called off after it was sent"
    CALLED_OFF_UNSENT = "called off before it was sent"
    WITHDRAWN = "the node was told to drain before it was sent"
    UNKNOWN_NODE = "the node has left the list"
    OUT_OF_TIME = "its time was up before it was sent"
    BODY_SPENT = "the body is gone: too large to send again"
    BODY_LOST = "the client's body did not come whole"
    CLIENT_LEFT = "the client left while the answer was passed on"
    CLIENT_GONE = "the client left before it was sent"


RESULTS: dict[Ending, Result] = {
    Ending.ANSWERED: Result.SERVED,
    Ending.ANSWERED_TO_CLOSE: Result.SERVED,
    Ending.NODE_ERROR: Result.ERROR,
    Ending.TURNED_AWAY: Result.OVERLOADED,
    Ending.REFUSED: Result.CONNECT_FAILED,
    Ending.CONNECT_TIMEOUT: Result.CONNECT_FAILED,
    Ending.NO_PLACE: Result.NOT_SENT,
    Ending.UNWRITTEN_RESET: Result.CONNECT_FAILED,
    Ending.UNWRITTEN_TIMEOUT: Result.CONNECT_FAILED,
    Ending.RESET: Result.RESET,
    Ending.CLOSED: Result.RESET,
    Ending.HALF_ANSWER: Result.RESET,
    Ending.CUT_WITHOUT_LENGTH: Result.RESET,
    Ending.MALFORMED: Result.RESET,
    Ending.WRONG_LENGTH: Result.RESET,
    Ending.NO_ANSWER: Result.TIMED_OUT,
    Ending.CALLED_OFF: Result.CANCELLED,
    Ending.CALLED_OFF_UNSENT: Result.NOT_SENT,
    Ending.WITHDRAWN: Result.NOT_SENT,
    Ending.UNKNOWN_NODE: Result.NOT_SENT,
    Ending.OUT_OF_TIME: Result.NOT_SENT,
    Ending.BODY_SPENT: Result.NOT_SENT,
    Ending.BODY_LOST: Result.NOT_SENT,
    Ending.CLIENT_LEFT: Result.CANCELLED,
    Ending.CLIENT_GONE: Result.NOT_SENT,
}
NEVER_RAN = frozenset(e for e, r in RESULTS.items() if r in (Result.OVERLOADED, Result.CONNECT_FAILED, Result.NOT_SENT))
