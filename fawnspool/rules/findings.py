"""What the check of one rule examined and found."""

from __future__ import annotations

from dataclasses import dataclass, field

from fawnspool.rules.history import History

MAX_UNBROKEN = 0.999  # closeness of a rule that holds; 1.0 is a breach


@dataclass(frozen=True)
class Breach:
    """A breach of a rule, its time in seconds since the first record of the run."""

    rule: str
    time_s: float
    text: str


@dataclass
class Finding:
    """What the check of a rule examined and found.

    Attributes
    ----------
    looked_at
        Number of cases examined.
    nearest
        How near the closest of them came to breaking the rule: 1.0 is a breach.
    """

    rule: str
    looked_at: int = 0
    breaches: list[Breach] = field(default_factory=list)
    nearest: float = 0.0


class RuleCheck:
    """The check of one rule on a history; fills its finding."""

    def __init__(self, rule: str, history: History) -> None:
        self.finding = Finding(rule)
        self.history = history

    def add_examined(self, cases: int = 1) -> None:
        """Count cases that were examined."""
        self.finding.looked_at += cases

    def add_closeness(self, closeness: float) -> None:
        """Note how near a case came to a breach, 1.0 being the bound; whether it passed it is said by `add_breach`."""
        self.finding.nearest = max(self.finding.nearest, min(MAX_UNBROKEN, closeness))

    def add_breach(self, time: float, text: str) -> None:
        """Note a breach at an absolute time."""
        self.finding.nearest = 1.0
        self.finding.breaches.append(Breach(self.finding.rule, time - self.history.first, text))
