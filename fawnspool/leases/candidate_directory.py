"""What an acceptor knows of the gateways that may be nominated to a role, from their messages."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from fawnspool.leases.candidate import NEVER
from fawnspool.leases.messages import Availability, LeaseMessage
from fawnspool.leases.settings import LeaseSettings

SAMPLE_SIZE = 8  # gateways compared for a nomination, whose work must not grow with the fleet
MAX_MISSED = 4  # doublings of the rest of a gateway that did not follow nominations
MAX_HEARTBEATS_MISSED = 3  # two messages in a row may be lost


@dataclass(slots=True)
class _Candidate:
    """A gateway as this acceptor knows it; held counts the roles it reported and nominations since."""

    last_heard_at: float
    held: int = 0
    is_available: bool = False
    incarnation: int = 0
    is_leaving: bool = False
    missed: int = 0  # nominations in a row that it did not follow
    resting_until: float = NEVER


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
        """Note what a gateway says of itself."""
        candidate = self.candidates.get(sender)
        if candidate is None:
            candidate = self.candidates[sender] = _Candidate(now)
            self.known.append(sender)
        if message.incarnation != candidate.incarnation:
            candidate.incarnation = message.incarnation
            candidate.is_leaving = False
        # What it sent before that it leaves may arrive after it.
        candidate.is_leaving |= message.availability == Availability.LEAVING
        candidate.last_heard_at = now
        candidate.held = message.count
        candidate.is_available = message.availability == Availability.AVAILABLE and not candidate.is_leaving

    def available_count(self, now: float) -> int:
        """Return the number of gateways that take roles, counted anew once a renewal interval."""
        if now - self._counted_at >= self.settings.renewal_interval_s:
            self._counted_at = now
            self._available = sum(
                candidate.is_available and self._is_fresh(candidate, now) for candidate in self.candidates.values()
            )
        return self._available

    def may_be_present(self, gateway_id: int, now: float) -> bool:
        """Return whether a gateway is there as far as is known; one that was never heard of may be."""
        candidate = self.candidates.get(gateway_id)
        return candidate is None or (not candidate.is_leaving and self._is_fresh(candidate, now))

    def record_nomination(self, gateway_id: int) -> None:
        """Count a nomination as a role until the gateway says what it holds."""
        self.candidates[gateway_id].held += 1

    def record_followed(self, gateway_id: int) -> None:
        """Note that a gateway followed its nomination."""
        self.candidates[gateway_id].missed = 0

    def record_missed(self, now: float, gateway_id: int) -> None:
        """Let a gateway rest that did not follow its nomination, longer each time."""
        candidate = self.candidates.get(gateway_id)
        if candidate is not None:
            candidate.missed = min(MAX_MISSED, candidate.missed + 1)
            candidate.resting_until = now + self.settings.lease_s * 2.0 ** (candidate.missed - 1) / 2

    def choose(self, now: float) -> int | None:
        """Return, of some drawn gateways, the available one with the fewest roles; None if there is none."""
        sample = self.known if len(self.known) <= SAMPLE_SIZE else self.random.sample(self.known, SAMPLE_SIZE)
        eligible = [
            (self.candidates[gateway_id].held, self.random.random(), gateway_id)
            for gateway_id in sample
            if self._is_eligible(self.candidates[gateway_id], now)
        ]
        return min(eligible)[2] if eligible else None

    def _is_eligible(self, candidate: _Candidate, now: float) -> bool:
        return (
            candidate.is_available
            and self._is_fresh(candidate, now)
            and now >= candidate.resting_until
            and candidate.held < self.settings.max_held_roles
        )

    def _is_fresh(self, candidate: _Candidate, now: float) -> bool:
        return now - candidate.last_heard_at <= MAX_HEARTBEATS_MISSED * self.settings.heartbeat_interval_s
