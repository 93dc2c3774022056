"""Runs the gossip agent: gives it requests, outcomes, messages and the time, and passes its events to the scheduler.

The agent makes all decisions. All calls to it run in one thread and none of them yields to another greenlet, so the
agent needs no lock.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

from fawnspool.config.head import PlanBlock, SharedBlock
from fawnspool.gateway.peer_channel import FleetPlace, PeerChannel, PeerCodec
from fawnspool.gateway.peers import PeerSocket
from fawnspool.gossip.actions import GossipAction, SendGossip
from fawnspool.gossip.agent import GossipAgent
from fawnspool.gossip.grow_only_counter import CountInterval
from fawnspool.gossip.messages import LEADING_BYTE, GossipMessage, GossipMessageError, decode, encode
from fawnspool.gossip.settings import GossipSettings
from fawnspool.gossip.volume_participants import VolumeLimit
from fawnspool.scheduling import interface
from fawnspool.telemetry.logs import EventLogger

MAX_STATUS_VOLUMES = 100
MIN_SLEEP_S = 0.001
ROUND_RETRY_S = 0.05  # pause after a round that raised an exception
CODEC = PeerCodec("gossip", LEADING_BYTE, encode, decode, GossipMessageError)


def gossip_settings(config: SharedBlock, gateway_count: int) -> GossipSettings:
    """Return the settings that all gateways share; numbers are not converted: the fingerprint covers their text."""
    return GossipSettings(gateway_count, config.every, config.fades, config.shun, config.quorum)


def draw_incarnation() -> int:
    """Return the wall clock in seconds, so that a later start has a larger number unless the clock was set back."""
    return int(time.time())


@dataclass(frozen=True)
class SchedulerView:
    """The parts of its gateway that gossip uses.

    Parameters
    ----------
    volume_names
        Names of the volumes, by their numbers.
    listed_count
        Returns the number of listed nodes.
    suspects
        Returns pairs of a node and the consecutive failures that the scheduler has counted for it.
    notify
        Puts an event into the scheduler's queue.
    """

    volume_names: dict[int, str]
    listed_count: Callable[[], int]
    suspects: Callable[[], list[tuple[int, int]]]
    notify: Callable[[Any], None]


class GossipRunner:
    """Runs this gateway's gossip.

    Parameters
    ----------
    config
        The `shared` block of the settings.
    """

    def __init__(
        self, config: SharedBlock, place: FleetPlace, peers: PeerSocket, view: SchedulerView, log: EventLogger
    ) -> None:
        self.view = view
        self.log = log
        settings = gossip_settings(config, place.gateway_count)
        self.agent = GossipAgent(settings, place.gateway_id, draw_incarnation(), place.seed, time.monotonic())
        self.is_isolated = False
        self.ejected: set[int] = set()
        self.sent_count = 0
        self.ejected_count = 0
        self.readmitted_count = 0
        self._channel = PeerChannel(peers, CODEC, log)
        self._greenlet: Any = None

    def start(self) -> None:
        """Start to receive and send gossip."""
        self._channel.subscribe(self._receive)
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop sending gossip."""
        if self._greenlet is not None:
            self._greenlet.kill()

    # ------------------------------------------------------------ events

    def record_request(self, volume: int, participants: int, plan: PlanBlock, units: float) -> None:
        """Record a request for a volume that `participants` gateways share."""
        if plan.limit and participants > 1:
            limit = VolumeLimit(participants, plan.limit, plan.limit_depth)
            self.agent.volumes.record_demand(time.monotonic(), volume, limit, units)

    def record_outcome(self, event: interface.Outcome, volume: int, units: float) -> None:
        """Record the outcome of an attempt."""
        if event.result is interface.Result.SERVED:
            self.agent.volumes.record_used(volume, units)
        self._carry_out(self.agent.record_outcome(time.monotonic(), event))

    def _receive(self, sender: int, message: GossipMessage) -> None:
        self._carry_out(self.agent.receive(time.monotonic(), sender, message))

    def _run(self) -> None:
        while True:
            gevent.sleep(max(MIN_SLEEP_S, self.agent.next_round_at() - time.monotonic()))
            try:
                self._run_round(time.monotonic())
            except Exception:  # no error of a single round may end the loop
                self.log.error("gossip_round_failed", exc_info=True)
                gevent.sleep(ROUND_RETRY_S)

    def _run_round(self, now: float) -> None:
        self._carry_out(self.agent.run_round(now, self.view.listed_count(), self.view.suspects()))
        self._record_isolation(self.agent.is_isolated(now))

    def _record_isolation(self, is_isolated: bool) -> None:
        if is_isolated and not self.is_isolated:
            self.log.warning("gossip_isolated", effect="only own parts of limits and own health evidence are used")
        if self.is_isolated and not is_isolated:
            self.log.info("gossip_rejoined")
        self.is_isolated = is_isolated

    # ------------------------------------------------------------ actions

    def _carry_out(self, actions: list[GossipAction]) -> None:
        for action in actions:
            if isinstance(action, SendGossip):
                self.sent_count += 1
                self._channel.send(action.recipient, action.message)
                continue
            if isinstance(action, interface.GossipedHealth):
                self._record_health(action)
            self.view.notify(action)

    def _record_health(self, event: interface.GossipedHealth) -> None:
        if event.healthy:
            self.readmitted_count += 1
            self.log.info("node_readmitted_by_gossip", node=event.node)
            self.ejected.discard(event.node)
        elif event.node not in self.ejected:  # otherwise only the time of the next attempt has changed
            self.ejected_count += 1
            self.log.info("node_ejected_by_gossip", node=event.node)
            self.ejected.add(event.node)

    # ------------------------------------------------------------ status

    def status(self) -> dict[str, Any]:
        """Return the gossip section of the status page: volumes, nodes and counters."""
        now = time.monotonic()
        agent = self.agent
        return {
            "alone": self.is_isolated,
            "heard_s": round(now - agent.heard_at, 2) if agent.heard_at > 0 else None,
            "heads": agent.health.present_count(now),
            "volumes_in_all": len(agent.volumes.volumes),
            "volumes": self._volume_rows(now),
            "nodes": [{"node": node, **row} for node, row in agent.health.status(now).items()],
            "shunned": agent.health.ejected_nodes(),
            "said": self.sent_count,
            "unread": self._channel.malformed_count,
            "strangers": agent.foreign_messages,
            "told_shunned": self.ejected_count,
            "told_mended": self.readmitted_count,
        }

    def _volume_rows(self, now: float) -> list[dict[str, Any]]:
        latest = list(self.agent.volumes.volumes)[-MAX_STATUS_VOLUMES:]
        intervals = {volume: self.agent.volumes.interval(now, volume) for volume in latest}
        return [
            _volume_row(self.view.volume_names.get(volume, str(volume)), interval)
            for volume, interval in intervals.items()
            if interval is not None
        ]


def _volume_row(name: str, interval: CountInterval) -> dict[str, Any]:
    return {
        "volume": name,
        "used_at_most": None if math.isinf(interval.at_most) else round(interval.at_most, 1),
        "used_at_least": round(interval.at_least, 1),
        "age_s": round(interval.age_s, 2),
        "heads": interval.heard,
        "unheard": interval.unheard,
    }
