"""What a gateway does with a map that may be stale, and when it asks the map service. No I/O, no clock, seeded.

Two costs are compared, both as seconds that the client loses: a misdirected send (the node's redirect and a second
send), times the probability that the record is stale; and a lookup before the send. The probability comes from what was
observed: how often extents migrated while the gateway was up to date, how long a partition has not been up to date, and
how often sends were misdirected of late. Lookups are bounded for the whole fleet: each gateway has its part of what the
map service can serve, and after an outage the gateways come back spread over a time that their number determines.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from random import Random

from fawnspool.extents.lookup_budget import LookupBudget
from fawnspool.extents.map import ExtentMap, partition_of

MIN_MEASURED_SPAN_S = 1e-6  # a rate over less than this may overflow; clocks do not resolve it either
MIGRATION_RATE_WINDOW_S = 20.0  # over which the rate of migrations is averaged
SMOOTHING_FACTOR = 0.05  # weight of a new observation in a moving average
MAX_SUBMISSIONS = 12  # of one request to an extent that migrates
MAX_LOOKUP_FACTOR = 4  # a lookup before the send may take so many times the usual one
_MAX_REDIRECT_DOUBLINGS = 6
_MAX_BACKOFF_DOUBLINGS = 16


class LookupChoice(Enum):
    """What to do for a request whose extent has a record in the map."""

    USE_RECORD = "use record"  # it is current, as far as is known
    LOOK_UP_CONCURRENTLY = "look up concurrently"  # send, and ask the map service at the same time
    LOOK_UP_FIRST = "look up first"  # a misdirected send would cost more than the lookup


@dataclass(frozen=True)
class StalenessSettings:
    """Settings of `Staleness`.

    Attributes
    ----------
    heartbeat_interval_s
        Seconds between heartbeats of a watch.
    initial_lookup_s, initial_misdirection_s
        Assumed cost of a lookup, and of a misdirected send, until they are measured.
    service_calls_per_s
        Calls a second that the map service can serve from all gateways.
    gateway_count
        Gateways in the fleet.
    min_backoff_s, max_backoff_s
        Pauses after failures.
    max_pending_lookups
        Extents that may be looked up at one time.
    min_lookup_probability
        Probability of being stale from which a concurrent lookup is worth its call.
    """

    heartbeat_interval_s: float = 1.0
    initial_lookup_s: float = 0.005
    initial_misdirection_s: float = 0.02
    service_calls_per_s: float = 200.0
    gateway_count: int = 1
    min_backoff_s: float = 0.2
    max_backoff_s: float = 10.0
    max_pending_lookups: int = 1024
    min_lookup_probability: float = 0.002


@dataclass(frozen=True)
class MigrationObservation:
    """So many of a partition's extents migrated within a span of time."""

    migrations: int
    extents: int
    span_s: float


@dataclass
class PartitionStatus:
    """What is known of one partition; times are monotonic seconds, None for never.

    Attributes
    ----------
    notified_at
        When its watch last gave a delta or a heartbeat.
    complete_at
        Until when it is known to be complete.
    migration_rate
        Migrations per second and extent, smoothed.
    failures
        Calls that failed in a row.
    retry_at
        No call is made before.
    notified_since_start
        Whether this process was notified: until then the rate of migrations is not known.
    """

    notified_at: float | None = None
    complete_at: float | None = None
    migration_rate: float = 0.0
    failures: int = 0
    retry_at: float | None = None
    notified_since_start: bool = False

    def record_success(self) -> None:
        """Note that the map service answered."""
        self.failures = 0
        self.retry_at = None

    def observe_migrations(self, observed: MigrationObservation) -> None:
        """Update the rate of migrations; an observation over a span too short to measure is ignored."""
        if observed.span_s < MIN_MEASURED_SPAN_S or not observed.extents:
            return
        rate = observed.migrations / observed.extents / observed.span_s
        weight = min(1.0, observed.span_s / MIGRATION_RATE_WINDOW_S)
        self.migration_rate += weight * (rate - self.migration_rate)

    def is_current(self, now: float, heartbeat_interval_s: float) -> bool:
        """Was it complete at its last notification, and was that no longer ago than two heartbeats?"""
        if self.notified_at is None or self.complete_at is None:
            return False
        return now - self.notified_at <= 2 * heartbeat_interval_s and self.complete_at >= self.notified_at


