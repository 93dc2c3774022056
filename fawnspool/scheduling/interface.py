"""The scheduler's input events, the actions it returns, and its settings.

This module holds plain records only. Times are seconds on the caller's clock, sizes are units of work, and nodes,
volumes, extents and shards are opaque numbers. Fields have the same values as in recordings, where 0 or -1 may mean
that there is none. Some records exist only for the wire and for recordings; the scheduler ignores them
(docs/design.md).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotence(Enum):
    """The effect of running a request twice."""

    IDEMPOTENT = "safe"  # none: it may be repeated and rejected at any time
    WITH_KEY = "keyed"  # nodes within the deduplication scope drop a repeat during the deduplication window
    NON_IDEMPOTENT = "unsafe"  # harmful: it must not run twice


class DeduplicationScope(Enum):
    """The nodes that drop a repeated request with a key once one of them has run it."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "cell"


class Phase(Enum):
    """Whether a node accepts requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(Enum):
    """The contents of an endpoint update."""

    CACHED = "saved"  # the list that the gateway last saved; it may be old
    SNAPSHOT = "whole"
    DELTA = "changes"
    POLL_FAILED = "failed"  # no list was received; the known one stays valid


class Result(Enum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"  # the node answered with an error: the request may have run
    OVERLOADED = "full"  # the node rejected the request: it never ran
    TIMED_OUT = "timed out"  # the request may have run or may still be running
    CONNECT_FAILED = "unreached"  # no connection was made: the request never ran
    RESET = "broken"  # the connection broke: the request may have run
    CANCELLED = "cancelled"  # this gateway cancelled the attempt: the request may have run
    NOT_SENT = "moot"  # the attempt was never sent


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class; its priority weights are per unit of work and relative to other classes."""

    name: str
    latency_objective_s: float
    deadline_s: float
    priority_weight: float
    late_priority_weight: float
    idempotence: Idempotence
    deduplication_scope: DeduplicationScope
    deduplication_window_s: float  # how long nodes remember an idempotency key
    writes: bool
    stream: bool
    ordered: bool  # requests of one extent run one at a time, in order of arrival


@dataclass(frozen=True, slots=True)
class Plan:
    """The performance that a volume's owner has paid for."""

    name: str
    rate: float  # nominal rate of one volume, units per second
    reserved_rate: float  # units per second that keep their full priority weight
    weight: float
    priority_factor: float
    rate_limit: float  # units per second; 0: no limit
    rate_limit_burst: float
    rate_limit_tolerance: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one gateway: properties of the platform and of its nodes."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_count: int
    gateway_id: int
    zone: int
    polls_endpoints: bool  # the endpoint list is polled rather than pushed
    poll_interval_s: float
    drain_grace_s: float
    answer_slack_s: float
    overload_window_s: float  # a cold node fails when it is overloaded for this long
    overload_multiple: float
    initial_capacity_fraction: float  # least share of its full capacity that a node has when it starts
    warm_up_s: float
    slow_start_units: float  # a cold node can serve this many within overload_window_s, from all gateways together
    mean_units: float
    largest_units: float
    shard_count: int
    within_share_priority_weight: float
    spare_priority_weight: float
    meter_period_s: float  # period of the volume meter; 0: there is no meter
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
    retry_budget_minimum: float | None  # retries per window that are always allowed; None: no budget
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
    started_at: float  # 0: it started long ago


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The endpoint list, or the changes in it."""

    kind: UpdateKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request has arrived."""

    id: int
    class_index: int
    plan_index: int
    extent: int  # hash of the extent or of the run, by which requests are ordered and run together; 0: none
    timeout_s: float  # time until the client gives up on this attempt
    volume: int
    units: float
    shard: int  # -1: a new object, which any node may store
    gateway_count: int  # number of gateways that serve the volume
    is_client_retry: bool  # the client's second try, where marked
    writes: bool

    @property
    def is_new_object(self) -> bool:
        """Whether the request creates an object, so that any node may serve it."""
        return self.shard < 0


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun; the client receives the answer of this attempt."""

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
    final: bool  # the client is owed no further answer to the request
    units_by_others: int  # units the node served the volume through other gateways since its last report
    volume_usage: float | None  # the volume's use through all gateways in a past period, as a share of its rate
    load_report: tuple[float, ...] | None
    reused_connection: bool = False  # the connection had carried other requests: a reset may not be the node's fault


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected; it is owed no answer any more."""

    id: int


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer has expired."""

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
    """A message from another gateway's scheduler."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class VolumeParticipants:
    """The other gateways that are known to serve a volume."""

    volume: int
    gateways: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class GossipedHealth:
    """Other gateways' health evidence on a node: healthy if a success is newer than all failures."""

    node: int
    healthy: bool
    retry_delay_s: float = 0.0  # if not healthy: delay until this gateway's turn to try the node
    refused_connection: bool = False  # if not healthy: the node refused connections


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
    """Send a request to a node; attempts of a request are numbered 0, 1, ... in the order of their sends."""

    id: int
    node: int
    timeout_s: float = 0.0  # 0: the time until the client gives up
    write_within_s: float = 0.0  # time within which the whole request is written, or else not sent; 0: no bound


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Give a request its final answer: it had no effect, or repeating it does no harm."""

    id: int
    retry_after_s: float = 0.0  # delay advised to the client; 0: none


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Give a request its final answer: it may have had an effect, and the client must check before repeating it."""

    id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; the scheduler still expects its outcome."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver a Timer event with the token after the delay."""

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

    gateway_id: int | None  # None: to every other gateway
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
    """Request the complete endpoint list once."""


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
