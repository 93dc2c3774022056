"""A registrar's record of volume participants: the gateways that serve each volume, and the units that they sent."""

from __future__ import annotations

from collections import OrderedDict
from random import Random

from fawnspool.gossip.grow_only_counter import CounterEntry, GrowOnlyCounter
from fawnspool.gossip.messages import UsageRow
from fawnspool.gossip.settings import MAX_VOLUMES_PER_ROUND

MAX_VOLUMES = 4096  # in each table; the least recently updated ones are dropped
MAX_NAMED = 6  # other gateways named in one answer


def usage_row(now: float, volume: int, entry: CounterEntry) -> UsageRow:
    """Return the row in which a counter entry is sent."""
    return UsageRow(volume, entry.gateway_id, entry.incarnation, entry.value, now - entry.at)


def counter_entry(now: float, row: UsageRow) -> CounterEntry:
    """Return the counter entry for a received row."""
    return CounterEntry(row.gateway_id, row.incarnation, row.units, now - row.age_s)


class ParticipantRegistry:
    """Counters of used units, by volume, that this gateway keeps for the fleet."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.counters: OrderedDict[int, GrowOnlyCounter] = OrderedDict()
        self._answer_count = 0  # number of answers given in this round

    def register(self, now: float, row: UsageRow) -> GrowOnlyCounter:
        """Record that a gateway serves a volume; return the volume's counter."""
        counter = self.counters.setdefault(row.volume, GrowOnlyCounter())
        self.counters.move_to_end(row.volume)
        while len(self.counters) > MAX_VOLUMES:
            self.counters.popitem(last=False)
        counter.merge([counter_entry(now, row)])
        return counter

    def answer(self, now: float, volume: int, requester: int, counter: GrowOnlyCounter) -> list[UsageRow]:
        """Return a sample of the other gateways that serve a volume; none once the round's answers are used up."""
        if self._answer_count >= MAX_VOLUMES_PER_ROUND:
            return []
        self._answer_count += 1
        others = [entries[0] for gateway_id, entries in counter.entries.items() if gateway_id != requester]
        return [usage_row(now, volume, entry) for entry in self.random.sample(others, min(MAX_NAMED, len(others)))]

    def start_round(self) -> None:
        """Reset the number of answers given."""
        self._answer_count = 0