class Staleness:
    """Chooses for each request whether to trust the map, and is notified of the results.

    Work per call does not grow with the map, except for `watch_lost`, `restored` and `age_s`, which go through the
    partitions. Times (`now`) are monotonic seconds.

    Parameters
    ----------
    settings
        Costs and bounds.
    partition_count
        Partitions of the map.
    seed
        Seed of the random draws.
    """

    def __init__(self, settings: StalenessSettings, partition_count: int, seed: int) -> None:
        self.settings = settings
        self.seed = seed
        self.random = Random(f"{seed}-stale")
        self.partitions = [PartitionStatus() for _ in range(partition_count)]
        self.budget = LookupBudget(settings.service_calls_per_s, settings.gateway_count)
        self.lookup_s = settings.initial_lookup_s
        self.misdirection_s = settings.initial_misdirection_s
        self.misdirected_fraction = 0.0  # of recent sends
        self.pending_lookups: OrderedDict[tuple[str, str], float] = OrderedDict()
        self.lookups_denied = 0  # by the budget or a pause

    def restarted(self, partition_count: int) -> Staleness:
        """Return a new object for another map, with the same settings and seed."""
        return Staleness(self.settings, partition_count, self.seed)

    # ------------------------------------------------------------ requests

    def stale_probability(self, now: float, partition: int) -> float:
        """Return the probability that a record of a partition is stale, from 0 to 1."""
        status = self.partitions[partition]
        if status.is_current(now, self.settings.heartbeat_interval_s):
            return 0.0
        floor = self.settings.min_lookup_probability
        if status.complete_at is None:
            return 1.0 if status.migration_rate else max(self.misdirected_fraction, floor)
        migrated = 1 - math.exp(-status.migration_rate * (now - status.complete_at))
        if status.notified_since_start:
            return max(migrated, self.misdirected_fraction)
        return max(migrated, self.misdirected_fraction, floor)

    def choose(self, now: float, extent_map: ExtentMap, volume: str, extent: str, remaining_s: float) -> LookupChoice:
        """Choose what to do for a request.

        A lookup never goes first if its answer would come too late for the request, and an extent is not looked up
        twice at a time.

        Parameters
        ----------
        now
            Monotonic time, seconds.
        extent_map
            The map that has the extent's record.
        volume, extent
            The extent.
        remaining_s
            Seconds that the client still waits.
        """
        partition = partition_of(volume, len(extent_map.partitions))
        probability = self.stale_probability(now, partition)
        if probability <= 0 or (volume, extent) in self.pending_lookups:
            return LookupChoice.USE_RECORD
        lookup_first = self._pays_to_look_up_first(probability, remaining_s)
        if not lookup_first and probability < self.settings.min_lookup_probability:
            return LookupChoice.USE_RECORD
        if not self._may_look_up(now, partition):
            self.lookups_denied += 1
            return LookupChoice.USE_RECORD
        self._add_pending_lookup(now, volume, extent)
        return LookupChoice.LOOK_UP_FIRST if lookup_first else LookupChoice.LOOK_UP_CONCURRENTLY

    def _pays_to_look_up_first(self, stale_probability: float, remaining_s: float) -> bool:
        is_cheaper = stale_probability * self.misdirection_s > self.lookup_s
        return is_cheaper and remaining_s > 2 * self.lookup_s + self.misdirection_s

    def _may_look_up(self, now: float, partition: int) -> bool:
        retry_at = self.partitions[partition].retry_at
        if retry_at is not None and now < retry_at:
            return False
        return self.budget.take(now)

    def _add_pending_lookup(self, now: float, volume: str, extent: str) -> None:
        self.pending_lookups[volume, extent] = now
        while len(self.pending_lookups) > self.settings.max_pending_lookups:
            self.pending_lookups.popitem(last=False)

    def lookup_timeout_s(self, remaining_s: float) -> float:
        """Return how long a lookup may take before the send goes without its answer.

        It is a few usual lookups, and leaves the send the time that it needs.
        """
        return max(0.0, min(MAX_LOOKUP_FACTOR * self.lookup_s, remaining_s - self.misdirection_s))

    def record_send(self, found: bool, lost_s: float = 0.0) -> None:
        """Note that a send found its extent, or was redirected after `lost_s` seconds."""
        misdirected = 0.0 if found else 1.0
        self.misdirected_fraction += SMOOTHING_FACTOR * (misdirected - self.misdirected_fraction)
        if not found:
            self.misdirection_s += SMOOTHING_FACTOR * (lost_s - self.misdirection_s)

    def redirect_pause_s(self, submissions: int, redirected: bool, remaining_s: float, once: bool) -> float | None:
        """Return the pause before a request that a node did not serve is submitted again, or None to end it.

        Nothing was done for the request yet. The first redirect is followed at once; after that the pauses grow, as an
        extent between two nodes is activated soon or late. An extent that migrates more often than `MAX_SUBMISSIONS`
        is refused, so that no request goes round for ever.

        Parameters
        ----------
        submissions
            Submissions before the one that was not served.
        redirected
            True if the node named the extent's new shard; False if the extent is about to be activated.
        remaining_s
            Seconds that the client still waits.
        once
            The request can't be sent twice: its body can't be read again, or it is part of an order that those behind
            it could overtake.
        """
        pause_s = 0.0
        if submissions > 0 or not redirected:
            doubled_s = self.lookup_s * 2.0 ** min(submissions, _MAX_REDIRECT_DOUBLINGS)
            pause_s = doubled_s * self.random.uniform(0.5, 1.0)
        if once or submissions + 1 >= MAX_SUBMISSIONS or pause_s >= remaining_s:
            return None
        return pause_s

    # ------------------------------------------------------------ the map service

    def notified(
        self, now: float, partition: int, complete: bool, observed: MigrationObservation | None = None
    ) -> None:
        """Note a delta or a heartbeat of the watch.

        Parameters
        ----------
        now
            Monotonic time, seconds.
        partition
            Partition of the delta.
        complete
            True if no change of the partition is missing.
        observed
            Migrations since the last delta, if it says anything about them.
        """
        status = self.partitions[partition]
        status.notified_at = now
        status.notified_since_start = True
        status.record_success()
        if complete:
            status.complete_at = now
        if observed is not None:
            status.observe_migrations(observed)

    def lookup_answered(self, volume: str, extent: str, duration_s: float) -> None:
        """Note that a lookup was answered after `duration_s` seconds."""
        self.pending_lookups.pop((volume, extent), None)
        self.lookup_s += SMOOTHING_FACTOR * (duration_s - self.lookup_s)

    def lookup_failed(self, now: float, partition: int, volume: str, extent: str) -> float:
        """Note that a lookup failed; return the seconds until the next call for its partition may be made."""
        self.pending_lookups.pop((volume, extent), None)
        return self._call_failed(now, partition)

    def watch_lost(self, now: float) -> float:
        """Note that the watch ended; return the seconds until the next watch, before which nothing is looked up."""
        pause_s = self._call_failed(now, 0)
        first = self.partitions[0]
        for status in self.partitions[1:]:
            status.failures = first.failures
            status.retry_at = first.retry_at
        return pause_s

    def _call_failed(self, now: float, partition: int) -> float:
        """Return a pause with full jitter.

        Gateways that failed together do not come back together, and never at a higher rate than the service can serve.
        """
        status = self.partitions[partition]
        status.failures += 1
        settings = self.settings
        doubled_s = settings.min_backoff_s * 2.0 ** min(status.failures, _MAX_BACKOFF_DOUBLINGS)
        max_s = min(settings.max_backoff_s, doubled_s)
        fleet_s = settings.gateway_count / settings.service_calls_per_s
        pause_s = max(settings.min_backoff_s, fleet_s) + self.random.random() * max(max_s, 2 * fleet_s)
        status.retry_at = now + pause_s
        return pause_s

    def restored(self, now: float, age_s: float) -> None:
        """Note that the map was read from disk, and was complete so many seconds ago."""
        for status in self.partitions:
            status.complete_at = now - age_s

    def reconnect_delay_s(self) -> float:
        """Return the seconds after which this gateway fetches what it missed in an outage.

        They are spread so that all gateways together stay within what the service can serve.
        """
        return float(self.random.random() * self.settings.gateway_count / self.settings.service_calls_per_s)

    def age_s(self, now: float) -> float:
        """Return the seconds since every partition was last known to be complete; infinite if one never was."""
        ages = [math.inf if status.complete_at is None else now - status.complete_at for status in self.partitions]
        return max(ages, default=0.0)
