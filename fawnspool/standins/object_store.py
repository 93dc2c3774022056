"""A stand-in node's objects on disk: one file each, written aside and renamed, so that a kill leaves old or new.

file = u32 length of the head, head (msgpack of `ObjectMetadata`), padding up to `HEAD_BYTES`, the object's bytes
"""

from __future__ import annotations

import os
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import crc32c
import msgspec
import xxhash

from fawnspool.extents.records import NO_GENERATION
from fawnspool.extents.replicas import NO_FENCE, NO_SUCCESSOR

HEAD_BYTES = 512  # kept for the head of a file, so that the body can be written first
_LENGTH = struct.Struct(">I")
_DRAFT_PREFIX = "draft-"
_FILE_MODE = 0o644
_PIECE_BYTES = 1 << 18


class KeyTooLongError(ValueError):
    """The metadata of an object does not fit into the head of its file."""

    def __init__(self) -> None:
        super().__init__("the key is too long for this store")


class FenceMark(NamedTuple):
    """What a migration made of an object, kept with its bytes.

    Attributes
    ----------
    generation
        Of the node's replica.
    successor, position
        Shard to which the replica was fenced and at which position; -1: it is not fenced.
    """

    generation: int
    successor: int
    position: int


def unfenced_mark(generation: int = NO_GENERATION) -> FenceMark:
    """Return the mark of an object whose replica is not fenced."""
    return FenceMark(generation, NO_SUCCESSOR, NO_FENCE)


class ObjectMetadata(
    msgspec.Struct, frozen=True, rename={"crc32c": "crc", "idempotency_key": "idem", "fence_mark": "side"}
):
    """What is known of one object; its fields keep their stored names.

    Attributes
    ----------
    idempotency_key
        Of the write that left the object; empty where it had none.
    """

    volume: str
    key: str
    etag: str
    size: int
    crc32c: int
    idempotency_key: str = ""
    fence_mark: FenceMark = unfenced_mark()


@dataclass(frozen=True, slots=True)
class WriteOrigin:
    """Where a write comes from.

    Attributes
    ----------
    idempotency_key
        Of the attempt; empty where it has none.
    etag
        Of the object that this is a copy of; empty: a new one is made.
    generation
        Of the node's replica that takes the write.
    """

    idempotency_key: str = ""
    etag: str = ""
    generation: int = NO_GENERATION


_PLAIN_WRITE = WriteOrigin()


@dataclass(slots=True)
class ObjectDraft:
    """An object being written; nobody sees it before `ObjectStore.commit`."""

    descriptor: int
    path: Path
    size: int = 0
    crc32c: int = 0

    def add(self, piece: bytes) -> None:
        """Append bytes. Raises OSError."""
        view = memoryview(piece)
        self.crc32c = crc32c.crc32c(piece, self.crc32c)
        self.size += len(piece)
        while view:
            view = view[os.write(self.descriptor, view) :]

    def drop(self) -> None:
        """Give the draft up."""
        os.close(self.descriptor)
        self.path.unlink(missing_ok=True)


class ObjectStore:
    """Objects of one node below a folder. The index is rebuilt from the files at each start.

    Attributes
    ----------
    index
        File and metadata of each object by volume and key.
    """

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.index: dict[tuple[str, str], tuple[Path, ObjectMetadata]] = {}
        self._drafts_begun = 0
        for path in sorted(self.folder.iterdir()):
            if path.name.startswith(_DRAFT_PREFIX):
                path.unlink()  # a kill in the middle of a write
                continue
            metadata = _read_metadata(path)
            if metadata is not None:
                self.index[metadata.volume, metadata.key] = (path, metadata)

    def find(self, volume: str, key: str) -> ObjectMetadata | None:
        """Return an object's metadata; None: there is no such object."""
        entry = self.index.get((volume, key))
        return entry[1] if entry else None

    def draft(self) -> ObjectDraft:
        """Begin to write an object. Raises OSError."""
        self._drafts_begun += 1
        path = self.folder / f"{_DRAFT_PREFIX}{os.getpid()}-{self._drafts_begun}"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, _FILE_MODE)
        os.lseek(descriptor, HEAD_BYTES, os.SEEK_SET)
        return ObjectDraft(descriptor, path)

    def commit(self, draft: ObjectDraft, volume: str, key: str, origin: WriteOrigin = _PLAIN_WRITE) -> ObjectMetadata:
        """Let a draft take the place of what the key held.

        Raises
        ------
        KeyTooLongError
            The draft is dropped.
        """
        etag = origin.etag or f"{draft.crc32c:08x}{draft.size:x}-{time.time_ns():x}"
        mark = unfenced_mark(origin.generation)
        metadata = ObjectMetadata(volume, key, etag, draft.size, draft.crc32c, origin.idempotency_key, mark)
        head = msgspec.msgpack.encode(metadata)
        if len(head) > HEAD_BYTES - _LENGTH.size:
            draft.drop()
            raise KeyTooLongError
        os.pwrite(draft.descriptor, _LENGTH.pack(len(head)) + head, 0)
        os.close(draft.descriptor)
        path = self.folder / xxhash.xxh3_128_hexdigest(f"{volume}\0{key}".encode())
        draft.path.replace(path)
        self.index[volume, key] = (path, metadata)
        return metadata

    def mark(self, volume: str, key: str, mark: FenceMark) -> None:
        """Keep a migration's mark with an object's bytes; the head of a file is written at one stroke."""
        entry = self.index.get((volume, key))
        if entry is None or entry[1].fence_mark == mark:
            return
        path, metadata = entry
        metadata = msgspec.structs.replace(metadata, fence_mark=mark)
        head = msgspec.msgpack.encode(metadata)
        descriptor = os.open(path, os.O_WRONLY)
        try:
            os.pwrite(descriptor, _LENGTH.pack(len(head)) + head, 0)
        finally:
            os.close(descriptor)
        self.index[volume, key] = (path, metadata)

    def read(self, volume: str, key: str, start: int, length: int) -> Iterator[bytes]:
        """Yield bytes of an object. The file opened first is read to its end, also while it is replaced."""
        path, _ = self.index[volume, key]
        descriptor = os.open(path, os.O_RDONLY)
        try:
            offset = HEAD_BYTES + start
            end = offset + length
            while offset < end:
                data = os.pread(descriptor, min(_PIECE_BYTES, end - offset), offset)
                if not data:
                    return
                offset += len(data)
                yield data
        finally:
            os.close(descriptor)

    def delete(self, volume: str, key: str) -> bool:
        """Remove an object. Was there one?"""
        entry = self.index.pop((volume, key), None)
        if entry is None:
            return False
        entry[0].unlink(missing_ok=True)
        return True


def _read_metadata(path: Path) -> ObjectMetadata | None:
    """Read the head of a file; None: it is no object's."""
    with path.open("rb") as file:
        head = file.read(HEAD_BYTES)
    if len(head) < HEAD_BYTES:
        return None
    (length,) = _LENGTH.unpack_from(head)
    try:
        return msgspec.msgpack.decode(head[_LENGTH.size : _LENGTH.size + length], type=ObjectMetadata)
    except msgspec.DecodeError:
        return None
