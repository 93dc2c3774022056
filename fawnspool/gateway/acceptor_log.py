"""A voter's memory on disk: each vote a row, forced to the disk before it is said. Rows: duty, token, who; a first
row names the terms that they were given under.

What does not read is not used: the voter then is one without memory, which says nothing until it has learned
(`duties/voter.py`). A torn last row is that of a vote that was never said.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from fawnspool.leases.acceptor import Keep, Memory
from fawnspool.leases.terms import Terms
from fawnspool.records.frames import Reader, RecordingError, Writer

LONG = 10_000  # rows after which the file is written anew at a start


class VoteFile:
    """Raises OSError where the folder can't be used at all."""

    def __init__(self, folder: Path, terms: Terms, sync: bool) -> None:
        self.path, self.terms, self.sync = folder / "votes.rec", terms, sync
        folder.mkdir(parents=True, exist_ok=True)
        self.why = ""  # why there is no memory
        self.writer: Writer | None = None
        self.memory = self._read()

    def _read(self) -> Memory | None:
        if not self.path.exists():
            self.why = "there is no file"
            return None
        reader, rows, floor, mark, count = Reader(self.path), dict[int, tuple[int, int]](), -1, None, 0
        try:
            for kind, *row in reader:
                count += 1
                if kind == "mark":
                    mark = row[0]
                elif kind == "floor":
                    floor = max(floor, row[0])
                elif row[1] >= rows.get(row[0], (0, 0))[0]:
                    rows[row[0]] = (row[1], row[2])
        except (RecordingError, TypeError, ValueError, IndexError, OSError) as bad:
            self.why = str(bad)
            return None
        if floor < 0 or (reader.torn and "cut short" not in reader.torn):
            self.why = reader.torn or "it was never known how high tokens had come"
            return None
        if mark != self.terms.mark:  # duties may bear other numbers now: of all of them the highest token
            rows, floor = {}, max([floor, *(token for token, _ in rows.values())])
            self._anew(rows, floor)
        elif count > 2 * len(rows) + LONG:
            self._anew(rows, floor)
        return Memory(rows, floor)

    def _anew(self, rows: dict[int, tuple[int, int]], floor: int) -> None:
        draft = self.path.with_suffix(".draft")
        writer = Writer(draft)
        for row in (("mark", self.terms.mark), ("floor", floor), *(("vote", d, t, w) for d, (t, w) in rows.items())):
            writer.add(row)
        writer.flush()
        os.fsync(writer.fd)
        writer.close()
        os.replace(draft, self.path)

    def keep(self, keep: Keep) -> None:
        """On the disk when it returns. Raises OSError; the file is read up to its last whole row then."""
        try:
            if self.writer is None:
                self.writer = Writer(self.path, keep=self.memory is not None)
                if self.memory is None:
                    self.writer.add(("mark", self.terms.mark))
            rows: list[Any] = [("vote", *row) for row in keep.rows]
            if keep.floor >= 0:
                rows.append(("floor", keep.floor))
                self.memory = Memory({}, keep.floor)
            for row in rows:
                self.writer.add(row)
            self.writer.flush()
            if self.sync:
                os.fdatasync(self.writer.fd)
        except OSError:
            self._drop()
            raise

    def _drop(self) -> None:
        """The next row must not stand behind a torn one: the file is opened anew, cut back to its last whole row."""
        if self.writer is not None:
            os.close(self.writer.fd)
            self.writer.fd = -1
            self.writer = None

    def close(self) -> None:
        self._drop()
