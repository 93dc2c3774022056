"""File work behind the program's back: order, bound, errors, and a recording on a disk that is full or stands still."""

from __future__ import annotations

import os
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest

from fawnspool.records.background_writer import BackgroundWriter
from fawnspool.records.decision_recording import Recorder, open_recording
from fawnspool.scheduling import interface
from tests.conftest import make_settings


@pytest.fixture
def behind() -> Iterator[BackgroundWriter]:
    one = BackgroundWriter(most=1000)
    yield one
    one.close()


def test_work_is_done_in_the_order_given(behind: BackgroundWriter) -> None:
    done: list[int] = []
    for k in range(500):
        assert behind.put(lambda k=k: done.append(k))  # type: ignore[misc]
    assert behind.close() and done == list(range(500))


def test_work_that_raises_does_not_stop_the_next(behind: BackgroundWriter) -> None:
    done: list[int] = []
    behind.put(lambda: 1 / 0)
    behind.put(lambda: done.append(1))
    assert behind.close() and done == [1]
    assert behind.failed() == "ZeroDivisionError: division by zero" and behind.failed() == ""


def test_what_waits_is_bounded_and_one_large_piece_still_fits(behind: BackgroundWriter) -> None:
    gate, done = threading.Event(), []
    assert behind.put(lambda: gate.wait() and None, 5000)  # over the bound, but nothing waits before it
    assert not behind.put(lambda: done.append("lost"), 1)
    assert behind.put(lambda: done.append("closed"))  # comes after what waits, however much that is
    gate.set()
    assert behind.close() and done == ["closed"] and behind.waits == 0


def test_nothing_is_taken_after_the_end(behind: BackgroundWriter) -> None:
    assert behind.close() and not behind.put(lambda: None)


def test_an_end_that_is_not_reached_is_told(behind: BackgroundWriter) -> None:
    gate = threading.Event()
    behind.put(gate.wait)
    assert not behind.close(0.01)
    gate.set()


def test_a_recording_behind_holds_every_frame_in_order(tmp_path: Path, behind: BackgroundWriter) -> None:
    recorder = Recorder(tmp_path / "a.mrec", "module", make_settings(), 1, "", behind)
    for k in range(300):
        recorder.note(float(k), interface.Timer(k), [])
        if k % 7 == 0:
            recorder.flush()
            while behind.waits:
                pass
    recorder.close()
    behind.close()
    assert [f[0] for f in open_recording(tmp_path / "a.mrec").frames] == [float(k) for k in range(300)]


@pytest.mark.skipif(not os.path.exists("/dev/full"), reason="needs a device that is always full")
def test_a_full_disk_ends_the_recording_and_says_so(tmp_path: Path, behind: BackgroundWriter) -> None:
    recorder = Recorder(tmp_path / "a.mrec", "module", make_settings(), 1, "", behind)
    recorder.note(1.0, interface.Timer(1), [])
    recorder.flush()
    while behind.waits:
        pass
    full = os.open("/dev/full", os.O_WRONLY)
    kept = os.dup(recorder.writer.fd)
    os.dup2(full, recorder.writer.fd)
    recorder.note(2.0, interface.Timer(2), [])
    recorder.flush()
    while behind.waits:
        pass
    os.dup2(kept, recorder.writer.fd)  # room again: a recording with a gap would be worse than a short one
    recorder.note(3.0, interface.Timer(3), [])
    recorder.close()
    behind.close()
    os.close(full)
    os.close(kept)
    assert "No space left" in recorder.stopped and "a.mrec" in recorder.stopped
    opened = open_recording(tmp_path / "a.mrec")
    assert [f[0] for f in opened.frames] == [1.0] and opened.reader.torn == ""


def test_a_disk_that_stands_still_ends_the_recording_not_the_program(tmp_path: Path) -> None:
    behind, gate = BackgroundWriter(most=200), threading.Event()
    behind.put(gate.wait, 150)
    recorder = Recorder(tmp_path / "a.mrec", "module", make_settings(), 1, "", behind)
    for k in range(50):
        recorder.note(float(k), interface.Timer(k), [])
    recorder.flush()
    assert "too slow" in recorder.stopped
    gate.set()
    recorder.close()
    behind.close()
    assert list(open_recording(tmp_path / "a.mrec").frames) == []
