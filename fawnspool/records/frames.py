"""The form of every recording: a magic line, then frames of length, checksum and msgpack.

    file   = b"FAWNREC1" frame*
    frame  = u32 length, u32 crc32c(payload), payload      (big-endian; payload is one msgpack value)

A writer appends whole frames with one system call each batch, so a killed process leaves at most one torn frame
at the end. A reader gives every whole frame and says where and why it stopped.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import crc32c
import msgspec

MAGIC = b"FAWNREC1"
MOST = 16 << 20  # bytes of one frame
_HEAD = struct.Struct(">II")


class RecordingError(Exception):
    """A file that is no recording, or of another version."""


class Writer:
    """Appends frames to a file; a file that ends in a torn frame is first cut back to its last whole one."""

    def __init__(self, path: str | Path, keep: bool = False) -> None:
        self.path = Path(path)
        self.path.parent.mkdir(parents=True, exist_ok=True)
        self.encoder = msgspec.msgpack.Encoder()
        whole = 0
        if keep and self.path.exists() and self.path.stat().st_size:
            reader = Reader(self.path)
            for _ in reader:
                pass
            whole = reader.whole
        flags = os.O_WRONLY | os.O_CREAT | (0 if whole else os.O_TRUNC)
        self.fd = os.open(self.path, flags, 0o644)
        if whole:
            os.ftruncate(self.fd, whole)
            os.lseek(self.fd, 0, os.SEEK_END)
        else:
            os.write(self.fd, MAGIC)
        self.buffer = bytearray()

    def add(self, value: Any) -> None:
        """Put one frame into the buffer; `flush` writes it."""
        payload = self.encoder.encode(value)
        self.buffer += _HEAD.pack(len(payload), crc32c.crc32c(payload))
        self.buffer += payload

    def put(self, value: Any) -> None:
        """Write one frame now: it outlives this process however that ends."""
        self.add(value)
        self.flush()

    def taken(self) -> bytes:
        """What the buffer holds, which is empty after it; for `write`."""
        data = bytes(self.buffer)
        self.buffer.clear()
        return data

    def write(self, data: bytes) -> None:
        """Write whole frames. Raises OSError; what was written then ends in a torn frame."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]

    def flush(self) -> None:
        self.write(self.taken())

    def close(self) -> None:
        if self.fd >= 0:
            self.flush()
            os.close(self.fd)
            self.fd = -1


class Reader:
    """Every whole frame of a file, in order. After it, `torn` says what ended the reading early ("": nothing)
    and `whole` how many bytes were good."""

    def __init__(self, path: str | Path) -> None:
        self.path, self.torn, self.whole = Path(path), "", 0

    def __iter__(self) -> Iterator[Any]:
        decode = msgspec.msgpack.Decoder().decode
        self.torn = ""
        with self.path.open("rb") as file:
            magic = file.read(len(MAGIC))
            if magic != MAGIC:
                said = "another version" if magic[:7] == MAGIC[:7] else "no recording"
                raise RecordingError(f"{self.path}: {said}: expected {MAGIC!r} at the start, found {magic!r}")
            self.whole = len(MAGIC)
            while head := file.read(_HEAD.size):
                if len(head) < _HEAD.size:
                    self.torn = f"byte {self.whole}: a frame's head is cut short"
                    return
                length, want = _HEAD.unpack(head)
                if length > MOST:
                    self.torn = f"byte {self.whole}: a frame of {length} bytes is over {MOST}"
                    return
                payload = file.read(length)
                if len(payload) < length:
                    self.torn = f"byte {self.whole}: a frame is cut short, {len(payload)} bytes of {length}"
                    return
                if crc32c.crc32c(payload) != want:
                    self.torn = f"byte {self.whole}: a frame's checksum is wrong"
                    return
                try:
                    value = decode(payload)
                except msgspec.DecodeError as bad:
                    self.torn = f"byte {self.whole}: a frame does not read: {bad}"
                    return
                self.whole += _HEAD.size + length
                yield value


def rows_of(folder: Path) -> Iterator[dict[str, Any]]:
    """Every record of a run's folder; torn tails of killed processes are read up to the tear."""
    for path in sorted(folder.glob("*.rec")):
        for row in Reader(path):
            if isinstance(row, dict) and "k" in row:
                yield row
