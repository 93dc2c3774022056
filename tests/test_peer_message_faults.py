"""Tests that no peer message, and no exception raised while one is handled, ends the greenlets of leases and gossip."""

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

# ---------------------------------------------------------------- any messages in any state

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
def test_lease_holder_survives_any_messages_in_any_order(steps: list[tuple[float, int, LeaseMessage]]) -> None:
    now, serial = 10.0, 0
    holder = LeaseHolder(SETTINGS, LeaseMember(4, 5, seed=1), now)
    for delay_s, sender, message in steps:
        now += delay_s
        message_with_serial = replace(message, serial=(serial - message.serial) & 0xFFFFFFFF)
        sent = encode_all(holder.receive(now, sender, message_with_serial) + holder.tick(now))
        serial = max([serial, *(request.serial for request in sent)])
        assert holder.next_deadline() > 0


def messages_after(
    holder: LeaseHolder, message_type: LeaseMessageType, token: int, serial: int = 0
) -> list[LeaseMessage]:
    """Return the messages that the holder sends after a message about role 0."""
    message = LeaseMessage(message_type, SETTINGS.fingerprint, 5, serial, entries=(BallotEntry(0, token),))
    return encode_all(holder.receive(10.0, 0, message))


def test_lease_holder_survives_the_highest_token_of_the_wire() -> None:
    """Guards against a peer's token whose successor does not fit the wire, which ended the greenlet of leases."""
    nominated = LeaseHolder(SETTINGS, LeaseMember(4, 5, seed=1), 10.0)
    assert messages_after(nominated, LeaseMessageType.NOMINATION, 2**64 - 1)
    outbid = LeaseHolder(SETTINGS, LeaseMember(4, 5, seed=1), 10.0)
    request = messages_after(outbid, LeaseMessageType.NOMINATION, 1)[0]
    messages_after(outbid, LeaseMessageType.VOTE_RESPONSE, 2**64 - 1, request.serial)
    assert encode_all(outbid.tick(10.2))


@pytest.mark.parametrize("memory", [AcceptorMemory({}, 0), None], ids=["remembers", "recovers"])
@given(steps=STEPS)
def test_acceptor_survives_any_messages_in_any_order(
    memory: AcceptorMemory | None, steps: list[tuple[float, int, LeaseMessage]]
) -> None:
    now = 10.0
    acceptor = Acceptor(SETTINGS, LeaseMember(0, 5, seed=1), now, memory)
    for delay_s, sender, message in steps:
        now += delay_s
        serial = acceptor.recovery.serial if acceptor.recovery is not None else message.serial
        encode_all(acceptor.receive(now, sender, replace(message, serial=serial)) + acceptor.tick(now))
        assert acceptor.next_deadline() > 0


# ---------------------------------------------------------------- unexpected exceptions


class FailsOnce:
    """A callable whose first call raises."""

    def __init__(self, real: Callable[..., Any]) -> None:
        self.real = real
        self.calls = 0

    def __call__(self, *args: Any) -> Any:
        self.calls += 1
        if self.calls == 1:
            message = "unexpected failure"
            raise RuntimeError(message)
        return self.real(*args)


@pytest.fixture
def peers() -> Iterator[PeerSocket]:
    own_socket = PeerSocket(("127.0.0.1", 0), SELF, {}, lambda event: None)
    own_socket.addresses = {SELF: own_socket.address, PEER: own_socket.address}
    yield own_socket
    own_socket.stop()


@pytest.fixture
def other_peer(peers: PeerSocket) -> Iterator[PeerSocket]:
    """Peer socket of the other gateway."""
    other_socket = PeerSocket(("127.0.0.1", 0), PEER, {SELF: peers.address}, lambda event: None)
    peers.addresses[PEER] = other_socket.address
    yield other_socket
    other_socket.stop()


def test_peer_socket_survives_a_handler_that_raises(peers: PeerSocket, other_peer: PeerSocket) -> None:
    """Guards against one message after which a gateway receives no peer messages any more, in any subsystem."""
    received: list[bytes] = []
    peers.subscribe(7, FailsOnce(lambda sender, body: received.append(body)))
    for text in (b"\x07first", b"\x07second"):
        other_peer.send(SELF, text)
    wait_for(lambda: received)
    assert received == [b"\x07second"] and not peers.greenlet.ready()


class FloodedSocket:
    """A socket on which datagrams arrive faster than they are read, until the given number was read."""

    def __init__(self, datagrams: int) -> None:
        self.datagrams = datagrams
        self.read_by_turn = [0]

    def recvfrom(self, size: int) -> tuple[bytes, Any]:
        self.read_by_turn[-1] += 1
        if sum(self.read_by_turn) > self.datagrams:
            raise gevent.GreenletExit
        return b"FP1", None


def test_datagrams_without_a_pause_let_other_greenlets_run(peers: PeerSocket) -> None:
    """Guards against a peer that keeps the process from all else by sending faster than it is read."""
    own_socket, flooded = peers.sock, FloodedSocket(500)
    peers.greenlet.kill()
    peers.sock = flooded  # type: ignore[assignment]
    peers.greenlet = gevent.spawn(peers._receive_all)
    while not peers.greenlet.dead:
        flooded.read_by_turn.append(0)
        gevent.sleep(0)
    peers.sock = own_socket
    assert sum(flooded.read_by_turn) > 500 and max(flooded.read_by_turn) <= 32


