"""What a live head decides of its connections. No I/O, no clock: counts and times in seconds come from the caller.

Guards the descriptors, which are few, and clients, who may hold a part of them and no more. Requests are none of its
business: those are the scheduler's.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

OWN_FILES = 32  # descriptors that are neither a client's nor a node's: loop, log, list service, spare
NODES_PART = 3  # one of so many parts of the rest is the nodes'
NODE_LEAST = 4  # connections that a node may always have
CROWD_PART = 4  # clients hold a third of all at most: at a fourth there is still room for others
IDLE_SHARE = 0.8  # of the time after which nodes close an idle connection: a request must not cross that
COOLDOWN = 0.02  # a second answer may follow the first some milliseconds late: until then no request goes there
QUIET = 2.2  # rude clients are owed a close within 3 s; without a request 2 s are owed to any
KEPT = 4.0  # usual clients come back to a connection that has carried a request
WATCH_BEATS = 1.75  # a watch whose heartbeat is three quarters of one late has fallen silent
CALL_BEATS = 1.25  # a call in vain just before the list service is back leaves time for two more
OLDER = 3  # lists older than what is held, one after the other: then the service counts anew
SPARE = 0.3  # before it may be killed a head has answered all for so long
LAST = 0.2  # what comes last has so long for its answer
REREAD = 0.1  # seconds until a configuration that is not whole is read again, and how often
REREADS = 10
LONG_PART = 8  # one of so many parts of a head's memory may hold long bodies of requests


@dataclass(frozen=True)
class Places:
    """Connections at most: of clients, to one node, and of clients from which an answer ends its own."""

    clients: int
    node: int
    crowd: int


def places(descriptors: int, cells: int) -> Places:
    """How a limit of descriptors is dealt out. Harm where nodes are few: a node's places bind before the module's."""
    room = max(2 * NODE_LEAST, descriptors - OWN_FILES)
    nodes = room // NODES_PART
    return Places(
        max(NODE_LEAST, room - nodes), max(NODE_LEAST, nodes // max(1, cells)), max(2, descriptors // CROWD_PART)
    )


def crowded(open_now: int, crowd: int) -> bool:
    """Must a connection end with its answer? Guards clients against those that ask once and stay. Harm: those that
    would have come back connect again. crowd 0: never."""
    return 0 < crowd <= open_now


class Kind(Enum):
    """A client's connection without a request: between two, or before its first."""

    KEPT = "kept"
    SILENT = "silent"


def makes_room(kept: int, silent: int) -> Kind | None:
    """Of which kind the one that has waited longest goes when all places are taken; None: none waits. The more
    numerous kind: a flood of either must not drive out the other. Harm: a slow client's first request."""
    if not kept + silent:
        return None
    return Kind.SILENT if silent >= kept else Kind.KEPT


@dataclass(frozen=True)
class Ending:
    """The end of a head that was told to go, on the caller's clock: it may go unused from `unused` on; from `refuse` on
    it takes no new connection, and an answer ends its own; it closes those at rest at `close`, has answered all by
    `answered` and is gone by `gone`."""

    unused: float
    refuse: float
    close: float
    answered: float
    gone: float


def ending(told: float, new_for: float, killed_after: float) -> Ending:
    """new_for: how long new connections may still come; killed_after: when it may be killed at the earliest. It serves
    as long as it may, as nobody takes its place before. New connections are refused before kept ones are closed:
    clients of these would come back on new ones, to the very end. Harm: a machine that stands still for over SPARE."""
    kill = told + killed_after
    answered = max(told, kill - SPARE)
    refuse, close = max(told, answered - LAST), max(told, answered - LAST / 2)
    return Ending(told + 2 * new_for, refuse, close, answered, max(told, kill - SPARE / 2))


@dataclass(frozen=True)
class WatchTimes:
    """Seconds: without a whole line after which a watch has fallen silent; in which a call must have its answer and a
    watch its head, connection included."""

    silence: float
    call: float


def watch_times(heartbeat: float) -> WatchTimes:
    """What a silent watch misses counts as told three heartbeats after it fell silent, and any change as long after the
    service had it and could be reached. Harm: a service that is later than this for a while is called anew."""
    return WatchTimes(WATCH_BEATS * heartbeat, CALL_BEATS * heartbeat)


def reopens(began: bool, silent: bool) -> bool:
    """Is a watch that ended opened anew at once, and not when the module says? Only one that stood and fell silent:
    there is no time for a pause, and heads notice it as far apart as their heartbeats are. Guards against news that
    counts as told before it is heard. Harm: none that a pause would spare, as each costs its silence first."""
    return began and silent


def believes_older(in_a_row: int) -> bool:
    """Is a whole list older than the one held to be taken? An answer made before a change that is known must not bring
    back a node that drains; a service that lost its count must not be refused for ever. Harm: the news of a service
    that counts anew comes two calls late."""
    return in_a_row >= OLDER


def reads_again(tries: int) -> float | None:
    """Seconds after which a configuration that was not whole is read again; None: no more. Guards against a file that
    is just being written when a signal or a start comes. Harm: a bad one is refused a second later."""
    return REREAD if tries < REREADS else None


def takes_long(size: int, held: int, memory: int) -> bool:
    """May one more body that is longer than usual be held, of `size` bytes beside `held` of such? Guards the memory, as
    clients decide how many come at once. Harm: a long one is refused that would have found room a moment later."""
    return held + size <= memory // LONG_PART
