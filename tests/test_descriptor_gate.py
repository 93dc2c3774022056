"""Connections whose descriptors are scarce: what is closed for them, how long they wait, and what they give back."""

from __future__ import annotations

import errno
import time
from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from fawnspool.connections.descriptor_account import DescriptorShares, DescriptorUse
from fawnspool.connections.spare_connections import WAITS_TO_RECUR
from fawnspool.net import connection_pool
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions
from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.net.exceptions import ConnectTimeoutError, NoDescriptorError
from fawnspool.net.server import Server
from fawnspool.net.server_options import ServerOptions
from tests.e2e.rig import wait_for

TIMEOUT_S = 0.2
OPTIONS = PoolOptions(8, TIMEOUT_S, 10.0)
SERVICE_OPTIONS = PoolOptions(8, TIMEOUT_S, 10.0, use=DescriptorUse.SERVICE)


@pytest.fixture
def nodes() -> Iterator[list[Server]]:
    servers = [Server(("127.0.0.1", 0), lambda exchange: exchange.respond(200, [], b"hi")) for _ in range(4)]
    for server in servers:
        server.start()
    yield servers
    for server in servers:
        server.stop()


def gate_of(clients: int, nodes: int, services: int = 1) -> DescriptorGate:
    return DescriptorGate(DescriptorShares(clients, nodes, services))


def pools_of(nodes: list[Server], gate: DescriptorGate, options: PoolOptions = OPTIONS) -> list[ConnectionPool]:
    return [ConnectionPool(node.address, options, gate) for node in nodes]


def soon() -> float:
    return time.monotonic() + 5 * TIMEOUT_S


def test_least_recently_used_idle_connection_gives_way_to_one_to_another_node(nodes: list[Server]) -> None:
    """Guards against requests that are refused while idle connections to other nodes hold all descriptors."""
    gate = gate_of(0, 3)
    first, second, third, fourth = pools_of(nodes, gate)
    busy = first.acquire(soon())
    for pool in (second, third):
        pool.release(pool.acquire(soon()))
    second.release(second.acquire(soon()))  # used after the third's
    connection = fourth.acquire(soon())
    assert (first.open_count, second.open_count, third.open_count, fourth.open_count) == (1, 1, 0, 1)
    assert not busy.stream.closed and gate.idle_closed == 1 and gate.waits == 0
    for pool, used in ((first, busy), (fourth, connection)):
        pool.discard(used)
    second.close_idle()
    assert gate.account.nodes == 0 and not gate.account.idle_nodes


def test_requests_wait_in_order_for_connections_that_carry_others(nodes: list[Server]) -> None:
    """Guards against attempts that end at once, four of a request one after the other, while all are in use."""
    gate = gate_of(0, 1)
    pools = pools_of(nodes, gate)
    busy = pools[0].acquire(soon())
    order = list[int]()

    def use(index: int) -> None:
        connection = pools[index].acquire(soon())
        order.append(index)
        pools[index].release(connection)

    uses = [gevent.spawn(use, index) for index in (1, 2, 3)]
    gevent.sleep(0.02)
    assert order == [] and gate.account.waiting_nodes == 3 and not busy.stream.closed
    pools[0].release(busy)
    gevent.joinall(uses, raise_error=True)
    assert order == [1, 2, 3] and gate.account.nodes == 1 and gate.account.waiting_nodes == 0


def test_wait_ends_so_early_that_the_node_has_its_whole_time_to_accept(nodes: list[Server]) -> None:
    gate = gate_of(0, 1)
    first, second = pools_of(nodes[:2], gate)
    first.acquire(soon())
    began = time.monotonic()
    for time_left_s, longest_wait_s in ((5 * TIMEOUT_S, TIMEOUT_S), (1.5 * TIMEOUT_S, TIMEOUT_S / 2), (0.01, 0.0)):
        began = time.monotonic()
        with pytest.raises(NoDescriptorError):
            second.acquire(began + time_left_s)
        assert longest_wait_s - 0.01 <= time.monotonic() - began <= longest_wait_s + 0.05
    assert second.open_count == 0 and gate.account.waiting_nodes == 0 and gate.refused == 3


def test_request_that_is_killed_while_it_waits_leaves_no_descriptor_behind(nodes: list[Server]) -> None:
    gate = gate_of(0, 1)
    first, second = pools_of(nodes[:2], gate)
    busy = first.acquire(soon())
    waiting = gevent.spawn(second.acquire, soon())
    gevent.sleep(0.01)
    first.discard(busy)  # the descriptor is granted, and its greenlet has not run since
    waiting.kill()
    assert gate.account.nodes == 0 and gate.account.waiting_nodes == 0 and second.open_count == 0


