"""A grow-only counter (a state-based CRDT) with an entry for each gateway and incarnation, summed over the fleet.

Merging two states keeps the larger of each entry, and only the latest incarnations of each gateway. The result
therefore doesn't depend on the order of merges or on repeated merges; a gateway that restarts without memory begins a
new entry and subtracts nothing; and the table doesn't grow with restarts. What a gateway did since it was last heard is
unknown, so a count is read as an interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

INCARNATIONS_PER_GATEWAY = 2  # the current one and the previous one, whose last messages may arrive late
MAX_GATEWAYS = 64  # of one counter; beyond it the gateways heard longest ago are dropped, which lowers `at_least`


@dataclass(frozen=True, slots=True)
class CounterEntry:
    """The count that one incarnation of a gateway reported about itself.

    Parameters
    ----------
    value
        The incarnation's count so far.
    at
        Time of that count, on the clock of the gateway that keeps the entry.
    """

    gateway_id: int
    incarnation: int
    value: float
    at: float


@dataclass(frozen=True, slots=True)
class CountInterval:
    """Bounds of the fleet's count, over the latest incarnations of each gateway.

    Parameters
    ----------
    at_least
        Sum of the entries.
    at_most
        Sum if each gateway has counted at its highest rate since its entry; infinite if a participant is unheard.
    age_s
        Age of the oldest entry, not counting the delay of the datagrams that carried it.
    heard, unheard
        Number of participants with an entry, and without one.
    """

    at_least: float
    at_most: float
    age_s: float
    heard: int
    unheard: int


@dataclass(slots=True)
class GrowOnlyCounter:
    """The counter; `entries` holds each gateway's entries by gateway number, the latest incarnation first."""

    entries: dict[int, tuple[CounterEntry, ...]] = field(default_factory=dict)

    def merge(self, received: Iterable[CounterEntry]) -> bool:
        """Merge entries; return whether any of them changed the counter."""
        has_changed_any = False
        for entry in received:
            has_changed_any |= self._merge_entry(entry)
        while len(self.entries) > MAX_GATEWAYS:
            del self.entries[min(self.entries, key=lambda gateway_id: (self.entries[gateway_id][0].at, gateway_id))]
        return has_changed_any

    def _merge_entry(self, entry: CounterEntry) -> bool:
        by_incarnation = {known.incarnation: known for known in self.entries.get(entry.gateway_id, ())}
        known = by_incarnation.get(entry.incarnation)
        if known is not None and (known.value, known.at) >= (entry.value, entry.at):
            return False
        by_incarnation[entry.incarnation] = entry  # the larger value, or the later time for equal values
        latest_first = sorted(by_incarnation.values(), key=lambda known: -known.incarnation)
        kept = tuple(latest_first[:INCARNATIONS_PER_GATEWAY])
        has_changed = kept != self.entries.get(entry.gateway_id)
        self.entries[entry.gateway_id] = kept
        return has_changed

    def interval(self, now: float, participants: int, rate: float, burst: float) -> CountInterval:
        """Return the bounds of the count.

        Parameters
        ----------
        now
            Time in seconds on the clock of the entries.
        participants
            Number of participating gateways.
        rate, burst
            The most that one gateway may count per second, and at once.
        """
        at_least = sum(entry.value for entries in self.entries.values() for entry in entries)
        ages_s = [max(0.0, now - entries[0].at) for entries in self.entries.values()]
        unheard = max(0, participants - len(ages_s))
        at_most = float("inf") if unheard else at_least + sum(burst + rate * age_s for age_s in ages_s if age_s > 0)
        return CountInterval(at_least, at_most, max(ages_s, default=0.0), len(ages_s), unheard)
