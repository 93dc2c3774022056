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
        self.line_parts: list[bytes] = []  # parts of the line whose end has not arrived
        self.line_bytes = 0
        self.object_lines: list[bytes] = []  # lines of the object that is not complete
        self.object_bytes = 0
        self.depth = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        r"""Yield each object that `data` completes, and b"" for an empty line between two objects.

        Raises
        ------
        ObjectTooLargeError
            The incomplete object exceeds `max_bytes`.
        """
        *line_ends, last = data.split(b"\n")
        for line_end in line_ends:
            line = b"".join((*self.line_parts, line_end))
            self.line_parts = []
            self.line_bytes = 0
            if self.depth == 0 and not line.strip():
                yield b""
                continue
            self._add_line(line)
            if self.depth <= 0:
                yield self._take_object()
        self.line_parts.append(last)
        self.line_bytes += len(last)
        if self.object_bytes + self.line_bytes > self.max_bytes:
            raise ObjectTooLargeError(self.max_bytes)

    def _add_line(self, line: bytes) -> None:
        without_strings = _STRING.sub(b"", line)
        opened = without_strings.count(b"{") + without_strings.count(b"[")
        closed = without_strings.count(b"}") + without_strings.count(b"]")
        self.depth += opened - closed
        self.object_lines.append(line)
        self.object_bytes += len(line)

    def _take_object(self) -> bytes:
        complete = b"\n".join(self.object_lines)
        self.object_lines = []
        self.object_bytes = 0
        self.depth = 0
        return complete
