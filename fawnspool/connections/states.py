"""The states of a client's connection, why one ends, and what response each end owes.

What was read is answered; what is unread is left for the client to send again, and the system's reset tells it so.

| state     | bytes come | the client ends or it breaks | deadline | eviction | shutdown   | internal error |
| --------- | ---------- | ---------------------------- | -------- | -------- | ---------- | -------------- |
| new, idle | reading    | closed                       | closed   | closed   | closed     | -              |
| reading   | handling   | closed                       | 408      | never    | 503        | 500            |
| handling  | left there | given up                     | answered | never    | answered   | 500            |
| answering | left there | closed                       | closed   | never    | written on | closed         |
| closing   | left there | closed                       | closed   | never    | closed     | closed         |

"Closed" leaves unread bytes unread. A shutdown waits for what is being handled; only a process that is ended under it
(`CloseCause.KILLED`) cuts it short, and then it is answered with 500 first.

`next_state` holds the transitions, `owed_status` what an end owes.
"""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus


class ConnectionState(Enum):
    """Where a client's connection stands. The values are labels of figures and fields of log lines."""

    NEW = "new"  # accepted, no byte of a request read
    IDLE = "idle"  # between two requests, no byte of the next one read
    READING = "reading"  # some bytes of a request read, not all
    HANDLING = "in hand"  # a complete request read, its response owed
    ANSWERING = "answering"  # the response is being written
    CLOSING = "closing"  # the last response is given, or none is owed


class ConnectionEvent(Enum):
    """What changes a connection's state."""

    REQUEST_AWAITED = "request awaited"  # its last exchange is over and it goes on
    REQUEST_BEGAN = "request began"  # bytes of a request were read
    REQUEST_COMPLETE = "request complete"  # a request was read to its end
    RESPONSE_BEGAN = "response began"
    ENDED = "ended"


_TRANSITIONS: dict[ConnectionState, dict[ConnectionEvent, ConnectionState]] = {
    ConnectionState.NEW: {
        ConnectionEvent.REQUEST_BEGAN: ConnectionState.READING,
    },
    ConnectionState.IDLE: {
        ConnectionEvent.REQUEST_BEGAN: ConnectionState.READING,
    },
    ConnectionState.READING: {
        ConnectionEvent.REQUEST_BEGAN: ConnectionState.READING,
        ConnectionEvent.REQUEST_COMPLETE: ConnectionState.HANDLING,
        ConnectionEvent.RESPONSE_BEGAN: ConnectionState.ANSWERING,
    },
    ConnectionState.HANDLING: {
        ConnectionEvent.REQUEST_AWAITED: ConnectionState.IDLE,  # a handler sent its response by its own means
        ConnectionEvent.RESPONSE_BEGAN: ConnectionState.ANSWERING,
    },
    ConnectionState.ANSWERING: {
        ConnectionEvent.REQUEST_AWAITED: ConnectionState.IDLE,
        ConnectionEvent.REQUEST_COMPLETE: ConnectionState.HANDLING,  # read on behind an early response
    },
    ConnectionState.CLOSING: {  # another greenlet may still work on its exchange
        ConnectionEvent.REQUEST_COMPLETE: ConnectionState.CLOSING,
        ConnectionEvent.RESPONSE_BEGAN: ConnectionState.CLOSING,
    },
}


class CloseCause(Enum):
    """Why a connection ended. The values are labels of figures and fields of log lines."""

    ANSWERED = "its last answer was given"
    PEER_CLOSED = "the client closed it"
    RESET = "it broke"
    DEADLINE = "its time ran out"
    EVICTION = "another needed its place"
    SHUTDOWN = "the head ends"
    BAD_MESSAGE = "a malformed request"
    INTERNAL_ERROR = "an error of the head"
    KILLED = "the process ended under it"


_CLIENT_LEFT = frozenset((CloseCause.PEER_CLOSED, CloseCause.RESET))

# By the state in which a request without a response is cut short: the status by cause, where it is not 500.
_STATUS_BY_CAUSE: dict[ConnectionState, dict[CloseCause, HTTPStatus]] = {
    ConnectionState.READING: {
        CloseCause.DEADLINE: HTTPStatus.REQUEST_TIMEOUT,
        CloseCause.SHUTDOWN: HTTPStatus.SERVICE_UNAVAILABLE,
    },
    ConnectionState.HANDLING: {CloseCause.DEADLINE: HTTPStatus.REQUEST_TIMEOUT},
}


class IllegalTransitionError(Exception):
    """A mistake in the program: an event that cannot come in a state."""

    def __init__(self, state: ConnectionState, event: ConnectionEvent) -> None:
        super().__init__(f"{event.value} in state {state.value}")


def next_state(state: ConnectionState, event: ConnectionEvent) -> ConnectionState:
    """Return the state that follows. Raises IllegalTransitionError where `event` cannot come in `state`."""
    if event is ConnectionEvent.ENDED:
        return ConnectionState.CLOSING
    following = _TRANSITIONS[state].get(event)
    if following is None:
        raise IllegalTransitionError(state, event)
    return following


def owed_status(state: ConnectionState, cause: CloseCause) -> HTTPStatus | None:
    """Return the status owed where a connection ends and its request has no response yet; None: nothing is owed."""
    by_cause = _STATUS_BY_CAUSE.get(state)
    if by_cause is None or cause in _CLIENT_LEFT:
        return None
    return by_cause.get(cause, HTTPStatus.INTERNAL_SERVER_ERROR)
