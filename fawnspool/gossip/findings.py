"""What gateways found of one node, and the queue in which findings are passed on."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from fawnspool.gossip.messages import HealthVerdict

MAX_NODES = 1024
MAX_ORIGINS = 256  # gateways whose findings are kept of one node: well over any quorum, or none is reached
TIMES_PASSED_ON = 2  # rounds in which one finding is passed on: with one, a fifth of a fleet would not hear of it
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Finding:
    """What one gateway found of a node; at: on the clock of whoever keeps it."""

    verdict: HealthVerdict
    failures: int
    at: float

    @property
    def is_bad(self) -> bool:
        """Whether it speaks against the node."""
        return self.verdict is not HealthVerdict.HEALTHY


@dataclass(slots=True)
class NodeFindings:
    """What is known of one node.

    Parameters
    ----------
    failures
        This gateway's own, since the last good answer.
    healthy_at
        When this gateway got the last good answer.
    by_origin
        Findings by the gateway whose they are.
    ejected_at
        When it was ejected on others' evidence; None if it is not.
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
        """Keep a finding in place of the origin's former one; the oldest goes where there are too many."""
        self.by_origin[origin] = finding
        while len(self.by_origin) > MAX_ORIGINS:
            del self.by_origin[min(self.by_origin, key=lambda origin: self.by_origin[origin].at)]

    def bad_since(self, ttl_s: float, now: float) -> list[Finding]:
        """Return the findings against the node that have not faded."""
        return [finding for finding in self.by_origin.values() if finding.is_bad and now - finding.at < ttl_s]

    def healthy_count(self, after: float, ttl_s: float, now: float) -> int:
        """Return how many found the node healthy since `after`, of findings that have not faded."""
        return sum(
            not finding.is_bad and finding.at >= after and now - finding.at < ttl_s
            for finding in self.by_origin.values()
        )

    def forget_bad(self) -> None:
        """Drop what was found against the node."""
        self.by_origin = {origin: finding for origin, finding in self.by_origin.items() if not finding.is_bad}


class FindingQueue:
    """Findings to be passed on, by node and origin, the latest first."""

    def __init__(self) -> None:
        self._remaining: OrderedDict[tuple[int, int], int] = OrderedDict()  # times to be passed on yet; latest last

    def add(self, node: int, origin: int) -> None:
        """Have a finding passed on; beyond the bound the oldest are not."""
        self._remaining[node, origin] = TIMES_PASSED_ON
        self._remaining.move_to_end((node, origin))
        while len(self._remaining) > MAX_NODES:
            self._remaining.popitem(last=False)

    def __len__(self) -> int:
        return len(self._remaining)

    def pop(self) -> tuple[tuple[int, int], int]:
        """Remove the latest; return node and origin, and how often it is to be passed on after this time."""
        key, remaining = self._remaining.popitem()
        return key, remaining - 1

    def restore(self, remaining: dict[tuple[int, int], int]) -> None:
        """Put back findings that are to be passed on again."""
        self._remaining |= remaining
