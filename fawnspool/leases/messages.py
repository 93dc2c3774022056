"""Codec of the datagrams that gateways exchange about leases (bodies of at most 256 bytes).

    body = u8 0xD0, u8 type, u32 settings fingerprint, u64 incarnation (drawn at each start of a gateway), u32 serial,
           u16 count, u16 availability, then entries of u16 role, u64 token, u8 verdict, u16 wait (milliseconds)

    1 VOTE_REQUEST       candidate to acceptor   requests votes. Entries: role, token, verdict (1 if the sender holds
                                                 the role). count: roles held; availability: whether it accepts roles
    2 VOTE_RESPONSE      acceptor to candidate   answers the request with that serial. Entries: role, promised token,
                                                 verdict, wait until the vote is free. count: available gateways
    3 RELEASE            holder to acceptor      releases votes. Entries: role, token, verdict (1 if it held the role).
                                                 count, availability as in VOTE_REQUEST
    4 HEARTBEAT          gateway to acceptor     the gateway is running; count, availability as in VOTE_REQUEST
    5 NOMINATION         acceptor to gateway     asks to become a candidate for vacant roles. Entries: role, highest
                                                 promised token
    6 RECOVERY_REQUEST   acceptor to acceptor    asks for the highest token; sent after the loss of the memory
    7 RECOVERY_RESPONSE  acceptor to acceptor    answers the request with that serial. count: 1 if the sender has its
                                                 memory; one entry with the highest token that it knows

Responses carry the incarnation of the gateway that asked, so that its other incarnations ignore them. The leading byte
distinguishes these bodies from those of the scheduler (1, 2). A body that can't be decoded is counted and dropped.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

LEADING_BYTE = 0xD0
MAX_ENTRIES = 17  # in one body
MAX_WAIT_MS = 65_535
MAX_TOKEN = (1 << 64) - 1
_MAX_U16 = 0xFFFF
_U32_MASK = 0xFFFFFFFF
_HEADER = struct.Struct(">BBIQIHH")
_ENTRY = struct.Struct(">HQBH")


class LeaseMessageType(IntEnum):
    """Type of a lease message, as on the wire."""

    VOTE_REQUEST = 1
    VOTE_RESPONSE = 2
    RELEASE = 3
    HEARTBEAT = 4
    NOMINATION = 5
    RECOVERY_REQUEST = 6
    RECOVERY_RESPONSE = 7


FOR_HOLDER = (LeaseMessageType.VOTE_RESPONSE, LeaseMessageType.NOMINATION)  # the others are for acceptors


class Availability(IntEnum):
    """Whether a gateway accepts nominations, as on the wire."""

    UNAVAILABLE = 0
    AVAILABLE = 1
    LEAVING = 2


class LeaseMessageError(Exception):
    """The datagram body is not a lease message."""

    @classmethod
    def of_length(cls, size: int) -> LeaseMessageError:
        """Return the error for a body of a length that no message has."""
        return cls(f"a lease message can't have a body of {size} bytes")

    @classmethod
    def of_type(cls, message_type: int, leading_byte: int) -> LeaseMessageError:
        """Return the error for an unknown leading byte or message type."""
        return cls(f"unknown message type {message_type} or leading byte {leading_byte:#x}")


@dataclass(frozen=True, slots=True)
class BallotEntry:
    """The part of a message about one role."""

    role: int
    token: int
    verdict: int = 0  # any byte: a `BallotVerdict` in responses
    wait_s: float = 0.0

    @property
    def is_held(self) -> bool:
        """Whether the sender of a request or release holds (held) the role."""
        return bool(self.verdict)


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """One datagram; what `count` and `availability` mean depends on the type."""

    type: LeaseMessageType
    fingerprint: int
    incarnation: int
    serial: int = 0
    count: int = 0
    availability: int = 0
    entries: tuple[BallotEntry, ...] = ()


def encode(message: LeaseMessage) -> bytes:
    """Return the datagram body of a message; entries beyond `MAX_ENTRIES` are left out."""
    header = _HEADER.pack(
        LEADING_BYTE,
        message.type,
        message.fingerprint,
        message.incarnation,
        message.serial & _U32_MASK,
        min(message.count, _MAX_U16),
        min(message.availability, _MAX_U16),
    )
    return header + b"".join(
        _ENTRY.pack(entry.role, entry.token, entry.verdict, _wait_ms(entry.wait_s))
        for entry in message.entries[:MAX_ENTRIES]
    )


def _wait_ms(wait_s: float) -> int:
    return min(MAX_WAIT_MS, max(0, round(wait_s * 1000)))


def decode(body: bytes) -> LeaseMessage:
    """Read a datagram body.

    Raises
    ------
    LeaseMessageError
        If the body is not a lease message.
    """
    entries_size = len(body) - _HEADER.size
    if entries_size < 0 or entries_size % _ENTRY.size or entries_size > MAX_ENTRIES * _ENTRY.size:
        raise LeaseMessageError.of_length(len(body))
    leading, message_type, fingerprint, incarnation, serial, count, availability = _HEADER.unpack_from(body)
    if leading != LEADING_BYTE or message_type not in LeaseMessageType._value2member_map_:
        raise LeaseMessageError.of_type(message_type, leading)
    entries = tuple(
        BallotEntry(role, token, verdict, wait_ms / 1000)
        for role, token, verdict, wait_ms in _ENTRY.iter_unpack(body[_HEADER.size :])
    )
    return LeaseMessage(LeaseMessageType(message_type), fingerprint, incarnation, serial, count, availability, entries)


def split_into_batches(entries: list[BallotEntry]) -> list[tuple[BallotEntry, ...]]:
    """Split entries into as few batches as possible, one per message."""
    return [tuple(entries[start : start + MAX_ENTRIES]) for start in range(0, len(entries), MAX_ENTRIES)]
