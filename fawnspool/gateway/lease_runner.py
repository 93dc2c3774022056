"""Runs the lease protocol: passes messages and time to acceptor and lease holder, and runs the work of held roles.

The runner makes no decisions. One greenlet owns acceptor and lease holder, and receives messages through a queue.
"""

from __future__ import annotations

import os
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol

import gevent
from gevent.event import Event

from fawnspool.config.head import DutiesBlock
from fawnspool.gateway.acceptor_log import AcceptorLog
from fawnspool.gateway.acceptor_runner import AcceptorRunner
from fawnspool.gateway.held_lease import HeldLease, LeaseExpiredError
from fawnspool.gateway.lease_record import LeaseChange, LeaseRecord
from fawnspool.gateway.peer_channel import FleetPlace, PeerChannel, PeerCodec
from fawnspool.gateway.peers import PeerSocket
from fawnspool.leases.acceptor import Acceptor
from fawnspool.leases.actions import LeaseAction, LeaseMember, SendLeaseMessage
from fawnspool.leases.candidate import NEVER
from fawnspool.leases.fencing import StaleTokenError
from fawnspool.leases.lease_holder import NOT_RENEWED, LeaseAcquired, LeaseHolder, LeaseLost
from fawnspool.leases.messages import (
    FOR_HOLDER,
    LEADING_BYTE,
    LeaseMessage,
    LeaseMessageError,
    decode,
    encode,
)
from fawnspool.leases.settings import LeaseSettings
from fawnspool.telemetry.logs import EventLogger

MAX_INBOX = 4096  # datagrams waiting to be handled; beyond that the oldest is dropped
STEP_RETRY_S = 0.05  # pause after a step that raised an exception
RELEASE_PAUSE_S = 0.02  # after each of the two release messages
WORK_KILL_TIMEOUT_S = 0.02
WORK_FINISHED = "its work is over"
RELEASED_BY_OPERATOR = "released by hand"
CODEC = PeerCodec("leases", LEADING_BYTE, encode, decode, LeaseMessageError)


def lease_settings(config: DutiesBlock, gateway_count: int) -> LeaseSettings:
    """Return the settings that all gateways share; numbers are not converted: the fingerprint depends on them."""
    kinds = tuple((block.name, block.shards) for block in config.duty)
    return LeaseSettings(gateway_count, tuple(config.voters), config.lease, config.drift, kinds, config.most)


def draw_incarnation() -> int:
    """Return a random incarnation number of 63 bits, never 0."""
    return int.from_bytes(os.urandom(8), "big") >> 1 or 1


class RoleWork(Protocol):
    """The work that this gateway can do."""

    by_kind: Mapping[str, Callable[[HeldLease], None]]
    """Functions that work while a role of the kind is held; they may raise LeaseExpiredError or StaleTokenError."""

    def poll_operator_requests(self, runner: LeaseRunner) -> None:
        """Poll operators' requests, concurrently with the work, for as long as the gateway runs."""


