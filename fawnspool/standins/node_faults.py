"""Faults of a stand-in node: POST /-/faults sets them."""

from __future__ import annotations

from dataclasses import dataclass, fields
from enum import Enum
from random import Random
from typing import Any


class UnknownFaultError(ValueError):
    """There is no fault of that name."""

    def __init__(self, unknown: set[str], known: set[str]) -> None:
        super().__init__(f"unknown fault {sorted(unknown)}; known: {sorted(known)}")


class ResponseFault(Enum):
    """What goes wrong with one response, by its name in recordings."""

    LOSE = "lose"
    RESET = "reset"
    GARBLE = "garble"
    CUT = "cut"
    WRONG_LENGTH = "length"


@dataclass
class NodeFaults:
    """What goes wrong at a node at present; field names are those of /-/faults, shares are of its responses.

    Attributes
    ----------
    slow
        Factor on the time of its work.
    taken
        Share of the machine that another program takes.
    pause_ms, pause_every_s
        It stands still for so long, about so often; 0 ms: never.
    lose
        The work is done, the response never comes.
    reset
        The work is done, the connection is reset.
    cut
        Half the response, then the connection closes.
    garble
        A response that is no HTTP.
    wrong_length
        A Content-Length that does not fit.
    wrong_byte
        One byte of the body is not what was stored.
    hang_up
        The connection closes on a request, unread and unanswered.
    error
        500 after the work.
    refuse
        It takes no connection; those it has are reset.
    drain
        It rejects all requests as overloaded.
    """

    slow: float = 1.0
    taken: float = 0.0
    pause_ms: float = 0.0
    pause_every_s: float = 1.0
    lose: float = 0.0
    reset: float = 0.0
    cut: float = 0.0
    garble: float = 0.0
    wrong_length: float = 0.0
    wrong_byte: float = 0.0
    hang_up: float = 0.0
    error: float = 0.0
    refuse: bool = False
    drain: bool = False

    def update(self, values: dict[str, Any]) -> None:
        """Set the faults named.

        Raises
        ------
        UnknownFaultError
            Nothing is set.
        """
        known = {field.name for field in fields(self)}
        if unknown := set(values) - known:
            raise UnknownFaultError(unknown, known)
        for name, value in values.items():
            setattr(self, name, value)

    def draw_response_fault(self, random: Random) -> ResponseFault | None:
        """Choose what goes wrong with a response; the first fault that is drawn counts."""
        shares = {
            ResponseFault.LOSE: self.lose,
            ResponseFault.RESET: self.reset,
            ResponseFault.GARBLE: self.garble,
            ResponseFault.CUT: self.cut,
            ResponseFault.WRONG_LENGTH: self.wrong_length,
        }
        for fault, share in shares.items():
            if occurs(share, random):
                return fault
        return None


def occurs(share: float, random: Random) -> bool:
    """Draw whether a fault with that share happens now; one that never does costs no draw."""
    return share > 0 and random.random() < share
