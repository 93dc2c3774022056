"""Typed observations, decoded from the records of a run. All times are of one machine's monotonic clock, in seconds.

The forms of records, each a dict with its kind under "k" and its time under "t", by who writes them::

    client  ask   op n head vol cls units pat e w    a request has left: n its number, pat its patience, e its effect
    client  got   op n head how s                    its end: served, refused, failed, cut (it broke off), closed (no
                                                     answer at all), unreached, none (patience ran out), left (the
                                                     client itself went, by its script)
    client  extra op n head                          bytes behind the final answer: a second one
    client  wrong op n head                          bytes that are not what was stored
    node    up    node cold power cold_from warm_after
    node    in    node head id n op vol cls units x e w m    an attempt has wholly arrived
    node    did   node head id n op e dropped        its effect was applied, or dropped as a repeat
    node    out   node head id n op s lost how       its answer left (s 503 with how "full": rejected unseen)
    node    fell  node                               it was overloaded and died (not judged)
    node    elsewhere node head came vol key gen     a request came for an extent that the node does not serve
    list    told  head node phase age [began]        the list has notified a gateway; age: of the node, -1 long ago;
                                                     began: when the first byte may have left, t: when the last had
    drill   head  head what                          what is up, killed, or ended
    drill   stall head until                         the gateway stands still from t to `until`
    drill   flip  vol key gen                        the map service heard that an extent has migrated
    place   effect  node duty token who head what vol key [gen cell]   a migrator's step was taken (node -1: the map)
    place   fenced  node duty token who head what newest               one was refused as of an older holder
    head    duty    head who what duty token end why         took, until (renewed), lost; end: of its lease
    drill   fault   head what until duties           killed, stopped, cut, ...; what the gateway held then
    drill   drained left missing twice [named]       where extents lay at the end
    drill   ill     nodes                            a fault of nodes hits these
    drill   dgram   a b what lead body size          a datagram from gateway a to b passed, was lost or cut
    any     lag   who s                              how late a timer of this process rang
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

Record = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's attempt at an operation, as it left the client."""

    time: float
    operation: str
    number: int
    gateway: int
    volume: str
    units: float
    patience_s: float
    effect: str
    is_write: bool

    @classmethod
    def decode(cls, record: Record) -> ClientRequest:
        """Decode an `ask` record."""
        return cls(
            time=record["t"],
            operation=record["op"],
            number=record["n"],
            gateway=record["head"],
            volume=record["vol"],
            units=record["units"],
            patience_s=record["pat"],
            effect=record["e"],
            is_write=record["w"],
        )


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """How a client's attempt ended, as the client saw it."""

    time: float
    operation: str
    number: int
    how: str

    @classmethod
    def decode(cls, record: Record) -> RequestEnd:
        """Decode a `got` record."""
        return cls(time=record["t"], operation=record["op"], number=record["n"], how=record["how"])


@dataclass(frozen=True, slots=True)
class ExtraAnswer:
    """Bytes that came behind the final answer."""

    time: float
    operation: str
    number: int
    gateway: int

    @classmethod
    def decode(cls, record: Record) -> ExtraAnswer:
        """Decode an `extra` record."""
        return cls(time=record["t"], operation=record["op"], number=record["n"], gateway=record["head"])


@dataclass(frozen=True, slots=True)
class NodeStart:
    """A node's process has started; its power in units per second, of which it has `cold_fraction` at first."""

    time: float
    node: int
    is_cold: bool
    power: float
    cold_fraction: float
    warm_after_s: float

    @classmethod
    def decode(cls, record: Record) -> NodeStart:
        """Decode an `up` record."""
        return cls(
            time=record["t"],
            node=record["node"],
            is_cold=record["cold"],
            power=record["power"],
            cold_fraction=record["cold_from"],
            warm_after_s=record["warm_after"],
        )


@dataclass(frozen=True, slots=True)
class AttemptKey:
    """An attempt at a node: the gateway numbers its requests, and the attempts of each from 0."""

    node: int
    gateway: int
    request_id: int
    attempt: int

    @classmethod
    def decode(cls, record: Record) -> AttemptKey:
        """Decode the fields that `in` and `out` records share."""
        return cls(node=record["node"], gateway=record["head"], request_id=record["id"], attempt=record["n"])


