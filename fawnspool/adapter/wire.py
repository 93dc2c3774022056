"""The simulator's binary frames, to and from the project's own records.

One table per direction: code, struct layout, and how the fields read. Nothing here chooses.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, BinaryIO

from fawnspool.scheduling import interface

EVENT_SIZE = 56
ACTION_SIZE = 24
EVERYONE = 0xFFFFFFFF

_LENGTH = struct.Struct(">I")
_HEAD = struct.Struct(">Id")
_REPLY = struct.Struct(">II")
_ENTRY = struct.Struct(">IBHHBfd")
_EVENTS = {
    1: struct.Struct(">IQII"),
    2: struct.Struct(">IIBdB4f"),
    3: struct.Struct(">IIBIQdQfffB"),
    4: struct.Struct(">IHII"),
    5: struct.Struct(">IQ"),
    6: struct.Struct(">I"),
    7: struct.Struct(">IBQII"),
    8: struct.Struct(">II"),
    9: struct.Struct(">IIHId"),
    10: struct.Struct(">IIIHdBHHBB4f"),
}
_PHASES = {0: interface.Phase.GONE, 1: interface.Phase.READY, 2: interface.Phase.DRAINING}
_LISTS = {
    0: interface.UpdateKind.CACHED,
    1: interface.UpdateKind.SNAPSHOT,
    2: interface.UpdateKind.DELTA,
    3: interface.UpdateKind.POLL_FAILED,
}
_RESULTS = {
    10: interface.Result.SERVED,
    20: interface.Result.ERROR,
    30: interface.Result.OVERLOADED,
    40: interface.Result.TIMED_OUT,
    50: interface.Result.CONNECT_FAILED,
    60: interface.Result.RESET,
    70: interface.Result.CANCELLED,
    80: interface.Result.NOT_SENT,
}
_REPEAT, _WRITE = 2, 4


class WireError(Exception):
    """A frame that does not read; the text names the offset and what was expected."""


@dataclass(frozen=True, slots=True)
class Start:
    """A head comes up, with its settings as text and its seed."""

    seed: int
    conf: str


@dataclass(frozen=True, slots=True)
class Stop:
    """The head was killed; all it knew is void."""


@dataclass(frozen=True, slots=True)
class Crash:
    """The decision code raised, or its settings do not read."""

    text: str


WireEvent = interface.Event | Start | Stop


def read_batch(stream: BinaryIO) -> tuple[float, list[tuple[int, WireEvent]]] | None:
    """The next batch, or None where the input ends between frames."""
    head = _take(stream, 4, 0, "the length of a batch")
    if not head:
        return None
    (length,) = _LENGTH.unpack(head)
    if length < _HEAD.size:
        raise WireError(f"offset 0: expected a length of at least {_HEAD.size}, found {length}")
    body = _take(stream, length, 4, f"{length} bytes of batch")
    if not body and length:
        raise WireError(f"offset 4: expected {length} bytes of batch, found the end of input")
    return decode(body)


def _take(stream: BinaryIO, count: int, offset: int, what: str) -> bytes:
    """Exactly count bytes, or none at the end of input."""
    data = stream.read(count)
    while data and len(data) < count:
        more = stream.read(count - len(data))
        if not more:
            raise WireError(f"offset {offset + len(data)}: expected {what}, found the end of input")
        data += more
    return data


def decode(body: bytes) -> tuple[float, list[tuple[int, WireEvent]]]:
    """The clock and the events of a batch's bytes after the length field."""
    count, now = _HEAD.unpack_from(body, 0)
    tail = _HEAD.size + count * EVENT_SIZE
    if tail > len(body):
        raise WireError(f"offset 4: expected room for {count} records, found {len(body)} bytes")
    events = [_event(body, _HEAD.size + k * EVENT_SIZE, tail) for k in range(count)]
    return now, events


def _event(body: bytes, at: int, tail: int) -> tuple[int, WireEvent]:
    code = body[at]
    layout = _EVENTS.get(code)
    if layout is None:
        raise WireError(f"offset {at + 4}: expected an event code from 1 to 10, found {code}")
    who, *f = layout.unpack_from(body, at + 1)
    try:
        return who, _BUILD[code](body, at, tail, f)
    except KeyError as bad:
        raise WireError(f"offset {at + 4}: expected a known value in event {code}, found {bad}") from None
    except UnicodeDecodeError:
        raise WireError(f"offset {at + 4}: expected settings in UTF-8") from None


