"""A role is released only after its work has ended: another gateway may acquire a released role at once."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import pytest

from fawnspool.config.head import DutiesBlock, DutyBlock
from fawnspool.gateway.acceptor_log import AcceptorLog
from fawnspool.gateway.lease_runner import LeaseRunner, lease_settings
from fawnspool.gateway.peer_channel import FleetPlace
from fawnspool.gateway.peers import PeerSocket
from fawnspool.leases.actions import LeaseAction, PersistVotes, SendLeaseMessage
from fawnspool.leases.messages import LeaseMessageType
from fawnspool.telemetry import logs
from tests.e2e.rig import wait_for
from tests.test_peer_message_faults import IdleWork

logs.set_up("none")
ROLES = ("drain/0", "drain/1")
CONFIG = DutiesBlock(voters=(0,), lease=0.5, duty=(DutyBlock(name="drain", shards=len(ROLES)),))


@pytest.fixture
def holder(tmp_path: Path) -> Iterator[LeaseRunner]:
    """A gateway that holds both roles by its own vote."""
    acceptor_log = AcceptorLog(tmp_path, lease_settings(CONFIG, 1), sync=False)
    acceptor_log.persist(PersistVotes((), 0))
    acceptor_log.close()
    peers = PeerSocket(("127.0.0.1", 0), 0, {}, lambda event: None)
    runner = LeaseRunner(CONFIG, FleetPlace(0, 1, 1), tmp_path, peers, logs.get())
    runner.start(IdleWork())
    wait_for(lambda: len(runner.leases) == len(ROLES))
    yield runner
    runner.stop()
    peers.stop()


def make_event_loop_lag(runner: LeaseRunner) -> None:
    for _ in range(2):
        runner._step(runner.clock() - 10.0)


def expire_leases(runner: LeaseRunner) -> None:
    clock = runner.clock
    runner.clock = lambda: clock() + 10.0  # type: ignore[method-assign]
    runner._step(None)
    runner.clock = clock  # type: ignore[method-assign]


def record_newer_token(runner: LeaseRunner) -> None:
    lease = next(iter(runner.leases.values()))
    runner._carry_out(runner.holder.record_stale_token(runner.clock(), lease.role, lease.token + 5))


RELEASE_CAUSES: dict[str, Callable[[LeaseRunner], None]] = {
    "event loop lags": make_event_loop_lag,
    "lease expires": expire_leases,
    "released by an operator": lambda runner: runner.release(ROLES[0]),
    "newer token seen": record_newer_token,
    "shutdown": lambda runner: runner.hand_over(),
}


@pytest.mark.parametrize("cause", RELEASE_CAUSES)
def test_no_role_is_released_before_its_work_has_ended(holder: LeaseRunner, cause: str) -> None:
    """Guards against two holders at once: a gateway whose event loop ran late sent releases before its work ended."""
    released, working = list[int](), list[int]()
    send = holder._send

    def record_and_send(actions: Sequence[LeaseAction]) -> None:
        messages = [action.message for action in actions if isinstance(action, SendLeaseMessage)]
        roles = [
            entry.role for message in messages if message.type is LeaseMessageType.RELEASE for entry in message.entries
        ]
        released.extend(roles)
        working.extend(role for role in roles if role in holder.leases)
        send(actions)

    holder._send = record_and_send  # type: ignore[method-assign]
    RELEASE_CAUSES[cause](holder)
    assert released and not working


class RecordingLogger:
    """A logger that records its events and their fields."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def _record(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    debug = info = warning = error = _record


def test_the_reason_why_a_gateway_accepts_no_roles_is_logged_once(holder: LeaseRunner) -> None:
    """Guards against slow elections whose logs don't show which gateways accept no roles."""
    log = holder.log = RecordingLogger()
    make_event_loop_lag(holder)
    holder._step(None)
    pauses = [fields for event, fields in log.events if event == "candidacy_paused"]
    assert len(pauses) == 1 and pauses[0]["reason"] == "its event loop runs late"
    assert pauses[0]["pause_s"] == pytest.approx(CONFIG.lease, abs=0.05)