def test_peer_socket_survives_a_socket_error(
    peers: PeerSocket, other_peer: PeerSocket, monkeypatch: pytest.MonkeyPatch
) -> None:
    received: list[bytes] = []
    peers.subscribe(7, lambda sender, body: received.append(body))

    def raise_once(size: int) -> Any:
        monkeypatch.undo()
        raise OSError(105, "No buffer space available")

    monkeypatch.setattr(
        peers, "sock", type("Socket", (), {"recvfrom": staticmethod(raise_once), "close": peers.sock.close})
    )
    peers.greenlet.kill()
    peers.greenlet = gevent.spawn(peers._receive_all)
    gevent.sleep(0.01)
    other_peer.send(SELF, b"\x07text")
    wait_for(lambda: received)


@pytest.fixture
def runner(peers: PeerSocket, tmp_path: Path) -> Iterator[LeaseRunner]:
    """Lease runner of a fleet with one gateway, which is the only acceptor."""
    config = DutiesBlock(voters=(SELF,), lease=0.2, duty=(DutyBlock(name="drain", shards=2),))
    acceptor_log = AcceptorLog(tmp_path, lease_settings(config, 1), sync=False)
    acceptor_log.persist(PersistVotes((), 0))
    acceptor_log.close()
    lease_runner = LeaseRunner(config, FleetPlace(SELF, 1, 1), tmp_path, peers, logs.get())
    yield lease_runner
    lease_runner.stop()


class IdleWork:
    """Role work that holds the leases and does nothing."""

    def __init__(self) -> None:
        self.by_kind = {"drain": self._idle}

    def _idle(self, lease: Any) -> None:
        while True:
            lease.sleep(0.01)

    def poll_operator_requests(self, runner: LeaseRunner) -> None:
        """Do nothing."""


@pytest.mark.parametrize("method", ["receive", "tick"])
def test_lease_greenlet_survives_a_lease_holder_that_raises_once(runner: LeaseRunner, method: str) -> None:
    """Guards against one exception after which, silently, no lease is renewed and no vote is given."""
    failing = FailsOnce(getattr(runner.holder, method))
    setattr(runner.holder, method, failing)
    runner.start(IdleWork())
    wait_for(lambda: len(runner.leases) == 2 and failing.calls > 1)


def test_lease_greenlet_survives_an_acceptor_that_raises_once(runner: LeaseRunner) -> None:
    assert runner.acceptor is not None
    failing = FailsOnce(runner.acceptor.acceptor.receive)
    runner.acceptor.acceptor.receive = failing  # type: ignore[method-assign]
    runner.start(IdleWork())
    wait_for(lambda: len(runner.leases) == 2 and failing.calls > 1)


def test_acceptor_survives_an_unexpected_write_error_and_sends_no_vote_for_it(tmp_path: Path) -> None:
    """Guards against an acceptor that gives no vote until a restart, and against a vote sent before it is on disk."""
    sent: list[SendLeaseMessage] = []
    acceptor_log = AcceptorLog(tmp_path, SETTINGS, sync=False)
    acceptor = Acceptor(SETTINGS, LeaseMember(SELF, 5, seed=1), 10.0, AcceptorMemory({}, 0))
    acceptor_log.persist(PersistVotes((), 0))
    acceptor_log.persist = FailsOnce(acceptor_log.persist)  # type: ignore[method-assign]
    acceptor_runner = AcceptorRunner(acceptor, acceptor_log, sent.extend, logs.get())
    acceptor_runner.start()
    for serial in (1, 2):
        request = LeaseMessage(
            LeaseMessageType.VOTE_REQUEST, SETTINGS.fingerprint, 6, serial, entries=(BallotEntry(0, 3),)
        )
        acceptor_runner.receive(10.0, 3, request)
    wait_for(lambda: sent)
    acceptor_runner.stop()
    assert [action.message.serial for action in sent] == [2]
    assert AcceptorLog(tmp_path, SETTINGS, sync=False).memory.votes  # type: ignore[union-attr]


class StandInMapService:
    """Stand-in of the map service that returns fixed operators' requests."""

    timeout_s = 1.0

    def __init__(self, requests: dict[str, str]) -> None:
        self.requests = requests
        self.calls = 0

    def with_deadline(self, deadline: float) -> StandInMapService:
        """Return itself."""
        return self

    def operator_requests(self) -> OperatorRequests:
        """Return the requests, and count the calls."""
        self.calls += 1
        return OperatorRequests(self.requests, [])


def test_operator_polls_survive_a_release_request_without_a_valid_token(runner: LeaseRunner) -> None:
    """Guards against a gateway that ignores all requests to drain, pause or release after a malformed one."""
    service = StandInMapService({"release/drain/0": "soon", "release/drain/1": "999"})
    context = RoleContext(None, service, GatewayView(dict, lambda: 0), logs.get())  # type: ignore[arg-type]
    work = IdleWork()
    work.poll_operator_requests = context.poll_operator_requests  # type: ignore[method-assign]
    runner.start(work)
    wait_for(lambda: runner.lost_counts[RELEASED_BY_OPERATOR] > 1 and service.calls > 2)


def test_gossip_continues_after_a_round_that_raises(peers: PeerSocket) -> None:
    """Guards against a gateway that silently sends no gossip any more after one exception."""
    view = SchedulerView({}, lambda: 1, list, lambda event: None)
    gossip_runner = GossipRunner(SharedBlock(every=0.01), FleetPlace(SELF, 2, 1), peers, view, logs.get())
    failing = FailsOnce(gossip_runner.agent.run_round)
    gossip_runner.agent.run_round = failing  # type: ignore[method-assign]
    gossip_runner.start()
    wait_for(lambda: failing.calls > 2)
    gossip_runner.stop()
