"""A stand-in storage node: `fawnspool.model.node` behind HTTP, with a disk and faults that can be set."""

from __future__ import annotations

import json
import math
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import gevent
import msgspec

from fawnspool.extents.replicas import ReplicaResult
from fawnspool.model.node import NodeBehaviour, NodeTraits
from fawnspool.net.body_buffer import join_pieces
from fawnspool.net.exceptions import ClientDisconnectedError, HttpError
from fawnspool.net.exchange import Exchange
from fawnspool.net.server import Server, ServerCallbacks
from fawnspool.net.server_options import ServerOptions
from fawnspool.records.frames import FrameWriter
from fawnspool.standins.clients import lag_meter
from fawnspool.standins.node_attempt import DELETE, PUT, NodeAttempt, NodeRecorder, read_attempt
from fawnspool.standins.node_faults import NodeFaults, occurs
from fawnspool.standins.node_fence import NodeFence
from fawnspool.standins.node_migration import MIGRATION_PATHS, MigrationApi
from fawnspool.standins.node_objects import NodeObjects, keys_by_scope
from fawnspool.standins.node_responses import (
    REPORT_FIELD,
    LoadReporter,
    NodeResponse,
    Responder,
    StreamedResponse,
)
from fawnspool.standins.node_work import WorkQueue, WorkResult
from fawnspool.standins.object_replicas import ObjectReplicas
from fawnspool.standins.object_store import ObjectDraft, ObjectStore

CONTROL_PREFIX = b"/-/"
_FAULTS_TARGET = b"/-/faults"
_OBJECTS_TARGET = b"/-/objects"
_PROBE_TARGET = b"/-/probe"
_PAUSE_CHECK_S = 0.05
_PAUSE_INTERVAL_SPREAD = (0.7, 1.3)
_SEEDS_PER_NODE = 1000
_MIN_UNIT_TIME_S = 1e-9
_SERVER_OPTIONS = ServerOptions(
    idle_timeout_s=120.0, first_request_timeout_s=120.0, read_timeout_s=30.0, max_connections=20_000
)


@dataclass(frozen=True)
class NodeOptions:
    """How a stand-in node is set up.

    Attributes
    ----------
    cold
        It starts cold, else as one that has long been warm.
    seed
        Of its random draws.
    load_fields
        Fields of its load report.
    zone
        Its zone.
    groups_folder
        Where groups of nodes share idempotency keys; None: its own folder.
    recording
        Where it records what passes its sockets.
    volume_use, on_served
        The volume meter's side of it: units a second of a volume, and what was served of it.
    """

    cold: bool = False
    seed: int = 1
    load_fields: tuple[str, ...] = ("queue",)
    zone: str = "zone-a"
    groups_folder: Path | None = None
    recording: FrameWriter | None = None
    volume_use: Callable[[str], float | None] | None = None
    on_served: Callable[[str, float], None] | None = None


