"""Who serves a volume, and how much of it: each gateway says it of itself to the volume's registrars.

It asks them who else does when it lacks units of a limit that others may have. Nothing is granted here: a message that
is lost, late, doubled or wrong makes a gateway ask the wrong ones for a while.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random

from fawnspool.gossip.actions import GossipAction, SendGossip
from fawnspool.gossip.grow_only_counter import CounterEntry, CountInterval, GrowOnlyCounter
from fawnspool.gossip.messages import GossipMessage, GossipMessageType, UsageRow, max_rows
from fawnspool.gossip.participant_registry import MAX_VOLUMES, ParticipantRegistry, counter_entry
from fawnspool.gossip.settings import MAX_VOLUMES_PER_ROUND, GossipSettings
from fawnspool.scheduling.interface import VolumeParticipants

ANNOUNCE_INTERVAL_S = 8.0  # between two announcements of a volume, where they all find room
DEMAND_SMOOTHING_S = 0.5  # a surge is seen within, one request is none
QUERY_INTERVAL_S = 2.0  # between two queries about a volume that lacks units
FIRST_QUERY_INTERVAL_S = QUERY_INTERVAL_S / 8  # while no other participant is known
LACKING_S = 1.0  # for which a volume counts as lacking since its demand was last over its part
INCARNATION_MASK = 0xFFFFFFFF
NEVER = float("-inf")

_Rows = dict[tuple[int, GossipMessageType], list[UsageRow]]  # by registrar and type
_Named = dict[int, set[int]]  # by volume, the other gateways that serve it


@dataclass(frozen=True, slots=True)
class VolumeLimit:
    """Limit of a volume over the whole fleet.

    Parameters
    ----------
    participants
        Gateways that share it.
    rate, burst
        Units a second, and at once.
    """

    participants: int
    rate: float
    burst: float


@dataclass(slots=True)
class _Volume:
    """A volume that this gateway serves.

    used: units served in this incarnation; demand: units a second asked for here, smoothed, as of demand_at.
    """

    limit: VolumeLimit
    used: float = 0.0
    demand: float = 0.0
    demand_at: float = 0.0
    announced_at: float = NEVER
    queried_at: float = NEVER
    lacked_at: float = NEVER
    others: GrowOnlyCounter = field(default_factory=GrowOnlyCounter)

    def record_demand(self, now: float, units: float) -> bool:
        """Note units that are asked for; return whether the demand is over this gateway's even part."""
        decay = math.exp((self.demand_at - now) / DEMAND_SMOOTHING_S)
        self.demand = self.demand * decay + units / DEMAND_SMOOTHING_S
        self.demand_at = now
        if self.demand <= self.limit.rate / self.limit.participants:
            return False
        self.lacked_at = now
        return True

    def is_query_due(self, now: float) -> bool:
        interval_s = QUERY_INTERVAL_S if self.others.entries else FIRST_QUERY_INTERVAL_S
        return now - self.queried_at >= interval_s


