"""One day played: processes up, troubles on time, clients through, records gathered."""

from __future__ import annotations

import shutil
import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import gevent
import msgspec

from fawnspool.config.head import CatalogueBlock, HeadBlock, HeadConfig, ListBlock, PeerBlock, VolumeBlock
from fawnspool.config.render import render
from fawnspool.days.day import Day, TroubleBlock
from fawnspool.days.fault_kinds import NODE_FAULTS
from fawnspool.days.faults import (
    NO_FAULT_SETTINGS,
    NODE_FAULT_SETTINGS,
    preemption_waves,
    restart_batches,
    stall_times,
    targets,
)
from fawnspool.days.rule_terms import rule_terms
from fawnspool.days.service_value import EndedOperation, ServiceValue, value_service
from fawnspool.days.traffic import held_objects
from fawnspool.drill.extent_audit import ExtentAudit, audit_extents
from fawnspool.drill.fleet import DrillError, Process, free_ports, post
from fawnspool.drill.links import Links, Weather
from fawnspool.drill.node_arguments import NodeStart, node_arguments
from fawnspool.extents.records import LOG_START, ExtentKey, ExtentRecord, MapDelta
from fawnspool.gateway.map_client import MapClient
from fawnspool.gateway.migrator import Migrator
from fawnspool.gossip import messages
from fawnspool.records.frames import FrameWriter, rows_of
from fawnspool.rules.gossip import GossipFinding, judge_gossip
from fawnspool.rules.history import read_history
from fawnspool.rules.judge import RunVerdict, judge_run
from fawnspool.rules.leases import LeaseFinding, judge_leases
from fawnspool.rules.misdirected import MisdirectedSends, count_misdirected
from fawnspool.standins.clients import content, lag_meter
from fawnspool.standins.map_database import MapDatabase
from fawnspool.standins.map_service import MapServer
from fawnspool.standins.meter import MeterServer
from fawnspool.standins.nodelist import NodeListEntry, NodeListServer
from fawnspool.standins.object_replicas import ObjectReplicas
from fawnspool.standins.object_store import ObjectStore

HEADS_MOST, NODES_MOST = 16, 32
BEHIND_LINKS = ("duty_nodes",)  # troubles that cut heads off from nodes and services


@dataclass
class Result:
    """What came of a day."""

    verdict: RunVerdict
    service: ServiceValue
    ops: list[EndedOperation]
    events: list[tuple[float, str]] = field(default_factory=list)
    wrong: MisdirectedSends | None = None  # where extents moved
    duties: LeaseFinding | None = None  # where heads held some
    shared: GossipFinding | None = None
    head_cpu: float = 0.0  # seconds of processor time of all heads, from when all are up (no restarts)


@dataclass
class _Cell:
    """A cell's node as it is now."""

    cell: int
    node: int
    process: Process
    zone: str
    faults: dict[str, Any] = field(default_factory=dict)
    up: bool = True


