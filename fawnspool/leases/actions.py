"""What acceptors and lease holders have their gateway carry out, and who they are.

Actions are in order: a `PersistVotes` must be on disk before the messages behind it are sent. Where it can't be
written, nothing behind it is sent; the promise stands all the same, which is only more careful.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from fawnspool.leases.ballot import Ballot
from fawnspool.leases.messages import LeaseMessage


@dataclass(frozen=True, slots=True)
class LeaseMember:
    """One life of one gateway.

    Parameters
    ----------
    gateway_id
        The gateway's number in the fleet.
    incarnation
        Drawn anew at each start of the gateway.
    seed
        Of its random draws.
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
    """Write votes to disk before what follows is sent; floor: where the acceptor has recovered its memory now."""

    records: tuple[VoteRecord, ...] = ()
    floor: int | None = None


LeaseAction = SendLeaseMessage | PersistVotes


@dataclass(frozen=True)
class AcceptorMemory:
    """What an acceptor's disk held: the vote of each role, and the floor that it once recovered."""

    votes: Mapping[int, Ballot]
    floor: int = 0
