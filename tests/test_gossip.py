"""Gossip: messages, agents, and who serves which volume."""

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


def assert_survives_the_wire(message: GossipMessage) -> None:
    body = encode(message)
    read = decode(body)
    assert len(body) <= 256
    assert (read.type, read.fingerprint, len(read.rows)) == (message.type, 7, len(message.rows))
    for received, sent in zip(read.rows, message.rows, strict=True):
        assert type(received) is type(sent)
        assert abs(received.age_s - sent.age_s) < 0.006
        exact = [name for name in type(sent).__slots__ if name != "age_s"]
        assert [getattr(received, name) for name in exact] == [getattr(sent, name) for name in exact]


@given(
    st.sampled_from([kind for kind in GossipMessageType if kind is not EVIDENCE]),
    st.lists(USAGE_ROWS, max_size=max_rows(GossipMessageType.PARTICIPATION)),
)
def test_usage_decodes_as_it_was_encoded(kind: GossipMessageType, rows: list[UsageRow]) -> None:
    assert_survives_the_wire(GossipMessage(kind, 7, tuple(rows)))


@given(st.lists(EVIDENCE_ROWS, max_size=max_rows(EVIDENCE)))
def test_evidence_decodes_as_it_was_encoded(rows: list[EvidenceRow]) -> None:
    assert_survives_the_wire(GossipMessage(EVIDENCE, 7, tuple(rows)))


def test_messages_keep_their_layout_on_the_wire() -> None:
    usage = GossipMessage(GossipMessageType.PARTICIPANTS_QUERY, 0x01020304, (UsageRow(5, 6, 7, 1.5, 0.25),))
    evidence = GossipMessage(EVIDENCE, 0x01020304, (EvidenceRow(5, 6, HealthVerdict.UNREACHABLE, 9, 0.25),))
    assert encode(usage).hex() == "b50201020304" + "00000000000000050006000000073fc000000019"
    assert encode(evidence).hex() == "b50401020304" + "00000005000602090019"
    assert [kind.value for kind in GossipMessageType] == [1, 2, 3, 4]
    assert [verdict.value for verdict in HealthVerdict] == [0, 1, 2]


def test_the_fingerprint_of_settings_keeps_its_value() -> None:
    """It stands in messages: gateways before and after an upgrade must agree on it."""
    assert GossipSettings(4).fingerprint == 223593480


def make_agent(gateway_count: int = 4) -> GossipAgent:
    return GossipAgent(GossipSettings(gateway_count), gateway_id=0, incarnation=1, seed=1, now=0.0)


@given(st.binary(max_size=300))
def test_no_bytes_make_an_agent_raise_anything_else(data: bytes) -> None:
    agent = make_agent()
    header = encode(GossipMessage(EVIDENCE, agent.settings.fingerprint))[:6]
    for body in (data, b"\xb5" + data, header + data):
        try:
            agent.receive(1.0, 1, decode(body))
        except GossipMessageError:
            continue
    agent.run_round(9.0, 3, [])


def test_foreign_messages_are_counted_and_dropped() -> None:
    agent = make_agent()
    rows = (EvidenceRow(5, 1, HealthVerdict.UNRESPONSIVE, 9, 0.0),)
    own = agent.settings.fingerprint
    agent.receive(1.0, 1, GossipMessage(EVIDENCE, GossipSettings(5).fingerprint, rows))
    agent.receive(1.0, 4, GossipMessage(EVIDENCE, own, rows))
    agent.receive(1.0, 0, GossipMessage(EVIDENCE, own, rows))
    assert agent.foreign_messages == 3 and not agent.health.nodes


def test_an_agent_that_hears_nobody_is_isolated() -> None:
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
    """Tables of several gateways that hear each other at once; those that are away hear nothing."""

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
        """Events at others count for the gateway whose round it is, as answers come back to it."""
        for action in actions:
            if isinstance(action, SendGossip) and action.recipient in self.tables:
                message = decode(encode(action.message))
                answers = self.tables[action.recipient].receive(now, sender, message)
                self._carry_out(now, action.recipient, answers, learned)
            elif isinstance(action, VolumeParticipants):
                learned.append(action)


def test_a_gateway_that_lacks_units_learns_who_else_takes_part() -> None:
    fleet = VolumeFleet(range(12))
    for step in range(40):
        for gateway_id in (2, 5, 9):
            fleet.demand(step * INTERVAL_S, gateway_id, 3, 8.0 if gateway_id == 2 else 0.5)
        fleet.run_round(step * INTERVAL_S)
    assert fleet.learned[2][-1] == VolumeParticipants(VOLUME, (5, 9))
    assert not fleet.learned[5] and not fleet.learned[9]  # they have enough

    fleet.tables[5].record_used(VOLUME, 3.0)
    for step in range(40, 90):
        fleet.demand(step * INTERVAL_S, 2, 3, 8.0)
        fleet.run_round(step * INTERVAL_S)
    interval = fleet.tables[2].interval(22.5, VOLUME)
    assert interval is not None and interval.at_least == 3.0 and interval.unheard == 0 and interval.at_most > 3.0


def test_one_registrar_may_be_away() -> None:
    settings = GossipSettings(12)
    for volume in range(50):
        assert len(settings.registrars(volume)) == 2
    registrars = settings.registrars(VOLUME)
    away = registrars[0] if registrars[0] not in (2, 5) else registrars[1]
    fleet = VolumeFleet(gateway_id for gateway_id in range(12) if gateway_id != away)
    for step in range(40):
        for gateway_id in (2, 5):
            fleet.demand(step * INTERVAL_S, gateway_id, 2, 8.0)
        fleet.run_round(step * INTERVAL_S)
    assert fleet.learned[2][-1].gateways == (5,)


def test_bytes_are_bounded_and_lacking_volumes_come_first() -> None:
    """Two volumes of 5,000 that matter."""
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
    again = [action.message.type for action in table.run_round(1.0) if isinstance(action, SendGossip)]
    assert set(again) == {GossipMessageType.PARTICIPATION}  # registrars were asked a moment ago
    first_two = [row.volume for row in rows][:2]
    assert first_two in ([4998, 4999], [4999, 4998], [4998, 4998], [4999, 4999])
