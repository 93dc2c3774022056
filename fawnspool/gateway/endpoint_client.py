"""The gateway's client of the node list service: a watch, polls, and a copy of the last list on disk."""

from __future__ import annotations

import functools
import json
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec

from fawnspool.connections.watch_timeouts import WatchTimeouts
from fawnspool.gateway.watch_client import MalformedUpdateError, PostUpdate, WatchClient
from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.scheduling import interface
from fawnspool.telemetry.logs import EventLogger

_SILENCE_CALL_TIMEOUTS = 2.0  # call timeouts without a message after which a watch counts as silent
_DELTA = "changes"
_SNAPSHOT = "whole"


class EndpointRecord(msgspec.Struct, frozen=True):
    """A list entry in the format of the list service; a negative `age_s` means that the node started long ago."""

    node: int
    address: str
    zone: str = ""
    kind: str = "node"
    shard: int = msgspec.field(name="cell", default=0)
    phase: str = "ready"
    size: float = 1.0
    age_s: float = -1.0


class EndpointMessage(msgspec.Struct, frozen=True):
    """An object of a watch, or the answer to a poll."""

    version: int
    entries: list[EndpointRecord]
    kind: str = _SNAPSHOT


@dataclass(frozen=True)
class ListedEndpoint:
    """The properties of a listed node that the gateway itself uses."""

    address: tuple[str, int]
    phase: interface.Phase
    zone: str
    shard: int


@dataclass(frozen=True)
class EndpointClientConfig:
    """Settings of an endpoint client.

    Attributes
    ----------
    zones, kinds
        Zones and kinds of nodes, in the order of the decision module's numbers; any other name counts as the first.
    pushes
        Whether the service pushes changes; the watch is then opened at the start.
    cache
        File in which the last list is saved.
    """

    address: tuple[str, int]
    gateway_id: int
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    pushes: bool
    call_timeout_s: float
    cache: Path


