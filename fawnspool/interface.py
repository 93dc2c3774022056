"""What the decision module is told, and what it may ask for.

Plain records in the field's own terms; nothing here decides anything. Times are seconds
on the caller's clock, sizes are units, node and volume names are opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"  # nothing: repeat and refuse freely
    KEYED = "keyed"  # nodes of one group drop a repeat for a while
    UNSAFE = "unsafe"  # harm: never twice


class Group(Enum):
    """Which nodes drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Phase(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    SAVED = "saved"  # what the head last had; maybe old
    WHOLE = "whole"
    CHANGES = "changes"
    FAILED = "failed"  # asking failed; the held list stands


class Result(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"  # answered with an error: may have run
    FULL = "full"  # turned away unseen
    TIMED_OUT = "timed out"  # may have run, may still run
    UNREACHED = "unreached"  # no connection: never ran
    BROKEN = "broken"  # connection broke: may have run
    CANCELLED = "cancelled"  # called off: may have run
    MOOT = "moot"  # never sent


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim: float
    deadline: float
    worth: float
    late_worth: float
    effect: Effect
    group: Group
    window: float  # how long a group remembers a keyed request
    writes: bool
    stream: bool
    ordered: bool  # requests of one extent run one at a time, in turn


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    rate: float  # nominal units a second of one volume
    reserve: float  # units a second that earn their full worth
    weight: float
    worth_factor: float
    limit: float  # units a second; 0: none
    limit_depth: float
    limit_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    heads: int
    me: int
    zone: int
    must_ask: bool  # the node list comes only when asked for
    must_ask_in: float
    drain_grace: float
    answer_slack: float
    fall: float  # a cold node falls over when overfed for this long
    fall_multiple: float
    cold_capacity: float  # share of its capacity with which a node starts, at least
    warm_after: float
    young_limit: float  # units that a cold node always bears within `fall`, all heads together
    mean_units: float
    largest_units: float
    cells: int
    share_worth: float
    spare_worth: float
    meter: float  # period of the volume meter; 0: none
    tells_others: bool
    try_limit: int
    second_copies: bool
    may_cancel: bool
    may_probe: bool
    peers: bool
    retry_after: bool
    max_retry_after: float
    connect_timeout: float
    tick: float
    extra_free: float | None  # attempt budget; None: no budget asked
    extra_ratio: float
    extra_span: float
    settle_after_doubt: float
    load_fields: tuple[str, ...]


# ---------------------------------------------------------------- events


@dataclass(frozen=True, slots=True)
class ListEntry:
    node: int
    zone: int
    kind: int
    cell: int
    phase: Phase
    size: float
    started: float  # 0: long ago


@dataclass(frozen=True, slots=True)
class NodeList:
    kind: ListKind
    version: int
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True)
class Request:
    id: int
    cls: int
    plan: int
    extent: int  # 0: none
    patience: float  # until the client gives up on this try
    volume: int
    units: float
    cell: int  # -1: a new object, any node
    heads: int  # how many heads the volume works through
    repeat: bool  # the client's second try, where marked
    writes: bool


@dataclass(frozen=True, slots=True)
class Begun:
    """A streamed answer has begun; the attempt is the client's."""

    id: int
    attempt: int
    node: int
    took: float


@dataclass(frozen=True, slots=True)
class Outcome:
    id: int
    attempt: int
    node: int
    took: float
    result: Result
    final: bool  # nothing more is owed for the request
    by_others: int  # units this node served the volume through other heads since last told
    used: float | None  # the volume's whole use in a past period, as a share of its rate
    load: tuple[float, ...] | None
    kept: bool = False  # it went over a connection that had carried others: its break may be only that's


@dataclass(frozen=True, slots=True)
class ClientGone:
    id: int


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    node: int
    result: Result
    took: float
    load: tuple[float, ...] | None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Takers:
    """Other heads that are known to serve a volume."""

    volume: int
    heads: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Hearsay:
    """What other heads' evidence says of a node now. well: some found it so after all that was said against it."""

    node: int
    well: bool
    pause: float = 0.0  # not well: seconds until this head's turn to try it
    shut: bool = False  # not well: it took no connection


Event = NodeList | Request | Begun | Outcome | ClientGone | Timer | Probed | PeerMessage | Takers | Hearsay


# --------------------------------------------------------------- actions


@dataclass(frozen=True, slots=True)
class Send:
    id: int
    node: int
    timeout: float = 0.0  # 0: until the client gives up
    write_within: float = 0.0  # it must be wholly written within so long, or not at all; 0: no such bound


@dataclass(frozen=True, slots=True)
class Refuse:
    id: int
    retry_after: float = 0.0  # 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    node: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    node: int


@dataclass(frozen=True, slots=True)
class Tell:
    head: int | None  # None: every other head
    body: bytes


@dataclass(frozen=True, slots=True)
class Log:
    text: str


@dataclass(frozen=True, slots=True)
class Watch:
    on: bool


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask once for the whole node list."""


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Log | Watch | FetchList
