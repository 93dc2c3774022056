"""Splits a stream of bytes into the JSON objects of a watch."""

from __future__ import annotations

import re
from collections.abc import Iterator

# A string, or one that the line's end cuts off. Nothing is tried twice: the time is in proportion to the line's length.
_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)')


class ObjectTooLargeError(ValueError):
    """An object of the stream exceeds the limit."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"a JSON object of over {max_bytes} bytes")


class ObjectSplitter:
    """Splits received bytes into complete JSON objects.

    An object ends with the line that closes its last bracket: it may be on one line or, indented, on several lines.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._line = bytearray()  # the line whose end has not arrived
        self._object = bytearray()  # complete lines of the object that is not complete, with their ends
        self._depth = 0  # brackets that are open

    def feed(self, data: bytes) -> Iterator[bytes]:
        r"""Yield each object that `data` completes, and b"" for an empty line between two objects.

        Raises
        ------
        ObjectTooLargeError
            The incomplete object exceeds `max_bytes`.
        """
        *line_ends, last = data.split(b"\n")
        for line_end in line_ends:
            line = self._take_line(line_end)
            if self._depth == 0 and not line.strip():
                yield b""
                continue
            self._add_line(line)
            if self._depth <= 0:
                yield self._take_object()
        self._line += last
        if len(self._object) + len(self._line) > self.max_bytes:
            raise ObjectTooLargeError(self.max_bytes)

    def _take_line(self, line_end: bytes) -> bytes:
        if not self._line:
            return line_end
        line = bytes(self._line) + line_end
        self._line.clear()
        return line

    def _add_line(self, line: bytes) -> None:
        without_strings = _STRING.sub(b"", line)
        opened = without_strings.count(b"{") + without_strings.count(b"[")
        closed = without_strings.count(b"}") + without_strings.count(b"]")
        self._depth += opened - closed
        self._object += line
        self._object += b"\n"

    def _take_object(self) -> bytes:
        complete = bytes(self._object[:-1])
        self._object.clear()
        self._depth = 0
        return complete
