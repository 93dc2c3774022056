"""A list service that sends without a pause: other greenlets run, and its events do not fill the memory."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import gevent
import pytest

from tests.e2e.relayrig import RelayRig
from tests.e2e.test_crossings import WATCH_HEAD, chunk, raw_discovery
from tests.e2e.test_relay import headers

MESSAGES = 20_000
MOST_MESSAGES_IN_A_TURN = 64
MOST_QUEUED_EVENTS = 256


@pytest.mark.parametrize("kind", ["heartbeats", "changes"])
def test_watch_with_messages_without_a_pause_takes_turns(tmp_path: Path, kind: str) -> None:
    """Guards against a list service that keeps the gateway from its clients, or fills its queue of events."""
    rig = RelayRig(tmp_path)
    discovery, inbox = rig.program.discovery, rig.core.loop.inbox
    change = json.dumps({"seq": discovery.version + 1, "whole": False, "hosts": []}).encode()
    line = b"\n" if kind == "heartbeats" else change + b"\n"
    messages, messages_by_turn, queued = [0], [0], [0]

    def count(*arguments: Any) -> None:
        messages[0] += 1
        messages_by_turn[-1] += 1
        handle(*arguments)

    def take_turns() -> None:
        while True:
            messages_by_turn.append(0)
            queued.append(len(inbox))
            gevent.sleep(0)

    name = "on_heartbeat" if kind == "heartbeats" else "apply"
    handle = getattr(discovery, name)
    setattr(discovery, name, count)
    other = gevent.spawn(take_turns)
    with raw_discovery(rig, lambda number, sock, target: sock.sendall(WATCH_HEAD + chunk(line * MESSAGES)), 5.0):
        with gevent.Timeout(30):
            while messages[0] < MESSAGES:
                gevent.sleep(0.01)
        assert rig.client().ask("GET", "/read", **headers("r1")).status == 200
    other.kill()
    assert max(messages_by_turn) <= MOST_MESSAGES_IN_A_TURN
    assert max(queued) <= MOST_QUEUED_EVENTS
    rig.stop()
