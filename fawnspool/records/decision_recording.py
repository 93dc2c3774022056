"""What a module was told and what it decided, as a recording that can be played again.

First frame: {"form", "version", "policy", "settings", "seed", "module"}; `module` is a hash of the policy's
text. Every further frame is [now, event, [action, ...], error] of one `handle`; events and actions are
[code, field, ...] in the order of `fawnspool.scheduling.interface`. A new code goes to the end of its table.
"""

from __future__ import annotations

import dataclasses
import functools
import hashlib
from collections.abc import Callable, Iterator
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.former_names import with_current_names, with_former_names
from fawnspool.records.frames import Reader, RecordingError, Writer
from fawnspool.scheduling import interface

FORM, VERSION = "module", 1
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
# A field that came later has a default: recordings made before it leave it out.
_NEEDED = {
    kind: sum(f.default is dataclasses.MISSING for f in dataclasses.fields(kind))
    for kind in (*EVENTS, *ACTIONS, interface.Endpoint)
}
_NAMES = {kind: tuple(f.name for f in dataclasses.fields(kind)) for kind in (*EVENTS, *ACTIONS, interface.Endpoint)}
_EVENT_CODE = {kind: k for k, kind in enumerate(EVENTS)}
_ACTION_CODE = {kind: k for k, kind in enumerate(ACTIONS)}


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_row(v) if isinstance(v, interface.Endpoint) else _plain(v) for v in value]
    return value


def _row(value: Any) -> list[Any]:
    return [_plain(getattr(value, name)) for name in _NAMES[type(value)]]


def event_row(event: Any) -> list[Any]:
    """An event as plain values."""
    return [_EVENT_CODE[type(event)], *_row(event)]


def action_row(action: Any) -> list[Any]:
    """An action as plain values."""
    return [_ACTION_CODE[type(action)], *_row(action)]


def _tuple(value: Any) -> tuple[float, ...] | None:
    return None if value is None else tuple(value)


_MEND: dict[type[Any], dict[str, Callable[[Any], Any]]] = {
    interface.Endpoint: {"phase": interface.Phase},
    interface.EndpointUpdate: {
        "kind": interface.UpdateKind,
        "entries": lambda rows: tuple(_make(interface.Endpoint, r) for r in rows),
    },
    interface.Outcome: {"result": interface.Result, "load_report": _tuple},
    interface.Probed: {"result": interface.Result, "load_report": _tuple},
    interface.VolumeParticipants: {"gateways": tuple},
}


def _make(kind: type[Any], row: list[Any]) -> Any:
    mend = _MEND.get(kind, {})
    names = _NAMES[kind]
    if not _NEEDED[kind] <= len(row) <= len(names):
        raise RecordingError(f"{kind.__name__} has {len(row)} fields, expected {len(names)}")
    return kind(*(mend[n](v) if n in mend else v for n, v in zip(names, row, strict=False)))


def read_event(row: list[Any]) -> Any:
    """The event of a row. Raises RecordingError for an unknown code or a wrong number of fields."""
    if not 0 <= row[0] < len(EVENTS):
        raise RecordingError(f"unknown event code {row[0]}")
    return _make(EVENTS[row[0]], row[1:])


def read_action(row: list[Any]) -> Any:
    """The action of a row. Raises RecordingError."""
    if not 0 <= row[0] < len(ACTIONS):
        raise RecordingError(f"unknown action code {row[0]}")
    return _make(ACTIONS[row[0]], row[1:])


def settings_to_stored(settings: interface.Settings) -> dict[str, Any]:
    """Settings as recordings hold them: plain values under the former field names."""
    fields = msgspec.to_builtins(settings)
    fields["classes"] = [with_former_names("RequestClass", row) for row in fields["classes"]]
    fields["plans"] = [with_former_names("Plan", row) for row in fields["plans"]]
    return with_former_names("Settings", fields)


def settings_from_stored(stored: dict[str, Any]) -> interface.Settings:
    """Settings from the form that recordings hold. Raises msgspec.ValidationError."""
    fields = with_current_names("Settings", stored)
    fields["classes"] = [with_current_names("RequestClass", row) for row in fields.get("classes", ())]
    fields["plans"] = [with_current_names("Plan", row) for row in fields.get("plans", ())]
    return msgspec.convert(fields, interface.Settings)


def module_hash(policy: Any) -> str:
    """A short hash of the source that a policy's class stands in: of all modules of its package, or of its own file."""
    import sys

    source = sys.modules[type(policy).__module__].__file__
    if not source:
        return ""
    place = Path(source)
    files = sorted(place.parent.glob("*.py")) if place.parent.name == "scheduling" else [place]
    digest = hashlib.sha256()
    for file in files:
        digest.update(file.read_bytes())
    return digest.hexdigest()[:16]


