"""Tests of health evidence: when gateways eject a node on others' findings, and when they readmit it."""

from __future__ import annotations

import pytest

from fawnspool.gossip.actions import GossipAction, SendGossip
from fawnspool.gossip.findings import MAX_NODES, MAX_ORIGINS
from fawnspool.gossip.health_evidence import HealthEvidence, outcome_verdict
from fawnspool.gossip.messages import (
    EvidenceRow,
    GossipMessage,
    GossipMessageType,
    HealthVerdict,
    decode,
    encode,
)
from fawnspool.gossip.settings import GossipSettings
from fawnspool.scheduling.interface import GossipedHealth, Outcome, Result

NODE = 50
DATAGRAM_OVERHEAD_BYTES = 51
UNRESPONSIVE = HealthVerdict.UNRESPONSIVE


class Fleet:
    """Gateways with instant delivery of messages, except over links that are cut."""

    def __init__(self, gateway_count: int, node_count: int = 8) -> None:
        self.now = 100.0
        self.node_count = node_count
        settings = GossipSettings(gateway_count)
        self.gateways = [HealthEvidence(settings, gateway_id, 1) for gateway_id in range(gateway_count)]
        self.cut: set[tuple[int, int]] = set()
        self.events: list[tuple[int, GossipedHealth]] = []  # with the number of the gateway that had the event
        self.bytes = 0
        for gateway in self.gateways:
            gateway.heard_at = {other.gateway_id: self.now for other in self.gateways if other is not gateway}

    def run_rounds(self, count: int = 1) -> None:
        for _ in range(count):
            self.now += 0.25
            for gateway in self.gateways:
                gateway.listed_count = self.node_count
                self._carry_out(gateway.gateway_id, gateway.run_round(self.now))

    def _carry_out(self, gateway_id: int, actions: list[GossipAction]) -> None:
        for action in actions:
            if isinstance(action, GossipedHealth):
                self.events.append((gateway_id, action))
            elif isinstance(action, SendGossip):
                body = encode(action.message)
                self.bytes += len(body) + DATAGRAM_OVERHEAD_BYTES
                if (gateway_id, action.recipient) not in self.cut:
                    recipient = self.gateways[action.recipient]
                    self._carry_out(action.recipient, recipient.receive(self.now, gateway_id, decode(body)))

    def record_healthy_at(self, gateway_id: int, node: int = NODE) -> None:
        self._carry_out(gateway_id, self.gateways[gateway_id].record_healthy(self.now, node))

    def record_failures_at(self, gateway_id: int, node: int = NODE, times: int = 3) -> None:
        for _ in range(times):
            self._carry_out(gateway_id, self.gateways[gateway_id].record_failure(self.now, node, UNRESPONSIVE))

    def ejecting_gateways(self, node: int = NODE) -> list[int]:
        return [gateway.gateway_id for gateway in self.gateways if node in gateway.ejected_nodes()]

    def events_at_others(self, first_other: int) -> list[tuple[int, GossipedHealth]]:
        return [event for event in self.events if event[0] >= first_other]


# ---------------------------------------------------------------- ejection


def test_bad_findings_of_two_gateways_eject_a_node_at_the_others() -> None:
    fleet = Fleet(6)
    fleet.record_failures_at(0)
    fleet.run_rounds(6)
    assert not fleet.ejecting_gateways()  # one gateway's findings cause no ejection at others
    fleet.record_failures_at(1)
    fleet.run_rounds(6)
    assert len(fleet.ejecting_gateways()) >= 5


def test_one_gateway_that_reports_every_node_as_dead_causes_no_ejection_at_others() -> None:
    fleet = Fleet(6)
    nodes = range(50, 58)
    for _ in range(20):
        for node in nodes:
            fleet.record_failures_at(5, node)
        fleet.run_rounds()
    assert not any(fleet.ejecting_gateways(node) for node in nodes if fleet.gateways)
    assert not [event for event in fleet.events if event[0] != 5]


