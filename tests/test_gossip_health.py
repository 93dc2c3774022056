"""Evidence about nodes: who ejects a node on others' word, and how one that recovers is readmitted."""

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
    """Gateways that hear each other at once, but for links that are cut."""

    def __init__(self, gateway_count: int, node_count: int = 8) -> None:
        self.now = 100.0
        self.node_count = node_count
        settings = GossipSettings(gateway_count)
        self.gateways = [HealthEvidence(settings, gateway_id, 1) for gateway_id in range(gateway_count)]
        self.cut: set[tuple[int, int]] = set()
        self.events: list[tuple[int, GossipedHealth]] = []  # at which gateway
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

    def finds_healthy(self, gateway_id: int, node: int = NODE) -> None:
        self._carry_out(gateway_id, self.gateways[gateway_id].record_healthy(self.now, node))

    def finds_bad(self, gateway_id: int, node: int = NODE, times: int = 3) -> None:
        for _ in range(times):
            self._carry_out(gateway_id, self.gateways[gateway_id].record_failure(self.now, node, UNRESPONSIVE))

    def ejected_by(self, node: int = NODE) -> list[int]:
        return [gateway.gateway_id for gateway in self.gateways if node in gateway.ejected_nodes()]

    def events_at_others(self, first_other: int) -> list[tuple[int, GossipedHealth]]:
        return [event for event in self.events if event[0] >= first_other]


# ---------------------------------------------------------------- ejection


def test_what_two_gateways_found_turns_those_that_know_nothing() -> None:
    fleet = Fleet(6)
    fleet.finds_bad(0)
    fleet.run_rounds(6)
    assert not fleet.ejected_by()  # one alone turns nobody
    fleet.finds_bad(1)
    fleet.run_rounds(6)
    assert len(fleet.ejected_by()) >= 5


def test_one_gateway_that_says_every_node_is_dead_turns_nobody() -> None:
    fleet = Fleet(6)
    nodes = range(50, 58)
    for _ in range(20):
        for node in nodes:
            fleet.finds_bad(5, node)
        fleet.run_rounds()
    assert not any(fleet.ejected_by(node) for node in nodes if fleet.gateways)
    assert not [event for event in fleet.events if event[0] != 5]


def test_one_that_lies_and_a_lost_answer_elsewhere_turn_nobody() -> None:
    """Seen on processes: a gateway said of all nodes that they were dead, another had one answer lost, five ejected
    it."""
    fleet = Fleet(6)
    for step in range(20):
        fleet.finds_bad(5, times=9)
        if step == 3:
            fleet.finds_bad(0, times=1)
        fleet.run_rounds()
    assert not [event for event in fleet.events if event[0] != 5]


def test_one_in_five_that_are_wrong_turn_nobody() -> None:
    fleet = Fleet(30, node_count=20)
    for _ in range(20):
        for liar in range(6):
            for node in range(50, 54):
                fleet.finds_bad(liar, node, times=1)
        fleet.run_rounds()
    assert not fleet.events_at_others(6)


def test_a_group_that_is_cut_off_from_a_node_does_not_turn_those_that_reach_it() -> None:
    fleet = Fleet(6)
    for _ in range(24):
        for gateway_id in range(3):
            fleet.finds_bad(gateway_id, times=1)
        for gateway_id in range(3, 6):
            fleet.finds_healthy(gateway_id)
        fleet.run_rounds()
    assert not fleet.events_at_others(3)


def test_a_quorum_of_a_large_fleet_can_be_reached() -> None:
    """Of 190 gateways 48 must find it bad, while as many findings were kept of one node, good ones among them."""
    fleet = Fleet(190)
    for gateway_id in range(0, 190, 19):
        fleet.finds_bad(gateway_id, times=1)
        fleet.finds_healthy(gateway_id)
    for gateway_id in range(70):
        fleet.finds_bad(gateway_id, times=2)
    fleet.run_rounds(12)
    assert len(fleet.ejected_by()) > 150


