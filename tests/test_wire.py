"""The wire codec against bytes written by hand, malformed frames, the settings text, and the deploy file's command."""

from __future__ import annotations

import io
import struct
import subprocess
import tomllib
from pathlib import Path

import pytest

from fawnspool.adapter import wire
from fawnspool.adapter.host import Host
from fawnspool.adapter.settings import SettingsError, read_settings
from fawnspool.scheduling import interface

ROOT = Path(__file__).parent.parent
CONF = """\
classes.count=2
classes.0.aim=0.4
classes.0.deadline=2.0
classes.0.group=all
classes.0.late_value=0.1
classes.0.name=look
classes.0.repeat=free
classes.0.value=2.0
classes.0.window=5.0
classes.1.aim=0.8
classes.1.deadline=5.0
classes.1.fifo_by_key=true
classes.1.group=cell
classes.1.name=put
classes.1.repeat=guarded
classes.1.value=2.0
discovery=ask
family_info.fair_worth=0.3
family_info.largest=8
family_info.slots_total=3
family_info.spare_worth=0.05
family_info.usual_units=2.2
family_info.writes=false,true
family_info.young_limit=17.0
grades.count=1
grades.0.cap=30.0
grades.0.cap_depth=48.0
grades.0.rate=3.8
grades.0.shares=1.0
grades.0.tolerance=8.0
grades.0.value_factor=0.8
guarantees.drain_grace=0.25
guarantees.extra_free=3
guarantees.fall=3.0
guarantees.repeat_ratio=0.1
guarantees.budget_span=5.0
guarantees.start_capacity=0.2
guarantees.tip_multiple=2.0
guarantees.warm_after=18.0
limits.try_limit=4
me=0
siblings=3
tick=0.002
weather=fine
"""
ENTRY = struct.pack(">IBHHBfd", 77, 1, 0, 2, 1, 1.5, 6.1)


def record(code: int, layout: str, *fields: float) -> bytes:
    return (bytes([code]) + struct.pack(">" + layout, *fields)).ljust(56, b"\0")


def batch(now: float, records: list[bytes], tail: bytes = b"") -> bytes:
    body = struct.pack(">Id", len(records), now) + b"".join(records) + tail
    return struct.pack(">I", len(body)) + body


def start(instance: int = 3, conf: str = CONF, offset: int = 0) -> bytes:
    return record(1, "IQII", instance, 42, offset, len(conf.encode()))


def request_record(instance: int, ident: int, shard: float = 2.0, units: float = 2.0) -> bytes:
    return record(3, "IIBIQdQfffB", instance, ident, 0, 0, 5, 2.0, 9, units, shard, 1.0, 2)


def read_reply(data: bytes) -> tuple[list[bytes], bytes]:
    count, length = struct.unpack_from(">II", data)
    assert length == len(data) - 8
    return [data[8 + 24 * number : 32 + 24 * number] for number in range(count)], data[8 + 24 * count :]


def test_every_event_decodes() -> None:
    conf = CONF.encode()
    records = [
        start(),
        record(2, "IIBdB4f", 3, 77, 10, 0.25, 1, 14.5, 0, 0, 0),
        request_record(3, 8),
        record(4, "IHII", 3, 2, len(conf), 2),
        record(5, "IQ", 3, 77),
        record(6, "I", 3),
        record(7, "IBQII", 3, 2, 41, len(conf) + 2, 1),
        record(8, "II", 3, 8),
        record(9, "IIHId", 3, 8, 1, 77, 0.5),
        record(10, "IIIHdBHHBB4f", 3, 8, 77, 1, 0.5, 0, 3, 87, 40, 0, 0, 0, 0, 0),
    ]
    decoded = wire.read_batch(io.BytesIO(batch(20.5, records, conf + b"hi" + ENTRY)))
    assert decoded is not None
    now, events = decoded
    assert now == 20.5 and [instance for instance, _ in events] == [3] * 10
    assert [event for _, event in events] == [
        wire.Start(42, CONF),
        interface.Probed(77, interface.Result.SERVED, 0.25, (14.5, 0.0, 0.0, 0.0)),
        interface.Request(8, 0, 0, 5, 2.0, 9, 2.0, 2, 1, True, False),
        interface.PeerMessage(2, b"hi"),
        interface.Timer(77),
        wire.Stop(),
        interface.EndpointUpdate(
            interface.UpdateKind.DELTA, 41, (interface.Endpoint(77, 1, 0, 2, interface.Phase.READY, 1.5, 6.1),)
        ),
        interface.ClientDisconnected(8),
        interface.StreamStarted(8, 1, 77, 0.5),
        interface.Outcome(8, 1, 77, 0.5, interface.Result.TIMED_OUT, False, 3, 0.86, None),
    ]