def _slice(body: bytes, at: int, start: int, length: int) -> bytes:
    if start + length > len(body):
        raise WireError(f"offset {at + 4}: expected {length} bytes in the tail, found the end of the batch")
    return body[start : start + length]


def _start(body: bytes, at: int, tail: int, f: list[int]) -> WireEvent:
    return Start(f[0], _slice(body, at, tail + f[1], f[2]).decode())


def _list(body: bytes, at: int, tail: int, f: list[int]) -> WireEvent:
    raw = _slice(body, at, tail + f[2], f[3] * _ENTRY.size)
    rows = tuple(
        interface.Endpoint(n, z, k, c, _PHASES[p], size, up) for n, z, k, c, p, size, up in _ENTRY.iter_unpack(raw)
    )
    return interface.EndpointUpdate(_LISTS[f[0]], f[1], rows)


def _request(body: bytes, at: int, tail: int, f: list[float]) -> WireEvent:
    ident, cls, plan, item, patience, volume, units, shard, heads, opts = f
    return interface.Request(
        int(ident),
        int(cls),
        int(plan),
        int(item),
        patience,
        int(volume),
        units,
        int(shard),
        int(heads),
        bool(int(opts) & _REPEAT),
        bool(int(opts) & _WRITE),
    )


def _load(f: list[float]) -> tuple[float, ...] | None:
    return tuple(f[1:]) if f[0] else None


def _outcome(body: bytes, at: int, tail: int, f: list[float]) -> WireEvent:
    ident, node, attempt, took, final, others, used, reason = f[:8]
    return interface.Outcome(
        int(ident),
        int(attempt),
        int(node),
        took,
        _RESULTS[int(reason)],
        bool(final),
        int(others),
        (used - 1) / 100 if used else None,
        _load(f[8:]),
    )


_BUILD: dict[int, Callable[[bytes, int, int, list[Any]], WireEvent]] = {
    1: _start,
    2: lambda b, at, tail, f: interface.Probed(f[0], _RESULTS[f[1]], f[2], _load(f[3:])),
    3: _request,
    4: lambda b, at, tail, f: interface.PeerMessage(f[0], _slice(b, at, tail + f[1], f[2])),
    5: lambda b, at, tail, f: interface.Timer(f[0]),
    6: lambda b, at, tail, f: Stop(),
    7: _list,
    8: lambda b, at, tail, f: interface.ClientDisconnected(f[0]),
    9: lambda b, at, tail, f: interface.StreamStarted(f[0], f[1], f[2], f[3]),
    10: _outcome,
}


def encode(replies: list[tuple[int, interface.Action | Crash]]) -> bytes:
    """One reply frame."""
    tail = bytearray()
    records = []

    def text(data: bytes) -> tuple[int, int]:
        tail.extend(data)
        return len(tail) - len(data), len(data)

    for who, a in replies:
        match a:
            case interface.Send():
                raw = struct.pack(">BIIId", 1, who, a.id, a.node, a.timeout_s)
            case interface.RejectRequest():
                raw = struct.pack(">BIId", 2, who, a.id, a.retry_after_s)
            case interface.FailRequest():
                raw = struct.pack(">BII", 3, who, a.id)
            case interface.Cancel():
                raw = struct.pack(">BIIH", 4, who, a.id, a.attempt)
            case interface.SetTimer():
                raw = struct.pack(">BIdQ", 5, who, a.delay_s, a.token)
            case interface.Probe():
                raw = struct.pack(">BII", 6, who, a.node)
            case interface.CloseIdle():
                raw = struct.pack(">BII", 7, who, a.node)
            case interface.SendPeerMessage():
                raw = struct.pack(">BIIII", 8, who, EVERYONE if a.gateway_id is None else a.gateway_id, *text(a.body))
            case interface.Log():
                raw = struct.pack(">BIII", 9, who, *text(a.text.encode()))
            case Crash():
                raw = struct.pack(">BIII", 10, who, *text(a.text.encode()))
            case interface.SetWatch():
                raw = struct.pack(">BIB", 11, who, a.enabled)
            case interface.FetchEndpoints():
                raw = struct.pack(">BI", 12, who)
        records.append(raw.ljust(ACTION_SIZE, b"\0"))
    return b"".join([_REPLY.pack(len(records), len(records) * ACTION_SIZE + len(tail)), *records, tail])
