"""Tests of gossip: message codec, agent, and volume participants."""

from __future__ import annotations

from collections.abc import Iterable

from hypothesis import given
from hypothesis import strategies as st

from fawnspool.gossip.actions import GossipAction, SendGossip
from fawnspool.gossip.agent import GossipAgent
from fawnspool.gossip.messages import (
    EvidenceRow,
    GossipMessage,
    GossipMessageError,
    GossipMessageType,
    HealthVerdict,
    UsageRow,
    decode,
    encode,
    max_rows,
)
from fawnspool.gossip.participant_registry import MAX_VOLUMES
from fawnspool.gossip.settings import MAX_VOLUMES_PER_ROUND, GossipSettings
from fawnspool.gossip.volume_participants import VolumeLimit, VolumeTable
from fawnspool.scheduling.interface import VolumeParticipants

EVIDENCE = GossipMessageType.EVIDENCE
INTERVAL_S = 0.25

# ---------------------------------------------------------------- messages

AGES_S = st.integers(0, 65535).map(lambda steps: steps / 100)
USAGE_ROWS = st.builds(
    UsageRow,
    st.integers(0, 2**64 - 1),
    st.integers(0, 65535),
    st.integers(0, 2**32 - 1),
    st.floats(0, 1e9, width=32),
    AGES_S,
)
EVIDENCE_ROWS = st.builds(
    EvidenceRow,
    st.integers(0, 2**32 - 1),
    st.integers(0, 65535),
    st.sampled_from([0, 1, 2]),
    st.integers(0, 255),
    AGES_S,
)


def assert_survives_encoding(message: GossipMessage) -> None:
    body = encode(message)
    decoded = decode(body)
    assert len(body) <= 256
    assert (decoded.type, decoded.fingerprint, len(decoded.rows)) == (message.type, 7, len(message.rows))
    for received, sent in zip(decoded.rows, message.rows, strict=True):
        assert type(received) is type(sent)
        assert abs(received.age_s - sent.age_s) < 0.006
        exact_fields = [name for name in type(sent).__slots__ if name != "age_s"]
        assert [getattr(received, name) for name in exact_fields] == [getattr(sent, name) for name in exact_fields]


@given(
    st.sampled_from([message_type for message_type in GossipMessageType if message_type is not EVIDENCE]),
    st.lists(USAGE_ROWS, max_size=max_rows(GossipMessageType.PARTICIPATION)),
)
def test_usage_rows_survive_encoding_and_decoding(message_type: GossipMessageType, rows: list[UsageRow]) -> None:
    assert_survives_encoding(GossipMessage(message_type, 7, tuple(rows)))


@given(st.lists(EVIDENCE_ROWS, max_size=max_rows(EVIDENCE)))
def test_evidence_rows_survive_encoding_and_decoding(rows: list[EvidenceRow]) -> None:
    assert_survives_encoding(GossipMessage(EVIDENCE, 7, tuple(rows)))


def test_messages_keep_their_wire_layout() -> None:
    usage = GossipMessage(GossipMessageType.PARTICIPANTS_QUERY, 0x01020304, (UsageRow(5, 6, 7, 1.5, 0.25),))
    evidence = GossipMessage(EVIDENCE, 0x01020304, (EvidenceRow(5, 6, HealthVerdict.UNREACHABLE, 9, 0.25),))
    assert encode(usage).hex() == "b50201020304" + "00000000000000050006000000073fc000000019"
    assert encode(evidence).hex() == "b50401020304" + "00000005000602090019"
    assert [message_type.value for message_type in GossipMessageType] == [1, 2, 3, 4]
    assert [verdict.value for verdict in HealthVerdict] == [0, 1, 2]


def test_settings_fingerprint_keeps_its_value() -> None:
    """Guards against a fingerprint that differs between versions, which would make them drop each other's messages."""
    assert GossipSettings(4).fingerprint == 223593480


def make_agent(gateway_count: int = 4) -> GossipAgent:
    return GossipAgent(GossipSettings(gateway_count), gateway_id=0, incarnation=1, seed=1, now=0.0)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_raise_only_gossip_message_errors(data: bytes) -> None:
    agent = make_agent()
    header = encode(GossipMessage(EVIDENCE, agent.settings.fingerprint))[:6]
    for body in (data, b"\xb5" + data, header + data):
        try:
            agent.receive(1.0, 1, decode(body))
        except GossipMessageError:
            continue
    agent.run_round(9.0, 3, [])


def test_counts_and_drops_foreign_messages() -> None:
    agent = make_agent()
    rows = (EvidenceRow(5, 1, HealthVerdict.UNRESPONSIVE, 9, 0.0),)
    own_fingerprint = agent.settings.fingerprint
    agent.receive(1.0, 1, GossipMessage(EVIDENCE, GossipSettings(5).fingerprint, rows))
    agent.receive(1.0, 4, GossipMessage(EVIDENCE, own_fingerprint, rows))
    agent.receive(1.0, 0, GossipMessage(EVIDENCE, own_fingerprint, rows))
    assert agent.foreign_messages == 3 and not agent.health.nodes


