"""An acceptor: its promises for all roles, its memory on disk, and its nominations.

A granted vote must be on disk before it is announced. Until the runner confirms that the vote was written
(`confirm_persisted`), each further grant to the same ballot requests the write again: otherwise the acceptor could
announce a vote that it does not remember after a restart.
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
        This incarnation of this gateway.
    now
        Time in seconds; only differences count.
    memory
        What was read from the disk; None if nothing is stored or the file is unreadable.
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
        self.disk_failed = False  # set by the runner, which persists votes
        # The recovered floor must be on disk before the next vote or together with it: a memory that has votes but
        # lacks the floor could be taken for complete after a restart.
        self._unpersisted_votes: dict[int, Ballot] = {}
        self._unpersisted_floor = False

    @property
    def is_voting(self) -> bool:
        """Whether the acceptor gives votes, which requires its memory."""
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
                return self._respond_to_request(now, sender, message)
            case LeaseMessageType.HEARTBEAT:
                self.nominator.directory.record_message(now, sender, message)
            case LeaseMessageType.RELEASE:
                # The releases of a leaving gateway also report that it accepts no more roles.
                self.nominator.directory.record_message(now, sender, message)
                self._release(now, message)
            case LeaseMessageType.RECOVERY_REQUEST if sender in self.settings.acceptors:
                return [self._respond_to_recovery(sender, message)]
            case LeaseMessageType.RECOVERY_RESPONSE if sender in self.settings.acceptors:
                return self._handle_recovery_response(sender, message)
        return []

    def _response(
        self,
        recipient: int,
        message_type: LeaseMessageType,
        request: LeaseMessage,
        entries: tuple[BallotEntry, ...],
        count: int,
    ) -> SendLeaseMessage:
        """Return a response with the incarnation and the serial of the request."""
        response = LeaseMessage(
            message_type, self.settings.fingerprint, request.incarnation, request.serial, count, entries=entries
        )
        return SendLeaseMessage(recipient, response)

    def _send(
        self, recipient: int, message_type: LeaseMessageType, entries: tuple[BallotEntry, ...] = (), serial: int = 0
    ) -> SendLeaseMessage:
        message = LeaseMessage(message_type, self.settings.fingerprint, self.incarnation, serial, entries=entries)
        return SendLeaseMessage(recipient, message)

    def _respond_to_request(self, now: float, sender: int, message: LeaseMessage) -> list[LeaseAction]:
        response_entries: list[BallotEntry] = []
        records: list[VoteRecord] = []
        for entry in message.entries:
            if entry.role >= len(self.settings.role_names) or entry.token < 1:
                continue
            self.nominator.record_request(sender, entry, message.incarnation)
            if self.recovery is not None:
                wait_s = max(0.0, self.recovery.silent_until - now)
                response_entries.append(BallotEntry(entry.role, 0, BallotVerdict.RECOVERING, wait_s))
                continue
            response_entries.append(self._vote(now, entry, message.incarnation, records))
        if not response_entries:
            return []
        available_count = self.nominator.directory.available_count(now)
        response = self._response(
            sender, LeaseMessageType.VOTE_RESPONSE, message, tuple(response_entries), available_count
        )
        if not records and not self._unpersisted_floor:
            return [response]
        floor = self.floor if self._unpersisted_floor else None
        return [PersistVotes(tuple(records), floor), response]

    def _vote(self, now: float, entry: BallotEntry, incarnation: int, records: list[VoteRecord]) -> BallotEntry:
        """Answer the request for one role; add its vote to `records` if it must be on disk before the answer."""
        role = entry.role
        requested_ballot = Ballot(entry.token, incarnation)
        previous = self.promises.get(role, Promise())
        promise, verdict = ballots.vote(previous, requested_ballot, now, self.floor, self.settings.lease_s)
        self.promises[role] = promise
        if verdict is BallotVerdict.GRANTED:
            self.nominator.record_grant(role)
            if promise.ballot != previous.ballot:
                self._unpersisted_votes[role] = promise.ballot
            if role in self._unpersisted_votes:
                records.append(VoteRecord(role, promise.token, promise.incarnation))
        elif entry.is_held and entry.token < promise.token:
            self.nominator.record_held_elsewhere(now, role, incarnation)
        wait_s = 0.0 if promise.released else max(0.0, promise.expires_at - now)
        return BallotEntry(role, max(promise.token, self.floor), verdict, wait_s)

    def confirm_persisted(self, persisted: PersistVotes) -> None:
        """Record that votes are on disk."""
        if persisted.floor is not None and persisted.floor >= self.floor:
            self._unpersisted_floor = False
        for role, token, incarnation in persisted.records:
            if self._unpersisted_votes.get(role) == Ballot(token, incarnation):
                del self._unpersisted_votes[role]

    def _release(self, now: float, message: LeaseMessage) -> None:
        for entry in message.entries:
            released_ballot = Ballot(entry.token, message.incarnation)
            self.nominator.record_released_elsewhere(now, entry.role, message.incarnation)
            previous = self.promises.get(entry.role)
            if previous is None:
                continue
            updated = ballots.release(previous, released_ballot)
            if updated is not previous:
                self.promises[entry.role] = updated
                self.nominator.record_release(now, entry, released_ballot)

    # ------------------------------------------------------------ lost memory

    def _respond_to_recovery(self, sender: int, message: LeaseMessage) -> SendLeaseMessage:
        highest_token = max([self.floor, *(promise.token for promise in self.promises.values())])
        entries = (BallotEntry(0, highest_token),)
        return self._response(sender, LeaseMessageType.RECOVERY_RESPONSE, message, entries, int(self.is_voting))

    def _handle_recovery_response(self, sender: int, message: LeaseMessage) -> list[LeaseAction]:
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
        """Return the time at which `tick` must be called."""
        if self.recovery is not None:
            return self.recovery.next_request_at()
        return self.nominator.next_check_at()

    def tick(self, now: float) -> list[LeaseAction]:
        """Ask the other acceptors for recovery if the memory is lost; otherwise nominate gateways for vacant roles."""
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
        """Return, by role, the seconds for which this acceptor has seen no holder."""
        return {role: now - since for role, since in self.nominator.vacant_since.items()}
