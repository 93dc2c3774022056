"""Replay of a decision recording: a new scheduler gets the recorded events, and its actions are compared."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

from fawnspool.records.decision_recording import open_recording
from fawnspool.records.event_codec import decode_event, encode_action
from fawnspool.scheduling import interface

MakeScheduler = Callable[[str, interface.Settings, int], Any]


@dataclass
class ReplayResult:
    """Result of a replay.

    Attributes
    ----------
    events, actions
        How many were replayed, and came of them.
    difference
        The first difference in words, None for none.
    torn
        Where and why the recording ends early, "" if it does not.
    """

    events: int = 0
    actions: int = 0
    difference: str | None = None
    torn: str = ""


class _Decision(NamedTuple):
    actions: list[Any]
    error: str


def replay(path: str | Path, make_scheduler: MakeScheduler) -> ReplayResult:
    """Replay a recording up to its end, a tear or the first difference.

    Parameters
    ----------
    path
        The recording.
    make_scheduler
        Makes a scheduler from the name of a policy, settings and a seed.

    Raises
    ------
    RecordingError
        If the file is no recording.
    """
    recording = open_recording(path)
    header = recording.header
    scheduler = make_scheduler(header.policy, header.settings, header.seed)
    result = ReplayResult()
    for now, event, actions, error in recording.frames:
        decision = _decide(scheduler, now, decode_event(event))
        result.events += 1
        result.actions += len(decision.actions)
        if decision != (actions, error):
            recorded = error or actions
            decided = decision.error or decision.actions
            result.difference = f"event {result.events} at {now:.6f}: recorded {recorded}, now {decided}"
            break
    result.torn = recording.reader.torn
    return result


def _decide(scheduler: Any, now: float, event: Any) -> _Decision:
    """Return what a scheduler decides, and if it raises, what it had decided before, as a gateway's loop does."""
    actions_before = getattr(scheduler, "actions", None)
    try:
        actions = scheduler.handle(now, event)
        return _Decision([encode_action(action) for action in actions], "")
    except Exception as error:
        decided = getattr(scheduler, "actions", None)
        if decided is None or decided is actions_before:
            decided = []
        return _Decision([encode_action(action) for action in decided], f"{type(error).__name__}: {error}")
