"""An acceptor's memory on disk: a row for each vote, forced to the disk before the vote is announced.

    mark, FINGERPRINT              fingerprint of the settings under which the votes were given; the first row
    floor, TOKEN                   after a recovery or new settings: any token up to this one may be promised
    vote, ROLE, TOKEN, INCARNATION

A file that can't be read as a whole is not used: the acceptor then has no memory and stays silent until it has
recovered (`leases/recovery.py`). A torn last row is ignored, as its vote was never announced.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from fawnspool.leases.actions import AcceptorMemory, PersistVotes
from fawnspool.leases.ballot import Ballot
from fawnspool.leases.settings import LeaseSettings
from fawnspool.records.frames import FrameReader, FrameWriter, RecordingError

FILE_NAME = "votes.rec"
MAX_OUTDATED_ROWS = 10_000  # a start rewrites a file that has over 2 rows per role plus this many
FINGERPRINT_ROW = "mark"
FLOOR_ROW = "floor"
VOTE_ROW = "vote"


class _StoredVotes:
    """The content of a file."""

    def __init__(self) -> None:
        self.votes: dict[int, Ballot] = {}
        self.floor: int | None = None
        self.fingerprint: int | None = None
        self.row_count = 0

    def add(self, kind: str, *values: int) -> None:
        self.row_count += 1
        if kind == FINGERPRINT_ROW:
            self.fingerprint = values[0]
        elif kind == FLOOR_ROW:
            self.floor = values[0] if self.floor is None else max(self.floor, values[0])
        else:
            role, token, incarnation = values[:3]
            if token >= self.votes.get(role, Ballot(0, 0)).token:
                self.votes[role] = Ballot(token, incarnation)


class AcceptorLog:
    """The file of one acceptor.

    Parameters
    ----------
    folder
        Folder of the file; created if it does not exist.
    settings
        Current lease settings. Votes given under other settings are replaced by a floor: the highest token of the file.
    sync
        Whether votes are forced to the disk.

    Attributes
    ----------
    memory : AcceptorMemory or None
        Content of the file at the start; None if the file is missing or unusable.
    missing_reason : str
        Why there is no memory.

    Raises
    ------
    OSError
        If the folder can't be used at all.
    """

    def __init__(self, folder: Path, settings: LeaseSettings, sync: bool) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.path = folder / FILE_NAME
        self.settings = settings
        self.sync = sync
        self.missing_reason = ""
        self._writer: FrameWriter | None = None
        self.memory = self._read()

    def _read(self) -> AcceptorMemory | None:
        if not self.path.exists():
            self.missing_reason = "the file does not exist"
            return None
        reader = FrameReader(self.path)
        stored = _StoredVotes()
        try:
            for row in reader:
                stored.add(*row)
        except (RecordingError, TypeError, ValueError, IndexError, OSError) as error:
            self.missing_reason = str(error)
            return None
        if stored.floor is None or stored.floor < 0 or (reader.torn and "cut short" not in reader.torn):
            self.missing_reason = reader.torn or "the file has no valid row for the floor"
            return None
        if stored.fingerprint != self.settings.fingerprint:
            # Role numbers may have changed: the highest token of all roles counts for each.
            floor = max([stored.floor, *(ballot.token for ballot in stored.votes.values())])
            return self._rewrite(AcceptorMemory({}, floor))
        memory = AcceptorMemory(stored.votes, stored.floor)
        if stored.row_count > 2 * len(stored.votes) + MAX_OUTDATED_ROWS:
            self._rewrite(memory)
        return memory

    def _rewrite(self, memory: AcceptorMemory) -> AcceptorMemory:
        draft = self.path.with_suffix(".draft")
        writer = FrameWriter(draft)
        writer.add((FINGERPRINT_ROW, self.settings.fingerprint))
        writer.add((FLOOR_ROW, memory.floor))
        for role, ballot in memory.votes.items():
            writer.add((VOTE_ROW, role, *ballot))
        writer.flush()
        os.fsync(writer.fd)
        writer.close()
        draft.replace(self.path)
        return memory

    def persist(self, votes: PersistVotes) -> None:
        """Write votes to the disk before returning.

        Raises
        ------
        OSError
            If they could not be written; the file can then be read up to its last complete row.
        """
        try:
            self._append(votes)
        except OSError:
            self._discard_writer()
            raise

    def _append(self, votes: PersistVotes) -> None:
        writer = self._open_writer()
        rows: list[tuple[Any, ...]] = [(VOTE_ROW, *record) for record in votes.records]
        if votes.floor is not None:
            rows.append((FLOOR_ROW, votes.floor))
            self.memory = AcceptorMemory({}, votes.floor)
        for row in rows:
            writer.add(row)
        writer.flush()
        if self.sync:
            os.fdatasync(writer.fd)

    def _open_writer(self) -> FrameWriter:
        if self._writer is None:
            self._writer = FrameWriter(self.path, append=self.memory is not None)
            if self.memory is None:
                self._writer.add((FINGERPRINT_ROW, self.settings.fingerprint))
        return self._writer

    def _discard_writer(self) -> None:
        """Close without writing, so that reopening cuts off a torn row before the next row is written."""
        if self._writer is not None:
            os.close(self._writer.fd)
            self._writer.fd = -1
            self._writer = None

    def close(self) -> None:
        """Close the file."""
        self._discard_writer()
