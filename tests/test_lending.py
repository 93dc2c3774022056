"""Units of a limit that gateways lend each other, walked on the module's own code; and who is asked for them."""

from __future__ import annotations

import pytest

from fawnspool.scheduling.interface import PeerMessage, SendPeerMessage, VolumeParticipants
from tests.conftest import GatewayDriver, make_class, make_plan, make_settings
from tests.lending_model import MISTAKES, walk

LIMITED = make_plan(rate_limit=20.0, rate_limit_burst=48.0, rate_limit_tolerance=8.0)


def test_gateways_together_never_have_more_than_the_limit_whatever_is_late_or_lost() -> None:
    states, wrong = walk(gateways=2, steps=2, askings=2)
    assert states > 20_000 and not wrong


@pytest.mark.parametrize("mistake", MISTAKES)
def test_the_walk_finds_seeded_mistakes(mistake: str) -> None:
    assert walk(mistake=mistake)[1]


def fleet(count: int) -> list[GatewayDriver]:
    """Heads that have their parts of the limit full: 8 units each of six."""
    gateways = [
        GatewayDriver(
            make_settings(
                plans=(LIMITED,),
                classes=(make_class(latency_objective_s=0.4),),
                gateway_count=count,
                gateway_id=k,
                has_peer_messages=True,
            ),
            seed=k,
        )
        for k in range(count)
    ]
    for gateway in gateways:
        gateway.request(1, units=1.0, gateway_count=count)  # too young to have any: it waits
        gateway.run(gateway.now + 0.38)
        for ident in gateway.sent():
            gateway.answer(ident)
        gateway.run(gateway.now + 5.0)
        gateway.sends.clear()
    return gateways


def wants(gateway: GatewayDriver) -> list[bytes]:
    """More than it has is asked of it at one stroke; what it says to the others."""
    gateway.peer_messages.clear()
    for _ in range(6):
        gateway.request(1, units=3.0, gateway_count=gateway.scheduler.settings.gateway_count)
    return [a.body for a in gateway.peer_messages]


def lends(gateway: GatewayDriver, now: float, body: bytes) -> list[bytes]:
    gateway.now = now
    return [a.body for a in gateway.handle(PeerMessage(0, body)) if isinstance(a, SendPeerMessage)]


def test_units_that_come_late_count_no_more() -> None:
    """Datagrams held back for seconds: lenders had filled up again, and all of it counted once more."""
    lead, *others = fleet(6)
    body = wants(lead)[0]
    lent = [x for gateway in others for x in lends(gateway, lead.now, body)]
    assert len(lent) == 5

    def had() -> float:
        """What has come in all, whether or not it has been used."""
        return lead.scheduler.rate_limits.limiters[1].tokens + sum(lead.units[s.id] for _, s in lead.sends)

    before = had()
    lead.handle(PeerMessage(1, lent[0]))
    assert had() > before  # in time it is of use
    lead.run(lead.now + 0.5)
    lead.scheduler.rate_limits.refill(lead.scheduler.rate_limits.limiters[1], lead.now)
    before = had()
    for k, late in enumerate(lent[1:], 2):
        lead.handle(PeerMessage(k, late))
    assert had() == pytest.approx(before)


def test_a_lender_fills_up_only_once_what_it_lent_can_not_be_on_its_way() -> None:
    lead, idle, *_ = fleet(6)
    assert lends(idle, lead.now, wants(lead)[0])
    limiter = idle.scheduler.rate_limits.limiters[1]
    lent, now = 8.0 - limiter.tokens, idle.scheduler.now
    assert lent >= 1
    for wait, most in ((0.35, 8.0 - lent), (5.0, 8.0)):
        now += wait
        idle.scheduler.rate_limits.refill(limiter, now)
        assert limiter.tokens == pytest.approx(most)


def test_gateways_that_are_known_to_take_part_are_asked_and_not_all() -> None:
    gateway = GatewayDriver(make_settings(plans=(LIMITED,), gateway_count=50, has_peer_messages=True))
    gateway.request(1, units=4.0, gateway_count=6)  # asks all once, as it knows nobody
    gateway.handle(VolumeParticipants(1, (0, 7, 9)))
    assert gateway.scheduler.rate_limits.limiters[1].lenders == {7, 9}
    gateway.peer_messages.clear()
    gateway.run(gateway.now + 0.2)
    assert {a.gateway_id for a in gateway.peer_messages} == {7, 9}
    gateway.handle(VolumeParticipants(2, (3,)))  # of a volume that it does not serve
    assert 2 not in gateway.scheduler.rate_limits.limiters