@pytest.mark.parametrize(
    ("code", "result"),
    [
        (10, interface.Result.SERVED),
        (20, interface.Result.ERROR),
        (30, interface.Result.OVERLOADED),
        (40, interface.Result.TIMED_OUT),
        (50, interface.Result.CONNECT_FAILED),
        (60, interface.Result.RESET),
        (70, interface.Result.CANCELLED),
        (80, interface.Result.NOT_SENT),
    ],
)
def test_every_outcome_code(code: int, result: interface.Result) -> None:
    raw = record(10, "IIIHdBHHBB4f", 3, 8, 77, 0, 0.5, 1, 0, 0, code, 0, 0, 0, 0, 0)
    decoded = wire.read_batch(io.BytesIO(batch(1.0, [raw])))
    assert decoded is not None
    event = decoded[1][0][1]
    assert isinstance(event, interface.Outcome)
    assert event.result is result and event.volume_usage is None and event.final


def test_every_action_encodes() -> None:
    actions: list[interface.Action | wire.Crash] = [
        interface.Send(8, 77, 0.25),
        interface.RejectRequest(8, 0.5),
        interface.FailRequest(8),
        interface.Cancel(8, 1),
        interface.SetTimer(0.5, 77),
        interface.Probe(77),
        interface.CloseIdle(77),
        interface.SendPeerMessage(None, b"hi"),
        interface.Log("node"),
        wire.Crash("oops"),
        interface.SetWatch(True),
        interface.FetchEndpoints(),
    ]
    records, tail = read_reply(wire.encode([(3, action) for action in actions]))
    expected = [
        struct.pack(">BIIId", 1, 3, 8, 77, 0.25),
        struct.pack(">BIId", 2, 3, 8, 0.5),
        struct.pack(">BII", 3, 3, 8),
        struct.pack(">BIIH", 4, 3, 8, 1),
        struct.pack(">BIdQ", 5, 3, 0.5, 77),
        struct.pack(">BII", 6, 3, 77),
        struct.pack(">BII", 7, 3, 77),
        struct.pack(">BIIII", 8, 3, 0xFFFFFFFF, 0, 2),
        struct.pack(">BIII", 9, 3, 2, 4),
        struct.pack(">BIII", 10, 3, 6, 4),
        struct.pack(">BIB", 11, 3, 1),
        struct.pack(">BI", 12, 3),
    ]
    assert records == [packed.ljust(24, b"\0") for packed in expected]
    assert tail == b"hinodeoops"


def test_empty_batch_has_an_empty_reply() -> None:
    raw = bytes.fromhex("0000000c000000004020d3126e978d50")
    assert wire.read_batch(io.BytesIO(raw)) == (pytest.approx(8.41225, abs=1e-4), [])
    assert wire.encode([]) == bytes(8)


