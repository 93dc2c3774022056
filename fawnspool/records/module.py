"""What a module was told and what it decided, as a recording that can be played again.

First frame: {"form", "version", "policy", "settings", "seed", "module"}; `module` is a hash of the policy's
text. Every further frame is [now, event, [action, ...], error] of one `handle`; events and actions are
[code, field, ...] in the order of `fawnspool.interface`. A new code goes to the end of its table.
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

from fawnspool import interface as i
from fawnspool.records.behind import Behind
from fawnspool.records.frames import Reader, RecordingError, Writer

FORM, VERSION = "module", 1
EVENTS: tuple[type[Any], ...] = (
    i.NodeList,
    i.Request,
    i.Begun,
    i.Outcome,
    i.ClientGone,
    i.Timer,
    i.Probed,
    i.PeerMessage,
    i.Takers,
    i.Hearsay,
)
ACTIONS: tuple[type[Any], ...] = (
    i.Send,
    i.Refuse,
    i.Fail,
    i.Cancel,
    i.SetTimer,
    i.Probe,
    i.CloseIdle,
    i.Tell,
    i.Log,
    i.Watch,
    i.FetchList,
)
# A field that came later has a default: recordings made before it leave it out.
_NEEDED = {
    kind: sum(f.default is dataclasses.MISSING for f in dataclasses.fields(kind))
    for kind in (*EVENTS, *ACTIONS, i.ListEntry)
}
_NAMES = {kind: tuple(f.name for f in dataclasses.fields(kind)) for kind in (*EVENTS, *ACTIONS, i.ListEntry)}
_EVENT_CODE = {kind: k for k, kind in enumerate(EVENTS)}
_ACTION_CODE = {kind: k for k, kind in enumerate(ACTIONS)}


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [_row(v) if isinstance(v, i.ListEntry) else _plain(v) for v in value]
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
    i.ListEntry: {"phase": i.Phase},
    i.NodeList: {"kind": i.ListKind, "entries": lambda rows: tuple(_make(i.ListEntry, r) for r in rows)},
    i.Outcome: {"result": i.Result, "load": _tuple},
    i.Probed: {"result": i.Result, "load": _tuple},
    i.Takers: {"heads": tuple},
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


def module_hash(policy: Any) -> str:
    """A short hash of the source that a policy's class stands in."""
    import sys

    source = sys.modules[type(policy).__module__].__file__
    return hashlib.sha256(Path(source or "").read_bytes()).hexdigest()[:16] if source else ""


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
        settings: i.Settings,
        seed: int,
        module: str,
        behind: Behind | None = None,
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
                "settings": msgspec.to_builtins(settings),
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
    settings: i.Settings
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
    settings = msgspec.convert(first["settings"], i.Settings)
    return Recording(first["policy"], settings, first["seed"], first["module"], frames, reader)


@dataclasses.dataclass
class Replay:
    """What came of playing a recording again."""

    events: int = 0
    actions: int = 0
    differs: str = ""  # the first difference, in words; "": none
    torn: str = ""


def replay(path: str | Path, make: Callable[[str, i.Settings, int], Any]) -> Replay:
    """Feed a recording's events to a fresh module and compare its actions, up to a tear or a difference.

    `make(policy name, settings, seed)` builds the module. Raises RecordingError where the file is none."""
    recording, out = open_recording(path), Replay()
    module = make(recording.policy, recording.settings, recording.seed)
    for now, event, actions, error in recording.frames:
        told, before = read_event(event), getattr(module, "acts", None)
        try:
            got = [action_row(a) for a in module.handle(now, told)]
            raised = ""
        except Exception as bad:  # what it had asked for until then counts, as in the head's loop
            asked = getattr(module, "acts", None)
            got = [action_row(a) for a in asked] if asked is not None and asked is not before else []
            raised = f"{type(bad).__name__}: {bad}"
        out.events += 1
        out.actions += len(got)
        if raised != error or got != actions:
            out.differs = f"event {out.events} at {now:.6f}: recorded {error or actions}, now {raised or got}"
            break
    out.torn = recording.reader.torn
    return out
