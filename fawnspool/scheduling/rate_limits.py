"""Rate limits and reserves of volumes: one token bucket per volume, and transfers of its units between gateways.

Each gateway has an even part of a volume's rate limit, and gateways that lack units request them from others. A lender
deducts the units before it sends the grant, and for the length of the transfer window its part of the bucket holds at
most its even share of the depth less the units it lent. A grant that arrives after the window is ignored. So all
gateways together stay within the limit even if messages are lost or late.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from itertools import islice
from random import Random

from fawnspool.scheduling.fair_queue import IDLE_VOLUME_S
from fawnspool.scheduling.interface import (
    Outcome,
    PeerMessage,
    Plan,
    Result,
    SendPeerMessage,
    Settings,
    VolumeParticipants,
)
from fawnspool.scheduling.pending_request import PendingRequest
from fawnspool.scheduling.transfer_messages import TransferKind, TransferMessage, clock_ms

BROADCAST_INTERVAL_S = 1.0  # between two broadcast requests for units of one volume
TRANSFER_VALIDITY_FRACTION = 0.95  # part of the transfer window for which a grant is valid, as clock rates differ
LENDERS_ASKED = 2  # gateways that are asked for units at the same time
MIN_GRANT_UNITS = 1.0
MAX_VOLUMES = 4096  # number of volumes remembered, even if none is idle, unless the caller sets another
NEWCOMERS_DIVISOR = 4  # of these, the part for volumes that have sent one request only
MIN_METERED_UNITS_PER_S = 1e-9  # avoids a division by 0


@dataclass(slots=True, eq=False)
class RateLimiter:
    """A gateway's state of one volume across all nodes, in units and seconds.

    Attributes
    ----------
    tokens : float
        This gateway's part of the rate limit. It starts empty, as an earlier incarnation of this
        gateway may have drawn the units.
    reserve_units : float
        This gateway's part of the reserve.
    queued_units : float
        Units of the requests queued here that have not been drawn from the limit yet.
    served_units_per_s : float
        Smoothed rate of the units served through this gateway, as of `served_at`.
    requested_at : float
        When units were last requested from other gateways.
    lenders : set of int
        Gateways to request units from.
    participants_known : bool
        The gateways that serve the volume have been reported.
    granted : deque of tuple
        Times and units of the grants that may still be on their way.
    usage_share : float
        Part of the volume's use that goes through this gateway.
    usage : float
        The volume's use through all gateways as last metered, as a share of its plan's rate.
    """

    plan: Plan
    gateway_count: int
    tokens: float = 0.0
    refilled_at: float = 0.0
    reserve_units: float = 0.0
    queued_units: float = 0.0
    served_units_per_s: float = 0.0
    served_at: float = 0.0
    requested_at: float = 0.0
    lenders: set[int] = field(default_factory=set)
    participants_known: bool = False
    granted: deque[tuple[float, float]] = field(default_factory=deque)
    usage_share: float = 0.0
    usage: float = 0.0

    def refill(self, now: float, transfer_window_s: float, largest_units: float) -> None:
        """Add the units that accrued since the last refill to this gateway's parts of the limit and the reserve.

        Parameters
        ----------
        now : float
            Seconds on the caller's clock.
        transfer_window_s : float
            How long granted units may be on their way.
        largest_units : float
            Units of the largest request: a reserve holds this much more than one second of its rate.
        """
        plan, elapsed_s = self.plan, now - self.refilled_at
        while self.granted and self.granted[0][0] <= now - transfer_window_s:
            self.granted.popleft()
        depth = plan.rate_limit_burst - sum(units for _, units in self.granted) * self.gateway_count
        total_tokens = min(depth, self.tokens * self.gateway_count + elapsed_s * plan.rate_limit)
        self.tokens = total_tokens / self.gateway_count
        reserved_rate = max(self.usage_share, 1 / self.gateway_count) * plan.reserved_rate
        reserve_depth = reserved_rate + largest_units / self.gateway_count
        self.reserve_units = min(reserve_depth, self.reserve_units + elapsed_s * reserved_rate)
        self.refilled_at = now

    def record_queued(self, units: float) -> None:
        """Count queued units that have not been drawn from the limit yet."""
        self.queued_units += units

    def record_unqueued(self, units: float) -> None:
        """Count units as no longer queued."""
        self.queued_units -= units

    def draw(self, units: float) -> None:
        """Draw units from the limit, for a first attempt."""
        self.tokens -= units

    def draw_reserve(self, units: float) -> bool:
        """Draw units from the reserve if it holds any; the reserve may become negative."""
        has_units = self.reserve_units > 0
        if has_units:
            self.reserve_units -= units
        return has_units

    def return_reserve(self, units: float) -> None:
        """Give back to the reserve the units of a request that was never sent."""
        self.reserve_units += units


@dataclass(frozen=True, slots=True)
class TransferResult:
    """The result of a transfer message: the reply, and the volume that was credited, if any."""

    reply: SendPeerMessage | None = None
    credited_volume: int | None = None


class RateLimits:
    """The rate limiters of all volumes used recently.

    Attributes
    ----------
    recorded_since : float
        Time since which this gateway's record is complete: its first event, or later if a volume was forgotten.
    max_volumes : int
        Number of volumes remembered, even if none is idle.
    """

    def __init__(self, settings: Settings, least_objective_s: float, check_interval_s: float, random: Random) -> None:
        self._settings = settings
        self.max_volumes = MAX_VOLUMES
        self._newcomers: OrderedDict[int, None] = OrderedDict()  # volumes that have sent one request; oldest first
        self._transfer_window_s = least_objective_s
        self._check_interval_s = check_interval_s
        self._random = random
        self.limiters: OrderedDict[int, RateLimiter] = OrderedDict()
        self.recorded_since = 0.0

    def record_request(self, pending: PendingRequest, now: float) -> RateLimiter:
        """Return the limiter of the volume of a request that has just arrived, see `limiter`.

        Volumes that never come again must not push out those that do, so a volume is a newcomer until its second
        request, and newcomers push out each other.
        """
        volume_id = pending.request.volume
        if volume_id in self.limiters:
            self._newcomers.pop(volume_id, None)
            return self.limiter(pending, now)
        limiter = self.limiter(pending, now)
        self._newcomers[volume_id] = None
        self._forget_surplus_newcomers()
        return limiter

    def _forget_surplus_newcomers(self) -> None:
        """Forget the oldest newcomers beyond their part, except for those that have requests queued."""
        surplus = len(self._newcomers) - max(1, self.max_volumes // NEWCOMERS_DIVISOR)
        for volume_id in list(islice(self._newcomers, max(0, surplus))):
            if self.limiters[volume_id].queued_units <= 0:
                self._forget(volume_id)

    def _forget(self, volume_id: int) -> None:
        forgotten = self.limiters.pop(volume_id)
        self._newcomers.pop(volume_id, None)
        self.recorded_since = max(self.recorded_since, forgotten.refilled_at)

    def limiter(self, pending: PendingRequest, now: float) -> RateLimiter:
        """Return the volume's limiter, refilled; it is created at the volume's first request.

        Units accrue from `recorded_since` on, as an earlier incarnation may have drawn those accrued before.
        """
        volume_id, gateway_count = pending.request.volume, pending.request.gateway_count
        limiter = self.limiters.get(volume_id)
        if limiter is None:
            limiter = RateLimiter(pending.plan, max(1, gateway_count), refilled_at=self.recorded_since, served_at=now)
            burst_units = self._settings.largest_units + pending.plan.reserved_rate
            limiter.reserve_units = burst_units / limiter.gateway_count
            self.limiters[volume_id] = limiter
        self.limiters.move_to_end(volume_id)
        limiter.gateway_count = max(limiter.gateway_count, gateway_count)
        self.refill(limiter, now)
        return limiter

    def refill(self, limiter: RateLimiter, now: float) -> None:
        """Add the units that accrued to this gateway's parts of a volume's rate limit and reserve."""
        limiter.refill(now, self._transfer_window_s, self._settings.largest_units)

    def request_units(self, volume_id: int, limiter: RateLimiter, now: float) -> list[SendPeerMessage]:
        """Request units that other gateways do not use, as many as the bucket can hold.

        Up to LENDERS_ASKED gateways that lent before are asked; they count as lenders again once they lend. If none
        is left, all gateways are asked, but rarely: in a large fleet a broadcast costs more than the units are worth.
        """
        deficit_units = limiter.queued_units - limiter.tokens + limiter.served_units_per_s * self._transfer_window_s
        interval_s = self._check_interval_s / 2 if limiter.lenders else BROADCAST_INTERVAL_S
        may_request = self._settings.has_peer_messages and limiter.plan.rate_limit and limiter.gateway_count > 1
        if not (may_request and deficit_units > 0 and now >= limiter.requested_at + interval_s):
            return []
        limiter.requested_at = now
        headroom_units = limiter.plan.rate_limit_burst / limiter.gateway_count - limiter.tokens
        units = max(deficit_units, headroom_units)
        body = TransferMessage(TransferKind.REQUEST, volume_id, units, clock_ms(now)).encode()
        chosen_lenders = self._random.sample(sorted(limiter.lenders), min(LENDERS_ASKED, len(limiter.lenders)))
        if not chosen_lenders:
            return [SendPeerMessage(None, body)]
        limiter.lenders -= set(chosen_lenders)
        return [SendPeerMessage(gateway_id, body) for gateway_id in chosen_lenders]

    def handle_message(self, event: PeerMessage, now: float) -> TransferResult:
        """Handle a message from another gateway; a malformed one, or one that does not fit the volume, is ignored."""
        message = TransferMessage.decode(event.body)
        limiter = self.limiters.get(message.volume) if message else None
        if message is None or limiter is None or not 0 < message.units <= limiter.plan.rate_limit_burst:
            return TransferResult()
        self.refill(limiter, now)
        if message.kind == TransferKind.REQUEST:
            return TransferResult(reply=self._grant(event.sender, message, limiter, now))
        if message.kind == TransferKind.GRANT and self._accept(event.sender, message, limiter, now):
            return TransferResult(credited_volume=message.volume)
        return TransferResult()

    def _grant(
        self, borrower: int, message: TransferMessage, limiter: RateLimiter, now: float
    ) -> SendPeerMessage | None:
        """Lend half of the units that this gateway does not need before other gateways could lend it more."""
        lead_time_s = self._check_interval_s if limiter.participants_known else self._transfer_window_s
        spare_units = limiter.tokens - limiter.queued_units - limiter.served_units_per_s * lead_time_s
        has_spare = spare_units >= MIN_GRANT_UNITS
        if not has_spare:
            return None
        units = min(message.units, max(MIN_GRANT_UNITS, spare_units / 2))
        limiter.tokens -= units
        limiter.granted.append((now, units))
        grant = TransferMessage(TransferKind.GRANT, message.volume, units, message.requested_at_ms)
        return SendPeerMessage(borrower, grant.encode())

    def _accept(self, lender: int, message: TransferMessage, limiter: RateLimiter, now: float) -> bool:
        """Credit granted units, unless they arrive so late that the lender may have refilled them."""
        if message.age_ms(now) >= self._transfer_window_s * 1000 * TRANSFER_VALIDITY_FRACTION:
            return False
        limiter.lenders.add(lender)
        limiter.tokens += message.units
        self.refill(limiter, now)
        return True

    def record_participants(self, event: VolumeParticipants) -> None:
        """Record the gateways that serve a volume as those to request units from."""
        limiter = self.limiters.get(event.volume)
        if limiter is not None:
            limiter.participants_known = True
            limiter.lenders = limiter.lenders | set(event.gateways) - {self._settings.gateway_id}

    def record_outcome(self, pending: PendingRequest, outcome: Outcome, now: float) -> None:
        """Record the volume's metered use and its use through this gateway; both set this gateway's reserve."""
        limiter = self.limiter(pending, now)
        if outcome.result is Result.SERVED:
            averaging_window_s = max(self._settings.meter_period_s, self._transfer_window_s)
            kept_fraction = max(0.0, 1 - (now - limiter.served_at) / averaging_window_s)
            limiter.served_units_per_s = (
                limiter.served_units_per_s * kept_fraction + pending.request.units / averaging_window_s
            )
            limiter.served_at = now
        if outcome.volume_usage is not None:
            limiter.usage = outcome.volume_usage
            metered_units_per_s = max(outcome.volume_usage * pending.plan.rate, MIN_METERED_UNITS_PER_S)
            limiter.usage_share = min(1.0, limiter.served_units_per_s / metered_units_per_s)

    def forget_idle_volumes(self, now: float) -> None:
        """Drop idle volumes, and the least recently used ones beyond `max_volumes`.

        A bucket that is created again starts empty, so the limit still holds.
        """
        while self.limiters:
            volume_id, oldest = next(iter(self.limiters.items()))
            is_idle = oldest.refilled_at < now - IDLE_VOLUME_S
            if len(self.limiters) <= self.max_volumes and not is_idle:
                break
            self._forget(volume_id)
