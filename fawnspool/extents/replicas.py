"""One node's copy of an extent: who may read and write it while it moves. No I/O, no clock.

    fill     a node begins to take the extent in, for a generation that nobody has reached there
    copy     objects and then the changes behind them come over, by position in the source's log of writes
    fence    the source stops for good: only from the generation it is at, so of two movers one wins
    open     the new node has everything up to the fence's position and serves
    forget   the source's data go, its fence stays: it must answer `moved` to whoever still comes
    cancel   a node that fills and has not opened never will, at that generation
    reopen   a source whose new node was cancelled serves again, at a generation above the cancelled one

A write lands on the side that serves it, or is refused: the source takes it before the fence, and then it is before the
fence's position, which the new node must have to open; after it the source answers `moved`. So no acknowledged write is
left behind, and none lands twice. A node that lost its memory of fences does not know whether it serves: it is unsure
until the map service has told it the extent's generation.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

CLOSE = 8  # writes that may be missing when the source is fenced: what comes over while nobody is served


class Role(Enum):
    ABSENT = "absent"
    FILLING = "filling"
    OWNER = "owner"
    FENCED = "fenced"  # answers `moved`
    CANCELLED = "cancelled"  # will never open at its generation
    UNSURE = "unsure"  # came back without its memory


class Answer(Enum):
    DONE = "done"
    MOVED = "moved"  # ask at `to`
    NOT_YET = "not yet"  # it fills, or is unsure: try again soon
    NO = "no"  # a step of a move that may not be taken here now


@dataclass(slots=True)
class Write:
    """A change in an extent's log. key: its idempotency key, by which a repeat is known; "" for none."""

    position: int
    name: str
    value: str
    key: str = ""


@dataclass(slots=True)
class Copy:
    """A node's side. log: its writes in order; position: of the last one it has; fence: the position at which it was
    fenced, or up to which a filling copy must have come to open."""

    role: Role = Role.ABSENT
    generation: int = -1
    to: int = -1
    log: list[Write] = field(default_factory=list)
    position: int = 0
    fence: int = -1

    # ------------------------------------------------------------ requests

    def read(self, name: str) -> tuple[Answer, str]:
        if self.role is Role.OWNER:
            found = [w.value for w in self.log if w.name == name]
            return Answer.DONE, found[-1] if found else ""
        return self._other(), ""

    def write(self, name: str, value: str, key: str = "") -> Answer:
        """Taken once: a repeat by its key is done already, wherever its first was taken."""
        if self.role is not Role.OWNER:
            return self._other()
        if not key or not any(w.key == key for w in self.log):
            self.position += 1
            self.log.append(Write(self.position, name, value, key))
        return Answer.DONE

    def _other(self) -> Answer:
        return (
            Answer.MOVED
            if self.role is Role.FENCED
            else Answer.NOT_YET
            if self.role in (Role.FILLING, Role.UNSURE, Role.CANCELLED)
            else Answer.NO
        )

    # ------------------------------------------------------------ steps of a move

    def own(self, generation: int) -> Answer:
        """A new extent begins here."""
        if self.role is not Role.ABSENT:
            return Answer.NO
        self.role, self.generation = Role.OWNER, generation
        return Answer.DONE

    def fill(self, generation: int) -> Answer:
        """Begin to take it in; the same again is the same move, resumed."""
        if self.role is Role.FILLING and self.generation == generation:
            return Answer.DONE
        if self.role in (Role.OWNER, Role.UNSURE) or self.generation >= generation:
            return Answer.NO
        self.role, self.generation, self.to = Role.FILLING, generation, -1
        self.log, self.position, self.fence = [], 0, -1
        return Answer.DONE

    def since(self, position: int) -> list[Write]:
        """What came after a position; of an owner or a fenced copy."""
        return [w for w in self.log if w.position > position] if self.role in (Role.OWNER, Role.FENCED) else []

    def take(self, generation: int, writes: Iterable[Write]) -> Answer:
        """Writes of the source, in order; those it has are passed over, a gap is not jumped."""
        if self.role is not Role.FILLING or self.generation != generation:
            return Answer.NO
        for w in writes:
            if w.position == self.position + 1:
                self.log.append(w)
                self.position = w.position
            elif w.position > self.position:
                return Answer.NO
        return Answer.DONE

    def close(self, generation: int, to: int) -> tuple[Answer, int]:
        """Fence for the move to `to`, which reaches `generation`. (answer, the position up to which all must come)."""
        if self.role is Role.FENCED and (self.generation, self.to) == (generation, to):
            return Answer.DONE, self.fence
        if self.role is not Role.OWNER or generation != self.generation + 1:
            return Answer.NO, -1
        self.role, self.generation, self.to, self.fence = Role.FENCED, generation, to, self.position
        return Answer.DONE, self.fence

    def open(self, generation: int, fence: int) -> Answer:
        """Serve, if all up to the fence has come."""
        if self.role is Role.OWNER and self.generation == generation:
            return Answer.DONE
        if self.role is not Role.FILLING or self.generation != generation or self.position < fence:
            return Answer.NO
        self.role = Role.OWNER
        return Answer.DONE

    def forget(self, generation: int) -> Answer:
        """The data go; the fence stays. Only once the new owner is known to serve: the caller has seen it open."""
        if self.role is not Role.FENCED or self.generation != generation:
            return Answer.NO
        self.log = []
        return Answer.DONE

    def cancel(self, generation: int) -> Answer:
        """Never open at this generation. Fails where it has opened."""
        if self.role is Role.OWNER or self.generation > generation:
            return Answer.NO
        self.role, self.generation, self.log, self.position = Role.CANCELLED, generation, [], 0
        return Answer.DONE

    def reopen(self, generation: int) -> Answer:
        """Undo a fence whose new node was cancelled at that generation: serve again, one above it."""
        if (
            self.role is not Role.FENCED
            or self.generation != generation
            or self.fence > self.position
            or not self.all_there()
        ):
            return Answer.NO
        self.role, self.generation, self.to, self.fence = Role.OWNER, generation + 1, -1, -1
        return Answer.DONE

    def all_there(self) -> bool:
        """Has it all that it took in, so that it could serve again?"""
        return len(self.log) == self.position

    # ------------------------------------------------------------ memory lost

    def lost(self) -> None:
        """Its node came back with the data of an older time, or without its fences."""
        if self.role is not Role.ABSENT:
            self.role = Role.UNSURE

    def confirm(self, generation: int, mine: bool) -> Answer:
        """The map service says the extent's generation and whether it lies here. What is older than the map's is
        fenced, its data kept for a scrub; a node that has lost writes must be filled anew, which `mine` can't cure."""
        if self.role is not Role.UNSURE:
            return Answer.NO
        if mine and generation == self.generation:
            self.role = Role.OWNER
        else:
            self.role, self.generation = Role.FENCED, max(generation, self.generation)
        return Answer.DONE


