"""The endpoint service in simulated time, and each gateway's watch of it."""

from __future__ import annotations

from collections.abc import Callable

from fawnspool.model.simulated_node import SimulatedNode
from fawnspool.model.simulated_process import SimulatedProcess
from fawnspool.model.simulation import Simulation
from fawnspool.scheduling import interface
from fawnspool.scheduling.interface import EndpointUpdate, Phase, UpdateKind


class EndpointService:
    """The list of nodes with their phases. It hears of changes `lag_s` late, and tells its watchers."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.nodes: dict[int, SimulatedNode] = {}
        self.watches: list[EndpointWatch] = []
        self.available = True
        self.lag_s = 0.0
        self.version = 1

    def set_phase(self, node: SimulatedNode, phase: Phase) -> None:
        """Change a node's phase."""
        node.phase = phase
        self._simulation.engine.after(self.lag_s, self._publish, node, phase)

    def set_lag(self, lag_s: float) -> None:
        """Set how late the service hears of changes, seconds."""
        self.lag_s = lag_s

    def go_away(self) -> None:
        """Stop answering; watches break."""
        self.available = False
        for watch in self.watches:
            watch.disconnect()

    def come_back(self) -> None:
        """Answer again."""
        self.available = True

    def snapshot(self) -> EndpointUpdate:
        """Return the whole list."""
        entries = tuple(self._entry(node, node.phase) for node in self.nodes.values())
        return EndpointUpdate(UpdateKind.SNAPSHOT, self.version, entries)

    def failure(self) -> EndpointUpdate:
        """Return what a gateway takes from a fetch that failed."""
        return EndpointUpdate(UpdateKind.POLL_FAILED, self.version, ())

    def _publish(self, node: SimulatedNode, phase: Phase) -> None:
        self.version += 1
        if phase is Phase.GONE:
            self.nodes.pop(node.number, None)
        else:
            self.nodes[node.number] = node
        if not self.available:
            return
        update = EndpointUpdate(UpdateKind.DELTA, self.version, (self._entry(node, phase),))
        for watch in self.watches:
            watch.notify(update)

    def _entry(self, node: SimulatedNode, phase: Phase) -> interface.Endpoint:
        return interface.Endpoint(
            node=node.number,
            zone=node.cell % len(self._simulation.zones),
            kind=0,
            shard=node.cell,
            phase=phase,
            size=float(self._simulation.day.fleet.cores),
            started_at=0.0 if node.listed_start is None else node.listed_start,
        )


class EndpointWatch:
    """A gateway's view of the list: fetched or pushed, and kept over restarts.

    Parameters
    ----------
    process
        The gateway's process.
    on_update
        Takes each update, in the process's turn.
    """

    def __init__(
        self,
        simulation: Simulation,
        service: EndpointService,
        process: SimulatedProcess,
        on_update: Callable[[EndpointUpdate], None],
    ) -> None:
        self._simulation = simulation
        self._service = service
        self._process = process
        self._on_update = on_update
        self._is_pushed = simulation.day.day.list_mode == "push"
        self._watching = False
        self._cached: tuple[interface.Endpoint, ...] = ()
        self._phases: dict[int, Phase] = {}

    def start(self) -> None:
        """Begin the life of a process: with the cached list, then a watch of the service."""
        self._watching = False
        self._on_update(EndpointUpdate(UpdateKind.CACHED, 0, self._cached))
        if self._is_pushed and not self._watching:
            self.set_watching(True)

    def is_ready(self, node: int) -> bool:
        """Whether the last list has the node as ready."""
        return self._phases.get(node) is Phase.READY

    def set_watching(self, enabled: bool) -> None:
        """Begin or end to be notified of changes; a watch begins with a fetch."""
        self._watching = enabled
        if enabled:
            self._fetch()

    def refresh(self) -> None:
        """Fetch the list, and watch it again if a push watch broke."""
        if self._is_pushed and not self._watching:
            self.set_watching(True)
        else:
            self._fetch()

    def notify(self, update: EndpointUpdate) -> None:
        """Send a change to this gateway if it watches."""
        if self._process.up and self._watching:
            self._simulation.engine.after(
                self._simulation.params.list_net, self._receive_live, self._process.life, update
            )

    def disconnect(self) -> None:
        """Break the watch, which the gateway sees as a failed fetch."""
        if self._process.up and self._watching:
            self._fail()

    def _fetch(self) -> None:
        if self._service.available:
            self._simulation.engine.after(
                2 * self._simulation.params.list_net, self._receive_snapshot, self._process.life
            )
        else:
            self._fail()

    def _fail(self) -> None:
        self._watching = False
        update = self._service.failure()
        self._simulation.engine.after(self._simulation.params.list_net, self._receive, self._process.life, update)

    def _receive_snapshot(self, life: int) -> None:
        self._receive_live(life, self._service.snapshot())

    def _receive_live(self, life: int, update: EndpointUpdate) -> None:
        if self._process.is_running(life):
            for entry in update.entries:
                self._record_entry(entry)
        self._receive(life, update)

    def _receive(self, life: int, update: EndpointUpdate) -> None:
        if self._process.is_running(life):
            self._process.run(0.0, self._apply, update)

    def _record_entry(self, entry: interface.Endpoint) -> None:
        age_s = self._simulation.engine.now - entry.started_at if entry.started_at > 0 else -1.0
        self._simulation.record("told", head=self._process.number, node=entry.node, phase=entry.phase.value, age=age_s)

    def _apply(self, update: EndpointUpdate) -> None:
        if update.kind is UpdateKind.SNAPSHOT:
            self._phases = {entry.node: entry.phase for entry in update.entries}
            self._cached = update.entries
        elif update.kind is UpdateKind.DELTA:
            self._phases |= {entry.node: entry.phase for entry in update.entries}
            known = {entry.node: entry for entry in (*self._cached, *update.entries)}
            self._cached = tuple(entry for entry in known.values() if entry.phase is not Phase.GONE)
        self._on_update(update)
