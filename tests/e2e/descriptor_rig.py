"""Days on which a gateway's descriptors are scarce: many nodes, clients that keep connections, and disturbances.

The gateway is a process of its own with the platform's limit on descriptors. Nodes, discovery and clients run in this
process. Each client has one request at a time and sends it to a node chosen at random.
"""

from __future__ import annotations

import contextlib
import resource
import signal
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent import socket

from fawnspool.standins.platform import DiscoveryServer, Shelf, ShelfRequest
from tests.e2e.overload_rig import (
    ALLOWANCE_S,
    READ_DEADLINE_S,
    ROOT,
    GatewayProcess,
    Limits,
    SoundAnswer,
    SoundClient,
)
from tests.e2e.relayrig import SETTINGS

EARLY_CLIENTS = 24
KILL_AFTER_S = 3.0 + 0.7  # the longest deadline that counts, and the platform's margin
CHANGE_WITHIN_S = 6.0  # by which a change of the endpoint list must be applied
_CLIENT_DIVISOR = 3  # clients hold at most a third of the descriptors for requests
_LOOK_S = 0.05
_SPARE_DESCRIPTORS_OF_RIG = 4096
_READ_CLASS = {
    "name": "read",
    "aim": 2.5,
    "deadline": 7.5,
    "repeat": "free",
    "value": 2.0,
    "group": "all",
}


@dataclass(frozen=True)
class Day:
    """The load and the disturbances of one day.

    Attributes
    ----------
    early_clients
        Clients that come at once; the others follow after `early_s`.
    pause_s
        Mean time between two requests of a client.
    keeps_connections
        Clients keep their connections between requests.
    hung_fraction, hung_from_s
        This part of the nodes answers nothing from then on.
    replaced_per_s
        Nodes per second that leave and are replaced by new ones.
    silent_clients
        Connections that send nothing, and are opened again once they are closed.
    signals_at_s
        Times of SIGHUP; at each, discovery resets its watches too.
    shutdown_at_s
        Time of SIGTERM; None: none is sent.
    """

    nodes: int
    descriptors: int = 256
    clients: int = 0  # 0: as many as may hold connections for requests
    early_clients: int = EARLY_CLIENTS
    early_s: float = 10.0
    seconds: float = 20.0
    service_s: float = 0.4
    pause_s: float = 0.02
    keeps_connections: bool = True
    hung_fraction: float = 0.0
    hung_from_s: float = 8.0
    replaced_per_s: float = 0.0
    silent_clients: int = 0
    signals_at_s: tuple[float, ...] = ()
    shutdown_at_s: float | None = None
    memory_mb: int = 192
    seed: int = 1

    @property
    def client_count(self) -> int:
        """The number of clients."""
        return self.clients or self.descriptors // _CLIENT_DIVISOR


def settings(nodes: int) -> dict[str, Any]:
    """Return the settings of so many nodes with a shard each; its class of requests is in no hurry."""
    family = SETTINGS["family_info"] | {"writes": [False], "slots_total": nodes}
    return SETTINGS | {"classes": [_READ_CLASS], "family_info": family, "discovery": "push"}


class PacedClient(SoundClient):
    """A client with one request at a time, each to a node chosen at random."""

    def __init__(self, address: tuple[str, int], number: int, day: Day) -> None:
        super().__init__(address, f"client{number}", 0)
        self.day = day
        self.random = Random(day.seed * 1_000_003 + number)

    def run(self) -> None:
        """Send requests until told to stop."""
        while not self.stopping:
            self.shard = self.random.randrange(self.day.nodes)
            ident = f"{self.name}-{len(self.answers)}"
            began = time.monotonic()
            status = self._ask(ident, began + READ_DEADLINE_S + ALLOWANCE_S)
            self.answers.append(SoundAnswer(ident, status, time.monotonic() - began, began))
            if not self.day.keeps_connections:
                self._close()
            gevent.sleep(self.random.uniform(0, 2 * self.day.pause_s))
        self._close()


