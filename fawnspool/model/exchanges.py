"""What is under way in the simulation: a client's try at a gateway, its request there, and attempts at nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from fawnspool.days.traffic import Operation
from fawnspool.model.simulated_node import SimulatedNode
from fawnspool.scheduling import interface


class TryResult(StrEnum):
    """How a client's try ended, by the words of the recording."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CLOSED = "closed"  # the gateway died
    UNREACHED = "unreached"  # the gateway took no connection
    NO_ANSWER = "none"
    LEFT = "left"  # the client went away


@dataclass(slots=True, eq=False)
class ClientTry:
    """One try of a client at a gateway.

    `on_end` gets the result and the advised pause in seconds, and is called once, by `SimulatedClients.answer`.
    """

    op: Operation
    number: int
    gateway: int
    patience_s: float
    key: str
    size: int
    on_end: Callable[[TryResult, float], None]
    on_answer: Callable[[ClientTry, TryResult, float, int], None]
    ended: bool = False

    def answer(self, result: TryResult, retry_after_s: float, status: int) -> None:
        """Give the client its answer. Answers after the first are dropped."""
        self.on_answer(self, result, retry_after_s, status)


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A client's request in a gateway's hands. `open_attempts`: whose outcome the scheduler has not heard."""

    request: interface.Request
    client_try: ClientTry
    deadline: float
    answered: bool = False
    attempts: list[NodeAttempt] = field(default_factory=list)
    open_attempts: int = 0


@dataclass(frozen=True, slots=True)
class NodeReport:
    """What an answer of a node says beside the object."""

    others_units: int = 0
    volume_use: float | None = None  # units a second, of the meter
    load: tuple[float, ...] | None = None


NO_REPORT = NodeReport()


class AttemptOwner(Protocol):
    """The gateway that has sent an attempt, as the node's side knows it."""

    @property
    def number(self) -> int:
        """The gateway's number."""

    def is_running(self, life: int) -> bool:
        """Whether the process of this life still runs."""

    def end_attempt(self, attempt: NodeAttempt, result: interface.Result, report: NodeReport = NO_REPORT) -> None:
        """Take an attempt's result. Results after the first are dropped."""


@dataclass(slots=True, eq=False)
class NodeAttempt:
    """One attempt of a request at a node. The lives are those of the processes at both ends when it was sent."""

    number: int
    pending: PendingRequest
    owner: AttemptOwner
    owner_life: int
    node: SimulatedNode
    node_life: int
    sent_at: float
    deadline: float
    work: int | None = None  # at the node, once it has arrived
    written: bool = False
    ended: bool = False
