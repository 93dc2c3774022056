"""What the fleet finds of nodes: each gateway's own evidence, passed on, weighed, and left to fade.

A gateway says what it found itself and passes on what others found, each with its origin and age. A node is ejected on
others' evidence only where

    two gateways at least, and a quorum of all that there are by the settings (not of those that are heard: in a large
    fleet these are few, and whoever says the most is among them), found it bad lately and say nothing better,
    with failures enough also without the one that says the most,
    more of them than found it healthy after their first finding,
    this gateway has no later good answer of its own, or one of just now, and
    no more than the settings' fraction of the nodes is ejected already.

So one gateway that is wrong, or lies, turns nobody, nor does a group that is cut off from a node which the others
reach. A node that recovers is found out by turns: each gateway that ejected it draws its turn so that the fleet makes
a few attempts a second together, and good answers of two different gateways end the ejection everywhere.
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

MIN_FAILURES = 3  # in a row with no good answer between, as one gateway alone asks for
# Of the others of several one less: a gateway that says much counts as one failure, or it and one lost answer would
# turn all.
MIN_FAILURES_OF_OTHERS = MIN_FAILURES - 1
MIN_BAD_ORIGINS = 2
OWN_ANSWER_INTERVALS = 2  # own good answers so young go before what is heard, even if that is a little younger
REPEAT_INTERVALS = 4  # between two findings of a node that all know to be bad
FANOUT = 2  # gateways told in a round, drawn: news reaches a fleet of n within about log2(n) rounds
MAX_ROWS_SENT = 15  # findings in a datagram: with the fan-out and the interval this bounds what a gateway sends
RECOVERY_QUORUM = 2  # gateways that found an ejected node healthy: one answer may be a lie, or chance
IMMEDIATE_TRIALS = 3  # gateways that try at once where one found an ejected node healthy
FLEET_TRIALS_PER_S = 2.0  # of the whole fleet at a node that is ejected
PRESENT_S = 10.0  # for which a gateway counts as there since it was last heard
SAME_FINDING_S = 0.02  # a finding that is not younger by more was heard before, by another way

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
    """Return what an attempt's end shows of its node; None if nothing.

    Errors show a node that answers. A reused connection that broke may have been cut on its way.
    """
    if event.result is Result.RESET and event.reused_connection:
        return None
    return _VERDICTS.get(event.result)


def suspected_nodes(module: Any) -> list[tuple[int, int]]:
    """Return the nodes at which a scheduler has work now, and failures in a row; a baseline keeps none."""
    report = getattr(module, "consecutive_failures", None)
    if report is not None:
        failures: list[tuple[int, int]] = report()
        return failures
    # Former versions, loaded for a comparison (fawnspool/model/versions.py).
    return [(lane.node, lane.failed) for lane in getattr(module, "busy", {}).values() if lane.failed and lane.node]


class HealthEvidence:
    """One gateway's evidence about nodes, its own and others'.

    Attributes
    ----------
    listed_count : int
        Nodes that there are, as of the last round.
    heard_at : dict
        By gateway, when it was last heard.
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

    def _add(self, node: int, findings: NodeFindings, origin: int, finding: Finding) -> None:
        findings.add(origin, finding)
        self._queue.add(node, origin)

    def _bad(self, now: float, findings: NodeFindings) -> list[Finding]:
        return findings.bad_since(self.settings.evidence_ttl_s, now)

    # ------------------------------------------------------------ own evidence

    def record_healthy(self, now: float, node: int) -> list[GossipAction]:
        """Note a good answer of a node."""
        findings = self._findings(node)
        findings.failures = 0
        findings.healthy_at = now
        if self._contradicts(now, findings):
            self._add(node, findings, self.gateway_id, Finding(HealthVerdict.HEALTHY, 1, now))
        return self._readmit(node, findings) if findings.is_ejected else []

    def _contradicts(self, now: float, findings: NodeFindings) -> bool:
        """Return whether a good answer sets something right; that all is well is no news."""
        own = findings.by_origin.get(self.gateway_id)
        if own is not None and own.is_bad:
            return True
        is_old = own is None or now - own.at >= self.settings.interval_s
        return is_old and bool(self._bad(now, findings))

    def record_failure(self, now: float, node: int, verdict: HealthVerdict) -> list[GossipAction]:
        """Note a failure of a node: no connection, no answer."""
        findings = self._findings(node)
        self._set_failures(now, node, findings, findings.failures + 1, verdict)
        return [self._eject(now, node, findings)] if findings.is_ejected else []

    def record_suspicion(self, now: float, node: int, failures: int) -> None:
        """Note the failures in a row that the scheduler has counted, silence in attempts under way among them."""
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
        is_known = own is not None and own.is_bad and failures > MIN_FAILURES
        if is_known and own is not None and now - own.at < REPEAT_INTERVALS * self.settings.interval_s:
            return  # what all know need not be said so often
        self._add(node, findings, self.gateway_id, Finding(verdict, failures, now))

    # ------------------------------------------------------------ others' evidence

    def receive(self, now: float, sender: int, message: GossipMessage) -> list[GossipAction]:
        """Handle other gateways' findings."""
        self.heard_at[sender] = now
        actions: list[GossipAction] = []
        for row in message.rows:
            if isinstance(row, EvidenceRow) and self._is_usable(row):
                actions += self._take(now, row)
        return actions

    def _is_usable(self, row: EvidenceRow) -> bool:
        is_other = row.gateway_id != self.gateway_id and row.gateway_id < self.settings.gateway_count
        return is_other and row.age_s < self.settings.evidence_ttl_s

    def _take(self, now: float, row: EvidenceRow) -> list[GossipAction]:
        findings = self._findings(row.node)
        finding = Finding(HealthVerdict(row.verdict), row.failures, now - row.age_s)
        known = findings.by_origin.get(row.gateway_id)
        if known is not None and finding.at <= known.at + SAME_FINDING_S:
            return []
        self._add(row.node, findings, row.gateway_id, finding)
        is_refuted = findings.healthy_at > finding.at - self.settings.interval_s and not findings.failures
        if finding.is_bad and is_refuted:
            self._announce_healthy(row.node, findings)
        return self._weigh(now, row.node, findings)

    def _announce_healthy(self, node: int, findings: NodeFindings) -> None:
        """Say that own good answers contradict what was heard."""
        own = findings.by_origin.get(self.gateway_id)
        if own is None or own.is_bad or own.at < findings.healthy_at - self.settings.interval_s:
            self._add(node, findings, self.gateway_id, Finding(HealthVerdict.HEALTHY, 1, findings.healthy_at))

    def present_count(self, now: float) -> int:
        """Return the number of gateways that are heard, with this one."""
        return 1 + sum(now - heard_at <= PRESENT_S for heard_at in self.heard_at.values())

    # ------------------------------------------------------------ ejection

    def _weigh(self, now: float, node: int, findings: NodeFindings) -> list[GossipAction]:
        if findings.ejected_at is not None:
            return self._weigh_ejected(now, node, findings, findings.ejected_at)
        if not self._is_to_be_ejected(now, findings):
            return []
        findings.ejected_at = now
        return [self._eject(now, node, findings)]

    def _weigh_ejected(self, now: float, node: int, findings: NodeFindings, ejected_at: float) -> list[GossipAction]:
        healthy = findings.healthy_count(ejected_at, self.settings.evidence_ttl_s, now)
        if healthy >= RECOVERY_QUORUM:
            return self._readmit(node, findings)
        # One found it healthy: a few try it now, and do not wait for their turns.
        if healthy and self.random.random() < IMMEDIATE_TRIALS / self.settings.gateway_count:
            return [self._eject(now, node, findings, 0.0)]
        return []

    def _is_to_be_ejected(self, now: float, findings: NodeFindings) -> bool:
        settings = self.settings
        bad = self._bad(now, findings)
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
        refused = any(finding.verdict is HealthVerdict.UNREACHABLE for finding in self._bad(now, findings))
        if retry_delay_s is None:
            retry_delay_s = self._draw_retry_delay_s()
        return GossipedHealth(node, False, retry_delay_s, refused)

    def _draw_retry_delay_s(self) -> float:
        """Draw the seconds until this gateway's turn to try an ejected node."""
        return self.random.uniform(0.0, 2.0) * self.settings.gateway_count / FLEET_TRIALS_PER_S

    def _readmit(self, node: int, findings: NodeFindings) -> list[GossipAction]:
        findings.ejected_at = None
        findings.forget_bad()
        return [GossipedHealth(node, True)]

    def ejected_nodes(self) -> list[int]:
        """Return the nodes that are ejected on others' evidence."""
        return [node for node, findings in self.nodes.items() if findings.is_ejected]

    # ------------------------------------------------------------ time

    def run_round(self, now: float) -> list[GossipAction]:
        """Pass on what is new to a few drawn gateways; readmit nodes that nothing speaks against any more."""
        return [*self._pass_on(now), *self._readmit_faded(now)]

    def _pass_on(self, now: float) -> list[GossipAction]:
        rows = self._take_rows(now)
        if not rows:
            return []
        message = GossipMessage(GossipMessageType.EVIDENCE, self.settings.fingerprint, tuple(rows))
        other_count = self.settings.gateway_count - 1
        drawn = self.random.sample(range(other_count), min(FANOUT, other_count))
        return [SendGossip(number + (number >= self.gateway_id), message) for number in drawn]

    def _take_rows(self, now: float) -> list[EvidenceRow]:
        size = min(MAX_ROWS_SENT, max_rows(GossipMessageType.EVIDENCE))
        rows: list[EvidenceRow] = []
        again: dict[tuple[int, int], int] = {}
        while self._queue and len(rows) < size:
            (node, origin), remaining = self._queue.pop()
            if remaining:
                again[node, origin] = remaining
            findings = self.nodes.get(node)
            finding = findings.by_origin.get(origin) if findings is not None else None
            if finding is not None and now - finding.at < self.settings.evidence_ttl_s:
                rows.append(EvidenceRow(node, origin, int(finding.verdict), finding.failures, now - finding.at))
        self._queue.restore(again)
        return rows

    def _readmit_faded(self, now: float) -> list[GossipAction]:
        actions: list[GossipAction] = []
        for node in self.ejected_nodes():
            findings = self.nodes[node]
            ejected_at = findings.ejected_at
            is_old = ejected_at is not None and now - ejected_at > self.settings.evidence_ttl_s
            if is_old and not self._bad(now, findings):
                actions += self._readmit(node, findings)
        return actions

    # ------------------------------------------------------------ status

    def status(self, now: float) -> dict[int, dict[str, object]]:
        """Return the nodes that anything was found of, with the evidence, in the form of the status page."""
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
