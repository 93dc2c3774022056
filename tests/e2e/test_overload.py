"""Peers that use up a resource of the process: bytes, descriptors, time of the event loop, memory of names and ids.

Each case fills one resource through one kind of peer, at one limit of memory and one of descriptors, while sound
clients read. Guards against bounds that hold for each connection, message and name, and that nothing adds up.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.e2e.overload_peers import KINDS
from tests.e2e.overload_rig import READ_DEADLINE_S, Limits, overload_rig

LOAD_S = 4.0
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
