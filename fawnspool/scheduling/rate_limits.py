"""Rate limits and reserves of volumes: a token bucket a volume, and transfers of its units between gateways.

Each gateway has an even part of a volume's limit, and those that lack units ask others for theirs. A lender takes
units off before it tells, no part passes its even depth less what it lent lately, and units that come later than that
don't count: so all gateways together stay within the limit whatever is lost or late.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
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

BROADCAST_INTERVAL_S = 1.0  # between two requests for one volume's units to every gateway
TRANSFER_VALIDITY_FRACTION = 0.95  # of the time that a lender counts units as on their way: clocks' rates differ
LENDERS_ASKED = 2
MIN_GRANT_UNITS = 1.0
MAX_VOLUMES = 4096  # remembered, whatever comes
MIN_METERED_UNITS_PER_S = 1e-9


@dataclass(slots=True, eq=False)
class RateLimiter:
    """What a gateway knows of one volume over all nodes. Units and seconds.

    Attributes
    ----------
    tokens : float
        Of the limit: this gateway's part. It starts empty, as an earlier life may have drawn it.
    reserve_units : float
        Of the reserve: this gateway's part.
    queued_units : float
        Queued here, and not drawn from the limit yet.
    served_units_per_s : float
        Served here, smoothed, as of `served_at`.
    requested_at : float
        When other gateways were last asked for units.
    lenders : set of int
        Gateways to ask.
    participants_known : bool
        It is told which gateways serve the volume.
    granted : deque of tuple
        When, and how many units were lent that may still be on their way.
    usage_share : float
        Part of the volume's use that came through this gateway.
    usage : float
        The volume's whole use as last metered, as a share of its plan's rate.
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
        """Let time fill the parts of the limit and of the reserve.

        Parameters
        ----------
        now : float
            Seconds on the caller's clock.
        transfer_window_s : float
            For so long units lent may be on their way.
        largest_units : float
            Of one request: a reserve holds that much more than a second of its rate.
        """
        plan, passed_s = self.plan, now - self.refilled_at
        while self.granted and self.granted[0][0] <= now - transfer_window_s:
            self.granted.popleft()
        depth = plan.rate_limit_burst - sum(units for _, units in self.granted) * self.gateway_count
        whole = min(depth, self.tokens * self.gateway_count + passed_s * plan.rate_limit)
        self.tokens = whole / self.gateway_count
        reserved_rate = max(self.usage_share, 1 / self.gateway_count) * plan.reserved_rate
        reserve_depth = reserved_rate + largest_units / self.gateway_count
        self.reserve_units = min(reserve_depth, self.reserve_units + passed_s * reserved_rate)
        self.refilled_at = now

    def record_queued(self, units: float) -> None:
        """Count units as queued that have drawn nothing of the limit yet."""
        self.queued_units += units

    def record_unqueued(self, units: float) -> None:
        """Count them as no longer queued."""
        self.queued_units -= units

    def draw(self, units: float) -> None:
        """Draw units of the limit, for a first attempt."""
        self.tokens -= units

    def draw_reserve(self, units: float) -> bool:
        """Draw units of the reserve if it holds any; they may take it below nothing."""
        has_units = self.reserve_units > 0
        if has_units:
            self.reserve_units -= units
        return has_units

    def return_reserve(self, units: float) -> None:
        """Give units of the reserve back, of a request that was never sent."""
        self.reserve_units += units


@dataclass(frozen=True, slots=True)
class TransferResult:
    """What became of a transfer message: the reply, and the volume whose tokens grew, if any."""

    reply: SendPeerMessage | None = None
    credited_volume: int | None = None


