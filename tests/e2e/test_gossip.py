"""Tests of gossip between real processes: faults between gateways, and doctored gateways that the judge must find."""

from __future__ import annotations

import importlib.util
import json
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent.subprocess
import pytest

from fawnspool.config.schema import load
from fawnspool.days.checks import check_day
from fawnspool.days.day import Day, TroubleBlock
from fawnspool.drill.play import Play, Result
from fawnspool.net.connection_pool import ConnectionPool, PoolOptions, call
from fawnspool.records.frames import rows_of
from fawnspool.rules.history import read_history
from tests.e2e.rig import wait_for
from tests.e2e.run_imports import modules_of_run

FILE = Path(__file__).parent / "shared.hcl"


def play(folder: Path, *troubles: TroubleBlock, **options: Any) -> Result:
    day = load(FILE, Day, check_day)
    return Play(replace(day, trouble=(*day.trouble, *troubles)), FILE, folder, 1, **options).run()


def fault(kind: str, at: float = 2.0, length: float = 5.0, **fields: Any) -> TroubleBlock:
    return TroubleBlock(name=kind, kind=kind, at=at, length=length, **fields)


def broken_rules(result: Result) -> set[str]:
    return {f.rule for f in result.verdict.findings if f.breaches}


def test_limits_hold_while_gateways_are_cut_off_stalled_and_killed_and_datagrams_are_lost(tmp_path: Path) -> None:
    result = play(
        tmp_path,
        fault("heads_cut", part=0.5, every=2.0),
        fault("head_stall", part=0.34, size=1.0, every=2.0),
        fault("head_kill", at=4.0, part=0.17, down=0.3),
        fault("bad_net", part=0.2, size=2.0),
    )
    assert "limits kept" not in broken_rules(result) and "well nodes used" not in broken_rules(result)
    history = read_history(rows_of(tmp_path))
    assert {datagram.what for datagram in history.peer_datagrams} == {"cut", "lost", "passed"}
    assert history.stalls
    assert any(change.what == "killed" for changes in history.gateway_changes.values() for change in changes)
    assert result.shared is not None and result.shared.bytes_per_s > 0
    assert next(f for f in result.verdict.findings if f.rule == "limits kept").nearest > 0.1


class _QueriedPlay(Play):
    """Play during which the commands and the metrics of a gateway are queried."""

    gossip_status: Any = None
    command_output: str = ""
    metrics: str = ""

    def _do_lead_moves(self, trouble: TroubleBlock, cells: Any, heads: Any) -> None:
        address = f"127.0.0.1:{self.heads[0].port}"
        command = [sys.executable, "-m", "fawnspool.cli"]
        self.gossip_status = json.loads(gevent.subprocess.check_output([*command, "shared", "show", address, "--json"]))
        self.command_output = gevent.subprocess.check_output([*command, "shared", "show", address]).decode()
        self.command_output += gevent.subprocess.check_output([*command, "status", address]).decode()
        _, body = call(
            ConnectionPool(("127.0.0.1", self.heads[0].port), PoolOptions(1, 1.0, 1.0)),
            b"GET",
            b"/-/metrics",
            time.monotonic() + 2.0,
        )
        self.metrics = body.decode()

    def _await_clients(self) -> None:
        """Keep the gateways running until the queries are done, as the speed of the commands depends on the machine."""
        super()._await_clients()
        wait_for(lambda: self.metrics, 60.0)


def test_commands_and_metrics_show_the_gossip(tmp_path: Path) -> None:
    day = load(FILE, Day, check_day)
    queried = _QueriedPlay(
        replace(day, trouble=(*day.trouble, fault("head_lies", at=1.0, part=0.17, size=0.0))), FILE, tmp_path, 1
    )
    queried.run()
    assert (
        queried.gossip_status["heads"] == 6
        and not queried.gossip_status["alone"]
        and queried.gossip_status["strangers"] == 0
    )
    rows = [r for r in queried.gossip_status["volumes"] if r["heads"] > 1]
    assert rows and any(r["used_at_least"] > 0 for r in rows)
    assert all((r["used_at_most"] is None) == (r["unheard"] > 0) for r in rows)
    assert all(r["used_at_most"] is None or r["used_at_most"] > r["used_at_least"] for r in rows)
    # The gateway that lies reports 9 failures.
    assert any(e["signs"] == 9 for n in queried.gossip_status["nodes"] for e in n["evidence"])
    assert "6 heads are there" in queried.command_output and "Nodes that anything is said of" in queried.command_output
    assert "nodes shunned on hearsay" in queried.command_output
    assert "fawnspool_shared_heads 6.0" in queried.metrics and "fawnspool_shared_alone 0.0" in queried.metrics


@pytest.mark.parametrize(
    "head, troubles, rule",
    [
        ("keeps_lent", (), "limits kept"),
        ("hearsay_alone", (fault("head_lies", at=1.0, length=7.0, part=0.17, size=0.0),), "well nodes used"),
    ],
)
def test_judge_finds_each_doctored_gateway(
    tmp_path: Path, head: str, troubles: tuple[TroubleBlock, ...], rule: str
) -> None:
    result = play(tmp_path, *troubles, head_command=(head, "serve"), head_module="tests.e2e.doctored")
    assert rule in broken_rules(result)


def test_run_command_does_not_import_gossip() -> None:
    loaded = modules_of_run()
    assert not [name for name in loaded if "gossip" in name or "shared" in name]
    for name in ("fawnspool.gossip", "fawnspool.gateway.gossip_runner"):
        assert importlib.util.find_spec(name) is not None, f"{name} is gone: name what took its place"
