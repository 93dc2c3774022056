"""A shelf's answer whose head does not end must not cost the gateway its life."""

from __future__ import annotations

import contextlib
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig  # noqa: E402 - found through the line above

SHELVES = 3
LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 256}  # the pages give a head 32 to 192 MB and 256 to 1,024
CALM_S = 3.0  # calm traffic before the spoilt answer
SPOILT_S = 30.0  # at most so long does the shelf go on with it
AFTERWARDS_S = 3.0
PIECE_BYTES = 65536
BYTES_PER_S = 100e6  # of the spoilt answer: less than a link of 1 Gbit/s


class EndlessHead:
    """Spoils one answer: its head begins as it should, and the value of its last field does not end."""

    def __init__(self, record: rig.Record) -> None:
        self.spoilt_id = ""
        self.is_over = False
        self._record = record

    def answer(self, received: rig.ShelfRequest, sock: socket.socket) -> bool:
        if self.spoilt_id:
            return False
        self.spoilt_id = received.id
        self._record.note(f"{received.shelf} answers {received.id} with a head that does not end")
        began_at = time.monotonic()
        sent_bytes = 0
        with contextlib.suppress(OSError):
            sock.sendall(b"HTTP/1.1 200 OK\r\nServer-Load: ")
            while time.monotonic() - began_at < SPOILT_S:
                sock.sendall(b"x" * PIECE_BYTES)
                sent_bytes += PIECE_BYTES
                time.sleep(max(0.0, began_at + sent_bytes / BYTES_PER_S - time.monotonic()))
        after_s = time.monotonic() - began_at
        self._record.note(f"{received.shelf} has sent {sent_bytes / 1e6:.0f} MB of that head in {after_s:.2f} s")
        self.is_over = True
        return True


def one_spoilt_answer(record: rig.Record, has_trouble: bool) -> bool:
    shelves = [rig.Shelf(f"s-{block}", block, record) for block in range(SHELVES)]
    settings = rig.settings([rig.READ, rig.NEW_READING], [False, True], SHELVES)
    gateway = rig.start_gateway(rig.Discovery(shelves), settings, LIMITS, record)
    with rig.running(gateway):
        traffic = rig.Traffic(gateway, record, SHELVES)
        traffic.start()
        time.sleep(CALM_S)
        endless = EndlessHead(record)
        if has_trouble:
            shelves[0].behaviour = endless.answer
        over_by = time.monotonic() + SPOILT_S + AFTERWARDS_S
        while time.monotonic() < over_by and not gateway.has_ended():
            time.sleep(0.05)
            if endless.is_over:
                over_by = min(over_by, time.monotonic() + AFTERWARDS_S)
                endless.is_over = False
        has_crashed = gateway.has_ended()
        traffic.stop()
    record.note(f"the gateway held {gateway.peak_mib:.0f} MiB at most, of {LIMITS['memory_mb']}")
    record.note(traffic.summary())
    if has_crashed:
        record.note("the gateway has CRASHED: " + ("killed for memory" if gateway.killed_for_memory else "it ended"))
    return not has_crashed


def test_gateway_survives_an_answer_whose_head_does_not_end() -> None:
    assert rig.run_case(one_spoilt_answer, FOLDER) == rig.HELD


if __name__ == "__main__":
    sys.exit(rig.run_case(one_spoilt_answer, FOLDER))