def test_one_liar_and_a_lost_answer_at_another_gateway_cause_no_ejection() -> None:
    """Guards against an ejection by one liar and one lost answer.

    This was seen between processes: one gateway reported all nodes as dead, another lost one answer from a node, and
    five gateways ejected that node.
    """
    fleet = Fleet(6)
    for step in range(20):
        fleet.record_failures_at(5, times=9)
        if step == 3:
            fleet.record_failures_at(0, times=1)
        fleet.run_rounds()
    assert not [event for event in fleet.events if event[0] != 5]


def test_wrong_findings_of_a_fifth_of_the_fleet_cause_no_ejection_at_others() -> None:
    fleet = Fleet(30, node_count=20)
    for _ in range(20):
        for liar in range(6):
            for node in range(50, 54):
                fleet.record_failures_at(liar, node, times=1)
        fleet.run_rounds()
    assert not fleet.events_at_others(6)


def test_gateways_cut_off_from_a_node_cause_no_ejection_where_it_is_reached() -> None:
    fleet = Fleet(6)
    for _ in range(24):
        for gateway_id in range(3):
            fleet.record_failures_at(gateway_id, times=1)
        for gateway_id in range(3, 6):
            fleet.record_healthy_at(gateway_id)
        fleet.run_rounds()
    assert not fleet.events_at_others(3)


def test_large_fleet_can_reach_a_quorum() -> None:
    """Guards against a bound on the findings kept for a node that leaves no room for a quorum.

    Of 190 gateways, 48 must find a node bad. Formerly only 48 findings were kept for a node, healthy ones among them.
    """
    fleet = Fleet(190)
    for gateway_id in range(0, 190, 19):
        fleet.record_failures_at(gateway_id, times=1)
        fleet.record_healthy_at(gateway_id)
    for gateway_id in range(70):
        fleet.record_failures_at(gateway_id, times=2)
    fleet.run_rounds(12)
    assert len(fleet.ejecting_gateways()) > 150


def test_own_good_answers_outweigh_findings_of_others() -> None:
    fleet = Fleet(6)
    for _ in range(8):
        for gateway_id in range(5):
            fleet.record_failures_at(gateway_id, times=1)
        fleet.record_healthy_at(5)
        fleet.run_rounds()
    assert 5 not in fleet.ejecting_gateways() and len(fleet.ejecting_gateways()) == 5


def test_ejected_nodes_stay_within_the_maximum_fraction() -> None:
    fleet = Fleet(6, node_count=8)
    for _ in range(4):
        for node in range(50, 58):
            fleet.record_failures_at(0, node)
            fleet.record_failures_at(1, node)
        fleet.run_rounds(2)
    assert all(len(gateway.ejected_nodes()) <= 2 for gateway in fleet.gateways)
    assert len(fleet.gateways[3].ejected_nodes()) == 2


def test_findings_expire() -> None:
    fleet = Fleet(6)
    fleet.record_failures_at(0)
    fleet.record_failures_at(1)
    fleet.run_rounds(4)
    assert fleet.ejecting_gateways()
    fleet.run_rounds(40)
    assert not fleet.ejecting_gateways()
    gateway = fleet.gateways[3]
    expired_rows = tuple(EvidenceRow(NODE, origin, UNRESPONSIVE, 5, 4.5) for origin in (0, 1, 2))
    late_message = GossipMessage(GossipMessageType.EVIDENCE, gateway.settings.fingerprint, expired_rows)
    assert not gateway.receive(fleet.now, 0, late_message) and not fleet.ejecting_gateways()


def test_duplicate_messages_change_nothing() -> None:
    fleet = Fleet(6)
    fleet.record_failures_at(0)
    rows = (EvidenceRow(NODE, 0, UNRESPONSIVE, 3, 0.0),)
    message = GossipMessage(GossipMessageType.EVIDENCE, fleet.gateways[0].settings.fingerprint, rows)
    for _ in range(5):
        for gateway in fleet.gateways[1:]:
            assert not gateway.receive(fleet.now, 0, message)
    fleet.run_rounds(8)
    assert not fleet.events


