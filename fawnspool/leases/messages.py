"""What heads say to each other about duties, as bodies of their datagrams (at most 256 bytes).

    body = u8 0xD0, u8 kind, u32 mark of the terms, u64 who (drawn at each start of a head), u32 serial, u16 a, u16 b,
           then rows of u16 duty, u64 token, u8 verdict, u16 wait (milliseconds)

    ASK     head to voter     votes wanted: duty, token, verdict: 1 if it holds it already. a: duties held,
                              b: NOT_NOW, TAKES or ENDS
    TOLD    voter to head     to the ASK of that serial: verdict, the token promised, for how long others wait.
                              a: heads that are there and take duties
    FREE    head to voter     gives votes back: duty, token, verdict: 1 if it held it. a, b as in ASK
    HERE    head to voter     is there; a, b as in ASK
    CALL    voter to head     nobody holds these: ask for them. token: the highest that the voter has promised
    FLOOR   voter to voter    how high have tokens come? (asked by one that lost its memory)
    KNOWN   voter to voter    to the FLOOR of that serial. a: 1 if it has its memory; one row, its token the highest

TOLD and KNOWN bear the asker's `who`: no other life of it may take them for its own. The leading byte tells all of them
from the module's own bodies (1, 2). What does not read is counted and harms nothing.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

LEADING = 0xD0
ROWS = 17  # of one body
_HEAD = struct.Struct(">BBIQIHH")
_ROW = struct.Struct(">HQBH")
WAIT_MOST = 65_535
NOT_NOW, TAKES, ENDS = 0, 1, 2  # what a head says of itself


class Kind(IntEnum):
    ASK = 1
    TOLD = 2
    FREE = 3
    HERE = 4
    CALL = 5
    FLOOR = 6
    KNOWN = 7


FOR_HOLDER = (Kind.TOLD, Kind.CALL)  # the others are for voters


@dataclass(frozen=True, slots=True)
class Row:
    duty: int
    token: int
    verdict: int = 0
    wait: float = 0.0  # seconds


@dataclass(frozen=True, slots=True)
class Message:
    kind: Kind
    mark: int
    who: int
    serial: int = 0
    a: int = 0
    b: int = 0
    rows: tuple[Row, ...] = ()


class Unread(Exception):
    """A body that is none of these."""


def pack(m: Message) -> bytes:
    out = [_HEAD.pack(LEADING, m.kind, m.mark, m.who, m.serial & 0xFFFFFFFF, min(m.a, 65535), min(m.b, 65535))]
    for r in m.rows[:ROWS]:
        out.append(_ROW.pack(r.duty, r.token, r.verdict, min(WAIT_MOST, max(0, round(r.wait * 1000)))))
    return b"".join(out)


def unpack(body: bytes) -> Message:
    """Raises Unread."""
    rest = len(body) - _HEAD.size
    if rest < 0 or rest % _ROW.size or rest > ROWS * _ROW.size:
        raise Unread(f"{len(body)} bytes")
    leading, kind, mark, who, serial, a, b = _HEAD.unpack_from(body)
    if leading != LEADING or kind not in Kind._value2member_map_:
        raise Unread(f"kind {kind} behind {leading:#x}")
    rows = tuple(Row(d, t, v, w / 1000) for d, t, v, w in _ROW.iter_unpack(body[_HEAD.size :]))
    return Message(Kind(kind), mark, who, serial, a, b, rows)


def batches(rows: list[Row]) -> list[tuple[Row, ...]]:
    """Rows by bodies."""
    return [tuple(rows[k : k + ROWS]) for k in range(0, len(rows), ROWS)]
