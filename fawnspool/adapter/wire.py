"""Codec between the simulator's binary frames and the scheduler's events and actions.

A batch is a header, records of a fixed size, and a tail for data of variable size. Each kind of record has a layout
and a function here; the codes appear only in this module. `fawnspool/adapter/host.py` passes events to schedulers.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, BinaryIO

from fawnspool.scheduling import interface

EVENT_SIZE = 56
ACTION_SIZE = 24
EVERY_GATEWAY = 0xFFFFFFFF
LAST_EVENT_CODE = 10

_LENGTH = struct.Struct(">I")
_BATCH_HEADER = struct.Struct(">Id")  # number of records, clock
_REPLY_HEADER = struct.Struct(">II")  # number of records, number of bytes that follow
_ENDPOINT = struct.Struct(">IBHHBfd")
_PHASES = {0: interface.Phase.GONE, 1: interface.Phase.READY, 2: interface.Phase.DRAINING}
_UPDATE_KINDS = {
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
_IS_CLIENT_RETRY = 2  # bits of a request's flags
_WRITES = 4


class WireError(Exception):
    """A malformed frame.

    Parameters
    ----------
    offset : int
        Offset from the first byte of the frame.
    expected : str
        What was expected there, and what was found.
    """

    def __init__(self, offset: int, expected: str) -> None:
        super().__init__(f"offset {offset}: expected {expected}")


@dataclass(frozen=True, slots=True)
class Start:
    """A gateway starts, with its settings as text and its seed."""

    seed: int
    conf: str


@dataclass(frozen=True, slots=True)
class Stop:
    """The gateway was killed, and its state is lost."""


@dataclass(frozen=True, slots=True)
class Crash:
    """The scheduler raised an exception, or its settings are invalid."""

    text: str


WireEvent = interface.Event | Start | Stop
WireAction = interface.Action | Crash


# ---------------------------------------------------------------- batches


def read_batch(stream: BinaryIO) -> tuple[float, list[tuple[int, WireEvent]]] | None:
    """Return the next batch as `decode` does, or None if the input ends between frames.

    Raises
    ------
    WireError
        The input ends within a frame, or the frame is malformed.
    """
    header = _read_exactly(stream, _LENGTH.size, 0, "the length of a batch")
    if not header:
        return None
    (length,) = _LENGTH.unpack(header)
    if length < _BATCH_HEADER.size:
        raise WireError(0, f"a length of at least {_BATCH_HEADER.size}, found {length}")
    body = _read_exactly(stream, length, _LENGTH.size, f"{length} bytes of batch")
    if not body:
        raise WireError(_LENGTH.size, f"{length} bytes of batch, found the end of input")
    return decode(body)


def _read_exactly(stream: BinaryIO, count: int, offset: int, expected: str) -> bytes:
    """Return exactly `count` bytes, or none at the end of the input."""
    data = stream.read(count)
    while data and len(data) < count:
        more = stream.read(count - len(data))
        if not more:
            raise WireError(offset + len(data), f"{expected}, found the end of input")
        data += more
    return data


def decode(body: bytes) -> tuple[float, list[tuple[int, WireEvent]]]:
    """Return the clock, in seconds, and the events of a batch's bytes after the length field.

    Each event is preceded by the number of its instance.

    Raises
    ------
    WireError
        A record is malformed.
    """
    count, now = _BATCH_HEADER.unpack_from(body, 0)
    tail_start = _BATCH_HEADER.size + count * EVENT_SIZE
    if tail_start > len(body):
        raise WireError(_LENGTH.size, f"room for {count} records, found {len(body)} bytes")
    records = (_EventRecord(body, _BATCH_HEADER.size + number * EVENT_SIZE, tail_start) for number in range(count))
    return now, [_decode_event(record) for record in records]


@dataclass(slots=True)
class _EventRecord:
    """The position of one record in a batch.

    Attributes
    ----------
    body : bytes
        The batch without its length field.
    start, tail_start : int
        Offsets of the record and of the tail, which all records share, in the body.
    """

    body: bytes
    start: int
    tail_start: int

    def offset(self) -> int:
        """Return the record's offset in the frame, which includes the length field."""
        return self.start + _LENGTH.size

    def from_tail(self, offset: int, length: int) -> bytes:
        """Return a part of the tail."""
        begin = self.tail_start + offset
        if begin + length > len(self.body):
            raise WireError(self.offset(), f"{length} bytes in the tail, found the end of the batch")
        return self.body[begin : begin + length]


