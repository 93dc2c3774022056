"""Units of a limit that heads lend each other, walked on the module's own code; and who is asked for them."""

from __future__ import annotations

import pytest

from fawnspool.scheduling.interface import PeerMessage, SendPeerMessage, VolumeParticipants
from tests.conftest import Head, make_class, make_plan, make_settings
from tests.lending_model import MISTAKES, walk

LIMITED = make_plan(rate_limit=20.0, rate_limit_burst=48.0, rate_limit_tolerance=8.0)


def test_heads_together_never_have_more_than_the_limit_whatever_is_late_or_lost() -> None:
    states, wrong = walk(heads=2, steps=2, askings=2)
    assert states > 20_000 and not wrong


@pytest.mark.parametrize("mistake", MISTAKES)
def test_the_walk_finds_seeded_mistakes(mistake: str) -> None:
    assert walk(mistake=mistake)[1]


def fleet(count: int) -> list[Head]:
    """Heads that have their parts of the limit full: 8 units each of six."""
    heads = [
        Head(
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
    for h in heads:
        h.ask(1, units=1.0, heads=count)  # too young to have any: it waits
        h.run(h.now + 0.38)
        for ident in h.sent():
            h.answer(ident)
        h.run(h.now + 5.0)
        h.sends.clear()
    return heads


def wants(h: Head) -> list[bytes]:
    """More than it has is asked of it at one stroke; what it says to the others."""
    h.told.clear()
    for _ in range(6):
        h.ask(1, units=3.0, heads=h.control.settings.gateway_count)
    return [a.body for a in h.told]


def lends(h: Head, now: float, body: bytes) -> list[bytes]:
    h.now = now
    return [a.body for a in h.give(PeerMessage(0, body)) if isinstance(a, SendPeerMessage)]


def test_units_that_come_late_count_no_more() -> None:
    """Datagrams held back for seconds: lenders had filled up again, and all of it counted once more."""
    lead, *others = fleet(6)
    body = wants(lead)[0]
    lent = [x for h in others for x in lends(h, lead.now, body)]
    assert len(lent) == 5

    def had() -> float:
        """What has come in all, whether or not it has been used."""
        return lead.control.rate_limits.limiters[1].tokens + sum(lead.asked[s.id] for _, s in lead.sends)

    before = had()
    lead.give(PeerMessage(1, lent[0]))
    assert had() > before  # in time it is of use
    lead.run(lead.now + 0.5)
    lead.control.rate_limits.refill(lead.control.rate_limits.limiters[1], lead.now)
    before = had()
    for k, late in enumerate(lent[1:], 2):
        lead.give(PeerMessage(k, late))
    assert had() == pytest.approx(before)


def test_a_lender_fills_up_only_once_what_it_lent_can_not_be_on_its_way() -> None:
    lead, idle, *_ = fleet(6)
    assert lends(idle, lead.now, wants(lead)[0])
    limiter = idle.control.rate_limits.limiters[1]
    lent, now = 8.0 - limiter.tokens, idle.control.now
    assert lent >= 1
    for wait, most in ((0.35, 8.0 - lent), (5.0, 8.0)):
        now += wait
        idle.control.rate_limits.refill(limiter, now)
        assert limiter.tokens == pytest.approx(most)


def test_heads_that_are_known_to_take_part_are_asked_and_not_all() -> None:
    h = Head(make_settings(plans=(LIMITED,), gateway_count=50, has_peer_messages=True))
    h.ask(1, units=4.0, heads=6)  # asks all once, as it knows nobody
    h.give(VolumeParticipants(1, (0, 7, 9)))
    assert h.control.rate_limits.limiters[1].lenders == {7, 9}
    h.told.clear()
    h.run(h.now + 0.2)
    assert {a.gateway_id for a in h.told} == {7, 9}
    h.give(VolumeParticipants(2, (3,)))  # of a volume that it does not serve
    assert 2 not in h.control.rate_limits.limiters
