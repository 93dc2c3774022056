"""File work in the background: order, bound, errors, and a recording on a disk that is full or does not answer."""

from __future__ import annotations

import os
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.decision_recording import Recorder, RecordingHeader, open_recording
from fawnspool.scheduling import interface
from tests.conftest import make_settings


@pytest.fixture
def background() -> Iterator[BackgroundWriter]:
    one = BackgroundWriter(max_pending_bytes=1000)
    yield one
    one.close()


def test_work_is_done_in_the_order_given(background: BackgroundWriter) -> None:
    done: list[int] = []
    for k in range(500):
        assert background.put(lambda k=k: done.append(k))  # type: ignore[misc]
    assert background.close() and done == list(range(500))


def test_work_that_raises_does_not_stop_the_next(background: BackgroundWriter) -> None:
    done: list[int] = []
    background.put(lambda: 1 / 0)
    background.put(lambda: done.append(1))
    assert background.close() and done == [1]
    assert background.take_error() == "ZeroDivisionError: division by zero" and background.take_error() is None


def test_what_waits_is_bounded_and_one_large_piece_still_fits(background: BackgroundWriter) -> None:
    gate, done = threading.Event(), []
    assert background.put(lambda: gate.wait() and None, 5000)  # over the bound, but nothing waits before it
    assert not background.put(lambda: done.append("lost"), 1)
    assert background.put(lambda: done.append("closed"))  # comes after what waits, however much that is
    gate.set()
    assert background.close() and done == ["closed"] and background.pending_bytes == 0


def test_nothing_is_taken_after_the_end(background: BackgroundWriter) -> None:
    assert background.close() and not background.put(lambda: None)


def test_an_end_that_is_not_reached_is_told(background: BackgroundWriter) -> None:
    gate = threading.Event()
    background.put(gate.wait)
    assert not background.close(0.01)
    gate.set()


def test_a_recording_behind_holds_every_frame_in_order(tmp_path: Path, background: BackgroundWriter) -> None:
    recorder = Recorder(tmp_path / "a.mrec", RecordingHeader("module", make_settings(), 1), background)
    for k in range(300):
        recorder.note(float(k), interface.Timer(k), [])
        if k % 7 == 0:
            recorder.flush()
            while background.pending_bytes:
                pass
    recorder.close()
    background.close()
    assert [f[0] for f in open_recording(tmp_path / "a.mrec").frames] == [float(k) for k in range(300)]


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="needs a device that is always full")
def test_a_full_disk_ends_the_recording_and_says_so(tmp_path: Path, background: BackgroundWriter) -> None:
    recorder = Recorder(tmp_path / "a.mrec", RecordingHeader("module", make_settings(), 1), background)
    recorder.note(1.0, interface.Timer(1), [])
    recorder.flush()
    while background.pending_bytes:
        pass
    full = os.open("/dev/full", os.O_WRONLY)
    kept = os.dup(recorder.writer.fd)
    os.dup2(full, recorder.writer.fd)
    recorder.note(2.0, interface.Timer(2), [])
    recorder.flush()
    while background.pending_bytes:
        pass
    os.dup2(kept, recorder.writer.fd)  # room again: a recording with a gap would be worse than a short one
    recorder.note(3.0, interface.Timer(3), [])
    recorder.close()
    background.close()
    os.close(full)
    os.close(kept)
    assert recorder.stopped is not None
    assert "No space left" in recorder.stopped and "a.mrec" in recorder.stopped
    opened = open_recording(tmp_path / "a.mrec")
    assert [f[0] for f in opened.frames] == [1.0] and opened.reader.torn == ""


def test_a_disk_that_stands_still_ends_the_recording_not_the_program(tmp_path: Path) -> None:
    background, gate = BackgroundWriter(max_pending_bytes=200), threading.Event()
    background.put(gate.wait, 150)
    recorder = Recorder(tmp_path / "a.mrec", RecordingHeader("module", make_settings(), 1), background)
    for k in range(50):
        recorder.note(float(k), interface.Timer(k), [])
    recorder.flush()
    assert recorder.stopped is not None and "too slow" in recorder.stopped
    gate.set()
    recorder.close()
    background.close()
    assert list(open_recording(tmp_path / "a.mrec").frames) == []
