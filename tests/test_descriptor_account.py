"""The account of descriptors: its bound on the sum of all uses, and who gives way to whom."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from fawnspool.connections.descriptor_account import DescriptorAccount, DescriptorShares, DescriptorUse, Unused
from fawnspool.connections.descriptor_limits import RESERVED_DESCRIPTORS, divide_descriptors

SHARES = DescriptorShares(clients=10, nodes=20, services=3)
CLIENT, NODE, SERVICE = DescriptorUse.CLIENT, DescriptorUse.NODE, DescriptorUse.SERVICE


def account_with(clients: int, nodes: int, services: int = 0) -> DescriptorAccount[int, str]:
    account = DescriptorAccount[int, str](SHARES)
    for use, count in ((CLIENT, clients), (NODE, nodes), (SERVICE, services)):
        for _ in range(count):
            account.add(use)
    return account


@given(st.integers(128, 8192), st.integers(1, 3200))
def test_shares_of_all_uses_together_fit_the_limit(descriptors: int, shards: int) -> None:
    """Guards against a bound per node or server that nothing adds up: 4 for each of 256 nodes, of 256 descriptors."""
    shares = divide_descriptors(descriptors, shards).shares
    assert shares.clients + shares.nodes + RESERVED_DESCRIPTORS <= descriptors
    assert shares.services < RESERVED_DESCRIPTORS
    assert shares.clients >= descriptors // 3 or descriptors < 3 * RESERVED_DESCRIPTORS + 64
    assert shares.nodes >= shares.clients  # so that each client's request finds one


def test_unused_connections_beyond_a_share_give_way_first() -> None:
    full_of_nodes, full_of_clients = account_with(5, 25), account_with(15, 15)
    assert full_of_nodes.free() == full_of_clients.free() == 0
    assert full_of_nodes.gives_way(CLIENT) == (Unused.NODE, Unused.CLIENT)
    assert full_of_nodes.gives_way(NODE) == (Unused.NODE,)
    assert full_of_nodes.gives_way(SERVICE) == (Unused.NODE, Unused.CLIENT)
    assert full_of_clients.gives_way(CLIENT) == (Unused.CLIENT,)
    assert full_of_clients.gives_way(NODE) == (Unused.CLIENT, Unused.NODE)
    assert full_of_clients.gives_way(SERVICE) == (Unused.CLIENT, Unused.NODE)


def test_use_below_its_share_goes_ahead_of_one_that_is_beyond() -> None:
    account = account_with(9, 20)
    account.client_waits = True
    assert account.free() == 1 and not account.may_take(NODE) and account.may_take(CLIENT)
    account = account_with(10, 19)
    account.waiting_nodes = 1
    assert account.free() == 1 and not account.may_take(CLIENT) and account.may_take(NODE)


def test_services_get_their_share_whatever_clients_and_nodes_hold_and_no_more() -> None:
    account = account_with(10, 20)
    assert [account.take(SERVICE) for _ in range(4)] == [True, True, True, False]
    account.give_back(CLIENT)
    assert not account.take(SERVICE) and account.take(CLIENT)


def test_spare_connections_are_opened_only_while_nodes_leave_descriptors() -> None:
    assert account_with(10, 18).may_open_spare()
    assert not account_with(5, 20).may_open_spare() and not account_with(12, 18).may_open_spare()
    waited_for = account_with(0, 5)
    waited_for.waiting_nodes = 1
    assert not waited_for.may_open_spare()


def test_idle_connections_are_found_in_the_order_of_their_last_use() -> None:
    account = DescriptorAccount[int, str](SHARES)
    for connection, pool in ((1, "a"), (2, "b"), (3, "c")):
        account.begin_idle(connection, pool)
    account.end_idle(1)
    account.begin_idle(1, "a")
    account.end_idle(2)
    assert account.oldest_idle() == "c"
    account.end_idle(3)
    account.end_idle(1)
    assert account.oldest_idle() is None


class Uses(RuleBasedStateMachine):
    """Uses take, wait and give back in any order; what gives way is closed, as the gate does it."""

    def __init__(self) -> None:
        super().__init__()
        self.account = DescriptorAccount[int, int](SHARES)
        self.busy_nodes = 0
        self.busy_clients = 0
        self.waiting_clients = 0  # connections without a request
        self.next_idle = 0

    @initialize(clients=st.integers(0, 20), idle=st.integers(0, 20))
    def starts(self, clients: int, idle: int) -> None:
        for _ in range(clients):
            self.client_connects()
        for _ in range(idle):
            self.node_is_used()
            self.node_becomes_idle()

    def _get(self, use: DescriptorUse) -> bool:
        if self.account.take(use):
            return True
        if not self.account.needs_room(use):
            return False
        for kind in self.account.gives_way(use):
            if kind is Unused.NODE and self.account.idle_nodes:
                self.account.end_idle(next(iter(self.account.idle_nodes)))
                self.account.give_back(NODE)
            elif kind is Unused.CLIENT and self.waiting_clients:
                self.waiting_clients -= 1
                self.account.give_back(CLIENT)
            else:
                continue
            return self.account.take(use)
        return False

    @rule()
    def client_connects(self) -> None:
        got = self._get(CLIENT)
        self.account.client_waits = not got
        self.waiting_clients += got
        assert got or self.account.clients >= SHARES.clients or self.busy_nodes > SHARES.nodes

    @rule()
    def node_is_used(self) -> None:
        if self.account.idle_nodes and self.next_idle % 3 == 0:
            self.account.end_idle(next(reversed(self.account.idle_nodes)))
            self.busy_nodes += 1
            return
        got = self._get(NODE)
        self.account.waiting_nodes = 0 if got else 1
        self.busy_nodes += got
        assert got or self.account.nodes >= SHARES.nodes or self.busy_clients > SHARES.clients

    @precondition(lambda self: self.busy_nodes)
    @rule()
    def node_becomes_idle(self) -> None:
        self.busy_nodes -= 1
        self.next_idle += 1
        self.account.begin_idle(self.next_idle, self.next_idle)

    @precondition(lambda self: self.busy_nodes)
    @rule()
    def node_closes(self) -> None:
        self.busy_nodes -= 1
        self.account.give_back(NODE)

    @precondition(lambda self: self.waiting_clients)
    @rule()
    def client_sends(self) -> None:
        self.waiting_clients -= 1
        self.busy_clients += 1

    @precondition(lambda self: self.busy_clients)
    @rule(closes=st.booleans())
    def client_is_answered(self, closes: bool) -> None:
        self.busy_clients -= 1
        if closes:
            self.account.give_back(CLIENT)
        else:
            self.waiting_clients += 1

    @rule()
    def service_connects(self) -> None:
        assert self._get(SERVICE) or self.account.services >= SHARES.services

    @precondition(lambda self: self.account.services)
    @rule()
    def service_closes(self) -> None:
        self.account.give_back(SERVICE)

    @invariant()
    def all_uses_together_keep_the_limit(self) -> None:
        account = self.account
        assert account.clients + account.nodes + account.services <= 10 + 20 + 3
        assert account.clients == self.busy_clients + self.waiting_clients
        assert account.nodes == self.busy_nodes + len(account.idle_nodes)


TestUses = Uses.TestCase
