"""Events, actions and settings of the scheduler as plain values, as recordings hold them.

An event or action is [code, field, ...] in the order of `fawnspool.scheduling.interface`; a code is the type's index in
`EVENTS` or `ACTIONS`. A new type goes to the end of its table, a new field to the end of its type, with a default:
recordings made before it leave it out.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from enum import Enum
from typing import Any

import msgspec

from fawnspool.records.former_names import with_current_names, with_former_names
from fawnspool.records.frames import RecordingError
from fawnspool.scheduling import interface

EVENTS: tuple[type[Any], ...] = (
    interface.EndpointUpdate,
    interface.Request,
    interface.StreamStarted,
    interface.Outcome,
    interface.ClientDisconnected,
    interface.Timer,
    interface.Probed,
    interface.PeerMessage,
    interface.VolumeParticipants,
    interface.GossipedHealth,
)
ACTIONS: tuple[type[Any], ...] = (
    interface.Send,
    interface.RejectRequest,
    interface.FailRequest,
    interface.Cancel,
    interface.SetTimer,
    interface.Probe,
    interface.CloseIdle,
    interface.SendPeerMessage,
    interface.Log,
    interface.SetWatch,
    interface.FetchEndpoints,
)
_TYPES = (*EVENTS, *ACTIONS, interface.Endpoint)
_REQUIRED_FIELDS = {
    kind: sum(field.default is dataclasses.MISSING for field in dataclasses.fields(kind)) for kind in _TYPES
}
_FIELD_NAMES = {kind: tuple(field.name for field in dataclasses.fields(kind)) for kind in _TYPES}
_EVENT_CODES = {kind: code for code, kind in enumerate(EVENTS)}
_ACTION_CODES = {kind: code for code, kind in enumerate(ACTIONS)}


class UnknownCodeError(RecordingError):
    """A recording holds an event or action that this build does not know."""

    def __init__(self, kind: str, code: Any) -> None:
        super().__init__(f"unknown {kind} code {code}")


class FieldCountError(RecordingError):
    """An event or action has too few or too many fields."""

    def __init__(self, kind: type[Any], count: int) -> None:
        super().__init__(f"{kind.__name__} has {count} fields, expected {len(_FIELD_NAMES[kind])}")


def encode_event(event: Any) -> list[Any]:
    """Return an event as plain values."""
    return [_EVENT_CODES[type(event)], *_encode_fields(event)]


def encode_action(action: Any) -> list[Any]:
    """Return an action as plain values."""
    return [_ACTION_CODES[type(action)], *_encode_fields(action)]


def _encode_fields(value: Any) -> list[Any]:
    return [_encode_value(getattr(value, name)) for name in _FIELD_NAMES[type(value)]]


def _encode_value(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, interface.Endpoint):
        return _encode_fields(value)
    if isinstance(value, tuple):
        return [_encode_value(item) for item in value]
    return value


def decode_event(row: list[Any]) -> Any:
    """Return the event of a row.

    Raises
    ------
    RecordingError
        For an unknown code or a wrong number of fields.
    """
    if not 0 <= row[0] < len(EVENTS):
        raise UnknownCodeError("event", row[0])
    return _decode(EVENTS[row[0]], row[1:])


def decode_action(row: list[Any]) -> Any:
    """Return the action of a row; raises RecordingError as `decode_event`."""
    if not 0 <= row[0] < len(ACTIONS):
        raise UnknownCodeError("action", row[0])
    return _decode(ACTIONS[row[0]], row[1:])


def _decode(kind: type[Any], values: list[Any]) -> Any:
    names = _FIELD_NAMES[kind]
    if not _REQUIRED_FIELDS[kind] <= len(values) <= len(names):
        raise FieldCountError(kind, len(values))
    decoders = _FIELD_DECODERS.get(kind, {})
    fields = []
    for name, value in zip(names, values, strict=False):
        fields.append(decoders[name](value) if name in decoders else value)
    return kind(*fields)


def _optional_tuple(value: list[float] | None) -> tuple[float, ...] | None:
    return None if value is None else tuple(value)


def _endpoints(rows: list[list[Any]]) -> tuple[Any, ...]:
    return tuple(_decode(interface.Endpoint, row) for row in rows)


_FIELD_DECODERS: dict[type[Any], dict[str, Callable[[Any], Any]]] = {
    interface.Endpoint: {"phase": interface.Phase},
    interface.EndpointUpdate: {"kind": interface.UpdateKind, "entries": _endpoints},
    interface.Outcome: {"result": interface.Result, "load_report": _optional_tuple},
    interface.Probed: {"result": interface.Result, "load_report": _optional_tuple},
    interface.VolumeParticipants: {"gateways": tuple},
}


def settings_to_stored(settings: interface.Settings) -> dict[str, Any]:
    """Return settings as recordings hold them: plain values under the former field names."""
    fields = msgspec.to_builtins(settings)
    fields["classes"] = [with_former_names("RequestClass", row) for row in fields["classes"]]
    fields["plans"] = [with_former_names("Plan", row) for row in fields["plans"]]
    return with_former_names("Settings", fields)


def settings_from_stored(stored: dict[str, Any]) -> interface.Settings:
    """Return settings from the form that recordings hold.

    Raises
    ------
    msgspec.ValidationError
        If they are not valid.
    """
    fields = with_current_names("Settings", stored)
    fields["classes"] = [with_current_names("RequestClass", row) for row in fields.get("classes", ())]
    fields["plans"] = [with_current_names("Plan", row) for row in fields.get("plans", ())]
    return msgspec.convert(fields, interface.Settings)