# ---------------------------------------------------------------- recovery


def test_readmission_needs_healthy_findings_of_two_gateways() -> None:
    fleet = Fleet(12)
    for gateway_id in range(12):
        fleet.record_failures_at(gateway_id)
    fleet.run_rounds(4)
    assert len(fleet.ejecting_gateways()) >= 10
    fleet.run_rounds()
    # Gateway 0 readmits the node on its own evidence; the others receive one healthy finding.
    fleet.record_healthy_at(0)
    fleet.run_rounds(4)
    assert len(fleet.ejecting_gateways()) >= 9
    immediate = [event for _, event in fleet.events if not event.healthy and event.retry_delay_s == 0.0]
    assert 0 < len(immediate) < 12  # a few gateways try the node at once
    fleet.record_healthy_at(1)
    fleet.run_rounds(6)
    assert not fleet.ejecting_gateways()


@pytest.mark.parametrize("gateway_count", [6, 60])
def test_retry_delay_grows_with_the_fleet(gateway_count: int) -> None:
    """The mean delay before an attempt at an ejected node grows with the fleet, which bounds the fleet's attempts."""
    gateway = Fleet(gateway_count).gateways[0]
    delays_s = [gateway._draw_retry_delay_s() for _ in range(200)]
    assert sum(delays_s) / 200 == pytest.approx(gateway_count / 2.0, rel=0.2)


# ---------------------------------------------------------------- bounds and verdicts


def test_evidence_traffic_and_memory_are_bounded() -> None:
    fleet = Fleet(40, node_count=200)
    for node in range(50, 250):
        for gateway_id in range(40):
            fleet.record_failures_at(gateway_id, node, times=1)
    fleet.run_rounds(20)
    assert fleet.bytes / 40 / 5.0 < 2048 + 512  # per second and gateway
    assert (MAX_NODES, MAX_ORIGINS) == (1024, 256)
    for gateway in fleet.gateways:
        assert len(gateway.nodes) <= MAX_NODES
        assert all(len(findings.by_origin) <= MAX_ORIGINS for findings in gateway.nodes.values())


@pytest.mark.parametrize(
    "result, reused_connection, verdict",
    [
        (Result.SERVED, False, HealthVerdict.HEALTHY),
        (Result.CONNECT_FAILED, False, HealthVerdict.UNREACHABLE),
        (Result.RESET, False, HealthVerdict.UNRESPONSIVE),
        (Result.RESET, True, None),
        (Result.ERROR, False, None),
        (Result.CANCELLED, False, None),
    ],
)
def test_outcome_verdict_for_each_result(
    result: Result, reused_connection: bool, verdict: HealthVerdict | None
) -> None:
    outcome = Outcome(1, 0, 5, 0.1, result, False, 0, None, None, reused_connection)
    assert outcome_verdict(outcome) is verdict


def test_status_uses_the_verdict_names_of_the_status_page() -> None:
    fleet = Fleet(4)
    for node, verdict in ((1, HealthVerdict.UNRESPONSIVE), (2, HealthVerdict.UNREACHABLE)):
        fleet.gateways[0].record_failure(fleet.now, node, verdict)
    fleet.gateways[0].record_healthy(fleet.now, 2)
    rows = fleet.gateways[0].status(fleet.now)
    found = {node: row["evidence"] for node, row in rows.items()}
    assert found == {
        1: [{"head": 0, "found": "silent", "signs": 1, "age_s": 0.0}],
        2: [{"head": 0, "found": "well", "signs": 1, "age_s": 0.0}],
    }
    assert rows[1]["shunned"] is False and rows[1]["own_signs"] == 1