KEPT = 16  # earlier lives beside a recording


def make_way(path: str | Path, kept: int = KEPT) -> None:
    """Rename an earlier life's recording to NAME.1, NAME.2 ... (before the ending; the highest is the latest), so that
    a restart loses none; the oldest beyond `kept` go."""
    path = Path(path)
    if not path.exists() or not path.stat().st_size:
        return
    lives: dict[int, Path] = {}
    for other in path.parent.glob(f"{path.stem}.*{path.suffix}"):
        number = other.name[len(path.stem) + 1 : len(other.name) - len(path.suffix)]
        if number.isdigit():
            lives[int(number)] = other
    path.rename(path.with_name(f"{path.stem}.{max(lives, default=0) + 1}{path.suffix}"))
    for old in sorted(lives)[: max(0, len(lives) + 1 - kept)]:
        lives[old].unlink()


class Recorder:
    """Writes a module's life to a file, in batches. With `behind` another thread does the writing. A recording that
    can't be written on (a full disk, a disk too slow) stops where it is, which `stopped` tells: what it holds up to
    there stays readable, and the program it records goes on."""

    def __init__(
        self,
        path: str | Path,
        policy_name: str,
        settings: interface.Settings,
        seed: int,
        module: str,
        behind: BackgroundWriter | None = None,
    ) -> None:
        make_way(path)
        self.writer, self.behind = Writer(path), behind
        self.stopped = ""
        self.writer.put(
            {
                "form": FORM,
                "version": VERSION,
                "policy": policy_name,
                "seed": seed,
                "settings": settings_to_stored(settings),
                "module": module,
            }
        )

    def note(self, now: float, event: Any, actions: list[Any], error: str = "") -> None:
        if self.stopped:
            return
        self.writer.add([now, event_row(event), [action_row(a) for a in actions], error])
        if len(self.writer.buffer) > 65536:
            self.flush()

    def flush(self) -> None:
        data = self.writer.taken()
        if not data or self.stopped:
            return
        if self.behind is None:
            self._write(data)
        elif not self.behind.put(functools.partial(self._write, data), len(data)):
            self.stopped = f"{self.writer.path}: the disk is too slow: {self.behind.waits} bytes wait to be written"

    def _write(self, data: bytes) -> None:
        if self.stopped:
            return
        try:
            self.writer.write(data)
        except OSError as bad:
            self.stopped = f"{self.writer.path}: {bad.strerror or bad}"

    def close(self) -> None:
        """Hand over what is left and close the file after it."""
        self.flush()
        if self.behind is None or not self.behind.put(self.writer.close):
            self.writer.close()


@dataclasses.dataclass
class Recording:
    """A recording opened for reading."""

    policy: str
    settings: interface.Settings
    seed: int
    module: str
    frames: Iterator[Any]
    reader: Reader


def open_recording(path: str | Path) -> Recording:
    """Read the first frame. Raises RecordingError or OSError."""
    reader = Reader(path)
    frames = iter(reader)
    first = next(frames, None)
    if not isinstance(first, dict) or first.get("form") != FORM:
        raise RecordingError(f"{path}: holds no module's life (its first frame is {str(first)[:60]!r})")
    if first["version"] != VERSION:
        raise RecordingError(f"{path}: version {first['version']}, this program reads {VERSION}")
    settings = settings_from_stored(first["settings"])
    return Recording(first["policy"], settings, first["seed"], first["module"], frames, reader)


@dataclasses.dataclass
class Replay:
    """What came of playing a recording again."""

    events: int = 0
    actions: int = 0
    differs: str = ""  # the first difference, in words; "": none
    torn: str = ""


def replay(path: str | Path, make: Callable[[str, interface.Settings, int], Any]) -> Replay:
    """Feed a recording's events to a fresh module and compare its actions, up to a tear or a difference.

    `make(policy name, settings, seed)` builds the module. Raises RecordingError where the file is none."""
    recording, out = open_recording(path), Replay()
    module = make(recording.policy, recording.settings, recording.seed)
    for now, event, actions, error in recording.frames:
        told, before = read_event(event), getattr(module, "actions", None)
        try:
            got = [action_row(a) for a in module.handle(now, told)]
            raised = ""
        except Exception as bad:  # what it had asked for until then counts, as in the head's loop
            asked = getattr(module, "actions", None)
            got = [action_row(a) for a in asked] if asked is not None and asked is not before else []
            raised = f"{type(bad).__name__}: {bad}"
        out.events += 1
        out.actions += len(got)
        if raised != error or got != actions:
            out.differs = f"event {out.events} at {now:.6f}: recorded {error or actions}, now {raised or got}"
            break
    out.torn = recording.reader.torn
    return out
