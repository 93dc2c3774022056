"""A count that only grows (a state-based CRDT), by gateway and incarnation: how much of something the fleet did.

Two states merge to the larger of each entry, and of each gateway the last incarnations stay. Any order of merges,
doubled or partly lost, therefore gives the same; a gateway that restarts without memory begins a new entry and takes
nothing away; and the table does not grow with restarts. What a gateway did since it was last heard is not known, so a
count is read as an interval.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

INCARNATIONS_PER_GATEWAY = 2  # the present one and the one before, whose last messages may come after it
MAX_GATEWAYS = 64  # of one count; beyond it those heard longest ago go, and `at_least` says less


@dataclass(frozen=True, slots=True)
class CounterEntry:
    """What one gateway said of itself.

    Parameters
    ----------
    value
        How much the incarnation did so far.
    at
        When that was true, on the clock of whoever keeps the count.
    """

    gateway_id: int
    incarnation: int
    value: float
    at: float


@dataclass(frozen=True, slots=True)
class CountInterval:
    """Bounds of a count, over each gateway's last incarnations.

    Parameters
    ----------
    at_least
        The sum of what was heard.
    at_most
        If each gateway went on as fast as it may since; infinite where one that takes part was not heard.
    age_s
        Age of the oldest entry, short by the delay of its datagrams.
    heard, unheard
        Gateways that take part and were, and were not, heard.
    """

    at_least: float
    at_most: float
    age_s: float
    heard: int
    unheard: int


@dataclass(slots=True)
class GrowOnlyCounter:
    """A count; entries: by gateway, those of its incarnations from the latest on."""

    entries: dict[int, tuple[CounterEntry, ...]] = field(default_factory=dict)

    def merge(self, news: Iterable[CounterEntry]) -> bool:
        """Merge entries; return whether any said more than was known."""
        said_more = False
        for entry in news:
            said_more |= self._merge_entry(entry)
        while len(self.entries) > MAX_GATEWAYS:
            del self.entries[min(self.entries, key=lambda gateway_id: (self.entries[gateway_id][0].at, gateway_id))]
        return said_more

    def _merge_entry(self, entry: CounterEntry) -> bool:
        by_incarnation = {known.incarnation: known for known in self.entries.get(entry.gateway_id, ())}
        known = by_incarnation.get(entry.incarnation)
        if known is not None and (known.value, known.at) >= (entry.value, entry.at):
            return False
        by_incarnation[entry.incarnation] = entry  # the larger value; of equal ones the later time
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
            Gateways that take part.
        rate, burst
            What one of them may do at most, a second and at once.
        """
        at_least = sum(entry.value for entries in self.entries.values() for entry in entries)
        ages_s = [max(0.0, now - entries[0].at) for entries in self.entries.values()]
        unheard = max(0, participants - len(ages_s))
        at_most = float("inf") if unheard else at_least + sum(burst + rate * age_s for age_s in ages_s if age_s > 0)
        return CountInterval(at_least, at_most, max(ages_s, default=0.0), len(ages_s), unheard)
