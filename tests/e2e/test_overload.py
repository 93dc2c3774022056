"""Peers that use up a resource of the process: bytes, descriptors, time of the event loop, memory of names and ids.

Each case fills one resource through one kind of peer, at one limit of memory and one of descriptors, while sound
clients read. Guards against bounds that hold for each connection, message and name, and that nothing adds up.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

import gevent
import pytest

from tests.e2e.overload_peers import KINDS
from tests.e2e.overload_rig import NODES, READ_DEADLINE_S, Limits, OverloadRig, overload_rig

LOAD_S = 2.5
LIST_LINES = {
    "more hosts than there is memory for": lambda seq: _list_line(seq, 16_000),
    "as many hosts as the largest fleet": lambda seq: _list_line(seq, 3_200),
    "hosts that are no objects": lambda seq: b'{"seq":%d,"whole":true,"hosts":[%s[]]}' % (seq, b"[]," * 1_300_000),
}
LIMITS = [Limits(memory_mb, sockets) for memory_mb in (32, 64, 192) for sockets in (384, 1024)]


def limits_id(limits: Limits) -> str:
    return f"{limits.memory_mb}MB-{limits.sockets}"


@pytest.mark.parametrize("limits", LIMITS, ids=limits_id)
@pytest.mark.parametrize("kind", KINDS)
def test_clients_that_use_up_a_resource_neither_end_the_process_nor_delay_sound_ones(
    tmp_path: Path, kind: str, limits: Limits
) -> None:
    """Guards against report 241007: the process passed its memory limit, and other clients got late answers or none."""
    with overload_rig(tmp_path, limits) as rig:
        rig.start_peer(kind, seed=1, seconds=LOAD_S + READ_DEADLINE_S)
        report = rig.run_sound_clients(LOAD_S)
    print(report.text())
    assert not report.killed_for_memory and not report.ended, report.text()
    assert report.late() == [], report.text()


def _list_line(seq: int, count: int) -> bytes:
    row = {"dial": "127.0.0.1:9", "site": "a", "class": "m", "health": "active", "share": 1.0, "born_ms": 0}
    hosts = [row | {"host": f"s-{seq}-{number:05}", "block": number} for number in range(NODES, count)]
    return json.dumps({"seq": seq, "whole": False, "hosts": hosts}).encode()


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
@pytest.mark.parametrize("case", LIST_LINES)
def test_lists_of_discovery_neither_end_the_process_nor_delay_sound_clients(
    tmp_path: Path, case: str, memory_mb: int
) -> None:
    """Guards against a list that takes many times its bytes once it is decoded, and stays for good."""
    with overload_rig(tmp_path, Limits(memory_mb, 384)) as rig:
        sender = gevent.spawn(_send_lists, rig, case)
        report = rig.run_sound_clients(LOAD_S)
        sender.kill()
    print(report.text())
    assert not report.killed_for_memory and not report.ended, report.text()
    assert report.late() == [], report.text()


def _send_lists(rig: OverloadRig, case: str) -> None:
    for seq in range(100, 1000, 100):
        line = LIST_LINES[case](seq)
        for watcher in list(rig.discovery.watchers):
            watcher.put(line)
        gevent.sleep(0.5)


def test_run_opens_no_path_for_other_gateways(tmp_path: Path) -> None:
    """The table has no cell for other gateways: the process has no datagram socket, and one listener for clients."""
    with overload_rig(tmp_path, LIMITS[0]) as rig:
        inodes = {os.readlink(path) for path in Path(f"/proc/{rig.gateway.process.pid}/fd").iterdir()}
        sockets = {name[8:-1] for name in inodes if name.startswith("socket:")}
        datagrams = {row.split()[9] for row in Path("/proc/net/udp").read_text().splitlines()[1:]}
        assert sockets and not sockets & datagrams
