"""Gives connections their descriptors: carries out the rule of `connections/descriptor_account.py`.

A use takes a descriptor before it opens a connection and gives it back once that is closed. If none is free, the gate
closes the connection that gives way; a request to a node waits if there is none.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from fawnspool.connections.descriptor_account import (
    UNLIMITED_SHARES,
    DescriptorAccount,
    DescriptorShares,
    DescriptorUse,
    Unused,
    least_wait_s,
)
from fawnspool.net.client_connection import ClientConnection
from fawnspool.net.exceptions import NoDescriptorError
from fawnspool.net.wakeup_event import WakeupEvent

if TYPE_CHECKING:
    from fawnspool.net.connection_pool import ConnectionPool


class _Wait:
    """A greenlet's wait for a descriptor."""

    __slots__ = ("ended", "is_granted")

    def __init__(self) -> None:
        self.ended = WakeupEvent()
        self.is_granted = False


class DescriptorGate:
    """The descriptors of one process.

    Attributes
    ----------
    evict_client
        Closes the connection of a client that has waited longest for a request, at least so many seconds; returns False
        if there is none.
    idle_closed, clients_evicted
        Number of connections that gave way.
    waits, refused
        Number of requests that waited for a descriptor, and of those that got none in time.
    """

    def __init__(self, shares: DescriptorShares = UNLIMITED_SHARES) -> None:
        self.account: DescriptorAccount[ClientConnection, ConnectionPool] = DescriptorAccount(shares)
        self.evict_client: Callable[[float], bool] = _no_client
        self.idle_closed = 0
        self.clients_evicted = 0
        self.waits = 0
        self.refused = 0
        self._waiting: deque[_Wait] = deque()

    # ------------------------------------------------------------ taking and giving back

    def take(self, use: DescriptorUse, wait_until: float) -> None:
        """Take a descriptor for a connection to a server.

        Parameters
        ----------
        use
            What it is for.
        wait_until
            End of the wait for a connection to a node (monotonic seconds); others don't wait.

        Raises
        ------
        NoDescriptorError
            None could be had.
        """
        is_node = use is DescriptorUse.NODE
        must_queue = is_node and bool(self._waiting)
        if not must_queue and self.try_take(use):
            return
        if is_node and self._wait(wait_until):
            return
        self.refused += 1
        raise NoDescriptorError

    def try_take(self, use: DescriptorUse) -> bool:
        """Take a descriptor if one is free, or if a connection gives way; return whether that was so."""
        if self.account.take(use):
            return True
        return self.account.needs_room(use) and self.make_room(use) and self.account.take(use)

    def add_client(self) -> None:
        """Count the connection of a client that was accepted."""
        self.account.add(DescriptorUse.CLIENT)

    def give_back(self, use: DescriptorUse) -> None:
        """Give back the descriptor of a connection that was closed."""
        self.account.give_back(use)
        if self._waiting:
            self.check()

    def make_room(self, use: DescriptorUse) -> bool:
        """Close the connection that gives way to this use; return False if there is none."""
        for kind in self.account.gives_way(use):
            if kind is Unused.NODE and self._close_oldest_idle():
                return True
            if kind is Unused.CLIENT and self.evict_client(least_wait_s(use)):
                self.clients_evicted += 1
                return True
        return False

    def _close_oldest_idle(self) -> bool:
        pool = self.account.oldest_idle()
        if pool is None:
            return False
        self.idle_closed += 1
        pool.close_oldest_idle()
        return True

    # ------------------------------------------------------------ waiting

    def _wait(self, wait_until: float) -> bool:
        """Wait for a descriptor for a connection to a node; return whether it was granted."""
        self.waits += 1
        wait = _Wait()
        self._waiting.append(wait)
        self.account.waiting_nodes += 1
        try:
            self.check()
            wait.ended.wait(wait_until)
        except BaseException:
            if wait.is_granted:
                self.give_back(DescriptorUse.NODE)
            raise
        finally:
            if not wait.is_granted:
                self._waiting.remove(wait)
                self.account.waiting_nodes -= 1
        return wait.is_granted

    def check(self) -> None:
        """Let connections give way to the client and the requests that wait, in order; must be called often."""
        if self.account.client_waits and self.account.needs_room(DescriptorUse.CLIENT):
            self.make_room(DescriptorUse.CLIENT)
        while self._waiting and self.try_take(DescriptorUse.NODE):
            if not self._waiting:  # a connection that gave way served the last one
                self.account.give_back(DescriptorUse.NODE)
                return
            wait = self._waiting.popleft()
            self.account.waiting_nodes -= 1
            wait.is_granted = True
            wait.ended.set()

    # ------------------------------------------------------------ idle connections to nodes

    def begin_idle(self, connection: ClientConnection, pool: ConnectionPool) -> None:
        """Note that a connection to a node carries no request any more; it may give way at once."""
        self.account.begin_idle(connection, pool)
        if self._waiting or self.account.client_waits:
            self.check()


def _no_client(least_wait_s: float) -> bool:
    return False
