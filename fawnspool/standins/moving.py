"""A node's side of moves: which extents it serves, kept over a restart. The rules are `extents/replicas.py`'s.

An extent that never took part in a move has no row: the node serves what it stores. A row is written before what it
says is done, so a kill in between leaves the node more careful, never less: a position may count a write that did not
come. The file of rows is begun with the folder, and a mark beside it says so: where the mark stands and the file is
gone, the node has forgotten who serves what. Then the data still tell what was fenced, as that is kept with them; of
all else, also of what it does not hold (it may have gone elsewhere), the node is unsure and serves nothing of it until
it is told.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fawnspool.extents.object_replica import CommandArguments, ObjectReplica, ReplicaCommand
from fawnspool.extents.replicas import ReplicaResult, ReplicaRole
from fawnspool.leases.fencing import Fence, StaleTokenError
from fawnspool.records.frames import FrameReader, FrameWriter
from fawnspool.standins.store import Store

LONG = 1000  # rows beyond twice the extents after which the file is written anew at a start


class Sides:
    """All rows of one node."""

    def __init__(self, folder: Path, store: Store) -> None:
        self.store, self.path, mark = store, folder / "moves.rec", folder / "moves.begun"
        folder.mkdir(parents=True, exist_ok=True)
        self.forgot = mark.exists() and not self.path.exists()
        self.rows: dict[tuple[str, str], ObjectReplica] = {}
        count = 0
        if self.path.exists():
            for volume, extent, role, generation, to, position, fence, kept in FrameReader(self.path):
                self.rows[volume, extent] = ObjectReplica(ReplicaRole(role), generation, to, [], position, fence, kept)
                count += 1
        if count > 2 * len(self.rows) + LONG:
            draft = folder / "moves.draft"
            writer = FrameWriter(draft)
            for name, side in self.rows.items():
                writer.add(self._row(name, side))
            writer.close()
            os.replace(draft, self.path)
        # A node that has forgotten begins no new file: at its next start it must still know that it has.
        self.writer = FrameWriter(self.path, append=True) if not self.forgot else None
        mark.touch()

    @staticmethod
    def _row(name: tuple[str, str], s: ObjectReplica) -> list[Any]:
        return [*name, s.role.value, s.generation, s.successor, s.position, s.fence_position, s.has_data]

    def side(self, volume: str, extent: str) -> ObjectReplica:
        """As it is; one without a row is made, not kept."""
        found = self.rows.get((volume, extent))
        if found is not None:
            return found
        meta = self.store.find(volume, extent)
        if not self.forgot:
            return ObjectReplica(ReplicaRole.OWNER if meta is not None else ReplicaRole.ABSENT)
        if meta is None:
            return ObjectReplica(ReplicaRole.UNCONFIRMED, has_data=False)
        generation, to, fence = meta.side
        return ObjectReplica(
            ReplicaRole.UNCONFIRMED if to < 0 else ReplicaRole.FENCED, generation, to, [], max(fence, 0), fence
        )

    def answer(self, volume: str, extent: str) -> ReplicaResult:
        """May a request be done here? What the node never heard of is served, as a new one begins that way."""
        found = self.rows.get((volume, extent))
        if found is None:
            if not self.forgot:
                return ReplicaResult.DONE
            found = self.side(volume, extent)
        if found.role in (ReplicaRole.OWNER, ReplicaRole.ABSENT):
            return ReplicaResult.DONE
        return ReplicaResult.MOVED if found.role is ReplicaRole.FENCED else ReplicaResult.NOT_YET

    def writes(self, volume: str, extent: str) -> None:
        """A write is about to be done."""
        found = self.rows.get((volume, extent))
        if found is not None and found.role is ReplicaRole.OWNER:
            found.position += 1
            self._row_of(volume, extent, found)

    def step(
        self,
        step: str,
        volume: str,
        extent: str,
        generation: int,
        to: int = -1,
        fence: int = -1,
        position: int = 0,
        mine: bool = False,
    ) -> bool:
        """One step of a move; False: it may not be taken. Raises ValueError for what is no step."""
        s = self.side(volume, extent)
        arguments = CommandArguments(generation, to, fence, position, mine)
        if not s.execute(ReplicaCommand.parse(step), arguments):
            return False
        self._keep(volume, extent, s)
        return True

    def _keep(self, volume: str, extent: str, s: ObjectReplica) -> None:
        """With the data first: should the row be lost, they say no less than it."""
        if s.role in (ReplicaRole.OWNER, ReplicaRole.FENCED):
            fenced = s.role is ReplicaRole.FENCED
            self.store.mark(
                volume, extent, (s.generation, s.successor if fenced else -1, s.fence_position if fenced else -1)
            )
        self._row_of(volume, extent, s)

    def _row_of(self, volume: str, extent: str, s: ObjectReplica) -> None:
        self.rows[volume, extent] = s
        if self.writer is not None:
            self.writer.put(self._row((volume, extent), s))

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


class Gate:
    """A node's fence against older holders of a duty, kept beside its rows: on disk before the step is done."""

    def __init__(self, folder: Path, note: Callable[..., None]) -> None:
        path = folder / "fences.rec"
        self.fence = Fence(tuple(row) for row in FrameReader(path)) if path.exists() else Fence()
        self.writer, self.note = FrameWriter(path, append=True), note

    def passes(self, query: dict[str, str], what: str) -> int | None:
        """None: the step may be done; else the newer token that forbids it. A call without a duty is an operator's
        own and is not looked at. Raises KeyError or ValueError where it does not read."""
        if "duty" not in query:
            self.note("effect", duty="", token=-1, who=0, what=what, vol=query.get("volume"), key=query.get("key"))
            return None
        duty, token, who = query["duty"], int(query["token"]), int(query["who"])
        told = {
            "duty": duty,
            "token": token,
            "who": who,
            "head": int(query.get("head", -1)),
            "what": what,
            "vol": query.get("volume"),
            "key": query.get("key"),
        }
        try:
            if self.fence.admit(duty, token, who):
                self.writer.put((duty, token, who))
        except StaleTokenError as bad:
            self.note("fenced", newest=bad.newest, **told)
            return bad.newest
        self.note("effect", **told)
        return None

    def close(self) -> None:
        self.writer.close()
