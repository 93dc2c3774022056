"""Transfers of rate limit units between gateways: model checking, late grants, and which gateways are asked."""

from __future__ import annotations

import pytest

from fawnspool.scheduling.interface import PeerMessage, SendPeerMessage, VolumeParticipants
from tests.conftest import GatewayDriver, make_class, make_plan, make_settings
from tests.lending_model import MISTAKES, explore

LIMITED = make_plan(rate_limit=20.0, rate_limit_burst=48.0, rate_limit_tolerance=8.0)


def test_gateways_together_never_exceed_the_limit_with_late_or_lost_messages() -> None:
    states, violation = explore(gateways=2, steps=2, requests=2)
    assert states > 20_000 and not violation


@pytest.mark.parametrize("mistake", MISTAKES)
def test_exploration_finds_seeded_mistakes(mistake: str) -> None:
    assert explore(mistake=mistake)[1]


def fleet(count: int) -> list[GatewayDriver]:
    """Gateways whose buckets are full; with six gateways each holds 8 units."""
    gateways = [
        GatewayDriver(
            make_settings(
                plans=(LIMITED,),
                classes=(make_class(latency_objective_s=0.4),),
                gateway_count=count,
                gateway_id=index,
                has_peer_messages=True,
            ),
            seed=index,
        )
        for index in range(count)
    ]
    for gateway in gateways:
        gateway.request(1, units=1.0, gateway_count=count)  # waits, as a gateway that has just started has no units
        gateway.run(gateway.now + 0.38)
        for ident in gateway.sent():
            gateway.answer(ident)
        gateway.run(gateway.now + 5.0)
        gateway.sends.clear()
    return gateways


def request_more_than_available(gateway: GatewayDriver) -> list[bytes]:
    """Send the gateway more requests than it has units for; return its messages to other gateways."""
    gateway.peer_messages.clear()
    for _ in range(6):
        gateway.request(1, units=3.0, gateway_count=gateway.scheduler.settings.gateway_count)
    return [message.body for message in gateway.peer_messages]


def grants_of(gateway: GatewayDriver, now: float, body: bytes) -> list[bytes]:
    gateway.now = now
    return [action.body for action in gateway.handle(PeerMessage(0, body)) if isinstance(action, SendPeerMessage)]


def test_late_grants_are_not_credited() -> None:
    """Guards against crediting grants that arrive seconds late, after the lenders have refilled the units."""
    borrower, *others = fleet(6)
    body = request_more_than_available(borrower)[0]
    grants = [grant for gateway in others for grant in grants_of(gateway, borrower.now, body)]
    assert len(grants) == 5

    def received_units() -> float:
        """Return all units received, whether or not they were spent."""
        return borrower.scheduler.rate_limits.limiters[1].tokens + sum(
            borrower.units[send.id] for _, send in borrower.sends
        )

    before = received_units()
    borrower.handle(PeerMessage(1, grants[0]))
    assert received_units() > before  # a grant in time is credited
    borrower.run(borrower.now + 0.5)
    borrower.scheduler.rate_limits.refill(borrower.scheduler.rate_limits.limiters[1], borrower.now)
    before = received_units()
    for sender, late in enumerate(grants[1:], 2):
        borrower.handle(PeerMessage(sender, late))
    assert received_units() == pytest.approx(before)


def test_lender_refills_lent_units_only_after_the_transfer_window() -> None:
    borrower, idle, *_ = fleet(6)
    assert grants_of(idle, borrower.now, request_more_than_available(borrower)[0])
    limiter = idle.scheduler.rate_limits.limiters[1]
    lent, now = 8.0 - limiter.tokens, idle.scheduler.now
    assert lent >= 1
    for wait_s, max_tokens in ((0.35, 8.0 - lent), (5.0, 8.0)):
        now += wait_s
        idle.scheduler.rate_limits.refill(limiter, now)
        assert limiter.tokens == pytest.approx(max_tokens)


def test_only_known_participants_are_asked() -> None:
    gateway = GatewayDriver(make_settings(plans=(LIMITED,), gateway_count=50, has_peer_messages=True))
    gateway.request(1, units=4.0, gateway_count=6)  # broadcasts one request, as it knows no other gateway of the volume
    gateway.handle(VolumeParticipants(1, (0, 7, 9)))
    assert gateway.scheduler.rate_limits.limiters[1].lenders == {7, 9}
    gateway.peer_messages.clear()
    gateway.run(gateway.now + 0.2)
    assert {message.gateway_id for message in gateway.peer_messages} == {7, 9}
    gateway.handle(VolumeParticipants(2, (3,)))  # for a volume that it does not serve
    assert 2 not in gateway.scheduler.rate_limits.limiters
