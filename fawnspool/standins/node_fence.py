"""A stand-in node's fence against stale lease holders, on disk before a step is done."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from fawnspool.leases.fencing import Fence, StaleTokenError
from fawnspool.records.frames import FrameReader, FrameWriter

FENCE_FILE = "fences.rec"


class NodeFence:
    """The tokens that a node has seen, kept in its folder.

    Parameters
    ----------
    folder
        Of the node.
    note
        Records what was admitted or rejected.
    """

    def __init__(self, folder: Path, note: Callable[..., None]) -> None:
        path = folder / FENCE_FILE
        self.fence = Fence(tuple(row) for row in FrameReader(path)) if path.exists() else Fence()
        self._writer = FrameWriter(path, append=True)
        self._note = note

    def newer_token(self, query: dict[str, str], step: str) -> int | None:
        """Return the newer token that forbids a step; None: it may be done.

        A request without a role is an operator's own and is not checked.

        Raises
        ------
        KeyError, ValueError
            Where the request's token does not read or the fence can remember no further role.
        """
        volume, key = query.get("volume"), query.get("key")
        if "duty" not in query:
            self._note("effect", duty="", token=-1, who=0, what=step, vol=volume, key=key)
            return None
        role, token, incarnation = query["duty"], int(query["token"]), int(query["who"])
        fields = {
            "duty": role,
            "token": token,
            "who": incarnation,
            "head": int(query.get("head", -1)),
            "what": step,
            "vol": volume,
            "key": key,
        }
        try:
            if self.fence.admit(role, token, incarnation):
                self._writer.put((role, token, incarnation))
        except StaleTokenError as error:
            self._note("fenced", newest=error.newest, **fields)
            return error.newest
        self._note("effect", **fields)
        return None

    def close(self) -> None:
        """Close the file."""
        self._writer.close()
