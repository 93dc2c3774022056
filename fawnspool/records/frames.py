"""The format of every recording: a magic line, then frames of length, checksum and msgpack.

    file   = b"FAWNREC1" frame*
    frame  = u32 length, u32 crc32c(payload), payload      (big-endian; payload is one msgpack value)

A writer appends complete frames with one system call for each batch, so that a killed process leaves at most one torn
frame at the end. A reader returns every complete frame and reports where and why it stopped.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO

import crc32c
import msgspec

MAGIC = b"FAWNREC1"
MAX_FRAME_BYTES = 16 << 20
_FORMAT_LENGTH = 7  # bytes of the magic line without its version
_FRAME_HEADER = struct.Struct(">II")


class RecordingError(Exception):
    """A file that is no recording, or one of another version."""


class MagicError(RecordingError):
    """A file does not begin with the magic line."""

    def __init__(self, path: Path, found: bytes) -> None:
        is_other_version = found[:_FORMAT_LENGTH] == MAGIC[:_FORMAT_LENGTH]
        fault = "another version" if is_other_version else "no recording"
        super().__init__(f"{path}: {fault}: expected {MAGIC!r} at the start, found {found!r}")


class _TornFrameError(Exception):
    """A frame is incomplete or damaged; the text says how."""


class FrameWriter:
    """Appends frames to a file.

    Parameters
    ----------
    path
        The file; its folder is made if need be.
    append
        Continue a file after its last complete frame, and cut off a torn one; by default it is begun anew.
    """

    def __init__(self, path: str | Path, append: bool = False) -> None:
        self.path = Path(path)
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.encoder = msgspec.msgpack.Encoder()
        self.buffer = bytearray()
        self.fd = self._open(_valid_bytes(self.path) if append else 0)

    def _open(self, valid_bytes: int) -> int:
        flags = os.O_WRONLY | os.O_CREAT
        if not valid_bytes:
            fd = os.open(self.path, flags | os.O_TRUNC, 0o644)
            os.write(fd, MAGIC)
            return fd
        fd = os.open(self.path, flags, 0o644)
        os.ftruncate(fd, valid_bytes)
        os.lseek(fd, 0, os.SEEK_END)
        return fd

    def add(self, value: Any) -> None:
        """Add one frame to the buffer, which `flush` writes."""
        payload = self.encoder.encode(value)
        self.buffer += _FRAME_HEADER.pack(len(payload), crc32c.crc32c(payload))
        self.buffer += payload

    def put(self, value: Any) -> None:
        """Write one frame now: it outlives this process, however that ends."""
        self.add(value)
        self.flush()

    def take_buffer(self) -> bytes:
        """Return the buffered frames, for `write`, and empty the buffer."""
        data = bytes(self.buffer)
        self.buffer.clear()
        return data

    def write(self, data: bytes) -> None:
        """Write complete frames.

        Raises
        ------
        OSError
            If the disk does not take them; the file may then end in a torn frame.
        """
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]

    def flush(self) -> None:
        """Write the buffered frames; raises OSError as `write`."""
        self.write(self.take_buffer())

    def close(self) -> None:
        """Write the buffered frames and close the file."""
        if self.fd >= 0:
            self.flush()
            os.close(self.fd)
            self.fd = -1


def _valid_bytes(path: Path) -> int:
    """Return the length of a file up to its last complete frame."""
    if not path.exists() or not path.stat().st_size:
        return 0
    reader = FrameReader(path)
    for _ in reader:
        pass
    return reader.valid_bytes


class FrameReader:
    """Iterates over the complete frames of a file, in order.

    Attributes
    ----------
    torn
        After the iteration: where and why it ended early, "" if it did not.
    valid_bytes
        Length of the magic line and the frames that were read.
    """

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self.torn = ""
        self.valid_bytes = 0

    def __iter__(self) -> Iterator[Any]:
        """Iterate over the frames.

        Raises
        ------
        MagicError
            If the file is no recording.
        OSError
            If it can't be read.
        """
        decode = msgspec.msgpack.Decoder().decode
        self.torn = ""
        with self.path.open("rb") as file:
            magic = file.read(len(MAGIC))
            if magic != MAGIC:
                raise MagicError(self.path, magic)
            self.valid_bytes = len(MAGIC)
            while header := file.read(_FRAME_HEADER.size):
                try:
                    payload = _read_payload(file, header)
                    value = decode(payload)
                except _TornFrameError as error:
                    self.torn = f"byte {self.valid_bytes}: {error}"
                    return
                except msgspec.DecodeError as error:
                    self.torn = f"byte {self.valid_bytes}: a frame does not read: {error}"
                    return
                self.valid_bytes += _FRAME_HEADER.size + len(payload)
                yield value


def _read_payload(file: BinaryIO, header: bytes) -> bytes:
    if len(header) < _FRAME_HEADER.size:
        fault = "a frame's head is cut short"
        raise _TornFrameError(fault)
    length, checksum = _FRAME_HEADER.unpack(header)
    if length > MAX_FRAME_BYTES:
        fault = f"a frame of {length} bytes is over {MAX_FRAME_BYTES}"
        raise _TornFrameError(fault)
    payload = file.read(length)
    if len(payload) < length:
        fault = f"a frame is cut short, {len(payload)} bytes of {length}"
        raise _TornFrameError(fault)
    if crc32c.crc32c(payload) != checksum:
        fault = "a frame's checksum is wrong"
        raise _TornFrameError(fault)
    return payload


def rows_of(folder: Path) -> Iterator[dict[str, Any]]:
    """Iterate over every record of a run's folder; the torn tail of a killed process's file is left out."""
    for path in sorted(folder.glob("*.rec")):
        for row in FrameReader(path):
            if isinstance(row, dict) and "k" in row:
                yield row
