"""Shared context of the work of all roles: operators' requests, the map service, and this gateway's list of nodes.

The map service and the nodes store all that a successor needs. A holder shows its token to the map service before its
first step, and to each node before a step there.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent

from fawnspool.extents.records import ExtentRecord
from fawnspool.gateway.extent_directory import ExtentDirectory
from fawnspool.gateway.held_lease import HeldLease
from fawnspool.gateway.lease_runner import LeaseRunner
from fawnspool.gateway.map_client import MapClient, MapServiceError, OperatorRequests
from fawnspool.leases.drain import partition_of
from fawnspool.scheduling import interface
from fawnspool.telemetry.logs import EventLogger

POLL_INTERVAL_S = 1.0  # seconds between polls; one poll fetches the requests for all roles of the gateway
POLLS_PER_LEASE = 2  # polls of operators' requests in the duration of a lease, at least
SHOW_TOKEN_RETRY_S = 0.2
EXTENTS_PER_SLICE = 2000  # examined before other greenlets may run
MAP_SERVICE = "the map service"  # as a dependency of a role
# Prefixes of the names of operators' requests, as the map service stores them.
DRAIN = "drain/"
PAUSE = "pause/"
RELEASE = "release/"


@dataclass(frozen=True)
class GatewayView:
    """What the work of leased roles reads of its gateway: nodes by number, and the number of requests in flight."""

    nodes: Callable[[], dict[int, Any]]
    requests_in_flight: Callable[[], int]


class RoleContext:
    """Shared by the work of all roles of one gateway.

    Parameters
    ----------
    directory
        The gateway's map of extents.
    map_client
        Calls the map service.
    """

    def __init__(self, directory: ExtentDirectory, map_client: MapClient, view: GatewayView, log: EventLogger) -> None:
        self.directory = directory
        self.map_client = map_client
        self.view = view
        self.log = log
        self._requests: OperatorRequests | None = None  # None: no role is held, not yet polled, or the last poll failed

    @property
    def call_timeout_s(self) -> float:
        """Seconds that a call to a node or the map service may take."""
        return self.map_client.timeout_s

    # ------------------------------------------------------------ operators' requests

    def poll_operator_requests(self, runner: LeaseRunner) -> None:
        """Poll operators' requests while this gateway holds any role.

        The polls run concurrently with the work, so that a gateway detects that it is cut off from the map service
        even while its work is waiting.
        """
        lease_s = runner.settings.lease_s
        interval_s = min(POLL_INTERVAL_S, lease_s / POLLS_PER_LEASE)
        while True:
            if not runner.leases:
                self._requests = None
                gevent.sleep(interval_s / 8)
                continue
            try:
                self._poll_once(runner)
            except Exception:  # an error in one poll must not end the polling
                self.log.error("operator_requests_failed", exc_info=True)
            gevent.sleep(interval_s if self._requests is not None else interval_s / 8)

    def _poll_once(self, runner: LeaseRunner) -> None:
        self._requests = self._fetch_requests(runner.settings.lease_s / 4)
        for lease in list(runner.leases.values()):
            lease.record_reachability(MAP_SERVICE, self._requests is not None)
            if self._is_release_requested(lease):
                runner.release(lease.name)

    def _fetch_requests(self, timeout_s: float) -> OperatorRequests | None:
        try:
            return self.map_client.with_deadline(time.monotonic() + timeout_s).operator_requests()
        except MapServiceError:
            return None

    def _is_release_requested(self, lease: HeldLease) -> bool:
        if self._requests is None:
            return False
        last_token = self._requests.requests.get(RELEASE + lease.name)
        return last_token is not None and last_token.isdecimal() and lease.token <= int(last_token)

    def operator_requests(self, lease: HeldLease) -> dict[str, str] | None:
        """Return operators' requests by name; None while the map service does not answer."""
        lease.check()
        return None if self._requests is None else self._requests.requests

    def is_paused(self, lease: HeldLease, requests: dict[str, str]) -> bool:
        """Return whether operators paused the role or its kind."""
        return PAUSE + lease.name in requests or PAUSE + lease.kind.name in requests

    # ------------------------------------------------------------ map and nodes

    def show_token(self, lease: HeldLease, note: str) -> bool:
        """Show the token, with a note on the work's progress, to the map service; return whether it was accepted.

        Raises
        ------
        StaleTokenError
            If the map service has seen a newer holder's token.
        LeaseExpiredError
            If the lease is over.
        """
        stamp = lease.stamp()
        try:
            self.map_client.with_deadline(time.monotonic() + lease.remaining_s()).show_token(note, **stamp)
        except MapServiceError:
            lease.record_reachability(MAP_SERVICE, False)
            lease.check()
            return False
        lease.record_reachability(MAP_SERVICE, True)
        return True

    def show_first_token(self, lease: HeldLease) -> None:
        """Show the token to the map service until it is accepted; must be called before the first step."""
        while not self.show_token(lease, ""):
            lease.sleep(SHOW_TOKEN_RETRY_S)

    def shard_addresses(self) -> dict[int, tuple[str, int]]:
        """Return the addresses, by shard, of the listed nodes that are not gone."""
        return {
            node.shard: node.address for node in self.view.nodes().values() if node.phase is not interface.Phase.GONE
        }

    def extents_of(self, lease: HeldLease) -> list[ExtentRecord]:
        """Return the extents of a lease's partition in the gateway's map, yielding to other greenlets meanwhile."""
        extents = []
        for index, record in enumerate(self.directory.map.records()):
            if index % EXTENTS_PER_SLICE == EXTENTS_PER_SLICE - 1:
                gevent.sleep(0)
                lease.check()
            if record.shard >= 0 and partition_of(record.volume, record.extent, lease.kind.shards) == lease.partition:
                extents.append(record)
        return extents
