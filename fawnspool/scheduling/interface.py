"""What the decision module is told, and what it may ask for.

Plain records in the field's own terms; nothing here decides anything. Times are seconds
on the caller's clock, sizes are units, node and volume names are opaque numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotence(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"  # nothing: repeat and refuse freely
    WITH_KEY = "keyed"  # nodes of one group drop a repeat for a while
    NON_IDEMPOTENT = "unsafe"  # harm: never twice


class DeduplicationScope(Enum):
    """Which nodes drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


class Phase(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(Enum):
    CACHED = "saved"  # what the head last had; maybe old
    SNAPSHOT = "whole"
    DELTA = "changes"
    POLL_FAILED = "failed"  # asking failed; the held list stands


class Result(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"  # answered with an error: may have run
    OVERLOADED = "full"  # turned away unseen
    TIMED_OUT = "timed out"  # may have run, may still run
    CONNECT_FAILED = "unreached"  # no connection: never ran
    RESET = "broken"  # connection broke: may have run
    CANCELLED = "cancelled"  # called off: may have run
    NOT_SENT = "moot"  # never sent


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    latency_objective_s: float
    deadline_s: float
    priority_weight: float
    late_priority_weight: float
    idempotence: Idempotence
    deduplication_scope: DeduplicationScope
    deduplication_window_s: float  # how long a group remembers a keyed request
    writes: bool
    stream: bool
    ordered: bool  # requests of one extent run one at a time, in turn


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    rate: float  # nominal units a second of one volume
    reserved_rate: float  # units a second that earn their full worth
    weight: float
    priority_factor: float
    rate_limit: float  # units a second; 0: none
    rate_limit_burst: float
    rate_limit_tolerance: float


@dataclass(frozen=True, slots=True)
class Settings:
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_count: int
    gateway_id: int
    zone: int
    polls_endpoints: bool  # the node list comes only when asked for
    poll_interval_s: float
    drain_grace_s: float
    answer_slack_s: float
    overload_window_s: float  # a cold node falls over when overfed for this long
    overload_multiple: float
    initial_capacity_fraction: float  # share of its capacity with which a node starts, at least
    warm_up_s: float
    slow_start_units: float  # units that a cold node always bears within `fall`, all heads together
    mean_units: float
    largest_units: float
    shard_count: int
    within_share_priority_weight: float
    spare_priority_weight: float
    meter_period_s: float  # period of the volume meter; 0: none
    reports_use_by_others: bool
    max_attempts: int
    hedging: bool
    can_cancel: bool
    can_probe: bool
    has_peer_messages: bool
    sends_retry_after: bool
    max_retry_after_s: float
    connect_timeout_s: float
    clock_tick_s: float
    retry_budget_minimum: float | None  # attempt budget; None: no budget asked
    retry_budget_ratio: float
    retry_budget_window_s: float
    settle_after_ambiguity_s: float
    load_report_fields: tuple[str, ...]


# ---------------------------------------------------------------- events


@dataclass(frozen=True, slots=True)
class Endpoint:
    node: int
    zone: int
    kind: int
    shard: int
    phase: Phase
    size: float
    started_at: float  # 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    kind: UpdateKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Request:
    id: int
    class_index: int
    plan_index: int
    extent: int  # 0: none
    timeout_s: float  # until the client gives up on this try
    volume: int
    units: float
    shard: int  # -1: a new object, any node
    gateway_count: int  # how many heads the volume works through
    is_client_retry: bool  # the client's second try, where marked
    writes: bool


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun; the attempt is the client's."""

    id: int
    attempt: int
    node: int
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class Outcome:
    id: int
    attempt: int
    node: int
    elapsed_s: float
    result: Result
    final: bool  # nothing more is owed for the request
    units_by_others: int  # units this node served the volume through other heads since last told
    volume_usage: float | None  # the volume's whole use in a past period, as a share of its rate
    load_report: tuple[float, ...] | None
    reused_connection: bool = False  # it went over a connection that had carried others: its break may be only that's


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    id: int


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    node: int
    result: Result
    elapsed_s: float
    load_report: tuple[float, ...] | None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class VolumeParticipants:
    """Other heads that are known to serve a volume."""

    volume: int
    gateways: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class GossipedHealth:
    """What other heads' evidence says of a node now. well: some found it so after all that was said against it."""

    node: int
    healthy: bool
    retry_delay_s: float = 0.0  # not well: seconds until this head's turn to try it
    refused_connection: bool = False  # not well: it took no connection


Event = (
    EndpointUpdate
    | Request
    | StreamStarted
    | Outcome
    | ClientDisconnected
    | Timer
    | Probed
    | PeerMessage
    | VolumeParticipants
    | GossipedHealth
)


# --------------------------------------------------------------- actions


@dataclass(frozen=True, slots=True)
class Send:
    id: int
    node: int
    timeout_s: float = 0.0  # 0: until the client gives up
    write_within_s: float = 0.0  # it must be wholly written within so long, or not at all; 0: no such bound


@dataclass(frozen=True, slots=True)
class RejectRequest:
    id: int
    retry_after_s: float = 0.0  # 0: no advice


@dataclass(frozen=True, slots=True)
class FailRequest:
    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    node: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    node: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    gateway_id: int | None  # None: every other head
    body: bytes


@dataclass(frozen=True, slots=True)
class Log:
    text: str


@dataclass(frozen=True, slots=True)
class SetWatch:
    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask once for the whole node list."""


Action = (
    Send
    | RejectRequest
    | FailRequest
    | Cancel
    | SetTimer
    | Probe
    | CloseIdle
    | SendPeerMessage
    | Log
    | SetWatch
    | FetchEndpoints
)
