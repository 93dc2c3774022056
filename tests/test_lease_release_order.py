"""A role is released only once its work has ended: whoever hears of a release may take the role at once."""

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
    remembers = AcceptorLog(tmp_path, lease_settings(CONFIG, 1), sync=False)
    remembers.persist(PersistVotes((), 0))
    remembers.close()
    peers = PeerSocket(("127.0.0.1", 0), 0, {}, lambda event: None)
    made = LeaseRunner(CONFIG, FleetPlace(0, 1, 1), tmp_path, peers, logs.get())
    made.start(IdleWork())
    wait_for(lambda: len(made.leases) == len(ROLES))
    yield made
    made.stop()
    peers.stop()


def lag(runner: LeaseRunner) -> None:
    for _ in range(2):
        runner._step(runner.clock() - 10.0)


def expire(runner: LeaseRunner) -> None:
    real = runner.clock
    runner.clock = lambda: real() + 10.0  # type: ignore[method-assign]
    runner._step(None)
    runner.clock = real  # type: ignore[method-assign]


def meet_a_newer_token(runner: LeaseRunner) -> None:
    lease = next(iter(runner.leases.values()))
    runner._carry_out(runner.holder.record_stale_token(runner.clock(), lease.role, lease.token + 5))


ENDINGS: dict[str, Callable[[LeaseRunner], None]] = {
    "its loop lags": lag,
    "not renewed": expire,
    "by hand": lambda runner: runner.release(ROLES[0]),
    "fenced": meet_a_newer_token,
    "it leaves": lambda runner: runner.hand_over(),
}


@pytest.mark.parametrize("ending", ENDINGS)
def test_no_role_is_released_before_its_work_has_ended(holder: LeaseRunner, ending: str) -> None:
    """Guards against two holders at once: a loop that ran late told of its releases before it ended the work."""
    released, working = list[int](), list[int]()
    send = holder._send

    def look_and_send(actions: Sequence[LeaseAction]) -> None:
        messages = [action.message for action in actions if isinstance(action, SendLeaseMessage)]
        roles = [entry.role for m in messages if m.type is LeaseMessageType.RELEASE for entry in m.entries]
        released.extend(roles)
        working.extend(role for role in roles if role in holder.leases)
        send(actions)

    holder._send = look_and_send  # type: ignore[method-assign]
    ENDINGS[ending](holder)
    assert released and not working


class KeptEvents:
    """A logger that keeps what it is told."""

    def __init__(self) -> None:
        self.events: list[tuple[str, dict[str, object]]] = []

    def _note(self, event: str, **fields: object) -> None:
        self.events.append((event, fields))

    debug = info = warning = error = _note


def test_a_gateway_says_once_why_it_takes_no_roles_for_a_while(holder: LeaseRunner) -> None:
    """Guards against elections that take long without a word of which gateways stand aside."""
    log = holder.log = KeptEvents()
    lag(holder)
    holder._step(None)
    pauses = [fields for event, fields in log.events if event == "candidacy_paused"]
    assert len(pauses) == 1 and pauses[0]["reason"] == "its event loop runs late"
    assert pauses[0]["pause_s"] == pytest.approx(CONFIG.lease, abs=0.05)