class EndpointClient(WatchClient):
    """Turns messages of the list service into `EndpointUpdate` events."""

    def __init__(
        self,
        config: EndpointClientConfig,
        post: PostUpdate,
        log: EventLogger,
        writer: BackgroundWriter,
        descriptors: DescriptorGate | None = None,
    ) -> None:
        timeouts = WatchTimeouts(silence_s=_SILENCE_CALL_TIMEOUTS * config.call_timeout_s, call_s=config.call_timeout_s)
        super().__init__(config.address, timeouts, post, log, descriptors)
        self.config = config
        self.writer = writer
        self.nodes: dict[int, ListedEndpoint] = {}
        self.records: dict[int, EndpointRecord] = {}

    def start(self) -> None:
        """Post the cached list and, where the service pushes, open the watch."""
        self._apply(interface.UpdateKind.CACHED, 0, self._read_cache())
        if self.config.pushes:
            self.watch(True)

    def poll_target(self) -> bytes:
        """Return the request target for the whole list."""
        return b"/list?head=%d" % self.config.gateway_id

    def watch_target(self) -> bytes:
        """Return the request target for a watch of the changes after `version`."""
        return b"/watch?head=%d&from=%d" % (self.config.gateway_id, self.version)

    def fetch(self) -> None:
        """Request the whole list; if the service pushes and the watch broke, open a new watch instead."""
        watch_broke = self.watch_greenlet is None or self.watch_greenlet.dead
        if self.config.pushes and watch_broke:
            self.version = 0  # makes the whole list the first object of the watch
            self.watch(True)
        else:
            super().fetch()

    def apply(self, data: bytes) -> None:
        """Apply a message of the service: post its update and save the list."""
        try:
            message = msgspec.json.decode(data, type=EndpointMessage)
        except msgspec.DecodeError as error:
            raise MalformedUpdateError(str(error)) from None
        if message.kind == _DELTA and message.version <= self.version and message.entries:
            return  # already applied
        if message.kind == _SNAPSHOT and message.version < self.version:
            self.log.warning("endpoint_list_version_decreased", previous=self.version, received=message.version)
        kind = interface.UpdateKind.DELTA if message.kind == _DELTA else interface.UpdateKind.SNAPSHOT
        self._apply(kind, message.version, message.entries)
        self._save()

    def _apply(self, kind: interface.UpdateKind, version: int, records: list[EndpointRecord]) -> None:
        self.version = version
        if kind is not interface.UpdateKind.DELTA:
            self.records = {}
            self.nodes = {}
        now = time.monotonic()
        endpoints: list[interface.Endpoint] = []
        for record in records:
            try:
                listed = _listed(record)
            except ValueError as error:
                self._log_malformed(record, error)
                continue
            endpoints.append(self._endpoint(record, listed, now))
            self._store(record, listed)
        self.post(interface.EndpointUpdate(kind, version, tuple(endpoints)))

    def _log_malformed(self, record: EndpointRecord, error: ValueError) -> None:
        self.log.error("endpoint_entry_malformed", entry=str(record), error=str(error))

    def _endpoint(self, record: EndpointRecord, listed: ListedEndpoint, now: float) -> interface.Endpoint:
        zones = self.config.zones
        kinds = self.config.kinds
        return interface.Endpoint(
            node=record.node,
            zone=zones.index(record.zone) if record.zone in zones else 0,
            kind=kinds.index(record.kind) if record.kind in kinds else 0,
            shard=record.shard,
            phase=listed.phase,
            size=record.size,
            started_at=now - record.age_s if record.age_s >= 0 else 0.0,
        )

    def _store(self, record: EndpointRecord, listed: ListedEndpoint) -> None:
        if listed.phase is interface.Phase.GONE:
            self.nodes.pop(record.node, None)
            self.records.pop(record.node, None)
        else:
            self.nodes[record.node] = listed
            self.records[record.node] = record

    # ------------------------------------------------------------ the list on disk

    def _read_cache(self) -> list[EndpointRecord]:
        try:
            return msgspec.json.decode(self.config.cache.read_bytes(), type=EndpointMessage).entries
        except FileNotFoundError:
            return []
        except (OSError, msgspec.DecodeError) as error:
            self.log.warning("endpoint_cache_unreadable", file=str(self.config.cache), error=str(error))
            return []

    def _save(self) -> None:
        entries = [msgspec.to_builtins(record) for record in self.records.values()]
        data = json.dumps({"version": self.version, "entries": entries}).encode()
        if not self.writer.put(functools.partial(self._write, data), len(data)):
            self._log_not_saved("the disk is too slow")

    def _log_not_saved(self, error: str) -> None:
        self.log.error("endpoint_cache_not_saved", error=error)

    def _write(self, data: bytes) -> None:
        """Write a draft file and rename it, so that a killed process leaves either the old list or the new one."""
        cache = self.config.cache
        draft = cache.with_suffix(".draft")
        try:
            cache.parent.mkdir(parents=True, exist_ok=True)
            draft.write_bytes(data)
            draft.replace(cache)
        except OSError as error:
            self._log_not_saved(str(error))


class StaticEndpointClient(EndpointClient):
    """A fixed list, for a gateway with embedded nodes."""

    def __init__(
        self,
        config: EndpointClientConfig,
        records: list[EndpointRecord],
        post: PostUpdate,
        log: EventLogger,
        writer: BackgroundWriter,
    ) -> None:
        super().__init__(config, post, log, writer)
        self.fixed_records = records

    def start(self) -> None:
        """Post the list."""
        self.reachable = True
        self.fetch()

    def watch(self, on: bool) -> None:
        """Post the list again; as it never changes, no watch is opened."""
        self.fetch()

    def fetch(self) -> None:
        """Post the list again."""
        self.last_message_at = time.monotonic()
        self._apply(interface.UpdateKind.SNAPSHOT, 1, self.fixed_records)


def _listed(record: EndpointRecord) -> ListedEndpoint:
    """Parse an entry; raise ValueError if it is malformed."""
    phase = interface.Phase(record.phase)
    host, _, port = record.address.rpartition(":")
    return ListedEndpoint((host, int(port)), phase, record.zone, record.shard)
