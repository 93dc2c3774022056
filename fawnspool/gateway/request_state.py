"""A request's life in the head: a small state machine whose invariant is one final answer.

    OPEN --begin--> BEGUN --settle--> SETTLED
      \\------------settle------------/

Whoever settles first gives the answer; later ones are told that they came late and change nothing.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from fawnspool.gateway.attempt_results import AttemptEnding
from fawnspool.net.wakeup_event import WakeupEvent
from fawnspool.scheduling.interface import Request


class State(Enum):
    OPEN = "open"
    BEGUN = "begun"  # the first bytes of an answer went to the client
    SETTLED = "settled"


class Kind(Enum):
    """What the client's one final answer is."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the client went away: nothing is owed


@dataclass(slots=True)
class Answer:
    """A node's answer, whole (`body`) or passed on already (`streamed`)."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes = b""
    streamed: int = -1  # bytes passed on; -1: not streamed


class Body:
    """A request's body for as many attempts as it lasts: held whole, or a start and a rest that comes once."""

    __slots__ = ("error", "length", "rest", "spent", "start")

    def __init__(self, start: bytes, length: int | None, rest: Iterator[bytes] | None = None) -> None:
        self.start, self.length, self.rest, self.spent = start, length, rest, False
        self.error: BaseException | None = None  # what came of reading the rest


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    number: int
    node: int
    began: float
    deadline: float
    written_by: float = math.inf  # it must be wholly written by then, or not at all
    link: Any = None
    called_off: bool = False
    sent: bool = False  # some of it was handed to the kernel
    ending: AttemptEnding | None = None

    @property
    def write_until(self) -> float:
        return min(self.deadline, self.written_by)


@dataclass(slots=True, eq=False)
class Pending:
    """A request that the head has taken. deadline: when its answer leaves at the latest (monotonic)."""

    req: Request
    method: bytes
    target: bytes
    forward: list[tuple[bytes, bytes]]
    body: Body
    exchange: Any
    op: str
    idem: str
    came: float
    deadline: float
    cls: str
    plan: str
    state: State = State.OPEN
    kind: Kind | None = None
    answer: Answer | None = None
    retry_after: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    open_attempts: int = 0
    cell: int = -1  # of the node that served it
    done: WakeupEvent = field(default_factory=WakeupEvent)
    span: Any = None
    said: list[tuple[bytes, bytes]] = field(default_factory=list)  # headers that its answer carries in any case

    def begin(self) -> bool:
        """An attempt is about to pass its answer on; False: too late, another answer stands."""
        if self.state is not State.OPEN:
            return False
        self.state = State.BEGUN
        return True

    def settle(self, kind: Kind, answer: Answer | None = None) -> bool:
        """The final answer; False: there is one already. A begun answer is settled by its own end or its client's."""
        if self.state is State.SETTLED:
            return False
        self.state, self.kind, self.answer = State.SETTLED, kind, answer
        self.done.set()
        return True
