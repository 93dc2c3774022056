"""A replica whose extent is one object, and the commands that a migrator sends to its node. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fawnspool.extents.records import NO_GENERATION
from fawnspool.extents.replicas import (
    MAX_WRITES_BEHIND_FENCE,
    NO_FENCE,
    NO_SUCCESSOR,
    Replica,
    ReplicaResult,
    ReplicaRole,
)

_NAME_LENGTH_SHOWN = 40  # characters of an unknown name that an error repeats


class UnknownReplicaCommandError(ValueError):
    """There is no command of that name."""

    def __init__(self, name: str) -> None:
        super().__init__(f"no step of a move: {name[:_NAME_LENGTH_SHOWN]!r}")


class ReplicaCommand(Enum):
    """Commands of a migrator to a node, by their names in the nodes' protocol."""

    CLAIM = "own"
    BEGIN_FILLING = "fill"
    STORE_OBJECT = "whole"
    FENCE = "close"
    ACTIVATE = "open"
    DISCARD_DATA = "forget"
    CANCEL = "cancel"
    REACTIVATE = "reopen"
    CONFIRM = "confirm"

    @classmethod
    def parse(cls, name: str) -> ReplicaCommand:
        """Return the command of a name.

        Raises
        ------
        UnknownReplicaCommandError
            If there is none.
        """
        try:
            return cls(name)
        except ValueError:
            raise UnknownReplicaCommandError(name) from None


@dataclass(frozen=True, slots=True)
class CommandArguments:
    """Arguments of a command; each command uses some of them.

    Attributes
    ----------
    generation
        Generation of the migration, or that the map has.
    successor
        For FENCE: shard of the target.
    fence_position
        For ACTIVATE: position at which the source was fenced.
    position
        For STORE_OBJECT: the source's position that the object was read at.
    is_owner
        For CONFIRM: whether the map says that the extent lies here.
    """

    generation: int
    successor: int = NO_SUCCESSOR
    fence_position: int = NO_FENCE
    position: int = 0
    is_owner: bool = False


@dataclass(slots=True)
class ObjectReplica(Replica):
    """A replica of one object: `position` counts writes, and only the object's last state is kept.

    Attributes
    ----------
    has_data
        Whether the object's last state, which may be that it does not exist, is still there.
    """

    has_data: bool = True

    # Replica is named in place of super(): a class with slots is made anew, and super() in it would not find it.

    def has_all_writes(self) -> bool:
        """Does it still have the object's last state?"""
        return self.has_data

    def create(self, generation: int) -> ReplicaResult:
        """Begin a new extent, at a position so high that a copy comes before a fence, however few writes there were."""
        result = Replica.create(self, generation)
        if result is ReplicaResult.DONE:
            self.position = MAX_WRITES_BEHIND_FENCE + 1
        return result

    def begin_filling(self, generation: int) -> ReplicaResult:
        """Begin to receive the object; the same generation again resumes the same migration."""
        result = Replica.begin_filling(self, generation)
        if result is ReplicaResult.DONE and self.position == 0:
            self.has_data = True
        return result

    def store_object(self, generation: int, position: int) -> ReplicaResult:
        """Note that the object was stored as it was at a position of the source; an older one changes nothing."""
        if not self._is_filling(generation):
            return ReplicaResult.REFUSED
        self.position = max(self.position, position)
        return ReplicaResult.DONE

    def discard_data(self, generation: int) -> ReplicaResult:
        """Drop the object and keep the fence."""
        result = Replica.discard_data(self, generation)
        if result is ReplicaResult.DONE:
            self.has_data = False
        return result

    def claim(self, generation: int) -> ReplicaResult:
        """Take a generation for an object that is held here and never took part in a migration."""
        if self.role is not ReplicaRole.OWNER:
            return ReplicaResult.REFUSED
        if self.generation > NO_GENERATION:
            return ReplicaResult.DONE if self.generation == generation else ReplicaResult.REFUSED
        self.role = ReplicaRole.ABSENT
        return self.create(generation)

    def confirm(self, generation: int, is_owner: bool) -> ReplicaResult:
        """Take the map service's word; data that were never fenced have its generation, if they are the owner's."""
        if self.generation <= NO_GENERATION and is_owner and self.has_data:
            self.generation = generation
        result = Replica.confirm(self, generation, is_owner)
        if result is ReplicaResult.DONE and self.role is ReplicaRole.OWNER:
            self.position = max(self.position, MAX_WRITES_BEHIND_FENCE + 1)
        return result

    def execute(self, command: ReplicaCommand, arguments: CommandArguments) -> bool:
        """Carry out a command; False if it may not be now."""
        return self._execute(command, arguments) is ReplicaResult.DONE

    def _execute(self, command: ReplicaCommand, arguments: CommandArguments) -> ReplicaResult:
        generation = arguments.generation
        match command:
            case ReplicaCommand.FENCE:
                result, _ = self.fence(generation, arguments.successor)
            case ReplicaCommand.STORE_OBJECT:
                result = self.store_object(generation, arguments.position)
            case ReplicaCommand.ACTIVATE:
                result = self.activate(generation, arguments.fence_position)
            case ReplicaCommand.CONFIRM:
                result = self.confirm(generation, arguments.is_owner)
            case _:
                result = self._execute_for_generation(command, generation)
        return result

    def _execute_for_generation(self, command: ReplicaCommand, generation: int) -> ReplicaResult:
        steps = {
            ReplicaCommand.CLAIM: self.claim,
            ReplicaCommand.BEGIN_FILLING: self.begin_filling,
            ReplicaCommand.DISCARD_DATA: self.discard_data,
            ReplicaCommand.CANCEL: self.cancel,
            ReplicaCommand.REACTIVATE: self.reactivate,
        }
        return steps[command](generation)
