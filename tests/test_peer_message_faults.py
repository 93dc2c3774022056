"""What peers send, and what handling it raises, must not end the greenlets that leases and gossip run in."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.duties_walks import terms
from fawnspool.config.head import DutiesBlock, DutyBlock, SharedBlock
from fawnspool.gateway.acceptor_log import AcceptorLog
from fawnspool.gateway.acceptor_runner import AcceptorRunner
from fawnspool.gateway.gossip_runner import GossipRunner, SchedulerView
from fawnspool.gateway.lease_runner import RELEASED_BY_OPERATOR, LeaseRunner, lease_settings
from fawnspool.gateway.map_client import OperatorRequests
from fawnspool.gateway.peer_channel import FleetPlace
from fawnspool.gateway.peers import PeerSocket
from fawnspool.gateway.role_context import GatewayView, RoleContext
from fawnspool.leases.acceptor import Acceptor
from fawnspool.leases.actions import AcceptorMemory, LeaseAction, LeaseMember, PersistVotes, SendLeaseMessage
from fawnspool.leases.lease_holder import LeaseHolder
from fawnspool.leases.messages import MAX_ENTRIES, BallotEntry, LeaseMessage, LeaseMessageType, encode
from fawnspool.telemetry import logs
from tests.e2e.rig import wait_for

logs.set_up("none")
SETTINGS = terms(5, 3, 8)
SELF, PEER = 0, 1

# ---------------------------------------------------------------- every message at every state

U16, U64 = st.integers(0, 2**16 - 1), st.integers(0, 2**64 - 1)
TOKENS = st.one_of(st.integers(0, 9), st.sampled_from([2**63, 2**64 - 2, 2**64 - 1]), U64)
ENTRIES = st.lists(
    st.builds(
        BallotEntry, st.one_of(st.integers(0, 9), U16), TOKENS, st.integers(0, 255), st.sampled_from([0.0, 65.0])
    ),
    max_size=MAX_ENTRIES,
)
MESSAGES = st.builds(
    LeaseMessage,
    st.sampled_from(LeaseMessageType),
    st.just(SETTINGS.fingerprint),
    st.sampled_from([0, 5, 6, 2**64 - 1]),
    st.integers(0, 3),
    U16,
    U16,
    ENTRIES.map(tuple),
)
STEPS = st.lists(st.tuples(st.sampled_from([0.0, 0.01, 0.5, 3.0]), st.integers(0, 6), MESSAGES), max_size=12)


def encode_all(actions: list[LeaseAction]) -> list[LeaseMessage]:
    messages = [action.message for action in actions if isinstance(action, SendLeaseMessage)]
    assert all(encode(message) for message in messages)
    return messages


@given(STEPS)
def test_no_message_in_any_order_ends_a_lease_holder(steps: list[tuple[float, int, LeaseMessage]]) -> None:
    now, serial = 10.0, 0
    holder = LeaseHolder(SETTINGS, LeaseMember(4, 5, seed=1), now)
    for delay_s, sender, message in steps:
        now += delay_s
        answered = replace(message, serial=(serial - message.serial) & 0xFFFFFFFF)
        sent = encode_all(holder.receive(now, sender, answered) + holder.tick(now))
        serial = max([serial, *(request.serial for request in sent)])
        assert holder.next_deadline() > 0


def heard(holder: LeaseHolder, kind: LeaseMessageType, token: int, serial: int = 0) -> list[LeaseMessage]:
    """What the holder sends on hearing of role 0."""
    message = LeaseMessage(kind, SETTINGS.fingerprint, 5, serial, entries=(BallotEntry(0, token),))
    return encode_all(holder.receive(10.0, 0, message))


def test_the_highest_token_of_the_wire_does_not_end_a_lease_holder() -> None:
    """Guards against a peer's token so high that the next one did not fit the wire: it ended the greenlet of leases."""
    nominated = LeaseHolder(SETTINGS, LeaseMember(4, 5, seed=1), 10.0)
    assert heard(nominated, LeaseMessageType.NOMINATION, 2**64 - 1)
    outbid = LeaseHolder(SETTINGS, LeaseMember(4, 5, seed=1), 10.0)
    request = heard(outbid, LeaseMessageType.NOMINATION, 1)[0]
    heard(outbid, LeaseMessageType.VOTE_RESPONSE, 2**64 - 1, request.serial)
    assert encode_all(outbid.tick(10.2))