def test_connection_that_fails_gives_its_descriptor_back(nodes: list[Server], monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(*args: Any) -> Any:
        raise TimeoutError

    gate = gate_of(0, 1)
    (pool,) = pools_of(nodes[:1], gate)
    monkeypatch.setattr(connection_pool, "connect", fails)
    with pytest.raises(Exception, match="TimeoutError"):
        pool.acquire(soon())
    assert gate.account.nodes == 0 and pool.open_count == 0
    assert not issubclass(NoDescriptorError, ConnectTimeoutError)  # no evidence against the node


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE])
def test_idle_connection_gives_way_where_the_system_has_no_descriptor(
    nodes: list[Server], monkeypatch: pytest.MonkeyPatch, code: int
) -> None:
    gate, original, calls = gate_of(0, 8), connection_pool.connect, list[int]()
    first, second = pools_of(nodes[:2], gate)
    first.release(first.acquire(soon()))

    def connect(*args: Any) -> Any:
        calls.append(1)
        if len(calls) == 1:
            raise OSError(code, "Too many open files")
        return original(*args)

    monkeypatch.setattr(connection_pool, "connect", connect)
    second.release(second.acquire(soon()))
    assert (first.open_count, second.open_count, len(calls)) == (0, 1, 2)


def test_no_spare_connection_is_opened_while_descriptors_are_short(nodes: list[Server]) -> None:
    gate = gate_of(0, 1)
    options = PoolOptions(8, TIMEOUT_S, 10.0, cooldown_s=0.02, max_with_spares=4)
    (pool,) = pools_of(nodes[:1], gate, options)
    for _ in range(3 * WAITS_TO_RECUR):
        pool.release(pool.acquire(soon()))
        gevent.sleep(0.001)
    assert pool.open_count == 1


def test_service_connects_whatever_the_connections_to_nodes_hold(nodes: list[Server]) -> None:
    """Guards against a watch of the endpoint list that is refused while requests wait for a descriptor."""
    gate = gate_of(0, 2, services=1)
    pools = pools_of(nodes[:3], gate)
    for pool in pools[:2]:
        pool.acquire(soon())
    waiting = gevent.spawn(pools[2].acquire, soon())
    wait_for(lambda: gate.account.waiting_nodes)
    (service,) = pools_of(nodes[3:], gate, SERVICE_OPTIONS)
    service.discard(service.acquire(soon()))
    assert gate.account.services == 0 and gate.account.nodes == 2 and gate.account.waiting_nodes == 1
    waiting.kill()


@pytest.fixture
def small_server(nodes: list[Server]) -> Iterator[tuple[Server, list[ConnectionPool]]]:
    """Return a server with a share of 2 clients, and pools with a share of 2 that hold 4 idle connections."""
    gate = gate_of(2, 2)
    options = ServerOptions(untrusted_clients=True, descriptors=gate)
    server = Server(("127.0.0.1", 0), lambda exchange: exchange.respond(200, [], b"hi"), options)
    server.start()
    pools = pools_of(nodes, gate)
    for pool in pools:
        pool.release(pool.acquire(soon()))
    yield server, pools
    server.stop()


def connect_to(server: Server) -> Any:
    return gevent.socket.create_connection(server.address)


def test_idle_connections_to_nodes_give_way_to_clients_up_to_their_share(
    small_server: tuple[Server, list[ConnectionPool]],
) -> None:
    """Guards against clients that are not accepted while idle connections to nodes hold all descriptors."""
    server, pools = small_server
    account = server.options.descriptors.account
    clients = [connect_to(server) for _ in range(2)]
    wait_for(lambda: len(server.connections) == 2)
    assert [pool.open_count for pool in pools] == [0, 0, 1, 1] and account.nodes == 2
    third = connect_to(server)  # beyond the share: the first client has waited longest
    assert clients[0].recv(1) == b""
    wait_for(lambda: server.accepted == 3)
    assert account.nodes == 2 and account.clients == 2 and third.fileno() >= 0


def test_connections_to_nodes_in_use_never_give_way(small_server: tuple[Server, list[ConnectionPool]]) -> None:
    server, pools = small_server
    busy = [pool.acquire(soon()) for pool in pools]
    client = connect_to(server)
    gevent.sleep(0.05)
    assert not server.connections and not any(connection.stream.closed for connection in busy)
    pools[0].release(busy[0])
    assert busy[0].stream.closed  # a client waits below its share, so that no other request comes before it
    waiting = gevent.spawn(pools[0].acquire, soon())
    wait_for(lambda: server.connections)
    assert client.fileno() >= 0 and not any(connection.stream.closed for connection in busy[1:])
    assert not waiting.ready()
    waiting.kill()