class NodeServer:
    """One node; it listens from `start` on.

    Parameters
    ----------
    ident
        Its number in the node list.
    address
        Where it listens.
    folder
        For its objects and rows.
    """

    def __init__(
        self,
        ident: int,
        address: tuple[str, int],
        folder: str | Path,
        traits: NodeTraits,
        options: NodeOptions | None = None,
    ) -> None:
        options = options or NodeOptions()
        folder = Path(folder)
        self.ident = ident
        self.recorder = NodeRecorder(ident, options.recording)
        self.store = ObjectStore(folder / "objects")
        keys = keys_by_scope(options.groups_folder or folder / "repeats", ident, options.zone)
        self.replicas = ObjectReplicas(folder, self.store)
        self._fence = NodeFence(folder, self.recorder.note)
        self._objects = NodeObjects(self.store, self.replicas, keys, self.recorder)
        self._migration = MigrationApi(self.store, self.replicas, self._fence, keys)
        self._random = Random(options.seed * _SEEDS_PER_NODE + ident)
        self._faults = NodeFaults()
        started_at = time.monotonic() if options.cold else -math.inf
        self._behaviour = NodeBehaviour(traits, self._random, started_at)
        self._work = WorkQueue(self._behaviour, self._collapse)
        self._reporter = LoadReporter(self._behaviour, options.load_fields, options.volume_use, options.on_served)
        self._responder = Responder(self._faults, self._random, self._reporter, self.recorder)
        self._is_recorded = options.recording is not None
        self._greenlets: list[Any] = []
        self.server = self._make_server(address)
        self.recorder.note(
            "up",
            cold=options.cold,
            power=traits.cores / max(traits.unit_time, _MIN_UNIT_TIME_S),
            cold_from=traits.cold_from,
            warm_after=traits.warm_after,
        )

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.server.address

    def start(self) -> None:
        """Listen and work. Raises OSError."""
        self.server.start()
        self._greenlets += self._work.start()
        self._greenlets.append(gevent.spawn(self._run_pauses))
        if self._is_recorded:
            self._greenlets.append(lag_meter(self.recorder.note, f"node-{self.ident}"))

    def stop(self) -> None:
        """End it."""
        self.server.stop()
        gevent.killall(self._greenlets)
        self.replicas.close()
        self._fence.close()

    def set_faults(self, values: dict[str, Any]) -> None:
        """Set the faults named. Raises UnknownFaultError."""
        refused = self._faults.refuse
        self._faults.update(values)
        self._behaviour.pace.slow = self._faults.slow
        self._behaviour.pace.taken = self._faults.taken
        if self._faults.refuse and not refused:
            address = self.address
            self.server.close_listener()
            self.server.reset_all()
            self.server.address = address
        elif refused and not self._faults.refuse:
            self.server = self._make_server(self.address)
            self.server.start()

    def _make_server(self, address: tuple[str, int]) -> Server:
        callbacks = ServerCallbacks(on_error=lambda error: traceback.print_exception(error))
        return Server(address, self._handle, _SERVER_OPTIONS, callbacks)

    def _collapse(self) -> None:
        """Take no connection any more, as the rule for cold nodes says."""
        self.recorder.note("fell")
        self._behaviour.fallen = False
        self.set_faults({"refuse": True})

    def _run_pauses(self) -> None:
        while True:
            if not self._faults.pause_ms:
                gevent.sleep(_PAUSE_CHECK_S)
                continue
            pause_s = self._faults.pause_ms / 1000
            self._work.pause(pause_s)
            gevent.sleep(pause_s + self._faults.pause_every_s * self._random.uniform(*_PAUSE_INTERVAL_SPREAD))

    def _handle(self, exchange: Exchange) -> None:
        """Answer a request."""
        if exchange.head.target.startswith(CONTROL_PREFIX):
            self._handle_control(exchange)
            return
        if occurs(self._faults.hang_up, self._random):
            exchange.connection.stream.reset()
            raise ClientDisconnectedError
        attempt = read_attempt(exchange)
        if attempt.method != PUT:
            self._responder.send(attempt, self._run_attempt(attempt, None))
            return
        slot = _DraftSlot(self._read_draft(exchange))
        try:
            self._responder.send(attempt, self._run_attempt(attempt, slot))
        finally:
            slot.drop()

    def _read_draft(self, exchange: Exchange) -> ObjectDraft:
        """Read a request's body. One that never arrives whole has no effect."""
        draft = self.store.draft()
        try:
            for piece in exchange.body():
                draft.add(piece)
        except BaseException:
            draft.drop()
            raise
        return draft

    def _run_attempt(self, attempt: NodeAttempt, slot: _DraftSlot | None) -> NodeResponse | StreamedResponse:
        """Wait out an attempt's work, then apply its effect."""
        arrived_at = time.monotonic()
        self.recorder.arrived(attempt)
        if self._faults.drain:
            return NodeResponse(503, overloaded=True)
        result = self._work.execute(attempt.header, attempt.writes, attempt.exchange.client_has_disconnected)
        if result is not WorkResult.DONE:
            return NodeResponse(503, overloaded=result is WorkResult.OVERLOADED, reason=result.value)
        if occurs(self._faults.error, self._random):
            return NodeResponse(500)
        # Checked here and not on arrival: no other greenlet runs from here to the effect, so no fence comes between.
        permission = self.replicas.check_request(attempt.volume, attempt.key)
        if permission is not ReplicaResult.DONE:
            return self._objects.redirect(attempt, arrived_at, moved=permission is ReplicaResult.MOVED)
        return self._apply(attempt, slot)

    def _apply(self, attempt: NodeAttempt, slot: _DraftSlot | None) -> NodeResponse | StreamedResponse:
        if slot is not None:
            return self._objects.put(attempt, slot.take())
        if attempt.method == DELETE:
            return self._objects.delete(attempt)
        return self._objects.get(attempt)

    def _handle_control(self, exchange: Exchange) -> None:
        """Answer a request of a migrator, a drill or a probe."""
        body = join_pieces(exchange.body())
        head = exchange.head
        path, _, query = head.target.decode("latin-1").partition("?")
        if path in MIGRATION_PATHS:
            self._migration.handle(exchange, path, query, body)
            return
        if head.method == b"GET" and head.target == _OBJECTS_TARGET:
            rows = [[found.volume, found.key, found.size, found.etag] for _, found in self.store.index.values()]
            exchange.respond(200, [], msgspec.json.encode(rows))
            return
        if head.method == b"POST" and head.target == _FAULTS_TARGET:
            self._set_faults_from_json(body)
        elif head.target != _PROBE_TARGET:
            raise HttpError(404, "no such place")
        exchange.respond(200, [(REPORT_FIELD, self._reporter.load_report().encode())], b"{}")

    def _set_faults_from_json(self, body: bytes) -> None:
        try:
            self.set_faults(json.loads(body))
        except (ValueError, TypeError) as error:
            raise HttpError(400, str(error)) from None


class _DraftSlot:
    """Owns a draft until its effect is applied; else the draft is dropped."""

    def __init__(self, draft: ObjectDraft) -> None:
        self._draft: ObjectDraft | None = draft

    def take(self) -> ObjectDraft:
        """Give the draft over."""
        draft = self._draft
        assert draft is not None
        self._draft = None
        return draft

    def drop(self) -> None:
        """Drop the draft, if it was not given over."""
        if self._draft is not None:
            self._draft.drop()