def test_own_answers_go_before_what_is_heard() -> None:
    fleet = Fleet(6)
    for _ in range(8):
        for gateway_id in range(5):
            fleet.finds_bad(gateway_id, times=1)
        fleet.finds_healthy(5)
        fleet.run_rounds()
    assert 5 not in fleet.ejected_by() and len(fleet.ejected_by()) == 5


def test_never_more_than_the_stated_fraction_is_ejected() -> None:
    fleet = Fleet(6, node_count=8)
    for _ in range(4):
        for node in range(50, 58):
            fleet.finds_bad(0, node)
            fleet.finds_bad(1, node)
        fleet.run_rounds(2)
    assert all(len(gateway.ejected_nodes()) <= 2 for gateway in fleet.gateways)
    assert len(fleet.gateways[3].ejected_nodes()) == 2


def test_what_is_heard_fades() -> None:
    fleet = Fleet(6)
    fleet.finds_bad(0)
    fleet.finds_bad(1)
    fleet.run_rounds(4)
    assert fleet.ejected_by()
    fleet.run_rounds(40)
    assert not fleet.ejected_by()
    gateway = fleet.gateways[3]
    faded = tuple(EvidenceRow(NODE, origin, UNRESPONSIVE, 5, 4.5) for origin in (0, 1, 2))
    late = GossipMessage(GossipMessageType.EVIDENCE, gateway.settings.fingerprint, faded)
    assert not gateway.receive(fleet.now, 0, late) and not fleet.ejected_by()


def test_doubled_and_late_messages_change_nothing() -> None:
    fleet = Fleet(6)
    fleet.finds_bad(0)
    rows = (EvidenceRow(NODE, 0, UNRESPONSIVE, 3, 0.0),)
    message = GossipMessage(GossipMessageType.EVIDENCE, fleet.gateways[0].settings.fingerprint, rows)
    for _ in range(5):
        for gateway in fleet.gateways[1:]:
            assert not gateway.receive(fleet.now, 0, message)
    fleet.run_rounds(8)
    assert not fleet.events


# ---------------------------------------------------------------- recovery


def test_a_node_that_recovers_is_found_by_two_and_one_that_lies_is_not_enough() -> None:
    fleet = Fleet(12)
    for gateway_id in range(12):
        fleet.finds_bad(gateway_id)
    fleet.run_rounds(4)
    assert len(fleet.ejected_by()) >= 10
    fleet.run_rounds()
    fleet.finds_healthy(0)  # 0 returns by its own evidence; the others hear of one
    fleet.run_rounds(4)
    assert len(fleet.ejected_by()) >= 9
    immediate = [event for _, event in fleet.events if not event.healthy and event.retry_delay_s == 0.0]
    assert 0 < len(immediate) < 12  # a few try at once
    fleet.finds_healthy(1)
    fleet.run_rounds(6)
    assert not fleet.ejected_by()


@pytest.mark.parametrize("gateway_count", [6, 60])
def test_trials_of_a_whole_fleet_are_few(gateway_count: int) -> None:
    """Each gateway that ejected a node draws its turn from a span that grows with the fleet."""
    gateway = Fleet(gateway_count).gateways[0]
    delays_s = [gateway._draw_retry_delay_s() for _ in range(200)]
    assert sum(delays_s) / 200 == pytest.approx(gateway_count / 2.0, rel=0.2)


# ---------------------------------------------------------------- bounds and verdicts


def test_evidence_is_of_a_bounded_size_however_much_there_is() -> None:
    fleet = Fleet(40, node_count=200)
    for node in range(50, 250):
        for gateway_id in range(40):
            fleet.finds_bad(gateway_id, node, times=1)
    fleet.run_rounds(20)
    assert fleet.bytes / 40 / 5.0 < 2048 + 512  # a second and gateway
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
def test_what_an_attempt_shows_of_its_node(
    result: Result, reused_connection: bool, verdict: HealthVerdict | None
) -> None:
    outcome = Outcome(1, 0, 5, 0.1, result, False, 0, None, None, reused_connection)
    assert outcome_verdict(outcome) is verdict


def test_status_names_verdicts_as_the_status_page_does() -> None:
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