@dataclass(frozen=True, slots=True)
class Arrival:
    """An attempt has wholly arrived at a node; `extent` is 0 for none."""

    time: float
    key: AttemptKey
    operation: str
    volume: str
    request_class: int
    units: float
    extent: int
    effect: str
    is_write: bool

    @property
    def node(self) -> int:
        """The node at which it arrived."""
        return self.key.node

    @property
    def gateway(self) -> int:
        """The gateway that sent it."""
        return self.key.gateway

    @property
    def request_id(self) -> int:
        """The gateway's number of the request."""
        return self.key.request_id

    @classmethod
    def decode(cls, record: Record) -> Arrival:
        """Decode an `in` record."""
        return cls(
            time=record["t"],
            key=AttemptKey.decode(record),
            operation=record["op"],
            volume=record["vol"],
            request_class=record["cls"],
            units=record["units"],
            extent=record["x"],
            effect=record["e"],
            is_write=record["w"],
        )


@dataclass(frozen=True, slots=True)
class NodeEffect:
    """A node applied an operation's effect, or dropped it as a repeat."""

    time: float
    operation: str
    effect: str
    was_dropped: bool

    @classmethod
    def decode(cls, record: Record) -> NodeEffect:
        """Decode a `did` record."""
        return cls(time=record["t"], operation=record["op"], effect=record["e"], was_dropped=record["dropped"])


@dataclass(frozen=True, slots=True)
class NodeAnswer:
    """A node's answer to an attempt has left it; status 0 or `lost` where a fault swallowed it or a part."""

    time: float
    key: AttemptKey
    status: int
    lost: str
    how: str

    @property
    def may_have_run(self) -> bool:
        """Whether the sender of the attempt has to assume that it ran."""
        return self.how not in ("full", "elsewhere")

    @classmethod
    def decode(cls, record: Record) -> NodeAnswer:
        """Decode an `out` record."""
        return cls(
            time=record["t"],
            key=AttemptKey.decode(record),
            status=record["s"],
            lost=record.get("lost", ""),
            how=record.get("how", ""),
        )


@dataclass(frozen=True, slots=True)
class MisdirectedRequest:
    """A request came to a node that does not serve its extent; a generation below 0: does not serve it yet."""

    arrived: float
    volume: str
    key: str
    generation: int

    @classmethod
    def decode(cls, record: Record) -> MisdirectedRequest:
        """Decode an `elsewhere` record."""
        return cls(arrived=record["came"], volume=record["vol"], key=record["key"], generation=record["gen"])


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """The endpoint list has notified a gateway of a node's phase.

    Attributes
    ----------
    time
        When the last byte had left.
    began
        When the first byte may have left.
    node_age_s
        Seconds since the node started; below 0 for long ago.
    """

    time: float
    began: float
    gateway: int
    node: int
    phase: str
    node_age_s: float

    @property
    def is_ready(self) -> bool:
        """Whether the node takes new requests."""
        return self.phase == "ready"

    @classmethod
    def decode(cls, record: Record) -> EndpointNotice:
        """Decode a `told` record."""
        return cls(
            time=record["t"],
            began=record.get("began", record["t"]),
            gateway=record["head"],
            node=record["node"],
            phase=record["phase"],
            node_age_s=record["age"],
        )


@dataclass(frozen=True, slots=True)
class GatewayChange:
    """A gateway's process came up, was killed or ended."""

    time: float
    gateway: int
    what: str

    @classmethod
    def decode(cls, record: Record) -> GatewayChange:
        """Decode a `head` record."""
        return cls(time=record["t"], gateway=record["head"], what=record["what"])


@dataclass(frozen=True, slots=True)
class Stall:
    """A gateway stood still for a while."""

    gateway: int
    start: float
    end: float

    @classmethod
    def decode(cls, record: Record) -> Stall:
        """Decode a `stall` record."""
        return cls(gateway=record["head"], start=record["t"], end=record["until"])