class Play:
    """Plays `day` once. `folder` gets configurations, logs, data and records."""

    def __init__(
        self,
        day: Day,
        day_file: Path,
        folder: Path,
        seed: int,
        policy: str = "module",
        say: Callable[[str], None] = lambda text: None,
        head_command: tuple[str, ...] = ("serve",),
        head_module: str = "fawnspool.cli",
        node_command: tuple[str, ...] = (),
        node_module: str = "fawnspool.cli",
    ) -> None:
        """head_module, node_module: what processes run; other than the program itself in tests with doctored ones."""
        self.day, self.day_file, self.folder, self.seed, self.policy = day, day_file, folder, seed, policy
        self.say, self.head_command, self.head_module = say, head_command, head_module
        self.node_command, self.node_module = node_command, node_module
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.rec"):
            old.unlink()
        # What a day that was played here before has left.
        for old in (*folder.glob("cell-*"), *folder.glob("head-*"), folder / "repeats"):
            if old.is_dir():
                shutil.rmtree(old)
            else:
                old.unlink(missing_ok=True)
        self.record = FrameWriter(folder / "drill.rec")
        self.events: list[tuple[float, str]] = []
        self.start = 0.0
        self.numbers = 100
        self.cells: list[_Cell] = []
        self.heads: list[Process] = []
        self.clients: Process | None = None
        self.tasks: list[Any] = []
        self.generations: dict[tuple[str, str], int] = {}
        self.links = Links(self.note, seed)
        self.drained: set[int] = set()
        self.to_leave: set[tuple[str, str]] = set()  # what lay in drained cells when that was asked for
        self.told_to_end: set[int] = set()
        self.head_cpu = 0.0

    def note(self, kind: str, t: float | None = None, **more: Any) -> None:
        self.record.put({"k": kind, "t": time.monotonic() if t is None else t, **more})

    def event(self, text: str) -> None:
        at = time.monotonic() - self.start
        self.events.append((at, text))
        self.say(f"{at:6.2f} s  {text}")

    # ------------------------------------------------------------ set up

    def run(self) -> Result:
        """Raises DrillError where it could not be played."""
        lag = lag_meter(self.note, "drill")
        try:
            self._set_up()
            self.start = time.monotonic() + 1.5
            self.head_cpu = -sum(head.cpu() for head in self.heads)  # their starts are not counted
            self._start_clients()
            for trouble in self.day.trouble:
                wait = self.start + trouble.at - time.monotonic()
                self.tasks.append(gevent.spawn_later(wait, self._trouble, trouble))
            self._await_clients()
            self._check_faults()
        finally:
            lag.kill()
            gevent.killall(self.tasks)
            self._tear_down()
        return self._judge()

    def _set_up(self) -> None:
        d = self.day
        if d.day.heads > HEADS_MOST or d.day.nodes > NODES_MOST:
            raise DrillError(
                f"{d.day.heads} heads and {d.day.nodes} nodes are too many for real processes here (at "
                f"most {HEADS_MOST} and {NODES_MOST}); fawnspool model run plays any number"
            )
        ports = free_ports(d.day.nodes + 2 * d.day.heads + 1)
        node_ports, head_ports = ports[: d.day.nodes], ports[d.day.nodes : d.day.nodes + d.day.heads]
        peer_ports = ports[d.day.nodes + d.day.heads : -1]
        self.catalogue = MapServer(("127.0.0.1", 0), MapDatabase(), self.note)
        self.meter = MeterServer(("127.0.0.1", 0), d.service.meter) if d.service.meter else None
        self._hold_objects()
        zones = [f"zone-{chr(97 + k)}" for k in range(d.fleet.zones)]
        slow = set(Random(f"{self.seed}-slow").sample(range(d.day.nodes), round(d.fleet.slow_share * d.day.nodes)))
        self.slow = slow
        for k in range(d.day.nodes):
            self.numbers += 1
            zone = zones[k % len(zones)]
            self.cells.append(_Cell(k, self.numbers, self._node(k, self.numbers, node_ports[k], zone, False), zone))
        for cell in self.cells:
            cell.process.start()
        for cell in self.cells:
            cell.process.wait_up()
        self.list = NodeListServer(
            ("127.0.0.1", 0), [self._entry(c, "ready", -1.0) for c in self.cells], self._told, self._seen_by
        )
        for k in range(d.day.heads):
            config = self._head_config(k, head_ports, peer_ports, zones)
            path = self.folder / f"head-{k}.hcl"
            path.write_text(render(config))
            self.heads.append(
                Process(
                    f"head-{k}",
                    [*self.head_command, str(path)],
                    head_ports[k],
                    self.folder / f"head-{k}.log",
                    self.head_module,
                )
            )
        for head in self.heads:
            head.start()
        for k, head in enumerate(self.heads):
            head.wait_up()
            self.note("head", head=k, what="up")

    def _hold_objects(self) -> None:
        """What volumes hold from the start lies on the nodes' disks and in the catalogue."""
        stores = [ObjectStore(self.folder / f"cell-{k}" / "objects") for k in range(self.day.day.nodes)]
        for volume, key, size, cell in held_objects(self.day, self.seed):
            draft = stores[cell].draft()
            draft.add(content(volume, key, size))
            stores[cell].commit(draft, volume, key)
            self.catalogue.database.put(volume, key, cell, size)

    def _head_config(self, k: int, ports: list[int], peer_ports: list[int], zones: list[str]) -> HeadConfig:
        d = self.day
        peers = (
            tuple(PeerBlock(str(n), f"127.0.0.1:{self._peer_port(k, n, p)}") for n, p in enumerate(peer_ports))
            if d.day.peers
            else ()
        )
        service = self._seen_by(k, f"127.0.0.1:{self.catalogue.address[1]}")
        duties = d.duties and replace(d.duties, record=str(self.folder / f"duties-{k}.rec"))
        return HeadConfig(
            head=HeadBlock(
                listen=f"127.0.0.1:{ports[k]}",
                data=str(self.folder / f"head-{k}"),
                number=k,
                heads=d.day.heads,
                zone=zones[k % len(zones)],
                seed=self.seed * 100 + k,
                tick=0.002,
                policy=self.policy,
                log="json",
                record=str(self.folder / f"module-{k}.mrec"),
                peer_listen=f"127.0.0.1:{peer_ports[k]}" if d.day.peers else "",
            ),
            class_=d.class_,
            plan=d.plan,
            volume=tuple(VolumeBlock(name, b.name, b.heads) for name, b in d.volume_names()),
            peer=peers,
            list=ListBlock(address=f"127.0.0.1:{self.list.address[1]}", mode=d.day.list_mode, call_timeout=1.0),
            catalogue=CatalogueBlock(address=service, watch=d.day.map_watch),
            duties=duties,
            shared=d.shared,
            nodes=replace(d.nodes, cells=d.day.nodes, zones=tuple(zones)),
            units=d.units,
            attempts=d.attempts,
            clients=d.clients,
            service=d.service,
        )

    def _peer_port(self, a: int, b: int, port: int) -> int:
        """Where head `a` sends what is for head `b`: through a link of their own where the day's heads share work."""
        return self.links.between(a, b, ("127.0.0.1", port)) if self.day.linked and a != b else port

    def _seen_by(self, head: int, where: str) -> str:
        """A server's address as that head is to use it; through a link of their own where such links are cut."""
        if head < 0 or not any(x.kind in BEHIND_LINKS for x in self.day.trouble):
            return where
        host, _, port = where.rpartition(":")
        return f"{host}:{self.links.to_server(head, (host, int(port)))}"

    def _node(self, cell: int, number: int, port: int, zone: str, cold: bool) -> Process:
        meter_port = None if self.meter is None else self.meter.address[1]
        start = NodeStart(cell, number, port, zone, 2.0 if cell in self.slow else 1.0, cold, meter_port)
        arguments = [*self.node_command, *node_arguments(self.day, self.folder, self.seed, start)]
        return Process(f"node-{number}", arguments, port, self.folder / f"node-{number}.log", self.node_module)

    def _entry(self, cell: _Cell, phase: str, started: float) -> NodeListEntry:
        return NodeListEntry(
            cell.node,
            f"127.0.0.1:{cell.process.port}",
            cell.zone,
            cell.cell,
            phase,
            size=float(self.day.fleet.cores),
            started_at=started,
        )

    def _told(self, head: int, phase: str, node: int, began: float) -> None:
        entry = self.list.entries.get(node)
        age = -1.0 if entry is None or entry.started_at < 0 else time.monotonic() - entry.started_at
        self.note("told", head=head, node=node, phase=phase, age=age, began=began)

    def _start_clients(self) -> None:
        spec = self.folder / "clients.json"
        spec.write_bytes(
            msgspec.json.encode(
                {
                    "day": str(self.day_file),
                    "seed": self.seed,
                    "start": self.start,
                    "heads": {str(k): h.port for k, h in enumerate(self.heads)},
                    "record": str(self.folder / "clients.rec"),
                    "result": str(self.folder / "ended.json"),
                }
            )
        )
        self.clients = Process("clients", ["drill", "clients", str(spec)], 0, self.folder / "clients.log")
        self.clients.start()

    def _await_clients(self) -> None:
        assert self.clients is not None
        most = self.day.day.length + max(c.deadline for c in self.day.class_) * 2 + 30
        end = self.start + most
        while self.clients.child.poll() is None:
            if time.monotonic() > end:
                raise DrillError(f"clients did not end within {most:.0f} s")
            for k, head in enumerate(self.heads):
                if head.child.poll() not in (None, -signal.SIGKILL) and k not in self.told_to_end:
                    raise DrillError(f"head {k} ended by itself with {head.child.returncode}: {head._tail()}")
            gevent.sleep(0.1)
        if self.clients.child.returncode:
            raise DrillError(f"clients ended with {self.clients.child.returncode}: {self.clients._tail()}")

    def _check_faults(self) -> None:
        """Raise what ended a fault early: a day without its faults shows nothing."""
        for task in self.tasks:
            if task.exception is not None:
                raise task.exception

    def _tear_down(self) -> None:
        for k, head in enumerate(self.heads):
            self.note("head", head=k, what="ended")
            self.head_cpu += head.cpu()
            head.signal(signal.SIGCONT)
            head.signal(signal.SIGTERM)
        for process in [*([self.clients] if self.clients else []), *self.heads, *(c.process for c in self.cells)]:
            if process.child is not None:
                process.end()
        self.links.stop()
        if self.drained:
            self.note("drained", **asdict(self._audit_extents()))
        for service in ("list", "catalogue", "meter"):
            if getattr(self, service, None) is not None:
                getattr(self, service).stop()
        self.record.close()

    # ------------------------------------------------------------ troubles

    def _trouble(self, x: TroubleBlock) -> None:
        numbers, heads = targets(self.day, self.seed, x)
        cells = [self.cells[k] for k in numbers]
        if x.kind in NODE_FAULTS:
            self.note("ill", nodes=[c.node for c in cells])
        self.event(f"{x.name} ({x.kind}) begins")
        try:
            if x.kind == "neighbour":
                self._on_and_off(x, cells)
            elif x.kind in NODE_FAULT_SETTINGS:
                self._faulty(x, cells, x.length)
            else:
                special = getattr(self, f"_do_{x.kind}", None)
                if special is not None:
                    special(x, cells, heads)
                else:
                    gevent.sleep(x.length)  # of the traffic: the clients' script has it
        except DrillError as bad:
            self.event(f"{x.name}: {bad}")
        self.event(f"{x.name} is over")

    def _fault(self, cell: _Cell, given: dict[str, Any]) -> None:
        cell.faults |= given
        if cell.up:
            try:
                post(cell.process.port, "/-/faults", given)
            except DrillError:
                if cell.process.child.poll() is None and not cell.faults.get("refuse"):
                    raise

    def _faulty(self, x: TroubleBlock, cells: list[_Cell], length: float) -> None:
        given = NODE_FAULT_SETTINGS[x.kind](x)
        for cell in cells:
            self._fault(cell, given)
        if x.kind == "refused":  # its control is refused too: a new listener comes by a signal
            gevent.sleep(length)
            for cell in cells:
                cell.process.signal(signal.SIGUSR1)
                cell.faults["refuse"] = False
            return
        gevent.sleep(length)
        for cell in cells:
            self._fault(cell, {name: NO_FAULT_SETTINGS[name] for name in given if name in NO_FAULT_SETTINGS})

    def _on_and_off(self, x: TroubleBlock, cells: list[_Cell]) -> None:
        end = time.monotonic() + x.length
        while time.monotonic() < end:
            self._faulty(x, cells, min(x.every, max(0.0, end - time.monotonic())))
            gevent.sleep(x.every)

    def _kill_node(self, cell: _Cell) -> None:
        cell.up = False
        self.event(f"node {cell.node} killed")
        cell.process.kill()

    def _back(self, cell: _Cell, listed: bool) -> None:
        """The same node comes back cold, on the same port."""
        cell.process = self._node(cell.cell, cell.node, cell.process.port, cell.zone, True)
        cell.process.start()
        cell.process.wait_up()
        cell.up = True
        self.event(f"node {cell.node} back, cold")
        if cell.faults:
            self._fault(cell, cell.faults)
        if listed:
            self.list.change(self._entry(cell, "ready", time.monotonic()))

    def _do_crash(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        for cell in cells:
            self._kill_node(cell)
        gevent.sleep(min(self.day.day.notice, x.down))
        for cell in cells:
            self.list.change(self._entry(cell, "gone", -1.0))
        gevent.sleep(max(0.0, x.down - self.day.day.notice))
        for cell in cells:
            self._back(cell, True)

    def _do_unlisted_restart(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        for cell in cells:
            self._kill_node(cell)
        gevent.sleep(x.down)
        for cell in cells:
            self._back(cell, False)

    def _do_ageing(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        steps = max(1, int(x.length / 0.5))
        for k in range(1, steps + 1):
            for cell in cells:
                self._fault(cell, {"slow": 1 + (x.size - 1) * k / steps})
            gevent.sleep(x.length / steps)
        for cell in cells:
            cell.faults["slow"] = 1.0
        self._do_crash(x, cells, heads)

    def _do_preempt(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        """Waves: told to drain, dead `size` seconds later, a new cold node in its place after `down`."""
        for some in preemption_waves(x, [c.cell for c in cells]):
            self.tasks.append(gevent.spawn(self._preempt, x, [self.cells[k] for k in some]))
            gevent.sleep(x.every)

    def _preempt(self, x: TroubleBlock, cells: list[_Cell]) -> None:
        for cell in cells:
            self.event(f"node {cell.node} drains")
            self.list.change(self._entry(cell, "draining", -1.0))
        gevent.sleep(x.size)
        for cell in cells:
            self._kill_node(cell)
        gevent.sleep(min(self.day.day.notice, x.down))
        for cell in cells:
            self.list.change(self._entry(cell, "gone", -1.0))
        gevent.sleep(max(0.0, x.down - self.day.day.notice))
        for cell in cells:
            self.numbers += 1
            cell.node = self.numbers
            (port,) = free_ports(1)
            cell.process = self._node(cell.cell, cell.node, port, cell.zone, True)
            cell.process.start()
            cell.process.wait_up()
            cell.up, cell.faults = True, {}
            self.event(f"node {cell.node} takes its place, cold")
            self.list.change(self._entry(cell, "ready", time.monotonic()))

    def _do_list_gone(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        self.list.stop()
        gevent.sleep(x.length)
        self.list.start()

    def _do_list_late(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        self.list.delay_s = x.size
        gevent.sleep(x.length)
        self.list.delay_s = 0.0

    def _do_map_gone(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        self.catalogue.stop()
        gevent.sleep(x.length)
        self.catalogue.start()
        self._hear_flips()

    def _hear_flips(self) -> None:
        def heard(delta: MapDelta) -> None:
            for f in delta.records:
                if f.stamp.generation > self.generations.get((f.volume, f.extent), 0):
                    self.generations[f.volume, f.extent] = f.stamp.generation
                    self.note("flip", vol=f.volume, key=f.extent, gen=f.stamp.generation)

        self.catalogue.database.watchers[self] = heard

    def _do_moves(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        """Every `every` seconds `size` objects, each to another of the nodes, by movers of their own; one that is not
        done in time is resumed by the next that takes its object up."""
        self._hear_flips()
        random, end = Random(f"{self.seed}-{x.name}"), time.monotonic() + x.length
        where = {c.cell: c for c in self.cells}
        mover = Migrator(
            lambda k: ("127.0.0.1", where[k].process.port) if where[k].up else None,
            MapClient(self.catalogue.address, 0.5),
            0.5,
        )
        names = [name for name, _ in self.day.volume_names()]
        done: list[Any] = []
        moved = Counter[str]()

        def one(volume: str, key: str, to: int) -> None:
            moved[mover.migrate(ExtentKey(volume, key), to, time.monotonic() + 5.0).value] += 1

        while time.monotonic() < end:
            for _ in range(max(1, round(x.size))):
                volume = random.choice(names)
                keys, _ = self.catalogue.database.list_keys(volume, "", "", 1000)
                if keys:
                    done.append(gevent.spawn(one, volume, random.choice(keys)[0], random.choice(cells).cell))
            gevent.sleep(x.every)
        gevent.joinall(done, timeout=6.0)
        self.event(f"moves: {', '.join(f'{n} {how}' for how, n in sorted(moved.items()))}")

    def _kill_head(self, k: int, down: float) -> None:
        self.note("head", head=k, what="killed")
        self.heads[k].kill()
        self.event(f"head {k} killed")
        gevent.sleep(down)
        self.heads[k].start()
        self.heads[k].wait_up()
        self.note("head", head=k, what="up")
        self.event(f"head {k} back")

    def _do_head_kill(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        gevent.joinall([gevent.spawn(self._kill_head, k, x.down) for k in heads], raise_error=True)

    def _do_head_roll(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        rounds = restart_batches(self.day, x)
        for some in rounds:
            began = time.monotonic()
            gevent.joinall([gevent.spawn(self._kill_head, k, x.down) for k in some], raise_error=True)
            gevent.sleep(max(0.0, x.length / len(rounds) - (time.monotonic() - began)))

    def _do_head_stall(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        """They stand still for `size` seconds every `every`, each at times of its own, then find all that came."""
        start = time.monotonic()

        def stalls(k: int) -> None:
            for at in stall_times(self.day, self.seed, x, k):
                gevent.sleep(max(0.0, start + at - time.monotonic()))
                began = time.monotonic()
                self.heads[k].signal(signal.SIGSTOP)
                gevent.sleep(x.size)
                self.heads[k].signal(signal.SIGCONT)
                self.note("stall", t=began, head=k, until=time.monotonic())

        gevent.joinall([gevent.spawn(stalls, k) for k in heads], raise_error=True)

    # ------------------------------------------------------------ duties

    def _holders(self) -> dict[int, list[str]]:
        """Heads and the duties that they showed a token for last, as the map service has it."""
        out: dict[int, list[str]] = {}
        for row in self.catalogue.database.roles.holders():
            out.setdefault(row.gateway_id, []).append(row.role)
        return out

    def _busiest(self, random: Random) -> int:
        held = {k: len(v) for k, v in self._holders().items() if self.heads[k].child.poll() is None}
        most = max(held.values(), default=0)
        return random.choice([k for k, n in sorted(held.items()) if n == most] or list(range(len(self.heads))))

    def _hit(self, head: int, what: str, until: float) -> None:
        """until: when it is over (monotonic)."""
        self.note("fault", head=head, what=what, until=until, duties=self._holders().get(head, []))
        self.event(f"head {head} {what}")

    def _do_drain(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        there = self._facts()
        for cell in cells:
            self.drained.add(cell.cell)
            self.to_leave |= {(f.volume, f.extent) for f in there if f.shard == cell.cell}
            self.catalogue.database.roles.set_operator_request(f"drain/{cell.cell}", "")
        self.event(f"cells {', '.join(str(c.cell) for c in cells)} are to be drained")

    def _each(self, x: TroubleBlock, hit: Callable[[int], None]) -> None:
        """Every `every` seconds the head that holds most then."""
        random, end = Random(f"{self.seed}-{x.name}"), time.monotonic() + x.length
        tasks = []
        while time.monotonic() < end:
            tasks.append(gevent.spawn(hit, self._busiest(random)))
            gevent.sleep(x.every * random.uniform(0.8, 1.2))
        gevent.joinall(tasks, raise_error=True)

    def _do_duty_kill(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        def hit(k: int) -> None:
            self._hit(k, "killed", time.monotonic() + x.down)
            self._kill_head(k, x.down)

        self._each(x, hit)

    def _do_duty_term(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        def hit(k: int) -> None:
            self._hit(k, "ended", time.monotonic() + x.down)
            self.note("head", head=k, what="killed")
            self.told_to_end.add(k)
            self.heads[k].signal(signal.SIGTERM)
            gevent.sleep(x.down)
            self.heads[k].end()
            self.heads[k].start()
            self.told_to_end.discard(k)
            self.heads[k].wait_up()
            self.note("head", head=k, what="up")

        self._each(x, hit)

    def _do_duty_stall(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        def hit(k: int) -> None:
            began = time.monotonic()
            self._hit(k, "stopped", began + x.size)
            self.heads[k].signal(signal.SIGSTOP)
            gevent.sleep(x.size)
            self.heads[k].signal(signal.SIGCONT)
            self.note("stall", t=began, head=k, until=time.monotonic())

        self._each(x, hit)

    def _do_duty_cut(self, x: TroubleBlock, cells: list[_Cell], heads: list[int], out: bool = True) -> None:
        """The holder is cut off from the other heads for `size` seconds; it reaches nodes and services as before.
        out: what it says is lost, too."""

        def hit(k: int) -> None:
            self._hit(k, "cut off" if out else "hears nothing", time.monotonic() + x.size)
            self.links.cut_heads({k}, out=out, back=True)
            gevent.sleep(x.size)
            self.links.cut_heads({k}, out=False, back=False)

        self._each(x, hit)

    def _do_duty_one_way(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        self._do_duty_cut(x, cells, heads, out=False)

    def _do_duty_nodes(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        """The holder is cut off from nodes and services for `size` seconds, not from the other heads: what it sends
        is held back and comes after that."""

        def hit(k: int) -> None:
            self._hit(k, "held back", time.monotonic() + x.size + 1.0)
            self.links.cut_servers({k}, out=True, back=True)
            gevent.sleep(x.size)
            self.links.cut_servers({k}, out=False, back=False)

        self._each(x, hit)

    def _do_duty_voters(self, x: TroubleBlock, cells: list[_Cell], heads: list[int], lost: bool = False) -> None:
        """All voters are killed at one stroke; `lost`: one of them comes back with an empty disk."""
        assert self.day.duties is not None
        voters = list(self.day.duties.voters)
        for k in voters:
            self._hit(k, "killed", time.monotonic() + x.down)
            self.note("head", head=k, what="killed")
            self.heads[k].kill()
        if lost:
            (self.folder / f"head-{voters[0]}" / "votes.rec").unlink(missing_ok=True)
        gevent.sleep(x.down)
        for k in voters:
            self.heads[k].start()
        for k in voters:
            self.heads[k].wait_up()
            self.note("head", head=k, what="up")
        self.event("all voters are back")

    def _do_duty_lost(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        self._do_duty_voters(x, cells, heads, lost=True)

    def _do_duty_net(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        """Datagrams are lost, doubled and late, a `part` of them each, by up to `size` seconds."""
        self.note("fault", head=-1, what="bad weather", until=time.monotonic() + x.length + x.size, duties=[])
        self.links.all_weather(Weather(False, x.part, x.part, x.part, x.size))
        gevent.sleep(x.length)
        self.links.all_weather(Weather())

    def _do_bad_net(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        self._do_duty_net(x, cells, heads)

    def _do_head_lies(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        """In place of what these heads say of what they share the others hear that every node is dead; size 1: well."""

        def lie(k: int, body: bytes) -> bytes:
            fingerprint = messages.decode(body).fingerprint
            verdict = messages.HealthVerdict.HEALTHY if x.size == 1 else messages.HealthVerdict.UNREACHABLE
            rows = tuple(messages.EvidenceRow(c.node, k, verdict, 9, 0.0) for c in self.cells)
            return messages.encode(messages.GossipMessage(messages.GossipMessageType.EVIDENCE, fingerprint, rows))

        liars = [link for (a, _), link in self.links.datagrams.items() if a in heads]
        for link in liars:
            link.lie = partial(lie, link.a)
        self.event(f"heads {', '.join(map(str, sorted(heads)))} lie")
        gevent.sleep(x.length)
        for link in liars:
            link.lie = None

    def _do_heads_cut(
        self, x: TroubleBlock, cells: list[_Cell], heads: list[int], out: bool = True, back: bool = True
    ) -> None:
        """A part of the heads is cut off from the others, and reaches nodes and services as before; `every` under
        `length`: it heals and is cut again, for half of the time each. out: what they say is lost; back: what is said
        to them."""
        end = time.monotonic() + x.length
        while time.monotonic() < end:
            rest = end - time.monotonic()
            most = min(rest, x.every / 2 if x.every < x.length else rest)
            self.event(f"heads {', '.join(map(str, sorted(heads)))} cut off{'' if out and back else ', one way'}")
            self.note("fault", head=-1, what="heads cut", until=time.monotonic() + most, duties=[])
            self.links.cut_heads(set(heads), out=out, back=back)
            gevent.sleep(most)
            self.links.cut_heads(set(heads), out=False, back=False)
            gevent.sleep(min(max(0.0, end - time.monotonic()), x.every / 2))

    def _do_heads_deaf(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        self._do_heads_cut(x, cells, heads, out=False)

    def _do_heads_mute(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        self._do_heads_cut(x, cells, heads, back=False)

    def _do_duty_quiet(self, x: TroubleBlock, cells: list[_Cell], heads: list[int]) -> None:
        """No head hears any other: no majority anywhere."""
        for k in range(len(self.heads)):
            self._hit(k, "cut off", time.monotonic() + x.length)
        for link in self.links.datagrams.values():
            link.weather.cut = True
        gevent.sleep(x.length)
        for link in self.links.datagrams.values():
            link.weather.cut = False

    def _facts(self) -> list[ExtentRecord]:
        """All that the map holds."""
        c = self.catalogue.database
        return [
            f for k in range(c.partition_count) for d in c.deltas_since(k, LOG_START) for f in d.records if f.shard >= 0
        ]

    def _audit_extents(self) -> ExtentAudit:
        """Nodes have ended."""
        replicas = {
            c.cell: ObjectReplicas(
                self.folder / f"cell-{c.cell}", ObjectStore(self.folder / f"cell-{c.cell}" / "objects")
            )
            for c in self.cells
        }
        audit = audit_extents(self._facts(), replicas, self.drained, self.to_leave)
        for held in replicas.values():
            held.close()
        return audit

    # ------------------------------------------------------------ the end

    def _judge(self) -> Result:
        history = read_history(rows_of(self.folder))
        verdict = judge_run(history, rule_terms(self.day))
        plan_of = {name: b.name for name, b in self.day.volume_names()}
        ops = [
            EndedOperation(r[0], r[1], plan_of[r[1]], r[2], r[3], r[4], r[5])
            for r in msgspec.json.decode((self.folder / "ended.json").read_bytes())
        ]
        duties = None
        if self.day.duties is not None:
            duties = judge_leases(history, self.day.duties.lease, bool(self.drained))
            verdict.findings.append(duties.finding)
        wrong = count_misdirected(history) if any(x.kind == "moves" for x in self.day.trouble) else None
        shared = judge_gossip(history, rule_terms(self.day), self.day.day.heads)
        if self.day.shared is not None:
            verdict.findings.append(shared.node_use)
        return Result(verdict, value_service(self.day, ops), ops, self.events, wrong, duties, shared, self.head_cpu)