def _decode_event(record: _EventRecord) -> tuple[int, WireEvent]:
    code = record.body[record.start]
    if code not in _EVENT_DECODERS:
        raise WireError(record.offset(), f"an event code from 1 to {LAST_EVENT_CODE}, found {code}")
    layout, decoder = _EVENT_DECODERS[code]
    instance, *fields = layout.unpack_from(record.body, record.start + 1)
    try:
        return instance, decoder(record, *fields)
    except KeyError as unknown:
        raise WireError(record.offset(), f"a known value in event {code}, found {unknown}") from None
    except UnicodeDecodeError:
        raise WireError(record.offset(), "settings in UTF-8") from None


# ---------------------------------------------------------------- events


def _start(record: _EventRecord, seed: int, conf_offset: int, conf_length: int) -> Start:
    return Start(seed, record.from_tail(conf_offset, conf_length).decode())


def _probed(
    record: _EventRecord, node: int, result: int, elapsed_s: float, has_report: int, *report: float
) -> interface.Probed:
    return interface.Probed(node, _RESULTS[result], elapsed_s, report if has_report else None)


def _request(record: _EventRecord, *fields: Any) -> interface.Request:
    request_id, class_index, plan_index, extent, timeout_s, volume, units, shard, gateway_count, flags = fields
    return interface.Request(
        id=request_id,
        class_index=class_index,
        plan_index=plan_index,
        extent=extent,
        timeout_s=timeout_s,
        volume=volume,
        units=units,
        shard=int(shard),
        gateway_count=int(gateway_count),
        is_client_retry=bool(flags & _IS_CLIENT_RETRY),
        writes=bool(flags & _WRITES),
    )


def _peer_message(record: _EventRecord, sender: int, offset: int, length: int) -> interface.PeerMessage:
    return interface.PeerMessage(sender, record.from_tail(offset, length))


def _timer(record: _EventRecord, token: int) -> interface.Timer:
    return interface.Timer(token)


def _stop(record: _EventRecord) -> Stop:
    return Stop()


def _endpoint_update(
    record: _EventRecord, kind: int, version: int, offset: int, count: int
) -> interface.EndpointUpdate:
    encoded = record.from_tail(offset, count * _ENDPOINT.size)
    endpoints = tuple(
        interface.Endpoint(node, zone, node_kind, shard, _PHASES[phase], size, started_at)
        for node, zone, node_kind, shard, phase, size, started_at in _ENDPOINT.iter_unpack(encoded)
    )
    return interface.EndpointUpdate(_UPDATE_KINDS[kind], version, endpoints)


def _client_disconnected(record: _EventRecord, request_id: int) -> interface.ClientDisconnected:
    return interface.ClientDisconnected(request_id)


def _stream_started(
    record: _EventRecord, request_id: int, attempt: int, node: int, elapsed_s: float
) -> interface.StreamStarted:
    return interface.StreamStarted(request_id, attempt, node, elapsed_s)


def _outcome(record: _EventRecord, *fields: Any) -> interface.Outcome:
    request_id, node, attempt, elapsed_s, is_final, units_by_others, usage_code, result, has_report, *report = fields
    return interface.Outcome(
        id=request_id,
        attempt=attempt,
        node=node,
        elapsed_s=elapsed_s,
        result=_RESULTS[result],
        final=bool(is_final),
        units_by_others=units_by_others,
        volume_usage=(usage_code - 1) / 100 if usage_code else None,  # 0: not reported; else percent plus one
        load_report=tuple(report) if has_report else None,
    )


