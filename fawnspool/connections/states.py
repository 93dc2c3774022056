"""The states of a client's connection, the causes of its end, and the response owed at each end.

A request that was read is answered. Unread bytes are not: the operating system resets the connection, which tells the
client that it may send them again.

| state     | bytes arrive | client left | deadline | eviction | overload | shutdown  | internal error |
| --------- | ------------ | ----------- | -------- | -------- | -------- | --------- | -------------- |
| new, idle | reading      | closed      | closed   | closed   | -        | closed    | -              |
| reading   | handling     | closed      | 408      | never    | 503      | 503       | 500            |
| handling  | left unread  | abandoned   | answered | never    | never    | answered  | 500            |
| answering | left unread  | closed      | closed   | never    | never    | completed | closed         |
| closing   | left unread  | closed      | closed   | never    | never    | closed    | closed         |

"Client left": it closed the connection, or the connection broke. "Closed" leaves unread bytes unread. A shutdown waits
for requests that are being handled; they are cut short only if the process is ended meanwhile (`CloseCause.KILLED`) and
are then answered with 500 first.

`next_state` implements the transitions, and `owed_status` returns the response owed at an end.
"""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus


class ConnectionState(Enum):
    """The state of a client's connection; the values are labels of metrics and fields of log lines."""

    NEW = "new"  # accepted, no byte of a request read
    IDLE = "idle"  # between two requests, no byte of the next one read
    READING = "reading"  # a part of a request read
    HANDLING = "in hand"  # a complete request read, its response still owed
    ANSWERING = "answering"  # the response is being written
    CLOSING = "closing"  # the last response was written, or none is owed


class ConnectionEvent(Enum):
    """An event that changes a connection's state."""

    REQUEST_AWAITED = "request awaited"  # the last exchange has ended, and the connection stays open
    REQUEST_BEGAN = "request began"  # bytes of a request were read
    REQUEST_COMPLETE = "request complete"  # a request was read completely
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
        ConnectionEvent.REQUEST_AWAITED: ConnectionState.IDLE,  # a handler wrote its response to the connection itself
        ConnectionEvent.RESPONSE_BEGAN: ConnectionState.ANSWERING,
    },
    ConnectionState.ANSWERING: {
        ConnectionEvent.REQUEST_AWAITED: ConnectionState.IDLE,
        ConnectionEvent.REQUEST_COMPLETE: ConnectionState.HANDLING,  # the rest was read after an early response
    },
    ConnectionState.CLOSING: {  # another greenlet may still work on its exchange
        ConnectionEvent.REQUEST_COMPLETE: ConnectionState.CLOSING,
        ConnectionEvent.RESPONSE_BEGAN: ConnectionState.CLOSING,
    },
}


class CloseCause(Enum):
    """The cause of a connection's end; the values are labels of metrics and fields of log lines."""

    ANSWERED = "its last answer was given"
    PEER_CLOSED = "the client closed it"
    RESET = "it broke"
    DEADLINE = "its time ran out"
    EVICTION = "another needed its place"
    SHUTDOWN = "the head ends"
    BAD_MESSAGE = "a malformed request"
    OVERLOAD = "no memory was left for its request"
    INTERNAL_ERROR = "an error of the head"
    KILLED = "the process ended under it"


_CLIENT_LEFT = frozenset((CloseCause.PEER_CLOSED, CloseCause.RESET))

# Status of a request that ends without a response, by the connection's state and the cause; others get 500.
_STATUS_BY_CAUSE: dict[ConnectionState, dict[CloseCause, HTTPStatus]] = {
    ConnectionState.READING: {
        CloseCause.DEADLINE: HTTPStatus.REQUEST_TIMEOUT,
        CloseCause.SHUTDOWN: HTTPStatus.SERVICE_UNAVAILABLE,
        CloseCause.OVERLOAD: HTTPStatus.SERVICE_UNAVAILABLE,
    },
    ConnectionState.HANDLING: {CloseCause.DEADLINE: HTTPStatus.REQUEST_TIMEOUT},
}


class IllegalTransitionError(Exception):
    """A programming error: an event that is not possible in the connection's state."""

    def __init__(self, state: ConnectionState, event: ConnectionEvent) -> None:
        super().__init__(f"event not possible: {event.value} in state {state.value}")


def next_state(state: ConnectionState, event: ConnectionEvent) -> ConnectionState:
    """Return the state that follows, or raise IllegalTransitionError if `event` is not possible in `state`."""
    if event is ConnectionEvent.ENDED:
        return ConnectionState.CLOSING
    following = _TRANSITIONS[state].get(event)
    if following is None:
        raise IllegalTransitionError(state, event)
    return following


def owed_status(state: ConnectionState, cause: CloseCause) -> HTTPStatus | None:
    """Return the status owed to a request without a response when its connection ends; None: none is owed."""
    by_cause = _STATUS_BY_CAUSE.get(state)
    if by_cause is None or cause in _CLIENT_LEFT:
        return None
    return by_cause.get(cause, HTTPStatus.INTERNAL_SERVER_ERROR)