@dataclass
class DayReport:
    """What was seen of a day.

    Attributes
    ----------
    executed
        The ids of the requests that nodes received.
    most_descriptors
        The most descriptors that the process was seen with.
    node_connections
        Connections that the nodes accepted.
    worst_watch_gap_s
        The longest time for which the gateway had no watch of the endpoint list.
    """

    day: Day
    answers: list[SoundAnswer]
    executed: set[str]
    ended_at: float | None  # when the shutdown began (monotonic seconds)
    cpu_s: float
    most_descriptors: int
    node_connections: int
    worst_watch_gap_s: float
    has_ended: bool
    log: list[dict[str, Any]]
    log_text: str

    @property
    def lost(self) -> list[SoundAnswer]:
        """Requests without an answer within their time and the allowance, unless the gateway's end excuses them."""
        return [answer for answer in self.answers if not answer.status and not self._is_excused(answer)]

    def _is_excused(self, answer: SoundAnswer) -> bool:
        """Return whether a request came while the gateway was ending, and was not sent on."""
        began = self.ended_at
        return began is not None and answer.sent_at + READ_DEADLINE_S >= began and answer.ident not in self.executed

    def ejected_nodes(self) -> list[str]:
        """Return the nodes that the gateway held for outliers, by its log."""
        return [node for row in self.log for node in row.get("nodes", ()) if ":trials" in node]

    def count(self, status: int) -> int:
        """Return how many answers had a status."""
        return sum(answer.status == status for answer in self.answers)

    def refused_fraction(self) -> float:
        """Return the part of all requests that got 503."""
        return self.count(503) / max(1, len(self.answers))

    def median_s(self) -> float:
        """Return the median time of the requests that were served."""
        return statistics.median([answer.after_s for answer in self.answers if answer.status == 200] or [0.0])

    def worst_s(self) -> float:
        """Return the longest time to an answer."""
        return max((answer.after_s for answer in self.answers if answer.status), default=0.0)

    def cpu_ms(self) -> float:
        """Return the gateway's processor time for each request, in milliseconds."""
        return 1000 * self.cpu_s / max(1, len(self.answers))

    def log_totals(self) -> Counter[str]:
        """Return the sums of the gateway's periodic totals, by their log names."""
        totals = Counter[str]()
        for row in self.log:
            totals.update({name: value for name, value in row.items() if isinstance(value, int | float)})
        return totals

    def text(self) -> str:
        """Return one line for people."""
        others = Counter(answer.status for answer in self.answers if answer.status not in (0, 200, 503))
        return (
            f"{len(self.answers)} sent, {len(self.lost)} lost, {self.count(503)} refused, other {dict(others)}, "
            f"p50 {self.median_s():.3f}, worst {self.worst_s():.2f} s, {self.cpu_ms():.2f} ms CPU, "
            f"{self.node_connections} node connections, at most {self.most_descriptors} descriptors, "
            f"watch silent for {self.worst_watch_gap_s:.2f} s at most"
        )


