"""The figures that the rules are judged by."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class VolumeLimit:
    """Rate limit of a volume over the fleet.

    Attributes
    ----------
    rate
        Units per second.
    burst
        Units that may be saved.
    slack
        Units by which the fleet may exceed it.
    """

    rate: float
    burst: float
    slack: float


@dataclass(frozen=True)
class RuleTerms:
    """What the rules allow on a day.

    Attributes
    ----------
    drain_grace_s
        How long a gateway may still send to a node after the notice that it drains.
    cold_window_s, cold_multiple, cold_slack_units
        A node that is warming up bears `cold_multiple` times its power over the window, and the slack for chance.
    limits
        By volume; others have none.
    ordered_classes
        Request classes whose requests of one extent are sent one at a time and in order.
    settle_s
        How long an attempt of unknown end counts as running.
    retry_minimum, retry_ratio, retry_window_s
        Retry budget of a gateway: further attempts within the window, of which the minimum is free and the others are
        a part of the requests taken; None for no bound.
    """

    drain_grace_s: float = 1.0
    cold_window_s: float = 2.0
    cold_multiple: float = 2.0
    cold_slack_units: float = 8.0
    limits: dict[str, VolumeLimit] = field(default_factory=dict)
    ordered_classes: frozenset[int] = frozenset()
    settle_s: float = 0.0
    retry_minimum: float | None = None
    retry_ratio: float = 0.0
    retry_window_s: float = 1.0
