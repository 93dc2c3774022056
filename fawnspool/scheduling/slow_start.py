"""Slow start: what this gateway may send a node that may just have started."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fawnspool.scheduling.interface import Settings


@dataclass(slots=True)
class SlowStart:
    """The credit of one node.

    An answer gives its units back, so sends follow what the node does. Beyond that the credit grows by a part of what
    this gateway had served there; what all gateways had served is at most what such a node bore, so their sum stays
    within the settings' overload multiple of the node's present power.

    Attributes
    ----------
    started_at : float or None
        Latest time at which the node may have started cold; None: it is warm.
    is_start_assumed : bool
        No endpoint list tells of that start: a cached one proves no age.
    served_units : float
        Since this gateway's start.
    credit_units : float
        At 0 or more the next request may go.
    credited_at : float
        When the credit last grew.
    """

    started_at: float | None = None
    is_start_assumed: bool = False
    served_units: float = 0.0
    credit_units: float = 0.0
    credited_at: float = 0.0

    def assume_restarted(self, now: float) -> None:
        """The node may have restarted while it was away, unseen by the endpoint list."""
        if self.started_at is None:
            self.started_at = now

    def assume_warm(self) -> None:
        """Another node serves the shard; the endpoint list tells of its start."""
        self.started_at = None

    def record_listed_start(
        self, listed_at: float, now: float, is_cached: bool, supersedes: bool, settings: Settings
    ) -> None:
        """Take in what an endpoint list tells of the node's start.

        Parameters
        ----------
        listed_at : float
            The start as listed; 0: long ago.
        now : float
            Seconds on the caller's clock.
        is_cached : bool
            The list is a cached one: it proves no age.
        supersedes : bool
            The list settles what was assumed; not where the node was away after the listed start.
        settings : Settings
            How long a node takes to warm up.
        """
        is_young = listed_at > 0 and now - listed_at < settings.warm_up_s + settings.overload_window_s
        self.is_start_assumed = is_cached and not is_young
        if self.is_start_assumed:
            self.started_at = now
        elif supersedes or self.started_at is None:
            self.started_at = min(listed_at, now) if is_young else None

    def record_send(self, units: float) -> None:
        """Draw the units of a request."""
        self.credit_units -= units

    def record_served(self, units: float) -> None:
        """Give units back: what the node served it can bear again."""
        self.served_units += units
        self.credit_units += units

    def may_send(self, now: float, gateway_started_at: float, settings: Settings, random: Random) -> bool:
        """Return whether one more request may go, letting the credit grow first.

        Of what this gateway had served, the part that is warm counts, times half of what the multiple leaves above
        one; the other half is for chance. A gateway that is younger than the node has its even part of half of what
        such a node surely bears. Credits begin at drawn points, so that gateways don't begin together; where no list
        tells of the start, with one request at once.

        Parameters
        ----------
        now : float
            Seconds on the caller's clock.
        gateway_started_at : float
            From when on this gateway counts what it served.
        settings : Settings
            What a node that starts cold bears.
        random : Random
            Draws the point at which the credit begins.
        """
        if self.started_at is None:
            return True
        age_s = now - self.started_at - settings.overload_window_s
        if age_s >= settings.warm_up_s:
            self.started_at = None
            return True
        if self.credited_at < self.started_at - settings.overload_window_s:
            self.credited_at = self.started_at - settings.overload_window_s
            drawn = random.random()
            self.credit_units = 0.0 if self.is_start_assumed else -settings.mean_units * drawn
        growth_units_per_s = self._growth_units_per_s(age_s, self.started_at, gateway_started_at, settings)
        self.credit_units = min(0.0, self.credit_units + growth_units_per_s * (now - self.credited_at))
        self.credited_at = now
        return self.credit_units >= 0

    def _growth_units_per_s(
        self, age_s: float, started_at: float, gateway_started_at: float, settings: Settings
    ) -> float:
        usual_units_per_s = self.served_units / max(started_at - gateway_started_at, settings.warm_up_s)
        cold = settings.initial_capacity_fraction
        warm_fraction = cold + (1 - cold) * max(0.0, age_s) / settings.warm_up_s
        even_part = settings.slow_start_units / 2 / settings.overload_window_s / settings.gateway_count
        sure_units_per_s = even_part if gateway_started_at > started_at else 0.0
        return max((settings.overload_multiple - 1) / 2 * warm_fraction * usual_units_per_s, sure_units_per_s)