class LeaseRunner:
    """This gateway's leases.

    Parameters
    ----------
    config
        The `duties` block of the settings.
    folder
        Folder in which the acceptor stores its votes.
    """

    def __init__(
        self, config: DutiesBlock, place: FleetPlace, folder: Path, peers: PeerSocket, log: EventLogger
    ) -> None:
        self.config = config
        self.log = log
        self.settings = lease_settings(config, place.gateway_count)
        self.member = LeaseMember(place.gateway_id, draw_incarnation(), place.seed)
        self.leases: dict[int, HeldLease] = {}
        self.holder = LeaseHolder(self.settings, self.member, self.clock())
        self.acceptor = self._open_acceptor(folder)
        self.record = LeaseRecord(config.record, self.member, config.clock_rate)
        self.acquired_count = 0
        self.stale_token_count = 0
        self.lost_counts: Counter[str] = Counter()  # by reason
        self._channel = PeerChannel(peers, CODEC, log)
        self._kinds = [(block, partition) for block in config.duty for partition in range(block.shards)]
        self._work: Mapping[str, Callable[[HeldLease], None]] = {}
        self._inbox: deque[tuple[int, LeaseMessage]] = deque(maxlen=MAX_INBOX)
        self._has_messages = Event()
        self._greenlets: list[Any] = []
        self._logged_pause_until = NEVER

    def _open_acceptor(self, folder: Path) -> AcceptorRunner | None:
        if self.member.gateway_id not in self.settings.acceptors:
            return None
        votes = AcceptorLog(folder, self.settings, self.config.sync)
        if votes.memory is None:
            self.log.warning(
                "acceptor_memory_missing",
                reason=votes.missing_reason,
                effect="no votes are given until the acceptor has recovered",
            )
        acceptor = Acceptor(self.settings, self.member, self.clock(), votes.memory)
        return AcceptorRunner(acceptor, votes, self._send, self.log)

    def clock(self) -> float:
        """Return the time of this gateway's clock, in seconds; in a drill it may run at another rate."""
        return time.monotonic() * self.config.clock_rate

    def start(self, work: RoleWork) -> None:
        """Start to vote, and to hold roles of the kinds that `work` can do."""
        self._work = work.by_kind
        self._channel.subscribe(self._enqueue)
        self._greenlets.append(gevent.spawn(self._run))
        if self.acceptor is not None:
            self.acceptor.start()
        self._greenlets.append(gevent.spawn(work.poll_operator_requests, self))

    def hand_over(self) -> None:
        """Stop the work of all roles, then release every lease; each message is sent twice, as one may be lost."""
        if self.holder.is_leaving:
            return
        working = [lease.greenlet for lease in self.leases.values() if lease.greenlet is not None]
        gevent.killall(working, timeout=WORK_KILL_TIMEOUT_S)
        self._carry_out(self.holder.leave(self.clock()))
        gevent.sleep(RELEASE_PAUSE_S)
        self._carry_out(self.holder.repeat_releases(self.clock()))
        gevent.sleep(RELEASE_PAUSE_S)

    def stop(self) -> None:
        """Release every lease and stop."""
        self.hand_over()
        gevent.killall(self._greenlets)
        if self.acceptor is not None:
            self.acceptor.stop()
        self.record.close()

    # ------------------------------------------------------------ messages

    def _enqueue(self, sender: int, message: LeaseMessage) -> None:
        self._inbox.append((sender, message))
        self._has_messages.set()

    def _send(self, actions: Sequence[LeaseAction]) -> None:
        for action in actions:
            assert isinstance(action, SendLeaseMessage)
            if action.recipient == self.member.gateway_id:
                self._enqueue(self.member.gateway_id, action.message)
            else:
                self._channel.send(action.recipient, action.message)

    def _carry_out(self, actions: Sequence[LeaseAction]) -> None:
        """Handle the holder's events, then send the messages.

        The work of lost roles must end first, as another gateway may acquire a released role at once.
        """
        self._handle_events()
        self._send(actions)

    # ------------------------------------------------------------ time

    def _run(self) -> None:
        while True:
            deadline = self._next_deadline()
            wait_s = (deadline - self.clock()) / self.config.clock_rate
            has_messages = self._has_messages.wait(max(0.0, wait_s))
            self._has_messages.clear()
            try:
                self._step(None if has_messages else deadline)
            except Exception:  # an error in one step must not end the loop
                self.log.error("lease_step_failed", exc_info=True)
                gevent.sleep(STEP_RETRY_S)

    def _next_deadline(self) -> float:
        if self.acceptor is None:
            return self.holder.next_deadline()
        return min(self.holder.next_deadline(), self.acceptor.acceptor.next_deadline())

    def _step(self, woken_at: float | None) -> None:
        """Record a late wake-up, handle the queued messages, then call `tick` of the holder and the acceptor.

        Never yields to another greenlet between reading the clock and acting on it.

        Parameters
        ----------
        woken_at
            The deadline at which the loop should have woken up; None if a message woke it.
        """
        now = self.clock()
        if woken_at is not None:
            self._carry_out(self.holder.record_lag(now, now - woken_at))
        while self._inbox:
            self._receive(now, *self._inbox.popleft())
        self._carry_out(self.holder.tick(now))
        if self.acceptor is not None:
            self.acceptor.tick(now)
        for lease in self.leases.values():
            self.record.add_renewal(lease, self.holder.expires_at(lease.role))
        self._log_pause(now)

    def _log_pause(self, now: float) -> None:
        """Log, once per pause in which this gateway accepts no roles, the reason and the length of the pause."""
        backoff = self.holder.backoff
        if backoff.reason is None or backoff.until <= max(now, self._logged_pause_until):
            return
        self._logged_pause_until = backoff.until
        self.log.info("candidacy_paused", reason=backoff.reason.value, pause_s=round(backoff.until - now, 3))

    def _receive(self, now: float, sender: int, message: LeaseMessage) -> None:
        """Handle one message; if its handling raises, the message counts as lost."""
        try:
            if message.type in FOR_HOLDER:
                self._carry_out(self.holder.receive(now, sender, message))
            elif self.acceptor is not None:
                self.acceptor.receive(now, sender, message)
        except Exception:
            self.log.error("lease_message_failed", sender=sender, message_type=message.type.name, exc_info=True)

    # ------------------------------------------------------------ events

    def _handle_events(self) -> None:
        events = self.holder.events
        self.holder.events = []
        for event in events:
            if isinstance(event, LeaseAcquired):
                self._handle_acquired(event)
            else:
                self._handle_lost(event)

    def _handle_acquired(self, event: LeaseAcquired) -> None:
        name = self.settings.role_names[event.role]
        self.record.add(LeaseChange("took", name, event.token, self.holder.expires_at(event.role)))
        lease = self.leases.get(event.role)
        if lease is not None:
            lease.token = event.token
            self.log.info("lease_token_raised", role=name, token=event.token)
            return
        self.acquired_count += 1
        self.log.info("lease_acquired", role=name, token=event.token)
        kind, partition = self._kinds[event.role]
        lease = HeldLease(self, event.role, name, kind, partition, event.token)
        self.leases[event.role] = lease
        lease.greenlet = gevent.spawn(self._run_work, lease)

    def _handle_lost(self, event: LeaseLost) -> None:
        name = self.settings.role_names[event.role]
        self.lost_counts[event.reason] += 1
        self.record.add(LeaseChange("lost", name, event.token, self.clock(), event.reason))
        self.log.info("lease_lost", role=name, token=event.token, reason=event.reason)
        lease = self.leases.pop(event.role, None)
        if lease is not None and lease.greenlet is not gevent.getcurrent():
            lease.greenlet.kill(block=False)

    # ------------------------------------------------------------ work

    def _run_work(self, lease: HeldLease) -> None:
        try:
            self._work[lease.kind.name](lease)
        except LeaseExpiredError:
            self._release_held(lease, NOT_RENEWED)
        except StaleTokenError as error:
            self.stale_token_count += 1
            self.log.warning("stale_token_refused", role=lease.name, token=lease.token, newest=error.newest)
            if self._is_held(lease):
                self._carry_out(self.holder.record_stale_token(self.clock(), lease.role, error.newest))
        except Exception as error:
            self.log.error("role_work_failed", role=lease.name, exc_info=True)
            if self._is_held(lease):
                reason = f"its work raised {type(error).__name__}"
                self._carry_out(self.holder.release_unusable(self.clock(), lease.role, reason))
        else:
            self._release_held(lease, WORK_FINISHED)

    def _is_held(self, lease: HeldLease) -> bool:
        return self.leases.get(lease.role) is lease

    def _release_held(self, lease: HeldLease, reason: str) -> None:
        if self._is_held(lease):
            self._carry_out(self.holder.release(self.clock(), lease.role, reason))

    def remaining_s(self, role: int, token: int) -> float:
        """Return the seconds, on the machine's clock, during which a step under this token may still begin."""
        return self.holder.remaining_s(self.clock(), role, token) / self.config.clock_rate

    def stamp(self, lease: HeldLease) -> dict[str, Any]:
        """Return the fencing fields of each step, as in the protocol of the nodes and the map service."""
        return {
            "duty": lease.name,
            "token": lease.token,
            "who": self.member.incarnation,
            "head": self.member.gateway_id,
        }

    def record_reachability(self, role: int, dependency: str, is_reachable: bool) -> None:
        """Record whether a dependency of a role was reachable."""
        self._carry_out(self.holder.record_reachability(self.clock(), role, dependency, is_reachable))

    def release(self, name: str) -> None:
        """Release a role at the request of an operator."""
        role = self.settings.role_names.index(name)
        self._carry_out(self.holder.release(self.clock(), role, RELEASED_BY_OPERATOR))

    # ------------------------------------------------------------ status

    def status(self) -> dict[str, Any]:
        """Return the roles that this gateway holds and, on an acceptor, the roles that it sees vacant."""
        now = self.clock()
        return {
            "held": {
                lease.name: {"token": lease.token, "left_s": round(lease.remaining_s(), 2)}
                for lease in self.leases.values()
            },
            "takes": self.holder.is_available(now),
            "took": self.acquired_count,
            "lost": dict(self.lost_counts),
            "fenced": self.stale_token_count,
            "unread": self._channel.malformed_count,
            "strangers": self._foreign_messages(),
            "voter": None if self.acceptor is None else self._acceptor_status(self.acceptor.acceptor, now),
        }

    def _foreign_messages(self) -> int:
        if self.acceptor is None:
            return self.holder.foreign_messages
        return self.holder.foreign_messages + self.acceptor.acceptor.foreign_messages

    def _acceptor_status(self, acceptor: Acceptor, now: float) -> dict[str, Any]:
        vacant_for_s = sorted(acceptor.vacant_for_s(now).items())
        return {
            "votes": acceptor.is_voting,
            "disk_failed": acceptor.disk_failed,
            "unheld_s": {
                self.settings.role_names[role]: round(vacant_s / self.config.clock_rate, 1)
                for role, vacant_s in vacant_for_s
            },
        }