@dataclass(slots=True)
class Side(Copy):
    """A copy held as one object: `position` counts writes, and what is kept is the object itself."""

    kept: bool = True

    def all_there(self) -> bool:
        return self.kept

    def own(self, generation: int) -> Answer:
        """The first position is so far on that a copy comes before a fence, however few writes there were."""
        done = Copy.own(self, generation)
        if done is Answer.DONE:
            self.position = CLOSE + 1
        return done

    def fill(self, generation: int) -> Answer:
        done = Copy.fill(self, generation)
        if done is Answer.DONE and self.position == 0:
            self.kept = True
        return done

    def whole(self, generation: int, position: int) -> Answer:
        """The object as it was at a position of the source; an older one changes nothing."""
        if self.role is not Role.FILLING or self.generation != generation:
            return Answer.NO
        self.position = max(self.position, position)
        return Answer.DONE

    def forget(self, generation: int) -> Answer:
        done = Copy.forget(self, generation)
        if done is Answer.DONE:
            self.kept = False
        return done

    def step(self, step: str, generation: int, to: int, fence: int, position: int, mine: bool) -> bool:
        """One step of a move by its name; False: it may not be taken. Raises ValueError for what is no step."""
        if step == "own":
            if self.role is not Role.OWNER or self.generation >= 0:
                return self.role is Role.OWNER and self.generation == generation
            self.role = Role.ABSENT  # it holds it, and never took part in a move
            done = self.own(generation)
        elif step == "fill":
            done = self.fill(generation)
        elif step == "whole":
            done = self.whole(generation, position)
        elif step == "close":
            done = self.close(generation, to)[0]
        elif step == "open":
            done = self.open(generation, fence)
        elif step == "forget":
            done = self.forget(generation)
        elif step == "cancel":
            done = self.cancel(generation)
        elif step == "reopen":
            done = self.reopen(generation)
        elif step == "confirm":
            # Nothing of a move stands with the data: the node never fenced them.
            self.generation = generation if self.generation < 0 and mine and self.kept else self.generation
            done = self.confirm(generation, mine)
            if done is Answer.DONE and self.role is Role.OWNER:
                self.position = max(self.position, CLOSE + 1)
        else:
            raise ValueError(f"no step of a move: {step[:40]!r}")
        return done is Answer.DONE
