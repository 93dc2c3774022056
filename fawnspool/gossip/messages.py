"""What heads say to each other about what they share, as bodies of their datagrams (at most 256 bytes).

    body = u8 0xB5, u8 kind, u32 mark of the terms, then rows

    HERE    to a keeper: this head takes part in these volumes. Row: u64 volume, u16 head, u32 life, f32 value, u16 age
            (10 ms); value: units that it has sent so far; head is the sender
    WANT    the same, and it wants to know who else does
    HEADS   a keeper's answer: rows of other heads
    SAYS    evidence about nodes. Row: u32 node, u16 head, u8 verdict, u8 signs, u16 age (10 ms); head: whose it is

The leading byte tells them from duties' (0xD0) and the module's own (1, 2). What does not read is counted and harms
nothing.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

LEADING = 0xB5
BODY_MOST = 256
_HEAD = struct.Struct(">BBI")
_COUNT = struct.Struct(">QHIfH")
_SAYS = struct.Struct(">IHBBH")
AGE_STEP = 0.01  # seconds
AGE_MOST = 65_535 * AGE_STEP


class Kind(IntEnum):
    HERE = 1
    WANT = 2
    HEADS = 3
    SAYS = 4


class Verdict(IntEnum):
    WELL = 0
    SILENT = 1  # gives no answer
    SHUT = 2  # takes no connection: it may have restarted by the time it does


@dataclass(frozen=True, slots=True)
class CountRow:
    volume: int
    head: int
    life: int
    value: float
    age: float


@dataclass(frozen=True, slots=True)
class SaysRow:
    node: int
    head: int
    verdict: int
    signs: int
    age: float


Row = CountRow | SaysRow


@dataclass(frozen=True, slots=True)
class Message:
    kind: Kind
    mark: int
    rows: tuple[Row, ...] = ()


class Unread(Exception):
    """A body that is none of these."""


def rows_of(kind: Kind) -> int:
    """Of one body, at most."""
    return (BODY_MOST - _HEAD.size) // (_SAYS if kind is Kind.SAYS else _COUNT).size


def _steps(age: float) -> int:
    return min(65_535, max(0, round(age / AGE_STEP)))


def pack(m: Message) -> bytes:
    out = [_HEAD.pack(LEADING, m.kind, m.mark)]
    for r in m.rows[: rows_of(m.kind)]:
        if isinstance(r, CountRow):
            out.append(_COUNT.pack(r.volume, r.head, r.life, r.value, _steps(r.age)))
        else:
            out.append(_SAYS.pack(r.node & 0xFFFFFFFF, r.head, r.verdict, min(255, r.signs), _steps(r.age)))
    return b"".join(out)


def unpack(body: bytes) -> Message:
    """Raises Unread."""
    if len(body) < _HEAD.size or len(body) > BODY_MOST:
        raise Unread(f"{len(body)} bytes")
    leading, kind, mark = _HEAD.unpack_from(body)
    if leading != LEADING or kind not in Kind._value2member_map_:
        raise Unread(f"kind {kind} behind {leading:#x}")
    form = _SAYS if kind == Kind.SAYS else _COUNT
    if (len(body) - _HEAD.size) % form.size:
        raise Unread(f"{len(body)} bytes of kind {kind}")
    raw = form.iter_unpack(body[_HEAD.size :])
    if kind == Kind.SAYS:
        rows: tuple[Row, ...] = tuple(
            SaysRow(node, head, verdict, signs, age * AGE_STEP) for node, head, verdict, signs, age in raw
        )
        if any(r.verdict not in Verdict._value2member_map_ for r in rows if isinstance(r, SaysRow)):
            raise Unread("an unknown verdict")
    else:
        rows = tuple(CountRow(volume, head, life, value, age * AGE_STEP) for volume, head, life, value, age in raw)
        if any(not 0 <= r.value < 3e38 for r in rows if isinstance(r, CountRow)):
            raise Unread("a count that is no number")
    return Message(Kind(kind), mark, rows)
