"""Volume participants: each gateway reports the volumes that it serves, and its use of them, to registrars.

A volume's registrars are the gateways that keep the list of its participants. When a gateway lacks units of a limit
that other gateways may have, it queries the registrars for the other participants. Nothing is granted here: after a
lost, late, duplicate or wrong message, a gateway only asks the wrong gateways for units for a while.
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

ANNOUNCE_INTERVAL_S = 8.0  # between two announcements of a volume; longer if the rounds can't carry all volumes in it
DEMAND_SMOOTHING_S = 0.5  # time constant of the average: short enough to show a surge, and a single request is none
QUERY_INTERVAL_S = 2.0  # between two queries about a volume that lacks units
FIRST_QUERY_INTERVAL_S = QUERY_INTERVAL_S / 8  # between two such queries while no other participant is known
LACKING_S = 1.0  # how long a volume counts as lacking units after its demand last exceeded this gateway's equal part
INCARNATION_MASK = 0xFFFFFFFF
NEVER = float("-inf")

_Rows = dict[tuple[int, GossipMessageType], list[UsageRow]]  # by registrar and type
_Participants = dict[int, set[int]]  # other gateways that serve a volume, by volume


@dataclass(frozen=True, slots=True)
class VolumeLimit:
    """Limit of a volume over the whole fleet.

    Parameters
    ----------
    participants
        Number of gateways that share the limit.
    rate, burst
        Units per second, and at once.
    """

    participants: int
    rate: float
    burst: float


@dataclass(slots=True)
class _Volume:
    """A volume that this gateway serves.

    `used`: units served in this incarnation; `demand`: smoothed requested units per second, as of `demand_at`.
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
        """Record requested units; return whether the demand exceeds this gateway's equal part of the limit."""
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
    """Volumes that one gateway serves, and its record as a registrar.

    Parameters
    ----------
    incarnation
        Number that rises with each start of the gateway.
    """

    def __init__(self, settings: GossipSettings, gateway_id: int, incarnation: int, seed: int) -> None:
        self.settings = settings
        self.gateway_id = gateway_id
        self.incarnation = incarnation & INCARNATION_MASK
        self.random = Random(f"{seed}-{incarnation}-takers")
        self.volumes: OrderedDict[int, _Volume] = OrderedDict()  # least recently announced first
        self.registry = ParticipantRegistry(self.random)
        self._lacking_volumes: OrderedDict[int, None] = OrderedDict()

    def record_demand(self, now: float, volume: int, limit: VolumeLimit, units: float) -> None:
        """Record requested units of a volume at this gateway."""
        state = self._volume(volume, limit)
        if state.record_demand(now, units):
            self._lacking_volumes[volume] = None

    def record_used(self, volume: int, units: float) -> None:
        """Record served units of a volume."""
        state = self.volumes.get(volume)
        if state is not None:
            state.used += units

    def _volume(self, volume: int, limit: VolumeLimit) -> _Volume:
        state = self.volumes.get(volume)
        if state is None:
            while len(self.volumes) >= MAX_VOLUMES:
                dropped, _ = self.volumes.popitem(last=False)
                self._lacking_volumes.pop(dropped, None)
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
            counter = self.registry.register(now, row)
            if message.type is GossipMessageType.PARTICIPANTS_QUERY:
                answers += self.registry.answer(now, row.volume, sender, counter)
        return self._send(sender, GossipMessageType.PARTICIPANTS, answers)

    def _learn_participants(self, now: float, message: GossipMessage) -> list[GossipAction]:
        participants_by_volume: _Participants = {}
        for row in message.rows:
            if not isinstance(row, UsageRow) or not self._is_other(row.gateway_id) or row.volume not in self.volumes:
                continue
            others = self.volumes[row.volume].others
            others.merge([counter_entry(now, row)])
            participants_by_volume[row.volume] = set(others.entries)
        return _participant_events(participants_by_volume)

    def _is_other(self, gateway_id: int) -> bool:
        return gateway_id != self.gateway_id and gateway_id < self.settings.gateway_count

    def _send(self, recipient: int, message_type: GossipMessageType, rows: list[UsageRow]) -> list[GossipAction]:
        size = max_rows(message_type)
        return [
            SendGossip(
                recipient, GossipMessage(message_type, self.settings.fingerprint, tuple(rows[start : start + size]))
            )
            for start in range(0, len(rows), size)
        ]

    # ------------------------------------------------------------ time

    def run_round(self, now: float) -> list[GossipAction]:
        """Query for volumes that lack units, then announce the least recently announced ones, up to a round's limit."""
        rows: _Rows = {}
        participants_by_volume: _Participants = {}
        self.registry.start_round()
        queries = self._add_queries(now, rows, participants_by_volume)
        self._add_announcements(now, MAX_VOLUMES_PER_ROUND - queries, rows, participants_by_volume)
        actions = _participant_events(participants_by_volume)
        for (registrar, message_type), volume_rows in rows.items():
            actions += self._send(registrar, message_type, volume_rows)
        return actions

    def _add_queries(self, now: float, rows: _Rows, participants_by_volume: _Participants) -> int:
        """Add queries about volumes that lack units, up to half of the round's limit; return how many."""
        self._lacking_volumes = OrderedDict(
            (volume, None) for volume in self._lacking_volumes if now - self.volumes[volume].lacked_at < LACKING_S
        )
        queries = 0
        for volume in list(self._lacking_volumes):
            state = self.volumes[volume]
            if state.others.entries:
                # Tell the scheduler again, as it forgets participants that had no units to lend.
                participants_by_volume[volume] = set(state.others.entries)
            if queries < MAX_VOLUMES_PER_ROUND // 2 and state.is_query_due(now):
                self._lacking_volumes.move_to_end(volume)
                state.queried_at = now
                self._add_rows(now, volume, GossipMessageType.PARTICIPANTS_QUERY, rows, participants_by_volume)
                queries += 1
        return queries

    def _add_announcements(
        self, now: float, max_announcements: int, rows: _Rows, participants_by_volume: _Participants
    ) -> None:
        for _ in range(max_announcements):
            if not self.volumes:
                return
            volume, state = next(iter(self.volumes.items()))
            if now - state.announced_at < ANNOUNCE_INTERVAL_S:
                return
            self._add_rows(now, volume, GossipMessageType.PARTICIPATION, rows, participants_by_volume)

    def _add_rows(
        self,
        now: float,
        volume: int,
        message_type: GossipMessageType,
        rows: _Rows,
        participants_by_volume: _Participants,
    ) -> None:
        """Add a volume to the rows for its registrars; if this gateway is one of them, register the volume here."""
        state = self.volumes[volume]
        state.announced_at = now
        self.volumes.move_to_end(volume)
        row = UsageRow(volume, self.gateway_id, self.incarnation, state.used, 0.0)
        for registrar in self.settings.registrars(volume):
            if registrar != self.gateway_id:
                rows.setdefault((registrar, message_type), []).append(row)
                continue
            counter = self.registry.register(now, row)
            if message_type is GossipMessageType.PARTICIPANTS_QUERY and len(counter.entries) > 1:
                state.others.merge(
                    entry
                    for entries in counter.entries.values()
                    for entry in entries
                    if entry.gateway_id != self.gateway_id
                )
                participants_by_volume[volume] = set(state.others.entries)

    # ------------------------------------------------------------ status

    def interval(self, now: float, volume: int) -> CountInterval | None:
        """Return bounds of the units of a volume that the fleet has sent, or None for an unknown volume."""
        state = self.volumes.get(volume)
        if state is None:
            return None
        fleet = GrowOnlyCounter(dict(state.others.entries))  # entries are never changed, only replaced
        fleet.merge([CounterEntry(self.gateway_id, self.incarnation, state.used, now)])
        return fleet.interval(now, state.limit.participants, state.limit.rate, state.limit.burst)


def _participant_events(participants_by_volume: _Participants) -> list[GossipAction]:
    return [VolumeParticipants(volume, tuple(sorted(gateways))) for volume, gateways in participants_by_volume.items()]
