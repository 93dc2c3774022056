"""Connections from one gateway to its nodes: a pool for each address, and the closing of unused connections."""

from __future__ import annotations

from collections.abc import Callable

from fawnspool.net.connection_pool import ConnectionPool, PoolOptions
from fawnspool.net.descriptor_gate import DescriptorGate

Address = tuple[str, int]

_POOLS_PER_PRUNING = 2


class ConnectionPools:
    """The pools of one gateway, by address.

    Parameters
    ----------
    ready_addresses
        Returns the addresses of the nodes that currently take requests.

    Attributes
    ----------
    descriptors
        Gives all pools their descriptors; may be replaced while there is no pool.
    """

    def __init__(self, options: PoolOptions, ready_addresses: Callable[[], set[Address]]) -> None:
        self.options = options
        self.ready_addresses = ready_addresses
        self.descriptors = DescriptorGate()
        self.by_address: dict[Address, ConnectionPool] = {}
        self._to_prune: list[Address] = []
        self._ready: set[Address] = set()

    def get(self, address: Address) -> ConnectionPool:
        """Return the pool of an address; create it if there is none."""
        pool = self.by_address.get(address)
        if pool is None:
            pool = self.by_address[address] = ConnectionPool(address, self.options, self.descriptors)
        return pool

    def open_connections(self) -> int:
        """Count the connections to all nodes, in use or idle."""
        return self.descriptors.account.nodes

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        if address in self.by_address:
            self.by_address[address].close_idle()

    def prune(self) -> None:
        """Close connections that will not be used again; each call checks a few addresses, in turn.

        Without this, idle connections to nodes that left the list would keep their file descriptors forever.
        """
        if not self._to_prune:
            self._to_prune = list(self.by_address)
            self._ready = self.ready_addresses()
        for address in [self._to_prune.pop() for _ in range(min(_POOLS_PER_PRUNING, len(self._to_prune)))]:
            self._prune_address(address)

    def _prune_address(self, address: Address) -> None:
        pool = self.by_address.get(address)
        if pool is None:
            return
        if address in self._ready:
            pool.prune()
            return
        pool.close_idle()
        if not pool.open_count:
            del self.by_address[address]
