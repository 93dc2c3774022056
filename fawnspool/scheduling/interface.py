"""The events that the scheduler is told, the actions that it answers with, and its settings.

Plain records; nothing here decides anything. Times are seconds on the caller's clock, sizes are units of work, and
nodes, volumes, extents and shards are opaque numbers. Fields keep the values that stand in recordings, where 0 or -1
may say that there is none. Some records exist for the wire and for recordings alone; the scheduler makes nothing of
them (docs/design.md).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotence(Enum):
    """What running a request twice would do."""

    IDEMPOTENT = "safe"  # nothing: repeat and refuse freely
    WITH_KEY = "keyed"  # nodes of one scope drop a repeat for a while
    NON_IDEMPOTENT = "unsafe"  # harm: never twice


class DeduplicationScope(Enum):
    """Which nodes drop a repeat of a request with a key that one of them has run."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


class Phase(Enum):
    """Whether a node takes requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(Enum):
    """What an endpoint update holds."""

    CACHED = "saved"  # what the gateway last had; maybe old
    SNAPSHOT = "whole"
    DELTA = "changes"
    POLL_FAILED = "failed"  # the list that is known stands


class Result(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"  # answered with an error: may have run
    OVERLOADED = "full"  # rejected by the node: never ran
    TIMED_OUT = "timed out"  # may have run, may still run
    CONNECT_FAILED = "unreached"  # no connection: never ran
    RESET = "broken"  # connection broke: may have run
    CANCELLED = "cancelled"  # by this gateway: may have run
    NOT_SENT = "moot"  # never sent


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What clients expect of requests of one kind. Priority weights are per unit of work, relative to other classes."""

    name: str
    latency_objective_s: float
    deadline_s: float
    priority_weight: float
    late_priority_weight: float
    idempotence: Idempotence
    deduplication_scope: DeduplicationScope
    deduplication_window_s: float  # how long nodes remember the key
    writes: bool
    stream: bool
    ordered: bool  # requests of one extent run one at a time, in turn


@dataclass(frozen=True, slots=True)
class Plan:
    """What a volume's owner has paid for."""

    name: str
    rate: float  # nominal units a second of one volume
    reserved_rate: float  # units a second that keep their full priority weight
    weight: float
    priority_factor: float
    rate_limit: float  # units a second; 0: none
    rate_limit_burst: float
    rate_limit_tolerance: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What the platform and its nodes are like, for one gateway."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_count: int
    gateway_id: int
    zone: int
    polls_endpoints: bool  # the endpoint list comes only when asked for
    poll_interval_s: float
    drain_grace_s: float
    answer_slack_s: float
    overload_window_s: float  # a cold node falls over when overfed for this long
    overload_multiple: float
    initial_capacity_fraction: float  # share of its capacity with which a node starts, at least
    warm_up_s: float
    slow_start_units: float  # that a cold node always bears within overload_window_s, from all gateways together
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
    retry_budget_minimum: float | None  # retries a window that are always allowed; None: no budget
    retry_budget_ratio: float
    retry_budget_window_s: float
    settle_after_ambiguity_s: float
    load_report_fields: tuple[str, ...]


# ---------------------------------------------------------------- events


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One node of the endpoint list."""

    node: int
    zone: int
    kind: int
    shard: int
    phase: Phase
    size: float
    started_at: float  # 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The endpoint list, or what changed in it."""

    kind: UpdateKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has come."""

    id: int
    class_index: int
    plan_index: int
    extent: int  # hash of the extent, or of the run it belongs to: order and runs go by it; 0: none
    timeout_s: float  # until the client gives up on this attempt
    volume: int
    units: float
    shard: int  # -1: a new object, any node
    gateway_count: int  # how many gateways the volume works through
    is_client_retry: bool  # the client's second try, where marked
    writes: bool

    @property
    def is_new_object(self) -> bool:
        """Whether any node may take it, as it is about an object that no node has yet."""
        return self.shard < 0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun: the client gets it from this attempt."""

    id: int
    attempt: int
    node: int
    elapsed_s: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt has ended."""

    id: int
    attempt: int
    node: int
    elapsed_s: float
    result: Result
    final: bool  # nothing more is owed for the request
    units_by_others: int  # units this node served the volume through other gateways since last told
    volume_usage: float | None  # the volume's whole use in a past period, as a share of its rate
    load_report: tuple[float, ...] | None
    reused_connection: bool = False  # it had carried other requests: a reset may be the connection's alone


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has left: no answer is owed any more."""

    id: int


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that was set has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """A health check has ended."""

    node: int
    result: Result
    elapsed_s: float
    load_report: tuple[float, ...] | None


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another gateway's scheduler."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class VolumeParticipants:
    """Other gateways that are known to serve a volume."""

    volume: int
    gateways: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class GossipedHealth:
    """What other gateways' evidence says of a node now: healthy where some found it so after all that failed."""

    node: int
    healthy: bool
    retry_delay_s: float = 0.0  # not healthy: until this gateway's turn to try it
    refused_connection: bool = False  # not healthy: it took no connection


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
    """Send a request to a node; it is attempt number 0, 1, ... of the request."""

    id: int
    node: int
    timeout_s: float = 0.0  # 0: until the client gives up
    write_within_s: float = 0.0  # wholly written within so long, or not at all; 0: no such bound


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Answer a request finally: it had no effect, or repeating it does no harm."""

    id: int
    retry_after_s: float = 0.0  # 0: no advice


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer a request finally: it may have had an effect, and must not be repeated unseen."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Call an attempt off; its outcome is still owed."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Tell the token in a Timer event after the delay."""

    delay_s: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a node's health."""

    node: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a node."""

    node: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to other gateways' schedulers."""

    gateway_id: int | None  # None: every other gateway
    body: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class SetWatch:
    """Start or stop watching the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask once for the whole endpoint list."""


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
