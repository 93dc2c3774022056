"""The rule "drains kept": no new requests to a node that drains, once the gateway was notified."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from fawnspool.rules.findings import RuleCheck
from fawnspool.rules.history import History
from fawnspool.rules.observations import EndpointNotice
from fawnspool.rules.terms import RuleTerms


@dataclass(frozen=True)
class _KnownPhase:
    """A phase of a node, and since when a gateway can act on it."""

    time: float
    is_ready: bool


def check_drains_kept(check: RuleCheck, terms: RuleTerms, allowance_s: float) -> None:
    """Check that gateways stop sending to a node within the grace after the notice that it drains."""
    history = check.history
    phases: dict[tuple[int, int], list[_KnownPhase]] = defaultdict(list)
    for notice in history.endpoint_notices:
        phases[notice.gateway, notice.node].append(_known_phase(history, notice))
    for arrival in history.arrivals:
        known = phases.get((arrival.gateway, arrival.node), [])
        if all(phase.is_ready for phase in known):
            continue
        check.add_examined()
        since = _draining_since(known, arrival.time)
        if since is None or history.was_down(arrival.gateway, since, arrival.time):
            continue
        late_s = arrival.time - since
        check.add_closeness(late_s / (terms.drain_grace_s + allowance_s))
        if late_s > terms.drain_grace_s + allowance_s:
            text = f"head {arrival.gateway} sent to node {arrival.node} {late_s:.3f} s after it was told"
            check.add_breach(arrival.time, text)


def _known_phase(history: History, notice: EndpointNotice) -> _KnownPhase:
    # A gateway may act on "ready" from its first byte on; on anything else it need not before the last.
    time = min(notice.time, notice.began) if notice.is_ready else notice.time
    return _KnownPhase(history.resumed_at(notice.gateway, time), notice.is_ready)


def _draining_since(phases: Iterable[_KnownPhase], time: float) -> float | None:
    """Return since when the gateway knows at `time` that the node takes nothing new."""
    since: float | None = None
    for phase in phases:
        if phase.time > time:
            break
        if phase.is_ready:
            since = None
        elif since is None:
            since = phase.time
    return since