_EVENT_DECODERS: dict[int, tuple[struct.Struct, Callable[..., WireEvent]]] = {
    1: (struct.Struct(">IQII"), _start),
    2: (struct.Struct(">IIBdB4f"), _probed),
    3: (struct.Struct(">IIBIQdQfffB"), _request),
    4: (struct.Struct(">IHII"), _peer_message),
    5: (struct.Struct(">IQ"), _timer),
    6: (struct.Struct(">I"), _stop),
    7: (struct.Struct(">IBQII"), _endpoint_update),
    8: (struct.Struct(">II"), _client_disconnected),
    9: (struct.Struct(">IIHId"), _stream_started),
    10: (struct.Struct(">IIIHdBHHBB4f"), _outcome),
}


# ---------------------------------------------------------------- actions


class _ActionCode(IntEnum):
    SEND = 1
    REJECT_REQUEST = 2
    FAIL_REQUEST = 3
    CANCEL = 4
    SET_TIMER = 5
    PROBE = 6
    CLOSE_IDLE = 7
    SEND_PEER_MESSAGE = 8
    LOG = 9
    CRASH = 10
    SET_WATCH = 11
    FETCH_ENDPOINTS = 12


@dataclass(slots=True)
class _Tail:
    """The data of variable size in a reply's records."""

    data: bytearray = field(default_factory=bytearray)

    def add(self, content: bytes) -> tuple[int, int]:
        """Append data, and return its offset and length."""
        offset = len(self.data)
        self.data += content
        return offset, len(content)


def encode(replies: list[tuple[int, WireAction]]) -> bytes:
    """Return one reply frame from the actions, each with the number of its instance."""
    tail = _Tail()
    records = bytearray()
    for instance, action in replies:
        code, layout, encoder = _ACTION_ENCODERS[type(action)]
        record = layout.pack(code, instance, *encoder(action, tail))
        records += record.ljust(ACTION_SIZE, b"\0")
    header = _REPLY_HEADER.pack(len(replies), len(records) + len(tail.data))
    return b"".join((header, records, tail.data))


def _peer_message_fields(action: interface.SendPeerMessage, tail: _Tail) -> tuple[int, int, int]:
    receiver = EVERY_GATEWAY if action.gateway_id is None else action.gateway_id
    return receiver, *tail.add(action.body)


def _text_fields(action: interface.Log | Crash, tail: _Tail) -> tuple[int, int]:
    return tail.add(action.text.encode())


_ActionFields = Callable[[Any, _Tail], tuple[Any, ...]]
_ACTION_ENCODERS: dict[type, tuple[_ActionCode, struct.Struct, _ActionFields]] = {
    interface.Send: (
        _ActionCode.SEND,
        struct.Struct(">BIIId"),
        lambda action, tail: (action.id, action.node, action.timeout_s),
    ),
    interface.RejectRequest: (
        _ActionCode.REJECT_REQUEST,
        struct.Struct(">BIId"),
        lambda action, tail: (action.id, action.retry_after_s),
    ),
    interface.FailRequest: (_ActionCode.FAIL_REQUEST, struct.Struct(">BII"), lambda action, tail: (action.id,)),
    interface.Cancel: (
        _ActionCode.CANCEL,
        struct.Struct(">BIIH"),
        lambda action, tail: (action.id, action.attempt),
    ),
    interface.SetTimer: (
        _ActionCode.SET_TIMER,
        struct.Struct(">BIdQ"),
        lambda action, tail: (action.delay_s, action.token),
    ),
    interface.Probe: (_ActionCode.PROBE, struct.Struct(">BII"), lambda action, tail: (action.node,)),
    interface.CloseIdle: (_ActionCode.CLOSE_IDLE, struct.Struct(">BII"), lambda action, tail: (action.node,)),
    interface.SendPeerMessage: (_ActionCode.SEND_PEER_MESSAGE, struct.Struct(">BIIII"), _peer_message_fields),
    interface.Log: (_ActionCode.LOG, struct.Struct(">BIII"), _text_fields),
    Crash: (_ActionCode.CRASH, struct.Struct(">BIII"), _text_fields),
    interface.SetWatch: (_ActionCode.SET_WATCH, struct.Struct(">BIB"), lambda action, tail: (action.enabled,)),
    interface.FetchEndpoints: (_ActionCode.FETCH_ENDPOINTS, struct.Struct(">BI"), lambda action, tail: ()),
}
