"""Unit tests of the lease protocol: ballots, proposals, messages, acceptors, holders and fences."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.duties_walks import terms, walk
from fawnspool.leases import ballot as ballots
from fawnspool.leases.acceptor import Acceptor
from fawnspool.leases.actions import (
    AcceptorMemory,
    LeaseAction,
    LeaseMember,
    PersistVotes,
    SendLeaseMessage,
    VoteRecord,
)
from fawnspool.leases.ballot import Ballot, BallotVerdict, Promise
from fawnspool.leases.candidate import NEVER, Proposal, guaranteed_lease_s
from fawnspool.leases.fencing import MAX_ROLES, Fence, StaleTokenError
from fawnspool.leases.lease_holder import (
    EVENT_LOOP_LAG,
    NOT_RENEWED,
    OUT_OF_REACH,
    LeaseAcquired,
    LeaseHolder,
    LeaseLost,
)
from fawnspool.leases.messages import (
    MAX_ENTRIES,
    BallotEntry,
    LeaseMessage,
    LeaseMessageError,
    LeaseMessageType,
    decode,
    encode,
)

SETTINGS = terms(5, 3, 8)
LEASE_S = 2.0
GRANTED = BallotVerdict.GRANTED
REJECTED = BallotVerdict.REJECTED


def sent_messages(actions: list[LeaseAction]) -> list[LeaseMessage]:
    return [action.message for action in actions if isinstance(action, SendLeaseMessage)]


# ---------------------------------------------------------------- ballots and proposals


def vote(promise: Promise, now: float, token: int, incarnation: int, floor: int = 0) -> tuple[Promise, BallotVerdict]:
    return ballots.vote(promise, Ballot(token, incarnation), now, floor, LEASE_S)


def test_a_vote_is_exclusive_until_it_expires_and_goes_only_to_higher_tokens() -> None:
    promise, verdict = vote(Promise(), 10.0, 4, 7)
    assert verdict is GRANTED and promise == Promise(4, 7, 12.0)
    assert vote(promise, 11.9, 5, 8) == (promise, REJECTED)
    assert vote(promise, 12.0, 4, 8) == (promise, REJECTED)  # the token belongs to another incarnation
    assert vote(promise, 12.0, 5, 8, floor=5) == (promise, REJECTED)  # the token may have been promised before
    assert vote(promise, 12.0, 5, 8)[0] == Promise(5, 8, 14.0)


def test_the_incarnation_that_has_a_vote_may_renew_it_or_raise_its_token() -> None:
    promise = Promise(4, 7, 12.0)
    assert vote(promise, 11.0, 4, 7)[0].expires_at == 13.0
    assert vote(promise, 11.0, 6, 7)[0] == Promise(6, 7, 13.0)


def test_a_released_vote_is_not_revived_by_a_late_request() -> None:
    promise = Promise(4, 7, 12.0)
    released = ballots.release(promise, Ballot(4, 7))
    assert released.released
    assert ballots.release(promise, Ballot(3, 7)) is promise and ballots.release(promise, Ballot(4, 8)) is promise
    assert vote(released, 11.0, 4, 7)[1] is REJECTED


def test_after_a_restart_a_remembered_vote_counts_as_just_given() -> None:
    released = Promise(4, 7, 12.0, released=True)
    assert ballots.restore(released, 50.0, LEASE_S) == Promise(4, 7, 52.0)
    assert ballots.restore(Promise(), 50.0, LEASE_S) == Promise()


def test_votes_count_from_their_requests_and_a_proposal_ends_with_its_majority() -> None:
    proposal = Proposal(3, 0.0).with_vote(0, 5.0).with_vote(1, 4.0).with_vote(2, 3.0).with_vote(1, 2.0)
    assert proposal.votes == {0: 5.0, 1: 4.0, 2: 3.0}
    assert [proposal.expires_at(quorum, 1.5) for quorum in (2, 3, 4)] == [5.5, 4.5, NEVER]
    assert guaranteed_lease_s(2.0, 0.0) == 2.0 and guaranteed_lease_s(2.0, 0.01) < 2.0 * 0.981


# ---------------------------------------------------------------- messages


@given(st.binary(max_size=300))
def test_every_body_is_either_rejected_or_encoded_back_unchanged(body: bytes) -> None:
    try:
        message = decode(body)
    except LeaseMessageError:
        return
    assert encode(message) == body  # an accepted body is encoded back to the same bytes


ENTRY = st.tuples(st.integers(0, 65535), st.integers(0, 2**64 - 1), st.integers(0, 255), st.integers(0, 65535))


@given(
    st.sampled_from(LeaseMessageType),
    st.integers(0, 2**32 - 1),
    st.integers(0, 2**64 - 1),
    st.lists(ENTRY, max_size=MAX_ENTRIES),
)
def test_messages_decode_as_they_were_encoded(
    message_type: LeaseMessageType, fingerprint: int, incarnation: int, rows: Any
) -> None:
    entries = tuple(BallotEntry(role, token, verdict, wait_ms / 1000) for role, token, verdict, wait_ms in rows)
    message = LeaseMessage(message_type, fingerprint, incarnation, 5, 6, 7, entries)
    assert len(encode(message)) <= 256 and decode(encode(message)) == message


def test_messages_keep_their_layout_on_the_wire() -> None:
    entries = (BallotEntry(1, 2, 1, 0.25),)
    message = LeaseMessage(LeaseMessageType.VOTE_RESPONSE, 0x01020304, 5, 6, 7, 2, entries)
    assert encode(message).hex() == "d0020102030400000000000000050000000600070002" + ("000100000000000000020100fa")
    assert [message_type.value for message_type in LeaseMessageType] == [1, 2, 3, 4, 5, 6, 7]


# ---------------------------------------------------------------- acceptors


def make_acceptor(memory: AcceptorMemory | None) -> Acceptor:
    return Acceptor(SETTINGS, LeaseMember(gateway_id=0, incarnation=99, seed=1), 100.0, memory)


@pytest.fixture
def acceptor() -> Acceptor:
    """An acceptor with its memory, which has given no vote."""
    return make_acceptor(AcceptorMemory({}))


@pytest.fixture
def acceptor_without_memory() -> Acceptor:
    """An acceptor without its memory."""
    return make_acceptor(None)


def vote_request(role: int, token: int, fingerprint: int = SETTINGS.fingerprint) -> LeaseMessage:
    return LeaseMessage(LeaseMessageType.VOTE_REQUEST, fingerprint, 7, 1, 0, 1, (BallotEntry(role, token),))


def recovery_response(serial: int, incarnation: int, has_memory: int, token: int) -> LeaseMessage:
    return LeaseMessage(
        LeaseMessageType.RECOVERY_RESPONSE,
        SETTINGS.fingerprint,
        incarnation,
        serial,
        has_memory,
        0,
        (BallotEntry(0, token),),
    )


def test_a_vote_is_persisted_before_it_is_announced_and_a_renewal_is_not_persisted_again(acceptor: Acceptor) -> None:
    persist, send = acceptor.receive(100.0, 3, vote_request(2, 5))
    assert persist == PersistVotes((VoteRecord(2, 5, 7),))
    assert isinstance(send, SendLeaseMessage) and send.message.entries[0].verdict == GRANTED
    assert send.message.incarnation == 7  # so that other incarnations of that gateway ignore the response
    acceptor.confirm_persisted(persist)
    (renewed,) = acceptor.receive(100.5, 3, vote_request(2, 5))
    assert isinstance(renewed, SendLeaseMessage)


def test_an_acceptor_ignores_requests_with_other_settings_or_an_invalid_role_or_token(acceptor: Acceptor) -> None:
    assert acceptor.receive(100.5, 3, vote_request(2, 6, SETTINGS.fingerprint ^ 1)) == []
    assert acceptor.foreign_messages == 1
    assert acceptor.receive(100.5, 3, vote_request(9999, 6)) == []
    assert acceptor.receive(100.5, 3, vote_request(2, 0)) == []


def test_an_unconfirmed_vote_is_persisted_again_with_each_grant(acceptor: Acceptor) -> None:
    """On a full disk, the second request of a ballot was granted without a stored vote, and a restarted acceptor gave
    the vote to another gateway under a token that had counted (18 of 200 walks)."""
    persist, _ = acceptor.receive(100.0, 3, vote_request(2, 5))
    assert isinstance(persist, PersistVotes)
    for now in (100.2, 100.4):  # the vote is not confirmed yet
        persist_again, send = acceptor.receive(now, 3, vote_request(2, 5))
        assert persist_again == persist and isinstance(send, SendLeaseMessage)
    acceptor.confirm_persisted(PersistVotes((VoteRecord(2, 4, 7),)))  # an older vote was written
    assert len(acceptor.receive(100.5, 3, vote_request(2, 5))) == 2
    acceptor.confirm_persisted(persist)
    assert len(acceptor.receive(100.6, 3, vote_request(2, 5))) == 1


def test_an_unconfirmed_floor_is_persisted_again_with_the_next_vote(acceptor_without_memory: Acceptor) -> None:
    """Otherwise the file holds votes without a floor and looks complete to the next incarnation."""
    request = sent_messages(acceptor_without_memory.tick(102.0))[0]
    for sender in (1, 2):
        actions = acceptor_without_memory.receive(
            102.1, sender, recovery_response(request.serial, request.incarnation, 1, 9)
        )
    assert (
        acceptor_without_memory.is_voting
        and acceptor_without_memory.floor == 9
        and actions in ([], [PersistVotes((), 9)])
    )
    persist, _ = acceptor_without_memory.receive(102.2, 3, vote_request(2, 10))
    assert persist == PersistVotes((VoteRecord(2, 10, 7),), 9)
    acceptor_without_memory.confirm_persisted(persist)
    assert acceptor_without_memory.receive(102.3, 3, vote_request(3, 10))[0] == PersistVotes((VoteRecord(3, 10, 7),))


def test_an_acceptor_without_memory_waits_one_lease_then_recovers_its_floor_from_the_others(
    acceptor_without_memory: Acceptor,
) -> None:
    (response,) = sent_messages(acceptor_without_memory.receive(100.1, 3, vote_request(2, 5)))
    assert response.entries[0].verdict == BallotVerdict.RECOVERING
    assert acceptor_without_memory.tick(101.9) == [] and acceptor_without_memory.next_deadline() == 102.0
    requests = sent_messages(acceptor_without_memory.tick(102.0))
    assert [message.type for message in requests] == [LeaseMessageType.RECOVERY_REQUEST] * 2
    serial = requests[0].serial

    def respond(sender: int, serial: int, incarnation: int, token: int) -> list[LeaseAction]:
        return acceptor_without_memory.receive(102.1, sender, recovery_response(serial, incarnation, 1, token))

    assert respond(1, serial + 1, 99, 9) == []  # response to another request
    assert respond(1, serial, 98, 9) == []  # response to another incarnation
    assert respond(1, serial, 99, 9) == [] and not acceptor_without_memory.is_voting  # one response is not enough
    assert respond(2, serial, 99, 4) == [PersistVotes((), 9)] and acceptor_without_memory.is_voting
    for token, verdict in ((9, REJECTED), (10, GRANTED)):
        responses = sent_messages(acceptor_without_memory.receive(102.2, 3, vote_request(2, token)))
        assert [response.entries[0].verdict for response in responses] == [verdict]


# ---------------------------------------------------------------- holders

INCARNATION = 5


def make_holder(gateway_id: int = 4, incarnation: int = INCARNATION, now: float = 10.0) -> LeaseHolder:
    return LeaseHolder(SETTINGS, LeaseMember(gateway_id, incarnation, seed=1), now)


def nomination(role: int, token: int, fingerprint: int = SETTINGS.fingerprint) -> LeaseMessage:
    return LeaseMessage(LeaseMessageType.NOMINATION, fingerprint, 1, entries=(BallotEntry(role, token),))


def vote_response(serial: int, entry: BallotEntry, incarnation: int = INCARNATION) -> LeaseMessage:
    return LeaseMessage(LeaseMessageType.VOTE_RESPONSE, SETTINGS.fingerprint, incarnation, serial, 4, 0, (entry,))


@pytest.fixture
def holder() -> LeaseHolder:
    """A holder of role 0 under token 7, by the votes of acceptors 0 and 1, requested at 10.0."""
    candidate = make_holder()
    request = sent_messages(candidate.receive(10.0, 0, nomination(0, 6)))[0]
    assert request.entries[0].token == 7
    for acceptor_id in (0, 1):
        candidate.receive(10.1, acceptor_id, vote_response(request.serial, BallotEntry(0, 7, GRANTED, 2.0)))
    return candidate


def test_a_release_of_a_vacant_role_by_incarnation_0_changes_nothing(acceptor: Acceptor) -> None:
    release = LeaseMessage(LeaseMessageType.RELEASE, SETTINGS.fingerprint, 0, 1, 0, 1, (BallotEntry(1, 4),))
    acceptor.receive(10.0, 3, release)
    assert not acceptor.nominator.held_elsewhere


def test_a_message_under_other_settings_is_ignored_and_counted() -> None:
    other_settings = replace(SETTINGS, acceptors=(0, 1, 3))
    assert other_settings.fingerprint != SETTINGS.fingerprint
    assert replace(SETTINGS, lease_s=1.0).fingerprint != SETTINGS.fingerprint
    candidate = make_holder()
    assert candidate.receive(0.0, 1, nomination(0, 1, other_settings.fingerprint)) == []
    assert candidate.foreign_messages == 1


def test_the_fingerprint_of_settings_keeps_its_value() -> None:
    """Messages and stored votes contain the fingerprint: gateways before and after an upgrade must agree on it."""
    assert SETTINGS.fingerprint == 211634983


def test_a_lease_lasts_from_its_request_to_a_margin_before_its_end(holder: LeaseHolder) -> None:
    end = 10.0 + SETTINGS.guaranteed_lease_s
    assert holder.events == [LeaseAcquired(0, 7)]
    assert holder.remaining_s(10.1, 0, 7) == pytest.approx(SETTINGS.guaranteed_lease_s - SETTINGS.margin_s - 0.1)
    assert holder.remaining_s(10.1, 0, 6) == 0.0 and holder.remaining_s(end, 0, 7) < 0
    holder.events = []
    actions = holder.tick(end)
    assert holder.events == [LeaseLost(0, 7, NOT_RENEWED)]
    assert {message.type for message in sent_messages(actions)} >= {LeaseMessageType.RELEASE}
    assert holder.remaining_s(end, 0, 7) == 0.0


def test_responses_to_another_incarnation_or_request_or_from_a_non_acceptor_are_ignored() -> None:
    candidate = make_holder()
    serial = sent_messages(candidate.receive(10.0, 0, nomination(0, 6)))[0].serial
    granted = BallotEntry(0, 7, GRANTED, 2.0)
    for acceptor_id in (0, 1):
        assert candidate.receive(10.1, acceptor_id, vote_response(serial, granted, incarnation=4)) == []
        assert candidate.receive(10.1, acceptor_id, vote_response(serial + 9, granted)) == []
        assert candidate.receive(10.1, 3 + acceptor_id, vote_response(serial, granted)) == []
    assert candidate.events == [] and candidate.held_count() == 0


def test_a_response_read_after_its_lease_ended_acquires_nothing() -> None:
    """A gateway that had been stopped for two leases reported that it acquired a role under a higher token."""
    candidate = make_holder(gateway_id=3, incarnation=7, now=100.0)

    def respond(now: float, acceptor_id: int, serial: int, token: int, verdict: BallotVerdict = GRANTED) -> None:
        candidate.receive(now, acceptor_id, vote_response(serial, BallotEntry(2, token, verdict), incarnation=7))

    requests = sent_messages(candidate.receive(100.0, 0, nomination(2, 0)))
    for acceptor_id in (0, 1):
        respond(100.01, acceptor_id, requests[0].serial, 1)
    respond(100.02, 2, requests[0].serial, 5, REJECTED)  # its vote is free, but it has promised a higher token
    now = 100.0
    higher_request = None
    while higher_request is None:
        now += SETTINGS.renewal_interval_s
        for action in candidate.tick(now):
            if not isinstance(action, SendLeaseMessage) or action.recipient != 0:
                continue
            message = action.message
            if message.type is not LeaseMessageType.VOTE_REQUEST:
                continue
            if message.entries[0].token > 1:
                higher_request = message
            else:
                for acceptor_id in (0, 1):
                    respond(now, acceptor_id, message.serial, 1)
        assert now < 110
    candidate.events.clear()
    for acceptor_id in (0, 1):
        respond(now + 2 * SETTINGS.lease_s, acceptor_id, higher_request.serial, higher_request.entries[0].token)
    assert not [event for event in candidate.events if isinstance(event, LeaseAcquired)]
    assert walk(32)[0] == []


def test_a_holder_whose_event_loop_lags_twice_releases_its_role(holder: LeaseHolder) -> None:
    assert holder.record_lag(10.2, SETTINGS.margin_s / 2) == []
    assert holder.record_lag(10.3, 2 * SETTINGS.margin_s) == []
    assert holder.record_lag(10.4, 2 * SETTINGS.margin_s)
    assert holder.events[-1] == LeaseLost(0, 7, EVENT_LOOP_LAG) and EVENT_LOOP_LAG == "its loop lags"


def test_a_holder_without_its_dependency_for_a_lease_releases_the_role_and_accepts_none(holder: LeaseHolder) -> None:
    service = "the map service"
    assert holder.record_reachability(11.0, 0, service, True) == []
    assert holder.record_reachability(11.0 + SETTINGS.lease_s, 0, service, False) == []
    assert holder.record_reachability(11.1 + SETTINGS.lease_s, 0, service, False)
    assert holder.events[-1] == LeaseLost(0, 7, OUT_OF_REACH) and "out of reach" in OUT_OF_REACH
    assert holder.receive(11.2 + SETTINGS.lease_s, 0, nomination(1, 6)) == []


def test_a_fenced_holder_requests_a_higher_token_than_the_fence_has_seen(holder: LeaseHolder) -> None:
    holder.record_stale_token(10.2, 0, 40)
    requests = sent_messages(holder.receive(10.3, 0, nomination(0, 6)))
    assert [request.entries[0].token for request in requests][:1] == [41]


# ---------------------------------------------------------------- fences


def test_a_fence_admits_only_the_newest_token_and_one_incarnation_of_it() -> None:
    fence = Fence([("a", 3, 8), ("a", 2, 9)])
    assert not fence.admit("a", 3, 8) and fence.admit("b", 1, 1)
    for token, incarnation in ((2, 9), (3, 9)):
        with pytest.raises(StaleTokenError) as rejection:
            fence.admit("a", token, incarnation)
        assert rejection.value.newest == 3
    assert fence.admit("a", 4, 9)


def test_a_fence_remembers_no_more_roles_than_its_bound() -> None:
    fence = Fence()
    with pytest.raises(ValueError):
        for number in range(MAX_ROLES + 1):
            fence.admit(f"x{number}", 1, 1)
    assert len(fence.newest) == MAX_ROLES
