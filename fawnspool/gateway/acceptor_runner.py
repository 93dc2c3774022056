"""Carries out an acceptor's actions in order: votes are on disk before the messages that follow them are sent.

A separate greenlet writes votes in gevent's thread pool, so that a slow disk delays neither requests nor this gateway's
own lease renewals. If votes can't be written, the messages that follow them are not sent: no other gateway learns of
votes that are not on disk.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
from gevent.queue import Queue

from fawnspool.gateway.acceptor_log import AcceptorLog
from fawnspool.leases.acceptor import Acceptor
from fawnspool.leases.actions import LeaseAction, PersistVotes, SendLeaseMessage
from fawnspool.leases.messages import LeaseMessage
from fawnspool.telemetry.logs import EventLogger


class AcceptorRunner:
    """Owner of an acceptor and of its log.

    Parameters
    ----------
    send
        Sends messages to the other gateways.
    """

    def __init__(
        self, acceptor: Acceptor, votes: AcceptorLog, send: Callable[[list[SendLeaseMessage]], None], log: EventLogger
    ) -> None:
        self.acceptor = acceptor
        self.votes = votes
        self.log = log
        self._send = send
        self._batches: Queue[list[LeaseAction]] = Queue()
        self._greenlet: Any = None

    def start(self) -> None:
        """Start the greenlet that carries out the acceptor's actions."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop writing and close the log."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self.votes.close()

    def receive(self, now: float, sender: int, message: LeaseMessage) -> None:
        """Pass a message to the acceptor."""
        self._enqueue(self.acceptor.receive(now, sender, message))

    def tick(self, now: float) -> None:
        """Let the acceptor send its due messages: recovery requests, or nominations for vacant roles."""
        self._enqueue(self.acceptor.tick(now))

    def _enqueue(self, actions: list[LeaseAction]) -> None:
        if actions:
            self._batches.put(actions)

    def _run(self) -> None:
        while True:
            actions = self._batches.get()
            try:
                for action in actions:
                    self._carry_out(action)
            except OSError as error:
                self._record_disk_failure(error)
            except Exception:  # an error must not end the loop; the rest of the batch is not sent
                self.log.error("acceptor_actions_failed", exc_info=True)

    def _carry_out(self, action: LeaseAction) -> None:
        if isinstance(action, PersistVotes):
            gevent.get_hub().threadpool.apply(self.votes.persist, (action,))
            self.acceptor.confirm_persisted(action)
            self._record_disk_success()
        else:
            self._send([action])

    def _record_disk_failure(self, error: OSError) -> None:
        if not self.acceptor.disk_failed:
            self.acceptor.disk_failed = True
            self.log.error(
                "votes_not_persisted",
                error=str(error),
                effect="no votes are given",
                remedy="free disk space in head.data",
            )

    def _record_disk_success(self) -> None:
        if self.acceptor.disk_failed:
            self.acceptor.disk_failed = False
            self.log.info("votes_persisted_again")
