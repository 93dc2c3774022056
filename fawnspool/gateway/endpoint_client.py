"""The head's side of the node list: a watch that stands, single calls, and the last list kept on disk."""

from __future__ import annotations

import functools
import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from fawnspool.gateway.watch_client import ListLink
from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.scheduling import interface

_BEATS = 2.0  # beats of a watch that may be missing, in units of the call time-out


class Row(msgspec.Struct, frozen=True):
    """An entry as the list service writes it; ages in seconds, -1: long ago."""

    node: int
    address: str
    zone: str = ""
    kind: str = "node"
    cell: int = 0
    phase: str = "ready"
    size: float = 1.0
    age_s: float = -1.0


class Told(msgspec.Struct, frozen=True):
    """A line of a watch, or the answer to a call."""

    version: int
    entries: list[Row]
    kind: str = "whole"


@dataclass(frozen=True)
class Known:
    """What the head needs of a node beside what the module is told."""

    address: tuple[str, int]
    phase: interface.Phase
    zone: str
    cell: int


class ListClient(ListLink):
    """Turns what the list service says into `EndpointUpdate` events."""

    def __init__(
        self,
        address: tuple[str, int],
        head: int,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        pushes: bool,
        timeout: float,
        saved: Path,
        tell: Callable[[Any], None],
        log: Any,
        behind: BackgroundWriter,
    ) -> None:
        super().__init__(address, timeout, _BEATS * timeout, tell, log)
        self.head, self.zones, self.kinds, self.pushes = head, zones, kinds, pushes
        self.saved, self.behind = saved, behind
        self.nodes: dict[int, Known] = {}
        self.rows: dict[int, Row] = {}

    def start(self) -> None:
        """Give the saved list, and where the service pushes, open its stream."""
        rows: list[Row] = []
        try:
            old = msgspec.json.decode(self.saved.read_bytes(), type=Told)
            rows = old.entries
        except FileNotFoundError:
            pass
        except (OSError, msgspec.DecodeError) as bad:
            self.log.warning("saved list does not read", file=str(self.saved), error=str(bad))
        self._apply(interface.UpdateKind.CACHED, 0, rows)
        if self.pushes:
            self.watch(True)

    # ------------------------------------------------------------ the service's form

    def call_target(self) -> bytes:
        return b"/list?head=%d" % self.head

    def watch_target(self) -> bytes:
        return b"/watch?head=%d&from=%d" % (self.head, self.version)

    def fetch(self) -> None:
        """One call for the whole list; a push stream that broke is opened again with it, and its first line is the
        whole list."""
        if self.pushes and (self.watching is None or self.watching.dead):
            self.version = 0
            return self.watch(True)
        super().fetch()

    def take(self, data: bytes) -> None:
        try:
            told = msgspec.json.decode(data, type=Told)
        except msgspec.DecodeError as bad:
            raise ValueError(str(bad)) from None
        if told.kind == "changes" and told.version <= self.version:
            if told.entries:
                return  # heard before
        elif told.kind == "whole" and told.version < self.version:
            self.log.warning("the list went back", had=self.version, got=told.version)
        self._apply(
            interface.UpdateKind.DELTA if told.kind == "changes" else interface.UpdateKind.SNAPSHOT,
            told.version,
            told.entries,
        )
        self._save()

    def _apply(self, kind: interface.UpdateKind, version: int, rows: list[Row]) -> None:
        now = time.monotonic()
        self.version = version
        if kind is not interface.UpdateKind.DELTA:
            self.rows, self.nodes = {}, {}
        entries = []
        for row in rows:
            try:
                phase = interface.Phase(row.phase)
                host, _, port = row.address.rpartition(":")
                known = Known((host, int(port)), phase, row.zone, row.cell)
            except ValueError as bad:
                self.log.error("a list entry does not read", entry=str(row), error=str(bad))
                continue
            entries.append(
                interface.Endpoint(
                    row.node,
                    self.zones.index(row.zone) if row.zone in self.zones else 0,
                    self.kinds.index(row.kind) if row.kind in self.kinds else 0,
                    row.cell,
                    phase,
                    row.size,
                    now - row.age_s if row.age_s >= 0 else 0.0,
                )
            )
            if phase is interface.Phase.GONE:
                self.nodes.pop(row.node, None)
                self.rows.pop(row.node, None)
            else:
                self.nodes[row.node], self.rows[row.node] = known, row
        self.tell(interface.EndpointUpdate(kind, version, tuple(entries)))

    def _save(self) -> None:
        data = json.dumps({"version": self.version, "entries": [msgspec.to_builtins(r) for r in self.rows.values()]})
        if not self.behind.put(functools.partial(self._write, data.encode()), len(data)):
            self.log.error("the list can't be saved", error="the disk is too slow")

    def _write(self, data: bytes) -> None:
        """Beside, then renamed: a kill leaves the old list or the new one."""
        draft = self.saved.with_suffix(".draft")
        try:
            self.saved.parent.mkdir(parents=True, exist_ok=True)
            draft.write_bytes(data)
            os.replace(draft, self.saved)
        except OSError as bad:
            self.log.error("the list can't be saved", error=str(bad))


class FixedList(ListClient):
    """A list that is given once, for a head with embedded nodes."""

    def __init__(
        self,
        rows: list[Row],
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        tell: Callable[[Any], None],
        log: Any,
        behind: BackgroundWriter,
    ) -> None:
        super().__init__(("127.0.0.1", 0), 0, zones, kinds, False, 1.0, Path(os.devnull), tell, log, behind)
        self.given = rows

    def start(self) -> None:
        self.reachable, self.heard = True, time.monotonic()
        self._apply(interface.UpdateKind.SNAPSHOT, 1, self.given)

    def watch(self, on: bool) -> None:
        self.fetch()

    def fetch(self) -> None:
        self.heard = time.monotonic()
        self._apply(interface.UpdateKind.SNAPSHOT, 1, self.given)
