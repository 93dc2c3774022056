"""Every way in which an attempt can end, and what the module is told of it: one table.

What counts is whether the node may have run the request. Nodes act on whole requests alone (docs/node-wire.md),
so what was not wholly handed to the kernel never ran; whatever was may have, also where a kept connection was
closed under it, as nobody can tell whether the node read it first.
"""

from __future__ import annotations

from enum import Enum

from fawnspool.interface import Result


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
    Ending.TURNED_AWAY: Result.FULL,
    Ending.REFUSED: Result.UNREACHED,
    Ending.CONNECT_TIMEOUT: Result.UNREACHED,
    Ending.NO_PLACE: Result.MOOT,
    Ending.UNWRITTEN_RESET: Result.UNREACHED,
    Ending.UNWRITTEN_TIMEOUT: Result.UNREACHED,
    Ending.RESET: Result.BROKEN,
    Ending.CLOSED: Result.BROKEN,
    Ending.HALF_ANSWER: Result.BROKEN,
    Ending.CUT_WITHOUT_LENGTH: Result.BROKEN,
    Ending.MALFORMED: Result.BROKEN,
    Ending.WRONG_LENGTH: Result.BROKEN,
    Ending.NO_ANSWER: Result.TIMED_OUT,
    Ending.CALLED_OFF: Result.CANCELLED,
    Ending.CALLED_OFF_UNSENT: Result.MOOT,
    Ending.WITHDRAWN: Result.MOOT,
    Ending.UNKNOWN_NODE: Result.MOOT,
    Ending.OUT_OF_TIME: Result.MOOT,
    Ending.BODY_SPENT: Result.MOOT,
    Ending.BODY_LOST: Result.MOOT,
    Ending.CLIENT_LEFT: Result.CANCELLED,
    Ending.CLIENT_GONE: Result.MOOT,
}
NEVER_RAN = frozenset(e for e, r in RESULTS.items() if r in (Result.FULL, Result.UNREACHED, Result.MOOT))