@dataclass(frozen=True, slots=True)
class MapUpdate:
    """The map service heard that an extent has migrated."""

    time: float
    volume: str
    key: str
    generation: int

    @classmethod
    def decode(cls, record: Record) -> MapUpdate:
        """Decode a `flip` record."""
        return cls(time=record["t"], volume=record["vol"], key=record["key"], generation=record["gen"])


@dataclass(frozen=True, slots=True)
class LeasedStep:
    """A step under a lease that a node (or the map service, node -1) took, or refused as of an older holder.

    Attributes
    ----------
    lease
        Name of the leased role; empty for a step without a token.
    incarnation, gateway
        The holder's; a step without a token names no gateway.
    generation, shard
        Of the extent, in steps that update the map.
    was_fenced
        Whether the step was refused.
    newest_token
        In a refused step, the newest token that the node had seen.
    """

    time: float
    node: int
    lease: str
    token: int
    incarnation: int
    gateway: int | None
    what: str
    volume: str | None
    key: str | None
    generation: int | None
    shard: int | None
    was_fenced: bool
    newest_token: int | None

    @classmethod
    def decode(cls, record: Record) -> LeasedStep:
        """Decode an `effect` or a `fenced` record."""
        return cls(
            time=record["t"],
            node=record["node"],
            lease=record["duty"],
            token=record["token"],
            incarnation=record["who"],
            gateway=record.get("head"),
            what=record["what"],
            volume=record.get("vol"),
            key=record.get("key"),
            generation=record.get("gen"),
            shard=record.get("cell"),
            was_fenced=record["k"] == "fenced",
            newest_token=record.get("newest"),
        )


@dataclass(frozen=True, slots=True)
class LeaseChange:
    """A gateway's own record of a lease: acquired, renewed or lost."""

    time: float
    gateway: int
    incarnation: int
    what: str
    lease: str
    token: int
    end: float
    why: str

    @property
    def is_acquired(self) -> bool:
        """Whether the gateway acquired the lease."""
        return self.what == "took"

    @property
    def is_renewed(self) -> bool:
        """Whether the gateway renewed the lease."""
        return self.what == "until"

    @property
    def is_lost(self) -> bool:
        """Whether the gateway lost the lease or released it."""
        return self.what == "lost"

    @classmethod
    def decode(cls, record: Record) -> LeaseChange:
        """Decode a `duty` record."""
        return cls(
            time=record["t"],
            gateway=record["head"],
            incarnation=record["who"],
            what=record["what"],
            lease=record["duty"],
            token=record["token"],
            end=record["end"],
            why=record["why"],
        )


@dataclass(frozen=True, slots=True)
class GatewayFault:
    """A fault that the drill caused at a gateway (-1: at the links of all), and the leases that it held then."""

    time: float
    gateway: int
    what: str
    until: float
    leases: tuple[str, ...]

    @classmethod
    def decode(cls, record: Record) -> GatewayFault:
        """Decode a `fault` record."""
        return cls(
            time=record["t"],
            gateway=record["head"],
            what=record["what"],
            until=record.get("until", record["t"]),
            leases=tuple(record.get("duties", ())),
        )


@dataclass(frozen=True, slots=True)
class DrainResult:
    """Where extents lay at the end: left in a drained shard, nowhere, or in two places."""

    time: float
    left: int
    missing: int
    duplicated: int
    names: str

    @classmethod
    def decode(cls, record: Record) -> DrainResult:
        """Decode a `drained` record."""
        return cls(
            time=record["t"],
            left=record["left"],
            missing=record["missing"],
            duplicated=record["twice"],
            names=record.get("named", ""),
        )


@dataclass(frozen=True, slots=True)
class PeerDatagram:
    """A datagram between two gateways, and whether it passed, was lost or cut."""

    what: str
    leading_byte: int | None
    size_bytes: int

    @classmethod
    def decode(cls, record: Record) -> PeerDatagram:
        """Decode a `dgram` record."""
        return cls(what=record["what"], leading_byte=record.get("lead"), size_bytes=record["size"])
