"""The program with a fault in it: `python -m tests.e2e.doctored HOW serve ...`. Each HOW breaks one thing that leases,
limits or gossip rest on; the judge must find it."""

from __future__ import annotations

import errno
import json
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import gevent

from fawnspool.cli.main import main
from fawnspool.gateway import acceptor_log, drain_worker, held_lease, lease_runner, role_context
from fawnspool.gossip import health_evidence
from fawnspool.leases import ballot
from fawnspool.leases.actions import AcceptorMemory
from fawnspool.leases.ballot import Ballot, Promise
from fawnspool.leases.fencing import StaleTokenError
from fawnspool.scheduling import rate_limits
from fawnspool.scheduling.rate_limits import RateLimiter, RateLimits
from fawnspool.standins import node_fence

DISK_FULL = "disk-full"  # a file in an acceptor's folder: nothing more can be written there
PERSISTED_VOTES = "persisted.jsonl"  # beside it: role, token and incarnation of each vote that was written
FIRST_LIFE = "first-life"  # a file in the folder of an acceptor that has lived
FIRST_LIFE_TOKENS = 1_000
UNWRITTEN_VOTES = "unwritten"  # beside it, once a vote found the disk full


class UnkillableGreenlet(gevent.Greenlet):  # type: ignore[misc]
    def kill(self, *args: Any, **more: Any) -> None:
        """Go on."""


def ignores_end() -> None:
    """A holder whose work heeds neither clock nor loss."""
    names = {n: getattr(gevent, n) for n in dir(gevent)}
    lease_runner.gevent = SimpleNamespace(**names | {"spawn": UnkillableGreenlet.spawn})  # type: ignore[attr-defined]
    held_lease.HeldLease.remaining_s = lambda self: 5.0  # type: ignore[method-assign]
    operator_requests = role_context.RoleContext.operator_requests
    last_requests: dict[str, str] = {}

    def remembered_requests(self: Any, lease: Any) -> dict[str, str]:
        last_requests.update(operator_requests(self, lease) or {})
        return last_requests

    role_context.RoleContext.operator_requests = remembered_requests  # type: ignore[method-assign]
    move = drain_worker.DrainWorker._move

    def move_unfenced(self: Any, *args: Any) -> None:
        with suppress(StaleTokenError):
            move(self, *args)

    drain_worker.DrainWorker._move = move_unfenced  # type: ignore[method-assign]


def no_token() -> None:
    """A holder whose steps bear no token."""
    held_lease.HeldLease.stamp = lambda self: {}  # type: ignore[method-assign]


def forgets_votes() -> None:
    """An acceptor that takes its empty memory for complete. Its first life had promised many tokens, so that those of
    later lives are under them however often elections are repeated."""
    real = acceptor_log.AcceptorLog.__init__

    def init(self: Any, folder: Path, *args: Any) -> None:
        real(self, folder, *args)
        is_first_life = not (folder / FIRST_LIFE).exists()
        (folder / FIRST_LIFE).touch()
        self.memory = AcceptorMemory({}, FIRST_LIFE_TOKENS if is_first_life else 0)

    acceptor_log.AcceptorLog.__init__ = init  # type: ignore[method-assign]


def votes_twice() -> None:
    """An acceptor that gives its vote again while it stands, and nominates gateways all the while."""
    vote = ballot.vote

    def vote_again(promise: Promise, requested: Ballot, *rest: Any) -> Any:
        return vote(replace(promise, expires_at=0.0), requested, *rest)

    ballot.vote = vote_again
    Promise.is_vacant = lambda self, now: True  # type: ignore[method-assign]


def forgets_fence() -> None:
    """A node that admits every token."""
    real = node_fence.NodeFence.newer_token

    def newer_token(self: Any, query: dict[str, str], step: str) -> int | None:
        self.fence.newest.clear()
        return real(self, query, step)

    node_fence.NodeFence.newer_token = newer_token  # type: ignore[method-assign]


def full_disk() -> None:
    """An acceptor whose disk is full from when a test says so; what it writes before that is noted beside it."""
    persist = acceptor_log.AcceptorLog.persist

    def persist_until_full(self: Any, votes: Any) -> None:
        folder = self.path.parent
        if (folder / DISK_FULL).exists():
            (folder / UNWRITTEN_VOTES).touch()
            raise OSError(errno.ENOSPC, "No space left on device")
        with (folder / PERSISTED_VOTES).open("a") as notes:
            notes.writelines(json.dumps(record) + "\n" for record in votes.records)
        persist(self, votes)

    acceptor_log.AcceptorLog.persist = persist_until_full  # type: ignore[method-assign]


def votes_on_full_disk() -> None:
    """The same, and it gives its vote all the same."""
    full_disk()
    persist_until_full = acceptor_log.AcceptorLog.persist

    def persist_or_not(self: Any, votes: Any) -> None:
        with suppress(OSError):
            persist_until_full(self, votes)

    acceptor_log.AcceptorLog.persist = persist_or_not  # type: ignore[method-assign]


def wrong_place() -> None:
    """A holder that begins with what has moved already, as the shards to be drained change for it all the time."""
    operator_requests = role_context.RoleContext.operator_requests

    def changing_requests(self: Any, lease: Any) -> dict[str, str] | None:
        requests = operator_requests(self, lease)
        kept = int(time.monotonic()) % 6
        return {f"drain/{shard}": "" for shard in range(6) if shard != kept} if requests else requests

    role_context.RoleContext.operator_requests = changing_requests  # type: ignore[method-assign]


def keeps_lent() -> None:
    """A gateway that lends units of a limit and goes on using them."""
    real = RateLimits.handle_message

    def lends(self: Any, event: Any, now: float) -> Any:
        levels = {volume: limiter.tokens for volume, limiter in self.limiters.items()}
        result = real(self, event, now)
        for volume, level in levels.items():
            limiter = self.limiters[volume]
            if limiter.granted and limiter.tokens < level:
                limiter.tokens = level
                limiter.granted.clear()
        return result

    RateLimits.handle_message = lends  # type: ignore[method-assign]


def late_units() -> None:
    """A gateway that counts units however late they come, and fills up at once what it lent."""
    rate_limits.TRANSFER_VALIDITY_FRACTION = 1e9  # type: ignore[misc]
    real = RateLimiter.refill

    def fills(self: Any, *args: Any) -> None:
        self.granted.clear()
        real(self, *args)

    RateLimiter.refill = fills  # type: ignore[method-assign]


def hearsay_alone() -> None:
    """A gateway that believes whatever it hears of a node, before its own answers, and does not try it."""

    def evaluate(self: Any, now: float, node: int, findings: Any) -> list[Any]:
        bad = [finding for finding in findings.by_origin.values() if finding.is_bad]
        return [health_evidence.GossipedHealth(node, False, 60.0)] if bad else []

    health_evidence.HealthEvidence._evaluate = evaluate  # type: ignore[method-assign]
    health_evidence.HealthEvidence.record_healthy = lambda self, now, node: []  # type: ignore[method-assign]


HOW: dict[str, Callable[[], None]] = {
    f.__name__: f
    for f in (
        ignores_end,
        no_token,
        forgets_votes,
        votes_twice,
        forgets_fence,
        wrong_place,
        full_disk,
        votes_on_full_disk,
        keeps_lent,
        late_units,
        hearsay_alone,
    )
}

if __name__ == "__main__":
    HOW[sys.argv.pop(1)]()
    main()