class DescriptorRig:
    """Plays one day with a gateway of a checkout."""

    def __init__(self, folder: Path, day: Day, checkout: Path = ROOT) -> None:
        self.day = day
        self.hung = False
        self.hung_shards = set(Random(day.seed).sample(range(day.nodes), int(day.nodes * day.hung_fraction)))
        self.discovery = DiscoveryServer()
        self.shelfs = [self._start_shelf(shard) for shard in range(day.nodes)]
        self.retired: list[Shelf] = []
        for shard, shelf in enumerate(self.shelfs):
            self.discovery.put(shelf, f"s-{shard}")
        limits = Limits(day.memory_mb, day.descriptors)
        self.gateway = GatewayProcess(folder, limits, self.discovery, settings(day.nodes), checkout)
        self.gateway.await_ready()
        self.clients = [PacedClient(self.gateway.address, number, day) for number in range(day.client_count)]
        self.most_descriptors = 0
        self.worst_watch_gap_s = 0.0
        self.ended_at: float | None = None
        self.greenlets: list[gevent.Greenlet] = []

    def _start_shelf(self, shard: int) -> Shelf:
        return Shelf(shard, script=partial(self._answer, shard))

    def _answer(self, shard: int, request: ShelfRequest) -> bytes | None:
        del request
        gevent.sleep(self.day.service_s)
        while self.hung and shard in self.hung_shards:
            gevent.sleep(_LOOK_S)
        return None

    def play(self) -> DayReport:
        """Play the day and report."""
        day = self.day
        cpu_before_s = self.gateway.cpu_s()
        self.greenlets = [gevent.spawn(work) for work in self._disturbances()]
        runs = [gevent.spawn(client.run) for client in self.clients[: day.early_clients]]
        began = time.monotonic()
        if day.early_clients < len(self.clients):
            gevent.sleep(day.early_s)
            runs += [gevent.spawn(client.run) for client in self.clients[day.early_clients :]]
        gevent.sleep(max(0.0, began + day.seconds - time.monotonic()))
        for client in self.clients:
            client.stopping = True
        gevent.joinall(runs, timeout=READ_DEADLINE_S + ALLOWANCE_S + 1)
        self.hung = False
        has_ended = self.gateway.process.poll() is not None
        return DayReport(
            day,
            [answer for client in self.clients for answer in client.answers],
            {request.ident for shelf in (*self.shelfs, *self.retired) for request in shelf.requests},
            self.ended_at,
            0.0 if has_ended else self.gateway.cpu_s() - cpu_before_s,
            self.most_descriptors,
            sum(shelf.server.accepted for shelf in (*self.shelfs, *self.retired)),
            self.worst_watch_gap_s,
            has_ended,
            self.gateway.log_events("state"),
            self.gateway.log_path.read_text(),
        )

    # ------------------------------------------------------------ disturbances

    def _disturbances(self) -> Iterator[Any]:
        day = self.day
        yield self._observe
        if self.hung_shards:
            yield self._hang
        if day.replaced_per_s:
            yield self._replace
        if day.signals_at_s:
            yield self._signal
        if day.shutdown_at_s is not None:
            yield self._shut_down
        for _ in range(day.silent_clients):
            yield self._stay_silent

    def _observe(self) -> None:
        unwatched_since = time.monotonic()
        while self.ended_at is None:
            self.most_descriptors = max(self.most_descriptors, self.gateway.descriptors())
            if self.discovery.watchers:
                unwatched_since = time.monotonic()
            self.worst_watch_gap_s = max(self.worst_watch_gap_s, time.monotonic() - unwatched_since)
            gevent.sleep(_LOOK_S)

    def _hang(self) -> None:
        gevent.sleep(self.day.hung_from_s)
        self.hung = True

    def _replace(self) -> None:
        random = Random(self.day.seed)
        while True:
            gevent.sleep(1 / self.day.replaced_per_s)
            shard = random.randrange(self.day.nodes)
            old, new = self.shelfs[shard], self._start_shelf(shard)
            self.shelfs[shard] = new
            self.retired.append(old)
            number = len(self.retired)
            self.discovery.change({**_row_of(self.discovery, old), "health": "left"})
            self.discovery.put(new, f"s-{shard}-{number}")

    def _signal(self) -> None:
        began = time.monotonic()
        for at_s in self.day.signals_at_s:
            gevent.sleep(max(0.0, began + at_s - time.monotonic()))
            self.discovery.server.reset_all()
            self.gateway.send_signal(signal.SIGHUP)

    def _shut_down(self) -> None:
        """Tell the gateway to end and kill it at the earliest moment."""
        gevent.sleep(self.day.shutdown_at_s)
        self.ended_at = time.monotonic()
        self.gateway.send_signal(signal.SIGTERM)
        gevent.sleep(KILL_AFTER_S)
        self.gateway.kill()

    def _stay_silent(self) -> None:
        while True:
            with contextlib.suppress(OSError), socket.create_connection(self.gateway.address, timeout=5) as sock:
                sock.recv(1)
            gevent.sleep(_LOOK_S)

    def stop(self) -> None:
        """End everything that was started."""
        gevent.killall(self.greenlets)
        self.gateway.kill()
        for shelf in (*self.shelfs, *self.retired):
            shelf.server.stop()
        self.discovery.server.stop()


def _row_of(discovery: DiscoveryServer, shelf: Shelf) -> dict[str, Any]:
    return next(row for row in discovery.hosts.values() if row["dial"] == shelf.address)


@contextlib.contextmanager
def _descriptors_for(day: Day) -> Iterator[None]:
    """Allow this process as many descriptors as the day's nodes and clients need."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = day.nodes + 2 * day.descriptors + 2 * day.silent_clients + _SPARE_DESCRIPTORS_OF_RIG
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(needed, hard)), hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def play_day(day: Day, checkout: Path = ROOT) -> DayReport:
    """Play a day with a new gateway of a checkout, and report."""
    with _descriptors_for(day), tempfile.TemporaryDirectory() as folder:
        rig = DescriptorRig(Path(folder), day, checkout)
        try:
            return rig.play()
        finally:
            rig.stop()
