"""An acceptor's knowledge, from messages, of the gateways that it may nominate for a role."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fawnspool.leases.candidate import NEVER
from fawnspool.leases.messages import Availability, LeaseMessage
from fawnspool.leases.settings import LeaseSettings

SAMPLE_SIZE = 8  # gateways compared for one nomination, so that its cost does not grow with the fleet
MAX_MISSED = 4  # consecutive missed nominations of a gateway up to which the pause after each one doubles
MAX_HEARTBEATS_MISSED = 3  # heartbeat intervals for which a silent gateway counts as running: two messages may be lost


@dataclass(slots=True)
class _Candidate:
    """A gateway as this acceptor knows it; `held_count`: its last reported number of roles, plus later nominations."""

    last_heard_at: float
    held_count: int = 0
    is_available: bool = False
    incarnation: int = 0
    is_leaving: bool = False
    missed_nominations: int = 0  # consecutive nominations after which the gateway requested no vote
    paused_until: float = NEVER


class CandidateDirectory:
    """Gateways by number, and the choice of one for a role."""

    def __init__(self, settings: LeaseSettings, random: Random) -> None:
        self.settings = settings
        self.random = random
        self.candidates: dict[int, _Candidate] = {}
        self.known: list[int] = []  # in the order of their first messages, for sampling
        self._available = 0
        self._counted_at = NEVER

    def record_message(self, now: float, sender: int, message: LeaseMessage) -> None:
        """Record what a gateway reports about itself."""
        candidate = self.candidates.get(sender)
        if candidate is None:
            candidate = self.candidates[sender] = _Candidate(now)
            self.known.append(sender)
        if message.incarnation != candidate.incarnation:
            candidate.incarnation = message.incarnation
            candidate.is_leaving = False
        # A message sent before the gateway began to leave may arrive after its LEAVING message.
        candidate.is_leaving |= message.availability == Availability.LEAVING
        candidate.last_heard_at = now
        candidate.held_count = message.count
        candidate.is_available = message.availability == Availability.AVAILABLE and not candidate.is_leaving

    def available_count(self, now: float) -> int:
        """Return the number of gateways that accept roles, recounted once per renewal interval."""
        if now - self._counted_at >= self.settings.renewal_interval_s:
            self._counted_at = now
            self._available = sum(
                candidate.is_available and self._is_fresh(candidate, now) for candidate in self.candidates.values()
            )
        return self._available

    def may_be_present(self, gateway_id: int, now: float) -> bool:
        """Return whether a gateway may be running; also true if no message from it has arrived yet."""
        candidate = self.candidates.get(gateway_id)
        return candidate is None or (not candidate.is_leaving and self._is_fresh(candidate, now))

    def record_nomination(self, gateway_id: int) -> None:
        """Count a nomination as a held role until the gateway reports its own count."""
        self.candidates[gateway_id].held_count += 1

    def record_followed(self, gateway_id: int) -> None:
        """Record that a gateway requested a vote after its nomination."""
        self.candidates[gateway_id].missed_nominations = 0

    def record_missed(self, now: float, gateway_id: int) -> None:
        """Pause nominations of a gateway that requested no vote after its last one; the pause gets longer each time."""
        candidate = self.candidates.get(gateway_id)
        if candidate is not None:
            candidate.missed_nominations = min(MAX_MISSED, candidate.missed_nominations + 1)
            candidate.paused_until = now + self.settings.lease_s * 2.0 ** (candidate.missed_nominations - 1) / 2

    def choose(self, now: float) -> int | None:
        """Return the available gateway with the fewest roles in a random sample; None if there is none."""
        sample = self.known if len(self.known) <= SAMPLE_SIZE else self.random.sample(self.known, SAMPLE_SIZE)
        eligible = [
            (self.candidates[gateway_id].held_count, self.random.random(), gateway_id)
            for gateway_id in sample
            if self._is_eligible(self.candidates[gateway_id], now)
        ]
        return min(eligible)[2] if eligible else None

    def _is_eligible(self, candidate: _Candidate, now: float) -> bool:
        return (
            candidate.is_available
            and self._is_fresh(candidate, now)
            and now >= candidate.paused_until
            and candidate.held_count < self.settings.max_held_roles
        )

    def _is_fresh(self, candidate: _Candidate, now: float) -> bool:
        return now - candidate.last_heard_at <= MAX_HEARTBEATS_MISSED * self.settings.heartbeat_interval_s
