"""Findings of gateways about a node's health, and the queue of findings to pass on."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from fawnspool.gossip.messages import HealthVerdict

MAX_NODES = 1024  # nodes with findings that a gateway keeps; also the length of its queue of findings
MAX_ORIGINS = 256  # gateways whose findings are kept for one node; a bound below a quorum would prevent any ejection
SENDS_PER_FINDING = 2  # rounds in which a gateway passes on a finding: with one, a fifth of a fleet would miss it
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Finding:
    """What one gateway found about a node's health, at a time on the clock of the gateway that stores it."""

    verdict: HealthVerdict
    failures: int
    at: float

    @property
    def is_bad(self) -> bool:
        """Whether the verdict is other than healthy."""
        return self.verdict is not HealthVerdict.HEALTHY


@dataclass(slots=True)
class NodeFindings:
    """Findings about one node, and whether it is ejected.

    Parameters
    ----------
    failures
        Failures that this gateway itself had since its last good answer from the node.
    healthy_at
        When this gateway got the last good answer.
    by_origin
        The latest finding of each gateway, by gateway number.
    ejected_at
        When the node was ejected on others' evidence; None if it is not ejected.
    """

    failures: int = 0
    healthy_at: float = NEVER
    by_origin: dict[int, Finding] = field(default_factory=dict)
    ejected_at: float | None = None

    @property
    def is_ejected(self) -> bool:
        """Whether the node is ejected on others' evidence."""
        return self.ejected_at is not None

    def add(self, origin: int, finding: Finding) -> None:
        """Replace the origin's former finding; drop the oldest findings beyond `MAX_ORIGINS`."""
        self.by_origin[origin] = finding
        while len(self.by_origin) > MAX_ORIGINS:
            del self.by_origin[min(self.by_origin, key=lambda origin: self.by_origin[origin].at)]

    def unexpired_bad(self, ttl_s: float, now: float) -> list[Finding]:
        """Return the bad findings that have not expired."""
        return [finding for finding in self.by_origin.values() if finding.is_bad and now - finding.at < ttl_s]

    def healthy_count(self, after: float, ttl_s: float, now: float) -> int:
        """Return how many gateways found the node healthy since `after`, by findings that have not expired."""
        return sum(
            not finding.is_bad and finding.at >= after and now - finding.at < ttl_s
            for finding in self.by_origin.values()
        )

    def drop_bad(self) -> None:
        """Drop the bad findings."""
        self.by_origin = {origin: finding for origin, finding in self.by_origin.items() if not finding.is_bad}


class FindingQueue:
    """Queue of findings to pass on, each known by its node and origin; the latest comes first."""

    def __init__(self) -> None:
        self._remaining: OrderedDict[tuple[int, int], int] = OrderedDict()  # sends left; latest last

    def add(self, node: int, origin: int) -> None:
        """Queue a finding; drop the oldest ones beyond `MAX_NODES`."""
        self._remaining[node, origin] = SENDS_PER_FINDING
        self._remaining.move_to_end((node, origin))
        while len(self._remaining) > MAX_NODES:
            self._remaining.popitem(last=False)

    def __len__(self) -> int:
        return len(self._remaining)

    def pop(self) -> tuple[tuple[int, int], int]:
        """Remove the latest finding; return its node and origin, and in how many further rounds it must be sent."""
        key, remaining = self._remaining.popitem()
        return key, remaining - 1

    def restore(self, remaining: dict[tuple[int, int], int]) -> None:
        """Put findings back that must be sent in further rounds; the values are the remaining numbers of sends."""
        self._remaining |= remaining
