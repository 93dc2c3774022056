"""The shares of memory and descriptors, and the account that requests and answers take their bytes from."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from fawnspool.connections.descriptor_limits import divide_descriptors
from fawnspool.connections.memory_account import MIN_PROGRESS_S, RESERVE_DIVISOR, MemoryAccount
from fawnspool.connections.resource_budget import (
    AT_REST_BYTES,
    CONNECTION_BYTES,
    REQUEST_BYTES,
    REQUEST_ID_BYTES,
    SMALL_MESSAGE_BYTES,
    VOLUME_BYTES,
    ResourceBudget,
    divide_resources,
)

MB = 1_000_000
LARGEST_MESSAGE_BYTES = 1 << 20
SMALL = REQUEST_BYTES + SMALL_MESSAGE_BYTES


def charged(budget: ResourceBudget) -> int:
    """Return the bytes of all shares but the endpoint list's, which is part of what is held at rest."""
    return (
        budget.connections * CONNECTION_BYTES
        + budget.requests
        + budget.answers
        + budget.volumes * VOLUME_BYTES
        + budget.request_ids * REQUEST_ID_BYTES
    )


@given(st.integers(32, 192), st.integers(256, 1024), st.integers(1, 200))
def test_all_shares_together_leave_room_for_what_is_not_charged(memory_mb: int, sockets: int, shards: int) -> None:
    """Guards against bounds that each hold and that nothing adds up."""
    limits = divide_descriptors(sockets, shards)
    budget = divide_resources(memory_mb * MB, AT_REST_BYTES, limits)
    assert AT_REST_BYTES + charged(budget) <= memory_mb * MB - (memory_mb * MB - AT_REST_BYTES) // 5
    assert budget.connections <= limits.clients and budget.crowded_from <= limits.crowded_from
    assert budget.connections >= 200 or budget.connections == limits.clients
    assert budget.requests * (RESERVE_DIVISOR - 1) // RESERVE_DIVISOR >= LARGEST_MESSAGE_BYTES
    assert budget.answers >= LARGEST_MESSAGE_BYTES and budget.volumes >= 256 and budget.request_ids >= 1024


@given(st.integers(4, 64), st.integers(0, 400 * MB))
def test_process_with_too_little_memory_still_serves_some(memory_mb: int, at_rest_bytes: int) -> None:
    budget = divide_resources(memory_mb * MB, at_rest_bytes, divide_descriptors(256, 4))
    assert budget.connections >= 4 and budget.requests > 0 and budget.answers > 0
    assert budget.volumes > 0 and budget.request_ids > 0


def test_reserve_is_left_for_small_requests() -> None:
    account = MemoryAccount[int](30 * SMALL, SMALL)
    holders = iter(range(1000))
    while account.hold(next(holders), 2 * SMALL, 0.0):
        pass
    small = 0
    while account.hold(next(holders), SMALL, 0.0):
        small += 1
    assert small >= 30 // RESERVE_DIVISOR


def test_those_that_wait_get_their_bytes_in_order_the_small_ones_first() -> None:
    account = MemoryAccount[str](10 * SMALL, SMALL)
    assert account.hold("all", 6 * SMALL, 0.0)
    account.wait("large 1", 3 * SMALL)
    account.wait("large 2", 2 * SMALL)
    for number in range(5):
        account.wait(f"small {number}", SMALL)
    assert not account.hold("small late", SMALL, 0.0) and not account.hold("large late", 2 * SMALL, 0.0)
    assert account.grant(0.0) == ["small 0", "small 1", "small 2", "small 3"]
    account.release("all")
    assert account.grant(0.0) == ["small 4"]
    account.release("small 0")
    account.release("small 1")
    assert account.grant(0.0) == ["large 1"]


def test_slow_messages_are_shed_for_those_that_wait_and_complete_ones_never() -> None:
    account = MemoryAccount[str](4 * SMALL, SMALL)
    for number in range(4):
        assert account.hold(f"h{number}", SMALL, number / 100)
    account.complete("h0")
    late = MIN_PROGRESS_S + 0.04
    assert account.to_shed(late) == []
    account.wait("waits", SMALL)
    assert account.to_shed(MIN_PROGRESS_S / 2) == []
    assert account.to_shed(late) == ["h1"] and account.oldest_incomplete(late) == "h1"


def test_long_message_that_waits_is_shed_while_small_ones_wait() -> None:
    account = MemoryAccount[str](2 * SMALL, SMALL)
    assert account.hold("a", SMALL, 0.0) and account.hold("b", SMALL, 0.0)
    account.wait("b", 3 * SMALL)
    assert account.to_shed(0.0) == []
    account.wait("c", SMALL)
    assert account.to_shed(0.0) == ["b"]


class AccountMachine(RuleBasedStateMachine):
    """Holders come, grow, wait, complete, end and are shed in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.account = MemoryAccount[int](20 * SMALL, SMALL)
        self.now = 0.0

    @rule(seconds=st.floats(0, 0.3))
    def passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(holder=st.integers(0, 12), size=st.integers(1, 6 * SMALL))
    def takes(self, holder: int, size: int) -> None:
        if not self.account.hold(holder, max(size, self.account.held.get(holder, 0)), self.now):
            self.account.stop_waiting(holder)
            self.account.wait(holder, max(size, self.account.held.get(holder, 0)))

    @rule(holder=st.integers(0, 12), size=st.integers(1, 6 * SMALL))
    def shrinks(self, holder: int, size: int) -> None:
        self.account.shrink(holder, size)

    @rule(holder=st.integers(0, 12))
    def completes(self, holder: int) -> None:
        self.account.complete(holder)

    @rule(holder=st.integers(0, 12))
    def ends(self, holder: int) -> None:
        self.account.release(holder)
        assert holder not in self.account.held

    @rule()
    def is_granted(self) -> None:
        for holder in self.account.grant(self.now):
            assert holder in self.account.held

    @precondition(lambda self: self.account.has_waiters)
    @rule()
    def sheds(self) -> None:
        complete = set(self.account.held) - set(self.account.incomplete)
        for holder in self.account.to_shed(self.now):
            assert holder not in complete
            self.account.release(holder)

    @invariant()
    def counts_what_is_held(self) -> None:
        account = self.account
        assert account.used_bytes == sum(account.held.values()) <= account.peak_bytes
        assert account.used_bytes <= account.total_bytes or len(account.held) == 1
        assert set(account.incomplete) <= set(account.held)


TestAccountMachine = AccountMachine.TestCase
