"""The states of a client's connection, and why one ends. Names only: no I/O, no clock."""
from __future__ import annotations

from enum import Enum


class State(Enum):
    """Where a client's connection stands."""

    NEW = "new"                 # accepted, no byte of a request read
    IDLE = "idle"               # between two requests, no byte of the next one read
    READING = "reading"         # some bytes of a request read, not all
    IN_HAND = "in hand"         # a whole request read, its answer owed
    ANSWERING = "answering"     # the answer is being written
    CLOSING = "closing"         # the last answer is given, or none is owed
    CLOSED = "closed"


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
