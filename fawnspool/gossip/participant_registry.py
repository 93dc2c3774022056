"""A registrar's side of volumes' participants: which gateways said that they serve a volume, and how much they sent."""

from __future__ import annotations

from collections import OrderedDict
from random import Random

from fawnspool.gossip.grow_only_counter import CounterEntry, GrowOnlyCounter
from fawnspool.gossip.messages import UsageRow
from fawnspool.gossip.settings import MAX_VOLUMES_PER_ROUND

MAX_VOLUMES = 4096  # in each table; those that nothing was heard of for the longest go
MAX_NAMED = 6  # other gateways that one answer names


def usage_row(now: float, volume: int, entry: CounterEntry) -> UsageRow:
    """Return an entry as it is sent."""
    return UsageRow(volume, entry.gateway_id, entry.incarnation, entry.value, now - entry.at)


def counter_entry(now: float, row: UsageRow) -> CounterEntry:
    """Return a received row as it is kept."""
    return CounterEntry(row.gateway_id, row.incarnation, row.units, now - row.age_s)


class ParticipantRegistry:
    """Counts by volume that this gateway keeps for the fleet."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.counts: OrderedDict[int, GrowOnlyCounter] = OrderedDict()
        self._answers = 0  # given in this round

    def register(self, now: float, row: UsageRow) -> GrowOnlyCounter:
        """Note that a gateway serves a volume; return the volume's count."""
        count = self.counts.setdefault(row.volume, GrowOnlyCounter())
        self.counts.move_to_end(row.volume)
        while len(self.counts) > MAX_VOLUMES:
            self.counts.popitem(last=False)
        count.merge([counter_entry(now, row)])
        return count

    def answer(self, now: float, volume: int, asked_by: int, count: GrowOnlyCounter) -> list[UsageRow]:
        """Return some other gateways that serve a volume, drawn; none once this round's answers are given."""
        if self._answers >= MAX_VOLUMES_PER_ROUND:
            return []
        self._answers += 1
        others = [entries[0] for gateway_id, entries in count.entries.items() if gateway_id != asked_by]
        return [usage_row(now, volume, entry) for entry in self.random.sample(others, min(MAX_NAMED, len(others)))]

    def start_round(self) -> None:
        """Let answers be given anew."""
        self._answers = 0