class VolumeTable:
    """Volumes that one gateway serves, and those that it registers for the fleet.

    Parameters
    ----------
    incarnation
        It rises with each start of the gateway.
    """

    def __init__(self, settings: GossipSettings, gateway_id: int, incarnation: int, seed: int) -> None:
        self.settings = settings
        self.gateway_id = gateway_id
        self.incarnation = incarnation & INCARNATION_MASK
        self.random = Random(f"{seed}-{incarnation}-takers")
        self.volumes: OrderedDict[int, _Volume] = OrderedDict()  # the one announced longest ago first
        self.registry = ParticipantRegistry(self.random)
        self._lacking: OrderedDict[int, None] = OrderedDict()

    def record_demand(self, now: float, volume: int, limit: VolumeLimit, units: float) -> None:
        """Note that units of a volume are asked for at this gateway."""
        state = self._volume(volume, limit)
        if state.record_demand(now, units):
            self._lacking[volume] = None

    def record_used(self, volume: int, units: float) -> None:
        """Note that units were served."""
        state = self.volumes.get(volume)
        if state is not None:
            state.used += units

    def _volume(self, volume: int, limit: VolumeLimit) -> _Volume:
        state = self.volumes.get(volume)
        if state is None:
            while len(self.volumes) >= MAX_VOLUMES:
                dropped, _ = self.volumes.popitem(last=False)
                self._lacking.pop(dropped, None)
            state = self.volumes[volume] = _Volume(limit)
            self.volumes.move_to_end(volume, last=False)  # to be announced in the next round
        if limit.participants > state.limit.participants:
            state.limit = VolumeLimit(limit.participants, state.limit.rate, state.limit.burst)
        return state

    # ------------------------------------------------------------ messages

    def receive(self, now: float, sender: int, message: GossipMessage) -> list[GossipAction]:
        """Handle a message about volumes."""
        if message.type is GossipMessageType.PARTICIPANTS:
            return self._learn_participants(now, message)
        answers: list[UsageRow] = []
        for row in message.rows:
            if not isinstance(row, UsageRow) or row.gateway_id != sender:
                continue
            if self.gateway_id not in self.settings.registrars(row.volume):
                continue
            count = self.registry.register(now, row)
            if message.type is GossipMessageType.PARTICIPANTS_QUERY:
                answers += self.registry.answer(now, row.volume, sender, count)
        return self._send(sender, GossipMessageType.PARTICIPANTS, answers)

    def _learn_participants(self, now: float, message: GossipMessage) -> list[GossipAction]:
        named: _Named = {}
        for row in message.rows:
            if not isinstance(row, UsageRow) or not self._is_other(row.gateway_id) or row.volume not in self.volumes:
                continue
            others = self.volumes[row.volume].others
            others.merge([counter_entry(now, row)])
            named[row.volume] = set(others.entries)
        return _participants(named)

    def _is_other(self, gateway_id: int) -> bool:
        return gateway_id != self.gateway_id and gateway_id < self.settings.gateway_count

    def _send(self, recipient: int, kind: GossipMessageType, rows: list[UsageRow]) -> list[GossipAction]:
        size = max_rows(kind)
        return [
            SendGossip(recipient, GossipMessage(kind, self.settings.fingerprint, tuple(rows[start : start + size])))
            for start in range(0, len(rows), size)
        ]

    # ------------------------------------------------------------ time

    def run_round(self, now: float) -> list[GossipAction]:
        """Speak of volumes that lack units, then of those not announced for the longest, as many as a round holds."""
        rows: _Rows = {}
        named: _Named = {}
        self.registry.start_round()
        queries = self._query_lacking(now, rows, named)
        self._announce(now, MAX_VOLUMES_PER_ROUND - queries, rows, named)
        actions = _participants(named)
        for (registrar, kind), some in rows.items():
            actions += self._send(registrar, kind, some)
        return actions

    def _query_lacking(self, now: float, rows: _Rows, named: _Named) -> int:
        """Query about volumes that lack units, in half of the round; return how many."""
        self._lacking = OrderedDict(
            (volume, None) for volume in self._lacking if now - self.volumes[volume].lacked_at < LACKING_S
        )
        queries = 0
        for volume in list(self._lacking):
            state = self.volumes[volume]
            if state.others.entries:
                # Named again, as the scheduler forgets participants that had nothing to lend.
                named[volume] = set(state.others.entries)
            if queries < MAX_VOLUMES_PER_ROUND // 2 and state.is_query_due(now):
                self._lacking.move_to_end(volume)
                state.queried_at = now
                self._speak_of(now, volume, GossipMessageType.PARTICIPANTS_QUERY, rows, named)
                queries += 1
        return queries

    def _announce(self, now: float, room: int, rows: _Rows, named: _Named) -> None:
        for _ in range(room):
            if not self.volumes:
                return
            volume, state = next(iter(self.volumes.items()))
            if now - state.announced_at < ANNOUNCE_INTERVAL_S:
                return
            self._speak_of(now, volume, GossipMessageType.PARTICIPATION, rows, named)

    def _speak_of(self, now: float, volume: int, kind: GossipMessageType, rows: _Rows, named: _Named) -> None:
        """Add a volume to the rows for its registrars; where this gateway is one, register it here."""
        state = self.volumes[volume]
        state.announced_at = now
        self.volumes.move_to_end(volume)
        row = UsageRow(volume, self.gateway_id, self.incarnation, state.used, 0.0)
        for registrar in self.settings.registrars(volume):
            if registrar != self.gateway_id:
                rows.setdefault((registrar, kind), []).append(row)
                continue
            count = self.registry.register(now, row)
            if kind is GossipMessageType.PARTICIPANTS_QUERY and len(count.entries) > 1:
                state.others.merge(
                    entry
                    for entries in count.entries.values()
                    for entry in entries
                    if entry.gateway_id != self.gateway_id
                )
                named[volume] = set(state.others.entries)

    # ------------------------------------------------------------ status

    def interval(self, now: float, volume: int) -> CountInterval | None:
        """Return how many units the fleet has sent of a volume, as far as this gateway knows."""
        state = self.volumes.get(volume)
        if state is None:
            return None
        fleet = GrowOnlyCounter(dict(state.others.entries))  # entries are never changed, only replaced
        fleet.merge([CounterEntry(self.gateway_id, self.incarnation, state.used, now)])
        return fleet.interval(now, state.limit.participants, state.limit.rate, state.limit.burst)


def _participants(named: _Named) -> list[GossipAction]:
    return [VolumeParticipants(volume, tuple(sorted(gateways))) for volume, gateways in named.items()]
