"""Slow start: the rate at which this gateway may send to a node that may just have started."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fawnspool.scheduling.interface import Settings


@dataclass(slots=True)
class SlowStart:
    """The send credit of one node, which limits sends while the node may be warming up.

    Each served request returns its units to the credit, so sends follow the node's throughput. In addition the credit
    grows at a part of the rate that this gateway had served there before. All gateways together had served at most
    what the node can serve when warm, so the sum of their rates stays within the overload multiple of its present
    capacity.

    Attributes
    ----------
    started_at : float or None
        Latest time at which the node may have started cold; None: the node is warm.
    is_start_assumed : bool
        The start is assumed, as no endpoint list reports it: a cached list does not prove a node's age.
    served_units : float
        Units served since this gateway's start.
    credit_units : float
        The next request may be sent while this is 0 or more.
    credited_at : float
        When the credit last grew.
    """

    started_at: float | None = None
    is_start_assumed: bool = False
    served_units: float = 0.0
    credit_units: float = 0.0
    credited_at: float = 0.0

    def assume_restarted(self, now: float) -> None:
        """Assume a restart now: the node may have restarted while unreachable, unnoticed by the endpoint list."""
        if self.started_at is None:
            self.started_at = now

    def assume_warm(self) -> None:
        """Treat the node as warm: another node serves the shard now, and the endpoint list reports its start."""
        self.started_at = None

    def record_listed_start(
        self, listed_at: float, now: float, is_cached: bool, supersedes: bool, settings: Settings
    ) -> None:
        """Record the node's start as an endpoint list reports it.

        Parameters
        ----------
        listed_at : float
            The listed start; 0: long ago.
        now : float
            Seconds on the caller's clock.
        is_cached : bool
            The list is a cached one, which does not prove the node's age.
        supersedes : bool
            The list replaces an assumed start; it does not if the node failed after the listed start.
        settings : Settings
            The settings that state how long a node takes to warm up.
        """
        started_recently = listed_at > 0 and now - listed_at < settings.warm_up_s + settings.overload_window_s
        self.is_start_assumed = is_cached and not started_recently
        if self.is_start_assumed:
            self.started_at = now
        elif supersedes or self.started_at is None:
            self.started_at = min(listed_at, now) if started_recently else None

    def record_send(self, units: float) -> None:
        """Draw the units of a request."""
        self.credit_units -= units

    def record_served(self, units: float) -> None:
        """Return units to the credit: the node can serve again what it has just served."""
        self.served_units += units
        self.credit_units += units

    def may_send(self, now: float, gateway_started_at: float, settings: Settings, random: Random) -> bool:
        """Return whether one more request may be sent, after growing the credit up to now.

        The credit grows at the rate that this gateway had served, times the warm part of the node's capacity, times
        half of the overload multiple's margin above 1; the other half is kept for random variation. A gateway that
        started after the node gets at least an even share of half of what a cold node can always serve. Initial
        credits are random so that the gateways do not begin at the same time; if the start is assumed, one request
        may be sent at once.

        Parameters
        ----------
        now : float
            Seconds on the caller's clock.
        gateway_started_at : float
            Time from which this gateway counts the units it served.
        settings : Settings
            The settings that state the load a cold node can serve.
        random : Random
            Generator of the initial credit.
        """
        if self.started_at is None:
            return True
        age_s = now - self.started_at - settings.overload_window_s
        if age_s >= settings.warm_up_s:
            self.started_at = None
            return True
        if self.credited_at < self.started_at - settings.overload_window_s:
            self.credited_at = self.started_at - settings.overload_window_s
            jitter = random.random()
            self.credit_units = 0.0 if self.is_start_assumed else -settings.mean_units * jitter
        growth_units_per_s = self._growth_units_per_s(age_s, self.started_at, gateway_started_at, settings)
        self.credit_units = min(0.0, self.credit_units + growth_units_per_s * (now - self.credited_at))
        self.credited_at = now
        return self.credit_units >= 0

    def _growth_units_per_s(
        self, age_s: float, started_at: float, gateway_started_at: float, settings: Settings
    ) -> float:
        usual_units_per_s = self.served_units / max(started_at - gateway_started_at, settings.warm_up_s)
        cold_fraction = settings.initial_capacity_fraction
        warm_fraction = cold_fraction + (1 - cold_fraction) * max(0.0, age_s) / settings.warm_up_s
        even_share_units_per_s = settings.slow_start_units / 2 / settings.overload_window_s / settings.gateway_count
        guaranteed_units_per_s = even_share_units_per_s if gateway_started_at > started_at else 0.0
        return max((settings.overload_multiple - 1) / 2 * warm_fraction * usual_units_per_s, guaranteed_units_per_s)
