"""Codec of the datagrams that gateways gossip with (bodies of at most 256 bytes).

    body = u8 0xB5, u8 type, u32 settings fingerprint, then rows

    1 PARTICIPATION       to a registrar: the sender serves these volumes. Usage rows: u64 volume, u16 gateway (the
                          sender), u32 incarnation, f32 units that it has sent so far, u16 age (10 ms)
    2 PARTICIPANTS_QUERY  the same as PARTICIPATION, and a request for the volumes' other participants
    3 PARTICIPANTS        a registrar's answer: usage rows of other gateways
    4 EVIDENCE            health evidence about nodes. Evidence rows: u32 node, u16 gateway that found it, u8 verdict,
                          u8 failures, u16 age (10 ms)

The leading byte distinguishes these bodies from lease messages (0xD0) and the scheduler's own (1, 2). Bodies that can't
be decoded are counted and dropped.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

LEADING_BYTE = 0xB5
MAX_BODY_BYTES = 256
AGE_STEP_S = 0.01
MAX_UNITS = 3e38
_MAX_U8 = 0xFF
_MAX_U16 = 0xFFFF
_U32_MASK = 0xFFFFFFFF
_HEADER = struct.Struct(">BBI")
_USAGE = struct.Struct(">QHIfH")
_EVIDENCE = struct.Struct(">IHBBH")


class GossipMessageType(IntEnum):
    """Type of a gossip message, as on the wire."""

    PARTICIPATION = 1
    PARTICIPANTS_QUERY = 2
    PARTICIPANTS = 3
    EVIDENCE = 4


class HealthVerdict(IntEnum):
    """A gateway's verdict about a node's health, as on the wire."""

    HEALTHY = 0
    UNRESPONSIVE = 1  # it does not answer
    UNREACHABLE = 2  # it accepts no connection; once it does again, it may have restarted


class GossipMessageError(Exception):
    """A datagram body is not a valid gossip message."""

    @classmethod
    def of_length(cls, size: int) -> GossipMessageError:
        """Return the error for a body that is shorter than a header or longer than the maximum."""
        return cls(f"body of {size} bytes is too short or too long")

    @classmethod
    def of_type(cls, message_type: int, leading_byte: int) -> GossipMessageError:
        """Return the error for an unknown leading byte or message type."""
        return cls(f"unknown message type {message_type} with leading byte {leading_byte:#x}")

    @classmethod
    def of_rows(cls, size: int, message_type: int) -> GossipMessageError:
        """Return the error for a body whose last row is incomplete."""
        return cls(f"body of {size} bytes does not hold whole rows of message type {message_type}")

    @classmethod
    def of_verdict(cls) -> GossipMessageError:
        """Return the error for a verdict that does not exist."""
        return cls("unknown health verdict")

    @classmethod
    def of_units(cls) -> GossipMessageError:
        """Return the error for units that are negative, too large or not a number."""
        return cls("units are negative, too large or not a number")


@dataclass(frozen=True, slots=True)
class UsageRow:
    """Units of a volume that one incarnation of a gateway has sent."""

    volume: int
    gateway_id: int
    incarnation: int
    units: float
    age_s: float


@dataclass(frozen=True, slots=True)
class EvidenceRow:
    """One gateway's finding about a node."""

    node: int
    gateway_id: int
    verdict: int
    failures: int
    age_s: float


Row = UsageRow | EvidenceRow


@dataclass(frozen=True, slots=True)
class GossipMessage:
    """One datagram; the message type determines the type of its rows."""

    type: GossipMessageType
    fingerprint: int
    rows: tuple[Row, ...] = ()


def max_rows(message_type: GossipMessageType) -> int:
    """Return how many rows of a message type fit into one body."""
    row = _EVIDENCE if message_type is GossipMessageType.EVIDENCE else _USAGE
    return (MAX_BODY_BYTES - _HEADER.size) // row.size


def encode(message: GossipMessage) -> bytes:
    """Return the datagram body of a message; rows that don't fit are left out."""
    header = _HEADER.pack(LEADING_BYTE, message.type, message.fingerprint)
    return header + b"".join(_encode_row(row) for row in message.rows[: max_rows(message.type)])


def _encode_row(row: Row) -> bytes:
    age_steps = min(_MAX_U16, max(0, round(row.age_s / AGE_STEP_S)))
    if isinstance(row, UsageRow):
        return _USAGE.pack(row.volume, row.gateway_id, row.incarnation, row.units, age_steps)
    failures = min(_MAX_U8, row.failures)
    return _EVIDENCE.pack(row.node & _U32_MASK, row.gateway_id, row.verdict, failures, age_steps)


def decode(body: bytes) -> GossipMessage:
    """Read a datagram body.

    Raises
    ------
    GossipMessageError
        If the body is not a valid gossip message.
    """
    if len(body) < _HEADER.size or len(body) > MAX_BODY_BYTES:
        raise GossipMessageError.of_length(len(body))
    leading_byte, message_type, fingerprint = _HEADER.unpack_from(body)
    if leading_byte != LEADING_BYTE or message_type not in GossipMessageType._value2member_map_:
        raise GossipMessageError.of_type(message_type, leading_byte)
    is_evidence = message_type == GossipMessageType.EVIDENCE
    row_struct = _EVIDENCE if is_evidence else _USAGE
    rows_size = len(body) - _HEADER.size
    if rows_size % row_struct.size:
        raise GossipMessageError.of_rows(len(body), message_type)
    raw_rows = row_struct.iter_unpack(body[_HEADER.size :])
    read_row = _read_evidence if is_evidence else _read_usage
    rows = tuple(read_row(*raw_row) for raw_row in raw_rows)
    return GossipMessage(GossipMessageType(message_type), fingerprint, rows)


def _read_evidence(node: int, gateway_id: int, verdict: int, failures: int, age_steps: int) -> Row:
    if verdict not in HealthVerdict._value2member_map_:
        raise GossipMessageError.of_verdict()
    return EvidenceRow(node, gateway_id, verdict, failures, age_steps * AGE_STEP_S)


def _read_usage(volume: int, gateway_id: int, incarnation: int, units: float, age_steps: int) -> Row:
    if not 0 <= units < MAX_UNITS:
        raise GossipMessageError.of_units()
    return UsageRow(volume, gateway_id, incarnation, units, age_steps * AGE_STEP_S)
