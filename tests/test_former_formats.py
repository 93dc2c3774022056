"""What build d5787bd wrote is read as before, and its decisions are the decisions of today.

The files under tests/formats/d5787bd were written by that build: recordings of gateways on days of the drill, the
model's figures, an acceptor's log, a gateway's map, a kept comparison, settings, and the decisions themselves.
"""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result

from fawnspool.cli.main import main
from fawnspool.gateway import map_store
from fawnspool.gateway.acceptor_log import AcceptorLog
from fawnspool.leases.actions import AcceptorMemory
from fawnspool.leases.ballot import Ballot
from fawnspool.leases.settings import LeaseSettings
from fawnspool.records.decision_recording import open_recording
from fawnspool.records.event_codec import settings_to_stored

FORMATS = Path(__file__).parent / "formats" / "d5787bd"
ROOT = Path(__file__).parent.parent

RECORDS = {
    "object-0": (2, 1, (2, 1, 7), 4096),
    "object-1": (0, 2, (3, 1, 8), 8192),
    "object-2": (2, 0, (1, 1, 3), 12288),
    "object-3": (0, 0, (2, 1, 4), 16384),
    "object-4": (1, 0, (1, 1, 5), 20480),
    "object-5": (2, 0, (2, 1, 6), 24576),
}

VOTES = {
    0: (4, 9160108206952663067),
    1: (4, 1875660363219103294),
    2: (6, 5271324258655587224),
    3: (8, 5410218514983741043),
    4: (9, 5271324258655587224),
    5: (5, 5271324258655587224),
    6: (4, 1875660363219103294),
    7: (4, 1875660363219103294),
    8: (4, 9160108206952663067),
    9: (5, 5271324258655587224),
    10: (4, 9160108206952663067),
    11: (8, 5410218514983741043),
    12: (9, 5410218514983741043),
    13: (7, 1875660363219103294),
}


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, list(arguments))


@pytest.mark.parametrize(
    ("name", "said"),
    [
        ("burst", "1714 events, 1078 actions: equal"),
        ("burst-passthrough", "1364 events, 671 actions: equal"),
        ("shared-node", "1255 events, 755 actions: equal"),
        ("duty-kill", "269 events, 184 actions: equal"),
    ],
)
def test_a_recording_of_the_former_build_replays_with_equal_actions(name: str, said: str) -> None:
    result = run("replay", str(FORMATS / f"{name}.mrec"))
    assert result.exit_code == 0
    assert said in result.output


def test_settings_are_recorded_in_the_form_that_the_former_build_reads() -> None:
    recording = open_recording(FORMATS / "shared-node.mrec")
    first = next(iter(recording.reader))
    written = msgspec.msgpack.encode(settings_to_stored(recording.header.settings))
    assert written == msgspec.msgpack.encode(first["settings"])


@pytest.mark.parametrize("day", ["crash", "shared-node", "duty-kill"])
def test_the_model_gives_the_figures_of_the_former_build_to_the_last_digit(day: str) -> None:
    result = run("model", "run", str(ROOT / "days" / f"{day}.hcl"), "--seed", "1", "--json")
    assert json.loads(result.output) == json.loads((FORMATS / f"model-{day}.json").read_text())


def test_the_former_decisions_are_loaded_and_decide_as_those_of_today() -> None:
    former = run(
        "model", "run", str(ROOT / "days/crash.hcl"), "--seed", "1", "--version", str(FORMATS / "version.whl"), "--json"
    )
    assert json.loads(former.output) == json.loads((FORMATS / "model-crash.json").read_text())


def test_a_map_of_the_former_build_is_read_whole_with_its_log() -> None:
    saved = map_store.load_map(FORMATS / "map")
    assert saved.map is not None
    assert (saved.problem, saved.complete_at) == ("", 1_764_000_100.0)
    found = {
        record.extent: (
            record.shard,
            record.state.value,
            (record.stamp.generation, record.stamp.epoch, record.stamp.version),
            record.size,
        )
        for record in saved.map.records()
    }
    assert found == RECORDS


def test_the_log_of_an_acceptor_of_the_former_build_is_its_memory(tmp_path: Path) -> None:
    (tmp_path / "votes.rec").write_bytes((FORMATS / "votes/votes.rec").read_bytes())
    kinds = (("drain", 12), ("compare", 2))
    settings = LeaseSettings(gateway_count=5, acceptors=(0, 1, 2), lease_s=1.0, clock_drift=0.01, role_kinds=kinds)
    file = AcceptorLog(tmp_path, settings, sync=False)
    file.close()
    assert file.missing_reason == ""
    votes = {role: Ballot(token, incarnation) for role, (token, incarnation) in VOTES.items()}
    assert file.memory == AcceptorMemory(votes, floor=1)


def test_a_comparison_that_the_former_build_kept_is_listed_and_shown() -> None:
    listed = run("model", "list", "--store", str(FORMATS / "kept"))
    assert listed.exit_code == 0
    assert "slow" in listed.output
    shown = run("model", "show", "552bfe635605", "--store", str(FORMATS / "kept"))
    assert shown.exit_code == 0
    assert "no difference that can be told" in shown.output


def test_settings_that_the_former_build_read_are_read_alike() -> None:
    result = run("check", str(FORMATS / "gateway.hcl"))
    assert result.exit_code == 0
    assert "reads well; 2 head(s)" in result.output