@pytest.mark.parametrize("memory", [AcceptorMemory({}, 0), None], ids=["remembers", "recovers"])
@given(steps=STEPS)
def test_no_message_in_any_order_ends_an_acceptor(
    memory: AcceptorMemory | None, steps: list[tuple[float, int, LeaseMessage]]
) -> None:
    now = 10.0
    acceptor = Acceptor(SETTINGS, LeaseMember(0, 5, seed=1), now, memory)
    for delay_s, sender, message in steps:
        now += delay_s
        serial = acceptor.recovery.serial if acceptor.recovery is not None else message.serial
        encode_all(acceptor.receive(now, sender, replace(message, serial=serial)) + acceptor.tick(now))
        assert acceptor.next_deadline() > 0


# ---------------------------------------------------------------- what raises all the same


class FailsOnce:
    """A callable whose first call raises."""

    def __init__(self, real: Callable[..., Any]) -> None:
        self.real = real
        self.calls = 0

    def __call__(self, *args: Any) -> Any:
        self.calls += 1
        if self.calls == 1:
            message = "not foreseen"
            raise RuntimeError(message)
        return self.real(*args)


@pytest.fixture
def peers() -> Iterator[PeerSocket]:
    own = PeerSocket(("127.0.0.1", 0), SELF, {}, lambda event: None)
    own.addresses = {SELF: own.address, PEER: own.address}
    yield own
    own.stop()


@pytest.fixture
def stranger(peers: PeerSocket) -> Iterator[PeerSocket]:
    """The other gateway's end."""
    other = PeerSocket(("127.0.0.1", 0), PEER, {SELF: peers.address}, lambda event: None)
    peers.addresses[PEER] = other.address
    yield other
    other.stop()


def test_a_handler_that_raises_does_not_end_the_peer_socket(peers: PeerSocket, stranger: PeerSocket) -> None:
    """Guards against one message after which a gateway heard no peer any more, of leases, limits or gossip."""
    received: list[bytes] = []
    peers.subscribe(7, FailsOnce(lambda sender, body: received.append(body)))
    for text in (b"\x07first", b"\x07second"):
        stranger.send(SELF, text)
    wait_for(lambda: received)
    assert received == [b"\x07second"] and not peers.greenlet.ready()


def test_an_error_of_the_socket_does_not_end_the_peer_socket(
    peers: PeerSocket, stranger: PeerSocket, monkeypatch: pytest.MonkeyPatch
) -> None:
    received: list[bytes] = []
    peers.subscribe(7, lambda sender, body: received.append(body))

    def fails(size: int) -> Any:
        monkeypatch.undo()
        raise OSError(105, "No buffer space available")

    monkeypatch.setattr(peers, "sock", type("Socket", (), {"recvfrom": staticmethod(fails), "close": peers.sock.close}))
    peers.greenlet.kill()
    peers.greenlet = gevent.spawn(peers._receive_all)
    gevent.sleep(0.01)
    stranger.send(SELF, b"\x07text")
    wait_for(lambda: received)


@pytest.fixture
def runner(peers: PeerSocket, tmp_path: Path) -> Iterator[LeaseRunner]:
    """A fleet of one, whose only gateway is the only acceptor."""
    config = DutiesBlock(voters=(SELF,), lease=0.2, duty=(DutyBlock(name="drain", shards=2),))
    remembers = AcceptorLog(tmp_path, lease_settings(config, 1), sync=False)
    remembers.persist(PersistVotes((), 0))
    remembers.close()
    made = LeaseRunner(config, FleetPlace(SELF, 1, 1), tmp_path, peers, logs.get())
    yield made
    made.stop()


