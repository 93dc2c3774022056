"""Recordings: whole frames come back, a torn tail is read up to the tear, a replay gives the same actions."""

from __future__ import annotations

from pathlib import Path
from unittest.mock import Mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fawnspool.gateway.event_loop import EventLoop
from fawnspool.gateway.observability import Observability
from fawnspool.records.decision_recording import Recorder, RecordingHeader, module_hash, open_recording
from fawnspool.records.event_codec import ACTIONS, EVENTS, decode_action, decode_event, encode_action, encode_event
from fawnspool.records.frames import MAGIC, FrameReader, FrameWriter, RecordingError
from fawnspool.records.replay import replay
from fawnspool.scheduling import interface
from fawnspool.scheduling.scheduler import Scheduler
from fawnspool.telemetry.counters import GatewayCounters
from tests.conftest import GatewayDriver, make_settings


def make(name: str, settings: interface.Settings, seed: int) -> Scheduler:
    assert name == "module"
    return Scheduler(settings, seed)


def life(path: Path) -> int:
    """Record a short life of a module; the number of its events."""
    settings = make_settings(has_peer_messages=True)
    head = GatewayDriver(settings, nodes=2)
    module = Scheduler(settings, 5)
    recorder = Recorder(path, RecordingHeader("module", settings, 5, module_hash(module)))
    events: list[tuple[float, interface.Event]] = [
        (
            1.0,
            interface.EndpointUpdate(
                interface.UpdateKind.SNAPSHOT,
                1,
                tuple(interface.Endpoint(n, 0, 0, n, interface.Phase.READY, 1.0, 0.0) for n in range(3)),
            ),
        ),
        (1.1, interface.Request(7, 0, 0, 3, 2.0, 9, 2.0, 1, 1, False, False)),
        (1.2, interface.Outcome(7, 0, 1, 0.1, interface.Result.SERVED, True, 2, 0.5, (1.0, 2.0))),
        (1.3, interface.PeerMessage(1, b"x" * 13)),
        (1.4, interface.Timer(0)),
        (1.5, interface.ClientDisconnected(99)),
        (1.6, interface.EndpointUpdate(interface.UpdateKind.POLL_FAILED, 1, ())),
    ]
    for now, event in events:
        recorder.note(now, event, module.handle(now, event))
    recorder.close()
    assert head
    return len(events)


def test_a_recording_replays_with_equal_actions(tmp_path: Path) -> None:
    count = life(tmp_path / "a.mrec")
    came = replay(tmp_path / "a.mrec", make)
    assert (came.events, came.difference, came.torn) == (count, None, "")
    assert came.actions > 0
    opened = open_recording(tmp_path / "a.mrec")
    assert (
        opened.header.settings == make_settings(has_peer_messages=True)
        and opened.header.seed == 5
        and len(opened.header.module) == 16
    )


def test_another_module_is_told_apart(tmp_path: Path) -> None:
    class Other(Scheduler):
        def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
            return [a for a in super().handle(now, event) if not isinstance(a, interface.Send)]

    life(tmp_path / "a.mrec")
    came = replay(tmp_path / "a.mrec", lambda name, settings, seed: Other(settings, seed))
    assert (came.difference or "").startswith("event 2 ")


def test_a_raising_module_is_recorded_and_replayed(tmp_path: Path) -> None:
    class Raises:
        actions: tuple[interface.Action, ...] = (interface.Log("of an earlier event"),)

        def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
            self.actions = (interface.Log("before it"),)
            raise ValueError("no")

    recorder = Recorder(tmp_path / "r.mrec", RecordingHeader("module", make_settings(), 1))
    recorder.note(1.0, interface.Timer(0), [interface.Log("before it")], "ValueError: no")
    recorder.close()
    assert replay(tmp_path / "r.mrec", lambda *a: Raises()).difference is None
    assert replay(tmp_path / "r.mrec", make).difference


class RaisesAfterItsActions(Scheduler):
    """A scheduler of today that raises once it has decided."""

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        super().handle(now, event)
        raise ValueError("no")


def test_what_a_scheduler_decided_before_it_raised_is_replayed(tmp_path: Path) -> None:
    update = interface.EndpointUpdate(interface.UpdateKind.CACHED, 1, ())
    decided = Scheduler(make_settings(), 1).handle(1.0, update)
    assert decided
    recorder = Recorder(tmp_path / "r.mrec", RecordingHeader("module", make_settings(), 1))
    recorder.note(1.0, update, decided, "ValueError: no")
    recorder.close()
    assert (
        replay(tmp_path / "r.mrec", lambda name, settings, seed: RaisesAfterItsActions(settings, seed)).difference
        is None
    )


