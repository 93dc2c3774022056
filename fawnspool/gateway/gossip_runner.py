"""Carries out what heads share: passes requests, outcomes, datagrams and time to `shared/sharer.py`, tells the module
what follows. It chooses nothing. All calls run in one thread and none yields, so the sharer needs no owner.
"""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent

from fawnspool.config.head import PlanBlock, SharedBlock
from fawnspool.gateway.peers import PeerSocket
from fawnspool.gossip.agent import Out, Sharer
from fawnspool.gossip.messages import LEADING, Unread, pack, unpack
from fawnspool.gossip.terms import Terms
from fawnspool.gossip.volume_participants import Say
from fawnspool.scheduling import interface

SHOWN_MOST = 100  # volumes in the status


def terms_of(config: SharedBlock, heads: int) -> Terms:
    """What all heads agree on. Numbers are passed on as written."""
    return Terms(heads, config.every, config.fades, config.shun, config.quorum)


class Sharing:
    """names: of volumes, by number; listed: how many nodes there are; doubts: nodes with bad signs that the module has
    counted; tell: into the module's queue."""

    def __init__(
        self,
        config: SharedBlock,
        me: int,
        heads: int,
        seed: int,
        peers: PeerSocket,
        names: dict[int, str],
        listed: Callable[[], int],
        doubts: Callable[[], list[tuple[int, int]]],
        tell: Callable[[Any], None],
        log: Any,
    ) -> None:
        self.peers, self.names, self.listed, self.tell, self.log = peers, names, listed, tell, log
        self.doubts = doubts
        # Seconds of the wall clock: a later start is a later life, unless the clock was set back (docs/shared.md).
        self.sharer = Sharer(terms_of(config, heads), me, int(time.time()), seed, time.monotonic())
        self.counts: Counter[str] = Counter()
        self.alone = False
        self.shunned: set[int] = set()
        self.greenlet: Any = None

    def start(self) -> None:
        self.peers.subscribe(LEADING, self.hear)
        self.greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        if self.greenlet is not None:
            self.greenlet.kill()

    def request(self, volume: int, takers: int, plan: PlanBlock, units: float) -> None:
        """A request of a volume that so many heads share has come."""
        if plan.limit and takers > 1:
            self.sharer.table.asked(time.monotonic(), volume, takers, plan.limit, plan.limit_depth, units)

    def outcome(self, event: interface.Outcome, volume: int, units: float) -> None:
        if event.result is interface.Result.SERVED:
            self.sharer.table.used(volume, units)
        self._out(self.sharer.outcome(time.monotonic(), event))

    def hear(self, sender: int, body: bytes) -> None:
        try:
            message = unpack(body)
        except Unread as bad:
            self.counts["unread"] += 1
            self.log.debug("a datagram about what heads share does not read", sender=sender, why=str(bad))
            return
        self._out(self.sharer.hear(time.monotonic(), sender, message))

    def _run(self) -> None:
        while True:
            gevent.sleep(max(0.001, self.sharer.due() - time.monotonic()))
            now = time.monotonic()
            self._out(self.sharer.look(now, self.listed(), self.doubts()))
            if self.sharer.alone(now) != self.alone:
                self.alone = not self.alone
                if self.alone:
                    self.log.warning("no other head is heard: own parts of limits and own evidence alone")
                else:
                    self.log.info("other heads are heard again")

    def _out(self, out: list[Out]) -> None:
        for o in out:
            if isinstance(o, Say):
                self.counts["said"] += 1
                self.peers.send(o.to, pack(o.message))
                continue
            if isinstance(o, interface.GossipedHealth):
                if o.healthy or o.node not in self.shunned:  # else: its turn to try it is another
                    self.counts["mended" if o.healthy else "shunned"] += 1
                    self.log.info("a shunned node is well" if o.healthy else "node shunned on hearsay", node=o.node)
                self.shunned = self.shunned - {o.node} if o.healthy else self.shunned | {o.node}
            self.tell(o)

    def status(self) -> dict[str, Any]:
        s, now = self.sharer, time.monotonic()
        volumes = []
        for volume in list(s.table.mine)[-SHOWN_MOST:]:
            found = s.table.read(now, volume)
            if found is not None:
                most = None if math.isinf(found.at_most) else round(found.at_most, 1)
                volumes.append(
                    {
                        "volume": self.names.get(volume, str(volume)),
                        "used_at_most": most,
                        "used_at_least": round(found.at_least, 1),
                        "age_s": round(found.age, 2),
                        "heads": found.heads,
                        "unheard": found.others,
                    }
                )
        return {
            "alone": self.alone,
            "heard_s": round(now - s.heard, 2) if s.heard > 0 else None,
            "heads": s.judge.there(now),
            "volumes_in_all": len(s.table.mine),
            "volumes": volumes,
            "nodes": [{"node": k, **row} for k, row in s.judge.status(now).items()],
            "shunned": s.judge.shunned(),
            "said": self.counts["said"],
            "unread": self.counts["unread"],
            "strangers": s.strangers,
            "told_shunned": self.counts["shunned"],
            "told_mended": self.counts["mended"],
        }
