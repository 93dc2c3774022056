"""Health evidence about nodes: gateways exchange findings, eject nodes by quorum, and let findings expire.

A gateway sends its own findings and passes on those of others, each with its origin and age. A gateway ejects a node on
others' evidence only if

    - the latest unexpired findings of at least two gateways, and of a quorum, are bad; the quorum is a fraction of all
      gateways in the settings, not of those heard (in a large fleet these are few, and the gateway that sends the most
      is among them),
    - these findings hold enough failures even without those of the gateway that reports the most,
    - more gateways found the node bad than found it healthy since the earliest of the bad findings,
    - this gateway has no good answer of its own that is later than that finding or very recent, and
    - the ejected nodes stay within the settings' fraction of all nodes.

So neither one gateway that is wrong or lies causes an ejection at others, nor does a group that is cut off from a node
which the others reach. Each gateway that ejected a node draws a delay after which it tries the node again, so that the
whole fleet makes a few attempts a second; good answers to two different gateways end the ejection everywhere.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from random import Random
from typing import Any

from fawnspool.gossip.actions import GossipAction, SendGossip
from fawnspool.gossip.findings import MAX_NODES, Finding, FindingQueue, NodeFindings
from fawnspool.gossip.messages import EvidenceRow, GossipMessage, GossipMessageType, HealthVerdict, max_rows
from fawnspool.gossip.settings import GossipSettings
from fawnspool.scheduling.interface import GossipedHealth, Outcome, Result

MIN_FAILURES = 3  # consecutive failures, as many as a gateway needs to eject a node on its own evidence
# One less without the gateway that reports the most: however many failures it reports, it counts as one. Otherwise that
# gateway and one lost answer at another would make all gateways eject the node.
MIN_FAILURES_OF_OTHERS = MIN_FAILURES - 1
MIN_BAD_ORIGINS = 2
OWN_ANSWER_INTERVALS = 2  # intervals for which own good answers outweigh findings of others, even slightly later ones
REPEAT_INTERVALS = 4  # minimum intervals between two findings about a node that is known to be bad
FANOUT = 2  # gateways drawn as recipients in a round: a finding reaches a fleet of n within about log2(n) rounds
MAX_ROWS_SENT = 15  # findings in a datagram: bounds, with the fan-out and the interval, the bytes that a gateway sends
RECOVERY_QUORUM = 2  # gateways that must find an ejected node healthy: one finding may be a lie, or chance
IMMEDIATE_TRIALS = 3  # expected number of gateways that try an ejected node at once when one found it healthy
FLEET_TRIALS_PER_S = 2.0  # attempts of the whole fleet at an ejected node
PRESENT_S = 10.0  # how long a gateway counts as present after its last message
SAME_FINDING_S = 0.02  # a finding at most this much later than the known one is the same, received by another path

_VERDICTS = {
    Result.SERVED: HealthVerdict.HEALTHY,
    Result.OVERLOADED: HealthVerdict.HEALTHY,
    Result.TIMED_OUT: HealthVerdict.UNRESPONSIVE,
    Result.CONNECT_FAILED: HealthVerdict.UNREACHABLE,
    Result.RESET: HealthVerdict.UNRESPONSIVE,
}
_STATUS_NAMES = {
    HealthVerdict.HEALTHY: "well",
    HealthVerdict.UNRESPONSIVE: "silent",
    HealthVerdict.UNREACHABLE: "shut",
}


def outcome_verdict(event: Outcome) -> HealthVerdict | None:
    """Return what the outcome of an attempt shows about its node's health; None if nothing.

    An error response is no failure: the node answers. A reset of a reused connection shows nothing, as a device
    between gateway and node may have cut the connection.
    """
    if event.result is Result.RESET and event.reused_connection:
        return None
    return _VERDICTS.get(event.result)


def suspected_nodes(module: Any) -> list[tuple[int, int]]:
    """Return the busy nodes of a scheduler with their consecutive failures; a baseline scheduler has none."""
    consecutive_failures = getattr(module, "consecutive_failures", None)
    if consecutive_failures is not None:
        failures: list[tuple[int, int]] = consecutive_failures()
        return failures
    # Former versions of the scheduler, loaded for a comparison (fawnspool/model/versions.py).
    return [(lane.node, lane.failed) for lane in getattr(module, "busy", {}).values() if lane.failed and lane.node]


class HealthEvidence:
    """Evidence of one gateway about nodes: its own findings and those received from others.

    Attributes
    ----------
    listed_count : int
        Number of listed nodes, as of the last round.
    heard_at : dict
        Time of the last message from each gateway, by its number.
    """

    def __init__(self, settings: GossipSettings, gateway_id: int, seed: int) -> None:
        self.settings = settings
        self.gateway_id = gateway_id
        self.random = Random(f"{seed}-{gateway_id}-judge")
        self.nodes: OrderedDict[int, NodeFindings] = OrderedDict()
        self.listed_count = 0
        self.heard_at: dict[int, float] = {}
        self._queue = FindingQueue()

    def _findings(self, node: int) -> NodeFindings:
        findings = self.nodes.get(node)
        if findings is None:
            findings = self.nodes[node] = NodeFindings()
            while len(self.nodes) > MAX_NODES:
                self.nodes.popitem(last=False)
        self.nodes.move_to_end(node)
        return findings

    def _add_finding(self, node: int, findings: NodeFindings, origin: int, finding: Finding) -> None:
        findings.add(origin, finding)
        self._queue.add(node, origin)

    def _unexpired_bad(self, now: float, findings: NodeFindings) -> list[Finding]:
        return findings.unexpired_bad(self.settings.evidence_ttl_s, now)

    # ------------------------------------------------------------ own evidence

    def record_healthy(self, now: float, node: int) -> list[GossipAction]:
        """Record a good answer of a node."""
        findings = self._findings(node)
        findings.failures = 0
        findings.healthy_at = now
        if self._contradicts(now, findings):
            self._add_finding(node, findings, self.gateway_id, Finding(HealthVerdict.HEALTHY, 1, now))
        return self._readmit(node, findings) if findings.is_ejected else []

    def _contradicts(self, now: float, findings: NodeFindings) -> bool:
        """Return whether a good answer contradicts bad findings; if not, no finding is sent about it."""
        own = findings.by_origin.get(self.gateway_id)
        if own is not None and own.is_bad:
            return True
        is_old = own is None or now - own.at >= self.settings.interval_s
        return is_old and bool(self._unexpired_bad(now, findings))

    def record_failure(self, now: float, node: int, verdict: HealthVerdict) -> list[GossipAction]:
        """Record a failed attempt at a node: no connection, or no answer."""
        findings = self._findings(node)
        self._set_failures(now, node, findings, findings.failures + 1, verdict)
        return [self._eject(now, node, findings)] if findings.is_ejected else []

    def record_suspicion(self, now: float, node: int, failures: int) -> None:
        """Record the consecutive failures that the scheduler counted, including unanswered attempts in flight."""
        findings = self._findings(node)
        if failures <= findings.failures:
            return
        own = findings.by_origin.get(self.gateway_id)
        verdict = own.verdict if own is not None and own.is_bad else HealthVerdict.UNRESPONSIVE
        self._set_failures(now, node, findings, failures, verdict)

    def _set_failures(
        self, now: float, node: int, findings: NodeFindings, failures: int, verdict: HealthVerdict
    ) -> None:
        findings.failures = failures
        own = findings.by_origin.get(self.gateway_id)
        is_known_bad = own is not None and own.is_bad and failures > MIN_FAILURES
        if is_known_bad and own is not None and now - own.at < REPEAT_INTERVALS * self.settings.interval_s:
            return  # findings about a node known to be bad are sent less often
        self._add_finding(node, findings, self.gateway_id, Finding(verdict, failures, now))

    # ------------------------------------------------------------ others' evidence

    def receive(self, now: float, sender: int, message: GossipMessage) -> list[GossipAction]:
        """Handle other gateways' findings."""
        self.heard_at[sender] = now
        actions: list[GossipAction] = []
        for row in message.rows:
            if isinstance(row, EvidenceRow) and self._is_usable(row):
                actions += self._apply_row(now, row)
        return actions

    def _is_usable(self, row: EvidenceRow) -> bool:
        is_other = row.gateway_id != self.gateway_id and row.gateway_id < self.settings.gateway_count
        return is_other and row.age_s < self.settings.evidence_ttl_s

    def _apply_row(self, now: float, row: EvidenceRow) -> list[GossipAction]:
        findings = self._findings(row.node)
        finding = Finding(HealthVerdict(row.verdict), row.failures, now - row.age_s)
        known = findings.by_origin.get(row.gateway_id)
        if known is not None and finding.at <= known.at + SAME_FINDING_S:
            return []
        self._add_finding(row.node, findings, row.gateway_id, finding)
        is_refuted = findings.healthy_at > finding.at - self.settings.interval_s and not findings.failures
        if finding.is_bad and is_refuted:
            self._announce_healthy(row.node, findings)
        return self._evaluate(now, row.node, findings)

    def _announce_healthy(self, node: int, findings: NodeFindings) -> None:
        """Queue a healthy finding, as this gateway's own good answers contradict a received finding."""
        own = findings.by_origin.get(self.gateway_id)
        if own is None or own.is_bad or own.at < findings.healthy_at - self.settings.interval_s:
            self._add_finding(node, findings, self.gateway_id, Finding(HealthVerdict.HEALTHY, 1, findings.healthy_at))

    def present_count(self, now: float) -> int:
        """Return the number of gateways heard lately, including this one."""
        return 1 + sum(now - heard_at <= PRESENT_S for heard_at in self.heard_at.values())

    # ------------------------------------------------------------ ejection

    def _evaluate(self, now: float, node: int, findings: NodeFindings) -> list[GossipAction]:
        if findings.ejected_at is not None:
            return self._check_recovery(now, node, findings, findings.ejected_at)
        if not self._should_eject(now, findings):
            return []
        findings.ejected_at = now
        return [self._eject(now, node, findings)]

    def _check_recovery(self, now: float, node: int, findings: NodeFindings, ejected_at: float) -> list[GossipAction]:
        healthy = findings.healthy_count(ejected_at, self.settings.evidence_ttl_s, now)
        if healthy >= RECOVERY_QUORUM:
            return self._readmit(node, findings)
        # One gateway found the node healthy: a few others try it at once instead of at their drawn times.
        if healthy and self.random.random() < IMMEDIATE_TRIALS / self.settings.gateway_count:
            return [self._eject(now, node, findings, 0.0)]
        return []

    def _should_eject(self, now: float, findings: NodeFindings) -> bool:
        settings = self.settings
        bad = self._unexpired_bad(now, findings)
        failures = [finding.failures for finding in bad]
        quorum = max(MIN_BAD_ORIGINS, math.ceil(settings.quorum_fraction * settings.gateway_count))
        if len(bad) < quorum or sum(failures) - max(failures) < MIN_FAILURES_OF_OTHERS:
            return False
        since = min(finding.at for finding in bad)
        if self._has_own_answer(now, findings, since):
            return False
        if len(bad) <= findings.healthy_count(since, settings.evidence_ttl_s, now):
            return False
        return len(self.ejected_nodes()) + 1 <= settings.max_ejected_fraction * max(self.listed_count, 1)

    def _has_own_answer(self, now: float, findings: NodeFindings, since: float) -> bool:
        if findings.failures:
            return False
        is_recent = now - findings.healthy_at < OWN_ANSWER_INTERVALS * self.settings.interval_s
        return findings.healthy_at > since or is_recent

    def _eject(
        self, now: float, node: int, findings: NodeFindings, retry_delay_s: float | None = None
    ) -> GossipedHealth:
        refused = any(finding.verdict is HealthVerdict.UNREACHABLE for finding in self._unexpired_bad(now, findings))
        if retry_delay_s is None:
            retry_delay_s = self._draw_retry_delay_s()
        return GossipedHealth(node, False, retry_delay_s, refused)

    def _draw_retry_delay_s(self) -> float:
        """Draw the seconds until this gateway tries an ejected node."""
        return self.random.uniform(0.0, 2.0) * self.settings.gateway_count / FLEET_TRIALS_PER_S

    def _readmit(self, node: int, findings: NodeFindings) -> list[GossipAction]:
        findings.ejected_at = None
        findings.drop_bad()
        return [GossipedHealth(node, True)]

    def ejected_nodes(self) -> list[int]:
        """Return the nodes that are ejected on others' evidence."""
        return [node for node, findings in self.nodes.items() if findings.is_ejected]

    # ------------------------------------------------------------ time

    def run_round(self, now: float) -> list[GossipAction]:
        """Send queued findings to a few drawn gateways; readmit nodes whose bad findings have all expired."""
        return [*self._pass_on(now), *self._readmit_expired(now)]

    def _pass_on(self, now: float) -> list[GossipAction]:
        rows = self._dequeue_rows(now)
        if not rows:
            return []
        message = GossipMessage(GossipMessageType.EVIDENCE, self.settings.fingerprint, tuple(rows))
        other_count = self.settings.gateway_count - 1
        drawn = self.random.sample(range(other_count), min(FANOUT, other_count))
        return [SendGossip(number + (number >= self.gateway_id), message) for number in drawn]

    def _dequeue_rows(self, now: float) -> list[EvidenceRow]:
        size = min(MAX_ROWS_SENT, max_rows(GossipMessageType.EVIDENCE))
        rows: list[EvidenceRow] = []
        requeued: dict[tuple[int, int], int] = {}
        while self._queue and len(rows) < size:
            (node, origin), remaining = self._queue.pop()
            if remaining:
                requeued[node, origin] = remaining
            findings = self.nodes.get(node)
            finding = findings.by_origin.get(origin) if findings is not None else None
            if finding is not None and now - finding.at < self.settings.evidence_ttl_s:
                rows.append(EvidenceRow(node, origin, int(finding.verdict), finding.failures, now - finding.at))
        self._queue.restore(requeued)
        return rows

    def _readmit_expired(self, now: float) -> list[GossipAction]:
        actions: list[GossipAction] = []
        for node in self.ejected_nodes():
            findings = self.nodes[node]
            ejected_at = findings.ejected_at
            is_old = ejected_at is not None and now - ejected_at > self.settings.evidence_ttl_s
            if is_old and not self._unexpired_bad(now, findings):
                actions += self._readmit(node, findings)
        return actions

    # ------------------------------------------------------------ status

    def status(self, now: float) -> dict[int, dict[str, object]]:
        """Return the nodes that have findings or are ejected, with the evidence, as the status page shows them."""
        return {
            node: {
                "shunned": findings.is_ejected,
                "own_signs": findings.failures,
                "evidence": [_evidence_status(now, *item) for item in sorted(findings.by_origin.items())],
            }
            for node, findings in self.nodes.items()
            if findings.by_origin or findings.is_ejected
        }


def _evidence_status(now: float, origin: int, finding: Finding) -> dict[str, object]:
    return {
        "head": origin,
        "found": _STATUS_NAMES[finding.verdict],
        "signs": finding.failures,
        "age_s": round(now - finding.at, 2),
    }