def test_what_a_scheduler_decided_before_it_raised_is_carried_out() -> None:
    update = interface.EndpointUpdate(interface.UpdateKind.CACHED, 1, ())
    carried_out: list[interface.Action] = []
    scheduler = RaisesAfterItsActions(make_settings(), 1)
    handlers = {interface.FetchEndpoints: carried_out.append}
    loop = EventLoop(scheduler, handlers, lambda event: None, Observability(GatewayCounters(), Mock()))
    loop._handle(update)
    assert carried_out == Scheduler(make_settings(), 1).handle(1.0, update)


@given(st.integers(1, 400))
def test_a_torn_tail_is_read_up_to_the_tear(cut: int) -> None:
    import tempfile

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "t.rec"
        writer = FrameWriter(path)
        ends = []
        for k in range(10):
            writer.put({"k": k, "pad": "x" * (3 * k)})
            ends.append(path.stat().st_size)
        writer.close()
        data = path.read_bytes()
        cut = min(cut, len(data) - len(MAGIC))
        path.write_bytes(data[: len(data) - cut])
        reader = FrameReader(path)
        rows = list(reader)
        whole = sum(end <= len(data) - cut for end in ends)
        assert [r["k"] for r in rows] == list(range(whole))
        assert bool(reader.torn) == (len(data) - cut not in (len(MAGIC), *ends))
        more = FrameWriter(path, append=True)  # a node that comes back goes on behind the last whole frame
        more.put({"k": "after"})
        more.close()
        assert [r["k"] for r in FrameReader(path)] == [*range(whole), "after"]


def test_a_flipped_bit_ends_the_reading(tmp_path: Path) -> None:
    writer = FrameWriter(tmp_path / "b.rec")
    for k in range(3):
        writer.put([k] * 20)
    writer.close()
    data = bytearray((tmp_path / "b.rec").read_bytes())
    data[len(data) // 2] ^= 1
    (tmp_path / "b.rec").write_bytes(bytes(data))
    reader = FrameReader(tmp_path / "b.rec")
    assert len(list(reader)) == 1 and "checksum" in reader.torn


def test_what_is_no_recording_is_named(tmp_path: Path) -> None:
    (tmp_path / "x").write_bytes(b"hello, world")
    with pytest.raises(RecordingError, match="no recording"):
        list(FrameReader(tmp_path / "x"))
    (tmp_path / "y").write_bytes(b"FAWNREC9")
    with pytest.raises(RecordingError, match="another version"):
        list(FrameReader(tmp_path / "y"))
    FrameWriter(tmp_path / "z").put({"k": "ask"})
    with pytest.raises(RecordingError, match="no module's life"):
        open_recording(tmp_path / "z")


def test_every_event_and_action_has_a_form() -> None:
    import typing

    assert set(EVENTS) == set(typing.get_args(interface.Event))
    assert set(ACTIONS) == set(typing.get_args(interface.Action))
    for action in (
        interface.Send(1, 2, 0.5),
        interface.SendPeerMessage(None, b"\x00\xff"),
        interface.SetWatch(True),
        interface.FetchEndpoints(),
        interface.Cancel(1, 0),
    ):
        assert decode_action(encode_action(action)) == action
    for event in (
        interface.StreamStarted(1, 0, 2, 0.1),
        interface.Probed(1, interface.Result.CONNECT_FAILED, 0.1, None),
        interface.Outcome(1, 0, 2, 0.1, interface.Result.OVERLOADED, False, 0, None, (1.0,)),
    ):
        assert decode_event(encode_event(event)) == event
    with pytest.raises(RecordingError, match="unknown event"):
        decode_event([99])
    with pytest.raises(RecordingError, match="fields"):
        decode_event([0, 1])


def test_an_earlier_lifes_recording_is_kept_beside_up_to_a_number(tmp_path: Path) -> None:
    for k in range(20):
        recorder = Recorder(tmp_path / "h.mrec", RecordingHeader("module", make_settings(), k))
        recorder.note(float(k), interface.Timer(k), [])
        recorder.close()
    names = sorted(p.name for p in tmp_path.glob("*.mrec"))
    assert len(names) == 17 and "h.mrec" in names and "h.19.mrec" in names and "h.3.mrec" not in names
    assert [open_recording(tmp_path / n).header.seed for n in ("h.mrec", "h.19.mrec", "h.4.mrec")] == [19, 18, 3]
    (tmp_path / "h.notes.mrec").write_bytes(b"mine")
    Recorder(tmp_path / "h.mrec", RecordingHeader("module", make_settings(), 20)).close()
    assert (tmp_path / "h.notes.mrec").read_bytes() == b"mine"
