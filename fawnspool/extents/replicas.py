"""One node's replica of an extent, and who may read and write it during a migration. No I/O, no clock.

A migration goes through these steps; `ReplicaCommand` (object_replica.py) has their names on the wire.

    begin_filling   a node begins to receive the extent, for a generation that it has not reached before
    append          writes come over, by position in the source's log
    fence           the source stops for good; accepted only from the generation that it is at, so that of two migrators
                    one wins
    activate        the target has everything up to the fence and serves
    discard_data    the source's data go; its fence stays, as it must redirect whoever still comes
    cancel          a filling target that has not been activated never will be, at that generation
    reactivate      a source whose target was cancelled serves again, at a generation above the cancelled one

A write lands on the replica that serves or is refused. What the source accepts before its fence lies before the fence's
position, which the target must have reached to be activated; after the fence the source redirects. So no acknowledged
write is left behind and none is done twice. A node that lost its memory of fences does not know whether it serves: its
replicas are unconfirmed until it is told the generation that the map service has for the extent.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from fawnspool.extents.records import NO_GENERATION

MAX_WRITES_BEHIND_FENCE = 8  # the target may lack so many when the source is fenced; nobody is served until they come

# Values of the stored rows and of the nodes' protocol for "none"; all are below any real value.
NO_SUCCESSOR = -1
NO_FENCE = -1


class ReplicaRole(Enum):
    """What a node is for an extent."""

    ABSENT = "absent"
    FILLING = "filling"
    OWNER = "owner"
    FENCED = "fenced"  # redirects to its successor
    CANCELLED = "cancelled"  # will never be activated at its generation
    UNCONFIRMED = "unsure"  # came back without its memory of fences


class ReplicaResult(Enum):
    """Result of a request or of a migration's step."""

    DONE = "done"
    MOVED = "moved"  # the successor serves
    NOT_YET = "not yet"  # filling or unconfirmed: try again soon
    REFUSED = "no"  # the step may not be taken here now


_ROLES_THAT_MAY_SERVE_SOON = (ReplicaRole.FILLING, ReplicaRole.UNCONFIRMED, ReplicaRole.CANCELLED)


@dataclass(slots=True)
class LoggedWrite:
    """A write in an extent's log; a repeat is known by its idempotency key, "" for none."""

    position: int
    name: str
    value: str
    idempotency_key: str = ""


