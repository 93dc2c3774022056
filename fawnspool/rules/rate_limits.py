"""The rule "limits kept": over the fleet, a volume gets no more units than its rate limit allows."""

from __future__ import annotations

from dataclasses import dataclass

from fawnspool.rules.findings import RuleCheck
from fawnspool.rules.terms import RuleTerms, VolumeLimit


@dataclass
class VolumeBucket:
    """Token bucket of a volume: units left at a time; below 0 what exceeds the limit."""

    limit: VolumeLimit
    units: float
    time: float

    def refill(self, time: float) -> None:
        """Add what the rate gives until `time`."""
        self.units = min(self.limit.burst, self.units + (time - self.time) * self.limit.rate)
        self.time = time

    def take(self, units: float) -> None:
        """Take units, more than are left if need be."""
        self.units -= units


def check_limits_kept(check: RuleCheck, terms: RuleTerms, allowance_s: float) -> None:
    """Check the units that arrived at nodes; further attempts of a request do not count."""
    buckets: dict[str, VolumeBucket] = {}
    counted: set[tuple[int, int]] = set()
    for arrival in check.history.arrivals:
        limit = terms.limits.get(arrival.volume)
        request = (arrival.gateway, arrival.request_id)
        if limit is None or request in counted:
            continue
        counted.add(request)
        check.add_examined()
        bucket = buckets.setdefault(arrival.volume, VolumeBucket(limit, limit.burst, arrival.time))
        bucket.refill(arrival.time)
        bucket.take(arrival.units)
        allowed = limit.slack + limit.rate * allowance_s  # arrivals may bunch by as much as the noise
        check.add_closeness((limit.burst - bucket.units) / (limit.burst + allowed))
        if bucket.units < -allowed:
            text = f"{-bucket.units:.1f} units beyond its limit, {allowed:.1f} allowed"
            check.add_breach(arrival.time, f"volume {arrival.volume}: {text}")
