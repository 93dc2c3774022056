"""Leases of many gateways in simulated time: safety under faults, handovers, and their cost in datagrams."""

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
def test_random_faults_never_give_two_holders_or_a_token_twice(acceptors: int) -> None:
    for seed in range(12):
        violations, acquired_count, held_count = walk(seed, voters=acceptors)
        assert not violations and acquired_count > 8 and held_count == 8, seed


def test_roles_are_rebalanced_to_a_gateway_that_starts_late() -> None:
    fleet = SimulatedLeases(terms(5, 3, 20), 1, NetworkConditions())
    fleet.kill(fleet.hosts[4])
    fleet.run(10)
    assert len(fleet.held()) == 20 and 4 not in fleet.held().values()
    fleet.start(fleet.hosts[4])
    fleet.run(20)
    held_counts = Counter(fleet.held().values())
    assert len(fleet.held()) == 20 and held_counts[4] >= 2 and max(held_counts.values()) <= 5 and not fleet.violations


def test_roles_stay_vacant_until_a_majority_of_acceptors_is_connected() -> None:
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


def test_roles_are_held_after_all_acceptors_restart_and_one_has_lost_its_disk() -> None:
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


def test_64_roles_of_a_killed_holder_are_acquired_within_one_and_a_half_leases() -> None:
    fleet = SimulatedLeases(terms(5, 3, 64), 4, NetworkConditions())
    for gateway_id in (1, 2, 3):
        fleet.hosts[gateway_id].holder.accepts_roles = False  # all roles go to the gateways 0 and 4
    fleet.run(10)
    assert set(fleet.held().values()) == {0, 4}
    for gateway_id in (1, 2, 3):
        fleet.hosts[gateway_id].holder.accepts_roles = True
    roles_of_killed = [role for role, holder in fleet.held().items() if holder == 4]
    fleet.vacancies.clear()
    fleet.kill(fleet.hosts[4])
    fleet.run(6)
    gaps_s = sorted(gap_s for role, cause, gap_s in fleet.vacancies if role in roles_of_killed and cause == "killed")
    assert len(gaps_s) == len(roles_of_killed) > 20 and gaps_s[-1] <= 1.5 * 2.0
    fleet.run(20)  # gateway 0 releases one role at a time
    assert len(fleet.held()) == 64 and max(Counter(fleet.held().values()).values()) <= 17 and not fleet.violations


def test_two_gateways_with_the_same_number_never_hold_a_role_at_once() -> None:
    """A vote belongs to an incarnation, so messages under the same gateway number must not share votes."""
    fleet = SimulatedLeases(terms(5, 3, 4), 5, NetworkConditions())
    twin_holder = LeaseHolder(fleet.settings, LeaseMember(4, 12345, seed=9), fleet.clock(fleet.hosts[4]))
    original_holder = fleet.hosts[4].holder
    receive = original_holder.receive
    tick = original_holder.tick

    def both_receive(now: float, sender: int, message: LeaseMessage) -> list[Any]:
        return [*receive(now, sender, message), *twin_holder.receive(now, sender, message)]

    original_holder.receive = both_receive
    original_holder.tick = lambda now: [*tick(now), *twin_holder.tick(now)]
    for _ in range(200):
        fleet.run(0.1)
        now = fleet.clock(fleet.hosts[4])
        held_by_both = [
            role for role in range(4) if original_holder.expires_at(role) > now and twin_holder.expires_at(role) > now
        ]
        assert not held_by_both and not fleet.violations


def test_a_clock_beyond_the_bound_breaks_leases_but_tokens_still_rise() -> None:
    """Leases depend on the bound of the clock drift; rising tokens, and so the fences, do not."""
    rates = [4.0, 4.0, 4.0, 0.3, 0.3]  # the acceptors' leases end long before the holders' do
    fleet = SimulatedLeases(terms(5, 3, 4), 6, NetworkConditions(), rates)
    random = Random(6)
    for _ in range(60):
        fleet.run(random.uniform(0.2, 1.0))
        fleet.cut_links.clear()
        fleet.partition({3 + random.randrange(2)})
    assert any("hold it" in violation for violation in fleet.violations) and not any(
        "after" in violation for violation in fleet.violations
    )


def test_a_fleet_of_200_sends_few_datagrams_after_a_partition_ends() -> None:
    fleet = SimulatedLeases(terms(200, 5, 64), 7, NetworkConditions())
    fleet.run(15)
    fleet.partition(set(range(100, 167)))
    fleet.run(10)
    fleet.cut_links.clear()
    before = [(host.datagrams_sent, host.bytes_sent) for host in fleet.hosts]
    fleet.run(5)
    datagrams_per_s = [
        (host.datagrams_sent - datagrams_before) / 5
        for host, (datagrams_before, _) in zip(fleet.hosts, before, strict=True)
    ]
    assert max(datagrams_per_s) < 250 and max(datagrams_per_s[5:]) < 100
    fleet.run(10)
    assert len(fleet.held()) == 64 and not fleet.violations
