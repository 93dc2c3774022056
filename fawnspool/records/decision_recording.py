"""Recordings of what a scheduler was told and what it decided.

The first frame is {"form", "version", "policy", "settings", "seed", "module"}; `module` is a hash of the policy's
source. Every further frame is [now, event, [action, ...], error] of one `handle`, as `event_codec` encodes them.
"""

from __future__ import annotations

import functools
import hashlib
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.event_codec import encode_action, encode_event, settings_from_stored, settings_to_stored
from fawnspool.records.frames import FrameReader, FrameWriter, RecordingError
from fawnspool.scheduling import interface

FORM = "module"
VERSION = 1
MAX_EARLIER_RECORDINGS = 16  # kept beside a new one
FLUSH_BYTES = 65536
_HASH_LENGTH = 16
_SHOWN_LENGTH = 60  # characters of an unexpected first frame that an error repeats


class NotADecisionRecordingError(RecordingError):
    """A file's first frame is not that of a decision recording."""

    def __init__(self, path: str | Path, first: Any) -> None:
        super().__init__(f"{path}: holds no module's life (its first frame is {str(first)[:_SHOWN_LENGTH]!r})")


class VersionError(RecordingError):
    """A recording is of another version."""

    def __init__(self, path: str | Path, version: Any) -> None:
        super().__init__(f"{path}: version {version}, this program reads {VERSION}")


def module_hash(policy: Any) -> str:
    """Return a short hash of the source of a policy: of all modules of its package, or of its own file."""
    source = sys.modules[type(policy).__module__].__file__
    if not source:
        return ""
    path = Path(source)
    files = sorted(path.parent.glob("*.py")) if path.parent.name == "scheduling" else [path]
    digest = hashlib.sha256()
    for file in files:
        digest.update(file.read_bytes())
    return digest.hexdigest()[:_HASH_LENGTH]


def rotate_recordings(path: str | Path, max_earlier: int = MAX_EARLIER_RECORDINGS) -> None:
    """Rename an earlier recording to NAME.1, NAME.2 ... (before the suffix), so that a restart loses none.

    The highest number is the latest; the oldest beyond `max_earlier` are deleted.
    """
    path = Path(path)
    if not path.exists() or not path.stat().st_size:
        return
    earlier = _earlier_recordings(path)
    path.rename(path.with_name(f"{path.stem}.{max(earlier, default=0) + 1}{path.suffix}"))
    excess = max(0, len(earlier) + 1 - max_earlier)
    for number in sorted(earlier)[:excess]:
        earlier[number].unlink()


def _earlier_recordings(path: Path) -> dict[int, Path]:
    """Return the earlier recordings by their numbers."""
    earlier: dict[int, Path] = {}
    for other in path.parent.glob(f"{path.stem}.*{path.suffix}"):
        number = other.name[len(path.stem) + 1 : len(other.name) - len(path.suffix)]
        if number.isdigit():
            earlier[int(number)] = other
    return earlier


@dataclass(frozen=True)
class RecordingHeader:
    """What a recording begins with.

    Attributes
    ----------
    policy, settings, seed
        From which the scheduler was made.
    module
        Hash of its source, "" if it is not known.
    """

    policy: str
    settings: interface.Settings
    seed: int
    module: str = ""

    def to_stored(self) -> dict[str, Any]:
        """Return the first frame."""
        return {
            "form": FORM,
            "version": VERSION,
            "policy": self.policy,
            "seed": self.seed,
            "settings": settings_to_stored(self.settings),
            "module": self.module,
        }


class Recorder:
    """Records what a scheduler is told and decides, in batches.

    A recording that can't be continued (the disk is full, or too slow) stops where it is: what it holds up to there
    stays readable, and the recorded program goes on.

    Parameters
    ----------
    path
        The file; an earlier one is kept beside it.
    header
        What the recording begins with.
    background
        Thread that writes; by default the caller's own does.

    Attributes
    ----------
    stopped
        Why the recording stopped, None while it goes on.
    """

    def __init__(self, path: str | Path, header: RecordingHeader, background: BackgroundWriter | None = None) -> None:
        rotate_recordings(path)
        self.writer = FrameWriter(path)
        self.background = background
        self.stopped: str | None = None
        self.writer.put(header.to_stored())

    def note(self, now: float, event: Any, actions: list[Any], error: str = "") -> None:
        """Record one call of the scheduler.

        Parameters
        ----------
        now
            Its time, monotonic seconds.
        event, actions
            What it was told and what it decided.
        error
            What it raised, "" for nothing.
        """
        if self.stopped is not None:
            return
        self.writer.add([now, encode_event(event), [encode_action(action) for action in actions], error])
        if len(self.writer.buffer) > FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what is buffered."""
        data = self.writer.take_buffer()
        if not data or self.stopped is not None:
            return
        if self.background is None:
            self._write(data)
        elif not self.background.put(functools.partial(self._write, data), len(data)):
            pending = self.background.pending_bytes
            self.stopped = f"{self.writer.path}: the disk is too slow: {pending} bytes wait to be written"

    def _write(self, data: bytes) -> None:
        if self.stopped is not None:
            return
        try:
            self.writer.write(data)
        except OSError as error:
            self.stopped = f"{self.writer.path}: {error.strerror or error}"

    def close(self) -> None:
        """Write what is buffered, and close the file after it."""
        self.flush()
        if self.background is None or not self.background.put(self.writer.close):
            self.writer.close()


@dataclass(frozen=True)
class Recording:
    """A recording that was opened for reading.

    Attributes
    ----------
    header
        What it begins with.
    frames
        The frames that follow.
    reader
        Reads them, and reports a tear after the last.
    """

    header: RecordingHeader
    frames: Iterator[Any]
    reader: FrameReader


def open_recording(path: str | Path) -> Recording:
    """Open a recording and read its header.

    Raises
    ------
    RecordingError
        If the file is none, or of another version.
    OSError
        If it can't be read.
    """
    reader = FrameReader(path)
    frames = iter(reader)
    first = next(frames, None)
    if not isinstance(first, dict) or first.get("form") != FORM:
        raise NotADecisionRecordingError(path, first)
    if first["version"] != VERSION:
        raise VersionError(path, first["version"])
    settings = settings_from_stored(first["settings"])
    return Recording(RecordingHeader(first["policy"], settings, first["seed"], first["module"]), frames, reader)
