"""A node's disk: a file an object, written beside and renamed, so that a kill leaves the old or the new one.

file = u32 length of the head, head (msgpack: volume, key, etag, size, crc32c), the bytes
"""

from __future__ import annotations

import os
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import crc32c
import msgspec
import xxhash

_LENGTH = struct.Struct(">I")


class Meta(msgspec.Struct, frozen=True):
    """What is known of one object."""

    volume: str
    key: str
    etag: str
    size: int
    crc: int
    idem: str = ""  # idempotency key of the write that left it
    side: tuple[int, int, int] = (-1, -1, -1)  # generation, and to which cell it was fenced at which position; -1: not


@dataclass(slots=True)
class Draft:
    """An object being written; nobody sees it before `Store.commit`."""

    fd: int
    path: Path
    size: int = 0
    crc: int = 0

    def add(self, piece: bytes) -> None:
        view = memoryview(piece)
        self.crc = crc32c.crc32c(piece, self.crc)
        self.size += len(piece)
        while view:
            view = view[os.write(self.fd, view) :]

    def drop(self) -> None:
        os.close(self.fd)
        self.path.unlink(missing_ok=True)


class Store:
    """Objects of one node below a folder. The index is made anew from the files at each start."""

    HEAD = 512  # bytes kept for the head of a file, so that the body can be written first

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.index: dict[tuple[str, str], tuple[Path, Meta]] = {}
        self.drafts = 0
        for path in sorted(self.folder.iterdir()):
            if path.name.startswith("draft-"):
                path.unlink()  # a kill in the middle of a write
                continue
            meta = self._read_meta(path)
            if meta is not None:
                self.index[meta.volume, meta.key] = (path, meta)

    def _read_meta(self, path: Path) -> Meta | None:
        with path.open("rb") as file:
            head = file.read(self.HEAD)
        if len(head) < self.HEAD:
            return None
        (length,) = _LENGTH.unpack_from(head)
        try:
            return msgspec.msgpack.decode(head[4 : 4 + length], type=Meta)
        except msgspec.DecodeError:
            return None

    def find(self, volume: str, key: str) -> Meta | None:
        row = self.index.get((volume, key))
        return row[1] if row else None

    def draft(self) -> Draft:
        self.drafts += 1
        path = self.folder / f"draft-{os.getpid()}-{self.drafts}"
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        os.lseek(fd, self.HEAD, os.SEEK_SET)
        return Draft(fd, path)

    def commit(self, draft: Draft, volume: str, key: str, idem: str = "", etag: str = "", generation: int = -1) -> Meta:
        """The draft takes the place of what the key held. etag: of the object that it is a copy of."""
        etag = etag or f"{draft.crc:08x}{draft.size:x}-{time.time_ns():x}"
        meta = Meta(volume, key, etag, draft.size, draft.crc, idem, (generation, -1, -1))
        raw = msgspec.msgpack.encode(meta)
        if len(raw) > self.HEAD - 4:
            draft.drop()
            raise ValueError("the key is too long for this store")
        os.pwrite(draft.fd, _LENGTH.pack(len(raw)) + raw, 0)
        os.close(draft.fd)
        name = xxhash.xxh3_128_hexdigest(f"{volume}\0{key}".encode())
        path = self.folder / name
        os.replace(draft.path, path)
        self.index[volume, key] = (path, meta)
        return meta

    def mark(self, volume: str, key: str, side: tuple[int, int, int]) -> None:
        """What a move made of the object, kept with its bytes; the head of a file is written at one stroke."""
        row = self.index.get((volume, key))
        if row is None or row[1].side == side:
            return
        meta = msgspec.structs.replace(row[1], side=side)
        raw = msgspec.msgpack.encode(meta)
        fd = os.open(row[0], os.O_WRONLY)
        try:
            os.pwrite(fd, _LENGTH.pack(len(raw)) + raw, 0)
        finally:
            os.close(fd)
        self.index[volume, key] = (row[0], meta)

    def read(self, volume: str, key: str, start: int, length: int, piece: int = 1 << 18) -> Iterator[bytes]:
        """Bytes of an object. The file opened first is read to its end, also while it is replaced."""
        path, _ = self.index[volume, key]
        fd = os.open(path, os.O_RDONLY)
        try:
            at, end = self.HEAD + start, self.HEAD + start + length
            while at < end:
                data = os.pread(fd, min(piece, end - at), at)
                if not data:
                    return
                at += len(data)
                yield data
        finally:
            os.close(fd)

    def delete(self, volume: str, key: str) -> bool:
        row = self.index.pop((volume, key), None)
        if row is None:
            return False
        row[0].unlink(missing_ok=True)
        return True