def test_agent_without_messages_from_others_is_isolated() -> None:
    agent = make_agent(6)
    for step in range(400):
        agent.volumes.record_demand(step * 0.1, 7, VolumeLimit(6, 20.0, 60.0), 9.0)
        agent.run_round(step * 0.1, 6, [])
    assert agent.is_isolated(40.0)
    agent.receive(40.0, 1, GossipMessage(GossipMessageType.PARTICIPATION, agent.settings.fingerprint))
    assert not agent.is_isolated(40.1)


# ---------------------------------------------------------------- who serves a volume

VOLUME = 77


class VolumeFleet:
    """Volume tables of several gateways with instant delivery; messages to a gateway that is not listed are lost."""

    def __init__(self, gateways: Iterable[int], gateway_count: int = 12) -> None:
        settings = GossipSettings(gateway_count)
        self.tables = {gateway_id: VolumeTable(settings, gateway_id, 1, 1) for gateway_id in gateways}
        self.learned: dict[int, list[VolumeParticipants]] = {gateway_id: [] for gateway_id in self.tables}

    def demand(self, now: float, gateway_id: int, participants: int, units: float) -> None:
        self.tables[gateway_id].record_demand(now, VOLUME, VolumeLimit(participants, 20.0, 60.0), units)

    def run_round(self, now: float) -> None:
        for gateway_id, table in self.tables.items():
            self._carry_out(now, gateway_id, table.run_round(now), self.learned[gateway_id])

    def _carry_out(
        self, now: float, sender: int, actions: list[GossipAction], learned: list[VolumeParticipants]
    ) -> None:
        """Deliver messages and answers; collect all participant events for the gateway whose round it is."""
        for action in actions:
            if isinstance(action, SendGossip) and action.recipient in self.tables:
                message = decode(encode(action.message))
                answers = self.tables[action.recipient].receive(now, sender, message)
                self._carry_out(now, action.recipient, answers, learned)
            elif isinstance(action, VolumeParticipants):
                learned.append(action)


def test_gateway_that_lacks_units_learns_the_other_participants() -> None:
    fleet = VolumeFleet(range(12))
    for step in range(40):
        for gateway_id in (2, 5, 9):
            fleet.demand(step * INTERVAL_S, gateway_id, 3, 8.0 if gateway_id == 2 else 0.5)
        fleet.run_round(step * INTERVAL_S)
    assert fleet.learned[2][-1] == VolumeParticipants(VOLUME, (5, 9))
    assert not fleet.learned[5] and not fleet.learned[9]  # their units are enough

    fleet.tables[5].record_used(VOLUME, 3.0)
    for step in range(40, 90):
        fleet.demand(step * INTERVAL_S, 2, 3, 8.0)
        fleet.run_round(step * INTERVAL_S)
    interval = fleet.tables[2].interval(22.5, VOLUME)
    assert interval is not None and interval.at_least == 3.0 and interval.unheard == 0 and interval.at_most > 3.0


def test_participants_are_learned_while_one_registrar_is_unreachable() -> None:
    settings = GossipSettings(12)
    for volume in range(50):
        assert len(settings.registrars(volume)) == 2
    registrars = settings.registrars(VOLUME)
    unreachable = registrars[0] if registrars[0] not in (2, 5) else registrars[1]
    fleet = VolumeFleet(gateway_id for gateway_id in range(12) if gateway_id != unreachable)
    for step in range(40):
        for gateway_id in (2, 5):
            fleet.demand(step * INTERVAL_S, gateway_id, 2, 8.0)
        fleet.run_round(step * INTERVAL_S)
    assert fleet.learned[2][-1].gateways == (5,)


def test_rows_sent_are_bounded_and_lacking_volumes_come_first() -> None:
    """Two of 5,000 volumes lack units: both are queried first, and the rows sent stay within a round's limit."""
    table = VolumeTable(GossipSettings(190), 3, 1, 1)
    limit = VolumeLimit(4, 20.0, 60.0)
    for volume in range(5000):
        table.record_demand(0.0, volume, limit, 0.01)
    for volume in (4998, 4999):
        table.record_demand(0.0, volume, limit, 30.0)
    assert len(table.volumes) == MAX_VOLUMES
    sent = [action.message for action in table.run_round(1.0) if isinstance(action, SendGossip)]
    rows = [row for message in sent for row in message.rows if isinstance(row, UsageRow)]
    assert len(rows) <= 2 * MAX_VOLUMES_PER_ROUND
    second_round_types = [action.message.type for action in table.run_round(1.0) if isinstance(action, SendGossip)]
    assert set(second_round_types) == {GossipMessageType.PARTICIPATION}  # the registrars were queried a moment ago
    first_two = [row.volume for row in rows][:2]
    assert first_two in ([4998, 4999], [4999, 4998], [4998, 4998], [4999, 4999])
