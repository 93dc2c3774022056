"""Leases of many gateways in simulated time: safety under faults, hand-overs, and what they cost."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import pytest

from benchmarks.duties_walks import terms, walk
from fawnspool.leases.actions import LeaseMember
from fawnspool.leases.lease_holder import LeaseHolder
from fawnspool.leases.messages import LeaseMessage
from fawnspool.model.simulated_leases import NetworkConditions, SimulatedLeases


@pytest.mark.parametrize("acceptors", [3, 5])
def test_walks_through_all_faults_find_no_two_holders_and_no_token_twice(acceptors: int) -> None:
    for seed in range(12):
        wrong, took, held = walk(seed, voters=acceptors)
        assert not wrong and took > 8 and held == 8, seed


def test_roles_spread_and_a_gateway_that_came_late_is_given_its_part() -> None:
    fleet = SimulatedLeases(terms(5, 3, 20), 1, NetworkConditions())
    fleet.kill(fleet.hosts[4])
    fleet.run(10)
    assert len(fleet.held()) == 20 and 4 not in fleet.held().values()
    fleet.start(fleet.hosts[4])
    fleet.run(20)
    count = Counter(fleet.held().values())
    assert len(fleet.held()) == 20 and count[4] >= 2 and max(count.values()) <= 5 and not fleet.violations


def test_without_a_majority_anywhere_roles_rest_until_there_is_one() -> None:
    fleet = SimulatedLeases(terms(6, 3, 8), 2, NetworkConditions())
    fleet.run(8)
    fleet.partition({0})
    fleet.partition({1})
    fleet.partition({2})
    fleet.run(10)
    assert not fleet.held()
    for host in fleet.hosts[:3]:
        assert len(host.acceptor.vacant_for_s(fleet.clock(host))) == 8
    fleet.cut_links.clear()
    fleet.run(12)
    assert len(fleet.held()) == 8 and not fleet.violations


def test_all_acceptors_restart_at_once_and_one_with_an_empty_disk() -> None:
    fleet = SimulatedLeases(terms(6, 3, 8), 3, NetworkConditions())
    fleet.run(8)
    for host in fleet.hosts[:3]:
        fleet.kill(host)
    fleet.hosts[1].disk.erase()
    fleet.run(0.5)
    for host in fleet.hosts[:3]:
        fleet.start(host)
    fleet.run(12)
    assert len(fleet.held()) == 8 and not fleet.violations and (fleet.hosts[1].disk.floor or 0) > 0


def test_64_roles_whose_holder_vanishes_are_taken_by_others_within_a_lease_and_a_half() -> None:
    fleet = SimulatedLeases(terms(5, 3, 64), 4, NetworkConditions())
    for k in (1, 2, 3):
        fleet.hosts[k].holder.accepts_roles = False  # all of them go to two gateways, 0 and 4
    fleet.run(10)
    assert set(fleet.held().values()) == {0, 4}
    for k in (1, 2, 3):
        fleet.hosts[k].holder.accepts_roles = True
    mine = [duty for duty, head in fleet.held().items() if head == 4]
    fleet.vacancies.clear()
    fleet.kill(fleet.hosts[4])
    fleet.run(6)
    gaps = sorted(g for duty, why, g in fleet.vacancies if duty in mine and why == "killed")
    assert len(gaps) == len(mine) > 20 and gaps[-1] <= 1.5 * 2.0
    fleet.run(20)  # gateway 0 gives back one role at a time
    assert len(fleet.held()) == 64 and max(Counter(fleet.held().values()).values()) <= 17 and not fleet.violations


def test_two_gateways_with_one_number_hold_nothing_together() -> None:
    """The second one's messages come under the first one's number: a vote belongs to an incarnation."""
    fleet = SimulatedLeases(terms(5, 3, 4), 5, NetworkConditions())
    twin = LeaseHolder(fleet.settings, LeaseMember(4, 12345, seed=9), fleet.clock(fleet.hosts[4]))
    real = fleet.hosts[4].holder
    receive = real.receive
    tick = real.tick

    def both_receive(now: float, sender: int, message: LeaseMessage) -> list[Any]:
        return [*receive(now, sender, message), *twin.receive(now, sender, message)]

    real.receive = both_receive
    real.tick = lambda now: [*tick(now), *twin.tick(now)]
    for _ in range(200):
        fleet.run(0.1)
        now = fleet.clock(fleet.hosts[4])
        both = [role for role in range(4) if real.expires_at(role) > now and twin.expires_at(role) > now]
        assert not both and not fleet.violations


def test_a_clock_beyond_the_bound_breaks_leases_and_not_the_rise_of_tokens() -> None:
    """Leases rest on the bound; that tokens rise, and so the fences, does not."""
    rates = [4.0, 4.0, 4.0, 0.3, 0.3]  # acceptors whose leases are over long before the holders know
    fleet = SimulatedLeases(terms(5, 3, 4), 6, NetworkConditions(), rates)
    random = Random(6)
    for _ in range(60):
        fleet.run(random.uniform(0.2, 1.0))
        fleet.cut_links.clear()
        fleet.partition({3 + random.randrange(2)})
    assert any("hold it" in w for w in fleet.violations) and not any("after" in w for w in fleet.violations)


def test_a_fleet_of_200_that_comes_back_after_a_cut_does_not_storm() -> None:
    fleet = SimulatedLeases(terms(200, 5, 64), 7, NetworkConditions())
    fleet.run(15)
    fleet.partition(set(range(100, 167)))
    fleet.run(10)
    fleet.cut_links.clear()
    before = [(h.datagrams_sent, h.bytes_sent) for h in fleet.hosts]
    fleet.run(5)
    rows = [(h.datagrams_sent - s) / 5 for h, (s, _) in zip(fleet.hosts, before, strict=True)]
    assert max(rows) < 250 and max(rows[5:]) < 100
    fleet.run(10)
    assert len(fleet.held()) == 64 and not fleet.violations
