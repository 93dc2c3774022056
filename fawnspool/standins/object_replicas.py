"""A stand-in node's replicas: which extents it serves, kept over a restart. `extents/object_replica.py` has the rules.

An extent that never took part in a migration has no row: the node serves what it stores. A row is written before what
it says is done, so a kill in between leaves the node more careful, never less: a position may count a write that did
not come. The file of rows is created with the folder, and a mark beside it says so: where the mark stands and the file
is gone, the node has lost its rows. Then the metadata of its objects still tell what was fenced; all else, also what it
does not hold, as that may have been migrated, is unconfirmed and not served until a migrator confirms it.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from fawnspool.extents.object_replica import CommandArguments, ObjectReplica, ReplicaCommand
from fawnspool.extents.replicas import ReplicaResult, ReplicaRole
from fawnspool.records.frames import FrameReader, FrameWriter
from fawnspool.standins.object_store import FenceMark, ObjectStore, unfenced_mark

MAX_SUPERSEDED_ROWS = 1000  # beyond one for each extent; with more the file is rewritten at a start
_ROWS_FILE = "moves.rec"
_REWRITTEN_FILE = "moves.draft"
_CREATED_MARK = "moves.begun"


class ObjectReplicas:
    """All replicas of one node.

    Attributes
    ----------
    rows
        Replicas that took part in a migration, by volume and extent.
    lost_rows
        The node's file of rows is gone.
    """

    def __init__(self, folder: Path, store: ObjectStore) -> None:
        self._store = store
        self._path = folder / _ROWS_FILE
        mark = folder / _CREATED_MARK
        folder.mkdir(parents=True, exist_ok=True)
        self.lost_rows = mark.exists() and not self._path.exists()
        self.rows: dict[tuple[str, str], ObjectReplica] = {}
        rows_read = self._read_rows()
        if rows_read > 2 * len(self.rows) + MAX_SUPERSEDED_ROWS:
            self._rewrite_rows(folder / _REWRITTEN_FILE)
        # A node that lost its rows creates no new file: at its next start it must still know that it did.
        self._writer = None if self.lost_rows else FrameWriter(self._path, append=True)
        mark.touch()

    def get(self, volume: str, extent: str) -> ObjectReplica:
        """Return a replica; one without a row is made, not kept."""
        replica = self.rows.get((volume, extent))
        if replica is not None:
            return replica
        metadata = self._store.find(volume, extent)
        if not self.lost_rows:
            return ObjectReplica(ReplicaRole.OWNER if metadata is not None else ReplicaRole.ABSENT)
        if metadata is None:
            return ObjectReplica(ReplicaRole.UNCONFIRMED, has_data=False)
        mark = metadata.fence_mark
        return ObjectReplica(
            ReplicaRole.UNCONFIRMED if mark.successor < 0 else ReplicaRole.FENCED,
            mark.generation,
            mark.successor,
            position=max(mark.position, 0),
            fence_position=mark.position,
        )

    def check_request(self, volume: str, extent: str) -> ReplicaResult:
        """May a request be done here? An extent that the node never heard of is served, as a new one begins so."""
        replica = self.rows.get((volume, extent))
        if replica is None:
            if not self.lost_rows:
                return ReplicaResult.DONE
            replica = self.get(volume, extent)
        if replica.role in (ReplicaRole.OWNER, ReplicaRole.ABSENT):
            return ReplicaResult.DONE
        return ReplicaResult.MOVED if replica.role is ReplicaRole.FENCED else ReplicaResult.NOT_YET

    def count_write(self, volume: str, extent: str) -> None:
        """Count a write that is about to be done."""
        replica = self.rows.get((volume, extent))
        if replica is not None and replica.role is ReplicaRole.OWNER:
            replica.position += 1
            self._put_row(volume, extent, replica)

    def execute(self, volume: str, extent: str, command: ReplicaCommand, arguments: CommandArguments) -> bool:
        """Execute a migrator's command. Was it allowed?"""
        replica = self.get(volume, extent)
        if not replica.execute(command, arguments):
            return False
        self._keep(volume, extent, replica)
        return True

    def close(self) -> None:
        """Close the file."""
        if self._writer is not None:
            self._writer.close()

    def _read_rows(self) -> int:
        """Read the file. Returns the number of rows in it."""
        if not self._path.exists():
            return 0
        count = 0
        for volume, extent, role, generation, successor, position, fence_position, has_data in FrameReader(self._path):
            self.rows[volume, extent] = ObjectReplica(
                ReplicaRole(role),
                generation,
                successor,
                position=position,
                fence_position=fence_position,
                has_data=has_data,
            )
            count += 1
        return count

    def _rewrite_rows(self, draft: Path) -> None:
        """Write the file anew, with one row for each extent."""
        writer = FrameWriter(draft)
        for (volume, extent), replica in self.rows.items():
            writer.add(_row(volume, extent, replica))
        writer.close()
        draft.replace(self._path)

    def _keep(self, volume: str, extent: str, replica: ObjectReplica) -> None:
        """Keep a change, with the object first: should the row be lost, the object says no less than it."""
        if replica.role is ReplicaRole.FENCED:
            mark = FenceMark(replica.generation, replica.successor, replica.fence_position)
            self._store.mark(volume, extent, mark)
        elif replica.role is ReplicaRole.OWNER:
            self._store.mark(volume, extent, unfenced_mark(replica.generation))
        self._put_row(volume, extent, replica)

    def _put_row(self, volume: str, extent: str, replica: ObjectReplica) -> None:
        self.rows[volume, extent] = replica
        if self._writer is not None:
            self._writer.put(_row(volume, extent, replica))


def _row(volume: str, extent: str, replica: ObjectReplica) -> list[Any]:
    return [
        volume,
        extent,
        replica.role.value,
        replica.generation,
        replica.successor,
        replica.position,
        replica.fence_position,
        replica.has_data,
    ]