class RateLimits:
    """The rate limiters of all volumes that were seen lately.

    Attributes
    ----------
    recorded_since : float
        From when on this gateway's own record is whole: its first event, or later where a volume was forgotten.
    """

    def __init__(self, settings: Settings, least_objective_s: float, check_interval_s: float, random: Random) -> None:
        self._settings = settings
        self._transfer_window_s = least_objective_s
        self._check_interval_s = check_interval_s
        self._random = random
        self.limiters: OrderedDict[int, RateLimiter] = OrderedDict()
        self.recorded_since = 0.0

    def limiter(self, pending: PendingRequest, now: float) -> RateLimiter:
        """Return the volume's limiter, refilled; it is made at the volume's first request.

        Its part fills from the gateway's start on: an earlier life may have drawn it till then.
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
        """Let time fill a limiter's parts."""
        limiter.refill(now, self._transfer_window_s, self._settings.largest_units)

    def request_units(self, volume_id: int, limiter: RateLimiter, now: float) -> list[SendPeerMessage]:
        """Ask for units that other gateways don't use, as many as there is room for.

        Two that lent before are asked, and count as lenders again once they lend; where none is left all are, seldom,
        as at size that costs more than the units are worth.
        """
        lacking_units = limiter.queued_units - limiter.tokens + limiter.served_units_per_s * self._transfer_window_s
        pause_s = self._check_interval_s / 2 if limiter.lenders else BROADCAST_INTERVAL_S
        may_ask = self._settings.has_peer_messages and limiter.plan.rate_limit and limiter.gateway_count > 1
        if not (may_ask and lacking_units > 0 and now >= limiter.requested_at + pause_s):
            return []
        limiter.requested_at = now
        room_units = limiter.plan.rate_limit_burst / limiter.gateway_count - limiter.tokens
        units = max(lacking_units, room_units)
        body = TransferMessage(TransferKind.REQUEST, volume_id, units, clock_ms(now)).encode()
        asked = self._random.sample(sorted(limiter.lenders), min(LENDERS_ASKED, len(limiter.lenders)))
        if not asked:
            return [SendPeerMessage(None, body)]
        limiter.lenders -= set(asked)
        return [SendPeerMessage(gateway_id, body) for gateway_id in asked]

    def handle_message(self, event: PeerMessage, now: float) -> TransferResult:
        """Take in a message of another gateway; what doesn't read, or doesn't fit the volume, is ignored."""
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
        """Lend half of what is not needed here until units of others may come."""
        ahead_s = self._check_interval_s if limiter.participants_known else self._transfer_window_s
        spare_units = limiter.tokens - limiter.queued_units - limiter.served_units_per_s * ahead_s
        has_spare = spare_units >= MIN_GRANT_UNITS
        if not has_spare:
            return None
        units = min(message.units, max(MIN_GRANT_UNITS, spare_units / 2))
        limiter.tokens -= units
        limiter.granted.append((now, units))
        grant = TransferMessage(TransferKind.GRANT, message.volume, units, message.requested_at_ms)
        return SendPeerMessage(borrower, grant.encode())

    def _accept(self, lender: int, message: TransferMessage, limiter: RateLimiter, now: float) -> bool:
        """Take units in, unless they come so late that the lender may have filled up again."""
        if message.age_ms(now) >= self._transfer_window_s * 1000 * TRANSFER_VALIDITY_FRACTION:
            return False
        limiter.lenders.add(lender)
        limiter.tokens += message.units
        self.refill(limiter, now)
        return True

    def record_participants(self, event: VolumeParticipants) -> None:
        """Take in which gateways serve a volume: they are the ones to ask."""
        limiter = self.limiters.get(event.volume)
        if limiter is not None:
            limiter.participants_known = True
            limiter.lenders = limiter.lenders | set(event.gateways) - {self._settings.gateway_id}

    def record_outcome(self, pending: PendingRequest, outcome: Outcome, now: float) -> None:
        """Take in the volume's use through this gateway, which its part of the reserve follows, and the meter's."""
        limiter = self.limiter(pending, now)
        if outcome.result is Result.SERVED:
            span_s = max(self._settings.meter_period_s, self._transfer_window_s)
            kept_fraction = max(0.0, 1 - (now - limiter.served_at) / span_s)
            limiter.served_units_per_s = limiter.served_units_per_s * kept_fraction + pending.request.units / span_s
            limiter.served_at = now
        if outcome.volume_usage is not None:
            limiter.usage = outcome.volume_usage
            metered_units_per_s = max(outcome.volume_usage * pending.plan.rate, MIN_METERED_UNITS_PER_S)
            limiter.usage_share = min(1.0, limiter.served_units_per_s / metered_units_per_s)

    def forget_idle_volumes(self, now: float) -> None:
        """Drop idle volumes; a bucket that is made anew starts empty, which is never too much."""
        while self.limiters:
            is_idle = next(iter(self.limiters.values())).refilled_at < now - IDLE_VOLUME_S
            if len(self.limiters) <= MAX_VOLUMES and not is_idle:
                break
            _, forgotten = self.limiters.popitem(last=False)
            self.recorded_since = max(self.recorded_since, forgotten.refilled_at)
