"""Actions that acceptors and lease holders request from their gateway, and the identity of a gateway.

Actions are ordered: the votes of a `PersistVotes` must be on disk before the messages after it are sent. If they can't
be written, no message after it is sent. The promise stays in memory: the acceptor then rejects other gateways although
it announced no vote, which is safe.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from fawnspool.leases.ballot import Ballot
from fawnspool.leases.messages import LeaseMessage


@dataclass(frozen=True, slots=True)
class LeaseMember:
    """One incarnation of one gateway.

    Parameters
    ----------
    gateway_id
        The gateway's number in the fleet.
    incarnation
        Drawn anew at each start of the gateway.
    seed
        Seed of the gateway's random draws.
    """

    gateway_id: int
    incarnation: int
    seed: int


class VoteRecord(NamedTuple):
    """A vote as it is stored."""

    role: int
    token: int
    incarnation: int


@dataclass(frozen=True, slots=True)
class SendLeaseMessage:
    """Send a message to a gateway, by its number."""

    recipient: int
    message: LeaseMessage


@dataclass(frozen=True, slots=True)
class PersistVotes:
    """Write votes to disk before the messages that follow are sent.

    `floor` is set if the acceptor has just recovered its memory, or could not store its recovered floor so far.
    """

    records: tuple[VoteRecord, ...] = ()
    floor: int | None = None


LeaseAction = SendLeaseMessage | PersistVotes


@dataclass(frozen=True)
class AcceptorMemory:
    """The content of an acceptor's disk: the vote for each role, and the floor from its last recovery."""

    votes: Mapping[int, Ballot]
    floor: int = 0
