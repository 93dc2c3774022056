"""An acceptor: its promises for all roles, its memory on disk, and whom it nominates.

A granted vote must be on disk before it is announced. Until whoever writes it confirms that (`confirm_persisted`),
each further grant to the same ballot asks for it to be written again: otherwise a vote would be announced that a
restart forgets.
"""

from __future__ import annotations

from random import Random

from fawnspool.leases import ballot as ballots
from fawnspool.leases.actions import (
    AcceptorMemory,
    LeaseAction,
    LeaseMember,
    PersistVotes,
    SendLeaseMessage,
    VoteRecord,
)
from fawnspool.leases.ballot import Ballot, BallotVerdict, Promise
from fawnspool.leases.messages import BallotEntry, LeaseMessage, LeaseMessageType, split_into_batches
from fawnspool.leases.nominator import Nominator
from fawnspool.leases.recovery import MemoryRecovery
from fawnspool.leases.settings import LeaseSettings

SERIAL_BITS = 31


class Acceptor:
    """One gateway's acceptor.

    Parameters
    ----------
    member
        This life of this gateway.
    now
        Time in seconds; only differences count.
    memory
        What the disk held; None if there is nothing or nothing that can be read.
    """

    def __init__(self, settings: LeaseSettings, member: LeaseMember, now: float, memory: AcceptorMemory | None) -> None:
        self.settings = settings
        self.gateway_id = member.gateway_id
        self.incarnation = member.incarnation
        self.random = Random(f"{member.seed}-{member.incarnation}-voter")
        self.floor = 0
        self.promises: dict[int, Promise] = {}
        self.recovery: MemoryRecovery | None = None
        if memory is None:
            serial = self.random.getrandbits(SERIAL_BITS)
            self.recovery = MemoryRecovery(settings, serial, now + settings.lease_s)
        else:
            self.floor = memory.floor
            for role, (token, incarnation) in memory.votes.items():
                self.promises[role] = ballots.restore(Promise(token, incarnation), now, settings.lease_s)
        self.nominator = Nominator(settings, self.gateway_id, self.random, self.promises, now)
        self.foreign_messages = 0  # from gateways whose settings differ
        self.disk_failed = False  # set by whoever persists votes
        # Before a recovered floor is on disk no vote may be there, or the file would look complete.
        self._unpersisted_votes: dict[int, Ballot] = {}
        self._unpersisted_floor = False

    @property
    def is_voting(self) -> bool:
        """Whether it gives votes: it has its memory."""
        return self.recovery is None

    # ------------------------------------------------------------ messages

    def receive(self, now: float, sender: int, message: LeaseMessage) -> list[LeaseAction]:
        """Handle a message from a gateway."""
        if message.fingerprint != self.settings.fingerprint:
            self.foreign_messages += 1
            return []
        match message.type:
            case LeaseMessageType.VOTE_REQUEST:
                self.nominator.directory.record_message(now, sender, message)
                return self._answer_request(now, sender, message)
            case LeaseMessageType.HEARTBEAT:
                self.nominator.directory.record_message(now, sender, message)
            case LeaseMessageType.RELEASE:
                # A gateway that gives up its last role for good says here that it takes no more.
                self.nominator.directory.record_message(now, sender, message)
                self._release(now, message)
            case LeaseMessageType.RECOVERY_REQUEST if sender in self.settings.acceptors:
                return [self._answer_recovery(sender, message)]
            case LeaseMessageType.RECOVERY_RESPONSE if sender in self.settings.acceptors:
                return self._recover(sender, message)
        return []

    def _answer(
        self,
        recipient: int,
        kind: LeaseMessageType,
        request: LeaseMessage,
        entries: tuple[BallotEntry, ...],
        count: int,
    ) -> SendLeaseMessage:
        """Return a response, which bears the numbers of the request."""
        response = LeaseMessage(
            kind, self.settings.fingerprint, request.incarnation, request.serial, count, entries=entries
        )
        return SendLeaseMessage(recipient, response)

    def _send(
        self, recipient: int, kind: LeaseMessageType, entries: tuple[BallotEntry, ...] = (), serial: int = 0
    ) -> SendLeaseMessage:
        message = LeaseMessage(kind, self.settings.fingerprint, self.incarnation, serial, entries=entries)
        return SendLeaseMessage(recipient, message)

    def _answer_request(self, now: float, sender: int, message: LeaseMessage) -> list[LeaseAction]:
        answers: list[BallotEntry] = []
        records: list[VoteRecord] = []
        for entry in message.entries:
            if entry.role >= len(self.settings.role_names) or entry.token < 1:
                continue
            self.nominator.record_request(sender, entry, message.incarnation)
            if self.recovery is not None:
                wait_s = max(0.0, self.recovery.silent_until - now)
                answers.append(BallotEntry(entry.role, 0, BallotVerdict.RECOVERING, wait_s))
                continue
            answers.append(self._vote(now, entry, message.incarnation, records))
        if not answers:
            return []
        available = self.nominator.directory.available_count(now)
        answer = self._answer(sender, LeaseMessageType.VOTE_RESPONSE, message, tuple(answers), available)
        if not records and not self._unpersisted_floor:
            return [answer]
        floor = self.floor if self._unpersisted_floor else None
        return [PersistVotes(tuple(records), floor), answer]

    def _vote(self, now: float, entry: BallotEntry, incarnation: int, records: list[VoteRecord]) -> BallotEntry:
        """Return the answer for one role; a vote that must be written first is added to `records`."""
        role = entry.role
        requested = Ballot(entry.token, incarnation)
        before = self.promises.get(role, Promise())
        promise, verdict = ballots.vote(before, requested, now, self.floor, self.settings.lease_s)
        self.promises[role] = promise
        if verdict is BallotVerdict.GRANTED:
            self.nominator.record_grant(role)
            if promise.ballot != before.ballot:
                self._unpersisted_votes[role] = promise.ballot
            if role in self._unpersisted_votes:
                records.append(VoteRecord(role, promise.token, promise.incarnation))
        elif entry.is_held and entry.token < promise.token:
            self.nominator.record_held_elsewhere(now, role, incarnation)
        wait_s = 0.0 if promise.released else max(0.0, promise.expires_at - now)
        return BallotEntry(role, max(promise.token, self.floor), verdict, wait_s)

    def confirm_persisted(self, persisted: PersistVotes) -> None:
        """Take note that votes are on disk."""
        if persisted.floor is not None and persisted.floor >= self.floor:
            self._unpersisted_floor = False
        for role, token, incarnation in persisted.records:
            if self._unpersisted_votes.get(role) == Ballot(token, incarnation):
                del self._unpersisted_votes[role]

    def _release(self, now: float, message: LeaseMessage) -> None:
        for entry in message.entries:
            released = Ballot(entry.token, message.incarnation)
            self.nominator.record_released_elsewhere(now, entry.role, message.incarnation)
            before = self.promises.get(entry.role)
            if before is None:
                continue
            after = ballots.release(before, released)
            if after is not before:
                self.promises[entry.role] = after
                self.nominator.record_release(now, entry, released)

    # ------------------------------------------------------------ memory lost

    def _answer_recovery(self, sender: int, message: LeaseMessage) -> SendLeaseMessage:
        highest = max([self.floor, *(promise.token for promise in self.promises.values())])
        entries = (BallotEntry(0, highest),)
        return self._answer(sender, LeaseMessageType.RECOVERY_RESPONSE, message, entries, int(self.is_voting))

    def _recover(self, sender: int, message: LeaseMessage) -> list[LeaseAction]:
        if self.recovery is None or message.incarnation != self.incarnation:
            return []
        floor = self.recovery.receive(sender, message)
        if floor is None:
            return []
        self.floor = floor
        self.recovery = None
        self._unpersisted_floor = True
        return [PersistVotes((), floor)]

    # ------------------------------------------------------------ time

    def next_deadline(self) -> float:
        """Return when `tick` must be called."""
        if self.recovery is not None:
            return self.recovery.next_request_at()
        return self.nominator.next_check_at()

    def tick(self, now: float) -> list[LeaseAction]:
        """Do what is due: ask the other acceptors, or nominate gateways to vacant roles."""
        if self.recovery is not None:
            return self._request_recovery(now, self.recovery)
        return [
            self._send(gateway_id, LeaseMessageType.NOMINATION, batch)
            for gateway_id, entries in self.nominator.nominate(now, self.floor).items()
            for batch in split_into_batches(entries)
        ]

    def _request_recovery(self, now: float, recovery: MemoryRecovery) -> list[LeaseAction]:
        if not recovery.start_request(now):
            return []
        return [
            self._send(acceptor, LeaseMessageType.RECOVERY_REQUEST, serial=recovery.serial)
            for acceptor in self.settings.acceptors
            if acceptor != self.gateway_id
        ]

    # ------------------------------------------------------------ status

    def vacant_for_s(self, now: float) -> dict[int, float]:
        """Return the roles without a holder as this acceptor sees it, and the seconds since."""
        return {role: now - since for role, since in self.nominator.vacant_since.items()}