def test_input_may_end_between_frames() -> None:
    assert wire.read_batch(io.BytesIO(b"")) is None


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        (b"\0\0", "offset 2: expected the length"),
        (struct.pack(">I", 5) + bytes(5), "offset 0: expected a length of at least 12"),
        (struct.pack(">I", 40) + bytes(10), "offset 14: expected 40 bytes"),
        (struct.pack(">I", 40), "offset 4: expected 40 bytes"),
        (batch(1.0, [record(99, "I", 3)]), "offset 16: expected an event code from 1 to 10, found 99"),
        (struct.pack(">IId", 12, 1, 1.0), "offset 4: expected room for 1 records"),
        (batch(1.0, [record(7, "IBQII", 3, 2, 41, 0, 1)]), "offset 16: expected 22 bytes in the tail"),
        (batch(1.0, [record(7, "IBQII", 3, 9, 41, 0, 0)]), "offset 16: expected a known value in event 7"),
    ],
)
def test_malformed_frame_error_states_offset_and_expectation(raw: bytes, message: str) -> None:
    with pytest.raises(wire.WireError, match=message):
        wire.read_batch(io.BytesIO(raw))


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    settings = read_settings(CONF)
    assert (
        settings.gateway_count == 3
        and settings.polls_endpoints
        and settings.retry_budget_minimum == 3.0
        and settings.retry_budget_ratio == 0.1
    )
    assert [request_class.idempotence for request_class in settings.classes] == [
        interface.Idempotence.IDEMPOTENT,
        interface.Idempotence.WITH_KEY,
    ]
    assert settings.classes[1].ordered and settings.classes[1].writes and not settings.classes[0].writes
    assert settings.plans[0].rate_limit == 30.0 and settings.plans[0].reserved_rate == 0.0


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("siblings=3\n", "", "siblings is missing"),
        ("tick=0.002", "tick=soon", "tick is not a number"),
        ("classes.0.aim=0.4", "classes.0.aim=nan", "classes.0.aim is not a number"),
        ("repeat=free", "repeat=maybe", "classes.0.repeat is unknown"),
        ("fifo_by_key=true", "fifo_by_key=yes", "classes.1.fifo_by_key is neither"),
    ],
)
def test_invalid_setting_is_named_and_reported_as_a_crash(old: str, new: str, message: str) -> None:
    conf = CONF.replace(old, new)
    with pytest.raises(SettingsError, match=message):
        read_settings(conf)
    ((instance, action),) = Host().batch(1.0, [(3, wire.Start(1, conf))])
    assert instance == 3 and isinstance(action, wire.Crash) and message in action.text


def test_scheduler_error_is_reported_as_a_crash() -> None:
    host = Host()
    host.batch(1.0, [(3, wire.Start(1, CONF))])
    host.schedulers[3].handle = lambda now, event: 1 / 0  # type: ignore
    ((_, action),) = host.batch(1.1, [(3, interface.Timer(0))])
    assert action == wire.Crash("ZeroDivisionError: division by zero")


def test_instances_are_independent_and_a_restart_clears_state() -> None:
    host = Host()
    endpoints = (interface.Endpoint(77, 0, 0, 2, interface.Phase.READY, 1.0, 0.0),)
    start_events: list[tuple[int, wire.WireEvent]] = [
        (3, wire.Start(1, CONF)),
        (3, interface.EndpointUpdate(interface.UpdateKind.CACHED, 1, endpoints)),
    ]
    request = interface.Request(8, 0, 0, 0, 2.0, 9, 2.0, 2, 1, False, False)
    host.batch(1.0, [*start_events, (4, wire.Start(2, CONF))])
    host.batch(1.1, [(3, request)])
    assert 8 in host.schedulers[3].requests and not host.schedulers[4].requests
    host.batch(1.2, [(3, wire.Stop()), *start_events])
    assert not host.schedulers[3].requests
    assert host.batch(1.3, [(5, interface.Timer(0))]) == []


def deploy_command() -> str:
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"])


def run_deploy_command(data: bytes) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        ["/bin/sh", "-c", deploy_command()],
        cwd=ROOT,
        input=data,
        capture_output=True,
        timeout=60,
        check=False,
    )


def test_deploy_command_answers_batches_and_ends_with_its_input() -> None:
    conf = CONF.encode()
    cached_list = record(7, "IBQII", 3, 0, 41, len(conf), 1)
    data = (
        batch(0.0, [])
        + batch(1.0, [start(), cached_list], conf + ENTRY)
        + batch(1.5, [request_record(3, 8), request_record(3, 9)])
    )
    process = run_deploy_command(data)
    assert process.returncode == 0 and process.stderr == b""
    replies, rest = [], process.stdout
    while rest:
        length = 8 + struct.unpack_from(">II", rest)[1]
        replies.append(read_reply(rest[:length])[0])
        rest = rest[length:]
    assert [len(reply) > 0 for reply in replies] == [False, True, True]
    assert replies[1][0][0] == 11


def test_deploy_command_reports_an_error_without_a_traceback() -> None:
    process = run_deploy_command(batch(1.0, [record(99, "I", 3)]))
    assert process.returncode != 0 and process.stdout == b""
    assert process.stderr.count(b"\n") == 1 and b"offset 16" in process.stderr and b"Traceback" not in process.stderr
