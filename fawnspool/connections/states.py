"""The states of a client's connection, why one ends, and what each end owes. No I/O, no clock.

What was read is answered; what is unread is left for the client to send again, and the system's reset tells it so.

| state     | bytes come | the client ends or it breaks | deadline | eviction | the head ends | an error of the head |
| --------- | ---------- | ---------------------------- | -------- | -------- | ------------- | -------------------- |
| new, idle | reading    | closed                       | closed   | closed   | closed        | -                    |
| reading   | in hand    | closed                       | 408      | never    | 503           | 500                  |
| in hand   | left there | given up                     | answered | never    | answered      | 500                  |
| answering | left there | closed                       | closed   | never    | written on    | closed               |
| closing   | left there | closed                       | closed   | never    | closed        | closed               |

"Closed" leaves unread bytes unread. The head's end waits for what is in hand; only a process that is ended under it
(`Cause.KILLED`) cuts it short, and then it is answered with 500 first.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """Where a client's connection stands."""

    NEW = "new"  # accepted, no byte of a request read
    IDLE = "idle"  # between two requests, no byte of the next one read
    READING = "reading"  # some bytes of a request read, not all
    IN_HAND = "in hand"  # a whole request read, its answer owed
    ANSWERING = "answering"  # the answer is being written
    CLOSING = "closing"  # the last answer is given, or none is owed


class Cause(Enum):
    """Why a connection ended."""

    ANSWERED = "its last answer was given"
    PEER_END = "the client closed it"
    RESET = "it broke"
    DEADLINE = "its time ran out"
    EVICTION = "another needed its place"
    SHUTDOWN = "the head ends"
    BAD_MESSAGE = "a malformed request"
    OWN_ERROR = "an error of the head"
    KILLED = "the process ended under it"


class Owed(Enum):
    """What a client is owed before its connection ends: a status, or nothing."""

    NOTHING = 0
    TIMED_OUT = 408
    FAILED = 500
    REFUSED = 503


_GONE = frozenset((Cause.PEER_END, Cause.RESET))


def owed(state: State, cause: Cause) -> Owed:
    """What is owed where a connection in `state` ends by `cause` and its request has no answer yet."""
    if cause in _GONE or state not in (State.READING, State.IN_HAND):
        return Owed.NOTHING
    if cause is Cause.SHUTDOWN:
        return Owed.REFUSED if state is State.READING else Owed.FAILED
    if cause is Cause.DEADLINE:
        return Owed.TIMED_OUT
    return Owed.FAILED
