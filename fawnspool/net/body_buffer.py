"""Collects a body from its pieces."""

from __future__ import annotations

from collections.abc import Iterable


class BodyBuffer:
    """The bytes of a body received so far; takes little more memory than these bytes, however small the pieces are."""

    __slots__ = ("_data",)

    def __init__(self) -> None:
        self._data: bytes | bytearray = b""

    def __len__(self) -> int:
        return len(self._data)

    def append(self, piece: bytes) -> None:
        """Append a piece; a single piece is not copied."""
        if not self._data:
            self._data = piece
            return
        if isinstance(self._data, bytes):
            self._data = bytearray(self._data)
        self._data += piece

    def take(self) -> bytes:
        """Return all bytes and empty the buffer."""
        data = bytes(self._data)
        self._data = b""
        return data


def join_pieces(pieces: Iterable[bytes]) -> bytes:
    """Return a whole body; while it is collected, it takes little more memory than its bytes."""
    body = BodyBuffer()
    for piece in pieces:
        body.append(piece)
    return body.take()