@dataclass(slots=True)
class Replica:
    """A node's replica of an extent.

    Attributes
    ----------
    role, generation
        What the node is for the extent, at which generation.
    successor
        Shard to which a fenced replica redirects.
    log
        Its writes in order.
    position
        Position of the last write that it has.
    fence_position
        Position at which it was fenced: the target must reach it to be activated.
    """

    role: ReplicaRole = ReplicaRole.ABSENT
    generation: int = NO_GENERATION
    successor: int = NO_SUCCESSOR
    log: list[LoggedWrite] = field(default_factory=list)
    position: int = 0
    fence_position: int = NO_FENCE

    # ------------------------------------------------------------ requests

    def read(self, name: str) -> tuple[ReplicaResult, str]:
        """Return the last value written under a name, "" for none."""
        if self.role is not ReplicaRole.OWNER:
            return self._redirect(), ""
        values = [write.value for write in self.log if write.name == name]
        return ReplicaResult.DONE, values[-1] if values else ""

    def write(self, name: str, value: str, idempotency_key: str = "") -> ReplicaResult:
        """Write once: a repeat of a key is already done, whichever node took the first."""
        if self.role is not ReplicaRole.OWNER:
            return self._redirect()
        is_repeat = idempotency_key and any(write.idempotency_key == idempotency_key for write in self.log)
        if not is_repeat:
            self.position += 1
            self.log.append(LoggedWrite(self.position, name, value, idempotency_key))
        return ReplicaResult.DONE

    def _redirect(self) -> ReplicaResult:
        if self.role is ReplicaRole.FENCED:
            return ReplicaResult.MOVED
        if self.role in _ROLES_THAT_MAY_SERVE_SOON:
            return ReplicaResult.NOT_YET
        return ReplicaResult.REFUSED

    # ------------------------------------------------------------ steps of a migration

    def create(self, generation: int) -> ReplicaResult:
        """Begin a new extent here."""
        if self.role is not ReplicaRole.ABSENT:
            return ReplicaResult.REFUSED
        self.role = ReplicaRole.OWNER
        self.generation = generation
        return ReplicaResult.DONE

    def begin_filling(self, generation: int) -> ReplicaResult:
        """Begin to receive the extent; the same generation again resumes the same migration."""
        if self._is_filling(generation):
            return ReplicaResult.DONE
        if self.role in (ReplicaRole.OWNER, ReplicaRole.UNCONFIRMED) or self.generation >= generation:
            return ReplicaResult.REFUSED
        self.role = ReplicaRole.FILLING
        self.generation = generation
        self.successor = NO_SUCCESSOR
        self.log = []
        self.position = 0
        self.fence_position = NO_FENCE
        return ReplicaResult.DONE

    def writes_after(self, position: int) -> list[LoggedWrite]:
        """Return an owner's or fenced replica's writes after a position."""
        if self.role not in (ReplicaRole.OWNER, ReplicaRole.FENCED):
            return []
        return [write for write in self.log if write.position > position]

    def append(self, generation: int, writes: Iterable[LoggedWrite]) -> ReplicaResult:
        """Append the source's writes, in order; known ones are skipped, and a gap is refused."""
        if not self._is_filling(generation):
            return ReplicaResult.REFUSED
        for write in writes:
            if write.position == self.position + 1:
                self.log.append(write)
                self.position = write.position
            elif write.position > self.position:
                return ReplicaResult.REFUSED
        return ReplicaResult.DONE

    def fence(self, generation: int, successor: int) -> tuple[ReplicaResult, int]:
        """Stop serving for the migration to `successor` that reaches `generation`.

        Returns
        -------
        tuple[ReplicaResult, int]
            The result, and the position that the target must reach.
        """
        if self.role is ReplicaRole.FENCED and (self.generation, self.successor) == (generation, successor):
            return ReplicaResult.DONE, self.fence_position
        if self.role is not ReplicaRole.OWNER or generation != self.generation + 1:
            return ReplicaResult.REFUSED, NO_FENCE
        self.role = ReplicaRole.FENCED
        self.generation = generation
        self.successor = successor
        self.fence_position = self.position
        return ReplicaResult.DONE, self.fence_position

    def activate(self, generation: int, fence_position: int) -> ReplicaResult:
        """Serve, if all writes up to the source's fence have come."""
        if self.role is ReplicaRole.OWNER and self.generation == generation:
            return ReplicaResult.DONE
        if not self._is_filling(generation) or self.position < fence_position:
            return ReplicaResult.REFUSED
        self.role = ReplicaRole.OWNER
        return ReplicaResult.DONE

    def discard_data(self, generation: int) -> ReplicaResult:
        """Drop the data and keep the fence; only after the caller has seen the target serve."""
        if not self._is_fenced(generation):
            return ReplicaResult.REFUSED
        self.log = []
        return ReplicaResult.DONE

    def cancel(self, generation: int) -> ReplicaResult:
        """Never be activated at this generation; refused where it already was."""
        if self.role is ReplicaRole.OWNER or self.generation > generation:
            return ReplicaResult.REFUSED
        self.role = ReplicaRole.CANCELLED
        self.generation = generation
        self.log = []
        self.position = 0
        return ReplicaResult.DONE

    def reactivate(self, generation: int) -> ReplicaResult:
        """Undo a fence whose target was cancelled at that generation: serve again, one generation above it."""
        if not self._is_fenced(generation) or self.fence_position > self.position or not self.has_all_writes():
            return ReplicaResult.REFUSED
        self.role = ReplicaRole.OWNER
        self.generation = generation + 1
        self.successor = NO_SUCCESSOR
        self.fence_position = NO_FENCE
        return ReplicaResult.DONE

    def has_all_writes(self) -> bool:
        """Does it still have all that it accepted, so that it could serve again?"""
        return len(self.log) == self.position

    def _is_filling(self, generation: int) -> bool:
        return self.role is ReplicaRole.FILLING and self.generation == generation

    def _is_fenced(self, generation: int) -> bool:
        return self.role is ReplicaRole.FENCED and self.generation == generation

    # ------------------------------------------------------------ memory lost

    def lose_memory(self) -> None:
        """Note that its node came back with data of an older time, or without its fences."""
        if self.role is not ReplicaRole.ABSENT:
            self.role = ReplicaRole.UNCONFIRMED

    def confirm(self, generation: int, is_owner: bool) -> ReplicaResult:
        """Take the map service's word on the extent's generation, and on whether it lies here.

        Data older than the map's generation are fenced and kept for a scrub. A node that lost writes must be filled
        anew, which `is_owner` can't replace.
        """
        if self.role is not ReplicaRole.UNCONFIRMED:
            return ReplicaResult.REFUSED
        if is_owner and generation == self.generation:
            self.role = ReplicaRole.OWNER
        else:
            self.role = ReplicaRole.FENCED
            self.generation = max(generation, self.generation)
        return ReplicaResult.DONE