class IdleWork:
    """Holds roles and does nothing."""

    def __init__(self) -> None:
        self.by_kind = {"drain": self._idle}

    def _idle(self, lease: Any) -> None:
        while True:
            lease.sleep(0.01)

    def poll_operator_requests(self, runner: LeaseRunner) -> None:
        """Ask for nothing."""


@pytest.mark.parametrize("method", ["receive", "tick"])
def test_a_lease_holder_that_raises_once_does_not_end_the_greenlet_of_leases(runner: LeaseRunner, method: str) -> None:
    """Guards against leases that are never renewed, nor votes given, after one fault, in silence."""
    failing = FailsOnce(getattr(runner.holder, method))
    setattr(runner.holder, method, failing)
    runner.start(IdleWork())
    wait_for(lambda: len(runner.leases) == 2 and failing.calls > 1)


def test_an_acceptor_that_raises_once_does_not_end_the_greenlet_of_leases(runner: LeaseRunner) -> None:
    assert runner.acceptor is not None
    failing = FailsOnce(runner.acceptor.acceptor.receive)
    runner.acceptor.acceptor.receive = failing  # type: ignore[method-assign]
    runner.start(IdleWork())
    wait_for(lambda: len(runner.leases) == 2 and failing.calls > 1)


def test_a_write_that_raises_no_oserror_announces_nothing_and_does_not_end_the_acceptor(tmp_path: Path) -> None:
    """Guards against an acceptor that gives no vote until a restart, and against a vote that is not on disk."""
    sent: list[SendLeaseMessage] = []
    votes = AcceptorLog(tmp_path, SETTINGS, sync=False)
    acceptor = Acceptor(SETTINGS, LeaseMember(SELF, 5, seed=1), 10.0, AcceptorMemory({}, 0))
    votes.persist(PersistVotes((), 0))
    votes.persist = FailsOnce(votes.persist)  # type: ignore[method-assign]
    made = AcceptorRunner(acceptor, votes, sent.extend, logs.get())
    made.start()
    for serial in (1, 2):
        request = LeaseMessage(
            LeaseMessageType.VOTE_REQUEST, SETTINGS.fingerprint, 6, serial, entries=(BallotEntry(0, 3),)
        )
        made.receive(10.0, 3, request)
    wait_for(lambda: sent)
    made.stop()
    assert [action.message.serial for action in sent] == [2]
    assert AcceptorLog(tmp_path, SETTINGS, sync=False).memory.votes  # type: ignore[union-attr]


class Requests:
    """A map service that says what operators ask for."""

    timeout_s = 1.0

    def __init__(self, requests: dict[str, str]) -> None:
        self.requests = requests
        self.calls = 0

    def with_deadline(self, deadline: float) -> Requests:
        """Return itself."""
        return self

    def operator_requests(self) -> OperatorRequests:
        """Return what is asked for, and count the calls."""
        self.calls += 1
        return OperatorRequests(self.requests, [])


def test_a_request_to_release_that_names_no_token_does_not_end_the_polls(runner: LeaseRunner) -> None:
    """Guards against a gateway that heeds no operator any more: neither drains, nor pauses, nor releases."""
    service = Requests({"release/drain/0": "soon", "release/drain/1": "999"})
    context = RoleContext(None, service, GatewayView(dict, lambda: 0), logs.get())  # type: ignore[arg-type]
    work = IdleWork()
    work.poll_operator_requests = context.poll_operator_requests  # type: ignore[method-assign]
    runner.start(work)
    wait_for(lambda: runner.lost_counts[RELEASED_BY_OPERATOR] > 1 and service.calls > 2)


def test_a_gossip_round_that_raises_once_is_not_the_last(peers: PeerSocket) -> None:
    """Guards against a gateway that tells its peers nothing any more after one fault, in silence."""
    view = SchedulerView({}, lambda: 1, list, lambda event: None)
    made = GossipRunner(SharedBlock(every=0.01), FleetPlace(SELF, 2, 1), peers, view, logs.get())
    failing = FailsOnce(made.agent.run_round)
    made.agent.run_round = failing  # type: ignore[method-assign]
    made.start()
    wait_for(lambda: failing.calls > 2)
    made.stop()
